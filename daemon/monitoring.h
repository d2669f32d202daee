/**
 * @file monitoring.h
 * The metrics page: counters, histograms, statistics of routes and the current state of this node,
 * served over HTTP.
 */
#pragma once

#include "daemon/node.h"

#include <civetweb.h>

/** Appends all metrics in the text exposition format. The thread must be RCU-registered. */
void
monitoring_export (struct node *node, struct buf *out);

/** Handles an HTTP request for the metrics page. */
int
monitoring_handle (struct mg_connection *connection, void *node);

/** Starts an HTTP server that serves only the metrics page, without authentication. */
struct mg_context *
monitoring_start (struct node *node, struct error *error);
