/**
 * @file payload.h
 * The body of a request, which several requests that it is sent with hold together. Used by one
 * thread.
 */
#pragma once

#include "core/buf.h"
#include "core/memory_pool.h"

struct payload {
	int refs;
	struct memory_account *account; /**< counts the memory; NULL: none does */
	struct buf bytes;
};

/**
 * Takes the memory of @p bytes over, which is empty afterwards. @p account, which may be NULL,
 * counts it already, and must outlast the payload. The caller holds a reference.
 */
struct payload *
payload_new (struct buf *bytes, struct memory_account *account);
struct payload *
payload_ref (struct payload *payload);

/** Drops a reference and frees the payload with the last one; NULL is allowed. */
void
payload_unref (struct payload *payload);
