/**
 * @file routes.c
 * Unit tests of declared routes: the decoders of the platform's messages, the selection of
 * replicas, fan-out, hedging and retries. The clock advances only when a test sets it.
 */
#include "control/state.h"
#include "core/buf.h"
#include "core/clock.h"
#include "core/rng.h"
#include "platform/list.h"
#include "platform/manifest.h"
#include "platform/orders.h"
#include "platform/replies.h"
#include "query/batch.h"
#include "query/drain.h"
#include "query/scatter.h"
#include "test/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum { MAX_SENDS = 64, MS = US_PER_MS };

/* A sub-request that a scatter sent. */
struct send {
	int shard;
	struct replica *replica;
	struct replica_use use;
	bool ended;
};

static struct send sends[MAX_SENDS];
static int send_count;
static int delivered;
static int progressed;
static int rearmed;
static int64_t now_us;

static void
record_send (struct scatter *scatter, int shard, struct replica *replica)
{
	(void)scatter;
	struct send *sent = &sends[send_count++];
	*sent = (struct send){.shard = shard, .replica = replica};
	replica_begin (replica, &sent->use, now_us);
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
record_rearm (struct scatter *scatter)
{
	(void)scatter;
	rearmed++;
}

static const struct scatter_hooks hooks = {
	record_send, record_deliver, record_progress, record_rearm};
static const struct scatter_policy policy = {
	.data_centre = "local", .extra_percent = 20, .margin_us = 10 * MS};

static void
end_sub_request (struct scatter *scatter, int send_index, enum sub_end end, const char *body)
{
	struct sub_answer answer = {.http_status = end == SUB_END_ANSWERED ? 200 : 500,
		.stamp = "stamp",
		.content_type = "",
		.body = body,
		.body_len = body ? strlen (body) : 0};
	enum replica_outcome outcome = end == SUB_END_ANSWERED  ? REPLICA_ANSWERED
				       : end == SUB_END_NOT_RUN ? REPLICA_REFUSED
								: REPLICA_FAILED;
	sends[send_index].ended = true;
	replica_end (&sends[send_index].use, outcome, now_us);
	scatter_sub_ended (scatter, sends[send_index].shard, end, &answer, now_us);
}

/* Services s0, s1, ... of three targets each, one of them in this data centre. */
struct testbed {
	struct routing *routing;
	struct replica_set sets[8];
	struct replica replicas[8][3];
	int services;
};

static void
add_replicas (struct testbed *testbed, int service)
{
	static const char *const data_centres[] = {"local", "remote-1", "remote-2"};
	struct replica_set *set = &testbed->sets[service];
	replica_set_init (set, testbed->routing->services[service].name);
	budget_init_burst (&set->extra, 4);
	set->connections = 4;
	testbed->routing->services[service].set = set;
	for (int i = 0; i < 3; i++) {
		struct replica *replica = &testbed->replicas[service][i];
		memset (replica, 0, sizeof (*replica));
		replica->set = set;
		snprintf (replica->id, sizeof (replica->id), "i-%d-%d", service, i);
		str_copy (replica->data_centre, sizeof (replica->data_centre), data_centres[i]);
		replica->slots = 3;
		replica->listed = true;
		CDS_INIT_LIST_HEAD (&replica->running);
		cds_list_add_tail (&replica->node, &set->replicas);
	}
}

static void
testbed_init (struct testbed *testbed, int services, const char *kind, int attempts)
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
	testbed->routing = manifest_decode (text.data, text.len, &error);
	buf_finish (&text);
	if (!testbed->routing)
		abort ();
	testbed->services = services;
	for (int i = 0; i < services; i++)
		add_replicas (testbed, i);
	now_us = 1000 * MS;
	send_count = delivered = 0;
}

static void
testbed_start (struct testbed *testbed, struct scatter *scatter, const char *rule)
{
	scatter_init (scatter, testbed->routing, routing_find_rule (testbed->routing, rule),
		&policy, &hooks, now_us, now_us + 1000 * MS);
	scatter_start (scatter, now_us);
}

static void
testbed_finish (struct testbed *testbed, struct scatter *scatter)
{
	for (int i = 0; i < send_count; i++) {
		if (!sends[i].ended)
			replica_end (&sends[i].use, REPLICA_ABANDONED, now_us);
	}
	scatter_finish (scatter);
	routing_unref (testbed->routing);
}

static void
test_complete_answer_is_merged (void)
{
	struct testbed testbed;
	struct scatter scatter;
	size_t len = 0;
	testbed_init (&testbed, 2, "idempotent", 2);
	testbed_start (&testbed, &scatter, "all");
	CU_ASSERT_EQUAL (send_count, 2);
	end_sub_request (&scatter, 0, SUB_END_ANSWERED, "aaaaaaaaaaaaaaa1ccccccccccccccc1tail");
	CU_ASSERT_EQUAL (delivered, 0);
	end_sub_request (&scatter, 1, SUB_END_ANSWERED, "bbbbbbbbbbbbbbb1ccccccccccccccc1");
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_MERGED);
	char *merged = scatter_merge (&scatter, &len);
	CU_ASSERT_EQUAL (len, 48);
	CU_ASSERT_EQUAL (
		memcmp (merged, "ccccccccccccccc1ccccccccccccccc1bbbbbbbbbbbbbbb1", 48), 0);
	free (merged);
	testbed_finish (&testbed, &scatter);
}

/* Guards against requests that wait for a retry and refer to targets that the list has removed. */
static void
test_tried_target_is_kept_until_the_request_ends (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "idempotent", 3);
	testbed_start (&testbed, &scatter, "one");
	CU_ASSERT_EQUAL_FATAL (send_count, 1);
	struct replica *replica = sends[0].use.replica;
	CU_ASSERT_TRUE (replica_is_kept (replica, now_us));
	replica->listed = false;
	end_sub_request (&scatter, 0, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (replica->in_flight, 0);
	CU_ASSERT_TRUE (replica_is_kept (replica, now_us));
	testbed_finish (&testbed, &scatter);
	CU_ASSERT_FALSE (replica_is_kept (replica, now_us));
}

/* A target that is asked again after it was busy is tried once, so that it can be removed in the
 * end. */
static void
test_target_that_was_busy_can_be_removed (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "idempotent", 3);
	testbed_start (&testbed, &scatter, "one");
	for (int i = 0; i < 3; i++)
		testbed.replicas[0][i].busy_until_us = now_us + 20 * MS;
	end_sub_request (&scatter, 0, SUB_END_NOT_RUN, NULL);
	now_us += 30 * MS;
	scatter_serve_waiting (&testbed.sets[0], now_us);
	testbed_finish (&testbed, &scatter);
	for (int i = 0; i < 3; i++)
		CU_ASSERT_EQUAL (testbed.replicas[0][i].tried_count, 0);
}

static void
test_partial_answer_near_the_latency_objective (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 4, "idempotent", 1);
	testbed_start (&testbed, &scatter, "all");
	for (int i = 0; i < 3; i++)
		end_sub_request (&scatter, i, SUB_END_ANSWERED, "");
	CU_ASSERT_EQUAL (delivered, 0);
	CU_ASSERT_EQUAL (scatter_wake_us (&scatter), now_us + 90 * MS);
	now_us += 90 * MS;
	scatter_tick (&scatter, now_us);
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_MERGED);
	CU_ASSERT_EQUAL (scatter.answered, 3);
	testbed_finish (&testbed, &scatter);
}

/* Guards against answers that are held long past the objective for one shard whose targets are all
 * slow: alpenhof-search-grown, trouble-3, 300 ms for an objective of 150. */
static void
test_late_answer_is_not_held_for_the_last_shard (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 4, "idempotent", 1);
	testbed_start (&testbed, &scatter, "all");
	end_sub_request (&scatter, 0, SUB_END_ANSWERED, "");
	end_sub_request (&scatter, 1, SUB_END_ANSWERED, "");
	now_us += 110 * MS;
	scatter_tick (&scatter, now_us);
	end_sub_request (&scatter, 2, SUB_END_ANSWERED, "");
	CU_ASSERT_EQUAL (delivered, 0);
	now_us += 14 * MS;
	scatter_tick (&scatter, now_us);
	CU_ASSERT_EQUAL (delivered, 0);
	now_us += 1 * MS;
	scatter_tick (&scatter, now_us);
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (scatter.answered, 3);
	testbed_finish (&testbed, &scatter);
}

/* Guards against partial answers that miss the latency objective on their way to a distant caller.
 */
static void
test_partial_answer_reaches_a_distant_caller_in_time (void)
{
	static const struct {
		int64_t travel_us;
		int64_t due_us;
	} cases[] = {{0, 90 * MS}, {5 * MS, 90 * MS}, {12 * MS, 83 * MS}, {400 * MS, 50 * MS}};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		struct testbed testbed;
		struct scatter scatter;
		testbed_init (&testbed, 4, "idempotent", 1);
		scatter_init (&scatter, testbed.routing, routing_find_rule (testbed.routing, "all"),
			&policy, &hooks, now_us, now_us + 1000 * MS);
		scatter_reserve_travel (&scatter, cases[i].travel_us);
		scatter_start (&scatter, now_us);
		for (int j = 0; j < 3; j++)
			end_sub_request (&scatter, j, SUB_END_ANSWERED, "");
		CU_ASSERT_EQUAL (scatter_wake_us (&scatter), now_us + cases[i].due_us);
		testbed_finish (&testbed, &scatter);
	}
}

static void
test_too_few_shards_fail_immediately (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 4, "idempotent", 1);
	testbed_start (&testbed, &scatter, "all");
	end_sub_request (&scatter, 0, SUB_END_BROKEN, NULL);
	CU_ASSERT_EQUAL (delivered, 0);
	end_sub_request (&scatter, 1, SUB_END_BROKEN, NULL);
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_FAILED);
	testbed_finish (&testbed, &scatter);
}

static void
test_slow_sub_request_is_hedged_once (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "idempotent", 2);
	testbed_start (&testbed, &scatter, "all");
	now_us = scatter_wake_us (&scatter);
	scatter_tick (&scatter, now_us);
	CU_ASSERT_EQUAL (send_count, 2);
	CU_ASSERT_PTR_NOT_EQUAL (sends[0].replica, sends[1].replica);
	CU_ASSERT_EQUAL (scatter.hedges, 1);
	CU_ASSERT_TRUE (scatter_wake_us (&scatter) > now_us);
	end_sub_request (&scatter, 1, SUB_END_ANSWERED, "");
	CU_ASSERT_EQUAL (scatter.result, SCATTER_MERGED);
	testbed_finish (&testbed, &scatter);
}

static void
test_hedges_leave_budget_for_retries (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "idempotent", 2);
	while (budget_spend_above (&testbed.sets[0].extra, SCATTER_RETRY_RESERVE))
		;
	testbed_start (&testbed, &scatter, "all");
	now_us = scatter_wake_us (&scatter);
	scatter_tick (&scatter, now_us);
	CU_ASSERT_EQUAL (send_count, 1);
	end_sub_request (&scatter, 0, SUB_END_BROKEN, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	testbed_finish (&testbed, &scatter);
}

/*
 * When 84 nodes share 208 extra sub-requests, each has a burst of 2, and earns a fifth of one with
 * each request. A reserve for retries must not use up all of it.
 */
