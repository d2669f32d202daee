#include "soak/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { CALL_TIMEOUT_US = 2000000, SEND_TIMEOUT_S = 10 };

int64_t
http_now_us (void)
{
	struct timespec ts;
	clock_gettime (CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

void
http_sleep_us (int64_t us)
{
	struct timespec ts = {.tv_sec = us / 1000000, .tv_nsec = us % 1000000 * 1000};
	if (us > 0)
		nanosleep (&ts, NULL);
}

int
http_connect (int port, int receive_buffer)
{
	struct sockaddr_in peer = {.sin_family = AF_INET, .sin_port = htons ((uint16_t)port)};
	struct timeval timeout = {.tv_sec = SEND_TIMEOUT_S};
	int one = 1;
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	peer.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	if (receive_buffer > 0)
		setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof (receive_buffer));
	setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof (timeout));
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof (one));
	if (connect (fd, (const struct sockaddr *)&peer, sizeof (peer)) != 0) {
		close (fd);
		return -1;
	}
	return fd;
}

bool
http_send (int fd, const void *data, size_t len)
{
	const char *at = data;
	while (len > 0) {
		ssize_t n = send (fd, at, len, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		len -= (size_t)n;
	}
	return true;
}

/* Reads some bytes; 0 at a timeout, -1 at the end of the connection. */
static ssize_t
read_some (int fd, char *data, size_t size, int64_t until_us)
{
	struct pollfd event = {.fd = fd, .events = POLLIN};
	int64_t left_ms = (until_us - http_now_us ()) / 1000;
	if (left_ms <= 0 || poll (&event, 1, (int)left_ms) == 0)
		return 0;
	ssize_t n = recv (fd, data, size, 0);
	return n > 0 ? n : -1;
}

static const char *
header_value (const char *head, const char *name)
{
	size_t len = strlen (name);
	for (const char *line = strstr (head, "\r\n"); line; line = strstr (line + 2, "\r\n")) {
		if (strncasecmp (line + 2, name, len) == 0 && line[2 + len] == ':')
			return line + 2 + len + 1 + strspn (line + 2 + len + 1, " ");
	}
	return NULL;
}

/* Reads byte by byte up to the end of the head, so that nothing of a later answer is taken. */
static bool
read_head (int fd, int64_t until_us, char *head, struct http_answer *answer)
{
	size_t len = 0;
	head[0] = '\0';
	while (len < 4 || strcmp (head + len - 4, "\r\n\r\n") != 0) {
		ssize_t n = len + 1 < HTTP_HEAD_MAX_BYTES ? read_some (fd, head + len, 1, until_us)
							  : -1;
		if (n <= 0) {
			answer->end = n == 0 ? HTTP_TIMED_OUT : HTTP_CLOSED;
			answer->received = len;
			return false;
		}
		len += (size_t)n;
		head[len] = '\0';
	}
	answer->received = len;
	return true;
}

void
http_read (int fd, int64_t read_pause_us, int64_t until_us, struct http_answer *answer)
{
	char head[HTTP_HEAD_MAX_BYTES];
	answer->status = 0;
	answer->body_len = 0;
	answer->close = false;
	answer->id[0] = '\0';
	if (!read_head (fd, until_us, head, answer))
		return;
	const char *length = header_value (head, "Content-Length");
	const char *id = header_value (head, "Oleanderstile-Attempt-Id");
	const char *connection = header_value (head, "Connection");
	size_t declared = length ? strtoul (length, NULL, 10) : 0;
	if (id)
		snprintf (answer->id, sizeof (answer->id), "%.*s", (int)strcspn (id, "\r"), id);
	answer->close = connection && strncasecmp (connection, "close", 5) == 0;
	answer->end = HTTP_CLOSED;
	while (answer->body_len < declared && declared <= sizeof (answer->body)) {
		ssize_t n = read_some (
			fd, answer->body + answer->body_len, declared - answer->body_len, until_us);
		if (n <= 0) {
			answer->end = n == 0 ? HTTP_TIMED_OUT : HTTP_CLOSED;
			return;
		}
		answer->body_len += (size_t)n;
		answer->received += (size_t)n;
		http_sleep_us (read_pause_us);
	}
	if (answer->body_len != declared)
		return;
	answer->status = (int)strtol (head + strlen ("HTTP/1.1 "), NULL, 10);
	answer->end = HTTP_ANSWERED;
}

int
http_call (int port, const char *method, const char *path, const char *body,
	struct http_answer *answer)
{
	char head[1024];
	int fd = http_connect (port, 0);
	answer->end = HTTP_CLOSED;
	answer->body_len = 0;
	if (fd < 0)
		return -1;
	int len = snprintf (head, sizeof (head),
		"%s %s HTTP/1.1\r\nHost: localhost\r\nContent-Length: %zu\r\n\r\n", method, path,
		strlen (body));
	if (http_send (fd, head, (size_t)len) && http_send (fd, body, strlen (body)))
		http_read (fd, 0, http_now_us () + CALL_TIMEOUT_US, answer);
	close (fd);
	return answer->end == HTTP_ANSWERED ? answer->status : -1;
}
