#include "net/fetch.h"

#include "net/response.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

enum {
	FD_TABLE_STEP = 64,
	READ_BUFFER_BYTES = 65536,
	READ_BYTES_PER_ITERATION = 4 * READ_BUFFER_BYTES,
	/* Reuse ends this long before the peer may close, so that no request crosses the close. */
	KEEP_ALIVE_MARGIN_US = 300000,
};

enum conn_state { CONN_CONNECTING, CONN_BUSY, CONN_IDLE, CONN_CLOSED };

/** A connection to a target. */
struct fetch_conn {
	struct cds_list_head node;        /**< in its pool, or in loop.closed */
	struct cds_list_head unread_node; /**< in loop.unread while is_unread */
	struct fetch_pool *pool;
	int fd;
	enum conn_state state;
	struct fetch *fetch; /**< the current request; NULL while idle */
	size_t written;      /**< bytes of the request that were written */
	bool is_unread;      /**< bytes or a close may wait to be read */
	bool peer_closed;    /**< the close of the peer was reported */
	struct response_parser response;
	bool too_large;        /**< the body exceeds a limit */
	int64_t keep_until_us; /**< not reused after this time */
	int64_t connected_us;  /**< when it was established */
	int64_t idle_since_us; /**< CONN_IDLE: when its last request ended */
};

static int64_t
loop_now_us (const struct fetch_loop *loop)
{
	return clock_now_us (loop->clock);
}

void
fetch_loop_init (struct fetch_loop *loop, int epoll_fd, struct clock *clock, struct timers *timers)
{
	memset (loop, 0, sizeof (*loop));
	loop->epoll_fd = epoll_fd;
	loop->clock = clock;
	loop->timers = timers;
	CDS_INIT_LIST_HEAD (&loop->pools);
	CDS_INIT_LIST_HEAD (&loop->retired);
	CDS_INIT_LIST_HEAD (&loop->closed);
	CDS_INIT_LIST_HEAD (&loop->unread);
	loop->read_budget = READ_BYTES_PER_ITERATION;
	loop->bodies.max = FETCH_BODY_BYTES_MAX;
	loop->heads.max = FETCH_HEAD_BYTES_MAX;
	loop->read_buffer = xmalloc (READ_BUFFER_BYTES);
}

/* The socket's events are edge-triggered, so a connection that is not read empty is noted here. */
static void
add_unread (struct fetch_conn *conn)
{
	if (conn->is_unread)
		return;
	conn->is_unread = true;
	cds_list_add_tail (&conn->unread_node, &conn->pool->loop->unread);
}

static void
remove_unread (struct fetch_conn *conn)
{
	if (conn->is_unread)
		cds_list_del (&conn->unread_node);
	conn->is_unread = false;
}

/* Freed at the end of the iteration, since events for the socket may still be pending. */
static void
close_conn (struct fetch_conn *conn)
{
	struct fetch_loop *loop = conn->pool->loop;
	if (conn->state == CONN_CLOSED)
		return;
	loop->by_fd[conn->fd] = NULL;
	remove_unread (conn);
	close (conn->fd);
	conn->state = CONN_CLOSED;
	conn->pool->conn_count--;
	if (conn->fetch)
		conn->fetch->conn = NULL;
	conn->fetch = NULL;
	cds_list_del (&conn->node);
	cds_list_add (&conn->node, &loop->closed);
}

static void
free_closed (struct fetch_loop *loop)
{
	struct fetch_conn *conn;
	struct fetch_conn *next;
	cds_list_for_each_entry_safe (conn, next, &loop->closed, node) {
		cds_list_del (&conn->node);
		response_finish (&conn->response);
		free (conn);
	}
}

static void
close_conns (struct fetch_pool *pool, bool idle_only)
{
	struct fetch_conn *conn;
	struct fetch_conn *next;
	cds_list_for_each_entry_safe (conn, next, &pool->conns, node) {
		if (!idle_only || conn->state == CONN_IDLE)
			close_conn (conn);
	}
}

