#include "net/response.h"

#include "core/clock.h"
#include "core/http_status.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
	LINE_MAX_BYTES = 16384,
	LENGTH_MAX_DIGITS = 18,
	CHUNK_MAX_DIGITS = 12, /* leading zeros included */
	OVERHEAD_MAX_BYTES = 131072,
	CHUNK_OVERHEAD_MAX = 8, /* bytes that frame one byte of the body, in the shortest chunks */
};

void
response_init (struct response_parser *parser, bool head_only, const struct response_hooks *hooks,
	void *user)
{
	memset (parser, 0, sizeof (*parser));
	http_parser_init (&parser->http, HTTP_RESPONSE);
	parser->http.data = parser;
	parser->hooks = hooks;
	parser->user = user;
	parser->head_only = head_only;
	parser->keep_alive_us = -1;
	buf_init (&parser->line);
}

void
response_finish (struct response_parser *parser)
{
	buf_finish (&parser->line);
}

/** A header line, split; not terminated. */
struct header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
};

static bool
is_blank (char c)
{
	return c == ' ' || c == '\t';
}

/* The parser's hooks write each line as "Name: value", without its line end. */
static struct header
split_line (const struct buf *line)
{
	const char *colon = memchr (line->data, ':', line->len);
	struct header header = {.name = line->data, .name_len = line->len, .value = ""};
	if (!colon)
		return header;
	header.name_len = (size_t)(colon - line->data);
	header.value = colon + 2;
	header.value_len = line->len - header.name_len - 2;
	while (header.value_len > 0 && is_blank (header.value[header.value_len - 1]))
		header.value_len--;
	return header;
}

static bool
is_named (const struct header *header, const char *name)
{
	return header->name_len == strlen (name) &&
	       strncasecmp (header->name, name, header->name_len) == 0;
}

static bool
is_length (const struct header *header)
{
	for (size_t i = 0; i < header->value_len; i++) {
		if (header->value[i] < '0' || header->value[i] > '9')
			return false;
	}
	return header->value_len > 0 && header->value_len <= LENGTH_MAX_DIGITS;
}

/* Whether a line is valid and frames the response in the only ways that a target may use. */
static bool
check_framing (struct response_parser *parser, const struct header *header)
{
	bool is_name = !memchr (header->name, ' ', header->name_len) &&
		       !memchr (header->name, '\t', header->name_len);
	if (!is_name || memchr (header->value, '\0', header->value_len))
		return false;
	if (is_named (header, "Content-Length")) {
		if (parser->has_length || !is_length (header))
			return false;
		parser->has_length = true;
	} else if (is_named (header, "Transfer-Encoding")) {
		bool is_chunked = header->value_len == strlen ("chunked") &&
				  strncasecmp (header->value, "chunked", header->value_len) == 0;
		if (parser->has_coding || !is_chunked)
			return false;
		parser->has_coding = true;
	}
	return true;
}

static void
parse_keep_alive (struct response_parser *parser, const struct header *header)
{
	const char *timeout =
		is_named (header, "Keep-Alive") ? strstr (header->value, "timeout=") : NULL;
	if (timeout)
		parser->keep_alive_us = strtol (timeout + 8, NULL, 10) * US_PER_S;
}

static bool
is_interim (const struct response_parser *parser)
{
	return parser->http.status_code < 200;
}

static bool
is_digit (char c)
{
	return c >= '0' && c <= '9';
}

/* http_parser also accepts codes of fewer or more than three digits, and others than 100 to 599. */
static bool
is_status_valid (const struct response_parser *parser)
{
	const char *start = parser->start;
	bool is_line = parser->start_len == sizeof (parser->start) && start[8] == ' ' &&
		       is_digit (start[9]) && is_digit (start[10]) && is_digit (start[11]) &&
		       !is_digit (start[12]);
	return is_line && http_status_is_valid (parser->http.status_code);
}

/* Returns 0 or, to stop http_parser, 1. */
static int
finish_line (struct response_parser *parser)
{
	if (parser->line.len == 0)
		return 0;
	struct header header = split_line (&parser->line);
	bool accepted = is_status_valid (parser) && check_framing (parser, &header);
	if (accepted && !is_interim (parser)) {
		parse_keep_alive (parser, &header);
		accepted = parser->hooks->line (parser->user, parser->line.data, parser->line.len);
	}
	buf_reset (&parser->line);
	return accepted ? 0 : 1;
}

