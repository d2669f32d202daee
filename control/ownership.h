/**
 * @file ownership.h
 * Decides when the owner of a target may send it work. No I/O.
 *
 * A new ownership may be used only once its epoch has settled: by then every other node has applied
 * the epoch or has lost its lease, so no other node can still act as the owner.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** This node's ownership of one target. */
struct ownership {
	bool mine;                 /**< this node is the owner in the newest view */
	uint64_t since_epoch;      /**< the ownership may be used once this epoch has settled */
	uint64_t lease_generation; /**< generation of the lease that it depends on */
};

/** Updates the ownership from a new view; true when this node has become the owner. */
bool
ownership_update (
	struct ownership *ownership, bool mine, uint64_t epoch, uint64_t lease_generation);

/**
 * Restarts the ownership at the current epoch when its lease has lapsed and a new one was granted,
 * because another node may have been the owner meanwhile.
 * @return true when the ownership was restarted
 */
bool
ownership_check_lease (struct ownership *ownership, uint64_t epoch, uint64_t lease_generation);

/** True while this node may send the target work. */
bool
ownership_is_active (const struct ownership *ownership, bool has_lease, uint64_t settled);
