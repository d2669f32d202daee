#include "query/query.h"

#include "core/buf.h"
#include "core/metrics.h"
#include "query/plan.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
	/* How long a replica is asked only after the others. */
	AVOID_REFUSING_TARGET_US = 20000,
	AVOID_OWNER_US = 1000000,        /* all targets of an owner that does not answer */
	AVOID_FAILED_TARGET_US = 250000, /* after a failure or a silence */
	COLD_HINT_TTL_US = 300000,       /* how long a reported cold start is assumed to last */
	HEDGE_MIN_MEDIANS = 2,           /* a hedge is never sent before this many medians */
	SILENCE_P99_FACTOR = 4,          /* an attempt is silent after this many 99th percentiles */
};

void
query_actions_init (struct query_actions *actions)
{
	memset (actions, 0, sizeof (*actions));
}

void
query_actions_finish (struct query_actions *actions)
{
	free (actions->items);
	query_actions_init (actions);
}

static void
add_action (struct query_actions *actions, enum query_action_kind kind, int attempt)
{
	if (actions->count == actions->cap) {
		actions->cap = actions->cap ? actions->cap * 2 : 32;
		actions->items =
			xrealloc (actions->items, (size_t)actions->cap * sizeof (*actions->items));
	}
	actions->items[actions->count++] =
		(struct query_action){.kind = kind, .attempt = (uint32_t)attempt};
}

uint32_t
query_shard_of (uint64_t key_hash, int shard_count)
{
	return (uint32_t)(key_hash % (uint64_t)shard_count);
}

void
query_init (struct query *query, struct view *view, const struct view_collection *collection,
	const char *key, const struct query_policy *policy, int64_t now_us, int64_t deadline_us,
	uint64_t seed)
{
	memset (query, 0, sizeof (*query));
	view_ref (view);
	query->view = view;
	query->collection = collection;
	query->policy = policy;
	query->start_us = now_us;
	query->deadline_us = deadline_us;
	query->rng.state = seed;
	query->single_shard = key != NULL;
	if (key)
		query->key_hash = XXH64 (key, strlen (key), 0);
}

static void
free_shards (struct query *query)
{
	for (int i = 0; i < query->shard_count; i++)
		free (query->shards[i].rows);
	free (query->shards);
	query->shards = NULL;
	query->shard_count = 0;
	query->answered = 0;
}

static void
add_in_flight (const struct query *query, const struct attempt *attempt, int delta)
{
	struct target_hint *hint = query->view->targets[attempt->target].hint;
	atomic_fetch_add_explicit (&hint->in_flight, (uint32_t)delta, memory_order_relaxed);
}

static void
end_attempt (struct query *query, int index)
{
	struct attempt *attempt = &query->attempts[index];
	if (attempt->state == ATTEMPT_ENDED)
		return;
	attempt->state = ATTEMPT_ENDED;
	add_in_flight (query, attempt, -1);
}

static void
cancel_attempt (struct query *query, int index, struct query_actions *actions)
{
	if (query->attempts[index].state != ATTEMPT_IN_FLIGHT)
		return;
	end_attempt (query, index);
	add_action (actions, QUERY_CANCEL, index);
}

static void
cancel_all (struct query *query, struct query_actions *actions)
{
	for (int i = 0; i < query->attempt_count; i++)
		cancel_attempt (query, i, actions);
	query->discovery_in_flight = 0;
}

static void
cancel_shard (struct query *query, struct shard *shard, struct query_actions *actions)
{
	for (int i = 0; i < shard->attempt_count; i++)
		cancel_attempt (query, (int)shard->attempt_ids[i], actions);
	shard->in_flight = 0;
}

void
query_finish (struct query *query)
{
	for (int i = 0; i < query->attempt_count; i++)
		end_attempt (query, i);
	free_shards (query);
	free (query->attempts);
	view_unref (query->view);
	memset (query, 0, sizeof (*query));
}

static void
send_attempt (struct query *query, int shard, int target, bool discover, bool hedge, int64_t now_us,
	struct query_actions *actions)
{
	if (query->attempt_count == query->attempt_cap) {
		query->attempt_cap = query->attempt_cap ? query->attempt_cap * 2 : 64;
		query->attempts = xrealloc (
			query->attempts, (size_t)query->attempt_cap * sizeof (*query->attempts));
	}
	struct attempt *attempt = &query->attempts[query->attempt_count];
	*attempt = (struct attempt){.target = target,
		.shard = shard,
		.generation = query->generation,
		.sent_us = now_us,
		.state = ATTEMPT_IN_FLIGHT,
		.discover = discover,
		.hedge = hedge};
	add_in_flight (query, attempt, 1);
	add_action (actions, QUERY_SEND, query->attempt_count++);
}

