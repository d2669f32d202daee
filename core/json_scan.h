/**
 * @file json_scan.h
 * Finds the parts of a JSON text without decoding them. No I/O.
 *
 * For text of other programs in which one part may be broken, nested very deeply or hold numbers
 * that do not fit: its extent is found all the same, so that the other parts can be used. Only the
 * syntax is checked, not the encoding of strings or the size of numbers.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/** Returns the first byte at or after @p at that is not white space. */
const char *
json_skip_space (const char *at, const char *end);

/** Returns the end of the value that begins at @p at; NULL if there is none. */
const char *
json_skip_value (const char *at, const char *end);

/** One member of an object. */
struct json_member {
	const char *key; /**< with its quotes */
	size_t key_len;
	const char *value;
	size_t value_len;
};

/**
 * Reads the key of a member of an object, and the comma before it unless it is the first.
 * @param at a position after the opening brace or the previous member; moved to the value
 * @return false at the closing brace, to which @p at then points, or at a syntax error (NULL)
 */
bool
json_next_key (const char **at, const char *end, bool is_first, struct json_member *member);

/** Like json_next_key, but also reads the value and moves @p at behind it. */
bool
json_next_member (const char **at, const char *end, bool is_first, struct json_member *member);

/** True if a member's key is @p name; escapes in keys are not decoded. */
bool
json_member_is (const struct json_member *member, const char *name);
