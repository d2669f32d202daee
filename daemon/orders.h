/**
 * @file orders.h
 * The HTTP server for operators' orders: to declare or read the routing, and to take data centres
 * out of service and back. Each connection has a thread, since an order waits for its commit.
 *
 * An operator who gets no answer in a second closes the connection and sends the order to another
 * node. A node that stands still reads it later, when newer orders may have been confirmed. An
 * order about a data centre is therefore bound to the revision that this node had applied while
 * the operator was still connected, see command_data_centre_leaving.
 */
#pragma once

#include "core/error.h"
#include "daemon/node.h"

#include <microhttpd.h>

struct orders {
	struct node *node;
	struct log log;
	struct MHD_Daemon *daemon; /**< NULL: not started */
	_Atomic int in_progress;
};

/** Serves the address, which must be open; false with an error if the server cannot start. */
bool
orders_start (struct orders *orders, struct node *node, struct error *error);

/** Accepts no more connections, and stops once the orders in progress are answered. */
void
orders_stop (struct orders *orders);
