#include "daemon/entry.h"

#include "control/command.h"
#include "core/metrics.h"
#include "daemon/control.h"
#include "query/merge.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static struct cds_list_head *
bucket_of (struct worker *worker, uint64_t id)
{
	return &worker->requests[id % WORKER_BUCKETS];
}

static struct entry_request *
find_entry (struct worker *worker, uint64_t id)
{
	struct entry_request *entry;
	cds_list_for_each_entry (entry, bucket_of (worker, id), node) {
		if (entry->id == id)
			return entry;
	}
	return NULL;
}

static void
wake_caller (struct request *request)
{
	completion_signal (&request->completion);
}

/* Refuses a request before any sub-request was sent. */
static void
refuse (struct request *request, enum error_kind kind, const char *message)
{
	metric_add (METRIC_REFUSED, 1);
	error_set (&request->error, kind, "%s", message);
	wake_caller (request);
}

static void
free_entry (struct worker *worker, struct entry_request *entry)
{
	timers_clear (&worker->timers, &entry->timer);
	cds_list_del (&entry->node);
	if (entry->is_once)
		once_finish (&entry->u.once);
	else
		query_finish (&entry->u.query);
	query_actions_finish (&entry->actions);
	view_unref (entry->view);
	free (entry);
}

/* Ends a sub-request as refused: without a lease or an owner it is not sent, so nothing ran. */
static void
refuse_locally (struct worker *worker, const struct entry_request *entry, uint32_t attempt)
{
	struct sub_reply reply = {.request = entry->id, .attempt = attempt};
	reply.result.status = SUB_REFUSED;
	worker_post_reply (worker->node, &reply);
}

static void
post_local (struct worker *worker, const struct entry_request *entry, const struct sub_item *item,
	enum sub_kind kind, struct blob *text, int64_t deadline_us)
{
	struct work_item *work = xcalloc (1, sizeof (*work));
	work->origin.local = true;
	work->origin.hash = worker->node->incarnation;
	work->request = entry->id;
	work->attempt = item->attempt;
	work->kind = kind;
	work->snapshot = item->snapshot;
	work->shard = item->shard;
	work->deadline_us = deadline_us;
	work->text = text;
	str_copy (work->target, sizeof (work->target), item->target);
	blob_ref (text);
	worker_post_work (worker->node, work);
}

static void
send_remote (struct worker *worker, int owner, const struct entry_request *entry,
	struct sub_batch *batch)
{
	size_t len = 0;
	void *data = subwire_encode_batch (batch, &len);
	struct peer_route route = peer_route_to_address (entry->view->members[owner].address);
	peer_send (&worker->node->peer, &route, PEER_BATCH, data, len);
	free (data);
}

static void
request_text (const struct entry_request *entry, enum sub_kind kind, const char **text, size_t *len)
{
	const struct request *request = entry->request;
	*text = "";
	*len = 0;
	if (kind == SUB_LOOKUP) {
		*text = request->key;
		*len = strlen (request->key);
	} else if (kind != SUB_DISCOVER) {
		*text = request->body;
		*len = request->body_len;
	}
}

static bool
owner_is_self (const struct worker *worker, const struct entry_request *entry, int owner)
{
	return entry->view->members[owner].incarnation == worker->node->incarnation;
}

/* A sub-request to send to the owner of its target. */
struct outgoing_sub {
	struct sub_item item;
	enum sub_kind kind;
	int owner;
};

static int
compare_outgoing (const void *a, const void *b)
{
	const struct outgoing_sub *x = a;
	const struct outgoing_sub *y = b;
	return x->owner != y->owner ? x->owner - y->owner : (int)x->kind - (int)y->kind;
}

/* Sends sub-requests of one owner and kind, in one message or to this node's workers. */
static void
send_to_owner (struct worker *worker, const struct entry_request *entry,
	const struct outgoing_sub *subs, int count, int64_t deadline_us, int64_t now_us)
{
	struct sub_batch batch = {.request = entry->id, .kind = subs->kind, .count = count};
	request_text (entry, subs->kind, &batch.text, &batch.text_len);
	if (owner_is_self (worker, entry, subs->owner)) {
		struct blob *text = blob_new (batch.text, batch.text_len);
		for (int i = 0; i < count; i++)
			post_local (worker, entry, &subs[i].item, subs->kind, text, deadline_us);
		blob_unref (text);
		return;
	}
	batch.items = xcalloc ((size_t)count, sizeof (*batch.items));
	for (int i = 0; i < count; i++) {
		batch.items[i] = subs[i].item;
		batch.items[i].remaining_us = deadline_us - now_us;
	}
	send_remote (worker, subs->owner, entry, &batch);
	free (batch.items);
}

