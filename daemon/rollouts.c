#include "daemon/rollouts.h"

#include "core/metrics.h"
#include "daemon/front.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void
front_rollouts_init (struct front_rollouts *rollouts)
{
	memset (rollouts, 0, sizeof (*rollouts));
	pthread_mutex_init (&rollouts->lock, NULL);
}

static uint64_t
name_hash (const char *name)
{
	return XXH64 (name, strlen (name), 0);
}

static struct exposure_bounds
bounds (const struct front *front)
{
	const struct options *options = &front->node->options;
	return (struct exposure_bounds){
		options->front_exposure_share, options->front_exposure_slack};
}

/* Whether a version has appeared in the list while this node had no lease. */
static bool
is_held (const struct front *front, const struct replica *replica)
{
	const struct replica *other;
	bool is_known = false;
	bool has_other = false;
	if (front->discovery.read_us == 0 || node_has_lease (front->node))
		return false;
	cds_list_for_each_entry (other, &replica->set->replicas, node) {
		if (other == replica || other->release == REPLICA_HELD_RELEASE)
			continue;
		bool is_same = strcmp (other->version, replica->version) == 0;
		is_known = is_known || is_same;
		has_other = has_other || !is_same;
	}
	return has_other && !is_known;
}

void
front_rollouts_classify (const struct front *front, struct replica *replica, bool is_new)
{
	const struct exposure *exposure = replica->set->exposure;
	bool was_held = replica->release == REPLICA_HELD_RELEASE;
	replica->release = REPLICA_OLD_RELEASE;
	if ((is_new || was_held) && is_held (front, replica)) {
		replica->release = REPLICA_HELD_RELEASE;
		replica->set->has_held = true;
	}
	if (!exposure || !front->state)
		return;
	const struct rollouts *rollouts = &front->state->rollouts;
	for (int i = 0; i < rollouts->count; i++) {
		const struct rollout *rollout = &rollouts->items[i];
		if (rollout->phase == ROLLOUT_ROLLED_BACK &&
			strcmp (rollout->service, replica->set->name) == 0 &&
			strcmp (rollout->version, replica->version) == 0)
			replica->release = REPLICA_REJECTED_RELEASE;
	}
	if (exposure->phase != EXPOSURE_OFF && strcmp (exposure->version, replica->version) == 0)
		replica->release = REPLICA_NEW_RELEASE;
}

static enum exposure_phase
phase_of (const struct rollout *rollout)
{
	switch (rollout->phase) {
	case ROLLOUT_CANARY:
		return EXPOSURE_CANARY;
	case ROLLOUT_SHIFTING:
		return EXPOSURE_SHIFTING;
	case ROLLOUT_COMPLETED:
		return EXPOSURE_COMPLETED;
	case ROLLOUT_ROLLED_BACK:
		return EXPOSURE_OFF;
	}
	return EXPOSURE_OFF;
}

static void
classify_all (const struct front *front, struct replica_set *set)
{
	struct replica *replica;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		front_rollouts_classify (front, replica, false);
		/* Sub-requests that wait for a connection go to another target. */
		if (replica->release == REPLICA_REJECTED_RELEASE && replica->pool)
			fetch_pool_end_waiting (replica->pool);
	}
}

static void
apply_to_set (struct front *front, struct replica_set *set, bool is_first)
{
	const struct rollout *rollout = rollouts_newest (&front->state->rollouts, set->name);
	struct exposure_bounds limits = bounds (front);
	if (!rollout)
		return;
	if (!set->exposure)
		set->exposure = xcalloc (1, sizeof (*set->exposure));
	struct exposure *exposure = set->exposure;
	enum exposure_phase phase = phase_of (rollout);
	bool is_new = exposure->rollout != rollout->started;
	if (!is_new && exposure->phase == phase)
		return;
	if (is_new)
		exposure_begin (exposure, rollout->started, rollout->version, &limits, !is_first);
	exposure->lease_until_us = &front->node->lease_until_us;
	exposure->phase = phase;
	exposure->prefer_until_us = front_now_us (front) + EXPOSURE_COMPLETED_US;
	classify_all (front, set);
	log_event (&front->log, EVENT_ROLLOUT_IN_FORCE, "%s of %s: %s, roll-out %llu",
		rollout->version, set->name, rollout_phase_name (rollout->phase),
		(unsigned long long)rollout->started);
	scatter_serve_waiting (set, front_now_us (front));
}

