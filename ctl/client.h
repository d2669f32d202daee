/**
 * @file client.h
 * HTTP client of the operators' API, with blocking I/O. It tries the given nodes in turn until one
 * replies. Changes are resent under the same id, so that a change whose reply was lost is applied
 * only once.
 */
#pragma once

#include "core/buf.h"
#include "core/error.h"

#include <jansson.h>
#include <stdbool.h>

enum { CLIENT_MAX_NODES = 32 };

struct client {
	char nodes[CLIENT_MAX_NODES][64]; /**< operator addresses */
	int node_count;
	int next_node; /**< index of the node that the next call tries first */
	char key[256];
	bool quiet; /**< do not print a line for each node that cannot be reached */
};

/** @param nodes operator addresses, separated by commas or spaces. */
bool
client_init (struct client *client, const char *nodes, const char *key, struct error *error);

/**
 * Calls the nodes in turn until one replies.
 * @param body JSON text, or NULL.
 * @return the HTTP status, or 0 with ERROR_UNAVAILABLE if no node replies.
 */
long
client_call (struct client *client, const char *method, const char *path, const char *body,
	struct buf *reply, struct error *error);

/** Sends a GET request and parses the reply. @return NULL with an error unless the status is 200 */
json_t *
client_get (struct client *client, const char *path, struct error *error);

/**
 * Sends a change to a resource. Resends it under the same change id if no node replies or the
 * status is 503.
 * @return the HTTP status of the last attempt, or 0 if no node replied to it.
 */
long
client_change (struct client *client, const char *method, const char *kind, const char *name,
	json_t *body, struct buf *reply, struct error *error);
