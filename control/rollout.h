/**
 * @file rollout.h
 * Roll-outs of a service to targets of another version: the table of roll-outs in the replicated
 * state, and the leader's judgement of the new version. No I/O.
 *
 * Made for services with 20 to 60 requests a second over dozens of entry nodes: a node alone sees
 * too few answers of the new version to judge it, so each one counts, and the leader adds up. The
 * counts are cumulative for each process, so that a lost message costs nothing and a new leader has
 * them again after a poll or two.
 */
#pragma once

#include "core/pack.h"

#include <stdbool.h>
#include <stdint.h>

enum {
	ROLLOUT_SERVICE_MAX = 255, /**< bytes in the name of a service */
	ROLLOUT_VERSION_MAX = 127, /**< bytes in the name of a version */
	/** Ended roll-outs of a service that are kept, so that a late duplicate has no effect. */
	ROLLOUT_ENDED_MAX = 32,
	/** Classes of times, from 1 ms on, in steps of the square root of 2; the last is open. */
	ROLLOUT_TIMES = 24,
	ROLLOUT_REPORTS_MAX = 16, /**< pairs of roll-out and route in one poll */
	/**
	 * Bad answers in excess of the old version's that end a roll-out. Below the stated fifty,
	 * since counts of a process that was lost may be missing.
	 */
	ROLLOUT_BAD_MAX = 40,
	/** The same if over half of the answers on a route are bad. */
	ROLLOUT_BAD_MOST_MAX = 20,
	ROLLOUT_MIN_ANSWERS = 50,       /**< of the new version, before it may get all requests */
	ROLLOUT_MIN_ROUTE_ANSWERS = 10, /**< the same on each route with enough requests */
	ROLLOUT_SLOT_US = 2000000,      /**< shortest time whose answers are compared */
	ROLLOUT_SLOT_MAX_US = 30000000, /**< longest, if the old version has few answers */
	ROLLOUT_SLOT_ANSWERS = 30,      /**< of the old version that end a shorter one */
	ROLLOUT_CALM_US = 5000000,      /**< time without excess before shifting */
	ROLLOUT_SHIFT_MIN_MS = 5000,    /**< left for shifting at the end of the duration */
};

enum rollout_phase {
	ROLLOUT_CANARY,      /**< the new version gets a small share of the requests */
	ROLLOUT_SHIFTING,    /**< it gets all of them */
	ROLLOUT_COMPLETED,   /**< nothing uses the old version any more */
	ROLLOUT_ROLLED_BACK, /**< the new version gets nothing more */
};

/** An operator's order to roll out a version. */
struct rollout_order {
	char service[ROLLOUT_SERVICE_MAX + 1];
	char version[ROLLOUT_VERSION_MAX + 1];
	int64_t duration_ms;
	/** What had been applied while the operator still waited; 0: unknown, always applied. */
	uint64_t revision;
};

struct rollout {
	char service[ROLLOUT_SERVICE_MAX + 1];
	char version[ROLLOUT_VERSION_MAX + 1];
	enum rollout_phase phase;
	uint64_t started;   /**< log index of the order, which identifies the roll-out */
	uint64_t changed;   /**< log index of the newest phase */
	int64_t started_ms; /**< wall clock of the leader at the order */
	int64_t changed_ms; /**< the same at the newest phase */
	int64_t duration_ms;
};

/** All roll-outs that are known, in the order of their start. */
struct rollouts {
	struct rollout *items;
	int count;
	int cap;
};

enum rollout_verdict {
	ROLLOUT_STARTED,
	ROLLOUT_REPEATED,   /**< known already, whatever has become of it */
	ROLLOUT_CONFLICT,   /**< the service has another roll-out that has not ended */
	ROLLOUT_SUPERSEDED, /**< the order is older than another one that was carried out */
};

void
rollouts_init (struct rollouts *rollouts);
void
rollouts_finish (struct rollouts *rollouts);

/** Applies an order at a log index. */
enum rollout_verdict
rollouts_start (struct rollouts *rollouts, const struct rollout_order *order, uint64_t index,
	int64_t log_time_ms);

/** Applies a phase at a log index; false if it does not follow the present one. */
bool
rollouts_set_phase (struct rollouts *rollouts, uint64_t started, enum rollout_phase phase,
	uint64_t index, int64_t log_time_ms);

