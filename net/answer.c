#include "net/answer.h"

#include <http_parser.h>
#include <string.h>
#include <time.h>

bool
answer_has_body (int status)
{
	return status >= 200 && status != 204 && status != 304;
}

static void
write_date (int64_t unix_s, struct buf *out)
{
	char text[64];
	time_t time = (time_t)unix_s;
	struct tm parts;
	gmtime_r (&time, &parts);
	strftime (text, sizeof (text), "%a, %d %b %Y %H:%M:%S GMT", &parts);
	buf_addf (out, "Date: %s\r\n", text);
}

static void
write_lines (const struct buf *lines, struct buf *out)
{
	const char *at = lines->data;
	const char *end = at + lines->len;
	while (at < end) {
		const char *next = memchr (at, '\n', (size_t)(end - at));
		size_t len = next ? (size_t)(next - at) : (size_t)(end - at);
		buf_add (out, at, len);
		buf_add (out, "\r\n", 2);
		at += len + (next ? 1 : 0);
	}
}

void
answer_write_head (const struct answer_head *head, struct buf *out)
{
	buf_addf (out, "HTTP/1.1 %d %s\r\n", head->status,
		http_status_str ((enum http_status)head->status));
	write_date (head->unix_s, out);
	if (head->lines && head->lines->len)
		write_lines (head->lines, out);
	if (answer_has_body (head->status))
		buf_addf (out, "Content-Length: %zu\r\n", head->body_len);
	if (head->close)
		buf_addf (out, "Connection: close\r\n");
	else if (head->old_version)
		buf_addf (out, "Connection: Keep-Alive\r\n");
	buf_add (out, "\r\n", 2);
}
