/**
 * @file history.h
 * A ring of the newest commands that took effect, for followers that lag and for watchers. No I/O.
 *
 * It is kept when the log is compacted and omits the commands of the ledger, so that a node that
 * lags a little never needs the complete state.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { HISTORY_COMMANDS = 8192 };

struct history_command {
	uint64_t index;
	void *data; /**< encoded command, owned */
	size_t len; /**< 0: superseded by a later command */
};

struct history {
	struct history_command *ring;
	uint64_t count;          /**< commands added since the last reset */
	uint64_t replacing_end;  /**< position after the newest replacing command; 0: none */
	uint64_t complete_after; /**< the ring has every effective command after this index */
};

void
history_init (struct history *history);
void
history_finish (struct history *history);

/** Removes all commands; those after @p index will be added. */
void
history_reset (struct history *history, uint64_t index);

/**
 * Adds a command that took effect.
 * @param replaces it supersedes the previous command added with this flag, whose data is freed
 */
void
history_add (struct history *history, uint64_t index, const void *data, size_t len, bool replaces);

/**
 * Finds the position of the first command after an index, for history_at.
 * @return -1 when the ring no longer has all commands after the index
 */
int64_t
history_first (const struct history *history, uint64_t index);

/** The command at a position; NULL when it is not in the ring. */
const struct history_command *
history_at (const struct history *history, int64_t position);