static void
destroy_pools (struct cds_list_head *head)
{
	struct fetch_pool *pool;
	struct fetch_pool *next;
	cds_list_for_each_entry_safe (pool, next, head, node) {
		if (!cds_list_empty (&pool->running) || !cds_list_empty (&pool->waiting))
			continue;
		close_conns (pool, false);
		cds_list_del (&pool->node);
		free (pool);
	}
}

void
fetch_loop_clean (struct fetch_loop *loop)
{
	destroy_pools (&loop->retired);
	free_closed (loop);
}

void
fetch_loop_finish (struct fetch_loop *loop)
{
	destroy_pools (&loop->pools);
	destroy_pools (&loop->retired);
	free_closed (loop);
	free (loop->by_fd);
	free (loop->read_buffer);
}

struct fetch_pool *
fetch_pool_new (struct fetch_loop *loop, const char *address, int max_connections,
	const struct fetch_hooks *hooks)
{
	struct fetch_pool *pool = xcalloc (1, sizeof (*pool));
	char host[64];
	const char *colon = strrchr (address, ':');
	size_t len = colon ? (size_t)(colon - address) : 0;
	pool->loop = loop;
	pool->hooks = *hooks;
	pool->max_connections = max_connections > 0 ? max_connections : 1;
	str_copy (pool->address, sizeof (pool->address), address);
	CDS_INIT_LIST_HEAD (&pool->conns);
	CDS_INIT_LIST_HEAD (&pool->running);
	CDS_INIT_LIST_HEAD (&pool->waiting);
	if (colon && len < sizeof (host)) {
		memcpy (host, address, len);
		host[len] = '\0';
		pool->peer.sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
		if (inet_pton (AF_INET, host, &pool->peer.sin_addr) == 1)
			pool->peer.sin_family = AF_INET;
	}
	cds_list_add (&pool->node, &loop->pools);
	return pool;
}

int
fetch_pool_connections (const struct fetch_pool *pool)
{
	return pool->conn_count;
}

bool
fetch_pool_is_connected (const struct fetch_pool *pool)
{
	const struct fetch_conn *conn;
	cds_list_for_each_entry (conn, &pool->conns, node) {
		if (conn->state != CONN_CONNECTING)
			return true;
	}
	return false;
}

void
fetch_pool_set_max_connections (struct fetch_pool *pool, int max_connections)
{
	pool->max_connections = max_connections > 0 ? max_connections : 1;
}

void
fetch_pool_retire (struct fetch_pool *pool)
{
	pool->retired = true;
	close_conns (pool, true);
	cds_list_del (&pool->node);
	cds_list_add (&pool->node, &pool->loop->retired);
}

static void
set_timer (struct fetch *fetch, int64_t due_us)
{
	timers_set (fetch->pool->loop->timers, &fetch->timer, due_us);
}

/*
 * Makes a fetch fail in the next iteration of the loop, since done must not be called from
 * fetch_start.
 */
static void
fail_later (struct fetch *fetch)
{
	fetch->deadline_us = 0;
	set_timer (fetch, loop_now_us (fetch->pool->loop));
}

void
fetch_pool_end_waiting (struct fetch_pool *pool)
{
	struct fetch *fetch;
	cds_list_for_each_entry (fetch, &pool->waiting, node)
		fail_later (fetch);
}

