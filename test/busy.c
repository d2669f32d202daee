/**
 * @file busy.c
 * Replays load on routes whose targets ask for no requests for some time, on a paused clock:
 * requests arrive at a fixed rate at some entry nodes and targets work as mock targets do. Compares
 * what callers get while nodes leave such targets alone with what they get otherwise.
 */
#include "core/buf.h"
#include "core/clock.h"
#include "core/rng.h"
#include "platform/manifest.h"
#include "query/scatter.h"
#include "test/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	SERVICES = 3,
	REPLICAS = 4,
	MAX_NODES = 8,
	MAX_REQUESTS = 16384,
	MAX_SENDS = 4096,
	MS = US_PER_MS,
	STEP_US = 500,
	RUN_MS = 8000,
	SERVICE_MS = 10,
	STRAGGLE_MS = 100,
	SLOTS = 8,
	DEADLINE_MS = 1500,
	SLACK_MS = 500, /* a request on its way may still arrive for so long after a refusal */
};

/* When a target refuses. */
enum busy_kind { BUSY_NEVER, BUSY_TURNS, BUSY_FLOOD, BUSY_ALL };

static const char *const kind_names[] = {"not busy", "in turns", "flood", "all at once"};

struct load {
	enum busy_kind kind;
	const char *route;
	int nodes;
	int rate_per_s; /* over all nodes */
	bool obeyed;    /* nodes leave a target alone for the time that it asks for */
};

struct target {
	int running;
	int64_t refused_us[MAX_NODES]; /* when it last refused a node; 0: never */
	int64_t until_us[MAX_NODES];   /* for how long it wanted nothing from the node then */
	int early[MAX_NODES];          /* requests of the node in that time */
};

struct request {
	struct scatter scatter;
	struct node *node;
	bool open;
	bool delivered;
	int64_t start_us;
	int64_t took_us;
	bool whole;
};

struct send {
	struct request *request; /* NULL: abandoned */
	int shard;
	struct replica *replica; /* NULL: a free entry */
	struct replica_use use;
	int64_t end_us;
	int64_t asked_us; /* refused, and asked for no requests for so long; 0: it runs */
};

struct node {
	struct routing *routing;
	struct replica_set sets[SERVICES];
	struct replica replicas[SERVICES][REPLICAS];
	struct rng rng;
};

/* What callers got. */
struct outcome {
	int sent;
	int open; /* requests that did not end */
	int whole;
	int64_t p99_us;
	int64_t mean_us; /* with the whole deadline for callers without a whole answer */
	int refusals;    /* by targets, with a time to return */
	int most_early;  /* requests of one node in one time, after SLACK_MS */
	int repeats;     /* sub-requests beyond the first of each shard */
};

static struct load load;
static struct target targets[SERVICES][REPLICAS];
static struct node nodes[MAX_NODES];
static struct request *requests;
static struct send sends[MAX_SENDS];
static int send_count; /* entries that were used so far */
static struct outcome outcome;
static int64_t now_us;
static int64_t start_us;
static struct rng rng;

/* How long a target still refuses; 0: it takes requests. */
static int64_t
busy_left_us (int replica)
{
	int64_t at_us = now_us - start_us;
	int64_t turn_us = (int64_t)2000 * MS;
	switch (load.kind) {
	case BUSY_NEVER:
		return 0;
	case BUSY_TURNS:
		return at_us / turn_us % 2 == replica / 2 ? turn_us - at_us % turn_us : 0;
	case BUSY_FLOOD:
		return replica < 2 ? 50 * MS : 0;
	case BUSY_ALL:
		return at_us % (2 * turn_us) < turn_us / 2 ? turn_us / 2 - at_us % (2 * turn_us)
							   : 0;
	}
	return 0;
}

static void
count_arrival (struct target *target, int node)
{
	if (now_us <= target->refused_us[node] + SLACK_MS * MS || now_us >= target->until_us[node])
		return;
	target->early[node]++;
	if (target->early[node] > outcome.most_early)
		outcome.most_early = target->early[node];
}

static struct send *
free_send (void)
{
	for (int i = 0; i < send_count; i++) {
		if (!sends[i].replica)
			return &sends[i];
	}
	if (send_count == MAX_SENDS)
		abort ();
	return &sends[send_count++];
}

