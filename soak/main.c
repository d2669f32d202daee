/**
 * @file main.c
 * A randomised soak of planned stops. It runs the real programs as separate processes on loopback,
 * stops entry nodes in series so that stops overlap, and combines them with other signals, new
 * routings, lost control nodes and silent or leaving targets. Callers keep their connections until
 * the process is gone. A seed determines the plan; the timing of processes still differs by run.
 */
#include "core/buf.h"
#include "soak/callers.h"
#include "soak/cluster.h"

#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

enum {
	PENDING_MAX = 256,
	STEP_US = 10000,
	LIMIT_STEP_US = 2000,
	PROBE_INTERVAL_US = 1000000,
	READ_TIMEOUT_US = 8000000,
	TAIL_US = 2500000, /* callers go on after the last restart, and calls end */
	LINK_DELAY_MS = 30,
	DRAIN_MS = 3000,
	/* The kernel needs about 1 ms from executing the program to its first system call. */
	LOADING_US = 1000,
	CONTACT_MS = 4000, /* a node that was impaired is bound again after it */
	VIEW_TIMEOUT_US = 3000000,
	LARGE_MIN_ROUTES = 370,
	LARGE_MAX_ROUTES = 1871,
};

enum action {
	ACTION_STOP,
	ACTION_SIGNAL_AGAIN,
	ACTION_RELOAD,
	ACTION_START,
	ACTION_ROUTES,
	ACTION_LOWER_QUOTA,
	ACTION_LARGE_ROUTES,
	ACTION_MOVE_INDEX,
	ACTION_FREEZE_CONTROL,
	ACTION_THAW_CONTROL,
	ACTION_KILL_CONTROL,
	ACTION_STOP_CONTROL,
	ACTION_START_CONTROL,
	ACTION_FREEZE_ENTRY,
	ACTION_THAW_ENTRY,
	ACTION_KILL_ENTRY,
	ACTION_LINK_FAULT,
	ACTION_LINK_HEAL,
	ACTION_LINK_RESET,
	ACTION_FAULT,
	ACTION_HEAL,
};

static const char *const action_names[] = {"SIGTERM to entry node", "second SIGTERM to entry node",
	"SIGHUP to entry node", "start of entry node", "new routes through control node",
	"lowered quota through control node", "large routes through control node",
	"index moved through control node", "SIGSTOP to control node", "SIGCONT to control node",
	"SIGKILL to control node", "SIGTERM to control node", "start of control node",
	"SIGSTOP to entry node", "SIGCONT to entry node", "SIGKILL to entry node",
	"fault of the links of entry node", "end of the fault of the links of entry node",
	"reset of the connections of entry node", "fault at target", "end of the fault at target"};

static const char *const faults[] = {"silent", "draining", "announce", "busy", "slow", "close",
	"reset", "mismatch", "paceslow", "pacezero", "pacejump"};

/* The first of them are used by the plan of the small site. */
enum {
	FAULT_DRAINING = 1,
	SMALL_FAULTS = 4,
	SITE_FAULTS = 7,
	FAULT_REPORTS = 8, /* the first fault of load reports */
	ALL_FAULTS = sizeof (faults) / sizeof (faults[0]),
};

struct pending {
	int64_t at_us;
	enum action action;
	int subject; /* index of the node or target */
	int value;   /* in faults[], or number of extra routes */
};

struct settings {
	const char *daemon;
	const char *platform;
	const char *folder;
	const struct site *site;
	bool plain_list;
	bool entry_faults; /* entry nodes are frozen and killed, their links disturbed */
	bool proxied;
	bool accounts;
	bool load_reports; /* of targets are wrong at times */
	bool lower_quota;
	long on_ms; /* entry nodes run for so long in each period; 0: all the time */
	long period_ms;
	long base_port;
	long first_seed;
	long seeds;
	long entry_nodes;
	long stops;
};

/** What one seed plays. */
struct scenario {
	const struct settings *settings;
	struct cluster cluster;
	struct callers callers;
	struct rng rng;
	struct pending pending[PENDING_MAX];
	int pending_count;
	int64_t start_us;
	long failures;  /* of processes and orders */
	long unstarted; /* processes that SIGTERM ended before they ran */
	_Atomic bool probing;
	bool limited; /* entry nodes do not run at the moment */
	FILE *log;
};

