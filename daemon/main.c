/**
 * @file main.c
 * The daemon oleanderstiled: reads the settings, starts threads and servers, passes messages from
 * peers to the threads that handle them, handles signals and performs the planned stop.
 */
#include "control/command.h"
#include "core/heap.h"
#include "core/metrics.h"
#include "daemon/callers.h"
#include "daemon/control.h"
#include "daemon/front.h"
#include "daemon/monitoring.h"
#include "daemon/operators.h"
#include "daemon/orders.h"
#include "daemon/signals.h"
#include "daemon/worker.h"

#include <argp.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>
#include <xxhash.h>

const char *argp_program_version = "oleanderstiled 0.1.0";

enum { KEY_CHECK = 256, KEY_BOOTSTRAP, KEY_LIST_EVENTS, KEY_LIST_OPTIONS };

enum {
	SETTINGS_CHECK_INTERVAL_S = 1, /* finds changes of the file without a signal */
	STOP_POLL_INTERVAL_MS = 20,
	/* Each wait for requests in flight during a planned stop is at most this long. */
	STOP_TIMEOUT_MS = 60000,
	HANDOVER_TIMEOUT_MS = 8000, /* time for other nodes to take over the targets */
	/* Longest wait for the reply to a poll that announces the exit. */
	EXIT_ACK_TIMEOUT_MS = 1000,
	/* The same for nodes with a front, which use the grace period for callers. */
	EXIT_ACK_FRONT_TIMEOUT_MS = 100,
};

static void
block_signals (void)
{
	sigset_t signals = handled_signals ();
	sigprocmask (SIG_BLOCK, &signals, NULL);
}

/*
 * A signal that comes during the start stays pending until the main thread waits for it, so that a
 * SIGTERM leads to a planned stop. The dynamic loader calls this before the initializers of the
 * shared libraries. The time that it needs before is covered by oleanderstiled-start only; without
 * that program a signal ends the process then, which has done nothing yet.
 */
__attribute__ ((section (".preinit_array"), used)) static void (*const block_signals_early) (
	void) = block_signals;

/** HTTP servers of this process; those that the settings leave out are NULL. */
struct servers {
	struct mg_context *callers;
	struct mg_context *operators;
	struct orders orders;
	struct mg_context *metrics;
};

struct arguments {
	const char *config;
	bool check;
	bool bootstrap;
};

static const struct argp_option options_table[] = {
	{"config", 'c', "FILE", 0, "Settings file (INI)", 0},
	{"check-config", KEY_CHECK, NULL, 0, "Check the settings and exit", 0},
	{"bootstrap", KEY_BOOTSTRAP, NULL, 0,
		"Start a new control log in an empty data folder; once, on the first voter only",
		0},
	{"list-events", KEY_LIST_EVENTS, NULL, 0, "Print the catalogue of log events and exit", 0},
	{"list-options", KEY_LIST_OPTIONS, NULL, 0, "Print the table of settings and exit", 0},
	{0},
};

