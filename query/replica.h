/**
 * @file replica.h
 * The targets of a service as one entry node sees them, and the selection among them. No I/O.
 *
 * Made for many small sub-requests to few replicas that pause, turn slow or start cold. The replica
 * with the shortest expected wait is selected first, and one that has left a sub-request unanswered
 * for unusually long is selected last. None gets more than this node's share of what it can handle.
 *
 * Targets also announce in their answers that they leave, before the list shows it or while it
 * cannot be read. A target that leaves gets nothing more, but for a part of its drain time if no
 * other is expected to answer soon: when several targets of a shard are taken away at once, the
 * one that stays would be overloaded beside idle ones.
 *
 * Targets under more load than they can take ask for no requests for some time. They get none until
 * then, and after that few at first, so that the load that has waited does not return at once. Each
 * node returns a little later than asked, by as much as the first requests of all nodes need. To
 * ask for this is no failure; only a target that asks again at once is used last.
 *
 * While targets report their load, the one with the shortest expected completion time is selected,
 * by the likely cost of the request, the pace of each target and its outstanding work. A report
 * reaches many nodes at about the same time; near ties are drawn by lot, so that they do not all
 * select the same target.
 */
#pragma once

#include "core/rng.h"
#include "query/budget.h"
#include "query/cost.h"
#include "query/fairness.h"
#include "query/restart.h"
#include "query/routing.h"
#include "query/target_load.h"

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

enum {
	REPLICA_NAME_SIZE = ROUTING_NAME_MAX + 1,
	REPLICA_ADDRESS_SIZE = 64,
	REPLICA_VERSION_SIZE = 128,        /**< a longer version reads as none */
	REPLICA_LOAD_VALID_US = 200000,    /**< how long a reported load is used */
	REPLICA_FAILURE_AVOID_US = 500000, /**< avoidance after a failure; doubles if repeated */
	REPLICA_AVOID_MAX_US = 4000000,
	REPLICA_STALL_COST_US = 250000, /**< more than any expected wait at a target that answers */
	REPLICA_RETURN_SPREAD_MAX_US = 250000, /**< between the returns of nodes to a busy target */
	REPLICA_RETURN_LATENCY_US = 10000,     /**< of a request, assumed until it was measured */
	REPLICA_REFUSED_AVOID_US = 50000,      /**< after a refusal for lack of capacity; doubles */
	REPLICA_COLD_PERIOD_US = 1050000,      /**< one second, with a margin for network delay */
	REPLICA_LIST_LAG_US = 1000000,  /**< maximum lag of the list, with the time to read it */
	REPLICA_REMOTE_RTT_US = 3000,   /**< round trip between data centres of one region */
	REPLICA_DECAY_MIN_US = 4000000, /**< minimum time for measurements of a target to decay */
	REPLICA_DECAY_REQUESTS = 16,    /**< decay time, in mean intervals between requests */
	REPLICA_DECAY_MAX_US = 12000000,
	REPLICA_INTERVAL_MAX_US = 1000000, /**< longer pauses say nothing about the request rate */
	REPLICA_FAILURE_RATE_ONE = 1024,   /**< failure rate when all recent sub-requests failed */
	REPLICA_FAILURE_COST_MEDIANS = 4,  /**< median latencies that a failed sub-request costs */
	REPLICA_DRAIN_MARGIN_US = 500000,  /**< reserved for a request to reach a leaving target */
	/** How long the announcement of an unlisted target is remembered: lists may come late. */
	REPLICA_ANNOUNCED_KEEP_US = 600000000,
	/** Lists may show a target after its end for this long. */
	REPLICA_REPLACED_AVOID_US = 10000000,
	REPLICA_STALL_MEDIANS = 3,
	REPLICA_STALL_MIN_US = 15000, /**< shorter waits for a reply are ordinary variation */
	/** Reports count as in use for so long after the last one: some nodes send rarely. */
	REPLICA_REPORTS_VALID_US = 60000000,
	REPLICA_CONNECT_US = 6000, /**< time to open a connection */
	/** Near ties differ by a share of the completion time, and by less than a round trip. */
	REPLICA_TIE_SHARE = 8,
	REPLICA_TIE_MIN_US = 300,
	REPLICA_TIE_MAX_US = 2000,
	REPLICA_SPREAD_MAX_MEDIANS = 2, /**< maximum spread in a hedge delay */
};

