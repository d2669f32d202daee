#include "daemon/owned.h"

#include "core/metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	PROBE_TIMEOUT_US = 500000,
	PROBE_MAX_BODY_BYTES = 65536,
	MIN_TIMEOUT_US = 1000,
	/* Cancelled work that has run for this many smoothed latencies loses its connection. */
	CUT_OFF_LATENCIES = 2,
	/* Cancelled work is silent once it has run for this many and for query.silence_ms. */
	SILENT_LATENCIES = 8,
	/* How soon a target without a lease or a settled epoch is checked again. */
	RECHECK_INTERVAL_US = 100000,
};

static struct cds_list_head *
bucket_of (struct worker *worker, uint64_t request)
{
	return &worker->work_items[request % WORKER_BUCKETS];
}

static struct owned_target *
find_owned (struct worker *worker, const char *name)
{
	struct owned_target *owned;
	cds_list_for_each_entry (owned, &worker->owned_targets, node) {
		if (strcmp (owned->name, name) == 0)
			return owned;
	}
	return NULL;
}

static void
send_reply (struct worker *worker, const struct work_item *work, const struct sub_reply *reply)
{
	if (work->abandoned)
		return;
	if (work->origin.local) {
		worker_post_reply (worker->node, reply);
		return;
	}
	size_t len = 0;
	void *data = subwire_encode_reply (reply, &len);
	peer_send (&worker->node->peer, &work->origin.route, PEER_REPLY, data, len);
	free (data);
}

static void
free_work (struct work_item *work)
{
	cds_list_del (&work->node);
	blob_unref (work->text);
	fetch_finish (&work->fetch);
	free (work);
}

static void
fill_reply (const struct work_item *work, struct sub_reply *reply, enum sub_status status)
{
	const struct owned_target *owned = work->owned;
	memset (reply, 0, sizeof (*reply));
	reply->request = work->request;
	reply->attempt = work->attempt;
	reply->result.status = status;
	reply->result.snapshot = work->snapshot;
	reply->result.shard = work->shard;
	if (!owned || !owned->held_known)
		return;
	memcpy (reply->result.held, owned->held_snapshots, sizeof (owned->held_snapshots));
	reply->result.held_count = owned->held_count;
	reply->result.cold = gate_is_cold (&owned->gate);
}

/* Replies to a sub-request without a body and frees it. */
static void
reply_status (struct worker *worker, struct work_item *work, enum sub_status status)
{
	struct sub_reply reply;
	fill_reply (work, &reply, status);
	if (status == SUB_REFUSED)
		metric_add (METRIC_TARGET_REFUSED, 1);
	send_reply (worker, work, &reply);
	free_work (work);
}

/*
 * True when this node may send the target work: it owns the target, has a lease, and the epoch of
 * the ownership has settled.
 */
static bool
may_send_work (struct owned_target *owned)
{
	struct node *node = owned->worker->node;
	/* Read the lease first: update_lease() stores a new lease after its generation. */
	bool has_lease = node_has_lease (node);
	uint64_t generation = atomic_load (&node->lease_generation);
	if (ownership_check_lease (&owned->ownership, owned->worker->view->epoch, generation))
		gate_enter_cold_start (&owned->gate, COLD_NEW_OWNER);
	return !owned->leaving && ownership_is_active (&owned->ownership, has_lease,
					  atomic_load (&node->settled_revision));
}

static void
log_cold_change (struct owned_target *owned)
{
	bool cold = gate_is_cold (&owned->gate);
	if (cold == owned->was_cold)
		return;
	owned->was_cold = cold;
	if (cold)
		metric_add (METRIC_TARGET_COLD, 1);
	log_event (&owned->worker->node->log, cold ? EVENT_TARGET_COLD : EVENT_TARGET_WARM,
		"%s: %s", owned->name, gate_cold_reason_name (owned->gate.cold_reason));
}

static void
handle_idle_closed (void *user, enum fetch_idle_end end, int64_t idle_us);
static bool
may_open_connection (void *user);