static void
test_hedges_continue_with_many_nodes (void)
{
	struct testbed testbed;
	struct scatter scatter;
	int hedges = 0;
	testbed_init (&testbed, 1, "idempotent", 2);
	budget_init_burst (&testbed.sets[0].extra, 2);
	for (int i = 0; i < 20; i++) {
		testbed_start (&testbed, &scatter, "all");
		now_us += 50 * MS;
		scatter_tick (&scatter, now_us);
		hedges += scatter.hedges;
		end_sub_request (&scatter, send_count - 1, SUB_END_ANSWERED, "");
		for (int j = 0; j < send_count; j++) {
			if (!sends[j].ended)
				replica_end (&sends[j].use, REPLICA_ABANDONED, now_us);
		}
		scatter_finish (&scatter);
		send_count = 0;
	}
	/* The burst of 2 and a fifth of 20 requests; the last one may not be fully earned yet. */
	CU_ASSERT_TRUE (hedges >= 5);
	CU_ASSERT_TRUE (hedges <= 6);
	routing_unref (testbed.routing);
}

static void
test_sub_request_that_was_not_sent_costs_no_budget (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "idempotent", 2);
	while (budget_spend (&testbed.sets[0].extra))
		;
	testbed_start (&testbed, &scatter, "one");
	end_sub_request (&scatter, 0, SUB_END_NOT_SENT, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	end_sub_request (&scatter, 1, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_REFUSED);
	testbed_finish (&testbed, &scatter);
}

static void
test_budget_with_a_changed_burst (void)
{
	struct budget budget;
	int spent = 0;
	budget_init_burst (&budget, 28);
	budget_set_burst (&budget, 6);
	while (budget_spend (&budget))
		spent++;
	CU_ASSERT_EQUAL (spent, 6);
	/* A larger burst has to be earned. */
	budget_set_burst (&budget, 10);
	CU_ASSERT_FALSE (budget_spend (&budget));
	for (int i = 0; i < 1000; i++)
		budget_earn (&budget, 20);
	for (spent = 0; budget_spend (&budget); spent++)
		;
	CU_ASSERT_EQUAL (spent, 10);
}

/* Guards against parts that are rounded up, which with many nodes add up to more than the slack. */
static void
test_shares_of_the_slack_never_exceed_it (void)
{
	static const double slacks[] = {0, 0.5, 1, 2.7, 32.7, 56, 208, 622, 1200.9};
	for (size_t i = 0; i < sizeof (slacks) / sizeof (slacks[0]); i++) {
		for (int nodes = 1; nodes <= 1100; nodes += 7) {
			int sum = 0;
			for (int rank = 0; rank < nodes; rank++)
				sum += budget_share (slacks[i], nodes, rank);
			CU_ASSERT_TRUE (sum <= slacks[i]);
			/* A node that has joined counts one more than the others do. */
			int joined = budget_share (slacks[i], nodes + 1, 0);
			CU_ASSERT_TRUE (sum + joined <= slacks[i] || sum == 0);
		}
	}
	CU_ASSERT_EQUAL (budget_share (622, 291, 290), 2);
	CU_ASSERT_EQUAL (budget_share (32.7, 16, 15), 1);
	CU_ASSERT_EQUAL (budget_share (32.7, 40, 30), 1);
	CU_ASSERT_EQUAL (budget_share (32.7, 40, 31), 0);
}

/* The burst and the refill of a window are the most that time alone brings in any window. */
static void
test_budget_refilled_by_time (void)
{
	enum { WINDOW_MS = 10000, STEP_MS = 7 };
	struct budget budget;
	int spent[3 * WINDOW_MS / STEP_MS + 1] = {0};
	int count = 0;
	int total = 0;
	budget_init_burst (&budget, 6);
	budget_set_refill (&budget, 6, (int64_t)WINDOW_MS * MS);
	for (int at_ms = 1; at_ms < 3 * WINDOW_MS; at_ms += STEP_MS) {
		budget_refill (&budget, (int64_t)at_ms * MS);
		while (budget_spend (&budget))
			spent[count]++;
		total += spent[count++];
	}
	/* Three windows bring 18 in addition to the burst; the last one may not have come in yet.
	 */
	CU_ASSERT_TRUE (total >= 23 && total <= 24);
	for (int i = 0; i + WINDOW_MS / STEP_MS < count; i++) {
		int in_window = 0;
		for (int j = i; j < i + WINDOW_MS / STEP_MS; j++)
			in_window += spent[j];
		CU_ASSERT_TRUE (in_window <= 12);
	}
	budget_empty (&budget);
	CU_ASSERT_FALSE (budget_spend (&budget));
	/* A long time without requests brings no more than the burst. */
	budget_refill (&budget, (int64_t)100 * WINDOW_MS * MS);
	for (total = 0; budget_spend (&budget); total++)
		;
	CU_ASSERT_EQUAL (total, 6);
}

static void
test_refusal_uses_up_no_attempt (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "idempotent", 1);
	testbed_start (&testbed, &scatter, "one");
	end_sub_request (&scatter, 0, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	end_sub_request (&scatter, 1, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (send_count, 3);
	end_sub_request (&scatter, 2, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_REFUSED);
	testbed_finish (&testbed, &scatter);
}

static void
test_non_idempotent_request_runs_at_most_once (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "non_idempotent", 3);
	testbed_start (&testbed, &scatter, "one");
	CU_ASSERT_EQUAL (scatter_wake_us (&scatter), scatter.deadline_us);
	end_sub_request (&scatter, 0, SUB_END_NOT_SENT, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	end_sub_request (&scatter, 1, SUB_END_BROKEN, NULL);
	CU_ASSERT_EQUAL (send_count, 2);
	/* The request may have run, so that the answer must not state that it did not. */
	CU_ASSERT_EQUAL (scatter.result, SCATTER_FAILED);
	testbed_finish (&testbed, &scatter);
}

/* Guards against requests that a stopping node accepts and cuts without an answer. */
static void
test_stopping_node_accepts_only_what_ends_in_time (void)
{
	struct drain drain = {.began_us = 0, .stop_us = 5000 * MS};
	int64_t start_us = 100000 * MS;
	CU_ASSERT_TRUE (drain_accepts (&drain, 10 * MS, INT64_MAX, start_us));
	drain.began_us = start_us;
	drain.stop_us = start_us + 5000 * MS;
	/* Requests arrive every 20 ms on kept connections; a few take 15 s, usually all take 10 ms.
	 */
	for (int64_t at_us = start_us; at_us < start_us + 6000 * MS; at_us += 20 * MS) {
		bool closing = at_us >= start_us + DRAIN_BALANCER_LAG_US;
		bool accepted = drain_accepts (&drain, 10 * MS, at_us + 15000 * MS, at_us);
		CU_ASSERT_EQUAL (accepted, !closing);
		bool accepted_short = drain_accepts (&drain, 10 * MS, at_us + 400 * MS, at_us);
		CU_ASSERT_EQUAL (accepted_short, at_us + 400 * MS <= drain.stop_us);
		CU_ASSERT_EQUAL (drain_closes_connections (&drain, at_us), closing);
		CU_ASSERT_EQUAL (drain_retry_after_us (&drain, at_us) > 0, !closing);
	}
	/* A slow route is refused while other nodes may not be reachable yet. */
	CU_ASSERT_FALSE (drain_accepts (&drain, 1000 * MS, INT64_MAX, start_us + 1100 * MS));
	CU_ASSERT_EQUAL (drain_retry_after_us (&drain, start_us + 1100 * MS), 1400 * MS);
}

/* Guards against a request that is accepted while a node without connections ends early. */
static void
test_node_that_ends_early_accepts_nothing (void)
{
	int64_t start_us = 100000 * MS;
	struct drain drain = {.began_us = start_us, .stop_us = start_us + 5000 * MS};
	int64_t at_us = start_us + DRAIN_BALANCER_LAG_US + 20 * MS;
	CU_ASSERT_TRUE (drain_accepts (&drain, 10 * MS, at_us + 1100 * MS, at_us));
	drain.refusing = true;
	CU_ASSERT_FALSE (drain_accepts (&drain, 10 * MS, at_us + 1100 * MS, at_us));
	CU_ASSERT_FALSE (drain_accepts (&drain, 10 * MS, at_us + 20 * MS, at_us));
	CU_ASSERT_EQUAL (drain_retry_after_us (&drain, at_us), 0);
}

/* Guards against a stop that takes its duration and then the time of its last steps as well. */
static void
test_one_deadline_bounds_the_whole_stop (void)
{
	static const int64_t durations_ms[] = {100, 300, 2000, 5000, 5001, 60000, 600000};
	int64_t start_us = 100000 * MS;
	for (size_t i = 0; i < sizeof (durations_ms) / sizeof (durations_ms[0]); i++) {
		struct stop_plan plan = stop_plan_make (start_us, durations_ms[i] * MS);
		CU_ASSERT_TRUE (plan.refuse_us > start_us + durations_ms[i] * MS / 2);
		CU_ASSERT_TRUE (plan.answer_us > plan.refuse_us);
		/* What is left after the last answers suffices to write and to read them. */
		CU_ASSERT_TRUE (plan.flush_us > 0 && plan.linger_us > 0);
		CU_ASSERT_TRUE (plan.answer_us + plan.flush_us + plan.linger_us < plan.end_us);
		CU_ASSERT_TRUE (plan.exit_us < plan.end_us);
		CU_ASSERT_TRUE (plan.answer_us + plan.flush_us + plan.linger_us < plan.exit_us);
		CU_ASSERT_EQUAL (plan.end_us, start_us + durations_ms[i] * MS);
	}
}

/*
 * Guards against callers that wait until the process is killed: the loop is held up by a large
 * routing at each time of the stop, for up to 2 s, and then takes the step that is due, not the one
 * that it had to take when it was held up.
 */
static void
test_a_loop_that_was_held_up_takes_the_step_that_is_due (void)
{
	int64_t start_us = 100000 * MS;
	struct stop_plan none = stop_plan_make (0, 5000 * MS);
	struct stop_plan plan = stop_plan_make (start_us, 5000 * MS);
	CU_ASSERT_EQUAL (stop_plan_phase (&none, start_us), STOP_NONE);
	CU_ASSERT_EQUAL (stop_plan_next_us (&none, start_us), INT64_MAX);
	for (int64_t held_ms = 0; held_ms <= 2000; held_ms += 50) {
		struct clock clock;
		enum stop_phase phase = STOP_NONE;
		int turns = 0;
		clock_init_manual (&clock, start_us);
		while (phase < STOP_ENDING && turns++ < 1000) {
			int64_t now_us = clock_now_us (&clock);
			int64_t next_us = stop_plan_next_us (&plan, now_us);
			enum stop_phase due = stop_plan_phase (&plan, now_us);
			CU_ASSERT_TRUE (due >= phase);
			CU_ASSERT_EQUAL (due == STOP_ENDING, now_us >= plan.answer_us);
			CU_ASSERT_EQUAL (due >= STOP_REFUSING, now_us >= plan.refuse_us);
			phase = due;
			if (due < STOP_ENDING)
				CU_ASSERT_TRUE (next_us > now_us);
			/* Waits at most 200 ms, as the loop does, and is then held up. */
			if (next_us > now_us + 200 * MS)
				next_us = now_us + 200 * MS;
			if (due < STOP_ENDING)
				clock_advance (&clock, next_us - now_us + held_ms * MS);
		}
		CU_ASSERT_TRUE (clock_now_us (&clock) <= plan.answer_us + held_ms * MS);
	}
}

/* Guards against requests that a stopping node ends without a truthful last answer. */
static void
test_end_of_a_stop_tells_what_may_have_run (void)
{
	struct testbed testbed;
	struct scatter running[3];
	struct scatter queued;
	testbed_init (&testbed, 1, "non_idempotent", 2);
	testbed.sets[0].connections = 1;
	for (int i = 0; i < 3; i++)
		testbed_start (&testbed, &running[i], "one");
	testbed_start (&testbed, &queued, "one");
	CU_ASSERT_EQUAL (send_count, 3);
	CU_ASSERT_FALSE (scatter_may_have_run (&queued));
	scatter_end (&queued, now_us);
	CU_ASSERT_EQUAL (queued.result, SCATTER_REFUSED);
	CU_ASSERT_EQUAL (testbed.sets[0].waiting_count, 0);
	CU_ASSERT_TRUE (scatter_may_have_run (&running[0]));
	scatter_end (&running[0], now_us);
	CU_ASSERT_EQUAL (running[0].result, SCATTER_TIMEOUT);
	CU_ASSERT_EQUAL (delivered, 2);
	scatter_end (&running[0], now_us);
	CU_ASSERT_EQUAL (delivered, 2);
	scatter_finish (&running[1]);
	scatter_finish (&running[2]);
	scatter_finish (&queued);
	testbed_finish (&testbed, &running[0]);
	testbed_init (&testbed, 4, "idempotent", 1);
	testbed_start (&testbed, &queued, "all");
	for (int i = 0; i < 3; i++)
		end_sub_request (&queued, i, SUB_END_ANSWERED, "");
	scatter_end (&queued, now_us);
	CU_ASSERT_EQUAL (queued.result, SCATTER_MERGED);
	CU_ASSERT_EQUAL (queued.answered, 3);
	testbed_finish (&testbed, &queued);
}

static void
test_error_reply_of_the_target_is_forwarded (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "idempotent", 2);
	testbed_start (&testbed, &scatter, "one");
	end_sub_request (&scatter, 0, SUB_END_STATUS, "sorry");
	end_sub_request (&scatter, 1, SUB_END_BROKEN, NULL);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_REPLY);
	CU_ASSERT_EQUAL (scatter.shards[0].http_status, 500);
	testbed_finish (&testbed, &scatter);
}

