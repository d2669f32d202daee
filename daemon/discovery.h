/**
 * @file discovery.h
 * Reads the platform's target list over HTTP, on the front's thread. The leader of the control log
 * reads it for all nodes. An entry node that has received no list from control for a while reads it
 * for itself, so that it notices changes of targets while control is lost.
 */
#pragma once

#include "control/refresh.h"
#include "core/timers.h"
#include "net/fetch.h"
#include "platform/list.h"

#include <stdbool.h>

struct front;

enum {
	DISCOVERY_TIMEOUT_US = 900000,
	DISCOVERY_CHECK_US = 50000, /**< interval of checks whether this node is to read */
};

struct discovery {
	struct front *front;
	struct timer timer;
	struct fetch fetch;
	struct fetch_pool *pool;
	struct refresh refresh;
	int64_t start_jitter_us;
	void *early_list; /**< of a control node: read at its start, for when it is elected; owned
			   */
	size_t early_len;
	bool reading;
	int pages;
	char path[TARGET_LIST_TOKEN_MAX_BYTES * 3 + 64];
	struct listed_targets list; /**< entries of the read in progress */
	int64_t read_us;            /**< when the list in use was read; 0: there is none */
	int failures;               /**< consecutive failed reads */
	int malformed;              /**< unreadable entries of the last complete list */
};

void
discovery_start (struct discovery *discovery, struct front *front);
void
discovery_finish (struct discovery *discovery);
void
discovery_timer_due (struct discovery *discovery);

/** Applies a list that the leader has read; NULL data confirms the list in use as of @p read_us. */
void
discovery_apply_roster (struct discovery *discovery, const void *data, size_t len, int64_t read_us);
