/**
 * @file forward_keep.h
 * Memory of replies that a request keeps until its answer: parts of a fan-out, and error replies
 * while a retry runs. All requests of a node share it.
 */
#pragma once

#include "daemon/forward.h"

/** Makes a front's account for it part of the front's pool. */
void
forward_keep_init (struct front *front);

/** Counts bytes until the request ends; returns false if they do not fit and must not be kept. */
bool
forward_keep (struct forward *forward, size_t bytes);

/** Counts what a request keeps of the reply of a shard; returns false likewise. */
bool
forward_keep_answer (struct forward *forward, const struct sub_answer *answer);

/**
 * Passes what a request keeps on to its answer, of so many bytes; returns false if there is no
 * memory for that, and the answer must not be sent.
 */
bool
forward_keep_pass (struct forward *forward, size_t bytes);

void
forward_keep_release (struct forward *forward);
