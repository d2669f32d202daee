#include "control/follower.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>

static void
add_address (struct follower *follower, const char *address, size_t len)
{
	if (len == 0 || len >= 64 || follower->voter_count == WIRE_MAX_VOTERS * 2)
		return;
	char *entry = follower->voters[follower->voter_count];
	memcpy (entry, address, len);
	entry[len] = '\0';
	for (int i = 0; i < follower->voter_count; i++) {
		if (strcmp (follower->voters[i], entry) == 0)
			return;
	}
	follower->voter_count++;
}

static void
add_seeds (struct follower *follower)
{
	const char *at = follower->settings.seeds;
	while (*at) {
		at += strspn (at, ", ");
		size_t len = strcspn (at, ", ");
		add_address (follower, at, len);
		at += len;
	}
}

void
follower_init (struct follower *follower, const struct follower_settings *settings, int64_t now_us)
{
	memset (follower, 0, sizeof (*follower));
	follower->settings = *settings;
	state_init (&follower->state);
	history_init (&follower->history);
	follower->started_us = follower->next_poll_us = now_us;
	/* Random, so that no reply to an earlier process here counts as a reply to this one. */
	follower->seq = settings->self.incarnation >> 1;
	CDS_INIT_LIST_HEAD (&follower->outbox);
	add_seeds (follower);
	/* Nodes start with different voters, which spreads their polls. */
	if (follower->voter_count > 0)
		follower->polled_voter =
			(int)(settings->self.incarnation % (uint64_t)follower->voter_count);
}

void
follower_seeds_changed (struct follower *follower)
{
	add_seeds (follower);
}

void
follower_finish (struct follower *follower)
{
	struct outgoing_message *outgoing;
	while ((outgoing = outbox_take (&follower->outbox))) {
		control_message_finish (&outgoing->message);
		free (outgoing);
	}
	state_finish (&follower->state);
	history_finish (&follower->history);
	roster_finish (&follower->roster);
}

bool
follower_has_lease (const struct follower *follower, int64_t now_us)
{
	return now_us < follower->lease_until_us;
}

void
follower_poll_soon (struct follower *follower, int64_t now_us)
{
	follower->next_poll_us = now_us;
}

/* After a start of everything, a node may get its state before the leader has read the list. */
static bool
waits_for_list (const struct follower *follower, int64_t now_us)
{
	return follower->state.applied > 0 && follower->roster.stamp == 0 &&
	       now_us < follower->started_us + FOLLOWER_LIST_WAIT_US;
}

static int64_t
poll_interval_us (const struct follower *follower, int64_t now_us)
{
	/* New owners cannot start work before the epoch has settled, so the node polls faster. */
	if (follower->settled < follower->state.epoch || follower->withheld_count > 0 ||
		!follower_has_lease (follower, now_us))
		return FOLLOWER_FAST_POLL_US;
	if (waits_for_list (follower, now_us) && FOLLOWER_LIST_POLL_US < follower->settings.poll_us)
		return FOLLOWER_LIST_POLL_US;
	if (follower->settings.rollout_poll_us > 0 &&
		follower->settings.rollout_poll_us < follower->settings.poll_us &&
		rollouts_any_active (&follower->state.rollouts))
		return follower->settings.rollout_poll_us;
	return follower->settings.poll_us;
}

static void
send_poll (struct follower *follower, int64_t now_us)
{
	struct control_message message = {.kind = CONTROL_MESSAGE_POLL};
	struct poll *poll = &message.u.poll.poll;
	struct peer_route route = peer_route_to_address (follower->voters[follower->polled_voter]);
	*poll = follower->settings.self;
	poll->applied = follower->state.applied;
	poll->reconciled = follower->reconciled;
	poll->released = follower->released;
	if (follower->withheld_count > 0 &&
		follower->withheld[0].reported_revision < poll->released)
		poll->released = follower->withheld[0].reported_revision;
	poll->leaving_work = follower->leaving_work;
	poll->old_work = follower->old_work;
	poll->rollouts = follower->rollouts;
	poll->roster_stamp = follower->roster.stamp;
	poll->leaving = follower->leaving;
	poll->exiting = follower->exiting;
	message.u.poll.seq = ++follower->seq;
	outbox_add (&follower->outbox, &route, &message);
	follower->sent_us = now_us;
	follower->next_poll_us = now_us + poll_interval_us (follower, now_us);
}

void
follower_tick (struct follower *follower, int64_t now_us)
{
	if (follower->voter_count == 0)
		return;
	bool unanswered = follower->sent_us != 0;
	int64_t retry_us = FOLLOWER_RETRY_US;
	if (follower->state.applied == 0)
		retry_us = (int64_t)FOLLOWER_FIRST_RETRY_US << follower->unanswered_polls;
	if (unanswered && follower->sent_us + retry_us > now_us)
		return;
	if (unanswered) {
		follower->polled_voter = (follower->polled_voter + 1) % follower->voter_count;
		if (follower->unanswered_polls < FOLLOWER_RETRY_DOUBLINGS_MAX)
			follower->unanswered_polls++;
		send_poll (follower, now_us);
	} else if (follower->next_poll_us <= now_us) {
		send_poll (follower, now_us);
	}
}

