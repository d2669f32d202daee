#include "control/wire.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>

static void
write_poll (struct pack_writer *w, const struct poll *poll)
{
	pack_array (w, 15);
	pack_str (w, poll->name);
	pack_str (w, poll->data_centre);
	pack_str (w, poll->address);
	pack_u64 (w, poll->incarnation);
	pack_u64 (w, poll->disk_id);
	pack_u64 (w, poll->applied);
	pack_u64 (w, poll->released);
	pack_u64 (w, poll->leaving_work);
	pack_bool (w, poll->leaving);
	pack_bool (w, poll->exiting);
	pack_u64 (w, poll->reconciled);
	pack_bool (w, poll->is_entry_node);
	pack_u64 (w, poll->roster_stamp);
	pack_u64 (w, poll->old_work);
	rollout_reports_write (&poll->rollouts, w);
}

static void
write_bytes (struct pack_writer *w, const void *data, size_t len)
{
	pack_bytes (w, len ? data : "", len);
}

static void
write_raft (struct pack_writer *w, const struct raft_message *message)
{
	pack_array (w, 14);
	pack_u64 (w, message->type);
	pack_u64 (w, message->from);
	pack_u64 (w, message->to);
	pack_u64 (w, message->term);
	pack_u64 (w, message->index);
	pack_u64 (w, message->log_term);
	pack_u64 (w, message->commit);
	pack_u64 (w, message->round);
	pack_u64 (w, message->offset);
	pack_bool (w, message->ok);
	pack_bool (w, message->done);
	pack_array (w, (size_t)message->entry_count);
	for (int i = 0; i < message->entry_count; i++) {
		const struct raft_entry *entry = &message->entries[i];
		pack_array (w, 3);
		pack_u64 (w, entry->term);
		pack_u64 (w, entry->type);
		write_bytes (w, entry->data, entry->len);
	}
	write_bytes (w, message->chunk, message->chunk_len);
	size_t len = 0;
	void *config = raft_config_encode (&message->config, &len);
	write_bytes (w, config, len);
	free (config);
}

static void
write_poll_reply (struct pack_writer *w, const struct poll_reply *reply)
{
	pack_array (w, 12);
	pack_u64 (w, reply->seq);
	pack_bool (w, reply->lease_granted);
	pack_u64 (w, reply->revision);
	pack_u64 (w, reply->settled);
	pack_u64 (w, reply->in_force);
	pack_u64 (w, reply->leaving_work);
	pack_i64 (w, reply->node_count);
	pack_array (w, (size_t)reply->voter_count);
	for (int i = 0; i < reply->voter_count; i++)
		pack_str (w, reply->voters[i]);
	write_bytes (w, reply->snapshot, reply->snapshot_len);
	pack_array (w, (size_t)reply->change_count);
	for (int i = 0; i < reply->change_count; i++) {
		pack_array (w, 2);
		pack_u64 (w, reply->changes[i].index);
		write_bytes (w, reply->changes[i].data, reply->changes[i].len);
	}
	roster_update_write (&reply->roster, w);
	pack_u64 (w, reply->since_revision);
}

static void
write_propose_reply (struct pack_writer *w, const struct propose_reply *reply)
{
	const struct state_result *result = &reply->result;
	pack_array (w, 11);
	pack_u64 (w, reply->id);
	pack_u64 (w, reply->status);
	pack_str (w, reply->leader);
	pack_u64 (w, result->kind);
	pack_u64 (w, result->change.kind);
	pack_u64 (w, result->change.version);
	pack_u64 (w, result->verdict);
	pack_u64 (w, result->claim.status);
	pack_i64 (w, result->claim.http_status);
	pack_bool (w, result->ok);
	pack_str (w, reply->body ? reply->body : "");
}

static void
write_relay_reply (struct pack_writer *w, const struct relay_reply *reply)
{
	pack_array (w, 7);
	pack_u64 (w, reply->seq);
	pack_u64 (w, reply->commit);
	pack_u64 (w, reply->settled);
	pack_u64 (w, reply->in_force);
	pack_u64 (w, reply->leaving_work);
	pack_i64 (w, reply->node_count);
	roster_update_write (&reply->roster, w);
}

