/**
 * @file store.h
 * The data folder: identity, control log and snapshot, each record with its checksum. Does
 * blocking file I/O.
 *
 * A torn record at the end of the log is truncated on start. Any other damage is an error that
 * names the file, so that acknowledged data is never lost silently.
 */
#pragma once

#include "control/raft.h"
#include "core/error.h"

struct store {
	char dir[256];
	int dir_fd; /**< of the data folder; holds its lock */
	int log_fd;
	uint64_t log_size;       /**< bytes of complete records in the log */
	uint64_t disk_id;        /**< random id of the data folder */
	bool log_tail_truncated; /**< store_load truncated a torn tail of the log */
	bool partial_write;      /**< after a failed write the log may end in part of a record */
};

/** Opens or creates the data folder, locks it and reads its identity. */
bool
store_open (struct store *store, const char *dir, struct error *error);

/** Gives a data folder without a log another identity. */
bool
store_set_identity (struct store *store, uint64_t id, struct error *error);

/** Restores snapshot, hard state and entries into a newly initialised raft, and opens the log. */
bool
store_load (struct store *store, struct raft *raft, struct error *error);

/**
 * Writes and syncs everything that the raft has not saved yet. After ERROR_DISK_FULL nothing
 * counts as saved and the call may be repeated. After any other failure the process must end,
 * because the content of a file after a failed sync is unknown.
 */
bool
store_save (struct store *store, const struct raft *raft, struct error *error);

void
store_close (struct store *store);
