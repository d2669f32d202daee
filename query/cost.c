#include "query/cost.h"

#include <string.h>

void
cost_init (struct cost *cost)
{
	memset (cost, 0, sizeof (*cost));
	quantile_init (&cost->work);
}

void
cost_observe (struct cost *cost, int64_t work_us)
{
	int64_t max_us = quantile_get (&cost->work, 50, work_us) * COST_MEAN_MAX_MEDIANS;
	if (work_us < 1)
		work_us = 1;
	quantile_observe (&cost->work, work_us);
	if (work_us > max_us && max_us > 0)
		work_us = max_us;
	cost->mean_us = cost->mean_us > 0
				? cost->mean_us + (work_us - cost->mean_us) / COST_MEAN_WEIGHT
				: work_us;
}

bool
cost_is_plausible (const struct load_report *report)
{
	return report->pace <= COST_PACE_PLAUSIBLE &&
	       report->waiting <= COST_QUEUE_PLAUSIBLE * (report->slots > 0 ? report->slots : 1);
}

bool
cost_estimate (const struct cost *cost, struct cost_estimate *estimate)
{
	memset (estimate, 0, sizeof (*estimate));
	int64_t median_us = quantile_get (&cost->work, 50, cost->mean_us);
	if (median_us == 0)
		return false;
	estimate->median_us = median_us;
	estimate->mean_us = cost->mean_us;
	estimate->tail_us = quantile_get (&cost->work, COST_TAIL_PERCENTILE, 2 * median_us);
	estimate->spread_us = estimate->tail_us - median_us;
	return true;
}

int64_t
cost_work_us (int64_t at_target_us, const struct load_report *report)
{
	int64_t work_us = at_target_us > 0 ? at_target_us : 0;
	if (report->slots > 0 && report->waiting > 0)
		work_us = work_us * report->slots / (report->slots + report->waiting);
	return report->pace > 0 ? work_us * COST_PACE_USUAL / report->pace : work_us;
}
