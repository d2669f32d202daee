/**
 * @file units.c
 * Unit tests of settings, log, gate, queries, at-most-once requests, store and encodings. Each
 * provokes one failure that the code must handle.
 */
#include "control/members.h"
#include "control/owner.h"
#include "control/refresh.h"
#include "control/view.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/metrics.h"
#include "core/pack.h"
#include "core/packed.h"
#include "core/timers.h"
#include "core/turn.h"
#include "daemon/posted_routings.h"
#include "net/completion.h"
#include "net/join.h"
#include "options/options.h"
#include "platform/manifest.h"
#include "query/merge.h"
#include "query/once.h"
#include "query/query.h"
#include "store/store.h"
#include "targets/gate.h"
#include "test/fixture.h"
#include "test/suite.h"

#include <fcntl.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum { MS = 1000 /* in microseconds */, SLOTS = 3, SHARDS = 3, REPLICAS = 3 };

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
test_log_does_not_block_on_a_full_pipe (void)
{
	int fds[2];
	char text[65536];
	struct log log = {.module = "test", .level = LOG_DEBUG};
	uint64_t left_out = metric_get (METRIC_LOG_SUPPRESSED);
	CU_ASSERT_EQUAL_FATAL (pipe (fds), 0);
	log_set_output (fds[1]);
	/* Nobody reads the pipe, so a blocking write would hang the test here. */
	for (int i = 0; i < 3000; i++) {
		log_event (&log, EVENT_REQUEST_FAILED, "%0400d", i);
		log_event (&log, EVENT_NODE_STARTED, "%d", i);
	}
	CU_ASSERT_TRUE (metric_get (METRIC_LOG_SUPPRESSED) - left_out > 3000);
	fcntl (fds[0], F_SETFL, O_NONBLOCK);
	ssize_t len = read (fds[0], text, sizeof (text) - 1);
	CU_ASSERT_TRUE (len > 0);
	text[len > 0 ? len : 0] = '\0';
	CU_ASSERT_PTR_NOT_NULL (strstr (text, "REQUEST_FAILED"));
	/* The first line of a later second reports how many were suppressed. */
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
test_settings_errors_name_line_field_and_remedy (void)
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

static bool
parse_entry (struct options *options, const char *section, const char *field, const char *value,
	struct error *error)
{
	char text[512];
	snprintf (text, sizeof (text),
		"[node]\nname=n\ndata_center=a\n[control]\nkey=0123456789abcdef\n[%s]\n%s = %s\n",
		section, field, value);
	memset (error, 0, sizeof (*error));
	return options_parse (options, text, "test.ini", error);
}

static bool
is_replaced (const struct options *options, const char *name, const char *value)
{
	char text[64];
	snprintf (text, sizeof (text), ".%s = %s", name, value);
	return strstr (options->replaced, text) != NULL;
}

/* Guards against a deployment whose declared bound has a fraction, is a boolean or is out of the
 * setting's range: no entry node would start. */
static void
test_bounds_filled_in_by_the_platform (void)
{
	static const struct {
		const char *name;
		size_t offset;
		double empty; /* value when the platform declares none */
		const char *too_large;
		double limit; /* used instead of it */
	} fields[] = {
		{"extra_ratio", offsetof (struct options, front_extra_ratio), 0.1, "10.5", 10},
		{"extra_slack", offsetof (struct options, front_extra_slack), 10, "1000000.5",
			1000000},
		{"cold_factor", offsetof (struct options, front_cold_factor), 1, "101", 100},
		{"cold_slack", offsetof (struct options, front_cold_slack), 1, "1e9", 1000000},
		{"list_rate", offsetof (struct options, front_list_rate), 10, "2000000", 1000000},
		{"extra_window_s", offsetof (struct options, front_extra_window_s), 10, "3601",
			3600},
		{"quota_excess", offsetof (struct options, front_quota_excess), 0.1, "10.5", 10},
		{"quota_slack", offsetof (struct options, front_quota_slack), 20, "1000001",
			1000000},
	};
	struct options options;
	struct error error;
	for (size_t i = 0; i < sizeof (fields) / sizeof (fields[0]); i++) {
		const double *value = (const double *)((char *)&options + fields[i].offset);
		CU_ASSERT_TRUE (parse_entry (&options, "front", fields[i].name, "2.736", &error));
		CU_ASSERT_DOUBLE_EQUAL (*value, 2.736, 1e-9);
		CU_ASSERT_TRUE (parse_entry (&options, "front", fields[i].name, "0", &error));
		CU_ASSERT_EQUAL (*value, 0);
		CU_ASSERT_TRUE (parse_entry (&options, "front", fields[i].name, "", &error));
		CU_ASSERT_DOUBLE_EQUAL (*value, fields[i].empty, 1e-9);
		CU_ASSERT_EQUAL (options.replaced[0], '\0');
		CU_ASSERT_TRUE (parse_entry (
			&options, "front", fields[i].name, fields[i].too_large, &error));
		CU_ASSERT_DOUBLE_EQUAL (*value, fields[i].limit, 1e-9);
		CU_ASSERT_TRUE (is_replaced (&options, fields[i].name, fields[i].too_large));
		CU_ASSERT_TRUE (parse_entry (&options, "front", fields[i].name, "-0.5", &error));
		CU_ASSERT_DOUBLE_EQUAL (*value, fields[i].empty, 1e-9);
		CU_ASSERT_TRUE (is_replaced (&options, fields[i].name, "-0.5"));
		CU_ASSERT_TRUE (parse_entry (&options, "front", fields[i].name, "true", &error));
		CU_ASSERT_DOUBLE_EQUAL (*value, fields[i].empty, 1e-9);
		CU_ASSERT_TRUE (is_replaced (&options, fields[i].name, "true"));
		CU_ASSERT_FALSE (parse_entry (&options, "front", fields[i].name, "nan", &error));
		CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "test.ini:7: front."));
		CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "give a number from 0 to"));
		CU_ASSERT_FALSE (parse_entry (&options, "front", fields[i].name, "inf", &error));
		CU_ASSERT_FALSE (parse_entry (&options, "front", fields[i].name, "3 s", &error));
	}
	CU_ASSERT_TRUE (parse_entry (&options, "front", "quota_window_s", "", &error));
	CU_ASSERT_EQUAL (options.front_quota_window_s, 5);
	CU_ASSERT_TRUE (parse_entry (&options, "front", "quota_window_s", "0", &error));
	CU_ASSERT_EQUAL (options.front_quota_window_s, 1);
	CU_ASSERT_TRUE (is_replaced (&options, "quota_window_s", "0"));
}

