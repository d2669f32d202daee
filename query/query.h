/**
 * @file query.h
 * State machine of one query over all shards of a collection, or over the shard of one key. No I/O.
 *
 * Pins one snapshot, so that an answer never mixes index versions, and sends a sub-request to one
 * replica of every shard. Hedges slow sub-requests and retries failed ones within a budget. Starts
 * again on another snapshot when the usable replicas of a shard no longer hold the pinned one.
 * Each event comes with the current time and appends actions for the caller to carry out.
 */
#pragma once

#include "control/view.h"
#include "core/rng.h"

#include <stdint.h>

enum {
	QUERY_MAX_GENERATIONS = 6, /**< snapshots tried before the answer may stay partial */
	QUERY_MAX_ATTEMPTS = 12,   /**< sub-requests for one shard and snapshot */
	/** Wait before a shard is asked again, doubled per failure up to six times. */
	QUERY_BACKOFF_BASE_US = 4000,
	QUERY_ANSWER_MARGIN_US = 3000, /**< time reserved for merging and answering */
	QUERY_DISCOVERY_DIVISOR = 4,   /**< discovery may take 1/4 of the time to the deadline */
};

/** Settings that apply to all queries. */
struct query_policy {
	bool hedge;
	int hedge_percentile;
	int extra_percent;        /**< hedges and retries, in percent of first sub-requests */
	int64_t hedge_default_us; /**< hedge delay while too few latencies are known */
	int64_t silence_us;       /**< shortest time without a reply that counts as silence */
	bool baseline;            /**< for comparison: replicas in turn, regardless of hints */
};

/** How a sub-request ended, as the target's owner reports it. */
enum sub_status {
	SUB_OK,               /**< valid reply */
	SUB_REFUSED,          /**< refused by the owner or the target; it did not run */
	SUB_SNAPSHOT_MISSING, /**< the target lacks the snapshot; it did not run */
	SUB_FAILED,           /**< reset, malformed or mismatched reply; it may have run */
	SUB_SILENT,           /**< no reply in time; it may have run */
};

/** Result of a sub-request. */
struct sub_result {
	enum sub_status status;
	snapshot_t snapshot;                 /**< that the rows belong to */
	uint32_t shard;                      /**< that the rows belong to */
	snapshot_t held[MAX_HELD_SNAPSHOTS]; /**< by the target */
	int held_count;                      /**< 0: not known */
	bool cold;                           /**< the target is in a cold start */
	int64_t latency_us;
	const char *body; /**< a JSON array of rows when SUB_OK; not owned */
	size_t body_len;
};

enum attempt_state { ATTEMPT_IN_FLIGHT, ATTEMPT_ENDED };

/** One sub-request. Its position in query.attempts is its id. */
struct attempt {
	int target;     /**< index in the view */
	int shard;      /**< index in query.shards; during discovery, in the layout */
	int generation; /**< query.generation when it was sent */
	int64_t sent_us;
	enum attempt_state state;
	bool discover; /**< asks only which snapshots the target holds */
	bool hedge;
};

/** The state of one shard in the current generation. */
struct shard {
	int service; /**< index in the view, or -1 */
	int attempt_count;
	uint32_t attempt_ids[QUERY_MAX_ATTEMPTS]; /**< in the order they were sent */
	bool charge_retry;                        /**< the next retry is charged to the budget */
	int in_flight;
	int failures;         /**< determines the backoff */
	bool refused;         /**< an attempt ended with SUB_REFUSED */
	int64_t hedge_at_us;  /**< INT64_MAX: no hedge planned */
	int64_t silent_at_us; /**< when its attempts count as silent; INT64_MAX: none in flight */
	int64_t retry_at_us;  /**< INT64_MAX: no retry planned */
	bool discovered;
	bool answered;
	char *rows; /**< owned */
	size_t rows_len;
};

enum query_phase { QUERY_DISCOVERING, QUERY_RUNNING, QUERY_DONE };

enum query_action_kind { QUERY_SEND, QUERY_CANCEL, QUERY_FINISH };

/** An action that the caller of the state machine has to carry out. */
struct query_action {
	enum query_action_kind kind;
	uint32_t attempt; /**< id, for QUERY_SEND and QUERY_CANCEL */
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
	bool single_shard; /**< asks only the shard of a key */
	uint64_t key_hash;
	snapshot_t snapshot; /**< pinned; 0: none */
	/** Pinned earlier, but no longer held by the usable replicas of a shard. */
	snapshot_t abandoned_snapshots[QUERY_MAX_GENERATIONS];
	int generation;       /**< number of abandoned snapshots */
	uint32_t first_shard; /**< index of shards[0] in the layout */
	struct shard *shards;
	int shard_count;         /**< all of the layout, or one */
	int answered;            /**< shards that have answered */
	int discovery_in_flight; /**< discovery attempts in flight */
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
 * @param key NULL to ask all shards; otherwise only the shard of this key is asked
 */
void
query_init (struct query *query, struct view *view, const struct view_collection *collection,
	const char *key, const struct query_policy *policy, int64_t now_us, int64_t deadline_us,
	uint64_t seed);
void
query_finish (struct query *query);

void
query_start (struct query *query, int64_t now_us, struct query_actions *actions);

/**
 * Handles the end of a sub-request. Returns false when it is ignored, because the attempt is
 * unknown, has already ended or belongs to an abandoned snapshot.
 */
bool
query_reply (struct query *query, uint32_t attempt, const struct sub_result *result, int64_t now_us,
	struct query_actions *actions);

/** Handles due timers; to be called at query_wake_us() or later. */
void
query_tick (struct query *query, int64_t now_us, struct query_actions *actions);

/** True when a shard without an answer had a sub-request refused. */
bool
query_has_refused_shard (const struct query *query);

/** When to call query_tick() next. */
int64_t
query_wake_us (const struct query *query);

/** The shard of a key: XXH64 of the key, modulo the number of shards. */
uint32_t
query_shard_of (uint64_t key_hash, int shard_count);
