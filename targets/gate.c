#include "targets/gate.h"

#include <assert.h>
#include <string.h>

const char *
gate_cold_reason_name (enum gate_cold_reason reason)
{
	static const char *const names[] = {
		"warm", "new_owner", "declared", "boot", "reset", "shed", "silent", "latency"};
	return names[reason];
}

static int
clamp_cold_limit (int slots, int cold_limit)
{
	return cold_limit < slots ? cold_limit : slots;
}

void
gate_init (struct gate *gate, int slots, int cold_limit, int queue_max)
{
	memset (gate, 0, sizeof (*gate));
	CDS_INIT_LIST_HEAD (&gate->queue);
	gate->slots = slots;
	gate->cold_limit = clamp_cold_limit (slots, cold_limit);
	gate->limit = gate->cold_limit;
	gate->queue_max = queue_max;
	gate->cold_reason = gate->limit < slots ? COLD_NEW_OWNER : COLD_NONE;
}

void
gate_configure (struct gate *gate, int slots, int cold_limit)
{
	bool was_warm = gate->limit == gate->slots;
	bool raised = slots > gate->slots;
	gate->slots = slots;
	gate->cold_limit = clamp_cold_limit (slots, cold_limit);
	if (gate->limit > slots || (was_warm && !raised))
		gate->limit = slots;
	if (gate->limit < gate->cold_limit)
		gate->limit = gate->cold_limit;
	if (gate->limit == gate->slots)
		gate->cold_reason = COLD_NONE;
	else if (gate->cold_reason == COLD_NONE)
		gate->cold_reason = COLD_DECLARED;
}

void
gate_set_open (struct gate *gate, bool open)
{
	gate->open = open;
}

bool
gate_is_cold (const struct gate *gate)
{
	return gate->limit < gate->slots;
}

void
gate_enter_cold_start (struct gate *gate, enum gate_cold_reason reason)
{
	gate->limit = gate->cold_limit;
	gate->limit_before_silence = 0;
	gate->prompt_successes = 0;
	gate->latency_step_count = 0;
	gate->cold_reason = gate_is_cold (gate) ? reason : COLD_NONE;
}

void
gate_observe_boot_id (struct gate *gate, uint64_t boot_id)
{
	if (boot_id == 0)
		return;
	if (gate->boot_id != 0 && gate->boot_id != boot_id)
		gate_enter_cold_start (gate, COLD_BOOT);
	gate->boot_id = boot_id;
}

static void
drop_expired_abandoned (struct gate *gate, int64_t now_us)
{
	int kept = 0;
	for (int i = 0; i < gate->abandoned_count; i++) {
		if (gate->abandoned_until_us[i] > now_us)
			gate->abandoned_until_us[kept++] = gate->abandoned_until_us[i];
	}
	gate->abandoned_count = kept;
}

/* A full array keeps the latest times, so that the gate admits too little work, not too much. */
static void
add_abandoned (struct gate *gate, int64_t until_us)
{
	if (gate->abandoned_count < GATE_MAX_ABANDONED) {
		gate->abandoned_until_us[gate->abandoned_count++] = until_us;
		return;
	}
	int earliest = 0;
	for (int i = 1; i < GATE_MAX_ABANDONED; i++) {
		if (gate->abandoned_until_us[i] < gate->abandoned_until_us[earliest])
			earliest = i;
	}
	if (gate->abandoned_until_us[earliest] < until_us)
		gate->abandoned_until_us[earliest] = until_us;
}

int
gate_occupied (struct gate *gate, int64_t now_us)
{
	drop_expired_abandoned (gate, now_us);
	return gate->running + gate->abandoned_count;
}

/*
 * Nothing starts during an ejection. After it a single sub-request runs as a probe, and its
 * failure ejects the target again.
 */
static bool
can_start (struct gate *gate, int64_t now_us)
{
	if (!gate->open || gate->ejected_until_us > now_us)
		return false;
	int occupied = gate_occupied (gate, now_us);
	if (gate->consecutive_failures >= GATE_EJECT_FAILURES)
		return occupied == 0;
	return occupied < gate->limit;
}

static void
start_item (struct gate *gate, struct gate_item *item, int64_t now_us)
{
	item->running = true;
	item->started_us = now_us;
	gate->running++;
}

