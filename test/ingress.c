/**
 * @file ingress.c
 * Tests of how callers' connections end when a node stops, with real sockets on loopback: what the
 * kernel does with unread bytes does not show in a model.
 */
#include "net/ingress.h"
#include "query/drain.h"
#include "test/suite.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <malloc.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	MAX_CONNECTIONS = 16,
	HELD_MAX = 24,
	ANSWER_MAX_BYTES = 4 * 1024 * 1024,
	SMALL_BUFFER = 4096,
	READ_PAUSE_US = 200,
	STOP_TURNS = 400,
	STOP_WAIT_MS = 2,
};

static const char head[] = "POST /file/x HTTP/1.1\r\nHost: site.example\r\n";

struct fixture {
	struct clock clock;
	struct ingress ingress;
	int epoll_fd;
	int port;
	struct ingress_request *held[HELD_MAX]; /* received and not answered yet */
	int held_count;
	int received_count;
	int left_count;
	int unanswered[INGRESS_WRITTEN + 1]; /* by state */
};

/* A caller that reads in a thread of its own until its connection ends. */
struct reader {
	pthread_t thread;
	int fd;
	int pause_us;
	size_t len;
	char *data;
};

static void
hold_request (struct ingress_request *request, void *user)
{
	struct fixture *fixture = user;
	request->user = fixture;
	fixture->received_count++;
	if (fixture->held_count < HELD_MAX)
		fixture->held[fixture->held_count++] = request;
}

static void
count_caller_left (struct ingress_request *request, void *user)
{
	struct fixture *fixture = user;
	request->user = NULL;
	fixture->left_count++;
}

static void
count_unanswered (
	const struct ingress_request *request, enum ingress_state state, int64_t age_us, void *user)
{
	struct fixture *fixture = user;
	CU_ASSERT_EQUAL (request == NULL, state == INGRESS_UNREAD);
	CU_ASSERT_TRUE (age_us >= 0 && age_us < 10 * US_PER_S);
	fixture->unanswered[state]++;
}

static int
unanswered_count (const struct fixture *fixture)
{
	int count = 0;
	for (int i = 0; i <= INGRESS_WRITTEN; i++)
		count += fixture->unanswered[i];
	return count;
}

static int
free_port (void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof (address);
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, sizeof (address)), 0);
	getsockname (fd, (struct sockaddr *)&address, &len);
	close (fd);
	return ntohs (address.sin_port);
}

static void
fixture_init (struct fixture *fixture)
{
	struct error error = {0};
	struct listener listener;
	char address[32];
	struct ingress_limits limits = {32768, 262144, 20000000}; /* as the front has */
	struct ingress_hooks hooks = {hold_request, count_caller_left, fixture};
	memset (fixture, 0, sizeof (*fixture));
	clock_init_system (&fixture->clock);
	fixture->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
	fixture->port = free_port ();
	snprintf (address, sizeof (address), "127.0.0.1:%d", fixture->port);
	CU_ASSERT_TRUE_FATAL (listener_bind (&listener, "address", address, &error));
	CU_ASSERT_TRUE_FATAL (listener_open (&listener, &error));
	CU_ASSERT_TRUE_FATAL (ingress_start (&fixture->ingress, &fixture->clock, &listener,
		fixture->epoll_fd, MAX_CONNECTIONS, &limits, &hooks, &error));
	ingress_watch_unanswered (&fixture->ingress, count_unanswered);
}

/* Lets the server work for a number of turns. */
static void
run (struct fixture *fixture, int turns)
{
	for (int i = 0; i < turns; i++) {
		ingress_run (&fixture->ingress);
		poll (NULL, 0, 1);
	}
}

static bool
is_flushing (struct fixture *fixture, int turn, int64_t end_us)
{
	return (fixture->ingress.request_count > 0 && clock_now_us (&fixture->clock) < end_us) ||
	       (ingress_unwritten (&fixture->ingress) > 0 && turn < STOP_TURNS);
}

/* The end of a planned stop, as the front does it. */
static void
stop (struct fixture *fixture)
{
	ingress_stop_listening (&fixture->ingress);
	int64_t end_us = clock_now_us (&fixture->clock) + DRAIN_FLUSH_US;
	for (int i = 0; i < 3 || is_flushing (fixture, i, end_us); i++) {
		ingress_run (&fixture->ingress);
		for (int j = 0; j < fixture->held_count; j++)
			ingress_answer (fixture->held[j], 503, NULL, NULL, 0, true);
		fixture->held_count = 0;
		poll (NULL, 0, STOP_WAIT_MS);
	}
	ingress_shutdown (&fixture->ingress);
	for (int i = 0; i < STOP_TURNS && ingress_discard (&fixture->ingress) > 0; i++)
		poll (NULL, 0, STOP_WAIT_MS);
	ingress_stop (&fixture->ingress);
	close (fixture->epoll_fd);
}

static int
connect_caller (const struct fixture *fixture, int receive_buffer)
{
	struct sockaddr_in peer = {
		.sin_family = AF_INET, .sin_port = htons ((uint16_t)fixture->port)};
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	peer.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	if (receive_buffer)
		setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof (receive_buffer));
	CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&peer, sizeof (peer)), 0);
	return fd;
}