/* Adds the attempt that was just sent to those of the shard. */
static void
link_attempt (const struct query *query, struct shard *shard)
{
	shard->attempt_ids[shard->attempt_count++] = (uint32_t)query->attempt_count - 1;
	shard->in_flight++;
}

static struct service_hint *
service_hint_of (const struct query *query, const struct shard *shard)
{
	return query->view->services[shard->service].hint;
}

static void
set_shard_timers (struct query *query, struct shard *shard, int64_t now_us)
{
	const struct query_policy *policy = query->policy;
	struct quantile *latency = &service_hint_of (query, shard)->latency;
	int64_t hedge_us =
		quantile_get (latency, policy->hedge_percentile, policy->hedge_default_us);
	/* Where latencies vary little, the quantile alone would hedge ordinary sub-requests. */
	int64_t min_hedge_us = quantile_get (latency, 50, 0) * HEDGE_MIN_MEDIANS;
	if (hedge_us < min_hedge_us)
		hedge_us = min_hedge_us;
	int64_t silence_us = quantile_get (latency, 99, 0) * SILENCE_P99_FACTOR;
	if (silence_us < policy->silence_us)
		silence_us = policy->silence_us;
	shard->hedge_at_us = policy->hedge ? now_us + hedge_us : INT64_MAX;
	shard->silent_at_us = now_us + silence_us;
	shard->retry_at_us = INT64_MAX;
}

static void
schedule_retry (struct shard *shard, int64_t now_us)
{
	int doublings = shard->failures < 6 ? shard->failures : 6;
	shard->retry_at_us = now_us + ((int64_t)QUERY_BACKOFF_BASE_US << doublings);
	shard->hedge_at_us = INT64_MAX;
	shard->silent_at_us = INT64_MAX;
}

/* Sends to the best replica; when none can be asked now, schedules a retry. */
static void
try_shard (struct query *query, int index, int64_t now_us, struct query_actions *actions)
{
	struct shard *shard = &query->shards[index];
	if (shard->attempt_count >= QUERY_MAX_ATTEMPTS || shard->service < 0) {
		shard->retry_at_us = INT64_MAX;
		return;
	}
	bool retry = shard->retry_at_us <= now_us;
	int target = plan_replica (query, index, retry ? PLAN_ANY : PLAN_UNTRIED, now_us);
	if (target < 0) {
		shard->failures++;
		schedule_retry (shard, now_us);
		return;
	}
	metric_add (shard->attempt_count == 0 ? METRIC_SUBS_PRIMARY : METRIC_SUBS_RETRY, 1);
	shard->charge_retry = false;
	set_shard_timers (query, shard, now_us);
	send_attempt (query, index, target, false, false, now_us, actions);
	link_attempt (query, shard);
}

/* True when no further answer can come: nothing is in flight and no retry is planned. */
static bool
no_shard_pending (const struct query *query)
{
	for (int i = 0; i < query->shard_count; i++) {
		const struct shard *shard = &query->shards[i];
		if (!shard->answered && (shard->in_flight > 0 || shard->retry_at_us != INT64_MAX))
			return false;
	}
	return true;
}

static void
finish_if_done (struct query *query, struct query_actions *actions)
{
	if (query->phase != QUERY_RUNNING || !no_shard_pending (query))
		return;
	cancel_all (query, actions);
	query->phase = QUERY_DONE;
	add_action (actions, QUERY_FINISH, 0);
}

static void
start_snapshot (
	struct query *query, snapshot_t snapshot, int64_t now_us, struct query_actions *actions)
{
	const struct view_layout *layout =
		view_find_layout (query->collection, snapshot_layout (snapshot));
	free_shards (query);
	query->snapshot = snapshot;
	query->phase = QUERY_RUNNING;
	query->first_shard =
		query->single_shard ? query_shard_of (query->key_hash, layout->shard_count) : 0;
	query->shard_count = query->single_shard ? 1 : layout->shard_count;
	query->shards = xcalloc ((size_t)query->shard_count, sizeof (*query->shards));
	for (int i = 0; i < query->shard_count; i++) {
		struct shard *shard = &query->shards[i];
		shard->service = layout->shards[query->first_shard + (uint32_t)i];
		shard->hedge_at_us = shard->silent_at_us = shard->retry_at_us = INT64_MAX;
		if (shard->service >= 0)
			budget_earn (&service_hint_of (query, shard)->extra_budget,
				query->policy->extra_percent);
		try_shard (query, i, now_us, actions);
	}
	finish_if_done (query, actions);
}

