/**
 * @file forward.h
 * The I/O layer of query/scatter.h: receives a caller's request on a declared route, sends its
 * sub-requests to targets and answers the caller, all on the front's thread.
 */
#pragma once

#include "daemon/front.h"
#include "platform/replies.h"

/** A caller's request, held or in flight. */
struct forward {
	struct cds_list_head node; /**< in front.forwards */
	struct front *front;
	struct ingress_request *request; /**< NULL once the caller has left */
	bool held; /**< waits for a view, as the node has just started, or for a token */
	int64_t arrived_us;
	int account;               /**< index in the accounts of its routing; -1: none */
	struct quota_ask ask;      /**< for a token of its account; without an entry: none */
	struct question *question; /**< to another node, for which it waits; NULL: none */
	char host[256];
	size_t header_bytes; /**< size of all headers received */
	bool has_body;       /**< a length or a transfer coding was sent */
	struct scatter scatter;
	struct caller_head head;
	struct timer timer;
	struct cds_list_head subs;    /**< struct sub */
	struct cds_list_head batches; /**< struct sent_batch */
	struct served_batch *served;  /**< owned; NULL for a request of a caller */
	char **lines;                 /**< the caller's headers that are forwarded to targets */
	int line_count;
	struct payload *body; /**< the caller's; NULL: none */
	size_t kept_bytes;    /**< of replies, counted in front.kept */
	char method[32];
	char *uri; /**< path and query, as the caller sent them */
};

/** Handles a complete request of a caller. */
void
forward_request (struct ingress_request *request, void *user);

/** Prepares an empty forward. */
void
forward_init (struct forward *forward, struct front *front);

/** Adds a header line that is sent to targets, and takes ownership of its text. */
void
forward_add_line (struct forward *forward, char *line);

/** Counts a forward as in flight and sets its timer. */
void
forward_begin (struct forward *forward, struct ingress_request *request);

/** Makes a request that was not started wait, until its timer is due at the latest. */
void
forward_hold (struct forward *forward, struct ingress_request *request, int64_t until_us);

/** Takes a held request out of the list, to be started or refused. */
struct ingress_request *
forward_take_held (struct forward *forward);

/** Routes a held request again, by the routing that is now in force. */
void
forward_resume (struct forward *forward);

/** Frees a forward that was not started; its request is still to be answered. */
void
forward_free_unstarted (struct forward *forward);

/** Sets the timer of a forward for its next hedge, decision or timeout. */
void
forward_set_timer (struct forward *forward);

/** Ends a forward; its sub-requests continue for a short time without it. */
void
forward_free (struct forward *forward);

/** What a forward does for its scatter. */
extern const struct scatter_hooks forward_hooks;

/** Starts the held requests if the node has a view. */
void
forward_release_held (struct front *front);

/** Refuses the requests of which nothing was sent to a target. */
void
forward_refuse_unsent (struct front *front);

/**
 * Answers all requests in flight with what is known, since this node stops.
 * @return their number
 */
int
forward_end_all (struct front *front);

/** Ends a request whose caller has left before the answer. */
void
forward_caller_left (struct ingress_request *request, void *user);

/** Handles the expiry of a request's timer. */
void
forward_timer_due (struct timer *timer);

/** Records that a target of a service has announced in an answer that it leaves. */
void
forward_note_leaving (
	const struct forward *forward, const struct replica_set *set, const char *target_id);

/** The connections to a target; created if there are none. */
struct fetch_pool *
forward_pool (struct front *front, struct replica *replica);

/** Closes the connections to a target once they are known to be unusable. */
void
forward_drop_connections (struct replica *replica);
