/**
 * @file cost.h
 * How much work a request on a route is likely to cause at a target. No I/O.
 *
 * Made for routes whose requests look alike but cost from a few to a hundred milliseconds, and for
 * targets that are several times slower than usual at times. Work is the time that a target takes
 * at its usual pace, without queueing. One estimate per route bounds the memory, however many paths
 * callers use; a new path has the estimate of its route.
 */
#pragma once

#include "query/quantile.h"

#include <stdbool.h>
#include <stdint.h>

enum {
	COST_PACE_USUAL = 100, /**< percent of the usual time */
	/** Reported paces outside of these bounds count as the bound. */
	COST_PACE_MIN = 80,
	COST_PACE_MAX = 3000,
	/** Answers of slower or more loaded targets say too little about the work. */
	COST_PACE_PLAUSIBLE = 200,
	COST_QUEUE_PLAUSIBLE = 4, /**< waiting requests by slots */
	COST_TAIL_PERCENTILE = 92,
	COST_MEAN_MAX_MEDIANS = 8, /**< a pause of the target does not count as work beyond this */
	COST_MEAN_WEIGHT = 16,     /**< inverse weight of an observation in the mean */
};

/** What a target reported about itself. */
struct load_report {
	int running; /**< requests */
	int waiting; /**< requests */
	int slots;   /**< 0: unknown */
	int pace;    /**< percent of the usual time that work takes; 0: unknown */
};

/** The observed work of a route's requests. One thread observes. */
struct cost {
	struct quantile work;
	int64_t mean_us; /**< moving average; 0: none yet */
};

/** The likely work of a request, in microseconds at the usual pace. */
struct cost_estimate {
	int64_t median_us;
	int64_t mean_us;
	int64_t tail_us;   /**< at COST_TAIL_PERCENTILE */
	int64_t spread_us; /**< from the median to the tail */
};

void
cost_init (struct cost *cost);

/** Records the work that a request has caused; see cost_work_us. */
void
cost_observe (struct cost *cost, int64_t work_us);

/** Whether the work of a request can be told from its time at a target with this report. */
bool
cost_is_plausible (const struct load_report *report);

/**
 * Returns false, with all values 0, until a request was observed. With fewer than some twenty, the
 * mean stands for the median, and the tail is twice as long.
 */
bool
cost_estimate (const struct cost *cost, struct cost_estimate *estimate);

/**
 * The work of a request that was answered: its time at the target less the queueing time that the
 * report suggests, scaled to the usual pace.
 * @param at_target_us from sending to answer, less network and connecting
 */
int64_t
cost_work_us (int64_t at_target_us, const struct load_report *report);
