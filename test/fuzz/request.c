/**
 * @file request.c
 * Fuzz target for callers' requests as streams: heads, framing and bodies that are nearly right,
 * put together from pieces and received in parts of any size.
 *
 * How the bytes were cut makes no difference to what is read. A request that is complete has, byte
 * for byte, the length and body that a second reader finds, which shares no code with the parser,
 * and none of its lines contains a control character. Memory stays within the limits.
 */
#include "net/request.h"
#include "test/fuzz/input.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum { PIECES_MAX = 24, BODY_MAX_BYTES = 8192, LINE_MAX = 256, HEADERS_MAX = 512 };

static const char *const starts[] = {"GET /a HTTP/1.1\r\nHost: h\r\n",
	"POST /a?b=c HTTP/1.1\r\nHost: h\r\n", "POST /a HTTP/1.0\r\n", "POST /a HTTP/1.1\r\n",
	"\r\nPOST /a HTTP/1.1\r\nHost: h\r\n", "POST /a HTTP/1.1\nHost: h\r\n",
	"POST  /a HTTP/1.1\r\nHost: h\r\n", "POST /a HTTP/2.0\r\nHost: h\r\n"};
static const char *const lines[] = {"Content-Length: 5\r\n", "Content-Length: 5\r\n",
	"Content-Length: 0\r\n", "Content-Length: 05\r\n", "Content-Length: +5\r\n",
	"Content-Length: 5, 5\r\n", "Content-Length : 5\r\n", "content-length:5 \r\n",
	"Content-Length: 18446744073709551621\r\n", "Transfer-Encoding: chunked\r\n",
	"Transfer-Encoding: chunked\r\n", "transfer-encoding:\tCHUNKED\r\n",
	"Transfer-Encoding: gzip\r\n", "Connection: close\r\n", "X: y\r\n", "X:\r\n", " folded\r\n",
	"X\r\n", "X: a\rb\r\n", "X: a\nY: b\r\n", "Host: i\r\n", "Expect: 100-continue\r\n"};
static const char *const bodies[] = {"\r\n", "\r\n", "\r\n", "hello", "hello", "5\r\nhello\r\n",
	"5;x=y\r\nhello\r\n", "05\r\nhello\r\n", "5\r\nhello", "0\r\n\r\n", "0\r\nX: y\r\n\r\n",
	"0\r\n", "-1\r\n", "5 \r\nhello\r\n", "5\r\nhelloX\n", "G\r\n", "\n", "\r",
	"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"};

struct delivered {
	char body[BODY_MAX_BYTES];
	size_t len;
	char uri[LINE_MAX + 1];
	int headers;
	int status;
};

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check (bool holds)
{
	if (!holds)
		abort ();
}

static void
keep_body (void *user, const char *data, size_t len)
{
	struct delivered *delivered = user;
	check (delivered->len + len <= sizeof (delivered->body));
	memcpy (delivered->body + delivered->len, data, len);
	delivered->len += len;
}

static void
check_text (const char *text)
{
	for (; *text; text++)
		check (*text == '\t' || (unsigned char)*text >= ' ');
}

static void
keep_head (const struct request_parser *parser, struct delivered *delivered)
{
	str_copy (delivered->uri, sizeof (delivered->uri), parser->uri);
	delivered->headers = parser->header_count;
	check (parser->method[0] && parser->uri[0]);
	for (int i = 0; i < parser->header_count; i++) {
		check (parser->headers[i].name[0]);
		check_text (parser->headers[i].name);
		check_text (parser->headers[i].value);
	}
}

/* Parses in parts; returns the last state and the number of bytes that belong to the request. */
static enum request_state
parse (const struct buf *stream, struct input *input, struct delivered *delivered, size_t *end)
{
	static const struct request_limits limits = {LINE_MAX, HEADERS_MAX};
	struct request_parser parser;
	enum request_state state = REQUEST_PARTIAL;
	bool has_head = false;
	size_t at = 0;
	memset (delivered, 0, sizeof (*delivered));
	request_init (&parser, &limits, keep_body, delivered);
	while (state <= REQUEST_HEAD && at < stream->len) {
		size_t part = input ? 1 + input_below (input, 64) : stream->len;
		size_t used = 0;
		if (part > stream->len - at)
			part = stream->len - at;
		state = request_parse (&parser, stream->data + at, part, &used);
		check (used <= part && (state != REQUEST_PARTIAL || used == part));
		check (request_memory (&parser) < 64 * 1024);
		at += used;
		if (!has_head && (state == REQUEST_HEAD || state == REQUEST_COMPLETE)) {
			has_head = true;
			keep_head (&parser, delivered);
			request_drop_head (&parser);
		}
	}
	delivered->status = parser.status;
	*end = at;
	request_finish (&parser);
	return state == REQUEST_HEAD ? REQUEST_PARTIAL : state;
}

