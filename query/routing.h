/**
 * @file routing.h
 * The declared routes, services and limits of one version of the routing document, and the match
 * of a request to a route. No I/O.
 *
 * A routing is built once, shared by reference and immutable, except for what the one thread that
 * routes requests keeps in it: the current weights of splits, latencies and bound replica sets.
 */
#pragma once

#include "core/name_table.h"
#include "query/accounts.h"
#include "query/aggregators.h"
#include "query/cost.h"
#include "query/quantile.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Bytes in the name of a service, route, host or target; longer ones are refused. */
	ROUTING_NAME_MAX = 255,
};

struct replica_set;
struct route_stats;

/** Whether a request on a route may run more than once. */
enum route_idempotency { ROUTE_IDEMPOTENT, ROUTE_NON_IDEMPOTENT };

/** Where a route sends its requests. */
enum route_shape {
	ROUTE_SPLIT,   /**< to one service, chosen by weight; possibly the only one */
	ROUTE_FAN_OUT, /**< to one target of every shard; the records are merged */
};

struct routing_service {
	char *name;
	char *health_path;
	int max_connections;    /**< connections that each target accepts from all nodes together */
	double cold_rate_per_s; /**< requests per second that a cold target can handle */
	struct replica_set *set; /**< bound by the thread that routes requests */
};

/** One part of a split, or one shard of a fan-out. */
struct routing_part {
	int service; /**< index in routing.services */
	double weight;
	double current_weight; /**< state of smooth weighted round robin */
};

/** A declared route. */
struct routing_rule {
	char *name;
	char *host;
	char *prefix; /**< begins and ends with a slash */
	enum route_idempotency idempotency;
	enum route_shape shape;
	int64_t timeout_us;
	int64_t objective_us; /**< latency objective: later answers are worth less to the caller */
	int priority;         /**< 0 is the most urgent */
	bool needs_key;       /**< requests need the key of an account, if any is declared */
	int max_attempts;     /**< per request or shard; those that did not run do not count */
	struct routing_part *parts;
	int part_count;
	int top_k;                 /**< ROUTE_FAN_OUT: records in the answer */
	double min_answered_ratio; /**< ROUTE_FAN_OUT: minimum share of shards in an answer */
	/** ROUTE_FAN_OUT: hash of the shards and top_k; nodes that run one request must agree. */
	uint64_t digest;
	struct aggregator_homes homes; /**< ROUTE_FAN_OUT: set by the thread that routes requests */
	struct quantile latency;       /**< of sub-requests on this route */
	struct cost cost;              /**< of sub-requests on this route */
	struct route_stats *stats;     /**< counters of the I/O layer; not owned */
};

/** Limits for the connections and requests of callers. */
struct routing_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

struct routing {
	_Atomic int refs;
	uint64_t version;
	struct routing_rule *rules;
	int rule_count;
	struct routing_service *services;
	int service_count;
	struct name_table service_names;
	struct name_table rule_names;
	struct name_table rule_matches; /**< by host and prefix */
	size_t *prefix_lens;            /**< lengths of prefixes in use, longest first */
	size_t prefix_len_count;
	struct routing_limits limits;
	struct accounts accounts;
};

/** An empty routing with one reference. */
struct routing *
routing_new (void);
struct routing *
routing_ref (struct routing *routing);
void
routing_unref (struct routing *routing);
/** Whether there are references besides that of the calling code. */
bool
routing_is_shared (struct routing *routing);

/** Makes room for rules and services; called once, before they are added. */
void
routing_reserve (struct routing *routing, size_t rules, size_t services);

/** Adds a service, whose name must be new. */
struct routing_service *
routing_add_service (struct routing *routing, const char *name);

/** Adds a route without parts; NULL when another has its host and prefix. */
struct routing_rule *
routing_add_rule (struct routing *routing, const char *name, const char *host, const char *prefix);

/** Index of a service in routing.services; -1 when it is not declared. */
int
routing_find_service (const struct routing *routing, const char *name);

/** The first route with a name, or NULL. */
struct routing_rule *
routing_find_rule (const struct routing *routing, const char *name);

/**
 * The route of a request: of those for its host, the one with the longest prefix of the path.
 * @param host may end in a port, which is ignored
 * @param path may end in a query, which is ignored
 * @return NULL when no route matches.
 */
struct routing_rule *
routing_match (const struct routing *routing, const char *host, const char *path);

/**
 * Index of the next part by smooth weighted round robin, so that the weights hold over short
 * windows too.
 */
int
routing_next_part (struct routing_rule *rule);

/** Hash of a fan-out's shards and top_k. */
uint64_t
routing_rule_digest (const struct routing *routing, const struct routing_rule *rule);

/** Whether two versions of a route send to the same services, in the same order. */
bool
routing_same_services (const struct routing *routing, const struct routing_rule *rule,
	const struct routing *other, const struct routing_rule *other_rule);

/** Minimum number of shards in an answer. */
int
routing_min_shards (const struct routing_rule *rule);
