#include "query/replica.h"

#include "core/buf.h"
#include "query/exposure.h"

#include <string.h>
#include <xxhash.h>

void
replica_set_init (struct replica_set *set, const char *name)
{
	memset (set, 0, sizeof (*set));
	str_copy (set->name, sizeof (set->name), name);
	CDS_INIT_LIST_HEAD (&set->replicas);
	CDS_INIT_LIST_HEAD (&set->waiting);
	set->connections = 1;
	set->rng.state = XXH64 (name, strlen (name), 0);
}

int
replica_connections (int max_connections, int nodes)
{
	int share = max_connections / (2 * nodes);
	if (share < 2)
		share = max_connections / nodes < 2 ? max_connections / nodes : 2;
	return share < 1 ? 1 : share;
}

bool
replica_usable (const struct replica *replica)
{
	return replica->listed && replica->state == REPLICA_READY && !replica->evacuated &&
	       replica->leaving_since_us == 0 && replica->replaced_us == 0;
}

bool
replica_is_cold (const struct replica *replica, int64_t now_us)
{
	bool suspected = replica->restart.suspected && replica->set->cold_rate_per_s > 0;
	return replica->cold_until_us > now_us || suspected;
}

bool
replica_has_place (const struct replica *replica)
{
	return replica->in_flight < replica->set->connections &&
	       (replica->return_limit == 0 || replica->in_flight < replica->return_limit);
}

bool
replica_note_leaving (struct replica *replica, int64_t now_us)
{
	if (replica->leaving_since_us != 0)
		return false;
	replica->leaving_since_us = now_us;
	return true;
}

void
replica_note_listed (struct replica *replica, enum replica_state state, int64_t previous_us)
{
	if (state == REPLICA_LEAVING && replica->state != REPLICA_LEAVING)
		replica->listed_leaving_us =
			previous_us != 0 ? previous_us - replica->set->list_lag_us : 0;
	if (replica->replaced_us != 0 &&
		previous_us > replica->replaced_us + REPLICA_REPLACED_AVOID_US)
		replica->replaced_us = 0;
	replica->state = state;
}

void
replica_note_replaced (struct replica *replica, int64_t now_us)
{
	replica->replaced_us = now_us;
}

bool
replica_was_recalled (const struct replica_use *use, int64_t now_us)
{
	const struct replica *replica = use->replica;
	/* One that was chosen later, as a last resort, did not get a connection. */
	bool left = replica->leaving_since_us != 0 && replica->leaving_since_us >= use->sent_us;
	bool suspected = replica->restart.suspected && replica->restart.sign_us >= use->sent_us;
	return left || suspected || replica->busy_until_us > now_us;
}

void
replica_note_busy (struct replica *replica, int64_t until_us, int64_t now_us)
{
	if (until_us <= replica->busy_until_us)
		return;
	replica->busy_until_us = until_us;
	replica->busy_since_us = now_us;
	replica->return_limit = 1;
}

int64_t
replica_return_spread_us (const struct replica *replica, int64_t busy_us, int nodes)
{
	int64_t latency_us =
		replica->latency_us > 0 ? replica->latency_us : REPLICA_RETURN_LATENCY_US;
	int slots = replica->slots > 0 ? replica->slots : 1;
	int64_t spread_us = nodes > 1 ? latency_us * (nodes - 1) / slots : 0;
	if (spread_us > busy_us / 8)
		spread_us = busy_us / 8;
	return spread_us < REPLICA_RETURN_SPREAD_MAX_US ? spread_us : REPLICA_RETURN_SPREAD_MAX_US;
}

bool
replica_is_kept (const struct replica *replica, int64_t now_us)
{
	bool leaving = replica->leaving_since_us != 0 &&
		       now_us < replica->leaving_since_us + REPLICA_ANNOUNCED_KEEP_US;
	bool busy = now_us < replica->busy_until_us &&
		    now_us < replica->busy_since_us + REPLICA_ANNOUNCED_KEEP_US;
	return leaving || busy || replica->in_flight > 0 || replica->tried_count > 0;
}

