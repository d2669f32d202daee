/**
 * @file aggregators.c
 * Unit tests of fan-outs through aggregators: placement, messages, fail-over and sections. The
 * clock advances only when a test sets it.
 */
#include "core/buf.h"
#include "core/rng.h"
#include "query/batch.h"
#include "query/failover.h"
#include "query/section.h"
#include "test/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { MS = 1000, NODES = 291, MIN_NODES = 12, GROUPS = 4, DATA_CENTRES = 5, HOMES = 3 };

static const char *const data_centres[DATA_CENTRES] = {"a", "b", "c", "d", "e"};

static struct entry_node *
make_entries (int count)
{
	struct entry_node *entries = xcalloc ((size_t)count, sizeof (*entries));
	for (int i = 0; i < count; i++) {
		char name[32];
		snprintf (name, sizeof (name), "edge-%d", i);
		entries[i].hash = XXH64 (name, strlen (name), 0);
		snprintf (entries[i].address, sizeof (entries[i].address), "10.0.%d.%d:7741",
			i / 250, i % 250);
		str_copy (entries[i].data_centre, sizeof (entries[i].data_centre),
			data_centres[i % DATA_CENTRES]);
	}
	return entries;
}

static void
finish_nodes (struct aggregators *aggregators)
{
	struct aggregator *aggregator;
	aggregators_update (aggregators, NULL, 0, 1);
	while ((aggregator = aggregators_remove_unused (aggregators)))
		free (aggregator);
}

static struct aggregator_homes
make_homes (void)
{
	struct aggregator_homes homes = {0};
	for (int i = 0; i < HOMES; i++)
		aggregator_homes_add (&homes, data_centres[i]);
	return homes;
}

static void
test_number_of_groups (void)
{
	struct aggregators aggregators = {.max_groups = 16};
	CU_ASSERT_EQUAL (aggregator_max_groups (291, 12), 16);
	CU_ASSERT_EQUAL (aggregator_max_groups (84, 12), 4);
	CU_ASSERT_EQUAL (aggregator_max_groups (58, 12), 4);
	CU_ASSERT_EQUAL (aggregator_max_groups (8, 12), 0);
	CU_ASSERT_EQUAL (aggregator_max_groups (291, 0), 0);
	CU_ASSERT_EQUAL (aggregator_max_groups (0, 12), 0);
	CU_ASSERT_EQUAL (aggregator_groups (&aggregators, 90), 8);
	CU_ASSERT_EQUAL (aggregator_groups (&aggregators, 36), 4);
	CU_ASSERT_EQUAL (aggregator_groups (&aggregators, 1000), 16);
	CU_ASSERT_EQUAL (aggregator_groups (&aggregators, 3), 2);
	CU_ASSERT_EQUAL (aggregator_groups (&aggregators, 2), 0);
	aggregators.max_groups = 0;
	CU_ASSERT_EQUAL (aggregator_groups (&aggregators, 90), 0);
}

