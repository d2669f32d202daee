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
	recent_init (&follower->recent);
	follower->next_us = now_us;
	/* An answer to an earlier process of this address must not pass for one to this process. */
	follower->seq = settings->self.incarnation >> 1;
	CDS_INIT_LIST_HEAD (&follower->outbox);
	add_seeds (follower);
	/* Nodes start with different voters, so that their polls spread. */
	if (follower->voter_count > 0)
		follower->voter =
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
		wire_finish (&outgoing->wire);
		free (outgoing);
	}
	state_finish (&follower->state);
	recent_finish (&follower->recent);
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
	follower->next_us = now_us;
}

static void
send_poll (struct follower *follower, int64_t now_us)
{
	struct wire wire = {.kind = WIRE_POLL};
	struct poll *poll = &wire.u.poll.poll;
	struct peer_route route = peer_route_to_address (follower->voters[follower->voter]);
	*poll = follower->settings.self;
	poll->applied = follower->state.applied;
	poll->acting = follower->acting;
	poll->released = follower->released;
	if (follower->hold_count > 0 && follower->holds[0].reported < poll->released)
		poll->released = follower->holds[0].reported;
	poll->leaving_work = follower->leaving_work;
	poll->roster = follower->roster.stamp;
	poll->leaving = follower->leaving;
	poll->gone = follower->gone;
	wire.u.poll.seq = ++follower->seq;
	outbox_add (&follower->outbox, &route, &wire);
	follower->sent_us = now_us;
	follower->next_us = now_us + follower->settings.poll_us;
	/* Owners that wait for an epoch to settle hear of it sooner. */
	if (follower->settled < follower->state.epoch || follower->hold_count > 0)
		follower->next_us = now_us + FOLLOWER_HURRY_US;
}

void
follower_tick (struct follower *follower, int64_t now_us)
{
	if (follower->voter_count == 0)
		return;
	bool unanswered = follower->sent_us != 0;
	int64_t try_us = FOLLOWER_TRY_US;
	if (follower->state.applied == 0)
		try_us = (int64_t)FOLLOWER_FIRST_TRY_US << follower->tries;
	if (unanswered && follower->sent_us + try_us > now_us)
		return;
	if (unanswered) {
		follower->voter = (follower->voter + 1) % follower->voter_count;
		if (follower->tries < FOLLOWER_TRIES_MAX)
			follower->tries++;
		send_poll (follower, now_us);
	} else if (follower->next_us <= now_us) {
		send_poll (follower, now_us);
	}
}

static void
apply_change (struct follower *follower, const struct wire_change *change)
{
	struct state_result result;
	state_apply (&follower->state, change->index, change->data, change->len, &result);
	recent_add (&follower->recent, change->index, change->data, change->len,
		result.kind == COMMAND_ROUTING);
}

/* Decodes on the side first, so that a malformed snapshot leaves the state as it is. */
static bool
load_snapshot (struct follower *follower, const struct poll_reply *reply)
{
	struct state trial;
	state_init (&trial);
	bool ok = state_decode (&trial, reply->snapshot, reply->snapshot_len);
	state_finish (&trial);
	if (!ok || !state_decode (&follower->state, reply->snapshot, reply->snapshot_len))
		return false;
	recent_reset (&follower->recent, follower->state.applied);
	return true;
}

/* The voters of the reply replace the list; seeds stay behind them for when all have moved. */
static void
take_voters (struct follower *follower, const struct poll_reply *reply)
{
	char current[64];
	if (reply->voter_count == 0)
		return;
	str_copy (current, sizeof (current), follower->voters[follower->voter]);
	follower->voter_count = 0;
	follower->voter = 0;
	for (int i = 0; i < reply->voter_count; i++)
		add_address (follower, reply->voters[i], strlen (reply->voters[i]));
	add_seeds (follower);
	for (int i = 0; i < follower->voter_count; i++) {
		if (strcmp (follower->voters[i], current) == 0)
			follower->voter = i;
	}
}

static void
hold_release (struct follower *follower, uint64_t reported, uint64_t until)
{
	int at = follower->hold_count;
	if (at == FOLLOWER_HOLDS) {
		follower->holds[at - 1].until = until;
		return;
	}
	follower->holds[at] = (struct follower_hold){reported, until};
	follower->hold_count++;
}

static void
end_holds (struct follower *follower)
{
	int kept = 0;
	for (int i = 0; i < follower->hold_count; i++) {
		if (kept > 0 || follower->in_force < follower->holds[i].until)
			follower->holds[kept++] = follower->holds[i];
	}
	follower->hold_count = kept;
}

static bool
apply_reply (struct follower *follower, const struct poll_reply *reply)
{
	uint64_t epoch = follower->state.epoch;
	uint64_t applied = follower->state.applied;
	if (reply->revision < applied)
		return false;
	/* Meant for an earlier process of this address, which knew more. */
	if (reply->snapshot_len == 0 && reply->since > applied)
		return false;
	if (reply->snapshot_len > 0 && !load_snapshot (follower, reply))
		return false;
	for (int i = 0; i < reply->change_count; i++) {
		if (reply->changes[i].index > follower->state.applied)
			apply_change (follower, &reply->changes[i]);
	}
	if (reply->snapshot_len > 0 || reply->change_count > 1)
		hold_release (follower, applied, follower->state.epoch);
	follower->state.applied = reply->revision;
	return follower->state.epoch != epoch || reply->snapshot_len > 0;
}

/*
 * An answer that comes after the next poll was sent carries no lease, but what it says of the
 * accepted state is true all the same. Large states come late when all nodes start together; were
 * they dropped, each new poll would only ask for another copy.
 */
static bool
receive_late (struct follower *follower, const struct poll_reply *reply, int64_t now_us)
{
	roster_take (&follower->roster, &reply->roster, now_us);
	return reply->revision > follower->state.applied && apply_reply (follower, reply);
}

bool
follower_receive (struct follower *follower, const struct poll_reply *reply, int64_t now_us)
{
	follower->tries = 0;
	if (reply->seq != follower->seq || follower->sent_us == 0)
		return receive_late (follower, reply, now_us);
	int64_t sent_us = follower->sent_us;
	follower->sent_us = 0;
	take_voters (follower, reply);
	roster_take (&follower->roster, &reply->roster, now_us);
	if (follower->gone)
		follower->gone_acknowledged = reply->seq;
	if (reply->revision < follower->state.applied)
		return false;
	bool changed = apply_reply (follower, reply);
	if (follower->state.applied != reply->revision)
		return changed;
	int64_t length = follower->settings.lease_us -
			 follower->settings.lease_us * FOLLOWER_DRIFT_PERCENT / 100;
	if (reply->granted && sent_us + length > follower->lease_until_us)
		follower->lease_until_us = sent_us + length;
	if (reply->settled > follower->settled)
		follower->settled = reply->settled;
	if (reply->in_force > follower->in_force)
		follower->in_force = reply->in_force;
	end_holds (follower);
	follower->all_leaving_work = reply->leaving_work;
	follower->node_count = reply->node_count;
	return changed;
}