static void
send_text (int fd, const char *text)
{
	CU_ASSERT_EQUAL_FATAL (
		send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
}

static void *
read_all (void *user)
{
	struct reader *reader = user;
	ssize_t n = 0;
	while (reader->len < ANSWER_MAX_BYTES && (n = recv (reader->fd, reader->data + reader->len,
							  ANSWER_MAX_BYTES - reader->len, 0)) > 0) {
		reader->len += (size_t)n;
		if (reader->pause_us)
			usleep ((useconds_t)reader->pause_us);
	}
	/* As callers do once they see the end. */
	close (reader->fd);
	return NULL;
}

static void
reader_start (struct reader *reader, int fd, int pause_us)
{
	reader->fd = fd;
	reader->pause_us = pause_us;
	reader->len = 0;
	reader->data = xcalloc (1, ANSWER_MAX_BYTES + 1);
	pthread_create (&reader->thread, NULL, read_all, reader);
}

static void
reader_join (struct reader *reader)
{
	pthread_join (reader->thread, NULL);
	reader->data[reader->len] = '\0';
}

static bool
is_refusal (const struct reader *reader)
{
	return strncmp (reader->data, "HTTP/1.1 503 ", 13) == 0 &&
	       strstr (reader->data, "Connection: close\r\n") && strstr (reader->data, "\r\n\r\n");
}

/* One iteration of the front's loop: the callers' sockets first, then the server. */
static void
iterate (struct fixture *fixture)
{
	struct epoll_event events[MAX_CONNECTIONS];
	int count = epoll_wait (fixture->epoll_fd, events, MAX_CONNECTIONS, 10);
	for (int i = 0; i < count; i++)
		ingress_socket_event (&fixture->ingress, events[i].data.fd, events[i].events);
	ingress_run (&fixture->ingress);
}

/*
 * Guards against a request that is passed on although its caller has left: both came while the
 * thread did not run, on a connection that was open before.
 */
static void
test_request_of_a_caller_that_left_is_not_passed_on (void)
{
	struct fixture fixture;
	char answer[256];
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, 0);
	send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	for (int i = 0; i < 5; i++)
		iterate (&fixture);
	CU_ASSERT_EQUAL_FATAL (fixture.held_count, 1);
	ingress_answer (fixture.held[0], 200, NULL, NULL, 0, false);
	fixture.held_count = 0;
	for (int i = 0; i < 5; i++)
		iterate (&fixture);
	CU_ASSERT_TRUE (recv (fd, answer, sizeof (answer), 0) > 0);
	send_text (fd, "GET /all/y HTTP/1.1\r\nHost: site.example\r\n\r\n");
	close (fd);
	for (int i = 0; i < 10; i++)
		iterate (&fixture);
	/* Passed on before the leaving is known, it would have to be reported at once. */
	CU_ASSERT_EQUAL (fixture.received_count - 1, fixture.left_count);
	CU_ASSERT_EQUAL (fixture.ingress.connection_count, 0);
	fixture.held_count = 0;
	stop (&fixture);
}

/*
 * Guards against partial answers that come much too early: callers acknowledge an answer up to 40
 * ms later if they send nothing, which is no time on the network.
 */
static void
test_late_acknowledgements_are_no_travel_time (void)
{
	struct fixture fixture;
	char answer[256];
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, 0);
	for (int i = 0; i < 30; i++) {
		send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
		while (fixture.held_count == 0)
			iterate (&fixture);
		int64_t travel_us = ingress_travel_us (fixture.held[0]);
		CU_ASSERT_TRUE (travel_us > 0 && travel_us < 10 * US_PER_MS);
		ingress_answer (fixture.held[0], 200, NULL, NULL, 0, false);
		fixture.held_count = 0;
		for (int j = 0; j < 5; j++)
			iterate (&fixture);
		CU_ASSERT_TRUE (recv (fd, answer, sizeof (answer), 0) > 0);
		poll (NULL, 0, 60);
	}
	close (fd);
	stop (&fixture);
}

/* The same on a new connection. */
static void
test_caller_that_left_before_it_was_accepted (void)
{
	struct fixture fixture;
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, 0);
	send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	close (fd);
	for (int i = 0; i < 10; i++)
		iterate (&fixture);
	CU_ASSERT_EQUAL (fixture.received_count, 0);
	CU_ASSERT_EQUAL (fixture.ingress.connection_count, 0);
	stop (&fixture);
}

/* Guards against requests that are reset because the node had not accepted their connection. */
static void
test_stop_refuses_connections_not_accepted (void)
{
	struct fixture fixture;
	struct reader readers[3];
	fixture_init (&fixture);
	for (int i = 0; i < 3; i++) {
		int fd = connect_caller (&fixture, 0);
		send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
		reader_start (&readers[i], fd, 0);
	}
	stop (&fixture);
	for (int i = 0; i < 3; i++) {
		reader_join (&readers[i]);
		CU_ASSERT_TRUE (is_refusal (&readers[i]));
		free (readers[i].data);
	}
}

/* Guards against requests that arrived after the last turn of the loop and are reset unread. */
static void
test_stop_refuses_requests_not_read (void)
{
	struct fixture fixture;
	struct reader reader;
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, 0);
	run (&fixture, 3);
	send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	reader_start (&reader, fd, 0);
	stop (&fixture);
	reader_join (&reader);
	CU_ASSERT_TRUE (is_refusal (&reader));
	free (reader.data);
}

/* Guards against a request that arrives while the thread does not run, before the last step. */
static void
test_stop_refuses_requests_that_arrive_before_its_last_step (void)
{
	struct fixture fixture;
	struct reader reader;
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, 0);
	run (&fixture, 3);
	send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	reader_start (&reader, fd, 0);
	poll (NULL, 0, STOP_WAIT_MS);
	ingress_shutdown (&fixture.ingress);
	for (int i = 0; i < STOP_TURNS && ingress_discard (&fixture.ingress) > 0; i++)
		poll (NULL, 0, STOP_WAIT_MS);
	ingress_stop (&fixture.ingress);
	reader_join (&reader);
	CU_ASSERT_TRUE (is_refusal (&reader));
	CU_ASSERT_EQUAL (fixture.received_count, 0);
	CU_ASSERT_EQUAL (unanswered_count (&fixture), 0);
	free (reader.data);
	close (fixture.epoll_fd);
}

/* Guards against a connection that ends without an answer while its request is being sent. */
static void
test_stop_refuses_requests_read_in_part (void)
{
	static const char *const parts[] = {"", "Content-Length: 10\r\n\r\n",
		"Content-Length: 10\r\n\r\n12345", "Transfer-Encoding: chunked\r\n\r\n5\r\n123"};
	for (size_t i = 0; i < sizeof (parts) / sizeof (parts[0]); i++) {
		struct fixture fixture;
		struct reader reader;
		fixture_init (&fixture);
		int fd = connect_caller (&fixture, 0);
		send_text (fd, head);
		send_text (fd, parts[i]);
		run (&fixture, 5);
		reader_start (&reader, fd, 0);
		stop (&fixture);
		reader_join (&reader);
		CU_ASSERT_TRUE (is_refusal (&reader));
		CU_ASSERT_EQUAL (fixture.held_count, 0);
		free (reader.data);
	}
}

