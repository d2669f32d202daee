/**
 * @file wire.h
 * The control messages between nodes and their MessagePack encoding. No I/O.
 */
#pragma once

#include "control/raft.h"
#include "control/roster.h"
#include "control/state.h"

enum { WIRE_MAX_VOTERS = RAFT_MAX_NODES, WIRE_MAX_POLLS = 1024 };

enum control_message_kind {
	CONTROL_MESSAGE_RAFT,
	CONTROL_MESSAGE_POLL,
	CONTROL_MESSAGE_POLL_REPLY,
	CONTROL_MESSAGE_RELAY,
	CONTROL_MESSAGE_RELAY_REPLY,
	CONTROL_MESSAGE_PROPOSE,
	CONTROL_MESSAGE_PROPOSE_REPLY,
	CONTROL_MESSAGE_KIND_COUNT,
};

/** A node's report when it polls for changes and a lease. */
struct poll {
	char name[RESOURCE_NAME_MAX + 1];
	char data_centre[DATA_CENTRE_NAME_MAX + 1];
	char address[64];
	uint64_t incarnation;  /**< of the process */
	uint64_t disk_id;      /**< incarnation of its data folder; 0: none */
	uint64_t applied;      /**< newest revision that it has applied */
	uint64_t reconciled;   /**< newest revision that its request handling follows */
	uint64_t released;     /**< newest revision with no work left on targets that it lost */
	uint32_t leaving_work; /**< sub-requests in flight at targets that are leaving */
	uint64_t roster_stamp; /**< stamp of the target list that it has */
	bool is_entry_node;    /**< it serves callers of declared routes */
	bool leaving;          /**< it began a planned stop */
	uint32_t old_work;     /**< in flight at old targets of services that are shifting */
	struct rollout_reports rollouts; /**< its counts of active roll-outs */
	bool exiting; /**< it has neither a lease nor work left and is about to exit */
};

/** A committed command that a follower lacks. */
struct wire_change {
	uint64_t index;
	void *data;
	size_t len;
};

struct poll_reply {
	uint64_t seq;
	bool lease_granted;
	uint64_t revision;     /**< newest committed index */
	uint64_t settled;      /**< all nodes with a lease have released up to this revision */
	uint64_t in_force;     /**< all nodes with a lease follow this revision or a later one */
	uint32_t leaving_work; /**< sum over all nodes */
	int node_count;        /**< nodes that hold a lease */
	int voter_count;
	char voters[WIRE_MAX_VOTERS][64]; /**< peer addresses */
	void *snapshot;                   /**< complete state when changes are missing; or NULL */
	size_t snapshot_len;
	uint64_t since_revision; /**< revision applied by the poller; the changes follow it */
	struct wire_change *changes;
	int change_count;
	struct roster_update roster;
};

/** The leader's reply to a voter that relays polls. */
struct relay_reply {
	uint64_t seq;
	uint64_t commit;
	uint64_t settled;
	uint64_t in_force;
	uint32_t leaving_work;
	int node_count;
	struct roster_update roster;
};

enum propose_status { PROPOSE_APPLIED, PROPOSE_NOT_LEADER, PROPOSE_REFUSED };

struct propose_reply {
	uint64_t id;
	enum propose_status status;
	char leader[64]; /**< peer address, or empty */
	struct state_result result;
	char *body; /**< stored reply of a claim, owned; or NULL */
};

/** A control message; the kind selects the member of the union. */
struct control_message {
	enum control_message_kind kind;
	union {
		struct raft_message *raft; /**< owned */
		struct {
			uint64_t seq;
			struct poll poll;
		} poll;
		struct poll_reply poll_reply;
		struct {
			uint64_t seq;
			uint64_t roster_stamp; /**< stamp of the relaying voter's target list */
			struct poll *polls;    /**< owned */
			int count;
		} relay;
		struct relay_reply relay_reply;
		struct {
			uint64_t id;
			void *data; /**< encoded command, owned */
			size_t len;
		} propose;
		struct propose_reply propose_reply;
	} u;
};

/** Encodes a message; the caller frees the bytes. */
void *
control_message_encode (const struct control_message *message, size_t *len);

/** Decodes a message; false when malformed. Always call control_message_finish afterwards. */
bool
control_message_decode (struct control_message *message, const void *data, size_t len);

/** Frees the data that a message owns. */
void
control_message_finish (struct control_message *message);