/* A new version of the routes, sent by a thread of its own. */
struct routes_order {
	struct cluster *cluster;
	int control;
	bool lower; /* the quota of the hot account */
};

static void
schedule (struct scenario *scenario, int64_t at_us, enum action action, int subject, int value)
{
	if (scenario->pending_count < PENDING_MAX)
		scenario->pending[scenario->pending_count++] =
			(struct pending){at_us, action, subject, value};
}

static int64_t
random_us (struct scenario *scenario, int64_t max_ms)
{
	return 1000 * (int64_t)rng_below (&scenario->rng, (uint64_t)max_ms);
}

static bool
one_in (struct scenario *scenario, uint64_t count)
{
	return rng_below (&scenario->rng, count) == 0;
}

/* Control nodes that are lost or stopped, and a fault at a target. */
static void
plan_impairments (struct scenario *scenario, int64_t at_us, int fault_kinds)
{
	int control =
		(int)rng_below (&scenario->rng, (uint64_t)scenario->cluster.site->control_nodes);
	int64_t lost_us = at_us + random_us (scenario, 4000);
	if (one_in (scenario, 5)) {
		schedule (scenario, lost_us, ACTION_FREEZE_CONTROL, control, 0);
		schedule (scenario, lost_us + 2000000, ACTION_THAW_CONTROL, control, 0);
	} else if (one_in (scenario, 5)) {
		schedule (scenario, lost_us, ACTION_KILL_CONTROL, control, 0);
		schedule (scenario, lost_us + 1000000, ACTION_START_CONTROL, control, 0);
	} else if (one_in (scenario, 4)) {
		schedule (scenario, lost_us, ACTION_STOP_CONTROL, control, 0);
		schedule (scenario, lost_us + random_us (scenario, 500), ACTION_ROUTES, control, 0);
	}
	if (one_in (scenario, 2)) {
		int target = (int)rng_below (
			&scenario->rng, (uint64_t)site_targets (scenario->cluster.site));
		int fault = (int)rng_below (&scenario->rng, (uint64_t)fault_kinds);
		schedule (scenario, lost_us, ACTION_FAULT, target, fault);
		schedule (scenario, lost_us + 1500000 + random_us (scenario, 2000), ACTION_HEAL,
			target, fault);
	}
}

static void
plan_reload (struct scenario *scenario, int64_t at_us, int entry)
{
	if (one_in (scenario, 3))
		schedule (scenario, at_us + random_us (scenario, 5000), ACTION_SIGNAL_AGAIN, entry,
			0);
	if (one_in (scenario, 3))
		schedule (scenario, at_us + random_us (scenario, 1500) - 500000, ACTION_RELOAD,
			entry, 0);
}

/* Some versions in a series; the last ones may grow or shrink. */
static void
plan_large_routes (struct scenario *scenario, int64_t at_us)
{
	int versions = 1 + (int)rng_below (&scenario->rng, 4);
	for (int i = 0; i < versions; i++) {
		int control = (int)rng_below (
			&scenario->rng, (uint64_t)scenario->cluster.site->control_nodes);
		int routes = LARGE_MIN_ROUTES + (int)rng_below (&scenario->rng,
							LARGE_MAX_ROUTES - LARGE_MIN_ROUTES + 1);
		schedule (scenario, at_us, ACTION_LARGE_ROUTES, control, routes);
		at_us += 300000 + random_us (scenario, 700);
	}
}

/* What else happens around a stop. */
static void
plan_companions (struct scenario *scenario, int64_t at_us, int entry)
{
	plan_reload (scenario, at_us, entry);
	if (!one_in (scenario, 3))
		schedule (scenario, at_us + random_us (scenario, 4000), ACTION_ROUTES,
			(int)rng_below (
				&scenario->rng, (uint64_t)scenario->cluster.site->control_nodes),
			0);
	plan_impairments (scenario, at_us, SMALL_FAULTS);
}

