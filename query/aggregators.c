#include "query/aggregators.h"

#include "core/buf.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { CANDIDATES_MAX = 256 };

void
aggregators_init (struct aggregators *aggregators, uint64_t own_hash)
{
	memset (aggregators, 0, sizeof (*aggregators));
	aggregators->own_hash = own_hash;
	CDS_INIT_LIST_HEAD (&aggregators->nodes);
}

int
aggregator_max_groups (int nodes, int min_nodes)
{
	int groups = 1;
	if (min_nodes <= 0)
		return 0;
	while (groups * 2 * min_nodes <= nodes)
		groups *= 2;
	return groups > 1 ? groups : 0;
}

int
aggregator_groups (const struct aggregators *aggregators, int shards)
{
	int groups = 1;
	while (groups * 2 <= aggregators->max_groups && 3 * groups * groups <= shards)
		groups *= 2;
	return groups > 1 ? groups : 0;
}

struct aggregator_group
aggregator_group_get (const struct aggregators *aggregators, int groups, int group)
{
	struct aggregator_group result = {.groups = groups, .own_rank = -1};
	const struct aggregator *aggregator;
	const struct aggregator *own = aggregators->own;
	bool is_own = own && aggregator_group_of_node (own, groups) == group;
	int lower = 0;
	cds_list_for_each_entry (aggregator, &aggregators->nodes, node) {
		if (!aggregator->declared || aggregator_group_of_node (aggregator, groups) != group)
			continue;
		result.nodes++;
		lower += aggregator->entry.hash < aggregators->own_hash;
	}
	if (is_own)
		result.own_rank = lower;
	result.users = result.nodes + 1;
	return result;
}

struct aggregator_group
aggregator_group_merge (struct aggregator_group a, struct aggregator_group b)
{
	return a.nodes >= b.nodes ? a : b;
}

int
aggregator_group_of_shard (int shard, int groups)
{
	return shard % groups;
}

int
aggregator_group_of_node (const struct aggregator *aggregator, int groups)
{
	uint64_t at = (uint64_t)(aggregator->place * groups / aggregator->places);
	uint64_t first = aggregator->data_centre_hash % (uint64_t)groups;
	return (int)((first + at) % (uint64_t)groups);
}

/* By data centre, then by hash; nodes that are not listed come last. */
static int
compare_places (const void *a, const void *b)
{
	const struct aggregator *left = *(const struct aggregator *const *)a;
	const struct aggregator *right = *(const struct aggregator *const *)b;
	if (left->declared != right->declared)
		return left->declared ? -1 : 1;
	int order = strcmp (left->entry.data_centre, right->entry.data_centre);
	if (order != 0)
		return order;
	return left->entry.hash < right->entry.hash ? -1 : left->entry.hash > right->entry.hash;
}

static void
assign_places (struct aggregators *aggregators, size_t count)
{
	struct aggregator **nodes = xcalloc (count + 1, sizeof (*nodes));
	struct aggregator *aggregator;
	size_t listed = 0;
	cds_list_for_each_entry (aggregator, &aggregators->nodes, node) {
		if (aggregator->declared && listed < count)
			nodes[listed++] = aggregator;
	}
	qsort (nodes, listed, sizeof (*nodes), compare_places);
	for (size_t first = 0; first < listed;) {
		size_t end = first;
		while (end < listed && strcmp (nodes[end]->entry.data_centre,
					       nodes[first]->entry.data_centre) == 0)
			end++;
		for (size_t i = first; i < end; i++) {
			nodes[i]->place = (int)(i - first);
			nodes[i]->places = (int)(end - first);
		}
		first = end;
	}
	free (nodes);
}

static struct aggregator *
find (struct aggregators *aggregators, const struct entry_node *entry)
{
	struct aggregator *aggregator;
	cds_list_for_each_entry (aggregator, &aggregators->nodes, node) {
		if (aggregator->entry.hash == entry->hash &&
			strcmp (aggregator->entry.address, entry->address) == 0)
			return aggregator;
	}
	return NULL;
}

static uint64_t
hash_of (const char *name)
{
	return XXH64 (name, strlen (name), 0);
}

void
aggregators_update (struct aggregators *aggregators, const struct entry_node *entries, size_t count,
	int min_nodes)
{
	struct aggregator *aggregator;
	aggregators->max_groups = aggregator_max_groups ((int)count, min_nodes);
	aggregators->own = NULL;
	cds_list_for_each_entry (aggregator, &aggregators->nodes, node)
		aggregator->declared = false;
	if (aggregators->max_groups == 0)
		return;
	for (size_t i = 0; i < count; i++) {
		aggregator = find (aggregators, &entries[i]);
		if (!aggregator) {
			aggregator = xcalloc (1, sizeof (*aggregator));
			cds_list_add (&aggregator->node, &aggregators->nodes);
		}
		aggregator->entry = entries[i];
		aggregator->data_centre_hash = hash_of (entries[i].data_centre);
		aggregator->declared = true;
		if (entries[i].hash == aggregators->own_hash)
			aggregators->own = aggregator;
	}
	assign_places (aggregators, count);
}

