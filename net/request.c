#include "net/request.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
	LENGTH_MAX_DIGITS = 18,
	CHUNK_MAX_DIGITS = 12, /* leading zeros included */
	CHUNK_LINE_MAX_BYTES = 4096,
	CHUNK_OVERHEAD_MAX = 8, /* bytes that frame one byte of the body, in the shortest chunks */
	EMPTY_LINES_MAX_BYTES = 8,
	HEADERS_STEP = 16,
	STATUS_BAD = 400,
	STATUS_URI_TOO_LONG = 414,
	STATUS_HEADERS_TOO_LARGE = 431,
	STATUS_NOT_IMPLEMENTED = 501,
	STATUS_VERSION = 505,
};

void
request_init (struct request_parser *parser, const struct request_limits *limits,
	void (*on_body) (void *user, const char *data, size_t len), void *user)
{
	memset (parser, 0, sizeof (*parser));
	parser->limits = *limits;
	parser->on_body = on_body;
	parser->user = user;
	buf_init (&parser->head);
	buf_init (&parser->chunk_line);
}

void
request_drop_head (struct request_parser *parser)
{
	buf_finish (&parser->head);
	buf_init (&parser->head);
	free (parser->headers);
	parser->headers = NULL;
	parser->header_count = 0;
	parser->method = parser->uri = NULL;
}

void
request_finish (struct request_parser *parser)
{
	request_drop_head (parser);
	buf_finish (&parser->chunk_line);
}

size_t
request_memory (const struct request_parser *parser)
{
	/* Headers are allocated in steps, so that this may be a little less. */
	return parser->head.cap + parser->chunk_line.cap +
	       (size_t)parser->header_count * sizeof (*parser->headers);
}

static enum request_state
refuse (struct request_parser *parser, int status, const char *reason)
{
	parser->status = status;
	parser->reason = reason;
	parser->part = REQUEST_PART_DONE;
	return REQUEST_REFUSED;
}

/* Characters of methods and header names. */
static bool
is_token_char (char c)
{
	static const char marks[] = "!#$%&'*+-.^_`|~";
	return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	       (c != '\0' && strchr (marks, c));
}

static size_t
token_length (const char *text)
{
	size_t len = 0;
	while (is_token_char (text[len]))
		len++;
	return len;
}

static bool
is_text (const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];
		if (c == 0x7f || (c < ' ' && c != '\t'))
			return false;
	}
	return true;
}

static enum request_state
parse_version (struct request_parser *parser, const char *version)
{
	if (strncmp (version, "HTTP/", 5) != 0 || strlen (version) != 8 || version[6] != '.' ||
		version[5] < '0' || version[5] > '9' || version[7] < '0' || version[7] > '9')
		return refuse (parser, STATUS_BAD, "malformed request line");
	if (version[5] != '1')
		return refuse (parser, STATUS_VERSION, "version of HTTP");
	parser->old_version = version[7] == '0';
	parser->keep_alive = !parser->old_version;
	return REQUEST_PARTIAL;
}

static enum request_state
parse_request_line (struct request_parser *parser, char *line, size_t len)
{
	size_t method_len = token_length (line);
	if (!is_text (line, len) || memchr (line, '\t', len) || method_len == 0 ||
		line[method_len] != ' ')
		return refuse (parser, STATUS_BAD, "malformed request line");
	if (method_len >= REQUEST_METHOD_SIZE)
		return refuse (parser, STATUS_BAD, "method too long");
	parser->method = line;
	line[method_len] = '\0';
	parser->uri = line + method_len + 1;
	char *space = strchr (parser->uri, ' ');
	if (!space || space == parser->uri)
		return refuse (parser, STATUS_BAD, "malformed request line");
	*space = '\0';
	return parse_version (parser, space + 1);
}

