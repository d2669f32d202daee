#include "control/tenure.h"

bool
tenure_follow (struct tenure *tenure, bool mine, uint64_t epoch, uint64_t lease_generation)
{
	bool fresh = mine && !tenure->mine;
	tenure->mine = mine;
	if (fresh) {
		tenure->since_epoch = epoch;
		tenure->lease_generation = lease_generation;
	}
	return fresh;
}

bool
tenure_check_lease (struct tenure *tenure, uint64_t epoch, uint64_t lease_generation)
{
	if (!tenure->mine || tenure->lease_generation == lease_generation)
		return false;
	tenure->lease_generation = lease_generation;
	tenure->since_epoch = epoch;
	return true;
}

bool
tenure_holds (const struct tenure *tenure, bool has_lease, uint64_t settled)
{
	return tenure->mine && has_lease && settled >= tenure->since_epoch;
}
