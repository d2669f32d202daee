/**
 * @file worker.h
 * A worker thread: it runs callers' requests and reaches the targets it serves as owner.
 */
#pragma once

#include "core/timers.h"
#include "daemon/node.h"
#include "net/completion.h"
#include "net/fetch.h"
#include "net/mailbox.h"
#include "query/once.h"
#include "query/subwire.h"
#include "targets/gate.h"

#include <pthread.h>

enum { WORKER_BUCKETS = 1024 };

/** Kinds of mail to a worker. */
enum worker_mail {
	WORKER_REQUEST, /**< struct request */
	WORKER_WORK,    /**< struct work */
	WORKER_REPLY,   /**< struct reply_mail */
	WORKER_CANCEL,  /**< struct cancel_mail */
	WORKER_VIEW,    /**< struct view_mail */
	WORKER_CLAIMED, /**< struct claimed_mail */
	WORKER_DUMP,    /**< struct dump_mail */
	WORKER_STOP,
};

/** Kinds of timer beyond those of net/fetch.h. */
enum { ENTRY_TIMER = FETCH_TIMER_KIND_END, GATE_TIMER, PROBE_TIMER };

enum request_kind { REQUEST_QUERY, REQUEST_LOOKUP, REQUEST_ONCE };

/** A caller's request; the HTTP thread owns it and waits until it is done. */
struct request {
	struct mail mail;
	enum request_kind kind;
	char name[RESOURCE_NAME_MAX + 1]; /**< collection or service */
	const char *key;                  /**< REQUEST_LOOKUP */
	const char *body;
	size_t body_len;
	const char *idempotency_key; /**< REQUEST_ONCE; or NULL */
	int64_t deadline_us;         /**< asked for by the caller; 0: the declared one */
	int http_status;
	struct buf answer;
	struct error error;
	enum admission_signal sign; /**< what it said about the load */
	struct completion completion;
};

/** Where a sub-request came from. */
struct origin {
	bool local;
	struct peer_route route; /**< of the peer link, when not local */
	uint64_t hash;           /**< of the node, for fairness */
};

/** Shared text of a batch. */
struct blob {
	_Atomic int refs;
	size_t len;
	char data[];
};

struct owned;

/** A sub-request at its owner. */
struct work {
	struct mail mail;
	struct cds_list_head node;   /**< in worker.works */
	struct cds_list_head status; /**< in owned.status_waiting */
	struct gate_item item;
	struct fetch fetch;
	struct owned *owned;
	struct origin origin;
	uint64_t request;
	uint32_t attempt;
	enum sub_kind kind;
	char target[RESOURCE_NAME_MAX + 1];
	snapshot_t snapshot;
	uint32_t shard;
	int64_t deadline_us;
	struct blob *text;
	bool orphan; /**< given up, but left to end since that costs less than its connection */
};

struct reply_mail {
	struct mail mail;
	struct sub_reply reply; /**< its body points behind this struct */
	char data[];
};

struct cancel_mail {
	struct mail mail;
	uint64_t origin_hash;
	uint64_t request;
	int count;
	uint32_t attempts[];
};

struct view_mail {
	struct mail mail;
	struct view *view; /**< a reference */
};

struct claimed_mail {
	struct mail mail;
	uint64_t request;
	struct propose_reply reply;
};

/** Asks each worker in turn to append its state as JSON array items. */
struct dump_mail {
	struct mail mail;
	struct buf *out;
	struct completion completion;
};

struct worker {
	struct node *node;
	int index;
	pthread_t thread;
	int epoll_fd;
	struct mailbox mailbox;
	struct timers timers;
	struct fetch_loop fetches;
	struct cds_list_head entries[WORKER_BUCKETS]; /**< requests by id */
	struct cds_list_head works[WORKER_BUCKETS];   /**< sub-requests at this owner by request */
	struct cds_list_head owned;                   /**< targets served here */
	struct view *view;                            /**< the newest reconciled */
	_Atomic uint64_t reconciled;                  /**< revision that the owned targets follow */
	_Atomic uint64_t released;     /**< revision whose lost targets have no work left */
	_Atomic uint32_t leaving_work; /**< in flight at targets that are leaving */
	_Atomic int owned_running;     /**< sub-requests running at targets */
	struct rng rng;
	bool stop;
};

bool
worker_start (struct worker *worker, struct node *node, int index, struct error *error);
void
worker_stop (struct worker *worker);

/** Time as the worker's decisions see it. */
int64_t
worker_now_us (const struct worker *worker);

/** Runs a caller's request to its end; blocks the calling thread. */
void
worker_run_request (struct node *node, struct request *request);

/** Posts a sub-request to the worker of its target. */
void
worker_post_work (struct node *node, struct work *work);

/** Posts the end of a sub-request to the worker that runs its request; copies the body. */
void
worker_post_reply (struct node *node, const struct sub_reply *reply);

/** Posts a cancel to all workers. */
void
worker_post_cancel (struct node *node, uint64_t origin_hash, uint64_t request,
	const uint32_t *attempts, int count);

struct blob *
blob_new (const char *data, size_t len);
void
blob_ref (struct blob *blob);
void
blob_put (struct blob *blob);