void *
control_message_encode (const struct control_message *message, size_t *len)
{
	struct pack_writer writer;
	struct pack_writer *w = &writer;
	pack_start (w);
	pack_array (w, 3);
	pack_u64 (w, message->kind);
	switch (message->kind) {
	case CONTROL_MESSAGE_RAFT:
		pack_nil (w);
		write_raft (w, message->u.raft);
		break;
	case CONTROL_MESSAGE_POLL:
		pack_u64 (w, message->u.poll.seq);
		write_poll (w, &message->u.poll.poll);
		break;
	case CONTROL_MESSAGE_POLL_REPLY:
		pack_nil (w);
		write_poll_reply (w, &message->u.poll_reply);
		break;
	case CONTROL_MESSAGE_RELAY:
		pack_u64 (w, message->u.relay.seq);
		pack_array (w, (size_t)message->u.relay.count + 1);
		pack_u64 (w, message->u.relay.roster_stamp);
		for (int i = 0; i < message->u.relay.count; i++)
			write_poll (w, &message->u.relay.polls[i]);
		break;
	case CONTROL_MESSAGE_RELAY_REPLY:
		pack_nil (w);
		write_relay_reply (w, &message->u.relay_reply);
		break;
	case CONTROL_MESSAGE_PROPOSE:
		pack_u64 (w, message->u.propose.id);
		write_bytes (w, message->u.propose.data, message->u.propose.len);
		break;
	case CONTROL_MESSAGE_PROPOSE_REPLY:
		pack_nil (w);
		write_propose_reply (w, &message->u.propose_reply);
		break;
	case CONTROL_MESSAGE_KIND_COUNT:
		pack_nil (w);
		pack_nil (w);
		break;
	}
	return pack_end (w, len);
}

static void
read_string (struct pack_node array, size_t at, char *out, size_t size)
{
	pack_copy_str (pack_at (array, at), out, size);
}

static uint64_t
read_u64 (struct pack_node array, size_t at)
{
	return pack_get_u64 (pack_at (array, at));
}

static unsigned
read_enum (struct pack_node array, size_t at, unsigned bound)
{
	return pack_get_below (pack_at (array, at), bound);
}

static void *
read_bytes (struct pack_node array, size_t at, size_t *len)
{
	const char *bytes = pack_get_bytes (pack_at (array, at), len);
	return xmemdup (bytes, *len);
}

static void
read_poll (struct pack_node node, struct poll *poll)
{
	read_string (node, 0, poll->name, sizeof (poll->name));
	read_string (node, 1, poll->data_centre, sizeof (poll->data_centre));
	read_string (node, 2, poll->address, sizeof (poll->address));
	poll->incarnation = read_u64 (node, 3);
	poll->disk_id = read_u64 (node, 4);
	poll->applied = read_u64 (node, 5);
	poll->released = read_u64 (node, 6);
	poll->leaving_work = pack_get_u64 (pack_at (node, 7));
	poll->leaving = pack_get_bool (pack_at (node, 8));
	poll->exiting = pack_get_bool (pack_at (node, 9));
	poll->reconciled = read_u64 (node, 10);
	poll->is_entry_node = pack_get_bool (pack_at (node, 11));
	poll->roster_stamp = read_u64 (node, 12);
	/* Polls of earlier builds lack the last items. */
	if (pack_length (node) <= 14)
		return;
	poll->old_work = (uint32_t)read_u64 (node, 13);
	rollout_reports_read (&poll->rollouts, pack_at (node, 14));
}

