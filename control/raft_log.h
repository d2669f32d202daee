/**
 * @file raft_log.h
 * Operations on the in-memory log that only raft.c and raft_log.c share.
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
raft_log_cut (struct raft *raft, uint64_t from);

/** Replaces the log's prefix by a snapshot and takes its data over. */
void
raft_log_install (struct raft *raft, uint64_t index, uint64_t term,
	const struct raft_config *config, void *data, size_t len);
