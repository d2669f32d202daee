/**
 * @file buf.h
 * A growable byte buffer, and helpers that allocate and copy memory and strings.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes with a length. data is NULL at first, and NUL-terminated once something was appended. */
struct buf {
	char *data;
	size_t len;
	size_t cap;
};

void
buf_init (struct buf *buf);
void
buf_finish (struct buf *buf);
void
buf_reset (struct buf *buf);
void
buf_add (struct buf *buf, const void *data, size_t len);
/** Bytes that are allocated in addition when @p len bytes are added. */
size_t
buf_growth (const struct buf *buf, size_t len);
void
buf_addf (struct buf *buf, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/**
 * Like malloc, calloc, realloc and strdup, but abort the process if there is no memory.
 * xmemdup adds a terminating NUL.
 */
void *
xmalloc (size_t size);
void *
xcalloc (size_t count, size_t size);
void *
xrealloc (void *old, size_t size);
char *
xstrdup (const char *text);
void *
xmemdup (const void *data, size_t len);

enum { TEXT_ESCAPED_SIZE = 2 * 255 + 1 };

/**
 * Writes a name for use between quotes in JSON and in labels of metrics: quotes, backslashes and
 * line ends are escaped, other control characters replaced. A longer one is truncated.
 */
const char *
text_escape (const char *text, char out[TEXT_ESCAPED_SIZE]);

/** Copies a string into an array of @p size bytes and truncates it if it is too long. */
void
str_copy (char *to, size_t size, const char *from);

/** Compares two secrets; the time taken does not depend on where they differ. */
bool
secret_equal (const char *given, const char *expected, size_t expected_len);
