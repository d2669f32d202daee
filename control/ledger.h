/**
 * @file ledger.h
 * Claims and outcomes of at-most-once requests by idempotency key, built from the control log. No
 * I/O.
 *
 * A claim is committed before the request is dispatched, so that a resend through any node can
 * never start a second run.
 */
#pragma once

#include "core/pack.h"

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

enum {
	LEDGER_KEY_MAX = 127, /**< characters */
	LEDGER_BUCKETS = 16384,
	LEDGER_EARLY_OUTCOME_MS = 600000, /**< retention of an outcome that precedes its claim */
};

enum claim_status {
	CLAIM_PENDING, /**< claimed; the request is dispatched or about to be */
	CLAIM_DONE,    /**< the request ran; the reply is stored */
	CLAIM_NOT_RUN, /**< the request certainly did not run; the key may be claimed again */
	CLAIM_UNKNOWN, /**< the request may have run */
};

/** The claim and outcome of one idempotency key. */
struct claim {
	struct cds_list_head bucket; /**< in a bucket of ledger.buckets */
	struct cds_list_head order;  /**< in ledger.order */
	char key[LEDGER_KEY_MAX + 1];
	uint64_t digest; /**< of the request, to refuse a key with another body; 0: no claim yet */
	uint64_t nonce;  /**< of the attempt that holds the claim */
	int64_t expires_ms; /**< in log time */
	enum claim_status status;
	int http_status;
	char *body; /**< stored reply, owned */
};

/** The result of a claim. */
enum claim_verdict {
	VERDICT_RUN,     /**< this attempt holds the claim: dispatch the request */
	VERDICT_STORED,  /**< an outcome is stored: reply with it */
	VERDICT_PENDING, /**< another attempt holds the claim and has not ended */
	VERDICT_REUSED,  /**< the key was used before with another request */
};

struct ledger {
	struct cds_list_head *buckets; /**< claims by hash of the key */
	struct cds_list_head order;    /**< all claims, in the order in which they were added */
	uint64_t count;
};

void
ledger_init (struct ledger *ledger);
void
ledger_finish (struct ledger *ledger);

struct claim *
ledger_find (const struct ledger *ledger, const char *key);

/**
 * Applies a claim. While no outcome is stored, a claim repeated with the same nonce gets the same
 * verdict.
 * @param out set to the stored claim of the key.
 */
enum claim_verdict
ledger_claim (struct ledger *ledger, const char *key, uint64_t digest, uint64_t nonce,
	int64_t expires_ms, const struct claim **out);

/**
 * Stores the first outcome that the holder of a claim reports. CLAIM_NOT_RUN may precede its
 * claim.
 * @return false when the nonce does not hold the claim, or when an outcome is stored already.
 */
bool
ledger_outcome (struct ledger *ledger, const char *key, uint64_t nonce, enum claim_status status,
	int http_status, const char *body, int64_t now_ms);

/** Removes the oldest claims, up to the first one that is not expired at this log time. */
void
ledger_expire (struct ledger *ledger, int64_t now_ms);

void
ledger_write (const struct ledger *ledger, struct pack_writer *writer);
bool
ledger_read (struct ledger *ledger, struct pack_node node);
