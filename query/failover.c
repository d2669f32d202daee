#include "query/failover.h"

enum failover_step
failover_next (struct failover *failover, bool may_have_run, int max_attempts)
{
	if (failover->has_result)
		failover->attempts_used = max_attempts;
	else if (may_have_run)
		failover->attempts_used++;
	if (failover->attempts_used >= max_attempts)
		return FAILOVER_GIVE_UP;
	return failover->aggregators < FAILOVER_AGGREGATORS_MAX ? FAILOVER_TO_AGGREGATOR
								: FAILOVER_DIRECTLY;
}

int64_t
failover_timeout_us (const struct failover *failover, int64_t objective_us, int64_t left_us)
{
	int64_t timeout_us = FAILOVER_REST_US;
	if (!failover->has_result) {
		timeout_us = objective_us * FAILOVER_FIRST_RESULT_PERCENT / 100;
		if (timeout_us < FAILOVER_FIRST_RESULT_MIN_US)
			timeout_us = FAILOVER_FIRST_RESULT_MIN_US;
	}
	return timeout_us < left_us ? timeout_us : left_us;
}
