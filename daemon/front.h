/**
 * @file front.h
 * Serves callers of declared routes on one event loop: callers in, targets out.
 *
 * The loop works on its own last view of routing and targets, so that a node which has lost
 * control goes on serving with it.
 */
#pragma once

#include "control/parts.h"
#include "control/roster.h"
#include "control/state.h"
#include "core/timers.h"
#include "daemon/discovery.h"
#include "daemon/node.h"
#include "daemon/route_stats.h"
#include "net/fetch.h"
#include "net/ingress.h"
#include "net/mailbox.h"
#include "query/scatter.h"

#include <pthread.h>

enum {
	FRONT_STOP_REFUSE_TIMES = 4, /**< usual latencies that a request needs during a stop */
	FRONT_DOUBT_US =
		2000000, /**< a view that was not confirmed for this long may lack a route */
	FRONT_START_HOLD_US = 1200000, /**< a start of all nodes hands views out within this */
	FRONT_RETURN_LAG_US = 1000000, /**< the list says by then which targets returned cold */
	FRONT_BALANCER_LAG_US =
		2500000, /**< the balancer asks once a second and needs two misses */
};

/** Kinds of timer of the front's loop, beyond those of net/fetch.h. */
enum { FORWARD_TIMER = FETCH_TIMER_KINDS, DISCOVERY_TIMER };

/** Messages to the front's thread. */
enum front_mail { FRONT_STATE, FRONT_ROSTER, FRONT_DUMP };

/** What control declares, as the front needs it. */
struct front_state {
	struct mail mail;
	uint64_t revision;
	struct routing *routing; /**< NULL: none was accepted yet; a reference is held */
	char **leaving;          /**< names of data centres, owned */
	int leaving_count;
	uint64_t epoch;
	uint64_t *entries; /**< hashes of the names of all entries, owned */
	size_t entry_count;
	bool listed; /**< this process is one of them */
};

/** A target list from control. */
struct front_roster {
	struct mail mail;
	int64_t read_us;
	size_t len; /**< 0: the list in use is confirmed */
	char data[];
};

struct front {
	struct node *node;
	struct log log;
	pthread_t thread;
	int epoll_fd;
	struct mailbox mailbox;
	struct timers timers;
	struct fetch_loop fetches;
	struct ingress callers;
	struct ingress balancer;        /**< asks for readiness */
	_Atomic bool is_leader;         /**< this control node reads the target list for all */
	_Atomic uint64_t posted_roster; /**< stamp of the list that control posted last */
	int64_t started_us;
	struct front_state *state;   /**< the newest; NULL before the first */
	struct parts parts;          /**< of what targets bear, among all entries */
	int64_t part_until_us;       /**< this node's parts may be used until then; 0: not now */
	_Atomic uint64_t reconciled; /**< revision that the parts follow */
	uint64_t posted_version;     /**< control thread: routing version that was posted last */
	struct routing *posted;      /**< control thread: that routing */
	struct cds_list_head sets;   /**< struct replica_set */
	struct discovery discovery;
	struct route_table routes;    /**< counts of each declared route */
	_Atomic int64_t list_read_us; /**< discovery.read_us for other threads */
	_Atomic int sharing_nodes; /**< entries that share what targets bear, for other threads */
	struct scatter_policy policy;
	struct rng rng;
	struct cds_list_head forwards; /**< requests under way */
	_Atomic int in_flight;
	_Atomic int connections;           /**< of callers */
	_Atomic int64_t view_confirmed_us; /**< when control last confirmed the declared state */
	_Atomic int64_t stop_began_us;     /**< begin of a planned stop; 0: none */
	_Atomic bool stop;
};

/** Starts to serve; messages may be posted from then on. */
bool
front_start (struct front *front, struct node *node, struct error *error);
void
front_stop (struct front *front);

/** Hands the front a new declared state. Control thread only. */
void
front_post_state (struct front *front, const struct state *state);

/** Hands the front the target list that control holds. Control thread only. */
void
front_post_roster (struct front *front, const struct roster *roster);

int64_t
front_now_us (const struct front *front);

/** True when the node knows routes and targets, and can serve. */
bool
front_has_view (const struct front *front);

/** The set of a service, created when it is not known yet. */
struct replica_set *
front_set (struct front *front, const char *service);

/** Sets this node's part of what a cold target bears. */
void
front_share_cold (struct front *front, struct replica *replica);

/** Applies to a set what the declared state says of its service. */
void
front_bind_set (struct front *front, struct replica_set *set);

/** Lets targets of returned data centres have work again, once a later list was read. */
void
front_readmit (struct front *front, int64_t read_us);

/** True when a data centre is declared as leaving. */
bool
front_is_leaving (const struct front *front, const char *data_centre);
