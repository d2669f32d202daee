/**
 * @file units.c
 * Focused tests of the parts that decide, apart from control: each causes a fault of the brief.
 */
#include "control/members.h"
#include "control/owner.h"
#include "control/view.h"
#include "core/log.h"
#include "core/metrics.h"
#include "core/pack.h"
#include "core/packed.h"
#include "core/timers.h"
#include "options/options.h"
#include "query/merge.h"
#include "query/once.h"
#include "query/query.h"
#include "store/store.h"
#include "targets/gate.h"
#include "test/fixture.h"
#include "test/suite.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum { MS = 1000, SLOTS = 3, SHARDS = 3, REPLICAS = 3 };

static const snapshot_t first_snapshot = 1ULL << 32 | 1;
static const snapshot_t second_snapshot = 1ULL << 32 | 2;
static struct hint_table hints;

/* Settings */

static bool
parse (const char *text, struct error *error)
{
	struct options options;
	memset (error, 0, sizeof (*error));
	return options_parse (&options, text, "test.ini", error);
}

static void
test_logs_never_wait_for_their_reader (void)
{
	int fds[2];
	char text[65536];
	struct log log = {.module = "test", .level = LOG_DEBUG};
	uint64_t left_out = metric_get (METRIC_LOG_LEFT_OUT);
	CU_ASSERT_EQUAL_FATAL (pipe (fds), 0);
	log_set_output (fds[1]);
	/* Nobody reads: a pipe that blocks would stop the test here. */
	for (int i = 0; i < 3000; i++) {
		log_event (&log, EVENT_REQUEST_FAILED, "%0400d", i);
		log_event (&log, EVENT_NODE_STARTED, "%d", i);
	}
	CU_ASSERT_TRUE (metric_get (METRIC_LOG_LEFT_OUT) - left_out > 3000);
	fcntl (fds[0], F_SETFL, O_NONBLOCK);
	ssize_t len = read (fds[0], text, sizeof (text) - 1);
	CU_ASSERT_TRUE (len > 0);
	text[len > 0 ? len : 0] = '\0';
	CU_ASSERT_PTR_NOT_NULL (strstr (text, "REQUEST_FAILED"));
	/* The next line of a later second says how many were left out. */
	struct timespec second = {.tv_sec = 1, .tv_nsec = 100000000};
	nanosleep (&second, NULL);
	log_event (&log, EVENT_REQUEST_FAILED, "later");
	len = read (fds[0], text, sizeof (text) - 1);
	text[len > 0 ? len : 0] = '\0';
	CU_ASSERT_PTR_NOT_NULL (strstr (text, "\"left_out\":"));
	log_set_output (STDOUT_FILENO);
	close (fds[0]);
	close (fds[1]);
}

static void
test_settings_name_line_field_and_remedy (void)
{
	struct error error;
	CU_ASSERT_TRUE (
		parse ("[node]\nname=n\ndata_center=a\n[control]\nkey=0123456789abcdef\n", &error));
	CU_ASSERT_FALSE (parse ("[node]\nname=n\ndata_center=a\nworkers=0\n", &error));
	CU_ASSERT_PTR_NOT_NULL (
		strstr (error.message, "test.ini:4: node.workers: bad value; give"));
	CU_ASSERT_FALSE (parse ("[node]\ncolour=red\n", &error));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "test.ini:2: node.colour: unknown field"));
	CU_ASSERT_FALSE (parse ("[node]\nname=n\ndata_center=a\n", &error));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "control.key: missing"));
	CU_ASSERT_FALSE (parse ("[node]\nname=n\nname=m\n", &error));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "given twice"));
	CU_ASSERT_FALSE (parse ("[node]\npeer_address=example.org:80\n", &error));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "IP address"));
}

static void
test_documents_refuse_unknown_fields (void)
{
	struct error error = {0};
	json_t *spec = json_pack ("{s:s, s:b}", "data_centre", "a", "colour", 1);
	CU_ASSERT_FALSE (resource_validate (RESOURCE_VM, spec, &error));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "colour"));
	json_decref (spec);
	spec = json_pack ("{s:s}", "mode", "sometimes");
	CU_ASSERT_FALSE (resource_validate (RESOURCE_SERVICE, spec, &error));
	json_decref (spec);
	spec = json_pack ("{s:s, s:s, s:s, s:i}", "service", "s", "address", "127.0.0.1:1",
		"data_centre", "a", "slots", 0);
	CU_ASSERT_FALSE (resource_validate (RESOURCE_TARGET, spec, &error));
	json_decref (spec);
}