/* When the target began to leave; INT64_MIN: that is not known; 0: it does not leave. */
static int64_t
leaving_began_us (const struct replica *replica)
{
	int64_t announced_us = replica->leaving_since_us;
	int64_t listed_us = replica->listed_leaving_us;
	if (replica->state != REPLICA_LEAVING)
		return announced_us;
	if (listed_us == 0)
		return INT64_MIN;
	return announced_us != 0 && announced_us < listed_us ? announced_us : listed_us;
}

/* Whether a target that leaves may be used because no other is expected to answer soon. */
static bool
is_last_resort (const struct replica *replica, int64_t now_us)
{
	int64_t began_us = leaving_began_us (replica);
	return replica->listed && replica->replaced_us == 0 && !replica->evacuated &&
	       began_us != 0 &&
	       now_us - replica->set->drain_us + REPLICA_DRAIN_MARGIN_US < began_us;
}

static bool
was_tried (const struct replica_criteria *criteria, const struct replica *replica)
{
	for (int i = 0; i < criteria->tried_count; i++) {
		if (criteria->tried[i] == replica)
			return true;
	}
	return false;
}

/* The age of the oldest unanswered sub-request reveals a pause before a late reply does. */
static bool
is_stalled (struct replica *replica, int64_t median_us, int64_t now_us)
{
	if (cds_list_empty (&replica->running))
		return false;
	const struct replica_use *oldest =
		cds_list_entry (replica->running.next, struct replica_use, node);
	int64_t limit_us = median_us * REPLICA_STALL_MEDIANS;
	if (limit_us < REPLICA_STALL_MIN_US)
		limit_us = REPLICA_STALL_MIN_US;
	return oldest->sent_us + limit_us < now_us;
}

/*
 * The decay time grows with the interval between requests. Otherwise a node that rarely sends to a
 * service would forget between two requests that a target is slow, and select the slow target for
 * nearly every request.
 */
static int64_t
decay_us (const struct replica_set *set)
{
	int64_t us = set->request_interval_us * REPLICA_DECAY_REQUESTS;
	if (us < REPLICA_DECAY_MIN_US)
		return REPLICA_DECAY_MIN_US;
	return us < REPLICA_DECAY_MAX_US ? us : REPLICA_DECAY_MAX_US;
}

/* Measurements decay over time, so that a target that has recovered is tried again. */
static int64_t
decayed (int64_t value, const struct replica *replica, int64_t now_us)
{
	int64_t age_us = now_us - replica->updated_us;
	int64_t full_decay_us = decay_us (replica->set);
	return age_us >= full_decay_us ? 0 : value * (full_decay_us - age_us) / full_decay_us;
}

static void
update_request_interval (struct replica_set *set, int64_t now_us)
{
	int64_t interval_us = now_us - set->last_request_us;
	if (set->last_request_us > 0)
		set->request_interval_us +=
			((interval_us < REPLICA_INTERVAL_MAX_US ? interval_us
								: REPLICA_INTERVAL_MAX_US) -
				set->request_interval_us) /
			8;
	set->last_request_us = now_us;
}

/* What recent failures and refusals of a target make a request to it cost. */
static int64_t
health_penalty_us (const struct replica *replica, int64_t median_us, int64_t now_us)
{
	int64_t penalty_us = decayed (replica->failure_rate, replica, now_us) * median_us *
			     REPLICA_FAILURE_COST_MEDIANS / REPLICA_FAILURE_RATE_ONE;
	if (replica->avoid_until_us > now_us)
		penalty_us += REPLICA_FAILURE_AVOID_US;
	/* It may refuse once more, and no repeat could be sent then. */
	if (replica->deferrals > 1 && !budget_has_extra (&replica->set->extra))
		penalty_us += REPLICA_FAILURE_AVOID_US;
	return penalty_us;
}

static int64_t
measured_work_us (
	const struct replica *replica, const struct replica_criteria *criteria, int64_t now_us)
{
	int64_t work_us = criteria->median_us;
	if (replica->latency_us > 0)
		work_us += decayed (replica->latency_us - criteria->median_us, replica, now_us);
	return work_us;
}