static void
test_queue_is_ordered_by_priority (void)
{
	struct testbed testbed;
	struct scatter first;
	struct scatter urgent;
	struct scatter running[3];
	testbed_init (&testbed, 1, "idempotent", 2);
	testbed.sets[0].connections = 1;
	for (int i = 0; i < 3; i++)
		testbed_start (&testbed, &running[i], "all");
	testbed_start (&testbed, &first, "all");
	testbed_start (&testbed, &urgent, "one");
	CU_ASSERT_EQUAL (send_count, 3);
	CU_ASSERT_EQUAL (testbed.sets[0].waiting_count, 2);
	end_sub_request (&running[0], 0, SUB_END_ANSWERED, "");
	scatter_serve_waiting (&testbed.sets[0], now_us);
	CU_ASSERT_EQUAL (send_count, 4);
	CU_ASSERT_EQUAL (urgent.shards[0].running, 1);
	CU_ASSERT_EQUAL (first.shards[0].running, 0);
	for (int i = 0; i < send_count; i++) {
		if (!sends[i].ended)
			replica_end (&sends[i].use, REPLICA_ABANDONED, now_us);
		sends[i].ended = true;
	}
	for (int i = 0; i < 3; i++)
		scatter_finish (&running[i]);
	scatter_finish (&urgent);
	testbed_finish (&testbed, &first);
}

static void
test_request_without_usable_target_is_refused (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "idempotent", 2);
	for (int i = 0; i < 3; i++)
		testbed.replicas[0][i].state = REPLICA_LEAVING;
	testbed_start (&testbed, &scatter, "one");
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_REFUSED);
	CU_ASSERT_TRUE (scatter.retry_after_ms > 0);
	testbed_finish (&testbed, &scatter);
}

static struct replica *
choose (struct testbed *testbed)
{
	struct replica_criteria criteria = {.data_centre = "local", .median_us = 10 * MS};
	struct replica *replica = NULL;
	replica_choose (&testbed->sets[0], &criteria, now_us, &replica);
	return replica;
}

/* Guards against requests to a target in the time for which it asked for none. */
static void
test_busy_target_gets_nothing_until_its_time (void)
{
	struct testbed testbed;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *replicas = testbed.replicas[0];
	struct replica_use uses[8];
	int used = 0;
	/* All are busy in turns, the local one with the longest time, and repeats are shorter. */
	int64_t start_us = now_us;
	replica_note_busy (&replicas[0], start_us + 4000 * MS, now_us);
	for (; now_us < start_us + 4000 * MS; now_us += 20 * MS) {
		replica_note_busy (&replicas[0], now_us + 1, now_us);
		int other = 1 + (int)((now_us - start_us) / (500 * MS)) % 2;
		replica_note_busy (&replicas[other], now_us + 30 * MS, now_us);
		struct replica *chosen = choose (&testbed);
		CU_ASSERT_PTR_NOT_EQUAL (chosen, &replicas[0]);
		CU_ASSERT_PTR_NOT_EQUAL (chosen, &replicas[other]);
	}
	/* Work returns gradually: one sub-request, and two after it was answered. */
	replicas[1].state = replicas[2].state = REPLICA_LEAVING;
	now_us += 1000 * MS;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[0]);
	replica_begin (&replicas[0], &uses[used++], now_us);
	CU_ASSERT_PTR_NULL (choose (&testbed));
	replica_end (&uses[0], REPLICA_ANSWERED, now_us);
	for (int i = 0; i < 2; i++) {
		CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[0]);
		replica_begin (&replicas[0], &uses[used++], now_us);
	}
	CU_ASSERT_PTR_NULL (choose (&testbed));
	replica_end (&uses[1], REPLICA_ANSWERED, now_us);
	replica_end (&uses[2], REPLICA_ANSWERED, now_us);
	CU_ASSERT_EQUAL (replicas[0].return_limit, 0);
	routing_unref (testbed.routing);
}

/*
 * Guards against nodes that return together, and against a wait that is longer than it has to be:
 * callers wait out what a node adds to the time that a target asked for.
 */
static void
test_nodes_return_apart_but_no_later_than_needed (void)
{
	enum { NODES = 84, TICK_US = MS };
	struct replica replica = {.slots = 4, .latency_us = 10 * MS};
	int arrivals[300] = {0};
	int most = 0;
	/* A single node has no other to keep away from. */
	CU_ASSERT_EQUAL (replica_return_spread_us (&replica, 2000 * MS, 1), 0);
	/* The first request of each node finds a free slot. */
	CU_ASSERT_EQUAL (replica_return_spread_us (&replica, 2000 * MS, 5), 10 * MS);
	int64_t spread_us = replica_return_spread_us (&replica, 4000 * MS, NODES);
	CU_ASSERT_TRUE (spread_us <= REPLICA_RETURN_SPREAD_MAX_US);
	for (uint64_t node = 0; node < NODES; node++) {
		struct rng rng = {.state = node + 1};
		arrivals[rng_below (&rng, (uint64_t)spread_us + 1) / TICK_US]++;
	}
	for (int i = 0; i < 300; i++)
		most = arrivals[i] > most ? arrivals[i] : most;
	CU_ASSERT_TRUE (most <= replica.slots);
	/* No more than an eighth of a short time is added, and nothing that cannot be counted. */
	CU_ASSERT_EQUAL (replica_return_spread_us (&replica, 50 * MS, NODES), 6250);
	replica.slots = 0;
	replica.latency_us = 0;
	CU_ASSERT_TRUE (replica_return_spread_us (&replica, 2000 * MS, 2) > 0);
}

/* Guards against targets that are used less after the time for which they asked for no requests. */
static void
test_wait_for_a_busy_target_costs_only_time (void)
{
	struct testbed testbed;
	struct scatter scatter;
	struct replica_use uses[4];
	testbed_init (&testbed, 1, "idempotent", 1);
	struct replica *replicas = testbed.replicas[0];
	struct budget *extra = &testbed.sets[0].extra;
	/* All that is in flight is refused, at three targets. */
	for (int i = 0; i < 3; i++) {
		for (int j = 0; j < 4; j++)
			replica_begin (&replicas[i], &uses[j], now_us);
		now_us += MS;
		for (int j = 0; j < 4; j++) {
			replica_note_busy (&replicas[i], now_us + 300 * MS, now_us);
			replica_end (&uses[j], REPLICA_DEFERRED, now_us);
		}
	}
	int64_t tokens = extra->tokens;
	testbed_start (&testbed, &scatter, "one");
	CU_ASSERT_EQUAL (send_count, 0);
	CU_ASSERT_TRUE (scatter.shards[0].queued);
	int64_t start_us = now_us;
	now_us = scatter_wake_us (&scatter);
	scatter_serve_returned (&scatter, now_us);
	CU_ASSERT_EQUAL (send_count, 1);
	CU_ASSERT_PTR_EQUAL (sends[0].replica, &replicas[0]);
	CU_ASSERT_EQUAL (scatter.shards[0].attempts_used, 1);
	CU_ASSERT_EQUAL (scatter.retries, 0);
	CU_ASSERT_TRUE (extra->tokens >= tokens);
	CU_ASSERT_TRUE (scatter.waited_us == now_us - start_us && scatter.waited_us > 200 * MS);
	now_us += 10 * MS;
	end_sub_request (&scatter, 0, SUB_END_ANSWERED, "");
	CU_ASSERT_EQUAL (scatter.result, SCATTER_REPLY);
	CU_ASSERT_EQUAL (replicas[0].latency_us, 10 * MS);
	for (int i = 0; i < 3; i++) {
		CU_ASSERT_EQUAL (replicas[i].failure_rate, 0);
		CU_ASSERT_TRUE (replicas[i].avoid_until_us <= now_us);
	}
	testbed_finish (&testbed, &scatter);
}

/* Guards against requests that targets refuse which ask for a short time again and again. */
static void
test_flood_of_short_times_is_kept_away_from (void)
{
	struct testbed testbed;
	struct replica_use use;
	int refused = 0;
	int refused_later = 0;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *replicas = testbed.replicas[0];
	int64_t start_us = now_us;
	/* For 20 s, two of three refuse each request and ask for 0.05 s. */
	for (int i = 0; i < 2000; i++, now_us += 10 * MS) {
		struct replica *chosen = choose (&testbed);
		CU_ASSERT_PTR_NOT_NULL_FATAL (chosen);
		if (!chosen)
			return;
		CU_ASSERT_TRUE (chosen->busy_until_us <= now_us);
		replica_begin (chosen, &use, now_us);
		if (chosen != &replicas[2])
			replica_note_busy (chosen, now_us + 50 * MS, now_us);
		replica_end (
			&use, chosen != &replicas[2] ? REPLICA_DEFERRED : REPLICA_ANSWERED, now_us);
		refused += chosen != &replicas[2];
		refused_later += chosen != &replicas[2] && now_us > start_us + 10000 * MS;
	}
	/* As with repeated refusals, each is tried once in REPLICA_AVOID_MAX_US in the end. */
	CU_ASSERT_TRUE (refused <= 2 * 12);
	CU_ASSERT_TRUE (refused_later <= 2 * 3);
	/* One answer shows that a target takes requests again. */
	now_us += 10000 * MS;
	replicas[2].state = REPLICA_LEAVING;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[0]);
	replica_begin (&replicas[0], &use, now_us);
	replica_end (&use, REPLICA_ANSWERED, now_us);
	CU_ASSERT_EQUAL (replicas[0].deferrals, 0);
	replica_begin (&replicas[0], &use, now_us);
	replica_note_busy (&replicas[0], now_us + 50 * MS, now_us);
	replica_end (&use, REPLICA_DEFERRED, now_us);
	CU_ASSERT_TRUE (replicas[0].avoid_until_us <= now_us);
	routing_unref (testbed.routing);
}

