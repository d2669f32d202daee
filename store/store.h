/**
 * @file store.h
 * The data folder: identity, control log and snapshot, each record with its checksum.
 *
 * A torn record at the end of the log is cut on start. Any other damage is an error that names
 * the file: nothing that was acknowledged is dropped silently.
 */
#pragma once

#include "control/raft.h"
#include "core/error.h"

struct store {
	char dir[256];
	int dir_fd; /**< also holds the lock */
	int log_fd;
	uint64_t log_size; /**< bytes of whole records */
	uint64_t disk_id;
	bool log_tail_cut; /**< a torn tail was cut on opening */
	bool cut_tail;     /**< a write that found no room may have left a part behind */
};

/** Opens or creates the folder, locks it and reads its identity. */
bool
store_open (struct store *store, const char *dir, struct error *error);

/** Restores hard state, snapshot and entries into a fresh raft. */
bool
store_load (struct store *store, struct raft *raft, struct error *error);

/**
 * Writes and syncs all that the raft has not saved yet. After ERROR_DISK_FULL nothing counts as
 * saved and the call may be repeated. Any other failure is final: the process must end, because
 * what a failed sync left behind is not known.
 */
bool
store_save (struct store *store, const struct raft *raft, struct error *error);

void
store_close (struct store *store);
