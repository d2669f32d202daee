/**
 * @file route.h
 * Destinations of control messages, and the outbox in which the state machines of control queue
 * them. No I/O: the daemon takes the messages out and sends them.
 */
#pragma once

#include "control/wire.h"

enum peer_route_kind {
	PEER_ROUTE_ADDRESS, /**< a peer address that this node connects to */
	PEER_ROUTE_REPLY,   /**< the link on which the message to reply to arrived */
};

enum { PEER_ROUTE_ID_SIZE = 96 };

/** The destination of a message to a peer. */
struct peer_route {
	enum peer_route_kind kind;
	uint8_t len;                 /**< PEER_ROUTE_REPLY: bytes used in id */
	char id[PEER_ROUTE_ID_SIZE]; /**< peer address, or routing id of the link */
};

/** A queued message. */
struct outgoing_message {
	struct cds_list_head node;
	struct peer_route route;
	struct control_message message;
};

/** Returns the route to a peer address. */
struct peer_route
peer_route_to_address (const char *address);

/** Appends a message to an outbox; the outbox then owns what @p message owns. */
void
outbox_add (struct cds_list_head *outbox, const struct peer_route *route,
	const struct control_message *message);

/**
 * Removes the first message from an outbox; the caller calls control_message_finish and free on it.
 * @return NULL when the outbox is empty.
 */
struct outgoing_message *
outbox_take (struct cds_list_head *outbox);
