#include "control/owner.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* The candidates of one data centre, so that the search for an owner can be limited to them. */
struct group {
	char data_centre[DATA_CENTRE_NAME_MAX + 1];
	int first; /* index into candidates.order */
	int count;
};

struct candidates {
	int *order;         /* member indices, sorted by data centre */
	uint64_t *hashes;   /* by member index */
	bool *owns_replica; /* by member index: owns another replica of the service */
	struct group *groups;
	int group_count;
	int count;
};

static int
compare_data_centre (const void *a, const void *b, void *user)
{
	const struct view *view = user;
	int x = *(const int *)a;
	int y = *(const int *)b;
	int order = strcmp (view->members[x].data_centre, view->members[y].data_centre);
	return order ? order : x - y;
}

static void
add_to_group (struct candidates *candidates, const struct view_member *member, int index)
{
	struct group *last =
		candidates->group_count ? &candidates->groups[candidates->group_count - 1] : NULL;
	if (!last || strcmp (last->data_centre, member->data_centre) != 0) {
		last = &candidates->groups[candidates->group_count++];
		str_copy (last->data_centre, sizeof (last->data_centre), member->data_centre);
		last->first = index;
		last->count = 0;
	}
	last->count++;
}

static void
candidates_init (struct candidates *candidates, struct view *view)
{
	size_t count = (size_t)view->member_count;
	candidates->order = xcalloc (count, sizeof (int));
	candidates->hashes = xcalloc (count, sizeof (uint64_t));
	candidates->owns_replica = xcalloc (count, sizeof (bool));
	candidates->groups = xcalloc (count, sizeof (struct group));
	candidates->group_count = 0;
	candidates->count = 0;
	for (int i = 0; i < view->member_count; i++) {
		const char *name = view->members[i].name;
		candidates->hashes[i] = XXH64 (name, strlen (name), 0);
		if (!view->members[i].leaving)
			candidates->order[candidates->count++] = i;
	}
	qsort_r (candidates->order, (size_t)candidates->count, sizeof (int), compare_data_centre,
		view);
	for (int i = 0; i < candidates->count; i++)
		add_to_group (candidates, &view->members[candidates->order[i]], i);
}

static void
candidates_finish (struct candidates *candidates)
{
	free (candidates->order);
	free (candidates->hashes);
	free (candidates->owns_replica);
	free (candidates->groups);
}

/* Mixes the two hashes with the multipliers of SplitMix64. */
static uint64_t
score_of (uint64_t member_hash, uint64_t target_hash)
{
	uint64_t z = (member_hash ^ target_hash) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 29)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 32);
}

/*
 * Returns the candidate with the highest score in a range, or -1. Members that own another replica
 * of the service are considered only if include_replica_owners is set.
 */
static int
best_of (const struct candidates *candidates, int first, int count, uint64_t target_hash,
	bool include_replica_owners)
{
	int best = -1;
	uint64_t best_score = 0;
	for (int i = first; i < first + count; i++) {
		int member = candidates->order[i];
		uint64_t score = score_of (candidates->hashes[member], target_hash);
		if ((!candidates->owns_replica[member] || include_replica_owners) &&
			(best < 0 || score > best_score)) {
			best = member;
			best_score = score;
		}
	}
	return best;
}

static const struct group *
find_group (const struct candidates *candidates, const char *data_centre)
{
	for (int i = 0; i < candidates->group_count; i++) {
		if (strcmp (candidates->groups[i].data_centre, data_centre) == 0)
			return &candidates->groups[i];
	}
	return NULL;
}

/*
 * Different owners for the replicas of a service matter more than an owner in the target's data
 * centre, so members of that data centre that own another replica are considered third.
 */
static int
choose_owner (const struct candidates *candidates, const struct view_target *target)
{
	uint64_t target_hash = XXH64 (target->name, strlen (target->name), 0);
	const struct group *local = find_group (candidates, target->data_centre);
	int best =
		local ? best_of (candidates, local->first, local->count, target_hash, false) : -1;
	if (best < 0)
		best = best_of (candidates, 0, candidates->count, target_hash, false);
	if (best < 0 && local)
		best = best_of (candidates, local->first, local->count, target_hash, true);
	if (best < 0)
		best = best_of (candidates, 0, candidates->count, target_hash, true);
	return best;
}

void
owner_assign (struct view *view)
{
	struct candidates candidates;
	candidates_init (&candidates, view);
	for (int i = 0; i < view->target_count; i++)
		view->targets[i].owner = -1;
	for (int i = 0; i < view->service_count; i++) {
		const struct view_service *service = &view->services[i];
		for (int j = 0; j < service->target_count; j++) {
			struct view_target *target = &view->targets[service->targets[j]];
			target->owner = choose_owner (&candidates, target);
			if (target->owner >= 0)
				candidates.owns_replica[target->owner] = true;
		}
		for (int j = 0; j < service->target_count; j++) {
			int owner = view->targets[service->targets[j]].owner;
			if (owner >= 0)
				candidates.owns_replica[owner] = false;
		}
	}
	candidates_finish (&candidates);
}