static void
test_control_fields_filled_in_by_the_platform (void)
{
	struct options options;
	struct error error;
	CU_ASSERT_TRUE (parse_entry (&options, "control", "losses", "1.2", &error));
	/* More voters than the declared losses need still bear them. */
	CU_ASSERT_EQUAL (options.control_losses, 2);
	CU_ASSERT_TRUE (parse_entry (&options, "control", "losses", "2.0", &error));
	CU_ASSERT_EQUAL (options.control_losses, 2);
	CU_ASSERT_TRUE (parse_entry (&options, "control", "losses", "0", &error));
	CU_ASSERT_EQUAL (options.control_losses, 0);
	CU_ASSERT_TRUE (parse_entry (&options, "control", "losses", "", &error));
	CU_ASSERT_EQUAL (options.control_losses, 0);
	CU_ASSERT_TRUE (parse_entry (&options, "control", "losses", "2.1", &error));
	CU_ASSERT_EQUAL (options.control_losses, 2);
	CU_ASSERT_TRUE (is_replaced (&options, "losses", "2.1"));
	/* Rounds up to 0, which is in range. */
	CU_ASSERT_TRUE (parse_entry (&options, "control", "losses", "-0.3", &error));
	CU_ASSERT_TRUE (is_replaced (&options, "losses", "-0.3"));
	CU_ASSERT_FALSE (parse_entry (&options, "control", "losses", "two", &error));
	CU_ASSERT_PTR_NOT_NULL (
		strstr (error.message, "test.ini:7: control.losses: bad value; give"));
	CU_ASSERT_TRUE (parse_entry (&options, "front", "list_lag_ms", "800.5", &error));
	CU_ASSERT_EQUAL (options.front_list_lag_ms, 801);
	CU_ASSERT_TRUE (parse_entry (&options, "front", "list_lag_ms", "0", &error));
	CU_ASSERT_TRUE (parse_entry (&options, "front", "list_lag_ms", "", &error));
	CU_ASSERT_EQUAL (options.front_list_lag_ms, 0);
	CU_ASSERT_TRUE (parse_entry (&options, "front", "list_lag_ms", "-1", &error));
	CU_ASSERT_EQUAL (options.front_list_lag_ms, 0);
	CU_ASSERT_TRUE (is_replaced (&options, "list_lag_ms", "-1"));
	CU_ASSERT_TRUE (parse_entry (&options, "control", "bootstrap", "", &error));
	CU_ASSERT_EQUAL (options.control_bootstrap, 0);
	CU_ASSERT_TRUE (parse_entry (&options, "control", "bootstrap", "true", &error));
	CU_ASSERT_EQUAL (options.control_bootstrap, 1);
	CU_ASSERT_FALSE (parse_entry (&options, "control", "bootstrap", "0.5", &error));
	CU_ASSERT_FALSE (parse_entry (&options, "control", "bootstrap", "2", &error));
	CU_ASSERT_TRUE (parse_entry (&options, "control", "peers", "", &error));
	CU_ASSERT_TRUE (parse_entry (&options, "control", "data_dir", "", &error));
	CU_ASSERT_TRUE (parse_entry (&options, "front", "list_address", "", &error));
	CU_ASSERT_FALSE (parse_entry (&options, "front", "list_address", "0.5", &error));
	/* Fields that an operator writes by hand stay strict. */
	CU_ASSERT_FALSE (parse_entry (&options, "query", "max_in_flight", "", &error));
	CU_ASSERT_FALSE (parse_entry (&options, "query", "max_in_flight", "10.5", &error));
}

static void
test_resources_with_bad_fields_are_rejected (void)
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

/* Reads of the target list */

/* Guards against a read by each of hundreds of nodes in the second in which all of them start. */
static void
test_nodes_that_start_together_leave_the_list_to_control (void)
{
	enum { NODES = 291, START_US = 5000000, CONTROL_READY_US = START_US + 900 * MS };
	int reads = 0;
	for (int i = 0; i < NODES; i++) {
		int64_t jitter_us = (int64_t)i * REFRESH_START_WAIT_US / NODES;
		for (int64_t now_us = START_US; now_us < CONTROL_READY_US; now_us += 100 * MS)
			reads += refresh_is_due_without_control (0, START_US, jitter_us, now_us);
	}
	CU_ASSERT_EQUAL (reads, 0);
	/* Without control, all have read it after two seconds, spread over one. */
	int64_t half_us = START_US + REFRESH_START_WAIT_US + REFRESH_START_WAIT_US / 2;
	for (int i = 0; i < NODES; i++) {
		int64_t jitter_us = (int64_t)i * REFRESH_START_WAIT_US / NODES;
		reads += refresh_is_due_without_control (0, START_US, jitter_us, half_us);
		CU_ASSERT_TRUE (refresh_is_due_without_control (
			0, START_US, jitter_us, START_US + 2 * REFRESH_START_WAIT_US));
	}
	CU_ASSERT_TRUE (reads > NODES / 3 && reads < NODES * 2 / 3);
	/* A list that control has brought is used until it is stale. */
	CU_ASSERT_FALSE (refresh_is_due_without_control (
		START_US, START_US, 0, START_US + REFRESH_STALE_US));
	CU_ASSERT_TRUE (refresh_is_due_without_control (
		START_US, START_US, 0, START_US + REFRESH_STALE_US + 1));
}

