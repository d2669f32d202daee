#include "core/keyed_hash.h"

#include <pthread.h>
#include <stdlib.h>
#include <sys/random.h>

enum { WORD_BYTES = 8, BLOCK_ROUNDS = 2, FINAL_ROUNDS = 4 };

static struct keyed_hash_key process_key;

static void
draw_process_key (void)
{
	if (getrandom (&process_key, sizeof (process_key), 0) != sizeof (process_key))
		abort ();
}

const struct keyed_hash_key *
keyed_hash_process_key (void)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	pthread_once (&once, draw_process_key);
	return &process_key;
}

static uint64_t
rotate (uint64_t word, int bits)
{
	return word << bits | word >> (64 - bits);
}

static void
mix (uint64_t v[4], int rounds)
{
	for (int i = 0; i < rounds; i++) {
		v[0] += v[1];
		v[1] = rotate (v[1], 13) ^ v[0];
		v[0] = rotate (v[0], 32);
		v[2] += v[3];
		v[3] = rotate (v[3], 16) ^ v[2];
		v[0] += v[3];
		v[3] = rotate (v[3], 21) ^ v[0];
		v[2] += v[1];
		v[1] = rotate (v[1], 17) ^ v[2];
		v[2] = rotate (v[2], 32);
	}
}

static uint64_t
read_word (const unsigned char *bytes, size_t len)
{
	uint64_t word = 0;
	for (size_t i = 0; i < len; i++)
		word |= (uint64_t)bytes[i] << (8 * i);
	return word;
}

static void
add_block (uint64_t v[4], uint64_t block)
{
	v[3] ^= block;
	mix (v, BLOCK_ROUNDS);
	v[0] ^= block;
}

struct keyed_hash
keyed_hash_make (const struct keyed_hash_key *key, const void *data, size_t len)
{
	const unsigned char *bytes = data;
	struct keyed_hash hash;
	/* The constants are those of the published algorithm. */
	uint64_t v[4] = {key->words[0] ^ 0x736f6d6570736575ULL,
		key->words[1] ^ 0x646f72616e646f6dULL ^ 0xee, key->words[0] ^ 0x6c7967656e657261ULL,
		key->words[1] ^ 0x7465646279746573ULL};
	size_t blocks = len / WORD_BYTES;
	for (size_t i = 0; i < blocks; i++)
		add_block (v, read_word (bytes + i * WORD_BYTES, WORD_BYTES));
	add_block (v, read_word (bytes + blocks * WORD_BYTES, len % WORD_BYTES) |
			      (uint64_t)(len & 0xff) << 56);
	v[2] ^= 0xee;
	mix (v, FINAL_ROUNDS);
	hash.words[0] = v[0] ^ v[1] ^ v[2] ^ v[3];
	v[1] ^= 0xdd;
	mix (v, FINAL_ROUNDS);
	hash.words[1] = v[0] ^ v[1] ^ v[2] ^ v[3];
	return hash;
}