static void
test_choice_of_an_aggregator (void)
{
	struct aggregators aggregators;
	struct entry_node *entries = make_entries (NODES);
	struct aggregator_homes homes = make_homes ();
	aggregators_init (&aggregators, entries[0].hash);
	aggregators_update (&aggregators, entries, NODES, MIN_NODES);
	int own_group = aggregator_group_of_node (aggregators.own, GROUPS);
	struct aggregator_criteria criteria = {
		.groups = GROUPS, .group = own_group, .data_centre = "a", .homes = &homes};
	/* A node sends the sub-requests of its own group itself. */
	CU_ASSERT_PTR_NULL (aggregator_choose (&aggregators, &criteria, 0));
	criteria.group = (own_group + 1) % GROUPS;
	struct aggregator *first = aggregator_choose (&aggregators, &criteria, 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL (first);
	if (!first)
		return;
	CU_ASSERT_EQUAL (aggregator_group_of_node (first, GROUPS), criteria.group);
	CU_ASSERT_STRING_EQUAL (first->entry.data_centre, "a");
	/* The same again, so that its connections stay in use. */
	CU_ASSERT_PTR_EQUAL (aggregator_choose (&aggregators, &criteria, 0), first);
	first->in_flight++;
	struct aggregator *second = aggregator_choose (&aggregators, &criteria, 0);
	CU_ASSERT_PTR_NOT_EQUAL (second, first);
	aggregator_batch_ended (first, AGGREGATOR_FAILED, 0);
	CU_ASSERT_PTR_NOT_EQUAL (
		aggregator_choose (&aggregators, &criteria, AGGREGATOR_AVOID_US - 1), first);
	CU_ASSERT_PTR_EQUAL (
		aggregator_choose (&aggregators, &criteria, AGGREGATOR_AVOID_US), first);
	criteria.tried = &first;
	criteria.tried_count = 1;
	CU_ASSERT_PTR_NOT_EQUAL (
		aggregator_choose (&aggregators, &criteria, AGGREGATOR_AVOID_US), first);
	/* From a data centre without targets, the hop leads to one that has them. */
	criteria.data_centre = "e";
	struct aggregator *far = aggregator_choose (&aggregators, &criteria, 0);
	CU_ASSERT_TRUE (far && aggregator_homes_contain (&homes, far->entry.data_centre));
	finish_nodes (&aggregators);
	free (entries);
}

static void
test_leaving_and_removed_nodes_get_no_batches (void)
{
	struct aggregators aggregators;
	struct entry_node *entries = make_entries (NODES);
	struct aggregator_homes homes = make_homes ();
	aggregators_init (&aggregators, entries[0].hash);
	aggregators_update (&aggregators, entries, NODES, MIN_NODES);
	int own_group = aggregator_group_of_node (aggregators.own, GROUPS);
	struct aggregator_criteria criteria = {.groups = GROUPS,
		.group = (own_group + 1) % GROUPS,
		.data_centre = "a",
		.homes = &homes};
	struct aggregator *first = aggregator_choose (&aggregators, &criteria, 0);
	for (int i = 0; i < NODES; i++) {
		if (first && entries[i].hash == first->entry.hash)
			entries[i].leaving = true;
	}
	aggregators_update (&aggregators, entries, NODES, MIN_NODES);
	CU_ASSERT_PTR_NOT_EQUAL (aggregator_choose (&aggregators, &criteria, 0), first);
	/* A removed node is kept while a batch is in flight there. */
	struct aggregator *second = aggregator_choose (&aggregators, &criteria, 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL (second);
	if (!second)
		return;
	second->in_flight++;
	aggregators_update (&aggregators, entries, 2, 1);
	struct aggregator *unused;
	while ((unused = aggregators_remove_unused (&aggregators))) {
		CU_ASSERT_PTR_NOT_EQUAL (unused, second);
		free (unused);
	}
	aggregator_batch_ended (second, AGGREGATOR_ABANDONED, 0);
	CU_ASSERT_PTR_EQUAL (aggregators_remove_unused (&aggregators), second);
	free (second);
	finish_nodes (&aggregators);
	free (entries);
}

/* Guards against a group with few nodes, which get several times the load of the others. */
static void
test_groups_are_even_in_each_data_centre (void)
{
	static const int sizes[] = {58, 84, 291};
	for (size_t size = 0; size < sizeof (sizes) / sizeof (sizes[0]); size++) {
		struct aggregators view;
		struct entry_node *entries = make_entries (sizes[size]);
		int counts[DATA_CENTRES][GROUPS] = {{0}};
		const struct aggregator *aggregator;
		aggregators_init (&view, entries[0].hash);
		aggregators_update (&view, entries, (size_t)sizes[size], MIN_NODES);
		cds_list_for_each_entry (aggregator, &view.nodes, node)
			counts[aggregator->entry.data_centre[0] - 'a']
			      [aggregator_group_of_node (aggregator, GROUPS)]++;
		for (int i = 0; i < DATA_CENTRES; i++) {
			int nodes = 0;
			for (int j = 0; j < GROUPS; j++)
				nodes += counts[i][j];
			for (int j = 0; j < GROUPS; j++)
				CU_ASSERT_TRUE (counts[i][j] >= nodes / GROUPS &&
						counts[i][j] <= nodes / GROUPS + 1);
		}
		finish_nodes (&view);
		free (entries);
	}
}

static void
test_nodes_of_a_group_share_a_bound (void)
{
	struct entry_node *entries = make_entries (NODES);
	for (int group = 0; group < GROUPS; group++) {
		bool ranks[NODES] = {false};
		int members = 0;
		for (int i = 0; i < NODES; i++) {
			struct aggregators view;
			aggregators_init (&view, entries[i].hash);
			aggregators_update (&view, entries, NODES, MIN_NODES);
			struct aggregator_group nodes = aggregator_group_get (&view, GROUPS, group);
			if (nodes.own_rank >= 0) {
				CU_ASSERT_FALSE (ranks[nodes.own_rank]);
				ranks[nodes.own_rank] = true;
				members++;
				CU_ASSERT_TRUE (nodes.own_rank < nodes.nodes);
			}
			finish_nodes (&view);
			/* Each node counts the same members; checked for the last one below. */
			if (i == NODES - 1)
				CU_ASSERT_EQUAL (nodes.nodes, members);
		}
		CU_ASSERT_TRUE (members > 0);
	}
	free (entries);
}

/*
 * Replays a load at which direct sends fail: 291 nodes that together get 70 queries per second over
 * 90 shards. Targets close connections that are idle for 5 s, and each node may save up two extra
 * sub-requests for a service and earns a fifth of one with each first.
 */
enum { SHARDS = 90, REPLAY_QUERIES = 70 * 30, REPLAY_INTERVAL_US = 14286, IDLE_US = 5000000 };

struct replay {
	struct aggregators views[NODES]; /* as each node sees the others */
	int64_t last_used_us[NODES][SHARDS];
	struct budget budgets[NODES][SHARDS];
	int batches[NODES];
	int opened;
	int hedges;
	int hedges_without_budget;
};

static void
replay_sub_request (struct replay *replay, int node, int shard, struct rng *rng, int64_t now_us)
{
	int64_t last_us = replay->last_used_us[node][shard];
	replay->opened += last_us == 0 || last_us + IDLE_US < now_us;
	replay->last_used_us[node][shard] = now_us;
	budget_earn (&replay->budgets[node][shard], 20);
	/* Pauses of targets and the tail of their latency make one sub-request in 20 slow. */
	if (rng_below (rng, 20) != 0)
		return;
	replay->hedges++;
	replay->hedges_without_budget += !budget_spend (&replay->budgets[node][shard]);
}

static int
find_entry (const struct entry_node *entries, const struct aggregator *aggregator)
{
	for (int i = 0; i < NODES; i++) {
		if (entries[i].hash == aggregator->entry.hash)
			return i;
	}
	return -1;
}

static struct replay *
run_replay (const struct entry_node *entries, int min_nodes)
{
	struct replay *replay = xcalloc (1, sizeof (*replay));
	struct aggregator_homes homes = make_homes ();
	struct rng rng = {.state = 7};
	int64_t now_us = 1;
	for (int i = 0; i < NODES; i++) {
		aggregators_init (&replay->views[i], entries[i].hash);
		aggregators_update (&replay->views[i], entries, NODES, min_nodes);
		for (int j = 0; j < SHARDS; j++)
			budget_init_burst (&replay->budgets[i][j], 2);
	}
	for (int query = 0; query < REPLAY_QUERIES; query++) {
		int node = (int)rng_below (&rng, NODES);
		struct aggregators *view = &replay->views[node];
		int groups = aggregator_groups (view, SHARDS);
		now_us += REPLAY_INTERVAL_US;
		for (int group = 0; group < (groups ? groups : 1); group++) {
			struct aggregator_criteria criteria = {.groups = groups,
				.group = group,
				.data_centre = entries[node].data_centre,
				.homes = &homes};
			struct aggregator *aggregator =
				groups ? aggregator_choose (view, &criteria, now_us) : NULL;
			int sender = aggregator ? find_entry (entries, aggregator) : node;
			replay->batches[sender]++;
			for (int shard = group; shard < SHARDS; shard += groups ? groups : 1)
				replay_sub_request (replay, sender, shard, &rng, now_us);
		}
	}
	for (int i = 0; i < NODES; i++)
		finish_nodes (&replay->views[i]);
	return replay;
}

static void
test_replay_of_few_queries_at_many_nodes (void)
{
	struct entry_node *entries = make_entries (NODES);
	struct replay *direct = run_replay (entries, 0);
	struct replay *grouped = run_replay (entries, MIN_NODES);
	int subs = REPLAY_QUERIES * SHARDS;
	int most = 0;
	for (int i = 0; i < NODES; i++)
		most = grouped->batches[i] > most ? grouped->batches[i] : most;
	/* Direct sends open a connection for half of all sub-requests. */
	CU_ASSERT_TRUE (direct->opened > subs / 4);
	CU_ASSERT_TRUE (grouped->opened < direct->opened / 4);
	CU_ASSERT_TRUE (grouped->hedges_without_budget * 50 < grouped->hedges);
	/* No node gets more than a tenth of all batches, or its processor would be the limit. */
	CU_ASSERT_TRUE (most * 10 < REPLAY_QUERIES * 8);
	free (direct);
	free (grouped);
	free (entries);
}

/* Messages */

static const char key[] = "0123456789abcdef";

static void *
encode_example (size_t *len, const int *shards, int count)
{
	char line[] = "Host: h.example";
	char *lines[] = {line};
	char uri[] = "/all/x?y=1";
	struct batch_request request = {.id = {7, 9},
		.routing_version = 3,
		.digest = 11,
		.route = "all",
		.attempt_id = "9c41",
		.method = "GET",
		.uri = uri,
		.remaining_us = 5000,
		.attempts_used = 1,
		.priority = 3,
		.account = UINT64_MAX,
		.shards = xmemdup (shards, (size_t)count * sizeof (*shards)),
		.shard_count = count,
		.lines = lines,
		.line_count = 1};
	void *bytes = batch_encode_request (&request, key, len);
	free (request.shards);
	return bytes;
}

/* Guards against batches that every aggregator refuses, so that the request fails although it could
 * be sent directly. */
static void
test_batches_that_no_aggregator_takes_are_not_sent (void)
{
	char *lines[BATCH_MAX_LINES + 1];
	char *long_line = xmalloc (BATCH_TEXT_MAX_BYTES + 2);
	memset (long_line, 'v', BATCH_TEXT_MAX_BYTES + 1);
	long_line[BATCH_TEXT_MAX_BYTES + 1] = '\0';
	for (int i = 0; i <= BATCH_MAX_LINES; i++)
		lines[i] = long_line + 1;
	struct batch_request request = {
		.attempt_id = "9c41", .uri = "/all/x", .shard_count = 90, .lines = lines};
	for (request.line_count = 0; request.line_count <= BATCH_MAX_LINES; request.line_count++) {
		size_t len = 0;
		struct batch_request decoded;
		request.shards = xcalloc (90, sizeof (int));
		for (int i = 0; i < 90; i++)
			request.shards[i] = i;
		void *bytes = batch_encode_request (&request, key, &len);
		bool decodes = batch_decode_request (&decoded, key, bytes, len);
		if (batch_fits (&request))
			CU_ASSERT_TRUE (decodes && len <= BATCH_MAX_BYTES);
		if (request.line_count < 31)
			CU_ASSERT_TRUE (batch_fits (&request));
		batch_request_finish (&decoded);
		free (bytes);
		free (request.shards);
	}
	request.line_count = 1;
	CU_ASSERT_TRUE (batch_fits (&request));
	lines[0] = long_line;
	CU_ASSERT_FALSE (batch_fits (&request));
	lines[0] = long_line + 1;
	request.uri = long_line;
	CU_ASSERT_FALSE (batch_fits (&request));
	free (long_line);
}

static void
test_batches_are_encoded_and_checked (void)
{
	struct batch_request request;
	size_t len = 0;
	void *bytes = encode_example (&len, (const int[]){1, 5, 9}, 3);
	CU_ASSERT_TRUE (batch_decode_request (&request, key, bytes, len));
	CU_ASSERT_EQUAL (request.id.number, 9);
	CU_ASSERT_EQUAL (request.digest, 11);
	CU_ASSERT_STRING_EQUAL (request.uri, "/all/x?y=1");
	CU_ASSERT_EQUAL (request.attempts_used, 1);
	/* Without these, an aggregator orders the batch by its route. */
	CU_ASSERT_EQUAL (request.priority, 3);
	CU_ASSERT_EQUAL (request.account, UINT64_MAX);
	CU_ASSERT_EQUAL (request.shard_count, 3);
	CU_ASSERT_EQUAL (request.shards[2], 9);
	CU_ASSERT_EQUAL (request.line_count, 1);
	batch_request_finish (&request);
	CU_ASSERT_FALSE (batch_decode_request (&request, "another key 1234", bytes, len));
	batch_request_finish (&request);
	for (size_t cut = 0; cut < len; cut++) {
		CU_ASSERT_FALSE (batch_decode_request (&request, key, bytes, cut));
		batch_request_finish (&request);
	}
	free (bytes);
	/* A shard that is named twice would be in an answer twice. */
	bytes = encode_example (&len, (const int[]){1, 5, 5}, 3);
	CU_ASSERT_FALSE (batch_decode_request (&request, key, bytes, len));
	batch_request_finish (&request);
	free (bytes);
	bytes = encode_example (&len, (const int[]){1}, 0);
	CU_ASSERT_FALSE (batch_decode_request (&request, key, bytes, len));
	batch_request_finish (&request);
	free (bytes);
}

static void
test_results_are_encoded_and_checked (void)
{
	char stamp[] = "3e.07";
	char records[] = "ccccccccccccccc1";
	char leaving[] = "i-7";
	struct batch_part parts[] = {
		{.shard = 1, .answered = true, .stamp = stamp, .leaving = leaving},
		{.shard = 5, .may_have_run = true, .give_up = GIVE_UP_ATTEMPTS}};
	struct batch_result result = {.id = {7, 9},
		.done = true,
		.hedges = 2,
		.parts = parts,
		.part_count = 2,
		.records = records,
		.records_len = 16};
	struct batch_result decoded;
	size_t len = 0;
	void *bytes = batch_encode_result (&result, &len);
	CU_ASSERT_TRUE (batch_decode_result (&decoded, bytes, len));
	CU_ASSERT_EQUAL (decoded.id.sender, 7);
	CU_ASSERT_TRUE (decoded.done);
	CU_ASSERT_EQUAL (decoded.part_count, 2);
	CU_ASSERT_STRING_EQUAL (decoded.parts[0].stamp, "3e.07");
	CU_ASSERT_STRING_EQUAL (decoded.parts[0].leaving, "i-7");
	CU_ASSERT_STRING_EQUAL (decoded.parts[1].leaving, "");
	CU_ASSERT_EQUAL (decoded.parts[1].give_up, GIVE_UP_ATTEMPTS);
	CU_ASSERT_EQUAL (decoded.records_len, 16);
	batch_result_finish (&decoded);
	for (size_t cut = 0; cut < len; cut++) {
		CU_ASSERT_FALSE (batch_decode_result (&decoded, bytes, cut));
		batch_result_finish (&decoded);
	}
	free (bytes);
	/* An answer without the target's stamp cannot be proved to the caller. */
	parts[0].stamp = NULL;
	bytes = batch_encode_result (&result, &len);
	CU_ASSERT_FALSE (batch_decode_result (&decoded, bytes, len));
	batch_result_finish (&decoded);
	free (bytes);
}

/* Requests whose shards are at aggregators, and sections */

enum { SERVICES = 4, REPLICAS = 3, MAX_SENDS = 64 };

struct sent {
	int shard;
	struct replica *replica;
	struct replica_use use;
};

static struct sent sends[MAX_SENDS];
static int send_count;
static int delivered;
static int progressed;
static int64_t now_us;
static struct replica_set sets[SERVICES];
static struct replica replicas[SERVICES][REPLICAS];

static void
record_send (struct scatter *scatter, int shard, struct replica *replica)
{
	(void)scatter;
	sends[send_count].shard = shard;
	sends[send_count].replica = replica;
	replica_begin (replica, &sends[send_count++].use, now_us);
}

static void
record_deliver (struct scatter *scatter)
{
	(void)scatter;
	delivered++;
}

static void
record_progress (struct scatter *scatter)
{
	(void)scatter;
	progressed++;
}

static void
ignore_rearm (struct scatter *scatter)
{
	(void)scatter;
}

static const struct scatter_hooks hooks = {
	record_send, record_deliver, record_progress, ignore_rearm};
static const struct scatter_policy policy = {
	.data_centre = "a", .extra_percent = 20, .margin_us = 10 * MS};

static struct routing *
make_routing (int burst)
{
	struct routing *routing = routing_new ();
	struct routing_rule *rule = xcalloc (1, sizeof (*rule));
	routing->rules = rule;
	routing->rule_count = 1;
	routing->services = xcalloc (SERVICES, sizeof (*routing->services));
	routing->service_count = SERVICES;
	rule->shape = ROUTE_FAN_OUT;
	rule->timeout_us = 1000 * MS;
	rule->objective_us = 100 * MS;
	rule->max_attempts = 2;
	rule->top_k = 3;
	rule->min_answered_ratio = 0.75;
	rule->part_count = SERVICES;
	rule->parts = xcalloc (SERVICES, sizeof (*rule->parts));
	quantile_init (&rule->latency);
	memset (replicas, 0, sizeof (replicas));
	for (int i = 0; i < SERVICES; i++) {
		rule->parts[i].service = i;
		routing->services[i].set = &sets[i];
		replica_set_init (&sets[i], "s");
		budget_init_burst (&sets[i].extra, burst);
		sets[i].connections = 4;
		for (int j = 0; j < REPLICAS; j++) {
			struct replica *replica = &replicas[i][j];
			replica->set = &sets[i];
			str_copy (replica->data_centre, sizeof (replica->data_centre),
				data_centres[j]);
			replica->slots = 3;
			replica->listed = true;
			CDS_INIT_LIST_HEAD (&replica->running);
			cds_list_add_tail (&replica->node, &sets[i].replicas);
		}
	}
	now_us = 1000 * MS;
	send_count = delivered = progressed = 0;
	return routing;
}

static void
end_send (struct scatter *scatter, int at, enum sub_end end, const char *body)
{
	struct sub_answer answer = {.http_status = 200,
		.stamp = "stamp",
		.content_type = "",
		.body = body,
		.body_len = strlen (body)};
	replica_end (&sends[at].use, end == SUB_END_ANSWERED ? REPLICA_ANSWERED : REPLICA_FAILED,
		now_us);
	scatter_sub_ended (scatter, sends[at].shard, end, &answer, now_us);
}

static void
start_remote (struct scatter *scatter, struct routing *routing)
{
	scatter_init (
		scatter, routing, &routing->rules[0], &policy, &hooks, now_us, now_us + 1000 * MS);
	for (int i = 1; i < SERVICES; i++)
		scatter_set_remote (scatter, i);
	scatter_start (scatter, now_us);
}

static void
test_answer_from_aggregators_and_this_node (void)
{
	struct scatter scatter;
	struct routing *routing = make_routing (4);
	struct sub_answer with_records = {.http_status = 200,
		.stamp = "s1",
		.content_type = "",
		.body = "ddddddddddddddd1bbbbbbbbbbbbbbb1",
		.body_len = 32};
	struct sub_answer without = {
		.http_status = 200, .stamp = "s2", .content_type = "", .body = "", .body_len = 0};
	size_t len = 0;
	start_remote (&scatter, routing);
	CU_ASSERT_EQUAL (send_count, 1);
	scatter_remote_answered (&scatter, 1, &with_records);
	scatter_remote_answered (&scatter, 2, &without);
	/* A second copy of a part does not count. */
	scatter_remote_answered (&scatter, 1, &with_records);
	scatter_remote_done (&scatter, now_us);
	CU_ASSERT_EQUAL (delivered, 0);
	CU_ASSERT_EQUAL (scatter.answered, 2);
	end_send (&scatter, 0, SUB_END_ANSWERED, "ccccccccccccccc1");
	scatter_remote_answered (&scatter, 3, &without);
	scatter_remote_done (&scatter, now_us);
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_MERGED);
	char *merged = scatter_merge (&scatter, &len);
	CU_ASSERT_EQUAL (len, 48);
	CU_ASSERT_EQUAL (
		memcmp (merged, "ddddddddddddddd1ccccccccccccccc1bbbbbbbbbbbbbbb1", 48), 0);
	free (merged);
	scatter_finish (&scatter);
	routing_unref (routing);
}

static void
test_shards_of_a_failed_aggregator_are_sent_directly (void)
{
	struct scatter scatter;
	struct routing *routing = make_routing (1);
	start_remote (&scatter, routing);
	/* No byte of the batch left this node, so the full attempts remain and no budget is used.
	 */
	scatter_remote_failed (&scatter, 1, false, now_us);
	CU_ASSERT_EQUAL (send_count, 2);
	CU_ASSERT_EQUAL (scatter.shards[1].attempts_used, 1);
	CU_ASSERT_TRUE (budget_spend (&sets[1].extra));
	/* The aggregator may have sent once: the next attempt is the last and uses the budget. */
	scatter_remote_failed (&scatter, 2, true, now_us);
	CU_ASSERT_EQUAL (send_count, 3);
	CU_ASSERT_EQUAL (scatter.shards[2].attempts_used, 2);
	CU_ASSERT_FALSE (budget_spend (&sets[2].extra));
	end_send (&scatter, 2, SUB_END_BROKEN, "");
	CU_ASSERT_EQUAL (send_count, 3);
	CU_ASSERT_EQUAL (scatter.shards[2].give_up, GIVE_UP_ATTEMPTS);
	end_send (&scatter, 0, SUB_END_ANSWERED, "");
	end_send (&scatter, 1, SUB_END_ANSWERED, "");
	scatter_remote_given_up (&scatter, 3, GIVE_UP_NO_BUDGET, true);
	scatter_remote_done (&scatter, now_us);
	/* Two of four shards are fewer than the route requires. */
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_FAILED);
	scatter_finish (&scatter);
	routing_unref (routing);
}

