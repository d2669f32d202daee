/**
 * @file route.h
 * Where a control message goes, and the outbox that the I/O-free parts of control share.
 */
#pragma once

#include "control/wire.h"

enum peer_route_kind {
	PEER_ROUTE_ADDRESS, /**< a peer address that this node connects to */
	PEER_ROUTE_REPLY,   /**< back over the link that a message came in on */
};

enum { PEER_ROUTE_ID_SIZE = 96 };

/** A destination. */
struct peer_route {
	enum peer_route_kind kind;
	uint8_t len;                 /**< PEER_ROUTE_REPLY */
	char id[PEER_ROUTE_ID_SIZE]; /**< address text, or the link's routing id */
};

/** A message on its way out. */
struct outgoing_message {
	struct cds_list_head node;
	struct peer_route route;
	struct wire wire;
};

/** Makes the route to a peer address. */
struct peer_route
peer_route_to_address (const char *address);

/** Appends a message to an outbox and takes what it owns over. */
void
outbox_add (struct cds_list_head *outbox, const struct peer_route *route, const struct wire *wire);

/** Takes the first message; the caller calls wire_finish and free. NULL when empty. */
struct outgoing_message *
outbox_take (struct cds_list_head *outbox);
