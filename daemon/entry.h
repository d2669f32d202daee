/**
 * @file entry.h
 * The side of a worker that runs callers' requests: it feeds the state machines of query.h and
 * once.h and carries out their actions.
 */
#pragma once

#include "daemon/worker.h"

/** A request being run. */
struct entry_request {
	struct cds_list_head node;
	uint64_t id;
	struct request *request;
	struct timer timer;
	struct view *view;
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

/** A sub-request ended; late and crossed ones are dropped. */
void
entry_reply (struct worker *worker, const struct sub_reply *reply);

/** A claim or outcome was applied. */
void
entry_propose_reply (struct worker *worker, const struct propose_reply_mail *mail);

void
entry_timer_due (struct worker *worker, struct timer *timer);
