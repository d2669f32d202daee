/**
 * @file reply.h
 * Interprets the headers of a target's HTTP reply: which sub-request and data it belongs to,
 * which snapshots the target holds, and whether it has restarted. No I/O.
 */
#pragma once

#include "query/query.h"
#include "targets/gate.h"

#include <stddef.h>

/** Reply headers of the target protocol; missing ones are empty. */
struct reply_headers {
	char request_id[80];
	char shard[16];
	char snapshot[24];
	char held[128];
	char boot[40];
	char load[16];
	char cold[8];
	char ran[8];
};

/** The headers that a reply must carry to count as the answer to a sub-request. */
struct reply_labels {
	const char *request_id;
	uint32_t shard;
	snapshot_t snapshot;
	bool once; /**< at-most-once request: shard and snapshot do not apply */
};

/** Stores the value of a header line, "Name: value", if the target protocol defines the name. */
void
reply_parse_header_line (struct reply_headers *headers, const char *line, size_t len);

/**
 * Classifies a complete reply. One whose headers do not match @p labels never counts as an answer.
 * @param outcome set to what the reply means for the target's gate
 */
enum sub_status
reply_classify (const struct reply_headers *headers, long http_status,
	const struct reply_labels *labels, enum gate_outcome *outcome);

/**
 * Parses the snapshots that the target holds, at most MAX_HELD_SNAPSHOTS.
 * @return their number; 0 when the reply does not name any.
 */
int
reply_held_snapshots (const struct reply_headers *headers, snapshot_t held[MAX_HELD_SNAPSHOTS]);

/** A hash of the boot id; 0 only when the reply has none. */
uint64_t
reply_boot_hash (const struct reply_headers *headers);