/* Returns NULL if no connection can be opened; @p refused: because the target refuses it. */
static struct fetch_conn *
open_conn (struct fetch_pool *pool, bool *refused)
{
	struct fetch_loop *loop = pool->loop;
	int fd = pool->peer.sin_family == AF_INET
			 ? socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)
			 : -1;
	int one = 1;
	*refused = false;
	if (fd < 0)
		return NULL;
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof (one));
	if (connect (fd, (const struct sockaddr *)&pool->peer, sizeof (pool->peer)) != 0 &&
		errno != EINPROGRESS) {
		*refused = errno == ECONNREFUSED;
		close (fd);
		return NULL;
	}
	struct fetch_conn *conn = xcalloc (1, sizeof (*conn));
	conn->pool = pool;
	conn->fd = fd;
	conn->state = CONN_CONNECTING;
	conn->keep_until_us = INT64_MAX;
	if (fd >= loop->fd_count) {
		int count = fd + FD_TABLE_STEP;
		loop->by_fd = xrealloc (loop->by_fd, (size_t)count * sizeof (struct fetch_conn *));
		memset (loop->by_fd + loop->fd_count, 0,
			(size_t)(count - loop->fd_count) * sizeof (struct fetch_conn *));
		loop->fd_count = count;
	}
	loop->by_fd[fd] = conn;
	struct epoll_event event = {
		.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, .data.fd = fd};
	epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, fd, &event);
	cds_list_add_tail (&conn->node, &pool->conns);
	pool->conn_count++;
	return conn;
}

static bool
deliver_line (void *user, const char *line, size_t len)
{
	struct fetch *fetch = ((struct fetch_conn *)user)->fetch;
	if (fetch->on_header_line)
		return fetch->on_header_line (fetch, line, len);
	reply_parse_header_line (&fetch->headers, line, len);
	return true;
}

static size_t
body_memory (const struct fetch *fetch)
{
	return fetch->body.cap;
}

static size_t
head_memory (const struct fetch *fetch)
{
	return fetch->head_memory;
}

static struct fetch *
find_larger (struct fetch *largest, struct cds_list_head *pools,
	size_t (*memory) (const struct fetch *fetch))
{
	struct fetch_pool *pool;
	struct fetch *fetch;
	cds_list_for_each_entry (pool, pools, node) {
		cds_list_for_each_entry (fetch, &pool->running, node) {
			if (!fetch->dropped && memory (fetch) > memory (largest))
				largest = fetch;
		}
	}
	return largest;
}

static void
release_reply (struct fetch *fetch)
{
	if (fetch->loop) {
		memory_account_remove (&fetch->loop->bodies, fetch->body.cap);
		memory_account_remove (&fetch->loop->heads, fetch->head_memory);
	}
	fetch->head_memory = 0;
	buf_finish (&fetch->body);
}

/*
 * Drops replies that take more memory of this kind than that of this fetch; returns false if the
 * bytes still do not fit.
 */
static bool
make_room (struct fetch *fetch, const struct memory_account *account,
	size_t (*memory) (const struct fetch *fetch), size_t bytes)
{
	struct fetch_loop *loop = fetch->loop;
	while (!memory_account_fits (account, bytes)) {
		struct fetch *largest = find_larger (fetch, &loop->pools, memory);
		largest = find_larger (largest, &loop->retired, memory);
		if (largest == fetch)
			return false;
		release_reply (largest);
		largest->dropped = true;
		fail_later (largest);
	}
	return true;
}

/*
 * Counts the line that is being received, and the other bytes of the head, of which the hook may
 * have kept a copy. Returns false if they do not fit.
 */
static bool
count_head (struct fetch_conn *conn)
{
	struct fetch *fetch = conn->fetch;
	struct memory_account *heads = &fetch->loop->heads;
	const struct response_parser *response = &conn->response;
	size_t bytes = response->line.cap + response->received - response->body_bytes;
	if (fetch->dropped)
		return false;
	memory_account_remove (heads, fetch->head_memory);
	fetch->head_memory = bytes;
	bool fits = make_room (fetch, heads, head_memory, bytes);
	if (fits)
		memory_account_add (heads, bytes);
	else
		fetch->head_memory = 0;
	return fits;
}

static bool
store_body (void *user, const char *data, size_t len)
{
	struct fetch_conn *conn = user;
	struct fetch *fetch = conn->fetch;
	if (fetch->dropped || fetch->body.len + len > fetch->body_max_bytes ||
		!make_room (
			fetch, &fetch->loop->bodies, body_memory, buf_growth (&fetch->body, len))) {
		conn->too_large = true;
		return false;
	}
	memory_account_add (&fetch->loop->bodies, buf_growth (&fetch->body, len));
	buf_add (&fetch->body, data, len);
	return true;
}

