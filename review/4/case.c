/**
 * @file case.c
 * The operator sends a manifest in which one service has a long name. All of it is valid. The
 * system acknowledges it; its processes must go on.
 */
#include "../stage.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	ENTRY_NODES = 2,
	RESTART_MS = 500, /* a process that ends is started again after a short delay */
	OBSERVE_MS = 15000,
	ENDS_MAX = 2, /* Fault: three ends of their own in the day */
};

/* %d is the version, the strings are the name of the second service. */
static const char manifest_format[] =
	"{\"version\":%d,\"routes\":["
	"{\"name\":\"lookup\",\"host\":\"site.example\",\"path_prefix\":\"/lookup/\","
	"\"route_type\":\"idempotent\",\"timeout_ms\":1200,\"target_latency_ms\":80,"
	"\"priority\":2,\"max_attempts\":2,\"service\":\"members\"},"
	"{\"name\":\"dues\",\"host\":\"site.example\",\"path_prefix\":\"/dues/\","
	"\"route_type\":\"idempotent\",\"timeout_ms\":1200,\"target_latency_ms\":80,"
	"\"priority\":2,\"max_attempts\":2,\"service\":\"%s\"}],"
	"\"services\":[{\"name\":\"members\",\"health_path\":\"/health\",\"max_connections\":48},"
	"{\"name\":\"%s\",\"health_path\":\"/health\",\"max_connections\":48}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static const char short_name[] = "ledger";
/* 71 characters */
static const char long_name[] =
	"dues-and-invoices-of-the-hokkaido-kombucha-home-delivery-association-v2";

static bool
handle (struct stage_target *target, struct stage_request *request)
{
	static const char body[] = "household";
	stage_sleep_ms (10);
	return stage_reply (target, request, 200, body, strlen (body));
}

static void
format_manifest (char *out, size_t size, int version, const char *service)
{
	snprintf (out, size, manifest_format, version, service, service);
}

/* Notes the end of a process and starts it again. Returns true if it had ended by itself. */
static bool
restart_if_ended (struct stage_node *node, int64_t *ended_ms)
{
	int status = 0;
	if (node->pid > 0 && waitpid (node->pid, &status, WNOHANG) == node->pid) {
		stage_record ("%s ended by itself: %s %d", node->name,
			WIFSIGNALED (status) ? "signal" : "exit status",
			WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
		node->pid = 0;
		*ended_ms = stage_now_ms ();
		return true;
	}
	if (node->pid == 0 && stage_now_ms () >= *ended_ms + RESTART_MS)
		stage_start_node (node);
	return false;
}

int
main (int argc, char **argv)
{
	char manifest[2048];
	int ends[ENTRY_NODES] = {0};
	int64_t ended_ms[ENTRY_NODES] = {0};
	int served = 0;
	int unserved = 0;
	stage_begin (argc, argv);
	stage_start_list ();
	stage_add_target ("i-m1", "members", "leixoes-a", handle);
	stage_add_target ("i-m2", "members", "matosinhos-b", handle);
	stage_add_target ("i-m3", "members", "maia-c", handle);
	stage_start_nodes (ENTRY_NODES);
	format_manifest (manifest, sizeof (manifest), 7, short_name);
	stage_begin_service (manifest, ENTRY_NODES);
	format_manifest (
		manifest, sizeof (manifest), 12, stage_has_trouble () ? long_name : short_name);
	if (stage_order (0, "POST", "/config/replace", manifest) != 200)
		stage_end (CASE_HELD, "the manifest was not acknowledged");
	int64_t end_ms = stage_now_ms () + OBSERVE_MS;
	for (int i = 0; stage_now_ms () < end_ms; i++) {
		struct stage_answer answer;
		char id[32];
		int at = i % ENTRY_NODES;
		ends[at] += restart_if_ended (stage_entry_node (at), &ended_ms[at]);
		snprintf (id, sizeof (id), "r%06d", i);
		stage_request (
			stage_entry_node (at), "GET", "/lookup/17", id, 1200, NULL, 1700, &answer);
		served += answer.status == 200;
		unserved += answer.status != 200;
		stage_sleep_ms (50);
	}
	stage_record (
		"after the manifest: %d requests served, %d not served; the entry nodes ended "
		"by themselves %d and %d times",
		served, unserved, ends[0], ends[1]);
	if (ends[0] > ENDS_MAX && ends[1] > ENDS_MAX)
		stage_end (CASE_BROKEN, "both entry nodes ended by themselves, %d and %d times",
			ends[0], ends[1]);
	if (ends[0] + ends[1] == 0 && unserved == 0)
		stage_end (CASE_HELD, "no process ended and all requests were served");
	stage_end (CASE_HELD, "fewer than three ends of two processes");
}
