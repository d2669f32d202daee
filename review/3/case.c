/**
 * @file case.c
 * One target of one service answers with interim heads without end, until its caller closes.
 * Requests on the route of another service, whose targets are sound, must still be answered.
 */
#include "../stage.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	ENTRY_NODES = 2,
	TIMEOUT_MS = 1200, /* timeout_ms of both routes */
	SLACK_MS = 500,    /* CONFIG: half a second after timeout_ms */
	CALLERS = 4,       /* of each entry node and route */
	WARM_UP_MS = 3000,
	TROUBLE_MS = 15000,
	FLOOD_BYTES = 1048576,
	HEAD_BYTES = 16000,         /* of one interim head */
	LINK_BYTES_PER_MS = 125000, /* 1,000 Mbit/s */
	MIN_OVERDUE = 20,           /* fewer unanswered requests say nothing */
};

static const char manifest[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"lookup\",\"host\":\"site.example\",\"path_prefix\":\"/lookup/\","
	"\"route_type\":\"idempotent\",\"timeout_ms\":1200,\"target_latency_ms\":80,"
	"\"priority\":2,\"max_attempts\":2,\"service\":\"members\"},"
	"{\"name\":\"dues\",\"host\":\"site.example\",\"path_prefix\":\"/dues/\","
	"\"route_type\":\"idempotent\",\"timeout_ms\":1200,\"target_latency_ms\":80,"
	"\"priority\":2,\"max_attempts\":2,\"service\":\"ledger\"}],"
	"\"services\":[{\"name\":\"members\",\"health_path\":\"/health\",\"max_connections\":48},"
	"{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_connections\":48}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static atomic_bool is_trouble;
static _Atomic int floods;
static _Atomic int64_t flooded; /* bytes */
static int64_t flood_began_ms;
static _Atomic int answered;         /* on the route of the sound service, in the trouble */
static _Atomic int overdue_at_limit; /* without an answer at timeout_ms */
static _Atomic int overdue_later;    /* without an answer half a second later */

static bool
handle (struct stage_target *target, struct stage_request *request)
{
	static const char body[] = "household";
	stage_sleep_ms (10);
	return stage_reply (target, request, 200, body, strlen (body));
}

/* Fills a block with interim heads of many short header lines, each below usual limits of a head.
 */
static size_t
fill_block (char *block, size_t size)
{
	static const char first[] = "HTTP/1.1 100 Continue\r\n";
	static const char line[] = "a:b\r\n";
	size_t at = 0;
	while (at + HEAD_BYTES < size) {
		size_t end = at + HEAD_BYTES;
		memcpy (block + at, first, sizeof (first) - 1);
		at += sizeof (first) - 1;
		for (; at + sizeof (line) + 2 < end; at += sizeof (line) - 1)
			memcpy (block + at, line, sizeof (line) - 1);
		block[at++] = '\r';
		block[at++] = '\n';
	}
	return at;
}

/*
 * Sends bytes that are no answer until the caller closes, at the rate of the targets' links at
 * most.
 */
static bool
flood (const struct stage_request *request)
{
	static char block[FLOOD_BYTES];
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	int64_t began_ms = stage_now_ms ();
	int64_t sent = 0;
	pthread_mutex_lock (&lock);
	size_t filled = fill_block (block, sizeof (block));
	pthread_mutex_unlock (&lock);
	int number = atomic_fetch_add (&floods, 1);
	if (number < 10)
		stage_record ("the target in trouble answers %s with interim heads without end",
			request->attempt_id);
	while (stage_send (request->fd, block, filled)) {
		sent += (int64_t)filled;
		/* All connections of the target share its link. */
		int64_t total = atomic_fetch_add (&flooded, (int64_t)filled) + (int64_t)filled;
		stage_sleep_until (flood_began_ms + total / LINK_BYTES_PER_MS);
	}
	if (number < 10)
		stage_record ("the caller of %s closed after %lld ms and %lld MB",
			request->attempt_id, (long long)(stage_now_ms () - began_ms),
			(long long)(sent >> 20));
	return false;
}

static bool
handle_or_flood (struct stage_target *target, struct stage_request *request)
{
	if (atomic_load (&is_trouble) && stage_has_trouble ())
		return flood (request);
	return handle (target, request);
}

struct caller {
	int entry;
	int number;
	const char *path;
	bool sound; /* the route of the sound service */
};

static void *
send_requests (void *user)
{
	const struct caller *caller = user;
	for (int i = 0;; i++) {
		struct stage_answer answer;
		char id[48];
		snprintf (id, sizeof (id), "c%d-%06d", caller->number, i);
		bool counts = caller->sound && atomic_load (&is_trouble);
		int64_t began_ms = stage_now_ms ();
		/* The caller itself would wait longer than the route's timeout. */
		stage_request (stage_entry_node (caller->entry), "GET", caller->path, id, 4000,
			NULL, TIMEOUT_MS + SLACK_MS, &answer);
		int64_t took_ms = stage_now_ms () - began_ms;
		if (counts && answer.status > 0)
			atomic_fetch_add (&answered, 1);
		if (counts && took_ms >= TIMEOUT_MS)
			atomic_fetch_add (&overdue_at_limit, 1);
		if (counts && took_ms >= TIMEOUT_MS && answer.status <= 0) {
			if (atomic_fetch_add (&overdue_later, 1) < 5)
				stage_record ("%s %s at entry-%d: no answer after %lld ms", id,
					caller->path, caller->entry, (long long)took_ms);
		}
		stage_sleep_ms (40);
	}
	return NULL;
}

static void
start_callers (const char *path, bool sound)
{
	static int number;
	for (int i = 0; i < ENTRY_NODES * CALLERS; i++) {
		struct caller *caller = calloc (1, sizeof (*caller));
		*caller = (struct caller){i % ENTRY_NODES, number++, path, sound};
		stage_thread (send_requests, caller);
	}
}

int
main (int argc, char **argv)
{
	stage_begin (argc, argv);
	stage_start_list ();
	stage_add_target ("i-m1", "members", "leixoes-a", handle);
	stage_add_target ("i-m2", "members", "matosinhos-b", handle);
	stage_add_target ("i-m3", "members", "maia-c", handle);
	stage_add_target ("i-l1", "ledger", "leixoes-a", handle_or_flood);
	stage_add_target ("i-l2", "ledger", "matosinhos-b", handle);
	stage_add_target ("i-l3", "ledger", "maia-c", handle);
	stage_start_nodes (ENTRY_NODES);
	stage_begin_service (manifest, ENTRY_NODES);
	start_callers ("/lookup/17", true);
	start_callers ("/dues/17", false);
	stage_sleep_ms (WARM_UP_MS);
	stage_record ("trouble begins");
	flood_began_ms = stage_now_ms ();
	atomic_store (&is_trouble, true);
	stage_sleep_ms (TROUBLE_MS);
	int limit = atomic_load (&overdue_at_limit);
	int later = atomic_load (&overdue_later);
	stage_record (
		"sound service, while one target of the other was in trouble: %d answered, %d "
		"unanswered at timeout_ms, %d of these half a second later",
		atomic_load (&answered), limit, later);
	if (stage_has_trouble () && atomic_load (&floods) == 0)
		stage_end (CASE_NOT_RUN, "no request reached the target in trouble");
	if (limit >= MIN_OVERDUE && later * 2 > limit)
		stage_end (CASE_BROKEN,
			"%d of the %d requests unanswered at their route's timeout_ms had no "
			"answer "
			"half a second later",
			later, limit);
	stage_end (CASE_HELD, "requests were answered within their route's timeout");
}
