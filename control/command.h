/**
 * @file command.h
 * The commands of the control log and their MessagePack encoding. No I/O.
 *
 * Commands are stored in the log and sent between nodes as positional arrays. The order of the
 * fields and the enum values must not change.
 */
#pragma once

#include "control/ledger.h"
#include "control/members.h"
#include "control/resources.h"
#include "control/rollout.h"

enum command_kind {
	COMMAND_CHANGE,        /**< a resource change */
	COMMAND_MEMBER_PUT,    /**< a node joined or announced that it leaves */
	COMMAND_MEMBER_REMOVE, /**< a node stopped or its lease expired */
	COMMAND_CLAIM,         /**< an at-most-once request is about to run */
	COMMAND_OUTCOME,       /**< an at-most-once request ended */
	COMMAND_ROUTING,       /**< replaces all routes and services; the highest version wins */
	COMMAND_DATA_CENTRE_LEAVING, /**< a data centre leaves or returns */
	COMMAND_ROLLOUT_START,       /**< an order to roll out a version of a service */
	COMMAND_ROLLOUT_PHASE,       /**< the leader's judgement of a roll-out */
	COMMAND_KIND_COUNT,          /**< number of kinds; marks a command as invalid */
};

/** The claim of an idempotency key. */
struct command_claim {
	char key[LEDGER_KEY_MAX + 1];
	uint64_t digest;      /**< of the request */
	uint64_t nonce;       /**< identifies the attempt that makes the claim */
	int64_t retention_ms; /**< how long the claim and its outcome are kept */
};

/** The outcome of a claimed request. */
struct command_outcome {
	char key[LEDGER_KEY_MAX + 1];
	uint64_t nonce;
	enum claim_status status;
	int http_status;
	const char *body; /**< not owned */
};

/** A routing document: the bytes that the operator sent, compressed (core/packed.h). */
struct command_routing {
	uint64_t version;
	const char *document; /**< not owned */
	size_t len;
};

/**
 * Marks a data centre as leaving or returned, whatever the version of its document. Operators send
 * the order to several nodes until one confirms it, so one of them may read it after newer orders
 * were confirmed. Such an order has no effect: its revision is older than that of a newer order.
 */
struct command_data_centre_leaving {
	char data_centre[DATA_CENTRE_NAME_MAX + 1];
	bool leaving;
	/** What had been applied while the operator still waited; 0: unknown, always applied. */
	uint64_t revision;
};

/** A new phase of the roll-out that was ordered at a log index. */
struct command_rollout_phase {
	uint64_t started;
	enum rollout_phase phase;
};

/** One command; @c kind selects the member of the union. */
struct command {
	enum command_kind kind;
	int64_t log_time_ms; /**< wall clock of the leader when it proposed the command */
	union {
		struct change change;
		struct member member; /**< COMMAND_MEMBER_PUT and COMMAND_MEMBER_REMOVE */
		struct command_claim claim;
		struct command_outcome outcome;
		struct command_routing routing;
		struct command_data_centre_leaving leaving;
		struct rollout_order rollout;
		struct command_rollout_phase rollout_phase;
	} u;
};

/** Encodes a command; the caller frees the bytes. */
void *
command_encode (const struct command *command, size_t *len);

/**
 * Decodes a command. Its @c spec, @c body or @c document points into the returned storage, which
 * the caller frees with command_decode_finish.
 * @return NULL when the bytes are malformed.
 */
void *
command_decode (struct command *command, const void *data, size_t len);
void
command_decode_finish (void *storage);

/** True for commands that every node applies; only voters apply the others. */
bool
command_applies_to_all_nodes (enum command_kind kind);
