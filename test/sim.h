/**
 * @file sim.h
 * Simulates voters and followers with their network, clocks and disks, and checks the invariants
 * of the control plane after each step. Used by the tests and the fuzzer of control, which choose
 * the faults. No I/O.
 */
#pragma once

#include "control/follower.h"
#include "control/ownership.h"
#include "control/shares.h"
#include "control/view.h"
#include "control/voter.h"

enum {
	SIM_NODES = 10,
	SIM_TARGETS = 6,
	SIM_CHANGES = 4096,
	SIM_DOCUMENTS = 64,
	SIM_IDS = 1024,
	SIM_ROLLOUTS = 64,
	SIM_STEP_US = 5000,
	SIM_LEASE_US = 3000000,
	SIM_IN_FORCE_LIMIT_US = 5000000, /**< promised time until a change is in force */
};

/** A simulated disk; it has only data that was synced. */
struct sim_disk {
	uint64_t id; /**< 0: no disk, or emptied */
	uint64_t term;
	uint64_t voted_for;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	struct raft_config snapshot_config;
	void *snapshot;
	size_t snapshot_len;
	struct raft_entry *entries;
	size_t entry_count;
};

struct sim_node {
	char name[16];
	char address[64];
	char data_centre[8];
	bool has_disk;
	bool up;
	bool disk_replaced;     /**< it starts as in a system that exists */
	bool crash_before_save; /**< the process crashes before its next save */
	int64_t paused_until_us;
	int64_t clock_skew_us;
	uint64_t incarnation;
	struct sim_disk disk;
	struct voter voter;
	struct follower follower;
	uint64_t lease_generation;
	int64_t lease_until_us;
	struct ownership ownerships[SIM_TARGETS];
	struct shares shares; /**< of a bound that all nodes share */
	struct hint_table hints;
	struct view *view;
};

/** A message in the simulated network. */
struct sim_message {
	struct cds_list_head node;
	int from;
	int to;
	int64_t due_us;
	void *data;
	size_t len;
};

/** A change whose reply said that it was accepted. */
struct sim_accepted {
	uint64_t index;
	int64_t at_us;
};

/** Expected documents: changes compare and set the version, and each change id applies once. */
struct sim_model {
	uint64_t index; /**< newest committed index applied to the model */
	struct {
		char name[RESOURCE_NAME_MAX + 1];
		enum resource_kind kind;
		uint64_t version; /**< 0: never written */
	} documents[SIM_DOCUMENTS];
	int document_count;
	char ids[SIM_IDS][CHANGE_ID_MAX + 1];
	int id_count;
};

/** A roll-out whose end some node has learnt. */
struct sim_ended_rollout {
	uint64_t started;
	enum rollout_phase phase;
	int64_t at_us;
};

struct sim {
	int64_t now_us;
	struct rng rng;
	struct sim_node nodes[SIM_NODES];
	int node_count;
	int losses;           /**< number of disks that may be lost at once */
	bool exclusive_names; /**< of nodes that start from now on, see voter.h */
	bool first_start;     /**< the seeds are the first voters, see voter_first_config */
	/** Silence after which a voter is replaced, for nodes that start from now on. */
	int64_t replace_voter_after_us;
	/**
	 * Called twice in each step of a node that has a disk, unless NULL: before it saves its log
	 * and after that, when it has not sent anything yet. May crash or pause nodes.
	 */
	void (*on_step) (struct sim *sim, int node, bool saved);
	char seeds[64];                       /**< addresses of the nodes with a disk */
	bool link_down[SIM_NODES][SIM_NODES]; /**< [from][to]: messages are lost */
	int loss_per_mille;
	int duplicate_per_mille;
	int64_t delay_us; /**< greatest delay of a message */
	struct cds_list_head network;
	uint64_t next_id;
	/* Data of the invariant checks */
	uint64_t leader_of_term[65536];
	uint64_t *committed; /**< digest of the entry at each index */
	size_t committed_cap;
	struct sim_accepted accepted[SIM_CHANGES];
	int accepted_count;
	uint64_t newest_accepted;
	struct sim_model model;
	struct sim_ended_rollout ended[SIM_ROLLOUTS];
	int ended_count;
	int violation_line; /**< line of the first violated invariant; 0: none */
	const char *violation;
	/* The newest proposal and its reply */
	uint64_t proposal_id;
	bool answered;
	struct propose_reply answer;
};

/** Starts @p nodes nodes; the first @p voters have a disk, and the first one bootstraps. */
void
sim_init (struct sim *sim, int nodes, int voters, uint64_t seed);

/** Like sim_init, with enough voters for the loss of @p losses disks at once. */
void
sim_init_losses (struct sim *sim, int nodes, int voters, int losses, uint64_t seed);

/**
 * Starts the whole system for the first time: the seeds are the voters.
 * @param absent a node that does not start, or -1; see sim_restart
 */
void
sim_init_first_start (struct sim *sim, int nodes, int voters, int absent, uint64_t seed);
void
sim_finish (struct sim *sim);

/** Advances the clock by @p for_us and checks the invariants after each step. */
void
sim_run (struct sim *sim, int64_t for_us);

/** Runs until a condition is true; false when it is not within @p max_us. */
bool
sim_run_until (struct sim *sim, bool (*condition) (struct sim *), int64_t max_us);

/** Ends a process at once; data that was not synced is lost. */
void
sim_crash (struct sim *sim, int node);
void
sim_restart (struct sim *sim, int node);

/** Empties a node's disk; the node must be down. */
void
sim_empty_disk (struct sim *sim, int node);

/**
 * Sends a change through a node; the reply is stored in sim.answer. A name that starts with "t" is
 * a target, any other name a service.
 */
void
sim_change (struct sim *sim, int node, const char *change_id, const char *name,
	uint64_t expected_version, int value);

/** Sends a claim or an outcome through a node. */
void
sim_claim (struct sim *sim, int node, const char *key, uint64_t nonce);
void
sim_outcome (struct sim *sim, int node, const char *key, uint64_t nonce, enum claim_status status);

/** Sends any command through a node. */
void
sim_propose (struct sim *sim, int node, const struct command *command);

/** The index of the leader; -1 when there is none, or more than one. */
int
sim_leader (const struct sim *sim);

/**
 * True when there is one leader and every running node has a lease, the newest accepted change and
 * a settled epoch.
 */
bool
sim_is_settled (struct sim *sim);

/** The node that may send work to a target now; -1: none. */
int
sim_owner (const struct sim *sim, int target);