/* An interim response has no body, and "101 Switching Protocols" was not asked for. */
static bool
check_head (const struct response_parser *parser)
{
	const http_parser *http = &parser->http;
	if (http->http_major != 1 || !is_status_valid (parser))
		return false;
	if (parser->has_length && parser->has_coding)
		return false;
	if (is_interim (parser))
		return http->status_code != 101 && !parser->has_length && !parser->has_coding;
	if (http->status_code == 204)
		return !parser->has_coding && (!parser->has_length || http->content_length == 0);
	return true;
}

static int
on_header_field (http_parser *http, const char *at, size_t len)
{
	struct response_parser *parser = http->data;
	if (parser->in_value && finish_line (parser) != 0)
		return 1;
	parser->in_value = false;
	buf_add (&parser->line, at, len);
	return parser->line.len > LINE_MAX_BYTES;
}

static int
on_header_value (http_parser *http, const char *at, size_t len)
{
	struct response_parser *parser = http->data;
	if (!parser->in_value)
		buf_add (&parser->line, ": ", 2);
	parser->in_value = true;
	buf_add (&parser->line, at, len);
	return parser->line.len > LINE_MAX_BYTES;
}

/* Decides how the body of the final response ends. */
static void
begin_body (struct response_parser *parser)
{
	const http_parser *http = &parser->http;
	parser->closing = !http_should_keep_alive (http);
	if (parser->head_only || parser->status == 204 || parser->status == 304) {
		parser->complete = true;
	} else if (parser->has_coding) {
		parser->part = RESPONSE_CHUNK_SIZE;
	} else if (parser->has_length) {
		parser->part = RESPONSE_SIZED_BODY;
		parser->left = http->content_length;
		parser->complete = parser->left == 0;
	} else {
		parser->part = RESPONSE_BODY_UNTIL_CLOSE;
		parser->closing = true;
	}
}

static int
on_headers (http_parser *http)
{
	struct response_parser *parser = http->data;
	if (finish_line (parser) != 0)
		return -1;
	parser->in_value = false;
	if (!check_head (parser))
		return -1;
	if (is_interim (parser))
		return 0;
	parser->status = http->status_code;
	/* Tells http_parser that no body follows. */
	return parser->hooks->line (parser->user, "\r\n", 2) ? 1 : -1;
}

/* http_parser skips line ends before a response, which belong to no request. */
static int
on_begin (http_parser *http)
{
	struct response_parser *parser = http->data;
	parser->in_message = true;
	return 0;
}

/* Called at the end of a head. */
static int
on_complete (http_parser *http)
{
	struct response_parser *parser = http->data;
	parser->in_message = false;
	if (!is_interim (parser))
		begin_body (parser);
	http_parser_pause (http, 1);
	return 0;
}

static bool
has_too_much_overhead (const struct response_parser *parser)
{
	size_t overhead = parser->received - parser->body_bytes;
	return overhead > OVERHEAD_MAX_BYTES + parser->body_bytes * CHUNK_OVERHEAD_MAX;
}

/* A carriage return ends a line only together with a line feed. */
static bool
check_line_ends (struct response_parser *parser, const char *data, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (parser->after_cr && data[i] != '\n')
			return false;
		parser->after_cr = data[i] == '\r';
	}
	return true;
}

/* Each function parses some bytes, at least one, and returns their number; 0: they are invalid. */

static void
keep_start (struct response_parser *parser, const char *data, size_t len)
{
	size_t room = sizeof (parser->start) - parser->start_len;
	size_t n = len < room ? len : room;
	memcpy (parser->start + parser->start_len, data, n);
	parser->start_len += n;
}

/* At most a line, so that no byte behind the head is given to http_parser. */
static size_t
parse_head (struct response_parser *parser, const char *data, size_t len)
{
	static const http_parser_settings settings = {
		.on_message_begin = on_begin,
		.on_header_field = on_header_field,
		.on_header_value = on_header_value,
		.on_headers_complete = on_headers,
		.on_message_complete = on_complete,
	};
	const char *newline = memchr (data, '\n', len);
	size_t line_len = newline ? (size_t)(newline - data) + 1 : len;
	if ((!parser->in_message && data[0] != 'H') || !check_line_ends (parser, data, line_len))
		return 0;
	if (!parser->in_message)
		parser->start_len = 0;
	keep_start (parser, data, line_len);
	size_t n = http_parser_execute (&parser->http, &settings, data, line_len);
	bool paused = HTTP_PARSER_ERRNO (&parser->http) == HPE_PAUSED;
	if (paused)
		http_parser_pause (&parser->http, 0);
	return n == line_len && (paused || HTTP_PARSER_ERRNO (&parser->http) == HPE_OK) ? n : 0;
}

