/**
 * @file name_table.h
 * A hash table from names to indices of the caller's array, which holds the names.
 *
 * The caller compares the names: several entries may have one hash, and are found in the order in
 * which they were added. The table does not grow.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

struct name_table {
	struct name_table_slot *slots; /**< NULL while nothing can be added */
	size_t mask;                   /**< number of slots less one */
};

/** Walks the entries of one hash. */
struct name_table_search {
	const struct name_table *table;
	uint64_t hash;
	size_t at;
};

/** An empty table for up to @p count entries. */
void
name_table_init (struct name_table *table, size_t count);
void
name_table_finish (struct name_table *table);

void
name_table_add (struct name_table *table, uint64_t hash, int index);

struct name_table_search
name_table_find (const struct name_table *table, uint64_t hash);

/** The index of the next entry with the hash; -1 when there are no more. */
int
name_table_next (struct name_table_search *search);