/* argp prescribes the type of arg. */
static error_t
parse_argument (
	int key, char *arg, struct argp_state *state) // NOLINT(readability-non-const-parameter)
{
	struct arguments *arguments = state->input;
	switch (key) {
	case 'c':
		arguments->config = arg;
		return 0;
	case KEY_CHECK:
		arguments->check = true;
		return 0;
	case KEY_BOOTSTRAP:
		arguments->bootstrap = true;
		return 0;
	case KEY_LIST_EVENTS:
		log_print_catalogue ();
		exit (EXIT_SUCCESS);
	case KEY_LIST_OPTIONS:
		options_print_manual ();
		exit (EXIT_SUCCESS);
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {options_table, parse_argument, NULL,
	"Query daemon: serves callers, sends requests to targets and follows the control log.",
	NULL, NULL, NULL};

static uint64_t
origin_hash (const struct peer_route *route)
{
	return XXH64 (route->id, route->len, 2);
}

static void
receive_batch (struct node *node, const struct peer_route *from, const void *data, size_t len)
{
	struct sub_batch batch;
	if (!subwire_decode_batch (&batch, data, len)) {
		metric_add (METRIC_PEER_DROPPED, 1);
		free (batch.items);
		return;
	}
	struct blob *text = blob_new (batch.text, batch.text_len);
	int64_t now_us = clock_now_us (&node->clock);
	for (int i = 0; i < batch.count; i++) {
		const struct sub_item *item = &batch.items[i];
		struct work_item *work = xcalloc (1, sizeof (*work));
		work->origin.route = *from;
		work->origin.hash = origin_hash (from);
		work->request = batch.request;
		work->attempt = item->attempt;
		work->kind = batch.kind;
		work->snapshot = item->snapshot;
		work->shard = item->shard;
		work->deadline_us = now_us + item->remaining_us;
		work->text = text;
		str_copy (work->target, sizeof (work->target), item->target);
		blob_ref (text);
		worker_post_work (node, work);
	}
	blob_unref (text);
	free (batch.items);
}

static void
receive_cancel (struct node *node, const struct peer_route *from, const void *data, size_t len)
{
	struct sub_cancel cancel;
	if (subwire_decode_cancel (&cancel, data, len))
		worker_post_cancel (
			node, origin_hash (from), cancel.request, cancel.attempts, cancel.count);
	else
		metric_add (METRIC_PEER_DROPPED, 1);
	free (cancel.attempts);
}

static void
receive_peer (void *user, enum peer_message_class class, const struct peer_route *from,
	const void *data, size_t len)
{
	struct node *node = user;
	switch (class) {
	case PEER_CONTROL: {
		struct control_message message;
		if (control_message_decode (&message, data, len)) {
			control_post_message (node->control, from, &message);
			return;
		}
		metric_add (METRIC_PEER_DROPPED, 1);
		control_message_finish (&message);
		return;
	}
	case PEER_BATCH:
		receive_batch (node, from, data, len);
		return;
	case PEER_REPLY: {
		struct sub_reply reply;
		if (subwire_decode_reply (&reply, data, len))
			worker_post_reply (node, &reply);
		else
			metric_add (METRIC_PEER_DROPPED, 1);
		return;
	}
	case PEER_CANCEL:
		receive_cancel (node, from, data, len);
		return;
	case PEER_MESSAGE_CLASS_COUNT:
		return;
	}
}

static void
init_query_policy (struct node *node)
{
	const struct options *options = &node->options;
	struct query_policy *policy = &node->policy;
	policy->hedge = options->query_hedge != 0;
	policy->hedge_percentile = (int)options->query_hedge_quantile;
	policy->extra_percent = (int)options->query_hedge_percent;
	policy->hedge_default_us = options->query_silence_ms * US_PER_MS / 2;
	policy->silence_us = options->query_silence_ms * US_PER_MS;
	policy->baseline = options->query_baseline != 0;
}

static bool
start_threads (struct node *node, struct control *control, struct front *front, bool bootstrap,
	struct error *error)
{
	const struct options *options = &node->options;
	if (!control_start (control, node, bootstrap, error))
		return false;
	node->worker_count = (int)options->node_workers;
	node->workers = xcalloc ((size_t)node->worker_count, sizeof (*node->workers));
	for (int i = 0; i < node->worker_count; i++) {
		if (!worker_start (&node->workers[i], node, i, error))
			return false;
	}
	if (options->front_address[0] || options->front_list_address[0]) {
		node->front = front;
		if (!front_start (front, node, error))
			return false;
	}
	return peer_start (&node->peer, options->node_peer_address, options->control_key,
		       node->incarnation, &node->clock, &node->log, receive_peer, node, error) &&
	       control_run (control, error);
}

static void
sleep_ms (long ms)
{
	struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
	nanosleep (&ts, NULL);
}

/* Signals during a planned stop are only logged. */
static void
log_further_signal (struct node *node, const sigset_t *signals)
{
	struct timespec zero = {0};
	if (sigtimedwait (signals, NULL, &zero) > 0)
		log_event (&node->log, EVENT_NODE_SIGNAL_AGAIN, "already stopping");
}

static int
running_at_targets (const struct node *node)
{
	int running = 0;
	for (int i = 0; i < node->worker_count; i++)
		running += atomic_load (&node->workers[i].owned_running);
	return running;
}

static bool
are_targets_handed_over (struct node *node)
{
	struct view *view = node_view_get (node);
	if (!view)
		return true;
	int self = view_find_member (view, node->options.node_name);
	bool leaving = self < 0 || view->members[self].leaving;
	bool alone = view->member_count <= 1;
	uint64_t epoch = view->epoch;
	view_unref (view);
	return alone || (leaving && atomic_load (&node->settled_revision) >= epoch);
}

/* Waits until a condition is true or a time has come; logs further signals meanwhile. */
static void
wait_until (struct node *node, const sigset_t *signals, bool (*condition) (struct node *),
	int64_t end_us)
{
	while (clock_now_us (&node->clock) < end_us && !condition (node)) {
		log_further_signal (node, signals);
		sleep_ms (STOP_POLL_INTERVAL_MS);
	}
}

static bool
is_idle (struct node *node)
{
	if (node->front && atomic_load (&node->front->in_flight) > 0)
		return false;
	return atomic_load (&node->calls) == 0 && running_at_targets (node) == 0;
}

static bool
is_exit_acknowledged (struct node *node)
{
	return atomic_load (&node->control->exit_acknowledged);
}

static bool
is_front_drained (struct node *node)
{
	int64_t since_us = clock_now_us (&node->clock) - atomic_load (&node->front->stop_began_us);
	return since_us >= DRAIN_BALANCER_LAG_US && is_idle (node) &&
	       atomic_load (&node->front->connections) == 0;
}

static void
log_stop_step (struct node *node, int64_t began_us, const char *step)
{
	log_event (&node->log, EVENT_STOP_STEP, "%s after %lld ms", step,
		(long long)((clock_now_us (&node->clock) - began_us) / US_PER_MS));
}

/* Serves open connections until their callers have closed them or the plan's time has come. */
static void
stop_front (struct node *node, const struct stop_plan *plan, const sigset_t *signals)
{
	front_begin_stop (node->front, plan);
	wait_until (node, signals, is_front_drained, plan->refuse_us);
	log_stop_step (node, plan->began_us, "front drained");
	/* New requests are refused from now on; wait for those that were accepted before. */
	front_refuse_unsent (node->front);
	wait_until (node, signals, is_idle, plan->answer_us);
	log_stop_step (node, plan->began_us, "last answers begun");
}

static int64_t
deadline_us (struct node *node, int timeout_ms)
{
	return clock_now_us (&node->clock) + timeout_ms * (int64_t)US_PER_MS;
}

static void
stop_callers (struct node *node, struct mg_context *callers, const sigset_t *signals)
{
	wait_until (
		node, signals, are_targets_handed_over, deadline_us (node, HANDOVER_TIMEOUT_MS));
	for (int waited_ms = 0; waited_ms < node->options.node_stop_wait_ms;
		waited_ms += STOP_POLL_INTERVAL_MS) {
		log_further_signal (node, signals);
		sleep_ms (STOP_POLL_INTERVAL_MS);
	}
	atomic_store (&node->refusing_calls, true);
	/* Includes calls whose body is still being sent; the server would cut them. */
	wait_until (node, signals, is_idle, deadline_us (node, STOP_TIMEOUT_MS));
	mg_stop (callers);
	wait_until (node, signals, is_idle, deadline_us (node, STOP_TIMEOUT_MS));
}

static void
announce_exit (struct node *node, const struct stop_plan *plan, const sigset_t *signals)
{
	int64_t end_us =
		deadline_us (node, node->front ? EXIT_ACK_FRONT_TIMEOUT_MS : EXIT_ACK_TIMEOUT_MS);
	control_set_leaving (node->control, true);
	wait_until (node, signals, is_exit_acknowledged,
		end_us < plan->exit_us ? end_us : plan->exit_us);
	log_stop_step (node, plan->began_us, "exit announced");
}

/* Ends servers and threads; returns what has not ended when the stop is due to, or NULL. */
static const char *
end_threads (struct node *node, struct servers *servers, const struct stop_plan *plan)
{
	if (!orders_stop (&servers->orders, plan->exit_us))
		return "orders in progress";
	log_stop_step (node, plan->began_us, "orders ended");
	for (int i = 0; i < node->worker_count; i++) {
		if (!worker_stop (&node->workers[i], plan->exit_us))
			return "a worker";
	}
	log_stop_step (node, plan->began_us, "workers ended");
	if (!control_stop (node->control, plan->exit_us))
		return "the control thread";
	log_stop_step (node, plan->began_us, "control ended");
	if (!peer_stop (&node->peer, plan->exit_us))
		return "the links to other nodes";
	log_stop_step (node, plan->began_us, "peer links ended");
	return NULL;
}

/* Returns what has not ended when the stop is due to, or NULL. */
static const char *
end_node (struct node *node, struct servers *servers, const struct stop_plan *plan,
	const sigset_t *signals)
{
	if (node->front) {
		front_end (node->front);
		/* Callers wait for its last answers. */
		if (!front_join (node->front, plan->late_us))
			return "callers";
		log_stop_step (node, plan->began_us, "front ended");
	}
	announce_exit (node, plan, signals);
	return end_threads (node, servers, plan);
}

/*
 * Stops in this order: the load balancer stops sending requests and other nodes take over the
 * targets while this node still serves; then requests in flight end; then the addresses close.
 * The steps of the front do not wait for another thread without a limit: a thread may be held up by
 * a slow disk or a busy processor, and the platform kills the process while callers still wait.
 */
static void
stop_node (struct node *node, struct servers *servers, const sigset_t *signals)
{
	int64_t stop_us = node->options.front_stop_ms * US_PER_MS;
	int64_t began_us = clock_now_us (&node->clock);
	log_event (&node->log, EVENT_NODE_STOPPING, "%d requests in flight",
		atomic_load (&node->admission.in_flight));
	atomic_store (&node->stopping, true);
	control_set_leaving (node->control, false);
	if (servers->callers) {
		stop_callers (node, servers->callers, signals);
		log_stop_step (node, began_us, "callers' server ended");
		began_us = clock_now_us (&node->clock);
	}
	struct stop_plan plan = stop_plan_make (began_us, stop_us);
	if (node->front && node->options.front_address[0])
		stop_front (node, &plan, signals);
	const char *left = end_node (node, servers, &plan, signals);
	if (left)
		log_event (&node->log, EVENT_STOP_CUT, "%s, %lld ms after the stop began", left,
			(long long)((clock_now_us (&node->clock) - plan.began_us) / US_PER_MS));
	else
		log_event (&node->log, EVENT_NODE_STOPPED, "%s", node->options.node_name);
}

/* Log lines are dropped when standard output is blocked, but a dump must be complete. */
static void
write_completely (const char *data, size_t len)
{
	struct pollfd writable = {.fd = STDOUT_FILENO, .events = POLLOUT};
	while (len > 0) {
		ssize_t n = write (STDOUT_FILENO, data, len);
		if (n > 0) {
			data += n;
			len -= (size_t)n;
		} else if (errno != EAGAIN && errno != EINTR) {
			return;
		} else {
			poll (&writable, 1, -1);
		}
	}
}

static _Atomic bool is_dumping;

static void *
write_dump (void *arg)
{
	struct node *node = arg;
	struct buf out;
	rcu_register_thread ();
	buf_init (&out);
	operators_dump (node, &out);
	log_event (&node->log, EVENT_STATE_DUMPED, "%zu bytes on standard output", out.len);
	buf_add (&out, "\n", 1);
	write_completely (out.data, out.len);
	buf_finish (&out);
	rcu_unregister_thread ();
	atomic_store (&is_dumping, false);
	return NULL;
}

/* In a thread of its own: it waits for other threads and for the reader of standard output. */
static void
start_dump (struct node *node)
{
	pthread_t thread;
	if (atomic_exchange (&is_dumping, true))
		return;
	if (pthread_create (&thread, NULL, write_dump, node) == 0)
		pthread_detach (thread);
	else
		atomic_store (&is_dumping, false);
}

static void
log_replaced (struct node *node, const struct options *options)
{
	if (options->replaced[0])
		log_event (&node->log, EVENT_SETTINGS_REPLACED, "%.800s", options->replaced);
}

/* Only the seeds can change while a node runs; other settings take effect at its next start. */
static void
reload (struct node *node)
{
	static struct options reloaded;
	struct error error = {0};
	if (!options_load (&reloaded, node->config_path, &error)) {
		log_event (&node->log, EVENT_SETTINGS_BAD, "%s", error.message);
		return;
	}
	control_set_peers (node->control, &reloaded);
	log_replaced (node, &reloaded);
	log_event (&node->log, EVENT_SETTINGS_READ, "%s: peers %.300s", node->config_path,
		reloaded.control_peers);
}

static bool
is_changed (const char *path, struct timespec *last_mtime)
{
	struct stat info;
	if (stat (path, &info) != 0 || (info.st_mtim.tv_sec == last_mtime->tv_sec &&
					       info.st_mtim.tv_nsec == last_mtime->tv_nsec))
		return false;
	*last_mtime = info.st_mtim;
	return true;
}

/* Handles signals until one asks for a stop. Also reloads settings that change without SIGHUP. */
static void
serve (struct node *node, const sigset_t *signals)
{
	struct timespec last_mtime = {0};
	struct timespec wait = {.tv_sec = SETTINGS_CHECK_INTERVAL_S};
	is_changed (node->config_path, &last_mtime);
	for (;;) {
		int signal = sigtimedwait (signals, NULL, &wait);
		if (signal == SIGUSR1)
			start_dump (node);
		else if (signal == SIGTERM || signal == SIGINT)
			return;
		if (signal == SIGHUP || is_changed (node->config_path, &last_mtime))
			reload (node);
	}
}

static bool
start_servers (struct node *node, struct servers *servers, struct error *error)
{
	const struct options *options = &node->options;
	servers->operators = operators_start (node, error);
	if (!servers->operators)
		return false;
	if (options->node_metrics_address[0]) {
		servers->metrics = monitoring_start (node, error);
		if (!servers->metrics)
			return false;
	}
	return true;
}

/* Opens the addresses of callers, of operators' orders and of other nodes' batches. */
static bool
open_ports (struct node *node, struct servers *servers, struct error *error)
{
	const struct options *options = &node->options;
	if (!ports_open (&node->ports, error))
		return false;
	if (options->control_orders_address[0] && !orders_start (&servers->orders, node, error))
		return false;
	if (options->front_address[0] && !front_serve (node->front, error))
		return false;
	if (!options->node_caller_address[0])
		return true;
	servers->callers = callers_start (node, error);
	return servers->callers != NULL;
}

static bool
take_stop_signal (void)
{
	struct timespec zero = {0};
	sigset_t signals;
	sigemptyset (&signals);
	sigaddset (&signals, SIGTERM);
	sigaddset (&signals, SIGINT);
	return sigtimedwait (&signals, NULL, &zero) > 0;
}

static void
log_started (struct node *node)
{
	log_event (&node->log, EVENT_NODE_STARTED, "%s: callers %s, routes %s, orders %s, log %s",
		node->options.node_name, node->options.node_caller_address,
		node->options.front_address, node->options.control_orders_address,
		node->options.control_data_dir);
	log_replaced (node, &node->options);
}

/* Starts everything but the servers at the addresses that open_ports opens. */
static bool
start_node (struct node *node, struct servers *servers, struct control *control,
	struct front *front, bool bootstrap, struct error *error)
{
	return ports_bind (&node->ports, &node->options, error) &&
	       start_threads (node, control, front, bootstrap, error) &&
	       start_servers (node, servers, error);
}

static int
run_node (struct node *node, bool bootstrap)
{
	struct error error = {0};
	struct control control;
	static struct front front;
	struct servers servers = {0};
	sigset_t signals = handled_signals ();
	signal (SIGPIPE, SIG_IGN);
	node->control = &control;
	bool started = start_node (node, &servers, &control, &front, bootstrap, &error);
	/* The grace period of a stop has begun; callers that come now might outlast it. */
	bool stopping = started && take_stop_signal ();
	if (started && !stopping)
		started = open_ports (node, &servers, &error);
	if (!started) {
		log_event (&node->log, EVENT_NODE_START_FAILED, "%s", error.message);
		/* Threads may be running, and exit() would not end them first. */
		_exit (EXIT_FAILURE);
	}
	if (!stopping) {
		log_started (node);
		serve (node, &signals);
	}
	stop_node (node, &servers, &signals);
	/* Stopping the operators' server would take up to 2 s, and it has no state to save. */
	_exit (EXIT_SUCCESS);
}

int
main (int argc, char **argv)
{
	static struct node node;
	struct arguments arguments = {.config = "/etc/oleanderstile/oleanderstiled.ini"};
	struct error error = {0};
	heap_init ();
	argp_parse (&argp, argc, argv, 0, NULL, &arguments);
	if (!options_load (&node.options, arguments.config, &error)) {
		fprintf (stderr, "%s\n", error.message);
		return EXIT_FAILURE;
	}
	if (arguments.check) {
		printf ("%s: no errors\n", arguments.config);
		if (node.options.replaced[0])
			printf ("replaced, since out of range: %s\n", node.options.replaced);
		return EXIT_SUCCESS;
	}
	node.config_path = arguments.config;
	if (getrandom (&node.incarnation, sizeof (node.incarnation), 0) < 0)
		return EXIT_FAILURE;
	log_set_output (STDOUT_FILENO);
	clock_init_system (&node.clock);
	node.log.module = "node";
	node.log.level = (enum log_level)log_level_parse (node.options.log_level);
	hint_table_init (&node.hints);
	init_query_policy (&node);
	admission_init (&node.admission, (int)node.options.query_max_in_flight);
	mg_init_library (0);
	rcu_register_thread ();
	int status = run_node (&node, arguments.bootstrap);
	rcu_unregister_thread ();
	hint_table_finish (&node.hints);
	return status;
}
