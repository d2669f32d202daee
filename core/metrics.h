/**
 * @file metrics.h
 * Process-wide counters, which any thread may increment without a lock.
 */
#pragma once

#include "core/buf.h"

#include <stdint.h>

enum metric {
#define METRIC(name, export, help) METRIC_##name,
#include "core/metrics.def"
#undef METRIC
	METRIC_COUNT
};

void
metric_add (enum metric metric, uint64_t by);
uint64_t
metric_get (enum metric metric);

/** Appends all counters in the Prometheus text format. */
void
metrics_export (struct buf *out);