void
front_rollouts_bind (struct front *front, struct replica_set *set)
{
	if (front->state)
		apply_to_set (front, set, true);
}

static void
update_work (struct front *front)
{
	const struct replica_set *set;
	uint32_t work = 0;
	cds_list_for_each_entry (set, &front->sets, node)
		work += (uint32_t)exposure_old_work (set);
	atomic_store (&front->rollouts.old_work, work);
}

/* Counts of roll-outs that have ended are of no use to anyone. */
static void
drop_ended (struct front *front)
{
	struct front_rollouts *rollouts = &front->rollouts;
	int kept = 0;
	pthread_mutex_lock (&rollouts->lock);
	for (int i = 0; i < rollouts->count; i++) {
		const struct rollout *rollout =
			rollouts_find (&front->state->rollouts, rollouts->items[i].rollout);
		if (rollout && rollout_is_active (rollout))
			rollouts->items[kept++] = rollouts->items[i];
	}
	rollouts->count = kept;
	pthread_mutex_unlock (&rollouts->lock);
}

void
front_rollouts_apply (struct front *front, bool is_first)
{
	struct replica_set *set;
	if (front->state->rollouts.count == 0)
		return;
	cds_list_for_each_entry (set, &front->sets, node)
		apply_to_set (front, set, is_first);
	drop_ended (front);
	atomic_store (&front->rollouts.active, rollouts_any_active (&front->state->rollouts));
	update_work (front);
}

void
front_rollouts_resumed (struct front *front)
{
	struct replica_set *set;
	struct replica *replica;
	if (!atomic_load (&front->rollouts.active) || node_has_lease (front->node))
		return;
	cds_list_for_each_entry (set, &front->sets, node) {
		cds_list_for_each_entry (replica, &set->replicas, node) {
			if (replica->release == REPLICA_NEW_RELEASE && replica->pool)
				fetch_pool_end_waiting (replica->pool);
		}
	}
}

/* With a lease, this node knows all orders. */
static void
release_held (struct front *front, struct replica_set *set)
{
	if (!set->has_held || !node_has_lease (front->node))
		return;
	set->has_held = false;
	classify_all (front, set);
}

void
front_rollouts_share (struct front *front)
{
	struct replica_set *set;
	cds_list_for_each_entry (set, &front->sets, node)
		release_held (front, set);
	struct exposure_bounds limits = bounds (front);
	if (!atomic_load (&front->rollouts.active) || front->share_until_us <= front_now_us (front))
		return;
	cds_list_for_each_entry (set, &front->sets, node) {
		if (set->exposure && set->exposure->takes_slack)
			exposure_add_slack (set->exposure, &limits, shares_count (&front->shares),
				shares_rank (&front->shares, name_hash (set->name)));
	}
}

/* Called with the lock held. */
static struct rollout_report *
get_report (struct front_rollouts *rollouts, const struct rollout_use *use)
{
	for (int i = 0; i < rollouts->count; i++) {
		if (rollouts->items[i].rollout == use->rollout &&
			rollouts->items[i].route == use->route)
			return &rollouts->items[i];
	}
	if (!rollouts->items || rollouts->count == rollouts->cap) {
		rollouts->cap = rollouts->cap ? rollouts->cap * 2 : 8;
		rollouts->items = xrealloc (
			rollouts->items, (size_t)rollouts->cap * sizeof (*rollouts->items));
	}
	struct rollout_report *report = &rollouts->items[rollouts->count++];
	memset (report, 0, sizeof (*report));
	report->rollout = use->rollout;
	report->route = use->route;
	return report;
}

