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
clamp_cold (int slots, int cold_limit)
{
	return cold_limit < slots ? cold_limit : slots;
}

void
gate_init (struct gate *gate, int slots, int cold_limit, int queue_max)
{
	memset (gate, 0, sizeof (*gate));
	CDS_INIT_LIST_HEAD (&gate->queue);
	gate->slots = slots;
	gate->cold_limit = clamp_cold (slots, cold_limit);
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
	gate->cold_limit = clamp_cold (slots, cold_limit);
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
	gate->trusted_limit = 0;
	gate->successes = 0;
	gate->slow_count = 0;
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
drop_ghosts (struct gate *gate, int64_t now_us)
{
	int kept = 0;
	for (int i = 0; i < gate->ghost_count; i++) {
		if (gate->ghosts[i] > now_us)
			gate->ghosts[kept++] = gate->ghosts[i];
	}
	gate->ghost_count = kept;
}

/* A full array keeps the latest times, so that it errs towards too little work. */
static void
add_ghost (struct gate *gate, int64_t until_us)
{
	if (gate->ghost_count < GATE_GHOSTS) {
		gate->ghosts[gate->ghost_count++] = until_us;
		return;
	}
	int first = 0;
	for (int i = 1; i < GATE_GHOSTS; i++) {
		if (gate->ghosts[i] < gate->ghosts[first])
			first = i;
	}
	if (gate->ghosts[first] < until_us)
		gate->ghosts[first] = until_us;
}

int
gate_occupied (struct gate *gate, int64_t now_us)
{
	drop_ghosts (gate, now_us);
	return gate->running + gate->ghost_count;
}

/* During a rest after failures nothing starts; the first request after it is the probe. */
static bool
has_room (struct gate *gate, int64_t now_us)
{
	if (!gate->open || gate->rest_until_us > now_us)
		return false;
	int occupied = gate_occupied (gate, now_us);
	if (gate->failures >= GATE_EJECT_FAILURES)
		return occupied == 0;
	return occupied < gate->limit;
}

static void
start (struct gate *gate, struct gate_item *item, int64_t now_us)
{
	item->running = true;
	item->started_us = now_us;
	gate->running++;
}

/*
 * Half of the smoothed latency is the least time in which an answer is still likely. An idle
 * target is tried all the same: only its replies can correct an estimate that is too high.
 */
static bool
too_late (const struct gate *gate, const struct gate_item *item, int64_t now_us)
{
	int64_t least_us = gate->running > 0 ? gate->smoothed_latency_us / 2 : 0;
	return item->deadline_us <= now_us + least_us;
}

static int
queued_by (const struct gate *gate, uint64_t origin)
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
	if (!gate->open || gate->rest_until_us > now_us || too_late (gate, item, now_us))
		return GATE_REFUSED;
	if (gate->queued == 0 && has_room (gate, now_us)) {
		start (gate, item, now_us);
		return GATE_START;
	}
	int64_t wait_us = gate->smoothed_latency_us * (gate->queued + 1) / gate->limit;
	if (gate->queued >= gate->queue_max || item->deadline_us <= now_us + wait_us)
		return GATE_REFUSED;
	if (gate->queue_max >= 2 && queued_by (gate, item->origin) >= (gate->queue_max + 1) / 2)
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

/* The origin with the fewest queued items goes first, then the earliest deadline. */
static struct gate_item *
choose (const struct gate *gate)
{
	struct gate_item *best = NULL;
	int best_share = 0;
	struct gate_item *item;
	cds_list_for_each_entry (item, &gate->queue, node) {
		int share = queued_by (gate, item->origin);
		if (!best || share < best_share ||
			(share == best_share && item->deadline_us < best->deadline_us)) {
			best = item;
			best_share = share;
		}
	}
	return best;
}

struct gate_item *
gate_start_next (struct gate *gate, int64_t now_us)
{
	if (gate->queued == 0 || !has_room (gate, now_us))
		return NULL;
	struct gate_item *item = choose (gate);
	if (too_late (gate, item, now_us))
		return NULL;
	gate_remove (gate, item);
	start (gate, item, now_us);
	return item;
}

struct gate_item *
gate_take_rejected (struct gate *gate, int64_t now_us)
{
	struct gate_item *item;
	cds_list_for_each_entry (item, &gate->queue, node) {
		if (gate->open && gate->rest_until_us <= now_us && !too_late (gate, item, now_us))
			continue;
		gate_remove (gate, item);
		return item;
	}
	return NULL;
}

static void
grow (struct gate *gate)
{
	if (!gate_is_cold (gate))
		return;
	if (++gate->successes < GATE_WARM_SUCCESSES * gate->limit)
		return;
	gate->successes = 0;
	gate->limit++;
	if (!gate_is_cold (gate))
		gate->cold_reason = COLD_NONE;
}

/*
 * A silence may hide a restart. Until a reply shows the boot id, the target gets no more than in
 * a cold start; one reply of the same boot proves that there was none.
 */
static void
doubt (struct gate *gate)
{
	int trusted = gate->trusted_limit > gate->limit ? gate->trusted_limit : gate->limit;
	gate_enter_cold_start (gate, COLD_SILENT);
	if (gate->boot_id != 0 && trusted > gate->limit)
		gate->trusted_limit = trusted;
}

static void
end_doubt (struct gate *gate)
{
	if (gate->trusted_limit == 0)
		return;
	gate->limit = gate->trusted_limit < gate->slots ? gate->trusted_limit : gate->slots;
	gate->trusted_limit = 0;
	if (!gate_is_cold (gate))
		gate->cold_reason = COLD_NONE;
}

static void
observe_success (struct gate *gate, int64_t latency_us)
{
	gate->failures = 0;
	end_doubt (gate);
	if (gate->smoothed_latency_us == 0) {
		gate->smoothed_latency_us = latency_us + 1;
		grow (gate);
		return;
	}
	if (latency_us > gate->smoothed_latency_us * GATE_STEP_FACTOR) {
		if (++gate->slow_count >= GATE_STEP_COUNT)
			gate_enter_cold_start (gate, COLD_LATENCY);
	} else {
		gate->slow_count = 0;
	}
	if (latency_us > gate->smoothed_latency_us * GATE_SLOW_FACTOR) {
		/* A lasting slow-down becomes the new reference in the end. */
		gate->smoothed_latency_us += gate->smoothed_latency_us / 20 + 1;
		return;
	}
	gate->smoothed_latency_us += (latency_us - gate->smoothed_latency_us) / 16;
	if (gate->smoothed_latency_us < 1)
		gate->smoothed_latency_us = 1;
	grow (gate);
}

/*
 * How long a silent sub-request may still occupy the target. Its connection is closed, which the
 * target takes as a cancel. Where the path is dead and the cancel is lost, the request either
 * never arrived or ends within its usual time, at its deadline at the latest. Even at its deadline
 * the cancel needs its time.
 */
static int64_t
hold_us (const struct gate *gate, const struct gate_item *item, int64_t now_us)
{
	int64_t hold = GATE_CANCEL_HOLD_US + gate->smoothed_latency_us * GATE_HOLD_REFERENCES;
	int64_t left = item->deadline_us - now_us;
	if (hold > left)
		hold = left;
	return hold > GATE_CANCEL_HOLD_US ? hold : GATE_CANCEL_HOLD_US;
}

static void
observe_failure (struct gate *gate, enum gate_cold_reason reason, int64_t now_us)
{
	if (reason == COLD_SILENT)
		doubt (gate);
	else
		gate_enter_cold_start (gate, reason);
	if (++gate->failures >= GATE_EJECT_FAILURES)
		gate->rest_until_us = now_us + GATE_EJECT_US;
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
		add_ghost (gate, now_us + hold_us (gate, item, now_us));
		observe_failure (gate, COLD_SILENT, now_us);
		return;
	case GATE_CANCELLED:
		add_ghost (gate, now_us + GATE_CANCEL_HOLD_US);
		return;
	}
}

int64_t
gate_wake_us (const struct gate *gate)
{
	if (gate->queued == 0)
		return INT64_MAX;
	int64_t wake = INT64_MAX;
	struct gate_item *item;
	cds_list_for_each_entry (item, &gate->queue, node) {
		int64_t late = item->deadline_us - gate->smoothed_latency_us / 2;
		if (late < wake)
			wake = late;
	}
	for (int i = 0; i < gate->ghost_count; i++) {
		if (gate->ghosts[i] < wake)
			wake = gate->ghosts[i];
	}
	return wake;
}