static void
replace_pool (struct owned_target *owned)
{
	struct fetch_hooks hooks = {.idle_closed = handle_idle_closed,
		.may_open_connection = may_open_connection,
		.user = owned};
	if (owned->pool)
		fetch_pool_retire (owned->pool);
	owned->pool = fetch_pool_new (
		&owned->worker->fetches, owned->address, owned->max_connections, &hooks);
}

static void
handle_idle_closed (void *user, enum fetch_idle_end end, int64_t idle_us)
{
	struct owned_target *owned = user;
	(void)end;
	(void)idle_us;
	gate_enter_cold_start (&owned->gate, COLD_RESET);
}

/* Called before a connection is opened: the limit may have dropped since the work started. */
static bool
may_open_connection (void *user)
{
	struct owned_target *owned = user;
	return owned->gate.running <= owned->gate.limit;
}

static void
handle_silence (struct owned_target *owned)
{
	metric_add (METRIC_TARGET_SILENT, 1);
	log_event (&owned->worker->node->log, EVENT_TARGET_SUSPECT, "%s", owned->name);
	replace_pool (owned);
}

static void
apply_headers (struct owned_target *owned, const struct reply_headers *headers)
{
	snapshot_t held[MAX_HELD_SNAPSHOTS];
	gate_observe_boot_id (&owned->gate, reply_boot_hash (headers));
	/* While a target declares a cold start, successes do not raise its limit. */
	if (headers->cold[0] == '1')
		gate_enter_cold_start (&owned->gate, COLD_DECLARED);
	int count = reply_held_snapshots (headers, held);
	if (count == 0)
		return;
	memcpy (owned->held_snapshots, held, sizeof (held));
	owned->held_count = count;
	owned->held_known = true;
}

static void
format_request_id (const struct worker *worker, const struct work_item *work, char out[80])
{
	uint64_t origin = work->origin.hash ? work->origin.hash : worker->node->incarnation;
	snprintf (out, 80, "%016" PRIx64 "-%" PRIx64 "-%" PRIu32, origin, work->request,
		work->attempt);
}

static enum sub_status
classify_reply (
	const struct worker *worker, const struct work_item *work, enum gate_outcome *outcome)
{
	char id[80];
	struct reply_labels labels = {.request_id = id,
		.shard = work->shard,
		.snapshot = work->snapshot,
		.once = work->kind == SUB_ONCE};
	format_request_id (worker, work, id);
	enum sub_status status =
		reply_classify (&work->fetch.headers, work->fetch.status, &labels, outcome);
	if (status == SUB_FAILED)
		metric_add (METRIC_SUBS_BAD, 1);
	if (*outcome == GATE_SHED)
		metric_add (METRIC_TARGET_SHED, 1);
	return status;
}

static void
advance_gate (struct owned_target *owned);
static void
start_work (struct worker *worker, struct work_item *work);

static void
finish_with_reply (struct worker *worker, struct work_item *work)
{
	struct owned_target *owned = work->owned;
	struct sub_reply reply;
	enum gate_outcome outcome = GATE_OK;
	int64_t now_us = worker_now_us (worker);
	int64_t started_us = work->item.started_us;
	enum sub_status status = classify_reply (worker, work, &outcome);
	apply_headers (owned, &work->fetch.headers);
	gate_finish (&owned->gate, &work->item, outcome, now_us);
	fill_reply (work, &reply, status);
	reply.http_status = (int)work->fetch.status;
	reply.result.latency_us = now_us - started_us;
	if (status == SUB_OK) {
		reply.result.body = work->fetch.body.data ? work->fetch.body.data : "";
		reply.result.body_len = work->fetch.body.len;
	}
	send_reply (worker, work, &reply);
	free_work (work);
}

static void
resubmit (struct worker *worker, struct work_item *work)
{
	fetch_finish (&work->fetch);
	struct owned_target *owned = work->owned;
	enum gate_verdict verdict = gate_submit (&owned->gate, &work->item, worker_now_us (worker));
	if (verdict == GATE_REFUSED) {
		reply_status (worker, work, SUB_REFUSED);
	} else if (verdict == GATE_START) {
		start_work (worker, work);
	}
}

