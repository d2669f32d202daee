/**
 * @file fetch.c
 * Tests of the HTTP client against a server on loopback that sends scripted replies, also in parts.
 */
#include "net/fetch.h"
#include "test/suite.h"

#include <arpa/inet.h>
#include <malloc.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { MS = US_PER_MS, MAX_ITERATIONS = 200, TIMEOUT_US = 5000 * US_PER_MS };

struct fetch_fixture {
	struct clock clock;
	struct timers timers;
	struct fetch_loop loop;
	struct fetch_pool *pool;
	int epoll_fd;
	int listen_fd;
	int idle_closed_count;
	enum fetch_idle_end idle_end; /* of the last one */
};

/* A fetch and its result. */
struct fetch_result {
	struct fetch fetch;
	bool done;
	enum fetch_end end;
};

static void
on_idle_closed (void *user, enum fetch_idle_end end, int64_t idle_us)
{
	struct fetch_fixture *fixture = user;
	(void)idle_us;
	fixture->idle_closed_count++;
	fixture->idle_end = end;
}

static bool
may_open_connection (void *user)
{
	(void)user;
	return true;
}

static void
on_done (struct fetch *fetch, enum fetch_end end)
{
	struct fetch_result *result = caa_container_of (fetch, struct fetch_result, fetch);
	result->done = true;
	result->end = end;
}

static void
fixture_init (struct fetch_fixture *fixture, int connections)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof (address);
	char text[64];
	memset (fixture, 0, sizeof (*fixture));
	address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	fixture->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL (
		bind (fixture->listen_fd, (struct sockaddr *)&address, sizeof (address)), 0);
	listen (fixture->listen_fd, 8);
	getsockname (fixture->listen_fd, (struct sockaddr *)&address, &len);
	snprintf (text, sizeof (text), "127.0.0.1:%d", ntohs (address.sin_port));
	clock_init_manual (&fixture->clock, 1000 * MS);
	timers_init (&fixture->timers);
	fixture->epoll_fd = epoll_create1 (0);
	fetch_loop_init (&fixture->loop, fixture->epoll_fd, &fixture->clock, &fixture->timers);
	struct fetch_hooks hooks = {on_idle_closed, may_open_connection, fixture};
	fixture->pool = fetch_pool_new (&fixture->loop, text, connections, &hooks);
}

static void
fixture_finish (struct fetch_fixture *fixture)
{
	fetch_loop_finish (&fixture->loop);
	timers_finish (&fixture->timers);
	close (fixture->epoll_fd);
	close (fixture->listen_fd);
}

/* Runs one iteration of the event loop; the clock does not advance. */
static void
run_loop_once (struct fetch_fixture *fixture)
{
	struct epoll_event events[8];
	struct timer *timer;
	int count = epoll_wait (fixture->epoll_fd, events, 8, 5);
	for (int i = 0; i < count; i++)
		fetch_socket_event (&fixture->loop, events[i].data.fd, events[i].events);
	fetch_loop_read (&fixture->loop);
	while ((timer = timers_pop_due (&fixture->timers, clock_now_us (&fixture->clock))))
		fetch_timer_due (timer);
	fetch_loop_clean (&fixture->loop);
}

static void
start_fetch (struct fetch_fixture *fixture, struct fetch_result *result, const char *method,
	const char *body, bool new_connection)
{
	static const char *const headers[] = {"X-One: 1", NULL};
	struct fetch_request request = {.method = method,
		.path = "/p?q=1",
		.body = body,
		.body_len = body ? strlen (body) : 0,
		.headers = headers,
		.connect_timeout_us = 200 * MS,
		.timeout_us = TIMEOUT_US,
		.new_connection = new_connection};
	memset (result, 0, sizeof (*result));
	result->fetch.body_max_bytes = 4096;
	fetch_start (&result->fetch, fixture->pool, &request, on_done);
}

/* Reads a request from a connection; accepts the connection first if fd is -1. */
static int
read_request (struct fetch_fixture *fixture, int fd, char *request, size_t size)
{
	if (fd < 0)
		fd = accept (fixture->listen_fd, NULL, NULL);
	run_loop_once (fixture);
	ssize_t n = recv (fd, request, size - 1, 0);
	request[n > 0 ? n : 0] = '\0';
	return fd;
}

static void
send_reply (struct fetch_fixture *fixture, int fd, const char *text)
{
	CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
	run_loop_once (fixture);
}

static void
run_until_done (struct fetch_fixture *fixture, const struct fetch_result *result)
{
	for (int i = 0; i < MAX_ITERATIONS && !result->done; i++)
		run_loop_once (fixture);
	CU_ASSERT_TRUE (result->done);
}

static void
close_with_reset (int fd)
{
	struct linger linger = {1, 0};
	setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof (linger));
	close (fd);
}

