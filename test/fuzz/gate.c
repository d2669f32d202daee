/**
 * @file gate.c
 * Fuzzes the gate against a model of its target: what runs there, including abandoned work, never
 * exceeds the slots or the limit of a cold start.
 */
#include "targets/gate.h"
#include "test/fuzz/input.h"

#include <stdlib.h>
#include <string.h>

enum { ITEMS = 64, ITEM_FREE = 0, ITEM_QUEUED, ITEM_RUNNING, ITEM_ABANDONED };

struct model {
	struct gate gate;
	struct gate_item items[ITEMS];
	int state[ITEMS];
	int64_t busy_until_us[ITEMS]; /* ITEM_ABANDONED: the target may work on it until then */
	int64_t now_us;
	bool open;
	int slots;
	int cold_limit;
	int successes;          /* since the last cold start began */
	bool cold;              /* a cold start has begun; successes raise the limit */
	bool restart_suspected; /* silent, and no reply since has shown the same boot id */
};

/* How many sub-requests the target may be working on now. */
static int
occupied (const struct model *model)
{
	int count = 0;
	for (int i = 0; i < ITEMS; i++)
		count += model->state[i] == ITEM_RUNNING ||
			 (model->state[i] == ITEM_ABANDONED &&
				 model->busy_until_us[i] > model->now_us);
	return count;
}

static void
check_start (struct model *model, int item)
{
	model->state[item] = ITEM_RUNNING;
	if (!model->open || model->items[item].deadline_us <= model->now_us)
		abort ();
	int min_limit = model->cold_limit < model->slots ? model->cold_limit : model->slots;
	/* Raising the limit by one takes at least eight successes per sub-request it allows. */
	int max_limit = model->cold ? min_limit + model->successes / (8 * min_limit) : model->slots;
	if (model->restart_suspected)
		max_limit = min_limit;
	if (max_limit > model->slots)
		max_limit = model->slots;
	if (occupied (model) > max_limit)
		abort ();
}

static void
run_queue (struct model *model)
{
	struct gate_item *item;
	while ((item = gate_take_rejected (&model->gate, model->now_us))) {
		if (model->state[item - model->items] != ITEM_QUEUED)
			abort ();
		model->state[item - model->items] = ITEM_FREE;
	}
	while ((item = gate_start_next (&model->gate, model->now_us))) {
		if (model->state[item - model->items] != ITEM_QUEUED)
			abort ();
		check_start (model, (int)(item - model->items));
	}
}

static void
submit (struct model *model, struct input *input)
{
	int at = (int)input_below (input, ITEMS);
	if (model->state[at] == ITEM_QUEUED || model->state[at] == ITEM_RUNNING ||
		(model->state[at] == ITEM_ABANDONED && model->busy_until_us[at] > model->now_us))
		return;
	struct gate_item *item = &model->items[at];
	memset (item, 0, sizeof (*item));
	item->origin = input_below (input, 4);
	item->deadline_us = model->now_us + (int64_t)input_below (input, 65536) * 10;
	switch (gate_submit (&model->gate, item, model->now_us)) {
	case GATE_START:
		check_start (model, at);
		break;
	case GATE_QUEUED:
		model->state[at] = ITEM_QUEUED;
		break;
	case GATE_REFUSED:
		model->state[at] = ITEM_FREE;
		break;
	}
}

static void
expect_cold_start (struct model *model)
{
	model->cold = true;
	model->restart_suspected = false;
	model->successes = 0;
}

/* A silence is a cold start unless a later reply can show that the boot id is the same. */
static void
expect_silence (struct model *model)
{
	if (model->gate.boot_id == 0)
		expect_cold_start (model);
	else
		model->restart_suspected = true;
}

static void
finish (struct model *model, struct input *input)
{
	int at = (int)input_below (input, ITEMS);
	enum gate_outcome outcome = (enum gate_outcome)input_below (input, GATE_CANCELLED + 1);
	if (model->state[at] != ITEM_RUNNING)
		return;
	bool was_cold = gate_is_cold (&model->gate);
	model->state[at] = ITEM_FREE;
	if (outcome == GATE_SILENT) {
		model->state[at] = ITEM_ABANDONED;
		/*
		 * Closing the connection cancels the work. If the cancel is lost, the work
		 * ends within its usual time.
		 */
		model->busy_until_us[at] = model->now_us + GATE_CANCEL_HOLD_US;
		if (model->busy_until_us[at] > model->items[at].deadline_us)
			model->busy_until_us[at] = model->items[at].deadline_us;
	} else if (outcome == GATE_CANCELLED) {
		model->state[at] = ITEM_ABANDONED;
		model->busy_until_us[at] = model->now_us + GATE_CANCEL_HOLD_US;
	}
	gate_finish (&model->gate, &model->items[at], outcome, model->now_us);
	if (outcome == GATE_OK) {
		model->successes++;
		model->restart_suspected = false;
	}
	if (outcome == GATE_SILENT)
		expect_silence (model);
	else if (outcome == GATE_SHED || outcome == GATE_RESET)
		expect_cold_start (model);
	else if (!was_cold && gate_is_cold (&model->gate))
		expect_cold_start (model); /* too many slow replies in a row */
}

static void
step (struct model *model, struct input *input)
{
	switch (input_below (input, 10)) {
	case 0:
	case 1:
	case 2:
		submit (model, input);
		break;
	case 3:
	case 4:
	case 5:
		finish (model, input);
		break;
	case 6:
		model->now_us += (int64_t)input_below (input, 65536);
		break;
	case 7:
		model->open = input_below (input, 4) != 0;
		gate_set_open (&model->gate, model->open);
		break;
	case 8: {
		uint64_t before = model->gate.boot_id;
		gate_observe_boot_id (&model->gate, input_below (input, 3));
		if (before && before != model->gate.boot_id)
			expect_cold_start (model);
		break;
	}
	default: {
		int at = (int)input_below (input, ITEMS);
		if (model->state[at] == ITEM_QUEUED) {
			gate_remove (&model->gate, &model->items[at]);
			model->state[at] = ITEM_FREE;
		}
		break;
	}
	}
	run_queue (model);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct input input = {data, size};
	static struct model model;
	memset (&model, 0, sizeof (model));
	model.now_us = 1;
	model.slots = 1 + (int)input_below (&input, 8);
	model.cold_limit = 1 + (int)input_below (&input, 4);
	model.cold = true;
	gate_init (&model.gate, model.slots, model.cold_limit, (int)input_below (&input, 16));
	while (input.left > 0)
		step (&model, &input);
	/* A closed gate returns all queued items. */
	model.open = false;
	gate_set_open (&model.gate, false);
	run_queue (&model);
	for (int i = 0; i < ITEMS; i++) {
		if (model.state[i] == ITEM_QUEUED)
			abort ();
	}
	return 0;
}
