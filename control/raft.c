#include "control/raft.h"

#include "control/raft_log.h"
#include "core/buf.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

void
raft_init (struct raft *raft, uint64_t id, const struct raft_times *times, uint64_t seed,
	int64_t now_us)
{
	memset (raft, 0, sizeof (*raft));
	raft->id = id;
	raft->times = *times;
	raft->rng.state = seed;
	raft->last_heard_us = now_us;
	raft->election_at_us =
		now_us + times->election_timeout_us +
		(int64_t)rng_below (&raft->rng, (uint64_t)times->election_timeout_us);
	CDS_INIT_LIST_HEAD (&raft->outbox);
}

void
raft_message_free (struct raft_message *message)
{
	for (int i = 0; i < message->entry_count; i++)
		free (message->entries[i].data);
	free (message->entries);
	free (message->chunk);
	free (message);
}

void
raft_finish (struct raft *raft)
{
	struct raft_message *message;
	struct raft_message *next;
	cds_list_for_each_entry_safe (message, next, &raft->outbox, node)
		raft_message_free (message);
	for (size_t i = 0; i < raft->entry_count; i++)
		free (raft->entries[i].data);
	free (raft->entries);
	free (raft->snapshot);
	free (raft->incoming);
}

const struct raft_node *
raft_find_node (const struct raft *raft, uint64_t id)
{
	for (int i = 0; i < raft->config.count; i++) {
		if (raft->config.nodes[i].id == id)
			return &raft->config.nodes[i];
	}
	return NULL;
}

bool
raft_is_voter (const struct raft *raft)
{
	const struct raft_node *node = raft_find_node (raft, raft->id);
	return node && node->voter;
}

int
raft_voter_count (const struct raft_config *config)
{
	int count = 0;
	for (int i = 0; i < config->count; i++)
		count += config->nodes[i].voter;
	return count;
}

bool
raft_config_is_joint (const struct raft_config *config)
{
	for (int i = 0; i < config->count; i++) {
		if (config->nodes[i].change != RAFT_STAYS)
			return true;
	}
	return false;
}

void
raft_config_replace (struct raft_config *config, int voter, int learner)
{
	assert (!raft_config_is_joint (config));
	assert (config->nodes[voter].voter && !config->nodes[learner].voter);
	config->nodes[voter].change = RAFT_LEAVES;
	config->nodes[learner].voter = true;
	config->nodes[learner].change = RAFT_JOINS;
}

void
raft_config_complete (struct raft_config *config)
{
	int kept = 0;
	for (int i = 0; i < config->count; i++) {
		if (config->nodes[i].change == RAFT_LEAVES)
			continue;
		config->nodes[kept] = config->nodes[i];
		config->nodes[kept++].change = RAFT_STAYS;
	}
	config->count = kept;
}

/* A voter whose change is @p excluded does not count. */
static bool
has_vote (const struct raft_node *node, enum raft_change excluded)
{
	return node->voter && node->change != excluded;
}

static bool
is_majority_without (
	const struct raft_config *config, const bool *agreed, enum raft_change excluded)
{
	int voters = 0;
	int count = 0;
	for (int i = 0; i < config->count; i++) {
		voters += has_vote (&config->nodes[i], excluded);
		count += has_vote (&config->nodes[i], excluded) && agreed[i];
	}
	return count * 2 > voters;
}

bool
raft_is_quorum (const struct raft_config *config, const bool *agreed)
{
	return is_majority_without (config, agreed, RAFT_JOINS) &&
	       is_majority_without (config, agreed, RAFT_LEAVES);
}

static bool
has_won (const struct raft *raft)
{
	bool agreed[RAFT_MAX_NODES] = {false};
	for (int i = 0; i < raft->config.count; i++) {
		for (int j = 0; j < raft->vote_count; j++)
			agreed[i] = agreed[i] || raft->config.nodes[i].id == raft->votes[j];
	}
	return raft_is_quorum (&raft->config, agreed);
}

struct raft_message *
raft_post (struct raft *raft, enum raft_message_type type, uint64_t to)
{
	struct raft_message *message = xcalloc (1, sizeof (*message));
	message->type = type;
	message->from = raft->id;
	message->to = to;
	message->term = raft->term;
	cds_list_add_tail (&message->node, &raft->outbox);
	return message;
}

