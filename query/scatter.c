#include "query/scatter.h"

#include "core/buf.h"
#include "core/clock.h"
#include "query/fair_queue.h"

#include <stdlib.h>
#include <string.h>

static void
init_common (struct scatter *scatter, struct routing *routing, struct routing_rule *rule,
	const struct scatter_policy *policy, const struct scatter_hooks *hooks, int64_t now_us,
	int64_t deadline_us)
{
	memset (scatter, 0, sizeof (*scatter));
	scatter->routing = routing_ref (routing);
	scatter->rule = rule;
	scatter->policy = policy;
	scatter->hooks = hooks;
	scatter->priority = rule->priority;
	scatter->start_us = now_us;
	scatter->deadline_us = deadline_us;
	scatter->partial_us = now_us + rule->objective_us - policy->margin_us;
	scatter->late_partial_us = now_us + rule->objective_us * (100 + SCATTER_LATE_PERCENT) / 100;
}

static void
init_shard (struct scatter *scatter, int shard_index, int part)
{
	struct scatter_shard *shard = &scatter->shards[shard_index];
	shard->scatter = scatter;
	shard->part = part;
	shard->set = scatter->routing->services[scatter->rule->parts[part].service].set;
	shard->hedge_at_us = INT64_MAX;
}

void
scatter_init (struct scatter *scatter, struct routing *routing, struct routing_rule *rule,
	const struct scatter_policy *policy, const struct scatter_hooks *hooks, int64_t now_us,
	int64_t deadline_us)
{
	bool fan_out = rule->shape == ROUTE_FAN_OUT;
	init_common (scatter, routing, rule, policy, hooks, now_us, deadline_us);
	scatter->shard_count = fan_out ? rule->part_count : 1;
	scatter->min_shards = fan_out ? routing_min_shards (rule) : 1;
	scatter->shards = xcalloc ((size_t)scatter->shard_count, sizeof (*scatter->shards));
	int first_part = fan_out ? 0 : routing_next_part (rule);
	for (int i = 0; i < scatter->shard_count; i++)
		init_shard (scatter, i, first_part + i);
}

void
scatter_reserve_travel (struct scatter *scatter, int64_t travel_us)
{
	int64_t margin_us = scatter->policy->margin_us;
	int64_t needed_us = travel_us + margin_us / 2;
	int64_t max_us = scatter->rule->objective_us / 2;
	if (needed_us < margin_us)
		return;
	scatter->partial_us = scatter->start_us + scatter->rule->objective_us -
			      (needed_us < max_us ? needed_us : max_us);
}

void
scatter_init_section (struct scatter *scatter, struct routing *routing, struct routing_rule *rule,
	const struct scatter_policy *policy, const struct scatter_hooks *hooks, int64_t now_us,
	int64_t deadline_us, const int *parts, int part_count, int attempts_used)
{
	init_common (scatter, routing, rule, policy, hooks, now_us, deadline_us);
	scatter->scope = SCATTER_SECTION;
	scatter->unconfirmed = true;
	scatter->attempts_before = attempts_used;
	scatter->shard_count = part_count;
	scatter->min_shards = part_count;
	scatter->shards = xcalloc ((size_t)part_count, sizeof (*scatter->shards));
	for (int i = 0; i < part_count; i++) {
		init_shard (scatter, i, parts[i]);
		scatter->shards[i].attempts_used = attempts_used;
		scatter->shards[i].reached_target = attempts_used > 0;
	}
}

void
scatter_set_account (struct scatter *scatter, uint64_t account, int priority)
{
	scatter->account = account;
	scatter->priority = priority;
}

static void
leave_queue (struct scatter_shard *shard)
{
	if (!shard->queued)
		return;
	cds_list_del (&shard->node);
	shard->set->waiting_count--;
	shard->queued = false;
}

static void
clear_reply (struct scatter_shard *shard)
{
	free (shard->stamp);
	free (shard->content_type);
	free (shard->leaving);
	free (shard->body);
	shard->stamp = shard->content_type = shard->leaving = shard->body = NULL;
	shard->body_len = 0;
}

static void
forget_tried (struct scatter_shard *shard)
{
	for (int i = 0; i < shard->tried_count; i++)
		shard->tried[i]->tried_count--;
	shard->tried_count = 0;
}