static void
add_header (struct request_parser *parser, const char *name, const char *value)
{
	if (parser->header_count % HEADERS_STEP == 0)
		parser->headers = xrealloc (parser->headers,
			(size_t)(parser->header_count + HEADERS_STEP) * sizeof (*parser->headers));
	parser->headers[parser->header_count++] = (struct request_header){name, value};
}

static enum request_state
parse_header_line (struct request_parser *parser, char *line, size_t len)
{
	size_t name_len = token_length (line);
	/* A line that begins with white space continues the one before, which is obsolete. */
	if (name_len == 0 || line[name_len] != ':' || !is_text (line, len))
		return refuse (parser, STATUS_BAD, "malformed header line");
	char *value = line + name_len + 1;
	char *end = line + len;
	line[name_len] = '\0';
	while (value < end && (*value == ' ' || *value == '\t'))
		value++;
	while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
		end--;
	*end = '\0';
	add_header (parser, line, value);
	return REQUEST_PARTIAL;
}

static bool
decode_length (const char *value, uint64_t *length)
{
	size_t digits = strspn (value, "0123456789");
	if (digits == 0 || value[digits] != '\0' || digits > LENGTH_MAX_DIGITS)
		return false;
	*length = strtoull (value, NULL, 10);
	return true;
}

/* What the headers say about the framing of the request and the connection. */
struct framing {
	int hosts;
	bool has_length;
	uint64_t length;
	int codings;
};

/* Whether a list, such as the value of Connection, contains a word. */
static bool
list_has (const char *list, const char *word)
{
	size_t word_len = strlen (word);
	while (*list) {
		list += strspn (list, ", \t");
		size_t len = strcspn (list, ", \t");
		if (len == word_len && strncasecmp (list, word, len) == 0)
			return true;
		list += len;
	}
	return false;
}

static enum request_state
read_framing (
	struct request_parser *parser, const struct request_header *header, struct framing *framing)
{
	const char *value = header->value;
	if (strcasecmp (header->name, "Host") == 0) {
		framing->hosts++;
	} else if (strcasecmp (header->name, "Content-Length") == 0) {
		uint64_t length = 0;
		if (!decode_length (value, &length))
			return refuse (parser, STATUS_BAD, "malformed length");
		if (framing->has_length && length != framing->length)
			return refuse (parser, STATUS_BAD, "two lengths");
		framing->has_length = true;
		framing->length = length;
	} else if (strcasecmp (header->name, "Transfer-Encoding") == 0) {
		framing->codings++;
		if (strcasecmp (value, "chunked") != 0)
			return refuse (parser, STATUS_NOT_IMPLEMENTED, "unknown transfer coding");
	} else if (strcasecmp (header->name, "Connection") == 0) {
		if (list_has (value, "close"))
			parser->keep_alive = false;
		else if (parser->old_version && list_has (value, "keep-alive"))
			parser->keep_alive = true;
	} else if (strcasecmp (header->name, "Expect") == 0) {
		parser->expects_continue =
			!parser->old_version && strcasecmp (value, "100-continue") == 0;
	}
	return REQUEST_PARTIAL;
}

static enum request_state
check_framing (struct request_parser *parser)
{
	struct framing framing = {0};
	for (int i = 0; i < parser->header_count; i++) {
		if (read_framing (parser, &parser->headers[i], &framing) == REQUEST_REFUSED)
			return REQUEST_REFUSED;
	}
	if (framing.hosts > 1 || (framing.hosts == 0 && !parser->old_version))
		return refuse (parser, STATUS_BAD, "not one Host");
	if (framing.codings > 1 || (framing.codings > 0 && framing.has_length))
		return refuse (parser, STATUS_BAD, "length beside a transfer coding");
	if (framing.codings > 0 && parser->old_version)
		return refuse (parser, STATUS_BAD, "transfer coding in HTTP/1.0");
	parser->chunked = framing.codings > 0;
	parser->left = framing.length;
	return REQUEST_PARTIAL;
}