static void
handle_fetch_end (struct fetch *fetch, enum fetch_end end)
{
	struct work_item *work = caa_container_of (fetch, struct work_item, fetch);
	struct owned_target *owned = work->owned;
	struct worker *worker = owned->worker;
	int64_t now_us = worker_now_us (worker);
	switch (end) {
	case FETCH_OK:
		finish_with_reply (worker, work);
		break;
	case FETCH_NOT_SENT:
		if (fetch->open_denied) {
			gate_finish (&owned->gate, &work->item, GATE_NOT_SENT, now_us);
			resubmit (worker, work);
			break;
		}
		gate_finish (&owned->gate, &work->item, GATE_RESET, now_us);
		reply_status (worker, work, SUB_REFUSED);
		break;
	case FETCH_FAILED:
	case FETCH_TOO_LARGE:
		gate_finish (&owned->gate, &work->item,
			end == FETCH_FAILED ? GATE_RESET : GATE_CANCELLED, now_us);
		reply_status (worker, work, SUB_FAILED);
		break;
	case FETCH_SILENT:
		gate_finish (&owned->gate, &work->item, GATE_SILENT, now_us);
		handle_silence (owned);
		reply_status (worker, work, SUB_SILENT);
		break;
	}
	advance_gate (owned);
}

static void
start_work (struct worker *worker, struct work_item *work)
{
	char id[128];
	char shard[48];
	char snapshot[64];
	char deadline[64];
	char snapshot_text[24];
	char path[256] = "/query";
	int64_t remaining_us = work->deadline_us - worker_now_us (worker);
	if (remaining_us < MIN_TIMEOUT_US)
		remaining_us = MIN_TIMEOUT_US;
	str_copy (id, sizeof (id), "X-Request-Id: ");
	format_request_id (worker, work, id + strlen (id));
	snprintf (shard, sizeof (shard), "X-Shard: %" PRIu32, work->shard);
	snprintf (snapshot, sizeof (snapshot), "X-Snapshot: %s",
		snapshot_format (work->snapshot, snapshot_text));
	snprintf (deadline, sizeof (deadline), "X-Deadline-Ms: %" PRId64, remaining_us / US_PER_MS);
	const char *headers[] = {
		id, deadline, "Content-Type: application/json", shard, snapshot, NULL};
	struct fetch_request request = {
		.path = path, .headers = headers, .timeout_us = remaining_us};
	if (work->kind == SUB_LOOKUP) {
		snprintf (path, sizeof (path), "/entries/%.200s", work->text->data);
	} else {
		request.body = work->text->data;
		request.body_len = work->text->len;
	}
	if (work->kind == SUB_ONCE) {
		str_copy (path, sizeof (path), "/once");
		headers[3] = NULL;
		request.new_connection = true;
	}
	work->fetch.body_max_bytes = (size_t)worker->node->options.query_max_body;
	work->fetch.check_may_open_connection = true;
	metric_add (METRIC_TARGET_STARTED, 1);
	fetch_start (&work->fetch, work->owned->pool, &request, handle_fetch_end);
}

/* Refuses and starts queued work as the gate allows, and sets the timer for its next change. */
static void
advance_gate (struct owned_target *owned)
{
	struct worker *worker = owned->worker;
	struct gate_item *item;
	int64_t now_us = worker_now_us (worker);
	gate_set_open (&owned->gate, may_send_work (owned));
	while ((item = gate_take_rejected (&owned->gate, now_us)))
		reply_status (worker, caa_container_of (item, struct work_item, item), SUB_REFUSED);
	while ((item = gate_start_next (&owned->gate, now_us)))
		start_work (worker, caa_container_of (item, struct work_item, item));
	log_cold_change (owned);
	timers_set (&worker->timers, &owned->gate_timer, gate_wake_us (&owned->gate));
}