static void
send_subs (struct worker *worker, const struct entry_request *entry, struct outgoing_sub *subs,
	int count, int64_t deadline_us, int64_t now_us)
{
	bool has_lease = node_has_lease (worker->node);
	qsort (subs, (size_t)count, sizeof (*subs), compare_outgoing);
	for (int first = 0; first < count;) {
		int end = first;
		while (end < count && compare_outgoing (&subs[first], &subs[end]) == 0)
			end++;
		if (has_lease && subs[first].owner >= 0) {
			send_to_owner (
				worker, entry, &subs[first], end - first, deadline_us, now_us);
		} else {
			for (int i = first; i < end; i++)
				refuse_locally (worker, entry, subs[i].item.attempt);
		}
		first = end;
	}
}

/* Cancels attempts that were sent to one owner. */
static void
send_cancel (struct worker *worker, const struct entry_request *entry, int owner,
	uint32_t *attempts, int count)
{
	if (owner_is_self (worker, entry, owner)) {
		worker_post_cancel (
			worker->node, worker->node->incarnation, entry->id, attempts, count);
		return;
	}
	struct sub_cancel cancel = {.request = entry->id, .attempts = attempts, .count = count};
	size_t len = 0;
	void *data = subwire_encode_cancel (&cancel, &len);
	struct peer_route route = peer_route_to_address (entry->view->members[owner].address);
	peer_send (&worker->node->peer, &route, PEER_CANCEL, data, len);
	free (data);
}

static enum sub_kind
sub_kind_of (const struct entry_request *entry, const struct attempt *attempt)
{
	if (attempt->discover)
		return SUB_DISCOVER;
	return entry->request->kind == REQUEST_LOOKUP ? SUB_LOOKUP : SUB_QUERY;
}

static void
fill_outgoing (const struct entry_request *entry, uint32_t id, struct outgoing_sub *sub)
{
	const struct query *query = &entry->u.query;
	const struct attempt *attempt = &query->attempts[id];
	const struct view_target *target = &entry->view->targets[attempt->target];
	sub->kind = sub_kind_of (entry, attempt);
	sub->owner = target->owner;
	sub->item.attempt = id;
	sub->item.snapshot = query->snapshot;
	sub->item.shard = query->first_shard + (uint32_t)attempt->shard;
	str_copy (sub->item.target, sizeof (sub->item.target), target->name);
}

static void
finish_query (struct worker *worker, struct entry_request *entry)
{
	struct query *query = &entry->u.query;
	struct request *request = entry->request;
	bool complete = query->answered == query->shard_count;
	merge_answer (query, &request->answer);
	request->load_signal = admission_classify (complete, query_has_refused_shard (query),
		worker_now_us (worker) - query->start_us, query->deadline_us - query->start_us);
	request->http_status = 200;
	metric_add (complete ? METRIC_QUERIES_COMPLETE : METRIC_QUERIES_PARTIAL, 1);
	free_entry (worker, entry);
	wake_caller (request);
}

static void
send_cancels (struct worker *worker, const struct entry_request *entry)
{
	const struct query *query = &entry->u.query;
	uint32_t *attempts = xcalloc ((size_t)entry->actions.count, sizeof (*attempts));
	for (int i = 0; i < entry->actions.count; i++) {
		if (entry->actions.items[i].kind != QUERY_CANCEL)
			continue;
		uint32_t id = entry->actions.items[i].attempt;
		int owner = entry->view->targets[query->attempts[id].target].owner;
		int count = 0;
		for (int j = i; j < entry->actions.count; j++) {
			struct query_action *action = &entry->actions.items[j];
			if (action->kind != QUERY_CANCEL)
				continue;
			int other = query->attempts[action->attempt].target;
			if (entry->view->targets[other].owner != owner)
				continue;
			attempts[count++] = action->attempt;
			action->kind = QUERY_FINISH; /* included in this cancel; skipped later */
		}
		if (owner >= 0)
			send_cancel (worker, entry, owner, attempts, count);
	}
	free (attempts);
}

/* Carries out the actions of a query. This may end the request and free the entry. */
static void
run_actions (struct worker *worker, struct entry_request *entry, int64_t now_us)
{
	struct query *query = &entry->u.query;
	struct outgoing_sub *subs = xcalloc ((size_t)entry->actions.count, sizeof (*subs));
	int count = 0;
	for (int i = 0; i < entry->actions.count; i++) {
		uint32_t id = entry->actions.items[i].attempt;
		if (entry->actions.items[i].kind == QUERY_SEND &&
			query->attempts[id].state == ATTEMPT_IN_FLIGHT)
			fill_outgoing (entry, id, &subs[count++]);
	}
	if (count > 0)
		send_subs (worker, entry, subs, count, query->deadline_us, now_us);
	free (subs);
	send_cancels (worker, entry);
	entry->actions.count = 0;
	if (query->phase == QUERY_DONE)
		finish_query (worker, entry);
	else
		timers_set (&worker->timers, &entry->timer, query_wake_us (query));
}

