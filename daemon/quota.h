/**
 * @file quota.h
 * The I/O layer of query/quota.h, on the front's thread: asks other entry nodes for tokens of
 * limited accounts, answers their questions, and refuses requests over the limit.
 */
#pragma once

#include "daemon/forward.h"

/** Prepares the quotas of a front whose node is set. */
void
front_quota_init (struct front *front);

/** Applies a declared state, whose routing may be the same as before. */
void
front_quota_apply (
	struct front *front, const struct front_state *state, const struct front_state *old);

/** Notes a change of the lease or of the settled epoch. */
void
front_quota_refresh (struct front *front);

/**
 * Takes a token for a request if its account has a limit.
 * @return false if the request waits for a token or was refused; the forward may be freed
 */
bool
front_quota_admit (struct forward *forward, struct ingress_request *request);

/** Stops waiting for the answer to a question; a token that still comes is returned. */
void
front_quota_detach (struct forward *forward);

/** Goes on without an answer that did not come in time. */
void
front_quota_answer_late (struct forward *forward);

/** Ends what a forward has of its account, and returns its token if nothing was sent. */
void
front_quota_end (struct forward *forward);

/** Answers the question of another node. */
void
front_quota_serve (struct front *front, struct ingress_request *request);

/** Returns unused tokens that no question has returned yet. */
void
front_quota_timer_due (struct front *front);

/** Appends the accounts that are busiest here, as a JSON object. */
void
front_quota_write_dump (struct front *front, struct buf *out);