static void
test_list_is_read_more_often_while_it_changes (void)
{
	struct refresh refresh;
	struct refresh_load load = {.nodes = 1, .pages = 6, .rate_per_s = 3900, .lag_us = 800 * MS};
	int64_t now_us = 1000 * MS;
	refresh_init (&refresh, now_us);
	refresh_observe (&refresh, "a", 1, now_us);
	CU_ASSERT_EQUAL (refresh_interval_us (&refresh, &load, now_us), REFRESH_PERIOD_US);
	now_us += REFRESH_BUSY_US;
	refresh_observe (&refresh, "a", 1, now_us);
	CU_ASSERT_EQUAL (refresh_interval_us (&refresh, &load, now_us), REFRESH_CALM_PERIOD_US);
	refresh_observe (&refresh, "b", 1, now_us);
	CU_ASSERT_EQUAL (refresh_interval_us (&refresh, &load, now_us), REFRESH_PERIOD_US);
	now_us += REFRESH_BUSY_US;
	load.lag_us = 0;
	CU_ASSERT_EQUAL (refresh_interval_us (&refresh, &load, now_us), REFRESH_PERIOD_US);
	/* All nodes together stay within half of the list's rate. */
	load.nodes = 291;
	CU_ASSERT_TRUE (refresh_interval_us (&refresh, &load, now_us) >=
			(int64_t)291 * 6 * US_PER_S * 2 / 3900);
}

/* Gate */

struct gate_fixture {
	struct gate gate;
	struct gate_item items[64];
	int64_t now_us;
};

static void
gate_fixture_init (struct gate_fixture *fixture, int queue_max)
{
	memset (fixture, 0, sizeof (*fixture));
	fixture->now_us = 1000000;
	gate_init (&fixture->gate, SLOTS, 1, queue_max);
	gate_set_open (&fixture->gate, true);
	gate_observe_boot_id (&fixture->gate, 5);
}

static enum gate_verdict
submit (struct gate_fixture *fixture, int item)
{
	fixture->items[item].deadline_us = fixture->now_us + 1000 * MS;
	return gate_submit (&fixture->gate, &fixture->items[item], fixture->now_us);
}

static void
finish_after (struct gate_fixture *fixture, int item, int64_t us, enum gate_outcome outcome)
{
	fixture->now_us += us;
	gate_finish (&fixture->gate, &fixture->items[item], outcome, fixture->now_us);
}

static void
warm_up (struct gate_fixture *fixture)
{
	for (int i = 0; i < 100 && gate_is_cold (&fixture->gate); i++) {
		CU_ASSERT_EQUAL (submit (fixture, 0), GATE_START);
		finish_after (fixture, 0, 5 * MS, GATE_OK);
	}
	CU_ASSERT_FALSE_FATAL (gate_is_cold (&fixture->gate));
}

static void
test_cold_target_runs_no_more_than_its_limit (void)
{
	struct gate_fixture fixture;
	gate_fixture_init (&fixture, 8);
	CU_ASSERT_EQUAL (submit (&fixture, 0), GATE_START);
	CU_ASSERT_EQUAL (submit (&fixture, 1), GATE_QUEUED);
	finish_after (&fixture, 0, 5 * MS, GATE_OK);
	CU_ASSERT_PTR_EQUAL (gate_start_next (&fixture.gate, fixture.now_us), &fixture.items[1]);
	finish_after (&fixture, 1, 5 * MS, GATE_OK);
	warm_up (&fixture);
	for (int i = 0; i < SLOTS; i++)
		CU_ASSERT_EQUAL (submit (&fixture, i), GATE_START);
	CU_ASSERT_EQUAL (submit (&fixture, SLOTS), GATE_QUEUED);
}

/* Cold starts that the target does not announce, and a second one during the first. */
static void
test_unannounced_cold_starts_lower_the_limit (void)
{
	static const enum gate_outcome outcomes[] = {GATE_SHED, GATE_RESET, GATE_SILENT};
	struct gate_fixture fixture;
	for (int i = 0; i < 3; i++) {
		gate_fixture_init (&fixture, 8);
		warm_up (&fixture);
		submit (&fixture, 0);
		finish_after (&fixture, 0, 5 * MS, outcomes[i]);
		CU_ASSERT_EQUAL (fixture.gate.limit, 1);
	}
	gate_fixture_init (&fixture, 8);
	warm_up (&fixture);
	gate_observe_boot_id (&fixture.gate, 6);
	CU_ASSERT_EQUAL (fixture.gate.limit, 1);
	CU_ASSERT_EQUAL (submit (&fixture, 0), GATE_START);
	gate_observe_boot_id (&fixture.gate, 7);
	finish_after (&fixture, 0, 5 * MS, GATE_RESET);
	CU_ASSERT_EQUAL (fixture.gate.limit, 1);
}

