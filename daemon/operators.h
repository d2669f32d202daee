/**
 * @file operators.h
 * The operators' HTTP server: resources, watch, status, dump and metrics.
 */
#pragma once

#include "daemon/http.h"

/** Starts the server; NULL with an error when the address cannot be had. */
struct mg_context *
operators_start (struct node *node, struct error *error);

/** Appends the whole state of the process as JSON, without secrets. */
void
operators_dump (struct node *node, struct buf *out);
