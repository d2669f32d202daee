/**
 * @file gate.h
 * Admission control for one target, at the node that owns it. No I/O.
 *
 * Limits the sub-requests that run on the target at once to its slots, and to fewer during a cold
 * start; further ones wait in a bounded queue or are refused. A sub-request whose connection was
 * closed early may still run on the target, so it occupies a slot until the target has had time
 * to cancel or finish it.
 */
#pragma once

#include "targets/hint.h"

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

enum {
	GATE_MAX_ABANDONED = 64,     /**< abandoned sub-requests that are tracked at once */
	GATE_CANCEL_HOLD_US = 10000, /**< time that a target needs to notice a cancel */
	/** Smoothed latencies for which a silent sub-request is assumed to keep running. */
	GATE_SILENT_HOLD_LATENCIES = 4,
	/** The limit grows by one after this many prompt successes per allowed sub-request. */
	GATE_GROWTH_SUCCESSES = 8,
	/** A success slower than this many smoothed latencies is not prompt. */
	GATE_SLOW_FACTOR = 3,
	/** Replies slower than this many smoothed latencies suggest a cold start. */
	GATE_LATENCY_STEP_FACTOR = 8,
	GATE_LATENCY_STEP_COUNT = 3, /**< such replies in a row that count as a cold start */
	GATE_EJECT_FAILURES = 5,     /**< failures in a row after which a target is ejected */
	GATE_EJECT_US = 1000000,     /**< length of an ejection; a single probe follows it */
};

/** One sub-request in a gate; embedded in the owner's work item. */
struct gate_item {
	struct cds_list_head node; /**< in gate.queue while queued */
	uint64_t origin; /**< node that sent it; the queue is shared fairly between nodes */
	int64_t deadline_us;
	int64_t started_us;
	bool queued;
	bool running;
};

/** Result of submitting a sub-request. */
enum gate_verdict {
	GATE_START,   /**< send it now; it occupies a slot */
	GATE_QUEUED,  /**< waits until gate_start_next() or gate_take_rejected() returns it */
	GATE_REFUSED, /**< neither started nor queued */
};

/** How a running sub-request ended. */
enum gate_outcome {
	GATE_OK,        /**< complete reply */
	GATE_SHED,      /**< refused by the target without running it */
	GATE_NOT_SENT,  /**< not sent, or the target lacks the snapshot; nothing ran */
	GATE_RESET,     /**< connection failed or was refused */
	GATE_SILENT,    /**< no reply in time; the target may still be working on it */
	GATE_CANCELLED, /**< cancelled by its sender; the target may still be working on it */
};

/** Why a target is treated as in a cold start. */
enum gate_cold_reason {
	COLD_NONE,
	COLD_NEW_OWNER, /**< ownership or lease is new, or the target is no longer leaving */
	COLD_DECLARED,  /**< the target reports a cold start, or its slots were raised */
	COLD_BOOT,      /**< its boot id changed */
	COLD_RESET,     /**< a connection failed or was refused */
	COLD_SHED,      /**< it refused a sub-request */
	COLD_SILENT,    /**< no reply in time */
	COLD_LATENCY,   /**< replies in a row were far slower than before */
};

struct gate {
	int slots;
	int cold_limit;
	int limit; /**< sub-requests that may run at once now: from cold_limit to slots */
	int running;
	int queued;
	int queue_max;
	int prompt_successes;   /**< since the limit last grew */
	int latency_step_count; /**< replies in a row beyond GATE_LATENCY_STEP_FACTOR */
	int consecutive_failures;
	int64_t ejected_until_us;    /**< nothing starts before then */
	int64_t smoothed_latency_us; /**< of successes; 0 while unknown */
	uint64_t boot_id;            /**< 0 while unknown */
	int limit_before_silence;    /**< restored by a reply with the same boot id; 0: none */
	enum gate_cold_reason cold_reason; /**< COLD_NONE while warm */
	bool open;                         /**< false: refuses work (target leaving or not owned) */
	int64_t abandoned_until_us[GATE_MAX_ABANDONED]; /**< when each may have ended, unordered */
	int abandoned_count;
	struct cds_list_head queue;
};

/** Initialises a closed, cold gate. */
void
gate_init (struct gate *gate, int slots, int cold_limit, int queue_max);

/**
 * Changes the declared slots and cold limit. Lower numbers take effect at once; added slots are
 * granted step by step, as in a cold start.
 */
void
gate_configure (struct gate *gate, int slots, int cold_limit);

/** Opens or closes the gate. gate_take_rejected() returns the items queued at a closed gate. */
void
gate_set_open (struct gate *gate, bool open);

enum gate_verdict
gate_submit (struct gate *gate, struct gate_item *item, int64_t now_us);

/** Dequeues the next item that may start now and marks it as running; NULL when none may. */
struct gate_item *
gate_start_next (struct gate *gate, int64_t now_us);

/**
 * Dequeues an item that has to be refused, because the gate is closed, the target is ejected or
 * too little time is left; NULL when there is none.
 */
struct gate_item *
gate_take_rejected (struct gate *gate, int64_t now_us);

/** Removes an item that has not started from the queue. */
void
gate_remove (struct gate *gate, struct gate_item *item);

/** Records the end of a running item. */
void
gate_finish (struct gate *gate, struct gate_item *item, enum gate_outcome outcome, int64_t now_us);

/** Records the boot id of a reply, 0 when it has none; a changed one starts a cold start. */
void
gate_observe_boot_id (struct gate *gate, uint64_t boot_id);

/** Treats the target as in a cold start: drops its limit to the cold limit. */
void
gate_enter_cold_start (struct gate *gate, enum gate_cold_reason reason);

bool
gate_is_cold (const struct gate *gate);

/** When to call gate_start_next() and gate_take_rejected() again; INT64_MAX: nothing is queued. */
int64_t
gate_wake_us (const struct gate *gate);

/** Occupied slots: running sub-requests, and abandoned ones that may still run. */
int
gate_occupied (struct gate *gate, int64_t now_us);

const char *
gate_cold_reason_name (enum gate_cold_reason reason);
