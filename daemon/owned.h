/**
 * @file owned.h
 * A worker's part as owner of targets: admits sub-requests to each target, sends them over pooled
 * connections and probes the target for its state.
 *
 * Only one node at a time owns a target, so that its limits hold for the work of all nodes.
 */
#pragma once

#include "control/ownership.h"
#include "daemon/worker.h"

/** A target that this worker serves, or one that it lost but still has work in flight at. */
struct owned_target {
	struct cds_list_head node; /**< in worker.owned_targets */
	struct worker *worker;
	char name[RESOURCE_NAME_MAX + 1];
	char address[ADDRESS_SIZE];
	int max_connections;
	struct ownership ownership;
	bool leaving; /**< it gets no new work */
	struct gate gate;
	struct fetch_pool *pool;
	struct fetch probe; /**< reads the load endpoint */
	bool probing;
	bool was_cold; /**< as logged last */
	struct timer gate_timer;
	struct timer probe_timer;
	snapshot_t held_snapshots[MAX_HELD_SNAPSHOTS];
	int held_count;
	bool held_known; /**< the target has reported its snapshots at least once */
	struct cds_list_head discoveries; /**< work items of SUB_DISCOVER; wait for a probe */
};

/** Applies a new view to the owned targets; takes over the caller's reference. */
void
owned_reconcile (struct worker *worker, struct view *view);

/**
 * Starts, queues or refuses a sub-request and takes over its memory. A reply is sent when the
 * sub-request ends, unless it is cancelled first.
 */
void
owned_submit (struct worker *worker, struct work_item *work);

/** Cancels a sub-request for the node that sent it; ignored for an at-most-once sub-request. */
void
owned_cancel (struct worker *worker, uint64_t origin_hash, uint64_t request, uint32_t attempt);

/**
 * Frees lost targets without occupied slots, and stores the worker's revisions and load in its
 * atomic fields.
 */
void
owned_update_released (struct worker *worker);

/** Handles the expiry of a gate's or a probe's timer. */
void
owned_timer_due (struct worker *worker, struct timer *timer);

/** Appends the state of all owned targets as JSON array items. */
void
owned_dump (struct worker *worker, struct buf *out);

/** Cancels all work and frees all targets when the worker stops. */
void
owned_finish (struct worker *worker);