static void
test_partial_reads_and_connection_reuse (void)
{
	struct fetch_fixture fixture;
	struct fetch_result result;
	char request[1024];
	fixture_init (&fixture, 2);
	start_fetch (&fixture, &result, NULL, "body", false);
	int fd = read_request (&fixture, -1, request, sizeof (request));
	CU_ASSERT_PTR_NOT_NULL (strstr (request, "POST /p?q=1 HTTP/1.1\r\nX-One: 1\r\n"));
	CU_ASSERT_PTR_NOT_NULL (strstr (request, "Content-Length: 4\r\n\r\nbody"));
	send_reply (&fixture, fd, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Le");
	send_reply (&fixture, fd, "ngth: 5\r\n\r\nhe");
	CU_ASSERT_FALSE (result.done);
	send_reply (&fixture, fd, "llo");
	run_until_done (&fixture, &result);
	CU_ASSERT_EQUAL (result.end, FETCH_OK);
	CU_ASSERT_EQUAL (result.fetch.status, 200);
	CU_ASSERT_STRING_EQUAL (result.fetch.body.data, "hello");
	fetch_finish (&result.fetch);
	start_fetch (&fixture, &result, NULL, NULL, false);
	read_request (&fixture, fd, request, sizeof (request));
	CU_ASSERT_PTR_NOT_NULL (strstr (request, "GET /p?q=1 HTTP/1.1"));
	send_reply (&fixture, fd,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
	run_until_done (&fixture, &result);
	CU_ASSERT_EQUAL (result.end, FETCH_OK);
	CU_ASSERT_STRING_EQUAL (result.fetch.body.data, "abc");
	CU_ASSERT_FALSE (result.fetch.opened_connection);
	fetch_finish (&result.fetch);
	close (fd);
	fixture_finish (&fixture);
}

static void
test_replies_ended_by_close_or_reset (void)
{
	static const struct {
		const char *text;
		bool reset;
		enum fetch_end end;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", false, FETCH_FAILED},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", false,
			FETCH_FAILED},
		{"HTTP/1.1 200 OK\r\nContent-Le", false, FETCH_FAILED},
		{"not HTTP at all\r\n\r\n", false, FETCH_FAILED},
		{"", false, FETCH_FAILED},
		/* Without a length, a close ends the body, but a reset is a failure. */
		{"HTTP/1.1 200 OK\r\n\r\nhello", false, FETCH_OK},
		{"HTTP/1.1 200 OK\r\n\r\nhello", true, FETCH_FAILED},
	};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		struct fetch_fixture fixture;
		struct fetch_result result;
		char request[1024];
		fixture_init (&fixture, 1);
		start_fetch (&fixture, &result, NULL, NULL, false);
		int fd = read_request (&fixture, -1, request, sizeof (request));
		if (cases[i].text[0])
			send_reply (&fixture, fd, cases[i].text);
		if (cases[i].reset)
			close_with_reset (fd);
		else
			close (fd);
		run_until_done (&fixture, &result);
		CU_ASSERT_EQUAL (result.end, cases[i].end);
		fetch_finish (&result.fetch);
		fixture_finish (&fixture);
	}
}

/*
 * Guards against invalid codes that end a fetch well: direct sends, hedges, batches, collections,
 * status checks and the target list all receive replies here.
 */
static void
test_invalid_status_codes_end_the_fetch (void)
{
	static const char *const codes[] = {
		"000", "0", "99", "600", "999", "2000", "0200", "2x0", "2 00", "-200", "", "20"};
	static const char *const rest[] = {" OK\r\nContent-Length: 2\r\n\r\nok",
		" OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", " OK\r\n\r\nok",
		""};
	for (size_t i = 0; i < sizeof (codes) / sizeof (codes[0]) * 4; i++) {
		struct fetch_fixture fixture;
		struct fetch_result result;
		char text[1024];
		fixture_init (&fixture, 1);
		start_fetch (&fixture, &result, NULL, NULL, false);
		int fd = read_request (&fixture, -1, text, sizeof (text));
		snprintf (text, sizeof (text), "HTTP/1.1 %s%s", codes[i / 4], rest[i % 4]);
		send_reply (&fixture, fd, text);
		close (fd);
		run_until_done (&fixture, &result);
		CU_ASSERT_EQUAL (result.end, FETCH_FAILED);
		CU_ASSERT_EQUAL (result.fetch.status, 0);
		/* Such a target has not just refused a connection. */
		CU_ASSERT_TRUE (result.fetch.received);
		fetch_finish (&result.fetch);
		fixture_finish (&fixture);
	}
}

/* Guards against answers that begin with the body of an interim response. */
static void
test_interim_response_with_a_body_ends_the_fetch (void)
{
	struct fetch_fixture fixture;
	struct fetch_result result;
	char request[1024];
	fixture_init (&fixture, 1);
	start_fetch (&fixture, &result, NULL, NULL, false);
	int fd = read_request (&fixture, -1, request, sizeof (request));
	send_reply (&fixture, fd, "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n");
	run_until_done (&fixture, &result);
	CU_ASSERT_EQUAL (result.end, FETCH_FAILED);
	CU_ASSERT_EQUAL (result.fetch.status, 0);
	CU_ASSERT_EQUAL (result.fetch.body.len, 0);
	CU_ASSERT_EQUAL (fixture.pool->conn_count, 0);
	fetch_finish (&result.fetch);
	close (fd);
	fixture_finish (&fixture);
}