/* No snapshot is known, so no shard can be asked: the shards of the newest layout are missing. */
static void
finish_without_snapshot (struct query *query, struct query_actions *actions)
{
	const struct view_layout *layout = &query->collection->layouts[0];
	for (int i = 1; i < query->collection->layout_count; i++) {
		if (query->collection->layouts[i].id > layout->id)
			layout = &query->collection->layouts[i];
	}
	cancel_all (query, actions);
	free_shards (query);
	query->first_shard =
		query->single_shard ? query_shard_of (query->key_hash, layout->shard_count) : 0;
	query->shard_count = query->single_shard ? 1 : layout->shard_count;
	query->shards = xcalloc ((size_t)query->shard_count, sizeof (*query->shards));
	query->phase = QUERY_DONE;
	add_action (actions, QUERY_FINISH, 0);
}

static void
plan_and_start (struct query *query, int64_t now_us, struct query_actions *actions)
{
	snapshot_t snapshot = plan_snapshot (query);
	cancel_all (query, actions);
	if (snapshot == 0)
		finish_without_snapshot (query, actions);
	else
		start_snapshot (query, snapshot, now_us, actions);
}

/* Asks every target whose snapshots are unknown; query.shards is not allocated yet. */
static void
discover_layout (struct query *query, const struct view_layout *layout, int64_t now_us,
	struct query_actions *actions)
{
	for (int i = 0; i < layout->shard_count; i++) {
		if (layout->shards[i] < 0)
			continue;
		if (query->single_shard &&
			query_shard_of (query->key_hash, layout->shard_count) != (uint32_t)i)
			continue;
		const struct view_service *service = &query->view->services[layout->shards[i]];
		for (int j = 0; j < service->target_count; j++) {
			const struct view_target *target =
				&query->view->targets[service->targets[j]];
			if (!view_target_usable (target) ||
				atomic_load_explicit (
					&target->hint->held_at_us, memory_order_acquire))
				continue;
			send_attempt (query, i, service->targets[j], true, false, now_us, actions);
			query->discovery_in_flight++;
		}
	}
}

void
query_start (struct query *query, int64_t now_us, struct query_actions *actions)
{
	query->phase = QUERY_DISCOVERING;
	for (int i = 0; i < query->collection->layout_count; i++)
		discover_layout (query, &query->collection->layouts[i], now_us, actions);
	if (query->discovery_in_flight == 0 || plan_snapshot (query) != 0)
		plan_and_start (query, now_us, actions);
}

static void
update_hints (struct query *query, const struct attempt *attempt, const struct sub_result *result,
	int64_t now_us)
{
	const struct view_target *target = &query->view->targets[attempt->target];
	struct target_hint *hint = target->hint;
	atomic_store_explicit (
		&query->view->members[target->owner].hint->avoid_until_us, 0, memory_order_relaxed);
	if (result->held_count > 0)
		target_hint_set_held (hint, result->held, result->held_count, now_us);
	int64_t avoid_us = 0;
	switch (result->status) {
	case SUB_OK:
		atomic_store_explicit (&hint->cold_until_us,
			result->cold ? now_us + COLD_HINT_TTL_US : 0, memory_order_relaxed);
		break;
	case SUB_SNAPSHOT_MISSING:
		break;
	case SUB_REFUSED:
		avoid_us = AVOID_REFUSING_TARGET_US;
		break;
	case SUB_FAILED:
	case SUB_SILENT:
		avoid_us = AVOID_FAILED_TARGET_US;
		break;
	}
	atomic_store_explicit (
		&hint->avoid_until_us, avoid_us ? now_us + avoid_us : 0, memory_order_relaxed);
}

/* True when the shard has usable replicas, but none of them holds the pinned snapshot. */
static bool
snapshot_lost (const struct query *query, const struct shard *shard)
{
	const struct view_service *service = &query->view->services[shard->service];
	bool usable = false;
	for (int i = 0; i < service->target_count; i++) {
		const struct view_target *target = &query->view->targets[service->targets[i]];
		if (!view_target_usable (target))
			continue;
		usable = true;
		if (target_hint_may_hold (target->hint, query->snapshot))
			return false;
	}
	return usable;
}

