#include "query/replica.h"

#include "core/buf.h"

#include <string.h>

void
replica_set_init (struct replica_set *set, const char *name)
{
	memset (set, 0, sizeof (*set));
	str_copy (set->name, sizeof (set->name), name);
	CDS_INIT_LIST_HEAD (&set->replicas);
	CDS_INIT_LIST_HEAD (&set->waiting);
	set->connections = 1;
}

int
replica_connections (int most, int nodes)
{
	int part = most / (2 * nodes);
	if (part < 2)
		part = most / nodes < 2 ? most / nodes : 2;
	return part < 1 ? 1 : part;
}

bool
replica_usable (const struct replica *replica)
{
	return replica->listed && replica->state == REPLICA_READY && !replica->evacuated;
}

static bool
was_tried (const struct replica_wish *wish, const struct replica *replica)
{
	for (int i = 0; i < wish->tried_count; i++) {
		if (wish->tried[i] == replica)
			return true;
	}
	return false;
}

/* The age of the oldest unanswered sub-request shows a pause before any reply can. */
static bool
is_stalled (struct replica *replica, int64_t usual_us, int64_t now_us)
{
	if (cds_list_empty (&replica->running))
		return false;
	const struct replica_use *oldest =
		cds_list_entry (replica->running.next, struct replica_use, node);
	int64_t limit_us = usual_us * 3;
	if (limit_us < REPLICA_STALL_LEAST_US)
		limit_us = REPLICA_STALL_LEAST_US;
	return oldest->sent_us + limit_us < now_us;
}

/*
 * A node that asks seldom would have forgotten a slow target each time it asks again, and pay for
 * the same lesson with nearly every request.
 */
static int64_t
memory_us (const struct replica_set *set)
{
	int64_t us = set->gap_us * REPLICA_MEMORY_REQUESTS;
	if (us < REPLICA_MEMORY_US)
		return REPLICA_MEMORY_US;
	return us < REPLICA_MEMORY_MAX_US ? us : REPLICA_MEMORY_MAX_US;
}

/* Fades with time, so that a target which has recovered is tried again. */
static int64_t
faded (int64_t value, const struct replica *replica, int64_t now_us)
{
	int64_t age_us = now_us - replica->seen_us;
	int64_t whole_us = memory_us (replica->set);
	return age_us >= whole_us ? 0 : value * (whole_us - age_us) / whole_us;
}

static void
note_asked (struct replica_set *set, int64_t now_us)
{
	int64_t gap_us = now_us - set->asked_us;
	if (set->asked_us > 0)
		set->gap_us += ((gap_us < REPLICA_GAP_MAX_US ? gap_us : REPLICA_GAP_MAX_US) -
				       set->gap_us) /
			       8;
	set->asked_us = now_us;
}

static int64_t
expected_us (struct replica *replica, const struct replica_wish *wish, int64_t now_us)
{
	int64_t work_us = wish->usual_us;
	if (replica->latency_us > 0)
		work_us += faded (replica->latency_us - wish->usual_us, replica, now_us);
	int load = replica->in_flight;
	if (replica->reported_us + REPLICA_LOAD_FRESH_US > now_us && replica->reported_load > load)
		load = replica->reported_load;
	int slots = replica->slots > 0 ? replica->slots : 1;
	int64_t wait_us = work_us + work_us * load / (2 * slots);
	if (load >= slots)
		wait_us += work_us * (load - slots + 1) / slots;
	wait_us += faded (replica->trouble, replica, now_us) * wish->usual_us *
		   REPLICA_TROUBLE_COST / REPLICA_TROUBLE_UNIT;
	if (strcmp (replica->data_centre, wish->data_centre) != 0)
		wait_us += REPLICA_REMOTE_US;
	if (is_stalled (replica, wish->usual_us, now_us))
		wait_us += REPLICA_STALL_COST_US;
	if (replica->avoid_until_us > now_us)
		wait_us += REPLICA_FAILURE_AVOID_US;
	return wait_us;
}