static void
read_entries (struct pack_node array, struct raft_message *message)
{
	size_t count = pack_length (array);
	message->entries = xcalloc (count, sizeof (*message->entries));
	for (size_t i = 0; i < count && pack_ok (array); i++) {
		struct pack_node item = pack_at (array, i);
		struct raft_entry *entry = &message->entries[message->entry_count++];
		entry->term = read_u64 (item, 0);
		entry->type = (enum raft_entry_type)read_enum (item, 1, RAFT_CONFIG + 1);
		entry->data = read_bytes (item, 2, &entry->len);
	}
}

static void
read_raft (struct pack_node node, struct raft_message *message)
{
	size_t len = 0;
	message->type = (enum raft_message_type)read_enum (node, 0, RAFT_MESSAGE_TYPE_COUNT);
	message->from = read_u64 (node, 1);
	message->to = read_u64 (node, 2);
	message->term = read_u64 (node, 3);
	message->index = read_u64 (node, 4);
	message->log_term = read_u64 (node, 5);
	message->commit = read_u64 (node, 6);
	message->round = read_u64 (node, 7);
	message->offset = read_u64 (node, 8);
	message->ok = pack_get_bool (pack_at (node, 9));
	message->done = pack_get_bool (pack_at (node, 10));
	read_entries (pack_at (node, 11), message);
	message->chunk = read_bytes (node, 12, &message->chunk_len);
	void *config = read_bytes (node, 13, &len);
	if (config && !raft_config_decode (&message->config, config, len))
		pack_fail (node);
	free (config);
}

static void
read_poll_reply (struct pack_node node, struct poll_reply *reply)
{
	reply->seq = read_u64 (node, 0);
	reply->lease_granted = pack_get_bool (pack_at (node, 1));
	reply->revision = read_u64 (node, 2);
	reply->settled = read_u64 (node, 3);
	reply->in_force = read_u64 (node, 4);
	reply->leaving_work = pack_get_u64 (pack_at (node, 5));
	reply->node_count = pack_get_i64 (pack_at (node, 6));
	struct pack_node voters = pack_at (node, 7);
	size_t count = pack_length (voters);
	for (size_t i = 0; i < count && i < WIRE_MAX_VOTERS; i++)
		read_string (voters, i, reply->voters[reply->voter_count++], 64);
	reply->snapshot = read_bytes (node, 8, &reply->snapshot_len);
	struct pack_node changes = pack_at (node, 9);
	count = pack_length (changes);
	reply->changes = xcalloc (count, sizeof (*reply->changes));
	for (size_t i = 0; i < count && pack_ok (changes); i++) {
		struct pack_node item = pack_at (changes, i);
		struct wire_change *change = &reply->changes[reply->change_count++];
		change->index = read_u64 (item, 0);
		change->data = read_bytes (item, 1, &change->len);
	}
	roster_update_read (&reply->roster, pack_at (node, 10));
	reply->since_revision = read_u64 (node, 11);
}

static void
read_propose_reply (struct pack_node node, struct propose_reply *reply)
{
	struct state_result *result = &reply->result;
	reply->id = read_u64 (node, 0);
	reply->status = (enum propose_status)read_enum (node, 1, PROPOSE_REFUSED + 1);
	read_string (node, 2, reply->leader, sizeof (reply->leader));
	result->kind = (enum command_kind)read_enum (node, 3, COMMAND_KIND_COUNT + 1);
	result->change.kind = (enum error_kind)read_enum (node, 4, ERROR_KIND_COUNT);
	result->change.version = read_u64 (node, 5);
	result->verdict = (enum claim_verdict)read_enum (node, 6, VERDICT_REUSED + 1);
	result->claim.status = (enum claim_status)read_enum (node, 7, CLAIM_UNKNOWN + 1);
	result->claim.http_status = pack_get_i64 (pack_at (node, 8));
	result->ok = pack_get_bool (pack_at (node, 9));
	reply->body = pack_dup_str (pack_at (node, 10));
}

