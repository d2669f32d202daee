/**
 * @file refresh.h
 * When the platform's list of targets is read. No I/O.
 *
 * Made for many nodes and a list whose reads are limited and cost something. The leader reads it
 * for all nodes, more often while it changes. An entry node reads it itself only when control has
 * brought no list for a while, and not as soon as it starts: after a power failure of everything,
 * hundreds of nodes would otherwise read it in the same second.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	REFRESH_PERIOD_US = 500000,       /**< a leaving target must be noticed within seconds */
	REFRESH_CALM_PERIOD_US = 1000000, /**< longest period while the list does not change */
	REFRESH_BUSY_US = 3000000,        /**< after a change, further changes are likely */
	REFRESH_STALE_US = 2000000,       /**< an entry node with an older list reads it itself */
	REFRESH_START_WAIT_US = 1000000,  /**< time for control to bring a list after a start */
	REFRESH_RATE_DIVISOR = 2,         /**< half of the list's rate limit is left for bursts */
};

struct refresh {
	uint64_t content; /**< hash of the list read last */
	int64_t changed_us;
};

void
refresh_init (struct refresh *refresh, int64_t now_us);

/** Records the content of a list that was read. */
void
refresh_observe (struct refresh *refresh, const void *data, size_t len, int64_t now_us);

/** What the time between two reads depends on. */
struct refresh_load {
	int nodes;         /**< that read the list themselves */
	int pages;         /**< of one read */
	double rate_per_s; /**< requests per second that the list accepts from all nodes; 0: any */
	int64_t lag_us;    /**< by which the list may lag behind the targets */
};

int64_t
refresh_interval_us (
	const struct refresh *refresh, const struct refresh_load *load, int64_t now_us);

/**
 * Whether an entry node reads the list itself.
 * @param read_us when the list in use was read; 0: there is none
 * @param jitter_us at most REFRESH_START_WAIT_US, different on each node
 */
bool
refresh_is_due_without_control (
	int64_t read_us, int64_t started_us, int64_t jitter_us, int64_t now_us);
