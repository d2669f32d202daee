#include "daemon/batch_send.h"

#include "core/metrics.h"
#include "daemon/forward_keep.h"
#include "query/batch.h"
#include "query/failover.h"
#include "query/load_reports.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	BATCH_CONNECTIONS = 8, /* to one aggregator */
	BATCH_RESULT_MAX_BYTES = 4 * 1024 * 1024,
	BATCH_CONNECT_TIMEOUT_US = 50000,
};

/** A batch at an aggregator. */
struct sent_batch {
	struct cds_list_head node; /**< in forward.batches */
	struct fetch fetch;
	struct front *front;
	struct forward *forward;
	struct aggregator *aggregator;
	struct aggregator *tried[FAILOVER_AGGREGATORS_MAX];
	struct failover failover;
	struct batch_id id;
	int groups; /**< number of groups when the batch was made */
	int group;
};

static void
on_done (struct fetch *fetch, enum fetch_end end);

void
batch_address (const char *peer_address, int64_t port_step, char *out, size_t size)
{
	const char *colon = strrchr (peer_address, ':');
	long long port = colon ? strtoll (colon + 1, NULL, 10) + port_step : 0;
	snprintf (out, size, "%.*s:%lld", colon ? (int)(colon - peer_address) : 0, peer_address,
		port);
}

static struct fetch_pool *
get_pool (struct front *front, struct aggregator *aggregator)
{
	struct fetch_hooks pool_hooks = {0};
	if (!aggregator->pool)
		aggregator->pool = fetch_pool_new (
			&front->fetches, aggregator->entry.address, BATCH_CONNECTIONS, &pool_hooks);
	return aggregator->pool;
}

static bool
is_of_batch (const struct sent_batch *batch, int shard)
{
	const struct scatter *scatter = &batch->forward->scatter;
	return shard < scatter->shard_count && scatter->shards[shard].remote &&
	       aggregator_group_of_shard (shard, batch->groups) == batch->group;
}

static void
post (struct sent_batch *batch, const char *path, void *body, size_t len, int64_t timeout_us)
{
	static const char *const headers[] = {"Content-Type: application/msgpack", NULL};
	struct fetch_request request = {
		.path = path,
		.body = body,
		.body_len = len,
		.headers = headers,
		.timeout_us = timeout_us,
		.connect_timeout_us = BATCH_CONNECT_TIMEOUT_US,
	};
	batch->fetch.body_max_bytes = BATCH_RESULT_MAX_BYTES;
	batch->aggregator->in_flight++;
	fetch_start (&batch->fetch, get_pool (batch->front, batch->aggregator), &request, on_done);
	free (body);
}

static int64_t
remaining_us (const struct sent_batch *batch)
{
	return batch->forward->scatter.deadline_us - front_now_us (batch->front);
}

static int64_t
result_timeout_us (const struct sent_batch *batch)
{
	return failover_timeout_us (
		&batch->failover, batch->forward->scatter.rule->objective_us, remaining_us (batch));
}

static void
send_first (struct sent_batch *batch)
{
	struct front *front = batch->front;
	struct forward *forward = batch->forward;
	const struct scatter *scatter = &forward->scatter;
	int *shards = xcalloc ((size_t)scatter->shard_count, sizeof (*shards));
	struct batch_request request = {
		.routing_version = scatter->routing->version,
		.digest = scatter->rule->digest,
		.attempt_id = forward->head.attempt_id,
		.uri = forward->uri,
		.remaining_us = remaining_us (batch),
		.attempts_used = batch->failover.attempts_used,
		.priority = scatter->priority,
		.account = scatter->account,
		.shards = shards,
		.lines = forward->lines,
		.line_count = forward->line_count,
	};
	size_t len = 0;
	batch->id.sender = front->node->incarnation;
	batch->id.number = ++front->batch_number;
	request.id = batch->id;
	str_copy (request.route, sizeof (request.route), scatter->rule->name);
	str_copy (request.method, sizeof (request.method), forward->method);
	for (int i = 0; i < scatter->shard_count; i++) {
		if (is_of_batch (batch, i))
			shards[request.shard_count++] = i;
	}
	void *body = batch_encode_request (&request, front->node->options.control_key, &len);
	free (shards);
	batch->tried[batch->failover.aggregators++] = batch->aggregator;
	metric_add (METRIC_BATCHES_SENT, 1);
	post (batch, "/batch", body, len, result_timeout_us (batch));
}

