/**
 * @file http_status.h
 * Which numbers are status codes of HTTP. For targets and nodes that send others: such a reply is
 * no answer, and its number never reaches a caller.
 */
#pragma once

#include <stdbool.h>

/** Whether a number is a status code of a final or an interim response. */
static inline bool
http_status_is_valid (long status)
{
	return status >= 100 && status <= 599;
}

/** Whether a number is a status code that may end a request. */
static inline bool
http_status_is_final (long status)
{
	return status >= 200 && status <= 599;
}
