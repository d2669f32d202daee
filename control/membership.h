/**
 * @file membership.h
 * Chooses the voters and learners of the control log from what the leader has heard. No I/O.
 *
 * A voter that has lost its disk or does not answer is replaced by a learner that has caught up: by
 * a joint configuration first, then by one that no longer contains the old voter. The old voter's
 * vote counts until the new one's does, so the loss of another disk at any time still leaves a
 * majority.
 */
#pragma once

#include "control/voter.h"

/**
 * Finds the next change of the configuration; only on the leader.
 * @param config the leader's configuration, which becomes the one to propose
 * @return false when nothing has to change
 */
bool
membership_find_change (const struct voter *voter, struct raft_config *config, int64_t now_us);