static const struct response_hooks response_hooks = {deliver_line, store_body};

static void
begin_response (struct fetch_conn *conn)
{
	response_finish (&conn->response);
	response_init (&conn->response, conn->fetch->head_only, &response_hooks, conn);
	conn->written = 0;
	conn->too_large = false;
}

static size_t
request_len (const struct fetch *fetch)
{
	return fetch->out.len + (fetch->payload ? fetch->payload->bytes.len : 0);
}

static void
release_request (struct fetch *fetch)
{
	buf_finish (&fetch->out);
	buf_init (&fetch->out);
	payload_unref (fetch->payload);
	fetch->payload = NULL;
}

/* Sends what is left of the request, in one segment if it fits. */
static ssize_t
send_request_bytes (const struct fetch_conn *conn)
{
	const struct fetch *fetch = conn->fetch;
	size_t head = conn->written < fetch->out.len ? conn->written : fetch->out.len;
	size_t body = conn->written - head;
	struct iovec parts[2] = {
		{.iov_base = fetch->out.data + head, .iov_len = fetch->out.len - head}};
	if (fetch->payload && fetch->payload->bytes.len > 0)
		parts[1] = (struct iovec){.iov_base = fetch->payload->bytes.data + body,
			.iov_len = fetch->payload->bytes.len - body};
	struct msghdr message = {.msg_iov = parts, .msg_iovlen = 2};
	return sendmsg (conn->fd, &message, MSG_NOSIGNAL);
}

/* Writes as much as the socket accepts; returns false if the connection failed. */
static bool
write_request (struct fetch_conn *conn)
{
	struct fetch *fetch = conn->fetch;
	while (conn->written < request_len (fetch)) {
		ssize_t n = send_request_bytes (conn);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		if (!fetch->sent)
			fetch->written_us = loop_now_us (fetch->loop);
		fetch->sent = true;
		conn->written += (size_t)n;
	}
	fetch->written = true;
	release_request (fetch);
	return true;
}

static void
attach (struct fetch *fetch, struct fetch_conn *conn)
{
	fetch->conn = conn;
	fetch->connected_us = conn->connected_us;
	conn->fetch = fetch;
	cds_list_del (&fetch->node);
	cds_list_add (&fetch->node, &fetch->pool->running);
	begin_response (conn);
}

/* Writes a request to a usable idle connection; returns false if there is none. */
static bool
send_on_idle (struct fetch *fetch)
{
	struct fetch_pool *pool = fetch->pool;
	struct fetch_conn *conn;
	struct fetch_conn *next;
	int64_t now_us = loop_now_us (pool->loop);
	cds_list_for_each_entry_safe (conn, next, &pool->conns, node) {
		if (conn->state != CONN_IDLE)
			continue;
		if (conn->keep_until_us <= now_us) {
			close_conn (conn);
			continue;
		}
		conn->state = CONN_BUSY;
		attach (fetch, conn);
		set_timer (fetch, fetch->deadline_us);
		if (write_request (conn))
			return true;
		/* If no byte was written, the target got nothing, so try another connection. */
		bool sent = fetch->sent;
		close_conn (conn);
		if (sent)
			break;
	}
	return false;
}

static void
evict_idle (struct fetch_pool *pool)
{
	struct fetch_conn *conn;
	struct fetch_conn *next;
	cds_list_for_each_entry_safe (conn, next, &pool->conns, node) {
		if (pool->conn_count < pool->max_connections)
			return;
		if (conn->state == CONN_IDLE)
			close_conn (conn);
	}
}

