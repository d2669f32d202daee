#include "query/exposure.h"

#include "core/buf.h"

#include <string.h>

enum { THOUSAND = 1000 };

void
exposure_begin (struct exposure *exposure, uint64_t rollout, const char *version,
	const struct exposure_bounds *bounds, bool takes_slack)
{
	exposure->phase = EXPOSURE_CANARY;
	exposure->rollout = rollout;
	str_copy (exposure->version, sizeof (exposure->version), version);
	budget_init_burst (&exposure->tokens, EXPOSURE_SAVED_MAX);
	budget_empty (&exposure->tokens);
	exposure->earn_thousandths = (int)(bounds->share * EXPOSURE_EARN_PERCENT / 100 *
					   BUDGET_TOKENS_PER_EXTRA * THOUSAND);
	exposure->earned_thousandths = 0;
	exposure->takes_slack = takes_slack;
}

void
exposure_add_slack (
	struct exposure *exposure, const struct exposure_bounds *bounds, int nodes, int rank)
{
	if (!exposure->takes_slack || exposure->phase != EXPOSURE_CANARY)
		return;
	int part = budget_share (bounds->slack * EXPOSURE_SLACK_PERCENT / 100, nodes, rank);
	exposure->takes_slack = false;
	exposure->tokens.max_tokens += (int64_t)part * BUDGET_TOKENS_PER_EXTRA;
	for (int i = 0; i < part; i++)
		budget_earn (&exposure->tokens, BUDGET_TOKENS_PER_EXTRA);
}

static bool
is_side (enum exposure_side side, const struct replica *replica)
{
	return side == EXPOSURE_NEW ? replica->release == REPLICA_NEW_RELEASE
				    : replica->release == REPLICA_OLD_RELEASE;
}

/* Whether a target of a version could be chosen; a cold one takes too little to rely on it. */
static bool
has_usable (const struct replica_set *set, enum exposure_side side, int64_t now_us)
{
	const struct replica *replica;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (is_side (side, replica) && replica_usable (replica) &&
			replica->busy_until_us <= now_us && !replica_is_cold (replica, now_us))
			return true;
	}
	return false;
}

/* A target that fails gets more requests, so that it is judged, but only such as can be repeated.
 */
static bool
is_avoided (const struct replica *replica, int64_t now_us)
{
	if (replica->failures > 0 && !budget_has_extra (&replica->set->extra))
		return true;
	return replica->avoid_until_us > now_us && replica->updated_us + EXPOSURE_RETRY_US > now_us;
}

/* Whether a target of the new version takes a request right now. */
static bool
new_takes_one (const struct replica_set *set, int64_t now_us)
{
	const struct replica *replica;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (is_side (EXPOSURE_NEW, replica) && replica_usable (replica) &&
			replica->busy_until_us <= now_us && !replica_is_cold (replica, now_us) &&
			!is_avoided (replica, now_us) && replica_has_place (replica))
			return true;
	}
	return false;
}

/* Hedges and repeats serve the caller and go to the version that has proved itself. */
static enum exposure_side
canary_side (const struct replica_set *set, const struct replica_criteria *criteria, bool has_lease,
	int64_t now_us)
{
	bool is_first = !criteria->hedge && criteria->tried_count == 0;
	if (has_lease && is_first && budget_has_extra (&set->exposure->tokens) &&
		new_takes_one (set, now_us))
		return EXPOSURE_NEW;
	return EXPOSURE_OLD;
}

/* A node that control cannot reach does not know whether a version that it has not used is ordered.
 */
static enum exposure_side
held_side (const struct replica_set *set, int64_t now_us)
{
	return has_usable (set, EXPOSURE_OLD, now_us) ? EXPOSURE_OLD : EXPOSURE_ANY;
}

enum exposure_side
exposure_choose_side (
	const struct replica_set *set, const struct replica_criteria *criteria, int64_t now_us)
{
	const struct exposure *exposure = set->exposure;
	if (!exposure || exposure->phase == EXPOSURE_OFF)
		return set->has_held ? held_side (set, now_us) : EXPOSURE_ANY;
	bool has_lease =
		exposure->lease_until_us &&
		now_us < atomic_load_explicit (exposure->lease_until_us, memory_order_relaxed);
	switch (exposure->phase) {
	case EXPOSURE_CANARY:
		return canary_side (set, criteria, has_lease, now_us);
	case EXPOSURE_SHIFTING:
		/* Without a lease, the roll-out may have been rolled back meanwhile. */
		if (has_lease)
			return has_usable (set, EXPOSURE_NEW, now_us) ? EXPOSURE_NEW : EXPOSURE_OLD;
		return has_usable (set, EXPOSURE_OLD, now_us) ? EXPOSURE_OLD : EXPOSURE_NEW;
	case EXPOSURE_COMPLETED:
		if (now_us < exposure->prefer_until_us && has_usable (set, EXPOSURE_NEW, now_us))
			return EXPOSURE_NEW;
		return EXPOSURE_ANY;
	case EXPOSURE_OFF:
		break;
	}
	return EXPOSURE_ANY;
}

bool
exposure_admits (enum exposure_side side, const struct replica *replica)
{
	if (replica->release == REPLICA_REJECTED_RELEASE)
		return false;
	return side == EXPOSURE_ANY || is_side (side, replica);
}

void
exposure_note_sent (const struct replica *replica)
{
	struct exposure *exposure = replica->set->exposure;
	if (!exposure || exposure->phase != EXPOSURE_CANARY)
		return;
	exposure->earned_thousandths += exposure->earn_thousandths;
	budget_earn (&exposure->tokens, exposure->earned_thousandths / THOUSAND);
	exposure->earned_thousandths %= THOUSAND;
	if (replica->release == REPLICA_NEW_RELEASE)
		budget_spend (&exposure->tokens);
}

int
exposure_old_work (const struct replica_set *set)
{
	const struct replica *replica;
	int work = 0;
	if (!set->exposure || set->exposure->phase != EXPOSURE_SHIFTING)
		return 0;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (replica->release != REPLICA_NEW_RELEASE)
			work += replica->in_flight;
	}
	return work;
}