static void
test_refusal_only_if_no_aggregator_may_have_sent (void)
{
	for (int may_have_run = 0; may_have_run < 2; may_have_run++) {
		struct scatter scatter;
		struct routing *routing = make_routing (1);
		scatter_init (&scatter, routing, &routing->rules[0], &policy, &hooks, now_us,
			now_us + 1000 * MS);
		for (int i = 0; i < SERVICES; i++)
			scatter_set_remote (&scatter, i);
		scatter_start (&scatter, now_us);
		CU_ASSERT_EQUAL (send_count, 0);
		for (int i = 0; i < SERVICES; i++)
			scatter_remote_given_up (
				&scatter, i, GIVE_UP_NO_TARGET, may_have_run && i == 2);
		scatter_remote_done (&scatter, now_us);
		CU_ASSERT_EQUAL (scatter.result, may_have_run ? SCATTER_FAILED : SCATTER_REFUSED);
		scatter_finish (&scatter);
		routing_unref (routing);
	}
}

static void
test_section_reports_progress_and_ends_when_all_shards_have (void)
{
	struct scatter scatter;
	struct routing *routing = make_routing (4);
	const int parts[] = {1, 3};
	size_t len = 0;
	scatter_init_section (&scatter, routing, &routing->rules[0], &policy, &hooks, now_us,
		now_us + 1000 * MS, parts, 2, 0);
	scatter_start (&scatter, now_us);
	CU_ASSERT_EQUAL (send_count, 2);
	CU_ASSERT_PTR_EQUAL (sends[1].replica->set, &sets[3]);
	progressed = 0;
	end_send (&scatter, 0, SUB_END_ANSWERED, "aaaaaaaaaaaaaaa1");
	CU_ASSERT_EQUAL (progressed, 1);
	scatter.shards[0].reported = true;
	/* A section does not end near the latency objective, its sender decides on that. */
	now_us += 400 * MS;
	scatter_tick (&scatter, now_us);
	CU_ASSERT_EQUAL (delivered, 0);
	end_send (&scatter, 1, SUB_END_ANSWERED, "bbbbbbbbbbbbbbb1");
	CU_ASSERT_EQUAL (delivered, 1);
	char *merged = scatter_merge_unreported (&scatter, &len);
	CU_ASSERT_EQUAL (len, 16);
	CU_ASSERT_EQUAL (memcmp (merged, "bbbbbbbbbbbbbbb1", 16), 0);
	free (merged);
	scatter_finish (&scatter);
	routing_unref (routing);
}

