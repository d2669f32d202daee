#include "daemon/batch_serve.h"

#include "core/metrics.h"
#include "daemon/forward_log.h"
#include "daemon/quota.h"
#include "query/batch.h"
#include "query/load_reports.h"
#include "query/section.h"

#include <stdlib.h>
#include <string.h>

/** The state of a batch of another node, beside its forward. */
struct served_batch {
	struct cds_list_head node; /**< in front.served */
	struct forward *forward;
	struct batch_id id;
	struct section section;
	bool logged;
	int reported_hedges;
	int reported_retries;
};

static void
answer_status (struct ingress_request *request, int status)
{
	ingress_answer (request, status, NULL, NULL, 0, false);
}

/* Shards that were given up are reported at the end, since an answer may still come. */
static bool
is_reported_now (const struct scatter_shard *shard, bool done)
{
	return !shard->reported && (shard->answered || done);
}

static void
send_result (struct forward *forward, bool done)
{
	struct served_batch *served = forward->served;
	struct scatter *scatter = &forward->scatter;
	struct ingress_request *request = forward->request;
	struct batch_result result = {.id = served->id,
		.done = done,
		.hedges = scatter->hedges - served->reported_hedges,
		.retries = scatter->retries - served->reported_retries};
	size_t len = 0;
	result.loads = xcalloc (BATCH_MAX_LOADS, sizeof (*result.loads));
	result.load_count = load_reports_collect (
		&forward->front->sets, front_now_us (forward->front), result.loads);
	result.parts = xcalloc ((size_t)scatter->shard_count, sizeof (*result.parts));
	result.records = scatter_merge_unreported (scatter, &result.records_len);
	for (int i = 0; i < scatter->shard_count; i++) {
		struct scatter_shard *shard = &scatter->shards[i];
		if (!is_reported_now (shard, done))
			continue;
		result.parts[result.part_count++] = (struct batch_part){.shard = shard->part,
			.answered = shard->answered,
			.may_have_run = shard->may_have_run || shard->running > 0,
			.give_up = shard->give_up,
			.stamp = shard->answered ? xstrdup (shard->stamp) : NULL,
			.leaving = shard->leaving ? xstrdup (shard->leaving) : NULL};
		shard->reported = true;
	}
	served->reported_hedges = scatter->hedges;
	served->reported_retries = scatter->retries;
	section_returned (&served->section, front_now_us (forward->front));
	forward->request = NULL;
	request->user = NULL;
	void *body = batch_encode_result (&result, &len);
	batch_result_finish (&result);
	ingress_answer (request, 200, NULL, body, len, false);
}

static bool
has_new_part (const struct scatter *scatter)
{
	for (int i = 0; i < scatter->shard_count; i++) {
		if (scatter->shards[i].answered && !scatter->shards[i].reported)
			return true;
	}
	return false;
}

static bool
result_is_due (const struct forward *forward)
{
	int64_t now_us = front_now_us (forward->front);
	return section_result_is_due (&forward->served->section, has_new_part (&forward->scatter),
		scatter_hedge_is_due (&forward->scatter, now_us), now_us);
}

void
batch_serve_progress (struct scatter *scatter)
{
	struct forward *forward = caa_container_of (scatter, struct forward, scatter);
	if (!result_is_due (forward))
		return;
	send_result (forward, false);
	forward_set_timer (forward);
}

void
batch_serve_finish (struct forward *forward)
{
	if (!forward->served->logged)
		forward_log_end (forward, 200);
	forward->served->logged = true;
	if (forward->request) {
		send_result (forward, true);
		forward_free (forward);
		return;
	}
	/* The sender is about to ask for the rest. */
	forward_set_timer (forward);
}

void
batch_serve_end (struct forward *forward)
{
	/* Not marked as done, so that the sender passes the open shards to another node. */
	if (forward->request)
		send_result (forward, false);
}

int64_t
batch_serve_wake_us (const struct forward *forward, int64_t scatter_wake_us)
{
	const struct section *section = &forward->served->section;
	int64_t wake_us = section_wake_us (section);
	/* Until the sender has confirmed, no attempt is due that could be sent. */
	bool is_waiting = !section->held && forward->scatter.unconfirmed;
	if (forward->scatter.phase == SCATTER_DONE || is_waiting)
		return wake_us;
	return scatter_wake_us < wake_us ? scatter_wake_us : wake_us;
}

void
batch_serve_timer_due (struct forward *forward)
{
	struct served_batch *served = forward->served;
	struct scatter *scatter = &forward->scatter;
	int64_t now_us = front_now_us (forward->front);
	if (section_is_abandoned (&served->section, now_us)) {
		forward_free (forward);
		return;
	}
	if (result_is_due (forward))
		send_result (forward, false);
	/* Set first, since the tick may end the section and free the forward. */
	timers_set (&forward->front->timers, &forward->timer, now_us + SECTION_REST_WAIT_US);
	bool is_last = scatter->deadline_us <= now_us && forward->request;
	scatter_tick (scatter, now_us);
	if (!is_last)
		forward_set_timer (forward);
}

