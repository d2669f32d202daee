#include "daemon/forward_log.h"

#include "core/histogram.h"
#include "core/metrics.h"
#include "daemon/placement.h"

#include <string.h>
#include <xxhash.h>

enum { LOG_SAMPLE_ONE_IN = 64 }; /* logged share of complete answers in time; a power of 2 */

static int64_t
age_ms (const struct front *front, int64_t since_us)
{
	return since_us ? (front_now_us (front) - since_us) / US_PER_MS : -1;
}

int64_t
forward_view_age_ms (const struct front *front)
{
	return age_ms (front, atomic_load (&front->view_confirmed_us));
}

int64_t
forward_list_age_ms (const struct front *front)
{
	return age_ms (front, front->discovery.read_us);
}

/* All nodes sample the same ids, so that the trace of a sampled request is complete. */
static bool
is_sampled (const char *id)
{
	return (XXH64 (id, strlen (id), 0) & (LOG_SAMPLE_ONE_IN - 1)) == 0;
}

/* The shard that explains best why an answer is late or incomplete. */
static const struct scatter_shard *
find_cause (const struct scatter *scatter)
{
	const struct scatter_shard *cause = &scatter->shards[0];
	for (int i = 0; i < scatter->shard_count; i++) {
		const struct scatter_shard *shard = &scatter->shards[i];
		if (!shard->answered)
			return shard;
		if (shard->no_hedge != NO_HEDGE_NONE ||
			(cause->no_hedge == NO_HEDGE_NONE &&
				shard->tried_count > cause->tried_count))
			cause = shard;
	}
	return cause;
}

void
forward_log_end (const struct forward *forward, int status)
{
	const struct scatter *scatter = &forward->scatter;
	int64_t took_us = front_now_us (forward->front) - scatter->start_us;
	if (status < 400 && took_us <= scatter->rule->objective_us &&
		scatter->answered == scatter->shard_count) {
		if (is_sampled (forward->head.attempt_id))
			log_event (&forward->front->log, EVENT_REQUEST_ANSWERED,
				"%.127s: status %d on route %s after %lld ms; %d shards, %d "
				"hedges, %d "
				"retries, waited %lld ms; routing %llu, view %lld ms old, list "
				"%lld ms old",
				forward->head.attempt_id, status, scatter->rule->name,
				(long long)(took_us / US_PER_MS), scatter->shard_count,
				scatter->hedges, scatter->retries,
				(long long)(scatter->waited_us / US_PER_MS),
				(unsigned long long)scatter->routing->version,
				(long long)forward_view_age_ms (forward->front),
				(long long)forward_list_age_ms (forward->front));
		return;
	}
	const struct scatter_shard *shard = find_cause (scatter);
	log_event (&forward->front->log,
		status >= 400 ? EVENT_REQUEST_FAILED : EVENT_REQUEST_DEGRADED,
		"%.127s: status %d on route %s%s after %lld ms; %d of %d shards, %d hedges, %d "
		"retries; "
		"shard %s tried %d, running %d, queued %d of %d%s%s%s; routing %llu, view %lld ms "
		"old, list %lld ms old",
		forward->head.attempt_id, status, scatter->rule->name,
		forward->served ? " as aggregator" : "", (long long)(took_us / US_PER_MS),
		scatter->answered, scatter->shard_count, scatter->hedges, scatter->retries,
		shard->set->name, shard->tried_count, shard->running, shard->queued,
		shard->set->waiting_count, shard->give_up ? ", " : "",
		scatter_give_up_name (shard->give_up), scatter_no_hedge_name (shard->no_hedge),
		(unsigned long long)scatter->routing->version,
		(long long)forward_view_age_ms (forward->front),
		(long long)forward_list_age_ms (forward->front));
}

