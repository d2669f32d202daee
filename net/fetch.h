/**
 * @file fetch.h
 * An HTTP client for requests to targets, on the epoll loop of one thread, with http_parser.
 *
 * Each target has a pool of connections. A request is written to at most one connection. It is
 * never sent again here, since it may have run; the code that started it decides that. If a
 * connection gets no reply in time, that code replaces the pool, so that no connection opened
 * before that is reused.
 *
 * For targets that send faster than this thread can parse: each iteration of the loop reads a
 * limited number of bytes, of all connections together and in turn, so that timers and other
 * sockets are served meanwhile. For targets that send without end: the bodies of all responses
 * together have a limit, beyond which the largest one ends, so that other responses are complete.
 * So have their heads, until the responses are complete.
 */
#pragma once

#include "core/buf.h"
#include "core/clock.h"
#include "core/payload.h"
#include "core/timers.h"
#include "targets/reply.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

struct fetch_pool;
struct fetch_conn;

/** Kinds of timers that fetches embed; other timers of the loop use FETCH_TIMER_KIND_END and up. */
enum { FETCH_TIMER = 1, FETCH_TIMER_KIND_END = 16 };

/** Limits of the memory of replies; a node has little more than 100 MB on the smallest VMs. */
enum {
	FETCH_BODY_BYTES_MAX = 32 * 1024 * 1024,
	FETCH_HEAD_BYTES_MAX = 16 * 1024 * 1024,
};

/** How a connection ended that had no request. */
enum fetch_idle_end {
	FETCH_IDLE_DATA,   /**< bytes came that belong to no request */
	FETCH_IDLE_CLOSED, /**< the target closed it */
	FETCH_IDLE_RESET,  /**< the target, or the host it ran on, reset it */
};

/** How a fetch ended. */
enum fetch_end {
	FETCH_OK,       /**< a complete HTTP reply */
	FETCH_NOT_SENT, /**< no connection, or may_open_connection denied it; nothing was sent */
	FETCH_FAILED,   /**< the connection failed; the request may have arrived */
	FETCH_SILENT,   /**< no complete reply before the deadline */
	FETCH_TOO_LARGE,
};

/** One request in progress; embedded in a struct of the code that starts it. */
struct fetch {
	struct cds_list_head node; /**< in pool->running or pool->waiting */
	struct fetch_pool *pool;
	struct fetch_conn *conn; /**< NULL while waiting for a connection */
	struct timer timer;
	struct reply_headers headers;
	struct buf out; /**< the encoded request without its payload; empty once it was written */
	struct payload *payload; /**< NULL: none, or it was written */
	struct buf body;
	size_t head_memory;      /**< of the reply's head, while a part of the reply is missing */
	struct fetch_loop *loop; /**< counts both */
	size_t body_max_bytes;
	long status;
	int64_t deadline_us; /**< for the complete reply; 0: fail in the next iteration */
	int64_t connect_timeout_us;
	int64_t written_us; /**< when its first bytes were written; 0: none were */
	bool active;        /**< started and not ended */
	bool new_connection;
	bool head_only;   /**< HEAD: the reply has no body, whatever its headers say */
	bool dropped;     /**< its reply was dropped; ends as FETCH_TOO_LARGE in this iteration */
	bool open_denied; /**< may_open_connection denied a new connection */
	bool check_may_open_connection; /**< false: open connections regardless of
					   may_open_connection (probes) */
	bool opened_connection;         /**< a connection was opened for this request */
	bool received;                  /**< bytes of a reply came, possibly invalid ones */
	bool sent;              /**< bytes were written to a connection and may have arrived */
	bool written;           /**< all of its bytes were */
	bool connect_refused;   /**< the connection opened for it was refused */
	bool connect_timed_out; /**< it was not established within connect_timeout_us */
	bool conn_lost;       /**< the target ended the connection before the reply was complete */
	int64_t connected_us; /**< when its connection was established; 0: it has none */
	bool (*on_header_line) (struct fetch *fetch, const char *line, size_t len);
	void (*done) (struct fetch *fetch, enum fetch_end end);
};

