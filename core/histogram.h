/**
 * @file histogram.h
 * Latency histograms with fixed bucket bounds. Any thread may record and read without a lock.
 *
 * Unlike the quantiles of query/quantile.h, counts only grow; a collector computes the difference
 * between two scrapes.
 */
#pragma once

#include "core/buf.h"

#include <stdatomic.h>
#include <stdint.h>

enum { HISTOGRAM_BOUND_COUNT = 15 };

struct histogram {
	/** Per bucket; the last one is above all bounds. */
	_Atomic uint64_t counts[HISTOGRAM_BOUND_COUNT + 1];
	_Atomic uint64_t sum_us;
};

/** Process-wide histograms. */
enum latency {
#define HISTOGRAM(name, export, help) LATENCY_##name,
#include "core/histograms.def"
#undef HISTOGRAM
	LATENCY_COUNT
};

/** Records a duration in microseconds. */
void
histogram_observe (struct histogram *histogram, int64_t us);

/** Records a duration in a process-wide histogram. */
void
latency_observe (enum latency latency, int64_t us);

/** Appends the HELP and TYPE lines, which precede the first histogram of a family. */
void
histogram_export_head (struct buf *out, const char *name, const char *help);

/** Appends one histogram in the Prometheus text format. @p labels has no braces; "" for none. */
void
histogram_export (
	const struct histogram *histogram, struct buf *out, const char *name, const char *labels);

/** Appends all process-wide histograms. */
void
latencies_export (struct buf *out);