/* Guards against callers that get nothing because the server has as many as it may. */
static void
test_stop_refuses_connections_beyond_the_limit (void)
{
	enum { CALLERS = MAX_CONNECTIONS + 4 };
	struct fixture fixture;
	struct reader readers[CALLERS];
	fixture_init (&fixture);
	for (int i = 0; i < CALLERS; i++) {
		int fd = connect_caller (&fixture, 0);
		send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
		reader_start (&readers[i], fd, 0);
	}
	stop (&fixture);
	for (int i = 0; i < CALLERS; i++) {
		reader_join (&readers[i]);
		CU_ASSERT_TRUE (is_refusal (&readers[i]));
		free (readers[i].data);
	}
}

/* Guards against an abort of the process when a request is left over. */
static void
test_stop_with_a_request_being_handled_ends_its_connection (void)
{
	struct fixture fixture;
	struct reader reader;
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, 0);
	send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	run (&fixture, 5);
	CU_ASSERT_EQUAL_FATAL (fixture.held_count, 1);
	reader_start (&reader, fd, 0);
	ingress_shutdown (&fixture.ingress);
	ingress_stop (&fixture.ingress);
	reader_join (&reader);
	CU_ASSERT_EQUAL (fixture.left_count, 1);
	CU_ASSERT_EQUAL (fixture.unanswered[INGRESS_HANDLED], 1);
	free (reader.data);
	close (fixture.epoll_fd);
}

/* Guards against a stop that waits for a caller which has not sent its whole request. */
static void
test_partial_requests_are_not_awaited_as_answers (void)
{
	struct fixture fixture;
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, 0);
	send_text (fd, head);
	run (&fixture, 5);
	CU_ASSERT_EQUAL (fixture.ingress.request_count, 1);
	CU_ASSERT_EQUAL (ingress_unwritten (&fixture.ingress), 0);
	close (fd);
	stop (&fixture);
}

/* Guards against an answer that is cut because its caller reads slowly. */
static void
test_stop_waits_for_slow_readers (void)
{
	enum { LEN = 3000000 };
	struct fixture fixture;
	struct reader reader;
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, SMALL_BUFFER);
	send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	run (&fixture, 3);
	CU_ASSERT_EQUAL_FATAL (fixture.held_count, 1);
	ingress_answer (fixture.held[0], 200, NULL, xcalloc (1, LEN), LEN, false);
	fixture.held_count = 0;
	run (&fixture, 2);
	/* Before the caller reads, since a reader that runs while this thread does not takes all of
	 * it. */
	CU_ASSERT_EQUAL (ingress_unwritten (&fixture.ingress), 1);
	reader_start (&reader, fd, READ_PAUSE_US);
	stop (&fixture);
	reader_join (&reader);
	CU_ASSERT_TRUE (reader.len > LEN);
	free (reader.data);
}

/*
 * Guards against a closing answer that is lost because the caller has sent more bytes, so that the
 * kernel resets the connection and drops what it has not sent.
 */
static void
test_closing_answer_survives_unread_bytes (void)
{
	enum { LEN = 3000000, MORE = 200000 };
	struct fixture fixture;
	struct reader reader;
	char *more = xcalloc (1, MORE);
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, SMALL_BUFFER);
	send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	run (&fixture, 3);
	CU_ASSERT_EQUAL_FATAL (fixture.held_count, 1);
	fcntl (fd, F_SETFL, O_NONBLOCK);
	CU_ASSERT_TRUE (send (fd, more, MORE, MSG_NOSIGNAL) > 0);
	fcntl (fd, F_SETFL, 0);
	ingress_answer (fixture.held[0], 200, NULL, xcalloc (1, LEN), LEN, true);
	fixture.held_count = 0;
	reader_start (&reader, fd, READ_PAUSE_US);
	run (&fixture, STOP_TURNS);
	reader_join (&reader);
	CU_ASSERT_TRUE (reader.len > LEN);
	stop (&fixture);
	free (reader.data);
	free (more);
}

/* Ends a server without the steps before it, as a fault would. */
static void
end_abruptly (struct fixture *fixture)
{
	ingress_shutdown (&fixture->ingress);
	/* The library does not stop while requests are suspended. */
	for (int i = 0; i < fixture->held_count; i++)
		ingress_answer (fixture->held[i], 503, NULL, NULL, 0, true);
	ingress_stop (&fixture->ingress);
	close (fixture->epoll_fd);
}

/* Guards against a lost answer that leaves no trace: each state of a request has its own count. */
static void
test_connections_ended_without_an_answer_are_reported (void)
{
	enum { LEN = 3000000 };
	for (int state = INGRESS_UNREAD; state <= INGRESS_WRITTEN; state++) {
		struct fixture fixture;
		struct reader reader;
		fixture_init (&fixture);
		int fd = connect_caller (&fixture, SMALL_BUFFER);
		run (&fixture, 3);
		send_text (fd, head);
		if (state != INGRESS_PARTIAL)
			send_text (fd, "Content-Length: 0\r\n\r\n");
		run (&fixture, state == INGRESS_UNREAD ? 0 : 3);
		if (state == INGRESS_WRITTEN) {
			ingress_answer (fixture.held[0], 200, NULL, xcalloc (1, LEN), LEN, false);
			fixture.held_count = 0;
			run (&fixture, 3);
		}
		end_abruptly (&fixture);
		/* A request that was not read, or only in part, gets a refusal. */
		bool is_refused = state == INGRESS_UNREAD || state == INGRESS_PARTIAL;
		CU_ASSERT_EQUAL (fixture.unanswered[state], !is_refused);
		CU_ASSERT_EQUAL (unanswered_count (&fixture), !is_refused);
		reader_start (&reader, fd, 0);
		reader_join (&reader);
		CU_ASSERT_EQUAL (is_refusal (&reader), is_refused);
		free (reader.data);
	}
}