void
scatter_finish (struct scatter *scatter)
{
	for (int i = 0; i < scatter->shard_count; i++) {
		leave_queue (&scatter->shards[i]);
		clear_reply (&scatter->shards[i]);
		forget_tried (&scatter->shards[i]);
	}
	free (scatter->shards);
	routing_unref (scatter->routing);
}

/* Records what a sub-request is likely to cost. */
static void
note_served (const struct scatter_shard *shard, int64_t now_us)
{
	const struct scatter *scatter = shard->scatter;
	bool is_first = shard->tried_count == 0 && !shard->reached_target;
	if (!fairness_is_recorded (&shard->set->fairness, scatter->account))
		return;
	int64_t work_us = quantile_get (&scatter->rule->latency, 50, SCATTER_HEDGE_MIN_US);
	fairness_note_served (&shard->set->fairness, scatter->account, work_us, is_first, now_us);
}

/* Records that a shard ends here; only those of which nothing was sent count. */
static void
note_refused (const struct scatter_shard *shard, int64_t now_us)
{
	if (!shard->reached_target && shard->tried_count == 0)
		fairness_note_refused (&shard->set->fairness, shard->scatter->account, now_us);
}

static void
end_with (struct scatter *scatter, enum scatter_result result, int64_t now_us)
{
	scatter->phase = SCATTER_DONE;
	scatter->result = result;
	for (int i = 0; i < scatter->shard_count; i++) {
		struct scatter_shard *shard = &scatter->shards[i];
		if (shard->queued) {
			shard->give_up = GIVE_UP_NO_TIME;
			note_refused (shard, now_us);
		}
		leave_queue (shard);
	}
	scatter->hooks->deliver (scatter);
}

bool
scatter_may_have_run (const struct scatter *scatter)
{
	for (int i = 0; i < scatter->shard_count; i++) {
		const struct scatter_shard *shard = &scatter->shards[i];
		if (shard->may_have_run || shard->running > 0 || shard->remote)
			return true;
	}
	return false;
}

static bool
is_fan_out (const struct scatter *scatter)
{
	return scatter->rule->shape == ROUTE_FAN_OUT;
}

/* A refused caller should not return before each of the services takes requests again. */
static int64_t
retry_after_ms (const struct scatter *scatter, int64_t now_us)
{
	struct replica_criteria any_target = {.data_centre = scatter->policy->data_centre};
	int64_t longest_ms = SCATTER_RETRY_AFTER_MS;
	for (int i = 0; i < scatter->shard_count; i++) {
		const struct scatter_shard *shard = &scatter->shards[i];
		int64_t first_us = replica_return_us (shard->set, &any_target, now_us);
		if (shard->answered || first_us == INT64_MAX)
			continue;
		int64_t wait_ms = (first_us - now_us + US_PER_MS - 1) / US_PER_MS;
		longest_ms = wait_ms > longest_ms ? wait_ms : longest_ms;
	}
	return longest_ms;
}

/* Ends a request for which no better answer can come, with the best result so far. */
static void
end_without_answer (struct scatter *scatter, bool late, int64_t now_us)
{
	const struct scatter_shard *shard = &scatter->shards[0];
	if (!is_fan_out (scatter) && shard->body) {
		end_with (scatter, SCATTER_REPLY, now_us);
		return;
	}
	if (!scatter_may_have_run (scatter)) {
		scatter->retry_after_ms = retry_after_ms (scatter, now_us);
		end_with (scatter, SCATTER_REFUSED, now_us);
		return;
	}
	end_with (scatter, late ? SCATTER_TIMEOUT : SCATTER_FAILED, now_us);
}

/*
 * Ends the request when all shards have answered, when enough have answered and the time to wait
 * for the others is over, or when no answer is possible any more.
 */