enum replica_verdict
replica_choose (struct replica_set *set, const struct replica_wish *wish, int64_t now_us,
	struct replica **chosen)
{
	struct replica *replica;
	struct replica *best = NULL;
	struct replica *cold = NULL;
	int64_t best_us = INT64_MAX;
	bool any = false;
	if (!wish->hedge && wish->tried_count == 0)
		note_asked (set, now_us);
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (!replica_usable (replica) || was_tried (wish, replica))
			continue;
		any = true;
		if (replica->in_flight >= set->connections)
			continue;
		if (replica->cold_until_us > now_us) {
			if (replica->cold_interval_us > 0 && replica->cold_next_us <= now_us &&
				now_us < set->share_until_us)
				cold = replica;
			continue;
		}
		int64_t wait_us = expected_us (replica, wish, now_us);
		if (wish->hedge && wait_us >= REPLICA_STALL_COST_US)
			continue;
		if (wait_us < best_us) {
			best = replica;
			best_us = wait_us;
		}
	}
	if (!best && !wish->hedge)
		best = cold;
	*chosen = best;
	if (best)
		return REPLICA_FOUND;
	return any ? REPLICA_NO_ROOM : REPLICA_NONE;
}

int64_t
replica_cold_interval_us (double per_s, int nodes, int rank)
{
	int whole = per_s < 1 ? 0 : (int)per_s;
	int part = whole / (nodes > 0 ? nodes : 1);
	if (part > 0)
		return REPLICA_COLD_SECOND_US / part;
	/* There is not one a second for each node, so that only the first few send any. */
	return rank < whole ? REPLICA_COLD_SECOND_US : 0;
}

void
replica_note_cold (struct replica *replica, int64_t end_us, int64_t now_us)
{
	int64_t known_us = replica->cold_until_us;
	bool ends_sooner = known_us > now_us && end_us < known_us;
	bool again = end_us > known_us + REPLICA_LIST_LAG_US;
	if (end_us > now_us && (known_us == 0 || again || ends_sooner))
		replica->cold_until_us = end_us;
}

void
replica_begin (struct replica *replica, struct replica_use *use, int64_t now_us)
{
	use->replica = replica;
	use->sent_us = now_us;
	replica->in_flight++;
	if (replica->cold_until_us > now_us)
		replica->cold_next_us = now_us + replica->cold_interval_us;
	cds_list_add_tail (&use->node, &replica->running);
}

static int64_t
doubled (int64_t first_us, int times)
{
	int64_t us = first_us;
	for (int i = 0; i < times && us < REPLICA_AVOID_MAX_US; i++)
		us *= 2;
	return us < REPLICA_AVOID_MAX_US ? us : REPLICA_AVOID_MAX_US;
}

static void
note_trouble (struct replica *replica, bool bad, int64_t now_us)
{
	int before = (int)faded (replica->trouble, replica, now_us);
	replica->trouble = before + ((bad ? REPLICA_TROUBLE_UNIT : 0) - before) / 4;
	replica->seen_us = now_us;
}

void
replica_end (struct replica_use *use, enum replica_outcome outcome, int64_t now_us)
{
	struct replica *replica = use->replica;
	int64_t took_us = now_us - use->sent_us;
	replica->in_flight--;
	cds_list_del (&use->node);
	use->replica = NULL;
	switch (outcome) {
	case REPLICA_ANSWERED:
		replica->failures = 0;
		replica->refusals = 0;
		replica->avoid_until_us = 0;
		replica->latency_us =
			replica->latency_us ? (replica->latency_us * 7 + took_us) / 8 : took_us;
		note_trouble (replica, false, now_us);
		return;
	case REPLICA_REFUSED:
		replica->avoid_until_us =
			now_us + doubled (REPLICA_REFUSED_AVOID_US, replica->refusals++);
		note_trouble (replica, true, now_us);
		return;
	case REPLICA_FAILED:
		replica->avoid_until_us =
			now_us + doubled (REPLICA_FAILURE_AVOID_US, replica->failures++);
		note_trouble (replica, true, now_us);
		return;
	case REPLICA_DROPPED:
		return;
	}
}
