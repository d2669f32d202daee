/**
 * @file front.h
 * Serves callers' requests on declared routes. One thread with an event loop does all the I/O, with
 * callers and with targets.
 *
 * The loop keeps its own view of routing and targets, so that a node which has lost contact with
 * control continues to serve with the last one it received.
 */
#pragma once

#include "control/roster.h"
#include "control/shares.h"
#include "control/state.h"
#include "core/name_table.h"
#include "core/timers.h"
#include "core/turn.h"
#include "daemon/account_stats.h"
#include "daemon/discovery.h"
#include "daemon/node.h"
#include "daemon/posted_routings.h"
#include "daemon/rollouts.h"
#include "daemon/route_stats.h"
#include "net/completion.h"
#include "net/fetch.h"
#include "net/ingress.h"
#include "net/mailbox.h"
#include "query/drain.h"
#include "query/quota.h"
#include "query/scatter.h"

#include <pthread.h>

enum {
	/** A view that was not confirmed for this long may lack a recently added route. */
	FRONT_VIEW_STALE_US = 2000000,
	/** When all nodes start together, each has received its view within this time. */
	FRONT_START_HOLD_US = 1200000,
	/** Time until the target list shows which targets of a returned data centre are cold. */
	FRONT_READMIT_DELAY_US = 1000000,
	/** The loop waits less than this; a longer gap shows that the process was suspended. */
	FRONT_SUSPENDED_US = 500000,
	/** For this long after that, batches of other nodes may be outdated. */
	FRONT_RESUME_GUARD_US = 50000,
};

/** Kinds of timers of the front's loop, in addition to those of net/fetch.h. */
enum { FORWARD_TIMER = FETCH_TIMER_KIND_END, DISCOVERY_TIMER, QUOTA_TIMER, TARGET_WATCH_TIMER };

/** Kinds of messages to the front's thread. */
enum front_mail { FRONT_STATE, FRONT_ROSTER, FRONT_DUMP, FRONT_SERVE };

/** Parts of an iteration of the front's loop. */
enum front_part {
	FRONT_PART_SOCKETS,
	FRONT_PART_STATE,
	FRONT_PART_ROSTER,
	FRONT_PART_DUMP,
	FRONT_PART_END, /**< ending requests at a planned stop */
	FRONT_PART_TARGETS,
	FRONT_PART_TIMERS,
	FRONT_PART_CALLERS, /**< also batches of other nodes and readiness */
};

/** The part of the declared state that the front uses. */
struct front_state {
	struct mail mail;
	uint64_t revision;
	struct routing *routing; /**< holds a reference; NULL: none was accepted yet */
	char **leaving;          /**< names of leaving data centres, owned */
	int leaving_count;
	uint64_t epoch;
	struct entry_node *entry_nodes; /**< all of them, owned */
	size_t entry_node_count;
	struct rollouts rollouts;
	bool is_member; /**< this process is one of the entry nodes */
};

/** A target list posted by control. */
struct front_roster {
	struct mail mail;
	int64_t read_us;
	size_t len; /**< 0: confirms, as of read_us, the list posted before */
	char data[];
};

