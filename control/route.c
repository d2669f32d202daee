#include "control/route.h"

#include "core/buf.h"

struct peer_route
peer_route_to_address (const char *address)
{
	struct peer_route route = {.kind = PEER_ROUTE_ADDRESS};
	str_copy (route.id, sizeof (route.id), address);
	return route;
}

void
outbox_add (struct cds_list_head *outbox, const struct peer_route *route,
	const struct control_message *message)
{
	struct outgoing_message *outgoing = xcalloc (1, sizeof (*outgoing));
	outgoing->route = *route;
	outgoing->message = *message;
	cds_list_add_tail (&outgoing->node, outbox);
}

struct outgoing_message *
outbox_take (struct cds_list_head *outbox)
{
	if (cds_list_empty (outbox))
		return NULL;
	struct outgoing_message *outgoing =
		cds_list_entry (outbox->next, struct outgoing_message, node);
	cds_list_del (&outgoing->node);
	return outgoing;
}
