#include "daemon/orders.h"

#include "core/packed.h"
#include "daemon/control.h"
#include "platform/manifest.h"
#include "platform/orders.h"

#include <stdlib.h>
#include <string.h>

enum {
	ORDER_THREADS = 12,
	ORDER_MAX_BYTES = 8 * 1024 * 1024, /* thousands of routes fit */
};

static bool
put_routing (struct node *node, struct mg_connection *connection, struct error *error)
{
	struct buf body;
	buf_init (&body);
	struct command command = {.kind = COMMAND_ROUTING};
	bool ok = http_read_body (connection, ORDER_MAX_BYTES, &body, error);
	struct routing *routing = ok ? manifest_decode (body.data, body.len, error) : NULL;
	if (routing) {
		command.u.routing.version = routing->version;
		char *packed = packed_make (body.data, body.len, &command.u.routing.len);
		command.u.routing.document = packed;
		ok = control_order (node->control, &command, error);
		free (packed);
		log_event (&node->log, ok ? EVENT_ORDER_ACCEPTED : EVENT_ORDER_UNCONFIRMED,
			"routing version %llu, %d routes, %zu bytes",
			(unsigned long long)routing->version, routing->rule_count, body.len);
	} else {
		log_event (&node->log, EVENT_ORDER_REFUSED, "routing: %s", error->message);
	}
	routing_unref (routing);
	buf_finish (&body);
	return routing && ok;
}

static bool
set_leaving (struct node *node, const struct order *order, struct error *error)
{
	struct command command = {.kind = COMMAND_DATA_CENTRE_LEAVING};
	str_copy (command.u.leaving.data_centre, sizeof (command.u.leaving.data_centre),
		order->data_centre);
	command.u.leaving.leaving = order->kind == ORDER_LEAVE;
	bool ok = control_order (node->control, &command, error);
	log_event (&node->log, ok ? EVENT_ORDER_ACCEPTED : EVENT_ORDER_UNCONFIRMED,
		"data centre %s %s", order->data_centre,
		command.u.leaving.leaving ? "leaves" : "returns");
	return ok;
}

static bool
get_routing (struct node *node, struct mg_connection *connection, struct error *error)
{
	struct state_routing routing = {0};
	if (!control_read_routing (node->control, &routing, error))
		return false;
	if (routing.version == 0)
		return error_set (error, ERROR_UNAVAILABLE,
			"no routing has been accepted yet; send one first");
	size_t len = 0;
	char *document = packed_open (routing.document, routing.len, &len);
	free (routing.document);
	if (!document)
		return error_set (error, ERROR_DAMAGED,
			"the accepted routing cannot be decompressed; "
			"ask another node and report it");
	http_send_json (connection, 200, document, len);
	free (document);
	return true;
}

static int
handle (struct mg_connection *connection, void *user)
{
	struct node *node = user;
	const struct mg_request_info *info = mg_get_request_info (connection);
	struct order order;
	struct error error = {0};
	bool ok = false;
	order_decode (&order, info->request_method, info->local_uri);
	switch (order.kind) {
	case ORDER_PUT_ROUTING:
		ok = put_routing (node, connection, &error);
		break;
	case ORDER_GET_ROUTING:
		ok = get_routing (node, connection, &error);
		if (ok)
			return 1;
		break;
	case ORDER_LEAVE:
	case ORDER_RETURN:
		ok = set_leaving (node, &order, &error);
		break;
	case ORDER_UNKNOWN:
		error_set (&error, ERROR_NOT_FOUND, "no such order; see docs/interface.md");
		break;
	}
	if (ok)
		http_send_json (connection, 200, "{}", 2);
	else
		http_send_error (connection, &error);
	return 1;
}

struct mg_context *
orders_start (struct node *node, struct error *error)
{
	/* No keep-alive: a connection that an operator leaves open would occupy a thread. */
	struct mg_context *context = http_start (
		node, node->options.control_orders_address, ORDER_THREADS, false, error);
	if (context)
		mg_set_request_handler (context, "/", handle, node);
	return context;
}
