/**
 * @file operators.h
 * The operators' HTTP server: resources, watch, status, dump and metrics. Its threads read the
 * replicated state by calls on the control thread.
 */
#pragma once

#include "daemon/http.h"

/** Starts the server; NULL with an error when it cannot listen on its address. */
struct mg_context *
operators_start (struct node *node, struct error *error);

/** Appends the state of all parts of the process as JSON, without secrets. */
void
operators_dump (struct node *node, struct buf *out);