static int64_t
expected_wait_us (struct replica *replica, const struct replica_criteria *criteria, int64_t now_us)
{
	int64_t work_us = measured_work_us (replica, criteria, now_us);
	int load = replica->in_flight;
	if (replica->reported_us + REPLICA_LOAD_VALID_US > now_us && replica->reported_load > load)
		load = replica->reported_load;
	int slots = replica->slots > 0 ? replica->slots : 1;
	int64_t wait_us = work_us + work_us * load / (2 * slots);
	if (load >= slots)
		wait_us += work_us * (load - slots + 1) / slots;
	if (strcmp (replica->data_centre, criteria->data_centre) != 0)
		wait_us += REPLICA_REMOTE_RTT_US;
	if (is_stalled (replica, criteria->median_us, now_us))
		wait_us += REPLICA_STALL_COST_US;
	return wait_us + health_penalty_us (replica, criteria->median_us, now_us);
}

/* Whether a request with this estimate is overdue, so that the target has probably paused. */
static bool
is_overdue (const struct replica_use *use, int64_t now_us)
{
	int64_t limit_us = use->estimate.overdue_us;
	if (limit_us < REPLICA_STALL_MIN_US)
		limit_us = REPLICA_STALL_MIN_US;
	return use->sent_us + limit_us < now_us;
}

/* Work that this node has sent and that is likely to be left, in time of one slot. */
static int64_t
own_work_us (const struct replica *replica, int64_t mean_us, int64_t now_us)
{
	const struct replica_use *use;
	int64_t sum_us = 0;
	cds_list_for_each_entry (use, &replica->running, node) {
		int64_t work_us = use->estimate.mean_us > 0 ? use->estimate.mean_us : mean_us;
		int64_t left_us = work_us - (now_us - use->sent_us);
		/* A request that takes longer than the mean is of the tail. */
		sum_us += left_us > work_us / 4 ? left_us : work_us / 4;
	}
	return sum_us;
}

/* Work that this node has sent since the target made its report. */
static int64_t
new_work_us (const struct replica *replica)
{
	const struct replica_use *use;
	int64_t sum_us = 0;
	cds_list_for_each_entry (use, &replica->running, node) {
		if (use->sent_us > replica->load.reported_us)
			sum_us += use->estimate.mean_us;
	}
	return sum_us;
}

static int64_t
outstanding_us (const struct replica *replica, int64_t mean_us, int slots, int64_t now_us)
{
	int64_t own_us = own_work_us (replica, mean_us, now_us);
	int64_t reported_us =
		target_load_work_us (&replica->load, slots, now_us) + new_work_us (replica);
	return reported_us > own_us ? reported_us : own_us;
}

static int
slots_of (const struct replica *replica)
{
	if (replica->load.slots > 0)
		return replica->load.slots;
	return replica->slots > 0 ? replica->slots : 1;
}

static int64_t
travel_us (const struct replica *replica, const char *data_centre)
{
	return strcmp (replica->data_centre, data_centre) != 0 ? REPLICA_REMOTE_RTT_US : 0;
}

static struct placement_estimate
estimate_for (struct replica *replica, const struct replica_criteria *criteria,
	const struct cost_estimate *cost, int64_t now_us)
{
	struct placement_estimate estimate = {.candidate = true};
	int slots = slots_of (replica);
	int64_t work_us = 0;
	if (criteria->placement == PLACEMENT_COST)
		estimate.pace = target_load_pace (&replica->load, now_us);
	if (estimate.pace > 0)
		work_us = cost->median_us * estimate.pace / COST_PACE_USUAL;
	/* Without a pace with its newest answer, the times of the target tell more. */
	if (estimate.pace == 0 || replica->updated_us > replica->load.paced_us) {
		int64_t measured_us = measured_work_us (replica, criteria, now_us);
		work_us = measured_us > work_us ? measured_us : work_us;
	}
	estimate.work_us = work_us;
	estimate.mean_us = cost->mean_us * work_us / cost->median_us;
	estimate.wait_us = outstanding_us (replica, estimate.mean_us, slots, now_us) / slots;
	estimate.overdue_us =
		estimate.wait_us + REPLICA_STALL_MEDIANS * cost->median_us *
					   (estimate.pace > 0 ? estimate.pace : COST_PACE_USUAL) /
					   COST_PACE_USUAL;
	estimate.travel_us = travel_us (replica, criteria->data_centre);
	if (criteria->placement == PLACEMENT_COST &&
		replica->in_flight >= replica->connections_open)
		estimate.travel_us += REPLICA_CONNECT_US;
	if (!cds_list_empty (&replica->running) &&
		is_overdue (
			cds_list_entry (replica->running.next, struct replica_use, node), now_us))
		estimate.penalty_us = REPLICA_STALL_COST_US;
	estimate.penalty_us += health_penalty_us (replica, criteria->median_us, now_us);
	return estimate;
}

