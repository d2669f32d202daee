/**
 * @file drain.h
 * Which requests an entry node accepts during its planned stop. No I/O.
 *
 * For load on connections that callers keep open while the node stops: a caller that has not read
 * "Connection: close" yet may send a request until the process ends. No latency estimate tells
 * whether such a request ends in time, since it may have to queue or meet a slow target. Once
 * callers can reach other nodes, only requests whose own deadline lies within the stop are
 * accepted; the others are refused at once and run elsewhere.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	/** The load balancer probes once a second and acts on the second failed probe. */
	DRAIN_BALANCER_LAG_US = 2500000,
	/** Until then, a request is accepted if this many usual latencies remain. */
	DRAIN_LATENCY_FACTOR = 4,
	/** Time to end requests once no more are accepted. */
	DRAIN_END_MS = 500,
	/** Time to write the last answers to callers. */
	DRAIN_FLUSH_US = 150000,
	/** Time for callers to read them and to close their connections. */
	DRAIN_LINGER_US = 50000,
};

struct drain {
	int64_t began_us; /**< 0: no planned stop has begun */
	int64_t stop_us;  /**< no request is accepted from then on */
	bool refusing;    /**< the node had no more connections and is about to end */
};

/** True once the load balancer uses other nodes, so that callers should reconnect. */
bool
drain_closes_connections (const struct drain *drain, int64_t now_us);

/**
 * Whether a request is accepted.
 * @param usual_us the usual latency of its route
 * @param deadline_us when the request ends at the latest
 */
bool
drain_accepts (const struct drain *drain, int64_t usual_us, int64_t deadline_us, int64_t now_us);

/** How long a refused caller should wait until it reaches another node. */
int64_t
drain_retry_after_us (const struct drain *drain, int64_t now_us);
