/**
 * @file route_stats.h
 * Counts the requests on each declared route by outcome, with their latencies, for metrics. No I/O.
 *
 * One thread counts; any thread may read. The counts of a route are kept when a later routing no
 * longer declares it.
 */
#pragma once

#include "core/histogram.h"
#include "core/name_table.h"
#include "query/scatter.h"

enum { ROUTE_STATS_MAX = 1024 }; /**< routes with an entry of their own; further ones share one */

/** How a request ended for its caller. */
enum route_outcome {
	ROUTE_COMPLETE,
	ROUTE_LATE, /**< complete, but after the route's latency objective */
	ROUTE_PARTIAL,
	ROUTE_REFUSED,
	ROUTE_FAILED,
	ROUTE_CALLER_LEFT,
	ROUTE_OUTCOME_COUNT,
};

struct route_stats {
	struct cds_list_head node;
	char name[REPLICA_NAME_SIZE];
	_Atomic uint64_t outcomes[ROUTE_OUTCOME_COUNT];
	struct histogram answers; /**< latency of successful answers, also late and partial ones */
};

/** The statistics of all routes. */
struct route_table {
	struct cds_list_head routes; /**< grows only; read under RCU */
	int count;
	struct name_table names; /**< indices in entries; counting thread only */
	struct route_stats *entries[ROUTE_STATS_MAX + 1];
};

void
route_table_init (struct route_table *table);

/** Returns the statistics of a route; creates them if there are none. Counting thread only. */
struct route_stats *
route_table_get (struct route_table *table, const char *name);

/** Counts a request that ended; if its scatter is not done, its caller left. */
void
route_stats_record (struct route_stats *stats, const struct scatter *scatter, int64_t took_us);

/** Appends all statistics in the text exposition format. The thread must be RCU-registered. */
void
route_table_export (struct route_table *table, struct buf *out);
