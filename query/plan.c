#include "query/plan.h"

#include <stdatomic.h>

enum { MAX_CANDIDATES = 32 };

/* Cost terms of a replica; the replica with the lowest total is chosen. */
enum {
	COST_PER_IN_FLIGHT = 1000, /* for each sub-request in flight, per slot */
	COST_AVOIDED = 100000,     /* refused or failed a short time ago */
	COST_COLD = 300,           /* about as one sub-request in flight at a warm target */
	COST_TRIED = 1000000,
	COST_OWNER_SILENT = 50000, /* its owner left a sub-request unanswered */
	COST_JITTER = 200,         /* random; spreads load over equal replicas */
};

/* Distinct snapshots, newest first; a full list keeps the newest. */
struct candidates {
	snapshot_t items[MAX_CANDIDATES];
	int count;
};

static void
add_candidate (struct candidates *candidates, snapshot_t snapshot)
{
	int at = 0;
	while (at < candidates->count && candidates->items[at] > snapshot)
		at++;
	if (at < candidates->count && candidates->items[at] == snapshot)
		return;
	if (at == MAX_CANDIDATES)
		return;
	if (candidates->count == MAX_CANDIDATES)
		candidates->count--;
	for (int i = candidates->count; i > at; i--)
		candidates->items[i] = candidates->items[i - 1];
	candidates->items[at] = snapshot;
	candidates->count++;
}

static bool
is_abandoned (const struct query *query, snapshot_t snapshot)
{
	for (int i = 0; i < query->generation && i < QUERY_MAX_GENERATIONS; i++) {
		if (query->abandoned_snapshots[i] == snapshot)
			return true;
	}
	return false;
}

static void
add_target_snapshots (const struct query *query, const struct view_target *target, uint32_t layout,
	struct candidates *candidates)
{
	if (!view_target_usable (target))
		return;
	for (int i = 0; i < MAX_HELD_SNAPSHOTS; i++) {
		snapshot_t held =
			atomic_load_explicit (&target->hint->held[i], memory_order_relaxed);
		if (held && snapshot_layout (held) == layout && !is_abandoned (query, held))
			add_candidate (candidates, held);
	}
}

static void
add_layout_snapshots (
	const struct query *query, const struct view_layout *layout, struct candidates *candidates)
{
	for (int i = 0; i < layout->shard_count; i++) {
		if (layout->shards[i] < 0)
			continue;
		const struct view_service *service = &query->view->services[layout->shards[i]];
		for (int j = 0; j < service->target_count; j++)
			add_target_snapshots (query, &query->view->targets[service->targets[j]],
				layout->id, candidates);
	}
}

static bool
shard_covered (const struct query *query, int service_index, snapshot_t snapshot)
{
	if (service_index < 0)
		return false;
	const struct view_service *service = &query->view->services[service_index];
	for (int i = 0; i < service->target_count; i++) {
		const struct view_target *target = &query->view->targets[service->targets[i]];
		if (view_target_usable (target) && target_hint_may_hold (target->hint, snapshot))
			return true;
	}
	return false;
}

static int
count_covered (const struct query *query, const struct view_layout *layout, snapshot_t snapshot)
{
	if (query->single_shard) {
		uint32_t shard = query_shard_of (query->key_hash, layout->shard_count);
		return shard_covered (query, layout->shards[shard], snapshot) ? layout->shard_count
									      : 0;
	}
	int covered = 0;
	for (int i = 0; i < layout->shard_count; i++)
		covered += shard_covered (query, layout->shards[i], snapshot);
	return covered;
}

snapshot_t
plan_snapshot (const struct query *query)
{
	struct candidates candidates = {.count = 0};
	for (int i = 0; i < query->collection->layout_count; i++)
		add_layout_snapshots (query, &query->collection->layouts[i], &candidates);
	snapshot_t best = 0;
	double best_fraction = -1;
	for (int i = 0; i < candidates.count; i++) {
		snapshot_t snapshot = candidates.items[i];
		const struct view_layout *layout =
			view_find_layout (query->collection, snapshot_layout (snapshot));
		int covered = count_covered (query, layout, snapshot);
		if (covered == layout->shard_count)
			return snapshot;
		double fraction = (double)covered / layout->shard_count;
		if (fraction > best_fraction) {
			best = snapshot;
			best_fraction = fraction;
		}
	}
	return best;
}

