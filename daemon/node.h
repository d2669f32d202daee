/**
 * @file node.h
 * What the threads of a daemon share: settings, the published view, the lease.
 */
#pragma once

#include "control/view.h"
#include "core/clock.h"
#include "core/log.h"
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
	uint64_t incarnation; /**< random; of this process */
	struct hint_table hints;
	struct query_policy policy;
	struct view *view; /**< published by RCU; NULL before the first */
	_Atomic int64_t lease_until_us;
	_Atomic uint64_t lease_generation; /**< counts leases gained after a lapse */
	_Atomic uint64_t settled_revision;
	struct admission admission; /**< of callers' requests */
	_Atomic bool stopping;
	_Atomic uint64_t request_counter;
	struct worker *workers;
	int worker_count;
	struct peer peer;
	struct control *control;
	struct front *front; /**< serves callers of declared routes; or NULL */
};

/** Takes a reference to the current view; NULL before the first. The thread is RCU-registered. */
struct view *
node_view_get (struct node *node);

/** Publishes a view and gives the old one back; control thread only. Takes the reference over. */
void
node_view_publish (struct node *node, struct view *view);

/** True while this node may issue new work. */
bool
node_has_lease (struct node *node);

/** The worker that serves a target. */
struct worker *
node_worker_for_target (struct node *node, const char *target);

/** A request id that no request of this process had before; says which worker runs it. */
uint64_t
node_new_request_id (struct node *node, int worker);

/** The worker that runs a request. */
struct worker *
node_worker_for_request (struct node *node, uint64_t request);

/** True when the node's own VM or data centre is leaving, or it is stopping. */
bool
node_is_leaving (struct node *node);