/* Reads the lines of a head, each of which ends with CRLF. */
static enum request_state
parse_head (struct request_parser *parser)
{
	char *line = parser->head.data;
	char *end = line + parser->head.len;
	while (line < end) {
		char *next = (char *)memchr (line, '\n', (size_t)(end - line)) + 1;
		size_t len = (size_t)(next - line) - 2;
		line[len] = '\0';
		enum request_state state = REQUEST_PARTIAL;
		if (!parser->method && len > 0)
			state = parse_request_line (parser, line, len);
		else if (len > 0)
			state = parse_header_line (parser, line, len);
		if (state == REQUEST_REFUSED)
			return state;
		line = next;
	}
	if (check_framing (parser) == REQUEST_REFUSED)
		return REQUEST_REFUSED;
	if (parser->chunked)
		parser->part = REQUEST_PART_CHUNK_SIZE;
	else
		parser->part = parser->left > 0 ? REQUEST_PART_SIZED_BODY : REQUEST_PART_DONE;
	return parser->part == REQUEST_PART_DONE ? REQUEST_COMPLETE : REQUEST_HEAD;
}

/* Whether what was received of the head exceeds a limit. */
static bool
is_head_too_large (struct request_parser *parser)
{
	size_t len = parser->head.len;
	if (parser->headers_start == 0) {
		if (len <= parser->limits.line_bytes)
			return false;
		refuse (parser, STATUS_URI_TOO_LONG, "request line too long");
		return true;
	}
	if (len - parser->headers_start <= parser->limits.header_bytes)
		return false;
	refuse (parser, STATUS_HEADERS_TOO_LARGE, "headers too large");
	return true;
}

/* Handles the end of a line of the head; sets @p complete at the empty line behind the headers. */
static enum request_state
end_head_line (struct request_parser *parser, bool *complete)
{
	size_t len = parser->head.len - parser->line_start;
	if (len < 2 || parser->head.data[parser->head.len - 2] != '\r')
		return refuse (parser, STATUS_BAD, "line end without a carriage return");
	/* A NUL would end the line for those who read it as a string. */
	if (memchr (parser->head.data + parser->line_start, '\0', len))
		return refuse (parser, STATUS_BAD, "NUL in a line");
	bool is_empty = len == 2;
	parser->line_start = parser->head.len;
	if (parser->headers_start > 0) {
		*complete = is_empty;
	} else if (!is_empty) {
		parser->headers_start = parser->head.len;
	} else if (parser->head.len > EMPTY_LINES_MAX_BYTES) {
		return refuse (parser, STATUS_BAD, "empty lines");
	}
	return REQUEST_PARTIAL;
}

static enum request_state
receive_head (struct request_parser *parser, const char *data, size_t len, size_t *used)
{
	size_t at = 0;
	while (at < len) {
		const char *end = memchr (data + at, '\n', len - at);
		size_t part = end ? (size_t)(end + 1 - data) - at : len - at;
		bool complete = false;
		buf_add (&parser->head, data + at, part);
		at += part;
		*used = at;
		if (is_head_too_large (parser) ||
			(end && end_head_line (parser, &complete) == REQUEST_REFUSED))
			return REQUEST_REFUSED;
		if (complete)
			return parse_head (parser);
	}
	return REQUEST_PARTIAL;
}

static size_t
receive_body (struct request_parser *parser, const char *data, size_t len)
{
	size_t part = len < parser->left ? len : (size_t)parser->left;
	parser->on_body (parser->user, data, part);
	parser->left -= part;
	parser->body_bytes += part;
	return part;
}

