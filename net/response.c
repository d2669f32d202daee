#include "net/response.h"

#include "core/clock.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum { LINE_MAX_BYTES = 16384 };

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

static void
parse_keep_alive (struct response_parser *parser)
{
	static const char name[] = "Keep-Alive:";
	const char *timeout = NULL;
	if (parser->line.len >= sizeof (name) &&
		strncasecmp (parser->line.data, name, sizeof (name) - 1) == 0)
		timeout = strstr (parser->line.data, "timeout=");
	if (timeout)
		parser->keep_alive_us = strtol (timeout + 8, NULL, 10) * US_PER_S;
}

/* Returns 0 or, to stop http_parser, 1. */
static int
finish_line (struct response_parser *parser)
{
	if (parser->line.len == 0)
		return 0;
	parse_keep_alive (parser);
	bool accepted = parser->hooks->line (parser->user, parser->line.data, parser->line.len);
	buf_reset (&parser->line);
	return accepted ? 0 : 1;
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

static int
on_headers (http_parser *http)
{
	struct response_parser *parser = http->data;
	if (finish_line (parser) != 0)
		return -1;
	parser->in_value = false;
	if (http->status_code < 200)
		return 0;
	parser->status = http->status_code;
	if (!parser->hooks->line (parser->user, "\r\n", 2))
		return -1;
	return parser->head_only ? 1 : 0;
}

static int
on_body (http_parser *http, const char *at, size_t len)
{
	struct response_parser *parser = http->data;
	return parser->hooks->body (parser->user, at, len) ? 0 : 1;
}

static int
on_complete (http_parser *http)
{
	struct response_parser *parser = http->data;
	if (http->status_code < 200)
		return 0;
	parser->complete = true;
	parser->closing = !http_should_keep_alive (http);
	http_parser_pause (http, 1);
	return 0;
}

enum response_state
response_parse (struct response_parser *parser, const char *data, size_t len, size_t *used)
{
	static const http_parser_settings settings = {
		.on_header_field = on_header_field,
		.on_header_value = on_header_value,
		.on_headers_complete = on_headers,
		.on_body = on_body,
		.on_message_complete = on_complete,
	};
	*used = http_parser_execute (&parser->http, &settings, data, len);
	if (parser->complete)
		return RESPONSE_COMPLETE;
	if (HTTP_PARSER_ERRNO (&parser->http) != HPE_OK || len == 0)
		return RESPONSE_INVALID;
	return RESPONSE_PARTIAL;
}
