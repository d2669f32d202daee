/**
 * @file packed.h
 * Large documents compressed once (zlib), for the log, the disk and every node that gets them.
 */
#pragma once

#include <stddef.h>

enum {
	PACKED_MAX_BYTES = 64 * 1024 * 1024
}; /**< bytes of a plain document; larger ones are refused */

/** Compresses a document; the caller frees the result. */
void *
packed_make (const void *data, size_t len, size_t *packed_len);

/**
 * Restores a document, with a terminating zero behind it; the caller frees it.
 * @return NULL when the bytes are no packed document.
 */
char *
packed_open (const void *packed, size_t packed_len, size_t *len);