static void
send_rest (struct sent_batch *batch)
{
	size_t len = 0;
	void *body = batch_encode_rest (&batch->id, batch->front->node->options.control_key, &len);
	post (batch, "/batch/rest", body, len, result_timeout_us (batch));
}

static struct aggregator *
choose (const struct sent_batch *batch)
{
	struct front *front = batch->front;
	struct aggregator_criteria criteria = {
		.groups = batch->groups,
		.group = batch->group,
		.data_centre = front->policy.data_centre,
		.homes = &batch->forward->scatter.rule->homes,
		.tried = batch->tried,
		.tried_count = batch->failover.aggregators,
	};
	return aggregator_choose (&front->aggregators, &criteria, front_now_us (front));
}

static bool
may_use_aggregators (const struct forward *forward)
{
	const struct routing_rule *rule = forward->scatter.rule;
	struct batch_request request = {
		.attempt_id = forward->head.attempt_id,
		.uri = forward->uri,
		.shard_count = rule->part_count,
		.lines = forward->lines,
		.line_count = forward->line_count,
	};
	return rule->shape == ROUTE_FAN_OUT && rule->idempotency == ROUTE_IDEMPOTENT &&
	       !forward->body && batch_fits (&request);
}

void
batch_send_all (struct forward *forward)
{
	struct front *front = forward->front;
	struct scatter *scatter = &forward->scatter;
	int groups = aggregator_groups (&front->aggregators, scatter->shard_count);
	if (!may_use_aggregators (forward))
		return;
	for (int group = 0; group < groups && group < scatter->shard_count; group++) {
		struct sent_batch *batch = xcalloc (1, sizeof (*batch));
		batch->front = front;
		batch->forward = forward;
		batch->groups = groups;
		batch->group = group;
		batch->aggregator = choose (batch);
		if (!batch->aggregator) {
			free (batch);
			continue;
		}
		for (int i = group; i < scatter->shard_count; i += groups)
			scatter_set_remote (scatter, i);
		cds_list_add_tail (&batch->node, &forward->batches);
		send_first (batch);
	}
}

static size_t
result_bytes (const struct batch_result *result)
{
	size_t bytes = result->records_len;
	for (int i = 0; i < result->part_count; i++)
		bytes += result->parts[i].answered ? strlen (result->parts[i].stamp) : 0;
	return bytes;
}

/* Applies a result; false when it does not belong to the batch. */
static bool
apply_result (struct sent_batch *batch, const struct batch_result *result)
{
	struct scatter *scatter = &batch->forward->scatter;
	const char *records = result->records;
	size_t records_len = result->records_len;
	if (records_len % RECORD_BYTES != 0 || result->id.sender != batch->id.sender ||
		result->id.number != batch->id.number)
		return false;
	for (int i = 0; i < result->part_count; i++) {
		if (!is_of_batch (batch, result->parts[i].shard))
			return false;
	}
	bool is_kept = forward_keep (batch->forward, result_bytes (result));
	for (int i = 0; i < result->part_count; i++) {
		const struct batch_part *part = &result->parts[i];
		struct sub_answer answer = {.http_status = 200,
			.stamp = part->stamp,
			.content_type = "",
			.body = records,
			.body_len = records_len};
		/* This node passes the answer on, so it avoids the target as well. */
		if (part->answered && part->leaving[0])
			forward_note_leaving (
				batch->forward, scatter->shards[part->shard].set, part->leaving);
		if (part->answered && is_kept)
			scatter_remote_answered (scatter, part->shard, &answer);
		else if (part->answered)
			scatter_remote_given_up (scatter, part->shard, GIVE_UP_AGGREGATOR, true);
		else
			scatter_remote_given_up (
				scatter, part->shard, part->give_up, part->may_have_run);
		/* The merged records count once, with the first part. */
		if (part->answered)
			records_len = 0;
	}
	load_reports_apply (&batch->front->sets, result->loads, result->load_count,
		front_now_us (batch->front));
	scatter->hedges += result->hedges;
	scatter->retries += result->retries;
	return true;
}

/* Ends the shards of a batch that its aggregators may have tried as often as the route allows. */
static void
give_up (struct sent_batch *batch)
{
	for (int i = 0; i < batch->forward->scatter.shard_count; i++) {
		if (is_of_batch (batch, i))
			scatter_remote_given_up (
				&batch->forward->scatter, i, GIVE_UP_AGGREGATOR, true);
	}
}

