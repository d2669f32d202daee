/**
 * @file ingress.h
 * An HTTP server for callers, on the epoll loop of one thread.
 *
 * No thread is blocked while a request waits for its answer, and its socket is watched, to detect
 * at once that the caller left. An idle connection holds no buffers: memory is taken for what
 * callers send and what they have not read, and each kind of it has a limit for all connections
 * together. The limits of a request are those in force when its first byte is read.
 */
#pragma once

#include "core/buf.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/memory_pool.h"
#include "core/payload.h"
#include "net/listener.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

struct ingress;
struct ingress_client;

enum {
	/** How long bytes that a caller sends behind a closing answer are discarded. */
	INGRESS_LINGER_US = 500000,
	/** Memory of the answers of one server that callers have not read yet, of all together. */
	INGRESS_ANSWER_BYTES_MAX = 24 * 1024 * 1024,
	/** Memory of the bodies of one server's requests, of all together. */
	INGRESS_BODY_BYTES_MAX = 24 * 1024 * 1024,
	/** Memory of the heads of requests, until their answers, and of bytes behind requests. */
	INGRESS_HEAD_BYTES_MAX = 12 * 1024 * 1024,
	/** After this time, an answer that has not been read has a slow reader. */
	INGRESS_SLOW_US = 500000,
};

/** A request; valid until it is answered or the hook caller_left returns. */
struct ingress_request {
	struct ingress *ingress;
	struct ingress_client *client;
	char *uri; /**< path and query as sent */
	char method[32];
	struct buf body;
	bool too_large; /**< the body exceeds the limit */
	bool no_room;   /**< the bodies of all requests together exceeded theirs */
	bool no_body;   /**< the answer is sent without its body */
	bool answered;
	bool caller_left; /**< the caller closed its connection */
	int status;
	struct buf head; /**< header lines of the answer, as "Name: value\n", until it is written */
	char *answer;
	size_t answer_len;
	size_t answer_memory;   /**< of the answer, as counted */
	int64_t began_us;       /**< when its first line was read */
	bool opened_connection; /**< it is the first one on its connection */
	int64_t answered_us;
	bool dropped; /**< its connection was ended for the memory of its answer */
	bool close;   /**< close the connection after the answer */
	void *user;   /**< for the hooks */
};

/** How far a request had come when its connection ended without a whole answer. */
enum ingress_state {
	INGRESS_UNREAD, /**< its bytes were not read from the socket */
	INGRESS_PARTIAL,
	INGRESS_HANDLED,
	INGRESS_WRITTEN, /**< its answer was not written whole */
};

/** Reports a connection that this side ended; @p request is NULL if nothing was read. */
typedef void (*ingress_unanswered) (const struct ingress_request *request, enum ingress_state state,
	int64_t age_us, void *user);

struct ingress_hooks {
	/**
	 * A request was received completely; answer it now or later. Not called when the caller has
	 * left by then, for example while the process was suspended.
	 */
	void (*request) (struct ingress_request *request, void *user);
	/** The caller left before the answer; the request must not be answered any more. */
	void (*caller_left) (struct ingress_request *request, void *user);
	void *user;
};

/** Limits, which may be changed at any time. */
struct ingress_limits {
	int64_t header_bytes; /**< of the header lines of a request; larger ones get 431 */
	int64_t body_bytes;
	int64_t idle_timeout_us;
};

struct ingress {
	struct clock *clock;
	int listen_fd; /**< -1: no connections are accepted any more */
	int events_fd; /**< epoll of the listening socket and the connections */
	bool accepting;
	int epoll_fd; /**< of the thread's event loop, which also watches the callers' sockets */
	struct ingress_hooks hooks;
	struct ingress_limits limits;
	int max_connections;
	int connection_count;
	int request_count;
	struct memory_account bodies;    /**< memory of the bodies of requests */
	struct memory_account answers;   /**< of answers that callers have not read yet */
	struct memory_account heads;     /**< of heads, and of bytes behind requests */
	unsigned malformed_count;        /**< requests refused because they cannot be read */
	const char *malformed_reason;    /**< of the last one */
	unsigned no_room_count;          /**< requests refused for the limits of heads and bodies */
	unsigned dropped_count;          /**< answers ended for the limit of answers */
	char *read_buffer;               /**< NULL: not started */
	struct cds_list_head open;       /**< struct ingress_client, the longest inactive first */
	struct cds_list_head ready;      /**< struct ingress_client with work for ingress_run */
	struct ingress_client **clients; /**< indexed by socket */
	int client_count;
	struct cds_list_head lingering; /**< closed connections whose bytes are discarded */
	ingress_unanswered unanswered;  /**< NULL: not reported */
};