/** By what a target is selected. The zero value is the default. */
enum placement {
	PLACEMENT_COST,  /**< expected completion time */
	PLACEMENT_WORK,  /**< measured latency and outstanding work */
	PLACEMENT_COUNT, /**< measured latency and number of requests; always without reports */
};

/** Why a target was selected rather than the next best. */
enum placement_reason {
	PLACED_BY_COUNT,    /**< no reports, or the cost of the route is not known yet */
	PLACED_ONLY,        /**< no other could be selected */
	PLACED_BY_LOT,      /**< others were about as good */
	PLACED_BY_PACE,     /**< it works faster */
	PLACED_BY_WORK,     /**< it has less outstanding work */
	PLACED_BY_DISTANCE, /**< it is nearer, or has an open connection */
	PLACED_BY_HEALTH,   /**< the other has failed or stalled */
	PLACED_REASON_COUNT,
};

/** The expected course of a request at a target, in microseconds. */
struct placement_estimate {
	int64_t work_us;    /**< at the target's pace */
	int64_t wait_us;    /**< outstanding work by slots */
	int64_t travel_us;  /**< network and connecting */
	int64_t penalty_us; /**< failures, stalls and refusals */
	int64_t overdue_us; /**< an answer that takes longer shows a pause */
	int64_t mean_us;    /**< mean work of the route at the target's pace, 0: not known */
	int pace;           /**< percent; 0: not reported */
	bool candidate;     /**< in the latest selection */
	enum placement_reason reason;
};

enum replica_state { REPLICA_READY, REPLICA_LEAVING };

/** What a target's version is to the roll-outs of its service; see query/exposure.h. */
enum replica_release {
	REPLICA_OLD_RELEASE,      /**< any version that no roll-out concerns */
	REPLICA_NEW_RELEASE,      /**< the one that is rolled out, or was last */
	REPLICA_REJECTED_RELEASE, /**< rolled back: gets nothing more */
	/** A version that this node first saw without a lease: an order may concern it. */
	REPLICA_HELD_RELEASE,
};

struct exposure;

/** A target. It outlives its entry in the list while requests refer to it. */
struct replica {
	struct cds_list_head node; /**< in its set */
	struct replica_set *set;
	char id[REPLICA_NAME_SIZE]; /**< of this incarnation */
	char address[REPLICA_ADDRESS_SIZE];
	char data_centre[DATA_CENTRE_NAME_SIZE];
	char version[REPLICA_VERSION_SIZE]; /**< of the service, as listed; may be empty */
	enum replica_release release;
	int slots;
	enum replica_state state;
	bool evacuated;      /**< its data centre is leaving, or has just returned */
	int64_t returned_us; /**< when its data centre returned after leaving; 0: it has not */
	bool listed;         /**< in the newest target list */
	int64_t replaced_us; /**< when another incarnation answered at its address; 0: never */
	/**
	 * When it may have begun to leave: the time of the last list that did not show it, less the
	 * lag of the list; 0: not known.
	 */
	int64_t listed_leaving_us;
	/**
	 * When it first announced in an answer that it leaves; 0: it has not. No list and no later
	 * answer undoes this. It ends with this incarnation.
	 */
	int64_t leaving_since_us;
	int64_t busy_until_us; /**< it refused and asked for no request until then; 0: it has not */
	int64_t busy_since_us; /**< when it asked for that */
	/** Sub-requests at the same time after that; doubles with each answer. 0: no limit. */
	int return_limit;
	uint64_t start_unix_ms;   /**< start of this incarnation, Unix milliseconds; 0: unknown */
	int64_t cold_until_us;    /**< until then it takes only the cold rate of the service */
	int64_t cold_next_us;     /**< while cold: earliest time of the next request of this node */
	int64_t cold_interval_us; /**< while cold: minimum time between two of them; 0: send none */
	struct restart_watch restart;
	int64_t avoid_until_us;
	int failures;        /**< consecutive */
	int refusals;        /**< for lack of capacity, consecutive */
	int64_t deferred_us; /**< when it first asked for the present time without requests */
	int deferrals;       /**< consecutive times without requests, with no answer between */
	int in_flight;
	int tried_count; /**< shards of requests that refer to it as tried; not freed before */
	struct cds_list_head running; /**< struct replica_use, oldest first */
	int64_t latency_us;           /**< moving average; 0: none yet */
	int failure_rate;             /**< failures and refusals, moving average */
	int64_t updated_us;           /**< when the averages were updated */
	int reported_load;            /**< running and waiting requests, as the target reported */
	int64_t reported_us;
	struct target_load load;
	int connections_open;               /**< as of the newest answer of its service */
	struct placement_estimate estimate; /**< of the latest selection by cost or work */
	void *pool;                         /**< connections of the I/O layer to it */
	void *watch;                        /**< of the I/O layer */
};