static void
on_send (struct scatter *scatter, int shard, struct replica *replica)
{
	struct request *request = caa_container_of (scatter, struct request, scatter);
	struct node *node = request->node;
	int service = (int)(replica->set - node->sets);
	int number = (int)(replica - node->replicas[service]);
	int node_number = (int)(node - nodes);
	struct target *target = &targets[service][number];
	struct send *sent = free_send ();
	*sent = (struct send){.request = request, .shard = shard, .replica = replica};
	replica_begin (replica, &sent->use, now_us);
	count_arrival (target, node_number);
	sent->asked_us = busy_left_us (number);
	if (sent->asked_us > 0) {
		outcome.refusals++;
		if (now_us >= target->until_us[node_number]) {
			target->early[node_number] = 0;
			target->refused_us[node_number] = now_us;
		}
		target->until_us[node_number] = now_us + sent->asked_us;
		sent->end_us = now_us + MS;
		return;
	}
	target->running++;
	int queue = target->running > SLOTS ? target->running - SLOTS : 0;
	sent->end_us = now_us + SERVICE_MS * MS + (int64_t)SERVICE_MS * MS * queue / SLOTS;
	if (rng_below (&rng, 100) == 0)
		sent->end_us += STRAGGLE_MS * MS;
}

static void
on_deliver (struct scatter *scatter)
{
	struct request *request = caa_container_of (scatter, struct request, scatter);
	request->delivered = true;
	request->took_us = now_us - request->start_us;
	request->whole = (scatter->result == SCATTER_REPLY || scatter->result == SCATTER_MERGED) &&
			 scatter->answered == scatter->shard_count;
	outcome.repeats += scatter->hedges + scatter->retries;
}

static void
on_nothing (struct scatter *scatter)
{
	(void)scatter;
}

static const struct scatter_hooks hooks = {on_send, on_deliver, on_nothing, on_nothing};
static const struct scatter_policy policy = {
	.data_centre = "z0", .extra_percent = 20, .margin_us = 10 * MS};

/* Requests in flight of a request that has ended are abandoned. */
static void
finish_delivered (struct request *request)
{
	if (!request->open || !request->delivered)
		return;
	for (int i = 0; i < send_count; i++) {
		if (sends[i].replica && sends[i].request == request)
			sends[i].request = NULL;
	}
	scatter_finish (&request->scatter);
	request->open = false;
}

static struct node *
node_of (const struct replica_set *set)
{
	for (int i = 0; i < load.nodes; i++) {
		if (set >= nodes[i].sets && set < nodes[i].sets + SERVICES)
			return &nodes[i];
	}
	abort ();
}

static void
end_send (struct send *sent)
{
	struct replica *replica = sent->replica;
	struct request *request = sent->request;
	struct node *node = node_of (replica->set);
	enum sub_end end = sent->asked_us > 0 ? SUB_END_NOT_RUN : SUB_END_ANSWERED;
	enum replica_outcome result = REPLICA_ANSWERED;
	struct sub_answer answer = {
		.http_status = 200, .stamp = "s", .content_type = "", .body = ""};
	int service = (int)(replica->set - node->sets);
	if (sent->asked_us == 0) {
		targets[service][replica - node->replicas[service]].running--;
	} else if (load.obeyed) {
		int64_t spread_us = replica_return_spread_us (replica, sent->asked_us, load.nodes);
		int64_t jitter_us = (int64_t)rng_below (&node->rng, (uint64_t)spread_us + 1);
		replica_note_busy (replica, now_us + sent->asked_us + jitter_us, now_us);
		result = REPLICA_DEFERRED;
	} else {
		result = REPLICA_REFUSED;
	}
	replica_end (&sent->use, result, now_us);
	sent->replica = NULL;
	if (request && end == SUB_END_ANSWERED)
		quantile_observe (&request->scatter.rule->latency, now_us - sent->use.sent_us);
	if (request)
		scatter_sub_ended (&request->scatter, sent->shard, end, &answer, now_us);
	scatter_serve_waiting (&node->sets[service], now_us);
}

