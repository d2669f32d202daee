#include "daemon/orders.h"

#include "core/packed.h"
#include "daemon/control.h"
#include "daemon/http.h"
#include "daemon/order_caller.h"
#include "platform/manifest.h"
#include "platform/orders.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	ORDER_MAX_CONNECTIONS = 64,
	ORDER_MAX_BYTES = 8 * 1024 * 1024, /* thousands of routes fit */
	ORDER_IDLE_TIMEOUT_S = 30,
	ORDER_POLL_MS = 10,
	/* Orders in progress end after their own timeout; this also covers writing the answers. */
	ORDER_STOP_TIMEOUT_US = 1500000,
};

#define ORDER_STALE_TEXT                                                                           \
	"the order was read long after its connection was opened, or the connection was closed; "  \
	"send it again, to any node"

/** A call while it is received and handled. */
struct order_call {
	struct buf body;
	bool too_large;
	bool counted; /* in orders.in_progress */
};

static void
sleep_ms (long ms)
{
	struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
	nanosleep (&ts, NULL);
}

static bool
put_routing (struct orders *orders, const struct order_call *call, struct error *error)
{
	struct command command = {.kind = COMMAND_ROUTING};
	struct routing *routing =
		manifest_accept (call->body.len ? call->body.data : "", call->body.len, error);
	bool ok = false;
	if (!routing) {
		log_event (&orders->log, EVENT_ORDER_REFUSED, "routing: %s", error->message);
		return false;
	}
	command.u.routing.version = routing->version;
	char *packed = packed_make (call->body.data, call->body.len, &command.u.routing.len);
	command.u.routing.document = packed;
	ok = control_order (orders->node->control, &command, CONTROL_ORDER_TIMEOUT_US, error) ==
	     CONTROL_ORDER_ACCEPTED;
	free (packed);
	log_event (&orders->log, ok ? EVENT_ORDER_ACCEPTED : EVENT_ORDER_UNCONFIRMED,
		"routing version %llu, %d routes, %zu bytes", (unsigned long long)routing->version,
		routing->rule_count, call->body.len);
	routing_unref (routing);
	return ok;
}

/* Waits until this node has applied a revision, or until the time is up. */
static void
wait_for_revision (struct node *node, uint64_t revision, int64_t end_us)
{
	while (control_revision (node->control, revision) < revision &&
		clock_now_us (&node->clock) < end_us)
		sleep_ms (ORDER_POLL_MS);
}

/*
 * The revision is read before the check that the operator waits: an order that the operator gives
 * after this one then has a newer revision.
 */
static bool
set_leaving (struct orders *orders, struct MHD_Connection *connection, const struct order *order,
	struct error *error)
{
	struct node *node = orders->node;
	struct command command = {.kind = COMMAND_DATA_CENTRE_LEAVING};
	struct command_data_centre_leaving *leaving = &command.u.leaving;
	const char *action = order->kind == ORDER_LEAVE ? "leaves" : "returns";
	int64_t end_us = clock_now_us (&node->clock) + CONTROL_ORDER_TIMEOUT_US;
	int64_t left_us = CONTROL_ORDER_TIMEOUT_US;
	str_copy (leaving->data_centre, sizeof (leaving->data_centre), order->data_centre);
	leaving->leaving = order->kind == ORDER_LEAVE;
	while (left_us > 0) {
		leaving->revision = control_revision (node->control, 0);
		if (order_caller_has_left (connection, &node->clock)) {
			log_event (&orders->log, EVENT_ORDER_STALE,
				"data centre %s %s: the operator has left or may have, revision "
				"%llu",
				order->data_centre, action, (unsigned long long)leaving->revision);
			return error_set (error, ERROR_UNAVAILABLE, ORDER_STALE_TEXT);
		}
		if (leaving->revision == 0)
			return error_set (error, ERROR_UNAVAILABLE,
				"this node has just started; send the order again, to any node");
		switch (control_order (node->control, &command, left_us, error)) {
		case CONTROL_ORDER_ACCEPTED:
			log_event (&orders->log, EVENT_ORDER_ACCEPTED, "data centre %s %s",
				order->data_centre, action);
			return true;
		case CONTROL_ORDER_CONFLICT:
		case CONTROL_ORDER_UNCONFIRMED:
			left_us = 0;
			break;
		case CONTROL_ORDER_SUPERSEDED:
			/* This node lagged behind a newer order; the operator waits for this one.
			 */
			wait_for_revision (node, leaving->revision + 1, end_us);
			left_us = end_us - clock_now_us (&node->clock);
			break;
		}
	}
	log_event (&orders->log, EVENT_ORDER_UNCONFIRMED, "data centre %s %s", order->data_centre,
		action);
	return false;
}

static bool
declares_service (const struct state_routing *accepted, const char *service)
{
	struct error error = {0};
	size_t len = 0;
	char *document =
		accepted->version ? packed_open (accepted->document, accepted->len, &len) : NULL;
	struct routing *routing = document ? manifest_decode (document, len, &error) : NULL;
	bool found = routing && routing_find_service (routing, service) >= 0;
	if (routing)
		routing_unref (routing);
	free (document);
	return found;
}

