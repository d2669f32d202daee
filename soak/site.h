/**
 * @file site.h
 * The shape of a site: its nodes, services, routes and callers.
 */
#pragma once

#include <stdbool.h>

enum { SITE_ROUTES = 4, SITE_CALLER_KINDS = 6 };

/** A route and the requests on it. */
struct site_route {
	const char *name; /**< also its path prefix */
	const char *type; /**< kind that the operator declares */
	bool fanout;
	int timeout_ms;
	int deadline_ms; /**< of the callers */
	int target_latency_ms;
	int priority;
	int top_k;
	double min_shard_ratio;
	int work_ms; /**< mean work of a target; 0: the usual mixture */
	int weight;  /**< share of the requests without a body */
	int answer_max_bytes;
};

struct site {
	const char *name;
	int control_nodes;
	int entry_nodes;
	int zones;
	int shards;
	int later_shards; /**< services that the index is moved to */
	int replicas;     /**< targets of a shard */
	int slots;
	int connections; /**< that a shard accepts */
	int single_targets;
	int single_slots;
	int single_connections;
	int pause_ms; /**< targets pause for so long */
	int pause_every_ms;
	int group_nodes;
	int losses; /**< data folders that may be lost; 0: not set */
	int large_body_bytes;
	int pause_max_ms; /**< of a caller between two requests */
	bool rolling;     /**< stops as in a rolling restart, and large versions of the routes */
	int callers[SITE_CALLER_KINDS];
	struct site_route routes[SITE_ROUTES];
};

/** Returns the site of this name, or NULL. */
const struct site *
site_find (const char *name);
/** Returns the number of services; the last one serves single requests. */
int
site_services (const struct site *site);
/** Returns the number of targets of all services. */
int
site_targets (const struct site *site);