static void
reset_election_timeout (struct raft *raft, int64_t now_us)
{
	raft->election_at_us =
		now_us + raft->times.election_timeout_us +
		(int64_t)rng_below (&raft->rng, (uint64_t)raft->times.election_timeout_us);
}

void
raft_become_follower (struct raft *raft, uint64_t term, uint64_t leader, int64_t now_us)
{
	if (term > raft->term) {
		raft->term = term;
		raft->voted_for = 0;
		raft->hard_state_changed = true;
	}
	raft->role = RAFT_FOLLOWER;
	raft->leader = leader;
	raft->prevoting = false;
	reset_election_timeout (raft, now_us);
}

static uint64_t
majority_value_without (const struct raft *raft, bool rounds, enum raft_change excluded)
{
	uint64_t values[RAFT_MAX_NODES];
	int count = 0;
	for (int i = 0; i < raft->config.count; i++) {
		const struct raft_node *node = &raft->config.nodes[i];
		if (!has_vote (node, excluded))
			continue;
		uint64_t own = rounds ? raft->round : raft->saved_index;
		uint64_t value = rounds ? raft->progress[i].round : raft->progress[i].match;
		value = node->id == raft->id ? own : value;
		int at = count++;
		while (at > 0 && values[at - 1] < value) {
			values[at] = values[at - 1];
			at--;
		}
		values[at] = value;
	}
	return count ? values[count / 2] : 0;
}

/* The highest match index, or round, that a majority of voters has reached. */
static uint64_t
find_majority_value (const struct raft *raft, bool rounds)
{
	uint64_t before = majority_value_without (raft, rounds, RAFT_JOINS);
	uint64_t after = majority_value_without (raft, rounds, RAFT_LEAVES);
	return before < after ? before : after;
}

/* A majority commits only entries of the leader's own term; older entries commit with them. */
static void
advance_commit (struct raft *raft)
{
	if (raft->role != RAFT_LEADER)
		return;
	uint64_t index = find_majority_value (raft, false);
	if (index > raft->commit && raft_term_at (raft, index) == raft->term)
		raft->commit = index;
}

uint64_t
raft_confirmed_round (const struct raft *raft)
{
	return raft->role == RAFT_LEADER ? find_majority_value (raft, true) : 0;
}

bool
raft_commit_is_current (const struct raft *raft)
{
	return raft->role == RAFT_LEADER && raft->commit >= raft->term_start_index;
}

static void
copy_entries_from (struct raft *raft, struct raft_message *message, uint64_t from)
{
	uint64_t last = raft_last_index (raft);
	size_t bytes = 0;
	if (from > last)
		return;
	message->entries = xcalloc (last - from + 1, sizeof (struct raft_entry));
	for (uint64_t i = from; i <= last && bytes < RAFT_BATCH_BYTES; i++) {
		struct raft_entry copy = *raft_entry_at (raft, i);
		copy.data = xmemdup (copy.data, copy.len);
		message->entries[message->entry_count++] = copy;
		bytes += copy.len + 32;
	}
}

void
raft_send_append (struct raft *raft, int peer, int64_t now_us)
{
	struct raft_progress *progress = &raft->progress[peer];
	if (progress->next <= raft->snapshot_index) {
		raft_send_snapshot (raft, peer, now_us);
		return;
	}
	struct raft_message *message = raft_post (raft, RAFT_APPEND, raft->config.nodes[peer].id);
	message->index = progress->next - 1;
	message->log_term = raft_term_at (raft, message->index);
	message->commit = raft->commit;
	message->round = raft->round;
	copy_entries_from (raft, message, progress->next);
	/* Assumes that the entries arrive; a node that finds a gap replies with its last index. */
	progress->next += (uint64_t)message->entry_count;
	progress->sent_us = now_us;
}

/* A snapshot chunk is sent again only after an election timeout without a reply. */
static bool
snapshot_in_transit (const struct raft *raft, const struct raft_progress *progress, int64_t now_us)
{
	return progress->sending_snapshot &&
	       progress->sent_us + raft->times.election_timeout_us > now_us;
}

static void
broadcast (struct raft *raft, int64_t now_us)
{
	for (int i = 0; i < raft->config.count; i++) {
		if (raft->config.nodes[i].id != raft->id &&
			!snapshot_in_transit (raft, &raft->progress[i], now_us))
			raft_send_append (raft, i, now_us);
	}
	raft->heartbeat_at_us = now_us + raft->times.heartbeat_interval_us;
}

