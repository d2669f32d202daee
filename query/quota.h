/**
 * @file quota.h
 * Limits how many requests of an account run, over all entry nodes together. No I/O.
 *
 * Made for accounts that send about one request a second each, over dozens of entry nodes whose
 * callers move: a fixed share for each node would refuse most of them. Each account has a holder,
 * the entry node that grants its tokens, and a substitute, which is asked when the holder does not
 * answer. Both follow from the membership by rendezvous hashing; there are no messages about them.
 *
 * The holder grants from a token bucket while its ownership is active (control/shares.h). A new
 * holder's bucket starts empty and fills from then on, so that the holders of any window together
 * grant no more than one bucket. Everything else comes from reserves, which the slack of the bound
 * covers; see quota_may_use_reserve() in quota.c for who has one.
 */
#pragma once

#include "control/shares.h"
#include "core/name_table.h"
#include "query/accounts.h"
#include "query/aggregators.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

enum {
	/** Time for an answer; several times the delay between data centres. */
	QUOTA_ANSWER_TIMEOUT_US = 25000,
	/** How long a node that did not answer is asked only as a last resort. */
	QUOTA_SILENT_US = 500000,
	/** After this time without a message of another node, this node may be cut off. */
	QUOTA_CONTACT_US = 5000000,
	QUOTA_RETURN_DELAY_US = 100000, /**< unused tokens are returned within this time */
	/** How long a node that is no longer a member is remembered after that has settled. */
	QUOTA_DEPARTED_US = 60000000,
	/** Nodes that use a reserve of one account in one window at most. */
	QUOTA_RESERVES = 4,
	QUOTA_RESERVE_MAX = 1024, /**< tokens of a reserve, for its memory */
	/** After which a node asks again if none could grant a token: one may become active. */
	QUOTA_ASK_AGAIN_US = 100000,
	/** Retry-After of such a request. With 100 ms, callers used up their attempts too early. */
	QUOTA_RETRY_US = 300000,
	QUOTA_RETURNS_MAX = 1000, /**< tokens returned in one message */
	QUOTA_OWN_CALLER = 0,     /**< in place of the epoch of an asking node */
};

/** The parameters of the bound; see docs/requirements.md, part 2. */
struct quota_bound {
	int64_t window_us;
	double excess;
	double slack;
	int64_t lease_us; /**< duration of leases: how old the view of a node with one can be */
};

/** This node's lease and what has settled, at one time. */
struct quota_standing {
	int64_t now_us;
	int64_t lease_until_us;
	uint64_t lease_generation;
	uint64_t settled; /**< epoch */
};

/** How a node answers a question for a token. */
enum quota_verdict {
	QUOTA_GRANTED,
	QUOTA_GRANTED_RESERVE,
	QUOTA_REFUSED,         /**< by the active holder: the account is over its limit */
	QUOTA_REFUSED_RESERVE, /**< the reserve is used up; another node may have one */
	QUOTA_UNABLE,          /**< neither a holder nor a reserve */
	QUOTA_VERDICT_COUNT
};

struct quota_answer {
	enum quota_verdict verdict;
	int64_t retry_us; /**< of a refusal: when a token will be available, from now */
	uint64_t epoch;   /**< of the answering node's view */
};

/** An entry node that may hold accounts. */
struct quota_node {
	struct cds_list_head node;
	struct entry_node entry;
	bool eligible; /**< a member that is not leaving, in the newest view */
	int in_flight; /**< questions of the I/O layer, during which the node is kept */
	int64_t silent_until_us;
	void *pool; /**< connections of the I/O layer to it */
};

/** A node that was eligible recently. */
struct quota_departed {
	uint64_t hash;
	int64_t left_us;
	int64_t settled_us; /**< INT64_MAX: it may still act as a holder */
};

/** Tokens that are to be returned to the node that granted them. */
struct quota_returns {
	int count;
	int64_t asked_us; /**< when the first one of them was asked for */
};

