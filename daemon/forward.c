#include "daemon/forward.h"

#include "core/histogram.h"
#include "core/metrics.h"
#include "daemon/authorise.h"
#include "daemon/batch_send.h"
#include "daemon/batch_serve.h"
#include "daemon/forward_keep.h"
#include "daemon/forward_log.h"
#include "daemon/placement.h"
#include "daemon/quota.h"
#include "daemon/route_stats.h"
#include "daemon/target_watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
	SUB_BODY_MAX_BYTES = 16 * 1024 * 1024,
	HEADER_EXTRA_BYTES = 4,          /* colon, space and end of line */
	SUB_EXTRA_LINES = 4,             /* own headers and the terminating NULL */
	SUB_SILENCE_MIN_US = 1000000,    /* longer than any usual pause of a target */
	SUB_CONNECT_TIMEOUT_US = 200000, /* several times a slow handshake between data centres */
	SUB_SILENCE_LATENCY_FACTOR = 8,  /* times the usual latency */
	ABANDONED_TIMEOUT_US = 400000,   /* so that abandoned work ends within half a second */
	UNREADY_RETRY_US = 500000,       /* a node without a view gets one within two polls */
};

/** A sub-request at a target. */
struct sub {
	struct cds_list_head node; /**< in forward.subs */
	struct fetch fetch;
	struct replica_use use;
	struct front *front;
	struct forward *forward; /**< NULL: abandoned */
	int shard;
	bool fan_out;
	struct reply_head head;
	char *attempt_id; /* owned, since the request may end first */
	struct rollout_use rollout;
};

static void
send_sub (struct scatter *scatter, int shard, struct replica *replica);
static void
finish_forward (struct scatter *scatter);

static void
rearm_timer (struct scatter *scatter)
{
	forward_set_timer (caa_container_of (scatter, struct forward, scatter));
}

const struct scatter_hooks forward_hooks = {
	send_sub, finish_forward, batch_serve_progress, rearm_timer};

struct fetch_pool *
forward_pool (struct front *front, struct replica *replica)
{
	struct fetch_hooks pool_hooks = target_watch_hooks (front, replica);
	if (!replica->pool)
		replica->pool = fetch_pool_new (
			&front->fetches, replica->address, replica->set->connections, &pool_hooks);
	fetch_pool_set_max_connections (replica->pool, replica->set->connections);
	return replica->pool;
}

void
forward_drop_connections (struct replica *replica)
{
	if (replica->pool)
		fetch_pool_retire (replica->pool);
	replica->pool = NULL;
}

void
forward_free (struct forward *forward)
{
	struct sub *sub;
	struct sub *next;
	timers_clear (&forward->front->timers, &forward->timer);
	front_quota_end (forward);
	batch_cancel (forward);
	cds_list_for_each_entry_safe (sub, next, &forward->subs, node) {
		cds_list_del (&sub->node);
		sub->forward = NULL;
		fetch_shorten_timeout (&sub->fetch, ABANDONED_TIMEOUT_US);
	}
	for (int i = 0; i < forward->line_count; i++)
		free (forward->lines[i]);
	free (forward->lines);
	payload_unref (forward->body);
	forward_keep_release (forward);
	free (forward->uri);
	caller_head_finish (&forward->head);
	cds_list_del (&forward->node);
	atomic_fetch_sub (&forward->front->in_flight, 1);
	scatter_finish (&forward->scatter);
	batch_serve_free (forward);
	free (forward);
}

void
forward_set_timer (struct forward *forward)
{
	int64_t wake_us = scatter_wake_us (&forward->scatter);
	if (forward->served)
		wake_us = batch_serve_wake_us (forward, wake_us);
	timers_set (&forward->front->timers, &forward->timer, wake_us);
}

static int
http_status (const struct scatter *scatter)
{
	const struct scatter_shard *shard = &scatter->shards[0];
	switch (scatter->result) {
	case SCATTER_MERGED:
		return 200;
	case SCATTER_REPLY:
		/* These statuses promise that nothing ran, which this target did not state. */
		if (shard->http_status == 503 || shard->http_status == 429 ||
			shard->http_status == 408)
			return 502;
		return shard->http_status;
	case SCATTER_REFUSED:
		return 503;
	case SCATTER_FAILED:
		return 502;
	case SCATTER_TIMEOUT:
		return 504;
	}
	return 500;
}

static bool
should_close_connections (const struct front *front)
{
	/* Connections stay open until the load balancer has had time to switch to other nodes. */
	struct drain drain = front_drain (front);
	return drain_closes_connections (&drain, front_now_us (front));
}

