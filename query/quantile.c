#include "query/quantile.h"

#include <string.h>

enum { MIN_OBSERVATIONS = 20 };

void
quantile_init (struct quantile *quantile)
{
	memset (quantile, 0, sizeof (*quantile));
}

static int
bucket_of (int64_t us)
{
	if (us < 4)
		return us < 0 ? 0 : (int)us;
	int log2 = 63 - __builtin_clzll ((unsigned long long)us);
	int quarter = (int)((us >> (log2 - 2)) & 3);
	int bucket = (log2 - 1) * 4 + quarter;
	return bucket < QUANTILE_BUCKETS ? bucket : QUANTILE_BUCKETS - 1;
}

static int64_t
upper_bound_us (int bucket)
{
	if (bucket < 4)
		return bucket + 1;
	int log2 = bucket / 4 + 1;
	return ((int64_t)(4 + bucket % 4 + 1)) << (log2 - 2);
}

static void
halve (struct quantile *quantile)
{
	uint32_t total = 0;
	for (int i = 0; i < QUANTILE_BUCKETS; i++) {
		uint32_t half =
			atomic_load_explicit (&quantile->counts[i], memory_order_relaxed) / 2;
		atomic_store_explicit (&quantile->counts[i], half, memory_order_relaxed);
		total += half;
	}
	atomic_store_explicit (&quantile->total, total, memory_order_relaxed);
}

void
quantile_observe (struct quantile *quantile, int64_t us)
{
	atomic_fetch_add_explicit (&quantile->counts[bucket_of (us)], 1, memory_order_relaxed);
	uint32_t before = atomic_fetch_add_explicit (&quantile->total, 1, memory_order_relaxed);
	if (before + 1 == QUANTILE_WINDOW)
		halve (quantile);
}

int64_t
quantile_get (const struct quantile *quantile, int percent, int64_t default_us)
{
	uint64_t total = atomic_load_explicit (&quantile->total, memory_order_relaxed);
	if (total < MIN_OBSERVATIONS)
		return default_us;
	uint64_t rank = (total * (uint64_t)percent + 99) / 100;
	uint64_t sum = 0;
	for (int i = 0; i < QUANTILE_BUCKETS; i++) {
		sum += atomic_load_explicit (&quantile->counts[i], memory_order_relaxed);
		if (sum >= rank)
			return upper_bound_us (i);
	}
	return upper_bound_us (QUANTILE_BUCKETS - 1);
}
