/**
 * @file quantile.h
 * A latency histogram with exponential decay, shared by threads without locks. Hedge delays and
 * expected waits are derived from its quantiles. No I/O.
 */
#pragma once

#include <stdatomic.h>
#include <stdint.h>

enum {
	QUANTILE_BUCKETS = 96,  /**< four for each power of two, from 1 us up */
	QUANTILE_WINDOW = 2048, /**< observations after which all counts are halved */
};

struct quantile {
	_Atomic uint32_t counts[QUANTILE_BUCKETS];
	_Atomic uint32_t total;
};

void
quantile_init (struct quantile *quantile);

void
quantile_observe (struct quantile *quantile, int64_t us);

/**
 * The upper bound, in microseconds, of the bucket that holds a percentile.
 * @return @p default_us with fewer than 20 observations.
 */
int64_t
quantile_get (const struct quantile *quantile, int percent, int64_t default_us);
