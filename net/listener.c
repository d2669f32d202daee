#include "net/listener.h"

#include "core/buf.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static bool
parse_address (const char *address, struct sockaddr_in *out)
{
	char host[64];
	const char *colon = strrchr (address, ':');
	size_t len = colon ? (size_t)(colon - address) : 0;
	if (!colon || len >= sizeof (host))
		return false;
	memcpy (host, address, len);
	host[len] = '\0';
	memset (out, 0, sizeof (*out));
	out->sin_family = AF_INET;
	out->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
	return inet_pton (AF_INET, host, &out->sin_addr) == 1;
}

bool
listener_error (const char *setting, const char *address, int code, struct error *error)
{
	if (code == EADDRINUSE)
		return error_set (error, ERROR_IO,
			"%s %s is in use by another process; end that process or correct the "
			"setting (%s)",
			setting, address, strerror (code));
	return error_set (error, ERROR_IO, "cannot listen on %s %s; correct the setting (%s)",
		setting, address, strerror (code));
}

bool
listener_bind (
	struct listener *listener, const char *setting, const char *address, struct error *error)
{
	struct sockaddr_in socket_address;
	int on = 1;
	listener->setting = setting;
	str_copy (listener->address, sizeof (listener->address), address);
	listener->fd = -1;
	if (!parse_address (address, &socket_address))
		return error_set (error, ERROR_CONFIG,
			"%s %s is not an IP:port address; correct the setting", setting, address);
	listener->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (listener->fd < 0)
		return error_set (error, ERROR_IO, "no free file descriptor; raise the limit");
	/* Not SO_REUSEPORT, with which the kernel divides connections among processes. */
	setsockopt (listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof (on));
	if (bind (listener->fd, (struct sockaddr *)&socket_address, sizeof (socket_address)) == 0)
		return true;
	listener_error (setting, address, errno, error);
	listener_close (listener);
	return false;
}

bool
listener_open (const struct listener *listener, struct error *error)
{
	if (listen (listener->fd, SOMAXCONN) == 0)
		return true;
	return listener_error (listener->setting, listener->address, errno, error);
}

void
listener_close (struct listener *listener)
{
	if (listener->fd >= 0)
		close (listener->fd);
	listener->fd = -1;
}

bool
listener_check (const char *setting, const char *address, struct error *error)
{
	struct listener listener;
	/* The libraries also take IPv6 addresses. */
	if (address[0] == '[')
		return true;
	bool is_free = listener_bind (&listener, setting, address, error);
	listener_close (&listener);
	return is_free;
}