static void
answer_discoveries (struct owned_target *owned, enum sub_status status)
{
	struct work_item *work;
	struct work_item *next;
	cds_list_for_each_entry_safe (work, next, &owned->discoveries, discovery_node) {
		cds_list_del (&work->discovery_node);
		reply_status (owned->worker, work, status);
	}
}

/*
 * A reply of the load endpoint may start a cold start or report the snapshots that the target
 * holds; it never ends a cold start.
 */
static void
handle_probe_end (struct fetch *fetch, enum fetch_end end)
{
	struct owned_target *owned = caa_container_of (fetch, struct owned_target, probe);
	owned->probing = false;
	if (end == FETCH_OK && fetch->status == 200)
		apply_headers (owned, &fetch->headers);
	else if (end == FETCH_SILENT)
		handle_silence (owned);
	fetch_finish (fetch);
	answer_discoveries (owned, owned->held_known ? SUB_OK : SUB_REFUSED);
	advance_gate (owned);
}

static void
start_probe (struct owned_target *owned)
{
	static const char *const headers[] = {NULL};
	struct fetch_request request = {
		.path = "/load", .headers = headers, .timeout_us = PROBE_TIMEOUT_US};
	if (owned->probing || !may_send_work (owned))
		return;
	owned->probing = true;
	owned->probe.body_max_bytes = PROBE_MAX_BODY_BYTES;
	owned->probe.check_may_open_connection = false;
	fetch_start (&owned->probe, owned->pool, &request, handle_probe_end);
}

static void
schedule_probe (struct owned_target *owned)
{
	struct worker *worker = owned->worker;
	int64_t period_us = worker->node->options.target_probe_ms * US_PER_MS;
	int64_t jitter_us = (int64_t)rng_below (&worker->rng, (uint64_t)period_us / 4);
	bool ready = may_send_work (owned);
	timers_set (&worker->timers, &owned->probe_timer,
		worker_now_us (worker) + (ready ? period_us - jitter_us : RECHECK_INTERVAL_US));
}

static void
submit_discovery (struct owned_target *owned, struct work_item *work)
{
	if (owned->held_known) {
		reply_status (owned->worker, work, SUB_OK);
		return;
	}
	cds_list_add_tail (&work->discovery_node, &owned->discoveries);
	start_probe (owned);
	if (!owned->probing)
		answer_discoveries (owned, SUB_REFUSED);
}

void
owned_submit (struct worker *worker, struct work_item *work)
{
	struct owned_target *owned = find_owned (worker, work->target);
	cds_list_add (&work->node, bucket_of (worker, work->request));
	buf_init (&work->fetch.body);
	work->owned = owned;
	work->item.origin = work->origin.hash;
	work->item.deadline_us = work->deadline_us;
	if (!owned || !may_send_work (owned)) {
		reply_status (worker, work, SUB_REFUSED);
		return;
	}
	if (work->kind == SUB_DISCOVER) {
		submit_discovery (owned, work);
		return;
	}
	gate_set_open (&owned->gate, true);
	switch (gate_submit (&owned->gate, &work->item, worker_now_us (worker))) {
	case GATE_START:
		start_work (worker, work);
		break;
	case GATE_QUEUED:
		timers_set (&worker->timers, &owned->gate_timer, gate_wake_us (&owned->gate));
		break;
	case GATE_REFUSED:
		reply_status (worker, work, SUB_REFUSED);
		break;
	}
}

/* True when a sub-request that is being cancelled has run for so long that it counts as silent. */
static bool
is_silent (const struct owned_target *owned, const struct work_item *work, int64_t now_us)
{
	int64_t min_us = owned->worker->node->policy.silence_us;
	int64_t threshold_us = owned->gate.smoothed_latency_us * SILENT_LATENCIES;
	return now_us - work->item.started_us >= (threshold_us > min_us ? threshold_us : min_us);
}

/*
 * Cancelling work in flight closes its connection. Work that has not yet run much longer than usual
 * is expected to end soon, so it keeps running; slower work is cut off.
 */
