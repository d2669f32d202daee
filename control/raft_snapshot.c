#include "control/raft_log.h"
#include "core/buf.h"

#include <string.h>

void
raft_send_snapshot (struct raft *raft, int peer, int64_t now_us)
{
	struct raft_progress *progress = &raft->progress[peer];
	struct raft_message *message = raft_post (raft, RAFT_SNAPSHOT, raft->config.nodes[peer].id);
	size_t remaining = raft->snapshot_len - progress->snapshot_offset;
	size_t len = remaining < RAFT_CHUNK_BYTES ? remaining : RAFT_CHUNK_BYTES;
	message->index = raft->snapshot_index;
	message->log_term = raft->snapshot_term;
	message->round = raft->round;
	message->offset = progress->snapshot_offset;
	message->chunk = xmemdup ((char *)raft->snapshot + progress->snapshot_offset, len);
	message->chunk_len = len;
	message->done = len == remaining;
	message->config = raft->snapshot_config;
	progress->sending_snapshot = true;
	progress->sent_us = now_us;
}

void
raft_receive_snapshot (struct raft *raft, const struct raft_message *message, int64_t now_us)
{
	raft_become_follower (raft, message->term, message->from, now_us);
	raft->last_heard_us = now_us;
	struct raft_message *reply = raft_post (raft, RAFT_SNAPSHOT_REPLY, message->from);
	reply->round = message->round;
	reply->index = message->index;
	if (message->index <= raft->commit) {
		reply->done = true;
		return;
	}
	if (message->offset == 0 || raft->incoming_index != message->index) {
		raft->incoming_len = 0;
		raft->incoming_index = message->index;
	}
	if (message->offset == raft->incoming_len) {
		raft->incoming =
			xrealloc (raft->incoming, raft->incoming_len + message->chunk_len + 1);
		memcpy (raft->incoming + raft->incoming_len, message->chunk, message->chunk_len);
		raft->incoming_len += message->chunk_len;
	}
	reply->offset = raft->incoming_len;
	if (!message->done || message->offset + message->chunk_len != raft->incoming_len)
		return;
	raft_log_install (raft, message->index, message->log_term, &message->config, raft->incoming,
		raft->incoming_len);
	raft->incoming = NULL;
	raft->incoming_len = 0;
	raft->snapshot_changed = true;
	reply->done = true;
}

void
raft_receive_snapshot_reply (struct raft *raft, const struct raft_message *message, int64_t now_us)
{
	int peer = raft_find_peer (raft, message->from);
	if (raft->role != RAFT_LEADER || peer < 0)
		return;
	struct raft_progress *progress = &raft->progress[peer];
	raft_record_reply (progress, message, now_us);
	progress->sending_snapshot = false;
	if (message->done) {
		if (message->index > progress->match)
			progress->match = message->index;
		if (progress->next <= message->index)
			progress->next = message->index + 1;
		progress->snapshot_offset = 0;
	} else if (message->index == raft->snapshot_index) {
		progress->snapshot_offset =
			message->offset <= raft->snapshot_len ? message->offset : 0;
	} else {
		progress->snapshot_offset = 0;
	}
	if (progress->next <= raft_last_index (raft))
		raft_send_append (raft, peer, now_us);
}
