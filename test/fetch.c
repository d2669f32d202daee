/**
 * @file fetch.c
 * Tests of the HTTP client against a scripted peer on loopback: each reply is given byte by byte.
 */
#include "net/fetch.h"
#include "test/suite.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { MS = US_PER_MS, ROUNDS = 200, LONG_US = 5000 * US_PER_MS };

struct bed {
	struct clock clock;
	struct timers timers;
	struct fetch_loop loop;
	struct fetch_pool *pool;
	int epoll_fd;
	int listen_fd;
	int lost;
};

/* A fetch and how it ended. */
struct got {
	struct fetch fetch;
	bool done;
	enum fetch_end end;
};

static void
on_lost (void *user)
{
	((struct bed *)user)->lost++;
}

static bool
may_open (void *user)
{
	(void)user;
	return true;
}

static void
on_done (struct fetch *fetch, enum fetch_end end)
{
	struct got *got = caa_container_of (fetch, struct got, fetch);
	got->done = true;
	got->end = end;
}

static void
bed_init (struct bed *bed, int connections)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof (address);
	char text[64];
	memset (bed, 0, sizeof (*bed));
	address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	bed->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL (
		bind (bed->listen_fd, (struct sockaddr *)&address, sizeof (address)), 0);
	listen (bed->listen_fd, 8);
	getsockname (bed->listen_fd, (struct sockaddr *)&address, &len);
	snprintf (text, sizeof (text), "127.0.0.1:%d", ntohs (address.sin_port));
	clock_init_manual (&bed->clock, 1000 * MS);
	timers_init (&bed->timers);
	bed->epoll_fd = epoll_create1 (0);
	fetch_loop_init (&bed->loop, bed->epoll_fd, &bed->clock, &bed->timers);
	struct fetch_hooks hooks = {on_lost, may_open, bed};
	bed->pool = fetch_pool_new (&bed->loop, text, connections, &hooks);
}

static void
bed_finish (struct bed *bed)
{
	fetch_loop_finish (&bed->loop);
	timers_finish (&bed->timers);
	close (bed->epoll_fd);
	close (bed->listen_fd);
}

/* Handles what is there, without letting time pass. */
static void
turn (struct bed *bed)
{
	struct epoll_event events[8];
	struct timer *timer;
	int count = epoll_wait (bed->epoll_fd, events, 8, 5);
	for (int i = 0; i < count; i++)
		fetch_socket_event (&bed->loop, events[i].data.fd, events[i].events);
	while ((timer = timers_pop_due (&bed->timers, clock_now_us (&bed->clock))))
		fetch_timer_due (timer);
	fetch_loop_clean (&bed->loop);
}

static void
start (struct bed *bed, struct got *got, const char *method, const char *body, bool new_connection)
{
	static const char *const headers[] = {"X-One: 1", NULL};
	struct fetch_request request = {.method = method,
		.path = "/p?q=1",
		.body = body,
		.body_len = body ? strlen (body) : 0,
		.headers = headers,
		.connect_timeout_us = 200 * MS,
		.timeout_us = LONG_US,
		.new_connection = new_connection};
	memset (got, 0, sizeof (*got));
	got->fetch.body_max_bytes = 4096;
	fetch_start (&got->fetch, bed->pool, &request, on_done);
}

/* Accepts a connection and reads a request from it. */
static int
serve (struct bed *bed, int fd, char *request, size_t size)
{
	if (fd < 0)
		fd = accept (bed->listen_fd, NULL, NULL);
	turn (bed);
	ssize_t n = recv (fd, request, size - 1, 0);
	request[n > 0 ? n : 0] = '\0';
	return fd;
}

static void
reply (struct bed *bed, int fd, const char *text)
{
	CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
	turn (bed);
}

static void
until_done (struct bed *bed, const struct got *got)
{
	for (int i = 0; i < ROUNDS && !got->done; i++)
		turn (bed);
	CU_ASSERT_TRUE (got->done);
}

static void
end_by_reset (int fd)
{
	struct linger linger = {1, 0};
	setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof (linger));
	close (fd);
}

