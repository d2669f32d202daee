#include "core/timers.h"

#include "core/buf.h"

#include <stdlib.h>

void
timers_init (struct timers *timers)
{
	timers->heap = NULL;
	timers->count = 0;
	timers->cap = 0;
}

void
timers_finish (struct timers *timers)
{
	free (timers->heap);
	timers_init (timers);
}

void
timer_init (struct timer *timer, int kind)
{
	timer->kind = kind;
	timer->due_us = INT64_MAX;
	timer->position = TIMER_IDLE;
}

static void
place (struct timers *timers, struct timer *timer, int index)
{
	timers->heap[index] = timer;
	timer->position = index;
}

static void
sift_up (struct timers *timers, struct timer *timer)
{
	int index = timer->position;
	while (index > 0) {
		int parent = (index - 1) / 2;
		if (timers->heap[parent]->due_us <= timer->due_us)
			break;
		place (timers, timers->heap[parent], index);
		index = parent;
	}
	place (timers, timer, index);
}

static void
sift_down (struct timers *timers, struct timer *timer)
{
	int index = timer->position;
	for (;;) {
		int child = index * 2 + 1;
		if (child >= timers->count)
			break;
		if (child + 1 < timers->count &&
			timers->heap[child + 1]->due_us < timers->heap[child]->due_us)
			child++;
		if (timer->due_us <= timers->heap[child]->due_us)
			break;
		place (timers, timers->heap[child], index);
		index = child;
	}
	place (timers, timer, index);
}

void
timers_clear (struct timers *timers, struct timer *timer)
{
	int index = timer->position;
	if (index == TIMER_IDLE)
		return;
	struct timer *last = timers->heap[--timers->count];
	timer->position = TIMER_IDLE;
	if (last == timer)
		return;
	place (timers, last, index);
	sift_up (timers, last);
	sift_down (timers, last);
}

void
timers_set (struct timers *timers, struct timer *timer, int64_t due_us)
{
	timers_clear (timers, timer);
	timer->due_us = due_us;
	if (due_us == INT64_MAX)
		return;
	if (timers->count == timers->cap) {
		timers->cap = timers->cap ? timers->cap * 2 : 64;
		timers->heap =
			xrealloc (timers->heap, (size_t)timers->cap * sizeof (*timers->heap));
	}
	place (timers, timer, timers->count++);
	sift_up (timers, timer);
}

struct timer *
timers_pop_due (struct timers *timers, int64_t now_us)
{
	if (timers->count == 0 || timers->heap[0]->due_us > now_us)
		return NULL;
	struct timer *timer = timers->heap[0];
	timers_clear (timers, timer);
	return timer;
}

int64_t
timers_next_us (const struct timers *timers)
{
	return timers->count ? timers->heap[0]->due_us : INT64_MAX;
}