/** The newest roll-out of a service; NULL: none. */
const struct rollout *
rollouts_newest (const struct rollouts *rollouts, const char *service);

/** The roll-out that was ordered at a log index; NULL: none. */
const struct rollout *
rollouts_find (const struct rollouts *rollouts, uint64_t started);

bool
rollout_is_active (const struct rollout *rollout);

/** True while any service has a roll-out that has not ended. */
bool
rollouts_any_active (const struct rollouts *rollouts);

void
rollouts_copy (struct rollouts *to, const struct rollouts *from);
void
rollouts_write (const struct rollouts *rollouts, struct pack_writer *writer);

/** Replaces the table; malformed items mark the tree as failed. */
void
rollouts_read (struct rollouts *rollouts, struct pack_node node);

/** The word for a phase in log lines. */
const char *
rollout_phase_name (enum rollout_phase phase);

enum rollout_side { ROLLOUT_OLD, ROLLOUT_NEW, ROLLOUT_SIDES };

/**
 * Answers of one version on one route since a process first sent a request on it to the new
 * version, so that those of both are of the same time. They never decrease.
 */
struct rollout_counts {
	uint32_t answers;              /**< all of them */
	uint32_t bad;                  /**< failures and broken replies */
	uint32_t times[ROLLOUT_TIMES]; /**< the others, by their time */
};

/** What a process has counted for a roll-out on a route. */
struct rollout_report {
	uint64_t rollout; /**< its started */
	uint64_t route;   /**< hash of its name */
	uint32_t seen;    /**< answers of both versions, also before the first of the new one */
	struct rollout_counts sides[ROLLOUT_SIDES];
	bool has_new; /**< a request was sent to the new version; not sent to other nodes */
};

struct rollout_reports {
	struct rollout_report items[ROLLOUT_REPORTS_MAX];
	int count;
};

/** Counts one answer. */
void
rollout_count (struct rollout_counts *counts, bool bad, int64_t took_us);

void
rollout_reports_write (const struct rollout_reports *reports, struct pack_writer *writer);
void
rollout_reports_read (struct rollout_reports *reports, struct pack_node node);

struct rollout_track;

/** The leader's counts of all processes. */
struct rollout_judge {
	struct rollout_track *tracks; /**< one for each roll-out and route */
	int count;
	int cap;
};

void
rollout_judge_init (struct rollout_judge *judge);
void
rollout_judge_finish (struct rollout_judge *judge);

/** Drops all counts; called when leadership begins or ends. */
void
rollout_judge_clear (struct rollout_judge *judge);

/** Adds what a process reports; reports of roll-outs that are not active are ignored. */
void
rollout_judge_record (struct rollout_judge *judge, const struct rollouts *rollouts,
	uint64_t incarnation, const struct rollout_reports *reports, int64_t now_us);

enum rollout_judgement {
	ROLLOUT_WAIT,       /**< nothing is wrong, and it is not time to shift */
	ROLLOUT_TOO_LITTLE, /**< it is time to shift, but there are too few answers to judge */
	ROLLOUT_UNSETTLED,  /**< it is time to shift, but there were bad answers just now */
	ROLLOUT_SHIFT,
	ROLLOUT_ROLL_BACK,
};

/** Figures behind a judgement, for log lines. */
struct rollout_evidence {
	uint32_t answers; /**< of the new version */
	uint32_t bad;
	uint32_t old_answers;
	uint32_t old_bad;
	int excess; /**< bad or slow answers in excess of the old version's */
};

/** Judges an active roll-out. Drops counts of roll-outs that have ended. */
enum rollout_judgement
rollout_judge (struct rollout_judge *judge, const struct rollout *rollout, int64_t wall_ms,
	int64_t now_us, struct rollout_evidence *evidence);

/**
 * True once a roll-out has been shifting long enough: a version that is bad only under the load of
 * all requests is rolled back while the old targets still run.
 */
bool
rollout_may_complete (const struct rollout *rollout, int64_t wall_ms);

/** Drops the counts of roll-outs that have ended. */
void
rollout_judge_expire (struct rollout_judge *judge, const struct rollouts *rollouts);
