#include "daemon/forward_keep.h"

#include "core/metrics.h"
#include "query/records.h"

#include <string.h>

enum {
	KEPT_MAX_BYTES = 16 * 1024 * 1024,
	KEPT_RESERVE_BYTES = 2 * 1024 * 1024,
	SMALL_ANSWER_BYTES = 16384, /* which the socket takes at once */
};

void
forward_keep_init (struct front *front)
{
	front->kept.max = KEPT_MAX_BYTES;
	memory_account_join (&front->kept, &front->memory, KEPT_RESERVE_BYTES);
}

bool
forward_keep (struct forward *forward, size_t bytes)
{
	struct memory_account *kept = &forward->front->kept;
	if (!memory_account_fits (kept, bytes))
		return false;
	memory_account_add (kept, bytes);
	forward->kept_bytes += bytes;
	return true;
}

bool
forward_keep_answer (struct forward *forward, const struct sub_answer *answer)
{
	const struct routing_rule *rule = forward->scatter.rule;
	size_t body_len = answer->body_len;
	if (rule->shape == ROUTE_FAN_OUT) {
		size_t most = (size_t)rule->top_k * RECORD_BYTES;
		body_len = body_len < most ? body_len : most;
	}
	return forward_keep (forward, strlen (answer->stamp) + body_len);
}

bool
forward_keep_pass (struct forward *forward, size_t bytes)
{
	forward_keep_release (forward);
	if (bytes <= SMALL_ANSWER_BYTES || ingress_has_room (&forward->front->callers, bytes))
		return true;
	metric_add (METRIC_ANSWERS_WITHOUT_ROOM, 1);
	return false;
}

void
forward_keep_release (struct forward *forward)
{
	memory_account_remove (&forward->front->kept, forward->kept_bytes);
	forward->kept_bytes = 0;
}