void
front_rollouts_sent (struct front *front, struct rollout_use *use, const struct replica *replica,
	const struct routing_rule *rule, const char *attempt_id)
{
	struct front_rollouts *rollouts = &front->rollouts;
	const struct exposure *exposure = replica->set->exposure;
	memset (use, 0, sizeof (*use));
	if (!exposure ||
		(exposure->phase != EXPOSURE_CANARY && exposure->phase != EXPOSURE_SHIFTING))
		return;
	exposure_note_sent (replica);
	use->rollout = exposure->rollout;
	use->route = name_hash (rule->name);
	/* The new version may run in fewer data centres. */
	if (strcmp (replica->data_centre, front->policy.data_centre) != 0)
		use->distance_us = REPLICA_REMOTE_RTT_US;
	use->side = replica->release == REPLICA_NEW_RELEASE ? ROLLOUT_NEW : ROLLOUT_OLD;
	pthread_mutex_lock (&rollouts->lock);
	struct rollout_report *report = get_report (rollouts, use);
	report->has_new = report->has_new || use->side == ROLLOUT_NEW;
	use->compared = report->has_new;
	pthread_mutex_unlock (&rollouts->lock);
	if (exposure->phase == EXPOSURE_SHIFTING) {
		update_work (front);
		return;
	}
	if (use->side != ROLLOUT_NEW)
		return;
	metric_add (METRIC_SUBS_EXPOSED, 1);
	log_event (&front->log, EVENT_SUB_REQUEST_EXPOSED,
		"%.127s: %s of %s at %s: version %s, roll-out %llu", attempt_id, replica->id,
		replica->set->name, replica->address, exposure->version,
		(unsigned long long)exposure->rollout);
}

void
front_rollouts_ended (struct front *front, const struct rollout_use *use,
	enum rollout_outcome outcome, int64_t took_us)
{
	struct front_rollouts *rollouts = &front->rollouts;
	if (use->rollout == 0)
		return;
	update_work (front);
	const struct rollout *rollout = rollouts_find (&front->state->rollouts, use->rollout);
	if (outcome == ROLLOUT_OUTCOME_NONE || !rollout || !rollout_is_active (rollout))
		return;
	pthread_mutex_lock (&rollouts->lock);
	struct rollout_report *report = get_report (rollouts, use);
	report->seen++;
	if (use->compared)
		rollout_count (&report->sides[use->side], outcome == ROLLOUT_OUTCOME_BAD,
			took_us - use->distance_us);
	pthread_mutex_unlock (&rollouts->lock);
}

const char *
front_rollouts_text (const struct rollout_use *use, char *text, size_t size)
{
	text[0] = '\0';
	if (use->rollout != 0)
		snprintf (text, size, ", %s version of roll-out %llu",
			use->side == ROLLOUT_NEW ? "new" : "old", (unsigned long long)use->rollout);
	return text;
}

void
front_rollouts_report (
	struct front_rollouts *rollouts, struct rollout_reports *reports, uint64_t seq)
{
	reports->count = 0;
	if (!atomic_load (&rollouts->active))
		return;
	pthread_mutex_lock (&rollouts->lock);
	if (seq != rollouts->reported_seq)
		rollouts->next += ROLLOUT_REPORTS_MAX;
	rollouts->reported_seq = seq;
	if (rollouts->count <= ROLLOUT_REPORTS_MAX)
		rollouts->next = 0;
	for (int i = 0; i < rollouts->count && i < ROLLOUT_REPORTS_MAX; i++)
		reports->items[reports->count++] =
			rollouts->items[(rollouts->next + i) % rollouts->count];
	pthread_mutex_unlock (&rollouts->lock);
}
