/**
 * @file quota_wire.h
 * Messages between a node that needs a token of an account and the node that grants it, and their
 * MessagePack encoding. No I/O.
 */
#pragma once

#include "query/quota.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	QUOTA_VERSION = 1,
	QUOTA_NAME_SIZE = 256,
	QUOTA_AGE_MAX_MS = 60000,    /**< of returned tokens */
	QUOTA_WAIT_MAX_MS = 3600000, /**< of a refusal */
	QUOTA_REPORT_MAX = 1000000,  /**< refusals reported at once */
};

/** A question for a token; without one, it only reports and returns. */
struct quota_question {
	char account[QUOTA_NAME_SIZE];
	bool wants_token;
	uint64_t epoch;        /**< of the asking node's view */
	unsigned refused;      /**< refusals by the asking node since its last question */
	unsigned returned;     /**< tokens granted before that were not used */
	int64_t return_age_us; /**< since the first of them was asked for, in milliseconds */
};

void *
quota_encode_question (const struct quota_question *question, const char *key, size_t *len);

/** Decodes a question; false when it is malformed or has another key. */
bool
quota_decode_question (
	struct quota_question *question, const char *key, const void *data, size_t len);

void *
quota_encode_answer (const struct quota_answer *answer, size_t *len);
bool
quota_decode_answer (struct quota_answer *answer, const void *data, size_t len);
