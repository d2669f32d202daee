/**
 * @file turn.h
 * Where the time of one iteration of an event loop went, by part of the iteration. No I/O.
 *
 * For loads that block a loop now and then, such as a large routing: a histogram of iterations
 * shows that it happened, not when and why.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	TURN_PARTS_MAX = 8,
	/** An iteration that takes this long delays answers noticeably. */
	TURN_SLOW_US = 200000,
};

struct turn {
	int64_t began_us;
	int64_t marked_us; /**< when the last part ended */
	int64_t parts_us[TURN_PARTS_MAX];
};

void
turn_begin (struct turn *turn, int64_t now_us);

/** Adds the time since the previous mark to a part. */
void
turn_mark (struct turn *turn, int part, int64_t now_us);

/** Time from the beginning to the last mark. */
int64_t
turn_total_us (const struct turn *turn);

bool
turn_is_slow (const struct turn *turn);

/** The part that took longest. */
int
turn_longest (const struct turn *turn);
