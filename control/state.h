/**
 * @file state.h
 * The replicated state: resources, members and the ledger, built only from log entries.
 */
#pragma once

#include "control/command.h"

/** What applying a command gave. */
struct state_result {
	enum command_kind kind;
	struct change_result change; /**< COMMAND_CHANGE */
	enum claim_verdict verdict;  /**< COMMAND_CLAIM */
	struct claim claim;          /**< copy of the claim; its body is not owned */
	bool ok;                     /**< other kinds */
};

/** The accepted routing document, as the operator sent it but packed (core/packed.h). */
struct state_routing {
	uint64_t version; /**< 0: none yet */
	char *document;   /**< owned, packed */
	size_t len;
};

struct state {
	struct resources resources;
	struct members members;
	struct ledger ledger;
	struct state_routing routing;
	uint64_t applied;    /**< newest applied log index */
	uint64_t epoch;      /**< newest index that could change an owner */
	int64_t log_time_ms; /**< never runs back */
};

void
state_init (struct state *state);
void
state_finish (struct state *state);

/** Applies the command of a log index; malformed bytes change nothing. */
void
state_apply (struct state *state, uint64_t index, const void *data, size_t len,
	struct state_result *result);

/**
 * Encodes the state; the caller frees the bytes.
 * @param full false leaves out the ledger and results, which only voters need.
 */
void *
state_encode (const struct state *state, bool full, size_t *len);

/** Replaces the state; false when the bytes are malformed, and the state is then undefined. */
bool
state_decode (struct state *state, const void *data, size_t len);
