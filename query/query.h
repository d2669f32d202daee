/**
 * @file query.h
 * One query over all shards of a collection, or over the shard of one key. No I/O.
 *
 * The state machine pins one snapshot, sends a sub-request to a replica of every shard, hedges
 * and retries within the budget, and starts again on another snapshot when the pinned one is
 * gone. It takes events with the time and appends actions for the caller to carry out.
 */
#pragma once

#include "control/view.h"
#include "core/rng.h"

#include <stdint.h>

enum {
	QUERY_MAX_GENERATIONS = 6, /**< snapshots tried before the answer stays partial */
	QUERY_MAX_TRIES = 12,      /**< sub-requests for one shard and snapshot */
	QUERY_FIRST_BACKOFF_US =
		4000, /**< wait before a shard's refused replicas are asked again */
	QUERY_ANSWER_MARGIN_US = 3000, /**< time kept for merging and answering */
	QUERY_DISCOVER_SHARE = 4,      /**< a quarter of the deadline may go to discovery */
};

/** Policy numbers, from the settings. */
struct query_policy {
	bool hedge;
	int hedge_percentile;
	int extra_percent;       /**< budget earned per first sub-request */
	int64_t hedge_preset_us; /**< hedge delay until enough latencies are known */
	int64_t silence_us;      /**< least time after which an attempt counts as silent */
	bool baseline;           /**< for measurement: round robin, no hedging, no hints */
};

/** How a sub-request ended, as its owner says. */
enum sub_status {
	SUB_OK,
	SUB_REFUSED,          /**< nothing ran */
	SUB_SNAPSHOT_MISSING, /**< the target lacks the snapshot; nothing ran */
	SUB_FAILED,           /**< reset, malformed or mislabelled; it may have run */
	SUB_SILENT,           /**< no reply in time; it may have run */
};

/** What comes back for a sub-request. */
struct sub_result {
	enum sub_status status;
	snapshot_t snapshot; /**< of the rows */
	uint32_t shard;
	snapshot_t held[MAX_HELD_SNAPSHOTS];
	int held_count;
	bool cold;
	int64_t latency_us;
	const char *body; /**< a JSON array of rows when SUB_OK; not owned */
	size_t body_len;
};

enum attempt_state { ATTEMPT_IN_FLIGHT, ATTEMPT_ENDED };

/** One sub-request. Its position in query.attempts is its id. */
struct attempt {
	int target; /**< index in the view */
	int shard;
	int generation;
	int64_t sent_us;
	enum attempt_state state;
	bool discover; /**< asks only which snapshots are held */
	bool hedge;
};

/** The state of one shard in the present generation. */
struct shard {
	int service; /**< index in the view, or -1 */
	int tries;
	uint32_t ids[QUERY_MAX_TRIES]; /**< its attempts, in the order they were sent */
	bool charge;                   /**< the next try has to be paid from the budget */
	int waiting;
	int refusals;      /**< in a row, for the backoff */
	bool refused;      /**< a target or its owner had no room */
	int64_t hedge_us;  /**< when to hedge; INT64_MAX: no more */
	int64_t silent_us; /**< when to give the first waiting attempt up; INT64_MAX: none waits */
	int64_t retry_us;  /**< when to try again; INT64_MAX: not planned */
	bool discovered;
	bool answered;
	char *rows; /**< owned */
	size_t rows_len;
};

enum query_phase { QUERY_DISCOVERING, QUERY_RUNNING, QUERY_DONE };

enum query_action_kind { QUERY_SEND, QUERY_CANCEL, QUERY_FINISH };

/** What the caller of the state machine has to do. */
struct query_action {
	enum query_action_kind kind;
	uint32_t attempt; /**< QUERY_SEND, QUERY_CANCEL */
};

struct query_actions {
	struct query_action *items;
	int count;
	int cap;
};

struct query {
	struct view *view; /**< a reference is held */
	const struct view_collection *collection;
	const struct query_policy *policy;
	enum query_phase phase;
	int64_t start_us;
	int64_t deadline_us;
	bool single; /**< only the shard of a key */
	uint64_t key_hash;
	snapshot_t snapshot;
	snapshot_t gone[QUERY_MAX_GENERATIONS]; /**< snapshots given up */
	int generation;
	uint32_t first_shard; /**< number of shards[0] in the layout */
	struct shard *shards;
	int shard_count; /**< shards asked: all of the layout, or one */
	int answered;
	int discovering; /**< discovery attempts that wait */
	struct attempt *attempts;
	int attempt_count;
	int attempt_cap;
	int hedges;
	int retries;
	struct rng rng;
};

void
query_actions_init (struct query_actions *actions);
void
query_actions_finish (struct query_actions *actions);

/**
 * Prepares a query; takes its own reference to the view.
 * @param key NULL asks all shards; otherwise only the shard of the key.
 */
void
query_init (struct query *query, struct view *view, const struct view_collection *collection,
	const char *key, const struct query_policy *policy, int64_t now_us, int64_t deadline_us,
	uint64_t seed);
void
query_finish (struct query *query);

void
query_start (struct query *query, int64_t now_us, struct query_actions *actions);

/** A sub-request ended. Late, crossed and unknown ones are ignored and return false. */
bool
query_reply (struct query *query, uint32_t attempt, const struct sub_result *result, int64_t now_us,
	struct query_actions *actions);

/** Time passed; call at query_wake_us or later. */
void
query_tick (struct query *query, int64_t now_us, struct query_actions *actions);

/** True when a shard stayed missing although a target holds it, for want of room. */
bool
query_has_refused_shard (const struct query *query);

/** When query_tick is wanted next. */
int64_t
query_wake_us (const struct query *query);

/** The shard of a key: XXH64 of the key, modulo the number of shards. */
uint32_t
query_shard_of (uint64_t key_hash, int shard_count);
