/**
 * @file plan.h
 * Choice of snapshot and replica: the decisions of a query that look at hints. No I/O.
 */
#pragma once

#include "query/query.h"

/**
 * The newest snapshot that a usable replica of every asked shard holds, leaving out those given
 * up. Where none covers all shards, the one that covers most; 0 when no snapshot is known.
 */
snapshot_t
plan_snapshot (const struct query *query);

/**
 * The best replica of a shard for the pinned snapshot, or -1.
 * Replicas already tried in this generation come last and only when @p again is set.
 */
int
plan_replica (struct query *query, int shard, bool again, int64_t now_us);

/**
 * A replica for a hedge: untried, warm, not avoided and on another owner than those waiting.
 * @return a target index, or -1.
 */
int
plan_hedge (struct query *query, int shard, int64_t now_us);