/* A rolling restart of a share of the entry nodes, beside large versions of the routes. */
static void
plan_rolling (struct scenario *scenario)
{
	int entries = scenario->cluster.entry_count;
	int control =
		(int)rng_below (&scenario->rng, (uint64_t)scenario->cluster.site->control_nodes);
	int64_t at_us = scenario->start_us + 2000000;
	int64_t gap_us = 1000000 + random_us (scenario, 1000);
	int first = (int)rng_below (&scenario->rng, (uint64_t)entries);
	int stops = entries * (40 + (int)rng_below (&scenario->rng, 61)) / 100;
	bool planned_only = one_in (scenario, 2);
	for (int i = 0; i < stops; i++, at_us += gap_us) {
		int entry = (first + i) % entries;
		schedule (scenario, at_us, ACTION_STOP, entry, 0);
		plan_reload (scenario, at_us, entry);
		if (!one_in (scenario, 3))
			plan_large_routes (scenario, at_us + random_us (scenario, 5500));
		if (!planned_only)
			plan_impairments (scenario, at_us, SITE_FAULTS);
	}
	if (one_in (scenario, 2))
		schedule (scenario, scenario->start_us + 2000000 + random_us (scenario, 8000),
			ACTION_MOVE_INDEX, control, 0);
	fprintf (scenario->log, "%d stops %lld ms apart, %s\n", stops, (long long)gap_us / 1000,
		planned_only ? "planned work only" : "beside impairments");
}

/* Entry nodes are stopped in turn, so that a stop may overlap the ones before. */
static void
plan (struct scenario *scenario)
{
	const struct settings *settings = scenario->settings;
	int64_t at_us = scenario->start_us + 1500000;
	if (settings->site->rolling) {
		plan_rolling (scenario);
		return;
	}
	int first = (int)rng_below (&scenario->rng, (uint64_t)settings->entry_nodes);
	for (long i = 0; i < settings->stops; i++) {
		int entry = (first + (int)i) % (int)settings->entry_nodes;
		schedule (scenario, at_us, ACTION_STOP, entry, 0);
		plan_companions (scenario, at_us, entry);
		/* A node is stopped again only once it has been started again. */
		bool round = (i + 1) % settings->entry_nodes == 0;
		at_us += round ? 8500000 : random_us (scenario, 2500);
	}
}

/* Processes and links of entry nodes, beside the planned stops. */
static void
plan_entry_fault (struct scenario *scenario, int64_t at_us)
{
	int entry = (int)rng_below (&scenario->rng, (uint64_t)scenario->cluster.entry_count);
	int64_t end_us = at_us + 300000 + random_us (scenario, 2700);
	int fault = 1 + (int)rng_below (&scenario->rng, PROXY_FAULTS - 1);
	bool link = one_in (scenario, 2);
	uint64_t kind = rng_below (&scenario->rng, 3);
	if (link && scenario->settings->proxied && kind == 0) {
		schedule (scenario, at_us, ACTION_LINK_RESET, entry, 0);
	} else if (link && scenario->settings->proxied) {
		schedule (scenario, at_us, ACTION_LINK_FAULT, entry, fault);
		schedule (scenario, end_us, ACTION_LINK_HEAL, entry, fault);
	} else if (kind == 0) {
		schedule (scenario, at_us, ACTION_KILL_ENTRY, entry, 0);
	} else {
		schedule (scenario, at_us, ACTION_FREEZE_ENTRY, entry, 0);
		schedule (scenario, end_us, ACTION_THAW_ENTRY, entry, 0);
	}
}

/* Targets of single requests and of a shard drain, and one does not keep to the protocol. */
static void
plan_long_faults (struct scenario *scenario)
{
	const struct site *site = scenario->cluster.site;
	int singles = site_targets (site) - site->single_targets;
	int64_t at_us = scenario->start_us + 2000000;
	int subjects[] = {singles + (int)rng_below (&scenario->rng, (uint64_t)site->single_targets),
		(int)rng_below (&scenario->rng, (uint64_t)site->shards * (uint64_t)site->replicas)};
	for (size_t i = 0; i < sizeof (subjects) / sizeof (subjects[0]); i++)
		schedule (scenario, at_us + random_us (scenario, 3000), ACTION_FAULT, subjects[i],
			FAULT_DRAINING);
	for (int i = 0; i < 2; i++) {
		int target =
			singles + (int)rng_below (&scenario->rng, (uint64_t)site->single_targets);
		int fault = SITE_FAULTS - 2 + (int)rng_below (&scenario->rng, 3);
		int64_t fault_us = at_us + random_us (scenario, 6000);
		schedule (scenario, fault_us, ACTION_FAULT, target, fault);
		schedule (scenario, fault_us + 4000000, ACTION_HEAL, target, fault);
	}
}

static void
plan_entry_faults (struct scenario *scenario)
{
	int count = 3 + (int)rng_below (&scenario->rng, 4);
	for (int i = 0; i < count; i++)
		plan_entry_fault (
			scenario, scenario->start_us + 1000000 + random_us (scenario, 14000));
	plan_long_faults (scenario);
}

