/**
 * @file scatter.h
 * One request of a caller on a declared route: sent to one target, or to one target of every shard
 * with the replies merged. No I/O.
 *
 * Against slow and failing targets, sub-requests are hedged and retried within the attempts of the
 * route and the budget of the service. A fan-out gets a complete answer if possible; near the
 * latency objective of the route, the shards that have replied are the answer if they are enough.
 * The I/O layer implements the hooks.
 */
#pragma once

#include "core/rng.h"
#include "query/records.h"
#include "query/replica.h"
#include "query/routing.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

enum {
	SCATTER_MAX_ATTEMPTS = 6,      /**< of one shard, including those that did not run */
	SCATTER_HEDGE_PERCENTILE = 92, /**< sub-requests slower than this are hedged */
	SCATTER_HEDGE_MAX_MEDIANS = 3, /**< maximum hedge delay, reached when many are slow */
	SCATTER_HEDGE_MIN_US = 4000,   /**< a reply over the network takes this long */
	/**
	 * With reported loads, a hedge is due between these shares of the latency objective. The
	 * first hedge may meet a pause too, and a second one then still comes in time. Sooner ones
	 * use up the budget and improve no answer that would come in time anyway.
	 */
	SCATTER_HEDGE_MAX_SHARE = 3,
	SCATTER_HEDGE_MIN_SHARE = 6,
	SCATTER_HEDGE_DEFAULT_US = 40000, /**< latency assumed until enough are observed */
	SCATTER_QUEUE_PER_SLOT = 4,       /**< shards that may wait for a service, per slot */
	/** Past the latency objective, an answer waits for missing shards for this part of it. */
	SCATTER_LATE_PERCENT = 25,
	SCATTER_RETRY_RESERVE = 2,    /**< extra sub-requests that hedges leave to retries */
	SCATTER_HEDGE_MIN_BURST = 2,  /**< extra sub-requests never reserved for retries */
	SCATTER_RETRY_AFTER_MS = 250, /**< minimum wait before a refused caller may retry */
	/** A request that waited for busy targets is sent if so many usual latencies remain. */
	SCATTER_RETURN_LATENCY_FACTOR = 4,
	SCATTER_RETURN_MIN_US = 50000, /**< and at least this time */
	/** A hedge that is overdue by this much is not sent: this process was suspended. */
	SCATTER_HEDGE_OVERDUE_US = 250000,
};

/** How a sub-request ended. */
enum sub_end {
	SUB_END_ANSWERED, /**< a complete reply to this request, usable as its answer */
	SUB_END_STATUS,   /**< a complete reply with another status; the request ran */
	SUB_END_NOT_RUN,  /**< the target reported that it did not run the request */
	SUB_END_NOT_SENT, /**< no byte of the request left this node */
	SUB_END_BROKEN,   /**< no valid reply; the request may have run */
};

/** A complete reply of a target. */
struct sub_answer {
	int http_status;
	const char *stamp; /**< by which the target signs the reply; not owned, may be empty */
	const char *content_type; /**< not owned, may be empty */
	const char *leaving;      /**< id of its target if that announced that it leaves, or NULL */
	const char *body;
	size_t body_len;
};

enum scatter_phase { SCATTER_RUNNING, SCATTER_DONE };

/** What of a request this node runs. */
enum scatter_scope {
	SCATTER_WHOLE,
	SCATTER_SECTION, /**< some shards, for another node that answers the caller */
};

/** What the caller gets. */
enum scatter_result {
	SCATTER_MERGED,  /**< fan-out: records of the shards that answered */
	SCATTER_REPLY,   /**< the reply of one target */
	SCATTER_REFUSED, /**< nothing ran and nothing will run */
	SCATTER_FAILED,  /**< the request may have run */
	SCATTER_TIMEOUT, /**< no answer within the deadline; the request may have run */
};

/** Why a shard was given up without an answer. */
enum give_up {
	GIVE_UP_NONE,
	GIVE_UP_NO_TARGET,  /**< no target is usable */
	GIVE_UP_QUEUE_FULL, /**< too many shards wait for the service */
	GIVE_UP_NO_BUDGET,  /**< no budget is left for an extra sub-request */
	GIVE_UP_ATTEMPTS,   /**< all attempts that a shard may have are used up */
	GIVE_UP_NO_TIME,    /**< still queued when the request ended */
	GIVE_UP_AGGREGATOR, /**< its aggregator failed after it may have sent all attempts */
	GIVE_UP_REFUSING,   /**< all targets asked for no requests until it would be too late */
	GIVE_UP_DISPLACED, /**< a request of another account, or a more urgent one, has its place */
	GIVE_UP_COUNT,
};

