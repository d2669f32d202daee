/**
 * @file response.h
 * Parses one HTTP response from a stream of received bytes. No I/O.
 *
 * A target that fails may send any bytes. http_parser, which reads the heads, is lenient, so the
 * rules of RFC 9112 that decide where a response begins and ends are checked here, and bodies are
 * read here: a response is rejected at the first byte that a strict reader would reject. Header
 * lines of interim responses and of trailers are not delivered.
 *
 * A target may also send without end. The bytes that are not body are limited: heads of interim
 * responses, header lines, chunk sizes and their extensions, trailers.
 */
#pragma once

#include "core/buf.h"

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum response_state {
	RESPONSE_PARTIAL,
	RESPONSE_COMPLETE,
	RESPONSE_INVALID, /**< not a response, cut off, or a hook returned false */
};

/** Callbacks; each returns false to reject the response. */
struct response_hooks {
	/** Gets each header line of the final response, and "\r\n" after the last one. */
	bool (*line) (void *user, const char *line, size_t len);
	/** Gets parts of the body. */
	bool (*body) (void *user, const char *data, size_t len);
};

/** What the next byte belongs to. */
enum response_part {
	RESPONSE_HEAD,
	RESPONSE_SIZED_BODY,
	RESPONSE_BODY_UNTIL_CLOSE,
	RESPONSE_CHUNK_SIZE,
	RESPONSE_CHUNK_EXTENSION,
	RESPONSE_CHUNK_SIZE_END, /**< the line feed */
	RESPONSE_CHUNK_DATA,
	RESPONSE_CHUNK_DATA_END, /**< carriage return and line feed */
	RESPONSE_TRAILERS,
};

struct response_parser {
	http_parser http;
	enum response_part part;
	const struct response_hooks *hooks;
	void *user;
	bool head_only;
	struct buf line; /**< the header line being received */
	bool in_value;   /**< the value of the line is being received */
	bool in_message; /**< the first byte of the current response was received */
	bool has_length; /**< Content-Length was received */
	bool has_coding; /**< Transfer-Encoding was received */
	bool after_cr;   /**< the last byte was a carriage return, so a line feed follows */
	int digits;      /**< of the size of the current chunk */
	uint64_t left;   /**< bytes of the body or chunk that are not received yet */
	bool complete;
	char start[13]; /**< first bytes of the status line */
	size_t start_len;
	int status;            /**< of the response; 0: not received yet */
	bool closing;          /**< the peer will close the connection after the response */
	size_t received;       /**< bytes parsed */
	size_t body_bytes;     /**< of these, bytes of the body */
	int64_t keep_alive_us; /**< how long the peer keeps the connection; -1: unknown */
};

/**
 * Prepares the parser of a response.
 * @param head_only it has no body, whatever its headers say
 */
void
response_init (struct response_parser *parser, bool head_only, const struct response_hooks *hooks,
	void *user);
void
response_finish (struct response_parser *parser);

/**
 * Parses received bytes.
 * @param len 0: the peer has closed the connection
 * @param used the number of bytes that belong to the response
 */
enum response_state
response_parse (struct response_parser *parser, const char *data, size_t len, size_t *used);
