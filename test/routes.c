/**
 * @file routes.c
 * Tests of declared routes: the adapter's decoders, the choice of replicas, fan-out and retries,
 * on a clock that only the tests move.
 */
#include "core/buf.h"
#include "core/clock.h"
#include "platform/list.h"
#include "platform/manifest.h"
#include "platform/orders.h"
#include "platform/replies.h"
#include "query/scatter.h"
#include "test/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_SENDS = 64, MS = US_PER_MS };

/* Sub-requests that a scatter asked for, in order. */
struct send {
	int shard;
	struct replica *replica;
	struct replica_use use;
	bool ended;
};

static struct send sends[MAX_SENDS];
static int send_count;
static int finished;
static int64_t now_us;

static void
record_send (struct scatter *scatter, int shard, struct replica *replica)
{
	(void)scatter;
	struct send *one = &sends[send_count++];
	*one = (struct send){.shard = shard, .replica = replica};
	replica_begin (replica, &one->use, now_us);
}

static void
record_finish (struct scatter *scatter)
{
	(void)scatter;
	finished++;
}

static const struct scatter_hooks hooks = {record_send, record_finish};
static const struct scatter_policy policy = {
	.data_centre = "here", .extra_percent = 20, .margin_us = 10 * MS};

static void
end_sub (struct scatter *scatter, int at, enum sub_end end, const char *body)
{
	struct sub_answer answer = {.http_status = end == SUB_END_ANSWERED ? 200 : 500,
		.stamp = "stamp",
		.content_type = "",
		.body = body,
		.body_len = body ? strlen (body) : 0};
	enum replica_outcome outcome = end == SUB_END_ANSWERED  ? REPLICA_ANSWERED
				       : end == SUB_END_NOT_RUN ? REPLICA_REFUSED
								: REPLICA_FAILED;
	sends[at].ended = true;
	replica_end (&sends[at].use, outcome, now_us);
	scatter_sub_ended (scatter, sends[at].shard, end, &answer, now_us);
}

/* Services s0, s1, ... of three targets each, one of them in this data centre. */
struct bed {
	struct routing *routing;
	struct replica_set sets[8];
	struct replica replicas[8][3];
	int services;
};

static void
add_replicas (struct bed *bed, int service)
{
	static const char *const places[] = {"here", "there", "yonder"};
	struct replica_set *set = &bed->sets[service];
	replica_set_init (set, bed->routing->services[service].name);
	budget_init_burst (&set->extra, 4);
	set->connections = 4;
	bed->routing->services[service].set = set;
	for (int i = 0; i < 3; i++) {
		struct replica *replica = &bed->replicas[service][i];
		memset (replica, 0, sizeof (*replica));
		replica->set = set;
		snprintf (replica->id, sizeof (replica->id), "i-%d-%d", service, i);
		str_copy (replica->data_centre, sizeof (replica->data_centre), places[i]);
		replica->slots = 3;
		replica->listed = true;
		CDS_INIT_LIST_HEAD (&replica->running);
		cds_list_add_tail (&replica->node, &set->replicas);
	}
}

static void
bed_init (struct bed *bed, int services, const char *kind, int attempts)
{
	struct buf text;
	struct error error = {0};
	buf_init (&text);
	buf_addf (&text,
		"{\"version\":3,\"routes\":[{\"name\":\"all\",\"host\":\"h.example\","
		"\"path_prefix\":\"/all/\",\"route_type\":\"%s\",\"timeout_ms\":1000,"
		"\"target_latency_ms\":100,\"priority\":1,\"max_attempts\":%d,\"top_k\":3,"
		"\"min_shard_ratio\":0.75,\"fanout\":[",
		kind, attempts);
	for (int i = 0; i < services; i++)
		buf_addf (&text, "%s\"s%d\"", i ? "," : "", i);
	buf_addf (&text,
		"]},{\"name\":\"one\",\"host\":\"h.example\",\"path_prefix\":\"/one/\","
		"\"route_type\":\"%s\",\"timeout_ms\":1000,\"target_latency_ms\":100,"
		"\"priority\":0,\"max_attempts\":%d,\"service\":\"s0\"}],\"services\":[",
		kind, attempts);
	for (int i = 0; i < services; i++)
		buf_addf (&text, "%s{\"name\":\"s%d\",\"max_connections\":30}", i ? "," : "", i);
	buf_addf (&text, "]}");
	bed->routing = manifest_decode (text.data, text.len, &error);
	buf_finish (&text);
	if (!bed->routing)
		abort ();
	bed->services = services;
	for (int i = 0; i < services; i++)
		add_replicas (bed, i);
	now_us = 1000 * MS;
	send_count = finished = 0;
}