static void
test_reply_in_pieces_and_reuse (void)
{
	struct bed bed;
	struct got got;
	char request[1024];
	bed_init (&bed, 2);
	start (&bed, &got, NULL, "body", false);
	int fd = serve (&bed, -1, request, sizeof (request));
	CU_ASSERT_PTR_NOT_NULL (strstr (request, "POST /p?q=1 HTTP/1.1\r\nX-One: 1\r\n"));
	CU_ASSERT_PTR_NOT_NULL (strstr (request, "Content-Length: 4\r\n\r\nbody"));
	reply (&bed, fd, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Le");
	reply (&bed, fd, "ngth: 5\r\n\r\nhe");
	CU_ASSERT_FALSE (got.done);
	reply (&bed, fd, "llo");
	until_done (&bed, &got);
	CU_ASSERT_EQUAL (got.end, FETCH_OK);
	CU_ASSERT_EQUAL (got.fetch.status, 200);
	CU_ASSERT_STRING_EQUAL (got.fetch.body.data, "hello");
	fetch_finish (&got.fetch);
	start (&bed, &got, NULL, NULL, false);
	serve (&bed, fd, request, sizeof (request));
	CU_ASSERT_PTR_NOT_NULL (strstr (request, "GET /p?q=1 HTTP/1.1"));
	reply (&bed, fd,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
	until_done (&bed, &got);
	CU_ASSERT_EQUAL (got.end, FETCH_OK);
	CU_ASSERT_STRING_EQUAL (got.fetch.body.data, "abc");
	CU_ASSERT_FALSE (got.fetch.opened_connection);
	fetch_finish (&got.fetch);
	close (fd);
	bed_finish (&bed);
}

static void
test_replies_that_end_early (void)
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
		/* Without a length the end of the connection ends the body, but a reset does not.
		 */
		{"HTTP/1.1 200 OK\r\n\r\nhello", false, FETCH_OK},
		{"HTTP/1.1 200 OK\r\n\r\nhello", true, FETCH_FAILED},
	};
	for (size_t i = 0; i < sizeof (cases) / sizeof (cases[0]); i++) {
		struct bed bed;
		struct got got;
		char request[1024];
		bed_init (&bed, 1);
		start (&bed, &got, NULL, NULL, false);
		int fd = serve (&bed, -1, request, sizeof (request));
		if (cases[i].text[0])
			reply (&bed, fd, cases[i].text);
		if (cases[i].reset)
			end_by_reset (fd);
		else
			close (fd);
		until_done (&bed, &got);
		CU_ASSERT_EQUAL (got.end, cases[i].end);
		fetch_finish (&got.fetch);
		bed_finish (&bed);
	}
}

static void
test_extra_bytes_close_the_connection (void)
{
	struct bed bed;
	struct got got;
	char request[1024];
	bed_init (&bed, 1);
	start (&bed, &got, NULL, NULL, false);
	int fd = serve (&bed, -1, request, sizeof (request));
	reply (&bed, fd,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
		"Content-Length: 5\r\n\r\nextra");
	until_done (&bed, &got);
	CU_ASSERT_EQUAL (got.end, FETCH_OK);
	CU_ASSERT_STRING_EQUAL (got.fetch.body.data, "ok");
	CU_ASSERT_EQUAL (bed.pool->conn_count, 0);
	fetch_finish (&got.fetch);
	close (fd);
	bed_finish (&bed);
}

