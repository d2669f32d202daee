/**
 * @file admission.h
 * How many requests an entry node works on at once: grows while answers come in good time,
 * shrinks when targets refuse work or answers come close to their deadline. No I/O.
 *
 * Requests above the limit are refused before anything runs, so that the others still get whole
 * answers when callers ask for more than the targets bear.
 */
#pragma once

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	ADMISSION_FIRST = 32, /**< limit at the start */
	ADMISSION_LEAST = 2,
	ADMISSION_SHRINK_US = 100000, /**< least time between two steps down */
	ADMISSION_SHRINK_PERCENT = 80,
};

/** What a request said about the load. */
enum admission_signal {
	ADMISSION_FAST,     /**< whole, in less than half of its deadline */
	ADMISSION_OVERLOAD, /**< targets refused it, or it took over three quarters */
	ADMISSION_NEUTRAL,
};

struct admission {
	_Atomic int in_flight;
	_Atomic int64_t limit_milli; /**< limit, in thousandths of a request */
	_Atomic int64_t shrunk_us;
	int most;
};

void
admission_init (struct admission *admission, int most);

/** Takes a request in; false when it has to be refused, and it is then not counted. */
bool
admission_enter (struct admission *admission);

/** A request that was taken in has ended. */
void
admission_leave (struct admission *admission, enum admission_signal sign, int64_t now_us);

/** Classifies by latency and refusals. */
enum admission_signal
admission_classify (bool whole, bool refused, int64_t took_us, int64_t deadline_us);