/** Why a hedge that was due was not sent. */
enum no_hedge { NO_HEDGE_NONE, NO_HEDGE_TARGET, NO_HEDGE_BUDGET, NO_HEDGE_OVERDUE };

struct scatter;

/** The state of one shard; a request to a single service has one. */
struct scatter_shard {
	struct cds_list_head node; /**< in its set's waiting list, while queued */
	struct scatter *scatter;
	struct replica_set *set;
	struct replica *tried[SCATTER_MAX_ATTEMPTS];
	int tried_count;
	int attempts_used; /**< sub-requests that run or may have run */
	int running;
	bool queued;
	int64_t queued_us; /**< start of the wait, while queued */
	uint64_t arrival;  /**< while queued: number of its arrival at the service */
	int64_t return_us; /**< while queued: when a target takes requests again; INT64_MAX: none */
	bool awaited_return; /**< it was queued because all targets asked for no requests */
	enum give_up give_up;
	enum no_hedge no_hedge;
	bool closed; /**< answered, or given up */
	bool answered;
	bool remote;   /**< an aggregator sends the sub-requests */
	bool reported; /**< of a section: its end was sent to the node that received the query */
	int part;      /**< index of the shard in the route */
	bool may_have_run;
	bool reached_target; /**< so that the next sub-request is charged to the budget */
	int64_t hedge_at_us; /**< INT64_MAX: no hedge planned */
	int http_status;
	char *stamp; /**< owned */
	char *content_type;
	char *leaving; /**< id of the target that answered and leaves; NULL: none */
	char *body;
	size_t body_len;
};

/** What the I/O layer does for a request. */
struct scatter_hooks {
	/** Sends a sub-request. Its end is reported by scatter_sub_ended, not within this call. */
	void (*send) (struct scatter *scatter, int shard, struct replica *replica);
	/** Delivers the result. Sub-requests in flight may continue until they end. */
	void (*deliver) (struct scatter *scatter);
	/** SCATTER_SECTION: shards may have ended, but not all of them. */
	void (*progress) (struct scatter *scatter);
	/** The time of scatter_wake_us has changed outside of a call for this request. */
	void (*rearm) (struct scatter *scatter);
};

/** Settings of this node for all requests. */
struct scatter_policy {
	const char *data_centre;
	int extra_percent; /**< of an extra sub-request, earned by each first one */
	int64_t margin_us; /**< time reserved for an answer to reach the caller */
	enum placement placement;
};

struct scatter {
	struct routing *routing; /**< a reference is held */
	struct routing_rule *rule;
	const struct scatter_policy *policy;
	const struct scatter_hooks *hooks;
	enum scatter_scope scope;
	int priority;     /**< 0 is the most urgent: that of the account, or of the route */
	uint64_t account; /**< id of the caller's account, see query/accounts.h; 0: none */
	/**
	 * SCATTER_SECTION: the node that received the query has not confirmed yet that it still
	 * waits. It may have passed the shards to another node, so each gets one attempt until
	 * then.
	 */
	bool unconfirmed;
	int attempts_before; /**< SCATTER_SECTION: attempts of each shard by other nodes */
	enum scatter_phase phase;
	enum scatter_result result;
	int64_t start_us;
	int64_t deadline_us;
	int64_t partial_us;      /**< from then on min_shards are enough to answer */
	int64_t late_partial_us; /**< partial_us once the latency objective is missed; later if a
				    shard was sent after a wait for its service */
	struct scatter_shard *shards;
	int shard_count;
	int answered;
	int closed;
	int min_shards;
	int hedges;
	int retries;
	int64_t waited_us;      /**< longest wait of a shard in the queue */
	int64_t retry_after_ms; /**< for SCATTER_REFUSED: the wait that the caller is told */
};

/**
 * Prepares a request; takes its own reference to the routing.
 * @param deadline_us when the caller stops waiting
 */
