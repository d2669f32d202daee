/**
 * @file metrics.h
 * The project's own counters: process-wide atomics that any thread may add to.
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

/** Appends all counters in the text exposition format that collectors read. */
void
metrics_export (struct buf *out);