static void
bed_start (struct bed *bed, struct scatter *scatter, const char *rule)
{
	scatter_init (scatter, bed->routing, routing_find_rule (bed->routing, rule), &policy,
		&hooks, now_us, now_us + 1000 * MS);
	scatter_start (scatter, now_us);
}

static void
bed_finish (struct bed *bed, struct scatter *scatter)
{
	for (int i = 0; i < send_count; i++) {
		if (!sends[i].ended)
			replica_end (&sends[i].use, REPLICA_DROPPED, now_us);
	}
	scatter_finish (scatter);
	routing_unref (bed->routing);
}

static void
test_whole_answer_is_merged (void)
{
	struct bed bed;
	struct scatter scatter;
	size_t len = 0;
	bed_init (&bed, 2, "idempotent", 2);
	bed_start (&bed, &scatter, "all");
	CU_ASSERT_EQUAL (send_count, 2);
	end_sub (&scatter, 0, SUB_END_ANSWERED, "aaaaaaaaaaaaaaa1ccccccccccccccc1tail");
	CU_ASSERT_EQUAL (finished, 0);
	end_sub (&scatter, 1, SUB_END_ANSWERED, "bbbbbbbbbbbbbbb1ccccccccccccccc1");
	CU_ASSERT_EQUAL (finished, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_MERGED);
	char *merged = scatter_merge (&scatter, &len);
	CU_ASSERT_EQUAL (len, 48);
	CU_ASSERT_EQUAL (
		memcmp (merged, "ccccccccccccccc1ccccccccccccccc1bbbbbbbbbbbbbbb1", 48), 0);
	free (merged);
	bed_finish (&bed, &scatter);
}

static void
test_enough_shards_answer_near_the_aim (void)
{
	struct bed bed;
	struct scatter scatter;
	bed_init (&bed, 4, "idempotent", 1);
	bed_start (&bed, &scatter, "all");
	for (int i = 0; i < 3; i++)
		end_sub (&scatter, i, SUB_END_ANSWERED, "");
	CU_ASSERT_EQUAL (finished, 0);
	CU_ASSERT_EQUAL (scatter_wake_us (&scatter), now_us + 90 * MS);
	now_us += 90 * MS;
	scatter_tick (&scatter, now_us);
	CU_ASSERT_EQUAL (finished, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_MERGED);
	CU_ASSERT_EQUAL (scatter.answered, 3);
	bed_finish (&bed, &scatter);
}

static void
test_too_few_shards_fail_at_once (void)
{
	struct bed bed;
	struct scatter scatter;
	bed_init (&bed, 4, "idempotent", 1);
	bed_start (&bed, &scatter, "all");
	end_sub (&scatter, 0, SUB_END_BROKEN, NULL);
	CU_ASSERT_EQUAL (finished, 0);
	end_sub (&scatter, 1, SUB_END_BROKEN, NULL);
	CU_ASSERT_EQUAL (finished, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_FAILED);
	bed_finish (&bed, &scatter);
}

static void
test_slow_sub_request_is_hedged_once (void)
{
	struct bed bed;
	struct scatter scatter;
	bed_init (&bed, 1, "idempotent", 2);
	bed_start (&bed, &scatter, "all");
	now_us = scatter_wake_us (&scatter);
	scatter_tick (&scatter, now_us);
	CU_ASSERT_EQUAL (send_count, 2);
	CU_ASSERT_PTR_NOT_EQUAL (sends[0].replica, sends[1].replica);
	CU_ASSERT_EQUAL (scatter.hedges, 1);
	CU_ASSERT_TRUE (scatter_wake_us (&scatter) > now_us);
	end_sub (&scatter, 1, SUB_END_ANSWERED, "");
	CU_ASSERT_EQUAL (scatter.result, SCATTER_MERGED);
	bed_finish (&bed, &scatter);
}