int64_t
placement_expected_us (const struct placement_estimate *estimate)
{
	return estimate->work_us + estimate->wait_us + estimate->travel_us;
}

static int64_t
completion_us (const struct placement_estimate *estimate)
{
	return placement_expected_us (estimate) + estimate->penalty_us;
}

static int64_t
estimate_wait_us (struct replica *replica, const struct replica_criteria *criteria,
	const struct cost_estimate *cost, int64_t now_us)
{
	replica->estimate = estimate_for (replica, criteria, cost, now_us);
	return completion_us (&replica->estimate);
}

bool
placement_parse (const char *name, enum placement *placement)
{
	static const char *const names[] = {
		[PLACEMENT_COST] = "cost", [PLACEMENT_WORK] = "work", [PLACEMENT_COUNT] = "count"};
	for (size_t i = 0; i < sizeof (names) / sizeof (names[0]); i++) {
		if (strcmp (name, names[i]) == 0) {
			*placement = (enum placement)i;
			return true;
		}
	}
	return false;
}

const char *
placement_reason_name (enum placement_reason reason)
{
	static const char *const names[] = {
		"count", "only", "lot", "pace", "work", "distance", "health"};
	return names[reason];
}

/* Whether the selection is by cost or work, with the estimate of the route. */
static bool
is_by_cost (const struct replica_set *set, const struct replica_criteria *criteria, int64_t now_us,
	struct cost_estimate *cost)
{
	return criteria->cost && criteria->placement != PLACEMENT_COUNT && set->reported_us > 0 &&
	       set->reported_us + REPLICA_REPORTS_VALID_US > now_us &&
	       cost_estimate (criteria->cost, cost);
}

int64_t
replica_hedge_delay_us (
	const struct replica *replica, const struct replica_criteria *criteria, int64_t now_us)
{
	struct cost_estimate cost;
	const struct placement_estimate *estimate = &replica->estimate;
	if (criteria->placement != PLACEMENT_COST || estimate->mean_us == 0 ||
		!is_by_cost (replica->set, criteria, now_us, &cost))
		return 0;
	int64_t spread_us = cost.spread_us;
	if (spread_us > cost.median_us * REPLICA_SPREAD_MAX_MEDIANS)
		spread_us = cost.median_us * REPLICA_SPREAD_MAX_MEDIANS;
	return placement_expected_us (estimate) + spread_us * estimate->work_us / cost.median_us;
}

/* The part of the estimates in which a target is ahead of the next best by the most. */
static enum placement_reason
main_reason (const struct placement_estimate *best, const struct placement_estimate *next)
{
	const struct {
		int64_t lead_us;
		enum placement_reason reason;
	} leads[] = {
		{next->work_us - best->work_us, PLACED_BY_PACE},
		{next->wait_us - best->wait_us, PLACED_BY_WORK},
		{next->travel_us - best->travel_us, PLACED_BY_DISTANCE},
		{next->penalty_us - best->penalty_us, PLACED_BY_HEALTH},
	};
	size_t first = 0;
	for (size_t i = 1; i < sizeof (leads) / sizeof (leads[0]); i++) {
		if (leads[i].lead_us > leads[first].lead_us)
			first = i;
	}
	return leads[first].reason;
}

static int64_t
tie_us (const struct placement_estimate *best)
{
	int64_t us = REPLICA_TIE_MIN_US + placement_expected_us (best) / REPLICA_TIE_SHARE;
	return us < REPLICA_TIE_MAX_US ? us : REPLICA_TIE_MAX_US;
}

/* Draws among the candidates that are about as good as the best one. */
static struct replica *
settle_ties (struct replica_set *set, struct replica *best)
{
	struct replica *replica;
	struct replica *next = NULL;
	struct replica *drawn = best;
	int64_t best_us = completion_us (&best->estimate);
	int64_t limit_us = best_us + tie_us (&best->estimate);
	uint64_t ties = 0;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (!replica->estimate.candidate)
			continue;
		int64_t us = completion_us (&replica->estimate);
		if (us <= limit_us && rng_below (&set->rng, ++ties) == 0)
			drawn = replica;
		if (replica != best && (!next || us < completion_us (&next->estimate)))
			next = replica;
	}
	if (ties > 1)
		drawn->estimate.reason = PLACED_BY_LOT;
	else
		drawn->estimate.reason =
			next ? main_reason (&best->estimate, &next->estimate) : PLACED_ONLY;
	return drawn;
}

