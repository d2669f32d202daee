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
struct part_holder {
	uint64_t node;       /**< hash of its name */
	uint64_t gone_epoch; /**< counted until this epoch has settled; UINT64_MAX: a member */
};

struct parts {
	uint64_t own; /**< hash of this node's name */
	uint64_t epoch;
	struct part_holder *holders; /**< owned */
	int count;
	struct ownership ownership; /**< of this node's own part */
};

void
parts_init (struct parts *parts, uint64_t own);
void
parts_finish (struct parts *parts);

/**
 * Follows a newer list of members.
 * @param listed this process itself is in the list, not an earlier one of its name
 */
void
parts_follow (struct parts *parts, const uint64_t *nodes, size_t count, bool listed, uint64_t epoch,
	uint64_t lease_generation);

/** Stops counting nodes whose going has settled. True when there were any. */
bool
parts_settle (struct parts *parts, uint64_t settled);

/** Nodes that share a bound; at least 1. */
int
parts_count (const struct parts *parts);

/** How many nodes come before this one for a target; the order differs from target to target. */
int
parts_rank (const struct parts *parts, uint64_t target);

/** True when this node's part may be used under the present lease. */
bool
parts_hold (struct parts *parts, bool has_lease, uint64_t lease_generation, uint64_t settled);