static void
send_directly (struct sent_batch *batch, int64_t now_us)
{
	metric_add (METRIC_BATCHES_RETURNED, 1);
	for (int i = 0; i < batch->forward->scatter.shard_count; i++) {
		if (is_of_batch (batch, i))
			scatter_remote_failed (&batch->forward->scatter, i,
				batch->failover.attempts_used > 0, now_us);
	}
}

static bool
has_open_shards (const struct sent_batch *batch)
{
	for (int i = 0; i < batch->forward->scatter.shard_count; i++) {
		if (is_of_batch (batch, i))
			return true;
	}
	return false;
}

static void
free_batch (struct sent_batch *batch)
{
	cds_list_del (&batch->node);
	free (batch);
}

/* Passes the open shards to another aggregator or back to this node. */
static void
fail_over (struct sent_batch *batch, bool may_have_run, int64_t now_us)
{
	struct forward *forward = batch->forward;
	enum failover_step step =
		failover_next (&batch->failover, may_have_run, forward->scatter.rule->max_attempts);
	batch->aggregator = step == FAILOVER_TO_AGGREGATOR ? choose (batch) : NULL;
	if (batch->aggregator) {
		send_first (batch);
		return;
	}
	if (step == FAILOVER_GIVE_UP)
		give_up (batch);
	else
		send_directly (batch, now_us);
	free_batch (batch);
	scatter_remote_done (&forward->scatter, now_us);
}

/* The aggregator answered with another status: it ran nothing, or no longer knows the batch. */
static bool
is_refusal (const struct fetch *fetch, enum fetch_end end)
{
	return end == FETCH_OK && (fetch->status == 503 || fetch->status == 409);
}

static enum aggregator_outcome
outcome_of (const struct sent_batch *batch, enum fetch_end end, bool valid)
{
	if (valid)
		return AGGREGATOR_ANSWERED;
	return is_refusal (&batch->fetch, end) ? AGGREGATOR_REFUSED : AGGREGATOR_FAILED;
}

static void
on_done (struct fetch *fetch, enum fetch_end end)
{
	struct sent_batch *batch = caa_container_of (fetch, struct sent_batch, fetch);
	struct front *front = batch->front;
	struct forward *forward = batch->forward;
	int64_t now_us = front_now_us (front);
	struct batch_result result = {0};
	bool valid = end == FETCH_OK && fetch->status == 200 &&
		     batch_decode_result (&result, fetch->body.data, fetch->body.len) &&
		     apply_result (batch, &result);
	bool may_have_run = fetch->sent && !is_refusal (fetch, end);
	bool done = result.done;
	batch_result_finish (&result);
	fetch_finish (fetch);
	if (end == FETCH_SILENT && batch->aggregator->pool) {
		fetch_pool_retire (batch->aggregator->pool);
		batch->aggregator->pool = NULL;
	}
	enum aggregator_outcome outcome = outcome_of (batch, end, valid);
	aggregator_batch_ended (batch->aggregator, outcome, now_us);
	if (outcome == AGGREGATOR_FAILED) {
		metric_add (METRIC_BATCHES_FAILED, 1);
		log_event (&front->log, EVENT_BATCH_FAILED,
			"%.127s: no valid answer from %s%s: fetch %d, status %ld, sent %d, group "
			"%d",
			forward->head.attempt_id, batch->aggregator->entry.address,
			batch->failover.has_result ? " to a request for the rest" : "", (int)end,
			fetch->status, fetch->sent, batch->group);
	}
	if (!valid) {
		fail_over (batch, may_have_run, now_us);
		return;
	}
	batch->failover.has_result = true;
	if (done)
		give_up (batch);
	if (!done && has_open_shards (batch))
		send_rest (batch);
	else
		free_batch (batch);
	scatter_remote_done (&forward->scatter, now_us);
}

void
batch_cancel (struct forward *forward)
{
	struct sent_batch *batch;
	struct sent_batch *next;
	cds_list_for_each_entry_safe (batch, next, &forward->batches, node) {
		fetch_cancel (&batch->fetch);
		fetch_finish (&batch->fetch);
		aggregator_batch_ended (
			batch->aggregator, AGGREGATOR_ABANDONED, front_now_us (batch->front));
		free_batch (batch);
	}
}
