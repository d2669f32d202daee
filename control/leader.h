/**
 * @file leader.h
 * What the leader does on its own: members, voters and dates that pass. No I/O.
 */
#pragma once

#include "control/voter.h"

/** Runs the leader's controllers; at most one batch of proposals is under way at a time. */
void
leader_tick (struct voter *voter, int64_t now_us);

/** Proposes a command; with a route the result goes there. 0 when this node does not lead. */
uint64_t
voter_propose (struct voter *voter, struct command *command, const struct peer_route *route,
	uint64_t id, int64_t now_us);

/** True once every lease that an earlier leader may have granted has run out. */
bool
voter_knows_grants (const struct voter *voter, int64_t now_us);