static void
test_hedges_leave_budget_for_retries (void)
{
	struct bed bed;
	struct scatter scatter;
	bed_init (&bed, 1, "idempotent", 2);
	while (budget_spend_above (&bed.sets[0].extra, SCATTER_RETRY_RESERVE))
		;
	bed_start (&bed, &scatter, "all");
	now_us = scatter_wake_us (&scatter);
	scatter_tick (&scatter, now_us);
	CU_ASSERT_EQUAL (send_count, 1);
	end_sub (&scatter, 0, SUB_END_BROKEN, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	bed_finish (&bed, &scatter);
}

/* 84 nodes share a slack of 208: two for each, and a fifth of one for each request. */
static void
test_hedges_go_on_among_many_nodes (void)
{
	struct bed bed;
	struct scatter scatter;
	int hedges = 0;
	bed_init (&bed, 1, "idempotent", 2);
	budget_init_burst (&bed.sets[0].extra, 2);
	for (int i = 0; i < 20; i++) {
		bed_start (&bed, &scatter, "all");
		now_us += 50 * MS;
		scatter_tick (&scatter, now_us);
		hedges += scatter.hedges;
		end_sub (&scatter, send_count - 1, SUB_END_ANSWERED, "");
		for (int j = 0; j < send_count; j++) {
			if (!sends[j].ended)
				replica_end (&sends[j].use, REPLICA_DROPPED, now_us);
		}
		scatter_finish (&scatter);
		send_count = 0;
	}
	/* Two that were saved up and a fifth of twenty, less what is not whole yet. */
	CU_ASSERT_TRUE (hedges >= 5);
	CU_ASSERT_TRUE (hedges <= 6);
	routing_unref (bed.routing);
}

static void
test_what_never_arrived_costs_no_budget (void)
{
	struct bed bed;
	struct scatter scatter;
	bed_init (&bed, 1, "idempotent", 2);
	while (budget_spend (&bed.sets[0].extra))
		;
	bed_start (&bed, &scatter, "one");
	end_sub (&scatter, 0, SUB_END_NOT_SENT, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	end_sub (&scatter, 1, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_REFUSED);
	bed_finish (&bed, &scatter);
}

static void
test_smaller_part_of_the_slack (void)
{
	struct budget budget;
	int spent = 0;
	budget_init_burst (&budget, 28);
	budget_set_burst (&budget, 6);
	while (budget_spend (&budget))
		spent++;
	CU_ASSERT_EQUAL (spent, 6);
	/* A larger part has to be earned. */
	budget_set_burst (&budget, 10);
	CU_ASSERT_FALSE (budget_spend (&budget));
	for (int i = 0; i < 1000; i++)
		budget_earn (&budget, 20);
	for (spent = 0; budget_spend (&budget); spent++)
		;
	CU_ASSERT_EQUAL (spent, 10);
}

static void
test_refusal_leaves_the_attempts (void)
{
	struct bed bed;
	struct scatter scatter;
	bed_init (&bed, 1, "idempotent", 1);
	bed_start (&bed, &scatter, "one");
	end_sub (&scatter, 0, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	end_sub (&scatter, 1, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (send_count, 3);
	end_sub (&scatter, 2, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (finished, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_REFUSED);
	bed_finish (&bed, &scatter);
}

static void
test_request_that_runs_once (void)
{
	struct bed bed;
	struct scatter scatter;
	bed_init (&bed, 1, "non_idempotent", 3);
	bed_start (&bed, &scatter, "one");
	CU_ASSERT_EQUAL (scatter_wake_us (&scatter), scatter.deadline_us);
	end_sub (&scatter, 0, SUB_END_NOT_SENT, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	end_sub (&scatter, 1, SUB_END_BROKEN, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	/* It may have run, so that the answer must not promise that it did not. */
	CU_ASSERT_EQUAL (scatter.result, SCATTER_FAILED);
	bed_finish (&bed, &scatter);
}

static void
test_failure_of_the_target_is_passed_on (void)
{
	struct bed bed;
	struct scatter scatter;
	bed_init (&bed, 1, "idempotent", 2);
	bed_start (&bed, &scatter, "one");
	end_sub (&scatter, 0, SUB_END_STATUS, "sorry");
	end_sub (&scatter, 1, SUB_END_BROKEN, NULL);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_REPLY);
	CU_ASSERT_EQUAL (scatter.shards[0].http_status, 500);
	bed_finish (&bed, &scatter);
}

static void
test_waiting_by_priority (void)
{
	struct bed bed;
	struct scatter first;
	struct scatter urgent;
	struct scatter running[3];
	bed_init (&bed, 1, "idempotent", 2);
	bed.sets[0].connections = 1;
	for (int i = 0; i < 3; i++)
		bed_start (&bed, &running[i], "all");
	bed_start (&bed, &first, "all");
	bed_start (&bed, &urgent, "one");
	CU_ASSERT_EQUAL (send_count, 3);
	CU_ASSERT_EQUAL (bed.sets[0].waiting_count, 2);
	end_sub (&running[0], 0, SUB_END_ANSWERED, "");
	scatter_serve_waiting (&bed.sets[0], now_us);
	CU_ASSERT_EQUAL (send_count, 4);
	CU_ASSERT_EQUAL (urgent.shards[0].running, 1);
	CU_ASSERT_EQUAL (first.shards[0].running, 0);
	for (int i = 0; i < send_count; i++) {
		if (!sends[i].ended)
			replica_end (&sends[i].use, REPLICA_DROPPED, now_us);
		sends[i].ended = true;
	}
	for (int i = 0; i < 3; i++)
		scatter_finish (&running[i]);
	scatter_finish (&urgent);
	bed_finish (&bed, &first);
}

static void
test_nothing_to_send_to_is_refused_at_once (void)
{
	struct bed bed;
	struct scatter scatter;
	bed_init (&bed, 1, "idempotent", 2);
	for (int i = 0; i < 3; i++)
		bed.replicas[0][i].state = REPLICA_LEAVING;
	bed_start (&bed, &scatter, "one");
	CU_ASSERT_EQUAL (finished, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_REFUSED);
	CU_ASSERT_TRUE (scatter.retry_after_ms > 0);
	bed_finish (&bed, &scatter);
}

static struct replica *
chosen (struct bed *bed)
{
	struct replica_criteria criteria = {.data_centre = "here", .median_us = 10 * MS};
	struct replica *replica = NULL;
	replica_choose (&bed->sets[0], &criteria, now_us, &replica);
	return replica;
}

static void
test_stalled_and_troubled_replicas_go_last (void)
{
	struct bed bed;
	struct replica_use use;
	bed_init (&bed, 1, "idempotent", 2);
	struct replica *near = &bed.replicas[0][0];
	CU_ASSERT_PTR_EQUAL (chosen (&bed), near);
	replica_begin (near, &use, now_us);
	now_us += 31 * MS;
	CU_ASSERT_PTR_NOT_EQUAL (chosen (&bed), near);
	replica_end (&use, REPLICA_ANSWERED, now_us);
	now_us += REPLICA_DECAY_MIN_US;
	CU_ASSERT_PTR_EQUAL (chosen (&bed), near);
	/* One that refuses every other request costs more than the way to another place. */
	for (int i = 0; i < 4; i++) {
		replica_begin (near, &use, now_us);
		replica_end (&use, i % 2 ? REPLICA_REFUSED : REPLICA_ANSWERED, now_us);
	}
	now_us += REPLICA_REFUSED_AVOID_US + 1;
	CU_ASSERT_PTR_NOT_EQUAL (chosen (&bed), near);
	now_us += REPLICA_DECAY_MIN_US;
	CU_ASSERT_PTR_EQUAL (chosen (&bed), near);
	routing_unref (bed.routing);
}

/* A target that has no room for this node's connection until old ones time out. */
static void
test_repeated_refusals_are_asked_less_and_less (void)
{
	struct bed bed;
	struct replica_use use;
	bed_init (&bed, 1, "idempotent", 2);
	struct replica *full = &bed.replicas[0][0];
	for (int i = 0; i < 10; i++) {
		replica_begin (full, &use, now_us);
		replica_end (&use, REPLICA_REFUSED, now_us);
		int64_t wanted_us = (int64_t)REPLICA_REFUSED_AVOID_US << i;
		if (wanted_us > REPLICA_AVOID_MAX_US)
			wanted_us = REPLICA_AVOID_MAX_US;
		CU_ASSERT_EQUAL (full->avoid_until_us - now_us, wanted_us);
	}
	/* One answer shows that there is room again. */
	replica_begin (full, &use, now_us);
	replica_end (&use, REPLICA_ANSWERED, now_us);
	replica_begin (full, &use, now_us);
	replica_end (&use, REPLICA_REFUSED, now_us);
	CU_ASSERT_EQUAL (full->avoid_until_us, now_us + REPLICA_REFUSED_AVOID_US);
	routing_unref (bed.routing);
}

/* 84 nodes: each asks a service about once in 750 ms, and a third of that at one target. */
static void
test_seldom_asked_slow_replica_is_remembered (void)
{
	struct bed bed;
	struct replica_use use;
	bed_init (&bed, 1, "idempotent", 2);
	struct replica *slow = &bed.replicas[0][0];
	int asked_slow = 0;
	for (int i = 0; i < 60; i++) {
		struct replica *replica = chosen (&bed);
		CU_ASSERT_PTR_NOT_NULL_FATAL (replica);
		replica_begin (replica, &use, now_us);
		now_us += replica == slow ? 90 * MS : 10 * MS;
		replica_end (&use, REPLICA_ANSWERED, now_us);
		now_us += 740 * MS;
		asked_slow += replica == slow;
	}
	/* 45 s: it is looked at again now and then, not each time the node asks. */
	CU_ASSERT_TRUE (asked_slow >= 2);
	CU_ASSERT_TRUE (asked_slow <= 8);
	routing_unref (bed.routing);
}

static void
test_cold_replica_gets_its_part (void)
{
	struct bed bed;
	struct replica_use use;
	bed_init (&bed, 1, "idempotent", 2);
	for (int i = 0; i < 3; i++) {
		bed.replicas[0][i].cold_until_us = now_us + 3000 * MS;
		bed.replicas[0][i].cold_interval_us = 500 * MS;
	}
	bed.sets[0].share_until_us = now_us + 2000 * MS;
	int sent = 0;
	for (int i = 0; i < 250; i++, now_us += 10 * MS) {
		struct replica *replica = chosen (&bed);
		if (!replica)
			continue;
		replica_begin (replica, &use, now_us);
		replica_end (&use, REPLICA_ANSWERED, now_us);
		sent++;
	}
	/* Two seconds, three replicas, one each half a second; then the part has lapsed. */
	CU_ASSERT_EQUAL (sent, 12);
	routing_unref (bed.routing);
}

/* However many nodes there are, no second holds more than the target bears. */
static void
test_cold_bound_holds_for_all_nodes (void)
{
	static const struct {
		double per_s;
		int nodes;
	} cases[] = {{5, 8}, {5, 6}, {5, 84}, {5, 2}, {17.5, 8}, {0.9, 3}, {1, 1}};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		int64_t times[512];
		int count = 0;
		for (int rank = 0; rank < cases[i].nodes; rank++) {
			int64_t gap_us =
				replica_cold_interval_us (cases[i].per_s, cases[i].nodes, rank);
			/* The worst case: all begin at the same moment and use all they may. */
			for (int64_t at = 0; gap_us > 0 && at < 3000 * MS; at += gap_us)
				times[count++] = at;
		}
		for (int from = 0; from < count; from++) {
			int inside = 0;
			for (int j = 0; j < count; j++)
				inside += times[j] >= times[from] &&
					  times[j] < times[from] + 1000 * MS;
			CU_ASSERT_TRUE (inside <= cases[i].per_s);
		}
		CU_ASSERT_EQUAL (count > 0, cases[i].per_s >= 1);
	}
}

static void
test_part_of_the_connections (void)
{
	static const int cases[][3] = {
		{31, 8, 2}, {25, 6, 2}, {110, 8, 6}, {74, 84, 1}, {10, 6, 1}, {30, 1, 15}};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
		CU_ASSERT_EQUAL (replica_connections (cases[i][0], cases[i][1]), cases[i][2]);
}

static void
test_end_of_a_cold_start (void)
{
	struct replica replica = {0};
	now_us = 10000 * MS;
	replica_note_cold (&replica, now_us + 3000 * MS, now_us);
	CU_ASSERT_EQUAL (replica.cold_until_us, now_us + 3000 * MS);
	/* A later read is closer to the truth when it names an earlier end, and stale otherwise. */
	replica_note_cold (&replica, now_us + 3500 * MS, now_us);
	CU_ASSERT_EQUAL (replica.cold_until_us, now_us + 3000 * MS);
	replica_note_cold (&replica, now_us + 2800 * MS, now_us);
	CU_ASSERT_EQUAL (replica.cold_until_us, now_us + 2800 * MS);
	now_us += 2900 * MS;
	replica_note_cold (&replica, now_us + 500 * MS, now_us);
	CU_ASSERT_TRUE (replica.cold_until_us < now_us);
	/* It can turn cold again at any moment. */
	replica_note_cold (&replica, now_us + 2000 * MS, now_us);
	CU_ASSERT_EQUAL (replica.cold_until_us, now_us + 2000 * MS);
}

static void
test_routes_by_host_and_longest_prefix (void)
{
	static const char text[] =
		"{\"version\":1,\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}],\"routes\":["
		"{\"name\":\"r1\",\"host\":\"x.example\",\"path_prefix\":\"/p/\","
		"\"timeout_ms\":5,\"service\":\"a\"},"
		"{\"name\":\"r2\",\"host\":\"x.example\",\"path_prefix\":\"/p/q/\","
		"\"timeout_ms\":5,\"service\":\"a\"},"
		"{\"name\":\"r3\",\"host\":\"y.example\",\"path_prefix\":\"/\",\"timeout_ms\":5,"
		"\"traffic_split\":[{\"service\":\"a\",\"weight\":9},"
		"{\"service\":\"b\",\"weight\":1}]}]}";
	struct error error = {0};
	struct routing *routing = manifest_decode (text, sizeof (text) - 1, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
	CU_ASSERT_STRING_EQUAL (routing_match (routing, "x.example", "/p/q/1")->name, "r2");
	CU_ASSERT_STRING_EQUAL (routing_match (routing, "X.example:80", "/p/q?/p/q/")->name, "r1");
	CU_ASSERT_PTR_NULL (routing_match (routing, "x.example", "/q/"));
	CU_ASSERT_PTR_NULL (routing_match (routing, "x.example.org", "/p/"));
	struct routing_rule *split = routing_match (routing, "y.example", "/anything");
	CU_ASSERT_EQUAL (split->idempotency, ROUTE_NON_IDEMPOTENT);
	for (int window = 0; window < 5; window++) {
		int second = 0;
		for (int i = 0; i < 10; i++)
			second += routing_next_part (split);
		CU_ASSERT_EQUAL (second, 1);
	}
	routing_unref (routing);
}

static void
test_invalid_manifests_are_refused (void)
{
	static const char *const bad[] = {
		"{\"version\":1,\"routes\":[],\"services\":[]",
		"{\"version\":0,\"routes\":[],\"services\":[]}",
		"{\"version\":1,\"services\":[]}",
		"{\"version\":1,\"services\":[{\"name\":\"a\"}],\"routes\":[{\"host\":\"h\","
		"\"path_prefix\":\"/\",\"timeout_ms\":0,\"service\":\"a\"}]}",
		"{\"version\":1,\"services\":[{\"name\":\"a\"}],\"routes\":[{\"host\":\"h\","
		"\"path_prefix\":\"/\",\"timeout_ms\":9,\"service\":\"b\"}]}",
		"{\"version\":1,\"services\":[{\"name\":\"a\"}],\"routes\":[{\"host\":\"h\","
		"\"path_prefix\":\"/\",\"timeout_ms\":9,\"service\":\"a\"},{\"host\":\"H\","
		"\"path_prefix\":\"/\",\"timeout_ms\":9,\"service\":\"a\"}]}",
		"{\"version\":1,\"services\":[{\"name\":\"a\"}],\"routes\":[{\"host\":\"h\","
		"\"path_prefix\":\"/\",\"timeout_ms\":9,\"traffic_split\":[{\"service\":\"a\","
		"\"weight\":0}]}]}",
		"{\"version\":1,\"services\":[{\"name\":\"a\"}],\"routes\":[{\"host\":\"h\","
		"\"path_prefix\":\"/\",\"timeout_ms\":9,\"fanout\":[\"a\",\"b\"]}]}",
	};
	for (size_t i = 0; i < sizeof (bad) / sizeof (bad[0]); i++) {
		struct error error = {0};
		CU_ASSERT_PTR_NULL (manifest_decode (bad[i], strlen (bad[i]), &error));
		CU_ASSERT_EQUAL (error.kind, ERROR_INVALID);
	}
}

static void
test_list_with_unreadable_entries (void)
{
	static const char page[] =
		"{\"instances\":[{\"id\":\"i-1\",\"service\":\"a\",\"address\":\"10.0.0.1:80\","
		"\"zone\":\"z\",\"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":1500,"
		"\"born\":1700000000000.0},"
		"{\"id\":\"i-2\",\"service\":\"\xff\xfe\",\"address\":\"10.0.0.2:80\"},"
		"{\"id\":7,\"service\":\"a\",\"address\":\"10.0.0.3:80\",\"zone\":\"z\","
		"\"slots\":2,\"state\":\"ready\"},"
		"{\"id\":\"i-4\",\"service\":\"a]\\\"}\",\"address\":\"10.0.0.4:80\","
		"\"zone\":\"z\",\"slots\":2,\"state\":\"asleep\"},"
		"{\"id\":\"i-5\",\"service\":\"a\",\"address\":\"10.0.0.5:80\",\"zone\":\"z\","
		"\"slots\":2,\"state\":\"draining\"}],\"next_page_token\":\"p 5\"}";
	struct listed_targets list;
	char next[128];
	listed_targets_init (&list);
	CU_ASSERT_TRUE (list_decode_page (&list, page, sizeof (page) - 1, next, sizeof (next)));
	CU_ASSERT_EQUAL (list.count, 2);
	CU_ASSERT_EQUAL (list.unreadable, 3);
	CU_ASSERT_STRING_EQUAL (list.items[0].id, "i-1");
	CU_ASSERT_EQUAL (list.items[0].cold_left_us, 1500 * MS);
	CU_ASSERT_EQUAL (list.items[0].born, 1700000000000);
	CU_ASSERT_EQUAL (list.items[1].state, REPLICA_LEAVING);
	CU_ASSERT_STRING_EQUAL (next, "/instances?page_token=p%205");
	/* A page that is cut short says nothing about what it leaves out. */
	CU_ASSERT_FALSE (list_decode_page (&list, page, sizeof (page) - 30, next, sizeof (next)));
	listed_targets_finish (&list);
}

static void
read_lines (struct reply_head *head, const char *const *lines)
{
	reply_head_init (head);
	for (; *lines; lines++)
		reply_head_line (head, *lines, strlen (*lines));
}

static void
test_replies_are_judged (void)
{
	struct reply_head head;
	const char *const good[] = {"HTTP/1.1 200 OK\r\n", "oleanderstile-attempt-id: 9c41\r\n",
		"Oleanderstile-Server-Stamp: 3e.07\r\n", "Oleanderstile-Server-Load: 3,1,8\r\n",
		NULL};
	read_lines (&head, good);
	CU_ASSERT_EQUAL (reply_head_judge (&head, "9c41", 200, true), SUB_END_ANSWERED);
	CU_ASSERT_EQUAL (reply_head_judge (&head, "9c42", 200, true), SUB_END_BROKEN);
	CU_ASSERT_EQUAL (reply_head_judge (&head, "9c41", 500, true), SUB_END_STATUS);
	CU_ASSERT_EQUAL (reply_head_judge (&head, "9c41", 404, true), SUB_END_STATUS);
	CU_ASSERT_EQUAL (reply_head_judge (&head, "9c41", 404, false), SUB_END_ANSWERED);
	CU_ASSERT_EQUAL (reply_head_judge (&head, "9c41", 421, false), SUB_END_NOT_RUN);
	CU_ASSERT_EQUAL (head.told_load, 4);
	const char *const shed[] = {"Oleanderstile-Not-Executed: 1\r\n", NULL};
	read_lines (&head, shed);
	CU_ASSERT_EQUAL (reply_head_judge (&head, "9c41", 503, true), SUB_END_NOT_RUN);
	const char *const unsigned_reply[] = {"Oleanderstile-Attempt-Id: 9c41\r\n", NULL};
	read_lines (&head, unsigned_reply);
	CU_ASSERT_EQUAL (reply_head_judge (&head, "9c41", 200, false), SUB_END_BROKEN);
	/* 503 without the promise may have run. */
	CU_ASSERT_EQUAL (reply_head_judge (&head, "9c41", 503, false), SUB_END_STATUS);
}

static void
test_orders_are_decoded (void)
{
	struct order order;
	order_decode (&order, "POST", "/config/replace");
	CU_ASSERT_EQUAL (order.kind, ORDER_PUT_ROUTING);
	order_decode (&order, "GET", "/config/replace");
	CU_ASSERT_EQUAL (order.kind, ORDER_UNKNOWN);
	order_decode (&order, "GET", "/config/get");
	CU_ASSERT_EQUAL (order.kind, ORDER_GET_ROUTING);
	order_decode (&order, "POST", "/evacuation/milano-a/start");
	CU_ASSERT_EQUAL (order.kind, ORDER_LEAVE);
	CU_ASSERT_STRING_EQUAL (order.data_centre, "milano-a");
	order_decode (&order, "POST", "/evacuation/milano-a/end");
	CU_ASSERT_EQUAL (order.kind, ORDER_RETURN);
	order_decode (&order, "POST", "/evacuation//end");
	CU_ASSERT_EQUAL (order.kind, ORDER_UNKNOWN);
	order_decode (&order, "POST", "/evacuation/a/b/end");
	CU_ASSERT_EQUAL (order.kind, ORDER_UNKNOWN);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (whole_answer_is_merged),
		TEST (enough_shards_answer_near_the_aim),
		TEST (too_few_shards_fail_at_once),
		TEST (slow_sub_request_is_hedged_once),
		TEST (hedges_leave_budget_for_retries),
		TEST (hedges_go_on_among_many_nodes),
		TEST (what_never_arrived_costs_no_budget),
		TEST (smaller_part_of_the_slack),
		TEST (refusal_leaves_the_attempts),
		TEST (request_that_runs_once),
		TEST (failure_of_the_target_is_passed_on),
		TEST (waiting_by_priority),
		TEST (nothing_to_send_to_is_refused_at_once),
		TEST (stalled_and_troubled_replicas_go_last),
		TEST (repeated_refusals_are_asked_less_and_less),
		TEST (seldom_asked_slow_replica_is_remembered),
		TEST (cold_replica_gets_its_part),
		TEST (end_of_a_cold_start),
		TEST (cold_bound_holds_for_all_nodes),
		TEST (part_of_the_connections),
		TEST (routes_by_host_and_longest_prefix),
		TEST (invalid_manifests_are_refused),
		TEST (list_with_unreadable_entries),
		TEST (replies_are_judged),
		TEST (orders_are_decoded),
	};
	return suite_run ("routes", tests, sizeof (tests) / sizeof (tests[0]));
}
