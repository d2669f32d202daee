/**
 * @file case.c
 * A target sends bytes that are no answer, and then its answer: an interim head that announces a
 * body. What callers get must be the body of the answer alone, or a failure.
 */
#include "../stage.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum {
	ENTRY_NODES = 2,
	REQUESTS = 900,
	SPOILED_EVERY = 33, /* x = 0.03 of the answers, as garble in the site file */
};

static const char manifest[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"lookup\",\"host\":\"site.example\",\"path_prefix\":\"/lookup/\","
	"\"route_type\":\"idempotent\",\"timeout_ms\":1200,\"target_latency_ms\":80,"
	"\"priority\":2,\"max_attempts\":2,\"service\":\"members\"}],"
	"\"services\":[{\"name\":\"members\",\"health_path\":\"/health\",\"max_connections\":48}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static const char sound_body[] = "household 17: nobody is suspended";

static bool
handle (struct stage_target *target, struct stage_request *request)
{
	stage_sleep_ms (10);
	return stage_reply (target, request, 200, sound_body, strlen (sound_body));
}

/* Some answers follow bytes that belong to no request. */
static bool
handle_or_spoil (struct stage_target *target, struct stage_request *request)
{
	static const char stray[] =
		"HTTP/1.1 100 Continue\r\nContent-Length: 23\r\n\r\nhousehold 99: suspended";
	static int count;
	if (stage_has_trouble () && count++ % SPOILED_EVERY == SPOILED_EVERY - 1) {
		stage_record ("%s sends stray bytes before its answer to %s", target->id,
			request->attempt_id);
		if (!stage_send (request->fd, stray, strlen (stray)))
			return false;
	}
	return handle (target, request);
}

int
main (int argc, char **argv)
{
	int wrong = 0;
	int right = 0;
	stage_begin (argc, argv);
	stage_start_list ();
	stage_add_target ("i-m1", "members", "leixoes-a", handle_or_spoil);
	stage_add_target ("i-m2", "members", "matosinhos-b", handle);
	stage_add_target ("i-m3", "members", "maia-c", handle);
	stage_start_nodes (ENTRY_NODES);
	stage_begin_service (manifest, ENTRY_NODES);
	for (int i = 0; i < REQUESTS; i++) {
		struct stage_answer answer;
		char id[32];
		snprintf (id, sizeof (id), "r%06d", i);
		stage_request (stage_entry_node (i % ENTRY_NODES), "GET", "/lookup/17", id, 1200,
			NULL, 1700, &answer);
		bool whole = answer.body_len == strlen (sound_body) &&
			     memcmp (answer.body, sound_body, answer.body_len) == 0;
		stage_record ("%s: status %d, stamp %s, body \"%s\"", id, answer.status,
			answer.has_stamp ? "yes" : "no", answer.body);
		right += answer.status == 200 && whole;
		wrong += answer.status == 200 && !whole;
		stage_sleep_ms (5);
	}
	stage_record (
		"%d successes with the target's whole body, %d with another one", right, wrong);
	if (right == 0)
		stage_end (CASE_NOT_RUN, "no request was served");
	if (wrong > 0)
		stage_end (CASE_BROKEN, "%d successes had a body that is not the target's", wrong);
	stage_end (CASE_HELD, "each success had the target's whole body");
}
