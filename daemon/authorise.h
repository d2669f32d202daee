/**
 * @file authorise.h
 * Determines the client account of a caller's request on a declared route, on the front's thread.
 * Decisions are in query/accounts.h, names in platform/credentials.h.
 */
#pragma once

#include "daemon/account_stats.h"
#include "daemon/forward.h"

enum {
	/**
	 * After a suspension, known keys count again once control has confirmed the view, since
	 * they may have been removed meanwhile. Without control, they count after this time.
	 */
	AUTHORISE_RESUME_US = 1200000,
	/** Interval at which a request checks whether the view is confirmed. */
	AUTHORISE_CHECK_US = 20000,
};

enum authorisation {
	AUTHORISED,
	UNAUTHORISED,       /**< the route needs the key of an account */
	UNAUTHORISED_STALE, /**< the same, but the key may have been added since */
	AUTHORISED_LATER,   /**< the key may have been removed since; see AUTHORISE_RESUME_US */
};

/**
 * Sets the account of a request by the routing in use. Where accounts are declared, an authorised
 * request has the header line of its account among its lines and its key no longer. To be called
 * again when a request that was not started is routed again.
 */
enum authorisation
authorise (struct forward *forward, const struct routing_rule *rule);

/** Counts a request that is about to start, and sets account and priority of its scatter. */
void
authorise_scatter (struct forward *forward);

/** Counts a request that was authorised and is refused instead of started. */
void
authorise_count_refusal (const struct forward *forward, enum account_refusal reason);

/** Counts the end of a request that was started. */
void
authorise_count_end (const struct forward *forward);