/*
 * Guards against more attempts than the route allows: a node that waited for a first result in vain
 * passes the shards to another one, while the aggregator is only slow.
 */
static void
test_section_sends_one_attempt_until_it_is_confirmed (void)
{
	struct scatter scatter;
	struct routing *routing = make_routing (4);
	const int parts[] = {0, 1, 2};
	scatter_init_section (&scatter, routing, &routing->rules[0], &policy, &hooks, now_us,
		now_us + 1000 * MS, parts, 3, 0);
	scatter_start (&scatter, now_us);
	CU_ASSERT_EQUAL (send_count, 3);
	/* One that may have run is not sent again, one that did not run is. */
	end_send (&scatter, 0, SUB_END_BROKEN, "");
	CU_ASSERT_EQUAL (send_count, 3);
	CU_ASSERT_TRUE (scatter_hedge_is_due (&scatter, now_us));
	end_send (&scatter, 1, SUB_END_NOT_RUN, "");
	CU_ASSERT_EQUAL (send_count, 4);
	now_us += 60 * MS;
	scatter_tick (&scatter, now_us);
	CU_ASSERT_EQUAL (send_count, 4);
	scatter_confirm (&scatter, now_us);
	/* A retry of the first shard and hedges of the others. */
	CU_ASSERT_EQUAL (send_count, 7);
	for (int i = 2; i < send_count; i++)
		end_send (&scatter, i, SUB_END_ANSWERED, "");
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (scatter.answered, 3);
	scatter_finish (&scatter);
	routing_unref (routing);
}

