#include "core/metrics.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

static _Atomic uint64_t counters[METRIC_COUNT];

static const char *const names[METRIC_COUNT] = {
#define METRIC(name, export, help) export,
#include "core/metrics.def"
#undef METRIC
};

static const char *const help_texts[METRIC_COUNT] = {
#define METRIC(name, export, help) help,
#include "core/metrics.def"
#undef METRIC
};

void
metric_add (enum metric metric, uint64_t by)
{
	atomic_fetch_add_explicit (&counters[metric], by, memory_order_relaxed);
}

uint64_t
metric_get (enum metric metric)
{
	return atomic_load_explicit (&counters[metric], memory_order_relaxed);
}

void
metrics_export (struct buf *out)
{
	const char *family = "";
	size_t len = 0;
	for (int i = 0; i < METRIC_COUNT; i++) {
		/* Adjacent counters that differ only in labels share one HELP and one TYPE line. */
		bool same_family =
			strncmp (names[i], family, len) == 0 && len > 0 && names[i][len] == '{';
		family = names[i];
		len = strcspn (family, "{");
		if (!same_family)
			buf_addf (out,
				"# HELP oleanderstile_%.*s %s\n# TYPE oleanderstile_%.*s "
				"counter\n",
				(int)len, family, help_texts[i], (int)len, family);
		buf_addf (out, "oleanderstile_%s %llu\n", names[i],
			(unsigned long long)metric_get ((enum metric)i));
	}
}