/* A service that this node does not know may have been declared just now. */
static bool
check_service (struct orders *orders, const char *service, struct error *error)
{
	struct control *control = orders->node->control;
	struct state_routing routing = {0};
	control_local_routing (control, &routing);
	bool found = declares_service (&routing, service);
	free (routing.document);
	if (found)
		return true;
	if (!control_read_routing (control, &routing, error))
		return false;
	found = declares_service (&routing, service);
	free (routing.document);
	return found || error_set (error, ERROR_NOT_FOUND,
				"service %.200s is not declared; declare it first", service);
}

/* As set_leaving: the operator of an order that is read late may have given newer ones. */
static bool
propose_rollout (struct orders *orders, struct MHD_Connection *connection, struct command *command,
	int64_t end_us, struct error *error)
{
	struct node *node = orders->node;
	struct rollout_order *order = &command->u.rollout;
	int64_t left_us = end_us - clock_now_us (&node->clock);
	error_set (error, ERROR_UNAVAILABLE,
		"no majority confirmed the order in time; send it again, to any node");
	while (left_us > 0) {
		order->revision = control_revision (node->control, 0);
		if (order_caller_has_left (connection, &node->clock))
			return error_set (error, ERROR_UNAVAILABLE, ORDER_STALE_TEXT);
		if (order->revision == 0)
			return error_set (error, ERROR_UNAVAILABLE,
				"this node has just started; send the order again, to any node");
		switch (control_order (node->control, command, left_us, error)) {
		case CONTROL_ORDER_ACCEPTED:
			return true;
		case CONTROL_ORDER_UNCONFIRMED:
			return false;
		case CONTROL_ORDER_CONFLICT:
			return error_set (error, ERROR_CONFLICT,
				"another roll-out of the service is active; wait for its end");
		case CONTROL_ORDER_SUPERSEDED:
			wait_for_revision (node, order->revision + 1, end_us);
			left_us = end_us - clock_now_us (&node->clock);
			break;
		}
	}
	return false;
}

static bool
start_rollout (struct orders *orders, struct MHD_Connection *connection,
	const struct order_call *call, struct error *error)
{
	struct command command = {.kind = COMMAND_ROLLOUT_START};
	struct rollout_order *order = &command.u.rollout;
	int64_t end_us = clock_now_us (&orders->node->clock) + CONTROL_ORDER_TIMEOUT_US;
	if (!order_decode_rollout (
		    order, call->body.len ? call->body.data : "", call->body.len, error)) {
		log_event (&orders->log, EVENT_ORDER_REFUSED, "roll-out: %s", error->message);
		return false;
	}
	bool ok = check_service (orders, order->service, error) &&
		  propose_rollout (orders, connection, &command, end_us, error);
	enum log_event event = ok ? EVENT_ORDER_ACCEPTED : EVENT_ORDER_UNCONFIRMED;
	if (!ok && error->kind != ERROR_UNAVAILABLE)
		event = EVENT_ORDER_REFUSED;
	log_event (&orders->log, event, "roll-out of %s to %s in %lld ms%s%s", order->service,
		order->version, (long long)order->duration_ms, ok ? "" : ": ",
		ok ? "" : error->message);
	return ok;
}

static enum MHD_Result
answer (struct MHD_Connection *connection, int status, char *text, size_t len)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer (len, text, MHD_RESPMEM_MUST_FREE);
	if (!response)
		return MHD_NO;
	MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
	/* A connection that an operator leaves open would occupy a thread. */
	MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
	if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
		MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, HTTP_RETRY_AFTER_S);
	enum MHD_Result result = MHD_queue_response (connection, (unsigned)status, response);
	MHD_destroy_response (response);
	return result;
}

static enum MHD_Result
answer_error (struct MHD_Connection *connection, const struct error *error)
{
	char *text = http_error_text (error);
	return answer (connection, error_http_status (error->kind), text, strlen (text));
}

static enum MHD_Result
get_routing (struct orders *orders, struct MHD_Connection *connection)
{
	struct state_routing routing = {0};
	struct error error = {0};
	size_t len = 0;
	if (!control_read_routing (orders->node->control, &routing, &error))
		return answer_error (connection, &error);
	if (routing.version == 0) {
		error_set (&error, ERROR_UNAVAILABLE,
			"no routing has been accepted yet; send one first");
		return answer_error (connection, &error);
	}
	char *document = packed_open (routing.document, routing.len, &len);
	free (routing.document);
	if (document)
		return answer (connection, MHD_HTTP_OK, document, len);
	error_set (&error, ERROR_DAMAGED,
		"the accepted routing cannot be decompressed; ask another node and report it");
	return answer_error (connection, &error);
}