/* Guards against hedges that leave a node after it was frozen, when its sender has failed over. */
static void
test_overdue_hedge_of_a_section_is_not_sent (void)
{
	for (int late = 0; late < 2; late++) {
		struct scatter scatter;
		struct routing *routing = make_routing (4);
		const int parts[] = {0};
		scatter_init_section (&scatter, routing, &routing->rules[0], &policy, &hooks,
			now_us, now_us + 5000 * MS, parts, 1, 0);
		scatter_start (&scatter, now_us);
		now_us = scatter_wake_us (&scatter);
		CU_ASSERT_TRUE (scatter_hedge_is_due (&scatter, now_us));
		now_us += late ? 2000 * MS : 0;
		scatter_confirm (&scatter, now_us);
		CU_ASSERT_EQUAL (send_count, late ? 1 : 2);
		CU_ASSERT_FALSE (scatter_hedge_is_due (&scatter, now_us));
		for (int i = 0; i < send_count; i++)
			replica_end (&sends[i].use, REPLICA_ABANDONED, now_us);
		scatter_finish (&scatter);
		routing_unref (routing);
	}
}

/* When results are returned, and what happens when none come */

/*
 * Replays targets that stay dark for 2 s: no part comes and no attempt is due any more. A healthy
 * aggregator must not look dead to its sender meanwhile, or the shards go to a second one and add
 * to its load.
 */
