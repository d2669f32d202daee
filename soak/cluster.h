/**
 * @file cluster.h
 * Nodes as separate processes on loopback, a mock of the platform with its targets, and a mock of
 * its load balancer. Processes are ended by their own ids.
 */
#pragma once

#include "soak/accounts.h"
#include "soak/proxy.h"
#include "soak/site.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	CLUSTER_CONTROL_MAX = 5,
	CLUSTER_ENTRY_MAX = 8,
	CLUSTER_NODES_MAX = CLUSTER_CONTROL_MAX + CLUSTER_ENTRY_MAX,
	CLUSTER_IMPAIRMENTS_MAX = 32,
	CLUSTER_GRACE_US = 6000000, /**< from SIGTERM until SIGKILL */
};

/** What impairs a node; the values are bits. */
enum cluster_impairment_kind {
	IMPAIRED_FROZEN = 1,
	IMPAIRED_KILLED = 2,
	IMPAIRED_LINKS = 4,
	IMPAIRED_RESET = 8, /**< the proxy resets connections */
};

/** A time in which a process or its links are impaired from outside. */
struct cluster_impairment {
	enum cluster_impairment_kind kind;
	int64_t from_us;
	int64_t to_us; /**< INT64_MAX until it ends */
};

/** A node; the control nodes come first. */
struct cluster_node {
	int number;
	pid_t pid;               /**< 0: it does not run */
	_Atomic int64_t stop_us; /**< when SIGTERM was last sent; 0: never */
	/** The same, kept when it starts again. */
	_Atomic int64_t last_stop_us;
	int64_t executed_us; /**< when its program was last executed */
	int misses;          /**< readiness probes missed in a row */
	_Atomic bool in_rotation;
	bool killed; /**< by the plan */
	struct cluster_impairment impairments[CLUSTER_IMPAIRMENTS_MAX];
	int impairment_count;
	struct proxy proxy; /**< between callers and an entry node */
	bool resetting;     /**< its proxy is resetting connections */
};

struct cluster {
	const char *daemon; /**< path of the program under test */
	const char *platform;
	const char *folder; /**< settings, logs and data */
	const struct site *site;
	bool proxied;    /**< callers reach entry nodes by way of a proxy */
	int drain_ms;    /**< a draining target may be used for so long */
	bool plain_list; /**< the list has no entries that cannot be decoded */
	bool accounts;   /**< the routes need the key of a client account */
	struct account_versions versions;
	int base_port;
	int entry_count;
	pid_t platform_pid;
	int64_t start_us;              /**< of the plan */
	_Atomic long accepted_version; /**< the highest one that was accepted */
	_Atomic int extra_routes;      /**< routes that nobody uses */
	_Atomic bool moved;            /**< the index is at the later shards */
	struct cluster_node nodes[CLUSTER_NODES_MAX];
};

/** Starts all processes and declares the routes. Returns false with a message on stderr. */
bool
cluster_start (struct cluster *cluster);
/** Kills all processes that are left. */
void
cluster_kill (struct cluster *cluster);

struct cluster_node *
cluster_entry (struct cluster *cluster, int index);
int
cluster_entry_port (const struct cluster *cluster, int index);
/** The port that callers connect to: the entry node's, or that of its proxy. */
int
cluster_caller_port (const struct cluster *cluster, int index);
int
cluster_platform_port (const struct cluster *cluster);

void
cluster_start_node (struct cluster *cluster, struct cluster_node *node);
void
cluster_signal (struct cluster_node *node, int signal);

/** Notes that a node is impaired from now on, until cluster_recover() for the same kind. */
void
cluster_impair (struct cluster_node *node, enum cluster_impairment_kind kind);
void
cluster_recover (struct cluster_node *node, enum cluster_impairment_kind kind);
/** The kinds, as bits, by which a node was impaired at some moment of a time. */
unsigned
cluster_impairments (const struct cluster_node *node, int64_t from_us, int64_t to_us);

/**
 * The end of the first duration_us from from_us on in which no process was frozen or killed;
 * INT64_MAX if there is none.
 */
int64_t
cluster_undisturbed_us (const struct cluster *cluster, int64_t from_us, int64_t duration_us);

/** Collects a process that has ended. Returns whether it has; *status is that of waitpid(). */
bool
cluster_reap (struct cluster_node *node, int *status);

/**
 * Sends a new version of the routes to a control node; returns whether it was accepted. With lower,
 * it and all later ones have the lowered quota.
 */
bool
cluster_replace_routes (struct cluster *cluster, int control, bool lower);

/** The version of the routes that a control node returns; -1 if none does. */
long
cluster_read_version (const struct cluster *cluster);

/** Turns a fault of a target on or off; see test/platform.c. */
void
cluster_set_fault (const struct cluster *cluster, const char *fault, int target, bool on);

/** What targets did for a request. */
struct cluster_work {
	int runs;
	int broke_off; /**< runs that the target ended without an answer */
	int64_t last_us;
};

/** Asks for the work on the request with this id; runs is -1 if that is not known. */
struct cluster_work
cluster_work (const struct cluster *cluster, const char *id);

/** How many requests ran more than once, of those whose id contains a text. */
int
cluster_repeated (const struct cluster *cluster, const char *text);

/** How many requests reached draining targets too late. */
int
cluster_late_arrivals (const struct cluster *cluster);

/** Whether an entry node has the route that only this version of the routes has. */
bool
cluster_has_version (struct cluster *cluster, int index, long version);

/**
 * Probes the entry nodes, as the load balancer does once a second: after two misses a node gets no
 * new connections.
 */
void
cluster_probe (struct cluster *cluster);
