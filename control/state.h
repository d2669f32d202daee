/**
 * @file state.h
 * The replicated state: resources, members, the ledger of at-most-once requests, the routing
 * document and the roll-outs. No I/O.
 *
 * The state changes only when a log entry is applied, so all voters at one log index hold the same
 * state. Other nodes need neither the ledger nor the change results.
 */
#pragma once

#include "control/command.h"

/** The result of applying a command. */
struct state_result {
	enum command_kind kind;
	/**
	 * COMMAND_CHANGE; of a superseded COMMAND_DATA_CENTRE_LEAVING or COMMAND_ROLLOUT_START,
	 * version is the newer order; of the latter, kind is ERROR_CONFLICT if another is active
	 */
	struct change_result change;
	enum claim_verdict verdict; /**< COMMAND_CLAIM */
	struct claim claim;         /**< COMMAND_CLAIM: copy of the claim; its body is not owned */
	bool ok; /**< accepted; of a member: it changed; not set for COMMAND_CLAIM */
};

/** The accepted routing document: the bytes that the operator sent, compressed (core/packed.h). */
struct state_routing {
	uint64_t version; /**< 0: no document yet */
	char *document;   /**< owned, compressed */
	size_t len;
};

struct state {
	struct resources resources;
	struct members members;
	struct ledger ledger;
	struct state_routing routing;
	struct rollouts rollouts;
	uint64_t applied;    /**< newest applied log index */
	uint64_t last_order; /**< log index of the newest order about a data centre */
	uint64_t epoch;      /**< newest log index that may have changed the owner of a target */
	int64_t log_time_ms; /**< newest time stamp of an applied command; never decreases */
};

void
state_init (struct state *state);
void
state_finish (struct state *state);

/** Applies the command at a log index; malformed bytes only advance @c applied. */
void
state_apply (struct state *state, uint64_t index, const void *data, size_t len,
	struct state_result *result);

/**
 * Encodes the state; the caller frees the bytes.
 * @param full false leaves out the ledger and the change results, which only voters need.
 */
void *
state_encode (const struct state *state, bool full, size_t *len);

/**
 * Replaces the state by an encoded one.
 * @return false when the bytes are malformed; the content of the state is then undefined.
 */
bool
state_decode (struct state *state, const void *data, size_t len);
