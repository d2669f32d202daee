/**
 * @file timers.h
 * A heap of intrusive timers; the owner asks which are due and when the next one is.
 */
#pragma once

#include <stdint.h>

enum { TIMER_IDLE = -1 };

/** Embedded in what waits. */
struct timer {
	int64_t due_us;
	int position; /**< in the heap, or TIMER_IDLE */
	int kind;     /**< says what the timer is embedded in */
};

struct timers {
	struct timer **heap;
	int count;
	int cap;
};

void
timers_init (struct timers *timers);
void
timers_finish (struct timers *timers);

/** Prepares a timer; it is not set. */
void
timer_init (struct timer *timer, int kind);

/** Sets or moves a timer; INT64_MAX clears it. */
void
timers_set (struct timers *timers, struct timer *timer, int64_t due_us);

/** Takes a timer out; harmless when it is not set. */
void
timers_clear (struct timers *timers, struct timer *timer);

/** Takes out one timer that is due; NULL when none is. */
struct timer *
timers_pop_due (struct timers *timers, int64_t now_us);

/** When the next timer is due; INT64_MAX when none is set. */
int64_t
timers_next_us (const struct timers *timers);