/* Guards against a time without requests that ends before the target does, or outlives it. */
static void
test_very_long_time_lasts_as_long_as_the_target (void)
{
	struct testbed testbed;
	struct reply_head head;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *replicas = testbed.replicas[0];
	reply_head_init (&head);
	reply_head_add_line (&head, "Retry-After: 99999999999999999999", 33);
	replica_note_busy (&replicas[0], now_us + head.retry_after_us, now_us);
	int64_t start_us = now_us;
	const int64_t day_us = (int64_t)86400 * US_PER_S;
	for (; now_us < start_us + 100 * 365 * day_us; now_us += day_us) {
		/* An older refusal that comes late asks for less. */
		replica_note_busy (&replicas[0], now_us + 4000 * MS, now_us);
		CU_ASSERT_PTR_NOT_EQUAL (choose (&testbed), &replicas[0]);
	}
	/* A list that leaves it out for some time does not end the time, but its end does. */
	replicas[0].listed = false;
	replica_note_busy (&replicas[1], now_us + 3000 * MS, now_us);
	CU_ASSERT_TRUE (replica_is_kept (&replicas[1], now_us + 2999 * MS));
	CU_ASSERT_FALSE (replica_is_kept (&replicas[1], now_us + 3000 * MS));
	CU_ASSERT_TRUE (replica_is_kept (&replicas[0], start_us));
	CU_ASSERT_FALSE (replica_is_kept (&replicas[0], now_us));
	replicas[0].listed = true;
	/* Another target at its address is another one. */
	struct replica next = {.set = &testbed.sets[0], .slots = 3, .listed = true};
	str_copy (next.id, sizeof (next.id), "i-next");
	str_copy (next.address, sizeof (next.address), replicas[0].address);
	str_copy (next.data_centre, sizeof (next.data_centre), "local");
	CDS_INIT_LIST_HEAD (&next.running);
	cds_list_add_tail (&next.node, &testbed.sets[0].replicas);
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &next);
	routing_unref (testbed.routing);
}

/* A service whose targets all ask for no requests: callers wait if that helps them. */
static void
test_busy_service_queues_or_refuses_at_once (void)
{
	struct testbed testbed;
	struct scatter early;
	struct scatter urgent;
	struct scatter late;
	testbed_init (&testbed, 1, "non_idempotent", 2);
	struct replica *replicas = testbed.replicas[0];
	replica_note_busy (&replicas[0], now_us + 300 * MS, now_us);
	replica_note_busy (&replicas[1], now_us + 2000 * MS, now_us);
	replica_note_busy (&replicas[2], now_us + 2000 * MS, now_us);
	testbed_start (&testbed, &early, "all");
	testbed_start (&testbed, &urgent, "one");
	CU_ASSERT_EQUAL (send_count, 0);
	CU_ASSERT_EQUAL (delivered, 0);
	CU_ASSERT_EQUAL (scatter_wake_us (&urgent), now_us + 300 * MS);
	now_us += 300 * MS;
	CU_ASSERT_TRUE (scatter_has_returned (&early, now_us));
	/* Whichever wakes first, the more urgent one is sent first, and the other waits for it. */
	scatter_serve_returned (&early, now_us);
	CU_ASSERT_EQUAL (send_count, 1);
	CU_ASSERT_EQUAL (urgent.shards[0].running, 1);
	CU_ASSERT_FALSE (scatter_has_returned (&early, now_us));
	/* Refused once more: no attempt is used up, and the target is tried again at its time. */
	replica_note_busy (&replicas[0], now_us + 200 * MS, now_us);
	end_sub_request (&urgent, 0, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (urgent.shards[0].attempts_used, 0);
	CU_ASSERT_TRUE (urgent.shards[0].queued);
	CU_ASSERT_EQUAL (delivered, 0);
	now_us += 200 * MS;
	scatter_serve_returned (&urgent, now_us);
	CU_ASSERT_EQUAL (send_count, 2);
	CU_ASSERT_PTR_EQUAL (sends[1].replica, &replicas[0]);
	/* Its caller's deadline comes before any target returns. */
	replica_note_busy (&replicas[0], now_us + 1500 * MS, now_us);
	testbed_start (&testbed, &late, "one");
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (late.result, SCATTER_REFUSED);
	CU_ASSERT_EQUAL (late.shards[0].give_up, GIVE_UP_REFUSING);
	CU_ASSERT_EQUAL (late.retry_after_ms, 1500);
	end_sub_request (&urgent, 1, SUB_END_ANSWERED, "");
	CU_ASSERT_EQUAL (urgent.result, SCATTER_REPLY);
	scatter_finish (&late);
	scatter_finish (&early);
	testbed_finish (&testbed, &urgent);
}

/* Guards against requests that were queued at full targets and sleep on when these get busy. */
static void
test_queued_requests_wake_when_busy_targets_return (void)
{
	struct testbed testbed;
	struct scatter running[3];
	struct scatter queued;
	struct scatter hopeless;
	testbed_init (&testbed, 1, "non_idempotent", 2);
	testbed.sets[0].connections = 1;
	for (int i = 0; i < 3; i++)
		testbed_start (&testbed, &running[i], "all");
	testbed_start (&testbed, &queued, "one");
	scatter_init (&hopeless, testbed.routing, routing_find_rule (testbed.routing, "one"),
		&policy, &hooks, now_us, now_us + 300 * MS);
	scatter_start (&hopeless, now_us);
	CU_ASSERT_EQUAL (testbed.sets[0].waiting_count, 2);
	CU_ASSERT_EQUAL (scatter_wake_us (&queued), queued.deadline_us);
	rearmed = 0;
	for (int i = 0; i < 3; i++) {
		replica_note_busy (&testbed.replicas[0][i], now_us + (600 + 200 * i) * MS, now_us);
		end_sub_request (&running[i], i, SUB_END_STATUS, "");
	}
	scatter_serve_waiting (&testbed.sets[0], now_us);
	/* One has time until the first return; the other is refused at once. */
	CU_ASSERT_EQUAL (rearmed, 1);
	CU_ASSERT_EQUAL (scatter_wake_us (&queued), now_us + 600 * MS);
	CU_ASSERT_EQUAL (hopeless.phase, SCATTER_DONE);
	CU_ASSERT_EQUAL (hopeless.result, SCATTER_REFUSED);
	CU_ASSERT_EQUAL (hopeless.retry_after_ms, 600);
	now_us += 600 * MS;
	CU_ASSERT_TRUE (scatter_has_returned (&queued, now_us));
	scatter_serve_returned (&queued, now_us);
	CU_ASSERT_EQUAL (send_count, 4);
	CU_ASSERT_PTR_EQUAL (sends[3].replica, &testbed.replicas[0][0]);
	for (int i = 0; i < 3; i++)
		scatter_finish (&running[i]);
	scatter_finish (&hopeless);
	testbed_finish (&testbed, &queued);
}

static void
test_times_to_return_are_decoded (void)
{
	static const struct {
		const char *lines[2];
		int64_t us;
	} cases[] = {{{"Retry-After: 4"}, 4000 * MS}, {{"retry-after: 0.25\r\n"}, 250 * MS},
		{{"Retry-After: 0"}, 0}, {{"Retry-After: 0.0"}, 0}, {{"X: 4"}, 0},
		{{"Retry-After: 1", "Retry-After: 3"}, 3000 * MS},
		{{"Retry-After: 2", "Retry-After: soon"}, 2000 * MS},
		{{"Retry-After: Wed, 21 Oct 2026 07:28:00 GMT"}, -1}, {{"Retry-After: -1"}, -1},
		{{"Retry-After: nan"}, -1}, {{"Retry-After: inf"}, -1}, {{"Retry-After: 4s"}, -1},
		{{"Retry-After:"}, -1}};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		struct reply_head head;
		reply_head_init (&head);
		for (int j = 0; j < 2 && cases[i].lines[j]; j++)
			reply_head_add_line (&head, cases[i].lines[j], strlen (cases[i].lines[j]));
		CU_ASSERT_EQUAL (head.retry_after_us, cases[i].us);
	}
	struct reply_head head;
	reply_head_init (&head);
	reply_head_add_line (&head, "Retry-After: 1e300", 18);
	CU_ASSERT_TRUE (head.retry_after_us > (int64_t)100 * 365 * 86400 * US_PER_S);
	CU_ASSERT_TRUE (head.retry_after_us < INT64_MAX / 4);
	reply_head_init (&head);
	reply_head_add_line (&head, "Server-Leaving: 10", 18);
	CU_ASSERT_FALSE (head.leaving);
	reply_head_add_line (&head, "server-leaving: 1 \r\n", 20);
	CU_ASSERT_TRUE (head.leaving);
}

/* Guards against requests to a target that announced that it leaves while a list says ready. */
static void
test_announced_leaving_outlasts_any_list (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *replicas = testbed.replicas[0];
	testbed.sets[0].drain_us = 3000 * MS;
	CU_ASSERT_TRUE (replica_note_leaving (&replicas[0], now_us));
	int64_t announced_us = now_us;
	/* The list, an evacuation that ends and later answers say again and again that it is ready.
	 */
	for (; now_us < announced_us + 700000 * MS; now_us += 250 * MS) {
		replicas[0].state = REPLICA_READY;
		replicas[0].listed = true;
		replicas[0].evacuated = false;
		CU_ASSERT_FALSE (replica_note_leaving (&replicas[0], now_us));
		struct replica *chosen = choose (&testbed);
		CU_ASSERT_TRUE (chosen != NULL && chosen != &replicas[0]);
		CU_ASSERT_EQUAL (replica_is_kept (&replicas[0], now_us),
			now_us < announced_us + REPLICA_ANNOUNCED_KEEP_US);
	}
	/* All of them leave: for the drain time one is used, then requests are refused at once. */
	announced_us = now_us;
	replica_note_leaving (&replicas[1], now_us);
	replica_note_leaving (&replicas[2], now_us);
	now_us = announced_us + 2400 * MS;
	CU_ASSERT_PTR_NOT_NULL (choose (&testbed));
	CU_ASSERT_PTR_NOT_EQUAL (choose (&testbed), &replicas[0]);
	replicas[1].state = REPLICA_LEAVING;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[2]);
	now_us = announced_us + 2500 * MS;
	CU_ASSERT_PTR_NULL (choose (&testbed));
	testbed_start (&testbed, &scatter, "one");
	CU_ASSERT_EQUAL (delivered, 1);
	CU_ASSERT_EQUAL (scatter.result, SCATTER_REFUSED);
	CU_ASSERT_TRUE (scatter.retry_after_ms > 0);
	testbed_finish (&testbed, &scatter);
}

/* Guards against failed fan-outs while the one target of a shard that stays is full and two idle
 * ones drain: alpenhof-search-grown, scale-1. */