/*
 * A reply in less than half of the smoothed latency is unlikely. An idle target is asked all the
 * same until the deadline, because only a reply can correct a smoothed latency that is too high.
 */
static bool
too_late_to_start (const struct gate *gate, const struct gate_item *item, int64_t now_us)
{
	int64_t min_time_us = gate->running > 0 ? gate->smoothed_latency_us / 2 : 0;
	return item->deadline_us <= now_us + min_time_us;
}

static int
queued_from (const struct gate *gate, uint64_t origin)
{
	int count = 0;
	struct gate_item *item;
	cds_list_for_each_entry (item, &gate->queue, node)
		count += item->origin == origin;
	return count;
}

enum gate_verdict
gate_submit (struct gate *gate, struct gate_item *item, int64_t now_us)
{
	item->queued = false;
	item->running = false;
	if (!gate->open || gate->ejected_until_us > now_us ||
		too_late_to_start (gate, item, now_us))
		return GATE_REFUSED;
	if (gate->queued == 0 && can_start (gate, now_us)) {
		start_item (gate, item, now_us);
		return GATE_START;
	}
	int64_t wait_us = gate->smoothed_latency_us * (gate->queued + 1) / gate->limit;
	if (gate->queued >= gate->queue_max || item->deadline_us <= now_us + wait_us)
		return GATE_REFUSED;
	/* One origin may fill at most half of the queue. */
	if (gate->queue_max >= 2 && queued_from (gate, item->origin) >= (gate->queue_max + 1) / 2)
		return GATE_REFUSED;
	item->queued = true;
	cds_list_add_tail (&item->node, &gate->queue);
	gate->queued++;
	return GATE_QUEUED;
}

void
gate_remove (struct gate *gate, struct gate_item *item)
{
	assert (item->queued);
	cds_list_del (&item->node);
	item->queued = false;
	gate->queued--;
}

/* Prefers the origin with the fewest queued items, then the earliest deadline. */
static struct gate_item *
choose_queued (const struct gate *gate)
{
	struct gate_item *best = NULL;
	int best_queued = 0;
	struct gate_item *item;
	cds_list_for_each_entry (item, &gate->queue, node) {
		int origin_queued = queued_from (gate, item->origin);
		if (!best || origin_queued < best_queued ||
			(origin_queued == best_queued && item->deadline_us < best->deadline_us)) {
			best = item;
			best_queued = origin_queued;
		}
	}
	return best;
}

struct gate_item *
gate_start_next (struct gate *gate, int64_t now_us)
{
	if (gate->queued == 0 || !can_start (gate, now_us))
		return NULL;
	struct gate_item *item = choose_queued (gate);
	if (too_late_to_start (gate, item, now_us))
		return NULL;
	gate_remove (gate, item);
	start_item (gate, item, now_us);
	return item;
}

struct gate_item *
gate_take_rejected (struct gate *gate, int64_t now_us)
{
	struct gate_item *item;
	cds_list_for_each_entry (item, &gate->queue, node) {
		if (gate->open && gate->ejected_until_us <= now_us &&
			!too_late_to_start (gate, item, now_us))
			continue;
		gate_remove (gate, item);
		return item;
	}
	return NULL;
}

static void
grow_limit (struct gate *gate)
{
	if (!gate_is_cold (gate))
		return;
	if (++gate->prompt_successes < GATE_GROWTH_SUCCESSES * gate->limit)
		return;
	gate->prompt_successes = 0;
	gate->limit++;
	if (!gate_is_cold (gate))
		gate->cold_reason = COLD_NONE;
}

/*
 * A target that does not reply may have restarted. It is limited as in a cold start until a reply
 * shows its boot id; one reply with the same boot id proves that there was no restart.
 */
static void
suspect_restart (struct gate *gate)
{
	int trusted_limit =
		gate->limit_before_silence > gate->limit ? gate->limit_before_silence : gate->limit;
	gate_enter_cold_start (gate, COLD_SILENT);
	if (gate->boot_id != 0 && trusted_limit > gate->limit)
		gate->limit_before_silence = trusted_limit;
}

