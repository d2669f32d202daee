/**
 * @file ingress.h
 * Callers' HTTP requests through libmicrohttpd, on the epoll loop of one thread.
 *
 * A request waits without a thread until it is answered. A caller that closes its connection
 * meanwhile is noticed at once, which needs the connection's own socket to be watched.
 */
#pragma once

#include "core/buf.h"
#include "core/error.h"

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ingress;
struct ingress_client;

/** A request; valid until it has been answered and gone was reported. */
struct ingress_request {
	struct ingress *ingress;
	struct ingress_client *client;
	struct MHD_Connection *connection;
	char *uri; /**< path and query as sent */
	char method[32];
	struct buf body;
	bool too_large; /**< its body */
	bool suspended;
	bool answered;
	bool caller_left; /**< the caller closed its connection */
	int status;
	struct buf head; /**< "Name: value" lines of the answer */
	char *answer;
	size_t answer_len;
	bool close; /**< close the connection after the answer */
	void *user; /**< the handler's own */
};

struct ingress_hooks {
	/** A whole request came in; answer it now or later. */
	void (*request) (struct ingress_request *request, void *user);
	/** The caller left before the answer; the request must not be answered any more. */
	void (*caller_left) (struct ingress_request *request, void *user);
	void *user;
};

/** What ingress bounds; may be changed at any time. */
struct ingress_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t idle_timeout_us; /**< for connections that open from now on */
};

struct ingress {
	struct MHD_Daemon *daemon;
	int epoll_fd; /**< the owner's loop; sockets of callers are watched there */
	struct ingress_hooks hooks;
	struct ingress_limits limits;
	int connection_count;
	int request_count;
	bool resumed;                    /**< a request waits for ingress_run */
	struct ingress_client **clients; /**< by socket */
	int client_count;
};

/** Starts to serve an IP:port. */
bool
ingress_start (struct ingress *ingress, const char *address, int epoll_fd, int max_connections,
	const struct ingress_limits *limits, const struct ingress_hooks *hooks,
	struct error *error);
void
ingress_stop (struct ingress *ingress);

/** The descriptor that is readable while ingress_run is wanted. */
int
ingress_fd (const struct ingress *ingress);

/** True when the descriptor is a caller's socket; handles the event. */
bool
ingress_socket_event (struct ingress *ingress, int fd, uint32_t events);

/** Accepts, reads, calls the hooks and writes, without blocking. */
void
ingress_run (struct ingress *ingress);

/** True when ingress_run has something to do although its descriptor is not readable. */
bool
ingress_has_work (const struct ingress *ingress);

/** Milliseconds until ingress_run is wanted anyway; -1: no limit. */
int
ingress_timeout_ms (const struct ingress *ingress);

/**
 * Answers a request.
 * @param head "Name: value" lines, each ended by a line feed
 * @param body taken over; or NULL
 */
void
ingress_answer (struct ingress_request *request, int status, const struct buf *head, char *body,
	size_t len, bool close);

/** The first value of a header; empty when it did not come. */
const char *
ingress_header (struct ingress_request *request, const char *name);

/** Calls a function for each header of a request. */
void
ingress_headers (struct ingress_request *request,
	void (*each) (void *user, const char *name, const char *value), void *user);