/* The server that ends them has no log. */
static void
log_dropped_answers (struct front *front)
{
	unsigned dropped = front->callers.dropped_count;
	if (dropped == front->logged_dropped)
		return;
	log_event (&front->log, EVENT_ANSWERS_DROPPED, "%u answers, %u in all; %zu bytes wait",
		dropped - front->logged_dropped, dropped, front->callers.answers.used);
	front->logged_dropped = dropped;
}

static void
log_refused_bodies (struct front *front)
{
	unsigned refused = front->callers.no_room_count;
	if (refused == front->logged_no_room)
		return;
	log_event (&front->log, EVENT_REQUEST_REFUSED,
		"%u requests, status 503, no memory for them; %zu bytes of bodies and %zu of heads "
		"are "
		"held",
		refused - front->logged_no_room, front->callers.bodies.used,
		front->callers.heads.used);
	front->logged_no_room = refused;
}

static void
log_malformed (struct front *front)
{
	unsigned malformed = front->callers.malformed_count;
	if (malformed == front->logged_malformed)
		return;
	log_event (&front->log, EVENT_REQUEST_REFUSED,
		"%u requests refused while they were read; the last one: %s",
		malformed - front->logged_malformed, front->callers.malformed_reason);
	front->logged_malformed = malformed;
}

static void
finish_forward (struct scatter *scatter)
{
	struct forward *forward = caa_container_of (scatter, struct forward, scatter);
	struct scatter_shard *shard = &scatter->shards[0];
	if (forward->served) {
		batch_serve_finish (forward);
		return;
	}
	struct buf lines;
	size_t len = 0;
	char *body = NULL;
	int status = http_status (scatter);
	buf_init (&lines);
	if (status != 502 || scatter->result != SCATTER_REPLY) {
		answer_header_lines (scatter, &forward->head, &lines);
		if (scatter->result == SCATTER_MERGED) {
			body = scatter_merge (scatter, &len);
		} else if (scatter->result == SCATTER_REPLY) {
			body = shard->body;
			len = shard->body_len;
			shard->body = NULL;
		}
	}
	if (!forward_keep_pass (forward, lines.cap + len)) {
		status = 502;
		buf_finish (&lines);
		buf_init (&lines);
		free (body);
		body = NULL;
		len = 0;
	}
	forward_log_end (forward, status);
	log_dropped_answers (forward->front);
	log_refused_bodies (forward->front);
	log_malformed (forward->front);
	forward_count_end (scatter, front_now_us (forward->front) - scatter->start_us);
	authorise_count_end (forward);
	metric_add (METRIC_SUBS_HEDGE, (uint64_t)scatter->hedges);
	metric_add (METRIC_SUBS_RETRY, (uint64_t)scatter->retries);
	if (scatter->answered < scatter->shard_count)
		metric_add (METRIC_QUERIES_PARTIAL, 1);
	if (forward->request) {
		forward->request->user = NULL;
		ingress_answer (forward->request, status, &lines, body, len,
			should_close_connections (forward->front));
	} else {
		free (body);
	}
	buf_finish (&lines);
	forward_free (forward);
}

static bool
is_deferral (const struct sub *sub, enum fetch_end result)
{
	return result == FETCH_OK && sub->fetch.status == 503 && sub->head.retry_after_us > 0;
}

/* What the end of a sub-request says about the target, as opposed to the request. */
static enum replica_outcome
target_outcome (enum sub_end end, const struct sub *sub, enum fetch_end result, int64_t now_us)
{
	if (end == SUB_END_NOT_SENT && replica_was_recalled (&sub->use, now_us))
		return REPLICA_ABANDONED;
	switch (end) {
	case SUB_END_ANSWERED:
		return REPLICA_ANSWERED;
	case SUB_END_NOT_RUN:
		if (sub->fetch.status == 421)
			return REPLICA_FAILED;
		return is_deferral (sub, result) ? REPLICA_DEFERRED : REPLICA_REFUSED;
	case SUB_END_STATUS:
	case SUB_END_NOT_SENT:
		return REPLICA_FAILED;
	case SUB_END_BROKEN:
		/* A new connection that is reset at once exceeded the target's connection limit. */
		if (result == FETCH_FAILED && sub->fetch.opened_connection && !sub->fetch.received)
			return REPLICA_REFUSED;
		return result == FETCH_SILENT && !sub->forward ? REPLICA_ABANDONED : REPLICA_FAILED;
	}
	return REPLICA_FAILED;
}

/* What its end says about the version of the target. No connection may be the machine's fault. */
static enum rollout_outcome
rollout_outcome (enum sub_end end, const struct sub *sub, enum fetch_end result)
{
	switch (end) {
	case SUB_END_ANSWERED:
		/* The old version's callers have as many faulty requests on the same route. */
		return sub->fetch.status >= 400 ? ROLLOUT_OUTCOME_BAD : ROLLOUT_OUTCOME_ANSWERED;
	case SUB_END_NOT_RUN:
	case SUB_END_NOT_SENT:
		return ROLLOUT_OUTCOME_NONE;
	case SUB_END_STATUS:
		return ROLLOUT_OUTCOME_BAD;
	case SUB_END_BROKEN:
		/* Nobody waited any more: it took at least this long. */
		return result == FETCH_SILENT && !sub->forward ? ROLLOUT_OUTCOME_ANSWERED
							       : ROLLOUT_OUTCOME_BAD;
	}
	return ROLLOUT_OUTCOME_NONE;
}

