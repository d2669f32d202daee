/**
 * @file http.h
 * A blocking HTTP/1.1 client that tells how an exchange ended. It shares no code with the daemon.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { HTTP_HEAD_MAX_BYTES = 16384, HTTP_BODY_MAX_BYTES = 327680, HTTP_ID_SIZE = 40 };

enum http_end {
	HTTP_ANSWERED,  /**< a whole answer was read */
	HTTP_CLOSED,    /**< the connection ended before that */
	HTTP_TIMED_OUT, /**< no whole answer until the caller gave up */
};

/** The answer to a request, or how the connection ended without one. */
struct http_answer {
	enum http_end end;
	int status;
	bool close;            /**< the answer closes the connection */
	char id[HTTP_ID_SIZE]; /**< attempt id of the answer; empty if there is none */
	size_t received;       /**< bytes, also of an answer that broke off */
	size_t body_len;
	char body[HTTP_BODY_MAX_BYTES];
};

int64_t
http_now_us (void);
void
http_sleep_us (int64_t us);

/** Connects to 127.0.0.1. Returns a descriptor, or -1. */
int
http_connect (int port, int receive_buffer);

/** Returns false if the connection ended first. */
bool
http_send (int fd, const void *data, size_t len);

/** Reads one answer; at most until @p until_us. */
void
http_read (int fd, int64_t read_pause_us, int64_t until_us, struct http_answer *answer);

/** One request without caller's headers on a connection of its own. Returns the status, or -1. */
int
http_call (int port, const char *method, const char *path, const char *body,
	struct http_answer *answer);