static void
test_silent_target_is_limited_until_its_boot_id_is_confirmed (void)
{
	struct gate_fixture fixture;
	gate_fixture_init (&fixture, 8);
	warm_up (&fixture);
	submit (&fixture, 0);
	finish_after (&fixture, 0, 100 * MS, GATE_SILENT);
	CU_ASSERT_EQUAL (fixture.gate.limit, 1);
	fixture.now_us += 100 * MS;
	CU_ASSERT_EQUAL (submit (&fixture, 1), GATE_START);
	finish_after (&fixture, 1, 5 * MS, GATE_OK);
	CU_ASSERT_EQUAL (fixture.gate.limit, SLOTS);
	/* Another boot id shows that the target has restarted. */
	submit (&fixture, 0);
	finish_after (&fixture, 0, 100 * MS, GATE_SILENT);
	fixture.now_us += 100 * MS;
	submit (&fixture, 1);
	gate_observe_boot_id (&fixture.gate, 9);
	finish_after (&fixture, 1, 5 * MS, GATE_OK);
	CU_ASSERT_EQUAL (fixture.gate.limit, 1);
}

/* Under overload, work is cancelled at its deadline while the target is still busy with it. */
static void
test_work_silent_at_its_deadline_occupies_its_slot_until_cancelled (void)
{
	struct gate_fixture fixture;
	gate_fixture_init (&fixture, 8);
	warm_up (&fixture);
	for (int i = 0; i < SLOTS; i++)
		CU_ASSERT_EQUAL (submit (&fixture, i), GATE_START);
	CU_ASSERT_EQUAL (gate_occupied (&fixture.gate, fixture.now_us), SLOTS);
	for (int i = 0; i < SLOTS; i++)
		finish_after (&fixture, i, i == 0 ? 1000 * MS : 0, GATE_SILENT);
	CU_ASSERT_EQUAL (gate_occupied (&fixture.gate, fixture.now_us), SLOTS);
	fixture.now_us += GATE_CANCEL_HOLD_US;
	CU_ASSERT_EQUAL (gate_occupied (&fixture.gate, fixture.now_us), 0);
}

static void
test_closed_gate_returns_all_queued_work (void)
{
	struct gate_fixture fixture;
	gate_fixture_init (&fixture, 8);
	submit (&fixture, 0);
	submit (&fixture, 1);
	submit (&fixture, 2);
	gate_set_open (&fixture.gate, false);
	CU_ASSERT_EQUAL (submit (&fixture, 3), GATE_REFUSED);
	CU_ASSERT_PTR_NOT_NULL (gate_take_rejected (&fixture.gate, fixture.now_us));
	CU_ASSERT_PTR_NOT_NULL (gate_take_rejected (&fixture.gate, fixture.now_us));
	CU_ASSERT_PTR_NULL (gate_take_rejected (&fixture.gate, fixture.now_us));
	finish_after (&fixture, 0, MS, GATE_OK);
	CU_ASSERT_PTR_NULL (gate_start_next (&fixture.gate, fixture.now_us));
}

static void
test_one_node_cannot_fill_a_queue (void)
{
	struct gate_fixture fixture;
	int queued = 0;
	gate_fixture_init (&fixture, 8);
	for (int i = 0; i < 20; i++) {
		fixture.items[i].origin = 1;
		queued += submit (&fixture, i) == GATE_QUEUED;
	}
	CU_ASSERT_EQUAL (queued, 4);
	fixture.items[30].origin = 2;
	CU_ASSERT_EQUAL (submit (&fixture, 30), GATE_QUEUED);
	finish_after (&fixture, 0, MS, GATE_OK);
	CU_ASSERT_PTR_EQUAL (gate_start_next (&fixture.gate, fixture.now_us), &fixture.items[30]);
}

static void
test_failing_target_is_ejected_and_probed_by_one_request (void)
{
	struct gate_fixture fixture;
	gate_fixture_init (&fixture, 8);
	for (int i = 0; i < GATE_EJECT_FAILURES; i++) {
		CU_ASSERT_EQUAL (submit (&fixture, 0), GATE_START);
		finish_after (&fixture, 0, MS, GATE_RESET);
	}
	CU_ASSERT_EQUAL (submit (&fixture, 0), GATE_REFUSED);
	fixture.now_us += GATE_EJECT_US + 1;
	CU_ASSERT_EQUAL (submit (&fixture, 0), GATE_START);
	CU_ASSERT_NOT_EQUAL (submit (&fixture, 1), GATE_START);
}

/* A latency estimate that is too high must not keep all work from a target for ever. */
static void
test_idle_target_is_tried_despite_a_high_latency_estimate (void)
{
	struct gate_fixture fixture;
	gate_fixture_init (&fixture, 8);
	submit (&fixture, 0);
	finish_after (&fixture, 0, 5000 * MS, GATE_OK);
	CU_ASSERT_EQUAL (submit (&fixture, 0), GATE_START);
	CU_ASSERT_EQUAL (submit (&fixture, 1), GATE_REFUSED);
}

/* Guards against a storm of hedges or retries. */
static void
test_hedges_and_retries_are_bounded_by_primary_work (void)
{
	struct budget budget;
	int spent = 0;
	budget_init (&budget);
	for (int i = 0; i < 10000; i++) {
		budget_earn (&budget, 5);
		while (budget_spend (&budget))
			spent++;
	}
	CU_ASSERT_TRUE (spent <= 10000 * 5 / 100 + BUDGET_DEFAULT_BURST);
	CU_ASSERT_TRUE (spent >= 10000 * 5 / 100);
	for (int i = 0; i < 1000; i++)
		CU_ASSERT_FALSE (budget_spend (&budget));
}

/* Queries */

