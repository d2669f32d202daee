/**
 * @file aggregators.h
 * Which entry nodes send the sub-requests of a fan-out. No I/O.
 *
 * Made for many entry nodes that each get few queries over many shards. If every node sent to every
 * target, its connections would be idle most of the time and closed, its share of the budget for
 * extra sub-requests would be too small for hedges, and it would learn that a target is slow only
 * after that target is fast again. Instead, the nodes are divided into groups. The node that
 * receives a query sends one batch to one node of each group, its aggregator, which sends the
 * sub-requests for the shards of the group and merges the replies.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

enum {
	AGGREGATOR_ADDRESS_SIZE = 64,
	DATA_CENTRE_NAME_SIZE = 256,
	AGGREGATOR_HOMES_MAX = 8,
	AGGREGATOR_PREFERRED = 2,     /**< nodes of each group to which one node sends */
	AGGREGATOR_AVOID_US = 500000, /**< after a failure; doubles with each further one */
	AGGREGATOR_AVOID_MAX_US = 8000000,
};

/** An entry node, as declared. */
struct entry_node {
	uint64_t hash; /**< of its name */
	char address[AGGREGATOR_ADDRESS_SIZE];
	char data_centre[DATA_CENTRE_NAME_SIZE];
	bool leaving;
};

/** An entry node, as this node uses it. */
struct aggregator {
	struct cds_list_head node;
	struct entry_node entry;
	int place;  /**< in the order of hashes of the nodes of its data centre */
	int places; /**< number of these nodes */
	/** Data centres with few nodes start at different groups, so that none is left without. */
	uint64_t data_centre_hash;
	bool declared; /**< in the newest list of members */
	int in_flight; /**< batches */
	int failures;  /**< consecutive */
	int64_t avoid_until_us;
	void *pool; /**< connections of the I/O layer to it */
};

/** Data centres in which most shards of a route have a usable target. */
struct aggregator_homes {
	char names[AGGREGATOR_HOMES_MAX][DATA_CENTRE_NAME_SIZE];
	int count;
};

struct aggregators {
	uint64_t own_hash;
	const struct aggregator *own; /**< this node; NULL while it is not listed */
	int max_groups;               /**< 0: this node sends all sub-requests itself */
	struct cds_list_head nodes;
};

/** What an aggregator is selected for. */
struct aggregator_criteria {
	int groups;
	int group;
	const char *data_centre; /**< of this node */
	const struct aggregator_homes *homes;
	struct aggregator *const *tried;
	int tried_count;
};

void
aggregators_init (struct aggregators *aggregators, uint64_t own_hash);

/**
 * Maximum number of groups for a number of entry nodes: a power of 2, so that it rarely changes.
 * @param min_nodes minimum number of nodes in a group on average; 0: no groups
 * @return 0 when there would be fewer than two groups
 */
int
aggregator_max_groups (int nodes, int min_nodes);

/**
 * Number of groups for a fan-out: about as many as each has shards, so that the processor time is
 * spread evenly between the node that receives the query and the aggregators.
 * @return 0 when this node should send all sub-requests itself
 */
int
aggregator_groups (const struct aggregators *aggregators, int shards);

/** The entry nodes of one group, as far as shares of a bound depend on them. */
struct aggregator_group {
	int groups;   /**< number of groups that the entry nodes are divided into; 0: none */
	int nodes;    /**< of this group */
	int own_rank; /**< of this node among them; -1: it is not one of them */
	int users;    /**< nodes that may send to the targets of a shard, with one that joins */
};

struct aggregator_group
aggregator_group_get (const struct aggregators *aggregators, int groups, int group);

/**
 * Which group sends to a service that is a shard of several fan-outs: the one with the most nodes,
 * in whatever order they come.
 */
struct aggregator_group
aggregator_group_merge (struct aggregator_group a, struct aggregator_group b);

/** The group that sends the sub-requests of a shard. */
int
aggregator_group_of_shard (int shard, int groups);

/**
 * The group of a node. The nodes of each data centre are divided evenly; one that joins or leaves
 * moves only few others to another group.
 */
int
aggregator_group_of_node (const struct aggregator *aggregator, int groups);

/**
 * Updates the nodes from a newer list. Nodes that are no longer listed stay, with declared false,
 * until aggregators_remove_unused().
 */
void
aggregators_update (struct aggregators *aggregators, const struct entry_node *entries, size_t count,
	int min_nodes);

/** Removes an undeclared node without batches in flight; NULL when there is none. */
struct aggregator *
aggregators_remove_unused (struct aggregators *aggregators);

/**
 * Selects a node of a group: in the data centres that hold targets, this node's own first, and
 * there one of the same two, so that connections to them stay open.
 * @return NULL when this node should send the sub-requests itself
 */
struct aggregator *
aggregator_choose (struct aggregators *aggregators, const struct aggregator_criteria *criteria,
	int64_t now_us);

/** How a batch ended, as far as its aggregator is concerned. */
enum aggregator_outcome {
	AGGREGATOR_ANSWERED,
	AGGREGATOR_REFUSED,   /**< it ran nothing; another node may serve the batch */
	AGGREGATOR_FAILED,    /**< no connection or no valid answer in time */
	AGGREGATOR_ABANDONED, /**< this node stopped waiting; says nothing about the aggregator */
};

void
aggregator_batch_ended (
	struct aggregator *aggregator, enum aggregator_outcome outcome, int64_t now_us);

void
aggregator_homes_add (struct aggregator_homes *homes, const char *data_centre);

bool
aggregator_homes_contain (const struct aggregator_homes *homes, const char *data_centre);
