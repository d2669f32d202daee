/**
 * @file tenure.h
 * When the owner of a target may give it work. No I/O.
 *
 * Ownership that is new counts only once its epoch has settled: by then every node has applied
 * it or has lost its lease, so no other node can still be acting as the owner.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** A node's standing with one target. */
struct ownership {
	bool mine;                 /**< this node is the owner in the newest view */
	uint64_t since_epoch;      /**< counts once this is settled */
	uint64_t lease_generation; /**< of the lease that it rests on */
};

/** Follows a new view. True when the ownership is new. */
bool
ownership_update (
	struct ownership *ownership, bool mine, uint64_t epoch, uint64_t lease_generation);

/**
 * Follows the lease. While a lease had lapsed another node may have been the owner, so that the
 * ownership starts anew at the present epoch. True when it does.
 */
bool
ownership_check_lease (struct ownership *ownership, uint64_t epoch, uint64_t lease_generation);

/** True when the owner may give the target work now. */
bool
ownership_is_active (const struct ownership *ownership, bool has_lease, uint64_t settled);
