/**
 * @file raft.h
 * Replication of the control log with the Raft protocol. No I/O.
 *
 * The state machine keeps its log in memory. The I/O layer saves the state while raft_needs_save
 * is true, calls raft_mark_saved, and only then sends the messages of the outbox, so that nothing
 * is acknowledged before it is synced. A member is identified by the random incarnation of its
 * data folder: a node whose disk was emptied is a new member, which has no vote.
 */
#pragma once

#include "core/rng.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

enum {
	RAFT_MAX_NODES = 9,          /**< voters and learners together */
	RAFT_FIRST_CONFIG_INDEX = 1, /**< of the entry that raft_bootstrap_config() appends */
	RAFT_NAME_SIZE = 64,
	RAFT_ADDRESS_SIZE = 64,
	RAFT_BATCH_BYTES = 256 * 1024, /**< a message with this much gets no further entry */
	RAFT_CHUNK_BYTES = 64 * 1024,  /**< limit of the snapshot data in one message */
	RAFT_CATCH_UP_ENTRIES = 64,    /**< lag up to which a learner may become a voter */
};

/** What a change of the voters that is in progress means for a voter. */
enum raft_change {
	RAFT_STAYS,
	RAFT_JOINS,  /**< its vote counts in the new configuration only */
	RAFT_LEAVES, /**< its vote counts in the old configuration only */
};

/** A voter or learner. */
struct raft_node {
	uint64_t id; /**< incarnation of its data folder, never 0 */
	char name[RAFT_NAME_SIZE];
	char address[RAFT_ADDRESS_SIZE];
	bool voter;
	enum raft_change change; /**< RAFT_STAYS unless the configuration is a joint one */
};

/**
 * The voters and learners. A joint configuration, in which some voters join or leave, needs a
 * majority of the old voters and one of the new voters for everything that needs a majority.
 */
struct raft_config {
	int count;
	struct raft_node nodes[RAFT_MAX_NODES];
};

enum raft_entry_type { RAFT_NOOP, RAFT_COMMAND, RAFT_CONFIG };

struct raft_entry {
	uint64_t term;
	enum raft_entry_type type;
	void *data; /**< owned by the log */
	size_t len;
};

enum raft_role { RAFT_FOLLOWER, RAFT_CANDIDATE, RAFT_LEADER };

enum raft_message_type {
	RAFT_PREVOTE,
	RAFT_PREVOTE_REPLY,
	RAFT_VOTE,
	RAFT_VOTE_REPLY,
	RAFT_APPEND,
	RAFT_APPEND_REPLY,
	RAFT_SNAPSHOT,
	RAFT_SNAPSHOT_REPLY,
	RAFT_MESSAGE_TYPE_COUNT,
};

/** One message; the type decides which fields are used. */
struct raft_message {
	struct cds_list_head node; /**< in the outbox */
	enum raft_message_type type;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	/**
	 * RAFT_APPEND: index before the entries; RAFT_APPEND_REPLY: matching index, or the newest
	 * that may match; votes: last index of the candidate's log; snapshots: index of the
	 * snapshot
	 */
	uint64_t index;
	uint64_t log_term; /**< term of the entry at index */
	uint64_t commit;
	uint64_t round;  /**< heartbeat round of the leader, returned in the reply */
	uint64_t offset; /**< of a snapshot chunk; in a reply, of the next chunk to send */
	bool ok;
	bool done; /**< last snapshot chunk */
	struct raft_entry *entries;
	int entry_count;
	void *chunk;
	size_t chunk_len;
	struct raft_config config; /**< RAFT_SNAPSHOT: configuration at index */
};

struct raft_times {
	int64_t election_timeout_us; /**< least election timeout; the timeout is random up to twice
					this */
	int64_t heartbeat_interval_us;
};

/** The leader's record of another node. */
struct raft_progress {
	uint64_t next;  /**< index of the next entry to send */
	uint64_t match; /**< newest index known to be on the node's disk */
	uint64_t round; /**< newest heartbeat round that the node answered */
	uint64_t snapshot_offset;
	bool sending_snapshot;
	int64_t last_heard_us;
	int64_t sent_us;
};

struct raft {
	uint64_t id;
	uint64_t term;
	uint64_t voted_for;
	enum raft_role role;
	uint64_t leader; /**< 0 while unknown */
	struct raft_times times;
	struct rng rng;

	struct raft_entry *entries; /**< entries[i] has index snapshot_index + 1 + i */
	size_t entry_count;
	size_t entry_cap;
	uint64_t snapshot_index; /**< last index that the snapshot covers */
	uint64_t snapshot_term;
	void *snapshot; /**< state at snapshot_index; NULL when that is 0 */
	size_t snapshot_len;
	struct raft_config snapshot_config;

	struct raft_config config; /**< newest one in the log, in use once appended */
	uint64_t config_index;
	uint64_t commit;
	uint64_t saved_index;    /**< newest synced entry */
	uint64_t truncated_from; /**< first entry replaced since the last save; 0: none */
	bool hard_state_changed; /**< term or vote has to be saved */
	bool snapshot_changed;   /**< the snapshot has to be saved */