static enum sub_end
classify_reply (const struct sub *sub, enum fetch_end result)
{
	switch (result) {
	case FETCH_OK:
		return reply_head_classify (
			&sub->head, sub->attempt_id, (int)sub->fetch.status, sub->fan_out);
	case FETCH_NOT_SENT:
		return SUB_END_NOT_SENT;
	case FETCH_FAILED:
	case FETCH_SILENT:
	case FETCH_TOO_LARGE:
		return SUB_END_BROKEN;
	}
	return SUB_END_BROKEN;
}

static void
log_sub_failure (const struct sub *sub, enum sub_end end, enum fetch_end result, int64_t now_us)
{
	static const char *const descriptions[] = {
		[SUB_END_STATUS] = "ran and failed",
		[SUB_END_NOT_RUN] = "refused, not run",
		[SUB_END_NOT_SENT] = "no connection, not sent",
		[SUB_END_BROKEN] = "no valid reply, may have run",
	};
	const struct replica *replica = sub->use.replica;
	char text[ROLLOUT_TEXT_SIZE];
	static const enum metric metrics[] = {
		[SUB_END_STATUS] = METRIC_SUB_END_STATUS,
		[SUB_END_NOT_RUN] = METRIC_SUB_END_NOT_RUN,
		[SUB_END_NOT_SENT] = METRIC_SUB_END_NOT_SENT,
		[SUB_END_BROKEN] = METRIC_SUB_END_BROKEN,
	};
	if (end == SUB_END_ANSWERED || !sub->forward)
		return;
	metric_add (result == FETCH_SILENT ? METRIC_SUB_END_SILENT : metrics[end], 1);
	log_event (&sub->front->log, EVENT_SUB_REQUEST_FAILED,
		"%.127s: %s of %s at %s: %s; status %ld, reply to '%.127s', %lld ms, %d in flight, "
		"list "
		"%lld ms old%s",
		sub->attempt_id, replica->id, replica->set->name, replica->address,
		descriptions[end], sub->fetch.status,
		sub->head.attempt_id ? sub->head.attempt_id : "",
		(long long)((now_us - sub->use.sent_us) / US_PER_MS), replica->in_flight,
		(long long)((now_us - sub->front->discovery.read_us) / US_PER_MS),
		front_rollouts_text (&sub->rollout, text, sizeof (text)));
}

static void
note_leaving (struct front *front, struct replica *replica, const char *attempt_id)
{
	if (!replica_note_leaving (replica, front_now_us (front)))
		return;
	metric_add (METRIC_TARGETS_LEAVING, 1);
	log_event (&front->log, EVENT_TARGET_LEAVES,
		"%.127s: %s of %s at %s, %d in flight, listed %s", attempt_id, replica->id,
		replica->set->name, replica->address, replica->in_flight,
		replica->state == REPLICA_LEAVING ? "as leaving" : "as ready");
	if (replica->pool)
		fetch_pool_end_waiting (replica->pool);
	forward_drop_connections (replica);
}

void
forward_note_leaving (
	const struct forward *forward, const struct replica_set *set, const char *target_id)
{
	struct replica *replica;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (strcmp (replica->id, target_id) == 0)
			note_leaving (forward->front, replica, forward->head.attempt_id);
	}
}

/* What a target announces about itself counts only in a whole answer to this sub-request. */
static void
read_announcements (const struct sub *sub, enum fetch_end result)
{
	bool is_own = reply_head_is_of (&sub->head, sub->attempt_id);
	if (result != FETCH_OK || !is_own || sub->fetch.status == 421)
		return;
	if (sub->head.leaving)
		note_leaving (sub->front, sub->use.replica, sub->attempt_id);
}

static int
sending_nodes (const struct sub *sub)
{
	const struct aggregator_group *group = &sub->use.replica->set->group;
	return group->groups > 0 ? group->users : shares_count (&sub->front->shares);
}

