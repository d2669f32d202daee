/**
 * @file roster.h
 * The platform's list of targets, read by the leader and handed out with the polls. No I/O.
 *
 * It is news, not a decision: it is not in the log, and a node that has heard nothing for a while
 * may read the list itself. A stamp tells older from newer lists.
 */
#pragma once

#include "core/pack.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What a node holds. */
struct roster {
	uint64_t stamp;  /**< term of the leader in the upper half, its count below; 0: none */
	int64_t read_us; /**< when the leader last read it, by this node's clock */
	void *data;      /**< encoded list, owned */
	size_t len;
};

/** What goes over the wire. */
struct roster_update {
	uint64_t stamp;
	int64_t age_us; /**< since the leader read it */
	void *data;     /**< owned; NULL when the receiver holds this stamp already */
	size_t len;
};

void
roster_finish (struct roster *roster);

/** The leader has read the list; a changed one gets a new stamp of its term. */
void
roster_set (struct roster *roster, uint64_t term, const void *data, size_t len, int64_t now_us);

/** Takes news in; true when the list changed. Older news are ignored. */
bool
roster_apply (struct roster *roster, const struct roster_update *news, int64_t now_us);

/** The news for a node that holds @p held; the caller owns its data. */
struct roster_update
roster_make_update (const struct roster *roster, uint64_t held, int64_t now_us);

void
roster_update_write (const struct roster_update *news, struct pack_writer *writer);
void
roster_update_read (struct roster_update *news, struct pack_node node);
