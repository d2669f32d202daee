#include "query/accounts.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { INDEX_MIN = 16 };

void
accounts_init (struct accounts *accounts)
{
	memset (accounts, 0, sizeof (*accounts));
}

void
accounts_finish (struct accounts *accounts)
{
	for (int i = 0; i < accounts->count; i++)
		free (accounts->items[i].name);
	free (accounts->items);
	free (accounts->keys);
	free (accounts->names.slots);
	free (accounts->index.slots);
	accounts_init (accounts);
}

static uint64_t
name_id (const char *name)
{
	uint64_t id = XXH64 (name, strlen (name), 0);
	return id ? id : 1;
}

static void
index_put (struct account_index *index, uint64_t hash, int position)
{
	size_t at = hash & (index->size - 1);
	while (index->slots[at] != 0)
		at = (at + 1) & (index->size - 1);
	index->slots[at] = (uint32_t)position + 1;
}

/* Doubles the index when it is half full; the caller then puts all items again. */
static bool
index_grow (struct account_index *index, int count)
{
	if ((size_t)count * 2 < index->size)
		return false;
	index->size = index->size ? index->size * 2 : INDEX_MIN;
	free (index->slots);
	index->slots = xcalloc (index->size, sizeof (*index->slots));
	return true;
}

/* The position in a slot, counted on from the hash; -1 at the end of the entries of the hash. */
static int
index_at (const struct account_index *index, uint64_t hash, size_t probe)
{
	return index->size ? (int)index->slots[(hash + probe) & (index->size - 1)] - 1 : -1;
}

int
accounts_find_name (const struct accounts *accounts, const char *name)
{
	uint64_t id = name_id (name);
	int at = 0;
	for (size_t probe = 0; (at = index_at (&accounts->names, id, probe)) >= 0; probe++) {
		if (accounts->items[at].id == id && strcmp (accounts->items[at].name, name) == 0)
			return at;
	}
	return -1;
}

struct account *
accounts_add (struct accounts *accounts, const char *name)
{
	if (accounts->count == accounts->cap) {
		accounts->cap = accounts->cap ? accounts->cap * 2 : INDEX_MIN;
		accounts->items = xrealloc (
			accounts->items, (size_t)accounts->cap * sizeof (*accounts->items));
	}
	struct account *account = &accounts->items[accounts->count++];
	*account = (struct account){.name = xstrdup (name),
		.priority = ACCOUNT_PRIORITY_OF_ROUTE,
		.id = name_id (name)};
	int first = accounts->count - 1;
	if (index_grow (&accounts->names, accounts->count))
		first = 0;
	for (int i = first; i < accounts->count; i++)
		index_put (&accounts->names, accounts->items[i].id, i);
	return account;
}

static int
find_hash (const struct accounts *accounts, const struct keyed_hash *hash)
{
	int at = 0;
	for (size_t probe = 0; (at = index_at (&accounts->index, hash->words[0], probe)) >= 0;
		probe++) {
		if (keyed_hash_equal (&accounts->keys[at].hash, hash))
			return accounts->keys[at].account;
	}
	return -1;
}

int
accounts_add_key (struct accounts *accounts, const char *key)
{
	struct keyed_hash hash = keyed_hash_make (keyed_hash_process_key (), key, strlen (key));
	int holder = find_hash (accounts, &hash);
	if (holder >= 0)
		return holder;
	if (accounts->key_count == accounts->key_cap) {
		accounts->key_cap = accounts->key_cap ? accounts->key_cap * 2 : INDEX_MIN;
		accounts->keys = xrealloc (
			accounts->keys, (size_t)accounts->key_cap * sizeof (*accounts->keys));
	}
	accounts->keys[accounts->key_count++] = (struct account_key){hash, accounts->count - 1};
	int first = accounts->key_count - 1;
	if (index_grow (&accounts->index, accounts->key_count))
		first = 0;
	for (int i = first; i < accounts->key_count; i++)
		index_put (&accounts->index, accounts->keys[i].hash.words[0], i);
	return -1;
}

int
accounts_find_key (const struct accounts *accounts, const char *key, size_t len)
{
	if (accounts->key_count == 0 || len > ACCOUNT_KEY_MAX_BYTES)
		return -1;
	struct keyed_hash hash = keyed_hash_make (keyed_hash_process_key (), key, len);
	return find_hash (accounts, &hash);
}

bool
accounts_authorise (
	const struct accounts *accounts, bool needs_key, const char *key, size_t len, int *account)
{
	*account = key ? accounts_find_key (accounts, key, len) : -1;
	return *account >= 0 || !needs_key || accounts->count == 0;
}