struct query_fixture {
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
set_held (struct view *view, int target, snapshot_t a, snapshot_t b)
{
	snapshot_t held[2] = {a, b};
	target_hint_set_held (view->targets[target].hint, held, b ? 2 : 1, 1);
	atomic_store (&view->targets[target].hint->avoid_until_us, 0);
	atomic_store (&view->targets[target].hint->cold_until_us, 0);
}

static void
query_fixture_init (struct query_fixture *fixture, const char *leaving_data_centre)
{
	memset (fixture, 0, sizeof (*fixture));
	fixture->now_us = 10000000;
	fixture->policy = (struct query_policy){.hedge = true,
		.hedge_percentile = 95,
		.extra_percent = 5,
		.hedge_default_us = 10 * MS,
		.silence_us = 100 * MS};
	fixture->view = make_view (leaving_data_centre, 3);
	for (int i = 0; i < SHARDS * REPLICAS; i++)
		set_held (fixture->view, i, first_snapshot, 0);
	for (int i = 0; i < SHARDS; i++) {
		budget_init (&fixture->view->services[i].hint->extra_budget);
		quantile_init (&fixture->view->services[i].hint->latency);
	}
	for (int i = 0; i < 3; i++)
		atomic_store (&fixture->view->members[i].hint->avoid_until_us, 0);
}

static void
query_fixture_start (struct query_fixture *fixture)
{
	query_init (&fixture->query, fixture->view, view_find_collection (fixture->view, "c"), NULL,
		&fixture->policy, fixture->now_us, fixture->now_us + 1000 * MS, 7);
	query_start (&fixture->query, fixture->now_us, &fixture->actions);
}

static void
query_fixture_finish (struct query_fixture *fixture)
{
	query_finish (&fixture->query);
	query_actions_finish (&fixture->actions);
	view_unref (fixture->view);
}

static bool
deliver_reply (struct query_fixture *fixture, uint32_t attempt, enum sub_status status,
	snapshot_t snapshot, uint32_t shard)
{
	char body[64];
	struct sub_result result = {.status = status, .snapshot = snapshot, .shard = shard};
	snprintf (body, sizeof (body), "[{\"shard\":%u}]", shard);
	result.body = body;
	result.body_len = strlen (body);
	return query_reply (&fixture->query, attempt, &result, fixture->now_us, &fixture->actions);
}

static void
test_coverage_lists_missing_shards (void)
{
	struct query_fixture fixture;
	struct buf out;
	query_fixture_init (&fixture, "");
	query_fixture_start (&fixture);
	deliver_reply (&fixture, 0, SUB_OK, first_snapshot, 0);
	deliver_reply (&fixture, 2, SUB_OK, first_snapshot, 2);
	fixture.now_us += 999 * MS;
	query_tick (&fixture.query, fixture.now_us, &fixture.actions);
	CU_ASSERT_EQUAL (fixture.query.phase, QUERY_DONE);
	buf_init (&out);
	merge_answer (&fixture.query, &out);
	CU_ASSERT_PTR_NOT_NULL (
		strstr (out.data, "\"coverage\":{\"shards\":3,\"answered\":2,\"missing\":[1]}"));
	buf_finish (&out);
	query_fixture_finish (&fixture);
}

static void
test_late_and_mismatched_replies_are_not_counted (void)
{
	struct query_fixture fixture;
	query_fixture_init (&fixture, "");
	query_fixture_start (&fixture);
	/* Mismatched: the reply names another shard or another snapshot. */
	CU_ASSERT_TRUE (deliver_reply (&fixture, 0, SUB_OK, first_snapshot, 1));
	CU_ASSERT_TRUE (deliver_reply (&fixture, 1, SUB_OK, second_snapshot, 1));
	CU_ASSERT_EQUAL (fixture.query.answered, 0);
	/* Late: attempt 0 has ended and its shard was asked again. Unknown: attempt 99. */
	CU_ASSERT_FALSE (deliver_reply (&fixture, 0, SUB_OK, first_snapshot, 0));
	CU_ASSERT_FALSE (deliver_reply (&fixture, 99, SUB_OK, first_snapshot, 0));
	CU_ASSERT_EQUAL (fixture.query.answered, 0);
	CU_ASSERT_TRUE (fixture.query.attempt_count >= 5);
	query_fixture_finish (&fixture);
}

/* When the index version changes during a query, the whole query restarts; versions never mix. */
static void
test_lost_snapshot_restarts_the_query (void)
{
	struct query_fixture fixture;
	query_fixture_init (&fixture, "");
	query_fixture_start (&fixture);
	deliver_reply (&fixture, 0, SUB_OK, first_snapshot, 0);
	for (int i = 0; i < SHARDS * REPLICAS; i++)
		set_held (fixture.view, i, second_snapshot, 0);
	deliver_reply (&fixture, 1, SUB_SNAPSHOT_MISSING, first_snapshot, 1);
	CU_ASSERT_EQUAL (fixture.query.snapshot, second_snapshot);
	CU_ASSERT_EQUAL (fixture.query.answered, 0);
	/* A late reply for the abandoned snapshot is ignored. */
	CU_ASSERT_FALSE (deliver_reply (&fixture, 2, SUB_OK, first_snapshot, 2));
	for (uint32_t i = 0; i < 3; i++)
		deliver_reply (&fixture, 3 + i, SUB_OK, second_snapshot, i);
	CU_ASSERT_EQUAL (fixture.query.phase, QUERY_DONE);
	CU_ASSERT_EQUAL (fixture.query.answered, 3);
	query_fixture_finish (&fixture);
}

static void
test_newest_snapshot_that_covers_all_shards_is_pinned (void)
{
	struct query_fixture fixture;
	query_fixture_init (&fixture, "");
	for (int i = 0; i < 2 * REPLICAS; i++)
		set_held (fixture.view, i, first_snapshot, second_snapshot);
	query_fixture_start (&fixture);
	CU_ASSERT_EQUAL (fixture.query.snapshot, first_snapshot);
	query_fixture_finish (&fixture);
}

static void
test_leaving_data_centre_gets_no_work (void)
{
	struct query_fixture fixture;
	query_fixture_init (&fixture, "b");
	query_fixture_start (&fixture);
	for (int i = 0; i < 200; i++) {
		fixture.now_us += 5 * MS;
		query_tick (&fixture.query, fixture.now_us, &fixture.actions);
	}
	for (int i = 0; i < fixture.query.attempt_count; i++) {
		const struct view_target *target =
			&fixture.view->targets[fixture.query.attempts[i].target];
		CU_ASSERT_STRING_NOT_EQUAL (target->data_centre, "b");
		CU_ASSERT_STRING_NOT_EQUAL (fixture.view->members[target->owner].data_centre, "b");
	}
	query_fixture_finish (&fixture);
}

static void
test_slow_attempt_is_hedged_at_another_owner (void)
{
	struct query_fixture fixture;
	query_fixture_init (&fixture, "");
	query_fixture_start (&fixture);
	deliver_reply (&fixture, 1, SUB_OK, first_snapshot, 1);
	deliver_reply (&fixture, 2, SUB_OK, first_snapshot, 2);
	fixture.now_us += 11 * MS;
	query_tick (&fixture.query, fixture.now_us, &fixture.actions);
	CU_ASSERT_EQUAL_FATAL (fixture.query.attempt_count, 4);
	const struct attempt *attempts = fixture.query.attempts;
	CU_ASSERT_TRUE (attempts[3].hedge);
	CU_ASSERT_NOT_EQUAL (fixture.view->targets[attempts[0].target].owner,
		fixture.view->targets[attempts[3].target].owner);
	deliver_reply (&fixture, 3, SUB_OK, first_snapshot, 0);
	CU_ASSERT_EQUAL (fixture.query.phase, QUERY_DONE);
	CU_ASSERT_EQUAL (attempts[0].state, ATTEMPT_ENDED);
	query_fixture_finish (&fixture);
}

/* One owner refuses and another is silent at the same time; the third replica answers. */
static void
test_shard_answers_despite_a_silent_and_a_refusing_owner (void)
{
	struct query_fixture fixture;
	query_fixture_init (&fixture, "");
	fixture.policy.hedge = false;
	query_fixture_start (&fixture);
	deliver_reply (&fixture, 1, SUB_OK, first_snapshot, 1);
	deliver_reply (&fixture, 2, SUB_OK, first_snapshot, 2);
	deliver_reply (&fixture, 0, SUB_REFUSED, 0, 0);
	CU_ASSERT_EQUAL_FATAL (fixture.query.attempt_count, 4);
	fixture.now_us += 101 * MS;
	query_tick (&fixture.query, fixture.now_us, &fixture.actions);
	CU_ASSERT_EQUAL_FATAL (fixture.query.attempt_count, 5);
	deliver_reply (&fixture, 4, SUB_OK, first_snapshot, 0);
	CU_ASSERT_EQUAL (fixture.query.answered, 3);
	query_fixture_finish (&fixture);
}

static void
test_replicas_have_different_owners_in_their_data_centres (void)
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
	view_unref (view);
}