void
scatter_init (struct scatter *scatter, struct routing *routing, struct routing_rule *rule,
	const struct scatter_policy *policy, const struct scatter_hooks *hooks, int64_t now_us,
	int64_t deadline_us);
/**
 * Makes a partial answer due sooner if its way to the caller takes longer than the policy's margin.
 * Half of the margin is reserved for processing. Call before scatter_start.
 * @param travel_us time on the network that is part of the caller's latency
 */
void
scatter_reserve_travel (struct scatter *scatter, int64_t travel_us);

/**
 * Prepares a section of a fan-out: the shards that @p parts names by their index in the route. It
 * ends when all of them have, and does not decide on partial answers.
 * @param attempts_used attempts of each shard that another node may have used
 */
void
scatter_init_section (struct scatter *scatter, struct routing *routing, struct routing_rule *rule,
	const struct scatter_policy *policy, const struct scatter_hooks *hooks, int64_t now_us,
	int64_t deadline_us, const int *parts, int part_count, int attempts_used);
void
scatter_finish (struct scatter *scatter);

/** Sets the account that the request is for and its priority; before scatter_start. */
void
scatter_set_account (struct scatter *scatter, uint64_t account, int priority);

/** Marks a shard as sent by an aggregator; before scatter_start. */
void
scatter_set_remote (struct scatter *scatter, int shard_index);

/**
 * To be called with the answer for a shard that an aggregator reports. The records of several
 * shards may come with one of them.
 */
void
scatter_remote_answered (struct scatter *scatter, int shard_index, const struct sub_answer *answer);

/** To be called when an aggregator gave up a shard. */
void
scatter_remote_given_up (
	struct scatter *scatter, int shard_index, enum give_up reason, bool may_have_run);

/**
 * Takes a shard back from an aggregator that failed; the shard is sent from this node.
 * @param may_have_run the aggregator may have sent a sub-request, but no hedge
 */
void
scatter_remote_failed (struct scatter *scatter, int shard_index, bool may_have_run, int64_t now_us);

/** Ends the request if nothing more can come; call after a series of the calls above. */
void
scatter_remote_done (struct scatter *scatter, int64_t now_us);

void
scatter_start (struct scatter *scatter, int64_t now_us);

/** Ends a request that this node cannot wait for any longer, with the best result so far. */
void
scatter_end (struct scatter *scatter, int64_t now_us);

/** False when no sub-request was sent, or all of them are known not to have run. */
bool
scatter_may_have_run (const struct scatter *scatter);

/** To be called when a sub-request has ended, after replica_end. */
void
scatter_sub_ended (struct scatter *scatter, int shard_index, enum sub_end end,
	const struct sub_answer *answer, int64_t now_us);

/** Sends due hedges and ends the request if its time is up; call at scatter_wake_us or later. */
void
scatter_tick (struct scatter *scatter, int64_t now_us);

/** True when a target that a shard waits for takes requests again; see scatter_serve_returned. */
bool
scatter_has_returned (const struct scatter *scatter, int64_t now_us);

/**
 * Serves the queues of the shards that wait for targets which take requests again, in the order of
 * their priority. May end the request and others.
 */
void
scatter_serve_returned (struct scatter *scatter, int64_t now_us);

/** When scatter_tick has to be called next. */
int64_t
scatter_wake_us (const struct scatter *scatter);

/** The text for a reason in log lines. */
const char *
scatter_give_up_name (enum give_up reason);

const char *
scatter_no_hedge_name (enum no_hedge reason);

/** Why a request was refused: the reason of the first shard that has one. */
enum give_up
scatter_refusal (const struct scatter *scatter);

/** Sends waiting shards while the targets of the service have capacity for them. */
void
scatter_serve_waiting (struct replica_set *set, int64_t now_us);

/**
 * Merges the records of the shards that answered: the greatest first, compared byte by byte.
 * @return the bytes, which the caller frees.
 */
char *
scatter_merge (const struct scatter *scatter, size_t *len);

/** Like scatter_merge, but leaves out shards that were reported. */
char *
scatter_merge_unreported (const struct scatter *scatter, size_t *len);

/** Confirms that the receiver of a section still waits, and sends what is due. */
void
scatter_confirm (struct scatter *scatter, int64_t now_us);

/** True when a hedge or retry is due, at scatter_wake_us or later. */
bool
scatter_hedge_is_due (const struct scatter *scatter, int64_t now_us);