static void
end_if_decided (struct scatter *scatter, int64_t now_us)
{
	if (scatter->phase == SCATTER_DONE)
		return;
	int open_shards = scatter->shard_count - scatter->closed;
	if (scatter->scope == SCATTER_SECTION) {
		if (open_shards == 0 || now_us >= scatter->deadline_us)
			end_with (scatter, SCATTER_MERGED, now_us);
		else
			scatter->hooks->progress (scatter);
		return;
	}
	bool has_min_shards = scatter->answered >= scatter->min_shards;
	/* Past the latency objective, some more time for missing shards costs the caller less. */
	if (now_us >= scatter->start_us + scatter->rule->objective_us)
		scatter->partial_us = scatter->late_partial_us;
	bool partial_due = now_us >= scatter->partial_us;
	bool late = now_us >= scatter->deadline_us;
	if (!is_fan_out (scatter)) {
		if (scatter->answered)
			end_with (scatter, SCATTER_REPLY, now_us);
		else if (open_shards == 0 || late)
			end_without_answer (scatter, late, now_us);
		return;
	}
	if (scatter->answered == scatter->shard_count ||
		(has_min_shards && (open_shards == 0 || partial_due || late)))
		end_with (scatter, SCATTER_MERGED, now_us);
	else if (late || scatter->answered + open_shards < scatter->min_shards)
		end_without_answer (scatter, late, now_us);
}

void
scatter_end (struct scatter *scatter, int64_t now_us)
{
	if (scatter->phase == SCATTER_DONE)
		return;
	if (is_fan_out (scatter) && scatter->answered >= scatter->min_shards)
		end_with (scatter, SCATTER_MERGED, now_us);
	else
		end_without_answer (scatter, true, now_us);
}

const char *
scatter_give_up_name (enum give_up reason)
{
	static const char *const names[] = {"", "no target may get work", "queue full",
		"no retry budget left", "no attempts left", "queued until the request ended",
		"its aggregator failed", "all targets asked for no requests",
		"displaced by another account or a more urgent request"};
	return names[reason];
}

const char *
scatter_no_hedge_name (enum no_hedge reason)
{
	static const char *const names[] = {"", ", no hedge: no target expected to answer soon",
		", no hedge: no budget", ", no hedge: overdue"};
	return names[reason];
}

enum give_up
scatter_refusal (const struct scatter *scatter)
{
	for (int i = 0; i < scatter->shard_count; i++) {
		if (scatter->shards[i].give_up != GIVE_UP_NONE)
			return scatter->shards[i].give_up;
	}
	return GIVE_UP_NO_TIME;
}

static void
close_shard (struct scatter *scatter, struct scatter_shard *shard)
{
	if (shard->closed)
		return;
	leave_queue (shard);
	shard->closed = true;
	shard->hedge_at_us = INT64_MAX;
	scatter->closed++;
}

static void
give_up (struct scatter *scatter, struct scatter_shard *shard, enum give_up reason)
{
	shard->give_up = reason;
	close_shard (scatter, shard);
}

/* Gives up a shard that this node would have sent. */
static void
refuse (struct scatter *scatter, struct scatter_shard *shard, enum give_up reason, int64_t now_us)
{
	note_refused (shard, now_us);
	give_up (scatter, shard, reason);
}

static bool
has_attempts_left (const struct scatter *scatter, const struct scatter_shard *shard)
{
	return shard->attempts_used < scatter->rule->max_attempts &&
	       shard->tried_count < SCATTER_MAX_ATTEMPTS;
}

static bool
needs_confirmation (const struct scatter *scatter, const struct scatter_shard *shard)
{
	return scatter->unconfirmed && shard->attempts_used > scatter->attempts_before;
}

static struct replica_criteria
criteria_of (const struct scatter *scatter, const struct scatter_shard *shard, bool hedge)
{
	return (struct replica_criteria){
		.data_centre = scatter->policy->data_centre,
		.tried = shard->tried,
		.tried_count = shard->tried_count,
		.median_us = quantile_get (&scatter->rule->latency, 50, SCATTER_HEDGE_MIN_US),
		.cost = &scatter->rule->cost,
		.placement = scatter->policy->placement,
		.hedge = hedge,
		.queued = shard->queued,
	};
}

static int64_t
route_hedge_delay_us (const struct scatter *scatter)
{
	int64_t delay_us = quantile_get (
		&scatter->rule->latency, SCATTER_HEDGE_PERCENTILE, SCATTER_HEDGE_DEFAULT_US);
	int64_t median_us = quantile_get (&scatter->rule->latency, 50, SCATTER_HEDGE_DEFAULT_US);
	if (delay_us > median_us * SCATTER_HEDGE_MAX_MEDIANS)
		delay_us = median_us * SCATTER_HEDGE_MAX_MEDIANS;
	return delay_us;
}

