/**
 * @file proxy.h
 * A proxy on loopback between callers and one node. It forwards bytes, half-closed connections and
 * resets in both directions, and its faults act on all of its connections.
 */
#pragma once

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

enum proxy_fault {
	PROXY_NONE,
	PROXY_DELAY,       /**< bytes are forwarded later, in both directions */
	PROXY_SILENCE,     /**< nothing is forwarded */
	PROXY_ONE_WAY_IN,  /**< only to the node */
	PROXY_ONE_WAY_OUT, /**< only to the callers */
	PROXY_FAULTS,
};

/** Who ended a connection first. */
enum proxy_closer {
	PROXY_CLOSED_UNKNOWN, /**< no such connection, or it has not ended */
	PROXY_CLOSED_BY_CALLER,
	PROXY_CLOSED_BY_NODE,
	/** The proxy reset it, or cut off bytes of a node that had closed it before. */
	PROXY_CLOSED_BY_PROXY,
};

/** A connection that has ended. */
struct proxy_end {
	int caller_port;
	enum proxy_closer closer;
	int64_t at_us;
};

struct proxy {
	int listen_fd;
	int node_port;
	_Atomic int fault;
	_Atomic int delay_ms;
	_Atomic int resets; /**< connections opened before the last one are reset */
	_Atomic bool stop;
	_Atomic int links;
	pthread_mutex_t lock; /**< protects what follows */
	int current;          /**< open connections that the last reset does not concern */
	int resetting;        /**< connections that have still to be reset */
	struct proxy_end *ends;
	size_t end_count;
};

/** Listens at @p port. Returns false if the port is not free. */
bool
proxy_start (struct proxy *proxy, int port, int node_port);
/** Resets the connections that are open. Returns their number; their threads do it later. */
int
proxy_reset (struct proxy *proxy);
/** Whether the connections of all resets have been reset. */
bool
proxy_has_reset (struct proxy *proxy);
/**
 * Who ended the connection from a port of a caller.
 * @param at_us a time at which it was open; ports are used again
 */
enum proxy_closer
proxy_closer (struct proxy *proxy, int caller_port, int64_t at_us);
/** Ends all connections and waits for their threads. */
void
proxy_stop (struct proxy *proxy);