/* Assigns a connection to a fetch, or queues the fetch if all connections are in use. */
static void
dispatch (struct fetch *fetch)
{
	struct fetch_pool *pool = fetch->pool;
	if (!fetch->new_connection && send_on_idle (fetch))
		return;
	if (fetch->sent) {
		fail_later (fetch);
		return;
	}
	if (fetch->new_connection)
		evict_idle (pool);
	if (pool->conn_count >= pool->max_connections) {
		/* An attempt on a failed idle connection may have moved it to running. */
		cds_list_del (&fetch->node);
		cds_list_add (&fetch->node, &pool->waiting);
		return;
	}
	if (fetch->check_may_open_connection && !pool->retired && pool->hooks.may_open_connection &&
		!pool->hooks.may_open_connection (pool->hooks.user)) {
		fetch->open_denied = true;
		fail_later (fetch);
		return;
	}
	struct fetch_conn *conn = open_conn (pool, &fetch->connect_refused);
	if (!conn) {
		fail_later (fetch);
		return;
	}
	fetch->opened_connection = true;
	attach (fetch, conn);
	int64_t connect_end_us = fetch->connect_timeout_us > 0
					 ? loop_now_us (pool->loop) + fetch->connect_timeout_us
					 : INT64_MAX;
	set_timer (
		fetch, connect_end_us < fetch->deadline_us ? connect_end_us : fetch->deadline_us);
}

static void
dispatch_waiting (struct fetch_pool *pool)
{
	struct fetch *fetch;
	struct fetch *next;
	cds_list_for_each_entry_safe (fetch, next, &pool->waiting, node) {
		if (fetch->deadline_us == 0)
			continue;
		dispatch (fetch);
		if (!fetch->conn && fetch->deadline_us != 0)
			return;
	}
}

static void
encode_request (struct fetch *fetch, const struct fetch_request *request)
{
	bool has_body = request->body || request->payload;
	size_t body_len = request->payload ? request->payload->bytes.len : request->body_len;
	const char *default_method = has_body ? "POST" : "GET";
	bool host = false;
	buf_init (&fetch->out);
	buf_addf (&fetch->out, "%s %s HTTP/1.1\r\n",
		request->method ? request->method : default_method, request->path);
	for (const char *const *header = request->headers; *header; header++) {
		host = host || strncasecmp (*header, "Host:", 5) == 0;
		buf_add (&fetch->out, *header, strlen (*header));
		buf_add (&fetch->out, "\r\n", 2);
	}
	if (!host)
		buf_addf (&fetch->out, "Host: %s\r\n", fetch->pool->address);
	if (has_body)
		buf_addf (&fetch->out, "Content-Length: %zu\r\n", body_len);
	buf_add (&fetch->out, "\r\n", 2);
	fetch->payload = request->payload ? payload_ref (request->payload) : NULL;
	if (request->body && !request->payload)
		buf_add (&fetch->out, request->body, request->body_len);
}

void
fetch_start (struct fetch *fetch, struct fetch_pool *pool, const struct fetch_request *request,
	void (*done) (struct fetch *, enum fetch_end))
{
	fetch->pool = pool;
	fetch->loop = pool->loop;
	fetch->conn = NULL;
	fetch->status = 0;
	fetch->written_us = 0;
	fetch->active = true;
	fetch->open_denied = fetch->opened_connection = fetch->sent = fetch->dropped = false;
	fetch->received = fetch->conn_lost = fetch->written = false;
	fetch->connect_refused = fetch->connect_timed_out = false;
	fetch->connected_us = 0;
	fetch->new_connection = request->new_connection;
	fetch->head_only = request->method && strcmp (request->method, "HEAD") == 0;
	fetch->connect_timeout_us = request->connect_timeout_us;
	fetch->deadline_us = loop_now_us (pool->loop) + request->timeout_us;
	fetch->on_header_line = request->on_header_line;
	fetch->done = done;
	memset (&fetch->headers, 0, sizeof (fetch->headers));
	buf_init (&fetch->body);
	fetch->head_memory = 0;
	timer_init (&fetch->timer, FETCH_TIMER);
	encode_request (fetch, request);
	cds_list_add_tail (&fetch->node, &pool->waiting);
	set_timer (fetch, fetch->deadline_us);
	dispatch (fetch);
}

void
fetch_shorten_timeout (struct fetch *fetch, int64_t timeout_us)
{
	if (!fetch->active || fetch->deadline_us == 0)
		return;
	int64_t end_us = loop_now_us (fetch->pool->loop) + timeout_us;
	if (end_us >= fetch->deadline_us)
		return;
	fetch->deadline_us = end_us;
	set_timer (fetch, end_us);
}

