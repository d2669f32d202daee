#include "control/voter.h"

#include "control/leader.h"
#include "core/buf.h"
#include "core/metrics.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void
voter_init (struct voter *voter, const struct voter_settings *settings,
	const struct raft_times *times, uint64_t seed, int64_t now_us)
{
	memset (voter, 0, sizeof (*voter));
	voter->settings = *settings;
	raft_init (&voter->raft, settings->disk_id, times, seed, now_us);
	state_init (&voter->state);
	grants_init (&voter->grants);
	history_init (&voter->history);
	rollout_judge_init (&voter->rollouts);
	CDS_INIT_LIST_HEAD (&voter->polls);
	CDS_INIT_LIST_HEAD (&voter->proposals);
	CDS_INIT_LIST_HEAD (&voter->outbox);
}

static void
free_poll (struct waiting_poll *waiting)
{
	cds_list_del (&waiting->node);
	free (waiting->polls);
	free (waiting);
}

void
voter_finish (struct voter *voter)
{
	struct waiting_poll *poll;
	struct waiting_poll *next_poll;
	cds_list_for_each_entry_safe (poll, next_poll, &voter->polls, node)
		free_poll (poll);
	struct waiting_proposal *proposal;
	struct waiting_proposal *next;
	cds_list_for_each_entry_safe (proposal, next, &voter->proposals, node)
		free (proposal);
	struct outgoing_message *outgoing;
	while ((outgoing = outbox_take (&voter->outbox))) {
		control_message_finish (&outgoing->message);
		free (outgoing);
	}
	raft_finish (&voter->raft);
	state_finish (&voter->state);
	grants_finish (&voter->grants);
	history_finish (&voter->history);
	roster_finish (&voter->roster);
	rollout_judge_finish (&voter->rollouts);
}

void
voter_set_roster (struct voter *voter, const void *data, size_t len, int64_t now_us)
{
	if (voter->raft.role == RAFT_LEADER)
		roster_set (&voter->roster, voter->raft.term, data, len, now_us);
}

bool
voter_restore_state (struct voter *voter)
{
	const struct raft *raft = &voter->raft;
	if (raft->snapshot_index == 0)
		return true;
	if (!state_decode (&voter->state, raft->snapshot, raft->snapshot_len))
		return false;
	voter->state.applied = raft->snapshot_index;
	history_reset (&voter->history, raft->snapshot_index);
	return true;
}

static const char *
leader_address (const struct voter *voter)
{
	const struct raft_node *node = raft_find_node (&voter->raft, voter->raft.leader);
	return node ? node->address : "";
}

static bool
is_leader (const struct voter *voter)
{
	return voter->raft.role == RAFT_LEADER;
}

static void
send_propose_reply (struct voter *voter, const struct peer_route *route, uint64_t id,
	enum propose_status status, const struct state_result *result)
{
	struct control_message message = {.kind = CONTROL_MESSAGE_PROPOSE_REPLY};
	struct propose_reply *reply = &message.u.propose_reply;
	reply->id = id;
	reply->status = status;
	str_copy (reply->leader, sizeof (reply->leader), leader_address (voter));
	if (result) {
		reply->result = *result;
		reply->body = result->claim.body ? xstrdup (result->claim.body) : NULL;
		reply->result.claim.body = NULL;
	}
	outbox_add (&voter->outbox, route, &message);
}

uint64_t
voter_propose (struct voter *voter, struct command *command, const struct peer_route *route,
	uint64_t id, int64_t now_us)
{
	command->log_time_ms = voter->wall_ms;
	size_t len = 0;
	void *data = command_encode (command, &len);
	uint64_t index = raft_propose (&voter->raft, RAFT_COMMAND, data, len, now_us);
	free (data);
	if (index == 0 || !route)
		return index;
	struct waiting_proposal *waiting = xcalloc (1, sizeof (*waiting));
	waiting->index = index;
	waiting->term = voter->raft.term;
	waiting->id = id;
	waiting->route = *route;
	waiting->reply = true;
	cds_list_add_tail (&waiting->node, &voter->proposals);
	return index;
}

