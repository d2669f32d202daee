/**
 * @file owned.h
 * The side of a worker that owns targets: admission, connections and probes.
 */
#pragma once

#include "control/tenure.h"
#include "daemon/worker.h"

/** A target that this worker serves, or still finishes work for. */
struct owned_target {
	struct cds_list_head node; /**< in worker.owned_targets */
	struct worker *worker;
	char name[RESOURCE_NAME_MAX + 1];
	char address[ADDRESS_SIZE];
	int max_connections;
	struct ownership ownership;
	bool leaving; /**< the target gets no new work */
	struct gate gate;
	struct fetch_pool *pool;
	struct fetch probe;
	bool probing;
	bool was_cold;
	struct timer gate_timer;
	struct timer probe_timer;
	snapshot_t held_snapshots[MAX_HELD_SNAPSHOTS];
	int held_count;
	bool held_known;                  /**< held[] was reported at least once */
	struct cds_list_head discoveries; /**< works that wait for a probe */
};

/** Adapts the owned targets to a new view; takes the reference over. */
void
owned_reconcile (struct worker *worker, struct view *view);

/** Takes a sub-request in; it is answered sooner or later. */
void
owned_submit (struct worker *worker, struct work_item *work);

/** The asker has given a sub-request up. */
void
owned_cancel (struct worker *worker, uint64_t origin_hash, uint64_t request, uint32_t attempt);

/** Publishes how far lost targets are free of work. */
void
owned_update_released (struct worker *worker);

void
owned_timer_due (struct worker *worker, struct timer *timer);

/** Appends the state of all owned targets as JSON array items. */
void
owned_dump (struct worker *worker, struct buf *out);

/** Cancels everything and frees it, at the end of the process. */
void
owned_finish (struct worker *worker);
