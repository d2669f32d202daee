/**
 * @file proxy.h
 * A proxy on loopback between callers and one node. It forwards bytes, half-closed connections and
 * resets in both directions, and its faults act on all of its connections.
 */
#pragma once

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

struct proxy {
	int listen_fd;
	int node_port;
	_Atomic int fault;
	_Atomic int delay_ms;
	_Atomic int resets; /**< each increment resets the connections that are open */
	_Atomic bool stop;
	_Atomic int links;
};

/** Listens at @p port. Returns false if the port is not free. */
bool
proxy_start (struct proxy *proxy, int port, int node_port);
/** Ends all connections and waits for their threads. */
void
proxy_stop (struct proxy *proxy);
