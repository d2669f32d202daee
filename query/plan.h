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

/** What a replica is chosen for. */
enum plan_use {
	PLAN_FIRST, /**< one that was not tried in this generation */
	PLAN_AGAIN, /**< any; tried ones come last */
	PLAN_HEDGE, /**< untried, warm, not avoided, and not at an owner that is being waited for */
};

/** The best replica of a shard for the pinned snapshot, as a target index; -1 when none fits. */
int
plan_replica (struct query *query, int shard, enum plan_use use, int64_t now_us);
