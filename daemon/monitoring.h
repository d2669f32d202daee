/**
 * @file monitoring.h
 * The metrics page: counters, histograms, routes and the present state of this node.
 */
#pragma once

#include "daemon/node.h"

#include <civetweb.h>

/** Appends all metrics in the text exposition format. The thread is RCU-registered. */
void
monitoring_export (struct node *node, struct buf *out);

/** Answers a call of the metrics page. */
int
monitoring_handle (struct mg_connection *connection, void *node);

/** Serves metrics, and nothing else, to collectors that have no key. */
struct mg_context *
monitoring_start (struct node *node, struct error *error);
