#include "core/histogram.h"

/* Declared routes have latency objectives of 40 to 500 ms; the buckets are narrowest there. */
static const int64_t bounds_us[HISTOGRAM_BOUND_COUNT] = {500, 1000, 2000, 5000, 10000, 20000, 40000,
	60000, 80000, 120000, 250000, 500000, 1000000, 2000000, 5000000};

static struct histogram latencies[LATENCY_COUNT];

static const struct {
	const char *name;
	const char *help;
} families[LATENCY_COUNT] = {
#define HISTOGRAM(name, export, help) {export, help},
#include "core/histograms.def"
#undef HISTOGRAM
};

void
histogram_observe (struct histogram *histogram, int64_t us)
{
	int bucket = 0;
	if (us < 0)
		us = 0;
	while (bucket < HISTOGRAM_BOUND_COUNT && us > bounds_us[bucket])
		bucket++;
	atomic_fetch_add_explicit (&histogram->counts[bucket], 1, memory_order_relaxed);
	atomic_fetch_add_explicit (&histogram->sum_us, (uint64_t)us, memory_order_relaxed);
}

void
latency_observe (enum latency latency, int64_t us)
{
	histogram_observe (&latencies[latency], us);
}

void
histogram_export_head (struct buf *out, const char *name, const char *help)
{
	buf_addf (out, "# HELP oleanderstile_%s %s\n# TYPE oleanderstile_%s histogram\n", name,
		help, name);
}

void
histogram_export (
	const struct histogram *histogram, struct buf *out, const char *name, const char *labels)
{
	const char *comma = labels[0] ? "," : "";
	unsigned long long count = 0;
	for (int i = 0; i <= HISTOGRAM_BOUND_COUNT; i++) {
		count += atomic_load_explicit (&histogram->counts[i], memory_order_relaxed);
		if (i < HISTOGRAM_BOUND_COUNT)
			buf_addf (out, "oleanderstile_%s_bucket{%s%sle=\"%g\"} %llu\n", name,
				labels, comma, (double)bounds_us[i] / 1e6, count);
		else
			buf_addf (out, "oleanderstile_%s_bucket{%s%sle=\"+Inf\"} %llu\n", name,
				labels, comma, count);
	}
	uint64_t sum_us = atomic_load_explicit (&histogram->sum_us, memory_order_relaxed);
	const char *open = labels[0] ? "{" : "";
	const char *close = labels[0] ? "}" : "";
	buf_addf (out, "oleanderstile_%s_sum%s%s%s %.6f\n", name, open, labels, close,
		(double)sum_us / 1e6);
	buf_addf (out, "oleanderstile_%s_count%s%s%s %llu\n", name, open, labels, close, count);
}

void
latencies_export (struct buf *out)
{
	for (int i = 0; i < LATENCY_COUNT; i++) {
		histogram_export_head (out, families[i].name, families[i].help);
		histogram_export (&latencies[i], out, families[i].name, "");
	}
}
