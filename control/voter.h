/**
 * @file voter.h
 * A voter or learner: the log, the full state, leases and relayed polls. No I/O.
 *
 * The shell feeds messages and ticks, calls voter_step, persists what the log asks for, calls
 * voter_saved, and only then sends the outbox.
 */
#pragma once

#include "control/grants.h"
#include "control/raft.h"
#include "control/recent.h"
#include "control/route.h"
#include "control/state.h"

enum {
	VOTER_HANDOVER_US = 1000000,  /**< time beyond a lease for work of a node that vanished */
	VOTER_DRIFT_PERCENT = 1,      /**< how much a clock may run fast or slow */
	VOTER_POLL_KEEP_US = 1000000, /**< a poll that cannot be answered is dropped after this */
	VOTER_LOG_BYTES = 4 * 1024 * 1024, /**< of entries in memory, above which it compacts */
	VOTER_RELAY_RETRY_US = 300000,
	VOTER_DEAD_US = 5000000,    /**< a learner that was silent for this long goes */
	VOTER_REPLACED_US = 300000, /**< a voter whose name has a new disk goes after this */
};

enum { VOTERS_MAX = 5 }; /**< more would only add to what a commit waits for */

struct voter_settings {
	char name[RESOURCE_NAME_MAX + 1];
	char address[64];
	uint64_t disk_id;
	int64_t lease_us;
	int voters_wanted;
	int voters_least;  /**< before the first routing, orders wait for this many voters */
	int voters_formed; /**< and this long for this many, where enough nodes have a disk */
	int64_t forming_us;
	uint64_t compact_entries;
	int64_t replace_us; /**< a voter silent for this long is replaced by a learner */
};

/** Voters of which so many may lose their disks at once, as far as the log can have voters. */
int
voters_for_losses (int losses);

/** A poll, or a relayed batch of them, that waits for its answer. */
struct waiting_poll {
	struct cds_list_head node;
	struct peer_route route;
	uint64_t seq;
	struct poll *polls; /**< owned */
	int count;
	bool relay;      /**< came from another voter */
	uint64_t roster; /**< stamp that the relaying voter holds */
	int64_t arrived_us;
	uint64_t need_round; /**< leader: the round that has to be confirmed */
	uint64_t relay_seq;  /**< follower: the batch that it went up with; 0: not yet */
	bool stamped;        /**< follower: the leader answered */
	struct relay_reply answer;
};

/** A proposal that waits to be applied. */
struct waiting_proposal {
	struct cds_list_head node;
	uint64_t index;
	uint64_t term;
	uint64_t id;
	struct peer_route route;
	bool reply; /**< false for the leader's own */
};

struct voter {
	struct voter_settings settings;
	struct raft raft;
	struct state state;
	struct grants grants;
	struct recent recent;
	struct roster roster;
	struct cds_list_head polls;
	struct cds_list_head proposals;
	struct cds_list_head outbox;
	uint64_t relay_seq;
	int64_t relay_sent_us;
	bool was_leader;
	uint64_t own_index; /**< newest proposal of the leader's controllers */
	int64_t leave_check_us;
	int64_t controllers_us;
	int64_t wall_ms;
	uint64_t in_force; /**< newest known, for status */
};

void
voter_init (struct voter *voter, const struct voter_settings *settings,
	const struct raft_times *times, uint64_t seed, int64_t now_us);
void
voter_finish (struct voter *voter);

/** After the log was restored: loads the state of the snapshot. */
bool
voter_restore_state (struct voter *voter);

void
voter_tick (struct voter *voter, int64_t now_us, int64_t wall_ms);

/** Handles a message and takes what it needs out of it. */
void
voter_receive (
	struct voter *voter, const struct peer_route *from, struct wire *wire, int64_t now_us);

/** Finishes a batch of events: sends what is due and applies what is committed. */
void
voter_step (struct voter *voter, int64_t now_us);

/** Everything the log asked for is synced. */
void
voter_saved (struct voter *voter, int64_t now_us);

/** Compacts the log when it is long enough; true when a snapshot has to be saved. */
bool
voter_compact (struct voter *voter);

/** The platform's list of targets was read; only the leader hands it out. */
void
voter_roster_read (struct voter *voter, const void *data, size_t len, int64_t now_us);

/** Proposes that a VM starts leaving because the platform's list says so. */
void
voter_platform_leaving (struct voter *voter, const char *vm, int64_t now_us);
