/**
 * @file forward_log.h
 * What logs and metrics tell of callers' requests on declared routes.
 */
#pragma once

#include "daemon/forward.h"

/** Time since control confirmed the declared state, in milliseconds; -1: not yet. */
int64_t
forward_view_age_ms (const struct front *front);

/** Time since the list of targets in use was read, in milliseconds; -1: none yet. */
int64_t
forward_list_age_ms (const struct front *front);

/** Logs how a request ended: each that failed, was late or lacks a shard, and a few others. */
void
forward_log_end (const struct forward *forward, int status);

/** Counts how a request ended. */
void
forward_count_end (const struct scatter *scatter, int64_t took_us);

/**
 * Logs a hedge or retry with what decided it; first sub-requests follow from the request.
 * @param replica before the sub-request is counted there
 */
void
forward_log_extra (const struct forward *forward, int shard, const struct replica *replica);