/** A sub-request in flight, embedded in that of the I/O layer. */
struct replica_use {
	struct cds_list_head node;
	struct replica *replica;
	int64_t sent_us;
	struct placement_estimate estimate; /**< mean_us 0: selected by count */
};

/** The targets of a service. */
struct replica_set {
	struct cds_list_head node;
	char name[REPLICA_NAME_SIZE];
	struct cds_list_head replicas;
	struct cds_list_head waiting; /**< struct scatter_shard; see query/fair_queue.h */
	int waiting_count;
	uint64_t arrivals;             /**< shards that have waited */
	struct fairness fairness;      /**< among the accounts of callers */
	int64_t last_request_us;       /**< when a target was last chosen for a first sub-request */
	int64_t request_interval_us;   /**< moving average of the time between two of these */
	struct budget extra;           /**< for sub-requests beyond the first of each shard */
	struct aggregator_group group; /**< that sends to the targets; groups 0: all nodes do */
	int connections;               /**< this node's share of the connections of each target */
	double cold_rate_per_s;        /**< what a cold target can handle from all nodes together */
	int64_t share_until_us;        /**< this node may send to cold targets until then */
	int64_t drain_us;              /**< how long a leaving target may still get requests */
	int64_t list_lag_us;           /**< by which the target list may lag */
	int64_t idle_close_us;         /**< usual idle time until targets close; 0: not known */
	int64_t reported_us;           /**< when a target last reported its load; 0: never */
	int64_t mean_work_us;          /**< moving average of the work of all requests to it */
	struct rng rng;                /**< for lots; nodes should start with different states */
	bool has_held;                 /**< a target has a version that is held back */
	struct exposure *exposure;     /**< owned by the I/O layer; NULL: never rolled out */
};

/** What a replica is selected for. */
struct replica_criteria {
	const char *data_centre; /**< of this node */
	struct replica *const *tried;
	int tried_count;
	int64_t median_us;       /**< median latency of the route; 0: not known */
	const struct cost *cost; /**< of the route; NULL: select by count */
	enum placement placement;
	bool queued; /**< for a request that has waited, which was counted when it came */
	bool hedge;  /**< selects only a replica that is expected to answer soon */
};

enum replica_selection {
	REPLICA_FOUND,
	REPLICA_BUSY,     /**< there are usable targets, but none has capacity at present */
	REPLICA_REFUSING, /**< all usable targets have asked for no requests for some time */
	REPLICA_NONE,     /**< no target is usable */
};

void
replica_set_init (struct replica_set *set, const char *name);

/**
 * One node's share of the connections that a target accepts from all nodes. Half of it stays free
 * where at least two remain: after a power failure a target still holds the old connections while
 * all nodes open new ones. With a single connection, requests would wait out every pause of the
 * target.
 */
int
replica_connections (int max_connections, int nodes);

enum replica_selection
replica_choose (struct replica_set *set, const struct replica_criteria *criteria, int64_t now_us,
	struct replica **chosen);

/**
 * One node's minimum time between two requests to a cold target, such that all nodes together never
 * exceed the rate of the target in any second; 0 when this node may send none.
 * @param rate_per_s requests per second that the target can handle
 * @param rank of this node among all nodes, for this target
 */
int64_t
replica_cold_interval_us (double rate_per_s, int nodes, int rank);

/**
 * Applies what the target list says: the target is cold until @p end_us at the latest. Since the
 * list lags, a later end counts only when it is later by more than the lag; the target has then
 * turned cold again.
 */
void
replica_note_cold (struct replica *replica, int64_t end_us, int64_t now_us);

/** True while it may take the cold rate only, because it is cold or may have been restarted. */
bool
replica_is_cold (const struct replica *replica, int64_t now_us);

