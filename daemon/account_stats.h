/**
 * @file account_stats.h
 * Counts the requests of each client account and their refusals by reason, for dumps and metrics.
 * No I/O.
 *
 * Made for thousands of accounts of which few send much: the busiest ones are reported
 * individually, the rest together. Accounts are known by name; their counts are kept when a later
 * routing does not declare them. One thread only.
 */
#pragma once

#include "core/buf.h"
#include "core/name_table.h"
#include "query/accounts.h"
#include "query/scatter.h"

enum {
	ACCOUNT_STATS_MAX = 16384,    /**< accounts with counts of their own; others share one */
	ACCOUNT_STATS_REPORTED = 100, /**< accounts that are reported individually */
};

/** Why a request of an account was refused; nothing of it ran. */
enum account_refusal {
	ACCOUNT_REFUSED_NO_VIEW,
	ACCOUNT_REFUSED_HEADERS,
	ACCOUNT_REFUSED_STOPPING,
	ACCOUNT_REFUSED_QUOTA,     /**< over its limit, or its reserves are used up */
	ACCOUNT_REFUSED_NO_HOLDER, /**< neither holder nor substitute could grant a token */
	ACCOUNT_REFUSED_NO_TARGET,
	ACCOUNT_REFUSED_NO_ROOM,
	ACCOUNT_REFUSED_DISPLACED,
	ACCOUNT_REFUSED_NO_BUDGET,
	ACCOUNT_REFUSED_TARGETS_BUSY,
	ACCOUNT_REFUSED_BY_TARGETS,
	ACCOUNT_REFUSED_NO_TIME,
	ACCOUNT_REFUSAL_COUNT,
};

struct account_stats {
	char *name; /**< owned; empty for all accounts beyond ACCOUNT_STATS_MAX */
	uint64_t id;
	uint64_t requests;
	uint64_t refused[ACCOUNT_REFUSAL_COUNT];
};

/** The counts of all accounts; all zero at first. */
struct account_table {
	struct account_stats *items;
	int count;
	int cap;
	struct name_table names; /**< positions in items */
};

void
account_table_finish (struct account_table *table);

/** The counts of an account; valid until the next call. */
struct account_stats *
account_table_get (struct account_table *table, const struct account *account);

/** The reason for a shard that was given up. */
enum account_refusal
account_refusal_of (enum give_up reason);

/** Appends the counts as a JSON object: "busiest" and "rest". */
void
account_table_write_json (const struct account_table *table, struct buf *out);

/** Appends the counts in the text exposition format; those of the rest have an empty name. */
void
account_table_write_metrics (const struct account_table *table, struct buf *out);
