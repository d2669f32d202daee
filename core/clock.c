#include "core/clock.h"

#include <assert.h>
#include <time.h>

void
clock_init_system (struct clock *clock)
{
	clock->kind = CLOCK_KIND_SYSTEM;
	atomic_init (&clock->manual_us, 0);
}

void
clock_init_manual (struct clock *clock, int64_t start_us)
{
	clock->kind = CLOCK_KIND_MANUAL;
	atomic_init (&clock->manual_us, start_us);
}

void
clock_advance (struct clock *clock, int64_t by_us)
{
	assert (clock->kind == CLOCK_KIND_MANUAL);
	atomic_fetch_add (&clock->manual_us, by_us);
}

static int64_t
read_clock_us (clockid_t id)
{
	struct timespec ts;
	clock_gettime (id, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

int64_t
clock_now_us (struct clock *clock)
{
	switch (clock->kind) {
	case CLOCK_KIND_MANUAL:
		return atomic_load (&clock->manual_us);
	case CLOCK_KIND_SYSTEM:
		break;
	}
	return read_clock_us (CLOCK_BOOTTIME);
}

int64_t
clock_wall_ms (struct clock *clock)
{
	switch (clock->kind) {
	case CLOCK_KIND_MANUAL:
		return atomic_load (&clock->manual_us) / US_PER_MS;
	case CLOCK_KIND_SYSTEM:
		break;
	}
	return read_clock_us (CLOCK_REALTIME) / US_PER_MS;
}