static int64_t
limited (int64_t value, int64_t min, int64_t max)
{
	if (value < min)
		value = min;
	return value < max ? value : max;
}

/* A hedge is due when the answer is later than expected of this target now, if that is known. */
static int64_t
hedge_delay_us (const struct scatter *scatter, const struct scatter_shard *shard,
	const struct replica *replica, int64_t now_us)
{
	struct replica_criteria criteria = criteria_of (scatter, shard, false);
	int64_t objective_us = scatter->rule->objective_us;
	int64_t target_us = replica_hedge_delay_us (replica, &criteria, now_us);
	int64_t route_us = route_hedge_delay_us (scatter);
	int64_t delay_us = target_us > route_us ? target_us : route_us;
	if (target_us == 0)
		return limited (delay_us, SCATTER_HEDGE_MIN_US, objective_us / 2);
	int64_t min_us = objective_us / SCATTER_HEDGE_MIN_SHARE;
	/* Callers of a route with a wide objective should not wait much longer than usual. */
	delay_us = limited (delay_us, min_us < 2 * delay_us ? min_us : 2 * delay_us,
		objective_us / SCATTER_HEDGE_MAX_SHARE);
	return limited (delay_us, SCATTER_HEDGE_MIN_US, objective_us / 2);
}

static enum replica_selection
choose_for_shard (struct scatter *scatter, struct scatter_shard *shard, bool hedge, int64_t now_us,
	struct replica **replica)
{
	struct replica_criteria criteria = criteria_of (scatter, shard, hedge);
	return replica_choose (shard->set, &criteria, now_us, replica);
}

/* When a queued shard has to be served again because a target takes requests; INT64_MAX: never. */
static int64_t
return_us (const struct scatter *scatter, const struct scatter_shard *shard, int64_t now_us)
{
	struct replica_criteria criteria = criteria_of (scatter, shard, false);
	int64_t first_us = replica_return_us (shard->set, &criteria, now_us);
	return first_us > now_us ? first_us : replica_cold_turn_us (shard->set, &criteria, now_us);
}

static void
send_to (struct scatter *scatter, struct scatter_shard *shard, struct replica *replica,
	int64_t now_us)
{
	note_served (shard, now_us);
	shard->tried[shard->tried_count++] = replica;
	replica->tried_count++;
	shard->attempts_used++;
	shard->running++;
	shard->hedge_at_us = INT64_MAX;
	/* The objective is missed by the wait; a partial answer now would waste it. */
	if (shard->awaited_return &&
		now_us + scatter->rule->objective_us > scatter->late_partial_us)
		scatter->late_partial_us = now_us + scatter->rule->objective_us;
	if (scatter->rule->idempotency == ROUTE_IDEMPOTENT && has_attempts_left (scatter, shard))
		shard->hedge_at_us = now_us + hedge_delay_us (scatter, shard, replica, now_us);
	scatter->hooks->send (scatter, (int)(shard - scatter->shards), replica);
}

static int
queue_limit (const struct replica_set *set)
{
	const struct replica *replica;
	int slots = 0;
	cds_list_for_each_entry (replica, &set->replicas, node)
		slots += replica_usable (replica) ? replica->slots : 0;
	return slots * SCATTER_QUEUE_PER_SLOT;
}

/* Until fair_queue_order changes it, the order is by priority, then by arrival. */
static void
enter_queue (struct scatter *scatter, struct scatter_shard *shard, int64_t now_us)
{
	struct cds_list_head *at = shard->set->waiting.prev;
	while (at != &shard->set->waiting) {
		const struct scatter_shard *other = cds_list_entry (at, struct scatter_shard, node);
		if (other->scatter->priority <= scatter->priority)
			break;
		at = at->prev;
	}
	cds_list_add (&shard->node, at);
	shard->set->waiting_count++;
	shard->arrival = ++shard->set->arrivals;
	shard->queued = true;
	shard->queued_us = now_us;
	shard->return_us = INT64_MAX;
}

/*
 * Whether a shard may wait. In a full queue it may take the place of another one, whose request may
 * then end.
 */
