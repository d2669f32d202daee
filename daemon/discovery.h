/**
 * @file discovery.h
 * Reads the platform's list of targets: on the leader of control for everyone, and on an entry that
 * has heard nothing from control for a while for itself.
 */
#pragma once

#include "core/timers.h"
#include "net/fetch.h"
#include "platform/list.h"

#include <stdbool.h>

struct front;

enum {
	DISCOVERY_PERIOD_US = 500000, /**< a leaving target has to be noticed within seconds */
	DISCOVERY_STALE_US = 2000000, /**< an entry then reads the list itself */
	DISCOVERY_TIMEOUT_US = 900000,
	DISCOVERY_RATE_SHARE = 2, /**< use half of the list's rate, so that bursts fit */
};

struct discovery {
	struct front *front;
	struct timer timer;
	struct fetch fetch;
	struct fetch_pool *pool;
	bool reading;
	int pages;
	char path[LIST_TOKEN_SIZE * 3 + 64];
	struct listed_targets list; /**< of the read under way */
	int64_t read_us;            /**< when the list in use was read; 0: none */
	int failures;               /**< in a row */
};

void
discovery_start (struct discovery *discovery, struct front *front);
void
discovery_finish (struct discovery *discovery);
void
discovery_timer_due (struct discovery *discovery);

/** Takes over a list that the leader read; NULL data confirms the one in use. */
void
discovery_take (struct discovery *discovery, const void *data, size_t len, int64_t read_us);

/** Encodes a list for other nodes; the caller frees the bytes. */
void *
listed_targets_encode (const struct listed_targets *list, size_t *len);

/** Decodes a list; false when the bytes are malformed. */
bool
listed_targets_decode (struct listed_targets *list, const void *data, size_t len);
