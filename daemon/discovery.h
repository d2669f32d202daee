/**
 * @file discovery.h
 * Keeps the targets of all services up to date from the platform's list.
 */
#pragma once

#include "core/timers.h"
#include "net/fetch.h"
#include "platform/list.h"

#include <stdbool.h>

struct front;

enum {
	DISCOVERY_PERIOD_US = 1000000, /**< a leaving target has to be noticed within seconds */
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
	int64_t read_us;            /**< begin of the newest read that succeeded; 0: none */
	int failures;               /**< in a row */
};

void
discovery_start (struct discovery *discovery, struct front *front);
void
discovery_finish (struct discovery *discovery);
void
discovery_timer_due (struct discovery *discovery);