/** What this node knows about an account; kept from one routing version to the next by name. */
struct quota_entry {
	struct cds_list_head node;         /**< in quota.entries */
	struct cds_list_head returns_node; /**< in quota.returning while returns.count > 0 */
	char *name;
	uint64_t hash;
	int account; /**< index in quota.accounts; -1: no longer declared */
	int pins;    /**< requests that hold a pointer to this entry */
	int64_t used_us;
	/* What follows from the membership, as of quota.generation. */
	uint64_t generation;
	struct quota_node *holder;     /**< NULL: none */
	struct quota_node *substitute; /**< NULL: none */
	uint64_t own_place;            /**< of this node in the order */
	int better;                    /**< eligible nodes before this one in the order */
	bool is_first;                 /**< also before nodes whose departure has not settled */
	/* The bucket, while this node is the holder. */
	int64_t since_us; /**< the bucket began to fill then; 0: not used yet */
	int64_t filled_us;
	int64_t full_us; /**< when it was last full */
	double tokens;
	uint64_t confirmed_epoch; /**< of the newest view in which a node asked this one */
	/* Times at which tokens were granted from the reserve within the last window. */
	int64_t *reserve;
	int reserve_count;
	int reserve_cap;
	/* As an asking node. */
	struct quota_answer refusal; /**< the last one, which holds until refused_until_us */
	int64_t refused_us;
	int64_t refused_until_us;
	unsigned unreported; /**< refusals here since the last question */
	struct quota_returns returns;
	/* Counters. */
	uint64_t granted;         /**< here, from the bucket */
	uint64_t granted_reserve; /**< here, from the reserve */
	uint64_t refused;         /**< here or as reported by other nodes */
	uint64_t own_requests;    /**< of callers of this node */
	uint64_t own_refused;
	int64_t logged_us;
	unsigned unlogged;
};

struct quota {
	struct quota_bound bound;
	uint64_t own_hash;
	const struct accounts *accounts; /**< of the routing in force; not owned */
	bool has_limits;                 /**< an account has a limit */
	struct name_table names;         /**< indices in accounts */
	struct quota_entry **by_account;
	struct cds_list_head entries;
	struct cds_list_head returning;
	struct cds_list_head nodes; /**< struct quota_node */
	struct shares eligible;     /**< nodes that may act as holders, and this node's right */
	uint64_t generation;        /**< of everything that choices depend on */
	int64_t usable_since_us;    /**< 0: this node is not an active holder of anything */
	uint64_t usable_lease;      /**< its lease generation and epoch at that time */
	uint64_t usable_epoch;
	/** quota_begin() was called, then, with this lease generation and at this epoch. */
	bool is_first_use;
	int64_t begun_us;
	uint64_t begun_lease;
	uint64_t begun_epoch;
	int64_t joined_us;     /**< this process has been eligible since then; 0: it is not */
	int64_t contact_us;    /**< last message of a node whose view is not older; 0: none */
	uint64_t newest_epoch; /**< of the views of other nodes, as far as is known */
	int64_t forgotten_us;  /**< latest settled_us of a departed node that was forgotten */
	struct quota_departed *departed;
	int departed_count;
	int departed_cap;
};

/** A request that needs a token. */
struct quota_ask {
	struct quota_entry *entry; /**< pinned until quota_ask_finish */
	bool tried_holder;
	bool tried_substitute;
	bool local;       /**< granted by this node */
	bool from_memory; /**< refused by what an earlier answer stated */
	int64_t asked_us;
	int64_t retry_us; /**< of the reserves that were used up; 0: none */
	struct quota_answer answer;
};

enum quota_step {
	QUOTA_STEP_DECIDED, /**< ask.answer holds the decision */
	QUOTA_STEP_ASK      /**< ask the node that was returned */
};

void
quota_init (struct quota *quota, uint64_t own_hash, const struct quota_bound *bound);

