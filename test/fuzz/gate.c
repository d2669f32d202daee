/**
 * @file gate.c
 * The gate against an oracle of its target: slots, cold starts, what still runs after a cancel.
 */
#include "targets/gate.h"
#include "test/fuzz/input.h"

#include <stdlib.h>
#include <string.h>

enum { ITEMS = 64, ITEM_FREE = 0, ITEM_QUEUED, ITEM_RUNNING, ITEM_GHOST };

struct model {
	struct gate gate;
	struct gate_item items[ITEMS];
	int state[ITEMS];
	int64_t busy_until_us[ITEMS]; /* ITEM_GHOST: the target may work on it until then */
	int64_t now_us;
	bool open;
	int slots;
	int cold_limit;
	int successes; /* since the last sign of a cold start */
	bool cold;     /* a sign came and not enough successes since */
	bool doubted;  /* silent, and no reply since has shown the same boot */
};

/* What the target may be working on now. */
static int
occupied (const struct model *model)
{
	int count = 0;
	for (int i = 0; i < ITEMS; i++)
		count += model->state[i] == ITEM_RUNNING ||
			 (model->state[i] == ITEM_GHOST && model->busy_until_us[i] > model->now_us);
	return count;
}

static void
note_start (struct model *model, int item)
{
	model->state[item] = ITEM_RUNNING;
	if (!model->open || model->items[item].deadline_us <= model->now_us)
		abort ();
	int least = model->cold_limit < model->slots ? model->cold_limit : model->slots;
	/* Each step of growth takes at least eight successes per sub-request allowed. */
	int most = model->cold ? least + model->successes / (8 * least) : model->slots;
	if (model->doubted)
		most = least;
	if (most > model->slots)
		most = model->slots;
	if (occupied (model) > most)
		abort ();
}

static void
pump (struct model *model)
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
		note_start (model, (int)(item - model->items));
	}
}

static void
submit (struct model *model, struct input *input)
{
	int at = (int)input_below (input, ITEMS);
	if (model->state[at] == ITEM_QUEUED || model->state[at] == ITEM_RUNNING ||
		(model->state[at] == ITEM_GHOST && model->busy_until_us[at] > model->now_us))
		return;
	struct gate_item *item = &model->items[at];
	memset (item, 0, sizeof (*item));
	item->origin = input_below (input, 4);
	item->deadline_us = model->now_us + (int64_t)input_below (input, 65536) * 10;
	switch (gate_submit (&model->gate, item, model->now_us)) {
	case GATE_START:
		note_start (model, at);
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
note_cold (struct model *model)
{
	model->cold = true;
	model->doubted = false;
	model->successes = 0;
}

/* A silence counts as a cold start unless a later reply can show that the boot is the same. */
static void
note_silent (struct model *model)
{
	if (model->gate.boot_id == 0)
		note_cold (model);
	else
		model->doubted = true;
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
		model->state[at] = ITEM_GHOST;
		/* The close is a cancel; where it is lost, the work ends within its usual time. */
		model->busy_until_us[at] = model->now_us + GATE_CANCEL_HOLD_US;
		if (model->busy_until_us[at] > model->items[at].deadline_us)
			model->busy_until_us[at] = model->items[at].deadline_us;
	} else if (outcome == GATE_CANCELLED) {
		model->state[at] = ITEM_GHOST;
		model->busy_until_us[at] = model->now_us + GATE_CANCEL_HOLD_US;
	}
	gate_finish (&model->gate, &model->items[at], outcome, model->now_us);
	if (outcome == GATE_OK) {
		model->successes++;
		model->doubted = false;
	}
	if (outcome == GATE_SILENT)
		note_silent (model);
	else if (outcome == GATE_SHED || outcome == GATE_RESET)
		note_cold (model);
	else if (!was_cold && gate_is_cold (&model->gate))
		note_cold (model); /* a latency step */
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
			note_cold (model);
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
	pump (model);
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
	/* Whatever was queued comes back when the gate closes. */
	model.open = false;
	gate_set_open (&model.gate, false);
	pump (&model);
	for (int i = 0; i < ITEMS; i++) {
		if (model.state[i] == ITEM_QUEUED)
			abort ();
	}
	return 0;
}
