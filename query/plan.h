/**
 * @file plan.h
 * Chooses the snapshot of a query and the replica of each sub-request from the hints. No I/O.
 *
 * Prefers idle and warm replicas, and avoids those that failed lately or whose owner is silent.
 */
#pragma once

#include "query/query.h"

/**
 * The newest snapshot that a usable replica of every queried shard may hold; abandoned ones are
 * excluded. If there is none, the one that covers the largest fraction of the shards in its layout;
 * 0 when no snapshot is known.
 */
snapshot_t
plan_snapshot (const struct query *query);

/** Which replicas may be chosen. */
enum plan_choice {
	PLAN_UNTRIED, /**< not tried in this generation */
	PLAN_ANY,     /**< any, but tried ones last */
	/** Untried, warm and not avoided; no attempt of the shard is in flight at its owner. */
	PLAN_HEDGE,
};

/** Target index of the best replica of a shard for the pinned snapshot; -1 when there is none. */
int
plan_replica (struct query *query, int shard, enum plan_choice choice, int64_t now_us);