/* At-most-once requests */

static void
test_once_is_sent_again_only_if_it_has_not_run (void)
{
	struct view *view = make_view ("", 3);
	struct once once;
	once_init (&once, view, 0, false, 1000 * MS, 1);
	CU_ASSERT_EQUAL (once_start (&once, 0), ONCE_SEND);
	CU_ASSERT_EQUAL (once_reply (&once, 1, SUB_REFUSED, 0, "", 0, 1), ONCE_SEND);
	CU_ASSERT_EQUAL (once_reply (&once, 2, SUB_FAILED, 0, "", 0, 2), ONCE_ANSWER);
	CU_ASSERT_EQUAL (once.outcome, ONCE_UNKNOWN);
	/* A reply after the end changes nothing. */
	CU_ASSERT_EQUAL (once_reply (&once, 2, SUB_OK, 200, "{}", 2, 3), ONCE_NOTHING);
	once_finish (&once);
	view_unref (view);
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
	/* A claim that is not committed in time: the outcome "not run" is stored. */
	once_init (&once, view, 0, true, 1000 * MS, 1);
	once_start (&once, 0);
	CU_ASSERT_EQUAL (once_tick (&once, ONCE_CLAIM_TIMEOUT_US), ONCE_STORE);
	CU_ASSERT_EQUAL (once_claim_status (&once), CLAIM_NOT_RUN);
	CU_ASSERT_EQUAL (once_claimed (&once, VERDICT_RUN, CLAIM_PENDING, 0, NULL,
				 ONCE_CLAIM_TIMEOUT_US + 1),
		ONCE_NOTHING);
	once_finish (&once);
	view_unref (view);
}

/* Store */

static char data_dir[] = "/tmp/oleanderstile-units-XXXXXX";

static bool
open_store (struct store *store, struct raft *raft, struct error *error)
{
	struct raft_times times = {300000, 75000};
	memset (error, 0, sizeof (*error));
	if (!store_open (store, data_dir, error))
		return false;
	raft_init (raft, store->disk_id, &times, 1, 0);
	if (store_load (store, raft, error))
		return true;
	raft_finish (raft);
	store_close (store);
	return false;
}

static void
damage_log (off_t cut_bytes, off_t flip_at)
{
	char path[128];
	struct stat st;
	snprintf (path, sizeof (path), "%s/log", data_dir);
	int fd = open (path, O_RDWR);
	CU_ASSERT_EQUAL (fstat (fd, &st), 0);
	if (cut_bytes > 0)
		CU_ASSERT_EQUAL (ftruncate (fd, st.st_size - cut_bytes), 0);
	if (flip_at >= 0) {
		char byte = 0;
		CU_ASSERT_EQUAL (pread (fd, &byte, 1, flip_at), 1);
		byte ^= 1;
		CU_ASSERT_EQUAL (pwrite (fd, &byte, 1, flip_at), 1);
	}
	close (fd);
}

