/**
 * @file parts.h
 * How many nodes share what a target bears, and whether this node's part may be used. No I/O.
 *
 * Answers the load pattern of many nodes that send to one target at once while some of them come
 * and go: the parts in use never add up to more than the bound. A node that has left is counted
 * until its going has settled, and the part of a node that has come is used only once its coming
 * has settled; by then every other node counts it, or has lost its lease and with it its part.
 */
#pragma once

#include "control/tenure.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A node that is counted. */
struct share_holder {
	uint64_t node;       /**< hash of its name */
	uint64_t left_epoch; /**< counted until this epoch has settled; UINT64_MAX: a member */
};

struct shares {
	uint64_t own; /**< hash of this node's name */
	uint64_t epoch;
	struct share_holder *holders; /**< owned */
	int count;
	struct ownership ownership; /**< of this node's own part */
};

void
shares_init (struct shares *shares, uint64_t own);
void
shares_finish (struct shares *shares);

/**
 * Follows a newer list of members.
 * @param listed this process itself is in the list, not an earlier one of its name
 */
void
shares_update (struct shares *shares, const uint64_t *nodes, size_t count, bool listed,
	uint64_t epoch, uint64_t lease_generation);

/** Stops counting nodes whose going has settled. True when there were any. */
bool
shares_settle (struct shares *shares, uint64_t settled);

/** Nodes that share a bound; at least 1. */
int
shares_count (const struct shares *shares);

/** How many nodes come before this one for a target; the order differs from target to target. */
int
shares_rank (const struct shares *shares, uint64_t target);

/** True when this node's part may be used under the present lease. */
bool
share_is_usable (
	struct shares *shares, bool has_lease, uint64_t lease_generation, uint64_t settled);
