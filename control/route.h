/**
 * @file route.h
 * Where a control message goes, and the outbox that the I/O-free parts of control share.
 */
#pragma once

#include "control/wire.h"

enum route_kind {
	ROUTE_ADDRESS, /**< a peer address that this node connects to */
	ROUTE_REPLY,   /**< back over the link that a message came in on */
};

enum { ROUTE_ID_SIZE = 96 };

/** A destination. */
struct route {
	enum route_kind kind;
	uint8_t len;            /**< ROUTE_REPLY */
	char id[ROUTE_ID_SIZE]; /**< address text, or the link's routing id */
};

/** A message on its way out. */
struct outgoing {
	struct cds_list_head node;
	struct route route;
	struct wire wire;
};

/** Makes the route to a peer address. */
struct route
route_to_address (const char *address);

/** Appends a message to an outbox and takes what it owns over. */
void
outbox_add (struct cds_list_head *outbox, const struct route *route, const struct wire *wire);

/** Takes the first message; the caller calls wire_finish and free. NULL when empty. */
struct outgoing *
outbox_take (struct cds_list_head *outbox);