/* A refusal may come before the target has read the attempt id, so that it has none. */
static void
read_busy (const struct sub *sub, enum fetch_end result, int64_t now_us)
{
	struct front *front = sub->front;
	struct replica *replica = sub->use.replica;
	int64_t busy_us = sub->head.retry_after_us;
	if (result != FETCH_OK || sub->fetch.status != 503 || busy_us == 0)
		return;
	if (busy_us < 0) {
		metric_add (METRIC_RETRY_AFTER_UNREADABLE, 1);
		log_event (&front->log, EVENT_TARGET_BUSY,
			"%.127s: %s of %s at %s: unreadable, ignored", sub->attempt_id, replica->id,
			replica->set->name, replica->address);
		return;
	}
	int64_t spread_us = replica_return_spread_us (replica, busy_us, sending_nodes (sub));
	int64_t jitter_us = (int64_t)rng_below (&front->rng, (uint64_t)spread_us + 1);
	replica_note_busy (replica, now_us + busy_us + jitter_us, now_us);
	metric_add (METRIC_TARGETS_BUSY, 1);
	log_event (&front->log, EVENT_TARGET_BUSY,
		"%.127s: %s of %s at %s: no requests for %lld ms", sub->attempt_id, replica->id,
		replica->set->name, replica->address,
		(long long)((busy_us + jitter_us) / US_PER_MS));
	if (replica->pool)
		fetch_pool_end_waiting (replica->pool);
}

static void
on_sub_done (struct fetch *fetch, enum fetch_end result)
{
	struct sub *sub = caa_container_of (fetch, struct sub, fetch);
	struct front *front = sub->front;
	struct forward *forward = sub->forward;
	struct replica *replica = sub->use.replica;
	struct replica_set *set = replica->set;
	int64_t now_us = front_now_us (front);
	enum sub_end end = classify_reply (sub, result);
	read_announcements (sub, result);
	read_busy (sub, result, now_us);
	struct sub_answer answer = {
		.http_status = (int)fetch->status,
		.stamp = sub->head.stamp ? sub->head.stamp : "",
		.content_type = sub->head.content_type,
		.leaving = replica->leaving_since_us != 0 ? replica->id : NULL,
		.body = fetch->body.data,
		.body_len = fetch->body.len,
	};
	bool is_kept =
		forward && (end == SUB_END_STATUS || (end == SUB_END_ANSWERED && sub->fan_out));
	if (is_kept && !forward_keep_answer (forward, &answer))
		end = SUB_END_BROKEN;
	placement_note_report (replica, &sub->head, now_us);
	log_sub_failure (sub, end, result, now_us);
	if (end == SUB_END_ANSWERED && forward) {
		quantile_observe (&forward->scatter.rule->latency, now_us - sub->use.sent_us);
		latency_observe (LATENCY_SUB_REQUEST, now_us - sub->use.sent_us);
		placement_note_answer (front, &sub->use, forward->scatter.rule, &sub->head,
			fetch->opened_connection);
	}
	if (end == SUB_END_NOT_RUN && fetch->status == 421)
		replica_note_replaced (replica, now_us);
	/* After a shorter time, the fetch ended because of the caller's deadline. */
	if (result == FETCH_SILENT && forward && now_us >= sub->use.sent_us + SUB_SILENCE_MIN_US) {
		log_event (&front->log, EVENT_TARGET_SUSPECT,
			"%s at %s: no reply to %.127s in %lld ms", replica->id, replica->address,
			sub->attempt_id, (long long)((now_us - sub->use.sent_us) / US_PER_MS));
		forward_drop_connections (replica);
		target_watch_suspect (front, replica, RESTART_SILENT);
	}
	target_watch_note_end (front, &sub->use, fetch, result);
	/* Opening a connection says nothing about a version, but the new one often needs it. */
	int64_t took_us = now_us - (fetch->written_us ? fetch->written_us : sub->use.sent_us);
	replica_end (&sub->use, target_outcome (end, sub, result, now_us), now_us);
	front_rollouts_ended (front, &sub->rollout, rollout_outcome (end, sub, result), took_us);
	if (forward) {
		cds_list_del (&sub->node);
		sub->forward = NULL;
		scatter_sub_ended (&forward->scatter, sub->shard, end, &answer, now_us);
	}
	fetch_finish (fetch);
	reply_head_finish (&sub->head);
	free (sub->attempt_id);
	free (sub);
	scatter_serve_waiting (set, now_us);
}

static bool
on_reply_line (struct fetch *fetch, const char *line, size_t len)
{
	struct sub *sub = caa_container_of (fetch, struct sub, fetch);
	if (len > 0 && line[0] != '\r' && line[0] != '\n') {
		reply_head_add_line (&sub->head, line, len);
		return true;
	}
	/* A reply to another request closes the connection: later replies may not match either. */
	return !sub->head.attempt_id || reply_head_is_of (&sub->head, sub->attempt_id);
}

static int64_t
silence_timeout_us (const struct scatter *scatter)
{
	int64_t usual_us = quantile_get (
		&scatter->rule->latency, SCATTER_HEDGE_PERCENTILE, SUB_SILENCE_MIN_US);
	int64_t silent_us = usual_us * SUB_SILENCE_LATENCY_FACTOR;
	return silent_us > SUB_SILENCE_MIN_US ? silent_us : SUB_SILENCE_MIN_US;
}

