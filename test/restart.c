/**
 * @file restart.c
 * Tests of targets that may have been restarted under their ids: what suggests it, what rules it
 * out, and what such a target gets meanwhile. The clock advances only when a test sets it.
 */
#include "core/buf.h"
#include "core/clock.h"
#include "platform/health.h"
#include "query/replica.h"
#include "test/suite.h"

#include <string.h>

enum { MS = US_PER_MS, START_US = 100 * US_PER_S, LAG_US = 800 * MS };

struct bed {
	struct replica_set set;
	struct replica replicas[2];
	int64_t now_us;
};

static void
bed_init (struct bed *bed)
{
	memset (bed, 0, sizeof (*bed));
	replica_set_init (&bed->set, "s");
	bed->set.connections = 4;
	bed->set.cold_rate_per_s = 10;
	bed->set.share_until_us = INT64_MAX;
	bed->now_us = START_US;
	for (int i = 0; i < 2; i++) {
		struct replica *replica = &bed->replicas[i];
		replica->set = &bed->set;
		str_copy (replica->id, sizeof (replica->id), i ? "i-1" : "i-0");
		replica->slots = 3;
		replica->listed = true;
		replica->cold_interval_us = 200 * MS;
		CDS_INIT_LIST_HEAD (&replica->running);
		cds_list_add_tail (&replica->node, &bed->set.replicas);
	}
}

static bool
note_sign (struct bed *bed, int replica, enum restart_sign sign, int64_t idle_us)
{
	return restart_note_sign (&bed->replicas[replica].restart, sign, idle_us,
		bed->set.idle_close_us, bed->now_us);
}

static enum replica_selection
choose (struct bed *bed, struct replica **chosen)
{
	struct replica_criteria criteria = {.data_centre = "", .median_us = 5 * MS};
	return replica_choose (&bed->set, &criteria, bed->now_us, chosen);
}

/* Sends as many requests as are admitted in some time; each is answered at once. */
static int
count_admitted (struct bed *bed, int64_t duration_us)
{
	int count = 0;
	int64_t end_us = bed->now_us + duration_us;
	for (; bed->now_us < end_us; bed->now_us += 10 * MS) {
		struct replica *replica = NULL;
		struct replica_use use;
		if (choose (bed, &replica) != REPLICA_FOUND)
			continue;
		replica_begin (replica, &use, bed->now_us);
		replica_end (&use, REPLICA_ANSWERED, bed->now_us);
		count++;
	}
	return count;
}

/* Guards against the usual rate for targets that were restarted while the list does not show it. */
static void
test_restarted_target_gets_the_cold_rate (void)
{
	struct bed bed;
	bed_init (&bed);
	bed.replicas[1].listed = false;
	CU_ASSERT_EQUAL (count_admitted (&bed, US_PER_S), 100);
	CU_ASSERT_TRUE (note_sign (&bed, 0, RESTART_IDLE_RESET, 5 * MS));
	CU_ASSERT_EQUAL (count_admitted (&bed, US_PER_S), 5);
	/* Answers on new connections do not tell which start of the target gave them. */
	CU_ASSERT_FALSE (restart_note_answer (
		&bed.replicas[0].restart, bed.now_us - MS, bed.now_us - MS, bed.now_us));
	CU_ASSERT_EQUAL (count_admitted (&bed, US_PER_S), 5);
}

/* Guards against requests to a suspected target while another one serves. */
static void
test_sound_target_goes_before_a_suspected_one (void)
{
	struct bed bed;
	struct replica *replica = NULL;
	bed_init (&bed);
	note_sign (&bed, 0, RESTART_LOST, 0);
	for (int i = 0; i < 20; i++) {
		CU_ASSERT_EQUAL (choose (&bed, &replica), REPLICA_FOUND);
		CU_ASSERT_PTR_EQUAL (replica, &bed.replicas[1]);
		bed.now_us += 100 * MS;
	}
}

