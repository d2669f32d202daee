/**
 * @file node.h
 * State that the daemon's threads share: settings, the current view, the lease and counters.
 *
 * The control thread updates the view and the lease; the other threads read them without locks.
 */
#pragma once

#include "control/view.h"
#include "core/clock.h"
#include "core/log.h"
#include "daemon/ports.h"
#include "net/peer.h"
#include "options/options.h"
#include "query/admission.h"
#include "query/query.h"

#include <stdatomic.h>

struct worker;
struct control;
struct front;

struct node {
	struct options options;
	const char *config_path;
	struct clock clock;
	struct log log;
	uint64_t incarnation; /**< random id of this process */
	struct hint_table hints;
	struct query_policy policy;
	struct view *view; /**< published through RCU; NULL before the first one */
	_Atomic int64_t lease_until_us;
	_Atomic uint64_t lease_generation; /**< number of leases gained after a time without one */
	/** All nodes with a lease have released the targets that they lost up to this revision. */
	_Atomic uint64_t settled_revision;
	struct admission admission;       /**< of the callers' server, not of declared routes */
	_Atomic bool stopping;            /**< a planned stop has begun */
	_Atomic bool refusing_calls;      /**< the callers' server is about to close */
	_Atomic int calls;                /**< calls that the callers' server is handling */
	_Atomic uint64_t request_counter; /**< for request ids */
	struct worker *workers;
	int worker_count;
	struct ports ports; /**< until the servers take them over */
	struct peer peer;
	struct control *control;
	struct front *front; /**< serves declared routes; NULL when it is not configured */
};

/**
 * Returns the current view with a reference for the caller; NULL before the first one. The calling
 * thread must be RCU-registered.
 */
struct view *
node_view_get (struct node *node);

/**
 * Publishes a view, takes over the caller's reference to it and drops the one to the previous view.
 * Control thread only.
 */
void
node_view_publish (struct node *node, struct view *view);

/** True while this node has a lease and may start new work. */
bool
node_has_lease (struct node *node);

/** The worker that serves a target, selected by a hash of the target's name. */
struct worker *
node_worker_for_target (struct node *node, const char *target);

/** Returns a new request id, unique in this process, which encodes the worker of the request. */
uint64_t
node_new_request_id (struct node *node, int worker);

/** The worker that runs a request; NULL when the id encodes none. */
struct worker *
node_worker_for_request (struct node *node, uint64_t request);

/** True when the node is stopping, or its VM or data centre is leaving. */
bool
node_is_leaving (struct node *node);