uint64_t
voter_first_id (const char *address)
{
	return XXH64 (address, strlen (address), 0) | 1;
}

static int
compare_addresses (const void *a, const void *b)
{
	const struct raft_node *x = a;
	const struct raft_node *y = b;
	return strcmp (x->address, y->address);
}

void
voter_first_config (const char *seeds, int max_voters, struct raft_config *config)
{
	memset (config, 0, sizeof (*config));
	for (const char *at = seeds; *at && config->count < RAFT_MAX_NODES;) {
		size_t len = strcspn (at, ",");
		struct raft_node *node = &config->nodes[config->count];
		if (len > 0 && len < sizeof (node->address)) {
			memcpy (node->address, at, len);
			node->id = voter_first_id (node->address);
			node->voter = true;
			config->count++;
		}
		at += len + (at[len] == ',');
	}
	qsort (config->nodes, (size_t)config->count, sizeof (*config->nodes), compare_addresses);
	if (config->count > max_voters)
		config->count = max_voters;
	for (int i = config->count; i < RAFT_MAX_NODES; i++)
		memset (&config->nodes[i], 0, sizeof (config->nodes[i]));
}

int
voters_for_disk_losses (int losses)
{
	int voters = 2 * losses + 1;
	return voters < VOTERS_MAX ? voters : VOTERS_MAX;
}

/* With too few voters, accepted orders could be lost together with some of the disks. */
static bool
is_cluster_forming (const struct voter *voter, int64_t now_us)
{
	int voters = raft_voter_count (&voter->raft.config);
	bool early = voter->raft.leader_since_us + voter->settings.formation_timeout_us > now_us;
	return voter->state.routing.version == 0 &&
	       (voters < voter->settings.min_voters ||
		       (early && voters < voter->settings.formation_voters));
}

static void
receive_propose (struct voter *voter, const struct peer_route *from,
	const struct control_message *message, int64_t now_us)
{
	struct command command;
	uint64_t id = message->u.propose.id;
	if (!is_leader (voter)) {
		send_propose_reply (voter, from, id, PROPOSE_NOT_LEADER, NULL);
		return;
	}
	void *storage = command_decode (&command, message->u.propose.data, message->u.propose.len);
	if (!storage) {
		send_propose_reply (voter, from, id, PROPOSE_REFUSED, NULL);
		return;
	}
	bool order = command.kind == COMMAND_ROUTING ||
		     command.kind == COMMAND_DATA_CENTRE_LEAVING ||
		     command.kind == COMMAND_ROLLOUT_START;
	if (order && is_cluster_forming (voter, now_us))
		send_propose_reply (voter, from, id, PROPOSE_NOT_LEADER, NULL);
	else
		voter_propose (voter, &command, from, id, now_us);
	command_decode_finish (storage);
}

static void
record_poll (struct voter *voter, const struct poll *poll, int64_t now_us)
{
	grants_record_poll (&voter->grants, poll, now_us);
	rollout_judge_record (&voter->rollouts, &voter->state.rollouts, poll->incarnation,
		&poll->rollouts, now_us);
}

static struct waiting_poll *
add_waiting_poll (struct voter *voter, const struct peer_route *from, uint64_t seq,
	struct poll *polls, int count, int64_t now_us)
{
	struct waiting_poll *waiting = xcalloc (1, sizeof (*waiting));
	waiting->route = *from;
	waiting->seq = seq;
	waiting->polls = polls;
	waiting->count = count;
	waiting->arrived_us = now_us;
	/* Only a round that starts after the poll arrived proves leadership for it. */
	waiting->required_round = voter->raft.round + 1;
	cds_list_add_tail (&waiting->node, &voter->polls);
	if (is_leader (voter)) {
		for (int i = 0; i < count; i++)
			record_poll (voter, &polls[i], now_us);
	}
	return waiting;
}

