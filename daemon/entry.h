/**
 * @file entry.h
 * A worker's part as entry node: runs callers' queries, lookups and at-most-once requests. It is
 * the I/O layer of the state machines in query/query.h and query/once.h: it passes events to them,
 * and sends the sub-requests, cancels and proposals that they ask for.
 */
#pragma once

#include "daemon/worker.h"

/** A caller's request in progress. */
struct entry_request {
	struct cds_list_head node; /**< in worker.requests */
	uint64_t id;               /**< unique in this process */
	struct request *request;
	struct timer timer;
	struct view *view; /**< holds a reference */
	struct query_actions actions;
	bool is_once;
	union {
		struct query query;
		struct once once;
	} u;
};

/** Starts a caller's request. */
void
entry_start (struct worker *worker, struct request *request);

/** Handles the end of a sub-request; ignored when its request has ended. */
void
entry_reply (struct worker *worker, const struct sub_reply *reply);

/** Handles the result of a proposed claim or outcome. */
void
entry_propose_reply (struct worker *worker, const struct propose_reply_mail *mail);

/** Handles the expiry of a request's timer. */
void
entry_timer_due (struct worker *worker, struct timer *timer);