/** The parameters of a request. */
struct fetch_request {
	const char *method; /**< NULL: GET, or POST with a body */
	const char *path;   /**< with the query; sent verbatim */
	const char *body;   /**< NULL: none */
	size_t body_len;
	struct payload *payload; /**< a body that is not copied, in place of @p body; NULL: none */
	const char *const *headers; /**< "Name: value" lines, NULL-terminated */
	int64_t connect_timeout_us; /**< for opening a connection; 0: only timeout_us applies */
	int64_t timeout_us;         /**< for the complete reply */
	/**
	 * Gets each header line, and "\r\n" after the last one, in place of fetch.headers.
	 * Returns false to close the connection.
	 */
	bool (*on_header_line) (struct fetch *fetch, const char *line, size_t len);
	bool new_connection; /**< use a separate connection, which no earlier reply can affect */
};

/** Callbacks of a pool to the code that created it; each may be NULL. */
struct fetch_hooks {
	/**
	 * An idle connection ended earlier than announced, which suggests that the target
	 * restarted. It had been idle for @p idle_us.
	 */
	void (*idle_closed) (void *user, enum fetch_idle_end end, int64_t idle_us);
	/** Returns whether a new connection may be opened now. */
	bool (*may_open_connection) (void *user);
	void *user;
};

/** The part of a thread's event loop that fetches need. */
struct fetch_loop {
	int epoll_fd;
	struct clock *clock;
	struct timers *timers;
	struct cds_list_head pools;
	struct cds_list_head retired;
	struct fetch_conn **by_fd; /**< connections, indexed by socket */
	int fd_count;
	char *read_buffer;           /**< for received bytes; too large for the stacks of threads */
	struct cds_list_head closed; /**< connections to free at the end of the iteration */
	struct cds_list_head unread; /**< connections that may have bytes to read, in turn */
	size_t read_budget;          /**< bytes that may still be read in this iteration */
	struct memory_account bodies; /**< memory of those held; beyond it the largest is dropped */
	struct memory_account heads; /**< the same of heads, while a part of the reply is missing */
};

struct fetch_pool {
	struct cds_list_head node; /**< in loop.pools or loop.retired */
	struct fetch_loop *loop;
	char address[64];
	struct sockaddr_in peer;
	struct cds_list_head conns;   /**< struct fetch_conn; the last used idle one is first */
	struct cds_list_head running; /**< fetches that have a connection */
	struct cds_list_head waiting; /**< fetches without a connection, oldest first */
	int conn_count;
	struct fetch_hooks hooks;
	int max_connections;
	bool retired; /**< destroyed once it has no fetches */
};

void
fetch_loop_init (struct fetch_loop *loop, int epoll_fd, struct clock *clock, struct timers *timers);

void
fetch_loop_finish (struct fetch_loop *loop);

/** Reads what earlier events left unread; call once per loop iteration, after the events. */
void
fetch_loop_read (struct fetch_loop *loop);

/** True if fetch_loop_read has work although no event is pending. */
bool
fetch_loop_has_unread (const struct fetch_loop *loop);

/** Frees closed connections and empty retired pools; call once per loop iteration. */
void
fetch_loop_clean (struct fetch_loop *loop);

struct fetch_pool *
fetch_pool_new (struct fetch_loop *loop, const char *address, int max_connections,
	const struct fetch_hooks *hooks);

/** Changes the maximum number of connections; surplus ones stay open until they are idle. */
void
fetch_pool_set_max_connections (struct fetch_pool *pool, int max_connections);

/** The number of connections that are open or being opened. */
int
fetch_pool_connections (const struct fetch_pool *pool);

/** True if the pool has a connection that is established, as far as is known. */
bool
fetch_pool_is_connected (const struct fetch_pool *pool);

/** Retires a pool: its fetches may complete, but no connection is reused. */
void
fetch_pool_retire (struct fetch_pool *pool);

/** Ends the requests that wait for a connection of the pool: nothing of them was sent. */
void
fetch_pool_end_waiting (struct fetch_pool *pool);

/** Starts a request. done is called later from the loop, never by this function. */
void
fetch_start (struct fetch *fetch, struct fetch_pool *pool, const struct fetch_request *request,
	void (*done) (struct fetch *, enum fetch_end));

/** Moves the deadline of a request to @p timeout_us from now, if that is earlier. */
void
fetch_shorten_timeout (struct fetch *fetch, int64_t timeout_us);

/** Cancels a request and closes its connection; done is not called. */
void
fetch_cancel (struct fetch *fetch);

/** Frees the reply body of a fetch that has ended. */
void
fetch_finish (struct fetch *fetch);

/** Handles an epoll event; ignores sockets that are not a connection of the loop. */
void
fetch_socket_event (struct fetch_loop *loop, int fd, uint32_t events);

/** Handles a timer of the kinds above that is due. */
void
fetch_timer_due (struct timer *timer);
