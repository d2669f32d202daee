#include "control/owner.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Ranks of a candidate; separating replicas counts more than staying in the data centre. */
enum { RANK_SEPARATE = 2, RANK_SAME_DATA_CENTRE = 1 };

static int
rank_of (const struct view_target *target, const struct view_member *member, bool used)
{
	int rank = used ? 0 : RANK_SEPARATE;
	if (strcmp (target->data_centre, member->data_centre) == 0)
		rank += RANK_SAME_DATA_CENTRE;
	return rank;
}

static int
choose (const struct view *view, const struct view_target *target, const bool *used)
{
	int best = -1;
	int best_rank = -1;
	uint64_t best_score = 0;
	uint64_t seed = XXH64 (target->name, strlen (target->name), 0);
	for (int i = 0; i < view->member_count; i++) {
		const struct view_member *member = &view->members[i];
		if (member->leaving)
			continue;
		int rank = rank_of (target, member, used[i]);
		uint64_t score = XXH64 (member->name, strlen (member->name), seed);
		if (rank > best_rank || (rank == best_rank && score > best_score)) {
			best = i;
			best_rank = rank;
			best_score = score;
		}
	}
	return best;
}

void
owner_assign (struct view *view)
{
	bool *used = xcalloc ((size_t)view->member_count, sizeof (bool));
	for (int i = 0; i < view->target_count; i++)
		view->targets[i].owner = -1;
	for (int i = 0; i < view->service_count; i++) {
		struct view_service *service = &view->services[i];
		memset (used, 0, (size_t)view->member_count * sizeof (bool));
		for (int j = 0; j < service->target_count; j++) {
			struct view_target *target = &view->targets[service->targets[j]];
			target->owner = choose (view, target, used);
			if (target->owner >= 0)
				used[target->owner] = true;
		}
	}
	free (used);
}