struct front {
	struct node *node;
	struct log log;
	pthread_t thread;
	struct completion ended; /**< of what the thread does; it may exit later */
	int epoll_fd;
	struct mailbox mailbox;
	struct timers timers;
	struct turn turn;           /**< of the loop, without its wait */
	struct memory_pool memory;  /**< of what comes from outside */
	struct memory_account kept; /**< see daemon/forward_keep.h */
	struct fetch_loop fetches;
	struct ingress callers;
	unsigned logged_no_room;   /**< requests refused for their bodies that were logged */
	unsigned logged_malformed; /**< requests that cannot be read that were logged */
	unsigned logged_dropped;   /**< dropped answers of callers that were logged */
	struct ingress balancer;   /**< readiness probes of the load balancer */
	struct ingress batches;    /**< batches that other entry nodes send */
	/** This control node is the leader and reads the target list for all nodes. */
	_Atomic bool is_leader;
	/** Stamp of the target list that control posted last; 0: the next one must be complete. */
	_Atomic uint64_t posted_roster_stamp;
	int64_t started_us;
	int64_t woken_us;          /**< when the loop last woke up */
	int64_t resumed_us;        /**< when this process last continued after a suspension */
	struct front_state *state; /**< the newest; NULL until the first one is received */
	struct shares shares;      /**< entry nodes that share the capacity of targets */
	struct aggregators aggregators;
	struct quota quota;
	struct timer quota_timer; /**< returns tokens that were not used */
	int64_t share_until_us;   /**< this node may use its share until then; 0: not at present */
	_Atomic uint64_t posted_revision; /**< of the declared state that control posted last */
	_Atomic uint64_t reconciled;      /**< revision of the declared state that was applied */
	uint64_t posted_version;          /**< control thread: version of the routing posted last */
	struct posted_routings posted_routings;
	struct cds_list_head sets;      /**< struct replica_set, one per service */
	struct name_table set_names;    /**< indices in set_items */
	struct replica_set **set_items; /**< the same sets; none is removed */
	int set_count;
	int set_cap;
	struct discovery discovery;
	struct front_rollouts rollouts;
	struct route_table routes;     /**< statistics of each declared route */
	struct account_table accounts; /**< of each account that has sent requests */
	_Atomic int64_t list_read_us;  /**< copy of discovery.read_us for other threads */
	_Atomic int sharing_nodes;     /**< copy of shares_count() for other threads */
	struct scatter_policy policy;
	struct rng rng;
	struct cds_list_head forwards; /**< struct forward, held or in flight */
	struct cds_list_head served;   /**< struct served_batch, of other nodes */
	uint64_t batch_number;         /**< of the last batch sent */
	_Atomic int in_flight;
	_Atomic int connections;           /**< from callers */
	_Atomic int64_t view_confirmed_us; /**< when control last confirmed the declared state */
	_Atomic int64_t stop_began_us;     /**< when a planned stop began; 0: none */
	/** How far the stop may go before it is due; set by other threads, never lowered. */
	_Atomic int asked_phase;
	bool mail_left;        /**< the mailbox was not emptied */
	enum stop_phase phase; /**< how far the stop has come on this thread */
};

/** Starts the front's thread; messages may be posted from then on. */
bool
front_start (struct front *front, struct node *node, struct error *error);

/** Serves callers, batches and readiness probes at the node's ports, which must be open; blocks. */
bool
front_serve (struct front *front, struct error *error);

/**
 * Begins the planned stop. The front's thread follows the times of the plan by itself, so that no
 * other thread can delay the last answers.
 */
void
front_begin_stop (struct front *front, const struct stop_plan *plan);

/** Refuses the requests of which nothing was sent to a target, so that they run elsewhere. */
void
front_refuse_unsent (struct front *front);

/** Answers all requests that are still in flight, closes all connections and ends the thread. */
void
front_end (struct front *front);

/**
 * Waits until the thread uses the front no more; false if it still does at @p until_us. Its exit is
 * not awaited, since freeing its memory can wait for a thread that is held up.
 */
bool
front_join (struct front *front, int64_t until_us);

/** The planned stop of this node, as the policy of query/drain.h sees it. */
struct drain
front_drain (const struct front *front);

/** Posts a new declared state to the front. Control thread only. */
void
front_post_state (struct front *front, const struct state *state);

/** Posts control's target list to the front. Control thread only. */
void
front_post_roster (struct front *front, const struct roster *roster);

int64_t
front_now_us (const struct front *front);

/** True when the node has a routing and a target list, and can serve. */
bool
front_has_view (const struct front *front);

/** True when the view may lack changes that were confirmed since; see FRONT_VIEW_STALE_US. */
bool
front_view_is_stale (const struct front *front);

/** Returns the replica set of a service; creates it if there is none. */
struct replica_set *
front_replica_set (struct front *front, const char *service);

/** Recomputes the minimum interval between this node's requests to a cold target. */
void
front_update_cold_interval (struct front *front, struct replica *replica);

/**
 * Updates what depends on the targets and entry nodes of each fan-out: the data centres that hold
 * its targets, the group that sends to each target, and this node's shares of its limits.
 */
void
front_update_fan_outs (struct front *front);

/** Applies the declared limits of a set's service to the set. */
void
front_configure_set (struct front *front, struct replica_set *set);

/** Readmits targets whose data centre returned FRONT_READMIT_DELAY_US or more before @p read_us. */
void
front_readmit (struct front *front, int64_t read_us);

/** True when a data centre is declared as leaving. */
bool
front_is_leaving (const struct front *front, const char *data_centre);