/* The gate */

struct asked {
	struct gate gate;
	struct gate_item items[64];
	int64_t now_us;
};

static void
ask_init (struct asked *asked, int queue)
{
	memset (asked, 0, sizeof (*asked));
	asked->now_us = 1000000;
	gate_init (&asked->gate, SLOTS, 1, queue);
	gate_set_open (&asked->gate, true);
	gate_boot (&asked->gate, 5);
}

static enum gate_verdict
ask (struct asked *asked, int item)
{
	asked->items[item].deadline_us = asked->now_us + 1000 * MS;
	return gate_submit (&asked->gate, &asked->items[item], asked->now_us);
}

static void
end_after (struct asked *asked, int item, int64_t us, enum gate_outcome outcome)
{
	asked->now_us += us;
	gate_finish (&asked->gate, &asked->items[item], outcome, asked->now_us);
}

static void
warm (struct asked *asked)
{
	for (int i = 0; i < 100 && gate_is_cold (&asked->gate); i++) {
		CU_ASSERT_EQUAL (ask (asked, 0), GATE_START);
		end_after (asked, 0, 5 * MS, GATE_OK);
	}
	CU_ASSERT_FALSE_FATAL (gate_is_cold (&asked->gate));
}

static void
test_cold_target_gets_its_limit_only (void)
{
	struct asked asked;
	ask_init (&asked, 8);
	CU_ASSERT_EQUAL (ask (&asked, 0), GATE_START);
	CU_ASSERT_EQUAL (ask (&asked, 1), GATE_QUEUED);
	end_after (&asked, 0, 5 * MS, GATE_OK);
	CU_ASSERT_PTR_EQUAL (gate_next (&asked.gate, asked.now_us), &asked.items[1]);
	end_after (&asked, 1, 5 * MS, GATE_OK);
	warm (&asked);
	for (int i = 0; i < SLOTS; i++)
		CU_ASSERT_EQUAL (ask (&asked, i), GATE_START);
	CU_ASSERT_EQUAL (ask (&asked, SLOTS), GATE_QUEUED);
}

/* A cold start without warning, and a second one on top of it. */
static void
test_each_sign_of_a_cold_start_drops_the_limit (void)
{
	static const enum gate_outcome outcomes[] = {GATE_SHED, GATE_RESET, GATE_SILENT};
	struct asked asked;
	for (int i = 0; i < 3; i++) {
		ask_init (&asked, 8);
		warm (&asked);
		ask (&asked, 0);
		end_after (&asked, 0, 5 * MS, outcomes[i]);
		CU_ASSERT_EQUAL (asked.gate.limit, 1);
	}
	ask_init (&asked, 8);
	warm (&asked);
	gate_boot (&asked.gate, 6);
	CU_ASSERT_EQUAL (asked.gate.limit, 1);
	CU_ASSERT_EQUAL (ask (&asked, 0), GATE_START);
	gate_boot (&asked.gate, 7);
	end_after (&asked, 0, 5 * MS, GATE_RESET);
	CU_ASSERT_EQUAL (asked.gate.limit, 1);
}

static void
test_silence_is_doubted_until_the_same_boot_answers (void)
{
	struct asked asked;
	ask_init (&asked, 8);
	warm (&asked);
	ask (&asked, 0);
	end_after (&asked, 0, 100 * MS, GATE_SILENT);
	CU_ASSERT_EQUAL (asked.gate.limit, 1);
	asked.now_us += 100 * MS;
	CU_ASSERT_EQUAL (ask (&asked, 1), GATE_START);
	end_after (&asked, 1, 5 * MS, GATE_OK);
	CU_ASSERT_EQUAL (asked.gate.limit, SLOTS);
	/* With another boot id the doubt was right. */
	ask (&asked, 0);
	end_after (&asked, 0, 100 * MS, GATE_SILENT);
	asked.now_us += 100 * MS;
	ask (&asked, 1);
	gate_boot (&asked.gate, 9);
	end_after (&asked, 1, 5 * MS, GATE_OK);
	CU_ASSERT_EQUAL (asked.gate.limit, 1);
}

