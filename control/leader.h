/**
 * @file leader.h
 * Controllers that run on the leader: they keep the members and voters current and make resources
 * leave when their leave_by time has come. No I/O.
 */
#pragma once

#include "control/voter.h"

/** Runs the controllers; they wait until their last batch of proposals has been applied. */
void
leader_tick (struct voter *voter, int64_t now_us);

/**
 * Proposes a command; its result is sent to @p route unless that is NULL.
 * @return the log index, or 0 when this node is not the leader
 */
uint64_t
voter_propose (struct voter *voter, struct command *command, const struct peer_route *route,
	uint64_t id, int64_t now_us);

/** True once every lease that an earlier leader may have granted has expired. */
bool
voter_old_leases_expired (const struct voter *voter, int64_t now_us);
