/**
 * @file shares.h
 * Counts the nodes that share a target's capacity and tells whether this node may use its share.
 * No I/O.
 *
 * For load where many nodes send to one target while nodes join and leave: the shares in use never
 * add up to more than the bound. A node that left is counted until the epoch of its removal has
 * settled, and a node that joined uses its share only once the epoch of its joining has settled. By
 * then every other node counts it, or has lost its lease and with it its share.
 */
#pragma once

#include "control/ownership.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A node that is counted: a member, or one that left recently. */
struct share_holder {
	uint64_t node;       /**< hash of its name */
	uint64_t left_epoch; /**< counted until this epoch has settled; UINT64_MAX: a member */
};

struct shares {
	uint64_t own_node; /**< hash of this node's name */
	uint64_t epoch;
	struct share_holder *holders; /**< owned */
	int count;
	struct ownership ownership; /**< of this node's own share */
};

void
shares_init (struct shares *shares, uint64_t own_node);
void
shares_finish (struct shares *shares);

/**
 * Updates the counted nodes from a newer list of members.
 * @param listed this process is in the list, not an earlier process with its name
 */
void
shares_update (struct shares *shares, const uint64_t *nodes, size_t count, bool listed,
	uint64_t epoch, uint64_t lease_generation);

/** Stops counting nodes whose removal has settled. True when there were any. */
bool
shares_settle (struct shares *shares, uint64_t settled);

/** Number of nodes that share a bound; at least 1. */
int
shares_count (const struct shares *shares);

/** Number of nodes before this one in a target's order; the order differs between targets. */
int
shares_rank (const struct shares *shares, uint64_t target);

/** True when this node may use its share under the current lease. */
bool
share_is_usable (
	struct shares *shares, bool has_lease, uint64_t lease_generation, uint64_t settled);
