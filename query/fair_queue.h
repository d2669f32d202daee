/**
 * @file fair_queue.h
 * Applies query/fairness.h to the sub-requests that wait for a service. No I/O.
 */
#pragma once

#include "query/scatter.h"

/**
 * Orders the waiting list of a service: by priority, then by the rank of the account, then by
 * arrival. Without accounts, the list has this order already.
 */
void
fair_queue_order (struct replica_set *set, int64_t now_us);

/**
 * The waiting shard that a shard displaces from a full queue.
 * @return NULL if the shard itself has to be refused, always so without accounts
 */
struct scatter_shard *
fair_queue_displaced (const struct scatter_shard *shard);
