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
	int caller_port;
	enum proxy_closer closer;
	struct half in;
	struct half out;
};

static void
reset_socket (int fd)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof (linger));
}

/* Notes who has closed or reset a connection, if it is the first to do so. */
static void
note_closer (struct link *link, int fd)
{
	if (link->closer == PROXY_CLOSED_UNKNOWN)
		link->closer = fd == link->out.from ? PROXY_CLOSED_BY_NODE : PROXY_CLOSED_BY_CALLER;
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
		bool reads = events[i].fd >= 0 && events[i].revents;
		bool open = !reads || receive (halves[i], delay_ms);
		if (!open || halves[i]->ended)
			note_closer (link, halves[i]->from);
		if (!open)
			return false;
		if (!forward (halves[i])) {
			note_closer (link, halves[i]->to);
			return false;
		}
	}
	return true;
}

/*
 * Decides at a reset who ended the connection. The node may have closed it since the proxy last
 * looked; if bytes of the node are left, it is the proxy that cuts them off.
 */
static void
note_reset (struct link *link)
{
	char byte;
	ssize_t n = link->out.ended ? 0 : recv (link->out.from, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	bool has_closed = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
	if (link->out.len > 0 || (link->closer == PROXY_CLOSED_UNKNOWN && !has_closed))
		link->closer = PROXY_CLOSED_BY_PROXY;
	else if (has_closed)
		note_closer (link, link->out.from);
}

static void
begin_link (struct link *link)
{
	struct proxy *proxy = link->proxy;
	struct sockaddr_in caller = {0};
	socklen_t size = sizeof (caller);
	getpeername (link->in.from, (struct sockaddr *)&caller, &size);
	link->caller_port = ntohs (caller.sin_port);
	pthread_mutex_lock (&proxy->lock);
	link->resets = proxy->resets;
	proxy->current++;
	pthread_mutex_unlock (&proxy->lock);
	proxy->links++;
}

/* Before the connection is closed, so that the callers' checks find who ended it. */
static void
record_end (struct link *link)
{
	struct proxy *proxy = link->proxy;
	pthread_mutex_lock (&proxy->lock);
	proxy->ends = xrealloc (proxy->ends, (proxy->end_count + 1) * sizeof (*proxy->ends));
	proxy->ends[proxy->end_count++] =
		(struct proxy_end){link->caller_port, link->closer, http_now_us ()};
	pthread_mutex_unlock (&proxy->lock);
}

static void
end_link (struct link *link)
{
	struct proxy *proxy = link->proxy;
	pthread_mutex_lock (&proxy->lock);
	if (link->resets == proxy->resets)
		proxy->current--;
	else
		proxy->resetting--;
	pthread_mutex_unlock (&proxy->lock);
	free (link);
	proxy->links--;
}

static void *
run_link (void *user)
{
	struct link *link = user;
	struct proxy *proxy = link->proxy;
	bool whole = true;
	while (whole && !(link->in.shut && link->out.shut)) {
		whole = !proxy->stop && proxy->resets == link->resets;
		if (!whole)
			note_reset (link);
		whole = whole && pump (link);
	}
	record_end (link);
	if (!whole) {
		reset_socket (link->in.from);
		reset_socket (link->in.to);
	}
	close (link->in.from);
	close (link->in.to);
	end_link (link);
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
	link->in.from = link->out.to = caller_fd;
	link->in.to = link->out.from = node_fd;
	begin_link (link);
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
	pthread_mutex_init (&proxy->lock, NULL);
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
	free (proxy->ends);
	proxy->ends = NULL;
}

int
proxy_reset (struct proxy *proxy)
{
	pthread_mutex_lock (&proxy->lock);
	int count = proxy->current;
	proxy->resets++;
	proxy->resetting += count;
	proxy->current = 0;
	pthread_mutex_unlock (&proxy->lock);
	return count;
}

bool
proxy_has_reset (struct proxy *proxy)
{
	pthread_mutex_lock (&proxy->lock);
	bool done = proxy->resetting == 0;
	pthread_mutex_unlock (&proxy->lock);
	return done;
}

enum proxy_closer
proxy_closer (struct proxy *proxy, int caller_port, int64_t at_us)
{
	enum proxy_closer closer = PROXY_CLOSED_UNKNOWN;
	pthread_mutex_lock (&proxy->lock);
	for (size_t i = 0; i < proxy->end_count; i++) {
		if (proxy->ends[i].caller_port != caller_port || proxy->ends[i].at_us < at_us)
			continue;
		closer = proxy->ends[i].closer;
		break;
	}
	pthread_mutex_unlock (&proxy->lock);
	return closer;
}
