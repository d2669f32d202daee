/**
 * @file clock.h
 * A clock that is passed to its users: the system's clock in the daemon, a manual one in tests.
 *
 * Monotonic time is in microseconds and includes time during which the VM is suspended.
 */
#pragma once

#include <stdatomic.h>
#include <stdint.h>

enum { US_PER_MS = 1000, US_PER_S = 1000000 };

enum clock_kind { CLOCK_KIND_SYSTEM, CLOCK_KIND_MANUAL };

/** A source of time. */
struct clock {
	enum clock_kind kind;
	_Atomic int64_t manual_us; /**< CLOCK_KIND_MANUAL only */
};

void
clock_init_system (struct clock *clock);
void
clock_init_manual (struct clock *clock, int64_t start_us);

/** Moves a manual clock forward. Asserts that the clock is manual. */
void
clock_advance (struct clock *clock, int64_t by_us);

/** Monotonic time, including time spent suspended. */
int64_t
clock_now_us (struct clock *clock);

/** Wall-clock time in milliseconds since 1970; only for logs and dates. */
int64_t
clock_wall_ms (struct clock *clock);
