#include "daemon/quota.h"

#include "core/histogram.h"
#include "core/metrics.h"
#include "daemon/authorise.h"
#include "query/quota_wire.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum {
	CONNECTIONS = 4, /* to one node */
	ANSWER_MAX_BYTES = 1024,
	CONNECT_TIMEOUT_US = QUOTA_ANSWER_TIMEOUT_US,
	/* An answer that comes too late for its request still keeps the connection open. */
	CONNECTION_TIMEOUT_US = 500000,
	LOG_INTERVAL_US = 200000, /* between two lines about one account */
	DUMP_ACCOUNTS_MAX = 100,
};

/** A question to another node. */
struct question {
	struct fetch fetch;
	struct front *front;
	struct forward *forward;   /**< NULL: nothing waits for the answer */
	struct quota_entry *entry; /**< pinned */
	struct quota_node *node;
	int64_t asked_us;
	bool wants_token;
};

static void
follow_step (struct forward *forward, enum quota_step step, struct quota_node *node);

static struct quota_standing
get_standing (const struct front *front)
{
	const struct node *node = front->node;
	struct quota_standing standing = {.settled = atomic_load (&node->settled_revision)};
	/* Read before the generation, since control stores a new lease after its generation. */
	standing.lease_until_us = atomic_load (&node->lease_until_us);
	standing.lease_generation = atomic_load (&node->lease_generation);
	standing.now_us = front_now_us (front);
	return standing;
}

void
front_quota_init (struct front *front)
{
	const struct options *options = &front->node->options;
	struct quota_bound bound = {
		.window_us = (int64_t)(options->front_quota_window_s * US_PER_S),
		.excess = options->front_quota_excess,
		.slack = options->front_quota_slack,
		.lease_us = options->control_lease_ms * US_PER_MS,
	};
	quota_init (&front->quota, front->aggregators.own_hash, &bound);
	timer_init (&front->quota_timer, QUOTA_TIMER);
}

static void
remove_unused_nodes (struct front *front)
{
	struct quota_node *node;
	while ((node = quota_remove_unused (&front->quota))) {
		if (node->pool)
			fetch_pool_retire (node->pool);
		free (node);
	}
}

/* This process was a member with a lease before there was any routing. */
static bool
precedes_routing (const struct front_state *old, const struct quota_standing *standing)
{
	return old && !old->routing && old->is_member &&
	       standing->now_us < standing->lease_until_us;
}

void
front_quota_apply (
	struct front *front, const struct front_state *state, const struct front_state *old)
{
	struct quota *quota = &front->quota;
	struct quota_standing standing = get_standing (front);
	bool is_new = state->routing != (old ? old->routing : NULL);
	if (is_new)
		quota_set_accounts (
			quota, state->routing ? &state->routing->accounts : NULL, standing.now_us);
	/* Without limits, nodes are not followed; when limits are declared, they start anew. */
	if (quota->has_limits)
		quota_update_nodes (quota, state->entry_nodes, state->entry_node_count,
			state->is_member, state->epoch, &standing);
	else if (!cds_list_empty (&quota->nodes))
		quota_update_nodes (quota, NULL, 0, false, state->epoch, &standing);
	if (is_new && quota->has_limits && precedes_routing (old, &standing))
		quota_begin (quota, &standing);
	remove_unused_nodes (front);
}

void
front_quota_refresh (struct front *front)
{
	struct quota_standing standing = get_standing (front);
	if (front->quota.has_limits)
		quota_refresh (&front->quota, &standing);
}

static struct fetch_pool *
get_pool (struct front *front, struct quota_node *node)
{
	struct fetch_hooks pool_hooks = {0};
	if (!node->pool)
		node->pool = fetch_pool_new (
			&front->fetches, node->entry.address, CONNECTIONS, &pool_hooks);
	return node->pool;
}

