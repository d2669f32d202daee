/**
 * @file view.h
 * An immutable picture of all resources, members and owners at one revision.
 *
 * Controllers publish it by RCU. The request path reads it without locks; work that outlives a
 * read-side section holds a reference.
 */
#pragma once

#include "control/resources.h"
#include "targets/hint.h"

#include <urcu/ref.h>

enum { ADDRESS_SIZE = 64, MAX_LAYOUTS = 8 };

struct view_data_centre {
	char name[RESOURCE_NAME_MAX + 1];
	bool leaving;
};

struct view_vm {
	char name[RESOURCE_NAME_MAX + 1];
	int data_centre; /**< index, or -1 when not declared */
	bool leaving;    /**< its own, or its data centre's */
};

/** A node that takes part, from the control log. */
struct view_member {
	char name[RESOURCE_NAME_MAX + 1];
	char data_centre[RESOURCE_NAME_MAX + 1];
	char address[ADDRESS_SIZE]; /**< peer address */
	uint64_t incarnation;       /**< of the process */
	bool leaving;               /**< owns nothing: itself, its VM or its data centre leaves */
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
	bool leaving;   /**< itself, its VM or its data centre leaves */
	int owner;      /**< member index, or -1 */
	struct target_hint *hint;
};

enum service_mode { SERVICE_QUERY, SERVICE_ONCE };

struct view_service {
	char name[RESOURCE_NAME_MAX + 1];
	enum service_mode mode;
	int deadline_ms;
	int64_t retention_ms; /**< how long outcomes of once-only requests are kept */
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
	int limit; /**< 0: none */
	int deadline_ms;
	struct view_layout layouts[MAX_LAYOUTS];
	int layout_count;
};

struct view {
	struct urcu_ref ref;
	uint64_t revision; /**< newest applied log index */
	uint64_t epoch;    /**< newest log index that could change an owner */
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

/** Builds a view with one reference. */
struct view *
view_new (const struct resources *resources, const struct members *members, uint64_t revision,
	uint64_t epoch, struct hint_table *hints);

/** Gives a reference back; the last one frees the view. */
void
view_put (struct view *view);

/** Takes a further reference. */
void
view_ref (struct view *view);

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

/** True when new work may go to the target: it has an owner and is not leaving. */
bool
view_target_usable (const struct view_target *target);
