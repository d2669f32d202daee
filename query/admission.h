/**
 * @file admission.h
 * Adaptive limit on the number of requests that an entry node serves at the same time. The limit
 * increases while answers come well within their deadlines, and decreases when targets refuse work
 * or answers come close to their deadlines. No I/O.
 *
 * Requests above the limit are refused before any work starts, so that the admitted ones still get
 * complete answers when callers ask for more than the targets can handle.
 */
#pragma once

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	ADMISSION_INITIAL_LIMIT = 32,
	ADMISSION_MIN_LIMIT = 2,
	ADMISSION_DECREASE_INTERVAL_US = 100000, /**< minimum time between two decreases */
	ADMISSION_DECREASE_TO_PERCENT = 80,      /**< of the limit before the decrease */
};

/** What the end of a request shows about the load. */
enum admission_signal {
	ADMISSION_FAST,     /**< complete, in less than half of its deadline */
	ADMISSION_OVERLOAD, /**< refused by targets, or complete only after 3/4 of its deadline */
	ADMISSION_NEUTRAL,
};

struct admission {
	_Atomic int in_flight;
	_Atomic int64_t limit_milli; /**< limit, in thousandths of a request */
	_Atomic int64_t last_decrease_us;
	int max_limit;
};

void
admission_init (struct admission *admission, int max_limit);

/** Admits and counts a request; false, without counting it, when it has to be refused. */
bool
admission_enter (struct admission *admission);

/** Records the end of an admitted request. */
void
admission_leave (struct admission *admission, enum admission_signal signal, int64_t now_us);

/** Classifies a request by its latency and by refusals of targets. */
enum admission_signal
admission_classify (bool complete, bool refused, int64_t took_us, int64_t deadline_us);
