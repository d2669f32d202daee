/**
 * @file drain.h
 * When each step of a planned stop is due, and which requests an entry node accepts during it.
 * No I/O.
 *
 * For load on connections that callers keep open while the node stops: a caller that has not read
 * "Connection: close" yet may send a request until the process ends. No latency estimate tells
 * whether such a request ends in time, since it may have to queue or meet a slow target. Once
 * callers can reach other nodes, only requests whose own deadline lies within the stop are
 * accepted; the others are refused at once and run elsewhere.
 *
 * For loads that delay a step: large routings, a busy processor, a thread that does not answer. The
 * platform kills the process some time after SIGTERM, so one deadline bounds the whole stop. The
 * steps are counted back from it; a late step takes time from those after it, never from callers.
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
	DRAIN_END_US = 500000,
	/** Time to write the last answers to callers. */
	DRAIN_FLUSH_US = 150000,
	/** Time for callers to read them and to close their connections. */
	DRAIN_LINGER_US = 50000,
	/** Time to announce the exit to the other nodes and to end the threads. */
	DRAIN_EXIT_US = 100000,
	/** Of that, time for the system to end the process. */
	DRAIN_TEARDOWN_US = 80000,
	/** The times above apply to a stop of this duration; a shorter one has a share of them. */
	DRAIN_FULL_STOP_US = 5000000,
};

/** Steps of the planned stop of a node that serves requests. */
enum stop_phase {
	STOP_NONE,     /**< none has begun */
	STOP_SERVING,  /**< requests are served or refused as drain_accepts says */
	STOP_REFUSING, /**< no request is accepted, and changes have no effect any more */
	STOP_ENDING,   /**< what still runs gets its last answer */
};

/** When the steps are due. */
struct stop_plan {
	int64_t began_us;  /**< 0: no planned stop has begun */
	int64_t refuse_us; /**< requests of which nothing was sent are refused */
	int64_t answer_us; /**< requests that still run get their last answer */
	int64_t flush_us;  /**< how long answers may then be written */
	int64_t linger_us; /**< and how long callers may then read them */
	int64_t exit_us;   /**< threads that have not ended are left to the exit */
	int64_t end_us;    /**< the process has ended */
	int64_t late_us;   /**< callers' connections that were late have ended */
	int64_t write_us;  /**< answers that callers still read may be written until then */
};

/** Plans a stop that has ended @p stop_us after it began. */
struct stop_plan
stop_plan_make (int64_t began_us, int64_t stop_us);

enum stop_phase
stop_plan_phase (const struct stop_plan *plan, int64_t now_us);

/** When the next phase begins; INT64_MAX: there is none. */
int64_t
stop_plan_next_us (const struct stop_plan *plan, int64_t now_us);

struct drain {
	int64_t began_us; /**< 0: no planned stop has begun */
	int64_t stop_us;  /**< requests have ended by then */
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
