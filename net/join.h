/**
 * @file join.h
 * Waits for the end of a thread, for a limited time.
 */
#pragma once

#include "core/clock.h"

#include <pthread.h>
#include <stdbool.h>
#include <time.h>

/** A time of @p clock as one of CLOCK_MONOTONIC, for functions that wait. */
struct timespec
join_deadline (struct clock *clock, int64_t until_us);

/** Joins a thread; false if it has not ended at @p until_us. */
bool
thread_join (pthread_t thread, struct clock *clock, int64_t until_us);