/* Overload: work runs until its deadline, and its target still works when the cancel is sent. */
static void
test_work_cut_off_at_its_deadline_keeps_its_slot_for_the_cancel (void)
{
	struct asked asked;
	ask_init (&asked, 8);
	warm (&asked);
	for (int i = 0; i < SLOTS; i++)
		CU_ASSERT_EQUAL (ask (&asked, i), GATE_START);
	CU_ASSERT_EQUAL (gate_occupied (&asked.gate, asked.now_us), SLOTS);
	for (int i = 0; i < SLOTS; i++)
		end_after (&asked, i, i == 0 ? 1000 * MS : 0, GATE_SILENT);
	CU_ASSERT_EQUAL (gate_occupied (&asked.gate, asked.now_us), SLOTS);
	asked.now_us += GATE_CANCEL_HOLD_US;
	CU_ASSERT_EQUAL (gate_occupied (&asked.gate, asked.now_us), 0);
}

static void
test_closed_gate_hands_all_queued_work_back (void)
{
	struct asked asked;
	ask_init (&asked, 8);
	ask (&asked, 0);
	ask (&asked, 1);
	ask (&asked, 2);
	gate_set_open (&asked.gate, false);
	CU_ASSERT_EQUAL (ask (&asked, 3), GATE_REFUSED);
	CU_ASSERT_PTR_NOT_NULL (gate_expire (&asked.gate, asked.now_us));
	CU_ASSERT_PTR_NOT_NULL (gate_expire (&asked.gate, asked.now_us));
	CU_ASSERT_PTR_NULL (gate_expire (&asked.gate, asked.now_us));
	end_after (&asked, 0, MS, GATE_OK);
	CU_ASSERT_PTR_NULL (gate_next (&asked.gate, asked.now_us));
}

static void
test_one_node_cannot_fill_a_queue (void)
{
	struct asked asked;
	int queued = 0;
	ask_init (&asked, 8);
	for (int i = 0; i < 20; i++) {
		asked.items[i].origin = 1;
		queued += ask (&asked, i) == GATE_QUEUED;
	}
	CU_ASSERT_EQUAL (queued, 4);
	asked.items[30].origin = 2;
	CU_ASSERT_EQUAL (ask (&asked, 30), GATE_QUEUED);
	end_after (&asked, 0, MS, GATE_OK);
	CU_ASSERT_PTR_EQUAL (gate_next (&asked.gate, asked.now_us), &asked.items[30]);
}

static void
test_failing_target_rests_and_is_probed_by_one_request (void)
{
	struct asked asked;
	ask_init (&asked, 8);
	for (int i = 0; i < GATE_EJECT_FAILURES; i++) {
		CU_ASSERT_EQUAL (ask (&asked, 0), GATE_START);
		end_after (&asked, 0, MS, GATE_RESET);
	}
	CU_ASSERT_EQUAL (ask (&asked, 0), GATE_REFUSED);
	asked.now_us += GATE_EJECT_US + 1;
	CU_ASSERT_EQUAL (ask (&asked, 0), GATE_START);
	CU_ASSERT_NOT_EQUAL (ask (&asked, 1), GATE_START);
}

/* An estimate that is too high must not close a target for good. */
static void
test_idle_target_is_tried_whatever_its_estimate (void)
{
	struct asked asked;
	ask_init (&asked, 8);
	ask (&asked, 0);
	end_after (&asked, 0, 5000 * MS, GATE_OK);
	CU_ASSERT_EQUAL (ask (&asked, 0), GATE_START);
	CU_ASSERT_EQUAL (ask (&asked, 1), GATE_REFUSED);
}

/* Budget: a storm of hedges or retries cannot start. */
static void
test_extra_load_is_bounded_by_primary_work (void)
{
	struct budget budget;
	int spent = 0;
	budget_init (&budget);
	for (int i = 0; i < 10000; i++) {
		budget_earn (&budget, 5);
		while (budget_spend (&budget))
			spent++;
	}
	CU_ASSERT_TRUE (spent <= 10000 * 5 / 100 + BUDGET_BURST_UNITS);
	CU_ASSERT_TRUE (spent >= 10000 * 5 / 100);
	for (int i = 0; i < 1000; i++)
		CU_ASSERT_FALSE (budget_spend (&budget));
}

/* Queries */

struct asking {
	struct view *view;
	struct query_policy policy;
	struct query query;
	struct query_actions actions;
	int64_t now_us;
};