static int64_t
deadline_of (const struct request *request, int declared_ms, int64_t now_us)
{
	int64_t declared_us = now_us + (int64_t)declared_ms * US_PER_MS;
	return request->deadline_us && request->deadline_us < declared_us ? request->deadline_us
									  : declared_us;
}

static struct entry_request *
new_entry (struct worker *worker, struct request *request, struct view *view)
{
	struct entry_request *entry = xcalloc (1, sizeof (*entry));
	entry->id = node_new_request_id (worker->node, worker->index);
	entry->request = request;
	entry->view = view;
	timer_init (&entry->timer, ENTRY_TIMER);
	query_actions_init (&entry->actions);
	cds_list_add (&entry->node, bucket_of (worker, entry->id));
	return entry;
}

static void
start_query (struct worker *worker, struct request *request, struct view *view)
{
	int64_t now_us = worker_now_us (worker);
	const struct view_collection *collection = view_find_collection (view, request->name);
	if (!collection) {
		view_unref (view);
		refuse (request, ERROR_NOT_FOUND,
			"no such collection; list them with oleanderctl list Collection");
		return;
	}
	struct entry_request *entry = new_entry (worker, request, view);
	metric_add (METRIC_QUERIES, 1);
	query_init (&entry->u.query, view, collection, request->key, &worker->node->policy, now_us,
		deadline_of (request, collection->deadline_ms, now_us), rng_next (&worker->rng));
	query_start (&entry->u.query, now_us, &entry->actions);
	run_actions (worker, entry, now_us);
}

static void
finish_once (struct worker *worker, struct entry_request *entry)
{
	struct once *once = &entry->u.once;
	struct request *request = entry->request;
	switch (once->outcome) {
	case ONCE_DONE:
		metric_add (METRIC_ONCE_DONE, 1);
		request->http_status = once->http_status;
		buf_addf (&request->answer,
			"{\"outcome\":\"done\",\"ran\":\"yes\",\"status\":%d,"
			"\"reply\":%s}",
			once->http_status, once->body && once->body[0] ? once->body : "null");
		break;
	case ONCE_NOT_RUN:
		metric_add (METRIC_ONCE_NOT_RUN, 1);
		request->load_signal = ADMISSION_OVERLOAD;
		error_set (&request->error, ERROR_OVERLOADED,
			"no target could take the request and nothing ran; send it again later");
		break;
	case ONCE_UNKNOWN:
		metric_add (METRIC_ONCE_UNKNOWN, 1);
		error_set (&request->error, ERROR_OUTCOME_UNKNOWN,
			"the request may have run; check its effect before sending it again");
		break;
	case ONCE_KEY_REUSED:
		error_set (&request->error, ERROR_KEY_REUSED,
			"the Idempotency-Key was used for another request; use a new key");
		break;
	case ONCE_PENDING:
		error_set (&request->error, ERROR_OUTCOME_UNKNOWN,
			"an earlier attempt has not ended; resend the request with the same "
			"Idempotency-Key");
		break;
	}
	free_entry (worker, entry);
	wake_caller (request);
}

static uint64_t
digest_of (const struct request *request)
{
	uint64_t digest = XXH64 (
		request->body, request->body_len, XXH64 (request->name, strlen (request->name), 0));
	return digest ? digest : 1;
}

static void
propose_claim (struct worker *worker, const struct entry_request *entry)
{
	const struct request *request = entry->request;
	struct command command = {.kind = COMMAND_CLAIM};
	struct command_claim *claim = &command.u.claim;
	str_copy (claim->key, sizeof (claim->key), request->idempotency_key);
	claim->digest = digest_of (request);
	claim->nonce = worker->node->incarnation ^ entry->id * 0x9e3779b97f4a7c15ULL;
	claim->retention_ms = entry->view->services[entry->u.once.service].retention_ms;
	control_propose (worker->node->control, &command, entry->id);
}

static void
propose_outcome (struct worker *worker, const struct entry_request *entry)
{
	const struct once *once = &entry->u.once;
	struct command command = {.kind = COMMAND_OUTCOME};
	struct command_outcome *outcome = &command.u.outcome;
	str_copy (outcome->key, sizeof (outcome->key), entry->request->idempotency_key);
	outcome->nonce = worker->node->incarnation ^ entry->id * 0x9e3779b97f4a7c15ULL;
	outcome->status = once_claim_status (once);
	outcome->http_status = once->http_status;
	outcome->body = once->body ? once->body : "";
	control_propose (worker->node->control, &command, entry->id);
}