static void
send_sub (struct scatter *scatter, int shard, struct replica *replica)
{
	struct forward *forward = caa_container_of (scatter, struct forward, scatter);
	struct front *front = forward->front;
	int64_t now_us = front_now_us (front);
	int64_t remaining_us = scatter->deadline_us - now_us;
	struct buf own_lines[SUB_REQUEST_LINES];
	struct sub *sub = xcalloc (1, sizeof (*sub));
	sub->front = front;
	sub->forward = forward;
	sub->shard = shard;
	sub->fan_out = scatter->rule->shape == ROUTE_FAN_OUT;
	sub->attempt_id = xstrdup (forward->head.attempt_id);
	reply_head_init (&sub->head);
	sub_request_header_lines (&forward->head, replica->id, remaining_us, own_lines);
	const char **lines =
		xcalloc ((size_t)forward->line_count + SUB_EXTRA_LINES, sizeof (*lines));
	for (int i = 0; i < forward->line_count; i++)
		lines[i] = forward->lines[i];
	for (int i = 0; i < SUB_REQUEST_LINES; i++)
		lines[forward->line_count + i] = own_lines[i].data;
	bool idempotent = scatter->rule->idempotency == ROUTE_IDEMPOTENT;
	int64_t silent_us = silence_timeout_us (scatter);
	struct fetch_request request = {
		.method = forward->method,
		.path = forward->uri,
		.payload = forward->body,
		.headers = lines,
		.timeout_us = idempotent && silent_us < remaining_us ? silent_us : remaining_us,
		.connect_timeout_us = SUB_CONNECT_TIMEOUT_US,
		.on_header_line = on_reply_line,
		.new_connection = !idempotent,
	};
	sub->fetch.body_max_bytes = SUB_BODY_MAX_BYTES;
	forward_log_extra (forward, shard, replica);
	replica_begin (replica, &sub->use, now_us);
	placement_count (&sub->use);
	front_rollouts_sent (front, &sub->rollout, replica, scatter->rule, sub->attempt_id);
	cds_list_add (&sub->node, &forward->subs);
	fetch_start (&sub->fetch, forward_pool (front, replica), &request, on_sub_done);
	free (lines);
	for (int i = 0; i < SUB_REQUEST_LINES; i++)
		buf_finish (&own_lines[i]);
	metric_add (METRIC_TARGET_STARTED, 1);
}

/* True when a comma-separated list of names, such as the value of Connection, contains a name. */
static bool
list_contains (const char *list, const char *name)
{
	size_t len = strlen (name);
	while (*list) {
		list += strspn (list, ", \t");
		size_t token = strcspn (list, ", \t");
		if (token == len && strncasecmp (list, name, len) == 0)
			return true;
		list += token;
	}
	return false;
}

/* Headers that apply to a single connection are not forwarded. */
static bool
is_hop_by_hop (const char *name, const char *connection)
{
	static const char names[] = "Connection,Keep-Alive,Proxy-Connection,Proxy-Authorization,TE,"
				    "Trailer,Transfer-Encoding,Upgrade,Content-Length,Expect";
	return list_contains (names, name) || list_contains (connection, name);
}

void
forward_add_line (struct forward *forward, char *line)
{
	forward->lines = xrealloc (
		forward->lines, (size_t)(forward->line_count + 1) * sizeof (*forward->lines));
	forward->lines[forward->line_count++] = line;
}

struct header_scan {
	struct forward *forward;
	char connection[256]; /* value of Connection: names of hop-by-hop headers */
};

static void
collect_header (void *user, const char *name, const char *value)
{
	struct header_scan *scan = user;
	struct forward *forward = scan->forward;
	forward->header_bytes += strlen (name) + strlen (value) + HEADER_EXTRA_BYTES;
	if (strcasecmp (name, "Host") == 0)
		str_copy (forward->host, sizeof (forward->host), value);
	if (strcasecmp (name, "Content-Length") == 0 || strcasecmp (name, "Transfer-Encoding") == 0)
		forward->has_body = true;
	if (caller_head_add (&forward->head, name, value) || is_hop_by_hop (name, scan->connection))
		return;
	struct buf line;
	buf_init (&line);
	buf_addf (&line, "%s: %s", name, value);
	forward_add_line (forward, line.data);
}

static int64_t
retry_after_us (const struct front *front)
{
	struct drain drain = front_drain (front);
	return drain.began_us != 0 ? drain_retry_after_us (&drain, front_now_us (front))
				   : UNREADY_RETRY_US;
}