static bool
ends_soon (const struct owned_target *owned, const struct work_item *work, int64_t now_us)
{
	int64_t threshold_us = owned->gate.smoothed_latency_us * CUT_OFF_LATENCIES;
	return now_us - work->item.started_us < threshold_us;
}

static void
cancel_work (struct owned_target *owned, struct work_item *work)
{
	int64_t now_us = worker_now_us (owned->worker);
	if (work->item.queued) {
		gate_remove (&owned->gate, &work->item);
	} else if (work->item.running && ends_soon (owned, work, now_us)) {
		work->abandoned = true;
		return;
	} else if (work->item.running) {
		bool silent = is_silent (owned, work, now_us);
		fetch_cancel (&work->fetch);
		gate_finish (
			&owned->gate, &work->item, silent ? GATE_SILENT : GATE_CANCELLED, now_us);
		if (silent)
			handle_silence (owned);
	} else {
		cds_list_del (&work->discovery_node);
	}
	free_work (work);
	advance_gate (owned);
}

void
owned_cancel (struct worker *worker, uint64_t origin_hash, uint64_t request, uint32_t attempt)
{
	struct work_item *work;
	cds_list_for_each_entry (work, bucket_of (worker, request), node) {
		if (work->request != request || work->attempt != attempt ||
			work->origin.hash != origin_hash || work->kind == SUB_ONCE)
			continue;
		cancel_work (work->owned, work);
		return;
	}
}

static struct owned_target *
add_owned (struct worker *worker, const struct view_target *target, int cold_limit)
{
	struct owned_target *owned = xcalloc (1, sizeof (*owned));
	owned->worker = worker;
	str_copy (owned->name, sizeof (owned->name), target->name);
	CDS_INIT_LIST_HEAD (&owned->discoveries);
	timer_init (&owned->gate_timer, GATE_TIMER);
	timer_init (&owned->probe_timer, PROBE_TIMER);
	gate_init (
		&owned->gate, target->slots, cold_limit, (int)worker->node->options.target_queue);
	owned->was_cold = gate_is_cold (&owned->gate);
	cds_list_add (&owned->node, &worker->owned_targets);
	return owned;
}

static void
update_owned_target (
	struct worker *worker, const struct view *view, const struct view_target *target)
{
	struct owned_target *owned = find_owned (worker, target->name);
	int cold_limit = target->cold_limit ? target->cold_limit
					    : (int)worker->node->options.target_cold_limit;
	if (!owned)
		owned = add_owned (worker, target, cold_limit);
	gate_configure (&owned->gate, target->slots, cold_limit);
	if (ownership_update (&owned->ownership, true, view->epoch,
		    atomic_load (&worker->node->lease_generation))) {
		gate_enter_cold_start (&owned->gate, COLD_NEW_OWNER);
		log_event (&worker->node->log, EVENT_TARGET_OWNED, "%s", target->name);
	}
	if (!owned->pool || strcmp (owned->address, target->address) != 0 ||
		owned->max_connections != target->max_connections) {
		str_copy (owned->address, sizeof (owned->address), target->address);
		owned->max_connections = target->max_connections;
		replace_pool (owned);
	}
	/* A target that is no longer leaving may have been restarted in the meantime. */
	if (owned->leaving && !target->leaving)
		gate_enter_cold_start (&owned->gate, COLD_NEW_OWNER);
	owned->leaving = target->leaving;
	timers_set (&worker->timers, &owned->probe_timer, worker_now_us (worker));
}

static void
free_owned (struct owned_target *owned)
{
	struct worker *worker = owned->worker;
	answer_discoveries (owned, SUB_REFUSED);
	fetch_cancel (&owned->probe);
	fetch_finish (&owned->probe);
	timers_clear (&worker->timers, &owned->gate_timer);
	timers_clear (&worker->timers, &owned->probe_timer);
	fetch_pool_retire (owned->pool);
	cds_list_del (&owned->node);
	free (owned);
}

