/**
 * @file http.h
 * Functions that the daemon's HTTP servers share: start, replies, bodies, paths and keys. CivetWeb
 * does the I/O on threads of its own.
 */
#pragma once

#include "core/buf.h"
#include "core/error.h"
#include "daemon/node.h"

#include <civetweb.h>
#include <jansson.h>

/** Starts a CivetWeb server whose threads are RCU-registered; NULL with an error on failure. */
struct mg_context *
http_start (
	struct node *node, const char *address, int threads, bool keep_alive, struct error *error);

/** Seconds after which a request refused with 503 may be sent again. */
#define HTTP_RETRY_AFTER_S "1"

/** The JSON text that reports an error; the caller frees it. */
char *
http_error_text (const struct error *error);

/** Sends a JSON text with an HTTP status. */
void
http_send_json (struct mg_connection *connection, int status, const char *text, size_t len);

/** Sends an error: kind, message, whether the request ran, and Retry-After with status 503. */
void
http_send_error (struct mg_connection *connection, const struct error *error);

/** Reads a body of at most @p max_bytes; false with ERROR_TOO_LARGE or ERROR_INVALID. */
bool
http_read_body (
	struct mg_connection *connection, int64_t max_bytes, struct buf *body, struct error *error);

/**
 * Splits the decoded path of a request into at most @p max segments.
 * @return their number, or -1 when there are more or one is too long.
 */
int
http_split_path (const struct mg_connection *connection, char segments[][64], int max);

/** True when the request has "Authorization: Bearer KEY"; compares in constant time. */
bool
http_authorised (const struct mg_connection *connection, const char *key);
