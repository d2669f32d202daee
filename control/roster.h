/**
 * @file roster.h
 * The platform's list of targets, read by the leader and distributed with the replies to polls. No
 * I/O.
 *
 * The list is an observation, not a decision, so it is not in the log; a node that has received no
 * update for a while may read the list itself. A stamp orders the lists by age.
 */
#pragma once

#include "core/pack.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The list that a node has. */
struct roster {
	uint64_t stamp;  /**< leader's term in the upper half, a counter in the lower; 0: none */
	int64_t read_us; /**< when the leader last read the list, by this node's clock */
	void *data;      /**< encoded list, owned */
	size_t len;
};

/** An update of the list, as sent between nodes. */
struct roster_update {
	uint64_t stamp;
	int64_t age_us; /**< time since the leader read the list */
	void *data;     /**< owned; NULL when the receiver already has this stamp */
	size_t len;
};

void
roster_finish (struct roster *roster);

/** Sets the list that the leader has read; a changed list gets a new stamp of its term. */
void
roster_set (struct roster *roster, uint64_t term, const void *data, size_t len, int64_t now_us);

/** Applies an update unless it is older; true when the list changed. */
bool
roster_apply (struct roster *roster, const struct roster_update *update, int64_t now_us);

/** The update for a node that has the list with @p held_stamp; the caller owns its data. */
struct roster_update
roster_make_update (const struct roster *roster, uint64_t held_stamp, int64_t now_us);

void
roster_update_write (const struct roster_update *update, struct pack_writer *writer);
void
roster_update_read (struct roster_update *update, struct pack_node node);
