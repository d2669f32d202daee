/**
 * @file flood.c
 * Peers that send without end, on loopback.
 *
 *   stand-in-flood targets PORT SERVICES
 *   stand-in-flood callers PORT COUNT KIND
 *
 * "targets" is a mock of the users' platform with one target for each of the services s0, s1 and so
 * on, at PORT + 1 + SERVICE; the target list is at PORT. The last target is always sound. The
 * others, and the list, are set over HTTP at PORT:
 *
 *   GET /answers/KIND/RATE   the targets' answers; RATE in bytes a second of a connection, 0: no
 * limit GET /health/KIND/RATE    their answers to health checks GET /list/KIND/RATE      pages of
 * the list; "pages": sound ones, each followed by another GET /cut                 ends all
 * connections to targets GET /sent                bytes that were sent so far
 *
 * KIND is a name of the table kinds, "sound", or "mixed": another one for each connection.
 *
 * "callers" opens COUNT connections to PORT and keeps them: "idle" ones have got an answer, "heads"
 * send 12 kB of a head that does not end, "bodies" half a body of 60 kB, "requests" one with such a
 * body, "fanouts" such a one to many shards, "wide" a fan-out to even more. It prints "open COUNT"
 * with the number of those that are open once all have sent this.
 */
#include "core/buf.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
	MAX_CONNS = 8192,
	MAX_SERVICES = 512,
	REQUEST_SIZE = 131072,
	BLOCK_BYTES = 65536,
	ROUND_BYTES = 1048576, /* so that sound targets answer soon */
	STAMP_BYTES = 15000,
	SOUND = -1,
	MIXED = -2,
	PAGES = -3,
	TICK_MS = 10,
	POLL_STEP = 97, /* connections by which each round begins later */
	HEAD_BYTES = 12000,
	CALLER_BODY_BYTES = 60000,
	SETTLE_MS = 1000,
};

#define HEAD "HTTP/1.1 200 OK\r\n"
#define ERROR_HEAD "HTTP/1.1 500 Error\r\n"