static struct view *
make_view (const char *leaving_data_centre, int nodes)
{
	struct resources resources;
	struct members members;
	char name[32];
	char spec[256];
	resources_init (&resources);
	members_init (&members);
	for (int i = 0; i < nodes; i++) {
		struct member member = {.incarnation = (uint64_t)i + 1};
		snprintf (member.name, sizeof (member.name), "n%d", i);
		snprintf (member.data_centre, sizeof (member.data_centre), "%c", 'a' + i % 3);
		members_put (&members, &member, 1);
	}
	for (int i = 0; i < 3; i++) {
		snprintf (name, sizeof (name), "%c", 'a' + i);
		fixture_put (&resources, RESOURCE_DATA_CENTRE, name,
			strcmp (name, leaving_data_centre) == 0 ? "{\"leaving\":true}" : "{}");
	}
	for (int i = 0; i < SHARDS * REPLICAS; i++) {
		snprintf (name, sizeof (name), "t%d", i);
		snprintf (spec, sizeof (spec),
			"{\"service\":\"s%d\",\"address\":\"127.0.0.1:1\",\"data_centre\":\"%c\","
			"\"slots\":2}",
			i / REPLICAS, 'a' + i % REPLICAS);
		fixture_put (&resources, RESOURCE_TARGET, name, spec);
	}
	for (int i = 0; i < SHARDS; i++) {
		snprintf (name, sizeof (name), "s%d", i);
		fixture_put (&resources, RESOURCE_SERVICE, name, "{\"mode\":\"query\"}");
	}
	fixture_put (&resources, RESOURCE_COLLECTION, "c",
		"{\"layouts\":[{\"id\":1,\"shards\":[\"s0\",\"s1\",\"s2\"]}]}");
	struct view *view = view_new (&resources, &members, 1, 1, &hints);
	members_finish (&members);
	resources_finish (&resources);
	return view;
}

static void
hold (struct view *view, int target, snapshot_t a, snapshot_t b)
{
	snapshot_t held[2] = {a, b};
	target_hint_set_held (view->targets[target].hint, held, b ? 2 : 1, 1);
	atomic_store (&view->targets[target].hint->avoid_until_us, 0);
	atomic_store (&view->targets[target].hint->cold_until_us, 0);
}

static void
asking_init (struct asking *asking, const char *leaving)
{
	memset (asking, 0, sizeof (*asking));
	asking->now_us = 10000000;
	asking->policy = (struct query_policy){.hedge = true,
		.hedge_percentile = 95,
		.extra_percent = 5,
		.hedge_preset_us = 10 * MS,
		.silence_us = 100 * MS};
	asking->view = make_view (leaving, 3);
	for (int i = 0; i < SHARDS * REPLICAS; i++)
		hold (asking->view, i, first_snapshot, 0);
	for (int i = 0; i < SHARDS; i++) {
		budget_init (&asking->view->services[i].hint->extra);
		quantile_init (&asking->view->services[i].hint->latency);
	}
	for (int i = 0; i < 3; i++)
		atomic_store (&asking->view->members[i].hint->avoid_until_us, 0);
}

static void
asking_start (struct asking *asking)
{
	query_init (&asking->query, asking->view, view_find_collection (asking->view, "c"), NULL,
		&asking->policy, asking->now_us, asking->now_us + 1000 * MS, 7);
	query_start (&asking->query, asking->now_us, &asking->actions);
}

static void
asking_finish (struct asking *asking)
{
	query_finish (&asking->query);
	query_actions_finish (&asking->actions);
	view_put (asking->view);
}

static bool
reply (struct asking *asking, uint32_t attempt, enum sub_status status, snapshot_t snapshot,
	uint32_t shard)
{
	char body[64];
	struct sub_result result = {.status = status, .snapshot = snapshot, .shard = shard};
	snprintf (body, sizeof (body), "[{\"shard\":%u}]", shard);
	result.body = body;
	result.body_len = strlen (body);
	return query_reply (&asking->query, attempt, &result, asking->now_us, &asking->actions);
}

static void
test_coverage_names_what_is_missing (void)
{
	struct asking asking;
	struct buf out;
	asking_init (&asking, "");
	asking_start (&asking);
	reply (&asking, 0, SUB_OK, first_snapshot, 0);
	reply (&asking, 2, SUB_OK, first_snapshot, 2);
	asking.now_us += 999 * MS;
	query_tick (&asking.query, asking.now_us, &asking.actions);
	CU_ASSERT_EQUAL (asking.query.phase, QUERY_DONE);
	buf_init (&out);
	merge_answer (&asking.query, &out);
	CU_ASSERT_PTR_NOT_NULL (
		strstr (out.data, "\"coverage\":{\"shards\":3,\"answered\":2,\"missing\":[1]}"));
	buf_finish (&out);
	asking_finish (&asking);
}

