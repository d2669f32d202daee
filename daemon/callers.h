/**
 * @file callers.h
 * The HTTP server for callers' queries, lookups and at-most-once requests. Each call passes a chain
 * of filters on an HTTP thread, which waits while a worker runs the request.
 */
#pragma once

#include "daemon/http.h"

/** Starts the server; returns NULL with an error if the address cannot be bound. */
struct mg_context *
callers_start (struct node *node, struct error *error);