uint64_t
raft_start_round (struct raft *raft, int64_t now_us)
{
	raft->round++;
	broadcast (raft, now_us);
	return raft->round;
}

void
raft_flush (struct raft *raft, int64_t now_us)
{
	if (raft->role != RAFT_LEADER)
		return;
	for (int i = 0; i < raft->config.count; i++) {
		if (raft->config.nodes[i].id != raft->id && !raft->progress[i].sending_snapshot &&
			raft->progress[i].next <= raft_last_index (raft))
			raft_send_append (raft, i, now_us);
	}
}

uint64_t
raft_propose (
	struct raft *raft, enum raft_entry_type type, const void *data, size_t len, int64_t now_us)
{
	(void)now_us;
	if (raft->role != RAFT_LEADER)
		return 0;
	struct raft_entry entry = {
		.term = raft->term, .type = type, .data = xmemdup (data, len), .len = len};
	raft_log_append (raft, entry);
	return raft_last_index (raft);
}

uint64_t
raft_propose_config (struct raft *raft, const struct raft_config *config, int64_t now_us)
{
	if (raft->role != RAFT_LEADER || raft->config_index > raft->commit ||
		!raft_commit_is_current (raft))
		return 0;
	size_t len = 0;
	void *data = raft_config_encode (config, &len);
	uint64_t index = raft_propose (raft, RAFT_CONFIG, data, len, now_us);
	free (data);
	return index;
}

static void
become_leader (struct raft *raft, int64_t now_us)
{
	raft->role = RAFT_LEADER;
	raft->leader = raft->id;
	raft->leader_since_us = now_us;
	raft->round++;
	for (int i = 0; i < raft->config.count; i++)
		raft->progress[i] = (struct raft_progress){
			.next = raft_last_index (raft) + 1, .last_heard_us = now_us};
	raft->term_start_index = raft_propose (raft, RAFT_NOOP, "", 0, now_us);
	broadcast (raft, now_us);
}

static void
request_votes (struct raft *raft, enum raft_message_type type)
{
	raft->vote_count = 0;
	raft->votes[raft->vote_count++] = raft->id;
	for (int i = 0; i < raft->config.count; i++) {
		const struct raft_node *node = &raft->config.nodes[i];
		if (!node->voter || node->id == raft->id)
			continue;
		struct raft_message *message = raft_post (raft, type, node->id);
		message->term = raft->term + (type == RAFT_PREVOTE ? 1 : 0);
		message->index = raft_last_index (raft);
		message->log_term = raft_term_at (raft, message->index);
	}
}

static void
start_election (struct raft *raft, int64_t now_us)
{
	raft->role = RAFT_CANDIDATE;
	raft->prevoting = false;
	raft->leader = 0;
	raft->term++;
	raft->voted_for = raft->id;
	raft->hard_state_changed = true;
	reset_election_timeout (raft, now_us);
	request_votes (raft, RAFT_VOTE);
	if (has_won (raft))
		become_leader (raft, now_us);
}

static void
start_prevote (struct raft *raft, int64_t now_us)
{
	raft->role = RAFT_FOLLOWER;
	raft->leader = 0;
	raft->prevoting = true;
	reset_election_timeout (raft, now_us);
	request_votes (raft, RAFT_PREVOTE);
	if (has_won (raft))
		start_election (raft, now_us);
}

/* A leader steps down when no majority has answered it within an election timeout. */
static bool
has_quorum_contact (const struct raft *raft, int64_t now_us)
{
	bool heard[RAFT_MAX_NODES] = {false};
	for (int i = 0; i < raft->config.count; i++)
		heard[i] =
			raft->config.nodes[i].id == raft->id ||
			raft->progress[i].last_heard_us + raft->times.election_timeout_us > now_us;
	return raft_is_quorum (&raft->config, heard);
}

static void
tick_leader (struct raft *raft, int64_t now_us)
{
	if (!has_quorum_contact (raft, now_us) ||
		(!raft_is_voter (raft) && raft->commit >= raft->config_index)) {
		raft_become_follower (raft, raft->term, 0, now_us);
		return;
	}
	if (raft->heartbeat_at_us <= now_us)
		broadcast (raft, now_us);
}

