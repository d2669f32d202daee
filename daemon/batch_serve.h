/**
 * @file batch_serve.h
 * Serves batches of other entry nodes as their aggregator, on the front's thread: sends the
 * sub-requests of a section of a fan-out and returns the results. See query/batch.h.
 */
#pragma once

#include "daemon/forward.h"

struct served_batch;

/** Handles a batch, or a request for the rest of one. */
void
batch_serve_request (struct ingress_request *request, void *user);

/** Returns the results that were not sent yet, if their receiver waits for them. */
void
batch_serve_progress (struct scatter *scatter);

/** Returns the last results of a section that has ended, and frees it. */
void
batch_serve_finish (struct forward *forward);

/** Returns what has been answered so far to a sender that waits, since this node stops. */
void
batch_serve_end (struct forward *forward);

/** Sends a result that is due, and hedges that are due once the sender has confirmed. */
void
batch_serve_timer_due (struct forward *forward);

/** When the timer of a batch is due, given when that of its scatter is. */
int64_t
batch_serve_wake_us (const struct forward *forward, int64_t scatter_wake_us);

/** Frees what a forward holds as a served batch, if it is one. */
void
batch_serve_free (struct forward *forward);