/** Frees everything but the pools of the nodes; no request may hold an entry. */
void
quota_finish (struct quota *quota);

/** Applies the accounts of a routing, which must stay valid until the next call. */
void
quota_set_accounts (struct quota *quota, const struct accounts *accounts, int64_t now_us);

/**
 * Applies a newer membership.
 * @param is_member this process is in the list, not an earlier process with its name
 */
void
quota_update_nodes (struct quota *quota, const struct entry_node *entries, size_t count,
	bool is_member, uint64_t epoch, const struct quota_standing *standing);

/**
 * Notes that the first routing of this log was accepted while this process was a member with a
 * lease. No account has a holder or has used a token before, so that this node need not wait until
 * its ownership has settled, which after the first start of a tier takes longer than a lease.
 * Buckets start full then. Call it after the membership of that state was applied.
 */
void
quota_begin (struct quota *quota, const struct quota_standing *standing);

/** Removes a node that is no longer a member and has no question in flight; NULL: none. */
struct quota_node *
quota_remove_unused (struct quota *quota);

/** Notes changes of lease and settled epoch; call whenever they may have changed. */
void
quota_refresh (struct quota *quota, const struct quota_standing *standing);

/** Index of an account by name; -1 when it is not declared. */
int
quota_find_account (const struct quota *quota, const char *name);

/** True when requests of an account need a token; @p account may be -1. */
bool
quota_is_limited (const struct quota *quota, int account);

/** The entry of an account. */
struct quota_entry *
quota_get_entry (struct quota *quota, int account, int64_t now_us);

/** The holder of an account in this node's view; NULL: none. */
struct quota_node *
quota_holder (struct quota *quota, struct quota_entry *entry);

/**
 * Grants a token, or refuses one, as a node that was asked for it.
 * @param asker_epoch of the asking node's view, or QUOTA_OWN_CALLER
 */
struct quota_answer
quota_grant (struct quota *quota, struct quota_entry *entry, const struct quota_standing *standing,
	uint64_t asker_epoch);

/** Takes back tokens that this node granted, the first of them @p age_us ago or later. */
void
quota_take_back (struct quota *quota, struct quota_entry *entry, int count, int64_t age_us,
	const struct quota_standing *standing);

/** Records a valid message of another node, with the epoch of its view. */
void
quota_heard (struct quota *quota, uint64_t epoch, int64_t now_us);

/** Epoch of this node's view. */
uint64_t
quota_epoch (const struct quota *quota);

void
quota_ask_init (struct quota_ask *ask, struct quota_entry *entry, int64_t now_us);
void
quota_ask_finish (struct quota_ask *ask);

/** The next step of a request for a token; @p node is set for QUOTA_STEP_ASK. */
enum quota_step
quota_ask_next (struct quota *quota, struct quota_ask *ask, const struct quota_standing *standing,
	struct quota_node **node);

/** Applies the answer of the node that was asked; NULL when it did not answer. */
enum quota_step
quota_ask_answered (struct quota *quota, struct quota_ask *ask, struct quota_node **node,
	const struct quota_answer *answer, const struct quota_standing *standing);

/** Notes that a granted token was not used; one that this node granted is taken back at once. */
void
quota_ask_return (
	struct quota *quota, struct quota_ask *ask, const struct quota_standing *standing);

/** Takes the tokens to be returned to an account's holder; count 0: none. */
struct quota_returns
quota_take_returns (struct quota_entry *entry);

/** Tokens in the bucket of an account that this node holds; -1 when it is not the active holder. */
double
quota_tokens (
	struct quota *quota, struct quota_entry *entry, const struct quota_standing *standing);

/** Size of the reserve of an account, in tokens in any window. */
int
quota_reserve_size (const struct quota_bound *bound, const struct account *account);

/** The bound on the requests of an account that run in any window, over all nodes. */
double
quota_window_max (const struct quota_bound *bound, const struct account *account);
