/**
 * @file command.h
 * The commands of the control log and their encoding.
 */
#pragma once

#include "control/ledger.h"
#include "control/members.h"
#include "control/resources.h"

enum command_kind {
	COMMAND_CHANGE,        /**< a resource change */
	COMMAND_MEMBER_PUT,    /**< a node joined or announced that it leaves */
	COMMAND_MEMBER_REMOVE, /**< a node is gone */
	COMMAND_CLAIM,         /**< a once-only request is about to run */
	COMMAND_OUTCOME,       /**< a once-only request ended */
	COMMAND_ROUTING,       /**< the routes and services as a whole; the highest version holds */
	COMMAND_DATA_CENTRE_LEAVING, /**< a data centre leaves or returns, whatever its document
					says */
	COMMAND_KINDS,
};

/** A claim request. */
struct command_claim {
	char key[LEDGER_KEY_MAX + 1];
	uint64_t digest;
	uint64_t nonce;
	int64_t retention_ms;
};

/** An outcome. */
struct command_outcome {
	char key[LEDGER_KEY_MAX + 1];
	uint64_t nonce;
	enum claim_status status;
	int http_status;
	const char *body; /**< not owned */
};

/** A declared routing; kept as the bytes that the operator sent. */
struct command_routing {
	uint64_t version;
	const char *document; /**< packed, not owned */
	size_t len;
};

/** A data centre that leaves or returns. */
struct command_data_centre_leaving {
	char data_centre[RESOURCE_NAME_MAX + 1];
	bool leaving;
};

/** One command; the kind says which member counts. */
struct command {
	enum command_kind kind;
	int64_t log_time_ms; /**< stamped by the leader */
	union {
		struct change change;
		struct member member; /**< COMMAND_MEMBER_PUT and COMMAND_MEMBER_REMOVE */
		struct command_claim claim;
		struct command_outcome outcome;
		struct command_routing routing;
		struct command_data_centre_leaving leaving;
	} u;
};

/** Encodes a command; the caller frees the bytes. */
void *
command_encode (const struct command *command, size_t *len);

/**
 * Decodes a command. Its texts point into storage that command_decode_finish frees.
 * @return NULL when the bytes are malformed.
 */
void *
command_decode (struct command *command, const void *data, size_t len);
void
command_decode_finish (void *storage);

/** True for commands that every node applies; others concern voters alone. */
bool
command_is_for_all (enum command_kind kind);
