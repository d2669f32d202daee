/**
 * @file keyed_hash.h
 * SipHash-2-4 with 128-bit results: a keyed hash whose results cannot be predicted without its key.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct keyed_hash_key {
	uint64_t words[2];
};

struct keyed_hash {
	uint64_t words[2];
};

/** The key of this process: random, and the same for all calls. Aborts without random numbers. */
const struct keyed_hash_key *
keyed_hash_process_key (void);

struct keyed_hash
keyed_hash_make (const struct keyed_hash_key *key, const void *data, size_t len);

/** Compares two hashes; the time taken does not depend on where they differ. */
static inline bool
keyed_hash_equal (const struct keyed_hash *a, const struct keyed_hash *b)
{
	return ((a->words[0] ^ b->words[0]) | (a->words[1] ^ b->words[1])) == 0;
}