static void
test_late_crossed_and_mislabelled_replies_never_count (void)
{
	struct asking asking;
	asking_init (&asking, "");
	asking_start (&asking);
	/* Crossed: a reply that names another shard or another snapshot. */
	CU_ASSERT_TRUE (reply (&asking, 0, SUB_OK, first_snapshot, 1));
	CU_ASSERT_TRUE (reply (&asking, 1, SUB_OK, second_snapshot, 1));
	CU_ASSERT_EQUAL (asking.query.answered, 0);
	/* Late: the attempts have ended and their shards were asked again. */
	CU_ASSERT_FALSE (reply (&asking, 0, SUB_OK, first_snapshot, 0));
	CU_ASSERT_FALSE (reply (&asking, 99, SUB_OK, first_snapshot, 0));
	CU_ASSERT_EQUAL (asking.query.answered, 0);
	CU_ASSERT_TRUE (asking.query.attempt_count >= 5);
	asking_finish (&asking);
}

/* The index version changes while the query runs: the whole query starts again, nothing is mixed.
 */
static void
test_lost_snapshot_starts_the_query_again (void)
{
	struct asking asking;
	asking_init (&asking, "");
	asking_start (&asking);
	reply (&asking, 0, SUB_OK, first_snapshot, 0);
	for (int i = 0; i < SHARDS * REPLICAS; i++)
		hold (asking.view, i, second_snapshot, 0);
	reply (&asking, 1, SUB_LACKS, first_snapshot, 1);
	CU_ASSERT_EQUAL (asking.query.snapshot, second_snapshot);
	CU_ASSERT_EQUAL (asking.query.answered, 0);
	/* A reply of the snapshot given up comes late. */
	CU_ASSERT_FALSE (reply (&asking, 2, SUB_OK, first_snapshot, 2));
	for (uint32_t i = 0; i < 3; i++)
		reply (&asking, 3 + i, SUB_OK, second_snapshot, i);
	CU_ASSERT_EQUAL (asking.query.phase, QUERY_DONE);
	CU_ASSERT_EQUAL (asking.query.answered, 3);
	asking_finish (&asking);
}

static void
test_newest_snapshot_that_covers_all_shards (void)
{
	struct asking asking;
	asking_init (&asking, "");
	for (int i = 0; i < 2 * REPLICAS; i++)
		hold (asking.view, i, first_snapshot, second_snapshot);
	asking_start (&asking);
	CU_ASSERT_EQUAL (asking.query.snapshot, first_snapshot);
	asking_finish (&asking);
}

static void
test_leaving_data_centre_gets_no_work (void)
{
	struct asking asking;
	asking_init (&asking, "b");
	asking_start (&asking);
	for (int i = 0; i < 200; i++) {
		asking.now_us += 5 * MS;
		query_tick (&asking.query, asking.now_us, &asking.actions);
	}
	for (int i = 0; i < asking.query.attempt_count; i++) {
		const struct view_target *target =
			&asking.view->targets[asking.query.attempts[i].target];
		CU_ASSERT_STRING_NOT_EQUAL (target->data_centre, "b");
		CU_ASSERT_STRING_NOT_EQUAL (asking.view->members[target->owner].data_centre, "b");
	}
	asking_finish (&asking);
}

static void
test_straggler_is_hedged_at_another_owner (void)
{
	struct asking asking;
	asking_init (&asking, "");
	asking_start (&asking);
	reply (&asking, 1, SUB_OK, first_snapshot, 1);
	reply (&asking, 2, SUB_OK, first_snapshot, 2);
	asking.now_us += 11 * MS;
	query_tick (&asking.query, asking.now_us, &asking.actions);
	CU_ASSERT_EQUAL_FATAL (asking.query.attempt_count, 4);
	const struct attempt *attempts = asking.query.attempts;
	CU_ASSERT_TRUE (attempts[3].hedge);
	CU_ASSERT_NOT_EQUAL (asking.view->targets[attempts[0].target].owner,
		asking.view->targets[attempts[3].target].owner);
	reply (&asking, 3, SUB_OK, first_snapshot, 0);
	CU_ASSERT_EQUAL (asking.query.phase, QUERY_DONE);
	CU_ASSERT_EQUAL (attempts[0].state, ATTEMPT_ENDED);
	asking_finish (&asking);
}