static void
node_init (struct node *node, int number)
{
	static const char text[] =
		"{\"version\":1,\"routes\":[{\"name\":\"all\",\"host\":\"h\",\"path_prefix\":\"/"
		"all/\","
		"\"route_type\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":200,"
		"\"max_attempts\":2,\"top_k\":3,\"min_shard_ratio\":0.66,\"fanout\":[\"s0\",\"s1\","
		"\"s2\"]},{\"name\":\"one\",\"host\":\"h\",\"path_prefix\":\"/one/"
		"\",\"route_type\":"
		"\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":200,\"max_attempts\":2,"
		"\"service\":\"s0\"}],\"services\":[{\"name\":\"s0\",\"max_connections\":16},{"
		"\"name\":"
		"\"s1\",\"max_connections\":16},{\"name\":\"s2\",\"max_connections\":16}]}";
	struct error error = {0};
	memset (node, 0, sizeof (*node));
	node->rng.state = (uint64_t)number + 1;
	node->routing = manifest_decode (text, sizeof (text) - 1, &error);
	if (!node->routing)
		abort ();
	for (int i = 0; i < SERVICES; i++) {
		struct replica_set *set = &node->sets[i];
		replica_set_init (set, node->routing->services[i].name);
		budget_init_burst (&set->extra, BUDGET_DEFAULT_BURST / load.nodes);
		set->connections = replica_connections (16, load.nodes);
		node->routing->services[i].set = set;
		for (int j = 0; j < REPLICAS; j++) {
			struct replica *replica = &node->replicas[i][j];
			replica->set = set;
			snprintf (replica->id, sizeof (replica->id), "i-%d-%d", i, j);
			snprintf (replica->data_centre, sizeof (replica->data_centre), "z%d", j);
			replica->slots = SLOTS;
			replica->listed = true;
			CDS_INIT_LIST_HEAD (&replica->running);
			cds_list_add_tail (&replica->node, &set->replicas);
		}
	}
}

static void
start_request (struct request *request, struct node *node)
{
	request->node = node;
	request->open = true;
	request->start_us = now_us;
	scatter_init (&request->scatter, node->routing,
		routing_find_rule (node->routing, load.route), &policy, &hooks, now_us,
		now_us + DEADLINE_MS * MS);
	scatter_start (&request->scatter, now_us);
	outcome.sent++;
}

static void
serve (struct request *request)
{
	if (request->open && !request->delivered &&
		scatter_has_returned (&request->scatter, now_us))
		scatter_serve_returned (&request->scatter, now_us);
	if (request->open && !request->delivered && scatter_wake_us (&request->scatter) <= now_us)
		scatter_tick (&request->scatter, now_us);
}

static int
compare_times (const void *a, const void *b)
{
	int64_t left = ((const struct request *)a)->took_us;
	int64_t right = ((const struct request *)b)->took_us;
	return left < right ? -1 : left > right;
}

/* A step of the clock: replies arrive, requests come in, and timers that are due run. */
static void
advance (int *first_open)
{
	now_us += STEP_US;
	for (int i = 0; i < send_count; i++) {
		if (sends[i].replica && sends[i].end_us <= now_us)
			end_send (&sends[i]);
	}
	int due = (int)((now_us - start_us) * load.rate_per_s / US_PER_S);
	while (now_us < start_us + RUN_MS * MS && outcome.sent < due && outcome.sent < MAX_REQUESTS)
		start_request (&requests[outcome.sent], &nodes[outcome.sent % load.nodes]);
	for (int i = *first_open; i < outcome.sent; i++)
		serve (&requests[i]);
	for (int i = *first_open; i < outcome.sent; i++)
		finish_delivered (&requests[i]);
	while (*first_open < outcome.sent && !requests[*first_open].open)
		(*first_open)++;
}