static void
test_healthy_aggregator_is_not_taken_for_dead (void)
{
	static const int64_t objectives_us[] = {30 * MS, 60 * MS, 120 * MS, 500 * MS};
	for (size_t i = 0; i < sizeof (objectives_us) / sizeof (objectives_us[0]); i++) {
		int64_t objective_us = objectives_us[i];
		struct section section;
		struct failover failover = {.aggregators = 1};
		int64_t at_us = 0;
		int64_t asked_us = 0;
		section_init (&section, objective_us, at_us);
		while (at_us < 2000 * MS) {
			int64_t timeout_us =
				failover_timeout_us (&failover, objective_us, 5000 * MS);
			at_us = section_wake_us (&section);
			CU_ASSERT_TRUE (section_result_is_due (&section, false, false, at_us));
			/* The rest of the time is left for the network and a busy processor. */
			CU_ASSERT_TRUE (at_us - asked_us <= timeout_us * 6 / 10);
			section_returned (&section, at_us);
			CU_ASSERT_FALSE (section_is_abandoned (&section, at_us + 100 * MS));
			failover.has_result = true;
			asked_us = at_us += 5 * MS;
			section_hold (&section, at_us);
		}
	}
}

static void
test_results_are_returned_when_they_help (void)
{
	struct section section;
	section_init (&section, 100 * MS, 0);
	/* Parts wait for the first result, so that most batches need only one. */
	CU_ASSERT_FALSE (section_result_is_due (&section, true, false, 10 * MS));
	CU_ASSERT_TRUE (section_result_is_due (&section, true, true, 20 * MS));
	section_returned (&section, 20 * MS);
	CU_ASSERT_FALSE (section_result_is_due (&section, true, true, 25 * MS));
	section_hold (&section, 25 * MS);
	CU_ASSERT_FALSE (section_result_is_due (&section, false, true, 30 * MS));
	CU_ASSERT_TRUE (section_result_is_due (&section, true, false, 30 * MS));
	section_returned (&section, 30 * MS);
	CU_ASSERT_FALSE (section_is_abandoned (&section, 30 * MS + SECTION_REST_WAIT_US - 1));
	CU_ASSERT_TRUE (section_is_abandoned (&section, 30 * MS + SECTION_REST_WAIT_US));
}

