/**
 * @file ledger.h
 * Claims and outcomes of once-only requests, as the control log has them.
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
	LEDGER_KEY_MAX = 127,
	LEDGER_BUCKETS = 16384,
	LEDGER_EARLY_KEEP_MS = 600000, /**< how long an outcome that overtook its claim is kept */
};

enum claim_status {
	CLAIM_PENDING, /**< claimed; dispatched or about to be */
	CLAIM_DONE,    /**< ran; the reply is stored */
	CLAIM_NOT_RUN, /**< proved not to have run; may be claimed again */
	CLAIM_UNKNOWN, /**< may have run */
};

/** What is known of one idempotency key. */
struct claim {
	struct cds_list_head bucket;
	struct cds_list_head order; /**< by time of the claim */
	char key[LEDGER_KEY_MAX + 1];
	uint64_t digest; /**< of the request, to refuse a key with another body; 0: not known yet */
	uint64_t nonce;  /**< of the attempt that holds the claim */
	int64_t expires_ms; /**< log time */
	enum claim_status status;
	int http_status;
	char *body; /**< stored reply, owned */
};

/** What a claim request gets. */
enum claim_verdict {
	VERDICT_RUN,     /**< the claim is this attempt's: dispatch */
	VERDICT_STORED,  /**< an outcome is stored: answer with it */
	VERDICT_PENDING, /**< another attempt holds the claim and has not ended */
	VERDICT_REUSED,  /**< the key came with another request */
};

struct ledger {
	struct cds_list_head *buckets;
	struct cds_list_head order;
	uint64_t count;
};

void
ledger_init (struct ledger *ledger);
void
ledger_finish (struct ledger *ledger);

struct claim *
ledger_find (const struct ledger *ledger, const char *key);

/** Applies a claim. The same nonce again gets the same verdict. */
enum claim_verdict
ledger_claim (struct ledger *ledger, const char *key, uint64_t digest, uint64_t nonce,
	int64_t expires_ms, const struct claim **claim);

/** Applies an outcome; only the holder's nonce counts, and only the first outcome. */
bool
ledger_outcome (struct ledger *ledger, const char *key, uint64_t nonce, enum claim_status status,
	int http_status, const char *body, int64_t now_ms);

/** Drops claims that expired before this log time. */
void
ledger_expire (struct ledger *ledger, int64_t now_ms);

void
ledger_write (const struct ledger *ledger, struct pack_writer *writer);
bool
ledger_read (struct ledger *ledger, struct pack_node node);