/* All targets of a shard, and others, report a wrong load; their work is as usual. */
static void
plan_load_reports (struct scenario *scenario)
{
	const struct site *site = scenario->cluster.site;
	int64_t at_us = scenario->start_us + 1000000;
	int count = 4 + (int)rng_below (&scenario->rng, 12);
	int shard = (int)rng_below (&scenario->rng, (uint64_t)site->shards);
	for (int i = 0; i < count; i++) {
		int target = i < site->replicas ? shard * site->replicas + i
						: (int)rng_below (&scenario->rng,
							  (uint64_t)site_targets (site));
		int fault =
			FAULT_REPORTS + (int)rng_below (&scenario->rng, ALL_FAULTS - FAULT_REPORTS);
		int64_t fault_us = at_us + random_us (scenario, 8000);
		schedule (scenario, fault_us, ACTION_FAULT, target, fault);
		schedule (scenario, fault_us + 1000000 + random_us (scenario, 5000), ACTION_HEAL,
			target, fault);
	}
}

static void *
send_routes (void *user)
{
	struct routes_order *order = user;
	cluster_replace_routes (order->cluster, order->control, order->lower);
	free (order);
	return NULL;
}

/* A frozen control node does not answer; the processes have to be watched meanwhile. */
static void
start_routes (struct scenario *scenario, int control, bool lower)
{
	pthread_t thread;
	struct routes_order *order = xcalloc (1, sizeof (*order));
	*order = (struct routes_order){&scenario->cluster, control, lower};
	pthread_create (&thread, NULL, send_routes, order);
	pthread_detach (thread);
}

static void *
probe (void *user)
{
	struct scenario *scenario = user;
	while (scenario->probing) {
		cluster_probe (&scenario->cluster);
		http_sleep_us (PROBE_INTERVAL_US);
	}
	return NULL;
}

static void
act (struct scenario *scenario, const struct pending *pending)
{
	struct cluster *cluster = &scenario->cluster;
	struct cluster_node *entry =
		cluster_entry (cluster, pending->subject % cluster->entry_count);
	struct cluster_node *control =
		&cluster->nodes[pending->subject % cluster->site->control_nodes];
	fprintf (scenario->log, "%7.3f %s %d (%d)\n",
		(double)(http_now_us () - scenario->start_us) / 1000000,
		action_names[pending->action], pending->subject, pending->value);
	switch (pending->action) {
	case ACTION_STOP:
	case ACTION_SIGNAL_AGAIN:
		cluster_signal (entry, SIGTERM);
		return;
	case ACTION_RELOAD:
		cluster_signal (entry, SIGHUP);
		return;
	case ACTION_START:
		entry->stop_us = 0;
		cluster_start_node (cluster, entry);
		return;
	case ACTION_LARGE_ROUTES:
		cluster->extra_routes = pending->value;
		start_routes (scenario, pending->subject, false);
		return;
	case ACTION_MOVE_INDEX:
		cluster->moved = cluster->site->later_shards > 0;
		start_routes (scenario, pending->subject, false);
		return;
	case ACTION_ROUTES:
	case ACTION_LOWER_QUOTA:
		start_routes (scenario, pending->subject, pending->action == ACTION_LOWER_QUOTA);
		return;
	case ACTION_FREEZE_CONTROL:
		cluster_impair (control, IMPAIRED_FROZEN);
		cluster_signal (control, SIGSTOP);
		return;
	case ACTION_THAW_CONTROL:
		cluster_signal (control, SIGCONT);
		cluster_recover (control, IMPAIRED_FROZEN);
		return;
	case ACTION_KILL_CONTROL:
		cluster_impair (control, IMPAIRED_KILLED);
		cluster_signal (control, SIGKILL);
		return;
	case ACTION_STOP_CONTROL:
		cluster_impair (control, IMPAIRED_KILLED);
		cluster_signal (control, SIGTERM);
		return;
	case ACTION_START_CONTROL:
		control->stop_us = 0;
		if (control->pid == 0)
			cluster_start_node (cluster, control);
		cluster_recover (control, IMPAIRED_KILLED);
		return;
	case ACTION_FREEZE_ENTRY:
		cluster_impair (entry, IMPAIRED_FROZEN);
		cluster_signal (entry, SIGSTOP);
		return;
	case ACTION_THAW_ENTRY:
		cluster_signal (entry, SIGCONT);
		cluster_recover (entry, IMPAIRED_FROZEN);
		return;
	case ACTION_KILL_ENTRY:
		cluster_impair (entry, IMPAIRED_KILLED);
		entry->killed = entry->pid != 0;
		cluster_signal (entry, SIGKILL);
		cluster_recover (entry, IMPAIRED_KILLED);
		return;
	case ACTION_LINK_FAULT:
		if (pending->value != PROXY_DELAY)
			cluster_impair (entry, IMPAIRED_LINKS);
		entry->proxy.delay_ms = LINK_DELAY_MS;
		entry->proxy.fault = pending->value;
		return;
	case ACTION_LINK_HEAL:
		entry->proxy.fault = PROXY_NONE;
		cluster_recover (entry, IMPAIRED_LINKS);
		return;
	case ACTION_LINK_RESET:
		cluster_impair (entry, IMPAIRED_RESET);
		entry->resetting = true;
		fprintf (scenario->log, "        %d connections are reset\n",
			proxy_reset (&entry->proxy));
		return;
	case ACTION_FAULT:
	case ACTION_HEAL:
		cluster_set_fault (cluster, faults[pending->value], pending->subject,
			pending->action == ACTION_FAULT);
		return;
	}
}

