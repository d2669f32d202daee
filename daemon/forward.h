/**
 * @file forward.h
 * Carries out a caller's request: the shell of query/scatter.h.
 */
#pragma once

#include "daemon/front.h"
#include "platform/replies.h"

/** A caller's request under way. */
struct forward {
	struct cds_list_head node; /**< in front.forwards */
	struct front *front;
	struct ingress_request *request; /**< NULL once the caller left */
	bool held; /**< waits for the first view of a node that has just started */
	int64_t arrived_us;
	char host[256];
	size_t header_bytes; /**< of all headers that came */
	bool has_body;       /**< a length or a transfer coding was given */
	struct scatter scatter;
	struct caller_head head;
	struct timer timer;
	struct cds_list_head subs; /**< struct sub */
	char **lines;              /**< the caller's headers that are passed on */
	int line_count;
	char *body; /**< the caller's body; NULL: none */
	size_t body_len;
	char method[32];
	char *target;
};

/** A whole request came in. */
void
forward_request (struct ingress_request *request, void *user);

/** The node has a view now: starts what was held for it. */
void
forward_release_held (struct front *front);

/** The caller left before the answer. */
void
forward_left (struct ingress_request *request, void *user);

/** A request's timer came due. */
void
forward_timer_due (struct timer *timer);

/** Closes a target's connections, once it is known that they are of no use. */
void
forward_drop_connections (struct replica *replica);