/* A silent owner and a refusing one at the same time: the third replica answers. */
static void
test_two_faults_of_one_shard (void)
{
	struct asking asking;
	asking_init (&asking, "");
	asking.policy.hedge = false;
	asking_start (&asking);
	reply (&asking, 1, SUB_OK, first_snapshot, 1);
	reply (&asking, 2, SUB_OK, first_snapshot, 2);
	reply (&asking, 0, SUB_REFUSED, 0, 0);
	CU_ASSERT_EQUAL_FATAL (asking.query.attempt_count, 4);
	asking.now_us += 101 * MS;
	query_tick (&asking.query, asking.now_us, &asking.actions);
	CU_ASSERT_EQUAL_FATAL (asking.query.attempt_count, 5);
	reply (&asking, 4, SUB_OK, first_snapshot, 0);
	CU_ASSERT_EQUAL (asking.query.answered, 3);
	asking_finish (&asking);
}

static void
test_owners_are_separate_and_near (void)
{
	struct view *view = make_view ("", 6);
	for (int i = 0; i < view->service_count; i++) {
		const struct view_service *service = &view->services[i];
		for (int j = 0; j < service->target_count; j++) {
			const struct view_target *target = &view->targets[service->targets[j]];
			CU_ASSERT_STRING_EQUAL (
				view->members[target->owner].data_centre, target->data_centre);
			for (int k = 0; k < j; k++)
				CU_ASSERT_NOT_EQUAL (
					view->targets[service->targets[k]].owner, target->owner);
		}
	}
	view_put (view);
}

/* Once-only requests */

static void
test_once_is_sent_again_only_when_nothing_ran (void)
{
	struct view *view = make_view ("", 3);
	struct once once;
	once_init (&once, view, 0, false, 1000 * MS, 1);
	CU_ASSERT_EQUAL (once_start (&once, 0), ONCE_SEND);
	CU_ASSERT_EQUAL (once_reply (&once, 1, SUB_REFUSED, 0, "", 0, 1), ONCE_SEND);
	CU_ASSERT_EQUAL (once_reply (&once, 2, SUB_FAILED, 0, "", 0, 2), ONCE_ANSWER);
	CU_ASSERT_EQUAL (once.outcome, ONCE_UNKNOWN);
	/* The reply that comes after all changes nothing. */
	CU_ASSERT_EQUAL (once_reply (&once, 2, SUB_OK, 200, "{}", 2, 3), ONCE_NOTHING);
	once_finish (&once);
	view_put (view);
}

static void
test_once_waits_for_its_claim_and_stores_the_outcome (void)
{
	struct view *view = make_view ("", 3);
	struct once once;
	once_init (&once, view, 0, true, 1000 * MS, 1);
	CU_ASSERT_EQUAL (once_start (&once, 0), ONCE_CLAIM);
	CU_ASSERT_EQUAL (once_tick (&once, 10), ONCE_NOTHING);
	CU_ASSERT_EQUAL (once_claimed (&once, VERDICT_RUN, CLAIM_PENDING, 0, NULL, 20), ONCE_SEND);
	CU_ASSERT_EQUAL (once_tick (&once, 1001 * MS), ONCE_STORE);
	CU_ASSERT_EQUAL (once_claim_status (&once), CLAIM_UNKNOWN);
	CU_ASSERT_EQUAL (once_stored (&once), ONCE_ANSWER);
	once_finish (&once);
	/* No claim in time: nothing ran, and that is what is stored. */
	once_init (&once, view, 0, true, 1000 * MS, 1);
	once_start (&once, 0);
	CU_ASSERT_EQUAL (once_tick (&once, ONCE_CLAIM_US), ONCE_STORE);
	CU_ASSERT_EQUAL (once_claim_status (&once), CLAIM_NOT_RUN);
	CU_ASSERT_EQUAL (
		once_claimed (&once, VERDICT_RUN, CLAIM_PENDING, 0, NULL, ONCE_CLAIM_US + 1),
		ONCE_NOTHING);
	once_finish (&once);
	view_put (view);
}

/* The data folder */

static char folder[] = "/tmp/oleanderstile-units-XXXXXX";

static bool
open_store (struct store *store, struct raft *raft, struct error *error)
{
	struct raft_times times = {300000, 75000};
	memset (error, 0, sizeof (*error));
	if (!store_open (store, folder, error))
		return false;
	raft_init (raft, store->disk_id, &times, 1, 0);
	if (store_load (store, raft, error))
		return true;
	raft_finish (raft);
	store_close (store);
	return false;
}