static void
refuse (const struct front *front, struct ingress_request *request, int status, bool close)
{
	struct buf lines;
	buf_init (&lines);
	if (status == 503)
		buf_addf (&lines, "Retry-After: %.3f\n", (double)retry_after_us (front) / US_PER_S);
	if (status == 401)
		buf_addf (&lines, "WWW-Authenticate: Bearer\n");
	ingress_answer (request, status, &lines, NULL, 0, close);
	buf_finish (&lines);
}

static void
refuse_long_id (struct ingress_request *request)
{
	struct buf lines;
	struct buf text;
	buf_init (&lines);
	buf_init (&text);
	buf_addf (&lines, "Content-Type: text/plain\n");
	buf_addf (&text, "%s: at most %d bytes\n", caller_head_id_name (), ATTEMPT_ID_MAX_BYTES);
	ingress_answer (request, 431, &lines, text.data, text.len, true);
	buf_finish (&lines);
}

void
forward_free_unstarted (struct forward *forward)
{
	front_quota_end (forward);
	for (int i = 0; i < forward->line_count; i++)
		free (forward->lines[i]);
	free (forward->lines);
	caller_head_finish (&forward->head);
	free (forward);
}

/* Why a request is refused before any target is chosen. */
enum early_refusal {
	EARLY_NO_VIEW,
	EARLY_NO_ROUTE,
	EARLY_NO_KEY,
	EARLY_HEADERS_TOO_LARGE,
	EARLY_ID_TOO_LONG,
	EARLY_STOPPING
};

static void
refuse_early (struct forward *forward, struct ingress_request *request, int status,
	enum early_refusal reason, bool close)
{
	static const struct {
		enum metric metric;
		enum account_refusal refusal;
		const char *text;
	} reasons[] = {
		[EARLY_NO_VIEW] = {METRIC_REFUSED_NO_VIEW, ACCOUNT_REFUSED_NO_VIEW,
			"no confirmed view"},
		[EARLY_NO_ROUTE] = {METRIC_REFUSED_NO_ROUTE, 0, "no such route"},
		[EARLY_NO_KEY] = {METRIC_REFUSED_NO_KEY, 0, "no key of an account"},
		[EARLY_HEADERS_TOO_LARGE] = {METRIC_REFUSED_HEADERS, ACCOUNT_REFUSED_HEADERS,
			"headers too large"},
		[EARLY_ID_TOO_LONG] = {METRIC_REFUSED_HEADERS, ACCOUNT_REFUSED_HEADERS,
			"attempt id too long"},
		[EARLY_STOPPING] = {METRIC_REFUSED_STOPPING, ACCOUNT_REFUSED_STOPPING,
			"this node is stopping"},
	};
	const struct front *front = forward->front;
	const struct routing *routing = front->state ? front->state->routing : NULL;
	metric_add (reasons[reason].metric, 1);
	authorise_count_refusal (forward, reasons[reason].refusal);
	log_event (&front->log, EVENT_REQUEST_REFUSED,
		"%.127s: status %d, %s; host %.64s, path %.80s; routing %llu, view %lld ms old, "
		"list "
		"%lld ms old",
		forward->head.attempt_id, status, reasons[reason].text, forward->host, request->uri,
		(unsigned long long)(routing ? routing->version : 0),
		(long long)forward_view_age_ms (front), (long long)forward_list_age_ms (front));
	forward_free_unstarted (forward);
	if (reason == EARLY_ID_TOO_LONG)
		refuse_long_id (request);
	else
		refuse (front, request, status, close);
}

/* When the request ends: the caller's deadline less a margin, or the route's timeout if sooner. */
static int64_t
deadline_us (const struct forward *forward, const struct routing_rule *rule)
{
	int64_t remaining_us = forward->head.remaining_us;
	int64_t margin_us = forward->front->policy.margin_us;
	if (remaining_us != INT64_MAX)
		remaining_us =
			remaining_us > 2 * margin_us ? remaining_us - margin_us : remaining_us / 2;
	return forward->arrived_us +
	       (remaining_us < rule->timeout_us ? remaining_us : rule->timeout_us);
}

void
forward_begin (struct forward *forward, struct ingress_request *request)
{
	struct front *front = forward->front;
	forward->request = request;
	request->user = forward;
	cds_list_add (&forward->node, &front->forwards);
	atomic_fetch_add (&front->in_flight, 1);
	if (!forward->served)
		batch_send_all (forward);
	/* Set before scatter_start, which may queue the request or end it. */
	forward_set_timer (forward);
	scatter_start (&forward->scatter, front_now_us (front));
	if (request->user == forward)
		forward_set_timer (forward);
}

