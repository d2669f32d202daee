#include "control/parts.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void
parts_init (struct parts *parts, uint64_t own)
{
	memset (parts, 0, sizeof (*parts));
	parts->own = own;
}

void
parts_finish (struct parts *parts)
{
	free (parts->holders);
	parts->holders = NULL;
	parts->count = 0;
}

static bool
is_in (const uint64_t *nodes, size_t count, uint64_t node)
{
	for (size_t i = 0; i < count; i++) {
		if (nodes[i] == node)
			return true;
	}
	return false;
}

void
parts_follow (struct parts *parts, const uint64_t *nodes, size_t count, bool listed, uint64_t epoch,
	uint64_t lease_generation)
{
	struct part_holder *holders = xcalloc (count + (size_t)parts->count + 1, sizeof (*holders));
	int kept = 0;
	for (size_t i = 0; i < count; i++)
		holders[kept++] = (struct part_holder){nodes[i], UINT64_MAX};
	for (int i = 0; i < parts->count; i++) {
		struct part_holder gone = parts->holders[i];
		if (is_in (nodes, count, gone.node))
			continue;
		if (gone.gone_epoch == UINT64_MAX)
			gone.gone_epoch = epoch;
		holders[kept++] = gone;
	}
	free (parts->holders);
	parts->holders = holders;
	parts->count = kept;
	parts->epoch = epoch;
	ownership_update (&parts->ownership, listed, epoch, lease_generation);
}

bool
parts_settle (struct parts *parts, uint64_t settled)
{
	int kept = 0;
	for (int i = 0; i < parts->count; i++) {
		if (parts->holders[i].gone_epoch > settled)
			parts->holders[kept++] = parts->holders[i];
	}
	bool changed = kept != parts->count;
	parts->count = kept;
	return changed;
}

int
parts_count (const struct parts *parts)
{
	return parts->count > 0 ? parts->count : 1;
}

int
parts_rank (const struct parts *parts, uint64_t target)
{
	uint64_t own = XXH64 (&parts->own, sizeof (parts->own), target);
	int rank = 0;
	for (int i = 0; i < parts->count; i++)
		rank += XXH64 (&parts->holders[i].node, sizeof (uint64_t), target) < own;
	return rank;
}

bool
parts_hold (struct parts *parts, bool has_lease, uint64_t lease_generation, uint64_t settled)
{
	ownership_check_lease (&parts->ownership, parts->epoch, lease_generation);
	return ownership_is_active (&parts->ownership, has_lease, settled);
}