static void
change_log (off_t keep, off_t flip)
{
	char path[128];
	struct stat st;
	snprintf (path, sizeof (path), "%s/log", folder);
	int fd = open (path, O_RDWR);
	CU_ASSERT_EQUAL (fstat (fd, &st), 0);
	if (keep > 0)
		CU_ASSERT_EQUAL (ftruncate (fd, st.st_size - keep), 0);
	if (flip >= 0) {
		char byte = 0;
		CU_ASSERT_EQUAL (pread (fd, &byte, 1, flip), 1);
		byte ^= 1;
		CU_ASSERT_EQUAL (pwrite (fd, &byte, 1, flip), 1);
	}
	close (fd);
}

static void
test_torn_tail_is_cut_and_damage_is_named (void)
{
	struct store store;
	struct store second;
	struct raft raft;
	struct error error;
	CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (folder));
	CU_ASSERT_TRUE_FATAL (open_store (&store, &raft, &error));
	uint64_t id = store.disk_id;
	raft_bootstrap (&raft, "v", "v");
	raft_tick (&raft, 10000000);
	for (int i = 0; i < 10; i++)
		raft_propose (&raft, RAFT_COMMAND, "0123456789", 10, 10000000);
	CU_ASSERT_TRUE (store_save (&store, &raft, &error));
	raft_saved (&raft, 10000000);
	CU_ASSERT_FALSE (store_open (&second, folder, &error));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "in use"));
	uint64_t last = raft_last_index (&raft);
	raft_finish (&raft);
	store_close (&store);

	change_log (5, -1);
	CU_ASSERT_TRUE_FATAL (open_store (&store, &raft, &error));
	CU_ASSERT_TRUE (store.log_tail_truncated);
	CU_ASSERT_EQUAL (store.disk_id, id);
	CU_ASSERT_EQUAL (raft_last_index (&raft), last - 1);
	raft_finish (&raft);
	store_close (&store);

	change_log (0, 40);
	CU_ASSERT_FALSE (open_store (&store, &raft, &error));
	CU_ASSERT_EQUAL (error.kind, ERROR_DAMAGED);
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "/log: damaged"));
}

/* A write that finds no room is an error that names the remedy; nothing counts as saved. */
static void
test_full_disk_is_named (void)
{
	char dir[] = "/tmp/oleanderstile-full-XXXXXX";
	struct store store;
	struct raft raft;
	struct error error = {0};
	struct raft_times times = {300000, 75000};
	CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (dir));
	CU_ASSERT_TRUE_FATAL (store_open (&store, dir, &error));
	raft_init (&raft, store.disk_id, &times, 1, 0);
	CU_ASSERT_TRUE (store_load (&store, &raft, &error));
	raft_bootstrap (&raft, "v", "v");
	close (store.log_fd);
	store.log_fd = open ("/dev/full", O_WRONLY | O_CLOEXEC);
	CU_ASSERT_FALSE (store_save (&store, &raft, &error));
	CU_ASSERT_EQUAL (error.kind, ERROR_DISK_FULL);
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "free space"));
	CU_ASSERT_TRUE (raft_unsaved (&raft));
	raft_finish (&raft);
	store_close (&store);
}

/* A write that stopped halfway for want of room is made whole once there is space again. */
static void
test_full_disk_is_survived (void)
{
	char dir[] = "/tmp/oleanderstile-full-XXXXXX";
	struct store store;
	struct raft raft;
	struct error error = {0};
	struct raft_times times = {300000, 75000};
	CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (dir));
	CU_ASSERT_TRUE_FATAL (store_open (&store, dir, &error));
	raft_init (&raft, store.disk_id, &times, 1, 0);
	CU_ASSERT_TRUE (store_load (&store, &raft, &error));
	raft_bootstrap (&raft, "v", "v");
	int log_fd = store.log_fd;
	store.log_fd = open ("/dev/full", O_WRONLY | O_CLOEXEC);
	CU_ASSERT_FALSE (store_save (&store, &raft, &error));
	CU_ASSERT_EQUAL (error.kind, ERROR_DISK_FULL);
	close (store.log_fd);
	store.log_fd = log_fd;
	CU_ASSERT_EQUAL (write (log_fd, "half a record", 13), 13);
	CU_ASSERT_TRUE (store_save (&store, &raft, &error));
	raft_saved (&raft, 0);
	uint64_t last = raft_last_index (&raft);
	raft_finish (&raft);
	store_close (&store);

	CU_ASSERT_TRUE_FATAL (store_open (&store, dir, &error));
	raft_init (&raft, store.disk_id, &times, 1, 0);
	CU_ASSERT_TRUE (store_load (&store, &raft, &error));
	CU_ASSERT_FALSE (store.log_tail_truncated);
	CU_ASSERT_EQUAL (raft_last_index (&raft), last);
	raft_finish (&raft);
	store_close (&store);
}