static void
start_request (struct forward *forward, struct ingress_request *request, struct routing_rule *rule)
{
	struct front *front = forward->front;
	if (forward->has_body || request->body.len > 0)
		forward->body = ingress_take_body (request);
	str_copy (forward->method, sizeof (forward->method), request->method);
	forward->uri = xstrdup (request->uri);
	metric_add (METRIC_QUERIES, 1);
	scatter_init (&forward->scatter, front->state->routing, rule, &front->policy,
		&forward_hooks, forward->arrived_us, deadline_us (forward, rule));
	if (rule->shape == ROUTE_FAN_OUT)
		scatter_reserve_travel (&forward->scatter, ingress_travel_us (request));
	authorise_scatter (forward);
	forward_begin (forward, request);
}

/* Requests that may not finish before the node stops are refused, to run on another node. */
static bool
is_too_late_to_start (const struct forward *forward, const struct routing_rule *rule)
{
	const struct front *front = forward->front;
	struct drain drain = front_drain (front);
	int64_t usual_us =
		quantile_get (&rule->latency, SCATTER_HEDGE_PERCENTILE, rule->objective_us);
	return front->phase >= STOP_ENDING ||
	       !drain_accepts (&drain, usual_us, deadline_us (forward, rule), front_now_us (front));
}

/* Holds a request until its key is confirmed, or refuses it while it can go elsewhere in time. */
static void
wait_for_key (
	struct forward *forward, struct ingress_request *request, const struct routing_rule *rule)
{
	struct front *front = forward->front;
	int64_t now_us = front_now_us (front);
	if (is_too_late_to_start (forward, rule))
		refuse_early (
			forward, request, 503, EARLY_STOPPING, should_close_connections (front));
	else if (now_us - forward->arrived_us > forward->head.remaining_us / 2)
		refuse_early (
			forward, request, 503, EARLY_NO_VIEW, should_close_connections (front));
	else
		forward_hold (forward, request, now_us + AUTHORISE_CHECK_US);
}

/* Returns false if the request was refused or is held. */
static bool
check_account (
	struct forward *forward, struct ingress_request *request, const struct routing_rule *rule)
{
	bool close = should_close_connections (forward->front);
	switch (authorise (forward, rule)) {
	case AUTHORISED:
		return true;
	case UNAUTHORISED:
		refuse_early (forward, request, 401, EARLY_NO_KEY, close);
		return false;
	case UNAUTHORISED_STALE:
		refuse_early (forward, request, 503, EARLY_NO_VIEW, close);
		return false;
	case AUTHORISED_LATER:
		wait_for_key (forward, request, rule);
		return false;
	}
	return false;
}

/* Finds the route and starts the request, or refuses it. A stale view may lack a route or key. */
static void
route_request (struct forward *forward, struct ingress_request *request)
{
	struct front *front = forward->front;
	const struct routing *routing = front->state->routing;
	struct routing_rule *rule = routing_match (routing, forward->host, request->uri);
	bool close = should_close_connections (front);
	/* Comes first, since an overlong key makes the headers too large. */
	if (rule && !check_account (forward, request, rule))
		return;
	if ((int64_t)forward->header_bytes > routing->limits.header_bytes)
		refuse_early (forward, request, 431, EARLY_HEADERS_TOO_LARGE, true);
	else if (forward->head.id_too_long)
		refuse_early (forward, request, 431, EARLY_ID_TOO_LONG, true);
	else if (!rule && front_view_is_stale (front))
		refuse_early (forward, request, 503, EARLY_NO_VIEW, close);
	else if (!rule)
		refuse_early (forward, request, 404, EARLY_NO_ROUTE, close);
	else if (is_too_late_to_start (forward, rule))
		refuse_early (forward, request, 503, EARLY_STOPPING, close);
	else if (front_quota_admit (forward, request))
		start_request (forward, request, rule);
}

void
forward_hold (struct forward *forward, struct ingress_request *request, int64_t until_us)
{
	struct front *front = forward->front;
	forward->held = true;
	forward->request = request;
	request->user = forward;
	cds_list_add_tail (&forward->node, &front->forwards);
	timers_set (&front->timers, &forward->timer, until_us);
}

/*
 * Holds a request until the node has a view. A node that has just started gets one within about a
 * second, even when all nodes start together; a refusal could use up a caller's last attempt.
 */
static void
hold_request (struct forward *forward, struct ingress_request *request)
{
	struct front *front = forward->front;
	int64_t end_us = front->started_us + FRONT_START_HOLD_US;
	bool too_long = forward->head.remaining_us != INT64_MAX &&
			forward->arrived_us + forward->head.remaining_us <= end_us;
	if (too_long || front_now_us (front) >= end_us ||
		atomic_load (&front->stop_began_us) != 0) {
		refuse_early (
			forward, request, 503, EARLY_NO_VIEW, should_close_connections (front));
		return;
	}
	forward_hold (forward, request, end_us);
}