static void
send_once (struct worker *worker, const struct entry_request *entry, int64_t now_us)
{
	const struct once *once = &entry->u.once;
	const struct view_target *target = &entry->view->targets[once->target];
	struct outgoing_sub sub = {.kind = SUB_ONCE, .owner = target->owner};
	sub.item.attempt = once->attempt;
	str_copy (sub.item.target, sizeof (sub.item.target), target->name);
	send_subs (worker, entry, &sub, 1, once->deadline_us, now_us);
}

static void
run_once_action (struct worker *worker, struct entry_request *entry, enum once_action_kind action,
	int64_t now_us)
{
	switch (action) {
	case ONCE_CLAIM:
		propose_claim (worker, entry);
		break;
	case ONCE_SEND:
		send_once (worker, entry, now_us);
		break;
	case ONCE_STORE:
		propose_outcome (worker, entry);
		break;
	case ONCE_ANSWER:
		finish_once (worker, entry);
		return;
	case ONCE_NOTHING:
		break;
	}
	timers_set (&worker->timers, &entry->timer, once_wake_us (&entry->u.once));
}

static void
start_once (struct worker *worker, struct request *request, struct view *view)
{
	int64_t now_us = worker_now_us (worker);
	int service = view_find_service (view, request->name);
	if (service < 0 || view->services[service].mode != SERVICE_ONCE) {
		view_unref (view);
		refuse (request, ERROR_NOT_FOUND,
			"no such at-most-once service; list them with oleanderctl list Service");
		return;
	}
	struct entry_request *entry = new_entry (worker, request, view);
	entry->is_once = true;
	once_init (&entry->u.once, view, service, request->idempotency_key != NULL,
		deadline_of (request, view->services[service].deadline_ms, now_us),
		rng_next (&worker->rng));
	run_once_action (worker, entry, once_start (&entry->u.once, now_us), now_us);
}

void
entry_start (struct worker *worker, struct request *request)
{
	struct view *view = node_view_get (worker->node);
	if (!view || !node_has_lease (worker->node)) {
		view_unref (view);
		refuse (request, ERROR_NO_LEASE,
			"this node holds no lease and ran nothing; send the request to "
			"another node");
		return;
	}
	if (request->kind == REQUEST_ONCE)
		start_once (worker, request, view);
	else
		start_query (worker, request, view);
}

static void
handle_query_reply (
	struct worker *worker, struct entry_request *entry, const struct sub_reply *reply)
{
	int64_t now_us = worker_now_us (worker);
	struct sub_result result = reply->result;
	if (result.status == SUB_OK && reply->attempt < (uint32_t)entry->u.query.attempt_count &&
		!entry->u.query.attempts[reply->attempt].discover &&
		merge_count_rows (result.body, result.body_len) < 0) {
		metric_add (METRIC_SUBS_BAD, 1);
		result.status = SUB_FAILED;
	}
	if (!query_reply (&entry->u.query, reply->attempt, &result, now_us, &entry->actions))
		metric_add (METRIC_SUBS_LATE, 1);
	run_actions (worker, entry, now_us);
}

void
entry_reply (struct worker *worker, const struct sub_reply *reply)
{
	struct entry_request *entry = find_entry (worker, reply->request);
	if (!entry) {
		metric_add (METRIC_SUBS_LATE, 1);
		return;
	}
	if (!entry->is_once) {
		handle_query_reply (worker, entry, reply);
		return;
	}
	int64_t now_us = worker_now_us (worker);
	run_once_action (worker, entry,
		once_reply (&entry->u.once, reply->attempt, reply->result.status,
			reply->http_status, reply->result.body, reply->result.body_len, now_us),
		now_us);
}

void
entry_propose_reply (struct worker *worker, const struct propose_reply_mail *mail)
{
	struct entry_request *entry = find_entry (worker, mail->request);
	const struct propose_reply *reply = &mail->reply;
	if (!entry || !entry->is_once || reply->status != PROPOSE_APPLIED)
		return;
	int64_t now_us = worker_now_us (worker);
	enum once_action_kind action = ONCE_NOTHING;
	if (reply->result.kind == COMMAND_CLAIM)
		action = once_claimed (&entry->u.once, reply->result.verdict,
			reply->result.claim.status, reply->result.claim.http_status, reply->body,
			now_us);
	else if (reply->result.kind == COMMAND_OUTCOME)
		action = once_stored (&entry->u.once);
	run_once_action (worker, entry, action, now_us);
}

void
entry_timer_due (struct worker *worker, struct timer *timer)
{
	struct entry_request *entry = caa_container_of (timer, struct entry_request, timer);
	int64_t now_us = worker_now_us (worker);
	if (entry->is_once) {
		run_once_action (worker, entry, once_tick (&entry->u.once, now_us), now_us);
		return;
	}
	query_tick (&entry->u.query, now_us, &entry->actions);
	run_actions (worker, entry, now_us);
}
