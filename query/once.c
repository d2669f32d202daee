#include "query/once.h"

#include "core/buf.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/* Cost terms of a target; the target with the lowest total is chosen. */
enum {
	COST_JITTER = 200,
	COST_PER_IN_FLIGHT = 1000,
	COST_AVOIDED = 100000,
	AVOID_TARGET_US = 20000,
	AVOID_OWNER_US = 1000000
};

void
once_init (struct once *once, struct view *view, int service, bool keyed, int64_t deadline_us,
	uint64_t seed)
{
	memset (once, 0, sizeof (*once));
	view_ref (view);
	once->view = view;
	once->service = service;
	once->keyed = keyed;
	once->deadline_us = deadline_us;
	once->target = -1;
	once->rng.state = seed;
	once->resend_at_us = once->retry_at_us = INT64_MAX;
}

void
once_finish (struct once *once)
{
	free (once->body);
	view_unref (once->view);
	memset (once, 0, sizeof (*once));
}

/* Ends the request. Without a key, or without a claim of its own, there is no outcome to store. */
static enum once_action_kind
end_with_outcome (struct once *once, enum once_outcome outcome, bool store, int64_t now_us)
{
	once->outcome = outcome;
	once->retry_at_us = INT64_MAX;
	if (!once->keyed || !store) {
		once->phase = ONCE_ENDED;
		return ONCE_ANSWER;
	}
	once->phase = ONCE_STORING;
	once->phase_deadline_us = now_us + ONCE_STORE_TIMEOUT_US;
	once->resend_at_us = now_us + ONCE_RESEND_INTERVAL_US;
	return ONCE_STORE;
}

static int
choose_target (struct once *once, int64_t now_us)
{
	const struct view_service *service = &once->view->services[once->service];
	int best = -1;
	int64_t best_cost = INT64_MAX;
	for (int i = 0; i < service->target_count && i < 64; i++) {
		const struct view_target *target = &once->view->targets[service->targets[i]];
		if (!view_target_usable (target) || (once->tried_mask >> i & 1))
			continue;
		int64_t cost = (int64_t)rng_below (&once->rng, COST_JITTER);
		cost += (int64_t)atomic_load_explicit (
				&target->hint->in_flight, memory_order_relaxed) *
			COST_PER_IN_FLIGHT / target->slots;
		if (atomic_load_explicit (&target->hint->avoid_until_us, memory_order_relaxed) >
			now_us)
			cost += COST_AVOIDED;
		if (atomic_load_explicit (&once->view->members[target->owner].hint->avoid_until_us,
			    memory_order_relaxed) > now_us)
			cost += COST_AVOIDED;
		if (cost < best_cost) {
			best = i;
			best_cost = cost;
		}
	}
	return best;
}

static enum once_action_kind
dispatch (struct once *once, int64_t now_us)
{
	const struct view_service *service = &once->view->services[once->service];
	int index = choose_target (once, now_us);
	if (index < 0) {
		once->phase = ONCE_BACKING_OFF;
		once->tried_mask = 0;
		once->retry_at_us = now_us + ONCE_BACKOFF_US;
		return ONCE_NOTHING;
	}
	once->tried_mask |= 1ULL << index;
	once->target = service->targets[index];
	once->attempt++;
	once->phase = ONCE_RUNNING;
	once->retry_at_us = INT64_MAX;
	atomic_fetch_add_explicit (
		&once->view->targets[once->target].hint->in_flight, 1, memory_order_relaxed);
	return ONCE_SEND;
}

enum once_action_kind
once_start (struct once *once, int64_t now_us)
{
	if (!once->keyed)
		return dispatch (once, now_us);
	once->phase = ONCE_CLAIMING;
	once->phase_deadline_us = now_us + ONCE_CLAIM_TIMEOUT_US;
	once->resend_at_us = now_us + ONCE_RESEND_INTERVAL_US;
	return ONCE_CLAIM;
}

static enum once_action_kind
end_with_stored (struct once *once, enum claim_status status, int http_status, const char *body,
	int64_t now_us)
{
	once->http_status = http_status;
	once->body = body ? xstrdup (body) : NULL;
	switch (status) {
	case CLAIM_DONE:
		return end_with_outcome (once, ONCE_DONE, false, now_us);
	case CLAIM_NOT_RUN:
		return end_with_outcome (once, ONCE_NOT_RUN, false, now_us);
	case CLAIM_PENDING:
	case CLAIM_UNKNOWN:
		break;
	}
	return end_with_outcome (once, ONCE_UNKNOWN, false, now_us);
}