struct ingress_request *
forward_take_held (struct forward *forward)
{
	struct ingress_request *request = forward->request;
	front_quota_detach (forward);
	timers_clear (&forward->front->timers, &forward->timer);
	cds_list_del (&forward->node);
	forward->held = false;
	forward->request = NULL;
	request->user = NULL;
	return request;
}

void
forward_resume (struct forward *forward)
{
	route_request (forward, forward_take_held (forward));
}

void
forward_init (struct forward *forward, struct front *front)
{
	memset (forward, 0, sizeof (*forward));
	forward->front = front;
	forward->arrived_us = front_now_us (front);
	forward->account = -1;
	CDS_INIT_LIST_HEAD (&forward->subs);
	CDS_INIT_LIST_HEAD (&forward->batches);
	timer_init (&forward->timer, FORWARD_TIMER);
	caller_head_init (&forward->head);
}

void
forward_request (struct ingress_request *request, void *user)
{
	struct front *front = user;
	struct forward *forward = xcalloc (1, sizeof (*forward));
	struct header_scan scan = {.forward = forward};
	forward_init (forward, front);
	log_dropped_answers (front);
	log_refused_bodies (front);
	log_malformed (front);
	str_copy (
		scan.connection, sizeof (scan.connection), ingress_header (request, "Connection"));
	ingress_headers (request, collect_header, &scan);
	if (front_has_view (front))
		route_request (forward, request);
	else
		hold_request (forward, request);
}

void
forward_release_held (struct front *front)
{
	struct forward *forward;
	struct forward *next;
	struct cds_list_head held;
	if (!front_has_view (front))
		return;
	/* A request that starts may be held again, and may displace others from queues. */
	CDS_INIT_LIST_HEAD (&held);
	cds_list_for_each_entry_safe (forward, next, &front->forwards, node) {
		if (!forward->held || forward->question)
			continue;
		cds_list_del (&forward->node);
		cds_list_add (&forward->node, &held);
	}
	while (!cds_list_empty (&held)) {
		forward = cds_list_first_entry (&held, struct forward, node);
		route_request (forward, forward_take_held (forward));
	}
}

/* Returns whether the request was ended; one that serves a batch goes on without its sender. */
static bool
end_forward (struct forward *forward)
{
	if (forward->held) {
		struct ingress_request *request = forward_take_held (forward);
		refuse_early (forward, request, 503, EARLY_STOPPING, true);
		return true;
	}
	if (forward->served) {
		batch_serve_end (forward);
		return false;
	}
	/* Frees the forward. */
	scatter_end (&forward->scatter, front_now_us (forward->front));
	return true;
}

void
forward_refuse_unsent (struct front *front)
{
	struct forward *forward;
	struct forward *next;
	cds_list_for_each_entry_safe (forward, next, &front->forwards, node) {
		if (!forward->served &&
			(forward->held || !scatter_may_have_run (&forward->scatter)))
			end_forward (forward);
	}
}

int
forward_end_all (struct front *front)
{
	int count = 0;
	struct forward *forward;
	struct forward *next;
	cds_list_for_each_entry_safe (forward, next, &front->forwards, node)
		count += end_forward (forward);
	return count;
}

void
forward_caller_left (struct ingress_request *request, void *user)
{
	struct forward *forward = request->user;
	(void)user;
	if (!forward)
		return;
	if (forward->held) {
		forward_take_held (forward);
		forward_free_unstarted (forward);
		return;
	}
	request->user = NULL;
	forward->request = NULL;
	if (forward->scatter.rule->stats && !forward->served)
		route_stats_record (forward->scatter.rule->stats, &forward->scatter, 0);
	/* Sub-requests are abandoned: they end on their own or soon lose their connection. */
	forward_free (forward);
}

/* Returns false if the request has ended. */
static bool
serve_returned (struct forward *forward)
{
	struct front *front = forward->front;
	const struct forward *other;
	int64_t now_us = front_now_us (front);
	if (!scatter_has_returned (&forward->scatter, now_us))
		return true;
	scatter_serve_returned (&forward->scatter, now_us);
	cds_list_for_each_entry (other, &front->forwards, node) {
		if (other == forward)
			return true;
	}
	return false;
}

void
forward_timer_due (struct timer *timer)
{
	struct forward *forward = caa_container_of (timer, struct forward, timer);
	struct ingress_request *request = forward->request;
	if (!forward->held && !serve_returned (forward))
		return;
	if (forward->question) {
		front_quota_answer_late (forward);
		return;
	}
	if (forward->held) {
		forward_take_held (forward);
		if (front_has_view (forward->front))
			route_request (forward, request);
		else
			refuse_early (forward, request, 503, EARLY_NO_VIEW, false);
		return;
	}
	if (forward->served) {
		batch_serve_timer_due (forward);
		return;
	}
	scatter_tick (&forward->scatter, front_now_us (forward->front));
	if (request->user == forward)
		forward_set_timer (forward);
}
