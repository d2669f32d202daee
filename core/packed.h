/**
 * @file packed.h
 * Compression of large documents (zlib). A document is compressed once and stays compressed in the
 * control log, on disk and in messages to other nodes.
 */
#pragma once

#include <stddef.h>

/** Largest uncompressed size; larger documents are rejected. */
enum { PACKED_MAX_BYTES = 64 * 1024 * 1024 };

/** Compresses a document; the caller frees the result. */
void *
packed_make (const void *data, size_t len, size_t *packed_len);

/**
 * Decompresses a document and adds a terminating NUL; the caller frees the result.
 * @return NULL if the bytes are not a compressed document.
 */
char *
packed_open (const void *packed, size_t packed_len, size_t *len);
