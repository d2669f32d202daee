/**
 * @file target_load.h
 * The load and pace of one target, as one entry node knows them from reports and from its own
 * measurements. No I/O.
 *
 * Made for nodes that hear of a target rarely: a report is often seconds old and counts less with
 * its age. Machines are slow for 6 to 8 s, so a slow pace is remembered about as long, and a target
 * is then tried again. A report of a slow pace counts at once, one of a usual pace after a slow one
 * only in part. Reports that contradict the measured times are overruled by them after some
 * answers.
 */
#pragma once

#include "query/cost.h"

#include <stdbool.h>
#include <stdint.h>

enum {
	TARGET_PACE_DECAY_US = 8000000,  /**< the longest time that machines are slow */
	TARGET_USUAL_DECAY_US = 2000000, /**< decay of the moving average of the work */
	TARGET_WORK_MAX_US = 2000000,    /**< reported work beyond this does not count */
	TARGET_SLOTS_MAX = 1024,         /**< more reported slots are ignored */
	TARGET_BIAS_USUAL = 100,
	TARGET_BIAS_MIN = 10,
	TARGET_BIAS_MAX = 2000,
	/** Five answers in a row (1.25 to the fifth) turn the bias past these limits. */
	TARGET_BIAS_HIGH = 300,
	TARGET_BIAS_LOW = 33,
};

/** Zero before the first report. */
struct target_load {
	struct load_report report; /**< the newest */
	int64_t reported_us;       /**< time of the newest report; 0: none */
	int64_t work_us;           /**< outstanding work then, in time of one slot */
	int64_t usual_us;          /**< moving average of work_us */
	int slots;                 /**< as reported; 0: not */
	int pace;                  /**< percent; 0: never reported */
	int64_t paced_us;          /**< when pace was reported */
	int bias;            /**< measured time in percent of that expected; 0: not measured */
	int64_t measured_us; /**< when bias was updated */
};

/**
 * Records a report. Reports that are not newer than the known one change nothing.
 * @param mean_work_us mean work of the requests at this target
 * @param at_us when the target made the report
 * @return false if it is not newer
 */
bool
target_load_report (struct target_load *load, const struct load_report *report,
	int64_t mean_work_us, int64_t at_us);

/**
 * Compares the measured time of an answer with that expected from the pace reported with it.
 * @param work_us see cost_work_us
 * @param usual_work_us median work of the route
 */
void
target_load_measure (
	struct target_load *load, int64_t work_us, int64_t usual_work_us, int64_t now_us);

/** Limits the moving average of the outstanding work to what a measured time allows. */
void
target_load_limit (struct target_load *load, int64_t work_us);

/** The pace to expect now, in percent; 0 if the target has never reported one. */
int
target_load_pace (const struct target_load *load, int64_t now_us);

/** The reported work that is likely to be left, in time of one slot. */
int64_t
target_load_work_us (const struct target_load *load, int slots, int64_t now_us);