/* Takes a line that ends with CRLF; returns false if there is no whole one. */
static bool
take_line (const char **at, const char *end, const char **line, size_t *len)
{
	const char *newline = memchr (*at, '\n', (size_t)(end - *at));
	if (!newline || newline == *at || newline[-1] != '\r')
		return false;
	*line = *at;
	*len = (size_t)(newline - 1 - *at);
	*at = newline + 1;
	return true;
}

struct reading {
	char body[BODY_MAX_BYTES];
	size_t len;
	bool complete;
};

static bool
take_bytes (const char **at, const char *end, size_t len, struct reading *reading)
{
	if ((size_t)(end - *at) < len || reading->len + len > sizeof (reading->body))
		return false;
	memcpy (reading->body + reading->len, *at, len);
	reading->len += len;
	*at += len;
	return true;
}

static bool
take_chunks (const char **at, const char *end, struct reading *reading)
{
	const char *line = NULL;
	size_t len = 0;
	while (take_line (at, end, &line, &len)) {
		size_t chunk_len = strtoul (line, NULL, 16);
		if (chunk_len > 0) {
			if (!take_bytes (at, end, chunk_len, reading) ||
				!take_line (at, end, &line, &len) || len != 0)
				return false;
			continue;
		}
		while (take_line (at, end, &line, &len)) {
			if (len == 0)
				return true;
		}
		return false;
	}
	return false;
}

/* Reads a request, trusting that its lines are well formed; returns where it ends. */
static const char *
read_request (const char *at, const char *end, struct reading *reading)
{
	const char *line = NULL;
	size_t len = 0;
	size_t length = 0;
	bool chunked = false;
	bool started = false;
	memset (reading, 0, sizeof (*reading));
	while (take_line (&at, end, &line, &len)) {
		if (len == 0 && started)
			break;
		started = started || len > 0;
		if (strncasecmp (line, "Content-Length:", 15) == 0)
			length = strtoul (line + 15, NULL, 10);
		chunked = chunked || strncasecmp (line, "Transfer-Encoding:", 18) == 0;
	}
	reading->complete =
		chunked ? take_chunks (&at, end, reading) : take_bytes (&at, end, length, reading);
	return at;
}

static void
add_piece (struct buf *stream, struct input *input, const char *const *pieces, size_t count)
{
	const char *piece = pieces[input_below (input, (uint32_t)count)];
	buf_add (stream, piece, strlen (piece));
}

#define ADD_PIECE(stream, input, pieces)                                                           \
	add_piece (stream, input, pieces, sizeof (pieces) / sizeof ((pieces)[0]))

static void
make_stream (struct buf *stream, struct input *input)
{
	int count = 1 + (int)input_below (input, PIECES_MAX);
	buf_init (stream);
	ADD_PIECE (stream, input, starts);
	for (int i = 0; i < count; i++) {
		uint32_t kind = input_below (input, 16);
		char byte = (char)input_below (input, 256);
		if (kind == 0)
			buf_add (stream, &byte, 1);
		else if (kind < 8)
			ADD_PIECE (stream, input, lines);
		else
			ADD_PIECE (stream, input, bodies);
	}
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	static struct delivered whole;
	static struct delivered parts;
	static struct reading reading;
	struct input input = {data, size};
	struct buf stream;
	size_t whole_end = 0;
	size_t end = 0;
	make_stream (&stream, &input);
	enum request_state whole_state = parse (&stream, NULL, &whole, &whole_end);
	enum request_state state = parse (&stream, &input, &parts, &end);
	check (state == whole_state && parts.status == whole.status);
	if (state == REQUEST_COMPLETE) {
		check (end == whole_end && parts.headers == whole.headers);
		check (strcmp (parts.uri, whole.uri) == 0 && parts.len == whole.len);
		check (memcmp (parts.body, whole.body, parts.len) == 0);
		const char *read_end =
			read_request (stream.data, stream.data + stream.len, &reading);
		check (reading.complete && read_end == stream.data + end);
		check (reading.len == parts.len &&
			memcmp (reading.body, parts.body, parts.len) == 0);
	}
	buf_finish (&stream);
	return 0;
}