static enum metric
refusal_metric (enum give_up reason)
{
	switch (reason) {
	case GIVE_UP_NO_TARGET:
		return METRIC_REFUSED_NO_TARGET;
	case GIVE_UP_QUEUE_FULL:
		return METRIC_REFUSED_NO_ROOM;
	case GIVE_UP_NO_BUDGET:
		return METRIC_REFUSED_NO_BUDGET;
	case GIVE_UP_REFUSING:
		return METRIC_REFUSED_TARGETS_BUSY;
	case GIVE_UP_ATTEMPTS:
		return METRIC_REFUSED_BY_TARGETS;
	case GIVE_UP_DISPLACED:
		return METRIC_REFUSED_DISPLACED;
	case GIVE_UP_NONE:
	case GIVE_UP_AGGREGATOR:
	case GIVE_UP_COUNT:
	case GIVE_UP_NO_TIME:
		return METRIC_REFUSED_NO_TIME;
	}
	return METRIC_REFUSED_NO_TIME;
}

void
forward_count_end (const struct scatter *scatter, int64_t took_us)
{
	if (scatter->rule->stats)
		route_stats_record (scatter->rule->stats, scatter, took_us);
	if (scatter->waited_us > 0)
		latency_observe (LATENCY_QUEUE_WAIT, scatter->waited_us);
	switch (scatter->result) {
	case SCATTER_MERGED:
	case SCATTER_REPLY:
		if (took_us > scatter->rule->objective_us)
			metric_add (METRIC_ROUTE_LATE, 1);
		return;
	case SCATTER_REFUSED:
		metric_add (METRIC_ROUTE_REFUSED, 1);
		metric_add (refusal_metric (scatter_refusal (scatter)), 1);
		return;
	case SCATTER_FAILED:
	case SCATTER_TIMEOUT:
		metric_add (METRIC_ROUTE_FAILED, 1);
		return;
	}
}

void
forward_log_extra (const struct forward *forward, int shard, const struct replica *replica)
{
	const struct scatter *scatter = &forward->scatter;
	const struct scatter_shard *shard_state = &scatter->shards[shard];
	const struct front *front = forward->front;
	if (shard_state->tried_count < 2)
		return;
	struct buf placement;
	buf_init (&placement);
	placement_describe (replica, front_now_us (front), &placement);
	log_event (&front->log, EVENT_SUB_REQUEST_EXTRA,
		"%.127s: %s %d of %s to %s at %s after %lld ms; %d in flight, reported load %d, "
		"latency %lld ms, %lld extra left, list %lld ms old; %s",
		forward->head.attempt_id, shard_state->running > 1 ? "hedge" : "retry",
		shard_state->tried_count - 1, shard_state->set->name, replica->id, replica->address,
		(long long)((front_now_us (front) - scatter->start_us) / US_PER_MS),
		replica->in_flight, replica->reported_load,
		(long long)(replica->latency_us / US_PER_MS),
		(long long)(atomic_load (&shard_state->set->extra.tokens) /
			    BUDGET_TOKENS_PER_EXTRA),
		(long long)forward_list_age_ms (front), placement.data);
	buf_finish (&placement);
}

static void
read_attempt_id (void *user, const char *name, const char *value)
{
	caller_head_add (user, name, value);
}

void
forward_log_unanswered (
	const struct ingress_request *request, enum ingress_state state, int64_t age_us, void *user)
{
	static const struct {
		enum metric metric;
		const char *text;
	} states[] = {
		[INGRESS_UNREAD] = {METRIC_UNANSWERED_UNREAD, "not read"},
		[INGRESS_PARTIAL] = {METRIC_UNANSWERED_PARTIAL, "received in part"},
		[INGRESS_HANDLED] = {METRIC_UNANSWERED_HANDLED, "being handled"},
		[INGRESS_WRITTEN] = {METRIC_UNANSWERED_WRITTEN, "answer not written whole"},
	};
	const struct front *front = user;
	struct caller_head head;
	caller_head_init (&head);
	if (request)
		ingress_headers (request, read_attempt_id, &head);
	metric_add (states[state].metric, 1);
	log_event (&front->log, EVENT_CONNECTION_UNANSWERED, "%s: %s, %lld ms old",
		head.attempt_id[0] ? head.attempt_id : "unknown attempt", states[state].text,
		(long long)(age_us / US_PER_MS));
	caller_head_finish (&head);
}
