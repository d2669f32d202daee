#include "net/ingress.h"

#include "core/metrics.h"
#include "net/answer.h"
#include "net/request.h"

#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

enum {
	FD_TABLE_STEP = 64,
	EVENTS_PER_WAIT = 64,
	ACCEPTS_PER_RUN = 64,
	READ_BUFFER_BYTES = 65536,
	READS_PER_RUN = 4, /* of one connection, so that others get their turn */
	TIMEOUT_MAX_MS = 1000,
	DISCARD_BYTES = 16384, /* of one connection in one call */
	NO_ROOM_RETRY_MS = 200,
	REQUEST_LINE_MIN_BYTES = 32768, /* the least that the limit of request lines is */
	STATUS_CONTENT_TOO_LARGE = 413,
	HEADER_MARGIN_BYTES = 4096, /* white space, and lines that callers do not count */
};

/** A caller's connection. */
struct ingress_client {
	struct cds_list_head node;       /**< in ingress.open, the longest inactive first */
	struct cds_list_head ready_node; /**< in ingress.ready while is_ready */
	struct ingress *ingress;
	int fd;
	struct ingress_request *request;   /**< the request being handled; or NULL */
	struct ingress_request *receiving; /**< the request being received or handled; or NULL */
	struct request_parser parser;      /**< of receiving */
	struct buf input;                  /**< bytes behind the request that is handled */
	struct buf output;                 /**< an interim answer, or the head of the answer */
	size_t written;                    /**< bytes of output and answer */
	size_t head_bytes;   /**< of the memory of parser, input and handed_bytes; as counted */
	size_t handed_bytes; /**< of the head of a handled request, of which the hook may keep a
				copy */
	int64_t active_us;   /**< when bytes were last read or written */
	bool is_ready;
	bool readable; /**< bytes or a close may wait in the socket */
	bool writable;
	bool writing;     /**< the answer is in output */
	bool reused;      /**< it has had a request */
	bool closing;     /**< its last answer closes the connection */
	bool must_linger; /**< the caller may still send a part of its request */
	bool left;        /**< the caller has closed its side */
	bool drained;     /**< and nothing is unread */
	bool ended;       /**< its fate at the end of the server is settled */
};

/** A connection that was closed while the caller was still sending. */
struct lingering {
	struct cds_list_head node; /**< in ingress.lingering */
	int fd;
	int64_t until_us;
};

static const char refusal[] = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
			      "Retry-After: 0\r\nConnection: close\r\n\r\n";

/* Returns false once nothing more will come. */
static bool
discard (int fd)
{
	char bytes[DISCARD_BYTES];
	ssize_t n = recv (fd, bytes, sizeof (bytes), MSG_DONTWAIT);
	return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
}

/* Closing a connection with unread bytes would reset it, and the answer might be lost. */
static void
linger (struct ingress *ingress, int fd)
{
	struct lingering *lingering = xcalloc (1, sizeof (*lingering));
	shutdown (fd, SHUT_WR);
	lingering->fd = fd;
	lingering->until_us = clock_now_us (ingress->clock) + INGRESS_LINGER_US;
	cds_list_add_tail (&lingering->node, &ingress->lingering);
}

static void
end_lingering (struct lingering *lingering)
{
	if (lingering->fd >= 0)
		close (lingering->fd);
	cds_list_del (&lingering->node);
	free (lingering);
}

/* Turns away a connection that the server cannot take. */
static void
refuse_connection (struct ingress *ingress, int fd)
{
	if (send (fd, refusal, sizeof (refusal) - 1, MSG_NOSIGNAL | MSG_DONTWAIT) > 0)
		linger (ingress, fd);
	else
		close (fd);
}

/* Returns how many connections linger on. */
static int
discard_lingering (struct ingress *ingress)
{
	struct lingering *lingering;
	struct lingering *next;
	int count = 0;
	cds_list_for_each_entry_safe (lingering, next, &ingress->lingering, node) {
		if (clock_now_us (ingress->clock) < lingering->until_us && discard (lingering->fd))
			count++;
		else
			end_lingering (lingering);
	}
	return count;
}

