/**
 * @file target_watch.h
 * Finds out whether targets were restarted under their ids, on the front's thread: passes on the
 * signs of that and asks the health endpoint of suspected targets. See query/restart.h.
 */
#pragma once

#include "daemon/front.h"

enum {
	TARGET_WATCH_TIMEOUT_US = 1000000,
	TARGET_WATCH_CONNECT_US = 200000,
	TARGET_WATCH_BODY_MAX_BYTES = 65536,
	/** A target whose service was not asked for so long is not checked. */
	TARGET_WATCH_WANTED_US = 2000000,
	/** A target over its connection limit resets a new connection within this time. */
	TARGET_WATCH_LIMIT_RESET_US = 20000,
};

/** The callbacks of a connection pool to a target. */
struct fetch_hooks
target_watch_hooks (struct front *front, struct replica *replica);

/** Records what the end of a sub-request tells; before its replica_end(). */
void
target_watch_note_end (struct front *front, struct replica_use *use, const struct fetch *fetch,
	enum fetch_end end);

/** Marks a target as suspected for a sign that did not come from one of its connections. */
void
target_watch_suspect (struct front *front, struct replica *replica, enum restart_sign sign);

/**
 * Suspects the targets to which this node has no connection, since it has just started or was
 * suspended: a restart could have gone unnoticed.
 */
void
target_watch_note_gap (struct front *front);

/** Applies to all targets that the list in use is as of @p read_us. */
void
target_watch_note_list (struct front *front, int64_t read_us);

/** Handles a due timer of kind TARGET_WATCH_TIMER. */
void
target_watch_timer_due (struct timer *timer);

/** Ends the watch of a target that is about to be freed. */
void
target_watch_end (struct replica *replica);