static bool
was_tried (const struct query *query, const struct shard *shard, int target)
{
	for (int i = 0; i < shard->attempt_count; i++) {
		if (query->attempts[shard->attempt_ids[i]].target == target)
			return true;
	}
	return false;
}

/* True when an attempt of the shard is in flight at the owner of the target. */
static bool
owner_has_attempt (const struct query *query, const struct shard *shard, int target)
{
	for (int i = 0; i < shard->attempt_count; i++) {
		const struct attempt *attempt = &query->attempts[shard->attempt_ids[i]];
		if (attempt->state == ATTEMPT_IN_FLIGHT &&
			query->view->targets[attempt->target].owner ==
				query->view->targets[target].owner)
			return true;
	}
	return false;
}

static bool
is_avoided (const struct target_hint *hint, int64_t now_us)
{
	return atomic_load_explicit (&hint->avoid_until_us, memory_order_relaxed) > now_us;
}

static bool
is_cold (const struct target_hint *hint, int64_t now_us)
{
	return atomic_load_explicit (&hint->cold_until_us, memory_order_relaxed) > now_us;
}

static bool
owner_is_silent (const struct query *query, const struct view_target *target, int64_t now_us)
{
	const struct member_hint *hint = query->view->members[target->owner].hint;
	return atomic_load_explicit (&hint->avoid_until_us, memory_order_relaxed) > now_us;
}

/* A cold target counts as having one slot, so that it still gets the requests that warm it up. */
static int64_t
replica_cost (struct query *query, const struct view_target *target, int64_t now_us)
{
	const struct target_hint *hint = target->hint;
	bool cold = is_cold (hint, now_us);
	int64_t cost = (int64_t)rng_below (&query->rng, COST_JITTER);
	cost += (int64_t)atomic_load_explicit (&hint->in_flight, memory_order_relaxed) *
		COST_PER_IN_FLIGHT / (cold ? 1 : target->slots);
	if (is_avoided (hint, now_us))
		cost += COST_AVOIDED;
	if (owner_is_silent (query, target, now_us))
		cost += COST_OWNER_SILENT;
	if (cold)
		cost += COST_COLD;
	return cost;
}

static bool
may_choose (const struct query *query, const struct shard *shard, int index,
	enum plan_choice choice, int64_t now_us)
{
	const struct view_target *target = &query->view->targets[index];
	if (!view_target_usable (target) || !target_hint_may_hold (target->hint, query->snapshot))
		return false;
	if (choice == PLAN_ANY)
		return true;
	if (was_tried (query, shard, index))
		return false;
	return choice == PLAN_UNTRIED ||
	       (!is_cold (target->hint, now_us) && !is_avoided (target->hint, now_us) &&
		       !owner_has_attempt (query, shard, index));
}

/* Baseline policy for comparison: takes usable replicas in turn, regardless of hints. */
static int
round_robin (const struct query *query, const struct view_service *service)
{
	static _Atomic unsigned turn;
	unsigned first = atomic_fetch_add_explicit (&turn, 1, memory_order_relaxed);
	for (int i = 0; i < service->target_count; i++) {
		int index =
			service->targets[(first + (unsigned)i) % (unsigned)service->target_count];
		if (view_target_usable (&query->view->targets[index]))
			return index;
	}
	return -1;
}

int
plan_replica (struct query *query, int index, enum plan_choice choice, int64_t now_us)
{
	const struct shard *shard = &query->shards[index];
	if (shard->service < 0)
		return -1;
	const struct view_service *service = &query->view->services[shard->service];
	if (query->policy->baseline)
		return round_robin (query, service);
	int best = -1;
	int64_t best_cost = INT64_MAX;
	for (int i = 0; i < service->target_count; i++) {
		int target = service->targets[i];
		if (!may_choose (query, shard, target, choice, now_us))
			continue;
		int64_t cost = replica_cost (query, &query->view->targets[target], now_us);
		if (choice == PLAN_ANY && was_tried (query, shard, target))
			cost += COST_TRIED;
		if (cost < best_cost) {
			best = target;
			best_cost = cost;
		}
	}
	return best;
}