void
batch_serve_free (struct forward *forward)
{
	if (!forward->served)
		return;
	cds_list_del (&forward->served->node);
	free (forward->served);
}

static struct forward *
find_served (const struct front *front, const struct batch_id *id)
{
	const struct served_batch *served;
	cds_list_for_each_entry (served, &front->served, node) {
		if (served->id.sender == id->sender && served->id.number == id->number)
			return served->forward;
	}
	return NULL;
}

static void
serve_rest (struct front *front, struct ingress_request *request)
{
	struct batch_id id;
	const char *key = front->node->options.control_key;
	if (!batch_decode_rest (&id, key, request->body.data, request->body.len)) {
		metric_add (METRIC_PEER_DROPPED, 1);
		answer_status (request, 400);
		return;
	}
	struct forward *forward = find_served (front, &id);
	if (!forward || forward->request || front->phase >= STOP_ENDING) {
		answer_status (request, 404);
		return;
	}
	forward->request = request;
	request->user = forward;
	section_hold (&forward->served->section, front_now_us (front));
	if (forward->scatter.phase == SCATTER_DONE) {
		batch_serve_finish (forward);
		return;
	}
	forward_set_timer (forward);
	scatter_confirm (&forward->scatter, front_now_us (front));
	/* The hedges that were sent have to be in the timer, unless the section has ended. */
	if (find_served (front, &id) == forward)
		forward_set_timer (forward);
}

/* Finds the route of a batch; NULL when this node's view of its shards differs. */
static struct routing_rule *
find_rule (const struct front *front, const struct batch_request *batch)
{
	struct routing_rule *rule = routing_find_rule (front->state->routing, batch->route);
	if (!rule || rule->shape != ROUTE_FAN_OUT || rule->digest != batch->digest ||
		batch->shards[batch->shard_count - 1] >= rule->part_count)
		return NULL;
	return rule;
}

static bool
is_closing (const struct front *front)
{
	struct drain drain = front_drain (front);
	return drain_closes_connections (&drain, front_now_us (front));
}

/*
 * A batch that had to wait while this process was suspended may have been sent again since. Its
 * sender has closed the connection by then, but that may be held up in the network.
 */
static bool
is_outdated (const struct front *front)
{
	return front_now_us (front) < front->resumed_us + FRONT_RESUME_GUARD_US;
}

static void
start_section (struct front *front, struct ingress_request *request, struct batch_request *batch,
	struct routing_rule *rule)
{
	struct forward *forward = xmalloc (sizeof (*forward));
	forward_init (forward, front);
	forward->served = xcalloc (1, sizeof (*forward->served));
	forward->served->forward = forward;
	forward->served->id = batch->id;
	section_init (&forward->served->section, rule->objective_us, forward->arrived_us);
	cds_list_add (&forward->served->node, &front->served);
	caller_head_finish (&forward->head);
	forward->head.attempt_id = batch->attempt_id;
	str_copy (forward->method, sizeof (forward->method), batch->method);
	forward->uri = batch->uri;
	forward->lines = batch->lines;
	forward->line_count = batch->line_count;
	batch->attempt_id = NULL;
	batch->uri = NULL;
	batch->lines = NULL;
	batch->line_count = 0;
	int64_t remaining_us =
		batch->remaining_us < rule->timeout_us ? batch->remaining_us : rule->timeout_us;
	scatter_init_section (&forward->scatter, front->state->routing, rule, &front->policy,
		&forward_hooks, forward->arrived_us, forward->arrived_us + remaining_us,
		batch->shards, batch->shard_count, batch->attempts_used);
	scatter_set_account (&forward->scatter, batch->account, batch->priority);
	metric_add (METRIC_BATCHES_SERVED, 1);
	forward_begin (forward, request);
}

static void
serve_batch (struct front *front, struct ingress_request *request)
{
	struct batch_request batch;
	const char *key = front->node->options.control_key;
	if (!batch_decode_request (&batch, key, request->body.data, request->body.len)) {
		metric_add (METRIC_PEER_DROPPED, 1);
		answer_status (request, 400);
	} else if (!front_has_view (front) || is_closing (front) || front->phase >= STOP_REFUSING ||
		   is_outdated (front)) {
		answer_status (request, 503);
	} else {
		struct routing_rule *rule = find_rule (front, &batch);
		if (rule)
			start_section (front, request, &batch, rule);
		else
			answer_status (request, 409);
	}
	batch_request_finish (&batch);
}

void
batch_serve_request (struct ingress_request *request, void *user)
{
	struct front *front = user;
	if (strcmp (request->method, "POST") == 0 && strcmp (request->uri, "/batch") == 0)
		serve_batch (front, request);
	else if (strcmp (request->method, "POST") == 0 && strcmp (request->uri, "/batch/rest") == 0)
		serve_rest (front, request);
	else if (strcmp (request->method, "POST") == 0 && strcmp (request->uri, "/quota") == 0)
		front_quota_serve (front, request);
	else
		answer_status (request, 404);
}
