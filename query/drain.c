#include "query/drain.h"

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