void
raft_tick (struct raft *raft, int64_t now_us)
{
	if (raft->role == RAFT_LEADER)
		tick_leader (raft, now_us);
	else if (now_us >= raft->election_at_us && raft_is_voter (raft))
		start_prevote (raft, now_us);
}

static bool
log_is_up_to_date (const struct raft *raft, const struct raft_message *message)
{
	uint64_t last = raft_last_index (raft);
	uint64_t term = raft_term_at (raft, last);
	return message->log_term > term || (message->log_term == term && message->index >= last);
}

static bool
has_live_leader (const struct raft *raft, int64_t now_us)
{
	if (raft->role == RAFT_LEADER)
		return true;
	return raft->leader != 0 && raft->last_heard_us + raft->times.election_timeout_us > now_us;
}

static void
receive_prevote (struct raft *raft, const struct raft_message *message, int64_t now_us)
{
	struct raft_message *reply = raft_post (raft, RAFT_PREVOTE_REPLY, message->from);
	reply->ok = message->term > raft->term && log_is_up_to_date (raft, message) &&
		    !has_live_leader (raft, now_us);
	reply->term = reply->ok ? message->term : raft->term;
}

static void
receive_vote (struct raft *raft, const struct raft_message *message, int64_t now_us)
{
	bool grant = message->term == raft->term && log_is_up_to_date (raft, message) &&
		     (raft->voted_for == 0 || raft->voted_for == message->from);
	if (grant && raft->voted_for == 0) {
		raft->voted_for = message->from;
		raft->hard_state_changed = true;
	}
	if (grant)
		reset_election_timeout (raft, now_us);
	struct raft_message *reply = raft_post (raft, RAFT_VOTE_REPLY, message->from);
	reply->ok = grant;
}

static bool
count_vote (struct raft *raft, uint64_t from)
{
	const struct raft_node *node = raft_find_node (raft, from);
	if (!node || !node->voter)
		return false;
	for (int i = 0; i < raft->vote_count; i++) {
		if (raft->votes[i] == from)
			return false;
	}
	raft->votes[raft->vote_count++] = from;
	return has_won (raft);
}

static void
append_entries (struct raft *raft, const struct raft_message *message)
{
	for (int i = 0; i < message->entry_count; i++) {
		uint64_t index = message->index + 1 + (uint64_t)i;
		const struct raft_entry *entry = &message->entries[i];
		if (index <= raft->snapshot_index)
			continue;
		if (index <= raft_last_index (raft)) {
			if (raft_term_at (raft, index) == entry->term)
				continue;
			raft_log_truncate (raft, index);
		}
		struct raft_entry copy = *entry;
		copy.data = xmemdup (entry->data, entry->len);
		raft_log_append (raft, copy);
	}
}

static bool
has_previous_entry (const struct raft *raft, const struct raft_message *message)
{
	return message->index <= raft->snapshot_index ||
	       (message->index <= raft_last_index (raft) &&
		       raft_term_at (raft, message->index) == message->log_term);
}

/* The newest index that may match, for a refusal; the leader can then skip a whole term. */
static uint64_t
last_possible_match (const struct raft *raft, const struct raft_message *message)
{
	uint64_t last = raft_last_index (raft);
	if (message->index > last)
		return last;
	uint64_t term = raft_term_at (raft, message->index);
	uint64_t index = message->index;
	while (index > raft->commit && raft_term_at (raft, index) == term)
		index--;
	return index;
}

static void
receive_append (struct raft *raft, const struct raft_message *message, int64_t now_us)
{
	raft_become_follower (raft, message->term, message->from, now_us);
	raft->last_heard_us = now_us;
	struct raft_message *reply = raft_post (raft, RAFT_APPEND_REPLY, message->from);
	reply->round = message->round;
	reply->ok = has_previous_entry (raft, message);
	if (!reply->ok) {
		reply->index = last_possible_match (raft, message);
		return;
	}
	append_entries (raft, message);
	uint64_t match = message->index + (uint64_t)message->entry_count;
	reply->index = match;
	uint64_t commit = message->commit < match ? message->commit : match;
	if (commit > raft->commit)
		raft->commit = commit;
}

int
raft_find_peer (const struct raft *raft, uint64_t id)
{
	for (int i = 0; i < raft->config.count; i++) {
		if (raft->config.nodes[i].id == id)
			return i;
	}
	return -1;
}

