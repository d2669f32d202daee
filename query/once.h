/**
 * @file once.h
 * A request that must run at most once. No I/O.
 *
 * With an idempotency key the claim is committed before dispatch and the outcome after it. A
 * further target is tried only while it is certain that nothing ran.
 */
#pragma once

#include "control/ledger.h"
#include "control/view.h"
#include "core/rng.h"
#include "query/query.h"

enum {
	ONCE_CLAIM_US = 2000000,   /**< time given to a claim before the answer is not_run */
	ONCE_OUTCOME_US = 1000000, /**< time given to storing the outcome before answering anyway */
	ONCE_BACKOFF_US = 10000,   /**< wait after every target refused */
	ONCE_RESEND_US = 300000,   /**< a lost proposal is sent again after this */
};

enum once_phase { ONCE_CLAIMING, ONCE_TRYING, ONCE_RUNNING, ONCE_STORING, ONCE_ENDED };

enum once_outcome {
	ONCE_DONE,       /**< it ran; the reply follows */
	ONCE_NOT_RUN,    /**< proved not to have run */
	ONCE_UNKNOWN,    /**< it may have run */
	ONCE_KEY_REUSED, /**< the key came with another request */
	ONCE_PENDING,    /**< another attempt with this key is running now */
};

enum once_action_kind {
	ONCE_CLAIM, /**< propose the claim (again) */
	ONCE_SEND,  /**< send to once.target under once.attempt */
	ONCE_STORE, /**< propose the outcome (again) */
	ONCE_ANSWER,
	ONCE_NOTHING,
};

struct once {
	struct view *view; /**< a reference is held */
	int service;
	bool keyed;
	enum once_phase phase;
	enum once_outcome outcome;
	int64_t deadline_us;
	int64_t phase_until_us;
	int64_t resend_us;
	int64_t retry_us;
	uint32_t attempt; /**< number of the newest dispatch */
	int target;       /**< index in the view */
	uint64_t tried;   /**< bit of each of the first 64 targets refused since the backoff */
	int http_status;
	char *body; /**< reply, owned */
	struct rng rng;
};

void
once_init (struct once *once, struct view *view, int service, bool keyed, int64_t deadline_us,
	uint64_t seed);
void
once_finish (struct once *once);

enum once_action_kind
once_start (struct once *once, int64_t now_us);

/** The claim was applied. */
enum once_action_kind
once_claimed (struct once *once, enum claim_verdict verdict, enum claim_status status,
	int http_status, const char *body, int64_t now_us);

/** The dispatch ended; an unknown or late attempt is ignored. */
enum once_action_kind
once_reply (struct once *once, uint32_t attempt, enum sub_status status, int http_status,
	const char *body, size_t len, int64_t now_us);

/** The outcome was applied. */
enum once_action_kind
once_stored (struct once *once);

enum once_action_kind
once_tick (struct once *once, int64_t now_us);

int64_t
once_wake_us (const struct once *once);

/** The claim status that stores an outcome. */
enum claim_status
once_claim_status (const struct once *once);
