/**
 * @file grants.h
 * The leader's table of leases: which processes may hold one, until when, and the revisions that
 * they reported. No I/O.
 */
#pragma once

#include "control/wire.h"

/** A process that another one has superseded is the current one again after the other's silence. */
enum { GRANT_SILENT_US = 2000000 };

/** A process that polled, with its lease; keyed by incarnation. */
struct grant {
	struct poll poll; /**< the newest one; reconciled and released never decrease */
	int64_t first_heard_us;
	int64_t last_heard_us;
	int64_t granted_until_us; /**< end of the lease by the leader's clock; 0: none */
	bool superseded;          /**< another process of the same name is the current one */
};

struct grants {
	struct grant *items;
	int count;
	int cap;
	uint32_t *slots; /**< hash table by incarnation; position in items plus one, 0: empty */
	uint32_t slot_count;
};

/** Summary of all processes that may hold a lease. */
struct grants_summary {
	uint64_t settled;  /**< all of them have released up to this revision; 0: unknown */
	uint64_t in_force; /**< all of them follow this revision or a later one; 0: unknown */
	uint32_t leaving_work;
	uint32_t old_work; /**< in flight at old targets of services that are shifting */
	int node_count;
};

void
grants_init (struct grants *grants);
void
grants_finish (struct grants *grants);

/** Records a poll and returns the entry of its process. */
struct grant *
grants_record_poll (struct grants *grants, const struct poll *poll, int64_t now_us);

/** Records that the process of an incarnation may hold a lease until @p until_us. */
void
grants_extend (struct grants *grants, uint64_t incarnation, int64_t until_us);

/** Removes processes that hold no lease and have been silent for @p keep_us. */
void
grants_expire (struct grants *grants, int64_t now_us, int64_t keep_us);

/** Removes all entries; called when leadership begins or ends. */
void
grants_clear (struct grants *grants);

/** Summarises the table; both revisions are @p commit when no process holds a lease. */
struct grants_summary
grants_summarise (const struct grants *grants, uint64_t commit, int64_t now_us);

/** The entry of an incarnation; NULL when unknown. */
const struct grant *
grants_find_incarnation (const struct grants *grants, uint64_t incarnation);

/** The current entry of a data folder; NULL when unknown. */
const struct grant *
grants_find_disk (const struct grants *grants, uint64_t disk_id);

/** The current entry of a node with a data folder, by its peer address; NULL when unknown. */
const struct grant *
grants_find_address (const struct grants *grants, const char *address);

/** The current entry of a name: the newest incarnation; NULL when unknown. */
const struct grant *
grants_find_name (const struct grants *grants, const char *name);