static void
test_a_dead_kept_connection_is_not_used (void)
{
	struct bed bed;
	struct got got;
	char request[1024];
	bed_init (&bed, 1);
	start (&bed, &got, NULL, NULL, false);
	int fd = serve (&bed, -1, request, sizeof (request));
	reply (&bed, fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	until_done (&bed, &got);
	fetch_finish (&got.fetch);
	end_by_reset (fd);
	/* Its end was not seen yet; the write fails and no byte has left. */
	start (&bed, &got, NULL, NULL, false);
	fd = serve (&bed, -1, request, sizeof (request));
	CU_ASSERT_PTR_NOT_NULL (strstr (request, "GET /p?q=1"));
	CU_ASSERT_TRUE (got.fetch.opened_connection);
	reply (&bed, fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	until_done (&bed, &got);
	CU_ASSERT_EQUAL (got.end, FETCH_OK);
	fetch_finish (&got.fetch);
	close (fd);
	bed_finish (&bed);
}

static void
test_a_request_is_written_once (void)
{
	struct bed bed;
	struct got got;
	char request[1024];
	bed_init (&bed, 1);
	start (&bed, &got, NULL, NULL, false);
	int fd = serve (&bed, -1, request, sizeof (request));
	reply (&bed, fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	until_done (&bed, &got);
	fetch_finish (&got.fetch);
	start (&bed, &got, NULL, "x", false);
	serve (&bed, fd, request, sizeof (request));
	end_by_reset (fd);
	until_done (&bed, &got);
	/* It may have run: another send is not this client's decision. */
	CU_ASSERT_EQUAL (got.end, FETCH_FAILED);
	CU_ASSERT_TRUE (got.fetch.sent);
	fetch_finish (&got.fetch);
	bed_finish (&bed);
}

static void
test_what_nobody_accepts_is_not_sent (void)
{
	struct bed bed;
	struct got got;
	bed_init (&bed, 1);
	close (bed.listen_fd);
	bed.listen_fd = -1;
	start (&bed, &got, NULL, "x", true);
	until_done (&bed, &got);
	CU_ASSERT_EQUAL (got.end, FETCH_NOT_SENT);
	fetch_finish (&got.fetch);
	bed_finish (&bed);
}

static void
test_waiting_for_a_connection (void)
{
	struct bed bed;
	struct got first;
	struct got second;
	char request[1024];
	bed_init (&bed, 1);
	start (&bed, &first, NULL, NULL, false);
	start (&bed, &second, NULL, NULL, false);
	int fd = serve (&bed, -1, request, sizeof (request));
	CU_ASSERT_PTR_NULL (second.fetch.conn);
	reply (&bed, fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	until_done (&bed, &first);
	serve (&bed, fd, request, sizeof (request));
	reply (&bed, fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2");
	until_done (&bed, &second);
	CU_ASSERT_STRING_EQUAL (second.fetch.body.data, "2");
	CU_ASSERT_EQUAL (bed.pool->conn_count, 0);
	fetch_finish (&first.fetch);
	fetch_finish (&second.fetch);
	close (fd);
	bed_finish (&bed);
}

static void
test_silence_and_cancel (void)
{
	struct bed bed;
	struct got got;
	char request[1024];
	bed_init (&bed, 2);
	start (&bed, &got, NULL, NULL, false);
	int fd = serve (&bed, -1, request, sizeof (request));
	fetch_shorten_timeout (&got.fetch, 400 * MS);
	clock_advance (&bed.clock, 399 * MS);
	turn (&bed);
	CU_ASSERT_FALSE (got.done);
	clock_advance (&bed.clock, 1 * MS);
	turn (&bed);
	CU_ASSERT_TRUE (got.done);
	CU_ASSERT_EQUAL (got.end, FETCH_SILENT);
	CU_ASSERT_EQUAL (recv (fd, request, sizeof (request), 0), 0);
	close (fd);
	fetch_finish (&got.fetch);
	start (&bed, &got, NULL, NULL, false);
	fd = serve (&bed, -1, request, sizeof (request));
	fetch_cancel (&got.fetch);
	CU_ASSERT_FALSE (got.done);
	CU_ASSERT_EQUAL (recv (fd, request, sizeof (request), 0), 0);
	fetch_finish (&got.fetch);
	close (fd);
	bed_finish (&bed);
}

static void
test_idle_connections_end_in_time (void)
{
	struct bed bed;
	struct got got;
	char request[1024];
	bed_init (&bed, 1);
	start (&bed, &got, NULL, NULL, false);
	int fd = serve (&bed, -1, request, sizeof (request));
	reply (&bed, fd, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n");
	until_done (&bed, &got);
	fetch_finish (&got.fetch);
	clock_advance (&bed.clock, 1800 * MS);
	start (&bed, &got, NULL, NULL, false);
	CU_ASSERT_TRUE (got.fetch.opened_connection);
	int next = serve (&bed, -1, request, sizeof (request));
	reply (&bed, next, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	until_done (&bed, &got);
	fetch_finish (&got.fetch);
	close (next);
	for (int i = 0; i < 3; i++)
		turn (&bed);
	CU_ASSERT_EQUAL (bed.lost, 1);
	CU_ASSERT_EQUAL (bed.pool->conn_count, 0);
	close (fd);
	bed_finish (&bed);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (reply_in_pieces_and_reuse),
		TEST (replies_that_end_early),
		TEST (extra_bytes_close_the_connection),
		TEST (a_dead_kept_connection_is_not_used),
		TEST (a_request_is_written_once),
		TEST (what_nobody_accepts_is_not_sent),
		TEST (waiting_for_a_connection),
		TEST (silence_and_cancel),
		TEST (idle_connections_end_in_time),
	};
	return suite_run ("fetch", tests, sizeof (tests) / sizeof (tests[0]));
}
