/**
 * @file raft_log.h
 * Internal functions shared by raft.c, raft_log.c and raft_snapshot.c. No I/O.
 */
#pragma once

#include "control/raft.h"

/** The term of the entry at an index; 0 when it is not in the log. */
uint64_t
raft_term_at (const struct raft *raft, uint64_t index);

/** Appends an entry and takes ownership of its data. */
void
raft_log_append (struct raft *raft, struct raft_entry entry);

/** Drops the entries from an index onwards; asserts that none of them is committed. */
void
raft_log_truncate (struct raft *raft, uint64_t from);

/** Replaces the start of the log by a snapshot and takes ownership of its data. */
void
raft_log_install (struct raft *raft, uint64_t index, uint64_t term,
	const struct raft_config *config, void *data, size_t len);

/** Appends a message to the outbox; the caller sets the other fields. */
struct raft_message *
raft_post (struct raft *raft, enum raft_message_type type, uint64_t to);

/** Becomes a follower of @p leader (0: unknown) and adopts a newer term. */
void
raft_become_follower (struct raft *raft, uint64_t term, uint64_t leader, int64_t now_us);

/** Sends a node the next entries, or a snapshot chunk when they have been compacted. */
void
raft_send_append (struct raft *raft, int peer, int64_t now_us);

/** Position of a node in the configuration, or -1. */
int
raft_find_peer (const struct raft *raft, uint64_t id);

/** Records the time and the heartbeat round of a reply. */
void
raft_record_reply (
	struct raft_progress *progress, const struct raft_message *message, int64_t now_us);

/** Sends the next chunk of the snapshot. */
void
raft_send_snapshot (struct raft *raft, int peer, int64_t now_us);

/** Stores a chunk and replies; installs the snapshot after the last chunk. */
void
raft_receive_snapshot (struct raft *raft, const struct raft_message *message, int64_t now_us);

/** Sends the next chunk, or the entries after the snapshot. */
void
raft_receive_snapshot_reply (struct raft *raft, const struct raft_message *message, int64_t now_us);