static void
receive_relay (struct voter *voter, const struct peer_route *from, struct control_message *message,
	int64_t now_us)
{
	if (!is_leader (voter))
		return;
	struct waiting_poll *waiting = add_waiting_poll (voter, from, message->u.relay.seq,
		message->u.relay.polls, message->u.relay.count, now_us);
	waiting->relay = true;
	waiting->roster_stamp = message->u.relay.roster_stamp;
	message->u.relay.polls = NULL;
	message->u.relay.count = 0;
}

static void
receive_relay_reply (struct voter *voter, const struct relay_reply *reply, int64_t now_us)
{
	struct waiting_poll *waiting;
	roster_apply (&voter->roster, &reply->roster, now_us);
	if (reply->seq == voter->relay_seq)
		voter->relay_sent_us = 0;
	cds_list_for_each_entry (waiting, &voter->polls, node) {
		if (waiting->relay_seq != reply->seq || waiting->leader_answered)
			continue;
		waiting->leader_answered = true;
		waiting->answer = *reply;
		waiting->answer.roster = (struct roster_update){0};
	}
}

/*
 * Moves the log's messages to the outbox. A new learner has no addresses yet, so a reply is sent
 * over the connection on which the request arrived.
 */
static void
send_raft_messages (struct voter *voter, const struct peer_route *reply)
{
	struct raft_message *message;
	struct raft_message *next;
	cds_list_for_each_entry_safe (message, next, &voter->raft.outbox, node) {
		const struct raft_node *node = raft_find_node (&voter->raft, message->to);
		cds_list_del (&message->node);
		if (!reply && !node) {
			raft_message_free (message);
			continue;
		}
		struct peer_route route = reply ? *reply : peer_route_to_address (node->address);
		struct control_message outgoing = {.kind = CONTROL_MESSAGE_RAFT, .u.raft = message};
		outbox_add (&voter->outbox, &route, &outgoing);
	}
}

static void
receive_raft (struct voter *voter, const struct peer_route *from,
	const struct raft_message *message, int64_t now_us)
{
	bool request = message->type == RAFT_PREVOTE || message->type == RAFT_VOTE ||
		       message->type == RAFT_APPEND || message->type == RAFT_SNAPSHOT;
	send_raft_messages (voter, NULL);
	raft_receive (&voter->raft, message, now_us);
	/* Handling a request adds no message but the reply. */
	send_raft_messages (voter, request ? from : NULL);
}

void
voter_receive (struct voter *voter, const struct peer_route *from, struct control_message *message,
	int64_t now_us)
{
	switch (message->kind) {
	case CONTROL_MESSAGE_RAFT:
		receive_raft (voter, from, message->u.raft, now_us);
		return;
	case CONTROL_MESSAGE_POLL:
		add_waiting_poll (voter, from, message->u.poll.seq,
			xmemdup (&message->u.poll.poll, sizeof (struct poll)), 1, now_us);
		return;
	case CONTROL_MESSAGE_RELAY:
		receive_relay (voter, from, message, now_us);
		return;
	case CONTROL_MESSAGE_RELAY_REPLY:
		receive_relay_reply (voter, &message->u.relay_reply, now_us);
		return;
	case CONTROL_MESSAGE_PROPOSE:
		receive_propose (voter, from, message, now_us);
		return;
	case CONTROL_MESSAGE_POLL_REPLY:
	case CONTROL_MESSAGE_PROPOSE_REPLY:
	case CONTROL_MESSAGE_KIND_COUNT:
		return;
	}
}

static void
add_voters (const struct voter *voter, struct poll_reply *reply)
{
	const struct raft_config *config = &voter->raft.config;
	for (int i = 0; i < config->count && reply->voter_count < WIRE_MAX_VOTERS; i++) {
		if (config->nodes[i].voter)
			str_copy (
				reply->voters[reply->voter_count++], 64, config->nodes[i].address);
	}
}

