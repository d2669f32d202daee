#include "control/history.h"

#include "core/buf.h"

#include <stdlib.h>

void
history_init (struct history *history)
{
	history->ring = xcalloc (HISTORY_COMMANDS, sizeof (*history->ring));
	history->count = 0;
	history->replacing_end = 0;
	history->complete_after = 0;
}

void
history_reset (struct history *history, uint64_t index)
{
	for (int i = 0; i < HISTORY_COMMANDS; i++) {
		free (history->ring[i].data);
		history->ring[i].data = NULL;
	}
	history->count = 0;
	history->replacing_end = 0;
	history->complete_after = index;
}

void
history_finish (struct history *history)
{
	history_reset (history, 0);
	free (history->ring);
}

/* Frees the superseded document: documents can be large, and only the newest one is needed. */
static void
drop_superseded (struct history *history)
{
	if (history->replacing_end == 0 ||
		history->count - history->replacing_end >= HISTORY_COMMANDS)
		return;
	struct history_command *command =
		&history->ring[(history->replacing_end - 1) % HISTORY_COMMANDS];
	free (command->data);
	command->data = NULL;
	command->len = 0;
}

void
history_add (struct history *history, uint64_t index, const void *data, size_t len, bool replaces)
{
	struct history_command *command = &history->ring[history->count % HISTORY_COMMANDS];
	if (history->count >= HISTORY_COMMANDS)
		history->complete_after = command->index;
	free (command->data);
	command->index = index;
	command->data = xmemdup (data, len);
	command->len = len;
	history->count++;
	if (!replaces)
		return;
	drop_superseded (history);
	history->replacing_end = history->count;
}

static uint64_t
oldest_position (const struct history *history)
{
	return history->count > HISTORY_COMMANDS ? history->count - HISTORY_COMMANDS : 0;
}

int64_t
history_first (const struct history *history, uint64_t index)
{
	if (index < history->complete_after)
		return -1;
	uint64_t low = oldest_position (history);
	uint64_t high = history->count;
	while (low < high) {
		uint64_t mid = low + (high - low) / 2;
		if (history->ring[mid % HISTORY_COMMANDS].index <= index)
			low = mid + 1;
		else
			high = mid;
	}
	return (int64_t)low;
}

const struct history_command *
history_at (const struct history *history, int64_t position)
{
	if (position < (int64_t)oldest_position (history) || position >= (int64_t)history->count)
		return NULL;
	return &history->ring[position % HISTORY_COMMANDS];
}
