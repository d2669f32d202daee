/**
 * @file accounts.h
 * The client accounts that a routing declares, and the look-up of an account by the key of a
 * request. No I/O.
 *
 * Keys are held as hashes that are keyed with a random value of the process, so that neither a
 * memory dump nor the time of a look-up says anything about a key. Thousands of keys take 24 bytes
 * and an index entry each.
 */
#pragma once

#include "core/keyed_hash.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** The route's priority holds for requests of the account. */
	ACCOUNT_PRIORITY_OF_ROUTE = -1,
	/** Longer keys are refused in routings and in requests. */
	ACCOUNT_KEY_MAX_BYTES = 8192,
};

/** A client account. */
struct account {
	char *name;
	int priority;      /**< 0 is the most urgent; goes before the route's priority */
	double rate_per_s; /**< requests per second over all entry nodes; 0: no limit */
	double burst;      /**< requests beyond the rate that may come at once */
	uint64_t id;       /**< hash of the name, the same on all nodes; never 0 */
};

struct account_key {
	struct keyed_hash hash;
	int account; /**< index in accounts.items */
};

/** A growing hash table of positions in an array. */
struct account_index {
	uint32_t *slots; /**< position plus one; 0: empty */
	size_t size;     /**< a power of two, or 0 */
};

/** All accounts of a routing; without any, requests need no key. */
struct accounts {
	struct account *items;
	int count;
	int cap;
	struct account_key *keys;
	int key_count;
	int key_cap;
	struct account_index names; /**< positions in items */
	struct account_index index; /**< positions in keys */
};

void
accounts_init (struct accounts *accounts);
void
accounts_finish (struct accounts *accounts);

/** Adds an account; the returned pointer holds until the next one is added. */
struct account *
accounts_add (struct accounts *accounts, const char *name);

/**
 * Adds a key of the account that was added last.
 * @return -1, or the index of the account that has the key already
 */
int
accounts_add_key (struct accounts *accounts, const char *key);

/** Index of the account that holds a key; -1 if none does. */
int
accounts_find_key (const struct accounts *accounts, const char *key, size_t len);

/** Index of the account with a name; -1 if there is none. */
int
accounts_find_name (const struct accounts *accounts, const char *name);

/**
 * Whether a request may be served.
 * @param needs_key the route requires the key of an account if any is declared
 * @param key as the request has it; NULL: none, or not a usable one
 * @param account is set to the index of the account; -1: none
 */
bool
accounts_authorise (
	const struct accounts *accounts, bool needs_key, const char *key, size_t len, int *account);