static size_t
parse_data (struct response_parser *parser, const char *data, size_t len)
{
	bool is_sized = parser->part != RESPONSE_BODY_UNTIL_CLOSE;
	size_t n = is_sized && len > parser->left ? (size_t)parser->left : len;
	if (!parser->hooks->body (parser->user, data, n))
		return 0;
	parser->body_bytes += n;
	parser->left -= is_sized ? n : 0;
	if (is_sized && parser->left == 0) {
		parser->complete = parser->part == RESPONSE_SIZED_BODY;
		parser->part = RESPONSE_CHUNK_DATA_END;
	}
	return n;
}

static int
hex_digit (char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c |= 0x20;
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static size_t
parse_chunk_size (struct response_parser *parser, char c)
{
	int digit = hex_digit (c);
	if (digit >= 0) {
		parser->left = parser->left * 16 + (uint64_t)digit;
		return ++parser->digits <= CHUNK_MAX_DIGITS;
	}
	if (parser->digits == 0)
		return 0;
	if (c == '\r')
		parser->part = RESPONSE_CHUNK_SIZE_END;
	else if (c == ';')
		parser->part = RESPONSE_CHUNK_EXTENSION;
	return c == '\r' || c == ';';
}

static size_t
parse_chunk_extension (struct response_parser *parser, char c)
{
	if (c == '\r')
		parser->part = RESPONSE_CHUNK_SIZE_END;
	return c == '\r' || c == '\t' || (unsigned char)c >= ' ';
}

static size_t
parse_chunk_size_end (struct response_parser *parser, char c)
{
	parser->part = parser->left > 0 ? RESPONSE_CHUNK_DATA : RESPONSE_TRAILERS;
	return c == '\n';
}

static size_t
parse_chunk_data_end (struct response_parser *parser, char c)
{
	if (!parser->after_cr) {
		parser->after_cr = true;
		return c == '\r';
	}
	parser->after_cr = false;
	parser->digits = 0;
	parser->part = RESPONSE_CHUNK_SIZE;
	return c == '\n';
}

static bool
is_trailer (const struct buf *line)
{
	const char *colon = memchr (line->data, ':', line->len);
	size_t name_len = colon ? (size_t)(colon - line->data) : 0;
	return name_len > 0 && !memchr (line->data, ' ', name_len) &&
	       !memchr (line->data, '\t', name_len);
}

/* Trailers are not delivered; an empty line ends them and the response. */
static size_t
parse_trailers (struct response_parser *parser, char c)
{
	if (parser->after_cr) {
		parser->after_cr = false;
		parser->complete = parser->line.len == 0;
		bool valid = c == '\n' && (parser->complete || is_trailer (&parser->line));
		buf_reset (&parser->line);
		return valid;
	}
	parser->after_cr = c == '\r';
	if (!parser->after_cr)
		buf_add (&parser->line, &c, 1);
	return parser->after_cr ||
	       ((c == '\t' || (unsigned char)c >= ' ') && parser->line.len <= LINE_MAX_BYTES);
}

static size_t
parse_some (struct response_parser *parser, const char *data, size_t len)
{
	switch (parser->part) {
	case RESPONSE_HEAD:
		return parse_head (parser, data, len);
	case RESPONSE_SIZED_BODY:
	case RESPONSE_BODY_UNTIL_CLOSE:
	case RESPONSE_CHUNK_DATA:
		return parse_data (parser, data, len);
	case RESPONSE_CHUNK_SIZE:
		return parse_chunk_size (parser, data[0]);
	case RESPONSE_CHUNK_EXTENSION:
		return parse_chunk_extension (parser, data[0]);
	case RESPONSE_CHUNK_SIZE_END:
		return parse_chunk_size_end (parser, data[0]);
	case RESPONSE_CHUNK_DATA_END:
		return parse_chunk_data_end (parser, data[0]);
	case RESPONSE_TRAILERS:
		return parse_trailers (parser, data[0]);
	}
	return 0;
}

enum response_state
response_parse (struct response_parser *parser, const char *data, size_t len, size_t *used)
{
	*used = 0;
	if (len == 0)
		return parser->part == RESPONSE_BODY_UNTIL_CLOSE ? RESPONSE_COMPLETE
								 : RESPONSE_INVALID;
	while (*used < len && !parser->complete) {
		size_t n = parse_some (parser, data + *used, len - *used);
		*used += n;
		parser->received += n;
		if (n == 0 || has_too_much_overhead (parser))
			return RESPONSE_INVALID;
	}
	return parser->complete ? RESPONSE_COMPLETE : RESPONSE_PARTIAL;
}
