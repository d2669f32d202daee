#include "net/join.h"

struct timespec
join_deadline (struct clock *clock, int64_t until_us)
{
	struct timespec until;
	int64_t left_us = until_us - clock_now_us (clock);
	if (left_us < 0)
		left_us = 0;
	clock_gettime (CLOCK_MONOTONIC, &until);
	until.tv_sec += left_us / US_PER_S;
	until.tv_nsec += left_us % US_PER_S * 1000;
	if (until.tv_nsec >= US_PER_S * 1000) {
		until.tv_sec++;
		until.tv_nsec -= US_PER_S * 1000;
	}
	return until;
}

bool
thread_join (pthread_t thread, struct clock *clock, int64_t until_us)
{
	struct timespec until = join_deadline (clock, until_us);
	return pthread_clockjoin_np (thread, NULL, CLOCK_MONOTONIC, &until) == 0;
}
