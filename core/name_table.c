#include "core/name_table.h"

#include "core/buf.h"

#include <assert.h>
#include <stdlib.h>

struct name_table_slot {
	uint64_t hash;
	int index; /* plus one; 0: empty */
};

void
name_table_init (struct name_table *table, size_t count)
{
	size_t size = 4;
	while (size < count * 2)
		size *= 2;
	table->slots = xcalloc (size, sizeof (*table->slots));
	table->mask = size - 1;
}

void
name_table_finish (struct name_table *table)
{
	free (table->slots);
	table->slots = NULL;
}

void
name_table_add (struct name_table *table, uint64_t hash, int index)
{
	size_t at = hash & table->mask;
	size_t probes = 0;
	while (table->slots[at].index != 0) {
		at = (at + 1) & table->mask;
		assert (++probes <= table->mask);
	}
	table->slots[at] = (struct name_table_slot){hash, index + 1};
}

struct name_table_search
name_table_find (const struct name_table *table, uint64_t hash)
{
	return (struct name_table_search){table, hash, hash & table->mask};
}

int
name_table_next (struct name_table_search *search)
{
	const struct name_table *table = search->table;
	while (table->slots && table->slots[search->at].index != 0) {
		const struct name_table_slot *slot = &table->slots[search->at];
		search->at = (search->at + 1) & table->mask;
		if (slot->hash == search->hash)
			return slot->index - 1;
	}
	return -1;
}