	int64_t last_heard_us; /**< time of the last message from a leader */
	int64_t election_at_us;
	int64_t heartbeat_at_us;
	int64_t leader_since_us;
	bool prevoting;
	uint64_t votes[RAFT_MAX_NODES];
	int vote_count;
	uint64_t round;
	uint64_t term_start_index;                     /**< index of the leader's first entry */
	struct raft_progress progress[RAFT_MAX_NODES]; /**< parallel to config.nodes */

	char *incoming; /**< the chunks of a snapshot received so far */
	size_t incoming_len;
	uint64_t incoming_index;

	struct cds_list_head outbox;
};

void
raft_init (struct raft *raft, uint64_t id, const struct raft_times *times, uint64_t seed,
	int64_t now_us);
void
raft_finish (struct raft *raft);

/** Appends a first configuration with this node alone; only for a new data folder. */
void
raft_bootstrap (struct raft *raft, const char *name, const char *address);

/**
 * Appends a first configuration, which must be the same on all of its nodes; only for a new data
 * folder. Only a majority of it elects a leader, so no two parts of it form two clusters.
 */
void
raft_bootstrap_config (struct raft *raft, const struct raft_config *config);

/** Restores the saved state before the first event. The raft takes ownership of the data. */
void
raft_restore_hard_state (struct raft *raft, uint64_t term, uint64_t voted_for);
void
raft_restore_snapshot (struct raft *raft, uint64_t index, uint64_t term,
	const struct raft_config *config, void *data, size_t len);
void
raft_restore_entry (struct raft *raft, uint64_t index, struct raft_entry entry);
/** Drops the last restored entry, because a later record truncates the log there. */
void
raft_restore_truncation (struct raft *raft);

/** Starts elections and sends heartbeats that are due; a leader without a quorum steps down. */
void
raft_tick (struct raft *raft, int64_t now_us);

/** Handles a message from another node and copies its entries. */
void
raft_receive (struct raft *raft, const struct raft_message *message, int64_t now_us);

/** Appends an entry on the leader. @return its index, or 0 when this node is not leader. */
uint64_t
raft_propose (
	struct raft *raft, enum raft_entry_type type, const void *data, size_t len, int64_t now_us);

/**
 * Appends a new configuration; returns 0 when not leader or while a change is uncommitted. It adds
 * or removes at most one voter, unless it is a joint one or completes a joint one.
 */
uint64_t
raft_propose_config (struct raft *raft, const struct raft_config *config, int64_t now_us);

/** Sends new entries to the other nodes; call after a batch of proposals. */
void
raft_flush (struct raft *raft, int64_t now_us);

/** Starts a heartbeat round. @return its number, for raft_confirmed_round. */
uint64_t
raft_start_round (struct raft *raft, int64_t now_us);

/** The newest round that a majority of voters has answered. */
uint64_t
raft_confirmed_round (const struct raft *raft);

/** True once the leader has committed an entry of its own term; its commit is current then. */
bool
raft_commit_is_current (const struct raft *raft);

/** Records that the entries, the hard state and the snapshot have been synced. */
void
raft_mark_saved (struct raft *raft, int64_t now_us);

/** True while something has to be saved before the outbox may be sent. */
bool
raft_needs_save (const struct raft *raft);

/** Replaces the entries up to an applied index by a snapshot; takes ownership of its data. */
void
raft_compact (struct raft *raft, uint64_t index, void *data, size_t len);

uint64_t
raft_last_index (const struct raft *raft);

/** The entry at an index; NULL when it was compacted or does not exist. */
const struct raft_entry *
raft_entry_at (const struct raft *raft, uint64_t index);

const struct raft_node *
raft_find_node (const struct raft *raft, uint64_t id);

/** True when this node has a vote in the newest configuration. */
bool
raft_is_voter (const struct raft *raft);

/** Number of voters; in a joint configuration, those of the old and the new one together. */
int
raft_voter_count (const struct raft_config *config);

bool
raft_config_is_joint (const struct raft_config *config);

/** Makes a configuration joint: a learner replaces a voter, both given by their positions. */
void
raft_config_replace (struct raft_config *config, int voter, int learner);

/** Ends a joint configuration: removes the voters that leave. */
void
raft_config_complete (struct raft_config *config);

/**
 * Whether some nodes are a majority; in a joint configuration, of the old and of the new voters.
 * @param agreed parallel to config->nodes
 */
bool
raft_is_quorum (const struct raft_config *config, const bool *agreed);

/** Frees a message taken from the outbox. */
void
raft_message_free (struct raft_message *message);

/** Encodes a configuration for a log entry; the caller frees the bytes. */
void *
raft_config_encode (const struct raft_config *config, size_t *len);
bool
raft_config_decode (struct raft_config *config, const void *data, size_t len);