static void
test_draining_targets_relieve_a_full_one (void)
{
	struct testbed testbed;
	struct scatter scatter;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *replicas = testbed.replicas[0];
	int64_t listed_us = now_us;
	testbed.sets[0].drain_us = 3000 * MS;
	replica_note_listed (&replicas[0], REPLICA_LEAVING, listed_us);
	replica_note_listed (&replicas[1], REPLICA_LEAVING, listed_us);
	/* The one that stays is used while it is expected to answer. */
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[2]);
	testbed_start (&testbed, &scatter, "all");
	CU_ASSERT_PTR_EQUAL (sends[0].replica, &replicas[2]);
	end_sub_request (&scatter, 0, SUB_END_NOT_RUN, NULL);
	CU_ASSERT_EQUAL (delivered, 0);
	CU_ASSERT_PTR_EQUAL (sends[1].replica, &replicas[0]);
	end_sub_request (&scatter, 1, SUB_END_ANSWERED, "");
	CU_ASSERT_EQUAL (scatter.result, SCATTER_MERGED);
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[0]);
	/* Another incarnation at its address, and the end of the drain time. */
	replica_note_replaced (&replicas[0], now_us);
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[1]);
	now_us = listed_us + 2500 * MS - 1;
	replicas[2].avoid_until_us = now_us + 1000 * MS;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[1]);
	now_us++;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[2]);
	/* It was listed as leaving before this node knew it: nothing is known of its drain time. */
	replica_note_listed (&replicas[1], REPLICA_READY, now_us);
	replica_note_listed (&replicas[1], REPLICA_LEAVING, 0);
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[2]);
	/* A list that lags by 1 s may not have shown it for so long. */
	testbed.sets[0].list_lag_us = 1000 * MS;
	replica_note_listed (&replicas[1], REPLICA_READY, now_us);
	replica_note_listed (&replicas[1], REPLICA_LEAVING, now_us);
	replicas[2].avoid_until_us = now_us + 3000 * MS;
	now_us += 1500 * MS - 1;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[1]);
	now_us++;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[2]);
	testbed_finish (&testbed, &scatter);
}

/* Guards against the load that has waited, all at once at a target that was busy and then leaves.
 */
static void
test_draining_target_that_was_busy_gets_few_requests_at_first (void)
{
	struct testbed testbed;
	struct replica_use use;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *replicas = testbed.replicas[0];
	testbed.sets[0].drain_us = 3000 * MS;
	for (int i = 0; i < 3; i++)
		replica_note_leaving (&replicas[i], now_us);
	replica_note_busy (&replicas[0], now_us + 100 * MS, now_us);
	replicas[1].listed = replicas[2].listed = false;
	now_us += 100 * MS;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[0]);
	replica_begin (&replicas[0], &use, now_us);
	CU_ASSERT_PTR_NULL (choose (&testbed));
	replica_end (&use, REPLICA_ANSWERED, now_us);
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[0]);
	routing_unref (testbed.routing);
}

/* Guards against requests that all try to connect to a draining target that has ended too early. */
static void
test_draining_target_that_has_ended_is_avoided (void)
{
	struct testbed testbed;
	struct replica_use recalled;
	struct replica_use use;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *replicas = testbed.replicas[0];
	testbed.sets[0].drain_us = 3000 * MS;
	replica_begin (&replicas[0], &recalled, now_us);
	now_us += MS;
	replica_note_leaving (&replicas[0], now_us);
	replica_note_leaving (&replicas[1], now_us);
	replicas[2].avoid_until_us = now_us + 1000 * MS;
	CU_ASSERT_TRUE (replica_was_recalled (&recalled, now_us));
	replica_end (&recalled, REPLICA_ABANDONED, now_us);
	now_us += MS;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[0]);
	replica_begin (&replicas[0], &use, now_us);
	CU_ASSERT_FALSE (replica_was_recalled (&use, now_us));
	replica_end (&use, REPLICA_FAILED, now_us);
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[1]);
	routing_unref (testbed.routing);
}

/* Guards against requests to a target that has ended while the list, which lags, still shows it as
 * ready: each of them is answered with 421 and uses up budget. */
static void
test_ended_target_gets_no_requests (void)
{
	struct testbed testbed;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *replicas = testbed.replicas[0];
	int64_t replaced_us = now_us;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[0]);
	replica_note_replaced (&replicas[0], now_us);
	for (; now_us < replaced_us + REPLICA_REPLACED_AVOID_US; now_us += 500 * MS) {
		replica_note_listed (&replicas[0], REPLICA_READY, now_us);
		CU_ASSERT_PTR_NOT_EQUAL (choose (&testbed), &replicas[0]);
	}
	replica_note_listed (&replicas[0], REPLICA_READY, now_us + 1);
	CU_ASSERT_PTR_EQUAL (choose (&testbed), &replicas[0]);
	routing_unref (testbed.routing);

	struct listed_targets list;
	struct listed_target items[] = {
		{.id = "old", .address = "10.0.0.1:80", .start_unix_ms = 5},
		{.id = "other", .address = "10.0.0.2:80", .start_unix_ms = 6},
		{.id = "new", .address = "10.0.0.1:80", .start_unix_ms = 7},
		{.id = "unknown", .address = "10.0.0.1:80"},
	};
	listed_targets_init (&list);
	list.items = items;
	list.count = 4;
	CU_ASSERT_EQUAL (listed_targets_remove_replaced (&list), 1);
	CU_ASSERT_EQUAL (list.count, 3);
	CU_ASSERT_STRING_EQUAL (list.items[0].id, "other");
	CU_ASSERT_STRING_EQUAL (list.items[1].id, "new");
	CU_ASSERT_STRING_EQUAL (list.items[2].id, "unknown");
}

static void
test_stalled_and_failing_replicas_go_last (void)
{
	struct testbed testbed;
	struct replica_use use;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *local = &testbed.replicas[0][0];
	CU_ASSERT_PTR_EQUAL (choose (&testbed), local);
	replica_begin (local, &use, now_us);
	now_us += 31 * MS;
	CU_ASSERT_PTR_NOT_EQUAL (choose (&testbed), local);
	replica_end (&use, REPLICA_ANSWERED, now_us);
	now_us += REPLICA_DECAY_MIN_US;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), local);
	/* Refusing every other request costs more than a round trip to another data centre. */
	for (int i = 0; i < 4; i++) {
		replica_begin (local, &use, now_us);
		replica_end (&use, i % 2 ? REPLICA_REFUSED : REPLICA_ANSWERED, now_us);
	}
	now_us += REPLICA_REFUSED_AVOID_US + 1;
	CU_ASSERT_PTR_NOT_EQUAL (choose (&testbed), local);
	now_us += REPLICA_DECAY_MIN_US;
	CU_ASSERT_PTR_EQUAL (choose (&testbed), local);
	routing_unref (testbed.routing);
}

/* A target has no capacity for a connection of this node until old ones time out. */
static void
test_repeated_refusals_back_off (void)
{
	struct testbed testbed;
	struct replica_use use;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *full = &testbed.replicas[0][0];
	for (int i = 0; i < 10; i++) {
		replica_begin (full, &use, now_us);
		replica_end (&use, REPLICA_REFUSED, now_us);
		int64_t expected_us = (int64_t)REPLICA_REFUSED_AVOID_US << i;
		if (expected_us > REPLICA_AVOID_MAX_US)
			expected_us = REPLICA_AVOID_MAX_US;
		CU_ASSERT_EQUAL (full->avoid_until_us - now_us, expected_us);
	}
	/* One answer shows that the target has capacity again. */
	replica_begin (full, &use, now_us);
	replica_end (&use, REPLICA_ANSWERED, now_us);
	replica_begin (full, &use, now_us);
	replica_end (&use, REPLICA_REFUSED, now_us);
	CU_ASSERT_EQUAL (full->avoid_until_us, now_us + REPLICA_REFUSED_AVOID_US);
	routing_unref (testbed.routing);
}

/*
 * Each of 84 nodes sends to a service about once in 750 ms, and a third of that to one target. A
 * node that forgets between two requests that a target is slow selects it for nearly every one.
 */
static void
test_slow_replica_is_remembered_between_rare_requests (void)
{
	struct testbed testbed;
	struct replica_use use;
	testbed_init (&testbed, 1, "idempotent", 2);
	struct replica *slow = &testbed.replicas[0][0];
	int sent_to_slow = 0;
	for (int i = 0; i < 60; i++) {
		struct replica *replica = choose (&testbed);
		CU_ASSERT_PTR_NOT_NULL_FATAL (replica);
		replica_begin (replica, &use, now_us);
		now_us += replica == slow ? 90 * MS : 10 * MS;
		replica_end (&use, REPLICA_ANSWERED, now_us);
		now_us += 740 * MS;
		sent_to_slow += replica == slow;
	}
	/* Within 45 s the slow target is tried again now and then, but not with each request. */
	CU_ASSERT_TRUE (sent_to_slow >= 2);
	CU_ASSERT_TRUE (sent_to_slow <= 8);
	routing_unref (testbed.routing);
}

static void
test_cold_replica_gets_its_share (void)
{
	struct testbed testbed;
	struct replica_use use;
	testbed_init (&testbed, 1, "idempotent", 2);
	for (int i = 0; i < 3; i++) {
		testbed.replicas[0][i].cold_until_us = now_us + 3000 * MS;
		testbed.replicas[0][i].cold_interval_us = 500 * MS;
	}
	testbed.sets[0].share_until_us = now_us + 2000 * MS;
	int sent = 0;
	for (int i = 0; i < 250; i++, now_us += 10 * MS) {
		struct replica *replica = choose (&testbed);
		if (!replica)
			continue;
		replica_begin (replica, &use, now_us);
		replica_end (&use, REPLICA_ANSWERED, now_us);
		sent++;
	}
	/* Two seconds, three replicas, one request every half second each; then the share ends. */
	CU_ASSERT_EQUAL (sent, 12);
	routing_unref (testbed.routing);
}

/* Guards against requests that wait beside free turns of cold targets, or for turns that come too
 * late. */
static void
test_requests_wait_for_turns_of_cold_targets (void)
{
	struct testbed testbed;
	struct scatter scatters[8];
	testbed_init (&testbed, 1, "idempotent", 2);
	for (int i = 0; i < 3; i++) {
		testbed.replicas[0][i].cold_until_us = now_us + 9000 * MS;
		testbed.replicas[0][i].cold_interval_us = i == 0 ? 400 * MS : 0;
	}
	testbed.sets[0].share_until_us = now_us + 9000 * MS;
	int64_t start_us = now_us;
	/* The first is sent, two can have their turns within 1000 ms, the others are told at once.
	 */
	for (int i = 0; i < 8; i++)
		testbed_start (&testbed, &scatters[i], "one");
	CU_ASSERT_EQUAL (send_count, 1);
	CU_ASSERT_EQUAL (delivered, 5);
	for (int i = 3; i < 8; i++)
		CU_ASSERT_EQUAL (scatters[i].result, SCATTER_REFUSED);
	end_sub_request (&scatters[0], 0, SUB_END_ANSWERED, "answer");
	for (int i = 1; i < 3; i++) {
		CU_ASSERT_EQUAL (scatter_wake_us (&scatters[i]), start_us + 400 * MS * i);
		now_us = scatter_wake_us (&scatters[i]);
		scatter_serve_returned (&scatters[i], now_us);
		for (int j = i + 1; j < 3; j++)
			scatter_serve_returned (&scatters[j], now_us);
		CU_ASSERT_EQUAL (send_count, 1 + i);
		end_sub_request (&scatters[i], i, SUB_END_ANSWERED, "answer");
	}
	for (int i = 0; i < 8; i++)
		scatter_finish (&scatters[i]);
	routing_unref (testbed.routing);
}

/* With any number of nodes, no second contains more requests than the target can handle. */
static void
test_cold_rate_holds_for_all_nodes (void)
{
	static const struct {
		double rate_per_s;
		int nodes;
	} cases[] = {{5, 8}, {5, 6}, {5, 84}, {5, 2}, {17.5, 8}, {0.9, 3}, {1, 1}};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		int64_t times[512];
		int count = 0;
		for (int rank = 0; rank < cases[i].nodes; rank++) {
			int64_t interval_us = replica_cold_interval_us (
				cases[i].rate_per_s, cases[i].nodes, rank);
			/* Worst case: all nodes start together and send as often as allowed. */
			for (int64_t at = 0; interval_us > 0 && at < 3000 * MS; at += interval_us)
				times[count++] = at;
		}
		for (int from = 0; from < count; from++) {
			int in_window = 0;
			for (int j = 0; j < count; j++)
				in_window += times[j] >= times[from] &&
					     times[j] < times[from] + 1000 * MS;
			CU_ASSERT_TRUE (in_window <= cases[i].rate_per_s);
		}
		CU_ASSERT_EQUAL (count > 0, cases[i].rate_per_s >= 1);
	}
}