static void
test_torn_log_tail_is_truncated_and_damage_is_reported (void)
{
	struct store store;
	struct store second;
	struct raft raft;
	struct error error;
	CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (data_dir));
	CU_ASSERT_TRUE_FATAL (open_store (&store, &raft, &error));
	uint64_t id = store.disk_id;
	raft_bootstrap (&raft, "v", "v");
	raft_tick (&raft, 10000000);
	for (int i = 0; i < 10; i++)
		raft_propose (&raft, RAFT_COMMAND, "0123456789", 10, 10000000);
	CU_ASSERT_TRUE (store_save (&store, &raft, &error));
	raft_mark_saved (&raft, 10000000);
	CU_ASSERT_FALSE (store_open (&second, data_dir, &error));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "in use"));
	uint64_t last = raft_last_index (&raft);
	raft_finish (&raft);
	store_close (&store);

	damage_log (5, -1);
	CU_ASSERT_TRUE_FATAL (open_store (&store, &raft, &error));
	CU_ASSERT_TRUE (store.log_tail_truncated);
	CU_ASSERT_EQUAL (store.disk_id, id);
	CU_ASSERT_EQUAL (raft_last_index (&raft), last - 1);
	raft_finish (&raft);
	store_close (&store);

	damage_log (0, 40);
	CU_ASSERT_FALSE (open_store (&store, &raft, &error));
	CU_ASSERT_EQUAL (error.kind, ERROR_DAMAGED);
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "/log: damaged"));
}

/* A write to a full disk fails with an error that names the remedy, and nothing counts as saved. */
static void
test_full_disk_is_reported (void)
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
	CU_ASSERT_TRUE (raft_needs_save (&raft));
	raft_finish (&raft);
	store_close (&store);
}

/* A record that a full disk truncated is replaced by a complete one once there is space again. */
static void
test_store_recovers_from_a_full_disk (void)
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
	raft_mark_saved (&raft, 0);
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

/* Compressed documents */

static void
test_packed_documents_round_trip (void)
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
	/* Truncated, with a wrong length, or not a compressed document. */
	CU_ASSERT_PTR_NULL (packed_open (packed, packed_len - 1, &len));
	packed[0] = (char)(packed[0] + 1);
	CU_ASSERT_PTR_NULL (packed_open (packed, packed_len, &len));
	CU_ASSERT_PTR_NULL (packed_open ("abc", 3, &len));
	CU_ASSERT_PTR_NULL (packed_open ("\xff\xff\xff\xff", 4, &len));
	free (packed);
}

/* Encoding and timers */

static void
test_excessive_length_and_depth_are_rejected (void)
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
test_timers_fire_in_order (void)
{
	struct timers timers;
	struct timer items[50];
	int64_t last = -1;
	timers_init (&timers);
	for (int i = 0; i < 50; i++) {
		timer_init (&items[i], 1);
		timers_set (&timers, &items[i], (i * 37) % 50);
	}
	timers_clear (&timers, &items[3]);
	timers_set (&timers, &items[4], 100);
	int count = 0;
	struct timer *timer;
	while ((timer = timers_pop_due (&timers, 1000))) {
		CU_ASSERT_TRUE (timer->due_us >= last);
		last = timer->due_us;
		count++;
	}
	CU_ASSERT_EQUAL (count, 49);
	timers_finish (&timers);
}

static void *
wait_for_completion (void *arg)
{
	completion_wait (arg);
	return NULL;
}

/* Guards against an exit that waits without a limit for a thread that is held up. */
static void
test_thread_that_is_held_up_is_joined_for_a_limited_time (void)
{
	struct clock clock;
	struct completion completion;
	pthread_t thread;
	clock_init_system (&clock);
	completion_init (&completion);
	int64_t start_us = clock_now_us (&clock);
	pthread_create (&thread, NULL, wait_for_completion, &completion);
	CU_ASSERT_FALSE (thread_join (thread, &clock, start_us - 1000 * MS));
	CU_ASSERT_FALSE (thread_join (thread, &clock, start_us + 50 * MS));
	CU_ASSERT_TRUE (clock_now_us (&clock) >= start_us + 50 * MS);
	completion_signal (&completion);
	CU_ASSERT_TRUE (thread_join (thread, &clock, start_us + 60000 * MS));
}

/* Guards against a pause of a loop that is attributed to the wrong part, or not noticed. */
static void
test_slow_turn_names_its_longest_part (void)
{
	struct turn turn;
	turn_begin (&turn, 1000 * MS);
	turn_mark (&turn, 0, 1010 * MS);
	turn_mark (&turn, 2, 1100 * MS);
	turn_mark (&turn, 1, 1160 * MS);
	turn_mark (&turn, 0, 1199 * MS);
	CU_ASSERT_FALSE (turn_is_slow (&turn));
	turn_mark (&turn, 1, 1240 * MS);
	CU_ASSERT_TRUE (turn_is_slow (&turn));
	CU_ASSERT_EQUAL (turn_total_us (&turn), 240 * MS);
	CU_ASSERT_EQUAL (turn_longest (&turn), 1);
	turn_begin (&turn, 2000 * MS);
	CU_ASSERT_EQUAL (turn_total_us (&turn), 0);
}

/* Guards against a dump or metrics that cannot be read for the name of one target. */
static void *
signal_and_stay (void *arg)
{
	struct completion *completions = arg;
	completion_signal (&completions[0]);
	completion_wait (&completions[1]);
	return NULL;
}

/* Guards against a stop that waits for a thread which has done its work and is held up at its exit.
 */
