/**
 * @file control.h
 * The control thread: the I/O layer of the voter and the follower. Saves the control log, exchanges
 * control messages with other nodes, publishes views and puts the node's lease into effect.
 *
 * Other threads reach it by mail; the functions that wait for a result block the calling thread.
 */
#pragma once

#include "control/follower.h"
#include "control/voter.h"
#include "daemon/node.h"
#include "net/completion.h"
#include "net/mailbox.h"
#include "store/store.h"

#include <pthread.h>

enum {
	CONTROL_TICK_MS = 10,
	CONTROL_PROPOSE_RETRY_US = 250000,
	CONTROL_PROPOSE_TIMEOUT_US = 5000000,
	CONTROL_ORDER_TIMEOUT_US = 850000, /**< an operator tries another node after 1 s */
	CONTROL_SAVE_RETRY_US = 200000,    /**< wait before saving again to a full disk */
};

/** A proposal that the leader has not answered yet. */
struct proposal {
	struct cds_list_head node; /**< in control.proposals */
	uint64_t id;
	uint64_t request; /**< the at-most-once request that waits for it; 0: waiter does */
	enum command_kind kind;
	void *data;
	size_t len;
	int64_t expires_us;
	int64_t sent_us;
	struct control_change *waiter; /**< the HTTP thread's change; NULL: none */
};

/** A resource change or an order that an HTTP thread waits for. */
struct control_change {
	struct mail mail;
	int64_t timeout_us;
	struct command *command;
	struct propose_reply reply;
	bool answered; /**< false: no result was received in time */
	struct completion completion;
};

/** A read of the newest routing, or of a roll-out, that an HTTP thread waits for. */
struct control_read {
	struct mail mail;
	struct cds_list_head node; /**< in control.reads */
	uint64_t min_poll_seq;     /**< polls from this number on were sent after the read began */
	int64_t expires_us;
	bool confirmed; /**< false: no majority confirmed which routing is the newest */
	struct state_routing routing;
	const char *service;     /**< reads its newest roll-out; NULL: reads the routing */
	struct rollout *rollout; /**< filled in if found */
	bool found;
	struct completion completion;
};

struct control {
	struct node *node;
	struct log log;
	pthread_t thread;
	struct mailbox mailbox;
	bool has_voter;
	struct voter voter;
	struct store store;
	int64_t save_retry_us; /**< when to save again to a full disk; 0: it is not full */
	struct follower follower;
	struct cds_list_head proposals; /**< struct proposal */
	struct cds_list_head reads;     /**< struct control_read */
	uint64_t last_proposal_id;
	char leader[64];                /**< its peer address as last reported; empty: unknown */
	int next_voter;                 /**< selects the voter to try while the leader is unknown */
	int64_t pending_lease_until_us; /**< of the newest granted lease */
	uint64_t pending_lease_revision; /**< must be followed before the lease takes effect */
	bool had_lease;                  /**< as logged last */
	bool was_leader;                 /**< as logged last */
	int64_t next_vm_poll_us;
	int64_t platform_mtime;
	int logged_voter_count;
	char seeds[2048]; /**< peer addresses: this node's if it has a voter, then the settings' */
	_Atomic bool exit_acknowledged; /**< a poll that announced the exit was answered */
	_Atomic bool stop;
};

/** Opens the data folder and restores its content. Mail may be posted from then on. */
bool
control_start (struct control *control, struct node *node, bool bootstrap, struct error *error);

/** Starts the thread. The workers and the peer links must be running. */
bool
control_run (struct control *control, struct error *error);

/**
 * Stops the thread and closes the data folder, whose content is synced.
 * @return false if the thread has not ended at @p until_us, and nothing of it may be freed.
 */
bool
control_stop (struct control *control, int64_t until_us);

/** Posts a control message from a peer and takes over what it owns. Any thread. */
void
control_post_message (
	struct control *control, const struct peer_route *from, struct control_message *message);

/** Proposes a claim or outcome of an at-most-once request. Its worker gets the result as mail. */
void
control_propose (struct control *control, const struct command *command, uint64_t request);

/**
 * Proposes a resource change and waits for the result.
 * @return false with ERROR_UNAVAILABLE when it is not known whether the change was accepted.
 */
bool
control_change (struct control *control, struct command *command, struct propose_reply *reply,
	struct error *error);

/** What became of an order. */
enum control_order_end {
	CONTROL_ORDER_ACCEPTED,
	CONTROL_ORDER_UNCONFIRMED, /**< with ERROR_UNAVAILABLE; it may have been accepted */
	CONTROL_ORDER_SUPERSEDED,  /**< with ERROR_UNAVAILABLE; a newer one was applied before */
	CONTROL_ORDER_CONFLICT,    /**< with ERROR_UNAVAILABLE; another roll-out is active */
};

/**
 * Proposes an operator's order and waits until it is accepted. When it is superseded, its revision
 * is set to the one before the newer order was applied.
 */
enum control_order_end
control_order (
	struct control *control, struct command *command, int64_t timeout_us, struct error *error);

/**
 * The newest revision that this node has applied; 0: none. If it is older than @p at_least, the
 * node also asks for a newer one.
 */
uint64_t
control_revision (struct control *control, uint64_t at_least);

/**
 * Reads the newest accepted routing, confirmed by a majority after the call began.
 * @param routing the caller frees its document
 * @return false with ERROR_UNAVAILABLE when no majority confirmed it in time.
 */
bool
control_read_routing (struct control *control, struct state_routing *routing, struct error *error);

/**
 * Copies the routing that this node follows, which may not be the newest; the caller frees its
 * document.
 */
void
control_local_routing (struct control *control, struct state_routing *routing);

/**
 * Reads the newest roll-out of a service, confirmed like control_read_routing.
 * @return false with ERROR_NOT_FOUND if there is none, or ERROR_UNAVAILABLE.
 */
bool
control_read_rollout (
	struct control *control, const char *service, struct rollout *rollout, struct error *error);

/**
 * Posts the target list that this node has read at @p read_us, and takes over the bytes. Any
 * thread.
 */
void
control_post_roster (struct control *control, void *data, size_t len, int64_t read_us);

/** Runs a function on the control thread and waits for it. */
void
control_call (struct control *control, void (*run) (struct control *control, void *arg), void *arg);

/** Runs a function on the control thread without waiting for it; @p arg is freed after it. */
void
control_post_call (
	struct control *control, void (*run) (struct control *control, void *arg), void *arg);

/** Applies the seeds of reloaded settings, which are copied; does not wait. */
void
control_set_peers (struct control *control, const struct options *options);

/**
 * Announces that this node is leaving, so that other nodes become the owners of its targets. Does
 * not wait for the control thread, which may be busy with a large routing or a slow disk.
 * @param exiting also announces that the process is about to exit
 */
void
control_set_leaving (struct control *control, bool exiting);