static void
test_share_of_the_connections (void)
{
	/* Connections of a target, nodes, share of one node. */
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
	/* A later list is more accurate when it gives an earlier end, and stale otherwise. */
	replica_note_cold (&replica, now_us + 3500 * MS, now_us);
	CU_ASSERT_EQUAL (replica.cold_until_us, now_us + 3000 * MS);
	replica_note_cold (&replica, now_us + 2800 * MS, now_us);
	CU_ASSERT_EQUAL (replica.cold_until_us, now_us + 2800 * MS);
	now_us += 2900 * MS;
	replica_note_cold (&replica, now_us + 500 * MS, now_us);
	CU_ASSERT_TRUE (replica.cold_until_us < now_us);
	/* The target can turn cold again at any time. */
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

static int
compare_falling (const void *a, const void *b)
{
	return memcmp (b, a, RECORD_BYTES);
}

/* Load: targets answer with more records than the route asks for, some of them equal. */
static void
test_greatest_records_of_a_part_are_kept (void)
{
	enum { RECORDS_MAX = 200 };
	struct rng rng = {.state = 9};
	char records[RECORDS_MAX * RECORD_BYTES + 5];
	char sorted[RECORDS_MAX * RECORD_BYTES];
	for (int round = 0; round < 2000; round++) {
		size_t count = rng_below (&rng, RECORDS_MAX + 1);
		size_t keep = rng_below (&rng, 2 * RECORD_BYTES);
		size_t kept = count < keep ? count : keep;
		for (size_t i = 0; i < count * RECORD_BYTES; i++)
			records[i] = (char)rng_below (&rng, i % RECORD_BYTES < 14 ? 2 : 256);
		memcpy (sorted, records, count * RECORD_BYTES);
		qsort (sorted, count, RECORD_BYTES, compare_falling);
		CU_ASSERT_EQUAL (records_keep_greatest (
					 records, count * RECORD_BYTES + rng_below (&rng, 5), keep),
			kept * RECORD_BYTES);
		qsort (records, kept, RECORD_BYTES, compare_falling);
		CU_ASSERT_EQUAL (memcmp (records, sorted, kept * RECORD_BYTES), 0);
	}
}

/* The rule that routing_match has to find. */
static struct routing_rule *
match_by_search (const struct routing *routing, const char *host, const char *path)
{
	struct routing_rule *best = NULL;
	size_t best_len = 0;
	for (int i = 0; i < routing->rule_count; i++) {
		struct routing_rule *rule = &routing->rules[i];
		size_t len = strlen (rule->prefix);
		if (len > best_len && strncmp (rule->prefix, path, len) == 0 &&
			strcasecmp (rule->host, host) == 0) {
			best = rule;
			best_len = len;
		}
	}
	return best;
}

/* A path of up to four segments from a small set, so that many are prefixes of others. */
static void
random_path (struct rng *rng, char *out)
{
	size_t len = 0;
	int segments = (int)rng_below (rng, 5);
	out[len++] = '/';
	for (int i = 0; i < segments; i++) {
		int letters = 1 + (int)rng_below (rng, 3);
		for (int j = 0; j < letters; j++)
			out[len++] = (char)('a' + rng_below (rng, 4));
		out[len++] = '/';
	}
	out[len] = '\0';
}

/* Load: thousands of routes, which come as a new version each second. */
static void
test_thousands_of_routes_are_found_by_hash (void)
{
	enum { ROUTES = 2000 };
	static const char *const hosts[] = {"x.example", "y.example", "Z.example"};
	struct rng rng = {.state = 5};
	char path[32];
	char request[64];
	char name[16];
	struct routing *routing = routing_new ();
	routing_reserve (routing, ROUTES, 1);
	for (int i = 0; i < ROUTES; i++) {
		const char *host = hosts[rng_below (&rng, 3)];
		random_path (&rng, path);
		snprintf (name, sizeof (name), "r%d", i % 1500);
		bool is_new = true;
		for (int j = 0; j < routing->rule_count; j++)
			is_new = is_new && (strcmp (routing->rules[j].prefix, path) != 0 ||
						   strcmp (routing->rules[j].host, host) != 0);
		CU_ASSERT_EQUAL (routing_add_rule (routing, name, host, path) != NULL, is_new);
	}
	CU_ASSERT_TRUE (routing->rule_count > ROUTES / 4);
	for (int i = 0; i < ROUTES; i++) {
		const char *host = hosts[rng_below (&rng, 3)];
		random_path (&rng, path);
		snprintf (request, sizeof (request), "%send", path);
		CU_ASSERT_PTR_EQUAL (routing_match (routing, host, request),
			match_by_search (routing, host, request));
	}
	for (int i = 0; i < routing->rule_count; i++) {
		const struct routing_rule *found =
			routing_find_rule (routing, routing->rules[i].name);
		CU_ASSERT_STRING_EQUAL (found->name, routing->rules[i].name);
		CU_ASSERT_TRUE (found <= &routing->rules[i]);
	}
	CU_ASSERT_PTR_NULL (routing_find_rule (routing, "none"));
	CU_ASSERT_EQUAL (routing_find_service (routing, "none"), -1);
	routing_unref (routing);
}

static void
test_invalid_manifests_are_rejected (void)
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

/* Guards against routes that are confirmed and that no request can reach. */
static void
test_unreachable_routes_are_rejected (void)
{
	static const struct {
		const char *host;
		const char *prefix;
		const char *field; /* NULL: the route is reached */
		const char *timeout_ms;
	} cases[] = {{"h", "/a/", NULL, "9"}, {"h", "/a/", NULL, "0.001"},
		{"h", "/a/", "timeout_ms", "1e-9"}, {"h", "/a", NULL, "9"}, {"h", "", NULL, "9"},
		{"h", "/a%20b/", NULL, "9"}, {"h", "a/", "routes.path_prefix", "9"},
		{"h", "/a?b/", "routes.path_prefix", "9"},
		{"h", "/a b/", "routes.path_prefix", "9"},
		{"h", "/a\\n/", "routes.path_prefix", "9"}, {"h:80", "/a/", "routes.host", "9"},
		{"[::1]", "/a/", "routes.host", "9"}, {"h ", "/a/", "routes.host", "9"},
		{"h\\t", "/a/", "routes.host", "9"}};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		struct error error = {0};
		struct buf text;
		buf_init (&text);
		buf_addf (&text,
			"{\"version\":1,\"services\":[{\"name\":\"a\"}],\"routes\":[{\"name\":"
			"\"r\","
			"\"host\":\"%s\",\"path_prefix\":\"%s\",\"timeout_ms\":%s,\"service\":"
			"\"a\"}"
			"]"
			"}",
			cases[i].host, cases[i].prefix, cases[i].timeout_ms);
		struct routing *routing = manifest_accept (text.data, text.len, &error);
		CU_ASSERT_EQUAL (routing != NULL, cases[i].field == NULL);
		if (cases[i].field)
			CU_ASSERT_PTR_NOT_NULL (strstr (error.message, cases[i].field));
		routing_unref (routing);
		buf_finish (&text);
	}
}

/* Guards against names that are confirmed and then cut or not found by an entry node. */
static void
test_long_names_are_kept_whole_or_refused (void)
{
	struct listed_targets list;
	struct buf lines[SUB_REQUEST_LINES];
	struct caller_head caller;
	char next[64];
	caller_head_init (&caller);
	for (size_t len = 1; len <= 300; len++) {
		struct error error = {0};
		struct buf text;
		char *name = xmalloc (len + 1);
		memset (name, 'n', len);
		name[len] = '\0';
		buf_init (&text);
		buf_addf (&text,
			"{\"version\":1,\"routes\":[{\"name\":\"%s\",\"host\":\"%s\",\"path_"
			"prefix\":"
			"\"/a/"
			"\",\"timeout_ms\":9,\"service\":\"%s\"}],\"services\":[{\"name\":\"%s\"}]"
			"}",
			name, name, name, name);
		struct routing *routing = manifest_decode (text.data, text.len, &error);
		CU_ASSERT_EQUAL (routing != NULL, len <= ROUTING_NAME_MAX);
		if (routing) {
			struct replica_set set;
			replica_set_init (&set, routing->services[0].name);
			CU_ASSERT_EQUAL (routing_find_service (routing, set.name), 0);
			CU_ASSERT_PTR_NOT_NULL (routing_match (routing, name, "/a/x"));
			routing_unref (routing);
		} else {
			CU_ASSERT_EQUAL (error.kind, ERROR_INVALID);
			CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "services.name"));
			CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "255"));
		}
		buf_reset (&text);
		buf_addf (&text,
			"{\"instances\":[{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"10.0.0.1:"
			"80\","
			"\"zone\":\"z\",\"slots\":1,\"state\":\"ready\"}]}",
			name, name);
		listed_targets_init (&list);
		CU_ASSERT_TRUE (
			target_list_decode_page (&list, text.data, text.len, next, sizeof (next)));
		CU_ASSERT_EQUAL (list.count, len <= ROUTING_NAME_MAX);
		if (list.count == 1) {
			CU_ASSERT_STRING_EQUAL (list.items[0].id, name);
			sub_request_header_lines (&caller, list.items[0].id, 0, lines);
			CU_ASSERT_PTR_NOT_NULL (strstr (lines[2].data, name));
			for (int i = 0; i < SUB_REQUEST_LINES; i++)
				buf_finish (&lines[i]);
		}
		listed_targets_finish (&list);
		buf_finish (&text);
		free (name);
	}
	caller_head_finish (&caller);
}

/* Two ids that differ only in their last byte. */
static void
check_attempt_ids (size_t len)
{
	struct buf lines[SUB_REQUEST_LINES];
	struct caller_head caller;
	struct reply_head reply;
	struct batch_request batch;
	size_t batch_len = 0;
	int shards[] = {0};
	char *id = xmalloc (len + 1);
	char *other = xmalloc (len + 1);
	memset (id, 'i', len);
	memset (other, 'i', len);
	other[len - 1] = 'j';
	id[len] = other[len] = '\0';
	caller_head_init (&caller);
	CU_ASSERT_TRUE (caller_head_add (&caller, "Oleanderstile-Attempt-Id", id));
	CU_ASSERT_STRING_EQUAL (caller.attempt_id, id);
	CU_ASSERT_EQUAL (caller.id_too_long, len > ATTEMPT_ID_MAX_BYTES);
	sub_request_header_lines (&caller, "t", 0, lines);
	CU_ASSERT_STRING_EQUAL (strchr (lines[0].data, ' ') + 1, id);
	reply_head_init (&reply);
	reply_head_add_line (&reply, lines[0].data, lines[0].len);
	CU_ASSERT_TRUE (reply_head_is_of (&reply, id));
	CU_ASSERT_FALSE (reply_head_is_of (&reply, other));
	CU_ASSERT_EQUAL (reply_head_classify (&reply, other, 400, false), SUB_END_BROKEN);
	struct batch_request request = {.attempt_id = id,
		.route = "r",
		.method = "GET",
		.uri = other,
		.shards = shards,
		.shard_count = 1};
	void *bytes = batch_encode_request (&request, "k", &batch_len);
	CU_ASSERT_TRUE (batch_decode_request (&batch, "k", bytes, batch_len));
	CU_ASSERT_STRING_EQUAL (batch.attempt_id, id);
	batch_request_finish (&batch);
	reply_head_finish (&reply);
	caller_head_finish (&caller);
	for (int i = 0; i < SUB_REQUEST_LINES; i++)
		buf_finish (&lines[i]);
	free (bytes);
	free (id);
	free (other);
}

