/**
 * @file orders.h
 * The HTTP server for operators' orders: to declare or read the routing, and to take data centres
 * out of service and back. Each connection has a thread, since an order waits for its commit.
 *
 * An operator who gets no answer in a second closes the connection and sends the order to another
 * node. A node that stands still, or whose link is cut, reads it later, when newer orders may have
 * been confirmed. An order about a data centre is therefore bound to the revision that this node
 * had applied while the operator still waited, see command_data_centre_leaving and order_caller.h.
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
	_Atomic bool refusing; /**< a planned stop accepts no more orders */
};

/** Serves the address, which must be open; false with an error if the server cannot start. */
bool
orders_start (struct orders *orders, struct node *node, struct error *error);

/**
 * Accepts no more connections and orders, and stops once the orders in progress are answered.
 * @return false if they are not at @p until_us; the server then runs on.
 */
bool
orders_stop (struct orders *orders, int64_t until_us);