/* Starts again on another snapshot; keeps the current one when there is none left to try. */
static void
replan (struct query *query, int64_t now_us, struct query_actions *actions)
{
	if (query->generation + 1 >= QUERY_MAX_GENERATIONS)
		return;
	query->abandoned_snapshots[query->generation] = query->snapshot;
	query->generation++;
	snapshot_t next = plan_snapshot (query);
	if (next == 0) {
		query->generation--;
		return;
	}
	metric_add (METRIC_QUERIES_REPLANNED, 1);
	cancel_all (query, actions);
	start_snapshot (query, next, now_us, actions);
}

static void
store_rows (struct query *query, struct shard *shard, const struct sub_result *result,
	struct query_actions *actions)
{
	shard->answered = true;
	shard->rows = xmemdup (result->body, result->body_len);
	shard->rows_len = result->body_len;
	shard->hedge_at_us = shard->silent_at_us = shard->retry_at_us = INT64_MAX;
	query->answered++;
	cancel_shard (query, shard, actions);
}

/*
 * Retries at once if there is an untried replica, otherwise after a backoff. A refused sub-request
 * did not run, so its retry adds no load; any other retry is charged to the budget.
 */
static void
handle_failure (struct query *query, int index, enum sub_status status, int64_t now_us,
	struct query_actions *actions)
{
	struct shard *shard = &query->shards[index];
	if (shard->in_flight > 0)
		return;
	bool nothing_ran = status == SUB_REFUSED || status == SUB_SNAPSHOT_MISSING;
	bool untried = plan_replica (query, index, PLAN_UNTRIED, now_us) >= 0;
	if (untried &&
		(nothing_ran || budget_spend (&service_hint_of (query, shard)->extra_budget))) {
		query->retries++;
		try_shard (query, index, now_us, actions);
		return;
	}
	shard->charge_retry = !nothing_ran;
	shard->failures++;
	if (shard->attempt_count < QUERY_MAX_ATTEMPTS)
		schedule_retry (shard, now_us);
}

bool
query_reply (struct query *query, uint32_t id, const struct sub_result *result, int64_t now_us,
	struct query_actions *actions)
{
	if (query->phase == QUERY_DONE || id >= (uint32_t)query->attempt_count)
		return false;
	struct attempt attempt = query->attempts[id];
	if (attempt.state != ATTEMPT_IN_FLIGHT || attempt.generation != query->generation)
		return false;
	end_attempt (query, (int)id);
	update_hints (query, &attempt, result, now_us);
	if (attempt.discover) {
		if (query->phase == QUERY_DISCOVERING && --query->discovery_in_flight == 0)
			plan_and_start (query, now_us, actions);
		return true;
	}
	struct shard *shard = &query->shards[attempt.shard];
	enum sub_status status = result->status;
	if (status == SUB_OK &&
		(result->snapshot != query->snapshot ||
			result->shard != query->first_shard + (uint32_t)attempt.shard)) {
		metric_add (METRIC_SUBS_BAD, 1);
		status = SUB_FAILED;
	}
	shard->in_flight--;
	shard->refused = shard->refused || status == SUB_REFUSED;
	if (status == SUB_OK) {
		quantile_observe (
			&service_hint_of (query, shard)->latency, now_us - attempt.sent_us);
		store_rows (query, shard, result, actions);
	} else if (status == SUB_SNAPSHOT_MISSING && snapshot_lost (query, shard)) {
		int old_generation = query->generation;
		replan (query, now_us, actions);
		if (query->generation != old_generation)
			return true;
		shard->retry_at_us = INT64_MAX;
	} else {
		handle_failure (query, attempt.shard, status, now_us, actions);
	}
	finish_if_done (query, actions);
	return true;
}

static void
hedge_shard (struct query *query, int index, int64_t now_us, struct query_actions *actions)
{
	struct shard *shard = &query->shards[index];
	shard->hedge_at_us = INT64_MAX;
	if (shard->attempt_count >= QUERY_MAX_ATTEMPTS)
		return;
	int target = plan_replica (query, index, PLAN_HEDGE, now_us);
	if (target < 0 || !budget_spend (&service_hint_of (query, shard)->extra_budget))
		return;
	metric_add (METRIC_SUBS_HEDGE, 1);
	query->hedges++;
	send_attempt (query, index, target, false, true, now_us, actions);
	link_attempt (query, shard);
}