/* Guards against two attempts that begin alike and are one to targets. */
static void
test_long_attempt_ids_are_kept_whole_or_refused (void)
{
	static const size_t lengths[] = {1, 126, 127, 128, 129, 255, 256, 257, 511, 512, 4096,
		ATTEMPT_ID_MAX_BYTES, ATTEMPT_ID_MAX_BYTES + 1};
	for (size_t i = 0; i < sizeof (lengths) / sizeof (lengths[0]); i++)
		check_attempt_ids (lengths[i]);
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
	CU_ASSERT_TRUE (
		target_list_decode_page (&list, page, sizeof (page) - 1, next, sizeof (next)));
	CU_ASSERT_EQUAL (list.count, 2);
	CU_ASSERT_EQUAL (list.malformed, 3);
	CU_ASSERT_STRING_EQUAL (list.items[0].id, "i-1");
	CU_ASSERT_EQUAL (list.items[0].cold_remaining_us, 1500 * MS);
	CU_ASSERT_EQUAL (list.items[0].start_unix_ms, 1700000000000);
	CU_ASSERT_EQUAL (list.items[1].state, REPLICA_LEAVING);
	CU_ASSERT_STRING_EQUAL (next, "/instances?page_token=p%205");
	/* Nothing may be concluded from a truncated page. */
	CU_ASSERT_FALSE (
		target_list_decode_page (&list, page, sizeof (page) - 30, next, sizeof (next)));
	listed_targets_finish (&list);
}

/* Guards against targets that drop out because a number in the list is encoded as a fraction. */
static const char sound_entry[] =
	"{\"id\":\"i-%d\",\"service\":\"a\",\"address\":\"10.0.0.%d:80\",\"zone\":\"z\",\"slots\":"
	"2,"
	"\"state\":\"ready\",\"warmup_left_ms\":0,\"born\":1700000000000}";

/* Decodes a page of three sound entries with an odd element in each gap; returns their number. */
static int
count_sound_around (const char *odd, size_t odd_len, int *malformed)
{
	struct listed_targets list;
	struct buf page;
	char next[1024];
	buf_init (&page);
	listed_targets_init (&list);
	buf_addf (&page, "{\"instances\":[");
	for (int i = 1; i <= 3; i++) {
		buf_add (&page, odd, odd_len);
		buf_addf (&page, ",");
		buf_addf (&page, sound_entry, i, i);
		buf_addf (&page, ",");
	}
	buf_add (&page, odd, odd_len);
	buf_addf (&page, "],\"next_page_token\":\"p\"}");
	bool ok = target_list_decode_page (&list, page.data, page.len, next, sizeof (next));
	CU_ASSERT_TRUE (ok && strcmp (next, "/instances?page_token=p") == 0);
	int found = 0;
	for (int i = 0; i < list.count; i++)
		found += list.items[i].id[0] == 'i' && list.items[i].id[2] == '1' + i;
	CU_ASSERT_EQUAL (list.count, found);
	*malformed = list.malformed;
	listed_targets_finish (&list);
	buf_finish (&page);
	return found;
}

/* Guards against an odd entry of another writer that takes sound entries or the whole list along.
 */
static void
test_odd_entries_cost_only_themselves (void)
{
	static const char *const cases[] = {"null", "7", "\"text\"", "\"]\"", "\"{\"", "\"}],[{\"",
		"[]",
		"[[{\"id\":\"n\",\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"slots\":2,"
		"\"state\":\"ready\"}]]",
		"{\"in\":[{},{\"id\":\"n\",\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":"
		"\"z\","
		"\"slots\":2,\"state\":\"ready\"}],\"slots\":1e999}",
		"{}", "{\"instances\":[]}", "{\"next_page_token\":\"q\"}",
		"{\"id\":\"x\",\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"slots\":1e999,"
		"\"state\":\"ready\"}",
		"{\"id\":\"x\",\"service\":\"a\",\"address\":\"10.0.0.9:74000\",\"zone\":\"z\","
		"\"slots\":2,"
		"\"state\":\"ready\"}",
		"{\"id\":\"x\",\"service\":\"a\",\"address\":\"10.0.0.9:0\",\"zone\":\"z\","
		"\"slots\":2,"
		"\"state\":\"ready\"}",
		"{\"id\":\"x\",\"service\":\"a\",\"address\":\"host:80\",\"zone\":\"z\",\"slots\":"
		"2,"
		"\"state\":\"ready\"}",
		"{\"id\":\"x\",\"id\":\"y\",\"service\":\"a\",\"address\":\"10.0.0.9:80\",\"zone\":"
		"\"z\","
		"\"slots\":2,\"state\":\"ready\"}",
		"{\"id\":\"x\",\"service\":\"a", "{\"id\":\"x}", "{\"id\"", "{", "[", "\"", "{]",
		"[}", "{\"id\":{\"id\":{\"id\":", "{\"id\":\"\xff\xfe\"}", "\xff\xfe",
		"{\"a\":\"\\", "}", "nul", "{\"a\":01x}", "{'id':'x'}"};
	int malformed = 0;
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		int sound = count_sound_around (cases[i], strlen (cases[i]), &malformed);
		CU_ASSERT_EQUAL (sound, 3);
		CU_ASSERT_TRUE (malformed > 0);
		if (sound != 3)
			printf ("lost %d with %s\n", 3 - sound, cases[i]);
	}
	struct buf nested;
	buf_init (&nested);
	for (int i = 0; i < 100000; i++)
		buf_addf (&nested, "%s", i % 2 ? "[" : "{\"a\":");
	CU_ASSERT_EQUAL (count_sound_around (nested.data, nested.len, &malformed), 3);
	for (int i = 99999; i >= 0; i--)
		buf_addf (&nested, "%s", i % 2 ? "]" : "}");
	CU_ASSERT_EQUAL (count_sound_around ("[1]", 3, &malformed), 3);
	buf_finish (&nested);
}

static void
test_list_with_fractional_and_huge_numbers (void)
{
	static const char page[] =
		"{\"instances\":[{\"id\":\"i-1\",\"service\":\"a\",\"address\":\"10.0.0.1:80\","
		"\"zone\":\"z\",\"slots\":2.9,\"state\":\"ready\",\"warmup_left_ms\":0.5,"
		"\"version\":\"v1\"},"
		"{\"id\":\"i-2\",\"service\":\"a\",\"address\":\"10.0.0.2:80\",\"zone\":\"z\","
		"\"slots\":1e300,\"state\":\"ready\",\"warmup_left_ms\":1e300,\"version\":2},"
		"{\"id\":\"i-3\",\"service\":\"a\",\"address\":\"10.0.0.3:80\",\"zone\":\"z\","
		"\"slots\":0,\"state\":\"ready\"},"
		"{\"id\":\"i-4\",\"service\":\"a\",\"address\":\"10.0.0.4:80\",\"zone\":\"z\","
		"\"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":-1e300,\"born\":-1},"
		"{\"id\":\"i-5\",\"service\":\"a\",\"address\":\"10.0.0.5:80\",\"zone\":\"z\","
		"\"slots\":\"\",\"state\":\"ready\"}],\"next_page_token\":null}";
	struct listed_targets list;
	char next[128];
	listed_targets_init (&list);
	CU_ASSERT_TRUE_FATAL (
		target_list_decode_page (&list, page, sizeof (page) - 1, next, sizeof (next)));
	CU_ASSERT_EQUAL_FATAL (list.count, 3);
	CU_ASSERT_EQUAL (list.malformed, 2);
	CU_ASSERT_EQUAL (list.items[0].slots, 2);
	CU_ASSERT_EQUAL (list.items[0].cold_remaining_us, 500);
	CU_ASSERT_TRUE (list.items[1].slots > 0);
	CU_ASSERT_TRUE (list.items[1].cold_remaining_us > 0);
	CU_ASSERT_TRUE (list.items[1].cold_remaining_us <= INT64_MAX / 4);
	CU_ASSERT_TRUE (list.items[2].cold_remaining_us <= 0);
	CU_ASSERT_EQUAL (list.items[2].start_unix_ms, 0);
	listed_targets_finish (&list);
}