/* A reset lasts until the threads of the proxy have seen it. */
static void
finish_resets (struct scenario *scenario)
{
	for (int i = 0; i < scenario->cluster.entry_count; i++) {
		struct cluster_node *node = cluster_entry (&scenario->cluster, i);
		if (!node->resetting || !proxy_has_reset (&node->proxy))
			continue;
		node->resetting = false;
		cluster_recover (node, IMPAIRED_RESET);
		fprintf (scenario->log, "%7.3f the connections of entry node %d have been reset\n",
			(double)(http_now_us () - scenario->start_us) / 1000000, i);
	}
}

static void
run_due (struct scenario *scenario)
{
	for (int i = 0; i < scenario->pending_count; i++) {
		struct pending pending = scenario->pending[i];
		if (pending.at_us > http_now_us ())
			continue;
		scenario->pending[i--] = scenario->pending[--scenario->pending_count];
		act (scenario, &pending);
	}
}

static void
fail (struct scenario *scenario, const struct cluster_node *node, const char *text, int value)
{
	scenario->failures++;
	fprintf (scenario->log, "PROCESS: node n%d %s (%d)\n", node->number, text, value);
	printf ("PROCESS: node n%d %s (%d)\n", node->number, text, value);
}

/* SIGTERM came before the program could run; it has done nothing, and no program can prevent that.
 */
static bool
ended_before_it_ran (struct scenario *scenario, const struct cluster_node *node, int status)
{
	if (!WIFSIGNALED (status) || WTERMSIG (status) != SIGTERM || node->stop_us == 0 ||
		node->stop_us - node->executed_us >= LOADING_US)
		return false;
	scenario->unstarted++;
	return true;
}

/* An entry node has ended: it must have been asked to, end well and in time; it starts again. */
static void
watch_entry (struct scenario *scenario, int index)
{
	struct cluster_node *node = cluster_entry (&scenario->cluster, index);
	int status = 0;
	if (node->pid == 0)
		return;
	bool ended = cluster_reap (node, &status);
	int64_t stopping_us = node->stop_us ? http_now_us () - node->stop_us : 0;
	/* Resets of callers' connections do not delay a stop. */
	unsigned kinds =
		node->stop_us ? cluster_impairments (node, node->stop_us, http_now_us ()) : 0;
	bool impaired = (kinds & ~(unsigned)IMPAIRED_RESET) != 0;
	if (!ended && stopping_us > CLUSTER_GRACE_US) {
		if (!impaired)
			fail (scenario, node,
				"did not end within the grace period, killed; ms since SIGTERM",
				(int)(stopping_us / 1000));
		cluster_signal (node, SIGKILL);
		while (!cluster_reap (node, &status))
			http_sleep_us (STEP_US);
	} else if (!ended) {
		return;
	}
	fprintf (scenario->log,
		"%7.3f entry node %d has ended %lld ms after SIGTERM, which came %lld us after it "
		"was executed\n",
		(double)(http_now_us () - scenario->start_us) / 1000000, index,
		(long long)(stopping_us / 1000),
		node->stop_us ? (long long)(node->stop_us - node->executed_us) : -1);
	if (ended && !node->killed && !ended_before_it_ran (scenario, node, status) &&
		(node->stop_us == 0 || !WIFEXITED (status) || WEXITSTATUS (status) != 0))
		fail (scenario, node, "ended by itself or badly; status", status);
	node->killed = false;
	int64_t start_us = http_now_us () + random_us (scenario, 1500);
	schedule (scenario, start_us, ACTION_START, index, 0);
	/* Some are stopped while they start. */
	if (one_in (scenario, 4))
		schedule (scenario, start_us + random_us (scenario, 1500), ACTION_STOP, index, 0);
}