static void
clear_estimates (struct replica_set *set)
{
	struct replica *replica;
	cds_list_for_each_entry (replica, &set->replicas, node)
		memset (&replica->estimate, 0, sizeof (replica->estimate));
}

/*
 * The best of the targets that leave, by count; NULL if none may be used and has capacity. @p any:
 * whether one may be used, with or without capacity.
 */
static struct replica *
best_last_resort (struct replica_set *set, const struct replica_criteria *criteria, int64_t now_us,
	int64_t *best_us, bool *any)
{
	struct replica *replica;
	struct replica *best = NULL;
	enum exposure_side side = exposure_choose_side (set, criteria, now_us);
	*best_us = INT64_MAX;
	*any = false;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (!is_last_resort (replica, now_us) || was_tried (criteria, replica) ||
			replica->busy_until_us > now_us || !exposure_admits (side, replica))
			continue;
		*any = true;
		int64_t wait_us = expected_wait_us (replica, criteria, now_us);
		if (!replica_has_place (replica) || wait_us >= *best_us ||
			replica_is_cold (replica, now_us))
			continue;
		best = replica;
		*best_us = wait_us;
	}
	return best;
}

/* Chooses among the targets that leave, when no other is usable. */
static enum replica_selection
choose_last_resort (struct replica_set *set, const struct replica_criteria *criteria,
	int64_t now_us, struct replica **chosen)
{
	int64_t best_us = 0;
	bool any = false;
	*chosen = best_last_resort (set, criteria, now_us, &best_us, &any);
	if (*chosen)
		return REPLICA_FOUND;
	return any ? REPLICA_BUSY : REPLICA_NONE;
}

/* Prefers a target that leaves to one that is not expected to answer soon. */
static struct replica *
replace_by_last_resort (struct replica_set *set, const struct replica_criteria *criteria,
	int64_t now_us, struct replica *best, int64_t best_us)
{
	int64_t resort_us = 0;
	bool any = false;
	if (best && best_us < REPLICA_STALL_COST_US)
		return best;
	struct replica *resort = best_last_resort (set, criteria, now_us, &resort_us, &any);
	return resort && resort_us < REPLICA_STALL_COST_US && resort_us < best_us ? resort : best;
}

/* Whether this node's share of the cold rate allows a request now. */
static bool
takes_cold_request (const struct replica *replica, int64_t now_us)
{
	return replica->cold_interval_us > 0 && replica->cold_next_us <= now_us &&
	       now_us < replica->set->share_until_us;
}

/* A target that accepts no connection is left out, so that requests go elsewhere at once. */
static bool
is_candidate (const struct replica *replica, const struct replica_criteria *criteria,
	enum exposure_side side)
{
	return replica_usable (replica) && !replica->restart.unreachable &&
	       !was_tried (criteria, replica) && exposure_admits (side, replica);
}

enum replica_selection
replica_choose (struct replica_set *set, const struct replica_criteria *criteria, int64_t now_us,
	struct replica **chosen)
{
	struct replica *replica;
	struct replica *best = NULL;
	struct replica *cold = NULL;
	struct cost_estimate cost;
	int64_t best_us = INT64_MAX;
	bool any_usable = false;
	bool any_refusing = false;
	bool by_cost = is_by_cost (set, criteria, now_us, &cost);
	if (set->reported_us > 0)
		clear_estimates (set);
	enum exposure_side side = exposure_choose_side (set, criteria, now_us);
	if (!criteria->hedge && !criteria->queued && criteria->tried_count == 0)
		update_request_interval (set, now_us);
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (!is_candidate (replica, criteria, side))
			continue;
		if (replica->busy_until_us > now_us) {
			any_refusing = true;
			continue;
		}
		any_usable = true;
		if (!replica_has_place (replica))
			continue;
		if (replica_is_cold (replica, now_us)) {
			if (takes_cold_request (replica, now_us))
				cold = replica;
			continue;
		}
		int64_t wait_us = by_cost ? estimate_wait_us (replica, criteria, &cost, now_us)
					  : expected_wait_us (replica, criteria, now_us);
		if (criteria->hedge && wait_us >= REPLICA_STALL_COST_US) {
			replica->estimate.candidate = false;
			continue;
		}
		if (wait_us < best_us) {
			best = replica;
			best_us = wait_us;
		}
	}
	if (best && by_cost)
		best = settle_ties (set, best);
	best = replace_by_last_resort (set, criteria, now_us, best, best_us);
	if (!best && !criteria->hedge)
		best = cold;
	*chosen = best;
	if (best)
		return REPLICA_FOUND;
	if (any_usable)
		return REPLICA_BUSY;
	if (any_refusing)
		return REPLICA_REFUSING;
	return criteria->hedge ? REPLICA_NONE : choose_last_resort (set, criteria, now_us, chosen);
}