static void
test_manifest_with_fractional_and_huge_numbers (void)
{
	static const char text[] =
		"{\"version\":1,\"services\":[{\"name\":\"a\",\"max_connections\":10.2,"
		"\"warmup_per_s\":0.5},{\"name\":\"b\",\"max_connections\":1e300},"
		"{\"name\":\"c\",\"max_connections\":\"\"},{\"name\":\"d\",\"max_connections\":0}],"
		"\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\",\"timeout_ms\":0.5,"
		"\"target_latency_ms\":1e300,\"priority\":1.0,\"max_attempts\":2.9,\"top_k\":1e300,"
		"\"min_shard_ratio\":0.5,\"fanout\":[\"a\",\"b\",\"c\"]}],"
		"\"limits\":{\"max_header_bytes\":1e300,\"idle_timeout_ms\":1500.5}}";
	struct error error = {0};
	struct routing *routing = manifest_decode (text, sizeof (text) - 1, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
	if (!routing)
		return;
	CU_ASSERT_EQUAL (routing->services[0].max_connections, 10);
	CU_ASSERT_EQUAL (routing->services[0].cold_rate_per_s, 0.5);
	CU_ASSERT_TRUE (routing->services[1].max_connections > 0);
	CU_ASSERT_TRUE (routing->services[2].max_connections > 0);
	CU_ASSERT_EQUAL (routing->services[3].max_connections, 0);
	CU_ASSERT_EQUAL (routing->rules[0].timeout_us, 500);
	CU_ASSERT_TRUE (routing->rules[0].objective_us > 0);
	CU_ASSERT_EQUAL (routing->rules[0].priority, 1);
	CU_ASSERT_EQUAL (routing->rules[0].max_attempts, 2);
	CU_ASSERT_TRUE (routing->rules[0].top_k > 0);
	CU_ASSERT_TRUE (routing->limits.header_bytes > 0);
	CU_ASSERT_EQUAL (routing->limits.idle_timeout_us, 1500500);
	routing_unref (routing);
}

static void
test_headers_with_fractional_and_huge_numbers (void)
{
	struct caller_head head;
	caller_head_init (&head);
	CU_ASSERT_TRUE (caller_head_add (&head, "Oleanderstile-Deadline-Ms", "99.5"));
	CU_ASSERT_EQUAL (head.remaining_us, 99500);
	caller_head_finish (&head);
	caller_head_init (&head);
	caller_head_add (&head, "Oleanderstile-Deadline-Ms", "");
	CU_ASSERT_EQUAL (head.remaining_us, INT64_MAX);
	caller_head_add (&head, "Oleanderstile-Deadline-Ms", "1e300");
	CU_ASSERT_EQUAL (head.remaining_us, INT64_MAX);
	caller_head_add (&head, "Oleanderstile-Deadline-Ms", "nan");
	CU_ASSERT_EQUAL (head.remaining_us, INT64_MAX);
	caller_head_add (&head, "Oleanderstile-Deadline-Ms", "0");
	CU_ASSERT_EQUAL (head.remaining_us, 0);
	caller_head_finish (&head);
	static const struct {
		const char *line;
		int load;
	} loads[] = {
		{"Oleanderstile-Server-Load: 3,1,8\r\n", 4},
		{"Oleanderstile-Server-Load: 2.5, 0.5, 7\r\n", 4},
		{"Oleanderstile-Server-Load: 0,0,8\r\n", 0},
		{"Oleanderstile-Server-Load: \r\n", -1},
		{"Oleanderstile-Server-Load: 3\r\n", -1},
		{"Oleanderstile-Server-Load: -1,2,8\r\n", -1},
		{"Oleanderstile-Server-Load: 99999999999,99999999999,8\r\n", -1},
	};
	for (size_t i = 0; i < sizeof (loads) / sizeof (loads[0]); i++) {
		struct reply_head reply;
		reply_head_init (&reply);
		reply_head_add_line (&reply, loads[i].line, strlen (loads[i].line));
		CU_ASSERT_EQUAL (reply.reported_load, loads[i].load);
	}
}

static void
read_lines (struct reply_head *head, const char *const *lines)
{
	reply_head_init (head);
	for (; *lines; lines++)
		reply_head_add_line (head, *lines, strlen (*lines));
}

/* Guards against parts that count as broken because their stamps are long: no page limits them. */
static void
test_long_stamps_are_kept_whole (void)
{
	struct reply_head head;
	struct buf line;
	buf_init (&line);
	buf_addf (&line, "Oleanderstile-Server-Stamp: 3e.");
	for (int i = 0; i < 8000; i++)
		buf_addf (&line, "7");
	reply_head_init (&head);
	reply_head_add_line (&head, line.data, line.len);
	reply_head_add_line (&head, "Oleanderstile-Attempt-Id: 9c41", 30);
	CU_ASSERT_EQUAL (reply_head_classify (&head, "9c41", 200, true), SUB_END_ANSWERED);
	CU_ASSERT_EQUAL (strlen (head.stamp), 8003);
	reply_head_finish (&head);
	buf_finish (&line);
}

static void
test_replies_are_classified (void)
{
	struct reply_head head;
	const char *const good[] = {"HTTP/1.1 200 OK\r\n", "oleanderstile-attempt-id: 9c41\r\n",
		"Oleanderstile-Server-Stamp: 3e.07\r\n", "Oleanderstile-Server-Load: 3,1,8\r\n",
		NULL};
	read_lines (&head, good);
	CU_ASSERT_EQUAL (reply_head_classify (&head, "9c41", 200, true), SUB_END_ANSWERED);
	CU_ASSERT_EQUAL (reply_head_classify (&head, "9c42", 200, true), SUB_END_BROKEN);
	CU_ASSERT_EQUAL (reply_head_classify (&head, "9c41", 500, true), SUB_END_STATUS);
	CU_ASSERT_EQUAL (reply_head_classify (&head, "9c41", 404, true), SUB_END_STATUS);
	CU_ASSERT_EQUAL (reply_head_classify (&head, "9c41", 404, false), SUB_END_ANSWERED);
	CU_ASSERT_EQUAL (reply_head_classify (&head, "9c41", 421, false), SUB_END_NOT_RUN);
	CU_ASSERT_EQUAL (head.reported_load, 4);
	reply_head_finish (&head);
	const char *const shed[] = {"Oleanderstile-Not-Executed: 1\r\n", NULL};
	read_lines (&head, shed);
	CU_ASSERT_EQUAL (reply_head_classify (&head, "9c41", 503, true), SUB_END_NOT_RUN);
	reply_head_finish (&head);
	const char *const reply_without_stamp[] = {"Oleanderstile-Attempt-Id: 9c41\r\n", NULL};
	read_lines (&head, reply_without_stamp);
	CU_ASSERT_EQUAL (reply_head_classify (&head, "9c41", 200, false), SUB_END_BROKEN);
	/* A request may have run when a 503 does not say that it was not executed. */
	CU_ASSERT_EQUAL (reply_head_classify (&head, "9c41", 503, false), SUB_END_STATUS);
	reply_head_finish (&head);
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
	order_decode (&order, "POST", "/evacuation/S\xc3\xa3o Paulo 1/start");
	CU_ASSERT_EQUAL (order.kind, ORDER_LEAVE);
	CU_ASSERT_STRING_EQUAL (order.data_centre, "S\xc3\xa3o Paulo 1");
	order_decode (&order, "POST", "/evacuation/a\xff/start");
	CU_ASSERT_EQUAL (order.kind, ORDER_BAD_NAME);
	order_decode (&order, "POST", "/evacuation/a\n/start");
	CU_ASSERT_EQUAL (order.kind, ORDER_BAD_NAME);
}

static void
apply_order (struct state *state, uint64_t index, const char *data_centre)
{
	struct command command = {
		.kind = COMMAND_DATA_CENTRE_LEAVING, .u.leaving = {.leaving = true}};
	struct state_result result;
	size_t len = 0;
	str_copy (
		command.u.leaving.data_centre, sizeof (command.u.leaving.data_centre), data_centre);
	void *bytes = command_encode (&command, &len);
	state_apply (state, index, bytes, len, &result);
	CU_ASSERT_TRUE (result.ok);
	free (bytes);
}

static bool
leaves (const struct state *state, const char *data_centre)
{
	return resources_is_leaving (&state->resources, RESOURCE_DATA_CENTRE, data_centre);
}

/* The data centre of @p name leaves, that of @p other does not. */
static void
check_order (const char *name, const char *other)
{
	struct order order;
	struct state state;
	struct state copy;
	struct buf path;
	size_t len = 0;
	buf_init (&path);
	buf_addf (&path, "/evacuation/%s/start", name);
	order_decode (&order, "POST", path.data);
	CU_ASSERT_EQUAL (order.kind, ORDER_LEAVE);
	CU_ASSERT_STRING_EQUAL (order.data_centre, name);
	state_init (&state);
	state_init (&copy);
	apply_order (&state, 1, order.data_centre);
	CU_ASSERT_TRUE (leaves (&state, name));
	CU_ASSERT_FALSE (leaves (&state, other));
	void *bytes = state_encode (&state, true, &len);
	CU_ASSERT_TRUE (state_decode (&copy, bytes, len));
	CU_ASSERT_TRUE (leaves (&copy, name));
	CU_ASSERT_FALSE (leaves (&copy, other));
	state_finish (&state);
	state_finish (&copy);
	buf_finish (&path);
	free (bytes);
}

static void
check_listed_in (const char *name, bool usable)
{
	struct listed_targets list;
	struct aggregator_homes homes = {.count = 0};
	struct buf page;
	char next[64];
	buf_init (&page);
	buf_addf (&page,
		"{\"instances\":[{\"id\":\"i\",\"service\":\"s\",\"address\":\"10.0.0.1:80\","
		"\"zone\":\"%s\",\"slots\":1,\"state\":\"ready\"}]}",
		name);
	listed_targets_init (&list);
	CU_ASSERT_TRUE (target_list_decode_page (&list, page.data, page.len, next, sizeof (next)));
	CU_ASSERT_EQUAL (list.count, usable);
	if (list.count == 1) {
		CU_ASSERT_STRING_EQUAL (list.items[0].data_centre, name);
		aggregator_homes_add (&homes, list.items[0].data_centre);
		CU_ASSERT_STRING_EQUAL (homes.names[0], name);
	}
	listed_targets_finish (&list);
	buf_finish (&page);
}

/* Guards against targets that are not used, or cannot be taken out, for the name of their place. */
static void
test_long_names_of_data_centres_are_kept_whole_or_refused (void)
{
	struct order order;
	char name[DATA_CENTRE_NAME_MAX + 2];
	char other[DATA_CENTRE_NAME_MAX + 2];
	for (size_t len = 1; len <= DATA_CENTRE_NAME_MAX; len++) {
		memset (name, 'z', len);
		memset (other, 'z', len);
		name[len] = other[len] = '\0';
		other[len - 1] = 'y';
		check_order (name, other);
		check_listed_in (name, true);
	}
	memset (name, 'z', DATA_CENTRE_NAME_MAX + 1);
	name[DATA_CENTRE_NAME_MAX + 1] = '\0';
	check_listed_in (name, false);
	struct buf path;
	buf_init (&path);
	buf_addf (&path, "/evacuation/%s/start", name);
	order_decode (&order, "POST", path.data);
	CU_ASSERT_EQUAL (order.kind, ORDER_BAD_NAME);
	buf_finish (&path);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (complete_answer_is_merged),
		TEST (tried_target_is_kept_until_the_request_ends),
		TEST (target_that_was_busy_can_be_removed),
		TEST (partial_answer_near_the_latency_objective),
		TEST (partial_answer_reaches_a_distant_caller_in_time),
		TEST (late_answer_is_not_held_for_the_last_shard),
		TEST (too_few_shards_fail_immediately),
		TEST (slow_sub_request_is_hedged_once),
		TEST (hedges_leave_budget_for_retries),
		TEST (hedges_continue_with_many_nodes),
		TEST (sub_request_that_was_not_sent_costs_no_budget),
		TEST (budget_with_a_changed_burst),
		TEST (shares_of_the_slack_never_exceed_it),
		TEST (budget_refilled_by_time),
		TEST (refusal_uses_up_no_attempt),
		TEST (non_idempotent_request_runs_at_most_once),
		TEST (stopping_node_accepts_only_what_ends_in_time),
		TEST (node_that_ends_early_accepts_nothing),
		TEST (one_deadline_bounds_the_whole_stop),
		TEST (a_loop_that_was_held_up_takes_the_step_that_is_due),
		TEST (end_of_a_stop_tells_what_may_have_run),
		TEST (error_reply_of_the_target_is_forwarded),
		TEST (queue_is_ordered_by_priority),
		TEST (request_without_usable_target_is_refused),
		TEST (busy_target_gets_nothing_until_its_time),
		TEST (nodes_return_apart_but_no_later_than_needed),
		TEST (wait_for_a_busy_target_costs_only_time),
		TEST (flood_of_short_times_is_kept_away_from),
		TEST (very_long_time_lasts_as_long_as_the_target),
		TEST (busy_service_queues_or_refuses_at_once),
		TEST (queued_requests_wake_when_busy_targets_return),
		TEST (times_to_return_are_decoded),
		TEST (announced_leaving_outlasts_any_list),
		TEST (draining_targets_relieve_a_full_one),
		TEST (draining_target_that_was_busy_gets_few_requests_at_first),
		TEST (draining_target_that_has_ended_is_avoided),
		TEST (ended_target_gets_no_requests),
		TEST (stalled_and_failing_replicas_go_last),
		TEST (repeated_refusals_back_off),
		TEST (slow_replica_is_remembered_between_rare_requests),
		TEST (cold_replica_gets_its_share),
		TEST (requests_wait_for_turns_of_cold_targets),
		TEST (end_of_a_cold_start),
		TEST (cold_rate_holds_for_all_nodes),
		TEST (share_of_the_connections),
		TEST (routes_by_host_and_longest_prefix),
		TEST (greatest_records_of_a_part_are_kept),
		TEST (thousands_of_routes_are_found_by_hash),
		TEST (invalid_manifests_are_rejected),
		TEST (unreachable_routes_are_rejected),
		TEST (long_names_are_kept_whole_or_refused),
		TEST (long_attempt_ids_are_kept_whole_or_refused),
		TEST (list_with_unreadable_entries),
		TEST (odd_entries_cost_only_themselves),
		TEST (list_with_fractional_and_huge_numbers),
		TEST (manifest_with_fractional_and_huge_numbers),
		TEST (headers_with_fractional_and_huge_numbers),
		TEST (long_stamps_are_kept_whole),
		TEST (replies_are_classified),
		TEST (orders_are_decoded),
		TEST (long_names_of_data_centres_are_kept_whole_or_refused),
	};
	return suite_run ("routes", tests, sizeof (tests) / sizeof (tests[0]));
}
