/**
 * @file timers.h
 * A binary heap of timers that are embedded in other structs. Does no I/O and reads no clock: the
 * event loop asks which timers are due and when the next one is.
 */
#pragma once

#include <stdint.h>

enum { TIMER_IDLE = -1 };

/** Embedded in the struct that waits for it. */
struct timer {
	int64_t due_us;
	int position; /**< index in the heap; TIMER_IDLE if not set */
	int kind;     /**< type of the struct that embeds the timer */
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

/** Initialises a timer without setting it. */
void
timer_init (struct timer *timer, int kind);

/** Sets a timer or changes its time; INT64_MAX clears it. */
void
timers_set (struct timers *timers, struct timer *timer, int64_t due_us);

/** Removes a timer from the heap, if it is set. */
void
timers_clear (struct timers *timers, struct timer *timer);

/** Removes and returns the earliest timer if it is due; otherwise returns NULL. */
struct timer *
timers_pop_due (struct timers *timers, int64_t now_us);

/** Time of the next timer; INT64_MAX if none is set. */
int64_t
timers_next_us (const struct timers *timers);