/** A stream: its start, after the headers that an answer must have, and what is repeated. */
static const struct kind {
	const char *name;
	bool has_headers; /**< the start follows them */
	const char *start;
	const char *pattern;
} kinds[] = {
	{"header-lines", true, "", "X-A: b\r\n"},
	{"header-line", true, "X-A: ", "b"},
	{"header-name", true, "", "b"},
	{"interim", false, "", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"interim-lines", false, "HTTP/1.1 102 Processing\r\n", "X-A: b\r\n"},
	{"text", false, "", "x"},
	{"length", true, "Content-Length: 1000000000000\r\n\r\n", "x"},
	{"chunks", true, "Transfer-Encoding: chunked\r\n\r\n", "10\r\nxxxxxxxxxxxxxxxx\r\n"},
	{"extension", true, "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"trailers", true, "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
	{"until-close", true, "\r\n", "x"},
	{"json", true, "\r\n{\"instances\":[", "0,"},
	{"nested", true, "\r\n{\"instances\":[", "[{\"a\":"},
	{"stamps", true, NULL, ""}, /* a sound answer, whose stamp has STAMP_BYTES */
	{"errors", false, ERROR_HEAD "Content-Length: 12000000\r\n\r\n", "x"},
};
enum { KINDS = sizeof (kinds) / sizeof (kinds[0]) };

struct mode {
	int kind;
	long rate;
};

struct conn {
	int fd;   /* 0: unused */
	int port; /* 0: the list; others: that of a target */
	struct buf in;
	struct buf out;
	size_t written;      /* of out, then of the pattern */
	const char *pattern; /* NULL: a sound answer */
	long rate;
	int64_t began_ms;
	size_t endless; /* bytes of the pattern that were written */
};

static struct conn conns[MAX_CONNS];
static struct mode answers = {SOUND, 0};
static struct mode health = {SOUND, 0};
static struct mode list = {SOUND, 0};
static unsigned long long total_sent;
static int services;
static int base_port;

static int64_t
now_ms (void)
{
	struct timespec ts;
	clock_gettime (CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static struct sockaddr_in
loopback (int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
		.sin_port = htons ((uint16_t)port),
		.sin_addr = {htonl (INADDR_LOOPBACK)}};
}

static void
set_mode (const char *text, struct mode *mode)
{
	char name[32];
	if (sscanf (text, "%31[a-z-]/%ld", name, &mode->rate) != 2)
		return;
	mode->kind = strcmp (name, "mixed") == 0   ? MIXED
		     : strcmp (name, "pages") == 0 ? PAGES
						   : SOUND;
	for (int i = 0; i < KINDS; i++) {
		if (strcmp (name, kinds[i].name) == 0)
			mode->kind = i;
	}
}

/* Copies the value of a header line of the request, empty if it has none. */
static void
copy_header (const struct buf *request, const char *name, char *value, size_t size)
{
	const char *line = strcasestr (request->data, name);
	size_t len = line ? strcspn (line + strlen (name), "\r") : 0;
	len = len < size ? len : size - 1;
	memcpy (value, line ? line + strlen (name) : "", len);
	value[len] = '\0';
}

static void
write_sized (struct buf *out, const char *body, size_t len)
{
	buf_addf (out, "Content-Length: %zu\r\n\r\n", len);
	buf_add (out, body, len);
}

static void
write_list (const char *path, struct buf *out)
{
	struct buf page;
	buf_init (&page);
	buf_addf (&page, "{\"instances\":[");
	for (int i = 0; i < services; i++)
		buf_addf (&page,
			"%s{\"id\":\"i-%d\",\"service\":\"s%d\",\"address\":\"127.0.0.1:%d\","
			"\"zone\":\"z%d\","
			"\"state\":\"ready\",\"slots\":64,\"warmup_left_ms\":0,\"born\":1,"
			"\"version\":\"v1\"}",
			i ? "," : "", i, i, base_port + 1 + i, i % 3);
	const char *token = strstr (path, "page_token=");
	if (list.kind == PAGES)
		buf_addf (
			&page, "],\"next_page_token\":\"%d\"}", token ? atoi (token + 11) + 1 : 1);
	else
		buf_addf (&page, "],\"next_page_token\":null}");
	write_sized (out, page.data, page.len);
	buf_finish (&page);
}

static void
cut_targets (void)
{
	for (int i = 0; i < MAX_CONNS; i++) {
		if (conns[i].fd && conns[i].port)
			shutdown (conns[i].fd, SHUT_RDWR);
	}
}

static void
write_control (const char *path, struct buf *out)
{
	char text[32] = "";
	if (strncmp (path, "/answers/", 9) == 0)
		set_mode (path + 9, &answers);
	else if (strncmp (path, "/health/", 8) == 0)
		set_mode (path + 8, &health);
	else if (strncmp (path, "/list/", 6) == 0)
		set_mode (path + 6, &list);
	else if (strncmp (path, "/cut", 4) == 0)
		cut_targets ();
	else
		snprintf (text, sizeof (text), "%llu", total_sent);
	buf_addf (out, HEAD);
	write_sized (out, text, strlen (text));
}

static void
write_headers (const struct conn *conn, struct buf *out)
{
	char id[256];
	copy_header (&conn->in, "Oleanderstile-Attempt-Id: ", id, sizeof (id));
	buf_addf (out,
		HEAD "Oleanderstile-Instance-Id: i-%d\r\nOleanderstile-Attempt-Id: %s\r\n"
		     "Oleanderstile-Server-Load: 1,0,64\r\n",
		conn->port - base_port - 1, id);
}

static void
answer (struct conn *conn)
{
	const char *path = strchr (conn->in.data, ' ');
	path = path ? path + 1 : "";
	bool is_list = strncmp (path, "/instances", 10) == 0;
	bool is_health = strncmp (path, "/health", 7) == 0;
	bool is_sound = !is_list && (conn->port == 0 || conn->port == base_port + services);
	const struct mode *mode = is_list ? &list : is_health ? &health : &answers;
	int kind = mode->kind == MIXED ? (int)(conn - conns) % KINDS : mode->kind;
	buf_reset (&conn->out);
	conn->written = 0;
	conn->pattern = NULL;
	if (is_sound || kind < 0) {
		if (conn->port == 0 && !is_list) {
			write_control (path, &conn->out);
			return;
		}
		if (!is_list) {
			write_headers (conn, &conn->out);
			buf_addf (&conn->out, "Oleanderstile-Server-Stamp: s\r\n");
			write_sized (&conn->out, "a-00-record-0000", 16);
			return;
		}
		buf_addf (&conn->out, HEAD);
		write_list (path, &conn->out);
		return;
	}
	if (kinds[kind].has_headers)
		write_headers (conn, &conn->out);
	if (!kinds[kind].start) {
		buf_addf (&conn->out, "Oleanderstile-Server-Stamp: %0*d\r\n", STAMP_BYTES, 0);
		write_sized (&conn->out, "a-00-record-0000", 16);
		return;
	}
	if (kinds[kind].has_headers)
		buf_addf (&conn->out, "Oleanderstile-Server-Stamp: s\r\n");
	buf_add (&conn->out, kinds[kind].start, strlen (kinds[kind].start));
	conn->pattern = kinds[kind].pattern;
	conn->rate = mode->rate;
	conn->began_ms = now_ms ();
	conn->endless = 0;
}

static void
close_conn (struct conn *conn)
{
	close (conn->fd);
	buf_finish (&conn->in);
	buf_finish (&conn->out);
	memset (conn, 0, sizeof (*conn));
}

static struct conn *
add_conn (int fd, int port)
{
	for (int i = 0; i < MAX_CONNS; i++) {
		if (conns[i].fd)
			continue;
		conns[i] = (struct conn){.fd = fd, .port = port};
		buf_init (&conns[i].in);
		buf_init (&conns[i].out);
		fcntl (fd, F_SETFL, O_NONBLOCK);
		return &conns[i];
	}
	close (fd);
	return NULL;
}

/* Reads requests; a target that sends without end reads no more. */
static bool
read_request (struct conn *conn)
{
	char data[REQUEST_SIZE];
	ssize_t n = recv (conn->fd, data, sizeof (data), 0);
	if (n <= 0)
		return n < 0 && errno == EAGAIN;
	if (conn->pattern)
		return true;
	buf_add (&conn->in, data, (size_t)n);
	buf_add (&conn->in, "", 1);
	conn->in.len--;
	if (strstr (conn->in.data, "\r\n\r\n")) {
		answer (conn);
		buf_reset (&conn->in);
	}
	return true;
}

static bool
is_writable (const struct conn *conn, int64_t time_ms)
{
	if (conn->written < conn->out.len)
		return true;
	if (!conn->pattern)
		return false;
	return conn->rate == 0 ||
	       (int64_t)conn->endless < conn->rate * (time_ms - conn->began_ms) / 1000;
}

/* Continues the pattern where the last write ended. */
static bool
write_some (struct conn *conn, int64_t time_ms)
{
	static char block[BLOCK_BYTES];
	const char *data = conn->out.data + conn->written;
	size_t len = conn->out.len - conn->written;
	bool is_endless = len == 0 && conn->pattern != NULL;
	if (is_endless) {
		size_t pattern_len = strlen (conn->pattern);
		len = conn->rate == 0 ? sizeof (block)
				      : (size_t)(conn->rate * (time_ms - conn->began_ms) / 1000) -
						conn->endless;
		len = len < sizeof (block) ? len : sizeof (block);
		for (size_t i = 0; i < len; i++)
			block[i] = conn->pattern[(conn->endless + i) % pattern_len];
		data = block;
	}
	ssize_t n = send (conn->fd, data, len, MSG_NOSIGNAL);
	if (n < 0)
		return errno == EAGAIN;
	total_sent += (unsigned long long)n;
	if (is_endless)
		conn->endless += (size_t)n;
	else
		conn->written += (size_t)n;
	return true;
}

static int
listen_at (int port)
{
	struct sockaddr_in address = loopback (port);
	int one = 1;
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof (one));
	if (bind (fd, (struct sockaddr *)&address, sizeof (address)) != 0 ||
		listen (fd, 1024) != 0) {
		perror ("listen");
		exit (1);
	}
	return fd;
}

static void
serve_conn (struct conn *conn, short events, int64_t time_ms, unsigned long long sent_max)
{
	if ((events & (POLLIN | POLLHUP | POLLERR)) && !read_request (conn)) {
		close_conn (conn);
		return;
	}
	bool may_write = !conn->pattern || total_sent < sent_max;
	if ((events & POLLOUT) && may_write && is_writable (conn, time_ms) &&
		!write_some (conn, time_ms))
		close_conn (conn);
}

static void
serve (void)
{
	static struct pollfd polls[MAX_SERVICES + 1 + MAX_CONNS];
	static struct conn *of_poll[MAX_SERVICES + 1 + MAX_CONNS];
	int listeners = services + 1;
	int first = 0;
	for (int i = 0; i < listeners; i++)
		polls[i] = (struct pollfd){.fd = listen_at (base_port + i), .events = POLLIN};
	for (;;) {
		int count = listeners;
		int64_t time_ms = now_ms ();
		for (int i = 0; i < MAX_CONNS; i++) {
			if (!conns[i].fd)
				continue;
			bool writes = is_writable (&conns[i], time_ms);
			of_poll[count] = &conns[i];
			polls[count++] = (struct pollfd){.fd = conns[i].fd,
				.events = (short)(POLLIN | (writes ? POLLOUT : 0))};
		}
		poll (polls, (nfds_t)count, TICK_MS);
		time_ms = now_ms ();
		unsigned long long sent_max = total_sent + ROUND_BYTES;
		first++;
		for (int i = 0; i < count - listeners; i++) {
			int at = listeners + (first * POLL_STEP + i) % (count - listeners);
			serve_conn (of_poll[at], polls[at].revents, time_ms, sent_max);
		}
		for (int i = 0; i < listeners; i++) {
			int fd = polls[i].revents ? accept (polls[i].fd, NULL, NULL) : -1;
			if (fd >= 0)
				add_conn (fd, i ? base_port + i : 0);
		}
	}
}

static void
write_caller (struct buf *out, const char *kind, int number)
{
	bool is_idle = strcmp (kind, "idle") == 0;
	bool is_fan_out = strcmp (kind, "fanouts") == 0;
	bool is_wide = strcmp (kind, "wide") == 0;
	bool is_whole = is_fan_out || strcmp (kind, "requests") == 0;
	buf_addf (out,
		"POST /%s/x HTTP/1.1\r\nHost: site.example\r\nOleanderstile-Attempt-Id: "
		"caller-%d\r\n"
		"Oleanderstile-Deadline-Ms: 3000\r\n",
		is_idle      ? "one"
		: is_fan_out ? "all"
		: is_wide    ? "most"
			     : "some",
		number);
	if (strcmp (kind, "heads") == 0) {
		while (out->len < HEAD_BYTES)
			buf_addf (out, "X-A: b\r\n");
		return;
	}
	bool has_body = !is_idle && !is_wide;
	buf_addf (out, "Content-Length: %d\r\n\r\n", has_body ? CALLER_BODY_BYTES : 0);
	for (int i = 0; has_body && i < CALLER_BODY_BYTES / (is_whole ? 1 : 2); i++)
		buf_add (out, "x", 1);
}

static int
hold_callers (int port, int count, const char *kind)
{
	struct sockaddr_in address = loopback (port);
	int open = 0;
	for (int i = 0; i < count; i++) {
		struct conn *conn = add_conn (socket (AF_INET, SOCK_STREAM, 0), port);
		if (!conn)
			return 1;
		fcntl (conn->fd, F_SETFL, 0);
		if (connect (conn->fd, (struct sockaddr *)&address, sizeof (address)) != 0) {
			close_conn (conn);
			continue;
		}
		write_caller (&conn->out, kind, i);
		send (conn->fd, conn->out.data, conn->out.len, MSG_NOSIGNAL);
		buf_finish (&conn->out);
		if (strcmp (kind, "idle") == 0) {
			char byte;
			recv (conn->fd, &byte, 1, 0);
		}
	}
	usleep (SETTLE_MS * 1000);
	for (int i = 0; i < MAX_CONNS; i++) {
		char data[1024];
		ssize_t n = 1;
		while (conns[i].fd && n > 0)
			n = recv (conns[i].fd, data, sizeof (data), MSG_DONTWAIT);
		open += conns[i].fd && n < 0 && errno == EAGAIN;
	}
	printf ("open %d\n", open);
	fflush (stdout);
	pause ();
	return 0;
}

int
main (int argc, char **argv)
{
	if (argc == 5 && strcmp (argv[1], "callers") == 0)
		return hold_callers (atoi (argv[2]), atoi (argv[3]), argv[4]);
	if (argc != 4 || strcmp (argv[1], "targets") != 0 || atoi (argv[3]) > MAX_SERVICES)
		return 2;
	base_port = atoi (argv[2]);
	services = atoi (argv[3]);
	serve ();
	return 0;
}