static struct outcome
play (struct load with)
{
	int first_open = 0;
	load = with;
	memset (&outcome, 0, sizeof (outcome));
	memset (targets, 0, sizeof (targets));
	memset (sends, 0, sizeof (sends));
	send_count = 0;
	requests = xcalloc (MAX_REQUESTS, sizeof (*requests));
	rng.state = 1;
	start_us = now_us = (int64_t)1000 * US_PER_S;
	for (int i = 0; i < load.nodes; i++)
		node_init (&nodes[i], i);
	while (now_us < start_us + (RUN_MS + 2 * DEADLINE_MS) * MS)
		advance (&first_open);
	outcome.open = outcome.sent - first_open;
	for (int i = 0; i < outcome.sent; i++) {
		outcome.whole += requests[i].whole;
		/* A caller without a whole answer has waited in vain. */
		if (!requests[i].whole)
			requests[i].took_us = DEADLINE_MS * MS;
		outcome.mean_us += requests[i].took_us;
	}
	qsort (requests, (size_t)outcome.sent, sizeof (*requests), compare_times);
	outcome.mean_us /= outcome.sent;
	outcome.p99_us = requests[outcome.sent * 99 / 100].took_us;
	for (int i = 0; i < load.nodes; i++)
		routing_unref (nodes[i].routing);
	free (requests);
	printf ("\n    %s, %s, %d nodes, %d/s, %s: whole %d of %d, p99 %.1f ms, mean %.2f ms, "
		"refusals %d, "
		"early %d, repeats %d",
		load.route, kind_names[load.kind], load.nodes, load.rate_per_s,
		load.obeyed ? "obeyed" : "not obeyed", outcome.whole, outcome.sent,
		(double)outcome.p99_us / MS, (double)outcome.mean_us / MS, outcome.refusals,
		outcome.most_early, outcome.repeats);
	return outcome;
}

/* What callers got over all of these loads together. */
struct total {
	int whole;
	int64_t mean_us;
};

static struct outcome
add_load (struct total *total, struct load with)
{
	struct outcome got = play (with);
	total->whole += got.whole;
	total->mean_us += got.mean_us;
	CU_ASSERT_EQUAL (got.open, 0);
	/* The bound of the targets. */
	if (with.obeyed)
		CU_ASSERT_TRUE (got.most_early <= 2);
	return got;
}

/* Plays a kind of load at two rates, with one node and several. */
static void
check_callers_are_better_served (enum busy_kind kind, const char *route)
{
	static const struct {
		int nodes;
		int rate_per_s;
	} cases[] = {{1, 200}, {1, 800}, {MAX_NODES, 200}, {MAX_NODES, 800}};
	struct total without = {0};
	struct total with = {0};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		struct load next = {kind, route, cases[i].nodes, cases[i].rate_per_s, false};
		int before = add_load (&without, next).whole;
		next.obeyed = true;
		int after = add_load (&with, next).whole;
		/* Short times end before a node can gain from them at each rate. */
		CU_ASSERT_TRUE (after >= before || kind == BUSY_FLOOD);
	}
	CU_ASSERT_TRUE (with.whole >= without.whole);
	CU_ASSERT_TRUE (with.mean_us <= without.mean_us);
}

/* Guards against a node that leaves busy targets alone and serves callers worse for it. */
static void
test_targets_busy_in_turns (void)
{
	check_callers_are_better_served (BUSY_TURNS, "one");
	check_callers_are_better_served (BUSY_TURNS, "all");
}

/* Guards against repeats and refusals that grow with the number of short times. */
static void
test_targets_with_a_flood_of_short_times (void)
{
	check_callers_are_better_served (BUSY_FLOOD, "one");
	check_callers_are_better_served (BUSY_FLOOD, "all");
}

/* Guards against callers that wait for a service that is busy and get a partial answer then. */
static void
test_services_busy_all_at_once (void)
{
	check_callers_are_better_served (BUSY_ALL, "one");
	check_callers_are_better_served (BUSY_ALL, "all");
}

/* Guards against a replay that loses requests on its own. */
static void
test_targets_that_are_not_busy (void)
{
	static const char *const routes[] = {"one", "all"};
	for (int i = 0; i < 2; i++) {
		struct outcome got =
			play ((struct load){BUSY_NEVER, routes[i], MAX_NODES, 800, true});
		CU_ASSERT_EQUAL (got.whole, got.sent);
		CU_ASSERT_EQUAL (got.refusals, 0);
	}
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (targets_that_are_not_busy),
		TEST (targets_busy_in_turns),
		TEST (targets_with_a_flood_of_short_times),
		TEST (services_busy_all_at_once),
	};
	return suite_run ("busy", tests, sizeof (tests) / sizeof (tests[0]));
}
