/**
 * @file control.h
 * The control thread: it feeds the voter and the follower, persists the log and publishes views.
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
	CONTROL_PROPOSE_TIMEOUT_US =
		5000000, /**< a proposal without an answer is given up after this */
	CONTROL_ORDER_TIMEOUT_US = 850000, /**< an operator asks another node after a second */
	CONTROL_SAVE_RETRY_US = 200000,    /**< how soon a full disk is tried again */
};

/** A proposal on its way to the leader. */
struct proposal {
	struct cds_list_head node;
	uint64_t id;
	uint64_t request; /**< the once-only request it is for; 0: a waiting HTTP thread */
	enum command_kind kind;
	void *data;
	size_t len;
	int64_t expires_us;
	int64_t sent_us;
	struct control_change *waiter;
};

/** A resource change that an HTTP thread waits for. */
struct control_change {
	struct mail mail;
	int64_t timeout_us; /**< given up after this */
	struct command *command;
	struct propose_reply reply;
	bool answered; /**< false: nobody confirmed it in time */
	struct completion completion;
};

/** A read of the newest routing that an HTTP thread waits for. */
struct control_read {
	struct mail mail;
	struct cds_list_head node;
	uint64_t min_poll_seq; /**< a poll with this number began after the question */
	int64_t expires_us;
	bool confirmed; /**< false: it is not sure which routing is the newest */
	struct state_routing routing;
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
	int64_t save_retry_us; /**< the data folder is full until then at least; 0: it is not */
	struct follower follower;
	struct cds_list_head proposals;
	struct cds_list_head reads; /**< struct control_read */
	uint64_t last_proposal_id;
	char leader[64];                /**< peer address of the leader as last heard; or empty */
	int next_voter;                 /**< which one to ask when the leader is not known */
	int64_t pending_lease_until_us; /**< end of the lease that takes effect once views are
					   followed */
	uint64_t pending_lease_revision;
	bool had_lease;
	bool was_leader;
	int64_t next_vm_poll_us;
	int64_t platform_mtime;
	int logged_voter_count;
	char seeds[2048]; /**< own peer address when this node may vote, then the settings' */
	_Atomic bool stop;
};

/** Opens the data folder and restores what it holds; messages may be posted from then on. */
bool
control_start (struct control *control, struct node *node, bool bootstrap, struct error *error);

/** Starts the thread, once the workers and the peer links run. */
bool
control_run (struct control *control, struct error *error);

/** Stops the thread; the data folder is synced. */
void
control_stop (struct control *control);

/** Hands a control message from a peer over; takes what it owns over. Any thread. */
void
control_post_wire (struct control *control, const struct peer_route *from, struct wire *wire);

/** Proposes a claim or outcome for a once-only request; the answer goes to its worker. */
void
control_propose (struct control *control, const struct command *command, uint64_t request);

/**
 * Proposes a resource change and waits for the result.
 * @return false with ERROR_UNAVAILABLE when it is not known whether the change was accepted.
 */
bool
control_change (struct control *control, struct command *command, struct propose_reply *reply,
	struct error *error);

/**
 * Proposes an order and waits for it to be accepted.
 * @return false with ERROR_UNAVAILABLE when it is not known whether it was accepted.
 */
bool
control_order (struct control *control, struct command *command, struct error *error);

/**
 * Reads the newest accepted routing, confirmed by a majority after the call began.
 * @param routing the caller frees its document
 * @return false with ERROR_UNAVAILABLE when no majority confirmed it in time.
 */
bool
control_read_routing (struct control *control, struct state_routing *routing, struct error *error);

/** Hands over the list of targets that this node has read; takes the bytes over. Any thread. */
void
control_post_roster (struct control *control, void *data, size_t len);

/** Runs a function on the control thread and waits for it. */
void
control_call (struct control *control, void (*run) (struct control *control, void *arg), void *arg);

/** Takes the seeds of settings that were read again over. */
void
control_set_peers (struct control *control, struct options *options);

/** Announces that this node leaves (it owns nothing from then on), or that it is gone. */
void
control_set_leaving (struct control *control, bool gone);
