/**
 * @file voter.h
 * A voter or learner: the control log, the complete state, the leases that the leader grants, and
 * polls that are answered or relayed to the leader. No I/O.
 *
 * The I/O layer passes in messages and ticks, calls voter_step, saves the log while raft_needs_save
 * is true, calls voter_mark_saved, and only then sends the outbox.
 */
#pragma once

#include "control/grants.h"
#include "control/history.h"
#include "control/raft.h"
#include "control/route.h"
#include "control/state.h"

enum {
	VOTER_LEASE_GRACE_US = 1000000,  /**< added to a lease for work of a node that vanished */
	VOTER_CLOCK_DRIFT_PERCENT = 1,   /**< how much a clock may run fast or slow */
	VOTER_POLL_TIMEOUT_US = 1000000, /**< a poll that cannot be answered is dropped then */
	VOTER_LOG_MAX_BYTES = 4 * 1024 * 1024, /**< entries in memory; compacts the log above it */
	VOTER_RELAY_RETRY_US = 300000,
	/* A process silent for longer is not added as a member; without a lease it is removed. */
	VOTER_MEMBER_TIMEOUT_US = 2000000,
	VOTER_LEARNER_TIMEOUT_US = 5000000, /**< a learner silent for this long is removed */
	VOTER_OLD_DISK_TIMEOUT_US = 300000, /**< the same for a voter whose node has a new disk */
};

enum { VOTERS_MAX = 5 }; /**< more voters would only make each commit wait for more nodes */

struct voter_settings {
	char name[RESOURCE_NAME_MAX + 1];
	char address[64];
	uint64_t disk_id;
	int64_t lease_us;
	int desired_voters;
	int min_voters; /**< before the first routing, orders wait for this many voters */
	/**
	 * Orders also wait for this many voters, but only until formation_timeout_us after the
	 * election, because there may never be so many nodes with a disk.
	 */
	int formation_voters;
	int64_t formation_timeout_us;
	uint64_t compact_entries;
	int64_t replace_voter_after_us; /**< silence after which a learner replaces a voter */
	/** A process with the name of another is only started once that one has ended. */
	bool exclusive_names;
};

/**
 * The identity of the data folder with which a seed starts when the whole system starts for the
 * first time, so that the others can know it. A folder that replaces it has a random one.
 */
uint64_t
voter_first_id (const char *address);

/**
 * The first configuration, the same on all seeds whatever their order. The voters have no names
 * until the leader has heard from them.
 * @param seeds peer addresses, separated by commas
 */
void
voter_first_config (const char *seeds, int max_voters, struct raft_config *config);

/** Number of voters that survives the loss of @p losses disks at once, at most VOTERS_MAX. */
int
voters_for_disk_losses (int losses);

/** A poll, or a relayed batch of polls, that waits for its reply. */
struct waiting_poll {
	struct cds_list_head node;
	struct peer_route route;
	uint64_t seq;
	struct poll *polls; /**< owned */
	int count;
	bool relay;            /**< relayed by another voter */
	uint64_t roster_stamp; /**< stamp of the target list that the relaying voter has */
	int64_t arrived_us;
	uint64_t required_round; /**< leader: heartbeat round that has to be confirmed first */
	uint64_t relay_seq;      /**< follower: relay message that it was sent with; 0: not sent */
	bool leader_answered;    /**< follower: the leader's answer is below */
	struct relay_reply answer;
};

/** A proposal whose entry has not been applied yet. */
struct waiting_proposal {
	struct cds_list_head node;
	uint64_t index;
	uint64_t term;
	uint64_t id;
	struct peer_route route;
	bool reply; /**< always true: proposals without a route are not recorded here */
};

enum { ROLLOUT_DECISIONS = 32 }; /**< roll-outs whose newest decision is kept for the log */

/** What the leader has judged of a roll-out, for the log. */
struct rollout_decision {
	uint64_t rollout; /**< 0: unused */
	enum rollout_judgement judgement;
	struct rollout_evidence evidence;
	bool completed;
	bool logged; /**< set by the I/O layer */
};

struct voter {
	struct voter_settings settings;
	struct raft raft;
	struct state state;
	struct grants grants;
	struct history history;
	struct roster roster;
	struct rollout_judge rollouts; /**< leader: counts of all nodes */
	struct cds_list_head polls;
	struct cds_list_head proposals;
	struct cds_list_head outbox;
	uint64_t relay_seq;
	int64_t relay_sent_us;
	bool was_leader;
	uint64_t accounted_term; /**< as leader of it, all old leases were found to be accounted for
				  */
	uint64_t own_proposal_index; /**< newest proposal of the controllers in leader.c */
	int64_t next_leave_check_us;
	int64_t next_controllers_us;
	int64_t wall_ms;
	uint64_t in_force; /**< newest in_force that this leader has computed, for the status */
	struct rollout_decision rollout_decisions[ROLLOUT_DECISIONS]; /**< of the leader */
	int next_decision; /**< position that the next roll-out takes */
};

void
voter_init (struct voter *voter, const struct voter_settings *settings,
	const struct raft_times *times, uint64_t seed, int64_t now_us);
void
voter_finish (struct voter *voter);

/** Loads the state from the restored snapshot; false when it cannot be decoded. */
bool
voter_restore_state (struct voter *voter);

void
voter_tick (struct voter *voter, int64_t now_us, int64_t wall_ms);

/** Handles a message; may take ownership of data in it. */
void
voter_receive (struct voter *voter, const struct peer_route *from, struct control_message *message,
	int64_t now_us);

/** Ends a batch of events: applies committed entries and adds messages to the outbox. */
void
voter_step (struct voter *voter, int64_t now_us);

/** Records that the log has been synced, then calls voter_step. */
void
voter_mark_saved (struct voter *voter, int64_t now_us);

/** Compacts the log when it is long enough; true when a snapshot has to be saved. */
bool
voter_compact (struct voter *voter);

/** Sets the platform's list of targets as just read; ignored unless this node is the leader. */
void
voter_set_roster (struct voter *voter, const void *data, size_t len, int64_t now_us);

/** Proposes that a VM starts leaving because the platform's list says so. */
void
voter_propose_vm_leaving (struct voter *voter, const char *vm, int64_t now_us);