static void
test_end_of_work_is_awaited_and_not_the_exit_of_its_thread (void)
{
	struct completion completions[2];
	struct clock clock;
	pthread_t thread;
	clock_init_system (&clock);
	completion_init (&completions[0]);
	completion_init (&completions[1]);
	int64_t start_us = clock_now_us (&clock);
	CU_ASSERT_FALSE (completion_wait_until (&completions[0], &clock, start_us + 20 * MS));
	CU_ASSERT_TRUE (clock_now_us (&clock) >= start_us + 20 * MS);
	pthread_create (&thread, NULL, signal_and_stay, completions);
	CU_ASSERT_TRUE (completion_wait_until (&completions[0], &clock, start_us + 60000 * MS));
	CU_ASSERT_TRUE (completion_wait_until (&completions[0], &clock, start_us));
	completion_signal (&completions[1]);
	pthread_join (thread, NULL);
}

/* Guards against the front's last answers waiting for memory that the control thread holds locked.
 */
static void
test_routing_is_freed_by_the_thread_that_posted_it (void)
{
	static const char text[] =
		"{\"version\":1,\"routes\":[{\"name\":\"one\",\"host\":\"h.example\","
		"\"path_prefix\":\"/\",\"route_type\":\"idempotent\",\"timeout_ms\":1000,"
		"\"max_attempts\":2,\"service\":\"s0\"}],"
		"\"services\":[{\"name\":\"s0\",\"max_connections\":3}]}";
	struct posted_routings posted = {0};
	struct routing *routings[2];
	struct error error = {0};
	for (int i = 0; i < 2; i++) {
		routings[i] = manifest_decode (text, sizeof (text) - 1, &error);
		CU_ASSERT_PTR_NOT_NULL_FATAL (routings[i]);
		posted_routings_add (&posted, routing_ref (routings[i]));
	}
	CU_ASSERT_PTR_EQUAL (posted_routings_newest (&posted), routings[1]);
	posted_routings_clean (&posted);
	CU_ASSERT_EQUAL (posted.count, 2);
	routing_unref (routings[0]);
	CU_ASSERT_FALSE (routing_is_shared (routings[0]));
	routing_unref (routings[1]);
	posted_routings_clean (&posted);
	CU_ASSERT_EQUAL (posted.count, 1);
	CU_ASSERT_PTR_EQUAL (posted_routings_newest (&posted), routings[1]);
	routing_unref (routings[1]);
	free (posted.items);
}

static void
test_names_are_escaped_in_dumps (void)
{
	static const char *const names[] = {"s", "a\"b", "\\", "a\\\"", "a\nb", "\"\"", "\xc3\xa9"};
	char out[TEXT_ESCAPED_SIZE];
	char quoted[TEXT_ESCAPED_SIZE + 2];
	char longest[256];
	for (size_t i = 0; i < sizeof (names) / sizeof (names[0]); i++) {
		snprintf (quoted, sizeof (quoted), "\"%s\"", text_escape (names[i], out));
		json_t *decoded = json_loads (quoted, JSON_DECODE_ANY, NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL (decoded);
		CU_ASSERT_STRING_EQUAL (json_string_value (decoded), names[i]);
		json_decref (decoded);
	}
	CU_ASSERT_STRING_EQUAL (text_escape ("a\tb\x01", out), "a?b?");
	memset (longest, '"', 255);
	longest[255] = '\0';
	CU_ASSERT_EQUAL (strlen (text_escape (longest, out)), 510);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (log_does_not_block_on_a_full_pipe),
		TEST (settings_errors_name_line_field_and_remedy),
		TEST (bounds_filled_in_by_the_platform),
		TEST (control_fields_filled_in_by_the_platform),
		TEST (nodes_that_start_together_leave_the_list_to_control),
		TEST (list_is_read_more_often_while_it_changes),
		TEST (resources_with_bad_fields_are_rejected),
		TEST (cold_target_runs_no_more_than_its_limit),
		TEST (unannounced_cold_starts_lower_the_limit),
		TEST (silent_target_is_limited_until_its_boot_id_is_confirmed),
		TEST (work_silent_at_its_deadline_occupies_its_slot_until_cancelled),
		TEST (closed_gate_returns_all_queued_work),
		TEST (one_node_cannot_fill_a_queue),
		TEST (failing_target_is_ejected_and_probed_by_one_request),
		TEST (idle_target_is_tried_despite_a_high_latency_estimate),
		TEST (hedges_and_retries_are_bounded_by_primary_work),
		TEST (coverage_lists_missing_shards),
		TEST (late_and_mismatched_replies_are_not_counted),
		TEST (lost_snapshot_restarts_the_query),
		TEST (newest_snapshot_that_covers_all_shards_is_pinned),
		TEST (leaving_data_centre_gets_no_work),
		TEST (slow_attempt_is_hedged_at_another_owner),
		TEST (shard_answers_despite_a_silent_and_a_refusing_owner),
		TEST (replicas_have_different_owners_in_their_data_centres),
		TEST (once_is_sent_again_only_if_it_has_not_run),
		TEST (once_waits_for_its_claim_and_stores_the_outcome),
		TEST (torn_log_tail_is_truncated_and_damage_is_reported),
		TEST (full_disk_is_reported),
		TEST (store_recovers_from_a_full_disk),
		TEST (packed_documents_round_trip),
		TEST (excessive_length_and_depth_are_rejected),
		TEST (timers_fire_in_order),
		TEST (slow_turn_names_its_longest_part),
		TEST (thread_that_is_held_up_is_joined_for_a_limited_time),
		TEST (end_of_work_is_awaited_and_not_the_exit_of_its_thread),
		TEST (routing_is_freed_by_the_thread_that_posted_it),
		TEST (names_are_escaped_in_dumps),
	};
	hint_table_init (&hints);
	return suite_run ("units", tests, sizeof (tests) / sizeof (tests[0]));
}
