#include "control/grants.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>

void
grants_init (struct grants *grants)
{
	memset (grants, 0, sizeof (*grants));
}

void
grants_finish (struct grants *grants)
{
	free (grants->items);
	free (grants->slots);
	grants_init (grants);
}

void
grants_clear (struct grants *grants)
{
	grants->count = 0;
}

/* The slot of an incarnation, or the empty slot for it. */
static uint32_t *
find_slot (const struct grants *grants, uint64_t incarnation)
{
	uint32_t at = (uint32_t)(incarnation * 0x9e3779b97f4a7c15ULL >> 32) % grants->slot_count;
	while (grants->slots[at] &&
		grants->items[grants->slots[at] - 1].poll.incarnation != incarnation)
		at = (at + 1) % grants->slot_count;
	return &grants->slots[at];
}

/* Rebuilds the hash table; at most half of its slots are used. */
static void
reindex (struct grants *grants)
{
	free (grants->slots);
	grants->slot_count = (uint32_t)grants->cap * 2 + 2;
	grants->slots = xcalloc (grants->slot_count, sizeof (*grants->slots));
	for (int i = 0; i < grants->count; i++)
		*find_slot (grants, grants->items[i].poll.incarnation) = (uint32_t)i + 1;
}

static struct grant *
find_incarnation (const struct grants *grants, uint64_t incarnation)
{
	if (grants->count == 0 || !grants->slots)
		return NULL;
	uint32_t slot = *find_slot (grants, incarnation);
	return slot ? &grants->items[slot - 1] : NULL;
}

const struct grant *
grants_find_incarnation (const struct grants *grants, uint64_t incarnation)
{
	return find_incarnation (grants, incarnation);
}

static struct grant *
add_grant (struct grants *grants, const struct poll *poll, int64_t now_us)
{
	for (int i = 0; grants->items && i < grants->count; i++) {
		if (strcmp (grants->items[i].poll.name, poll->name) == 0)
			grants->items[i].superseded = true;
	}
	if (!grants->items || grants->count == grants->cap) {
		grants->cap = grants->cap ? grants->cap * 2 : 16;
		grants->items =
			xrealloc (grants->items, (size_t)grants->cap * sizeof (*grants->items));
	}
	struct grant *grant = &grants->items[grants->count++];
	memset (grant, 0, sizeof (*grant));
	grant->first_heard_us = now_us;
	grant->poll = *poll;
	reindex (grants);
	return grant;
}

/*
 * A poll of an ended process that arrives late must not put its successor aside for good. Of two
 * processes with a name, the one that goes on polling is the running one.
 */
static void
restore_if_running (struct grants *grants, struct grant *grant, int64_t now_us)
{
	struct grant *newest = NULL;
	for (int i = 0; i < grants->count && !newest; i++) {
		struct grant *other = &grants->items[i];
		if (!other->superseded && strcmp (other->poll.name, grant->poll.name) == 0)
			newest = other;
	}
	if (newest && newest->last_heard_us + GRANT_SILENT_US > now_us)
		return;
	if (newest)
		newest->superseded = true;
	grant->superseded = false;
}

struct grant *
grants_record_poll (struct grants *grants, const struct poll *poll, int64_t now_us)
{
	struct grant *grant = find_incarnation (grants, poll->incarnation);
	if (!grant)
		grant = add_grant (grants, poll, now_us);
	else if (grant->superseded)
		restore_if_running (grants, grant, now_us);
	/*
	 * Polls may arrive out of order, so the reported revisions never decrease, and the work is
	 * that at the newest one.
	 */
	uint64_t reconciled = grant->poll.reconciled;
	uint64_t released = grant->poll.released;
	uint32_t leaving_work = grant->poll.leaving_work;
	uint32_t old_work = grant->poll.old_work;
	bool exiting = grant->poll.exiting;
	grant->poll = *poll;
	if (reconciled > poll->reconciled) {
		grant->poll.reconciled = reconciled;
		grant->poll.leaving_work = leaving_work;
		grant->poll.old_work = old_work;
	}
	if (released > poll->released)
		grant->poll.released = released;
	grant->poll.exiting = exiting || poll->exiting;
	grant->last_heard_us = now_us;
	if (grant->poll.exiting)
		grant->granted_until_us = 0;
	return grant;
}

void
grants_extend (struct grants *grants, uint64_t incarnation, int64_t until_us)
{
	struct grant *grant = find_incarnation (grants, incarnation);
	if (grant && !grant->poll.exiting && until_us > grant->granted_until_us)
		grant->granted_until_us = until_us;
}

void
grants_expire (struct grants *grants, int64_t now_us, int64_t keep_us)
{
	int kept = 0;
	for (int i = 0; i < grants->count; i++) {
		const struct grant *grant = &grants->items[i];
		if (grant->granted_until_us > now_us || grant->last_heard_us + keep_us > now_us)
			grants->items[kept++] = *grant;
	}
	if (kept == grants->count)
		return;
	grants->count = kept;
	reindex (grants);
}

struct grants_summary
grants_summarise (const struct grants *grants, uint64_t commit, int64_t now_us)
{
	struct grants_summary summary = {.settled = commit, .in_force = commit};
	for (int i = 0; i < grants->count; i++) {
		const struct grant *grant = &grants->items[i];
		if (grant->granted_until_us <= now_us)
			continue;
		if (grant->poll.released < summary.settled)
			summary.settled = grant->poll.released;
		if (grant->poll.reconciled < summary.in_force)
			summary.in_force = grant->poll.reconciled;
		summary.leaving_work += grant->poll.leaving_work;
		summary.old_work += grant->poll.old_work;
		summary.node_count++;
	}
	return summary;
}

const struct grant *
grants_find_disk (const struct grants *grants, uint64_t disk_id)
{
	for (int i = 0; i < grants->count; i++) {
		if (!grants->items[i].superseded && grants->items[i].poll.disk_id == disk_id)
			return &grants->items[i];
	}
	return NULL;
}

const struct grant *
grants_find_address (const struct grants *grants, const char *address)
{
	for (int i = 0; i < grants->count; i++) {
		const struct grant *grant = &grants->items[i];
		if (!grant->superseded && grant->poll.disk_id != 0 &&
			strcmp (grant->poll.address, address) == 0)
			return grant;
	}
	return NULL;
}

const struct grant *
grants_find_name (const struct grants *grants, const char *name)
{
	for (int i = 0; i < grants->count; i++) {
		if (!grants->items[i].superseded && strcmp (grants->items[i].poll.name, name) == 0)
			return &grants->items[i];
	}
	return NULL;
}
