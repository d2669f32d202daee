/**
 * @file replica.h
 * The targets of a service as one entry node sees them, and the choice among them. No I/O.
 *
 * Answers the load pattern of many small sub-requests to few replicas that pause, turn slow or
 * start cold: the replica with the least expected wait goes first, one that has left a
 * sub-request unanswered for unusually long goes last, and none gets more than this node's part
 * of what it bears.
 */
#pragma once

#include "query/budget.h"
#include "query/routing.h"

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

enum {
	REPLICA_NAME_SIZE = 64,
	REPLICA_LOAD_FRESH_US = 200000,    /**< a told load counts for this long */
	REPLICA_FAILURE_AVOID_US = 500000, /**< first avoidance after a failure; doubles */
	REPLICA_AVOID_MAX_US = 4000000,
	REPLICA_STALL_COST_US = 250000,   /**< more than any wait at a target that answers */
	REPLICA_REFUSED_AVOID_US = 50000, /**< after a refusal for want of room; doubles */
	REPLICA_COLD_SECOND_US = 1050000, /**< a second, with room for the way to the target */
	REPLICA_LIST_LAG_US = 1000000,    /**< the list may be this much behind, with its reading */
	REPLICA_REMOTE_US = 3000,         /**< a round trip between data centres of one region */
	REPLICA_MEMORY_US = 4000000,      /**< what was learned of a target fades over this time */
	REPLICA_MEMORY_REQUESTS = 16,     /**< or over so many requests to its service, ... */
	REPLICA_MEMORY_MAX_US = 12000000, /**< ... but in this time */
	REPLICA_GAP_MAX_US = 1000000,     /**< a longer silence says nothing of how often it asks */
	REPLICA_TROUBLE_UNIT = 1024,      /**< all of the recent sub-requests failed */
	REPLICA_TROUBLE_COST = 4,         /**< usual latencies that a failed sub-request costs */
	REPLICA_STALL_LEAST_US = 15000,   /**< shorter silences are ordinary variation */
};

enum replica_state { REPLICA_READY, REPLICA_LEAVING };

/** A target. It outlives its entry in the list while work on it is under way. */
struct replica {
	struct cds_list_head node; /**< in its set */
	struct replica_set *set;
	char id[REPLICA_NAME_SIZE]; /**< of this incarnation */
	char address[REPLICA_NAME_SIZE];
	char data_centre[REPLICA_NAME_SIZE];
	int slots;
	enum replica_state state;
	bool evacuated;           /**< its data centre is leaving, or returned just now */
	int64_t returned_us;      /**< when its data centre returned; 0: not since it left */
	bool listed;              /**< in the newest target list */
	uint64_t born;            /**< start of this incarnation; 0: not told */
	int64_t cold_until_us;    /**< it bears only the service's cold rate until then */
	int64_t cold_next_us;     /**< when this node may send it the next request while cold */
	int64_t cold_interval_us; /**< this node's least time between two of them; 0: none at all */
	int64_t avoid_until_us;
	int failures; /**< in a row */
	int refusals; /**< for want of room, in a row */
	int in_flight;
	struct cds_list_head running; /**< struct replica_use, oldest first */
	int64_t latency_us;           /**< moving average; 0: none yet */
	int trouble;                  /**< share that failed or was refused, moving average */
	int64_t seen_us;              /**< when the averages were updated */
	int reported_load;            /**< running and waiting, as it last said */
	int64_t reported_us;
	void *pool; /**< the shell's connections to it */
};

/** One sub-request under way, embedded in the shell's. */
struct replica_use {
	struct cds_list_head node;
	struct replica *replica;
	int64_t sent_us;
};

/** A service's targets. */
struct replica_set {
	struct cds_list_head node;
	char name[REPLICA_NAME_SIZE];
	struct cds_list_head replicas;
	struct cds_list_head waiting; /**< struct scatter_shard, most urgent first */
	int waiting_count;
	int64_t asked_us;       /**< when a target was last chosen for a first sub-request */
	int64_t gap_us;         /**< moving average of the time between two of these */
	struct budget extra;    /**< sub-requests beyond the first of each request */
	int connections;        /**< this node's part of each target's connections */
	double cold_rate_per_s; /**< requests a second that a cold target bears, from all nodes */
	int64_t share_until_us; /**< this node may send to cold targets until then */
};

/** What a replica is chosen for. */
struct replica_wish {
	const char *data_centre; /**< of this node */
	struct replica *const *tried;
	int tried_count;
	int64_t usual_us; /**< median latency of the route; 0: not known */
	bool hedge;       /**< only one that is expected to answer soon */
};

enum replica_verdict {
	REPLICA_FOUND,
	REPLICA_NO_ROOM, /**< some could take it later */
	REPLICA_NONE,    /**< no target may get it */
};

void
replica_set_init (struct replica_set *set, const char *name);

/**
 * One node's part of the connections that a target takes from all nodes. Half of them stay free
 * where that leaves two: after a loss of power a target still holds the old ones while all nodes
 * open new ones, and behind a single one every pause of the target is waited out.
 */
int
replica_connections (int most, int nodes);

/** Chooses a target. */
enum replica_verdict
replica_choose (struct replica_set *set, const struct replica_wish *wish, int64_t now_us,
	struct replica **chosen);

/**
 * One node's least time between two requests to a cold target, so that all nodes together never
 * send more than the bound within any second; 0 when this node may send none.
 * @param per_s what the target bears in a second
 * @param rank of this node among all nodes, for this target
 */
int64_t
replica_cold_interval_us (double per_s, int nodes, int rank);

/**
 * The list says that the target is cold until @p end_us at the latest. It lags, so that an end
 * only moves forward when it does so by more than the lag: then the target is cold again.
 */
void
replica_note_cold (struct replica *replica, int64_t end_us, int64_t now_us);

/** Counts a sub-request to the target. */
void
replica_begin (struct replica *replica, struct replica_use *use, int64_t now_us);

/** How a sub-request ended, as far as its target is concerned. */
enum replica_outcome {
	REPLICA_ANSWERED,
	REPLICA_REFUSED, /**< it had no room */
	REPLICA_FAILED,  /**< error, broken answer or no connection */
	REPLICA_DROPPED, /**< given up by this node; says nothing */
};

void
replica_end (struct replica_use *use, enum replica_outcome outcome, int64_t now_us);

/** True while the target may get new work at all. */
bool
replica_usable (const struct replica *replica);
