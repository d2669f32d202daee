#include "query/drain.h"

/* A step's share of a short stop, and its full time in any longer one. */
static int64_t
step_us (int64_t full_us, int64_t stop_us)
{
	return stop_us < DRAIN_FULL_STOP_US ? full_us * stop_us / DRAIN_FULL_STOP_US : full_us;
}

struct stop_plan
stop_plan_make (int64_t began_us, int64_t stop_us)
{
	struct stop_plan plan = {
		.began_us = began_us,
		.flush_us = step_us (DRAIN_FLUSH_US, stop_us),
		.linger_us = step_us (DRAIN_LINGER_US, stop_us),
		.end_us = began_us + stop_us,
	};
	plan.answer_us =
		plan.end_us - step_us (DRAIN_EXIT_US, stop_us) - plan.linger_us - plan.flush_us;
	plan.exit_us = plan.end_us - step_us (DRAIN_TEARDOWN_US, stop_us);
	plan.refuse_us = plan.answer_us - step_us (DRAIN_END_US, stop_us);
	plan.late_us = plan.end_us + step_us (DRAIN_END_US, stop_us);
	plan.write_us = plan.late_us - 2 * plan.linger_us;
	return plan;
}

enum stop_phase
stop_plan_phase (const struct stop_plan *plan, int64_t now_us)
{
	if (plan->began_us == 0)
		return STOP_NONE;
	if (now_us >= plan->answer_us)
		return STOP_ENDING;
	return now_us >= plan->refuse_us ? STOP_REFUSING : STOP_SERVING;
}

int64_t
stop_plan_next_us (const struct stop_plan *plan, int64_t now_us)
{
	switch (stop_plan_phase (plan, now_us)) {
	case STOP_SERVING:
		return plan->refuse_us;
	case STOP_REFUSING:
		return plan->answer_us;
	case STOP_NONE:
	case STOP_ENDING:
		break;
	}
	return INT64_MAX;
}

bool
drain_closes_connections (const struct drain *drain, int64_t now_us)
{
	return drain->began_us != 0 && now_us >= drain->began_us + DRAIN_BALANCER_LAG_US;
}

bool
drain_accepts (const struct drain *drain, int64_t usual_us, int64_t deadline_us, int64_t now_us)
{
	if (drain->began_us == 0)
		return true;
	if (drain->refusing)
		return false;
	if (drain_closes_connections (drain, now_us))
		return deadline_us <= drain->stop_us;
	return now_us + usual_us * DRAIN_LATENCY_FACTOR <= drain->stop_us;
}

int64_t
drain_retry_after_us (const struct drain *drain, int64_t now_us)
{
	int64_t wait_us = drain->began_us + DRAIN_BALANCER_LAG_US - now_us;
	return drain->began_us != 0 && wait_us > 0 ? wait_us : 0;
}
