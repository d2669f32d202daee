/**
 * @file restart.h
 * Recognises that a target may have been restarted under its id, before the target list shows it.
 * No I/O.
 *
 * Made for targets that crash and return within seconds. Such a target is cold, while every node
 * would still send to it at the usual rate. A target that has ended or refused a connection is
 * therefore suspected and gets no more than the cold rate. What rules a restart out:
 *
 * - an answer on a connection that was established before, to a request sent after;
 * - the target's answer to a health check, which states whether it is cold;
 * - the target list, as of a time at which the target had answered again.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	RESTART_CHECK_MIN_US = 100000, /**< between health checks; doubles */
	RESTART_CHECK_MAX_US = 500000,
	/** By which the list may be older than its lag, for the time that reading it takes. */
	RESTART_LIST_MARGIN_US = 200000,
	/** Share of its usual idle time by which a target may close a connection sooner. */
	RESTART_IDLE_TOLERANCE = 8,
};

/** What suggests that a target was restarted. */
enum restart_sign {
	RESTART_REFUSED,     /**< it accepts no connection */
	RESTART_LOST,        /**< it ended a connection that was in use */
	RESTART_SILENT,      /**< it has not answered for unusually long */
	RESTART_IDLE_CLOSED, /**< it closed an idle connection */
	RESTART_IDLE_RESET,
	/** This node has just started or was suspended, and had no connection to it. */
	RESTART_UNWATCHED,
	RESTART_SIGN_COUNT,
};

/** How a health check ended. */
enum restart_health {
	RESTART_HEALTH_NONE,    /**< no connection, or no answer */
	RESTART_HEALTH_UNKNOWN, /**< an answer that does not tell whether the target is cold */
	RESTART_HEALTH_WARM,
	RESTART_HEALTH_COLD,
};

/** What one node knows of the restarts of a target. Zero: nothing suggests one. */
struct restart_watch {
	bool suspected;
	bool unreachable; /**< suspected, and has not accepted a connection since the last sign */
	enum restart_sign sign;
	int64_t sign_us;     /**< of the last sign */
	int64_t idle_us;     /**< for RESTART_IDLE_CLOSED: how long the connection was idle */
	int64_t answered_us; /**< first answer since, on a connection opened since; 0: none */
	int64_t check_us;    /**< when the next health check is due */
	int checks;          /**< since the target was first suspected */
	int64_t health_us;   /**< time of the last conclusive answer to a health check; 0: none */
};

/**
 * Records a sign. @p idle_close_us is the usual idle time after which the targets of the service
 * close connections, 0 if not known.
 * @return false if the sign is an ordinary event
 */
bool
restart_note_sign (struct restart_watch *watch, enum restart_sign sign, int64_t idle_us,
	int64_t idle_close_us, int64_t now_us);

/**
 * Records an answer of the target.
 * @param connected_us when its connection was established
 * @param written_us when the request was written
 * @return whether that rules a restart out
 */
bool
restart_note_answer (
	struct restart_watch *watch, int64_t connected_us, int64_t written_us, int64_t now_us);

/**
 * Records the end of a health check.
 * @return whether the target is no longer suspected
 */
bool
restart_note_health (struct restart_watch *watch, enum restart_health health, int64_t now_us);

/**
 * Applies a list that shows the same start of the target.
 * @param read_us when the list was read
 * @param lag_us by which it may lag
 * @return whether that rules a restart out
 */
bool
restart_note_listed (struct restart_watch *watch, int64_t read_us, int64_t lag_us);

/** Whether a list, by its age, may show a target as it was before the last sign or health answer.
 */
bool
restart_is_list_outdated (const struct restart_watch *watch, int64_t read_us, int64_t lag_us);

/**
 * The usual idle time of the service after a target, which was not restarted, has closed an idle
 * connection. @p watch as it was before the suspicion ended.
 */
int64_t
restart_idle_close_us (const struct restart_watch *watch, int64_t idle_close_us);

/** The text for a sign in log lines. */
const char *
restart_sign_name (enum restart_sign sign);