static void
test_extra_bytes_close_the_connection (void)
{
	struct fetch_fixture fixture;
	struct fetch_result result;
	char request[1024];
	fixture_init (&fixture, 1);
	start_fetch (&fixture, &result, NULL, NULL, false);
	int fd = read_request (&fixture, -1, request, sizeof (request));
	send_reply (&fixture, fd,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
		"Content-Length: 5\r\n\r\nextra");
	run_until_done (&fixture, &result);
	CU_ASSERT_EQUAL (result.end, FETCH_OK);
	CU_ASSERT_STRING_EQUAL (result.fetch.body.data, "ok");
	CU_ASSERT_EQUAL (fixture.pool->conn_count, 0);
	fetch_finish (&result.fetch);
	close (fd);
	fixture_finish (&fixture);
}

static void
test_reset_idle_connection_is_not_used (void)
{
	struct fetch_fixture fixture;
	struct fetch_result result;
	char request[1024];
	fixture_init (&fixture, 1);
	start_fetch (&fixture, &result, NULL, NULL, false);
	int fd = read_request (&fixture, -1, request, sizeof (request));
	send_reply (&fixture, fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	run_until_done (&fixture, &result);
	fetch_finish (&result.fetch);
	close_with_reset (fd);
	/* The client has not handled the reset yet: the write fails before a byte is sent. */
	start_fetch (&fixture, &result, NULL, NULL, false);
	fd = read_request (&fixture, -1, request, sizeof (request));
	CU_ASSERT_PTR_NOT_NULL (strstr (request, "GET /p?q=1"));
	CU_ASSERT_TRUE (result.fetch.opened_connection);
	send_reply (&fixture, fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	run_until_done (&fixture, &result);
	CU_ASSERT_EQUAL (result.end, FETCH_OK);
	fetch_finish (&result.fetch);
	close (fd);
	fixture_finish (&fixture);
}

static void
test_request_is_not_resent (void)
{
	struct fetch_fixture fixture;
	struct fetch_result result;
	char request[1024];
	fixture_init (&fixture, 1);
	start_fetch (&fixture, &result, NULL, NULL, false);
	int fd = read_request (&fixture, -1, request, sizeof (request));
	send_reply (&fixture, fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	run_until_done (&fixture, &result);
	fetch_finish (&result.fetch);
	start_fetch (&fixture, &result, NULL, "x", false);
	read_request (&fixture, fd, request, sizeof (request));
	close_with_reset (fd);
	run_until_done (&fixture, &result);
	/* The request may have run, so the client must not send it again. */
	CU_ASSERT_EQUAL (result.end, FETCH_FAILED);
	CU_ASSERT_TRUE (result.fetch.sent);
	fetch_finish (&result.fetch);
	fixture_finish (&fixture);
}

static void
test_refused_connection_is_reported_as_not_sent (void)
{
	struct fetch_fixture fixture;
	struct fetch_result result;
	fixture_init (&fixture, 1);
	close (fixture.listen_fd);
	fixture.listen_fd = -1;
	start_fetch (&fixture, &result, NULL, "x", true);
	run_until_done (&fixture, &result);
	CU_ASSERT_EQUAL (result.end, FETCH_NOT_SENT);
	fetch_finish (&result.fetch);
	fixture_finish (&fixture);
}

static void
test_waiting_for_a_free_connection (void)
{
	struct fetch_fixture fixture;
	struct fetch_result first;
	struct fetch_result second;
	char request[1024];
	fixture_init (&fixture, 1);
	start_fetch (&fixture, &first, NULL, NULL, false);
	start_fetch (&fixture, &second, NULL, NULL, false);
	int fd = read_request (&fixture, -1, request, sizeof (request));
	CU_ASSERT_PTR_NULL (second.fetch.conn);
	send_reply (&fixture, fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	run_until_done (&fixture, &first);
	read_request (&fixture, fd, request, sizeof (request));
	send_reply (
		&fixture, fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2");
	run_until_done (&fixture, &second);
	CU_ASSERT_STRING_EQUAL (second.fetch.body.data, "2");
	CU_ASSERT_EQUAL (fixture.pool->conn_count, 0);
	fetch_finish (&first.fetch);
	fetch_finish (&second.fetch);
	close (fd);
	fixture_finish (&fixture);
}

static void
test_deadline_and_cancel (void)
{
	struct fetch_fixture fixture;
	struct fetch_result result;
	char request[1024];
	fixture_init (&fixture, 2);
	start_fetch (&fixture, &result, NULL, NULL, false);
	int fd = read_request (&fixture, -1, request, sizeof (request));
	fetch_shorten_timeout (&result.fetch, 400 * MS);
	clock_advance (&fixture.clock, 399 * MS);
	run_loop_once (&fixture);
	CU_ASSERT_FALSE (result.done);
	clock_advance (&fixture.clock, 1 * MS);
	run_loop_once (&fixture);
	CU_ASSERT_TRUE (result.done);
	CU_ASSERT_EQUAL (result.end, FETCH_SILENT);
	CU_ASSERT_EQUAL (recv (fd, request, sizeof (request), 0), 0);
	close (fd);
	fetch_finish (&result.fetch);
	start_fetch (&fixture, &result, NULL, NULL, false);
	fd = read_request (&fixture, -1, request, sizeof (request));
	fetch_cancel (&result.fetch);
	CU_ASSERT_FALSE (result.done);
	CU_ASSERT_EQUAL (recv (fd, request, sizeof (request), 0), 0);
	fetch_finish (&result.fetch);
	close (fd);
	fixture_finish (&fixture);
}

static void
test_keep_alive_timeout_and_early_close (void)
{
	struct fetch_fixture fixture;
	struct fetch_result result;
	char request[1024];
	fixture_init (&fixture, 1);
	start_fetch (&fixture, &result, NULL, NULL, false);
	int fd = read_request (&fixture, -1, request, sizeof (request));
	send_reply (&fixture, fd,
		"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n");
	run_until_done (&fixture, &result);
	fetch_finish (&result.fetch);
	clock_advance (&fixture.clock, 1800 * MS);
	start_fetch (&fixture, &result, NULL, NULL, false);
	CU_ASSERT_TRUE (result.fetch.opened_connection);
	int next = read_request (&fixture, -1, request, sizeof (request));
	send_reply (&fixture, next, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	run_until_done (&fixture, &result);
	fetch_finish (&result.fetch);
	close (next);
	for (int i = 0; i < 3; i++)
		run_loop_once (&fixture);
	CU_ASSERT_EQUAL (fixture.idle_closed_count, 1);
	CU_ASSERT_EQUAL (fixture.pool->conn_count, 0);
	close (fd);
	fixture_finish (&fixture);
}

/* Sends a text again and again until the fetch ends; returns the number of bytes, at most max. */
static size_t
send_endlessly (struct fetch_fixture *fixture, const struct fetch_result *result, int fd,
	const char *text, size_t max)
{
	size_t sent = 0;
	while (!result->done && sent < max) {
		if (send (fd, text, strlen (text), MSG_NOSIGNAL | MSG_DONTWAIT) > 0)
			sent += strlen (text);
		run_loop_once (fixture);
	}
	return sent;
}

/* Guards against targets that send bytes without end until the node closes the connection. */
static void
test_endless_head_ends_the_fetch (void)
{
	static const char *const heads[] = {
		"X-Filler: 0123456789012345678901234567890123456789\r\n",
		"0123456789012345678901234567890123456789"};
	for (size_t i = 0; i < sizeof (heads) / sizeof (heads[0]); i++) {
		struct fetch_fixture fixture;
		struct fetch_result result;
		char text[1024];
		char block[4096] = {0};
		size_t filled = 0;
		for (; filled + strlen (heads[i]) < sizeof (block); filled += strlen (heads[i]))
			memcpy (block + filled, heads[i], strlen (heads[i]));
		fixture_init (&fixture, 1);
		start_fetch (&fixture, &result, "GET", NULL, false);
		int fd = read_request (&fixture, -1, text, sizeof (text));
		send_reply (&fixture, fd, "HTTP/1.1 200 OK\r\nX-First: ");
		size_t sent = send_endlessly (&fixture, &result, fd, block, 1024 * 1024);
		CU_ASSERT_TRUE (result.done);
		CU_ASSERT_EQUAL (result.end, FETCH_FAILED);
		CU_ASSERT_TRUE (sent < 256 * 1024);
		fetch_finish (&result.fetch);
		close (fd);
		fixture_finish (&fixture);
	}
}

enum { FLOOD_CHUNK_BYTES = 6, FLOOD_MAX_BYTES = 64 * 1024 * 1024 };

/* Sends chunks of one byte as fast as they are read, until the socket is closed. */
static void *
send_chunks (void *user)
{
	const int *fd = user;
	char block[FLOOD_CHUNK_BYTES * 10000];
	ssize_t n = 0;
	for (size_t at = 0; at < sizeof (block); at += FLOOD_CHUNK_BYTES)
		memcpy (block + at, "1\r\nx\r\n", FLOOD_CHUNK_BYTES);
	for (size_t sent = 0; n >= 0 && sent < FLOOD_MAX_BYTES;) {
		for (size_t at = 0; n >= 0 && at < sizeof (block);) {
			n = send (*fd, block + at, sizeof (block) - at, MSG_NOSIGNAL);
			at += n > 0 ? (size_t)n : 0;
			sent += n > 0 ? (size_t)n : 0;
		}
	}
	return NULL;
}

/* Reads fill a whole buffer only if more than one fits into the socket. */
static void
grow_receive_buffers (const struct fetch_fixture *fixture)
{
	int size = 1048576;
	for (int fd = 0; fd < fixture->loop.fd_count; fd++) {
		if (fixture->loop.by_fd[fd])
			setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof (size));
	}
}

/* Guards against a target that sends as fast as the loop parses and keeps it from other work. */
static void
test_a_flood_leaves_the_loop_to_others (void)
{
	enum { READ_MAX = 1048576 };
	struct fetch_fixture fixture;
	struct fetch_result flooded;
	struct fetch_result sound;
	char request[1024];
	pthread_t thread;
	fixture_init (&fixture, 2);
	start_fetch (&fixture, &flooded, "GET", NULL, false);
	flooded.fetch.body_max_bytes = FLOOD_MAX_BYTES;
	int fd = read_request (&fixture, -1, request, sizeof (request));
	start_fetch (&fixture, &sound, "GET", NULL, false);
	int sound_fd = read_request (&fixture, -1, request, sizeof (request));
	send_reply (&fixture, fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	grow_receive_buffers (&fixture);
	CU_ASSERT_EQUAL_FATAL (pthread_create (&thread, NULL, send_chunks, &fd), 0);
	for (int i = 0; i < 20; i++) {
		size_t before = flooded.fetch.body.len;
		if (i == 10)
			send_reply (&fixture, sound_fd,
				"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
		else
			run_loop_once (&fixture);
		size_t read = (flooded.fetch.body.len - before) * FLOOD_CHUNK_BYTES;
		CU_ASSERT_TRUE (read <= READ_MAX);
		CU_ASSERT_FALSE (flooded.done);
	}
	CU_ASSERT_TRUE (sound.done);
	CU_ASSERT_TRUE (flooded.fetch.body.len > 0);
	clock_advance (&fixture.clock, TIMEOUT_US);
	run_loop_once (&fixture);
	CU_ASSERT_TRUE (flooded.done);
	CU_ASSERT_FALSE (fetch_loop_has_unread (&fixture.loop));
	pthread_join (thread, NULL);
	fetch_finish (&flooded.fetch);
	fetch_finish (&sound.fetch);
	close (fd);
	close (sound_fd);
	fixture_finish (&fixture);
}

static void
test_unread_bytes_and_a_close_are_read_later (void)
{
	enum { LEN = 1000000 };
	struct fetch_fixture fixture;
	struct fetch_result result;
	char request[1024];
	char *body = xcalloc (1, LEN);
	fixture_init (&fixture, 1);
	start_fetch (&fixture, &result, "GET", NULL, false);
	result.fetch.body_max_bytes = LEN;
	int fd = read_request (&fixture, -1, request, sizeof (request));
	static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
	send (fd, head, strlen (head), MSG_NOSIGNAL);
	for (size_t at = 0; at < LEN;) {
		ssize_t n = send (fd, body + at, LEN - at, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0)
			at += (size_t)n;
		else
			run_loop_once (&fixture);
	}
	close (fd);
	run_until_done (&fixture, &result);
	CU_ASSERT_EQUAL (result.end, FETCH_OK);
	CU_ASSERT_EQUAL (result.fetch.body.len, LEN);
	fetch_finish (&result.fetch);
	free (body);
	fixture_finish (&fixture);
}

static void
test_endless_interim_replies_end_with_the_deadline (void)
{
	struct fetch_fixture fixture;
	struct fetch_result result;
	char text[1024];
	fixture_init (&fixture, 1);
	start_fetch (&fixture, &result, "GET", NULL, false);
	int fd = read_request (&fixture, -1, text, sizeof (text));
	send_endlessly (&fixture, &result, fd, "HTTP/1.1 102 Processing\r\n\r\n", 64 * 1024);
	CU_ASSERT_FALSE (result.done);
	CU_ASSERT_EQUAL (fixture.loop.bodies.used, 0);
	clock_advance (&fixture.clock, TIMEOUT_US);
	run_loop_once (&fixture);
	CU_ASSERT_TRUE (result.done);
	CU_ASSERT_EQUAL (fixture.pool->conn_count, 0);
	fetch_finish (&result.fetch);
	close (fd);
	fixture_finish (&fixture);
}

static void
test_endless_bodies_share_one_bound (void)
{
	enum { FETCHES = 3, BOUND = 9000 };
	struct fetch_fixture fixture;
	struct fetch_result results[FETCHES];
	char text[1024];
	char block[1001] = "";
	memset (block, 'b', sizeof (block) - 1);
	fixture_init (&fixture, FETCHES);
	fixture.loop.bodies.max = BOUND;
	int fds[FETCHES];
	for (int i = 0; i < FETCHES; i++) {
		start_fetch (&fixture, &results[i], "GET", NULL, false);
		fds[i] = read_request (&fixture, -1, text, sizeof (text));
		send_reply (&fixture, fds[i], "HTTP/1.1 200 OK\r\n\r\n");
	}
	/* Each stays below its own limit of 4096 bytes; together they exceed the bound. */
	for (int block_count = 0; block_count < 4; block_count++) {
		for (int i = 0; i < FETCHES; i++) {
			if (!results[i].done)
				send_reply (&fixture, fds[i], block);
			CU_ASSERT_TRUE (fixture.loop.bodies.used <= BOUND);
		}
	}
	int too_large = 0;
	for (int i = 0; i < FETCHES; i++)
		too_large += results[i].done && results[i].end == FETCH_TOO_LARGE;
	CU_ASSERT_TRUE (too_large >= 1);
	/* The bytes of an ended fetch are free again once it is finished. */
	for (int i = 0; i < FETCHES; i++) {
		fetch_cancel (&results[i].fetch);
		fetch_finish (&results[i].fetch);
		close (fds[i]);
	}
	CU_ASSERT_EQUAL (fixture.loop.bodies.used, 0);
	fixture_finish (&fixture);
}

/* Guards against heads that no limit counts while the rest of their responses is awaited. */
static void
test_heads_have_a_common_limit (void)
{
	enum { FETCHES = 6, LINE = 12000, BOUND = 65536 };
	struct fetch_fixture fixture;
	struct fetch_result results[FETCHES];
	char text[1024];
	char line[LINE + 1] = "";
	int fds[FETCHES];
	int too_large = 0;
	memset (line, 'x', LINE);
	fixture_init (&fixture, FETCHES);
	fixture.loop.heads.max = BOUND;
	for (int i = 0; i < FETCHES; i++) {
		start_fetch (&fixture, &results[i], "GET", NULL, false);
		fds[i] = read_request (&fixture, -1, text, sizeof (text));
		send_reply (&fixture, fds[i], "HTTP/1.1 200 OK\r\nX-A: ");
	}
	for (int i = 0; i < FETCHES; i++) {
		send_reply (&fixture, fds[i], line);
		CU_ASSERT_TRUE (fixture.loop.heads.used > 0);
		CU_ASSERT_TRUE (fixture.loop.heads.used <= BOUND);
	}
	for (int i = 0; i < FETCHES; i++) {
		if (!results[i].done)
			send_reply (&fixture, fds[i], "\r\nContent-Length: 0\r\n\r\n");
		too_large += results[i].done && results[i].end == FETCH_TOO_LARGE;
		CU_ASSERT_TRUE (results[i].done);
	}
	CU_ASSERT_TRUE (too_large > 0 && too_large < FETCHES);
	for (int i = 0; i < FETCHES; i++) {
		fetch_finish (&results[i].fetch);
		close (fds[i]);
	}
	CU_ASSERT_EQUAL (fixture.loop.heads.used, 0);
	fixture_finish (&fixture);
}

/* Guards against responses that end because the head of another one grows. */
static void
test_largest_head_is_dropped_first (void)
{
	enum { FETCHES = 3, SMALL_LINE = 3000, LARGE_LINE = 12000, BOUND = 20000 };
	struct fetch_fixture fixture;
	struct fetch_result results[FETCHES];
	char text[1024];
	char line[LARGE_LINE + 1] = "";
	int fds[FETCHES];
	fixture_init (&fixture, FETCHES);
	fixture.loop.heads.max = BOUND;
	for (int i = 0; i < FETCHES; i++) {
		int len = i < FETCHES - 1 ? SMALL_LINE : LARGE_LINE;
		start_fetch (&fixture, &results[i], "GET", NULL, false);
		fds[i] = read_request (&fixture, -1, text, sizeof (text));
		send_reply (&fixture, fds[i], "HTTP/1.1 200 OK\r\nX-A: ");
		snprintf (line, sizeof (line), "%0*d", len, 0);
		send_reply (&fixture, fds[i], line);
	}
	CU_ASSERT_TRUE (results[FETCHES - 1].done);
	CU_ASSERT_EQUAL (results[FETCHES - 1].end, FETCH_TOO_LARGE);
	for (int i = 0; i < FETCHES; i++) {
		if (!results[i].done) {
			send_reply (&fixture, fds[i], "\r\nContent-Length: 0\r\n\r\n");
			CU_ASSERT_TRUE (results[i].done && results[i].end == FETCH_OK);
		}
		CU_ASSERT_TRUE (i == FETCHES - 1 || results[i].end == FETCH_OK);
		fetch_finish (&results[i].fetch);
		close (fds[i]);
	}
	CU_ASSERT_EQUAL (fixture.loop.heads.used, 0);
	fixture_finish (&fixture);
}

/* Guards against connections to hundreds of targets that each keep the memory of a long line. */
static void
test_idle_connections_hold_no_lines (void)
{
	enum { FETCHES = 6, LINE = 15000, LEFT_BYTES = 4096 };
	struct fetch_fixture fixture;
	struct fetch_result results[FETCHES];
	char text[1024];
	char reply[LINE + 100];
	int fds[FETCHES];
	snprintf (reply, sizeof (reply),
		"HTTP/1.1 200 OK\r\nX-A: %0*d\r\nContent-Length: 0\r\n\r\n", LINE, 0);
	fixture_init (&fixture, FETCHES);
	for (int i = 0; i < FETCHES; i++) {
		start_fetch (&fixture, &results[i], "GET", NULL, false);
		fds[i] = read_request (&fixture, -1, text, sizeof (text));
	}
	struct mallinfo2 before = mallinfo2 ();
	for (int i = 0; i < FETCHES; i++) {
		send_reply (&fixture, fds[i], reply);
		CU_ASSERT_TRUE (results[i].done && results[i].end == FETCH_OK);
		fetch_finish (&results[i].fetch);
	}
	CU_ASSERT_TRUE (mallinfo2 ().uordblks <= before.uordblks + FETCHES * LEFT_BYTES);
	for (int i = 0; i < FETCHES; i++)
		close (fds[i]);
	fixture_finish (&fixture);
}

/* Guards against responses that fail because another target sends without end. */
static void
test_largest_body_is_dropped_first (void)
{
	enum { SOUND = 3, BOUND = 65536, BLOCK = 8000, BLOCKS_WITHOUT_END = 6 };
	struct fetch_fixture fixture;
	struct fetch_result results[SOUND + 1];
	char text[1024];
	char block[BLOCK + 1] = "";
	int fds[SOUND + 1];
	memset (block, 'b', BLOCK);
	fixture_init (&fixture, SOUND + 1);
	fixture.loop.bodies.max = BOUND;
	for (int i = 0; i <= SOUND; i++) {
		start_fetch (&fixture, &results[i], "GET", NULL, false);
		results[i].fetch.body_max_bytes = BOUND;
		fds[i] = read_request (&fixture, -1, text, sizeof (text));
		send_reply (&fixture, fds[i],
			i == 0 ? "HTTP/1.1 200 OK\r\n\r\n"
			       : "HTTP/1.1 200 OK\r\nContent-Length: 16000\r\n\r\n");
	}
	for (int i = 0; i < BLOCKS_WITHOUT_END; i++)
		send_reply (&fixture, fds[0], block);
	CU_ASSERT_FALSE (results[0].done);
	for (int part = 0; part < 2; part++) {
		for (int i = 1; i <= SOUND; i++) {
			send_reply (&fixture, fds[i], block);
			CU_ASSERT_TRUE (fixture.loop.bodies.used <= BOUND);
		}
	}
	CU_ASSERT_TRUE (results[0].done);
	CU_ASSERT_EQUAL (results[0].end, FETCH_TOO_LARGE);
	for (int i = 0; i <= SOUND; i++) {
		CU_ASSERT_TRUE (i == 0 || (results[i].done && results[i].end == FETCH_OK));
		CU_ASSERT_TRUE (i == 0 || results[i].fetch.body.len == 2 * BLOCK);
		fetch_cancel (&results[i].fetch);
		fetch_finish (&results[i].fetch);
		close (fds[i]);
	}
	CU_ASSERT_EQUAL (fixture.loop.bodies.used, 0);
	fixture_finish (&fixture);
}

/* Sends without running the loop. */
static void
send_bytes (int fd, const char *bytes)
{
	CU_ASSERT_EQUAL (send (fd, bytes, strlen (bytes), MSG_NOSIGNAL), (ssize_t)strlen (bytes));
}

/*
 * Drops the largest of two replies for the other one, with the end of the dropped one in the same
 * iteration of the loop.
 */
static void
check_end_after_drop (const char *head, const char *size, const char *end, bool close_after)
{
	enum { BOUND = 60000, BLOCK = 8000, LARGE = 3, SMALL = 3 };
	struct fetch_fixture fixture;
	struct fetch_result results[2];
	char text[1024];
	char block[BLOCK + 1] = "";
	int fds[2];
	memset (block, 'b', BLOCK);
	fixture_init (&fixture, 2);
	fixture.loop.bodies.max = BOUND;
	for (int i = 0; i < 2; i++) {
		start_fetch (&fixture, &results[i], "GET", NULL, false);
		results[i].fetch.body_max_bytes = BOUND;
		fds[i] = read_request (&fixture, -1, text, sizeof (text));
	}
	send_reply (&fixture, fds[0], head);
	send_reply (&fixture, fds[1], "HTTP/1.1 200 OK\r\nContent-Length: 24000\r\n\r\n");
	send_bytes (fds[0], size);
	for (int i = 0; i < LARGE; i++)
		send_reply (&fixture, fds[0], block);
	for (int i = 0; i < SMALL - 1; i++)
		send_bytes (fds[1], block);
	run_loop_once (&fixture);
	CU_ASSERT_FALSE (results[0].done);
	send_bytes (fds[1], block);
	send_bytes (fds[0], end);
	if (close_after)
		close (fds[0]);
	run_loop_once (&fixture);
	run_until_done (&fixture, &results[0]);
	CU_ASSERT_EQUAL (results[0].end, FETCH_TOO_LARGE);
	CU_ASSERT_EQUAL (results[0].fetch.body.len, 0);
	run_until_done (&fixture, &results[1]);
	CU_ASSERT_EQUAL (results[1].end, FETCH_OK);
	CU_ASSERT_EQUAL (results[1].fetch.body.len, SMALL * BLOCK);
	for (int i = 0; i < 2; i++)
		fetch_finish (&results[i].fetch);
	if (!close_after)
		close (fds[0]);
	close (fds[1]);
	fixture_finish (&fixture);
}

/* Guards against a reply whose memory was released and that then counts as complete, with an empty
 * body (review/12). */
static void
test_dropped_reply_is_never_complete (void)
{
	check_end_after_drop ("HTTP/1.1 200 OK\r\n\r\n", "", "", true);
	check_end_after_drop ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5dc0\r\n",
		"\r\n0\r\n\r\n", false);
	check_end_after_drop ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5dc0\r\n",
		"\r\n0\r\n\r\n", true);
}

/* Guards against a copy of a body for each target of a fan-out, kept until the last one has
 * answered. */
static void
test_written_request_is_released (void)
{
	enum { TARGETS = 3 };
	static const char *const headers[] = {NULL};
	struct fetch_fixture fixture;
	struct fetch_result results[TARGETS];
	struct buf body;
	char received[1024];
	int fds[TARGETS];
	fixture_init (&fixture, TARGETS);
	buf_init (&body);
	buf_add (&body, "shared", 6);
	struct payload *payload = payload_new (&body, NULL);
	struct fetch_request request = {
		.path = "/p", .payload = payload, .headers = headers, .timeout_us = TIMEOUT_US};
	for (int i = 0; i < TARGETS; i++) {
		memset (&results[i], 0, sizeof (results[i]));
		fetch_start (&results[i].fetch, fixture.pool, &request, on_done);
	}
	CU_ASSERT_EQUAL (payload->refs, 1 + TARGETS);
	for (int i = 0; i < TARGETS; i++) {
		fds[i] = read_request (&fixture, -1, received, sizeof (received));
		CU_ASSERT_PTR_NOT_NULL (strstr (received, "POST /p HTTP/1.1\r\n"));
		CU_ASSERT_PTR_NOT_NULL (strstr (received, "Content-Length: 6\r\n\r\nshared"));
	}
	CU_ASSERT_EQUAL (payload->refs, 1);
	for (int i = 0; i < TARGETS; i++) {
		CU_ASSERT_PTR_NULL (results[i].fetch.out.data);
		fetch_cancel (&results[i].fetch);
		fetch_finish (&results[i].fetch);
		close (fds[i]);
	}
	payload_unref (payload);
	fixture_finish (&fixture);
}

/* A payload larger than the buffers of the socket is written in parts. */
static void
test_large_payload_arrives_whole (void)
{
	enum { BODY_BYTES = 8 * 1024 * 1024 };
	static const char *const headers[] = {NULL};
	struct fetch_fixture fixture;
	struct fetch_result result;
	struct buf body;
	struct buf received;
	char chunk[65536];
	fixture_init (&fixture, 1);
	buf_init (&body);
	buf_init (&received);
	for (int i = 0; i < BODY_BYTES / 8; i++)
		buf_addf (&body, "%08d", i);
	struct payload *payload = payload_new (&body, NULL);
	struct fetch_request request = {
		.path = "/p", .payload = payload, .headers = headers, .timeout_us = TIMEOUT_US};
	memset (&result, 0, sizeof (result));
	fetch_start (&result.fetch, fixture.pool, &request, on_done);
	int fd = accept (fixture.listen_fd, NULL, NULL);
	while (!result.fetch.written) {
		run_loop_once (&fixture);
		ssize_t n = recv (fd, chunk, sizeof (chunk), MSG_DONTWAIT);
		buf_add (&received, chunk, n > 0 ? (size_t)n : 0);
	}
	size_t head_len = (size_t)(strstr (received.data, "\r\n\r\n") - received.data) + 4;
	while (received.len < head_len + BODY_BYTES) {
		ssize_t n = recv (fd, chunk, sizeof (chunk), 0);
		CU_ASSERT_TRUE_FATAL (n > 0);
		buf_add (&received, chunk, (size_t)n);
	}
	CU_ASSERT_EQUAL_FATAL (received.len, head_len + BODY_BYTES);
	CU_ASSERT_EQUAL (memcmp (received.data + head_len, payload->bytes.data, BODY_BYTES), 0);
	fetch_cancel (&result.fetch);
	fetch_finish (&result.fetch);
	payload_unref (payload);
	buf_finish (&received);
	close (fd);
	fixture_finish (&fixture);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (partial_reads_and_connection_reuse),
		TEST (replies_ended_by_close_or_reset),
		TEST (invalid_status_codes_end_the_fetch),
		TEST (interim_response_with_a_body_ends_the_fetch),
		TEST (extra_bytes_close_the_connection),
		TEST (reset_idle_connection_is_not_used),
		TEST (request_is_not_resent),
		TEST (refused_connection_is_reported_as_not_sent),
		TEST (waiting_for_a_free_connection),
		TEST (heads_have_a_common_limit),
		TEST (largest_head_is_dropped_first),
		TEST (idle_connections_hold_no_lines),
		TEST (largest_body_is_dropped_first),
		TEST (dropped_reply_is_never_complete),
		TEST (deadline_and_cancel),
		TEST (keep_alive_timeout_and_early_close),
		TEST (endless_head_ends_the_fetch),
		TEST (a_flood_leaves_the_loop_to_others),
		TEST (unread_bytes_and_a_close_are_read_later),
		TEST (endless_interim_replies_end_with_the_deadline),
		TEST (endless_bodies_share_one_bound),
		TEST (written_request_is_released),
		TEST (large_payload_arrives_whole),
	};
	return suite_run ("fetch", tests, sizeof (tests) / sizeof (tests[0]));
}
