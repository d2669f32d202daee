/**
 * @file reply.h
 * What a target's HTTP reply says: labels, snapshots held, signs of a cold start. No I/O.
 */
#pragma once

#include "query/query.h"
#include "targets/gate.h"

#include <stddef.h>

/** Reply headers of the target protocol; empty where they did not come. */
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

/** The labels that a reply has to carry. */
struct reply_labels {
	const char *request_id;
	uint32_t shard;
	snapshot_t snapshot;
	bool once; /**< shard and snapshot do not apply */
};

/** Stores a header line, "Name: value", when the protocol defines it. */
void
reply_parse_header_line (struct reply_headers *headers, const char *line, size_t len);

/**
 * Judges a whole reply. A crossed or mislabelled one never counts as an answer.
 * @param outcome what it means for the target's gate.
 */
enum sub_status
reply_classify (const struct reply_headers *headers, long http_status,
	const struct reply_labels *labels, enum gate_outcome *outcome);

/** The snapshots held, at most MAX_HELD_SNAPSHOTS; 0 when the reply does not say. */
int
reply_held_snapshots (const struct reply_headers *headers, snapshot_t held[MAX_HELD_SNAPSHOTS]);

/** A number that stands for the boot id; 0 when the reply does not say. */
uint64_t
reply_boot_hash (const struct reply_headers *headers);
