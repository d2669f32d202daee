/**
 * @file rollouts.h
 * The I/O layer of query/exposure.h on an entry node: follows the declared roll-outs, and counts
 * the answers of both versions for the leader's judgement. The front's thread calls all of these
 * but front_rollouts_report.
 */
#pragma once

#include "control/rollout.h"
#include "query/exposure.h"

#include <pthread.h>

struct front;
struct front_state;
struct routing_rule;

/** What a node has counted; shared with the control thread. */
struct front_rollouts {
	pthread_mutex_t lock;
	struct rollout_report *items; /**< owned; one for each active roll-out and route */
	int count;
	int cap;
	int next;                  /**< item with which the next report begins */
	uint64_t reported_seq;     /**< number of the poll that the newest report was made for */
	_Atomic bool active;       /**< a service has an active roll-out */
	_Atomic uint32_t old_work; /**< as in struct poll */
};

/** How a sub-request counts. */
struct rollout_use {
	uint64_t rollout; /**< 0: its service has no active roll-out */
	uint64_t route;
	enum rollout_side side;
	int64_t distance_us; /**< round trip to its data centre beyond that to the nearest */
	bool compared;       /**< it was sent after the first one to the new version */
};

enum { ROLLOUT_TEXT_SIZE = 64 };

enum rollout_outcome { ROLLOUT_OUTCOME_ANSWERED, ROLLOUT_OUTCOME_BAD, ROLLOUT_OUTCOME_NONE };

void
front_rollouts_init (struct front_rollouts *rollouts);

/**
 * Applies the roll-outs of the declared state, which front.state already is.
 * @param is_first this process had no state before
 */
void
front_rollouts_apply (struct front *front, bool is_first);

/** Applies them to a set that is new. */
void
front_rollouts_bind (struct front *front, struct replica_set *set);

/**
 * Applies them to a target whose version was read. Without a lease, a version that no other target
 * of the service had before is held back while there are others: it may be ordered.
 */
void
front_rollouts_classify (const struct front *front, struct replica *replica, bool is_new);

/**
 * Gives this node its part of the slack once it may use its share, and ends the holding back of
 * versions once it has a lease.
 */
void
front_rollouts_share (struct front *front);

/**
 * To be called when the process continues after a suspension: without a lease, sub-requests that
 * wait for a connection to a new target go elsewhere.
 */
void
front_rollouts_resumed (struct front *front);

/** To be called once a sub-request was sent, after replica_begin. */
void
front_rollouts_sent (struct front *front, struct rollout_use *use, const struct replica *replica,
	const struct routing_rule *rule, const char *attempt_id);

/** To be called when it has ended, after replica_end. */
void
front_rollouts_ended (struct front *front, const struct rollout_use *use,
	enum rollout_outcome outcome, int64_t took_us);

/** Names the roll-out of a sub-request for a log line; empty if there is none. */
const char *
front_rollouts_text (const struct rollout_use *use, char *text, size_t size);

/**
 * Copies counts for the poll after number @p seq; takes turns if there are more than fit. Control
 * thread only.
 */
void
front_rollouts_report (
	struct front_rollouts *rollouts, struct rollout_reports *reports, uint64_t seq);
