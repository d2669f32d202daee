#include "daemon/callers.h"

#include "control/ledger.h"
#include "core/metrics.h"
#include "daemon/worker.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum { MAX_SEGMENTS = 6, SEGMENT_SIZE = 64, MAX_DEADLINE_MS = 600000 };

/** A call while the filters process it. */
struct call {
	struct node *node;
	struct mg_connection *connection;
	char segments[MAX_SEGMENTS][SEGMENT_SIZE];
	int segment_count;
	struct buf body;
	bool admitted;
	struct request request;
};

enum filter_verdict {
	FILTER_NEXT,  /* continue with the next filter */
	FILTER_ERROR, /* stop and send call.request.error */
};

static enum filter_verdict
refuse (struct call *call, enum error_kind kind, const char *message)
{
	error_set (&call->request.error, kind, "%s", message);
	return FILTER_ERROR;
}

static bool
has_method (const struct call *call, const char *method)
{
	return strcmp (mg_get_request_info (call->connection)->request_method, method) == 0;
}

static bool
segment_is (const struct call *call, int index, const char *segment)
{
	return index < call->segment_count && strcmp (call->segments[index], segment) == 0;
}

/* Refuses calls that come once other nodes can be reached and this one is about to close. */
static enum filter_verdict
filter_stopping (struct call *call)
{
	if (!atomic_load (&call->node->refusing_calls))
		return FILTER_NEXT;
	metric_add (METRIC_REFUSED, 1);
	mg_disable_connection_keep_alive (call->connection);
	return refuse (call, ERROR_STOPPING,
		"this node is stopping and ran nothing; send the request to another node");
}

/* Determines the kind of request from path and method. */
static enum filter_verdict
filter_route (struct call *call)
{
	call->segment_count = http_split_path (call->connection, call->segments, MAX_SEGMENTS);
	if (segment_is (call, 1, "collections") && segment_is (call, 3, "query") &&
		call->segment_count == 4 && has_method (call, "POST"))
		call->request.kind = REQUEST_QUERY;
	else if (segment_is (call, 1, "collections") && segment_is (call, 3, "entries") &&
		 call->segment_count == 5 && has_method (call, "GET"))
		call->request.kind = REQUEST_LOOKUP;
	else if (segment_is (call, 1, "services") && segment_is (call, 3, "once") &&
		 call->segment_count == 4 && has_method (call, "POST"))
		call->request.kind = REQUEST_ONCE;
	else
		return refuse (call, ERROR_NOT_FOUND,
			"no such call; see docs/interface.md for the paths and methods");
	str_copy (call->request.name, sizeof (call->request.name), call->segments[2]);
	return FILTER_NEXT;
}

static bool
parse_deadline (struct call *call)
{
	const char *header = mg_get_header (call->connection, "X-Deadline-Ms");
	char *end = NULL;
	if (!header)
		return true;
	long ms = strtol (header, &end, 10);
	if (end == header || *end != '\0' || ms < 1 || ms > MAX_DEADLINE_MS)
		return false;
	call->request.deadline_us = clock_now_us (&call->node->clock) + ms * US_PER_MS;
	return true;
}

/* Validates the name, the headers and the body. */
static enum filter_verdict
filter_parse (struct call *call)
{
	struct request *request = &call->request;
	if (!resource_name_valid (request->name))
		return refuse (
			call, ERROR_INVALID, "the name in the path is malformed; correct it");
	if (!parse_deadline (call))
		return refuse (call, ERROR_INVALID, "X-Deadline-Ms must be 1 to 600000");
	if (request->kind == REQUEST_LOOKUP) {
		request->key = call->segments[4];
		return resource_name_valid (request->key)
			       ? FILTER_NEXT
			       : refuse (call, ERROR_INVALID, "the key is malformed; correct it");
	}
	if (!http_read_body (call->connection, call->node->options.query_max_body, &call->body,
		    &request->error))
		return FILTER_ERROR;
	json_t *body = json_loadb (call->body.data, call->body.len, 0, NULL);
	if (!body)
		return refuse (call, ERROR_INVALID, "the body is not a JSON document; correct it");
	json_decref (body);
	request->body = call->body.data;
	request->body_len = call->body.len;
	if (request->kind == REQUEST_ONCE)
		request->idempotency_key = mg_get_header (call->connection, "Idempotency-Key");
	if (request->idempotency_key && (strlen (request->idempotency_key) > LEDGER_KEY_MAX ||
						request->idempotency_key[0] == '\0'))
		return refuse (
			call, ERROR_INVALID, "Idempotency-Key must have 1 to 127 characters");
	return FILTER_NEXT;
}

/* Limits the requests in flight to what the targets have been observed to handle. */
static enum filter_verdict
filter_admit (struct call *call)
{
	call->admitted = admission_enter (&call->node->admission);
	if (call->admitted)
		return FILTER_NEXT;
	metric_add (METRIC_REFUSED, 1);
	return refuse (call, ERROR_OVERLOADED,
		"this node has as many requests in flight as the targets can handle and ran "
		"nothing; retry later");
}

/* Runs the request on a worker: plan, fan-out and merge. */
static enum filter_verdict
filter_run (struct call *call)
{
	worker_run_request (call->node, &call->request);
	return call->request.error.kind == ERROR_NONE ? FILTER_NEXT : FILTER_ERROR;
}

static enum filter_verdict
filter_answer (struct call *call)
{
	const struct request *request = &call->request;
	http_send_json (
		call->connection, request->http_status, request->answer.data, request->answer.len);
	return FILTER_NEXT;
}

static enum filter_verdict (*const chain[]) (struct call *) = {
	filter_stopping, filter_route, filter_parse, filter_admit, filter_run, filter_answer};

static int
handle_call (struct mg_connection *connection, void *user)
{
	struct call *call = xcalloc (1, sizeof (*call));
	call->node = user;
	call->connection = connection;
	atomic_fetch_add (&call->node->calls, 1);
	buf_init (&call->body);
	buf_init (&call->request.answer);
	call->request.load_signal = ADMISSION_NEUTRAL;
	for (size_t i = 0; i < sizeof (chain) / sizeof (chain[0]); i++) {
		if (chain[i](call) == FILTER_ERROR) {
			http_send_error (connection, &call->request.error);
			break;
		}
	}
	if (call->admitted)
		admission_leave (&call->node->admission, call->request.load_signal,
			clock_now_us (&call->node->clock));
	buf_finish (&call->body);
	buf_finish (&call->request.answer);
	atomic_fetch_sub (&call->node->calls, 1);
	free (call);
	return 1;
}

/* The load balancer probes this, so that it uses other nodes before this one stops serving. */
static int
handle_ready (struct mg_connection *connection, void *user)
{
	struct node *node = user;
	bool ready = node_has_lease (node) && !node_is_leaving (node);
	const char *text = ready ? "{\"ready\":true}" : "{\"ready\":false}";
	http_send_json (connection, ready ? 200 : 503, text, strlen (text));
	return 1;
}

static int
handle_health (struct mg_connection *connection, void *user)
{
	(void)user;
	static const char text[] = "{\"healthy\":true}";
	http_send_json (connection, 200, text, strlen (text));
	return 1;
}

struct mg_context *
callers_start (struct node *node, struct error *error)
{
	struct mg_context *context = http_start (node, node->options.node_caller_address,
		(int)node->options.node_http_threads, true, error);
	if (!context)
		return NULL;
	mg_set_request_handler (context, "/v1/", handle_call, node);
	mg_set_request_handler (context, "/ready", handle_ready, node);
	mg_set_request_handler (context, "/health", handle_health, node);
	return context;
}
