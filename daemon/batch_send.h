/**
 * @file batch_send.h
 * Sends the shards of a fan-out to aggregators in batches and collects the results, on the front's
 * thread. See query/aggregators.h.
 */
#pragma once

#include "daemon/forward.h"

/** Marks the shards that aggregators send, and sends the batches; before scatter_start. */
void
batch_send_all (struct forward *forward);

/** Cancels the batches of a forward that has ended; the closed connection tells the aggregator. */
void
batch_cancel (struct forward *forward);

/** The address at which a node with a peer address serves batches. */
void
batch_address (const char *peer_address, int64_t port_step, char *out, size_t size);
