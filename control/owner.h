/**
 * @file owner.h
 * Assignment of targets to owner nodes by rendezvous hashing over the members. No I/O.
 */
#pragma once

#include "control/view.h"

/**
 * Sets the owner of every target of a view.
 *
 * Replicas of one service get different owners as long as there are enough members. Within that
 * rule, an owner in the target's own data centre is preferred. Members that are leaving own no
 * targets.
 */
void
owner_assign (struct view *view);
