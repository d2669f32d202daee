/**
 * @file response.c
 * Fuzz target for responses of targets as streams: interim heads, framing, bodies and what follows,
 * put together from pieces that are nearly right, and received in parts of any size.
 *
 * A response that is complete has, byte for byte, the status and body that a second reader finds,
 * which shares no code with the parser; how the bytes were cut makes no difference; and a stream
 * that ends early is not complete.
 */
#include "net/response.h"
#include "test/fuzz/input.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum { PIECES_MAX = 24, BODY_MAX_BYTES = 4096 };

static const char *const heads[] = {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n",
	"HTTP/1.0 200 OK\r\n", "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 304 Not Modified\r\n",
	"HTTP/1.1 100 Continue\r\n", "HTTP/1.1 103 Early Hints\r\n", "HTTP/1.1 101 Switching\r\n",
	"HTTP/1.1 503 Full\r\n", "HTTP/1.1 200\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 2000 OK\r\n",
	"HTTP/2.0 200 OK\r\n", "HTTP/1.1  200 OK\r\n"};
static const char *const lines[] = {"Content-Length: 5\r\n", "Content-Length: 5\r\n",
	"Content-Length: 0\r\n", "Content-Length: 05\r\n", "Content-Length: +5\r\n",
	"Content-Length: 5, 5\r\n", "Content-Length : 5\r\n", "Content-Length:\r\n",
	"Content-Length: 18446744073709551621\r\n", "content-length:5 \r\n",
	"Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\n",
	"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: identity\r\n",
	"Transfer-Encoding: chunked, chunked\r\n", "Connection: close\r\n",
	"Connection: keep-alive\r\n", "Keep-Alive: timeout=5\r\n", "X: y\r\n", "X:\r\n",
	" folded\r\n", "X\r\n", "X: a\rb\r\n", "Trailer: X\r\n"};
static const char *const bodies[] = {"\r\n", "\r\n", "\r\n", "hello", "hello", "5\r\nhello\r\n",
	"5;x=y\r\nhello\r\n", "05\r\nhello\r\n", "5\r\nhello", "0\r\n\r\n", "0\r\nX: y\r\n\r\n",
	"0\r\n", "-1\r\n", "5 \r\nhello\r\n", "5\r\nhelloX\n", "5\r\nhello\r0", "G\r\n", "\n",
	"\r"};

struct delivered {
	char body[BODY_MAX_BYTES];
	size_t len;
	int heads;
};

/* What the second reader finds. */
struct reading {
	bool complete;
	int status;
	char body[BODY_MAX_BYTES];
	size_t len;
};

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check (bool holds)
{
	if (!holds)
		abort ();
}

static bool
count_head (void *user, const char *line, size_t len)
{
	struct delivered *delivered = user;
	delivered->heads += len == 2 && memcmp (line, "\r\n", 2) == 0;
	return true;
}

static bool
keep_body (void *user, const char *data, size_t len)
{
	struct delivered *delivered = user;
	if (delivered->len + len > sizeof (delivered->body))
		return false;
	memcpy (delivered->body + delivered->len, data, len);
	delivered->len += len;
	return true;
}

/* Takes a line without its end; returns false if there is no whole one. */
static bool
take_line (const char **at, const char *end, const char **line, size_t *len)
{
	const char *newline = memchr (*at, '\n', (size_t)(end - *at));
	if (!newline)
		return false;
	*line = *at;
	*len = (size_t)(newline - *at);
	if (*len > 0 && newline[-1] == '\r')
		(*len)--;
	*at = newline + 1;
	return true;
}

struct framing {
	int status;
	bool has_length;
	bool chunked;
	size_t content_len;
};

static bool
take_head (const char **at, const char *end, struct framing *framing)
{
	const char *line = NULL;
	size_t len = 0;
	memset (framing, 0, sizeof (*framing));
	if (!take_line (at, end, &line, &len) || len < 12 || memcmp (line, "HTTP/1.", 7) != 0)
		return false;
	framing->status = atoi (line + 9);
	while (take_line (at, end, &line, &len)) {
		const char *colon = memchr (line, ':', len);
		size_t name_len = colon ? (size_t)(colon - line) : 0;
		if (len == 0)
			return true;
		if (name_len == 14 && strncasecmp (line, "Content-Length", 14) == 0) {
			framing->has_length = true;
			framing->content_len = strtoul (colon + 1, NULL, 10);
		}
		framing->chunked =
			framing->chunked ||
			(name_len == 17 && strncasecmp (line, "Transfer-Encoding", 17) == 0);
	}
	return false;
}

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
take_chunks (const char *at, const char *end, struct reading *reading)
{
	const char *line = NULL;
	size_t len = 0;
	while (take_line (&at, end, &line, &len)) {
		size_t chunk_len = strtoul (line, NULL, 16);
		if (chunk_len == 0) {
			while (take_line (&at, end, &line, &len)) {
				if (len == 0)
					return true;
			}
			return false;
		}
		if (!take_bytes (&at, end, chunk_len, reading) ||
			!take_line (&at, end, &line, &len) || len != 0)
			return false;
	}
	return false;
}

