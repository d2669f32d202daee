/**
 * @file answer.h
 * Writes the head of an HTTP answer to a caller. No I/O.
 */
#pragma once

#include "core/buf.h"

#include <stdbool.h>
#include <stdint.h>

struct answer_head {
	int status;
	const struct buf
		*lines; /**< "Name: value" lines, each terminated by a line feed; or NULL */
	size_t body_len;
	bool close;       /**< the connection ends with the answer */
	bool old_version; /**< the caller speaks HTTP/1.0 */
	int64_t unix_s;   /**< for the date */
};

/** Whether an answer with this status may have a body. */
bool
answer_has_body (int status);

/** Appends the head with the empty line behind it. */
void
answer_write_head (const struct answer_head *head, struct buf *out);