static int
hex_digit (char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

/* Reads the size of a chunk, which an extension may follow. */
static enum request_state
parse_chunk_size (struct request_parser *parser, const char *line, size_t len)
{
	size_t digits = 0;
	parser->left = 0;
	for (; digits < len && hex_digit (line[digits]) >= 0; digits++) {
		if (digits == CHUNK_MAX_DIGITS)
			return refuse (parser, STATUS_BAD, "chunk size");
		parser->left = parser->left * 16 + (uint64_t)hex_digit (line[digits]);
	}
	size_t rest = digits + strspn (line + digits, " \t");
	if (digits == 0 || (rest < len && line[rest] != ';') || !is_text (line, len))
		return refuse (parser, STATUS_BAD, "chunk size");
	parser->part = parser->left > 0 ? REQUEST_PART_CHUNK_DATA : REQUEST_PART_TRAILERS;
	return REQUEST_PARTIAL;
}

/* Handles a line of the framing of a chunked body, without its end. */
static enum request_state
end_chunk_line (struct request_parser *parser, const char *line, size_t len)
{
	switch (parser->part) {
	case REQUEST_PART_CHUNK_SIZE:
		return parse_chunk_size (parser, line, len);
	case REQUEST_PART_CHUNK_END:
		if (len > 0)
			return refuse (parser, STATUS_BAD, "chunk longer than its size");
		parser->part = REQUEST_PART_CHUNK_SIZE;
		return REQUEST_PARTIAL;
	case REQUEST_PART_TRAILERS:
		if (!is_text (line, len))
			return refuse (parser, STATUS_BAD, "malformed trailer");
		if (len > 0)
			return REQUEST_PARTIAL;
		parser->part = REQUEST_PART_DONE;
		return REQUEST_COMPLETE;
	default:
		return REQUEST_PARTIAL;
	}
}

/* Receives a line of the framing of a chunked body. */
static enum request_state
receive_chunk_line (struct request_parser *parser, const char *data, size_t len, size_t *used)
{
	struct buf *line = &parser->chunk_line;
	const char *end = memchr (data, '\n', len);
	size_t part = end ? (size_t)(end + 1 - data) : len;
	buf_add (line, data, part);
	*used += part;
	parser->overhead += part;
	if (line->len > CHUNK_LINE_MAX_BYTES ||
		parser->overhead >
			REQUEST_OVERHEAD_MAX_BYTES + parser->body_bytes * CHUNK_OVERHEAD_MAX)
		return refuse (parser, STATUS_BAD, "too many bytes between chunks");
	if (!end)
		return REQUEST_PARTIAL;
	if (line->len < 2 || line->data[line->len - 2] != '\r')
		return refuse (parser, STATUS_BAD, "line end without a carriage return");
	size_t line_len = line->len - 2;
	line->data[line_len] = '\0';
	enum request_state state = end_chunk_line (parser, line->data, line_len);
	buf_reset (line);
	return state;
}

enum request_state
request_parse (struct request_parser *parser, const char *data, size_t len, size_t *used)
{
	*used = 0;
	if (parser->part == REQUEST_PART_HEAD)
		return receive_head (parser, data, len, used);
	while (*used < len) {
		enum request_state state = REQUEST_PARTIAL;
		switch (parser->part) {
		case REQUEST_PART_SIZED_BODY:
			*used += receive_body (parser, data + *used, len - *used);
			if (parser->left == 0) {
				parser->part = REQUEST_PART_DONE;
				return REQUEST_COMPLETE;
			}
			break;
		case REQUEST_PART_CHUNK_DATA:
			*used += receive_body (parser, data + *used, len - *used);
			if (parser->left == 0)
				parser->part = REQUEST_PART_CHUNK_END;
			break;
		case REQUEST_PART_CHUNK_SIZE:
		case REQUEST_PART_CHUNK_END:
		case REQUEST_PART_TRAILERS:
			state = receive_chunk_line (parser, data + *used, len - *used, used);
			break;
		case REQUEST_PART_HEAD:
		case REQUEST_PART_DONE:
			return REQUEST_COMPLETE;
		}
		if (state != REQUEST_PARTIAL)
			return state;
	}
	return REQUEST_PARTIAL;
}
