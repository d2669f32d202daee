#include "control/ownership.h"

bool
ownership_update (struct ownership *ownership, bool mine, uint64_t epoch, uint64_t lease_generation)
{
	bool is_new = mine && !ownership->mine;
	ownership->mine = mine;
	if (is_new) {
		ownership->since_epoch = epoch;
		ownership->lease_generation = lease_generation;
	}
	return is_new;
}

bool
ownership_check_lease (struct ownership *ownership, uint64_t epoch, uint64_t lease_generation)
{
	if (!ownership->mine || ownership->lease_generation == lease_generation)
		return false;
	ownership->lease_generation = lease_generation;
	ownership->since_epoch = epoch;
	return true;
}

bool
ownership_is_active (const struct ownership *ownership, bool has_lease, uint64_t settled)
{
	return ownership->mine && has_lease && settled >= ownership->since_epoch;
}
