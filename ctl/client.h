/**
 * @file client.h
 * Calls to the operators' endpoints: it tries one node after the other and resends changes.
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
	int node; /**< the one that answered last */
	char key[256];
	bool quiet; /**< says nothing about nodes that cannot be reached */
};

/** Takes comma-separated addresses and the key. */
bool
client_init (struct client *client, const char *nodes, const char *key, struct error *error);

/**
 * Calls each node in turn until one answers.
 * @param body JSON text, or NULL.
 * @return the HTTP status, or 0 with ERROR_UNAVAILABLE when none answers.
 */
long
client_call (struct client *client, const char *method, const char *path, const char *body,
	struct buf *reply, struct error *error);

/** Like client_call, and parses the reply; NULL with an error unless the status is 200. */
json_t *
client_get (struct client *client, const char *path, struct error *error);

/**
 * Applies a change and resends it with the same change id while the answer is lost.
 * @return the HTTP status, or 0 when nobody confirmed it.
 */
long
client_change (struct client *client, const char *method, const char *kind, const char *name,
	json_t *body, struct buf *reply, struct error *error);