static bool
get_place (struct scatter_shard *shard, int64_t now_us)
{
	if (shard->set->waiting_count < queue_limit (shard->set))
		return true;
	struct scatter_shard *displaced = fair_queue_displaced (shard);
	if (!displaced)
		return false;
	refuse (displaced->scatter, displaced, GIVE_UP_DISPLACED, now_us);
	end_if_decided (displaced->scatter, now_us);
	/* Also if the queue is longer than its limit, since it has not become longer. */
	return true;
}

/* Whether a sub-request that is sent then is answered in time, rather than with unknown outcome. */
static bool
has_time_from (const struct scatter *scatter, int64_t at_us)
{
	int64_t needed_us = SCATTER_RETURN_LATENCY_FACTOR * quantile_get (&scatter->rule->latency,
								    SCATTER_HEDGE_PERCENTILE,
								    SCATTER_HEDGE_MIN_US);
	if (needed_us < SCATTER_RETURN_MIN_US)
		needed_us = SCATTER_RETURN_MIN_US;
	return at_us < scatter->deadline_us - needed_us;
}

/* False when it is known that cold targets take the shard too late. */
static bool
is_cold_turn_in_time (
	const struct scatter *scatter, const struct scatter_shard *shard, int64_t now_us)
{
	struct replica_criteria criteria = criteria_of (scatter, shard, false);
	int64_t wait_us =
		replica_cold_wait_us (shard->set, &criteria, shard->set->waiting_count, now_us);
	return wait_us == 0 || has_time_from (scatter, now_us + wait_us);
}

/*
 * Queues a shard until a target takes requests again, if it can still be answered in time then.
 * Otherwise its caller learns when to come back.
 */
static void
wait_for_return (struct scatter *scatter, struct scatter_shard *shard, int64_t now_us)
{
	int64_t first_us = return_us (scatter, shard, now_us);
	if (first_us != INT64_MAX && has_time_from (scatter, first_us) &&
		get_place (shard, now_us)) {
		enter_queue (scatter, shard, now_us);
		shard->return_us = first_us;
		shard->awaited_return = true;
		return;
	}
	refuse (scatter, shard, GIVE_UP_REFUSING, now_us);
}

/* A target that asked for no requests has not run the request, so it may be tried again later. */
static void
forget_refusing (struct scatter_shard *shard, int64_t now_us)
{
	int kept = 0;
	for (int i = 0; i < shard->tried_count; i++) {
		struct replica *replica = shard->tried[i];
		if (replica->busy_until_us <= now_us)
			shard->tried[kept++] = replica;
		else
			replica->tried_count--;
	}
	shard->tried_count = kept;
}

/* Sends the next sub-request of a shard, queues the shard, or gives it up. */
static void
try_shard (struct scatter *scatter, struct scatter_shard *shard, int64_t now_us)
{
	struct replica *replica = NULL;
	bool is_first = shard->tried_count == 0 && !shard->reached_target;
	if (shard->running == 0)
		forget_refusing (shard, now_us);
	if (!has_attempts_left (scatter, shard)) {
		give_up (scatter, shard, GIVE_UP_ATTEMPTS);
		return;
	}
	if (needs_confirmation (scatter, shard)) {
		shard->hedge_at_us = now_us;
		return;
	}
	switch (choose_for_shard (scatter, shard, false, now_us, &replica)) {
	case REPLICA_FOUND:
		if (shard->awaited_return && !has_time_from (scatter, now_us)) {
			give_up (scatter, shard, GIVE_UP_REFUSING);
			return;
		}
		budget_refill (&shard->set->extra, now_us);
		if (shard->reached_target && !budget_spend (&shard->set->extra)) {
			give_up (scatter, shard, GIVE_UP_NO_BUDGET);
			return;
		}
		if (is_first)
			budget_earn (&shard->set->extra, scatter->policy->extra_percent);
		else
			scatter->retries++;
		send_to (scatter, shard, replica, now_us);
		return;
	case REPLICA_BUSY:
		if (is_cold_turn_in_time (scatter, shard, now_us) && get_place (shard, now_us)) {
			enter_queue (scatter, shard, now_us);
			shard->return_us = return_us (scatter, shard, now_us);
		} else {
			refuse (scatter, shard, GIVE_UP_QUEUE_FULL, now_us);
		}
		return;
	case REPLICA_REFUSING:
		wait_for_return (scatter, shard, now_us);
		return;
	case REPLICA_NONE:
		give_up (scatter, shard, GIVE_UP_NO_TARGET);
		return;
	}
}

