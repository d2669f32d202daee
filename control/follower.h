/**
 * @file follower.h
 * A node's copy of the replicated state, kept current by polling the voters, and its lease. No I/O.
 */
#pragma once

#include "control/history.h"
#include "control/route.h"
#include "control/state.h"

enum {
	FOLLOWER_RETRY_US = 400000, /**< polls the next voter after this time without a reply */
	FOLLOWER_FIRST_RETRY_US = 120000, /**< the same, but while the node has no state; doubles */
	FOLLOWER_RETRY_DOUBLINGS_MAX = 4, /**< limit of that doubling */
	FOLLOWER_FAST_POLL_US =
		100000, /**< poll interval while an epoch is not settled or there is no lease */
	FOLLOWER_LIST_POLL_US =
		150000, /**< poll interval of a started node without a target list */
	FOLLOWER_LIST_WAIT_US = 3000000,  /**< how long after a start that interval applies */
	FOLLOWER_WITHHELD_MAX = 8,        /**< releases withheld at the same time */
	FOLLOWER_CLOCK_DRIFT_PERCENT = 1, /**< subtracted from the lease */
};

/**
 * A release that is not reported yet because the node has skipped epochs. While another node still
 * follows a skipped epoch, that node may regard itself as the owner of a target that this node
 * kept.
 */
struct withheld_release {
	uint64_t reported_revision; /**< reported as released until until_epoch is in force */
	uint64_t until_epoch;       /**< the release is reported once this epoch is in force */
};

struct follower_settings {
	struct poll self; /**< name, data centre, address, incarnation, disk id */
	int64_t lease_us;
	int64_t poll_us;
	int64_t rollout_poll_us; /**< poll interval during a roll-out; 0: poll_us */
	const char *seeds;       /**< peer addresses, comma separated */
};

struct follower {
	struct follower_settings settings;
	int64_t started_us;
	struct state state;
	uint64_t reconciled; /**< set by the I/O layer: revision that request handling follows */
	uint64_t released;   /**< set by the I/O layer: targets lost up to it have no work left */
	struct withheld_release withheld[FOLLOWER_WITHHELD_MAX]; /**< oldest first */
	int withheld_count;
	uint32_t leaving_work;
	uint32_t old_work;               /**< set by the I/O layer, as in struct poll */
	struct rollout_reports rollouts; /**< set by the I/O layer */
	bool leaving;
	bool exiting;
	char voters[WIRE_MAX_VOTERS * 2][64];
	int voter_count;
	int polled_voter; /**< position in voters */
	uint64_t seq;
	int unanswered_polls; /**< since the last reply */
	int64_t sent_us;      /**< when the newest poll was sent; 0 once it is answered */
	int64_t next_poll_us;
	int64_t lease_until_us; /**< no new work may start from then on */
	uint64_t settled;
	uint64_t in_force;
	uint32_t total_leaving_work;
	int node_count;
	uint64_t exit_acknowledged_seq; /**< newest poll answered while exiting was set; 0: none */
	struct roster roster;
	struct history history; /**< for watchers */
	struct cds_list_head outbox;
};

void
follower_init (struct follower *follower, const struct follower_settings *settings, int64_t now_us);
void
follower_finish (struct follower *follower);

/** Sends a poll when one is due. */
void
follower_tick (struct follower *follower, int64_t now_us);

/** Adds the seeds in the settings that are not known yet, after the known voters. */
void
follower_seeds_changed (struct follower *follower);

/** Makes the next tick send a poll. */
void
follower_poll_soon (struct follower *follower, int64_t now_us);

/** Handles a poll reply; true when the state changed. */
bool
follower_receive (struct follower *follower, const struct poll_reply *reply, int64_t now_us);

/** True while this node may start new work. */
bool
follower_has_lease (const struct follower *follower, int64_t now_us);
