/**
 * @file case.c
 * A control node is frozen while the operator ends an evacuation. The operator gets no answer from
 * it, closes the connection and sends the order to another node, which confirms it. Then the
 * operator evacuates the zone again. When the frozen node wakes, nothing may reach the zone.
 */
#include "../stage.h"

#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

enum {
	ENTRY_NODES = 2,
	FROZEN = 2,             /* a control node that does not lead */
	FREEZE_MS = 4000,       /* dose of node_freeze on a core machine in the site file */
	EVACUATION_MS = 5000,   /* bounds.evacuation_ms */
	CONTACT_MS = 4000,      /* bounds.contact_ms */
	OUTER_BOUND_MS = 12000, /* bounds.outer_bound_ms */
	OBSERVE_MS = 5000,      /* how long requests are counted after all bounds */
	REQUEST_INTERVAL_MS = 25,
};

static const char manifest[] =
	"{\"version\":7,\"routes\":[{\"name\":\"lookup\",\"host\":\"site.example\","
	"\"path_prefix\":\"/lookup/\",\"route_type\":\"idempotent\",\"timeout_ms\":4000,"
	"\"target_latency_ms\":250,\"priority\":2,\"max_attempts\":2,\"service\":\"members\"}],"
	"\"services\":[{\"name\":\"members\",\"health_path\":\"/health\",\"max_connections\":48,"
	"\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/* When the current evacuation was confirmed; 0 while none is in force. */
static _Atomic int64_t evacuated_ms;
static _Atomic int late_arrivals;
static _Atomic int served;

static bool
handle (struct stage_target *target, struct stage_request *request)
{
	static const char body[] = "household";
	int64_t since_ms = atomic_load (&evacuated_ms);
	if (strcmp (target->zone, "leixoes-a") == 0 && since_ms != 0 &&
		request->arrived_ms > since_ms + EVACUATION_MS + OUTER_BOUND_MS) {
		if (atomic_fetch_add (&late_arrivals, 1) < 5)
			stage_record ("%s of %s received %s, %lld ms after the evacuation of its "
				      "zone was confirmed",
				target->id, target->zone, request->attempt_id,
				(long long)(request->arrived_ms - since_ms));
	}
	stage_sleep_ms (20);
	return stage_reply (target, request, 200, body, strlen (body));
}

static void *
send_requests (void *user)
{
	const int *entry = user;
	for (int i = 0;; i++) {
		struct stage_answer answer;
		char id[32];
		snprintf (id, sizeof (id), "r%d-%06d", *entry, i);
		stage_request (stage_entry_node (*entry), "GET", "/lookup/17", id, 4000, NULL, 4500,
			&answer);
		if (answer.status == 200)
			atomic_fetch_add (&served, 1);
		stage_sleep_ms (REQUEST_INTERVAL_MS);
	}
	return NULL;
}

int
main (int argc, char **argv)
{
	static int entries[ENTRY_NODES] = {0, 1};
	stage_begin (argc, argv);
	stage_start_list ();
	stage_add_target ("i-a1", "members", "leixoes-a", handle);
	stage_add_target ("i-b1", "members", "matosinhos-b", handle);
	stage_add_target ("i-c1", "members", "maia-c", handle);
	stage_start_nodes (ENTRY_NODES);
	stage_begin_service (manifest, ENTRY_NODES);
	for (int i = 0; i < ENTRY_NODES; i++)
		stage_thread (send_requests, &entries[i]);

	if (stage_order (0, "POST", "/evacuation/leixoes-a/start", NULL) != 200)
		stage_end (CASE_NOT_RUN, "the first evacuation was not confirmed");
	stage_sleep_ms (3000);
	int64_t frozen_ms = stage_now_ms ();
	if (stage_has_trouble ())
		stage_signal (stage_control_node (FROZEN), SIGSTOP, "SIGSTOP");
	if (stage_order (FROZEN, "POST", "/evacuation/leixoes-a/end", NULL) != 200)
		stage_end (CASE_NOT_RUN, "the end of the evacuation was not confirmed");
	stage_sleep_ms (1000);
	if (stage_order (0, "POST", "/evacuation/leixoes-a/start", NULL) != 200)
		stage_end (CASE_NOT_RUN, "the second evacuation was not confirmed");
	atomic_store (&evacuated_ms, stage_now_ms ());
	stage_sleep_until (frozen_ms + FREEZE_MS);
	if (stage_has_trouble ())
		stage_signal (stage_control_node (FROZEN), SIGCONT, "SIGCONT");
	stage_sleep_until (evacuated_ms + EVACUATION_MS + OUTER_BOUND_MS + OBSERVE_MS);
	stage_record ("%d requests were answered with 200", atomic_load (&served));
	if (atomic_load (&served) < 100)
		stage_end (CASE_NOT_RUN, "too few requests were served");
	if (atomic_load (&late_arrivals) > 0)
		stage_end (CASE_BROKEN,
			"%d requests reached the zone over %d ms after its evacuation was "
			"confirmed, "
			"which nobody took back",
			atomic_load (&late_arrivals), EVACUATION_MS + OUTER_BOUND_MS);
	stage_end (CASE_HELD, "no request reached the evacuated zone");
}