/* Removes a fetch from its pool and closes its connection unless that can be reused. */
static void
detach (struct fetch *fetch, bool reusable)
{
	struct fetch_pool *pool = fetch->pool;
	struct fetch_conn *conn = fetch->conn;
	timers_clear (pool->loop->timers, &fetch->timer);
	cds_list_del (&fetch->node);
	release_request (fetch);
	fetch->active = false;
	fetch->conn = NULL;
	if (conn) {
		conn->fetch = NULL;
		conn->state = CONN_IDLE;
		conn->idle_since_us = loop_now_us (pool->loop);
		if (!reusable || pool->retired || fetch->new_connection) {
			close_conn (conn);
		} else {
			/* Last used first, so that surplus connections stay idle and expire. */
			cds_list_del (&conn->node);
			cds_list_add (&conn->node, &pool->conns);
		}
	}
	dispatch_waiting (pool);
}

void
fetch_cancel (struct fetch *fetch)
{
	if (fetch->active)
		detach (fetch, false);
}

void
fetch_finish (struct fetch *fetch)
{
	release_reply (fetch);
}

/*
 * The memory of a dropped reply has been released, so it does not count as complete, even if its
 * connection delivers the end of it before the timer of fail_later() is due.
 */
static void
end_fetch (struct fetch *fetch, enum fetch_end end, bool reusable)
{
	detach (fetch, reusable && !fetch->dropped);
	fetch->done (fetch, fetch->dropped ? FETCH_TOO_LARGE : end);
}

static enum fetch_idle_end
idle_end (const struct fetch_conn *conn)
{
	char byte;
	ssize_t n = recv (conn->fd, &byte, 1, MSG_PEEK);
	if (n > 0)
		return FETCH_IDLE_DATA;
	return n == 0 ? FETCH_IDLE_CLOSED : FETCH_IDLE_RESET;
}

static void
handle_idle_event (struct fetch_conn *conn)
{
	struct fetch_pool *pool = conn->pool;
	int64_t now_us = loop_now_us (pool->loop);
	int64_t idle_us = now_us - conn->idle_since_us;
	bool expected = conn->keep_until_us <= now_us;
	enum fetch_idle_end end = idle_end (conn);
	close_conn (conn);
	if (!pool->retired && !expected && pool->hooks.idle_closed)
		pool->hooks.idle_closed (pool->hooks.user, end, idle_us);
}

/* The target has ended the connection while its request was in progress. */
static void
end_lost (struct fetch *fetch)
{
	fetch->conn_lost = fetch->sent;
	end_fetch (fetch, fetch->sent ? FETCH_FAILED : FETCH_NOT_SENT, false);
}

/* Parses received bytes; returns false if the fetch has ended. */
static bool
parse_bytes (struct fetch_conn *conn, const char *data, size_t len)
{
	struct fetch *fetch = conn->fetch;
	struct response_parser *response = &conn->response;
	size_t used = 0;
	fetch->received = fetch->received || len > 0;
	enum response_state state = response_parse (response, data, len, &used);
	fetch->status = response->status;
	switch (state) {
	case RESPONSE_PARTIAL:
		if (count_head (conn))
			return true;
		end_fetch (fetch, FETCH_TOO_LARGE, false);
		return false;
	case RESPONSE_COMPLETE: {
		if (response->keep_alive_us >= 0)
			conn->keep_until_us = loop_now_us (conn->pool->loop) +
					      response->keep_alive_us - KEEP_ALIVE_MARGIN_US;
		/* Bytes after the response belong to no request, so the connection is closed. */
		bool reusable = !response->closing && used == len && fetch->written && len > 0;
		response_finish (response); /* so that an idle connection holds no buffer */
		end_fetch (fetch, FETCH_OK, reusable);
		return false;
	}
	case RESPONSE_INVALID:
		fetch->conn_lost = len == 0;
		end_fetch (fetch, conn->too_large ? FETCH_TOO_LARGE : FETCH_FAILED, false);
		return false;
	}
	return false;
}