/* Adds the changes that the node lacks, or the complete state when the history lacks them. */
static void
add_missing_changes (const struct voter *voter, struct poll_reply *reply, uint64_t applied)
{
	reply->revision = voter->state.applied;
	reply->since_revision = applied;
	if (applied >= voter->state.applied)
		return;
	int64_t position = history_first (&voter->history, applied);
	if (position < 0) {
		reply->snapshot = state_encode (&voter->state, false, &reply->snapshot_len);
		return;
	}
	const struct history_command *command = NULL;
	reply->changes =
		xcalloc (voter->history.count - (uint64_t)position, sizeof (*reply->changes));
	while ((command = history_at (&voter->history, position++))) {
		if (command->len == 0)
			continue;
		struct wire_change *change = &reply->changes[reply->change_count++];
		change->index = command->index;
		change->data = xmemdup (command->data, command->len);
		change->len = command->len;
	}
}

/*
 * With exclusive names, a new leader need not wait for the leases of the previous one, as it knows
 * all who may have them from the members; see old_leases_are_accounted_for() in leader.c. So a
 * process gets no lease before it is one.
 */
static bool
may_have_lease (const struct voter *voter, const struct poll *poll)
{
	const struct member *member = members_find (&voter->state.members, poll->name);
	return !voter->settings.exclusive_names ||
	       (member && member->incarnation == poll->incarnation);
}

static void
answer_poll (struct voter *voter, const struct waiting_poll *waiting,
	const struct relay_reply *answer, int64_t now_us)
{
	const struct poll *poll = &waiting->polls[0];
	struct control_message message = {.kind = CONTROL_MESSAGE_POLL_REPLY};
	struct poll_reply *reply = &message.u.poll_reply;
	reply->seq = waiting->seq;
	/* No lease for a follower with a newer revision: this voter lags behind it. */
	reply->lease_granted = !poll->exiting && poll->applied <= voter->state.applied &&
			       may_have_lease (voter, poll);
	reply->settled = answer->settled;
	reply->in_force = answer->in_force;
	reply->leaving_work = answer->leaving_work;
	reply->node_count = answer->node_count;
	add_voters (voter, reply);
	add_missing_changes (voter, reply, poll->applied);
	reply->roster = roster_make_update (&voter->roster, poll->roster_stamp, now_us);
	outbox_add (&voter->outbox, &waiting->route, &message);
}

static int64_t
lease_grant_us (const struct voter *voter)
{
	return voter->settings.lease_us + VOTER_LEASE_GRACE_US +
	       voter->settings.lease_us * VOTER_CLOCK_DRIFT_PERCENT / 100;
}

/*
 * A leader grants leases only once its first entry is committed, which the logs of all later
 * leaders then hold. So the leader whose first entry follows the first configuration is the first
 * one.
 */
static bool
is_first_leader (const struct voter *voter)
{
	return voter->raft.term_start_index == RAFT_FIRST_CONFIG_INDEX + 1;
}

/* Leases of the previous leader may last until then, so nothing settles before. */
bool
voter_old_leases_expired (const struct voter *voter, int64_t now_us)
{
	return is_leader (voter) &&
	       (is_first_leader (voter) || voter->accounted_term == voter->raft.term ||
		       now_us > voter->raft.leader_since_us + lease_grant_us (voter));
}

static struct relay_reply
summarise_grants (struct voter *voter, int64_t now_us)
{
	struct relay_reply answer = {.commit = voter->raft.commit};
	struct grants_summary summary =
		grants_summarise (&voter->grants, voter->state.applied, now_us);
	answer.leaving_work = summary.leaving_work;
	answer.node_count = summary.node_count;
	if (voter_old_leases_expired (voter, now_us)) {
		answer.settled = summary.settled;
		answer.in_force = summary.in_force;
		voter->in_force = summary.in_force;
	}
	return answer;
}

static void
answer_relay (struct voter *voter, const struct waiting_poll *waiting, struct relay_reply answer,
	int64_t now_us)
{
	struct control_message message = {.kind = CONTROL_MESSAGE_RELAY_REPLY};
	answer.seq = waiting->seq;
	answer.roster = roster_make_update (&voter->roster, waiting->roster_stamp, now_us);
	message.u.relay_reply = answer;
	outbox_add (&voter->outbox, &waiting->route, &message);
}

