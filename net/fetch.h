/**
 * @file fetch.h
 * HTTP requests to targets through libcurl, on the epoll loop of one worker thread.
 *
 * Each target has a pool of connections. When one of them goes silent the pool is replaced, so
 * that no connection of the same age is reused.
 */
#pragma once

#include "core/buf.h"
#include "core/timers.h"
#include "targets/reply.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

struct fetch_pool;

/** Kinds of the timers that fetches embed. */
enum { FETCH_TIMER = 1, FETCH_POOL_TIMER = 2, FETCH_TIMER_KINDS = 16 };

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
	struct cds_list_head node; /**< in its pool */
	struct fetch_pool *pool;
	CURL *easy;
	struct curl_slist *list;
	struct timer timer;
	struct reply_headers headers;
	struct buf body;
	size_t body_max;
	long status;
	bool held_back; /**< the gate went cold before the connection was opened */
	bool may_wait;  /**< false: never hold back (probes) */
	bool opened;    /**< a new connection was opened for it */
	bool sent;      /**< handed to a connection; from then on it may have arrived */
	bool (*on_line) (struct fetch *fetch, const char *line, size_t len);
	void (*done) (struct fetch *fetch, enum fetch_end end);
};

/** What a request says. */
struct fetch_request {
	const char *method; /**< NULL: GET, or POST with a body */
	const char *path;   /**< with its query; sent as it is */
	const char *body;   /**< NULL: GET */
	size_t body_len;
	const char *const *headers; /**< "Name: value" lines, NULL-terminated */
	int64_t connect_us;         /**< longest time to open a connection; 0: the timeout */
	int64_t timeout_us;         /**< from now on, by the loop's timers */
	/** Gets each header line instead of fetch.headers; false closes the connection. */
	bool (*on_line) (struct fetch *fetch, const char *line, size_t len);
	bool fresh; /**< always opens a connection: the library must not repeat the request */
};

/** What the pool tells its owner. */
struct fetch_hooks {
	/** An idle connection was found closed: a sign that the target restarted. */
	void (*lost) (void *user);
	/** May a new connection be used at all now? */
	bool (*may_open) (void *user);
	void *user;
};

/** A worker thread's loop as far as fetches need it. */
struct fetch_loop {
	int epoll_fd;
	struct timers *timers;
	struct cds_list_head pools;
	struct cds_list_head retired;
	struct fetch_pool **by_fd; /**< the pool of each socket */
	int fd_count;
	CURL *spare[64]; /**< easy handles for reuse */
	int spare_count;
	void (*set_timer) (struct fetch_loop *loop, struct timer *timer, int64_t delay_us);
};

struct fetch_pool {
	struct cds_list_head node; /**< in loop.pools or loop.retired */
	struct fetch_loop *loop;
	char address[64];
	CURLM *multi;
	struct timer timer; /**< libcurl's own */
	struct cds_list_head running;
	struct fetch_hooks hooks;
	int max_connections;
	int expected_closes; /**< connections about to be closed on purpose */
	bool dead;           /**< retired; destroyed once nothing runs */
};

void
fetch_loop_init (struct fetch_loop *loop, int epoll_fd, struct timers *timers,
	void (*set_timer) (struct fetch_loop *, struct timer *, int64_t));

void
fetch_loop_finish (struct fetch_loop *loop);

/** Destroys pools that were retired and are empty; call once per loop turn. */
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