/* Packed documents */

static void
test_packed_documents_come_back_whole (void)
{
	char text[5000];
	size_t packed_len = 0;
	size_t len = 0;
	for (size_t i = 0; i < sizeof (text); i++)
		text[i] = (char)('a' + i % 7);
	char *packed = packed_make (text, sizeof (text), &packed_len);
	CU_ASSERT_TRUE (packed_len < sizeof (text) / 10);
	char *plain = packed_open (packed, packed_len, &len);
	CU_ASSERT_EQUAL_FATAL (len, sizeof (text));
	CU_ASSERT_EQUAL (memcmp (plain, text, len), 0);
	free (plain);
	/* Cut short, lengthened, or no packed document at all. */
	CU_ASSERT_PTR_NULL (packed_open (packed, packed_len - 1, &len));
	packed[0] = (char)(packed[0] + 1);
	CU_ASSERT_PTR_NULL (packed_open (packed, packed_len, &len));
	CU_ASSERT_PTR_NULL (packed_open ("abc", 3, &len));
	CU_ASSERT_PTR_NULL (packed_open ("\xff\xff\xff\xff", 4, &len));
	free (packed);
}

/* The encoding */

static void
test_hostile_lengths_are_refused (void)
{
	static const unsigned char huge[] = {0xdd, 0xff, 0xff, 0xff, 0xff, 0x01};
	static const unsigned char deep[32] = {0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91,
		0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91};
	struct pack_tree tree;
	pack_parse (&tree, huge, sizeof (huge));
	CU_ASSERT_FALSE (pack_free (&tree));
	pack_parse (&tree, deep, sizeof (deep));
	CU_ASSERT_FALSE (pack_free (&tree));
}

static void
test_timers_come_in_order (void)
{
	struct timers timers;
	struct timer some[50];
	int64_t last = -1;
	timers_init (&timers);
	for (int i = 0; i < 50; i++) {
		timer_init (&some[i], 1);
		timers_set (&timers, &some[i], (i * 37) % 50);
	}
	timers_clear (&timers, &some[3]);
	timers_set (&timers, &some[4], 100);
	int count = 0;
	struct timer *timer;
	while ((timer = timers_due (&timers, 1000))) {
		CU_ASSERT_TRUE (timer->due_us >= last);
		last = timer->due_us;
		count++;
	}
	CU_ASSERT_EQUAL (count, 49);
	timers_finish (&timers);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (logs_never_wait_for_their_reader),
		TEST (settings_name_line_field_and_remedy),
		TEST (documents_refuse_unknown_fields),
		TEST (cold_target_gets_its_limit_only),
		TEST (each_sign_of_a_cold_start_drops_the_limit),
		TEST (silence_is_doubted_until_the_same_boot_answers),
		TEST (work_cut_off_at_its_deadline_keeps_its_slot_for_the_cancel),
		TEST (closed_gate_hands_all_queued_work_back),
		TEST (one_node_cannot_fill_a_queue),
		TEST (failing_target_rests_and_is_probed_by_one_request),
		TEST (idle_target_is_tried_whatever_its_estimate),
		TEST (extra_load_is_bounded_by_primary_work),
		TEST (coverage_names_what_is_missing),
		TEST (late_crossed_and_mislabelled_replies_never_count),
		TEST (lost_snapshot_starts_the_query_again),
		TEST (newest_snapshot_that_covers_all_shards),
		TEST (leaving_data_centre_gets_no_work),
		TEST (straggler_is_hedged_at_another_owner),
		TEST (two_faults_of_one_shard),
		TEST (owners_are_separate_and_near),
		TEST (once_is_sent_again_only_when_nothing_ran),
		TEST (once_waits_for_its_claim_and_stores_the_outcome),
		TEST (torn_tail_is_cut_and_damage_is_named),
		TEST (full_disk_is_named),
		TEST (full_disk_is_survived),
		TEST (packed_documents_come_back_whole),
		TEST (hostile_lengths_are_refused),
		TEST (timers_come_in_order),
	};
	hint_table_init (&hints);
	return suite_run ("units", tests, sizeof (tests) / sizeof (tests[0]));
}