/** Serves the connections of an address that is open, and takes its socket over. */
bool
ingress_start (struct ingress *ingress, struct clock *clock, struct listener *listener,
	int epoll_fd, int max_connections, const struct ingress_limits *limits,
	const struct ingress_hooks *hooks, struct error *error);
void
ingress_stop (struct ingress *ingress);

bool
ingress_is_started (const struct ingress *ingress);

/** Makes the memory of heads, bodies and answers part of a pool, with a reserve for each. */
void
ingress_join_memory (struct ingress *ingress, struct memory_pool *pool, size_t reserve);

/** Reports connections that this side ends without a whole answer although the caller waits. */
void
ingress_watch_unanswered (struct ingress *ingress, ingress_unanswered unanswered);

/**
 * Takes the connections that the kernel has accepted and closes the listening socket, so that
 * callers without a connection are turned away at once. The other functions go on working.
 */
void
ingress_stop_listening (struct ingress *ingress);

/** How many answers have not been written whole. */
int
ingress_unwritten (const struct ingress *ingress);

/**
 * Ends the sending side of all connections; to be called once the answers are written. A request
 * that has not been read, or only in part, gets an answer that says that it did not run. Only
 * ingress_discard and ingress_stop may be called after it.
 */
void
ingress_shutdown (struct ingress *ingress);

/**
 * Discards what callers send after ingress_shutdown: closing a connection with unread bytes resets
 * it, and the caller may lose an answer on its way. Returns how many have not closed theirs.
 */
int
ingress_discard (struct ingress *ingress);

/** A descriptor that is readable when ingress_run has work. */
int
ingress_fd (const struct ingress *ingress);

/** Handles an epoll event; returns false if the descriptor is not a caller's socket. */
bool
ingress_socket_event (struct ingress *ingress, int fd, uint32_t events);

/**
 * Accepts connections, reads, writes and calls the hooks, without blocking. Past
 * INGRESS_ANSWER_BYTES_MAX, it ends the connections of the largest answers, those with slow readers
 * first.
 */
void
ingress_run (struct ingress *ingress);

/** Whether ingress_run has work although its descriptor is not readable. */
bool
ingress_has_work (const struct ingress *ingress);

/** Milliseconds after which ingress_run must be called in any case; -1: no limit. */
int
ingress_timeout_ms (const struct ingress *ingress);

/** Whether the memory of all connections has room for an answer of so many bytes. */
bool
ingress_has_room (const struct ingress *ingress, size_t bytes);

/**
 * Answers a request.
 * @param head "Name: value" lines, each terminated by a line feed; NULL: none. This function takes
 * their memory over, and leaves an empty buffer.
 * @param body heap memory that this function takes over, or NULL
 */
void
ingress_answer (struct ingress_request *request, int status, struct buf *head, char *body,
	size_t len, bool close);

/**
 * Time on the network, in microseconds, from the caller's connecting or sending to its reading of
 * the answer; 0: not known. Costs a system call.
 */
int64_t
ingress_travel_us (const struct ingress_request *request);

/** Takes over the body of a request, which is empty then. The caller releases it. */
struct payload *
ingress_take_body (struct ingress_request *request);

/** The first value of a header; empty if the request lacks it. Within the hook request only. */
const char *
ingress_header (struct ingress_request *request, const char *name);

/** Calls a function for each header of a request. Within the hook request only. */
void
ingress_headers (const struct ingress_request *request,
	void (*callback) (void *user, const char *name, const char *value), void *user);
