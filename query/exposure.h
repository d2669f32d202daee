/**
 * @file exposure.h
 * Which targets of a service a request may be sent to while a version is rolled out. No I/O.
 *
 * Made for a new version that may be bad: until it has proved itself, all entry nodes together send
 * it a bounded share of the requests, with or without control. Each node spends its own share:
 * 0.8 of the ratio of its own sends, and its part of half the slack. A process that learns of the
 * order with its first state has no part of the slack, since its predecessor may have used it.
 *
 * The version that a phase allows is binding, but shifting and completed only prefer the new one,
 * so that its loss does not stop the service while the old targets still run.
 */
#pragma once

#include "query/replica.h"

enum {
	EXPOSURE_EARN_PERCENT = 80,  /**< of the declared ratio; the rest covers lost sends */
	EXPOSURE_SLACK_PERCENT = 50, /**< of the declared slack; the rest covers restarts */
	EXPOSURE_SAVED_MAX = 5,      /**< sends that a node saves up beyond its part of the slack */
	/**
	 * Wait after a failure of a new target. The usual one doubles up to seconds, and in a small
	 * tier a version that fails every request would not be judged for minutes.
	 */
	EXPOSURE_RETRY_US = 100000,
	/** How long the new version is preferred once the roll-out has completed: lists lag. */
	EXPOSURE_COMPLETED_US = 30000000,
};

enum exposure_phase {
	EXPOSURE_OFF,      /**< no roll-out, or it was rolled back */
	EXPOSURE_CANARY,   /**< a bounded share of the requests goes to the new version */
	EXPOSURE_SHIFTING, /**< all requests go to it where it is usable */
	EXPOSURE_COMPLETED,
};

/** The bounds that the deployment states, for all nodes together. */
struct exposure_bounds {
	double share; /**< of the requests to a service */
	double slack; /**< requests beyond that */
};

/** The newest roll-out of one service, on one entry node. */
struct exposure {
	enum exposure_phase phase;
	uint64_t rollout; /**< revision of its order */
	char version[REPLICA_VERSION_SIZE];
	/** The lease of this node; without one, no canary and no shifting. */
	const _Atomic int64_t *lease_until_us;
	int64_t prefer_until_us; /**< EXPOSURE_COMPLETED */
	struct budget tokens;    /**< sends to the new version */
	int earn_thousandths;    /**< of a budget token, for each send to the service */
	int earned_thousandths;  /**< not yet in the budget */
	bool takes_slack;        /**< its part of the slack was not added yet */
};

/** Starts a canary without tokens. */
void
exposure_begin (struct exposure *exposure, uint64_t rollout, const char *version,
	const struct exposure_bounds *bounds, bool takes_slack);

/**
 * Adds this node's part of the slack, once, as soon as the number of nodes that share it is known.
 * @param rank of this node among them
 */
void
exposure_add_slack (
	struct exposure *exposure, const struct exposure_bounds *bounds, int nodes, int rank);

/** The versions among which a target is chosen. */
enum exposure_side { EXPOSURE_ANY, EXPOSURE_OLD, EXPOSURE_NEW };

/** Decides for one choice of a target. */
enum exposure_side
exposure_choose_side (
	const struct replica_set *set, const struct replica_criteria *criteria, int64_t now_us);

/** True if the target is of a version that may be chosen. */
bool
exposure_admits (enum exposure_side side, const struct replica *replica);

/** Records a send to a target: it earns, and if the target has the new version it spends. */
void
exposure_note_sent (const struct replica *replica);

/** Sub-requests in flight at old targets; 0 unless the service is shifting. */
int
exposure_old_work (const struct replica_set *set);