static void
note_returns (struct front *front)
{
	if (!cds_list_empty (&front->quota.returning) && front->quota_timer.position == TIMER_IDLE)
		timers_set (&front->timers, &front->quota_timer,
			front_now_us (front) + QUOTA_RETURN_DELAY_US / 2);
}

/* A token that came too late for its request. */
static void
return_late_token (struct question *question, const struct quota_answer *answer)
{
	struct quota_standing standing = get_standing (question->front);
	struct quota_ask ask = {
		.entry = question->entry, .asked_us = question->asked_us, .answer = *answer};
	metric_add (METRIC_QUOTA_LATE, 1);
	quota_ask_return (&question->front->quota, &ask, &standing);
	note_returns (question->front);
}

static void
note_silent (const struct forward *forward, const struct quota_node *node)
{
	metric_add (METRIC_QUOTA_SILENT, 1);
	log_event (&forward->front->log, EVENT_QUOTA_SILENT,
		"%.127s: account %.127s: no valid answer from %s", forward->head.attempt_id,
		forward->ask.entry->name, node->entry.address);
}

static void
free_question (struct question *question, enum fetch_end end)
{
	struct quota_node *node = question->node;
	if (end == FETCH_SILENT && node->pool) {
		fetch_pool_retire (node->pool);
		node->pool = NULL;
	}
	node->in_flight--;
	question->entry->pins--;
	fetch_finish (&question->fetch);
	free (question);
}

static void
on_answer (struct fetch *fetch, enum fetch_end end)
{
	struct question *question = caa_container_of (fetch, struct question, fetch);
	struct front *front = question->front;
	struct forward *forward = question->forward;
	struct quota_standing standing = get_standing (front);
	struct quota_node *node = question->node;
	struct quota_answer answer;
	/* After a suspension of this process, the token belongs to a window that is over. */
	bool in_time = standing.now_us < question->asked_us + CONNECTION_TIMEOUT_US;
	bool valid = in_time && end == FETCH_OK && fetch->status == 200 &&
		     quota_decode_answer (&answer, fetch->body.data, fetch->body.len);
	enum quota_step step = QUOTA_STEP_DECIDED;
	if (forward && !valid)
		note_silent (forward, node);
	if (forward) {
		forward->question = NULL;
		step = quota_ask_answered (
			&front->quota, &forward->ask, &node, valid ? &answer : NULL, &standing);
	} else if (valid) {
		quota_heard (&front->quota, answer.epoch, standing.now_us);
		if (question->wants_token)
			return_late_token (question, &answer);
	}
	free_question (question, end);
	if (forward)
		follow_step (forward, step, node);
}

static void
send_question (struct front *front, struct forward *forward, struct quota_entry *entry,
	struct quota_node *node)
{
	static const char *const headers[] = {"Content-Type: application/msgpack", NULL};
	struct question *sent = xcalloc (1, sizeof (*sent));
	struct quota_question question = {
		.wants_token = forward != NULL, .epoch = quota_epoch (&front->quota)};
	size_t len = 0;
	*sent = (struct question){.front = front,
		.forward = forward,
		.entry = entry,
		.node = node,
		.asked_us = front_now_us (front),
		.wants_token = forward != NULL};
	str_copy (question.account, sizeof (question.account), entry->name);
	if (node == quota_holder (&front->quota, entry)) {
		struct quota_returns returns = quota_take_returns (entry);
		question.refused = entry->unreported;
		question.returned = (unsigned)returns.count;
		question.return_age_us = sent->asked_us - returns.asked_us;
		entry->unreported = 0;
		metric_add (METRIC_QUOTA_RETURNED, question.returned);
	}
	char *body = quota_encode_question (&question, front->node->options.control_key, &len);
	struct fetch_request request = {.path = "/quota",
		.body = body,
		.body_len = len,
		.headers = headers,
		.timeout_us = CONNECTION_TIMEOUT_US,
		.connect_timeout_us = CONNECT_TIMEOUT_US};
	sent->fetch.body_max_bytes = ANSWER_MAX_BYTES;
	entry->pins++;
	node->in_flight++;
	if (forward)
		forward->question = sent;
	metric_add (METRIC_QUOTA_QUESTIONS, 1);
	fetch_start (&sent->fetch, get_pool (front, node), &request, on_answer);
	free (body);
}