/* Returns the number of bytes, 0 after a close, or -1 if nothing was read or the fetch has ended.
 */
static ssize_t
receive (struct fetch_conn *conn)
{
	ssize_t n = 0;
	do
		n = recv (conn->fd, conn->pool->loop->read_buffer, READ_BUFFER_BYTES, 0);
	while (n < 0 && errno == EINTR);
	if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
		end_lost (conn->fetch);
	return n;
}

/* Reads at most one buffer. */
static void
read_reply (struct fetch_conn *conn)
{
	struct fetch_loop *loop = conn->pool->loop;
	if (loop->read_budget == 0) {
		add_unread (conn);
		return;
	}
	ssize_t n = receive (conn);
	if (n < 0)
		return;
	size_t len = (size_t)n;
	loop->read_budget -= len < loop->read_budget ? len : loop->read_budget;
	if (parse_bytes (conn, loop->read_buffer, len) &&
		(len == READ_BUFFER_BYTES || conn->peer_closed))
		add_unread (conn);
}

/* Data or a close on an idle connection means that it cannot be used any more. */
static void
read_conn (struct fetch_conn *conn)
{
	remove_unread (conn);
	if (conn->state == CONN_IDLE)
		handle_idle_event (conn);
	else if (conn->state == CONN_BUSY)
		read_reply (conn);
}

void
fetch_loop_read (struct fetch_loop *loop)
{
	while (loop->read_budget > 0 && !cds_list_empty (&loop->unread)) {
		struct fetch_conn *conn =
			cds_list_entry (loop->unread.next, struct fetch_conn, unread_node);
		read_conn (conn);
	}
	loop->read_budget = READ_BYTES_PER_ITERATION;
}

bool
fetch_loop_has_unread (const struct fetch_loop *loop)
{
	return loop->unread.next != &loop->unread;
}

static void
finish_connect (struct fetch_conn *conn)
{
	struct fetch *fetch = conn->fetch;
	int socket_error = 0;
	socklen_t len = sizeof (socket_error);
	getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &socket_error, &len);
	if (socket_error != 0) {
		fetch->connect_refused = true;
		end_fetch (fetch, FETCH_NOT_SENT, false);
		return;
	}
	conn->state = CONN_BUSY;
	conn->connected_us = loop_now_us (conn->pool->loop);
	fetch->connected_us = conn->connected_us;
	set_timer (fetch, fetch->deadline_us);
	if (!write_request (conn))
		end_lost (fetch);
}

void
fetch_socket_event (struct fetch_loop *loop, int fd, uint32_t events)
{
	struct fetch_conn *conn = fd < loop->fd_count ? loop->by_fd[fd] : NULL;
	if (!conn)
		return;
	if (conn->state == CONN_CONNECTING && events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) {
		finish_connect (conn);
		if (conn->state != CONN_BUSY)
			return;
	} else if (conn->state == CONN_BUSY && events & EPOLLOUT && !conn->fetch->written &&
		   !write_request (conn)) {
		end_lost (conn->fetch);
		return;
	}
	if (!(events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)))
		return;
	conn->peer_closed = conn->peer_closed || (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
	bool was_idle = conn->state == CONN_IDLE;
	read_conn (conn);
	/* A close that came with the last bytes is not reported again. */
	if (!was_idle && conn->state == CONN_IDLE && conn->peer_closed)
		handle_idle_event (conn);
}

void
fetch_timer_due (struct timer *timer)
{
	struct fetch *fetch = caa_container_of (timer, struct fetch, timer);
	fetch->connect_timed_out = fetch->conn && fetch->conn->state == CONN_CONNECTING &&
				   loop_now_us (fetch->loop) < fetch->deadline_us;
	if (!fetch->sent)
		end_fetch (fetch, FETCH_NOT_SENT, false);
	else
		end_fetch (fetch, fetch->deadline_us == 0 ? FETCH_FAILED : FETCH_SILENT, false);
}
