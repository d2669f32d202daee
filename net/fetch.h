/**
 * @file fetch.h
 * HTTP requests to targets on the epoll loop of one thread, parsed by http_parser.
 *
 * Each target has a pool of connections. A request is written to a connection once: whether it is
 * sent again is its owner's decision. When a connection goes silent the pool is replaced, so that
 * no connection of the same age is reused.
 */
#pragma once

#include "core/buf.h"
#include "core/clock.h"
#include "core/timers.h"
#include "targets/reply.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

struct fetch_pool;
struct fetch_conn;

/** Kinds of the timers that fetches embed. */
enum { FETCH_TIMER = 1, FETCH_TIMER_KIND_END = 16 };

/** How a fetch ended. */
enum fetch_end {
	FETCH_OK,       /**< a whole HTTP reply */
	FETCH_NOT_SENT, /**< no connection, or held back; certain that nothing was sent */
	FETCH_FAILED,   /**< the connection broke; the request may have arrived */
	FETCH_SILENT,   /**< no whole reply in time */
	FETCH_TOO_LARGE,
};

/** One request; embedded in the owner's work item. */
struct fetch {
	struct cds_list_head node; /**< in its pool: running or waiting for a connection */
	struct fetch_pool *pool;
	struct fetch_conn *conn; /**< NULL while it waits for one */
	struct timer timer;
	struct reply_headers headers;
	struct buf out; /**< the request as it is written */
	struct buf body;
	size_t body_max_bytes;
	long status;
	int64_t deadline_us; /**< when it counts as silent */
	int64_t connect_timeout_us;
	bool active; /**< started and not ended */
	bool new_connection;
	bool head_only;         /**< the reply has no body whatever its headers say */
	bool open_denied;       /**< the gate went cold before the connection was opened */
	bool check_may_open;    /**< false: never hold back (probes) */
	bool opened_connection; /**< a new connection was opened for it */
	bool sent;              /**< a byte was handed to a connection; it may have arrived */
	bool (*on_header_line) (struct fetch *fetch, const char *line, size_t len);
	void (*done) (struct fetch *fetch, enum fetch_end end);
};

/** What a request says. */
struct fetch_request {
	const char *method; /**< NULL: GET, or POST with a body */
	const char *path;   /**< with its query; sent as it is */
	const char *body;   /**< NULL: none */
	size_t body_len;
	const char *const *headers; /**< "Name: value" lines, NULL-terminated */
	int64_t connect_timeout_us; /**< longest time to open a connection; 0: the timeout */
	int64_t timeout_us;         /**< from now on */
	/** Gets each header line instead of fetch.headers; false closes the connection. */
	bool (*on_header_line) (struct fetch *fetch, const char *line, size_t len);
	bool new_connection; /**< on a connection of its own, which no earlier reply can disturb */
};

/** What the pool tells its owner; a hook may be NULL. */
struct fetch_hooks {
	/** An idle connection was found closed: a sign that the target restarted. */
	void (*idle_closed) (void *user);
	/** May a new connection be used at all now? */
	bool (*may_open) (void *user);
	void *user;
};

/** A thread's loop as far as fetches need it. */
struct fetch_loop {
	int epoll_fd;
	struct clock *clock;
	struct timers *timers;
	struct cds_list_head pools;
	struct cds_list_head retired;
	struct fetch_conn **by_fd; /**< the connection of each socket */
	int fd_count;
	char *read_buffer; /**< bytes that just came in; threads have too little stack for them */
	struct cds_list_head closed; /**< connections to free at the end of the turn */
};

struct fetch_pool {
	struct cds_list_head node; /**< in loop.pools or loop.retired */
	struct fetch_loop *loop;
	char address[64];
	struct sockaddr_in peer;
	struct cds_list_head conns;   /**< struct fetch_conn, idle ones first */
	struct cds_list_head running; /**< fetches on a connection */
	struct cds_list_head waiting; /**< fetches without one, oldest first */
	int conn_count;
	struct fetch_hooks hooks;
	int max_connections;
	bool retired; /**< retired; destroyed once nothing runs */
};

void
fetch_loop_init (struct fetch_loop *loop, int epoll_fd, struct clock *clock, struct timers *timers);

void
fetch_loop_finish (struct fetch_loop *loop);

/** Frees closed connections and retired pools that are empty; call once per loop turn. */
void
fetch_loop_clean (struct fetch_loop *loop);

struct fetch_pool *
fetch_pool_new (struct fetch_loop *loop, const char *address, int max_connections,
	const struct fetch_hooks *hooks);

/** Retires a pool: what runs in it may end, its connections are never reused. */
void
fetch_pool_retire (struct fetch_pool *pool);

/** Starts a request. done is called from the loop, never from here. */
void
fetch_start (struct fetch *fetch, struct fetch_pool *pool, const struct fetch_request *request,
	void (*done) (struct fetch *, enum fetch_end));

/** Counts a request as silent this long from now on, instead of its timeout. */
void
fetch_shorten_timeout (struct fetch *fetch, int64_t timeout_us);

/** Ends a request by closing its connection; done is not called. */
void
fetch_cancel (struct fetch *fetch);

/** Frees what a fetch that has ended holds. */
void
fetch_finish (struct fetch *fetch);

/** An epoll event on a socket of the loop. */
void
fetch_socket_event (struct fetch_loop *loop, int fd, uint32_t events);

/** A timer of the kinds above came due. */
void
fetch_timer_due (struct timer *timer);
