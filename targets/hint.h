/**
 * @file hint.h
 * Hints: what this node has learned of targets, services and other nodes from replies. No I/O.
 *
 * A hint may be stale, so it affects only which snapshot and target are chosen, never correctness.
 * Hints outlive the views that point to them. All fields are atomic, because request threads read
 * and write them without locks.
 */
#pragma once

#include "query/budget.h"
#include "query/quantile.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <urcu/list.h>

enum { MAX_HELD_SNAPSHOTS = 4, HINT_NAME_BYTES = 72 };

/** A snapshot: layout id in the upper 32 bits, index version in the lower 32; 0 is none. */
typedef uint64_t snapshot_t;

static inline uint32_t
snapshot_layout (snapshot_t snapshot)
{
	return (uint32_t)(snapshot >> 32);
}

/** Writes "layout.version" and returns @p out. */
char *
snapshot_format (snapshot_t snapshot, char out[24]);

/** Parses "layout.version"; returns 0 when malformed. */
snapshot_t
snapshot_parse (const char *text);

/** Hint on a target. */
struct target_hint {
	_Atomic uint64_t held[MAX_HELD_SNAPSHOTS]; /**< snapshots it reported */
	_Atomic int64_t held_at_us;                /**< when it last reported them; 0: never */
	/** Set by a refusal, a failure or a silence; until then other targets are preferred. */
	_Atomic int64_t avoid_until_us;
	_Atomic uint32_t in_flight; /**< sub-requests of this node at the target */
	/** Set when its owner reported a cold start; until then the target counts as cold. */
	_Atomic int64_t cold_until_us;
};

/** Hint on a service. */
struct service_hint {
	struct quantile latency;    /**< of sub-requests */
	struct budget extra_budget; /**< for hedges and retries */
};

/** Hint on a node. */
struct member_hint {
	/** Set when the node left a sub-request unanswered, reset by any reply from it. */
	_Atomic int64_t avoid_until_us;
};

/** A named hint in the table. */
struct hint_entry {
	struct cds_list_head node;
	char name[HINT_NAME_BYTES];
	union {
		struct target_hint target;
		struct service_hint service;
		struct member_hint member;
	} u;
};

enum { HINT_BUCKETS = 4096 };

/** All hints of a node; entries live as long as the table. */
struct hint_table {
	pthread_mutex_t lock; /**< taken only by the control thread, to build a view */
	struct cds_list_head targets[HINT_BUCKETS];
	struct cds_list_head services[HINT_BUCKETS];
	struct cds_list_head members[HINT_BUCKETS];
};

void
hint_table_init (struct hint_table *table);
void
hint_table_finish (struct hint_table *table);

/** Finds or creates the hint of a target, service or node. */
struct target_hint *
hint_table_target (struct hint_table *table, const char *name);
struct service_hint *
hint_table_service (struct hint_table *table, const char *name);
struct member_hint *
hint_table_member (struct hint_table *table, const char *name);

/** Records the snapshots that a target reported in a reply. */
void
target_hint_set_held (struct target_hint *hint, const snapshot_t *held, int count, int64_t now_us);

/** True when the target reported the snapshot, or has never reported any. */
int
target_hint_may_hold (const struct target_hint *hint, snapshot_t snapshot);
