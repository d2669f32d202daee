/**
 * @file failover.h
 * What happens to the shards of a batch whose aggregator failed. No I/O.
 *
 * For aggregators that are frozen, killed, cut off, stopping, new or overloaded. The shards go to
 * another aggregator, then to the targets directly, with the attempts that are certainly left: an
 * aggregator that may have run the batch may have used one for each shard before its first result,
 * and all of them after it.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	FAILOVER_AGGREGATORS_MAX = 2, /**< that get a batch before it is sent directly */
	/** Share of the latency objective after which an aggregator without a result has failed. */
	FAILOVER_FIRST_RESULT_PERCENT = 90,
	FAILOVER_FIRST_RESULT_MIN_US = 30000,
	FAILOVER_REST_US = 1000000, /**< the same for the rest; longer than a request is held */
};

/** The progress of a batch. */
struct failover {
	int aggregators;   /**< that got the batch */
	int attempts_used; /**< of each shard, by aggregators that failed */
	bool has_result;   /**< the present aggregator has returned a first result */
};

enum failover_step {
	FAILOVER_TO_AGGREGATOR, /**< or directly, when there is no other one */
	FAILOVER_DIRECTLY,
	FAILOVER_GIVE_UP, /**< all attempts may be used */
};

/** Records that an aggregator failed and returns what to do with the open shards. */
enum failover_step
failover_next (struct failover *failover, bool may_have_run, int max_attempts);

/** How long to wait for the next result, given the time left for the request. */
int64_t
failover_timeout_us (const struct failover *failover, int64_t objective_us, int64_t left_us);
