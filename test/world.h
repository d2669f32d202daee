/**
 * @file world.h
 * Voters and followers over a fake network and fake disks, with an oracle that watches what must
 * always hold. For fuzzing and for focused tests of control; it has no policy of its own.
 */
#pragma once

#include "control/follower.h"
#include "control/parts.h"
#include "control/tenure.h"
#include "control/view.h"
#include "control/voter.h"

enum {
	WORLD_NODES = 10,
	WORLD_TARGETS = 6,
	WORLD_CHANGES = 4096,
	WORLD_DOCUMENTS = 64,
	WORLD_IDS = 1024,
	WORLD_STEP_US = 5000,
	WORLD_LEASE_US = 3000000,
	WORLD_IN_FORCE_US = 5000000, /**< the users' bound */
};

/** What a fake disk holds: only what was synced. */
struct world_disk {
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

struct world_node {
	char name[16];
	char address[64];
	char data_centre[8];
	bool has_disk;
	bool up;
	bool lose_save; /**< crashes before its next save */
	int64_t paused_until_us;
	int64_t clock_skew_us;
	uint64_t incarnation;
	struct world_disk disk;
	struct voter voter;
	struct follower follower;
	uint64_t lease_generation;
	int64_t lease_until_us;
	struct ownership ownerships[WORLD_TARGETS];
	struct shares shares; /**< of a bound that all nodes share */
	struct hint_table hints;
	struct view *view;
};

/** A message in the fake network. */
struct world_message {
	struct cds_list_head node;
	int from;
	int to;
	int64_t due_us;
	void *data;
	size_t len;
};

/** A change that was answered as accepted. */
struct world_accepted {
	uint64_t index;
	int64_t at_us;
};

/** The oracle's own idea of the documents: compare-and-set, each change id once. */
struct world_model {
	uint64_t index; /**< newest committed index that it took in */
	struct {
		char name[RESOURCE_NAME_MAX + 1];
		enum resource_kind kind;
		uint64_t version; /**< 0: never written */
	} documents[WORLD_DOCUMENTS];
	int document_count;
	char ids[WORLD_IDS][CHANGE_ID_MAX + 1];
	int id_count;
};

struct world {
	int64_t now_us;
	struct rng rng;
	struct world_node nodes[WORLD_NODES];
	int node_count;
	int losses;                         /**< disks that may be lost at once */
	char seeds[64];                     /**< addresses of the nodes with a disk */
	bool cut[WORLD_NODES][WORLD_NODES]; /**< messages from, to are lost */
	int loss_per_mille;
	int double_per_mille;
	int64_t delay_us; /**< greatest delay */
	struct cds_list_head network;
	uint64_t next_id;
	/* Oracle */
	uint64_t leader_of_term[65536];
	uint64_t *committed; /**< digest of the entry at each index */
	size_t committed_cap;
	struct world_accepted accepted[WORLD_CHANGES];
	int accepted_count;
	uint64_t newest_accepted;
	struct world_model model;
	int fault; /**< line of the first broken rule; 0: none */
	const char *fault_text;
	/* Answers of the newest proposal */
	uint64_t asked_id;
	bool answered;
	struct propose_reply answer;
};

/** Makes nodes; the first @p voters have a disk. The first one bootstraps. */
void
world_init (struct world *world, int nodes, int voters, uint64_t seed);

/** The same for a log of which more disks may be lost at once than one. */
void
world_init_losses (struct world *world, int nodes, int voters, int losses, uint64_t seed);
void
world_finish (struct world *world);

/** Lets time pass; checks the oracle after each step. */
void
world_run (struct world *world, int64_t for_us);

/** Runs until a condition holds, at most a time; false when it never did. */
bool
world_until (struct world *world, bool (*holds) (struct world *), int64_t max_us);

/** Ends a process at once; what was not synced is lost. */
void
world_crash (struct world *world, int node);
void
world_restart (struct world *world, int node);

/** Empties a node's disk; the node has to be down. */
void
world_empty_disk (struct world *world, int node);

/** Sends a change through a node; the answer comes in world.answer. */
void
world_change (struct world *world, int node, const char *change_id, const char *name,
	uint64_t expected_version, int value);

/** Sends a claim or an outcome through a node. */
void
world_claim (struct world *world, int node, const char *key, uint64_t nonce);
void
world_outcome (
	struct world *world, int node, const char *key, uint64_t nonce, enum claim_status status);

/** The index of the leader, or -1 when there is none or more than one is up. */
int
world_leader (const struct world *world);

/** True when every node that is up holds a lease and knows the newest accepted change. */
bool
world_settled (struct world *world);

/** The node that may work on a target now, or -1. */
int
world_owner (const struct world *world, int target);
