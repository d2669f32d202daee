/**
 * @file batch.h
 * Messages between the node that received a query and its aggregators, and their MessagePack
 * encoding. No I/O.
 *
 * A batch asks an aggregator for the parts of some shards. The aggregator answers with the parts
 * that it has at its first hedge at the latest; the sender then asks for the rest, each time once,
 * until no shard is open.
 */
#pragma once

#include "query/scatter.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	BATCH_VERSION = 3,
	BATCH_MAX_SHARDS = 4096,
	BATCH_MAX_COUNT = 65536, /**< of hedges or retries in one result */
	BATCH_MAX_LINES = 128,
	BATCH_TEXT_MAX_BYTES = 32768, /**< of a path, an attempt id or a header line */
	BATCH_MAX_BYTES = 1048576,    /**< of an encoded batch */
	BATCH_MAX_LOADS = 48,         /**< reports in one result, of some 20 bytes each */
	BATCH_MAX_REPORTED = 1000001, /**< of a figure in a report */
	BATCH_LOAD_MAX_AGE_US = 60000000,
	BATCH_NAME_SIZE = 256,
	BATCH_METHOD_SIZE = 32,
	BATCH_MAX_PRIORITY = 1000000000,
};

/** Identifies a batch; never reused. */
struct batch_id {
	uint64_t sender; /**< incarnation of the sending node */
	uint64_t number;
};

/** A batch. */
struct batch_request {
	struct batch_id id;
	uint64_t routing_version;
	uint64_t digest; /**< of the route's shards, see routing_rule.digest */
	char route[BATCH_NAME_SIZE];
	char method[BATCH_METHOD_SIZE];
	char *attempt_id;     /**< owned */
	char *uri;            /**< owned */
	int64_t remaining_us; /**< until the deadline, when it was sent */
	int attempts_used;    /**< of each shard, which another aggregator may have sent */
	int priority;         /**< of the caller's account, or of the route */
	uint64_t account;     /**< id of the caller's account; 0: none */
	int *shards;          /**< owned; indices in the route */
	int shard_count;
	char **lines; /**< owned; the caller's headers that are forwarded to targets */
	int line_count;
};

/** What became of one shard. */
struct batch_part {
	int shard;
	bool answered;
	bool may_have_run;
	enum give_up give_up; /**< of a shard without an answer */
	char *stamp;          /**< owned; of an answered shard */
	char *leaving;        /**< owned; id of its target if that leaves; NULL or empty: none */
};

/** What a target of any service reported; see query/load_reports.h. */
struct batch_load {
	uint64_t service; /**< hash of its name */
	uint64_t target;  /**< hash of its id */
	struct load_report report;
	int64_t age_us;
};

/** The answer to a batch or to a request for its rest. */
struct batch_result {
	struct batch_id id;
	bool done; /**< no further result follows */
	int hedges;
	int retries;
	struct batch_part *parts; /**< owned; those that no earlier result holds */
	int part_count;
	char *records; /**< owned; the greatest records of the answered parts, falling */
	size_t records_len;
	struct batch_load *loads; /**< owned; recent reports */
	int load_count;
};

/** Whether an aggregator can decode a batch; otherwise the sender has to do without it. */
bool
batch_fits (const struct batch_request *request);

void *
batch_encode_request (const struct batch_request *request, const char *key, size_t *len);

/** Decodes a batch; false when it is malformed or has another key. */
bool
batch_decode_request (struct batch_request *request, const char *key, const void *data, size_t len);
void
batch_request_finish (struct batch_request *request);

/** Encodes a request for the rest of a batch. */
void *
batch_encode_rest (const struct batch_id *id, const char *key, size_t *len);
bool
batch_decode_rest (struct batch_id *id, const char *key, const void *data, size_t len);

void *
batch_encode_result (const struct batch_result *result, size_t *len);
bool
batch_decode_result (struct batch_result *result, const void *data, size_t len);
void
batch_result_finish (struct batch_result *result);