static enum MHD_Result
get_rollout (struct orders *orders, struct MHD_Connection *connection, const char *service)
{
	struct rollout rollout;
	struct error error = {0};
	if (!control_read_rollout (orders->node->control, service, &rollout, &error))
		return answer_error (connection, &error);
	char *text = order_encode_rollout_state (&rollout);
	return answer (connection, MHD_HTTP_OK, text, strlen (text));
}

static enum MHD_Result
handle (struct orders *orders, struct MHD_Connection *connection, const char *path,
	const char *method, const struct order_call *call)
{
	struct order order;
	struct error error = {0};
	bool ok = false;
	order_decode (&order, method, path);
	if (call->too_large) {
		error_set (&error, ERROR_TOO_LARGE, "the body is larger than %d bytes; send less",
			ORDER_MAX_BYTES);
		return answer_error (connection, &error);
	}
	switch (order.kind) {
	case ORDER_PUT_ROUTING:
		ok = put_routing (orders, call, &error);
		break;
	case ORDER_GET_ROUTING:
		return get_routing (orders, connection);
	case ORDER_LEAVE:
	case ORDER_RETURN:
		ok = set_leaving (orders, connection, &order, &error);
		break;
	case ORDER_START_ROLLOUT:
		ok = start_rollout (orders, connection, call, &error);
		break;
	case ORDER_GET_ROLLOUT:
		return get_rollout (orders, connection, order.service);
	case ORDER_BAD_NAME:
		log_event (&orders->log, EVENT_ORDER_REFUSED, "name of a data centre");
		error_set (&error, ERROR_INVALID,
			"the name of the data centre has over %d bytes or is no plain text",
			DATA_CENTRE_NAME_MAX);
		break;
	case ORDER_UNKNOWN:
		error_set (&error, ERROR_NOT_FOUND, "no such order; see docs/interface.md");
		break;
	}
	return ok ? answer (connection, MHD_HTTP_OK, xstrdup ("{}"), 2)
		  : answer_error (connection, &error);
}

static enum MHD_Result
refuse (struct MHD_Connection *connection)
{
	struct error error = {0};
	error_set (&error, ERROR_UNAVAILABLE,
		"this node is stopping and did nothing; send the order again, to another node");
	return answer_error (connection, &error);
}

static enum MHD_Result
on_request (void *user, struct MHD_Connection *connection, const char *path, const char *method,
	const char *version, const char *data, size_t *len, void **context)
{
	struct orders *orders = user;
	struct order_call *call = *context;
	(void)version;
	if (!call) {
		call = xcalloc (1, sizeof (*call));
		buf_init (&call->body);
		*context = call;
		return MHD_YES;
	}
	if (*len > 0) {
		call->too_large = call->too_large || call->body.len + *len > ORDER_MAX_BYTES;
		if (!call->too_large)
			buf_add (&call->body, data, *len);
		*len = 0;
		return MHD_YES;
	}
	call->counted = true;
	atomic_fetch_add (&orders->in_progress, 1);
	if (atomic_load (&orders->refusing))
		return refuse (connection);
	return handle (orders, connection, path, method, call);
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **context,
	enum MHD_RequestTerminationCode code)
{
	struct orders *orders = user;
	struct order_call *call = *context;
	(void)connection;
	(void)code;
	if (!call)
		return;
	if (call->counted)
		atomic_fetch_sub (&orders->in_progress, 1);
	buf_finish (&call->body);
	free (call);
	*context = NULL;
}

bool
orders_start (struct orders *orders, struct node *node, struct error *error)
{
	struct listener *listener = &node->ports.listeners[PORT_ORDERS];
	orders->node = node;
	orders->log = node->log;
	orders->daemon = MHD_start_daemon (
		MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_ITC, 0, NULL,
		NULL, on_request, orders, MHD_OPTION_LISTEN_SOCKET, listener->fd,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, orders, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)ORDER_MAX_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned)ORDER_IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_CONNECTION, order_caller_notify,
		&node->clock, MHD_OPTION_END);
	if (!orders->daemon)
		return error_set (error, ERROR_IO,
			"%s %s: the server cannot start; raise the limits of memory and threads",
			listener->setting, listener->address);
	listener->fd = -1;
	return true;
}

bool
orders_stop (struct orders *orders, int64_t until_us)
{
	if (!orders->daemon)
		return true;
	struct clock *clock = &orders->node->clock;
	atomic_store (&orders->refusing, true);
	int fd = MHD_quiesce_daemon (orders->daemon);
	if (fd >= 0)
		close (fd);
	int64_t timeout_us = clock_now_us (clock) + ORDER_STOP_TIMEOUT_US;
	int64_t end_us = timeout_us < until_us ? timeout_us : until_us;
	while (atomic_load (&orders->in_progress) > 0 && clock_now_us (clock) < end_us)
		sleep_ms (ORDER_POLL_MS);
	/* MHD_stop_daemon would wait for the threads of orders that are not answered. */
	if (atomic_load (&orders->in_progress) > 0)
		return false;
	MHD_stop_daemon (orders->daemon);
	orders->daemon = NULL;
	return true;
}