static void
read_relay (struct pack_node array, struct control_message *message)
{
	size_t count = pack_length (array);
	if (count == 0 || count > WIRE_MAX_POLLS + 1) {
		pack_fail (array);
		return;
	}
	message->u.relay.roster_stamp = read_u64 (array, 0);
	message->u.relay.polls = xcalloc (count, sizeof (struct poll));
	for (size_t i = 1; i < count && pack_ok (array); i++)
		read_poll (pack_at (array, i), &message->u.relay.polls[message->u.relay.count++]);
}

static void
read_relay_reply (struct pack_node node, struct relay_reply *reply)
{
	reply->seq = read_u64 (node, 0);
	reply->commit = read_u64 (node, 1);
	reply->settled = read_u64 (node, 2);
	reply->in_force = read_u64 (node, 3);
	reply->leaving_work = pack_get_u64 (pack_at (node, 4));
	reply->node_count = pack_get_i64 (pack_at (node, 5));
	roster_update_read (&reply->roster, pack_at (node, 6));
}

static void
read_body (struct pack_node root, struct control_message *message)
{
	struct pack_node body = pack_at (root, 2);
	switch (message->kind) {
	case CONTROL_MESSAGE_RAFT:
		message->u.raft = xcalloc (1, sizeof (*message->u.raft));
		read_raft (body, message->u.raft);
		return;
	case CONTROL_MESSAGE_POLL:
		message->u.poll.seq = read_u64 (root, 1);
		read_poll (body, &message->u.poll.poll);
		return;
	case CONTROL_MESSAGE_POLL_REPLY:
		read_poll_reply (body, &message->u.poll_reply);
		return;
	case CONTROL_MESSAGE_RELAY:
		message->u.relay.seq = read_u64 (root, 1);
		read_relay (body, message);
		return;
	case CONTROL_MESSAGE_RELAY_REPLY:
		read_relay_reply (body, &message->u.relay_reply);
		return;
	case CONTROL_MESSAGE_PROPOSE:
		message->u.propose.id = read_u64 (root, 1);
		message->u.propose.data = read_bytes (root, 2, &message->u.propose.len);
		return;
	case CONTROL_MESSAGE_PROPOSE_REPLY:
		read_propose_reply (body, &message->u.propose_reply);
		return;
	case CONTROL_MESSAGE_KIND_COUNT:
		pack_fail (root);
		return;
	}
}

bool
control_message_decode (struct control_message *message, const void *data, size_t len)
{
	struct pack_tree tree;
	memset (message, 0, sizeof (*message));
	message->kind = CONTROL_MESSAGE_KIND_COUNT;
	struct pack_node root = pack_parse (&tree, data, len);
	unsigned kind = pack_get_u64 (pack_at (root, 0));
	if (pack_ok (root) && kind < CONTROL_MESSAGE_KIND_COUNT) {
		message->kind = (enum control_message_kind)kind;
		read_body (root, message);
	}
	return pack_free (&tree) && message->kind != CONTROL_MESSAGE_KIND_COUNT;
}

void
control_message_finish (struct control_message *message)
{
	switch (message->kind) {
	case CONTROL_MESSAGE_RAFT:
		if (message->u.raft)
			raft_message_free (message->u.raft);
		break;
	case CONTROL_MESSAGE_POLL_REPLY:
		for (int i = 0; i < message->u.poll_reply.change_count; i++)
			free (message->u.poll_reply.changes[i].data);
		free (message->u.poll_reply.changes);
		free (message->u.poll_reply.snapshot);
		free (message->u.poll_reply.roster.data);
		break;
	case CONTROL_MESSAGE_RELAY:
		free (message->u.relay.polls);
		break;
	case CONTROL_MESSAGE_PROPOSE:
		free (message->u.propose.data);
		break;
	case CONTROL_MESSAGE_PROPOSE_REPLY:
		free (message->u.propose_reply.body);
		break;
	case CONTROL_MESSAGE_RELAY_REPLY:
		free (message->u.relay_reply.roster.data);
		break;
	case CONTROL_MESSAGE_POLL:
	case CONTROL_MESSAGE_KIND_COUNT:
		break;
	}
	message->kind = CONTROL_MESSAGE_KIND_COUNT;
}
