/**
 * @file order_caller.h
 * Whether the operator who sent an order still waits for its answer.
 *
 * An operator who gets no answer in a second closes the connection and gives the order to another
 * node; newer orders may follow. If a link holds the bytes of the order up, they arrive later, and
 * the close a round trip after them. So an order that is read long after its connection was opened
 * may be an old one, although the connection is still open.
 */
#pragma once

#include "core/clock.h"

#include <microhttpd.h>
#include <stdbool.h>

/** How long after a connection was opened its order is certainly not older than newer ones. */
enum { ORDER_CALLER_WAITS_US = 800000 };

/** Notes when connections are opened; a callback for MHD_OPTION_NOTIFY_CONNECTION. */
void
order_caller_notify (void *clock, struct MHD_Connection *connection, void **context,
	enum MHD_ConnectionNotificationCode code);

/** Whether an order whose connection was opened at @p opened_us may be old, if read now. */
bool
order_caller_is_late (int64_t opened_us, int64_t now_us);

/** Whether the operator has left, or may have left, as far as is known now. */
bool
order_caller_has_left (struct MHD_Connection *connection, struct clock *clock);