/* Guards against false alarms: callers that left, idle connections, and answers that were read. */
static void
test_ends_that_callers_expect_are_not_reported (void)
{
	struct fixture fixture;
	fixture_init (&fixture);
	int idle = connect_caller (&fixture, 0);
	int answered = connect_caller (&fixture, 0);
	send_text (answered, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	run (&fixture, 3);
	ingress_answer (fixture.held[0], 200, NULL, NULL, 0, true);
	fixture.held_count = 0;
	int leaves = connect_caller (&fixture, 0);
	send_text (leaves, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	run (&fixture, 3);
	close (leaves);
	end_abruptly (&fixture);
	CU_ASSERT_EQUAL (fixture.received_count, 2);
	CU_ASSERT_EQUAL (unanswered_count (&fixture), 0);
	close (idle);
	close (answered);
}

/* Guards against connections that hang in the queue of a socket that nobody accepts from. */
static void
test_stopped_listener_turns_callers_away (void)
{
	struct fixture fixture;
	struct sockaddr_in peer = {.sin_family = AF_INET};
	fixture_init (&fixture);
	ingress_stop_listening (&fixture.ingress);
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	peer.sin_port = htons ((uint16_t)fixture.port);
	peer.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	CU_ASSERT_NOT_EQUAL (connect (fd, (struct sockaddr *)&peer, sizeof (peer)), 0);
	close (fd);
	stop (&fixture);
}

/* Guards against a second process that takes a share of the connections of a running one. */
static void
test_second_server_on_the_same_port_is_refused (void)
{
	struct fixture fixture;
	struct listener second;
	struct error error = {0};
	char address[32];
	fixture_init (&fixture);
	snprintf (address, sizeof (address), "127.0.0.1:%d", fixture.port);
	CU_ASSERT_FALSE (listener_bind (&second, "front.address", address, &error));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "front.address"));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, address));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "in use by another process"));
	stop (&fixture);
}

/* Guards against two processes that start together, are both bound and then both accept. */
static void
test_second_of_two_bound_listeners_cannot_open (void)
{
	struct listener first;
	struct listener second;
	struct error error = {0};
	char address[32];
	snprintf (address, sizeof (address), "127.0.0.1:%d", free_port ());
	CU_ASSERT_TRUE_FATAL (listener_bind (&first, "front.address", address, &error));
	CU_ASSERT_TRUE_FATAL (listener_bind (&second, "front.address", address, &error));
	CU_ASSERT_TRUE (listener_open (&first, &error));
	CU_ASSERT_FALSE (listener_open (&second, &error));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, address));
	CU_ASSERT_PTR_NOT_NULL (strstr (error.message, "in use by another process"));
	listener_close (&first);
	listener_close (&second);
}

/* Guards against connections that are accepted, and then lost, by a process that cannot start. */
static void
test_bound_listener_accepts_nothing (void)
{
	struct fixture fixture;
	struct listener listener;
	struct error error = {0};
	struct sockaddr_in peer = {.sin_family = AF_INET};
	char address[32];
	fixture.port = free_port ();
	snprintf (address, sizeof (address), "127.0.0.1:%d", fixture.port);
	CU_ASSERT_TRUE_FATAL (listener_bind (&listener, "front.address", address, &error));
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	peer.sin_port = htons ((uint16_t)fixture.port);
	peer.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	CU_ASSERT_NOT_EQUAL (connect (fd, (struct sockaddr *)&peer, sizeof (peer)), 0);
	close (fd);
	CU_ASSERT_TRUE_FATAL (listener_open (&listener, &error));
	close (connect_caller (&fixture, 0));
	listener_close (&listener);
}