struct aggregator *
aggregators_remove_unused (struct aggregators *aggregators)
{
	struct aggregator *aggregator;
	cds_list_for_each_entry (aggregator, &aggregators->nodes, node) {
		if (aggregator->declared || aggregator->in_flight > 0)
			continue;
		cds_list_del (&aggregator->node);
		return aggregator;
	}
	return NULL;
}

static bool
was_tried (const struct aggregator_criteria *criteria, const struct aggregator *aggregator)
{
	for (int i = 0; i < criteria->tried_count; i++) {
		if (criteria->tried[i] == aggregator)
			return true;
	}
	return false;
}

/* Lower is better. A hop within a data centre and sub-requests within one cost the least. */
static int
distance (const struct aggregator_criteria *criteria, const struct aggregator *aggregator)
{
	const char *data_centre = aggregator->entry.data_centre;
	bool is_own = strcmp (data_centre, criteria->data_centre) == 0;
	bool is_home = aggregator_homes_contain (criteria->homes, data_centre);
	if (is_home)
		return is_own ? 0 : 1;
	return is_own ? 2 : 3;
}

static bool
may_serve (const struct aggregator *aggregator, const struct aggregator_criteria *criteria,
	int64_t now_us)
{
	return aggregator->declared &&
	       aggregator_group_of_node (aggregator, criteria->groups) == criteria->group &&
	       !aggregator->entry.leaving && aggregator->avoid_until_us <= now_us &&
	       !was_tried (criteria, aggregator);
}

/* The nodes at the shortest distance that may serve. */
static int
find_candidates (const struct aggregators *aggregators, const struct aggregator_criteria *criteria,
	int64_t now_us, struct aggregator **candidates)
{
	struct aggregator *aggregator;
	int best = INT_MAX;
	int count = 0;
	cds_list_for_each_entry (aggregator, &aggregators->nodes, node) {
		if (!may_serve (aggregator, criteria, now_us))
			continue;
		int here = distance (criteria, aggregator);
		if (here < best)
			count = 0;
		if (here <= best && count < CANDIDATES_MAX)
			candidates[count++] = aggregator;
		best = here < best ? here : best;
	}
	return count;
}

static uint64_t
preference (const struct aggregator *aggregator, uint64_t seed)
{
	return XXH64 (&aggregator->entry.hash, sizeof (uint64_t), seed);
}

/* Moves the node that comes next in the order of a seed to the front of the array. */
static void
move_next_to_front (struct aggregator **nodes, int count, uint64_t seed)
{
	for (int i = 1; i < count; i++) {
		if (preference (nodes[i], seed) <= preference (nodes[0], seed))
			continue;
		struct aggregator *other = nodes[0];
		nodes[0] = nodes[i];
		nodes[i] = other;
	}
}

struct aggregator *
aggregator_choose (
	struct aggregators *aggregators, const struct aggregator_criteria *criteria, int64_t now_us)
{
	struct aggregator *candidates[CANDIDATES_MAX];
	struct aggregator *best = NULL;
	if (aggregators->own &&
		aggregator_group_of_node (aggregators->own, criteria->groups) == criteria->group)
		return NULL;
	int count = find_candidates (aggregators, criteria, now_us, candidates);
	for (int i = 0; i < AGGREGATOR_PREFERRED && i < count; i++) {
		move_next_to_front (candidates + i, count - i, aggregators->own_hash);
		if (!best || candidates[i]->in_flight < best->in_flight)
			best = candidates[i];
	}
	return best;
}

void
aggregator_batch_ended (
	struct aggregator *aggregator, enum aggregator_outcome outcome, int64_t now_us)
{
	int64_t avoid_us = AGGREGATOR_AVOID_US;
	aggregator->in_flight--;
	switch (outcome) {
	case AGGREGATOR_ANSWERED:
		aggregator->failures = 0;
		aggregator->avoid_until_us = 0;
		return;
	case AGGREGATOR_REFUSED:
	case AGGREGATOR_ABANDONED:
		return;
	case AGGREGATOR_FAILED:
		for (int i = 0; i < aggregator->failures && avoid_us < AGGREGATOR_AVOID_MAX_US; i++)
			avoid_us *= 2;
		aggregator->failures++;
		aggregator->avoid_until_us = now_us + avoid_us;
		return;
	}
}

void
aggregator_homes_add (struct aggregator_homes *homes, const char *data_centre)
{
	if (homes->count < AGGREGATOR_HOMES_MAX && !aggregator_homes_contain (homes, data_centre))
		str_copy (homes->names[homes->count++], DATA_CENTRE_NAME_SIZE, data_centre);
}

bool
aggregator_homes_contain (const struct aggregator_homes *homes, const char *data_centre)
{
	for (int i = 0; i < homes->count; i++) {
		if (strcmp (homes->names[i], data_centre) == 0)
			return true;
	}
	return false;
}
