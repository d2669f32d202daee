/**
 * @file view.h
 * A view: an immutable, indexed copy of all resources, members and owners at one revision. No I/O.
 *
 * The control thread publishes each new view by RCU. The request path reads it without locks; work
 * that outlasts an RCU read-side section holds a reference.
 */
#pragma once

#include "control/resources.h"
#include "targets/hint.h"

#include <urcu/ref.h>

enum { ADDRESS_SIZE = 64, MAX_LAYOUTS = 8 };

struct view_data_centre {
	char name[DATA_CENTRE_NAME_MAX + 1];
	bool leaving;
};

struct view_vm {
	char name[RESOURCE_NAME_MAX + 1];
	int data_centre; /**< index, or -1 when not declared */
	bool leaving;    /**< the VM or its data centre is leaving */
};

/** A member: a node that the control log lists. */
struct view_member {
	char name[RESOURCE_NAME_MAX + 1];
	char data_centre[DATA_CENTRE_NAME_MAX + 1];
	char address[ADDRESS_SIZE]; /**< peer address */
	uint64_t incarnation;       /**< of the node's process */
	bool leaving; /**< the node, its VM or its data centre is leaving; it owns no targets */
	struct member_hint *hint;
};

struct view_target {
	char name[RESOURCE_NAME_MAX + 1];
	char address[ADDRESS_SIZE];
	char data_centre[RESOURCE_NAME_MAX + 1];
	int service; /**< index, or -1 when not declared */
	int slots;
	int max_connections;
	int cold_limit; /**< 0: not declared */
	bool leaving;   /**< the target, its VM or its data centre is leaving */
	int owner;      /**< member index, or -1 */
	struct target_hint *hint;
};

enum service_mode {
	SERVICE_QUERY,
	SERVICE_ONCE, /**< requests run at most once */
};

struct view_service {
	char name[RESOURCE_NAME_MAX + 1];
	enum service_mode mode;
	int deadline_ms;
	int64_t retention_ms; /**< how long outcomes of at-most-once requests are kept */
	int *targets;         /**< target indices */
	int target_count;
	struct service_hint *hint;
};

struct view_layout {
	uint32_t id;
	int *shards; /**< service index of each shard; -1 where not declared */
	int shard_count;
};

enum merge_rule { MERGE_CONCAT, MERGE_SORTED };

struct view_collection {
	char name[RESOURCE_NAME_MAX + 1];
	enum merge_rule merge;
	char sort_key[RESOURCE_NAME_MAX + 1];
	int limit; /**< records in an answer; 0: no limit */
	int deadline_ms;
	struct view_layout layouts[MAX_LAYOUTS];
	int layout_count;
};

struct view {
	struct urcu_ref ref;
	uint64_t revision; /**< newest applied log index */
	uint64_t epoch;    /**< newest log index that may have changed the owner of a target */
	struct view_data_centre *data_centres;
	int data_centre_count;
	struct view_vm *vms;
	int vm_count;
	struct view_member *members; /**< sorted by name */
	int member_count;
	struct view_service *services;
	int service_count;
	struct view_target *targets; /**< sorted by name */
	int target_count;
	struct view_collection *collections;
	int collection_count;
};

struct members;

/** Builds a view; the caller holds its first reference. */
struct view *
view_new (const struct resources *resources, const struct members *members, uint64_t revision,
	uint64_t epoch, struct hint_table *hints);

/** Drops a reference; the last one frees the view. NULL is allowed. */
void
view_unref (struct view *view);

/** Takes another reference. */
void
view_ref (struct view *view);

/** The view_find functions return an index or -1, or a pointer or NULL. */
int
view_find_target (const struct view *view, const char *name);
int
view_find_service (const struct view *view, const char *name);
int
view_find_member (const struct view *view, const char *name);
int
view_find_vm (const struct view *view, const char *name);
int
view_find_data_centre (const struct view *view, const char *name);
const struct view_collection *
view_find_collection (const struct view *view, const char *name);
const struct view_layout *
view_find_layout (const struct view_collection *collection, uint32_t id);

/** True when new requests may go to the target: it has an owner and is not leaving. */
bool
view_target_usable (const struct view_target *target);
