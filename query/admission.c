#include "query/admission.h"

enum { MILLI = 1000 };

void
admission_init (struct admission *admission, int most)
{
	int first = most < ADMISSION_FIRST ? most : ADMISSION_FIRST;
	atomic_init (&admission->in_flight, 0);
	atomic_init (&admission->limit_milli, (int64_t)first * MILLI);
	atomic_init (&admission->shrunk_us, 0);
	admission->most = most;
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

/* One more for each full round of good answers, and only while the limit is being used. */
static void
grow (struct admission *admission, int in_flight)
{
	int64_t limit = atomic_load (&admission->limit_milli);
	if ((int64_t)in_flight * 2 * MILLI < limit)
		return;
	int64_t grown = limit + (int64_t)MILLI * MILLI / limit;
	if (grown <= (int64_t)admission->most * MILLI)
		atomic_compare_exchange_strong (&admission->limit_milli, &limit, grown);
}

static void
shrink (struct admission *admission, int64_t now_us)
{
	int64_t shrunk_us = atomic_load (&admission->shrunk_us);
	if (shrunk_us + ADMISSION_SHRINK_US > now_us ||
		!atomic_compare_exchange_strong (&admission->shrunk_us, &shrunk_us, now_us))
		return;
	int64_t limit = atomic_load (&admission->limit_milli) * ADMISSION_SHRINK_PERCENT / 100;
	if (limit < (int64_t)ADMISSION_LEAST * MILLI)
		limit = (int64_t)ADMISSION_LEAST * MILLI;
	atomic_store (&admission->limit_milli, limit);
}

void
admission_leave (struct admission *admission, enum admission_signal sign, int64_t now_us)
{
	int in_flight = atomic_fetch_sub (&admission->in_flight, 1);
	switch (sign) {
	case ADMISSION_FAST:
		grow (admission, in_flight);
		return;
	case ADMISSION_OVERLOAD:
		shrink (admission, now_us);
		return;
	case ADMISSION_NEUTRAL:
		return;
	}
}

enum admission_signal
admission_classify (bool whole, bool refused, int64_t took_us, int64_t deadline_us)
{
	if (refused || (whole && took_us * 4 > deadline_us * 3))
		return ADMISSION_OVERLOAD;
	return whole && took_us * 2 < deadline_us ? ADMISSION_FAST : ADMISSION_NEUTRAL;
}
