/**
 * @file rng.h
 * A seeded pseudo-random generator, so that random decisions can be replayed.
 */
#pragma once

#include <stdint.h>

struct rng {
	uint64_t state;
};

/** The next 64 random bits (splitmix64). */
static inline uint64_t
rng_next (struct rng *rng)
{
	uint64_t z = (rng->state += 0x9e3779b97f4a7c15ULL);
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/** A number from 0 to @p bound - 1, or 0 if the bound is 0. */
static inline uint64_t
rng_below (struct rng *rng, uint64_t bound)
{
	return bound ? rng_next (rng) % bound : 0;
}
