/**
 * @file follower.h
 * A node's own copy of the state, kept up by polls, and its lease. No I/O.
 */
#pragma once

#include "control/recent.h"
#include "control/route.h"
#include "control/state.h"

enum {
	FOLLOWER_RETRY_US = 400000, /**< an unanswered poll moves on to the next voter */
	FOLLOWER_FIRST_RETRY_US =
		120000, /**< the same for a node that knows nothing yet; doubles */
	FOLLOWER_RETRY_DOUBLINGS_MAX = 4, /**< after so many it does not double any more */
	FOLLOWER_FAST_POLL_US = 100000,   /**< time between polls while an epoch is not settled */
	FOLLOWER_WITHHELD_MAX = 8,        /**< jumps whose release is held back at once */
	FOLLOWER_CLOCK_DRIFT_PERCENT = 1, /**< taken off the lease */
};

/**
 * A jump over several epochs. While another node still acts on one that was jumped over, it may
 * take itself for the owner of what this node kept, so the release is not reported yet.
 */
struct withheld_release {
	uint64_t reported; /**< what is reported as released meanwhile */
	uint64_t until;    /**< epoch that has to be in force */
};

struct follower_settings {
	struct poll self; /**< name, data centre, address, incarnation, disk id */
	int64_t lease_us;
	int64_t poll_us;
	const char *seeds; /**< peer addresses, comma separated */
};

struct follower {
	struct follower_settings settings;
	struct state state;
	uint64_t reconciled; /**< set by the shell: revision that the request path follows */
	uint64_t released;   /**< set by the shell: and whose lost targets have no work left */
	struct withheld_release withheld[FOLLOWER_WITHHELD_MAX]; /**< oldest first */
	int withheld_count;
	uint32_t leaving_work;
	bool leaving;
	bool exiting;
	char voters[WIRE_MAX_VOTERS * 2][64];
	int voter_count;
	int voter; /**< the one polled now */
	uint64_t seq;
	int unanswered_polls; /**< polls since the last answer */
	int64_t sent_us;      /**< of the newest poll; 0 when it was answered */
	int64_t next_poll_us;
	int64_t lease_until_us; /**< no new work from then on */
	uint64_t settled;
	uint64_t in_force;
	uint32_t total_leaving_work;
	int node_count;
	uint64_t exit_acknowledged_seq; /**< the seq of a last poll that was answered */
	struct roster roster;
	struct history history; /**< for watchers */
	struct cds_list_head outbox;
};

void
follower_init (struct follower *follower, const struct follower_settings *settings, int64_t now_us);
void
follower_finish (struct follower *follower);

/** Polls when it is time. */
void
follower_tick (struct follower *follower, int64_t now_us);

/** The seeds have changed; they are tried after the known voters. */
void
follower_seeds_changed (struct follower *follower);

/** Polls at the next tick. */
void
follower_poll_soon (struct follower *follower, int64_t now_us);

/** Handles a poll reply; true when the state changed. */
bool
follower_receive (struct follower *follower, const struct poll_reply *reply, int64_t now_us);

/** True while this node may issue new work. */
bool
follower_has_lease (const struct follower *follower, int64_t now_us);
