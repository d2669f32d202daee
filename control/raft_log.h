/**
 * @file raft_log.h
 * What raft.c, raft_log.c and raft_snapshot.c share among themselves.
 */
#pragma once

#include "control/raft.h"

/** The term of an index; 0 when it is not in the log. */
uint64_t
raft_term_at (const struct raft *raft, uint64_t index);

/** Appends an entry and takes its data over. */
void
raft_log_append (struct raft *raft, struct raft_entry entry);

/** Drops the entries from an index on; asserts that none of them is committed. */
void
raft_log_truncate (struct raft *raft, uint64_t from);

/** Replaces the log's prefix by a snapshot and takes its data over. */
void
raft_log_install (struct raft *raft, uint64_t index, uint64_t term,
	const struct raft_config *config, void *data, size_t len);

/** Appends a message to the outbox; the caller fills it in. */
struct raft_message *
raft_post (struct raft *raft, enum raft_message_type type, uint64_t to);

/** Follows a leader, or nobody when it is 0; takes on a newer term. */
void
raft_become_follower (struct raft *raft, uint64_t term, uint64_t leader, int64_t now_us);

/** Sends entries, or a snapshot chunk, that a node lacks. */
void
raft_send_append (struct raft *raft, int peer, int64_t now_us);

/** Position of a node in the configuration, or -1. */
int
raft_find_peer (const struct raft *raft, uint64_t id);

/** Records that a node answered. */
void
raft_record_reply (
	struct raft_progress *progress, const struct raft_message *message, int64_t now_us);

/** Sends the next chunk of the snapshot. */
void
raft_send_snapshot (struct raft *raft, int peer, int64_t now_us);

/** Takes a chunk in; the last one installs the snapshot. */
void
raft_receive_snapshot (struct raft *raft, const struct raft_message *message, int64_t now_us);

/** Goes on with the next chunk, or with entries after the last. */
void
raft_receive_snapshot_reply (struct raft *raft, const struct raft_message *message, int64_t now_us);
