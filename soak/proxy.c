#include "soak/proxy.h"

#include "core/buf.h"
#include "soak/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	BUFFER_BYTES = 65536,
	BACKLOG = 1024,
	IDLE_POLL_MS = 50,
	BUSY_POLL_MS = 2,
	ACCEPT_POLL_MS = 100,
};

/* Bytes of one direction; nothing is read while some are left. */
struct half {
	int from;
	int to;
	bool held; /* by a fault */
	bool ended;
	bool shut;
	size_t len;
	int64_t due_us;
	char data[BUFFER_BYTES];
};

struct link {
	struct proxy *proxy;
	int resets; /* of the proxy when it was opened */
	struct half in;
	struct half out;
};

static void
reset_socket (int fd)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof (linger));
}

/* Returns false if the connection was reset. */
static bool
receive (struct half *half, int delay_ms)
{
	ssize_t n = recv (half->from, half->data, sizeof (half->data), MSG_DONTWAIT);
	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	half->ended = n == 0;
	half->len = (size_t)n;
	half->due_us = http_now_us () + 1000 * (int64_t)delay_ms;
	return true;
}

static bool
forward (struct half *half)
{
	if (half->held || http_now_us () < half->due_us)
		return true;
	if (half->len > 0) {
		ssize_t n = send (half->to, half->data, half->len, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN || errno == EINTR;
		memmove (half->data, half->data + n, half->len - (size_t)n);
		half->len -= (size_t)n;
	}
	if (half->ended && half->len == 0 && !half->shut) {
		shutdown (half->to, SHUT_WR);
		half->shut = true;
	}
	return true;
}

static bool
is_waiting (const struct half *half)
{
	return half->len > 0 || (half->ended && !half->shut);
}

/* Returns false if the connection was reset. */
static bool
pump (struct link *link)
{
	struct proxy *proxy = link->proxy;
	int fault = proxy->fault;
	int delay_ms = fault == PROXY_DELAY ? proxy->delay_ms : 0;
	struct half *halves[] = {&link->in, &link->out};
	struct pollfd events[2];
	link->in.held = fault == PROXY_SILENCE || fault == PROXY_ONE_WAY_OUT;
	link->out.held = fault == PROXY_SILENCE || fault == PROXY_ONE_WAY_IN;
	bool busy = is_waiting (&link->in) || is_waiting (&link->out);
	for (int i = 0; i < 2; i++) {
		bool reads = halves[i]->len == 0 && !halves[i]->ended;
		events[i] = (struct pollfd){.fd = reads ? halves[i]->from : -1, .events = POLLIN};
	}
	poll (events, 2, busy ? BUSY_POLL_MS : IDLE_POLL_MS);
	for (int i = 0; i < 2; i++) {
		if (events[i].fd >= 0 && events[i].revents && !receive (halves[i], delay_ms))
			return false;
		if (!forward (halves[i]))
			return false;
	}
	return true;
}

static void *
run_link (void *user)
{
	struct link *link = user;
	struct proxy *proxy = link->proxy;
	bool whole = true;
	while (whole && !(link->in.shut && link->out.shut))
		whole = !proxy->stop && proxy->resets == link->resets && pump (link);
	if (!whole) {
		reset_socket (link->in.from);
		reset_socket (link->in.to);
	}
	close (link->in.from);
	close (link->in.to);
	free (link);
	proxy->links--;
	return NULL;
}

static void
open_link (struct proxy *proxy, int caller_fd)
{
	pthread_t thread;
	int node_fd = http_connect (proxy->node_port, 0);
	int one = 1;
	if (node_fd < 0) {
		reset_socket (caller_fd);
		close (caller_fd);
		return;
	}
	struct link *link = xcalloc (1, sizeof (*link));
	setsockopt (caller_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof (one));
	link->proxy = proxy;
	link->resets = proxy->resets;
	link->in.from = link->out.to = caller_fd;
	link->in.to = link->out.from = node_fd;
	proxy->links++;
	pthread_create (&thread, NULL, run_link, link);
	pthread_detach (thread);
}

static void *
run_proxy (void *user)
{
	struct proxy *proxy = user;
	struct pollfd event = {.fd = proxy->listen_fd, .events = POLLIN};
	while (!proxy->stop) {
		if (poll (&event, 1, ACCEPT_POLL_MS) <= 0)
			continue;
		int fd = accept4 (proxy->listen_fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd >= 0)
			open_link (proxy, fd);
	}
	close (proxy->listen_fd);
	proxy->links--;
	return NULL;
}

bool
proxy_start (struct proxy *proxy, int port, int node_port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons ((uint16_t)port)};
	pthread_t thread;
	int one = 1;
	address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	*proxy = (struct proxy){.node_port = node_port};
	proxy->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt (proxy->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof (one));
	if (bind (proxy->listen_fd, (const struct sockaddr *)&address, sizeof (address)) != 0 ||
		listen (proxy->listen_fd, BACKLOG) != 0) {
		close (proxy->listen_fd);
		return false;
	}
	proxy->links = 1;
	pthread_create (&thread, NULL, run_proxy, proxy);
	pthread_detach (thread);
	return true;
}

void
proxy_stop (struct proxy *proxy)
{
	proxy->stop = true;
	while (proxy->links > 0)
		http_sleep_us (1000);
}