static void
answer_as_leader (struct voter *voter, int64_t now_us)
{
	uint64_t confirmed = raft_confirmed_round (&voter->raft);
	struct waiting_poll *waiting;
	struct waiting_poll *next;
	if (!raft_commit_is_current (&voter->raft) || voter->state.applied < voter->raft.commit)
		return;
	bool summarised = false;
	struct relay_reply answer = {0};
	cds_list_for_each_entry_safe (waiting, next, &voter->polls, node) {
		if (waiting->required_round > confirmed)
			continue;
		/* Made before the leases below, so it is never newer than what a holder has. */
		if (!summarised)
			answer = summarise_grants (voter, now_us);
		summarised = true;
		for (int i = 0; i < waiting->count; i++)
			grants_extend (&voter->grants, waiting->polls[i].incarnation,
				now_us + lease_grant_us (voter));
		if (waiting->relay)
			answer_relay (voter, waiting, answer, now_us);
		else
			answer_poll (voter, waiting, &answer, now_us);
		free_poll (waiting);
	}
}

static bool
needs_round (const struct voter *voter)
{
	const struct waiting_poll *waiting;
	if (raft_confirmed_round (&voter->raft) < voter->raft.round)
		return false;
	cds_list_for_each_entry (waiting, &voter->polls, node) {
		if (waiting->required_round > voter->raft.round)
			return true;
	}
	return false;
}

static void
answer_as_follower (struct voter *voter, int64_t now_us)
{
	struct waiting_poll *waiting;
	struct waiting_poll *next;
	cds_list_for_each_entry_safe (waiting, next, &voter->polls, node) {
		if (!waiting->leader_answered || voter->state.applied < waiting->answer.commit)
			continue;
		answer_poll (voter, waiting, &waiting->answer, now_us);
		free_poll (waiting);
	}
}

/* Relays all polls since the last batch to the leader in one message. */
static void
relay_polls (struct voter *voter, int64_t now_us)
{
	struct waiting_poll *waiting;
	int count = 0;
	if (voter->relay_sent_us != 0 && voter->relay_sent_us + VOTER_RELAY_RETRY_US > now_us)
		return;
	cds_list_for_each_entry (waiting, &voter->polls, node)
		count += waiting->relay_seq == 0 && !waiting->relay;
	const char *leader = leader_address (voter);
	if (count == 0 || leader[0] == '\0')
		return;
	struct control_message message = {.kind = CONTROL_MESSAGE_RELAY};
	message.u.relay.seq = ++voter->relay_seq;
	message.u.relay.roster_stamp = voter->roster.stamp;
	message.u.relay.polls = xcalloc ((size_t)count, sizeof (struct poll));
	cds_list_for_each_entry (waiting, &voter->polls, node) {
		if (waiting->relay_seq != 0 || waiting->relay ||
			message.u.relay.count == WIRE_MAX_POLLS)
			continue;
		waiting->relay_seq = voter->relay_seq;
		message.u.relay.polls[message.u.relay.count++] = waiting->polls[0];
	}
	struct peer_route route = peer_route_to_address (leader);
	outbox_add (&voter->outbox, &route, &message);
	voter->relay_sent_us = now_us;
}

static void
drop_expired_polls (struct voter *voter, int64_t now_us)
{
	struct waiting_poll *waiting;
	struct waiting_poll *next;
	cds_list_for_each_entry_safe (waiting, next, &voter->polls, node) {
		if (waiting->arrived_us + VOTER_POLL_TIMEOUT_US <= now_us)
			free_poll (waiting);
	}
}

/* Proposals of an ended term may or may not commit; the sender retries with the same id. */
static void
drop_lost_proposals (struct voter *voter)
{
	struct waiting_proposal *waiting;
	struct waiting_proposal *next;
	cds_list_for_each_entry_safe (waiting, next, &voter->proposals, node) {
		if (is_leader (voter) && waiting->term == voter->raft.term)
			continue;
		send_propose_reply (voter, &waiting->route, waiting->id, PROPOSE_NOT_LEADER, NULL);
		cds_list_del (&waiting->node);
		free (waiting);
	}
}