int64_t
replica_return_us (
	const struct replica_set *set, const struct replica_criteria *criteria, int64_t now_us)
{
	const struct replica *replica;
	int64_t first_us = INT64_MAX;
	enum exposure_side side = exposure_choose_side (set, criteria, now_us);
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (!is_candidate (replica, criteria, side))
			continue;
		if (replica->busy_until_us <= now_us)
			return 0;
		if (replica->busy_until_us < first_us)
			first_us = replica->busy_until_us;
	}
	return first_us;
}

int64_t
replica_cold_turn_us (
	const struct replica_set *set, const struct replica_criteria *criteria, int64_t now_us)
{
	const struct replica *replica;
	int64_t first_us = INT64_MAX;
	enum exposure_side side = exposure_choose_side (set, criteria, now_us);
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (!is_candidate (replica, criteria, side) || replica->busy_until_us > now_us)
			continue;
		if (!replica_is_cold (replica, now_us))
			return INT64_MAX;
		int64_t turn_us = replica->cold_next_us;
		if (replica->cold_interval_us == 0 || now_us >= set->share_until_us)
			turn_us = INT64_MAX;
		else if (turn_us <= now_us)
			turn_us = now_us + replica->cold_interval_us;
		if (!replica->restart.suspected && replica->cold_until_us < turn_us)
			turn_us = replica->cold_until_us;
		first_us = turn_us < first_us ? turn_us : first_us;
	}
	return first_us;
}

int64_t
replica_cold_wait_us (const struct replica_set *set, const struct replica_criteria *criteria,
	int ahead, int64_t now_us)
{
	const struct replica *replica;
	int64_t turn_us = replica_cold_turn_us (set, criteria, now_us);
	int64_t warm_us = INT64_MAX;
	double per_us = 0;
	enum exposure_side side = exposure_choose_side (set, criteria, now_us);
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (!is_candidate (replica, criteria, side) || replica->busy_until_us > now_us)
			continue;
		if (replica->restart.suspected || replica->cold_until_us <= now_us)
			return 0;
		if (replica->cold_until_us < warm_us)
			warm_us = replica->cold_until_us;
		if (replica->cold_interval_us > 0 && now_us < set->share_until_us)
			per_us += 1 / (double)replica->cold_interval_us;
	}
	if (turn_us == INT64_MAX)
		return 0;
	int64_t wait_us = turn_us - now_us + (per_us > 0 ? (int64_t)(ahead / per_us) : 0);
	return wait_us < warm_us - now_us ? wait_us : warm_us - now_us;
}

int64_t
replica_cold_interval_us (double rate_per_s, int nodes, int rank)
{
	int rate = rate_per_s < 1 ? 0 : (int)rate_per_s;
	int share = rate / (nodes > 0 ? nodes : 1);
	if (share > 0)
		return REPLICA_COLD_PERIOD_US / share;
	/* Less than one request per second for each node: only the first nodes by rank send any. */
	return rank < rate ? REPLICA_COLD_PERIOD_US : 0;
}

void
replica_note_cold (struct replica *replica, int64_t end_us, int64_t now_us)
{
	int64_t known_us = replica->cold_until_us;
	bool ends_sooner = known_us > now_us && end_us < known_us;
	bool cold_again = end_us > known_us + REPLICA_LIST_LAG_US;
	if (end_us > now_us && (known_us == 0 || cold_again || ends_sooner))
		replica->cold_until_us = end_us;
}