/**
 * When this node may send the next request to one of the usable targets, all of which are cold.
 * @return INT64_MAX if one of them is not cold, or none may get a request
 */
int64_t
replica_cold_turn_us (
	const struct replica_set *set, const struct replica_criteria *criteria, int64_t now_us);

/**
 * How long a request waits until one of the usable targets takes it, all of which are known to be
 * cold. 0 if that is not known: one is not cold, or may have been restarted.
 * @param ahead requests that wait before it
 */
int64_t
replica_cold_wait_us (const struct replica_set *set, const struct replica_criteria *criteria,
	int ahead, int64_t now_us);

/** The placement that a setting names; false if none has the name. */
bool
placement_parse (const char *name, enum placement *placement);

/** The text for a reason in log lines and metrics. */
const char *
placement_reason_name (enum placement_reason reason);

/** When an answer that is sent for now is expected, from now on. */
int64_t
placement_expected_us (const struct placement_estimate *estimate);

/**
 * After what time without an answer a hedge is due, for a sub-request that is sent to the target
 * now; 0 if the selection is by count.
 */
int64_t
replica_hedge_delay_us (
	const struct replica *replica, const struct replica_criteria *criteria, int64_t now_us);

/**
 * Records the load that the target reported, to this node or to another one.
 * @param at_us when the target made the report
 */
void
replica_note_report (struct replica *replica, const struct load_report *report, int64_t at_us);

/**
 * Records how much work a sub-request caused that is about to end with an answer.
 * @param cost of its route
 * @param report came with the answer
 * @param data_centre of this node
 */
void
replica_observe_cost (const struct replica_use *use, struct cost *cost,
	const struct load_report *report, const char *data_centre, bool connected, int64_t now_us);

/** Records that a sub-request was sent to the target, which was the latest selected of its set. */
void
replica_begin (struct replica *replica, struct replica_use *use, int64_t now_us);

/** How a sub-request ended, as far as its target is concerned. */
enum replica_outcome {
	REPLICA_ANSWERED,
	REPLICA_REFUSED,   /**< it had no capacity */
	REPLICA_DEFERRED,  /**< it refused and asked for no requests for some time */
	REPLICA_FAILED,    /**< error, invalid reply or no connection */
	REPLICA_ABANDONED, /**< this node stopped waiting; says nothing about the target */
};

void
replica_end (struct replica_use *use, enum replica_outcome outcome, int64_t now_us);

/**
 * Records that the target announced in an answer that it leaves.
 * @return false if that was known
 */
bool
replica_note_leaving (struct replica *replica, int64_t now_us);

/**
 * Applies the state in the target list.
 * @param previous_us when the last list was read that did not show this state
 */
void
replica_note_listed (struct replica *replica, enum replica_state state, int64_t previous_us);

/**
 * Whether this node may have ended a sub-request before it was sent, because its target has asked
 * for no requests, announced that it leaves or may have been restarted, after it was chosen.
 */
bool
replica_was_recalled (const struct replica_use *use, int64_t now_us);

/** Records that another incarnation has answered at the target's address, so that it has ended. */
void
replica_note_replaced (struct replica *replica, int64_t now_us);

/**
 * Records that the target refused a sub-request and asked for no more until @p until_us. An
 * earlier end than the known one changes nothing.
 */
void
replica_note_busy (struct replica *replica, int64_t until_us, int64_t now_us);

/**
 * The longest time by which a node may return later than a target asked for, so that not all nodes
 * return at the same instant. One first request of each node then finds a free slot.
 * @param busy_us how long the target asked for no requests
 * @param nodes that send to the target
 */
int64_t
replica_return_spread_us (const struct replica *replica, int64_t busy_us, int nodes);

/**
 * The first time at which a usable target that was not tried takes requests.
 * @return 0 if one does now, INT64_MAX if there is none
 */
int64_t
replica_return_us (
	const struct replica_set *set, const struct replica_criteria *criteria, int64_t now_us);

/**
 * True when an unlisted target has to be kept: a request refers to it, or it has to stay known as
 * leaving or busy.
 */
bool
replica_is_kept (const struct replica *replica, int64_t now_us);

/** True while the target may get new sub-requests at all. */
bool
replica_usable (const struct replica *replica);

/** Whether this node may have one more sub-request at a target. */
bool
replica_has_place (const struct replica *replica);
