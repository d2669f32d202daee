#include "control/resources.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { RESULT_SLOTS = CHANGE_RESULTS_MAX * 2 };

static const char *const kind_names[RESOURCE_KIND_COUNT] = {
	"DataCentre", "VM", "Collection", "Service", "Target"};

const char *
resource_kind_name (enum resource_kind kind)
{
	return kind < RESOURCE_KIND_COUNT ? kind_names[kind] : "?";
}

int
resource_kind_parse (const char *name)
{
	for (int i = 0; i < RESOURCE_KIND_COUNT; i++) {
		if (strcmp (kind_names[i], name) == 0)
			return i;
	}
	return -1;
}

bool
resource_name_valid (const char *name)
{
	size_t len =
		strspn (name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");
	return len >= 1 && len <= RESOURCE_NAME_MAX && name[len] == '\0';
}

void
resources_init (struct resources *resources)
{
	memset (resources, 0, sizeof (*resources));
	resources->result_slots = xcalloc (RESULT_SLOTS, sizeof (uint32_t));
}

static void
clear_items (struct resources *resources)
{
	for (size_t i = 0; i < resources->count; i++) {
		free (resources->items[i]->spec);
		free (resources->items[i]);
	}
	resources->count = 0;
}

void
resources_finish (struct resources *resources)
{
	clear_items (resources);
	free (resources->items);
	free (resources->results);
	free (resources->result_slots);
	memset (resources, 0, sizeof (*resources));
}

static int
compare_key (const struct resource *item, enum resource_kind kind, const char *name)
{
	if (item->kind != kind)
		return item->kind < kind ? -1 : 1;
	return strcmp (item->name, name);
}

static size_t
lower_bound (const struct resources *resources, enum resource_kind kind, const char *name)
{
	size_t low = 0;
	size_t high = resources->count;
	while (low < high) {
		size_t mid = (low + high) / 2;
		if (compare_key (resources->items[mid], kind, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static struct resource *
find_item (const struct resources *resources, enum resource_kind kind, const char *name)
{
	size_t position = lower_bound (resources, kind, name);
	if (position < resources->count &&
		compare_key (resources->items[position], kind, name) == 0)
		return resources->items[position];
	return NULL;
}

const struct resource *
resources_find (const struct resources *resources, enum resource_kind kind, const char *name)
{
	return find_item (resources, kind, name);
}

static void
put_item (struct resources *resources, enum resource_kind kind, const char *name, uint64_t version,
	const char *spec)
{
	struct resource *item = find_item (resources, kind, name);
	if (!item) {
		if (resources->count == resources->cap) {
			resources->cap = resources->cap ? resources->cap * 2 : 64;
			resources->items = xrealloc (
				resources->items, resources->cap * sizeof (struct resource *));
		}
		size_t position = lower_bound (resources, kind, name);
		memmove (&resources->items[position + 1], &resources->items[position],
			(resources->count - position) * sizeof (struct resource *));
		item = xcalloc (1, sizeof (*item));
		item->kind = kind;
		str_copy (item->name, sizeof (item->name), name);
		resources->items[position] = item;
		resources->count++;
	}
	free (item->spec);
	item->spec = xstrdup (spec);
	item->version = version;
}

static void
remove_item (struct resources *resources, enum resource_kind kind, const char *name)
{
	size_t position = lower_bound (resources, kind, name);
	free (resources->items[position]->spec);
	free (resources->items[position]);
	resources->count--;
	memmove (&resources->items[position], &resources->items[position + 1],
		(resources->count - position) * sizeof (struct resource *));
}

static uint32_t
hash_slot (const char *id)
{
	return (uint32_t)(XXH64 (id, strlen (id), 0) % RESULT_SLOTS);
}

/*
 * Returns the slot of a change id, or the empty slot where it belongs. A slot holds the ring
 * position plus one; 0 marks an empty slot. The ring fills at most half of the slots, so the probe
 * always reaches an empty one.
 */
static uint32_t *
find_slot (const struct resources *resources, const char *id)
{
	uint32_t slot = hash_slot (id);
	if (!resources->results)
		return &resources->result_slots[slot];
	while (resources->result_slots[slot]) {
		const struct change_result *result =
			&resources->results[resources->result_slots[slot] - 1];
		if (strcmp (result->id, id) == 0)
			break;
		slot = (slot + 1) % RESULT_SLOTS;
	}
	return &resources->result_slots[slot];
}

static void
reindex_results (struct resources *resources)
{
	memset (resources->result_slots, 0, RESULT_SLOTS * sizeof (uint32_t));
	uint64_t kept = resources->results_written < CHANGE_RESULTS_MAX ? resources->results_written
									: CHANGE_RESULTS_MAX;
	for (uint64_t i = 0; i < kept; i++)
		*find_slot (resources, resources->results[i].id) = (uint32_t)i + 1;
}

const struct change_result *
resources_result (const struct resources *resources, const char *id)
{
	uint32_t slot = resources->results ? *find_slot (resources, id) : 0;
	return slot ? &resources->results[slot - 1] : NULL;
}

/*
 * Adds a result to the ring. The ring is allocated in steps that double up to CHANGE_RESULTS_MAX,
 * since most sites make few changes.
 */
static struct change_result *
keep_result (struct resources *resources, const struct change_result *result)
{
	uint64_t written = resources->results_written;
	if (written < CHANGE_RESULTS_MAX && (written & (written - 1)) == 0) {
		uint64_t cap = written ? written * 2 : 1;
		resources->results = xrealloc (resources->results, cap * sizeof (*result));
	}
	uint32_t position = (uint32_t)(written % CHANGE_RESULTS_MAX);
	resources->results[position] = *result;
	resources->results_written++;
	if (written >= CHANGE_RESULTS_MAX)
		reindex_results (resources);
	else
		*find_slot (resources, result->id) = position + 1;
	return &resources->results[position];
}

static uint64_t
change_digest (const struct change *change)
{
	uint64_t digest = XXH64 (change->name, strlen (change->name),
		change->expected_version * 16 + (uint64_t)change->kind * 2 + change->remove);
	return change->remove ? digest : XXH64 (change->spec, strlen (change->spec), digest);
}

const struct change_result *
resources_apply (struct resources *resources, const struct change *change, uint64_t index)
{
	static _Thread_local struct change_result returned;
	const struct change_result *previous = resources_result (resources, change->id);
	uint64_t digest = change_digest (change);
	if (previous) {
		returned = *previous;
		if (previous->digest != digest)
			returned.kind = ERROR_KEY_REUSED;
		return &returned;
	}
	const struct resource *item = find_item (resources, change->kind, change->name);
	uint64_t current = item ? item->version : 0;
	struct change_result result = {.version = index, .digest = digest};
	str_copy (result.id, sizeof (result.id), change->id);
	if (current != change->expected_version) {
		result.kind = ERROR_CONFLICT;
		result.version = current;
	} else if (change->remove && !item) {
		result.kind = ERROR_NOT_FOUND;
		result.version = 0;
	} else if (change->remove) {
		remove_item (resources, change->kind, change->name);
	} else {
		put_item (resources, change->kind, change->name, index, change->spec);
	}
	if (result.kind == ERROR_NONE)
		resources->revision = index;
	returned = *keep_result (resources, &result);
	return &returned;
}

bool
resources_is_leaving (const struct resources *resources, enum resource_kind kind, const char *name)
{
	const struct resource *item = find_item (resources, kind, name);
	json_t *spec = item ? json_loads (item->spec, 0, NULL) : NULL;
	bool leaving = json_is_true (json_object_get (spec, "leaving"));
	json_decref (spec);
	return leaving;
}

bool
resources_set_leaving (struct resources *resources, enum resource_kind kind, const char *name,
	bool leaving, uint64_t index)
{
	const struct resource *item = find_item (resources, kind, name);
	json_t *spec = item ? json_loads (item->spec, 0, NULL) : json_object ();
	if (!spec || json_is_true (json_object_get (spec, "leaving")) == leaving) {
		json_decref (spec);
		return false;
	}
	json_object_set_new (spec, "leaving", json_boolean (leaving));
	char *text = json_dumps (spec, JSON_COMPACT | JSON_SORT_KEYS);
	put_item (resources, kind, name, index, text);
	resources->revision = index;
	free (text);
	json_decref (spec);
	return true;
}

void
resources_write (const struct resources *resources, bool with_results, struct pack_writer *writer)
{
	pack_array (writer, 3);
	pack_u64 (writer, resources->revision);
	pack_array (writer, (size_t)resources->count);
	for (size_t i = 0; i < resources->count; i++) {
		const struct resource *item = resources->items[i];
		pack_array (writer, 4);
		pack_u64 (writer, item->kind);
		pack_str (writer, item->name);
		pack_u64 (writer, item->version);
		pack_str (writer, item->spec);
	}
	uint64_t written = with_results ? resources->results_written : 0;
	uint64_t first = written > CHANGE_RESULTS_MAX ? written - CHANGE_RESULTS_MAX : 0;
	pack_array (writer, (size_t)(written - first));
	for (uint64_t i = first; i < written; i++) {
		const struct change_result *result = &resources->results[i % CHANGE_RESULTS_MAX];
		pack_array (writer, 4);
		pack_str (writer, result->id);
		pack_u64 (writer, result->kind);
		pack_u64 (writer, result->version);
		pack_u64 (writer, result->digest);
	}
}

static void
read_items (struct resources *resources, struct pack_node items)
{
	for (size_t i = 0; i < pack_length (items); i++) {
		struct pack_node item = pack_at (items, i);
		char name[DATA_CENTRE_NAME_MAX + 1];
		unsigned kind = pack_get_u64 (pack_at (item, 0));
		pack_copy_str (pack_at (item, 1), name, sizeof (name));
		uint64_t version = pack_get_u64 (pack_at (item, 2));
		char *spec = pack_dup_str (pack_at (item, 3));
		if (pack_ok (item) && kind < RESOURCE_KIND_COUNT && spec)
			put_item (resources, (enum resource_kind)kind, name, version, spec);
		free (spec);
	}
}

static void
read_results (struct resources *resources, struct pack_node results)
{
	for (size_t i = 0; i < pack_length (results); i++) {
		struct pack_node item = pack_at (results, i);
		struct change_result result = {0};
		pack_copy_str (pack_at (item, 0), result.id, sizeof (result.id));
		result.kind = (enum error_kind)pack_get_below (pack_at (item, 1), ERROR_KIND_COUNT);
		result.version = pack_get_u64 (pack_at (item, 2));
		result.digest = pack_get_u64 (pack_at (item, 3));
		if (!pack_ok (item))
			return;
		keep_result (resources, &result);
	}
}

bool
resources_read (struct resources *resources, struct pack_node node)
{
	struct pack_node items = pack_at (node, 1);
	struct pack_node results = pack_at (node, 2);
	uint64_t revision = pack_get_u64 (pack_at (node, 0));
	if (!pack_ok (node))
		return false;
	clear_items (resources);
	resources->results_written = 0;
	memset (resources->result_slots, 0, RESULT_SLOTS * sizeof (uint32_t));
	read_items (resources, items);
	read_results (resources, results);
	resources->revision = revision;
	return pack_ok (node);
}
