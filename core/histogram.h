/**
 * @file histogram.h
 * Histograms of times with fixed bounds, which any thread may add to and read without a lock.
 *
 * Unlike query/quantile.h they never forget: collectors take differences.
 */
#pragma once

#include "core/buf.h"

#include <stdatomic.h>
#include <stdint.h>

enum { HISTOGRAM_BOUNDS = 15 };

struct histogram {
	_Atomic uint64_t counts[HISTOGRAM_BOUNDS + 1]; /**< the last one is above all bounds */
	_Atomic uint64_t sum_us;
};

/** Histograms of the whole process. */
enum latency {
#define HISTOGRAM(name, export, help) LATENCY_##name,
#include "core/histograms.def"
#undef HISTOGRAM
	LATENCY_COUNT
};

/** Records a time in microseconds. */
void
histogram_observe (struct histogram *histogram, int64_t us);

/** Records a time in a histogram of the whole process. */
void
latency_observe (enum latency latency, int64_t us);

/** Appends the lines that come before the first histogram of a family. */
void
histogram_export_head (struct buf *out, const char *name, const char *help);

/** Appends one histogram in the text exposition format; @p labels without braces, may be empty. */
void
histogram_export (
	const struct histogram *histogram, struct buf *out, const char *name, const char *labels);

/** Appends the histograms of the whole process. */
void
latencies_export (struct buf *out);