static const char *
describe (const struct quota_ask *ask)
{
	switch (ask->answer.verdict) {
	case QUOTA_REFUSED:
		if (ask->from_memory)
			return "over its limit, as an earlier answer stated";
		return ask->local ? "over its limit, this node holds its tokens" : "over its limit";
	case QUOTA_REFUSED_RESERVE:
		return "its holder is not active, the reserves are used up";
	case QUOTA_UNABLE:
	case QUOTA_GRANTED:
	case QUOTA_GRANTED_RESERVE:
	case QUOTA_VERDICT_COUNT:
		return "no answer from its holder and substitute, or neither may grant";
	}
	return "";
}

static void
log_refusal (struct forward *forward, int status)
{
	struct front *front = forward->front;
	struct quota_entry *entry = forward->ask.entry;
	struct quota_node *holder = quota_holder (&front->quota, entry);
	const struct account *account = &front->quota.accounts->items[entry->account];
	int64_t now_us = front_now_us (front);
	if (now_us < entry->logged_us + LOG_INTERVAL_US) {
		entry->unlogged++;
		return;
	}
	log_event (&front->log, EVENT_QUOTA_REFUSED,
		"%.127s: status %d, account %.127s: %s; limit %g requests/s, burst %g, holder %s, "
		"%" PRIu64 " of %" PRIu64
		" requests here refused, %u not logged, retry after %" PRId64 " ms",
		forward->head.attempt_id, status, entry->name, describe (&forward->ask),
		account->rate_per_s, account->burst, holder ? holder->entry.address : "none",
		entry->own_refused, entry->own_requests, entry->unlogged,
		forward->ask.answer.retry_us / US_PER_MS);
	entry->logged_us = now_us;
	entry->unlogged = 0;
}

static void
refuse (struct forward *forward, struct ingress_request *request)
{
	struct front *front = forward->front;
	bool is_unable = forward->ask.answer.verdict == QUOTA_UNABLE;
	int64_t retry_ms = (forward->ask.answer.retry_us + US_PER_MS - 1) / US_PER_MS;
	int status = is_unable ? 503 : 429;
	struct drain drain = front_drain (front);
	struct buf lines;
	buf_init (&lines);
	buf_addf (&lines, "Retry-After: %.3f\n", (double)retry_ms / 1000);
	metric_add (is_unable ? METRIC_REFUSED_NO_HOLDER : METRIC_REFUSED_QUOTA, 1);
	forward->ask.entry->own_refused++;
	if (forward->ask.entry->account >= 0)
		log_refusal (forward, status);
	/* A newer routing may have other indices than the one by which the key was found. */
	forward->account = forward->ask.entry->account;
	authorise_count_refusal (
		forward, is_unable ? ACCOUNT_REFUSED_NO_HOLDER : ACCOUNT_REFUSED_QUOTA);
	forward_free_unstarted (forward);
	ingress_answer (request, status, &lines, NULL, 0,
		drain_closes_connections (&drain, front_now_us (front)));
	buf_finish (&lines);
}

static bool
is_granted (const struct quota_ask *ask)
{
	return ask->answer.verdict == QUOTA_GRANTED || ask->answer.verdict == QUOTA_GRANTED_RESERVE;
}

static void
ask_node (struct forward *forward, struct quota_node *node)
{
	struct front *front = forward->front;
	if (front->node->options.front_batch_port_step > 0) {
		timers_set (&front->timers, &forward->timer,
			front_now_us (front) + QUOTA_ANSWER_TIMEOUT_US);
		send_question (front, forward, forward->ask.entry, node);
		return;
	}
	/* Without a port for messages, a node can only grant what it holds itself. */
	struct quota_standing standing = get_standing (front);
	enum quota_step step =
		quota_ask_answered (&front->quota, &forward->ask, &node, NULL, &standing);
	follow_step (forward, step, node);
}

