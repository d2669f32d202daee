/**
 * @file scatter.h
 * One caller's request on a declared route: to one target, or to one target of every shard.
 * No I/O.
 *
 * Sub-requests are hedged and retried within the route's attempts and the service's budget. A
 * fan-out is answered whole when it can be, and near the route's aim with the shards that are
 * in, if they are enough. The shell carries out what the hooks ask for.
 */
#pragma once

#include "core/rng.h"
#include "query/replica.h"
#include "query/routing.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

enum {
	SCATTER_MAX_ATTEMPTS = 6, /**< of one shard, with those that did not run */
	SCATTER_RECORD_BYTES = 16,
	SCATTER_HEDGE_PERCENTILE = 92, /**< a sub-request slower than this is hedged */
	SCATTER_HEDGE_MEDIANS = 3, /**< and one slower than so many medians, when many are slow */
	SCATTER_HEDGE_LEAST_US = 4000,   /**< a reply that crosses the network needs this long */
	SCATTER_HEDGE_PRESET_US = 40000, /**< until enough latencies are known */
	SCATTER_QUEUE_PER_SLOT = 4,      /**< sub-requests that may wait for a service, a slot */
	SCATTER_RETRY_RESERVE = 2,       /**< extra sub-requests that hedges leave for retries */
	SCATTER_HEDGE_SAVED = 2,         /**< what can be saved up beyond this may be reserved */
	SCATTER_RETRY_AFTER_MS = 250,    /**< least wait that a refused caller is told */
};

/** How a sub-request ended. */
enum sub_end {
	SUB_END_ANSWERED, /**< a whole successful reply of this target to this request */
	SUB_END_STATUS,   /**< a whole reply with another status; it ran */
	SUB_END_NOT_RUN,  /**< the target said that it did not run it */
	SUB_END_NOT_SENT, /**< no byte of it left this node */
	SUB_END_BROKEN,   /**< no valid reply; it may have run */
};

/** A whole reply of a target. */
struct sub_answer {
	int http_status;
	const char *stamp;        /**< the target's proof of the reply; not owned, may be empty */
	const char *content_type; /**< not owned, may be empty */
	const char *body;
	size_t body_len;
};

enum scatter_phase { SCATTER_RUNNING, SCATTER_DONE };

/** What the caller gets. */
enum scatter_result {
	SCATTER_MERGED,  /**< fan-out: records of the shards that are in */
	SCATTER_REPLY,   /**< the reply of one target */
	SCATTER_REFUSED, /**< nothing ran and nothing will */
	SCATTER_FAILED,  /**< it may have run */
	SCATTER_TIMEOUT, /**< no answer within the deadline; it may have run */
};

/** Why a shard was given up without an answer. */
enum give_up {
	GIVE_UP_NONE,
	GIVE_UP_NO_TARGET,  /**< none may get work */
	GIVE_UP_QUEUE_FULL, /**< too many wait already */
	GIVE_UP_NO_BUDGET,  /**< no extra sub-request is left */
	GIVE_UP_ATTEMPTS,   /**< tried as often as it may be */
	GIVE_UP_NO_TIME,    /**< it waited for room until the request ended */
};

/** Why a hedge that was due was not sent. */
enum no_hedge { NO_HEDGE_NONE, NO_HEDGE_TARGET, NO_HEDGE_BUDGET };

struct scatter;

/** The state of one shard; a request to a single service has one. */
struct scatter_shard {
	struct cds_list_head node; /**< in its set's waiting list, while queued */
	struct scatter *scatter;
	struct replica_set *set;
	struct replica *tried[SCATTER_MAX_ATTEMPTS];
	int tried_count;
	int spent; /**< attempts on which it may have run, or runs */
	int running;
	bool queued;
	int64_t queued_us; /**< since when it waits, while queued */
	enum give_up give_up;
	enum no_hedge no_hedge;
	bool closed; /**< answered, or given up */
	bool answered;
	bool may_have_run;
	bool arrived;     /**< a sub-request reached a target, so that the next one is extra */
	int64_t hedge_us; /**< INT64_MAX: no hedge planned */
	int http_status;
	char *stamp; /**< owned */
	char *content_type;
	char *body;
	size_t body_len;
};

/** What the shell does for a request. */
struct scatter_hooks {
	/** Sends a sub-request; its end is reported by scatter_sub_ended, never from inside. */
	void (*send) (struct scatter *scatter, int shard, struct replica *replica);
	/** The result is there. Sub-requests under way may be left to end. */
	void (*finish) (struct scatter *scatter);
};

/** Settings of this node for all requests. */
struct scatter_policy {
	const char *data_centre;
	int extra_percent; /**< budget that each first sub-request earns */
	int64_t margin_us; /**< time from the last moment of an answer here to the caller */
};

struct scatter {
	struct routing *routing; /**< a reference is held */
	struct routing_rule *rule;
	const struct scatter_policy *policy;
	const struct scatter_hooks *hooks;
	enum scatter_phase phase;
	enum scatter_result result;
	int64_t start_us;
	int64_t deadline_us;
	int64_t partial_us;  /**< from then on enough shards are an answer */
	int64_t patience_us; /**< after the aim is lost: when enough shards are an answer again */
	struct scatter_shard *shards;
	int shard_count;
	int answered;
	int closed;
	int least;
	int hedges;
	int retries;
	int64_t waited_us;      /**< longest wait of a shard for room */
	int64_t retry_after_ms; /**< SCATTER_REFUSED */
};

/**
 * Prepares a request; takes its own reference to the routing.
 * @param deadline_us when the caller stops waiting
 */
void
scatter_init (struct scatter *scatter, struct routing *routing, struct routing_rule *rule,
	const struct scatter_policy *policy, const struct scatter_hooks *hooks, int64_t now_us,
	int64_t deadline_us);
void
scatter_finish (struct scatter *scatter);

void
scatter_start (struct scatter *scatter, int64_t now_us);

/** A sub-request ended. The use of the replica has been given back already. */
void
scatter_sub_ended (struct scatter *scatter, int shard, enum sub_end end,
	const struct sub_answer *answer, int64_t now_us);

/** Time passed; call at scatter_wake_us or later. */
void
scatter_tick (struct scatter *scatter, int64_t now_us);

/** When scatter_tick is wanted next. */
int64_t
scatter_wake_us (const struct scatter *scatter);

/** The name of a reason as logs and metrics show it. */
const char *
scatter_give_up_name (enum give_up reason);

const char *
scatter_no_hedge_name (enum no_hedge reason);

/** Why a request was refused: the reason of the first shard that has one. */
enum give_up
scatter_refusal (const struct scatter *scatter);

/** A target of the service may have room again: sends what waits for it. */
void
scatter_serve_waiting (struct replica_set *set, int64_t now_us);

/**
 * Merges the records of the shards that are in: the greatest first, compared byte by byte.
 * @return the bytes, which the caller frees.
 */
char *
scatter_merge (const struct scatter *scatter, size_t *len);