void
replica_begin (struct replica *replica, struct replica_use *use, int64_t now_us)
{
	use->replica = replica;
	use->sent_us = now_us;
	use->estimate = replica->estimate;
	replica->in_flight++;
	if (replica_is_cold (replica, now_us))
		replica->cold_next_us = now_us + replica->cold_interval_us;
	cds_list_add_tail (&use->node, &replica->running);
}

void
replica_note_report (struct replica *replica, const struct load_report *report, int64_t at_us)
{
	struct replica_set *set = replica->set;
	target_load_report (&replica->load, report, set->mean_work_us, at_us);
	if (at_us > set->reported_us)
		set->reported_us = at_us;
}

void
replica_observe_cost (const struct replica_use *use, struct cost *cost,
	const struct load_report *report, const char *data_centre, bool connected, int64_t now_us)
{
	struct replica *replica = use->replica;
	struct replica_set *set = replica->set;
	struct cost_estimate estimate;
	int64_t at_target_us = now_us - use->sent_us - travel_us (replica, data_centre) -
			       (connected ? REPLICA_CONNECT_US : 0);
	int64_t work_us = cost_work_us (at_target_us, report);
	if (report->pace > 0 && cost_estimate (cost, &estimate))
		target_load_measure (&replica->load, work_us, estimate.median_us, now_us);
	/* A queue that the target reports cannot have been longer than the answer took. */
	target_load_limit (&replica->load, at_target_us * slots_of (replica));
	if (cost_is_plausible (report) || !cost_estimate (cost, &estimate))
		cost_observe (cost, work_us);
	set->mean_work_us += (cost->mean_us - set->mean_work_us) /
			     (set->mean_work_us > 0 ? COST_MEAN_WEIGHT : 1);
}

static int64_t
backoff_us (int64_t first_us, int doublings)
{
	int64_t us = first_us;
	for (int i = 0; i < doublings && us < REPLICA_AVOID_MAX_US; i++)
		us *= 2;
	return us < REPLICA_AVOID_MAX_US ? us : REPLICA_AVOID_MAX_US;
}

static void
update_failure_rate (struct replica *replica, bool failed, int64_t now_us)
{
	int before = (int)decayed (replica->failure_rate, replica, now_us);
	replica->failure_rate = before + ((failed ? REPLICA_FAILURE_RATE_ONE : 0) - before) / 4;
	replica->updated_us = now_us;
}

/*
 * A target that asks to be left alone does what it is meant to, which is no failure. Only one that
 * asks again as soon as it gets a request is used last, so that few requests are refused by targets
 * that ask for a short time again and again.
 */
static void
note_deferral (struct replica *replica, int64_t sent_us, int64_t now_us)
{
	/* Refusals of sub-requests that were in flight together belong to one time. */
	if (replica->deferrals > 0 && sent_us < replica->deferred_us)
		return;
	replica->deferred_us = now_us;
	if (replica->deferrals++ == 0)
		return;
	int64_t until_us = replica->busy_until_us > now_us ? replica->busy_until_us : now_us;
	replica->avoid_until_us =
		until_us + backoff_us (REPLICA_REFUSED_AVOID_US, replica->deferrals - 2);
	update_failure_rate (replica, true, now_us);
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
		replica->deferrals = 0;
		replica->avoid_until_us = 0;
		replica->return_limit = replica->return_limit * 2 < replica->set->connections
						? replica->return_limit * 2
						: 0;
		replica->latency_us =
			replica->latency_us ? (replica->latency_us * 7 + took_us) / 8 : took_us;
		update_failure_rate (replica, false, now_us);
		return;
	case REPLICA_REFUSED:
		replica->avoid_until_us =
			now_us + backoff_us (REPLICA_REFUSED_AVOID_US, replica->refusals++);
		update_failure_rate (replica, true, now_us);
		return;
	case REPLICA_DEFERRED:
		note_deferral (replica, use->sent_us, now_us);
		return;
	case REPLICA_FAILED:
		replica->avoid_until_us =
			now_us + backoff_us (REPLICA_FAILURE_AVOID_US, replica->failures++);
		update_failure_rate (replica, true, now_us);
		return;
	case REPLICA_ABANDONED:
		return;
	}
}
