#include "core/turn.h"

#include <string.h>

void
turn_begin (struct turn *turn, int64_t now_us)
{
	memset (turn, 0, sizeof (*turn));
	turn->began_us = now_us;
	turn->marked_us = now_us;
}

void
turn_mark (struct turn *turn, int part, int64_t now_us)
{
	turn->parts_us[part] += now_us - turn->marked_us;
	turn->marked_us = now_us;
}

int64_t
turn_total_us (const struct turn *turn)
{
	return turn->marked_us - turn->began_us;
}

bool
turn_is_slow (const struct turn *turn)
{
	return turn_total_us (turn) >= TURN_SLOW_US;
}

int
turn_longest (const struct turn *turn)
{
	int longest = 0;
	for (int i = 1; i < TURN_PARTS_MAX; i++) {
		if (turn->parts_us[i] > turn->parts_us[longest])
			longest = i;
	}
	return longest;
}
