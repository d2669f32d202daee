#include "core/json_scan.h"

#include "core/buf.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

const char *
json_skip_space (const char *at, const char *end)
{
	while (at < end && (*at == ' ' || *at == '\t' || *at == '\n' || *at == '\r'))
		at++;
	return at;
}

static const char *
skip_string (const char *at, const char *end)
{
	for (at++; at < end; at++) {
		if (*at == '"')
			return at + 1;
		if ((unsigned char)*at < ' ')
			return NULL;
		if (*at == '\\' && ++at == end)
			return NULL;
	}
	return NULL;
}

static const char *
skip_digits (const char *at, const char *end)
{
	const char *start = at;
	while (at < end && isdigit ((unsigned char)*at))
		at++;
	return at > start ? at : NULL;
}

static const char *
skip_number (const char *at, const char *end)
{
	if (*at == '-')
		at++;
	at = skip_digits (at, end);
	if (at && at < end && *at == '.')
		at = skip_digits (at + 1, end);
	if (at && at < end && (*at == 'e' || *at == 'E')) {
		at++;
		if (at < end && (*at == '+' || *at == '-'))
			at++;
		at = skip_digits (at, end);
	}
	return at;
}

static const char *
skip_word (const char *at, const char *end)
{
	static const char *const words[] = {"true", "false", "null"};
	for (size_t i = 0; i < sizeof (words) / sizeof (words[0]); i++) {
		size_t len = strlen (words[i]);
		if ((size_t)(end - at) >= len && memcmp (at, words[i], len) == 0)
			return at + len;
	}
	return NULL;
}

static const char *
skip_scalar (const char *at, const char *end)
{
	if (at == end)
		return NULL;
	if (*at == '"')
		return skip_string (at, end);
	if (*at == '-' || isdigit ((unsigned char)*at))
		return skip_number (at, end);
	return skip_word (at, end);
}

/* Skips a key and its colon. */
static const char *
skip_key (const char *at, const char *end)
{
	at = json_skip_space (at, end);
	if (at == end || *at != '"' || !(at = skip_string (at, end)))
		return NULL;
	at = json_skip_space (at, end);
	return at < end && *at == ':' ? at + 1 : NULL;
}

/* After a value: closes what ends here and moves to the next value; NULL at a syntax error. */
static const char *
skip_ends (const char *at, const char *end, struct buf *open)
{
	while (open->len > 0) {
		char kind = open->data[open->len - 1];
		at = json_skip_space (at, end);
		if (at == end)
			return NULL;
		if (*at == ',')
			return kind == '{' ? skip_key (at + 1, end) : at + 1;
		if (*at != (kind == '{' ? '}' : ']'))
			return NULL;
		open->len--;
		at++;
	}
	return at;
}

/* Iterative, since the depth of nesting is that of the text. */
static const char *
skip_nested (const char *at, const char *end, struct buf *open)
{
	do {
		at = json_skip_space (at, end);
		if (at == end)
			return NULL;
		if (*at == '{' || *at == '[') {
			char close = *at == '{' ? '}' : ']';
			const char *next = json_skip_space (at + 1, end);
			if (next < end && *next == close) {
				at = skip_ends (next + 1, end, open);
			} else {
				buf_add (open, at, 1);
				at = close == '}' ? skip_key (at + 1, end) : at + 1;
			}
		} else {
			at = skip_scalar (at, end);
			at = at ? skip_ends (at, end, open) : NULL;
		}
	} while (at && open->len > 0);
	return at;
}

const char *
json_skip_value (const char *at, const char *end)
{
	struct buf open;
	buf_init (&open);
	at = skip_nested (at, end, &open);
	buf_finish (&open);
	return at;
}

bool
json_next_key (const char **at, const char *end, bool is_first, struct json_member *member)
{
	const char *next = json_skip_space (*at, end);
	*at = NULL;
	if (next < end && *next == '}') {
		*at = next;
		return false;
	}
	if (!is_first) {
		if (next == end || *next != ',')
			return false;
		next = json_skip_space (next + 1, end);
	}
	const char *value = skip_key (next, end);
	if (!value)
		return false;
	*member = (struct json_member){.key = next};
	member->key_len = (size_t)(skip_string (next, end) - next);
	*at = json_skip_space (value, end);
	return true;
}

bool
json_next_member (const char **at, const char *end, bool is_first, struct json_member *member)
{
	if (!json_next_key (at, end, is_first, member))
		return false;
	member->value = *at;
	*at = json_skip_value (*at, end);
	if (!*at)
		return false;
	member->value_len = (size_t)(*at - member->value);
	return true;
}

bool
json_member_is (const struct json_member *member, const char *name)
{
	size_t len = strlen (name);
	return member->key_len == len + 2 && memcmp (member->key + 1, name, len) == 0;
}