/*
 * Avoids the targets of silent attempts for AVOID_FAILED_TARGET_US, and their owners for
 * AVOID_OWNER_US or until any reply from them arrives.
 */
static void
avoid_silent_targets (const struct query *query, const struct shard *shard, int64_t now_us)
{
	for (int i = 0; i < shard->attempt_count; i++) {
		const struct attempt *attempt = &query->attempts[shard->attempt_ids[i]];
		const struct view_target *target = &query->view->targets[attempt->target];
		if (attempt->state != ATTEMPT_IN_FLIGHT ||
			attempt->sent_us + query->policy->silence_us > now_us)
			continue;
		atomic_store_explicit (&target->hint->avoid_until_us,
			now_us + AVOID_FAILED_TARGET_US, memory_order_relaxed);
		atomic_store_explicit (&query->view->members[target->owner].hint->avoid_until_us,
			now_us + AVOID_OWNER_US, memory_order_relaxed);
	}
}

/*
 * Cancels the shard's attempts as silent when another replica can be asked instead. Without one, or
 * without budget, waits on, because a late reply is better than none.
 */
static void
abandon_silent_attempts (
	struct query *query, int index, int64_t now_us, struct query_actions *actions)
{
	struct shard *shard = &query->shards[index];
	avoid_silent_targets (query, shard, now_us);
	if (shard->attempt_count >= QUERY_MAX_ATTEMPTS ||
		plan_replica (query, index, PLAN_UNTRIED, now_us) < 0 ||
		!budget_spend (&service_hint_of (query, shard)->extra_budget)) {
		shard->silent_at_us = now_us + query->policy->silence_us;
		return;
	}
	cancel_shard (query, shard, actions);
	query->retries++;
	try_shard (query, index, now_us, actions);
}

static void
tick_shard (struct query *query, int index, int64_t now_us, struct query_actions *actions)
{
	struct shard *shard = &query->shards[index];
	if (shard->answered)
		return;
	if (shard->silent_at_us <= now_us)
		abandon_silent_attempts (query, index, now_us, actions);
	else if (shard->hedge_at_us <= now_us)
		hedge_shard (query, index, now_us, actions);
	if (shard->retry_at_us > now_us || shard->in_flight > 0)
		return;
	if (shard->charge_retry && !budget_spend (&service_hint_of (query, shard)->extra_budget)) {
		schedule_retry (shard, now_us);
		return;
	}
	try_shard (query, index, now_us, actions);
}

void
query_tick (struct query *query, int64_t now_us, struct query_actions *actions)
{
	if (query->phase == QUERY_DISCOVERING &&
		now_us >= query->start_us +
				  (query->deadline_us - query->start_us) / QUERY_DISCOVERY_DIVISOR)
		plan_and_start (query, now_us, actions);
	if (query->phase != QUERY_RUNNING)
		return;
	if (now_us >= query->deadline_us - QUERY_ANSWER_MARGIN_US) {
		cancel_all (query, actions);
		query->phase = QUERY_DONE;
		add_action (actions, QUERY_FINISH, 0);
		return;
	}
	for (int i = 0; i < query->shard_count; i++)
		tick_shard (query, i, now_us, actions);
	finish_if_done (query, actions);
}

bool
query_has_refused_shard (const struct query *query)
{
	for (int i = 0; i < query->shard_count; i++) {
		if (!query->shards[i].answered && query->shards[i].refused)
			return true;
	}
	return false;
}

int64_t
query_wake_us (const struct query *query)
{
	if (query->phase == QUERY_DISCOVERING)
		return query->start_us +
		       (query->deadline_us - query->start_us) / QUERY_DISCOVERY_DIVISOR;
	int64_t wake_us = query->deadline_us - QUERY_ANSWER_MARGIN_US;
	for (int i = 0; i < query->shard_count; i++) {
		const struct shard *shard = &query->shards[i];
		if (shard->answered)
			continue;
		if (shard->hedge_at_us < wake_us)
			wake_us = shard->hedge_at_us;
		if (shard->silent_at_us < wake_us)
			wake_us = shard->silent_at_us;
		if (shard->retry_at_us < wake_us)
			wake_us = shard->retry_at_us;
	}
	return wake_us;
}
