/**
 * @file once.h
 * State machine of a request that must run at most once. No I/O.
 *
 * With an idempotency key, a claim is committed to the control log before dispatch and the outcome
 * after it, so that a resend through any node cannot run the request again. Another target is
 * tried only while it is certain that the request has not run.
 */
#pragma once

#include "control/ledger.h"
#include "control/view.h"
#include "core/rng.h"
#include "query/query.h"

enum {
	ONCE_CLAIM_TIMEOUT_US = 2000000,  /**< a claim not applied by then ends as ONCE_NOT_RUN */
	ONCE_STORE_TIMEOUT_US = 1000000,  /**< the caller is then answered all the same */
	ONCE_BACKOFF_US = 10000,          /**< wait when no target is left to try */
	ONCE_RESEND_INTERVAL_US = 300000, /**< proposals are repeated, because they may get lost */
};

enum once_phase { ONCE_CLAIMING, ONCE_BACKING_OFF, ONCE_RUNNING, ONCE_STORING, ONCE_ENDED };

enum once_outcome {
	ONCE_DONE,       /**< it ran; http_status and body hold the reply */
	ONCE_NOT_RUN,    /**< certain not to have run */
	ONCE_UNKNOWN,    /**< it may have run */
	ONCE_KEY_REUSED, /**< the key belongs to a different request */
	ONCE_PENDING,    /**< another attempt with this key has not ended */
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
	bool keyed; /**< has an idempotency key */
	enum once_phase phase;
	enum once_outcome outcome;
	int64_t deadline_us;
	int64_t phase_deadline_us; /**< for ONCE_CLAIMING and ONCE_STORING */
	int64_t resend_at_us;      /**< when to repeat a proposal; INT64_MAX: none */
	int64_t retry_at_us;       /**< when the backoff ends; INT64_MAX: none */
	uint32_t attempt;          /**< number of the latest dispatch, from 1 */
	int target;                /**< index in the view; -1 before the first dispatch */
	uint64_t tried_mask;       /**< bit per target (first 64): tried since the last backoff */
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

/** Handles the commit of the claim. */
enum once_action_kind
once_claimed (struct once *once, enum claim_verdict verdict, enum claim_status status,
	int http_status, const char *body, int64_t now_us);

/** Handles the end of a dispatch; ignored unless it is the latest one and still running. */
enum once_action_kind
once_reply (struct once *once, uint32_t attempt, enum sub_status status, int http_status,
	const char *body, size_t len, int64_t now_us);

/** Handles the commit of the outcome. */
enum once_action_kind
once_stored (struct once *once);

enum once_action_kind
once_tick (struct once *once, int64_t now_us);

int64_t
once_wake_us (const struct once *once);

/** The claim status under which the outcome is stored. */
enum claim_status
once_claim_status (const struct once *once);