void
scatter_start (struct scatter *scatter, int64_t now_us)
{
	for (int i = 0; i < scatter->shard_count; i++) {
		if (!scatter->shards[i].remote)
			try_shard (scatter, &scatter->shards[i], now_us);
	}
	end_if_decided (scatter, now_us);
}

void
scatter_set_remote (struct scatter *scatter, int shard_index)
{
	scatter->shards[shard_index].remote = true;
}

static void
store_reply (struct scatter_shard *shard, const struct sub_answer *answer)
{
	clear_reply (shard);
	shard->http_status = answer->http_status;
	shard->stamp = xstrdup (answer->stamp);
	shard->content_type = xstrdup (answer->content_type);
	shard->leaving = answer->leaving ? xstrdup (answer->leaving) : NULL;
	shard->body = xmalloc (answer->body_len + 1);
	if (answer->body_len)
		memcpy (shard->body, answer->body, answer->body_len);
	shard->body_len = answer->body_len;
}

/* Keeps what may be in the merged answer. */
static void
keep_greatest (struct scatter_shard *shard, size_t top_k)
{
	size_t len = records_keep_greatest (shard->body, shard->body_len, top_k);
	if (len == shard->body_len)
		return;
	shard->body = xrealloc (shard->body, len + 1);
	shard->body[len] = '\0';
	shard->body_len = len;
}

/* An answer counts also after its shard was given up. */
static void
accept_answer (
	struct scatter *scatter, struct scatter_shard *shard, const struct sub_answer *answer)
{
	if (shard->answered)
		return;
	if (shard->closed)
		scatter->closed--;
	shard->closed = false;
	store_reply (shard, answer);
	if (is_fan_out (scatter))
		keep_greatest (shard, (size_t)scatter->rule->top_k);
	shard->answered = true;
	scatter->answered++;
	close_shard (scatter, shard);
}

void
scatter_remote_answered (struct scatter *scatter, int shard_index, const struct sub_answer *answer)
{
	struct scatter_shard *shard = &scatter->shards[shard_index];
	if (scatter->phase == SCATTER_DONE || !shard->remote)
		return;
	shard->remote = false;
	shard->may_have_run = true;
	accept_answer (scatter, shard, answer);
}

void
scatter_remote_given_up (
	struct scatter *scatter, int shard_index, enum give_up reason, bool may_have_run)
{
	struct scatter_shard *shard = &scatter->shards[shard_index];
	if (scatter->phase == SCATTER_DONE || !shard->remote)
		return;
	shard->remote = false;
	shard->may_have_run = may_have_run;
	give_up (scatter, shard, reason);
}

void
scatter_remote_failed (struct scatter *scatter, int shard_index, bool may_have_run, int64_t now_us)
{
	struct scatter_shard *shard = &scatter->shards[shard_index];
	if (scatter->phase == SCATTER_DONE || !shard->remote)
		return;
	shard->remote = false;
	shard->may_have_run = may_have_run;
	shard->reached_target = may_have_run;
	shard->attempts_used = may_have_run ? 1 : 0;
	try_shard (scatter, shard, now_us);
}

void
scatter_remote_done (struct scatter *scatter, int64_t now_us)
{
	end_if_decided (scatter, now_us);
}

static bool
may_try_again (const struct scatter *scatter, const struct scatter_shard *shard)
{
	return scatter->rule->idempotency == ROUTE_IDEMPOTENT || !shard->may_have_run;
}

