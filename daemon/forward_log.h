/**
 * @file forward_log.h
 * Logs and counts callers' requests on declared routes.
 */
#pragma once

#include "daemon/forward.h"

/** Time since control confirmed the declared state, in milliseconds; -1: never. */
int64_t
forward_view_age_ms (const struct front *front);

/** Time since the target list in use was read, in milliseconds; -1: there is none. */
int64_t
forward_list_age_ms (const struct front *front);

/** Logs the end of a request that failed, was late or lacks a shard, and of a sample of others. */
void
forward_log_end (const struct forward *forward, int status);

/** Logs and counts a connection that this node ended while its caller waited; see net/ingress.h. */
void
forward_log_unanswered (const struct ingress_request *request, enum ingress_state state,
	int64_t age_us, void *user);

/** Counts the end of a request by its outcome. */
void
forward_count_end (const struct scatter *scatter, int64_t took_us);

/**
 * Logs a hedge or retry with the state that led to it. First sub-requests are not logged: they
 * follow from the request itself.
 * @param replica its target, before the sub-request is counted there
 */
void
forward_log_extra (const struct forward *forward, int shard, const struct replica *replica);
