/**
 * @file recent.h
 * A ring of the newest commands that took effect, for followers that lag and for watchers.
 *
 * It outlives log compaction and leaves out the ledger's commands, so that a node which is a
 * little behind never needs the whole state.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { RECENT_COMMANDS = 8192 };

struct recent_command {
	uint64_t index;
	void *data; /**< encoded command, owned */
	size_t len; /**< 0: overtaken by a later one, which stands for it */
};

struct recent {
	struct recent_command *ring;
	uint64_t count; /**< ever added */
	uint64_t whole; /**< position after the newest command that replaces all before it */
	uint64_t from;  /**< every effective command after this index is in the ring */
};

void
recent_init (struct recent *recent);
void
recent_finish (struct recent *recent);

/** Forgets all; commands after @p from will be added. */
void
recent_reset (struct recent *recent, uint64_t from);

/**
 * Adds a command that took effect.
 * @param replaces it replaces the last one that was added so; only the newest of them is kept
 */
void
recent_add (struct recent *recent, uint64_t index, const void *data, size_t len, bool replaces);

/**
 * Position of the first command after an index, for recent_at.
 * @return -1 when the ring no longer reaches back to it.
 */
int64_t
recent_first (const struct recent *recent, uint64_t index);

/** The command at a position, or NULL behind the newest. */
const struct recent_command *
recent_at (const struct recent *recent, int64_t position);
