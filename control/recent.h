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

enum { HISTORY_COMMANDS = 8192 };

struct history_command {
	uint64_t index;
	void *data; /**< encoded command, owned */
	size_t len; /**< 0: overtaken by a later one, which stands for it */
};

struct history {
	struct history_command *ring;
	uint64_t count; /**< ever added */
	uint64_t whole; /**< position after the newest command that replaces all before it */
	uint64_t from;  /**< every effective command after this index is in the ring */
};

void
history_init (struct history *history);
void
history_finish (struct history *history);

/** Forgets all; commands after @p from will be added. */
void
history_reset (struct history *history, uint64_t from);

/**
 * Adds a command that took effect.
 * @param replaces it replaces the last one that was added so; only the newest of them is kept
 */
void
history_add (struct history *history, uint64_t index, const void *data, size_t len, bool replaces);

/**
 * Position of the first command after an index, for history_at.
 * @return -1 when the ring no longer reaches back to it.
 */
int64_t
history_first (const struct history *history, uint64_t index);

/** The command at a position, or NULL behind the newest. */
const struct history_command *
history_at (const struct history *history, int64_t position);
