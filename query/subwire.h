/**
 * @file subwire.h
 * Sub-requests between nodes and their MessagePack encoding.
 *
 * All sub-requests of a query for one owner travel in one message.
 */
#pragma once

#include "core/buf.h"
#include "query/query.h"

enum { SUBWIRE_MAX_SUBS = 4096 };

/** What a sub-request asks of a target. */
enum sub_kind {
	SUB_QUERY,    /**< POST /query with the caller's body */
	SUB_LOOKUP,   /**< GET /entries/KEY */
	SUB_ONCE,     /**< POST /once with the caller's body; never repeated */
	SUB_DISCOVER, /**< which snapshots are held; the owner answers from what it knows */
	SUB_KIND_COUNT,
};

/** One sub-request of a batch. */
struct sub_item {
	uint32_t attempt;
	char target[RESOURCE_NAME_MAX + 1];
	snapshot_t snapshot;
	uint32_t shard;
	int64_t left_us; /**< time until its deadline when it was sent */
};

/** A batch for one owner. */
struct sub_batch {
	uint64_t request; /**< never reused by its sender */
	enum sub_kind kind;
	const char *text; /**< body, or the key of a lookup */
	size_t text_len;
	struct sub_item *items;
	int count;
};

/** The end of one sub-request. */
struct sub_reply {
	uint64_t request;
	uint32_t attempt;
	int http_status;
	struct sub_result result;
};

/** Attempts that the sender has given up. */
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

/** Decoders point into @p data for texts; false when malformed. The caller frees the arrays. */
bool
subwire_decode_batch (struct sub_batch *batch, const void *data, size_t len);
bool
subwire_decode_reply (struct sub_reply *reply, const void *data, size_t len);
bool
subwire_decode_cancel (struct sub_cancel *cancel, const void *data, size_t len);
