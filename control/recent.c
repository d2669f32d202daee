#include "control/recent.h"

#include "core/buf.h"

#include <stdlib.h>

void
recent_init (struct recent *recent)
{
	recent->ring = xcalloc (RECENT_COMMANDS, sizeof (*recent->ring));
	recent->count = 0;
	recent->whole = 0;
	recent->from = 0;
}

void
recent_reset (struct recent *recent, uint64_t from)
{
	for (int i = 0; i < RECENT_COMMANDS; i++) {
		free (recent->ring[i].data);
		recent->ring[i].data = NULL;
	}
	recent->count = 0;
	recent->whole = 0;
	recent->from = from;
}

void
recent_finish (struct recent *recent)
{
	recent_reset (recent, 0);
	free (recent->ring);
}

/* Whole documents can be large, and only the newest of them matters to anyone. */
static void
drop_overtaken (struct recent *recent)
{
	if (recent->whole == 0 || recent->count - recent->whole >= RECENT_COMMANDS)
		return;
	struct recent_command *command = &recent->ring[(recent->whole - 1) % RECENT_COMMANDS];
	free (command->data);
	command->data = NULL;
	command->len = 0;
}

void
recent_add (struct recent *recent, uint64_t index, const void *data, size_t len, bool replaces)
{
	struct recent_command *command = &recent->ring[recent->count % RECENT_COMMANDS];
	if (recent->count >= RECENT_COMMANDS)
		recent->from = command->index;
	free (command->data);
	command->index = index;
	command->data = xmemdup (data, len);
	command->len = len;
	recent->count++;
	if (!replaces)
		return;
	drop_overtaken (recent);
	recent->whole = recent->count;
}

static uint64_t
oldest (const struct recent *recent)
{
	return recent->count > RECENT_COMMANDS ? recent->count - RECENT_COMMANDS : 0;
}

int64_t
recent_first (const struct recent *recent, uint64_t index)
{
	if (index < recent->from)
		return -1;
	uint64_t low = oldest (recent);
	uint64_t high = recent->count;
	while (low < high) {
		uint64_t mid = low + (high - low) / 2;
		if (recent->ring[mid % RECENT_COMMANDS].index <= index)
			low = mid + 1;
		else
			high = mid;
	}
	return (int64_t)low;
}

const struct recent_command *
recent_at (const struct recent *recent, int64_t position)
{
	if (position < (int64_t)oldest (recent) || position >= (int64_t)recent->count)
		return NULL;
	return &recent->ring[position % RECENT_COMMANDS];
}