static void
watch_processes (struct scenario *scenario)
{
	struct cluster *cluster = &scenario->cluster;
	int status = 0;
	for (int i = 0; i < cluster->entry_count; i++)
		watch_entry (scenario, i);
	for (int i = 0; i < cluster->site->control_nodes; i++) {
		struct cluster_node *node = &cluster->nodes[i];
		if (node->pid == 0 || !cluster_reap (node, &status))
			continue;
		if (node->stop_us != 0 && WIFEXITED (status) && WEXITSTATUS (status) == 0)
			schedule (scenario, http_now_us () + random_us (scenario, 1000),
				ACTION_START_CONTROL, i, 0);
		else if (!WIFSIGNALED (status) || WTERMSIG (status) != SIGKILL)
			fail (scenario, node, "ended by itself or badly; status", status);
	}
}

static bool
all_run (struct scenario *scenario)
{
	for (int i = 0; i < scenario->cluster.entry_count; i++) {
		const struct cluster_node *node = cluster_entry (&scenario->cluster, i);
		if (node->pid == 0 || node->stop_us != 0)
			return false;
	}
	return scenario->pending_count == 0;
}

/* Entry nodes with a share of a processor: they are stopped and continued in turns. */
static void
limit_entry_nodes (struct scenario *scenario, bool on)
{
	for (int i = 0; i < scenario->cluster.entry_count; i++) {
		struct cluster_node *node = cluster_entry (&scenario->cluster, i);
		cluster_signal (node, on ? SIGCONT : SIGSTOP);
	}
}

static void
limit_in_turns (struct scenario *scenario)
{
	const struct settings *settings = scenario->settings;
	if (settings->on_ms == 0)
		return;
	int64_t phase_ms = http_now_us () / 1000 % settings->period_ms;
	bool on = phase_ms < settings->on_ms;
	if (on != scenario->limited)
		return;
	limit_entry_nodes (scenario, on);
	scenario->limited = !on;
}

static void
play (struct scenario *scenario)
{
	pthread_t prober;
	int64_t end_us = INT64_MAX;
	scenario->probing = true;
	pthread_create (&prober, NULL, probe, scenario);
	plan (scenario);
	if (scenario->settings->entry_faults)
		plan_entry_faults (scenario);
	if (scenario->settings->load_reports)
		plan_load_reports (scenario);
	if (scenario->settings->lower_quota)
		schedule (scenario, scenario->start_us + 2000000 + random_us (scenario, 4000),
			ACTION_LOWER_QUOTA, 0, 0);
	while (http_now_us () < end_us) {
		run_due (scenario);
		finish_resets (scenario);
		watch_processes (scenario);
		limit_in_turns (scenario);
		if (end_us == INT64_MAX && all_run (scenario)) {
			/* A change that running nodes have to follow. */
			if (scenario->settings->entry_faults)
				start_routes (scenario, 0, false);
			end_us = http_now_us () + TAIL_US;
		}
		http_sleep_us (scenario->settings->on_ms ? LIMIT_STEP_US : STEP_US);
	}
	limit_entry_nodes (scenario, true);
	scenario->probing = false;
	pthread_join (prober, NULL);
}

/* All entry nodes must have the version of the routes that is returned. */
static void
check_views (struct scenario *scenario, long version)
{
	int64_t end_us = http_now_us () + VIEW_TIMEOUT_US;
	for (int i = 0; i < scenario->cluster.entry_count; i++) {
		bool has = cluster_has_version (&scenario->cluster, i, version);
		while (!has && http_now_us () < end_us) {
			http_sleep_us (STEP_US);
			has = cluster_has_version (&scenario->cluster, i, version);
		}
		if (!has)
			fail (scenario, cluster_entry (&scenario->cluster, i),
				"does not have the version of the routes", (int)version);
	}
}