/* Reads the final response, trusting that each line is well formed. */
static void
read_response (
	const char *at, const char *end, bool closed, bool head_only, struct reading *reading)
{
	struct framing framing;
	memset (reading, 0, sizeof (*reading));
	do {
		if (!take_head (&at, end, &framing))
			return;
	} while (framing.status < 200);
	reading->status = framing.status;
	if (head_only || framing.status == 204 || framing.status == 304)
		reading->complete = true;
	else if (framing.chunked)
		reading->complete = take_chunks (at, end, reading);
	else if (framing.has_length)
		reading->complete = take_bytes (&at, end, framing.content_len, reading);
	else
		reading->complete = closed && take_bytes (&at, end, (size_t)(end - at), reading);
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
	ADD_PIECE (stream, input, heads);
	for (int i = 0; i < count; i++) {
		uint32_t kind = input_below (input, 16);
		char byte = (char)input_below (input, 256);
		if (kind == 0)
			buf_add (stream, &byte, 1);
		else if (kind < 3)
			ADD_PIECE (stream, input, heads);
		else if (kind < 8)
			ADD_PIECE (stream, input, lines);
		else
			ADD_PIECE (stream, input, bodies);
	}
	/* Cut off, in a few. */
	if (input_below (input, 4) == 0 && stream->len > 0)
		stream->len = input_below (input, (uint32_t)stream->len);
}

/* Parses in parts; returns the last state and the number of bytes that belong to the response. */
static enum response_state
parse (const struct buf *stream, struct input *input, bool closed, bool head_only,
	struct delivered *delivered, int *status, size_t *end)
{
	static const struct response_hooks hooks = {count_head, keep_body};
	struct response_parser parser;
	enum response_state state = RESPONSE_PARTIAL;
	size_t at = 0;
	memset (delivered, 0, sizeof (*delivered));
	response_init (&parser, head_only, &hooks, delivered);
	while (state == RESPONSE_PARTIAL && at < stream->len) {
		size_t part = input ? 1 + input_below (input, 64) : stream->len;
		size_t used = 0;
		if (part > stream->len - at)
			part = stream->len - at;
		state = response_parse (&parser, stream->data + at, part, &used);
		check (used <= part);
		check (state != RESPONSE_PARTIAL || used == part);
		at += used;
	}
	if (state == RESPONSE_PARTIAL && closed) {
		size_t used = 0;
		state = response_parse (&parser, "", 0, &used);
		check (state != RESPONSE_PARTIAL);
	}
	*status = parser.status;
	*end = at;
	response_finish (&parser);
	return state;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	static struct delivered whole;
	static struct delivered parts;
	static struct reading reading;
	struct input input = {data, size};
	struct buf stream;
	int whole_status = 0;
	int status = 0;
	size_t whole_end = 0;
	size_t end = 0;
	bool closed = input_below (&input, 2);
	bool head_only = input_below (&input, 8) == 0;
	make_stream (&stream, &input);
	if (stream.len == 0) {
		buf_finish (&stream);
		return 0;
	}
	enum response_state whole_state =
		parse (&stream, NULL, closed, head_only, &whole, &whole_status, &whole_end);
	enum response_state state =
		parse (&stream, &input, closed, head_only, &parts, &status, &end);
	check (state == whole_state);
	if (state == RESPONSE_COMPLETE) {
		check (end == whole_end && status == whole_status);
		check (parts.len == whole.len && memcmp (parts.body, whole.body, parts.len) == 0);
		check (parts.heads == 1);
		read_response (stream.data, stream.data + stream.len, closed, head_only, &reading);
		check (reading.complete && reading.status == status);
		check (reading.len == parts.len &&
			memcmp (reading.body, parts.body, parts.len) == 0);
	}
	buf_finish (&stream);
	return 0;
}