void
owned_reconcile (struct worker *worker, struct view *view)
{
	struct node *node = worker->node;
	struct owned_target *owned;
	struct owned_target *next;
	struct view *previous = worker->view;
	bool *owned_here = xcalloc ((size_t)view->target_count, sizeof (bool));
	worker->view = view;
	for (int i = 0; i < view->target_count; i++) {
		const struct view_target *target = &view->targets[i];
		owned_here[i] = target->owner >= 0 &&
				view->members[target->owner].incarnation == node->incarnation &&
				node_worker_for_target (node, target->name) == worker;
		if (owned_here[i])
			update_owned_target (worker, view, target);
	}
	cds_list_for_each_entry_safe (owned, next, &worker->owned_targets, node) {
		int index = view_find_target (view, owned->name);
		if (index >= 0 && owned_here[index])
			continue;
		if (owned->ownership.mine)
			log_event (&node->log, EVENT_TARGET_RELEASED, "%s", owned->name);
		ownership_update (&owned->ownership, false, view->epoch, 0);
	}
	/* Refuses at once what is queued at targets that were lost or are leaving. */
	cds_list_for_each_entry (owned, &worker->owned_targets, node)
		advance_gate (owned);
	free (owned_here);
	view_unref (previous);
}

void
owned_update_released (struct worker *worker)
{
	struct owned_target *owned;
	struct owned_target *next;
	bool busy = false;
	uint32_t leaving_work = 0;
	int running = 0;
	int64_t now_us = worker_now_us (worker);
	cds_list_for_each_entry_safe (owned, next, &worker->owned_targets, node) {
		int occupied = gate_occupied (&owned->gate, now_us);
		running += owned->gate.running;
		if (owned->leaving)
			leaving_work += (uint32_t)owned->gate.running;
		if (owned->ownership.mine)
			continue;
		if (occupied > 0)
			busy = true;
		else
			free_owned (owned);
	}
	if (worker->view && !busy)
		atomic_store (&worker->released, worker->view->revision);
	if (worker->view)
		atomic_store (&worker->reconciled, worker->view->revision);
	atomic_store (&worker->leaving_work, leaving_work);
	atomic_store (&worker->owned_running, running);
}

void
owned_timer_due (struct worker *worker, struct timer *timer)
{
	(void)worker;
	if (timer->kind == GATE_TIMER) {
		advance_gate (caa_container_of (timer, struct owned_target, gate_timer));
		return;
	}
	struct owned_target *owned = caa_container_of (timer, struct owned_target, probe_timer);
	start_probe (owned);
	schedule_probe (owned);
}

void
owned_dump (struct worker *worker, struct buf *out)
{
	struct owned_target *owned;
	int64_t now_us = worker_now_us (worker);
	cds_list_for_each_entry (owned, &worker->owned_targets, node) {
		buf_addf (out,
			"%s{\"target\":\"%s\",\"worker\":%d,\"mine\":%s,\"leaving\":%s,"
			"\"limit\":%d,\"slots\":%d,\"running\":%d,\"occupied\":%d,\"queued\":%d,"
			"\"cold\":\"%s\",\"usual_us\":%" PRId64 "}",
			out->len && out->data[out->len - 1] == '}' ? "," : "", owned->name,
			worker->index, owned->ownership.mine ? "true" : "false",
			owned->leaving ? "true" : "false", owned->gate.limit, owned->gate.slots,
			owned->gate.running, gate_occupied (&owned->gate, now_us),
			owned->gate.queued, gate_cold_reason_name (owned->gate.cold_reason),
			owned->gate.smoothed_latency_us);
	}
}

void
owned_finish (struct worker *worker)
{
	struct owned_target *owned;
	struct owned_target *next;
	for (int i = 0; i < WORKER_BUCKETS; i++) {
		struct work_item *work;
		struct work_item *next_work;
		cds_list_for_each_entry_safe (work, next_work, &worker->work_items[i], node) {
			if (work->item.running)
				fetch_cancel (&work->fetch);
			free_work (work);
		}
	}
	cds_list_for_each_entry_safe (owned, next, &worker->owned_targets, node) {
		CDS_INIT_LIST_HEAD (&owned->discoveries);
		free_owned (owned);
	}
	view_unref (worker->view);
}
