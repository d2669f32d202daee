/**
 * @file http.h
 * What the callers' and the operators' HTTP servers share.
 */
#pragma once

#include "core/buf.h"
#include "core/error.h"
#include "daemon/node.h"

#include <civetweb.h>
#include <jansson.h>

/** Starts a CivetWeb server whose threads are registered with RCU. */
struct mg_context *
http_start (
	struct node *node, const char *address, int threads, bool keep_alive, struct error *error);

/** Sends a JSON text with a status. */
void
http_send_json (struct mg_connection *connection, int status, const char *text, size_t len);

/** Sends an error: kind, message, whether the request ran, and Retry-After where it helps. */
void
http_send_error (struct mg_connection *connection, const struct error *error);

/** Reads a body of at most @p max bytes; false with ERROR_TOO_LARGE or ERROR_INVALID. */
bool
http_read_body (
	struct mg_connection *connection, int64_t max, struct buf *body, struct error *error);

/**
 * Splits the local path into at most @p max decoded segments.
 * @return their number, or -1 when a segment is too long or malformed.
 */
int
http_split_path (const struct mg_connection *connection, char segments[][64], int max);

/** True when the call carries "Authorization: Bearer KEY"; compares in constant time. */
bool
http_authorised (const struct mg_connection *connection, const char *key);