void
scatter_sub_ended (struct scatter *scatter, int shard_index, enum sub_end end,
	const struct sub_answer *answer, int64_t now_us)
{
	struct scatter_shard *shard = &scatter->shards[shard_index];
	shard->running--;
	shard->reached_target = shard->reached_target || end != SUB_END_NOT_SENT;
	if (scatter->phase == SCATTER_DONE)
		return;
	switch (end) {
	case SUB_END_ANSWERED:
		shard->may_have_run = true;
		accept_answer (scatter, shard, answer);
		break;
	case SUB_END_STATUS:
		shard->may_have_run = true;
		if (!is_fan_out (scatter) && !shard->answered)
			store_reply (shard, answer);
		break;
	case SUB_END_NOT_SENT:
	case SUB_END_NOT_RUN:
		/* A sub-request that did not run uses up no attempt of the route. */
		shard->attempts_used--;
		break;
	case SUB_END_BROKEN:
		shard->may_have_run = true;
		break;
	}
	if (!shard->closed && shard->running == 0 && !shard->queued) {
		if (may_try_again (scatter, shard))
			try_shard (scatter, shard, now_us);
		else
			close_shard (scatter, shard);
	}
	end_if_decided (scatter, now_us);
}

/* With many nodes the burst of each is so small that a reserve would leave none for hedges. */
static int
retry_reserve (const struct budget *extra)
{
	if (extra->refill_tokens > 0)
		return 0;
	int64_t spare = extra->max_tokens / BUDGET_TOKENS_PER_EXTRA - SCATTER_HEDGE_MIN_BURST;
	if (spare < 0)
		return 0;
	return spare < SCATTER_RETRY_RESERVE ? (int)spare : SCATTER_RETRY_RESERVE;
}

static void
hedge (struct scatter *scatter, struct scatter_shard *shard, int64_t now_us)
{
	struct replica *replica = NULL;
	int64_t due_us = shard->hedge_at_us;
	shard->hedge_at_us = INT64_MAX;
	if (scatter->scope == SCATTER_SECTION && due_us + SCATTER_HEDGE_OVERDUE_US < now_us) {
		shard->no_hedge = NO_HEDGE_OVERDUE;
		return;
	}
	if (choose_for_shard (scatter, shard, true, now_us, &replica) != REPLICA_FOUND) {
		shard->no_hedge = NO_HEDGE_TARGET;
		return;
	}
	budget_refill (&shard->set->extra, now_us);
	if (!budget_spend_above (&shard->set->extra, retry_reserve (&shard->set->extra))) {
		shard->no_hedge = NO_HEDGE_BUDGET;
		return;
	}
	scatter->hedges++;
	send_to (scatter, shard, replica, now_us);
}

void
scatter_tick (struct scatter *scatter, int64_t now_us)
{
	for (int i = 0; i < scatter->shard_count && scatter->phase == SCATTER_RUNNING; i++) {
		struct scatter_shard *shard = &scatter->shards[i];
		if (shard->hedge_at_us > now_us || shard->closed ||
			needs_confirmation (scatter, shard))
			continue;
		if (shard->running > 0 || shard->queued) {
			hedge (scatter, shard, now_us);
		} else {
			shard->hedge_at_us = INT64_MAX;
			try_shard (scatter, shard, now_us);
		}
	}
	end_if_decided (scatter, now_us);
}

void
scatter_confirm (struct scatter *scatter, int64_t now_us)
{
	scatter->unconfirmed = false;
	scatter_tick (scatter, now_us);
}

bool
scatter_hedge_is_due (const struct scatter *scatter, int64_t now_us)
{
	for (int i = 0; i < scatter->shard_count; i++) {
		if (scatter->shards[i].hedge_at_us <= now_us && !scatter->shards[i].closed)
			return true;
	}
	return false;
}

int64_t
scatter_wake_us (const struct scatter *scatter)
{
	int64_t wake_us = scatter->deadline_us;
	if (scatter->scope == SCATTER_WHOLE && is_fan_out (scatter) &&
		scatter->answered >= scatter->min_shards && scatter->partial_us < wake_us)
		wake_us = scatter->partial_us;
	for (int i = 0; i < scatter->shard_count; i++) {
		const struct scatter_shard *shard = &scatter->shards[i];
		if (shard->hedge_at_us < wake_us)
			wake_us = shard->hedge_at_us;
		if (shard->queued && shard->return_us < wake_us)
			wake_us = shard->return_us;
	}
	return wake_us;
}

bool
scatter_has_returned (const struct scatter *scatter, int64_t now_us)
{
	for (int i = 0; i < scatter->shard_count; i++) {
		if (scatter->shards[i].queued && scatter->shards[i].return_us <= now_us)
			return true;
	}
	return false;
}

