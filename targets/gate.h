/**
 * @file gate.h
 * Admission of work to one target at its owner: slots, cold start, queue. No I/O.
 *
 * The gate counts exactly what runs on the target. Work whose connection was given up still
 * occupies a slot there, so it is counted until its deadline or the cancel delay has passed.
 */
#pragma once

#include "targets/hint.h"

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

enum {
	GATE_GHOSTS = 64,            /**< abandoned sub-requests that are counted at once */
	GATE_CANCEL_HOLD_US = 10000, /**< time a target needs to notice a cancel */
	GATE_HOLD_REFERENCES = 4,    /**< usual latencies that silent work may go on for */
	GATE_WARM_SUCCESSES = 8,     /**< prompt successes per step of growth */
	GATE_SLOW_FACTOR = 3,        /**< slower than this many references is not prompt */
	GATE_STEP_FACTOR = 8,        /**< a latency step: this many references ... */
	GATE_STEP_COUNT = 3,         /**< ... this many times in a row */
	GATE_EJECT_FAILURES = 5,     /**< failures in a row after which a target rests */
	GATE_EJECT_US = 1000000,     /**< length of that rest; one probe request then decides */
};

/** One sub-request in a gate; embedded in the owner's work item. */
struct gate_item {
	struct cds_list_head node; /**< in the queue while queued */
	uint64_t origin;           /**< the node that asks, for fairness */
	int64_t deadline_us;
	int64_t started_us;
	bool queued;
	bool running;
};

/** What a gate says to a new sub-request. */
enum gate_verdict {
	GATE_START,   /**< send it now; it holds a slot */
	GATE_QUEUED,  /**< it waits; gate_start_next or gate_take_rejected hands it back */
	GATE_REFUSED, /**< it did not run and will not */
};

/** How a running sub-request ended. */
enum gate_outcome {
	GATE_OK,        /**< a whole reply */
	GATE_SHED,      /**< the target's own refusal */
	GATE_NOT_SENT,  /**< given back before anything was sent */
	GATE_RESET,     /**< the connection failed or was refused */
	GATE_SILENT,    /**< no reply in time; the target may still be working */
	GATE_CANCELLED, /**< given up by the caller; the target may still be working */
};

/** Reasons to treat a target as in a cold start. */
enum gate_cold_reason {
	COLD_NONE,
	COLD_NEW_OWNER,
	COLD_DECLARED,
	COLD_BOOT,
	COLD_RESET,
	COLD_SHED,
	COLD_SILENT,
	COLD_LATENCY,
};

struct gate {
	int slots;
	int cold_limit;
	int limit; /**< sub-requests allowed at once now; cold_limit to slots */
	int running;
	int queued;
	int queue_max;
	int successes;  /**< prompt ones since the last step */
	int slow_count; /**< latency steps in a row */
	int failures;   /**< in a row */
	int64_t rest_until_us;
	int64_t smoothed_latency_us; /**< smoothed latency; 0 while unknown */
	uint64_t boot_id;            /**< 0 while unknown */
	int trusted_limit; /**< limit before a silence; back with one reply of the same boot */
	enum gate_cold_reason cold_reason; /**< why it is cold, or COLD_NONE */
	bool open;                         /**< false: refuses new work (leaving or not owned) */
	int64_t ghosts[GATE_GHOSTS];
	int ghost_count;
	struct cds_list_head queue;
};

/** Initialises a closed, cold gate. */
void
gate_init (struct gate *gate, int slots, int cold_limit, int queue_max);

/** Changes the declared numbers; a lower limit takes effect at once. */
void
gate_configure (struct gate *gate, int slots, int cold_limit);

/** Opens or closes the gate; queued work of a closed gate is handed back by gate_take_rejected. */
void
gate_set_open (struct gate *gate, bool open);

enum gate_verdict
gate_submit (struct gate *gate, struct gate_item *item, int64_t now_us);

/** The next queued item that may start now, marked as running; NULL when none may. */
struct gate_item *
gate_start_next (struct gate *gate, int64_t now_us);

/** A queued item that must be refused now: closed gate, or no time left; NULL when none. */
struct gate_item *
gate_take_rejected (struct gate *gate, int64_t now_us);

/** Takes an item out of the queue; it did not run. */
void
gate_remove (struct gate *gate, struct gate_item *item);

/** Ends a running item. */
void
gate_finish (struct gate *gate, struct gate_item *item, enum gate_outcome outcome, int64_t now_us);

/** Records the boot id of a reply; a new one is a sign of a cold start. */
void
gate_observe_boot_id (struct gate *gate, uint64_t boot_id);

/** Treats the target as in a cold start from now on. */
void
gate_enter_cold_start (struct gate *gate, enum gate_cold_reason reason);

bool
gate_is_cold (const struct gate *gate);

/** When the gate wants gate_start_next and gate_take_rejected to be called again; INT64_MAX: on no
 * time. */
int64_t
gate_wake_us (const struct gate *gate);

/** Occupied slots: running and abandoned work. */
int
gate_occupied (struct gate *gate, int64_t now_us);

const char *
gate_cold_reason_name (enum gate_cold_reason reason);