/* All ways in which aggregators may fail one after another, against the attempts of the route. */
static void
test_failover_never_exceeds_the_attempts (void)
{
	enum { REFUSES, IS_FROZEN, IS_KILLED_AFTER_A_RESULT, WAYS };
	for (int max_attempts = 1; max_attempts <= 4; max_attempts++) {
		for (int way = 0; way < WAYS * WAYS; way++) {
			struct failover failover = {0};
			enum failover_step step = FAILOVER_TO_AGGREGATOR;
			int used = 0;
			int ways = way;
			while (step == FAILOVER_TO_AGGREGATOR) {
				int how = ways % WAYS;
				ways /= WAYS;
				failover.aggregators++;
				failover.has_result = how == IS_KILLED_AFTER_A_RESULT;
				/* Before its first result it sends one, after it all that are left.
				 */
				used += how == REFUSES     ? 0
					: how == IS_FROZEN ? 1
							   : max_attempts - used;
				CU_ASSERT_TRUE (used <= max_attempts);
				step = failover_next (&failover, how != REFUSES, max_attempts);
			}
			CU_ASSERT_TRUE (failover.aggregators <= FAILOVER_AGGREGATORS_MAX);
			CU_ASSERT_EQUAL (failover.attempts_used, used);
			CU_ASSERT_EQUAL (step == FAILOVER_GIVE_UP, used == max_attempts);
		}
	}
}

/*
 * Replays nodes that freeze: a ninth of 291 for 3.5 s of 34. A query whose batch meets a frozen
 * node pays for it once, since its sender then avoids that node.
 */