void
scatter_serve_returned (struct scatter *scatter, int64_t now_us)
{
	int count = 0;
	struct replica_set **sets =
		xcalloc ((size_t)scatter->shard_count, sizeof (struct replica_set *));
	for (int i = 0; i < scatter->shard_count; i++) {
		struct scatter_shard *shard = &scatter->shards[i];
		if (!shard->queued || shard->return_us > now_us)
			continue;
		/* If it stays queued, the end of a sub-request or another return serves it. */
		shard->return_us = return_us (scatter, shard, now_us);
		sets[count++] = shard->set;
	}
	for (int i = 0; i < count; i++)
		scatter_serve_waiting (sets[i], now_us);
	free (sets);
}

/*
 * Lets a queued shard wait until the first target takes requests again; false if that is too late.
 * It may have been queued because targets were full, and all have asked for no requests since.
 */
static bool
await_return (struct scatter_shard *shard, int64_t now_us)
{
	struct scatter *scatter = shard->scatter;
	int64_t first_us = return_us (scatter, shard, now_us);
	if (!has_time_from (scatter, first_us))
		return false;
	shard->awaited_return = true;
	if (first_us == shard->return_us)
		return true;
	shard->return_us = first_us;
	scatter->hooks->rearm (scatter);
	return true;
}

/* The first shard in the queue that can be sent or given up; NULL if there is none. */
static struct scatter_shard *
next_to_serve (struct replica_set *set, int64_t now_us)
{
	struct scatter_shard *shard;
	fair_queue_order (set, now_us);
	cds_list_for_each_entry (shard, &set->waiting, node) {
		struct replica *replica = NULL;
		switch (choose_for_shard (shard->scatter, shard, false, now_us, &replica)) {
		case REPLICA_BUSY:
			return NULL;
		case REPLICA_REFUSING:
			/* Another shard may not have tried the target that this one has. */
			if (!await_return (shard, now_us))
				return shard;
			break;
		case REPLICA_FOUND:
		case REPLICA_NONE:
			return shard;
		}
	}
	return NULL;
}

void
scatter_serve_waiting (struct replica_set *set, int64_t now_us)
{
	struct scatter_shard *shard;
	while ((shard = next_to_serve (set, now_us))) {
		int64_t waited_us = now_us - shard->queued_us;
		if (waited_us > shard->scatter->waited_us)
			shard->scatter->waited_us = waited_us;
		leave_queue (shard);
		try_shard (shard->scatter, shard, now_us);
		end_if_decided (shard->scatter, now_us);
	}
}

static int
compare_records (const void *a, const void *b)
{
	return memcmp (*(const char *const *)b, *(const char *const *)a, RECORD_BYTES);
}

static bool
is_merged (const struct scatter_shard *shard, bool unreported_only)
{
	return shard->answered && !(unreported_only && shard->reported);
}

static char *
merge_records (const struct scatter *scatter, bool unreported_only, size_t *len)
{
	size_t count = 0;
	for (int i = 0; i < scatter->shard_count; i++) {
		if (is_merged (&scatter->shards[i], unreported_only))
			count += scatter->shards[i].body_len / RECORD_BYTES;
	}
	const char **records = xcalloc (count + 1, sizeof (*records));
	size_t at = 0;
	for (int i = 0; i < scatter->shard_count; i++) {
		const struct scatter_shard *shard = &scatter->shards[i];
		size_t shard_records =
			is_merged (shard, unreported_only) ? shard->body_len / RECORD_BYTES : 0;
		for (size_t j = 0; j < shard_records; j++)
			records[at++] = shard->body + j * RECORD_BYTES;
	}
	qsort (records, count, sizeof (*records), compare_records);
	if (count > (size_t)scatter->rule->top_k)
		count = (size_t)scatter->rule->top_k;
	char *out = xmalloc (count * RECORD_BYTES + 1);
	for (size_t i = 0; i < count; i++)
		memcpy (out + i * RECORD_BYTES, records[i], RECORD_BYTES);
	free (records);
	*len = count * RECORD_BYTES;
	return out;
}

char *
scatter_merge (const struct scatter *scatter, size_t *len)
{
	return merge_records (scatter, false, len);
}

char *
scatter_merge_unreported (const struct scatter *scatter, size_t *len)
{
	return merge_records (scatter, true, len);
}
