/**
 * @file request.h
 * Parses one HTTP/1.1 request from a stream of received bytes. No I/O.
 *
 * What decides where a request begins and ends is read strictly by RFC 9112, since a node between
 * must not read other requests than the caller sent: a request with two lengths, a length beside a
 * transfer coding, folded lines or line ends other than CRLF is refused. Memory is taken for what
 * arrives, up to limits that may differ for each request.
 */
#pragma once

#include "core/buf.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	REQUEST_METHOD_SIZE = 32, /**< a longer method is refused */
	/** Framing of the chunks and trailers of a body, beside what each byte of it may need. */
	REQUEST_OVERHEAD_MAX_BYTES = 16384,
};

enum request_state {
	REQUEST_PARTIAL,
	REQUEST_HEAD, /**< the head has just been received whole; a body follows */
	REQUEST_COMPLETE,
	REQUEST_REFUSED, /**< nothing more can be read; see request_parser.status */
};

/** What the next byte belongs to. */
enum request_part {
	REQUEST_PART_HEAD,
	REQUEST_PART_SIZED_BODY,
	REQUEST_PART_CHUNK_SIZE,
	REQUEST_PART_CHUNK_DATA,
	REQUEST_PART_CHUNK_END,
	REQUEST_PART_TRAILERS,
	REQUEST_PART_DONE,
};

struct request_limits {
	size_t line_bytes;   /**< of the request line */
	size_t header_bytes; /**< of all header lines, as received */
};

struct request_header {
	const char *name;
	const char *value; /**< without white space around it */
};

struct request_parser {
	enum request_part part;
	struct request_limits limits;
	void (*on_body) (void *user, const char *data, size_t len);
	void *user;
	struct buf head;       /**< the bytes of the head */
	struct buf chunk_line; /**< the line being received between chunks */
	size_t line_start;     /**< offset of the line being received in head */
	size_t headers_start;  /**< offset of the first header line; 0: not received yet */
	char *method;          /**< in head, as those below; valid once the head was received */
	char *uri;
	struct request_header *headers;
	int header_count;
	bool chunked;
	bool expects_continue; /**< the caller waits for an interim answer before the body */
	bool old_version;      /**< HTTP/1.0 */
	bool keep_alive;       /**< the caller may send more requests */
	uint64_t left;         /**< bytes of the body or chunk that are not received yet */
	size_t overhead;       /**< bytes of the body's framing */
	size_t body_bytes;
	int status;         /**< of the answer, if the request is refused */
	const char *reason; /**< why it is refused, for a log line */
};

void
request_init (struct request_parser *parser, const struct request_limits *limits,
	void (*on_body) (void *user, const char *data, size_t len), void *user);
void
request_finish (struct request_parser *parser);

/**
 * Parses received bytes. Stops behind the head, and behind the request.
 * @param used the number of bytes that were parsed
 */
enum request_state
request_parse (struct request_parser *parser, const char *data, size_t len, size_t *used);

/** Frees the head; method, uri and headers are not valid any more. */
void
request_drop_head (struct request_parser *parser);

/** Memory that the parser holds. */
size_t
request_memory (const struct request_parser *parser);
