#include "query/load_reports.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
hash_of (const char *name)
{
	return XXH64 (name, strlen (name), 0);
}

static bool
is_slow (const struct replica *replica)
{
	return replica->load.report.pace >= LOAD_REPORTS_SLOW_PACE;
}

/* Whether its newest report is a usual one, and an earlier slow one still counts. */
static bool
has_recovered (const struct replica *replica)
{
	const struct target_load *load = &replica->load;
	return load->report.pace > 0 && !is_slow (replica) && load->pace >= LOAD_REPORTS_SLOW_PACE;
}

static int
collect (const struct replica_set *set, bool (*is_wanted) (const struct replica *), int64_t now_us,
	struct batch_load *loads, int count)
{
	const struct replica *replica;
	/* Costs nothing by target where none reports. */
	if (set->reported_us == 0 || now_us - set->reported_us > LOAD_REPORTS_MAX_AGE_US)
		return count;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		int64_t age_us = now_us - replica->load.reported_us;
		if (count == BATCH_MAX_LOADS)
			return count;
		if (replica->load.reported_us == 0 || age_us > LOAD_REPORTS_MAX_AGE_US ||
			!is_wanted (replica))
			continue;
		loads[count++] = (struct batch_load){.service = hash_of (set->name),
			.target = hash_of (replica->id),
			.report = replica->load.report,
			.age_us = (age_us > 0 ? age_us : 0) + LOAD_REPORTS_HOP_US};
	}
	return count;
}

int
load_reports_collect (
	const struct cds_list_head *sets, int64_t now_us, struct batch_load loads[BATCH_MAX_LOADS])
{
	const struct replica_set *set;
	int count = 0;
	cds_list_for_each_entry (set, sets, node)
		count = collect (set, is_slow, now_us, loads, count);
	cds_list_for_each_entry (set, sets, node)
		count = collect (set, has_recovered, now_us, loads, count);
	return count;
}

static void
apply (const struct replica_set *set, const struct batch_load *load, int64_t now_us)
{
	struct replica *replica;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (hash_of (replica->id) == load->target)
			replica_note_report (replica, &load->report, now_us - load->age_us);
	}
}

void
load_reports_apply (
	const struct cds_list_head *sets, const struct batch_load *loads, int count, int64_t now_us)
{
	const struct replica_set *set;
	if (count == 0)
		return;
	cds_list_for_each_entry (set, sets, node) {
		uint64_t service = hash_of (set->name);
		for (int i = 0; i < count; i++) {
			if (loads[i].service == service)
				apply (set, &loads[i], now_us);
		}
	}
}
