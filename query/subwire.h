/**
 * @file subwire.h
 * Messages that carry sub-requests between nodes, and their MessagePack encoding. No I/O.
 *
 * All sub-requests of a query for targets of one owner are sent in one message.
 */
#pragma once

#include "core/buf.h"
#include "query/query.h"

enum { SUBWIRE_MAX_ITEMS = 4096 };

/** What a sub-request asks for. */
enum sub_kind {
	SUB_QUERY,  /**< POST /query with the caller's body */
	SUB_LOOKUP, /**< GET /entries/KEY */
	SUB_ONCE,   /**< POST /once with the caller's body; never sent again if it may have run */
	/** Which snapshots the target holds; its owner asks it only if it does not know. */
	SUB_DISCOVER,
	SUB_KIND_COUNT,
};

/** A sub-request in a batch. */
struct sub_item {
	uint32_t attempt;
	char target[RESOURCE_NAME_MAX + 1];
	snapshot_t snapshot;
	uint32_t shard;
	int64_t remaining_us; /**< until its deadline, when it was sent */
};

/** Sub-requests of one request for one owner. */
struct sub_batch {
	uint64_t request; /**< id, never reused by its sender */
	enum sub_kind kind;
	const char *text; /**< body, or the key of a lookup */
	size_t text_len;
	struct sub_item *items;
	int count;
};

/** The result of one sub-request. */
struct sub_reply {
	uint64_t request;
	uint32_t attempt;
	int http_status;
	struct sub_result result;
};

/** Attempts that the sender cancels. */
struct sub_cancel {
	uint64_t request;
	uint32_t *attempts;
	int count;
};

void *
subwire_encode_batch (const struct sub_batch *batch, size_t *len);
void *
subwire_encode_reply (const struct sub_reply *reply, size_t *len);
void *
subwire_encode_cancel (const struct sub_cancel *cancel, size_t *len);

/**
 * Decodes a message; returns false when it is malformed. Texts point into @p data. The caller frees
 * items and attempts in either case.
 */
bool
subwire_decode_batch (struct sub_batch *batch, const void *data, size_t len);
bool
subwire_decode_reply (struct sub_reply *reply, const void *data, size_t len);
bool
subwire_decode_cancel (struct sub_cancel *cancel, const void *data, size_t len);
