#include "control/shares.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void
shares_init (struct shares *shares, uint64_t own_node)
{
	memset (shares, 0, sizeof (*shares));
	shares->own_node = own_node;
}

void
shares_finish (struct shares *shares)
{
	free (shares->holders);
	shares->holders = NULL;
	shares->count = 0;
}

static bool
contains (const uint64_t *nodes, size_t count, uint64_t node)
{
	for (size_t i = 0; i < count; i++) {
		if (nodes[i] == node)
			return true;
	}
	return false;
}

void
shares_update (struct shares *shares, const uint64_t *nodes, size_t count, bool listed,
	uint64_t epoch, uint64_t lease_generation)
{
	struct share_holder *holders =
		xcalloc (count + (size_t)shares->count + 1, sizeof (*holders));
	int kept = 0;
	for (size_t i = 0; i < count; i++)
		holders[kept++] = (struct share_holder){nodes[i], UINT64_MAX};
	for (int i = 0; i < shares->count; i++) {
		struct share_holder holder = shares->holders[i];
		if (contains (nodes, count, holder.node))
			continue;
		if (holder.left_epoch == UINT64_MAX)
			holder.left_epoch = epoch;
		holders[kept++] = holder;
	}
	free (shares->holders);
	shares->holders = holders;
	shares->count = kept;
	shares->epoch = epoch;
	ownership_update (&shares->ownership, listed, epoch, lease_generation);
}

bool
shares_settle (struct shares *shares, uint64_t settled)
{
	int kept = 0;
	for (int i = 0; i < shares->count; i++) {
		if (shares->holders[i].left_epoch > settled)
			shares->holders[kept++] = shares->holders[i];
	}
	bool changed = kept != shares->count;
	shares->count = kept;
	return changed;
}

int
shares_count (const struct shares *shares)
{
	return shares->count > 0 ? shares->count : 1;
}

int
shares_rank (const struct shares *shares, uint64_t target)
{
	uint64_t own_hash = XXH64 (&shares->own_node, sizeof (shares->own_node), target);
	int rank = 0;
	for (int i = 0; i < shares->count; i++)
		rank += XXH64 (&shares->holders[i].node, sizeof (uint64_t), target) < own_hash;
	return rank;
}

bool
share_is_usable (struct shares *shares, bool has_lease, uint64_t lease_generation, uint64_t settled)
{
	ownership_check_lease (&shares->ownership, shares->epoch, lease_generation);
	return ownership_is_active (&shares->ownership, has_lease, settled);
}
