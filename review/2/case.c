/**
 * @file case.c
 * An entry node gets SIGTERM. Callers go on to use connections that they had opened before. Each
 * filing that the node reads and passes on to a target must be answered.
 */
#include "../stage.h"

#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	ENTRY_NODES = 2,
	CALLERS = 16,
	WARM_UP_ROUNDS = 6,
	WORK_MS = 222,
	LONG_WORK_MS =
		1665,    /* 7.5 times the usual, as max to mean of a kind of request in the site */
	LONG_EVERY = 40, /* of the ordinary requests, one in this many is a long one */
	DEADLINE_MS = 15000,
	GRACE_MS = 6000,      /* bounds.grace_s */
	EXCUSED_MS = 3000,    /* requests sent until then may be cut in the last sixth of grace_s */
	FIRST_LATE_MS = 3800, /* when the first caller uses its connection again, after SIGTERM */
	STEP_MS = 20,
};

static const char manifest[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"filing\",\"host\":\"site.example\",\"path_prefix\":\"/filing/\","
	"\"route_type\":\"non_idempotent\",\"timeout_ms\":15000,\"target_latency_ms\":800,"
	"\"priority\":2,\"max_attempts\":2,\"service\":\"plano\"}],"
	"\"services\":[{\"name\":\"plano\",\"health_path\":\"/health\",\"max_connections\":96}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static _Atomic int64_t stop_ms; /* when SIGTERM was sent; 0: it was not */
static _Atomic int cut;
static _Atomic int answered;
static _Atomic int refused;
static _Atomic int ended;
static _Atomic int ran[CALLERS]; /* whether the late request of a caller reached a target */

static bool
handle (struct stage_target *target, struct stage_request *request)
{
	static const char body[] = "filed";
	bool is_long = strcmp (request->path, "/filing/long") == 0;
	int late = 0;
	if (sscanf (request->attempt_id, "late%d", &late) == 1)
		atomic_store (&ran[late], 1);
	stage_sleep_ms (is_long ? LONG_WORK_MS : WORK_MS);
	return stage_reply (target, request, 200, body, strlen (body));
}

/* Uses a kept connection for ordinary filings, and once more while the node stops. */
static void *
run_caller (void *user)
{
	struct stage_answer answer;
	const int number = *(const int *)user;
	char id[32];
	int fd = stage_connect (stage_entry_node (0)->address, STAGE_ENTRY_PORT);
	for (int i = 0; i < WARM_UP_ROUNDS; i++) {
		bool is_long = (i * CALLERS + number) % LONG_EVERY == LONG_EVERY - 1;
		snprintf (id, sizeof (id), "warm%d-%d", number, i);
		stage_call (fd, "POST", "site.example", is_long ? "/filing/long" : "/filing/usual",
			id, DEADLINE_MS, "{\"box\":7}", DEADLINE_MS, &answer);
		if (answer.status != 200)
			stage_end (CASE_NOT_RUN, "%s got status %d", id, answer.status);
	}
	while (atomic_load (&stop_ms) == 0)
		stage_sleep_ms (5);
	stage_sleep_until (stop_ms + FIRST_LATE_MS + (int64_t)number * STEP_MS);
	snprintf (id, sizeof (id), "late%d", number);
	int64_t sent_ms = stage_now_ms ();
	stage_call (fd, "POST", "site.example", "/filing/long", id, DEADLINE_MS, "{\"box\":7}",
		DEADLINE_MS, &answer);
	stage_record ("%s, sent %lld ms after SIGTERM: %s, status %d, after %lld ms", id,
		(long long)(sent_ms - stop_ms),
		atomic_load (&ran[number]) ? "passed on to a target" : "not passed on",
		answer.status, (long long)(stage_now_ms () - sent_ms));
	if (answer.status == 200)
		atomic_fetch_add (&answered, 1);
	else if (answer.status > 0)
		atomic_fetch_add (&refused, 1);
	else if (atomic_load (&ran[number]) && sent_ms > stop_ms + EXCUSED_MS)
		atomic_fetch_add (&cut, 1);
	atomic_fetch_add (&ended, 1);
	return NULL;
}

int
main (int argc, char **argv)
{
	static int numbers[CALLERS];
	stage_begin (argc, argv);
	stage_start_list ();
	stage_add_target ("i-p1", "plano", "leixoes-a", handle);
	stage_add_target ("i-p2", "plano", "matosinhos-b", handle);
	stage_add_target ("i-p3", "plano", "maia-c", handle);
	stage_start_nodes (ENTRY_NODES);
	stage_begin_service (manifest, ENTRY_NODES);
	for (int i = 0; i < CALLERS; i++) {
		numbers[i] = i;
		stage_thread (run_caller, &numbers[i]);
	}
	stage_sleep_ms (8000);
	struct stage_node *node = stage_entry_node (0);
	int64_t now_ms = stage_now_ms ();
	if (stage_has_trouble ())
		stage_signal (node, SIGTERM, "SIGTERM");
	atomic_store (&stop_ms, now_ms);
	bool ran_out = false;
	while (stage_has_trouble () && waitpid (node->pid, NULL, WNOHANG) == 0 && !ran_out) {
		ran_out = stage_now_ms () > now_ms + GRACE_MS;
		stage_sleep_ms (5);
	}
	if (ran_out) {
		stage_signal (node, SIGKILL, "SIGKILL");
	} else if (stage_has_trouble ()) {
		stage_record ("%s has ended, %lld ms after SIGTERM", node->name,
			(long long)(stage_now_ms () - now_ms));
		node->pid = 0;
	}
	while (atomic_load (&ended) < CALLERS && stage_now_ms () < now_ms + 2 * GRACE_MS)
		stage_sleep_ms (50);
	stage_record (
		"late requests: %d answered, %d refused, %d passed on and cut without an answer",
		answered, refused, cut);
	if (atomic_load (&ended) < CALLERS)
		stage_end (CASE_NOT_RUN, "not all callers came to an end");
	if (atomic_load (&cut) > 0)
		stage_end (CASE_BROKEN, "%d requests were passed on to a target and got no answer",
			cut);
	stage_end (CASE_HELD, "each request that was passed on got an answer");
}
