#include "control/refresh.h"

#include "core/clock.h"

#include <xxhash.h>

void
refresh_init (struct refresh *refresh, int64_t now_us)
{
	refresh->content = 0;
	refresh->changed_us = now_us;
}

void
refresh_observe (struct refresh *refresh, const void *data, size_t len, int64_t now_us)
{
	uint64_t content = XXH64 (data, len, 1);
	if (content != refresh->content)
		refresh->changed_us = now_us;
	refresh->content = content;
}

/* A list that lags brings nothing new when it is read again within its lag. */
static int64_t
calm_period_us (int64_t lag_us)
{
	int64_t period_us = lag_us + lag_us / 4;
	if (period_us < REFRESH_PERIOD_US)
		return REFRESH_PERIOD_US;
	return period_us < REFRESH_CALM_PERIOD_US ? period_us : REFRESH_CALM_PERIOD_US;
}

int64_t
refresh_interval_us (const struct refresh *refresh, const struct refresh_load *load, int64_t now_us)
{
	bool is_busy = now_us < refresh->changed_us + REFRESH_BUSY_US;
	int64_t interval_us = is_busy ? REFRESH_PERIOD_US : calm_period_us (load->lag_us);
	double rate_per_s = load->rate_per_s / REFRESH_RATE_DIVISOR;
	int pages = load->pages > 0 ? load->pages : 1;
	int64_t min_us =
		rate_per_s > 0 ? (int64_t)(pages * load->nodes / rate_per_s * US_PER_S) : 0;
	return interval_us > min_us ? interval_us : min_us;
}

bool
refresh_is_due_without_control (
	int64_t read_us, int64_t started_us, int64_t jitter_us, int64_t now_us)
{
	if (read_us != 0)
		return read_us + REFRESH_STALE_US < now_us;
	return started_us + REFRESH_START_WAIT_US + jitter_us < now_us;
}