static void
watch_client (struct ingress *ingress, struct ingress_client *client)
{
	struct epoll_event event = {
		.events = EPOLLRDHUP | EPOLLET,
		.data.fd = client->fd,
	};
	if (client->fd >= ingress->client_count) {
		int count = client->fd + FD_TABLE_STEP;
		ingress->clients = xrealloc (
			ingress->clients, (size_t)count * sizeof (struct ingress_client *));
		memset (ingress->clients + ingress->client_count, 0,
			(size_t)(count - ingress->client_count) * sizeof (struct ingress_client *));
		ingress->client_count = count;
	}
	ingress->clients[client->fd] = client;
	epoll_ctl (ingress->epoll_fd, EPOLL_CTL_ADD, client->fd, &event);
}

static enum ingress_state
request_state (const struct ingress_request *request)
{
	if (request->answered)
		return INGRESS_WRITTEN;
	return request->client->request ? INGRESS_HANDLED : INGRESS_PARTIAL;
}

/* Whether the caller has closed its side. The event may not have been handled yet. */
static bool
is_closed_by_caller (const struct ingress_client *client)
{
	char byte = 0;
	if (client->left)
		return true;
	ssize_t n = recv (client->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

static void
report_unanswered (struct ingress *ingress, const struct ingress_client *client)
{
	const struct ingress_request *request = client->receiving;
	bool is_dropped = request && request->dropped;
	if (!ingress->unanswered || (!is_dropped && is_closed_by_caller (client)))
		return;
	if (request)
		ingress->unanswered (request, request_state (request),
			clock_now_us (ingress->clock) - request->began_us, ingress->hooks.user);
	else
		ingress->unanswered (NULL, INGRESS_UNREAD, 0, ingress->hooks.user);
}

/* Counts the memory of what was received of a head, or waits behind a request. */
static void
count_head_bytes (struct ingress_client *client)
{
	size_t bytes = client->input.cap + client->handed_bytes + request_memory (&client->parser);
	memory_account_remove (&client->ingress->heads, client->head_bytes);
	memory_account_add (&client->ingress->heads, bytes);
	client->head_bytes = bytes;
}

static void
make_ready (struct ingress_client *client)
{
	if (client->is_ready)
		return;
	client->is_ready = true;
	cds_list_add_tail (&client->ready_node, &client->ingress->ready);
}

static void
note_activity (struct ingress_client *client)
{
	client->active_us = clock_now_us (client->ingress->clock);
	cds_list_del (&client->node);
	cds_list_add_tail (&client->node, &client->ingress->open);
}

static void
count_answer (struct ingress_request *request, size_t bytes)
{
	memory_account_remove (&request->ingress->answers, request->answer_memory);
	memory_account_add (&request->ingress->answers, bytes);
	request->answer_memory = bytes;
}

static void
free_request (struct ingress_request *request)
{
	struct ingress *ingress = request->ingress;
	ingress->request_count--;
	memory_account_remove (&ingress->bodies, request->body.cap);
	count_answer (request, 0);
	free (request->uri);
	free (request->answer);
	buf_finish (&request->body);
	buf_finish (&request->head);
	free (request);
}

/* Ends the request of a connection, whether or not it was answered. */
static void
end_request (struct ingress_client *client)
{
	struct ingress *ingress = client->ingress;
	struct ingress_request *request = client->receiving;
	if (!request)
		return;
	if (request->user && !request->caller_left && !request->answered) {
		request->caller_left = true;
		ingress->hooks.caller_left (request, ingress->hooks.user);
	}
	client->request = NULL;
	client->receiving = NULL;
	client->writing = false;
	client->written = 0;
	buf_finish (&client->output);
	buf_init (&client->output);
	request_finish (&client->parser);
	memset (&client->parser, 0, sizeof (client->parser));
	client->handed_bytes = 0;
	count_head_bytes (client);
	free_request (request);
}

static void
watch_listener (struct ingress *ingress, bool watch)
{
	struct epoll_event event = {.events = watch ? EPOLLIN : 0, .data.fd = ingress->listen_fd};
	if (ingress->listen_fd >= 0 && watch != ingress->accepting)
		epoll_ctl (ingress->events_fd, EPOLL_CTL_MOD, ingress->listen_fd, &event);
	ingress->accepting = watch;
}

/* Closes a connection; @p is_fault: this side ends it although its caller may wait. */
static void
end_client (struct ingress_client *client, bool is_fault)
{
	struct ingress *ingress = client->ingress;
	const struct ingress_request *request = client->receiving;
	if (is_fault && request && !request->caller_left && !client->ended)
		report_unanswered (ingress, client);
	end_request (client);
	ingress->clients[client->fd] = NULL;
	epoll_ctl (ingress->epoll_fd, EPOLL_CTL_DEL, client->fd, NULL);
	epoll_ctl (ingress->events_fd, EPOLL_CTL_DEL, client->fd, NULL);
	int unread = 0;
	bool has_unread = ioctl (client->fd, FIONREAD, &unread) == 0 && unread > 0;
	if (client->closing && (has_unread || client->must_linger))
		linger (ingress, client->fd);
	else
		close (client->fd);
	if (client->is_ready)
		cds_list_del (&client->ready_node);
	cds_list_del (&client->node);
	memory_account_remove (&ingress->heads, client->head_bytes);
	buf_finish (&client->input);
	free (client);
	ingress->connection_count--;
	watch_listener (ingress, true);
}

static void
add_client (struct ingress *ingress, int fd)
{
	int one = 1;
	struct ingress_client *client = xcalloc (1, sizeof (*client));
	client->ingress = ingress;
	client->fd = fd;
	client->readable = client->writable = true;
	client->active_us = clock_now_us (ingress->clock);
	buf_init (&client->input);
	buf_init (&client->output);
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof (one));
	cds_list_add_tail (&client->node, &ingress->open);
	watch_client (ingress, client);
	struct epoll_event event = {
		.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, .data.fd = fd};
	epoll_ctl (ingress->events_fd, EPOLL_CTL_ADD, fd, &event);
	ingress->connection_count++;
	make_ready (client);
}

static int
accept_connection (int listen_fd)
{
	int fd = -1;
	do
		fd = accept4 (listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	while (fd < 0 && (errno == EINTR || errno == ECONNABORTED));
	return fd;
}

/* What does not fit waits in the kernel. */
static void
accept_connections (struct ingress *ingress)
{
	for (int i = 0; i < ACCEPTS_PER_RUN; i++) {
		if (ingress->connection_count >= ingress->max_connections) {
			watch_listener (ingress, false);
			return;
		}
		int fd = accept_connection (ingress->listen_fd);
		if (fd < 0)
			return;
		add_client (ingress, fd);
	}
}

static void
drop_body (struct ingress_request *request)
{
	memory_account_remove (&request->ingress->bodies, request->body.cap);
	buf_finish (&request->body);
	buf_init (&request->body);
}

/* The largest body of those that have not arrived whole. */
static struct ingress_request *
find_largest_body (const struct ingress *ingress)
{
	struct ingress_request *found = NULL;
	for (int i = 0; i < ingress->client_count; i++) {
		struct ingress_client *client = ingress->clients[i];
		struct ingress_request *request = client ? client->receiving : NULL;
		if (!request || client->request || request->answered || request->body.cap == 0)
			continue;
		if (!found || request->body.len > found->body.len)
			found = request;
	}
	return found;
}

static void
limit_body_bytes (struct ingress *ingress)
{
	while (memory_account_is_exceeded (&ingress->bodies)) {
		struct ingress_request *request = find_largest_body (ingress);
		if (!request)
			return;
		request->no_room = true;
		drop_body (request);
		ingress->no_room_count++;
		metric_add (METRIC_REFUSED_NO_MEMORY, 1);
	}
}

/* What does not fit is read to its end and dropped, since the caller reads no answer before. */
static void
append_body (struct ingress_request *request, const char *data, size_t len)
{
	struct ingress *ingress = request->ingress;
	if (request->no_room || request->too_large)
		return;
	if ((int64_t)(request->body.len + len) > ingress->limits.body_bytes) {
		request->too_large = true;
		drop_body (request);
		return;
	}
	memory_account_add (&ingress->bodies, buf_growth (&request->body, len));
	buf_add (&request->body, data, len);
	limit_body_bytes (ingress);
}

static void
refuse_for_memory (struct ingress_request *request)
{
	struct buf lines;
	buf_init (&lines);
	buf_addf (&lines, "Retry-After: %.3f\n", (double)NO_ROOM_RETRY_MS / 1000);
	ingress_answer (request, 503, &lines, NULL, 0, true);
	buf_finish (&lines);
}

/* Whether the caller left before its request was read. */
static bool
has_left (struct ingress_request *request)
{
	struct ingress_client *client = request->client;
	client->left = is_closed_by_caller (client);
	return client->left;
}

static void
receive_body (void *user, const char *data, size_t len)
{
	append_body (user, data, len);
}

/* Called with the first bytes of a request. */
static void
begin_request (struct ingress_client *client)
{
	struct ingress *ingress = client->ingress;
	struct ingress_request *request = xcalloc (1, sizeof (*request));
	size_t header_bytes = (size_t)ingress->limits.header_bytes;
	struct request_limits limits = {
		.line_bytes = header_bytes > REQUEST_LINE_MIN_BYTES ? header_bytes
								    : REQUEST_LINE_MIN_BYTES,
		.header_bytes = header_bytes + HEADER_MARGIN_BYTES,
	};
	request->ingress = ingress;
	request->client = client;
	request->began_us = clock_now_us (ingress->clock);
	request->opened_connection = !client->reused;
	buf_init (&request->body);
	buf_init (&request->head);
	request_init (&client->parser, &limits, receive_body, request);
	client->receiving = request;
	client->reused = true;
	ingress->request_count++;
}

/* Answers a request that cannot be read to its end; nothing of it runs. */
static void
refuse_request (struct ingress_client *client, int status, const char *reason)
{
	struct ingress *ingress = client->ingress;
	client->must_linger = true;
	ingress->malformed_count++;
	ingress->malformed_reason = reason;
	metric_add (METRIC_REQUESTS_MALFORMED, 1);
	ingress_answer (client->receiving, status, NULL, NULL, 0, true);
}

static void
keep_head (struct ingress_client *client)
{
	struct ingress_request *request = client->receiving;
	request->uri = xstrdup (client->parser.uri);
	str_copy (request->method, sizeof (request->method), client->parser.method);
}

/* Hands a complete request on. */
static void
handle_request (struct ingress_client *client)
{
	struct ingress *ingress = client->ingress;
	struct ingress_request *request = client->receiving;
	if (has_left (request)) {
		request->caller_left = true;
		return;
	}
	if (request->no_room) {
		refuse_for_memory (request);
		return;
	}
	if (request->too_large) {
		ingress_answer (request, STATUS_CONTENT_TOO_LARGE, NULL, NULL, 0, true);
		return;
	}
	client->request = request;
	client->handed_bytes = request_memory (&client->parser);
	ingress->hooks.request (request, ingress->hooks.user);
	request_drop_head (&client->parser);
}

/* The largest head of those that have not arrived whole. */
static struct ingress_client *
find_largest_head (const struct ingress *ingress)
{
	struct ingress_client *found = NULL;
	struct ingress_client *client;
	cds_list_for_each_entry (client, &ingress->open, node) {
		if (!client->receiving || client->request || client->receiving->answered ||
			client->head_bytes == 0)
			continue;
		if (!found || client->head_bytes > found->head_bytes)
			found = client;
	}
	return found;
}

static void
limit_head_bytes (struct ingress *ingress)
{
	while (memory_account_is_exceeded (&ingress->heads)) {
		struct ingress_client *client = find_largest_head (ingress);
		if (!client)
			return;
		client->must_linger = true;
		ingress->no_room_count++;
		metric_add (METRIC_REFUSED_NO_MEMORY, 1);
		request_drop_head (&client->parser);
		count_head_bytes (client);
		refuse_for_memory (client->receiving);
		make_ready (client);
	}
}

static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";

/* Parses bytes of a request; returns how many belong to it. */
static size_t
parse_request (struct ingress_client *client, const char *data, size_t len)
{
	size_t total = 0;
	while (client->receiving && !client->receiving->answered && !client->request) {
		size_t used = 0;
		struct request_parser *parser = &client->parser;
		enum request_state state = request_parse (parser, data + total, len - total, &used);
		total += used;
		count_head_bytes (client);
		switch (state) {
		case REQUEST_PARTIAL:
			limit_head_bytes (client->ingress);
			return total;
		case REQUEST_HEAD:
			keep_head (client);
			if (parser->expects_continue && total == len)
				buf_add (
					&client->output, continue_line, sizeof (continue_line) - 1);
			break;
		case REQUEST_COMPLETE:
			if (!client->receiving->uri)
				keep_head (client);
			handle_request (client);
			count_head_bytes (client);
			return total;
		case REQUEST_REFUSED:
			refuse_request (client, parser->status, parser->reason);
			return total;
		}
	}
	return total;
}

/* Handles received bytes; those behind a request wait until it is answered. */
static void
take_bytes (struct ingress_client *client, const char *data, size_t len)
{
	if (!client->receiving)
		begin_request (client);
	size_t used = parse_request (client, data, len);
	if (used < len && !client->must_linger)
		buf_add (&client->input, data + used, len - used);
	count_head_bytes (client);
}

/* Takes the next request out of the bytes that came behind the last one. */
static void
take_input (struct ingress_client *client)
{
	struct buf input = client->input;
	buf_init (&client->input);
	take_bytes (client, input.data, input.len);
	buf_finish (&input);
}

/* Returns false if the connection has ended. */
static bool
read_bytes (struct ingress_client *client)
{
	struct ingress *ingress = client->ingress;
	ssize_t n = recv (client->fd, ingress->read_buffer, READ_BUFFER_BYTES, 0);
	if (n < 0 && errno == EINTR)
		return true;
	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
		client->readable = false;
		return true;
	}
	if (n <= 0) {
		end_client (client, n < 0);
		return false;
	}
	note_activity (client);
	take_bytes (client, ingress->read_buffer, (size_t)n);
	return true;
}

static void
begin_writing (struct ingress_client *client)
{
	struct ingress_request *request = client->receiving;
	const struct request_parser *parser = &client->parser;
	bool close = request->close || !parser->keep_alive;
	struct answer_head head = {
		.status = request->status,
		.lines = &request->head,
		.body_len = request->answer_len,
		.close = close,
		.old_version = parser->old_version,
		.unix_s = clock_wall_ms (client->ingress->clock) / 1000,
	};
	answer_write_head (&head, &client->output);
	buf_finish (&request->head);
	buf_init (&request->head);
	count_answer (request, request->answer_len + client->output.cap);
	if (strcmp (request->method, "HEAD") == 0 || !answer_has_body (request->status))
		request->no_body = true;
	client->closing = close;
	client->writing = true;
	note_activity (client);
}

/* Writes what the socket takes; returns false if the connection has failed. */
static bool
write_bytes (struct ingress_client *client)
{
	const struct ingress_request *request = client->receiving;
	size_t body_len = client->writing && !request->no_body ? request->answer_len : 0;
	size_t total = client->output.len + body_len;
	while (client->written < total) {
		struct iovec parts[2];
		struct msghdr message = {.msg_iov = parts};
		size_t at = client->written;
		if (at < client->output.len)
			parts[message.msg_iovlen++] =
				(struct iovec){client->output.data + at, client->output.len - at};
		size_t body_at = at > client->output.len ? at - client->output.len : 0;
		if (body_at < body_len)
			parts[message.msg_iovlen++] =
				(struct iovec){request->answer + body_at, body_len - body_at};
		ssize_t n = sendmsg (client->fd, &message, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0) {
			client->writable = false;
			return errno == EAGAIN || errno == EWOULDBLOCK;
		}
		client->written += (size_t)n;
		note_activity (client);
	}
	return true;
}

static bool
is_written (const struct ingress_client *client)
{
	const struct ingress_request *request = client->receiving;
	size_t body_len = client->writing && !request->no_body ? request->answer_len : 0;
	return client->written == client->output.len + body_len;
}

/* Writes the answer or an interim one; returns false if the connection has ended. */
static bool
write_answer (struct ingress_client *client)
{
	const struct ingress_request *request = client->receiving;
	if (request && request->answered && !client->writing)
		begin_writing (client);
	if (!client->writable || (client->output.len == 0 && !client->writing))
		return true;
	if (!write_bytes (client)) {
		end_client (client, true);
		return false;
	}
	if (!client->writing || !is_written (client))
		return true;
	end_request (client);
	if (!client->closing)
		return true;
	end_client (client, false);
	return false;
}

/* Whether the next request may be read: none is handled or answered. */
static bool
may_receive (const struct ingress_client *client)
{
	return !client->request && !(client->receiving && client->receiving->answered);
}

/* Does what a connection's socket and its request allow. */
static void
serve_client (struct ingress_client *client)
{
	for (int reads = 0;; reads++) {
		if (client->receiving && client->receiving->caller_left) {
			end_client (client, false);
			return;
		}
		if (!write_answer (client))
			return;
		if (!may_receive (client)) {
			/* An answer may have been given while the request was handed on. */
			if (client->receiving->answered && !client->writing)
				continue;
			return;
		}
		if (client->input.len > 0) {
			take_input (client);
			continue;
		}
		if (!client->readable)
			return;
		if (reads >= READS_PER_RUN) {
			make_ready (client);
			return;
		}
		if (!read_bytes (client))
			return;
	}
}

static void
serve_ready (struct ingress *ingress)
{
	struct cds_list_head ready;
	CDS_INIT_LIST_HEAD (&ready);
	cds_list_splice (&ingress->ready, &ready);
	CDS_INIT_LIST_HEAD (&ingress->ready);
	while (!cds_list_empty (&ready)) {
		struct ingress_client *client =
			cds_list_first_entry (&ready, struct ingress_client, ready_node);
		cds_list_del (&client->ready_node);
		client->is_ready = false;
		serve_client (client);
	}
}

static void
note_event (struct ingress *ingress, const struct epoll_event *event)
{
	int fd = event->data.fd;
	if (fd == ingress->listen_fd) {
		accept_connections (ingress);
		return;
	}
	struct ingress_client *client = fd < ingress->client_count ? ingress->clients[fd] : NULL;
	if (!client)
		return;
	if (event->events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		client->readable = true;
	if (event->events & (EPOLLOUT | EPOLLHUP | EPOLLERR))
		client->writable = true;
	make_ready (client);
}

static void
take_events (struct ingress *ingress)
{
	struct epoll_event events[EVENTS_PER_WAIT];
	int count = EVENTS_PER_WAIT;
	while (count == EVENTS_PER_WAIT) {
		count = epoll_wait (ingress->events_fd, events, EVENTS_PER_WAIT, 0);
		for (int i = 0; i < count; i++)
			note_event (ingress, &events[i]);
	}
}

/* When the connection that has been inactive for longest ends; INT64_MAX: none does. */
static int64_t
next_timeout_us (const struct ingress *ingress)
{
	const struct ingress_client *client;
	cds_list_for_each_entry (client, &ingress->open, node) {
		/* A request that is handled has a time limit of its own. */
		if (!client->request || client->receiving->answered)
			return client->active_us + ingress->limits.idle_timeout_us;
	}
	return INT64_MAX;
}

static void
end_inactive (struct ingress *ingress)
{
	struct ingress_client *client;
	struct ingress_client *next;
	int64_t limit_us = clock_now_us (ingress->clock) - ingress->limits.idle_timeout_us;
	cds_list_for_each_entry_safe (client, next, &ingress->open, node) {
		if (client->active_us > limit_us)
			return;
		if (!client->request || client->receiving->answered)
			end_client (client, true);
	}
}

bool
ingress_start (struct ingress *ingress, struct clock *clock, struct listener *listener,
	int epoll_fd, int max_connections, const struct ingress_limits *limits,
	const struct ingress_hooks *hooks, struct error *error)
{
	memset (ingress, 0, sizeof (*ingress));
	ingress->events_fd = epoll_create1 (EPOLL_CLOEXEC);
	if (ingress->events_fd < 0)
		return error_set (error, ERROR_IO,
			"%s %s: the server cannot start; raise the limit of files",
			listener->setting, listener->address);
	ingress->clock = clock;
	ingress->epoll_fd = epoll_fd;
	ingress->limits = *limits;
	ingress->max_connections = max_connections;
	ingress->hooks = *hooks;
	ingress->listen_fd = listener->fd;
	ingress->accepting = true;
	ingress->heads.max = INGRESS_HEAD_BYTES_MAX;
	ingress->bodies.max = INGRESS_BODY_BYTES_MAX;
	ingress->answers.max = INGRESS_ANSWER_BYTES_MAX;
	ingress->read_buffer = xmalloc (READ_BUFFER_BYTES);
	CDS_INIT_LIST_HEAD (&ingress->open);
	CDS_INIT_LIST_HEAD (&ingress->ready);
	CDS_INIT_LIST_HEAD (&ingress->lingering);
	listener->fd = -1;
	struct epoll_event event = {.events = EPOLLIN, .data.fd = ingress->listen_fd};
	epoll_ctl (ingress->events_fd, EPOLL_CTL_ADD, ingress->listen_fd, &event);
	event.data.fd = ingress->events_fd;
	epoll_ctl (epoll_fd, EPOLL_CTL_ADD, ingress->events_fd, &event);
	return true;
}

void
ingress_join_memory (struct ingress *ingress, struct memory_pool *pool, size_t reserve)
{
	memory_account_join (&ingress->heads, pool, reserve);
	memory_account_join (&ingress->bodies, pool, reserve);
	memory_account_join (&ingress->answers, pool, reserve);
}

bool
ingress_is_started (const struct ingress *ingress)
{
	return ingress->read_buffer != NULL;
}

void
ingress_stop_listening (struct ingress *ingress)
{
	int listen_fd = ingress->listen_fd;
	if (!ingress_is_started (ingress) || listen_fd < 0)
		return;
	epoll_ctl (ingress->events_fd, EPOLL_CTL_DEL, listen_fd, NULL);
	ingress->listen_fd = -1;
	int fd = -1;
	while ((fd = accept_connection (listen_fd)) >= 0) {
		if (ingress->connection_count < ingress->max_connections)
			add_client (ingress, fd);
		else
			refuse_connection (ingress, fd);
	}
	close (listen_fd);
}

void
ingress_watch_unanswered (struct ingress *ingress, ingress_unanswered unanswered)
{
	ingress->unanswered = unanswered;
}

static bool
has_unread (const struct ingress_client *client)
{
	int unread = 0;
	return ioctl (client->fd, FIONREAD, &unread) == 0 && unread > 0;
}

/* Whether a caller has sent a request, or a part of one, of which nothing was handled. */
static bool
is_refusable (const struct ingress_client *client)
{
	if (client->receiving)
		return !client->request && !client->receiving->answered;
	return !client->closing && has_unread (client);
}

void
ingress_shutdown (struct ingress *ingress)
{
	for (int i = 0; i < ingress->client_count; i++) {
		struct ingress_client *client = ingress->clients[i];
		if (!client)
			continue;
		bool refuse = is_refusable (client);
		bool refused = refuse && send (client->fd, refusal, sizeof (refusal) - 1,
						 MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
		if ((client->receiving || refuse) && !refused)
			report_unanswered (ingress, client);
		client->ended = true;
		if (refuse && !refused)
			continue;
		shutdown (client->fd, SHUT_WR);
	}
}

int
ingress_unwritten (const struct ingress *ingress)
{
	int count = 0;
	for (int i = 0; i < ingress->client_count; i++) {
		const struct ingress_client *client = ingress->clients[i];
		count += client && client->receiving && client->receiving->answered;
	}
	return count;
}

int
ingress_discard (struct ingress *ingress)
{
	int open = discard_lingering (ingress);
	for (int i = 0; i < ingress->client_count; i++) {
		struct ingress_client *client = ingress->clients[i];
		if (!client || client->drained)
			continue;
		client->drained = !discard (client->fd);
		open += !client->drained;
	}
	return open;
}

/* Tells the hooks that the callers of requests which are handled have left. */
static void
abandon_requests (struct ingress *ingress)
{
	struct ingress_client *client;
	cds_list_for_each_entry (client, &ingress->open, node) {
		struct ingress_request *request = client->request;
		if (!request || request->caller_left || request->answered || !request->user)
			continue;
		ingress->hooks.caller_left (request, ingress->hooks.user);
		request->caller_left = true;
	}
}

void
ingress_stop (struct ingress *ingress)
{
	struct lingering *lingering;
	struct lingering *next;
	struct ingress_client *client;
	struct ingress_client *next_client;
	if (!ingress_is_started (ingress))
		return;
	abandon_requests (ingress);
	cds_list_for_each_entry_safe (client, next_client, &ingress->open, node)
		end_client (client, true);
	cds_list_for_each_entry_safe (lingering, next, &ingress->lingering, node)
		end_lingering (lingering);
	if (ingress->listen_fd >= 0)
		close (ingress->listen_fd);
	close (ingress->events_fd);
	free (ingress->clients);
	free (ingress->read_buffer);
	memset (ingress, 0, sizeof (*ingress));
}

int
ingress_fd (const struct ingress *ingress)
{
	return ingress->events_fd;
}

bool
ingress_socket_event (struct ingress *ingress, int fd, uint32_t events)
{
	struct ingress_client *client = fd < ingress->client_count ? ingress->clients[fd] : NULL;
	if (!client)
		return false;
	struct ingress_request *request = client->request;
	if (!(events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)))
		return true;
	client->left = true;
	if (!request || request->caller_left || request->answered)
		return true;
	request->caller_left = true;
	ingress->hooks.caller_left (request, ingress->hooks.user);
	make_ready (client);
	return true;
}

static bool
is_slow (const struct ingress_request *request, int64_t now_us)
{
	return now_us - request->answered_us >= INGRESS_SLOW_US;
}

/* The largest answer of a slow reader. */
static struct ingress_request *
find_answer_to_drop (const struct ingress *ingress)
{
	struct ingress_request *found = NULL;
	int64_t now_us = clock_now_us (ingress->clock);
	for (int i = 0; i < ingress->client_count; i++) {
		struct ingress_client *client = ingress->clients[i];
		struct ingress_request *request = client ? client->receiving : NULL;
		if (!request || !request->answered || request->dropped ||
			!is_slow (request, now_us))
			continue;
		if (!found || request->answer_len > found->answer_len)
			found = request;
	}
	return found;
}

/* The answer is freed when its connection is found to be closed, in the next run. */
static void
limit_answer_bytes (struct ingress *ingress)
{
	while (memory_account_is_exceeded (&ingress->answers)) {
		struct ingress_request *request = find_answer_to_drop (ingress);
		if (!request)
			return;
		request->dropped = true;
		count_answer (request, 0);
		ingress->dropped_count++;
		metric_add (METRIC_ANSWERS_DROPPED, 1);
		shutdown (request->client->fd, SHUT_RDWR);
		request->client->writable = true;
		make_ready (request->client);
	}
}

void
ingress_run (struct ingress *ingress)
{
	take_events (ingress);
	serve_ready (ingress);
	end_inactive (ingress);
	limit_answer_bytes (ingress);
	discard_lingering (ingress);
}

bool
ingress_has_work (const struct ingress *ingress)
{
	return ingress_timeout_ms (ingress) == 0;
}

int
ingress_timeout_ms (const struct ingress *ingress)
{
	int64_t next_us = next_timeout_us (ingress);
	int64_t now_us = clock_now_us (ingress->clock);
	if (ingress->ready.next != &ingress->ready || next_us <= now_us)
		return 0;
	if (next_us == INT64_MAX)
		return -1;
	int64_t ms = (next_us - now_us + US_PER_MS - 1) / US_PER_MS;
	return ms > TIMEOUT_MAX_MS ? TIMEOUT_MAX_MS : (int)ms;
}

int64_t
ingress_travel_us (const struct ingress_request *request)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof (info);
	if (!request->client ||
		getsockopt (request->client->fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0)
		return 0;
	/*
	 * The shortest round trip of the last minutes: the average includes up to 40 ms by which
	 * callers acknowledge an answer late if they have nothing to send.
	 */
	int64_t round_trip_us =
		info.tcpi_min_rtt < info.tcpi_rtt ? info.tcpi_min_rtt : info.tcpi_rtt;
	/* Opening the connection took another one. */
	return round_trip_us * (request->opened_connection ? 2 : 1);
}

struct payload *
ingress_take_body (struct ingress_request *request)
{
	return payload_new (&request->body, &request->ingress->bodies);
}

const char *
ingress_header (struct ingress_request *request, const char *name)
{
	const struct request_parser *parser = &request->client->parser;
	for (int i = 0; i < parser->header_count; i++) {
		if (strcasecmp (parser->headers[i].name, name) == 0)
			return parser->headers[i].value;
	}
	return "";
}

void
ingress_headers (const struct ingress_request *request,
	void (*callback) (void *user, const char *name, const char *value), void *user)
{
	const struct request_parser *parser = &request->client->parser;
	for (int i = 0; i < parser->header_count; i++)
		callback (user, parser->headers[i].name, parser->headers[i].value);
}

bool
ingress_has_room (const struct ingress *ingress, size_t bytes)
{
	return memory_account_fits_pool (&ingress->answers, bytes);
}

void
ingress_answer (struct ingress_request *request, int status, struct buf *head, char *body,
	size_t len, bool close)
{
	request->answered = true;
	request->status = status;
	request->answer = body ? body : xstrdup ("");
	request->answer_len = len;
	request->answered_us = clock_now_us (request->ingress->clock);
	request->close = close;
	if (head) {
		request->head = *head;
		buf_init (head);
	}
	count_answer (request, request->answer_len + request->head.cap);
	make_ready (request->client);
}