static void
apply_change (struct follower *follower, const struct wire_change *change)
{
	struct state_result result;
	state_apply (&follower->state, change->index, change->data, change->len, &result);
	history_add (&follower->history, change->index, change->data, change->len,
		result.kind == COMMAND_ROUTING);
}

/* Decodes into a trial state first, so that a malformed snapshot leaves the state unchanged. */
static bool
load_snapshot (struct follower *follower, const struct poll_reply *reply)
{
	struct state trial;
	state_init (&trial);
	bool ok = state_decode (&trial, reply->snapshot, reply->snapshot_len);
	state_finish (&trial);
	if (!ok || !state_decode (&follower->state, reply->snapshot, reply->snapshot_len))
		return false;
	history_reset (&follower->history, follower->state.applied);
	return true;
}

/* Lists the voters of the reply and then the seeds, in case all voters have moved. */
static void
update_voters (struct follower *follower, const struct poll_reply *reply)
{
	char current[64];
	if (reply->voter_count == 0)
		return;
	str_copy (current, sizeof (current), follower->voters[follower->polled_voter]);
	follower->voter_count = 0;
	follower->polled_voter = 0;
	for (int i = 0; i < reply->voter_count; i++)
		add_address (follower, reply->voters[i], strlen (reply->voters[i]));
	add_seeds (follower);
	for (int i = 0; i < follower->voter_count; i++) {
		if (strcmp (follower->voters[i], current) == 0)
			follower->polled_voter = i;
	}
}

static void
withhold_release (struct follower *follower, uint64_t reported_revision, uint64_t until_epoch)
{
	int at = follower->withheld_count;
	if (at == FOLLOWER_WITHHELD_MAX) {
		follower->withheld[at - 1].until_epoch = until_epoch;
		return;
	}
	follower->withheld[at] = (struct withheld_release){reported_revision, until_epoch};
	follower->withheld_count++;
}

static void
report_withheld (struct follower *follower)
{
	int kept = 0;
	for (int i = 0; i < follower->withheld_count; i++) {
		if (kept > 0 || follower->in_force < follower->withheld[i].until_epoch)
			follower->withheld[kept++] = follower->withheld[i];
	}
	follower->withheld_count = kept;
}

static bool
apply_reply (struct follower *follower, const struct poll_reply *reply)
{
	uint64_t epoch = follower->state.epoch;
	uint64_t applied = follower->state.applied;
	if (reply->revision < applied)
		return false;
	/* A reply to an earlier process at this address, which had a newer revision. */
	if (reply->snapshot_len == 0 && reply->since_revision > applied)
		return false;
	if (reply->snapshot_len > 0 && !load_snapshot (follower, reply))
		return false;
	for (int i = 0; i < reply->change_count; i++) {
		if (reply->changes[i].index > follower->state.applied)
			apply_change (follower, &reply->changes[i]);
	}
	if (reply->snapshot_len > 0 || reply->change_count > 1)
		withhold_release (follower, applied, follower->state.epoch);
	follower->state.applied = reply->revision;
	return follower->state.epoch != epoch || reply->snapshot_len > 0;
}

/*
 * A reply that arrives after the next poll was sent grants no lease, but its committed state is
 * still valid. Large states arrive late when all nodes start together; if they were dropped, each
 * new poll would only request another copy.
 */
static bool
receive_late (struct follower *follower, const struct poll_reply *reply, int64_t now_us)
{
	roster_apply (&follower->roster, &reply->roster, now_us);
	return reply->revision > follower->state.applied && apply_reply (follower, reply);
}

bool
follower_receive (struct follower *follower, const struct poll_reply *reply, int64_t now_us)
{
	follower->unanswered_polls = 0;
	if (reply->seq != follower->seq || follower->sent_us == 0)
		return receive_late (follower, reply, now_us);
	int64_t sent_us = follower->sent_us;
	follower->sent_us = 0;
	update_voters (follower, reply);
	roster_apply (&follower->roster, &reply->roster, now_us);
	if (follower->exiting)
		follower->exit_acknowledged_seq = reply->seq;
	if (reply->revision < follower->state.applied)
		return false;
	bool changed = apply_reply (follower, reply);
	if (follower->state.applied != reply->revision)
		return changed;
	int64_t length = follower->settings.lease_us -
			 follower->settings.lease_us * FOLLOWER_CLOCK_DRIFT_PERCENT / 100;
	if (reply->lease_granted && sent_us + length > follower->lease_until_us)
		follower->lease_until_us = sent_us + length;
	if (reply->settled > follower->settled)
		follower->settled = reply->settled;
	if (reply->in_force > follower->in_force)
		follower->in_force = reply->in_force;
	report_withheld (follower);
	follower->total_leaving_work = reply->leaving_work;
	follower->node_count = reply->node_count;
	return changed;
}
