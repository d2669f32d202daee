#include "control/view.h"

#include "control/members.h"
#include "control/owner.h"

#include <stdlib.h>
#include <string.h>

enum { DEFAULT_DEADLINE_MS = 1000, DEFAULT_MAX_CONNECTIONS = 25, DEFAULT_RETENTION_S = 86400 };

static void
copy_text (char *out, size_t size, const json_t *spec, const char *field)
{
	const char *text = json_string_value (json_object_get (spec, field));
	str_copy (out, size, text ? text : "");
}

static int
number_or (const json_t *spec, const char *field, int default_value)
{
	const json_t *value = json_object_get (spec, field);
	return value ? (int)json_integer_value (value) : default_value;
}

static bool
is_set (const json_t *spec, const char *field)
{
	return json_is_true (json_object_get (spec, field));
}

/* Binary search in a table that is sorted by name, the first field of each of its structs. */
static int
find_name (const void *items, int count, size_t size, const char *name)
{
	int low = 0;
	int high = count;
	while (low < high) {
		int mid = low + (high - low) / 2;
		int difference = strcmp ((const char *)items + (size_t)mid * size, name);
		if (difference == 0)
			return mid;
		if (difference < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return -1;
}

int
view_find_target (const struct view *view, const char *name)
{
	return find_name (view->targets, view->target_count, sizeof (*view->targets), name);
}

int
view_find_service (const struct view *view, const char *name)
{
	return find_name (view->services, view->service_count, sizeof (*view->services), name);
}

int
view_find_member (const struct view *view, const char *name)
{
	return find_name (view->members, view->member_count, sizeof (*view->members), name);
}

int
view_find_vm (const struct view *view, const char *name)
{
	return find_name (view->vms, view->vm_count, sizeof (*view->vms), name);
}

int
view_find_data_centre (const struct view *view, const char *name)
{
	return find_name (
		view->data_centres, view->data_centre_count, sizeof (*view->data_centres), name);
}

const struct view_collection *
view_find_collection (const struct view *view, const char *name)
{
	int index = find_name (
		view->collections, view->collection_count, sizeof (*view->collections), name);
	return index < 0 ? NULL : &view->collections[index];
}

const struct view_layout *
view_find_layout (const struct view_collection *collection, uint32_t id)
{
	for (int i = 0; i < collection->layout_count; i++) {
		if (collection->layouts[i].id == id)
			return &collection->layouts[i];
	}
	return NULL;
}

bool
view_target_usable (const struct view_target *target)
{
	return target->owner >= 0 && !target->leaving;
}

static bool
data_centre_leaving (const struct view *view, const char *name)
{
	int index = view_find_data_centre (view, name);
	return index >= 0 && view->data_centres[index].leaving;
}

static bool
vm_leaving (const struct view *view, const char *name)
{
	int index = view_find_vm (view, name);
	return index >= 0 && view->vms[index].leaving;
}

static void
add_vm (struct view *view, struct view_vm *vm, const json_t *spec)
{
	const char *name = json_string_value (json_object_get (spec, "data_centre"));
	vm->data_centre = view_find_data_centre (view, name ? name : "");
	vm->leaving = is_set (spec, "leaving") ||
		      (vm->data_centre >= 0 && view->data_centres[vm->data_centre].leaving);
}

static void
add_layouts (struct view *view, struct view_collection *collection, const json_t *layouts)
{
	size_t count = json_array_size (layouts);
	for (size_t i = 0; i < count && i < MAX_LAYOUTS; i++) {
		struct view_layout *layout = &collection->layouts[collection->layout_count++];
		const json_t *spec = json_array_get (layouts, i);
		const json_t *shards = json_object_get (spec, "shards");
		layout->id = (uint32_t)json_integer_value (json_object_get (spec, "id"));
		layout->shard_count = (int)json_array_size (shards);
		layout->shards = xcalloc ((size_t)layout->shard_count, sizeof (int));
		for (int j = 0; j < layout->shard_count; j++) {
			const char *name = json_string_value (json_array_get (shards, (size_t)j));
			layout->shards[j] = view_find_service (view, name ? name : "");
		}
	}
}

static void
add_collection (struct view *view, struct view_collection *collection, const json_t *spec)
{
	const char *merge = json_string_value (json_object_get (spec, "merge"));
	collection->merge = merge && strcmp (merge, "sorted") == 0 ? MERGE_SORTED : MERGE_CONCAT;
	copy_text (collection->sort_key, sizeof (collection->sort_key), spec, "sort_key");
	collection->limit = number_or (spec, "limit", 0);
	collection->deadline_ms = number_or (spec, "deadline_ms", DEFAULT_DEADLINE_MS);
	add_layouts (view, collection, json_object_get (spec, "layouts"));
}

static void
add_target (struct view *view, struct view_target *target, const json_t *spec)
{
	const char *service = json_string_value (json_object_get (spec, "service"));
	const char *vm = json_string_value (json_object_get (spec, "vm"));
	copy_text (target->address, sizeof (target->address), spec, "address");
	copy_text (target->data_centre, sizeof (target->data_centre), spec, "data_centre");
	target->service = view_find_service (view, service ? service : "");
	target->slots = number_or (spec, "slots", 1);
	target->max_connections = number_or (spec, "max_connections", DEFAULT_MAX_CONNECTIONS);
	target->cold_limit = number_or (spec, "cold_limit", 0);
	target->leaving = is_set (spec, "leaving") ||
			  data_centre_leaving (view, target->data_centre) ||
			  (vm && vm_leaving (view, vm));
}

static void
add_service (struct view_service *service, const json_t *spec)
{
	const char *mode = json_string_value (json_object_get (spec, "mode"));
	service->mode = mode && strcmp (mode, "once") == 0 ? SERVICE_ONCE : SERVICE_QUERY;
	service->deadline_ms = number_or (spec, "deadline_ms", DEFAULT_DEADLINE_MS);
	service->retention_ms = 1000LL * number_or (spec, "retention_s", DEFAULT_RETENTION_S);
}

static void
add_item (struct view *view, const struct resource *item, const json_t *spec)
{
	switch (item->kind) {
	case RESOURCE_DATA_CENTRE: {
		struct view_data_centre *dc = &view->data_centres[view->data_centre_count++];
		str_copy (dc->name, sizeof (dc->name), item->name);
		dc->leaving = is_set (spec, "leaving");
		return;
	}
	case RESOURCE_VM: {
		struct view_vm *vm = &view->vms[view->vm_count++];
		str_copy (vm->name, sizeof (vm->name), item->name);
		add_vm (view, vm, spec);
		return;
	}
	case RESOURCE_COLLECTION: {
		struct view_collection *collection = &view->collections[view->collection_count++];
		str_copy (collection->name, sizeof (collection->name), item->name);
		add_collection (view, collection, spec);
		return;
	}
	case RESOURCE_SERVICE: {
		struct view_service *service = &view->services[view->service_count++];
		str_copy (service->name, sizeof (service->name), item->name);
		add_service (service, spec);
		return;
	}
	case RESOURCE_TARGET: {
		struct view_target *target = &view->targets[view->target_count++];
		str_copy (target->name, sizeof (target->name), item->name);
		add_target (view, target, spec);
		return;
	}
	case RESOURCE_KIND_COUNT:
		return;
	}
}

/* Adds the resources of one kind. The kinds that they refer to by name must be added first. */
static void
add_kind (struct view *view, const struct resources *resources, enum resource_kind kind)
{
	for (size_t i = 0; i < resources->count; i++) {
		const struct resource *item = resources->items[i];
		if (item->kind != kind)
			continue;
		json_t *spec = json_loads (item->spec, 0, NULL);
		add_item (view, item, spec);
		json_decref (spec);
	}
}

static void
add_members (struct view *view, const struct members *members)
{
	view->members = xcalloc (members->count, sizeof (*view->members));
	for (size_t i = 0; i < members->count; i++) {
		const struct member *from = &members->items[i];
		struct view_member *to = &view->members[view->member_count++];
		str_copy (to->name, sizeof (to->name), from->name);
		str_copy (to->data_centre, sizeof (to->data_centre), from->data_centre);
		str_copy (to->address, sizeof (to->address), from->address);
		to->incarnation = from->incarnation;
		to->leaving = from->leaving || vm_leaving (view, from->name) ||
			      data_centre_leaving (view, from->data_centre);
	}
}

static void
link_targets (struct view *view)
{
	for (int i = 0; i < view->target_count; i++) {
		if (view->targets[i].service >= 0)
			view->services[view->targets[i].service].target_count++;
	}
	for (int i = 0; i < view->service_count; i++) {
		struct view_service *service = &view->services[i];
		service->targets = xcalloc ((size_t)service->target_count, sizeof (int));
		service->target_count = 0;
	}
	for (int i = 0; i < view->target_count; i++) {
		if (view->targets[i].service < 0)
			continue;
		struct view_service *service = &view->services[view->targets[i].service];
		service->targets[service->target_count++] = i;
	}
}

static void
link_hints (struct view *view, struct hint_table *hints)
{
	for (int i = 0; i < view->target_count; i++)
		view->targets[i].hint = hint_table_target (hints, view->targets[i].name);
	for (int i = 0; i < view->service_count; i++)
		view->services[i].hint = hint_table_service (hints, view->services[i].name);
	for (int i = 0; i < view->member_count; i++)
		view->members[i].hint = hint_table_member (hints, view->members[i].name);
}

struct view *
view_new (const struct resources *resources, const struct members *members, uint64_t revision,
	uint64_t epoch, struct hint_table *hints)
{
	struct view *view = xcalloc (1, sizeof (*view));
	size_t counts[RESOURCE_KIND_COUNT] = {0};
	for (size_t i = 0; i < resources->count; i++)
		counts[resources->items[i]->kind]++;
	urcu_ref_init (&view->ref);
	view->revision = revision;
	view->epoch = epoch;
	view->data_centres = xcalloc (counts[RESOURCE_DATA_CENTRE], sizeof (*view->data_centres));
	view->vms = xcalloc (counts[RESOURCE_VM], sizeof (*view->vms));
	view->services = xcalloc (counts[RESOURCE_SERVICE], sizeof (*view->services));
	view->collections = xcalloc (counts[RESOURCE_COLLECTION], sizeof (*view->collections));
	view->targets = xcalloc (counts[RESOURCE_TARGET], sizeof (*view->targets));
	add_kind (view, resources, RESOURCE_DATA_CENTRE);
	add_kind (view, resources, RESOURCE_VM);
	add_kind (view, resources, RESOURCE_SERVICE);
	add_kind (view, resources, RESOURCE_COLLECTION);
	add_kind (view, resources, RESOURCE_TARGET);
	add_members (view, members);
	link_targets (view);
	link_hints (view, hints);
	owner_assign (view);
	return view;
}

static void
release (struct urcu_ref *ref)
{
	struct view *view = caa_container_of (ref, struct view, ref);
	for (int i = 0; i < view->service_count; i++)
		free (view->services[i].targets);
	for (int i = 0; i < view->collection_count; i++) {
		for (int j = 0; j < view->collections[i].layout_count; j++)
			free (view->collections[i].layouts[j].shards);
	}
	free (view->data_centres);
	free (view->vms);
	free (view->members);
	free (view->services);
	free (view->targets);
	free (view->collections);
	free (view);
}

void
view_unref (struct view *view)
{
	if (view)
		urcu_ref_put (&view->ref, release);
}

void
view_ref (struct view *view)
{
	urcu_ref_get (&view->ref);
}
