/**
 * @file grants.h
 * The leader's table of leases: who may hold one, until when, and at which revision. No I/O.
 */
#pragma once

#include "control/wire.h"

/** One process that polled; keyed by incarnation. */
struct grant {
	struct poll poll; /**< its newest report */
	int64_t first_heard_us;
	int64_t last_heard_us;
	int64_t granted_until_us; /**< by the leader's clock; 0: never granted */
	bool superseded;          /**< a newer incarnation has the same name */
};

struct grants {
	struct grant *items;
	int count;
	int cap;
	uint32_t *slots; /**< open-addressing index by incarnation; position plus one */
	uint32_t slot_count;
};

/** What the table says of all leases together. */
struct grants_summary {
	uint64_t settled;  /**< all possible holders have released up to here; 0: not known */
	uint64_t in_force; /**< all possible holders act on this or later; 0: not known */
	uint32_t leaving_work;
	int node_count;
};

void
grants_init (struct grants *grants);
void
grants_finish (struct grants *grants);

/** Records a report and returns its entry. */
struct grant *
grants_record_poll (struct grants *grants, const struct poll *poll, int64_t now_us);

/** Records that the process of this incarnation may hold a lease until then. */
void
grants_extend (struct grants *grants, uint64_t incarnation, int64_t until_us);

/** Drops processes that hold no lease and were silent for @p keep_us. */
void
grants_expire (struct grants *grants, int64_t now_us, int64_t keep_us);

/** Forgets everything; a new leader starts like this. */
void
grants_clear (struct grants *grants);

/** Sums up; @p commit is the answer where nobody holds a lease. */
struct grants_summary
grants_summarise (const struct grants *grants, uint64_t commit, int64_t now_us);

/** The entry of an incarnation; NULL when unknown. */
const struct grant *
grants_find_incarnation (const struct grants *grants, uint64_t incarnation);

/** The current entry of a name: the newest incarnation; NULL when unknown. */
const struct grant *
grants_find_name (const struct grants *grants, const char *name);