/* Goes on with a request that has waited for an answer. */
static void
follow_step (struct forward *forward, enum quota_step step, struct quota_node *node)
{
	if (step == QUOTA_STEP_ASK) {
		ask_node (forward, node);
		return;
	}
	latency_observe (LATENCY_QUOTA, front_now_us (forward->front) - forward->ask.asked_us);
	if (is_granted (&forward->ask))
		forward_resume (forward);
	else
		refuse (forward, forward_take_held (forward));
}

bool
front_quota_admit (struct forward *forward, struct ingress_request *request)
{
	struct front *front = forward->front;
	struct quota *quota = &front->quota;
	struct quota_node *node = NULL;
	if (!quota_is_limited (quota, forward->account)) {
		front_quota_end (forward);
		return true;
	}
	struct quota_standing standing = get_standing (front);
	struct quota_entry *entry = quota_get_entry (quota, forward->account, standing.now_us);
	if (forward->ask.entry == entry && is_granted (&forward->ask))
		return true;
	/* A newer routing may have given the key to another account. */
	front_quota_end (forward);
	quota_ask_init (&forward->ask, entry, standing.now_us);
	if (quota_ask_next (quota, &forward->ask, &standing, &node) == QUOTA_STEP_ASK) {
		forward_hold (forward, request, INT64_MAX);
		ask_node (forward, node);
		return false;
	}
	if (is_granted (&forward->ask))
		return true;
	refuse (forward, request);
	return false;
}

void
front_quota_detach (struct forward *forward)
{
	if (forward->question)
		forward->question->forward = NULL;
	forward->question = NULL;
}

void
front_quota_answer_late (struct forward *forward)
{
	struct front *front = forward->front;
	struct quota_standing standing = get_standing (front);
	struct quota_node *node = forward->question->node;
	note_silent (forward, node);
	front_quota_detach (forward);
	enum quota_step step =
		quota_ask_answered (&front->quota, &forward->ask, &node, NULL, &standing);
	follow_step (forward, step, node);
}

void
front_quota_end (struct forward *forward)
{
	struct front *front = forward->front;
	front_quota_detach (forward);
	if (!forward->ask.entry)
		return;
	if (!scatter_may_have_run (&forward->scatter)) {
		struct quota_standing standing = get_standing (front);
		quota_ask_return (&front->quota, &forward->ask, &standing);
		note_returns (front);
	}
	quota_ask_finish (&forward->ask);
	forward->ask = (struct quota_ask){0};
}

static void
answer_question (
	struct front *front, struct ingress_request *request, const struct quota_question *question)
{
	struct quota *quota = &front->quota;
	struct quota_standing standing = get_standing (front);
	struct quota_answer answer = {QUOTA_UNABLE, QUOTA_RETRY_US, quota_epoch (quota)};
	int account = quota_find_account (quota, question->account);
	size_t len = 0;
	quota_heard (quota, question->epoch, standing.now_us);
	if (quota_is_limited (quota, account)) {
		struct quota_entry *entry = quota_get_entry (quota, account, standing.now_us);
		entry->refused += question->refused;
		if (question->returned > 0)
			quota_take_back (quota, entry, (int)question->returned,
				question->return_age_us, &standing);
		if (question->wants_token)
			answer = quota_grant (quota, entry, &standing, question->epoch);
	}
	metric_add (METRIC_QUOTA_SERVED, 1);
	metric_add (METRIC_QUOTA_RESERVES, answer.verdict == QUOTA_GRANTED_RESERVE);
	char *body = quota_encode_answer (&answer, &len);
	ingress_answer (request, 200, NULL, body, len, false);
}