static void
clear_suspected_restart (struct gate *gate)
{
	if (gate->limit_before_silence == 0)
		return;
	gate->limit =
		gate->limit_before_silence < gate->slots ? gate->limit_before_silence : gate->slots;
	gate->limit_before_silence = 0;
	if (!gate_is_cold (gate))
		gate->cold_reason = COLD_NONE;
}

static void
observe_success (struct gate *gate, int64_t latency_us)
{
	gate->consecutive_failures = 0;
	clear_suspected_restart (gate);
	if (gate->smoothed_latency_us == 0) {
		gate->smoothed_latency_us = latency_us + 1;
		grow_limit (gate);
		return;
	}
	if (latency_us > gate->smoothed_latency_us * GATE_LATENCY_STEP_FACTOR) {
		if (++gate->latency_step_count >= GATE_LATENCY_STEP_COUNT)
			gate_enter_cold_start (gate, COLD_LATENCY);
	} else {
		gate->latency_step_count = 0;
	}
	if (latency_us > gate->smoothed_latency_us * GATE_SLOW_FACTOR) {
		/* Rises 5 percent per reply: the average follows only a lasting slow-down. */
		gate->smoothed_latency_us += gate->smoothed_latency_us / 20 + 1;
		return;
	}
	gate->smoothed_latency_us += (latency_us - gate->smoothed_latency_us) / 16;
	if (gate->smoothed_latency_us < 1)
		gate->smoothed_latency_us = 1;
	grow_limit (gate);
}

/*
 * How long a silent sub-request may still occupy a slot of the target. Closing its connection
 * cancels it. Where the network path is broken and the cancel is lost, the sub-request either
 * never arrived or ends within a few smoothed latencies, and at its deadline at the latest. A
 * cancel at the deadline still takes GATE_CANCEL_HOLD_US to have an effect.
 */
static int64_t
silent_hold_us (const struct gate *gate, const struct gate_item *item, int64_t now_us)
{
	int64_t hold_us =
		GATE_CANCEL_HOLD_US + gate->smoothed_latency_us * GATE_SILENT_HOLD_LATENCIES;
	int64_t remaining_us = item->deadline_us - now_us;
	if (hold_us > remaining_us)
		hold_us = remaining_us;
	return hold_us > GATE_CANCEL_HOLD_US ? hold_us : GATE_CANCEL_HOLD_US;
}

static void
observe_failure (struct gate *gate, enum gate_cold_reason reason, int64_t now_us)
{
	if (reason == COLD_SILENT)
		suspect_restart (gate);
	else
		gate_enter_cold_start (gate, reason);
	if (++gate->consecutive_failures >= GATE_EJECT_FAILURES)
		gate->ejected_until_us = now_us + GATE_EJECT_US;
}

void
gate_finish (struct gate *gate, struct gate_item *item, enum gate_outcome outcome, int64_t now_us)
{
	assert (item->running);
	item->running = false;
	gate->running--;
	switch (outcome) {
	case GATE_OK:
		observe_success (gate, now_us - item->started_us);
		return;
	case GATE_NOT_SENT:
		return;
	case GATE_SHED:
		observe_failure (gate, COLD_SHED, now_us);
		return;
	case GATE_RESET:
		observe_failure (gate, COLD_RESET, now_us);
		return;
	case GATE_SILENT:
		add_abandoned (gate, now_us + silent_hold_us (gate, item, now_us));
		observe_failure (gate, COLD_SILENT, now_us);
		return;
	case GATE_CANCELLED:
		add_abandoned (gate, now_us + GATE_CANCEL_HOLD_US);
		return;
	}
}

int64_t
gate_wake_us (const struct gate *gate)
{
	if (gate->queued == 0)
		return INT64_MAX;
	int64_t wake_us = INT64_MAX;
	struct gate_item *item;
	cds_list_for_each_entry (item, &gate->queue, node) {
		int64_t latest_start_us = item->deadline_us - gate->smoothed_latency_us / 2;
		if (latest_start_us < wake_us)
			wake_us = latest_start_us;
	}
	for (int i = 0; i < gate->abandoned_count; i++) {
		if (gate->abandoned_until_us[i] < wake_us)
			wake_us = gate->abandoned_until_us[i];
	}
	return wake_us;
}
