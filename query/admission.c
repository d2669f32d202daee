#include "query/admission.h"

enum { MILLI = 1000 };

void
admission_init (struct admission *admission, int max_limit)
{
	int initial_limit =
		max_limit < ADMISSION_INITIAL_LIMIT ? max_limit : ADMISSION_INITIAL_LIMIT;
	atomic_init (&admission->in_flight, 0);
	atomic_init (&admission->limit_milli, (int64_t)initial_limit * MILLI);
	atomic_init (&admission->last_decrease_us, 0);
	admission->max_limit = max_limit;
}

bool
admission_enter (struct admission *admission)
{
	int before = atomic_fetch_add (&admission->in_flight, 1);
	if ((int64_t)before * MILLI < atomic_load (&admission->limit_milli))
		return true;
	atomic_fetch_sub (&admission->in_flight, 1);
	return false;
}

/*
 * Raises the limit by 1 after as many fast answers as the limit, and only while at least half of
 * the limit is in use.
 */
static void
increase (struct admission *admission, int in_flight)
{
	int64_t limit = atomic_load (&admission->limit_milli);
	if ((int64_t)in_flight * 2 * MILLI < limit)
		return;
	int64_t increased = limit + (int64_t)MILLI * MILLI / limit;
	if (increased <= (int64_t)admission->max_limit * MILLI)
		atomic_compare_exchange_strong (&admission->limit_milli, &limit, increased);
}

static void
decrease (struct admission *admission, int64_t now_us)
{
	int64_t last_decrease_us = atomic_load (&admission->last_decrease_us);
	if (last_decrease_us + ADMISSION_DECREASE_INTERVAL_US > now_us ||
		!atomic_compare_exchange_strong (
			&admission->last_decrease_us, &last_decrease_us, now_us))
		return;
	int64_t limit = atomic_load (&admission->limit_milli) * ADMISSION_DECREASE_TO_PERCENT / 100;
	if (limit < (int64_t)ADMISSION_MIN_LIMIT * MILLI)
		limit = (int64_t)ADMISSION_MIN_LIMIT * MILLI;
	atomic_store (&admission->limit_milli, limit);
}

void
admission_leave (struct admission *admission, enum admission_signal signal, int64_t now_us)
{
	int in_flight = atomic_fetch_sub (&admission->in_flight, 1);
	switch (signal) {
	case ADMISSION_FAST:
		increase (admission, in_flight);
		return;
	case ADMISSION_OVERLOAD:
		decrease (admission, now_us);
		return;
	case ADMISSION_NEUTRAL:
		return;
	}
}

enum admission_signal
admission_classify (bool complete, bool refused, int64_t took_us, int64_t deadline_us)
{
	if (refused || (complete && took_us * 4 > deadline_us * 3))
		return ADMISSION_OVERLOAD;
	return complete && took_us * 2 < deadline_us ? ADMISSION_FAST : ADMISSION_NEUTRAL;
}
