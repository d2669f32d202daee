/**
 * @file load_reports.h
 * Reports of slow targets that entry nodes pass on to each other with the results of batches. No
 * I/O.
 *
 * Made for nodes that send to each target once in many seconds, so that a machine that is slow for
 * 6 to 8 s has recovered before they hear of it themselves. Only slow targets, and those that have
 * just recovered, are named; in quiet times nothing is sent.
 */
#pragma once

#include "query/batch.h"
#include "query/replica.h"

enum {
	LOAD_REPORTS_SLOW_PACE = 150,
	LOAD_REPORTS_MAX_AGE_US = 5000000,
	/**
	 * Added to the age at each node. It exceeds the usual delay of a message, so that a report
	 * that returns is not newer than the one that was passed on.
	 */
	LOAD_REPORTS_HOP_US = 20000,
};

/**
 * Collects the reports that other nodes should know of, slow targets first.
 * @param sets struct replica_set
 * @return their number, at most BATCH_MAX_LOADS
 */
int
load_reports_collect (
	const struct cds_list_head *sets, int64_t now_us, struct batch_load loads[BATCH_MAX_LOADS]);

/** Records reports of another node; unknown targets are ignored. */
void
load_reports_apply (const struct cds_list_head *sets, const struct batch_load *loads, int count,
	int64_t now_us);