enum once_action_kind
once_claimed (struct once *once, enum claim_verdict verdict, enum claim_status status,
	int http_status, const char *body, int64_t now_us)
{
	if (once->phase != ONCE_CLAIMING)
		return ONCE_NOTHING;
	once->resend_at_us = INT64_MAX;
	switch (verdict) {
	case VERDICT_RUN:
		return dispatch (once, now_us);
	case VERDICT_STORED:
		return end_with_stored (once, status, http_status, body, now_us);
	case VERDICT_PENDING:
		return end_with_outcome (once, ONCE_PENDING, false, now_us);
	case VERDICT_REUSED:
		return end_with_outcome (once, ONCE_KEY_REUSED, false, now_us);
	}
	return ONCE_NOTHING;
}

static void
update_hints (const struct once *once, enum sub_status status, int64_t now_us)
{
	const struct view_target *target = &once->view->targets[once->target];
	struct target_hint *hint = target->hint;
	struct member_hint *owner = once->view->members[target->owner].hint;
	atomic_store_explicit (&owner->avoid_until_us,
		status == SUB_SILENT ? now_us + AVOID_OWNER_US : 0, memory_order_relaxed);
	atomic_fetch_sub_explicit (&hint->in_flight, 1, memory_order_relaxed);
	if (status != SUB_OK)
		atomic_store_explicit (
			&hint->avoid_until_us, now_us + AVOID_TARGET_US, memory_order_relaxed);
}

enum once_action_kind
once_reply (struct once *once, uint32_t attempt, enum sub_status status, int http_status,
	const char *body, size_t len, int64_t now_us)
{
	if (once->phase != ONCE_RUNNING || attempt != once->attempt)
		return ONCE_NOTHING;
	update_hints (once, status, now_us);
	switch (status) {
	case SUB_OK:
		once->http_status = http_status;
		once->body = xmemdup (body, len);
		return end_with_outcome (once, ONCE_DONE, true, now_us);
	case SUB_REFUSED:
	case SUB_SNAPSHOT_MISSING:
		if (now_us >= once->deadline_us)
			return end_with_outcome (once, ONCE_NOT_RUN, true, now_us);
		return dispatch (once, now_us);
	case SUB_FAILED:
	case SUB_SILENT:
		break;
	}
	return end_with_outcome (once, ONCE_UNKNOWN, true, now_us);
}

enum once_action_kind
once_stored (struct once *once)
{
	if (once->phase != ONCE_STORING)
		return ONCE_NOTHING;
	once->phase = ONCE_ENDED;
	return ONCE_ANSWER;
}

enum once_action_kind
once_tick (struct once *once, int64_t now_us)
{
	switch (once->phase) {
	case ONCE_CLAIMING:
		/* The claim may still be committed later, so the outcome "not run" is stored. */
		if (now_us >= once->phase_deadline_us)
			return end_with_outcome (once, ONCE_NOT_RUN, true, now_us);
		break;
	case ONCE_BACKING_OFF:
		if (now_us >= once->deadline_us)
			return end_with_outcome (once, ONCE_NOT_RUN, true, now_us);
		if (now_us >= once->retry_at_us)
			return dispatch (once, now_us);
		return ONCE_NOTHING;
	case ONCE_RUNNING:
		if (now_us < once->deadline_us)
			return ONCE_NOTHING;
		update_hints (once, SUB_SILENT, now_us);
		return end_with_outcome (once, ONCE_UNKNOWN, true, now_us);
	case ONCE_STORING:
		if (now_us >= once->phase_deadline_us) {
			once->phase = ONCE_ENDED;
			return ONCE_ANSWER;
		}
		break;
	case ONCE_ENDED:
		return ONCE_NOTHING;
	}
	if (now_us < once->resend_at_us)
		return ONCE_NOTHING;
	once->resend_at_us = now_us + ONCE_RESEND_INTERVAL_US;
	return once->phase == ONCE_CLAIMING ? ONCE_CLAIM : ONCE_STORE;
}

int64_t
once_wake_us (const struct once *once)
{
	int64_t wake_us = once->resend_at_us;
	if (once->phase == ONCE_BACKING_OFF && once->retry_at_us < wake_us)
		wake_us = once->retry_at_us;
	if (once->phase == ONCE_BACKING_OFF || once->phase == ONCE_RUNNING)
		return once->deadline_us < wake_us ? once->deadline_us : wake_us;
	return once->phase_deadline_us < wake_us ? once->phase_deadline_us : wake_us;
}

enum claim_status
once_claim_status (const struct once *once)
{
	switch (once->outcome) {
	case ONCE_DONE:
		return CLAIM_DONE;
	case ONCE_NOT_RUN:
		return CLAIM_NOT_RUN;
	case ONCE_UNKNOWN:
	case ONCE_KEY_REUSED:
	case ONCE_PENDING:
		break;
	}
	return CLAIM_UNKNOWN;
}