/* Targets that drain must not be used any more. */
static void
check_draining (struct scenario *scenario)
{
	int late = cluster_late_arrivals (&scenario->cluster);
	if (late == 0)
		return;
	scenario->failures++;
	const char *text = late > 0 ? "DRAINING: %d requests reached targets too late\n"
				    : "DRAINING: the mock of the platform did not answer (%d)\n";
	fprintf (scenario->log, text, late);
	printf (text, late);
}

/* An accepted version of the routes must be there, or a newer one. */
static void
check_routes (struct scenario *scenario)
{
	long version = -1;
	int64_t end_us = http_now_us () + READ_TIMEOUT_US;
	while (version < 0 && http_now_us () < end_us) {
		version = cluster_read_version (&scenario->cluster);
		http_sleep_us (STEP_US);
	}
	check_views (scenario, version);
	if (version >= scenario->cluster.accepted_version)
		return;
	scenario->failures++;
	fprintf (scenario->log, "ORDER: version %ld was accepted, %ld is returned\n",
		(long)scenario->cluster.accepted_version, version);
	printf ("ORDER: version %ld was accepted, %ld is returned\n",
		(long)scenario->cluster.accepted_version, version);
}

/* Returns whether all promises were kept. */
static bool
run_seed (const struct settings *settings, long seed)
{
	static struct scenario scenario;
	char folder[512];
	char path[560];
	char run[32];
	snprintf (folder, sizeof (folder), "%s/seed-%ld-XXXXXX", settings->folder, seed);
	if (!mkdtemp (folder))
		return false;
	snprintf (path, sizeof (path), "%s/plan.log", folder);
	snprintf (run, sizeof (run), "s%ld", seed);
	memset (&scenario, 0, sizeof (scenario));
	scenario.settings = settings;
	scenario.rng.state = (uint64_t)seed;
	scenario.log = fopen (path, "w");
	scenario.cluster = (struct cluster){.daemon = settings->daemon,
		.platform = settings->platform,
		.folder = folder,
		.site = settings->site,
		.plain_list = settings->plain_list,
		.proxied = settings->proxied,
		.accounts = settings->accounts,
		.drain_ms = settings->entry_faults ? DRAIN_MS + CONTACT_MS : DRAIN_MS,
		.base_port = (int)settings->base_port,
		.entry_count = (int)settings->entry_nodes};
	account_versions_init (&scenario.cluster.versions);
	bool started = scenario.log && cluster_start (&scenario.cluster);
	if (started) {
		scenario.start_us = scenario.cluster.start_us = http_now_us ();
		callers_start (&scenario.callers, &scenario.cluster, run, settings->site->callers,
			(uint64_t)seed);
		play (&scenario);
		callers_stop (&scenario.callers);
		callers_check (&scenario.callers, scenario.log);
		check_routes (&scenario);
		check_draining (&scenario);
	}
	cluster_kill (&scenario.cluster);
	const struct callers_report *r = &scenario.callers.report;
	bool clean = started && scenario.failures == 0 && callers_report_is_clean (r);
	printf ("seed %ld: %s; answered %ld, failed %ld, refused %ld, not connected %ld, cut while "
		"sending %ld, crossed a close %ld, beside impairments of their node %ld (reset by "
		"the proxy %ld); lost %ld, "
		"by the rule %ld, no answer %ld, mixed "
		"%ld, false "
		"refusals "
		"%ld, twice %ld, processes %ld (ended before they ran %ld); %s\n",
		seed, clean ? "kept" : "BROKEN", r->answered, r->failed, r->refused,
		r->not_connected, r->cut_sending, r->crossed, r->impaired, r->reset, r->lost,
		r->lost_by_rule, r->timed_out, r->mixed, r->false_refusal, r->twice,
		scenario.failures, scenario.unstarted, path);
	if (settings->accounts)
		printf ("seed %ld: valid keys refused %ld, invalid keys accepted %ld, over the "
			"quota "
			"%ld; at most %d requests of account %d in a window, %d allowed; with the "
			"lowered quota %d, %d allowed\n",
			seed, r->false_401, r->missed_401, r->over_quota, r->most_in_window,
			ACCOUNT_HOT, accounts_bound (false), r->most_lowered,
			accounts_bound (true));
	fflush (stdout);
	if (started)
		callers_finish (&scenario.callers);
	if (scenario.log)
		fclose (scenario.log);
	return clean;
}

