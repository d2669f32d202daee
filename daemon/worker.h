/**
 * @file worker.h
 * A worker thread with an event loop, which does the I/O with the targets that it serves as owner.
 *
 * Each worker runs a part of the requests from the callers' server (entry.h) and serves a part of
 * the targets that this node owns (owned.h). Other threads only post mail to it and read its atomic
 * fields, so its state needs no locks.
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

enum { WORKER_BUCKETS = 1024 }; /**< of each hash table of a worker */

/** Kinds of mail to a worker. */
enum worker_mail {
	WORKER_REQUEST,       /**< struct request */
	WORKER_WORK_ITEM,     /**< struct work_item */
	WORKER_REPLY,         /**< struct reply_mail */
	WORKER_CANCEL,        /**< struct cancel_mail */
	WORKER_VIEW,          /**< struct view_mail */
	WORKER_PROPOSE_REPLY, /**< struct propose_reply_mail */
	WORKER_DUMP,          /**< struct dump_mail */
	WORKER_STOP,
};

/** Kinds of timers of a worker, in addition to those of net/fetch.h. */
enum { ENTRY_TIMER = FETCH_TIMER_KIND_END, GATE_TIMER, PROBE_TIMER };

enum request_kind { REQUEST_QUERY, REQUEST_LOOKUP, REQUEST_ONCE };

/** A caller's request. The HTTP thread owns it and waits until the worker has completed it. */
struct request {
	struct mail mail;
	enum request_kind kind;
	char name[RESOURCE_NAME_MAX + 1]; /**< collection or service */
	const char *key;                  /**< for REQUEST_LOOKUP */
	const char *body;
	size_t body_len;
	const char *idempotency_key; /**< for REQUEST_ONCE; NULL: none */
	int64_t deadline_us;         /**< set by the caller; 0: the declared one applies */
	int http_status;
	struct buf answer;
	struct error error;
	enum admission_signal load_signal; /**< what its outcome shows about the load */
	struct completion completion;
};

/** The node that sent a sub-request. */
struct origin {
	bool local;              /**< this node */
	struct peer_route route; /**< where the reply goes, when not local */
	uint64_t hash; /**< identifies the node, so that queues are shared fairly between nodes */
};

/** Text that the sub-requests of a batch share; reference-counted. */
struct blob {
	_Atomic int refs;
	size_t len;
	char data[];
};

struct owned_target;

/** A sub-request at the owner of its target. */
struct work_item {
	struct mail mail;
	struct cds_list_head node;           /**< in worker.work_items */
	struct cds_list_head discovery_node; /**< in owned_target.discoveries */
	struct gate_item item;
	struct fetch fetch;
	struct owned_target *owned;
	struct origin origin;
	uint64_t request;
	uint32_t attempt;
	enum sub_kind kind;
	char target[RESOURCE_NAME_MAX + 1];
	snapshot_t snapshot;
	uint32_t shard;
	int64_t deadline_us;
	struct blob *text;
	bool abandoned; /**< cancelled, but left to finish: closing its connection costs more */
};

/** How a sub-request ended. */
struct reply_mail {
	struct mail mail;
	struct sub_reply reply; /**< its body points to data */
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
	struct view *view; /**< holds a reference */
};

/** The result of a proposed claim or outcome. */
struct propose_reply_mail {
	struct mail mail;
	uint64_t request;
	struct propose_reply reply;
};

/** Asks a worker to append its state to a text as JSON array items. */
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
	struct cds_list_head requests[WORKER_BUCKETS];   /**< struct entry_request, by request id */
	struct cds_list_head work_items[WORKER_BUCKETS]; /**< by request id */
	struct cds_list_head owned_targets;              /**< struct owned_target */
	struct view *view;             /**< the newest one that was applied; holds a reference */
	_Atomic uint64_t reconciled;   /**< revision that owned_targets follows */
	_Atomic uint64_t released;     /**< targets lost up to this revision have no work left */
	_Atomic uint32_t leaving_work; /**< sub-requests running at leaving targets */
	_Atomic int owned_running;     /**< sub-requests running at targets */
	struct rng rng;
	bool stop;
};

bool
worker_start (struct worker *worker, struct node *node, int index, struct error *error);
/** Ends the thread; false if it has not ended at @p until_us, and nothing of it may be freed. */
bool
worker_stop (struct worker *worker, int64_t until_us);

/** The current time of the node's clock. */
int64_t
worker_now_us (const struct worker *worker);

/** Runs a caller's request on one of the workers; blocks the calling thread until it ends. */
void
worker_run_request (struct node *node, struct request *request);

/** Posts a sub-request to the worker that serves its target. */
void
worker_post_work (struct node *node, struct work_item *work);

/** Posts the end of a sub-request to the worker of its request; copies the body. */
void
worker_post_reply (struct node *node, const struct sub_reply *reply);

/** Cancels sub-requests of one request; goes to all workers, since any may have one. */
void
worker_post_cancel (struct node *node, uint64_t origin_hash, uint64_t request,
	const uint32_t *attempts, int count);

struct blob *
blob_new (const char *data, size_t len);
void
blob_ref (struct blob *blob);
void
blob_unref (struct blob *blob);
