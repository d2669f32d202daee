#include "targets/hint.h"

#include "core/buf.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

char *
snapshot_format (snapshot_t snapshot, char out[24])
{
	snprintf (out, 24, "%" PRIu32 ".%" PRIu32, snapshot_layout (snapshot), (uint32_t)snapshot);
	return out;
}

snapshot_t
snapshot_parse (const char *text)
{
	char *end = NULL;
	unsigned long layout = strtoul (text, &end, 10);
	if (end == text || *end != '.' || layout == 0 || layout > UINT32_MAX)
		return 0;
	const char *second = end + 1;
	unsigned long version = strtoul (second, &end, 10);
	if (end == second || version == 0 || version > UINT32_MAX)
		return 0;
	return (uint64_t)layout << 32 | version;
}

void
hint_table_init (struct hint_table *table)
{
	pthread_mutex_init (&table->lock, NULL);
	for (int i = 0; i < HINT_BUCKETS; i++) {
		CDS_INIT_LIST_HEAD (&table->targets[i]);
		CDS_INIT_LIST_HEAD (&table->services[i]);
		CDS_INIT_LIST_HEAD (&table->members[i]);
	}
}

static void
free_bucket (struct cds_list_head *head)
{
	struct hint_entry *entry;
	struct hint_entry *next;
	cds_list_for_each_entry_safe (entry, next, head, node)
		free (entry);
}

void
hint_table_finish (struct hint_table *table)
{
	for (int i = 0; i < HINT_BUCKETS; i++) {
		free_bucket (&table->targets[i]);
		free_bucket (&table->services[i]);
		free_bucket (&table->members[i]);
	}
	pthread_mutex_destroy (&table->lock);
}

/* The caller holds the table's lock. */
static struct hint_entry *
find_or_add (struct cds_list_head *buckets, const char *name, int *added)
{
	struct cds_list_head *head = &buckets[XXH64 (name, strlen (name), 0) % HINT_BUCKETS];
	struct hint_entry *entry;
	cds_list_for_each_entry (entry, head, node) {
		if (strcmp (entry->name, name) == 0)
			return entry;
	}
	entry = xcalloc (1, sizeof (*entry));
	str_copy (entry->name, sizeof (entry->name), name);
	cds_list_add (&entry->node, head);
	*added = 1;
	return entry;
}

struct target_hint *
hint_table_target (struct hint_table *table, const char *name)
{
	int added = 0;
	pthread_mutex_lock (&table->lock);
	struct hint_entry *entry = find_or_add (table->targets, name, &added);
	pthread_mutex_unlock (&table->lock);
	return &entry->u.target;
}

struct member_hint *
hint_table_member (struct hint_table *table, const char *name)
{
	int added = 0;
	pthread_mutex_lock (&table->lock);
	struct hint_entry *entry = find_or_add (table->members, name, &added);
	pthread_mutex_unlock (&table->lock);
	return &entry->u.member;
}

struct service_hint *
hint_table_service (struct hint_table *table, const char *name)
{
	int added = 0;
	pthread_mutex_lock (&table->lock);
	struct hint_entry *entry = find_or_add (table->services, name, &added);
	if (added) {
		quantile_init (&entry->u.service.latency);
		budget_init (&entry->u.service.extra_budget);
	}
	pthread_mutex_unlock (&table->lock);
	return &entry->u.service;
}

void
target_hint_set_held (struct target_hint *hint, const snapshot_t *held, int count, int64_t now_us)
{
	for (int i = 0; i < MAX_HELD_SNAPSHOTS; i++)
		atomic_store_explicit (
			&hint->held[i], i < count ? held[i] : 0, memory_order_relaxed);
	atomic_store_explicit (&hint->held_at_us, now_us, memory_order_release);
}

int
target_hint_may_hold (const struct target_hint *hint, snapshot_t snapshot)
{
	if (atomic_load_explicit (&hint->held_at_us, memory_order_acquire) == 0)
		return 1;
	for (int i = 0; i < MAX_HELD_SNAPSHOTS; i++) {
		if (atomic_load_explicit (&hint->held[i], memory_order_relaxed) == snapshot)
			return 1;
	}
	return 0;
}
