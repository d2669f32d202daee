/**
 * @file completion.h
 * A one-time event: one thread waits until another has finished the work that it was given.
 */
#pragma once

#include "net/join.h"

#include <pthread.h>
#include <stdbool.h>
#include <time.h>

struct completion {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	bool done;
};

static inline void
completion_init (struct completion *completion)
{
	pthread_mutex_init (&completion->lock, NULL);
	pthread_cond_init (&completion->cond, NULL);
	completion->done = false;
}

/**
 * Wakes the waiting thread, which may free the struct and the work at once, so the caller must not
 * use them afterwards.
 */
static inline void
completion_signal (struct completion *completion)
{
	pthread_mutex_lock (&completion->lock);
	completion->done = true;
	pthread_cond_signal (&completion->cond);
	pthread_mutex_unlock (&completion->lock);
}

/** Waits for the signal and destroys the lock and the condition variable. */
static inline void
completion_wait (struct completion *completion)
{
	pthread_mutex_lock (&completion->lock);
	while (!completion->done)
		pthread_cond_wait (&completion->cond, &completion->lock);
	pthread_mutex_unlock (&completion->lock);
	pthread_cond_destroy (&completion->cond);
	pthread_mutex_destroy (&completion->lock);
}

/** Waits for the signal until @p until_us; returns false if it did not come. Destroys nothing. */
static inline bool
completion_wait_until (struct completion *completion, struct clock *clock, int64_t until_us)
{
	struct timespec until = join_deadline (clock, until_us);
	int status = 0;
	pthread_mutex_lock (&completion->lock);
	while (!completion->done && status == 0)
		status = pthread_cond_clockwait (
			&completion->cond, &completion->lock, CLOCK_MONOTONIC, &until);
	bool done = completion->done;
	pthread_mutex_unlock (&completion->lock);
	return done;
}