/* Guards against a restart that fails because of connections that its predecessor has closed. */
static void
test_successor_starts_right_after_its_predecessor (void)
{
	struct fixture fixture;
	struct listener successor;
	struct error error = {0};
	char address[32];
	char answer[256];
	fixture_init (&fixture);
	snprintf (address, sizeof (address), "127.0.0.1:%d", fixture.port);
	int kept = connect_caller (&fixture, 0);
	int ended = connect_caller (&fixture, 0);
	send_text (ended, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	run (&fixture, 5);
	CU_ASSERT_EQUAL_FATAL (fixture.held_count, 1);
	/* The server closes first, so that its side stays in TIME_WAIT. */
	ingress_answer (fixture.held[0], 200, NULL, NULL, 0, true);
	fixture.held_count = 0;
	run (&fixture, 5);
	CU_ASSERT_TRUE (recv (ended, answer, sizeof (answer), 0) > 0);
	CU_ASSERT_EQUAL (recv (ended, answer, sizeof (answer), 0), 0);
	close (ended);
	stop (&fixture);
	CU_ASSERT_TRUE_FATAL (listener_bind (&successor, "front.address", address, &error));
	CU_ASSERT_TRUE (listener_open (&successor, &error));
	listener_close (&successor);
	close (kept);
}

enum {
	SLOW_CALLERS = 7,
	LARGE_ANSWER = 4 * 1024 * 1024,
	SMALL_ANSWER =
		3 * 1024 * 1024, /* more than the kernel takes for a caller that does not read */
	/* One answer of as many callers, over the limit together. */
	ALL_TOO_LARGE = INGRESS_ANSWER_BYTES_MAX / SLOW_CALLERS + 65536,
	SLOW_TURNS = 700, /* longer than INGRESS_SLOW_US */
};

static void
answer_held (struct fixture *fixture, size_t len)
{
	run (fixture, 5);
	CU_ASSERT_EQUAL_FATAL (fixture->held_count, 1);
	char *body = xmalloc (len);
	memset (body, 'a', len);
	ingress_answer (fixture->held[0], 200, NULL, body, len, false);
	fixture->held_count = 0;
	run (fixture, 2);
}

static int
ask_slowly (const struct fixture *fixture)
{
	int fd = connect_caller (fixture, SMALL_BUFFER);
	send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n\r\n");
	return fd;
}

/* Guards against a limit of unread answers that cuts those which are being read. */
static void
test_limit_of_unread_answers_spares_callers_that_read (void)
{
	struct fixture fixture;
	struct reader readers[SLOW_CALLERS];
	fixture_init (&fixture);
	for (int i = 0; i < SLOW_CALLERS; i++) {
		int fd = ask_slowly (&fixture);
		run (&fixture, 5);
		reader_start (&readers[i], fd, 0);
	}
	CU_ASSERT_EQUAL_FATAL (fixture.held_count, SLOW_CALLERS);
	for (int i = 0; i < SLOW_CALLERS; i++)
		ingress_answer (fixture.held[i], 200, NULL, xcalloc (1, ALL_TOO_LARGE),
			ALL_TOO_LARGE, true);
	fixture.held_count = 0;
	for (int i = 0; i < STOP_TURNS && fixture.ingress.request_count > 0; i++)
		run (&fixture, 1);
	stop (&fixture);
	for (int i = 0; i < SLOW_CALLERS; i++) {
		reader_join (&readers[i]);
		CU_ASSERT_TRUE (readers[i].len > ALL_TOO_LARGE);
		free (readers[i].data);
	}
	CU_ASSERT_EQUAL (fixture.unanswered[INGRESS_WRITTEN], 0);
}

/* Guards against answers that callers do not read and that take all memory of the node. */
static void
test_unread_answers_have_a_common_limit (void)
{
	struct fixture fixture;
	int fds[SLOW_CALLERS];
	struct reader small;
	struct reader fast;
	fixture_init (&fixture);
	int small_fd = ask_slowly (&fixture);
	answer_held (&fixture, SMALL_ANSWER);
	for (int i = 0; i < SLOW_CALLERS - 2; i++) {
		fds[i] = ask_slowly (&fixture);
		answer_held (&fixture, LARGE_ANSWER);
	}
	run (&fixture, SLOW_TURNS);
	CU_ASSERT_EQUAL (fixture.ingress.connection_count, SLOW_CALLERS - 1);
	for (int i = SLOW_CALLERS - 2; i < SLOW_CALLERS; i++) {
		fds[i] = ask_slowly (&fixture);
		answer_held (&fixture, LARGE_ANSWER);
	}
	run (&fixture, 20);
	/* The small answer and as many large ones as fit are left. */
	CU_ASSERT_EQUAL (fixture.ingress.connection_count,
		1 + (INGRESS_ANSWER_BYTES_MAX - SMALL_ANSWER) / LARGE_ANSWER);
	int fd = connect_caller (&fixture, 0);
	send_text (fd, "GET /all/x HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n");
	reader_start (&fast, fd, 0);
	answer_held (&fixture, LARGE_ANSWER / 2);
	reader_start (&small, small_fd, 0);
	run (&fixture, 200);
	for (int i = 0; i < SLOW_CALLERS; i++)
		close (fds[i]);
	shutdown (small_fd, SHUT_WR);
	stop (&fixture);
	reader_join (&fast);
	reader_join (&small);
	CU_ASSERT_TRUE (fast.len > LARGE_ANSWER / 2);
	CU_ASSERT_TRUE (small.len > SMALL_ANSWER);
	free (fast.data);
	free (small.data);
}

enum {
	LARGE_BODIES = 5,
	LARGE_BODY = 6 * 1024 * 1024,
	BODY_LIMIT = 8 * 1024 * 1024,
	SMALL_BODY = 65536,
	RECEIVE_TURNS = 2000,
};

static int
send_head (const struct fixture *fixture, size_t len)
{
	char text[256];
	int fd = connect_caller (fixture, 0);
	snprintf (text, sizeof (text), "%sContent-Length: %zu\r\n\r\n", head, len);
	send_text (fd, text);
	fcntl (fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* The kernel holds megabytes that the server has not read. */
static void
run_until_read (struct fixture *fixture, int fd)
{
	int unread = 1;
	for (int i = 0; i < RECEIVE_TURNS && unread > 0; i++) {
		ioctl (fd, SIOCOUTQ, &unread);
		run (fixture, 1);
	}
	for (int i = 0; i < RECEIVE_TURNS; i++)
		ingress_run (&fixture->ingress);
	run (fixture, 2);
}

/* Sends bytes of a body while the server runs. */
static void
send_body (struct fixture *fixture, int fd, size_t len)
{
	char *bytes = xcalloc (1, len);
	size_t sent = 0;
	for (int i = 0; i < RECEIVE_TURNS && sent < len; i++) {
		ssize_t n = send (fd, bytes + sent, len - sent, MSG_NOSIGNAL);
		sent += n > 0 ? (size_t)n : 0;
		run (fixture, 1);
	}
	CU_ASSERT_EQUAL (sent, len);
	run_until_read (fixture, fd);
	free (bytes);
}

/* Guards against bodies of many callers that together take all memory of the node. */
static void
test_bodies_of_requests_have_a_common_limit (void)
{
	struct fixture fixture;
	struct reader refused;
	int fds[LARGE_BODIES];
	fixture_init (&fixture);
	fixture.ingress.limits.body_bytes = BODY_LIMIT;
	for (int i = 0; i < LARGE_BODIES; i++) {
		fds[i] = send_head (&fixture, LARGE_BODY);
		send_body (&fixture, fds[i], LARGE_BODY - 1 - (size_t)i);
		CU_ASSERT_TRUE (fixture.ingress.bodies.used <= INGRESS_BODY_BYTES_MAX);
	}
	CU_ASSERT_EQUAL (fixture.held_count, 0);
	/* A small one has room, and so have those large ones that were not the largest. */
	int fd = send_head (&fixture, SMALL_BODY);
	send_body (&fixture, fd, SMALL_BODY);
	CU_ASSERT_EQUAL (fixture.held[0]->body.len, SMALL_BODY);
	for (int i = 0; i < LARGE_BODIES; i++)
		send_body (&fixture, fds[i], (size_t)i + 1);
	CU_ASSERT_TRUE_FATAL (fixture.held_count > 1 && fixture.held_count <= LARGE_BODIES);
	for (int i = 1; i < fixture.held_count; i++)
		CU_ASSERT_EQUAL (fixture.held[i]->body.len, LARGE_BODY);
	fcntl (fds[0], F_SETFL, 0);
	reader_start (&refused, fds[0], 0);
	run (&fixture, 20);
	reader_join (&refused);
	CU_ASSERT_TRUE (is_refusal (&refused));
	CU_ASSERT_PTR_NOT_NULL (strstr (refused.data, "Retry-After: "));
	for (int i = 0; i < fixture.held_count; i++)
		ingress_answer (fixture.held[i], 200, NULL, NULL, 0, true);
	fixture.held_count = 0;
	run (&fixture, 20);
	CU_ASSERT_EQUAL (fixture.ingress.bodies.used, 0);
	close (fd);
	for (int i = 1; i < LARGE_BODIES; i++)
		close (fds[i]);
	stop (&fixture);
	free (refused.data);
}

enum { LONG_HEAD = 16000, READ_BYTES = 65536, SHORT_LINES = 3200 };

/* Sends a request, answers it and returns what the caller gets until the connection ends. */
static struct reader
exchange (struct fixture *fixture, const char *request, struct buf *lines)
{
	struct reader reader;
	int fd = connect_caller (fixture, 0);
	send_text (fd, request);
	for (int i = 0; i < 200 && fixture->held_count == 0; i++)
		run (fixture, 1);
	CU_ASSERT_EQUAL_FATAL (fixture->held_count, 1);
	ingress_answer (fixture->held[0], 200, lines, xstrdup ("body"), 4, true);
	fixture->held_count = 0;
	reader_start (&reader, fd, 0);
	run (fixture, 50);
	reader_join (&reader);
	return reader;
}

/* The answer of a fan-out has a stamp of each part, and returns the caller's attempt id. */
static void
check_long_heads (size_t request_len, size_t answer_len)
{
	struct fixture fixture;
	struct buf lines;
	struct buf text;
	fixture_init (&fixture);
	buf_init (&lines);
	buf_init (&text);
	char *value = xmalloc (READ_BYTES + 1);
	memset (value, 'v', READ_BYTES);
	value[READ_BYTES] = '\0';
	buf_addf (&text, "GET /all/x HTTP/1.1\r\nHost: site.example\r\nX-Long: %.*s\r\n\r\n",
		(int)request_len, value);
	buf_addf (&lines, "X-Attempt: a\nX-Long: %.*s\n", (int)answer_len, value);
	struct reader reader = exchange (&fixture, text.data, &lines);
	CU_ASSERT_TRUE (strncmp (reader.data, "HTTP/1.1 200 ", 13) == 0);
	CU_ASSERT_TRUE (reader.len > answer_len);
	CU_ASSERT_PTR_NOT_NULL (strstr (reader.data, "X-Attempt: a\r\n"));
	CU_ASSERT_STRING_EQUAL (reader.data + reader.len - 8, "\r\n\r\nbody");
	stop (&fixture);
	buf_finish (&lines);
	buf_finish (&text);
	free (reader.data);
	free (value);
}

/* Guards against memory of answers that no limit counts, such as another copy of their head. */
static void
test_answer_takes_the_memory_that_is_counted (void)
{
	enum { HEAD = 6 * 1024 * 1024, SLACK = 65536 };
	struct fixture fixture;
	struct buf lines;
	fixture_init (&fixture);
	int fd = ask_slowly (&fixture);
	run (&fixture, 5);
	CU_ASSERT_EQUAL_FATAL (fixture.held_count, 1);
	buf_init (&lines);
	buf_addf (&lines, "X-Long: ");
	while (lines.len < HEAD)
		buf_add (&lines, "0123456789abcdef", 16);
	buf_add (&lines, "\n", 1);
	struct mallinfo2 before = mallinfo2 ();
	size_t lines_memory = lines.cap;
	ingress_answer (fixture.held[0], 200, &lines, xstrdup ("body"), 4, false);
	fixture.held_count = 0;
	run (&fixture, 5);
	struct mallinfo2 after = mallinfo2 ();
	size_t used = fixture.ingress.answers.used;
	CU_ASSERT_TRUE (used > HEAD);
	CU_ASSERT_TRUE (after.uordblks + after.hblkhd <=
			before.uordblks + before.hblkhd - lines_memory + used + SLACK);
	buf_finish (&lines);
	close (fd);
	stop (&fixture);
}

/* Guards against an answer that is not sent since its head does not fit beside the request's. */
static void
test_long_heads_are_answered (void)
{
	check_long_heads (100, LONG_HEAD);
	check_long_heads (LONG_HEAD, LONG_HEAD);
	check_long_heads (100, 2 * LONG_HEAD);
	check_long_heads (LONG_HEAD, 2 * LONG_HEAD);
	check_long_heads (100, 60000);
	for (size_t len = 34000; len < 38000; len += 100)
		check_long_heads (100, len);
	for (size_t len = 17500; len < 20500; len += 100)
		check_long_heads (LONG_HEAD, len);
}

static void
count_header (void *user, const char *name, const char *value)
{
	(void)name;
	(void)value;
	(*(int *)user)++;
}

static void
hold_and_count (struct ingress_request *request, void *user)
{
	int count = 0;
	ingress_headers (request, count_header, &count);
	CU_ASSERT_EQUAL (count, SHORT_LINES + 1);
	hold_request (request, user);
}

/* Guards against requests of many short lines or parameters that run and get no answer (review/7).
 */
static void
test_many_lines_within_the_limit_are_answered (void)
{
	struct fixture fixture;
	struct buf text;
	fixture_init (&fixture);
	fixture.ingress.hooks.request = hold_and_count;
	buf_init (&text);
	buf_addf (&text, "GET /all/x");
	for (int i = 0; i < SHORT_LINES; i++)
		buf_addf (&text, "%ca=%d", i ? '&' : '?', i);
	buf_addf (&text, " HTTP/1.1\r\nHost: site.example\r\n");
	for (int i = 0; i < SHORT_LINES; i++)
		buf_addf (&text, "a: %d\r\n", i % 10);
	buf_addf (&text, "\r\n");
	struct reader reader = exchange (&fixture, text.data, NULL);
	CU_ASSERT_TRUE (strncmp (reader.data, "HTTP/1.1 200 ", 13) == 0);
	free (reader.data);
	buf_finish (&text);
	stop (&fixture);
}

/* Sends a request with so many bytes of headers on a kept connection; returns the answer's status.
 */
static int
send_headers (struct fixture *fixture, int fd, size_t bytes)
{
	struct buf text;
	char answer[512];
	int status = 0;
	buf_init (&text);
	buf_addf (&text, "GET /all/x HTTP/1.1\r\nHost: site.example\r\n");
	for (size_t sent = 0; sent < bytes; sent += 100)
		buf_addf (&text, "X-Line: %090d\r\n", 0);
	buf_addf (&text, "\r\n");
	send_text (fd, text.data);
	for (int i = 0; i < 200; i++) {
		run (fixture, 1);
		if (fixture->held_count > 0)
			ingress_answer (fixture->held[0], 200, NULL, NULL, 0, false);
		fixture->held_count = 0;
		ssize_t n = recv (fd, answer, sizeof (answer) - 1, MSG_DONTWAIT);
		if (n <= 0)
			continue;
		answer[n] = '\0';
		sscanf (answer, "HTTP/1.1 %d", &status);
		break;
	}
	buf_finish (&text);
	return status;
}

/* Guards against a limit in force that differs from the one acknowledged (review/9). */
static void
test_changed_header_limit_holds_for_kept_connections (void)
{
	struct fixture fixture;
	fixture_init (&fixture);
	fixture.ingress.limits.header_bytes = 16384;
	int fd = connect_caller (&fixture, 0);
	int other = connect_caller (&fixture, 0);
	CU_ASSERT_EQUAL (send_headers (&fixture, fd, 15000), 200);
	CU_ASSERT_EQUAL (send_headers (&fixture, other, 15000), 200);
	fixture.ingress.limits.header_bytes = 1048576;
	CU_ASSERT_EQUAL (send_headers (&fixture, fd, 40000), 200);
	CU_ASSERT_EQUAL (send_headers (&fixture, fd, 1000000), 200);
	CU_ASSERT_EQUAL (fixture.ingress.heads.used, 0);
	fixture.ingress.limits.header_bytes = 16384;
	CU_ASSERT_EQUAL (send_headers (&fixture, fd, 40000), 431);
	fixture.ingress.limits.header_bytes = 1024;
	CU_ASSERT_EQUAL (send_headers (&fixture, other, 15000), 431);
	CU_ASSERT_EQUAL (fixture.ingress.malformed_count, 2);
	close (fd);
	close (other);
	stop (&fixture);
}

/* Guards against a request that runs although its sender meant it as a body (review/8). */
static void
test_request_inside_another_one_does_not_run (void)
{
	static const char inner[] = "GET /file/inner HTTP/1.1\r\nHost: site.example\r\n\r\n";
	static const char *const framings[] = {
		"Content-Length: 0\r\nContent-Length: 52\r\n\r\n",
		"Content-Length: 52\r\nContent-Length: 0\r\n\r\n",
		"Content-Length: 52\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Content-Length:\r\n 52\r\n\r\n",
		"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"X: a\rContent-Length: 52\r\n\r\n",
	};
	for (size_t i = 0; i < sizeof (framings) / sizeof (framings[0]); i++) {
		struct fixture fixture;
		struct reader reader;
		fixture_init (&fixture);
		int fd = connect_caller (&fixture, 0);
		send_text (fd, head);
		send_text (fd, framings[i]);
		send_text (fd, inner);
		reader_start (&reader, fd, 0);
		run (&fixture, 20);
		reader_join (&reader);
		CU_ASSERT_TRUE (strncmp (reader.data, "HTTP/1.1 400 ", 13) == 0);
		CU_ASSERT_PTR_NOT_NULL (strstr (reader.data, "Connection: close\r\n"));
		CU_ASSERT_EQUAL (fixture.received_count, 0);
		free (reader.data);
		stop (&fixture);
	}
}

static void
check_host (struct ingress_request *request, void *user)
{
	CU_ASSERT_STRING_EQUAL (ingress_header (request, "host"), "site.example");
	hold_request (request, user);
}

/* Guards against proper requests that are refused for white space behind a value. */
static void
test_white_space_around_values_is_no_part_of_them (void)
{
	struct fixture fixture;
	fixture_init (&fixture);
	fixture.ingress.hooks.request = check_host;
	struct reader reader =
		exchange (&fixture, "GET /a HTTP/1.1\r\nHost: \tsite.example \r\n\r\n", NULL);
	CU_ASSERT_TRUE (strncmp (reader.data, "HTTP/1.1 200 ", 13) == 0);
	free (reader.data);
	stop (&fixture);
}

/* Guards against heads of requests in flight that no limit counts, since the server has dropped
 * them. */
static void
test_heads_count_until_the_answer (void)
{
	enum { HEAD = 8000 };
	struct fixture fixture;
	char line[HEAD + 1];
	fixture_init (&fixture);
	memset (line, 'a', HEAD);
	line[HEAD] = '\0';
	int fd = connect_caller (&fixture, 0);
	send_text (fd, head);
	send_text (fd, "X-Long: ");
	send_text (fd, line);
	send_text (fd, "\r\n\r\n");
	for (int i = 0; i < 200 && fixture.held_count == 0; i++)
		run (&fixture, 1);
	CU_ASSERT_EQUAL_FATAL (fixture.held_count, 1);
	run (&fixture, 5);
	CU_ASSERT_TRUE (fixture.ingress.heads.used >= HEAD);
	ingress_answer (fixture.held[0], 200, NULL, NULL, 0, false);
	fixture.held_count = 0;
	run (&fixture, 20);
	CU_ASSERT_EQUAL (fixture.ingress.heads.used, 0);
	close (fd);
	stop (&fixture);
}

/* Guards against heads without end that take the memory of the other requests. */
static void
test_heads_have_a_common_limit (void)
{
	enum { CALLERS = 12, HEAD = 2 * 1024 * 1024 };
	struct fixture fixture;
	struct reader readers[CALLERS];
	int fds[CALLERS];
	int refused = 0;
	char *bytes = xmalloc (HEAD);
	memset (bytes, 'a', HEAD);
	fixture_init (&fixture);
	fixture.ingress.limits.header_bytes = INT32_MAX;
	for (int i = 0; i < CALLERS; i++) {
		fds[i] = connect_caller (&fixture, 0);
		send_text (fds[i], head);
		send_text (fds[i], "X-Long: ");
		fcntl (fds[i], F_SETFL, O_NONBLOCK);
		for (size_t sent = 0; sent < HEAD;) {
			ssize_t n = send (fds[i], bytes + sent, HEAD - sent, MSG_NOSIGNAL);
			if (n < 0 && errno != EAGAIN)
				break;
			sent += n > 0 ? (size_t)n : 0;
			run (&fixture, 1);
			CU_ASSERT_TRUE (fixture.ingress.heads.used <= INGRESS_HEAD_BYTES_MAX);
		}
		fcntl (fds[i], F_SETFL, 0);
	}
	run (&fixture, 10);
	/* Others are served meanwhile. */
	int fd = connect_caller (&fixture, 0);
	CU_ASSERT_EQUAL (send_headers (&fixture, fd, 1000), 200);
	close (fd);
	for (int i = 0; i < CALLERS; i++) {
		reader_start (&readers[i], fds[i], 0);
		run (&fixture, 1);
	}
	stop (&fixture);
	for (int i = 0; i < CALLERS; i++) {
		reader_join (&readers[i]);
		refused += strncmp (readers[i].data, "HTTP/1.1 503 ", 13) == 0;
		free (readers[i].data);
	}
	CU_ASSERT_EQUAL (refused, CALLERS);
	free (bytes);
}

/* Guards against connections that keep memory while nothing is received or answered. */
static void
test_idle_connections_hold_no_buffers (void)
{
	struct fixture fixture;
	int fds[MAX_CONNECTIONS];
	fixture_init (&fixture);
	for (int i = 0; i < MAX_CONNECTIONS; i++) {
		fds[i] = connect_caller (&fixture, 0);
		CU_ASSERT_EQUAL (send_headers (&fixture, fds[i], 15000), 200);
	}
	CU_ASSERT_EQUAL (fixture.ingress.connection_count, MAX_CONNECTIONS);
	CU_ASSERT_EQUAL (fixture.ingress.heads.used, 0);
	CU_ASSERT_EQUAL (fixture.ingress.request_count, 0);
	for (int i = 0; i < MAX_CONNECTIONS; i++)
		close (fds[i]);
	stop (&fixture);
}

/* Guards against changed idle times that only new connections have. */
static void
test_changed_idle_time_holds_for_kept_connections (void)
{
	struct fixture fixture;
	char byte;
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, 0);
	CU_ASSERT_EQUAL (send_headers (&fixture, fd, 100), 200);
	run (&fixture, 20);
	CU_ASSERT_EQUAL (fixture.ingress.connection_count, 1);
	fixture.ingress.limits.idle_timeout_us = 10 * US_PER_MS;
	run (&fixture, 20);
	CU_ASSERT_EQUAL (fixture.ingress.connection_count, 0);
	CU_ASSERT_EQUAL (recv (fd, &byte, 1, 0), 0);
	CU_ASSERT_EQUAL (unanswered_count (&fixture), 0);
	close (fd);
	stop (&fixture);
}

/* Requests that are sent together are answered one after the other; the last one ends the
 * connection. */
static void
test_pipelined_requests_are_answered_in_turn (void)
{
	struct fixture fixture;
	struct reader reader;
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, 0);
	send_text (fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n2\r\nbb\r\n0\r\n\r\n"
		       "HEAD /c HTTP/1.0\r\n\r\n");
	reader_start (&reader, fd, 0);
	static const char *const uris[] = {"/a", "/b", "/c"};
	for (int i = 0; i < 3; i++) {
		run (&fixture, 5);
		CU_ASSERT_EQUAL_FATAL (fixture.held_count, 1);
		CU_ASSERT_STRING_EQUAL (fixture.held[0]->uri, uris[i]);
		CU_ASSERT_EQUAL (fixture.held[0]->body.len, i == 1 ? 2 : 0);
		ingress_answer (fixture.held[0], 200, NULL, xstrdup (uris[i]), 2, false);
		fixture.held_count = 0;
	}
	run (&fixture, 5);
	reader_join (&reader);
	const char *first = strstr (reader.data, "\r\n\r\n/aHTTP/1.1 200 ");
	const char *second = first ? strstr (first, "\r\n\r\n/bHTTP/1.1 200 ") : NULL;
	const char *third = second ? second + 8 : "";
	CU_ASSERT_PTR_NOT_NULL (second);
	/* The answer to HEAD has the length of a body that is not sent. */
	CU_ASSERT_PTR_NOT_NULL (strstr (third, "Content-Length: 2\r\nConnection: close\r\n\r\n"));
	CU_ASSERT_PTR_NULL (strstr (third, "/c"));
	free (reader.data);
	stop (&fixture);
}

/* A caller that waits for an interim answer gets it before its body is read. */
static void
test_expected_interim_answer_is_sent (void)
{
	struct fixture fixture;
	char answer[256];
	fixture_init (&fixture);
	int fd = connect_caller (&fixture, 0);
	send_text (fd, head);
	send_text (fd, "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
	run (&fixture, 5);
	ssize_t n = recv (fd, answer, sizeof (answer) - 1, MSG_DONTWAIT);
	CU_ASSERT_TRUE_FATAL (n > 0);
	answer[n] = '\0';
	CU_ASSERT_STRING_EQUAL (answer, "HTTP/1.1 100 Continue\r\n\r\n");
	send_text (fd, "ab");
	run (&fixture, 5);
	CU_ASSERT_EQUAL_FATAL (fixture.held_count, 1);
	ingress_answer (fixture.held[0], 204, NULL, NULL, 0, false);
	fixture.held_count = 0;
	run (&fixture, 5);
	n = recv (fd, answer, sizeof (answer) - 1, MSG_DONTWAIT);
	CU_ASSERT_TRUE_FATAL (n > 0);
	answer[n] = '\0';
	CU_ASSERT_TRUE (strncmp (answer, "HTTP/1.1 204 ", 13) == 0);
	CU_ASSERT_PTR_NULL (strstr (answer, "Content-Length"));
	close (fd);
	stop (&fixture);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (second_server_on_the_same_port_is_refused),
		TEST (second_of_two_bound_listeners_cannot_open),
		TEST (bound_listener_accepts_nothing),
		TEST (successor_starts_right_after_its_predecessor),
		TEST (request_of_a_caller_that_left_is_not_passed_on),
		TEST (late_acknowledgements_are_no_travel_time),
		TEST (caller_that_left_before_it_was_accepted),
		TEST (stop_refuses_connections_not_accepted),
		TEST (stop_refuses_requests_not_read),
		TEST (stop_refuses_requests_that_arrive_before_its_last_step),
		TEST (stop_refuses_requests_read_in_part),
		TEST (stop_refuses_connections_beyond_the_limit),
		TEST (stop_with_a_request_being_handled_ends_its_connection),
		TEST (partial_requests_are_not_awaited_as_answers),
		TEST (stop_waits_for_slow_readers),
		TEST (closing_answer_survives_unread_bytes),
		TEST (connections_ended_without_an_answer_are_reported),
		TEST (ends_that_callers_expect_are_not_reported),
		TEST (stopped_listener_turns_callers_away),
		TEST (unread_answers_have_a_common_limit),
		TEST (limit_of_unread_answers_spares_callers_that_read),
		TEST (bodies_of_requests_have_a_common_limit),
		TEST (answer_takes_the_memory_that_is_counted),
		TEST (long_heads_are_answered),
		TEST (many_lines_within_the_limit_are_answered),
		TEST (changed_header_limit_holds_for_kept_connections),
		TEST (request_inside_another_one_does_not_run),
		TEST (white_space_around_values_is_no_part_of_them),
		TEST (heads_count_until_the_answer),
		TEST (heads_have_a_common_limit),
		TEST (idle_connections_hold_no_buffers),
		TEST (changed_idle_time_holds_for_kept_connections),
		TEST (pipelined_requests_are_answered_in_turn),
		TEST (expected_interim_answer_is_sent),
	};
	return suite_run ("ingress", tests, sizeof (tests) / sizeof (tests[0]));
}
