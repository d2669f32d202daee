/**
 * @file owner.h
 * Who owns each target: rendezvous hashing over the members.
 */
#pragma once

#include "control/view.h"

/**
 * Sets the owner of every target of a view.
 *
 * Members of the target's own data centre come first, and replicas of one service get different
 * owners as long as there are enough members. Members that are leaving own nothing.
 */
void
owner_assign (struct view *view);
