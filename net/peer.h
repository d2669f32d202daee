/**
 * @file peer.h
 * Messages between nodes: one thread with one ZeroMQ ROUTER socket.
 *
 * A node sends requests over links that it opened itself, and replies over the link on which the
 * request arrived. ZeroMQ detects failed links by heartbeats and opens them again.
 */
#pragma once

#include "control/route.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "net/mailbox.h"

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** 2: members, polls and relays of declared routes; 3: compressed documents */
	PEER_PROTOCOL_VERSION = 3,
	PEER_HEARTBEAT_INTERVAL_MS = 300,
	/** A link without heartbeats for this long is reopened. */
	PEER_HEARTBEAT_TIMEOUT_MS = 1000,
	PEER_LINK_IDLE_TIMEOUT_US = 60000000, /**< an unused link is closed after this */
	PEER_QUEUE_MAX_MESSAGES = 10000,      /**< queued for one peer, in each direction */
	/** With its prefix. A VM of 112 MB holds one twice, as it arrives and as it is decoded. */
	PEER_MESSAGE_MAX_BYTES = 32 * 1024 * 1024,
};

/** The content of a message: control/wire.h for control messages, else query/subwire.h. */
enum peer_message_class {
	PEER_CONTROL,
	PEER_BATCH,
	PEER_REPLY,
	PEER_CANCEL,
	PEER_MESSAGE_CLASS_COUNT
};

/** Handles a message on the peer thread; @p data is valid only during the call. */
typedef void (*peer_handler) (void *user, enum peer_message_class class,
	const struct peer_route *from, const void *data, size_t len);

struct peer_link {
	struct cds_list_head node;
	char address[64];
	/** Part of the routing id: that of peer.generation when it was connected. */
	unsigned generation;
	int64_t last_used_us; /**< 0: not connected yet */
};

enum { PEER_LINK_BUCKETS = 1024 };

struct peer {
	const char *own_address;
	const char *key;
	uint64_t incarnation;
	struct clock *clock;
	struct log log;
	peer_handler handler;
	void *user;
	void *context;
	void *socket;
	struct mailbox outgoing;
	pthread_t thread;
	_Atomic bool stop;
	struct cds_list_head links[PEER_LINK_BUCKETS];
	int64_t next_sweep_us;
	/**
	 * Grows with each connect of any link. ZeroMQ aborts the process when a routing id is used
	 * again before the link that had it has been removed, which takes it some time.
	 */
	unsigned generation;
};

bool
peer_start (struct peer *peer, const char *own_address, const char *key, uint64_t incarnation,
	struct clock *clock, const struct log *log, peer_handler handler, void *user,
	struct error *error);

/**
 * Sends a message from any thread; the data is copied. A message to the own address goes directly
 * to the handler, on the calling thread. A message over the limit is dropped, logged and counted:
 * the receiver would close the link, and lose what else is on its way.
 */
void
peer_send (struct peer *peer, const struct peer_route *route, enum peer_message_class class,
	const void *data, size_t len);

/**
 * Passes all posted messages to the socket, then stops the thread and closes the links. Messages
 * that cannot be sent within 500 ms, or until @p until_us, are lost.
 * @return false if the thread has not ended at @p until_us, and nothing of it may be freed.
 */
bool
peer_stop (struct peer *peer, int64_t until_us);