/* Guards against requests that wait for targets which accept no connection. */
static void
test_unreachable_targets_get_nothing_until_they_answer (void)
{
	struct bed bed;
	struct replica *replica = NULL;
	bed_init (&bed);
	note_sign (&bed, 0, RESTART_REFUSED, 0);
	note_sign (&bed, 1, RESTART_REFUSED, 0);
	note_sign (&bed, 1, RESTART_LOST, 0);
	CU_ASSERT_EQUAL (choose (&bed, &replica), REPLICA_NONE);
	bed.now_us += US_PER_S;
	restart_note_answer (&bed.replicas[1].restart, bed.now_us, bed.now_us, bed.now_us);
	CU_ASSERT_EQUAL (choose (&bed, &replica), REPLICA_FOUND);
	CU_ASSERT_PTR_EQUAL (replica, &bed.replicas[1]);
}

/* Guards against sound targets that stay at the cold rate after one of their connections ended. */
static void
test_older_connection_rules_a_restart_out (void)
{
	struct bed bed;
	struct restart_watch *watch = &bed.replicas[0].restart;
	bed_init (&bed);
	int64_t connected_us = bed.now_us - US_PER_S;
	note_sign (&bed, 0, RESTART_LOST, 0);
	int64_t sign_us = bed.now_us;
	bed.now_us += 10 * MS;
	/* The bytes may have been on their way when the target crashed. */
	CU_ASSERT_FALSE (restart_note_answer (watch, connected_us, sign_us - MS, bed.now_us));
	CU_ASSERT_FALSE (restart_note_answer (watch, sign_us + MS, sign_us + MS, bed.now_us));
	CU_ASSERT_TRUE (restart_note_answer (watch, connected_us, sign_us + MS, bed.now_us));
	CU_ASSERT_FALSE (watch->suspected);
}

/* Guards against a list that is too old to show a restart, or that shows the start before one. */
static void
test_list_counts_once_it_is_newer_than_an_answer (void)
{
	struct bed bed;
	struct restart_watch *watch = &bed.replicas[0].restart;
	bed_init (&bed);
	note_sign (&bed, 0, RESTART_LOST, 0);
	bed.now_us += 5 * US_PER_S;
	CU_ASSERT_FALSE (restart_note_listed (watch, bed.now_us, LAG_US));
	restart_note_answer (watch, bed.now_us, bed.now_us, bed.now_us);
	CU_ASSERT_FALSE (restart_note_listed (watch, bed.now_us + LAG_US, LAG_US));
	CU_ASSERT_TRUE (
		restart_note_listed (watch, bed.now_us + LAG_US + RESTART_LIST_MARGIN_US, LAG_US));
	CU_ASSERT_FALSE (watch->suspected);
}

/* Guards against a late list that ends the cold start which a health answer has stated. */
static void
test_health_answer_outweighs_an_older_list (void)
{
	struct bed bed;
	struct restart_watch *watch = &bed.replicas[0].restart;
	bed_init (&bed);
	note_sign (&bed, 0, RESTART_LOST, 0);
	CU_ASSERT_TRUE (restart_is_list_outdated (watch, bed.now_us, LAG_US));
	CU_ASSERT_FALSE (restart_note_health (watch, RESTART_HEALTH_UNKNOWN, bed.now_us));
	CU_ASSERT_TRUE (watch->check_us > bed.now_us);
	CU_ASSERT_TRUE (restart_note_health (watch, RESTART_HEALTH_COLD, bed.now_us));
	CU_ASSERT_TRUE (restart_is_list_outdated (watch, bed.now_us + LAG_US, LAG_US));
	CU_ASSERT_FALSE (restart_is_list_outdated (watch, bed.now_us + 2 * LAG_US, LAG_US));
}

