/**
 * @file route_stats.h
 * What became of the requests on each declared route, for metrics.
 *
 * One thread counts; any thread may read. A route's counts outlive the routing that named it.
 */
#pragma once

#include "core/histogram.h"
#include "query/scatter.h"

enum { ROUTE_STATS_MAX = 1024 }; /**< routes that are told apart; others share one entry */

/** How a request ended for its caller. */
enum route_outcome {
	ROUTE_WHOLE,
	ROUTE_LATE,
	ROUTE_PARTIAL,
	ROUTE_REFUSED,
	ROUTE_FAILED,
	ROUTE_CALLER_LEFT,
	ROUTE_OUTCOMES,
};

struct route_stats {
	struct cds_list_head node;
	char name[REPLICA_NAME_SIZE];
	_Atomic uint64_t outcomes[ROUTE_OUTCOMES];
	struct histogram answers; /**< time of those that were answered with success */
};

/** The counts of all routes. */
struct route_table {
	struct cds_list_head routes; /**< grows only; read under RCU */
	int count;
};

void
route_table_init (struct route_table *table);

/** The counts of a route, created when they are not known yet. One thread only. */
struct route_stats *
route_table_get (struct route_table *table, const char *name);

/** Counts an ended request. */
void
route_stats_note (struct route_stats *stats, const struct scatter *scatter, int64_t took_us);

/** Appends all counts in the text exposition format. The thread is RCU-registered. */
void
route_table_export (struct route_table *table, struct buf *out);
