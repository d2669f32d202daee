#include "core/buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void *
xrealloc (void *old, size_t size)
{
	void *ptr = realloc (old, size ? size : 1);
	if (!ptr)
		abort ();
	return ptr;
}

void *
xmalloc (size_t size)
{
	return xrealloc (NULL, size);
}

void *
xcalloc (size_t count, size_t size)
{
	void *ptr = calloc (count ? count : 1, size ? size : 1);
	if (!ptr)
		abort ();
	return ptr;
}

void *
xmemdup (const void *data, size_t len)
{
	char *copy = xmalloc (len + 1);
	if (len)
		memcpy (copy, data, len);
	copy[len] = '\0';
	return copy;
}

char *
xstrdup (const char *text)
{
	return xmemdup (text, strlen (text));
}

void
str_copy (char *to, size_t size, const char *from)
{
	size_t len = strnlen (from, size - 1);
	memcpy (to, from, len);
	to[len] = '\0';
}

void
buf_init (struct buf *buf)
{
	memset (buf, 0, sizeof (*buf));
}

void
buf_finish (struct buf *buf)
{
	free (buf->data);
	buf_init (buf);
}

void
buf_reset (struct buf *buf)
{
	buf->len = 0;
	if (buf->data)
		buf->data[0] = '\0';
}

/* The capacity that holds so many bytes more and a terminating NUL. */
static size_t
capacity_for (const struct buf *buf, size_t extra)
{
	size_t needed = buf->len + extra + 1;
	size_t cap = buf->cap ? buf->cap : 64;
	while (cap < needed)
		cap *= 2;
	return cap;
}

static void
reserve (struct buf *buf, size_t extra)
{
	size_t cap = capacity_for (buf, extra);
	if (cap == buf->cap)
		return;
	buf->data = xrealloc (buf->data, cap);
	buf->cap = cap;
}

size_t
buf_growth (const struct buf *buf, size_t len)
{
	return capacity_for (buf, len) - buf->cap;
}

void
buf_add (struct buf *buf, const void *data, size_t len)
{
	reserve (buf, len);
	if (len)
		memcpy (buf->data + buf->len, data, len);
	buf->len += len;
	buf->data[buf->len] = '\0';
}

void
buf_addf (struct buf *buf, const char *format, ...)
{
	va_list args;
	va_list args_copy;
	va_start (args, format);
	va_copy (args_copy, args);
	int len = vsnprintf (NULL, 0, format, args);
	va_end (args);
	if (len > 0) {
		reserve (buf, (size_t)len);
		vsnprintf (buf->data + buf->len, (size_t)len + 1, format, args_copy);
		buf->len += (size_t)len;
	}
	va_end (args_copy);
}

const char *
text_escape (const char *text, char out[TEXT_ESCAPED_SIZE])
{
	size_t len = 0;
	for (; *text && len + 2 < TEXT_ESCAPED_SIZE; text++) {
		unsigned char c = (unsigned char)*text;
		if (c == '"' || c == '\\' || c == '\n')
			out[len++] = '\\';
		out[len++] = c == '\n' ? 'n' : c < ' ' ? '?' : (char)c;
	}
	out[len] = '\0';
	return out;
}

bool
secret_equal (const char *given, const char *expected, size_t expected_len)
{
	size_t given_len = strlen (given);
	unsigned char different = given_len != expected_len;
	for (size_t i = 0; i < given_len && expected_len > 0; i++)
		different |= (unsigned char)given[i] ^ (unsigned char)expected[i % expected_len];
	return different == 0;
}