static error_t
parse_argument (int key, char *arg, struct argp_state *state)
{
	struct settings *settings = state->input;
	switch (key) {
	case 'S':
		settings->site = site_find (arg);
		return settings->site ? 0 : EINVAL;
	case 'P':
		settings->plain_list = true;
		return 0;
	case 'E':
		settings->entry_faults = true;
		return 0;
	case 'X':
		settings->proxied = true;
		return 0;
	case 'A':
		settings->accounts = true;
		return 0;
	case 'L':
		settings->load_reports = true;
		return 0;
	case 'Q':
		settings->accounts = settings->lower_quota = true;
		return 0;
	case 'o':
		settings->on_ms = strtol (arg, NULL, 10);
		return 0;
	case 'O':
		settings->period_ms = strtol (arg, NULL, 10);
		return 0;
	case 'd':
		settings->daemon = arg;
		return 0;
	case 'p':
		settings->platform = arg;
		return 0;
	case 'f':
		settings->folder = arg;
		return 0;
	case 'b':
		settings->base_port = strtol (arg, NULL, 10);
		return 0;
	case 's':
		settings->first_seed = strtol (arg, NULL, 10);
		return 0;
	case 'n':
		settings->seeds = strtol (arg, NULL, 10);
		return 0;
	case 'e':
		settings->entry_nodes = strtol (arg, NULL, 10);
		return 0;
	case 't':
		settings->stops = strtol (arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options_table[] = {
	{"site", 'S', "NAME", 0, "small, registry or kombucha", 0},
	{"plain-list", 'P', NULL, 0, "Leave out list entries that cannot be decoded", 0},
	{"entry-faults", 'E', NULL, 0, "Freeze and kill entry nodes beside the stops", 0},
	{"proxy", 'X', NULL, 0, "Callers reach entry nodes by way of proxies", 0},
	{"accounts", 'A', NULL, 0, "Callers use client accounts, whose keys change", 0},
	{"load-reports", 'L', NULL, 0, "Targets report a wrong load at times", 0},
	{"lower-quota", 'Q', NULL, 0, "As --accounts, and the quota of one account is lowered", 0},
	{"on-ms", 'o', "MS", 0, "Entry nodes run for so long in each period; 0: all the time", 0},
	{"period-ms", 'O', "MS", 0, "The period", 0},
	{"daemon", 'd', "PATH", 0, "oleanderstiled, or oleanderstiled-start", 0},
	{"platform", 'p', "PATH", 0, "stand-in-platform", 0},
	{"folder", 'f', "PATH", 0, "Existing folder for logs and data", 0},
	{"base-port", 'b', "PORT", 0, "First of the ports in use; parallel runs need others", 0},
	{"seed", 's', "N", 0, "First seed", 0},
	{"seeds", 'n', "N", 0, "Number of seeds", 0},
	{"entry-nodes", 'e', "N", 0, "Number of entry nodes, 2 to 8, instead of the site's", 0},
	{"stops", 't', "N", 0, "Planned stops of each run of the small site", 0},
	{0},
};

static const struct argp argp = {options_table, parse_argument, NULL,
	"Plays planned stops beside other changes and checks what callers and targets see.", NULL,
	NULL, NULL};

int
main (int argc, char **argv)
{
	struct settings settings = {.daemon = "build/oleanderstiled-start",
		.platform = "build/test/stand-in-platform",
		.folder = "/tmp",
		.base_port = 25000,
		.first_seed = 1,
		.seeds = 1,
		.site = site_find ("small"),
		.period_ms = 100,
		.stops = 3};
	long broken = 0;
	argp_parse (&argp, argc, argv, 0, NULL, &settings);
	if (settings.entry_nodes == 0)
		settings.entry_nodes = settings.site->entry_nodes;
	if (settings.period_ms < 1)
		return EXIT_FAILURE;
	if (settings.entry_nodes < 2 || settings.entry_nodes > CLUSTER_ENTRY_MAX)
		return EXIT_FAILURE;
	signal (SIGPIPE, SIG_IGN);
	for (long i = 0; i < settings.seeds; i++)
		broken += !run_seed (&settings, settings.first_seed + i);
	printf ("soak: %ld seeds, %ld broken\n", settings.seeds, broken);
	return broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
