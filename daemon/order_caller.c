#include "daemon/order_caller.h"

#include "core/buf.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>

void
order_caller_notify (void *clock, struct MHD_Connection *connection, void **context,
	enum MHD_ConnectionNotificationCode code)
{
	(void)connection;
	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		free (*context);
		*context = NULL;
		return;
	}
	int64_t *opened_us = xcalloc (1, sizeof (*opened_us));
	*opened_us = clock_now_us (clock);
	*context = opened_us;
}

bool
order_caller_is_late (int64_t opened_us, int64_t now_us)
{
	return now_us >= opened_us + ORDER_CALLER_WAITS_US;
}

static bool
is_closed (int fd)
{
	char byte = 0;
	struct pollfd pollfd = {.fd = fd, .events = POLLIN | POLLRDHUP};
	if (poll (&pollfd, 1, 0) > 0 && pollfd.revents & (POLLRDHUP | POLLHUP | POLLERR))
		return true;
	ssize_t n = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool
order_caller_has_left (struct MHD_Connection *connection, struct clock *clock)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	const int64_t *opened_us = info ? info->socket_context : NULL;
	if (!opened_us || order_caller_is_late (*opened_us, clock_now_us (clock)))
		return true;
	info = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	return !info || is_closed (info->connect_fd);
}
