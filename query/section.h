/**
 * @file section.h
 * When an aggregator returns results to the node that received a query. No I/O.
 *
 * For load where targets are slow, dark or full, so that parts come late or not at all: the
 * receiving node must learn in time that its aggregator is alive, or it passes the shards to
 * another one and adds to the load. The first result is returned before a second attempt is due,
 * later ones as parts come, and an empty one after a while.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	/** A first result is returned after this part of the latency objective at the latest. */
	SECTION_FIRST_RESULT_PERCENT = 45,
	/** A held request for the rest is answered by then, even without anything new. */
	SECTION_REST_HOLD_US = 250000,
	/** A receiver that does not ask for the rest within this time has ended the request. */
	SECTION_REST_WAIT_US = 300000,
};

struct section {
	bool held;               /**< a request of the receiver waits for a result */
	bool has_result;         /**< a first result was returned */
	int64_t result_until_us; /**< a held request is answered by then, with what there is */
	int64_t rest_until_us;   /**< while none is held: the receiver has to ask by then */
};

/** Starts with the batch as the held request. */
void
section_init (struct section *section, int64_t objective_us, int64_t now_us);

/** Records that a request for the rest is held. */
void
section_hold (struct section *section, int64_t now_us);

/** Records that the held request was answered with a result. */
void
section_returned (struct section *section, int64_t now_us);

/**
 * Whether a result is to be returned.
 * @param has_new_part an answered shard was not returned yet
 * @param wants_attempt a hedge or retry is due, which needs the receiver's confirmation
 */
bool
section_result_is_due (
	const struct section *section, bool has_new_part, bool wants_attempt, int64_t now_us);

/** Whether the receiver has ended the request. */
bool
section_is_abandoned (const struct section *section, int64_t now_us);

/** The next time at which the two functions above may change their answer. */
int64_t
section_wake_us (const struct section *section);