void
raft_record_reply (
	struct raft_progress *progress, const struct raft_message *message, int64_t now_us)
{
	progress->last_heard_us = now_us;
	if (message->round > progress->round)
		progress->round = message->round;
}

static void
receive_append_reply (struct raft *raft, const struct raft_message *message, int64_t now_us)
{
	int peer = raft_find_peer (raft, message->from);
	if (raft->role != RAFT_LEADER || peer < 0)
		return;
	struct raft_progress *progress = &raft->progress[peer];
	raft_record_reply (progress, message, now_us);
	if (message->ok) {
		if (message->index > progress->match)
			progress->match = message->index;
		if (progress->next <= progress->match)
			progress->next = progress->match + 1;
		advance_commit (raft);
		return;
	}
	if (message->index + 1 > progress->match) {
		progress->next = message->index + 1;
		raft_send_append (raft, peer, now_us);
	}
}

/* A higher term ends leadership; pre-votes carry a term that no node has adopted yet. */
static bool
accept_term (struct raft *raft, const struct raft_message *message, int64_t now_us)
{
	bool prevote = message->type == RAFT_PREVOTE ||
		       (message->type == RAFT_PREVOTE_REPLY && message->ok);
	if (message->term > raft->term && !prevote) {
		/* Ignores vote requests while there is a live leader. */
		if (message->type == RAFT_VOTE && has_live_leader (raft, now_us))
			return false;
		raft_become_follower (raft, message->term, 0, now_us);
	}
	if (message->term >= raft->term || prevote)
		return true;
	if (message->type == RAFT_APPEND || message->type == RAFT_SNAPSHOT)
		raft_post (raft, RAFT_APPEND_REPLY, message->from)->index = raft->commit;
	return false;
}

void
raft_receive (struct raft *raft, const struct raft_message *message, int64_t now_us)
{
	if (message->to != raft->id || !accept_term (raft, message, now_us))
		return;
	switch (message->type) {
	case RAFT_PREVOTE:
		receive_prevote (raft, message, now_us);
		break;
	case RAFT_PREVOTE_REPLY:
		if (raft->prevoting && message->ok && message->term == raft->term + 1 &&
			count_vote (raft, message->from))
			start_election (raft, now_us);
		break;
	case RAFT_VOTE:
		receive_vote (raft, message, now_us);
		break;
	case RAFT_VOTE_REPLY:
		if (raft->role == RAFT_CANDIDATE && message->ok && count_vote (raft, message->from))
			become_leader (raft, now_us);
		break;
	case RAFT_APPEND:
		receive_append (raft, message, now_us);
		break;
	case RAFT_APPEND_REPLY:
		receive_append_reply (raft, message, now_us);
		break;
	case RAFT_SNAPSHOT:
		raft_receive_snapshot (raft, message, now_us);
		break;
	case RAFT_SNAPSHOT_REPLY:
		raft_receive_snapshot_reply (raft, message, now_us);
		break;
	case RAFT_MESSAGE_TYPE_COUNT:
		break;
	}
}

void
raft_mark_saved (struct raft *raft, int64_t now_us)
{
	(void)now_us;
	raft->saved_index = raft_last_index (raft);
	raft->truncated_from = 0;
	raft->hard_state_changed = false;
	raft->snapshot_changed = false;
	advance_commit (raft);
}

void
raft_bootstrap (struct raft *raft, const char *name, const char *address)
{
	struct raft_config config = {.count = 1};
	config.nodes[0].id = raft->id;
	config.nodes[0].voter = true;
	str_copy (config.nodes[0].name, sizeof (config.nodes[0].name), name);
	str_copy (config.nodes[0].address, sizeof (config.nodes[0].address), address);
	raft_bootstrap_config (raft, &config);
}

void
raft_bootstrap_config (struct raft *raft, const struct raft_config *config)
{
	assert (raft_last_index (raft) == 0 && raft->term == 0);
	raft->term = 1;
	raft->hard_state_changed = true;
	size_t len = 0;
	struct raft_entry entry = {.term = 1, .type = RAFT_CONFIG};
	entry.data = raft_config_encode (config, &len);
	entry.len = len;
	raft_log_append (raft, entry);
	raft->commit = 1;
}