/* Questions that waited while this process was suspended have been given up by their senders. */
static bool
may_answer (const struct front *front)
{
	return front->state && front->state->routing && front->phase < STOP_ENDING &&
	       front_now_us (front) >= front->resumed_us + FRONT_RESUME_GUARD_US;
}

void
front_quota_serve (struct front *front, struct ingress_request *request)
{
	struct quota_question question;
	const char *key = front->node->options.control_key;
	if (!quota_decode_question (&question, key, request->body.data, request->body.len)) {
		metric_add (METRIC_PEER_DROPPED, 1);
		ingress_answer (request, 400, NULL, NULL, 0, false);
	} else if (!may_answer (front)) {
		ingress_answer (request, 503, NULL, NULL, 0, false);
	} else {
		answer_question (front, request, &question);
	}
}

void
front_quota_timer_due (struct front *front)
{
	struct quota *quota = &front->quota;
	struct quota_entry *entry;
	struct quota_entry *next;
	int64_t now_us = front_now_us (front);
	cds_list_for_each_entry_safe (entry, next, &quota->returning, returns_node) {
		struct quota_node *holder = quota_holder (quota, entry);
		bool is_own = holder && holder->entry.hash == quota->own_hash;
		/* A token that cannot be returned is made up for by the bucket's refill. */
		if (!holder || is_own || holder->silent_until_us > now_us)
			quota_take_returns (entry);
		else
			send_question (front, NULL, entry, holder);
	}
}

static uint64_t
activity (const struct quota_entry *entry)
{
	return entry->granted + entry->granted_reserve + entry->refused + entry->own_requests;
}

static int
compare_activity (const void *a, const void *b)
{
	const struct quota_entry *left = *(const struct quota_entry *const *)a;
	const struct quota_entry *right = *(const struct quota_entry *const *)b;
	return activity (left) < activity (right) ? 1 : -(activity (left) > activity (right));
}

static void
write_entry (struct front *front, struct quota_entry *entry, struct buf *out)
{
	struct quota_standing standing = get_standing (front);
	struct quota_node *holder = quota_holder (&front->quota, entry);
	const struct account *account = &front->quota.accounts->items[entry->account];
	char name[TEXT_ESCAPED_SIZE];
	buf_addf (out,
		"{\"account\":\"%s\",\"rate_per_s\":%g,\"burst\":%g,\"holder\":\"%s\","
		"\"tokens\":%.2f,\"granted\":%" PRIu64 ",\"granted_reserve\":%" PRIu64
		",\"refused\":%" PRIu64 ",\"requests_here\":%" PRIu64 ",\"refused_here\":%" PRIu64
		"}",
		text_escape (entry->name, name), account->rate_per_s, account->burst,
		holder ? holder->entry.address : "", quota_tokens (&front->quota, entry, &standing),
		entry->granted, entry->granted_reserve, entry->refused, entry->own_requests,
		entry->own_refused);
}

void
front_quota_write_dump (struct front *front, struct buf *out)
{
	struct quota *quota = &front->quota;
	struct quota_entry **entries =
		xcalloc ((size_t)quota->accounts->count + 1, sizeof (struct quota_entry *));
	struct quota_entry *entry;
	size_t count = 0;
	cds_list_for_each_entry (entry, &quota->entries, node) {
		if (quota_is_limited (quota, entry->account))
			entries[count++] = entry;
	}
	qsort (entries, count, sizeof (struct quota_entry *), compare_activity);
	buf_addf (out, "{\"epoch\":%" PRIu64 ",\"active\":%s,\"accounts\":[", quota_epoch (quota),
		quota->usable_since_us != 0 ? "true" : "false");
	for (size_t i = 0; i < count && i < DUMP_ACCOUNTS_MAX; i++) {
		if (i > 0)
			buf_add (out, ",", 1);
		write_entry (front, entries[i], out);
	}
	buf_addf (out, "]}");
	free (entries);
}