/* Guards against health checks after each idle time of targets that do not announce it. */
static void
test_usual_idle_close_is_no_sign (void)
{
	struct bed bed;
	struct restart_watch *watch = &bed.replicas[0].restart;
	bed_init (&bed);
	CU_ASSERT_TRUE (note_sign (&bed, 0, RESTART_IDLE_CLOSED, 700 * MS));
	struct restart_watch before = *watch;
	CU_ASSERT_TRUE (restart_note_health (watch, RESTART_HEALTH_WARM, bed.now_us));
	bed.set.idle_close_us = restart_idle_close_us (&before, bed.set.idle_close_us);
	CU_ASSERT_FALSE (note_sign (&bed, 0, RESTART_IDLE_CLOSED, 690 * MS));
	CU_ASSERT_TRUE (note_sign (&bed, 0, RESTART_IDLE_CLOSED, 300 * MS));
	restart_note_health (watch, RESTART_HEALTH_WARM, bed.now_us);
	CU_ASSERT_TRUE (note_sign (&bed, 0, RESTART_IDLE_RESET, 690 * MS));
}

/* Guards against a node that trusts a list from before its start or suspension. */
static void
test_unwatched_target_is_known_by_a_newer_list (void)
{
	struct bed bed;
	struct restart_watch *watch = &bed.replicas[0].restart;
	bed_init (&bed);
	note_sign (&bed, 0, RESTART_UNWATCHED, 0);
	CU_ASSERT_FALSE (restart_note_listed (watch, bed.now_us + LAG_US, LAG_US));
	CU_ASSERT_TRUE (restart_note_listed (watch, bed.now_us + 2 * LAG_US, LAG_US));
}

static enum restart_health
classify (const char *lines, int status)
{
	struct health_head head;
	health_head_init (&head);
	for (const char *at = lines; *at;) {
		size_t len = strcspn (at, "\n");
		health_head_add_line (&head, at, len);
		at += len + (at[len] == '\n');
	}
	return health_head_classify (&head, status, "i-0");
}

/* Guards against trust in answers that are not those of the target, or cannot be read. */
static void
test_health_answers (void)
{
	CU_ASSERT_EQUAL (classify ("Oleanderstile-Instance-Id: i-0", 200), RESTART_HEALTH_WARM);
	CU_ASSERT_EQUAL (
		classify ("Oleanderstile-Instance-Id: i-0\nOleanderstile-Warmup-Ms: 0", 200),
		RESTART_HEALTH_WARM);
	CU_ASSERT_EQUAL (
		classify ("oleanderstile-instance-id:i-0\nOleanderstile-Warmup-Ms: 2500.5", 503),
		RESTART_HEALTH_COLD);
	CU_ASSERT_EQUAL (classify ("Oleanderstile-Instance-Id: i-0", 503), RESTART_HEALTH_UNKNOWN);
	CU_ASSERT_EQUAL (classify ("Oleanderstile-Instance-Id: i-1", 200), RESTART_HEALTH_UNKNOWN);
	CU_ASSERT_EQUAL (classify ("Content-Type: text/plain", 200), RESTART_HEALTH_UNKNOWN);
	CU_ASSERT_EQUAL (
		classify ("Oleanderstile-Instance-Id: i-0\nOleanderstile-Warmup-Ms: -1", 200),
		RESTART_HEALTH_UNKNOWN);
	CU_ASSERT_EQUAL (
		classify ("Oleanderstile-Instance-Id: i-0\nOleanderstile-Warmup-Ms: soon", 200),
		RESTART_HEALTH_UNKNOWN);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (restarted_target_gets_the_cold_rate),
		TEST (sound_target_goes_before_a_suspected_one),
		TEST (unreachable_targets_get_nothing_until_they_answer),
		TEST (older_connection_rules_a_restart_out),
		TEST (list_counts_once_it_is_newer_than_an_answer),
		TEST (health_answer_outweighs_an_older_list),
		TEST (usual_idle_close_is_no_sign),
		TEST (unwatched_target_is_known_by_a_newer_list),
		TEST (health_answers),
	};
	return suite_run ("restart", tests, sizeof (tests) / sizeof (tests[0]));
}