static void
test_replay_of_frozen_aggregators (void)
{
	enum { QUERIES = 70 * 34, FROZEN_FROM = 70 * 10, FROZEN_TO = 70 * 13 + 35 };
	struct entry_node *entries = make_entries (NODES);
	struct aggregators *views = xcalloc (NODES, sizeof (*views));
	struct aggregator_homes homes = make_homes ();
	struct rng rng = {.state = 11};
	int delayed = 0;
	int lost = 0;
	for (int i = 0; i < NODES; i++) {
		aggregators_init (&views[i], entries[i].hash);
		aggregators_update (&views[i], entries, NODES, MIN_NODES);
	}
	for (int query = 0; query < QUERIES; query++) {
		int node = (int)rng_below (&rng, NODES);
		int64_t at_us = (int64_t)query * REPLAY_INTERVAL_US;
		bool is_frozen_time = query >= FROZEN_FROM && query < FROZEN_TO;
		int groups = aggregator_groups (&views[node], SHARDS);
		bool is_delayed = false;
		for (int group = 0; group < groups; group++) {
			struct failover failover = {0};
			struct aggregator *tried[FAILOVER_AGGREGATORS_MAX];
			enum failover_step step = FAILOVER_TO_AGGREGATOR;
			while (step == FAILOVER_TO_AGGREGATOR) {
				struct aggregator_criteria criteria = {.groups = groups,
					.group = group,
					.data_centre = entries[node].data_centre,
					.homes = &homes,
					.tried = tried,
					.tried_count = failover.aggregators};
				struct aggregator *chosen =
					aggregator_choose (&views[node], &criteria, at_us);
				bool is_frozen =
					chosen && is_frozen_time && chosen->entry.hash % 9 == 0;
				if (!is_frozen)
					break;
				tried[failover.aggregators++] = chosen;
				chosen->in_flight++;
				aggregator_batch_ended (chosen, AGGREGATOR_FAILED, at_us);
				is_delayed = true;
				step = failover_next (&failover, true, 2);
			}
			lost += step == FAILOVER_GIVE_UP;
		}
		delayed += is_delayed;
	}
	/* Most queries of the frozen time meet a frozen node in one of eight groups, others none.
	 */
	CU_ASSERT_TRUE (delayed > 0);
	CU_ASSERT_TRUE (delayed <= FROZEN_TO - FROZEN_FROM);
	/* Few batches meet two frozen nodes in a row: one in 81. */
	CU_ASSERT_TRUE (lost < (FROZEN_TO - FROZEN_FROM) * 8 / 40);
	for (int i = 0; i < NODES; i++)
		finish_nodes (&views[i]);
	free (views);
	free (entries);
}

/* The parts of all nodes, inside the group and outside, never add up to more than the slack. */
static void
test_slack_of_groups_is_never_exceeded (void)
{
	static const double slacks[] = {0, 1, 10.5, 56, 156, 208, 622, 2000};
	for (size_t i = 0; i < sizeof (slacks) / sizeof (slacks[0]); i++) {
		for (int nodes = 24; nodes <= 1043; nodes += 17) {
			int group_nodes = nodes / 8 + 1;
			int sum = 0;
			for (int rank = 0; rank < nodes; rank++) {
				int group_rank = rank < group_nodes ? rank : -1;
				struct budget_limits limits = budget_group_limits (
					slacks[i], nodes, rank, group_nodes, group_rank);
				sum += limits.burst + limits.refill;
			}
			CU_ASSERT_TRUE (sum <= slacks[i]);
		}
	}
	CU_ASSERT_TRUE (budget_group_limits (622, 291, 0, 37, 0).refill >= 4);
}

/* Guards against budgets that are emptied over and over as the order of two fan-outs alternates. */
static void
test_group_of_a_service_in_two_fan_outs (void)
{
	struct aggregator_group none = {.own_rank = -1};
	struct aggregator_group small = {.groups = 8, .nodes = 36, .own_rank = 3};
	struct aggregator_group large = {.groups = 4, .nodes = 73, .own_rank = -1};
	CU_ASSERT_EQUAL (aggregator_group_merge (none, small).groups, 8);
	CU_ASSERT_EQUAL (
		aggregator_group_merge (aggregator_group_merge (none, small), large).groups, 4);
	CU_ASSERT_EQUAL (
		aggregator_group_merge (aggregator_group_merge (none, large), small).groups, 4);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (number_of_groups),
		TEST (choice_of_an_aggregator),
		TEST (leaving_and_removed_nodes_get_no_batches),
		TEST (groups_are_even_in_each_data_centre),
		TEST (nodes_of_a_group_share_a_bound),
		TEST (replay_of_few_queries_at_many_nodes),
		TEST (batches_are_encoded_and_checked),
		TEST (results_are_encoded_and_checked),
		TEST (answer_from_aggregators_and_this_node),
		TEST (shards_of_a_failed_aggregator_are_sent_directly),
		TEST (refusal_only_if_no_aggregator_may_have_sent),
		TEST (section_reports_progress_and_ends_when_all_shards_have),
		TEST (section_sends_one_attempt_until_it_is_confirmed),
		TEST (overdue_hedge_of_a_section_is_not_sent),
		TEST (healthy_aggregator_is_not_taken_for_dead),
		TEST (results_are_returned_when_they_help),
		TEST (failover_never_exceeds_the_attempts),
		TEST (replay_of_frozen_aggregators),
		TEST (slack_of_groups_is_never_exceeded),
		TEST (batches_that_no_aggregator_takes_are_not_sent),
		TEST (group_of_a_service_in_two_fan_outs),
	};
	return suite_run ("aggregators", tests, sizeof (tests) / sizeof (tests[0]));
}