static void
handle_role_change (struct voter *voter)
{
	if (is_leader (voter) == voter->was_leader)
		return;
	struct waiting_poll *waiting;
	struct waiting_poll *next;
	voter->was_leader = is_leader (voter);
	grants_clear (&voter->grants);
	rollout_judge_clear (&voter->rollouts);
	voter->own_proposal_index = 0;
	voter->in_force = 0;
	/* Each leader counts its own rounds, so pending polls would wait for a wrong round. */
	cds_list_for_each_entry_safe (waiting, next, &voter->polls, node)
		free_poll (waiting);
}

static void
answer_proposals (struct voter *voter, uint64_t index, const struct state_result *result)
{
	struct waiting_proposal *waiting;
	struct waiting_proposal *next;
	cds_list_for_each_entry_safe (waiting, next, &voter->proposals, node) {
		if (waiting->index > index)
			return;
		if (waiting->index == index)
			send_propose_reply (
				voter, &waiting->route, waiting->id, PROPOSE_APPLIED, result);
		cds_list_del (&waiting->node);
		free (waiting);
	}
}

static void
apply_committed (struct voter *voter)
{
	struct raft *raft = &voter->raft;
	if (raft->snapshot_index > voter->state.applied) {
		/* A snapshot was received; it was checked when it was saved. */
		voter_restore_state (voter);
	}
	while (voter->state.applied < raft->commit) {
		uint64_t index = voter->state.applied + 1;
		const struct raft_entry *entry = raft_entry_at (raft, index);
		struct state_result result = {.kind = COMMAND_KIND_COUNT};
		if (entry->type == RAFT_COMMAND)
			state_apply (&voter->state, index, entry->data, entry->len, &result);
		if (voter->state.epoch == index)
			history_add (&voter->history, index, entry->data, entry->len,
				result.kind == COMMAND_ROUTING);
		voter->state.applied = index;
		metric_add (METRIC_CONTROL_COMMITS, 1);
		if (is_leader (voter))
			answer_proposals (voter, index, &result);
	}
}

void
voter_step (struct voter *voter, int64_t now_us)
{
	handle_role_change (voter);
	drop_lost_proposals (voter);
	drop_expired_polls (voter, now_us);
	apply_committed (voter);
	if (is_leader (voter)) {
		if (needs_round (voter))
			raft_start_round (&voter->raft, now_us);
		raft_flush (&voter->raft, now_us);
		answer_as_leader (voter, now_us);
	} else {
		answer_as_follower (voter, now_us);
		relay_polls (voter, now_us);
	}
	send_raft_messages (voter, NULL);
}

void
voter_mark_saved (struct voter *voter, int64_t now_us)
{
	raft_mark_saved (&voter->raft, now_us);
	voter_step (voter, now_us);
}

static size_t
applied_log_bytes (const struct voter *voter)
{
	size_t bytes = 0;
	for (uint64_t i = voter->raft.snapshot_index + 1; i <= voter->state.applied; i++)
		bytes += raft_entry_at (&voter->raft, i)->len;
	return bytes;
}

bool
voter_compact (struct voter *voter)
{
	uint64_t applied = voter->state.applied;
	if (applied <= voter->raft.snapshot_index + voter->settings.compact_entries &&
		(applied <= voter->raft.snapshot_index ||
			applied_log_bytes (voter) <= VOTER_LOG_MAX_BYTES))
		return false;
	size_t len = 0;
	void *data = state_encode (&voter->state, true, &len);
	raft_compact (&voter->raft, applied, data, len);
	return true;
}

void
voter_tick (struct voter *voter, int64_t now_us, int64_t wall_ms)
{
	voter->wall_ms = wall_ms;
	raft_tick (&voter->raft, now_us);
	handle_role_change (voter);
	if (is_leader (voter))
		leader_tick (voter, now_us);
}
