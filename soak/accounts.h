/**
 * @file accounts.h
 * The client accounts of the soak, their keys in each version of the routes, and what a node may
 * answer to a key. No I/O.
 *
 * Each version replaces one key of one account. An account has the key of its newest generation and
 * the one before it, so that callers have time to change.
 */
#pragma once

#include "core/buf.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	ACCOUNTS = 8,
	ACCOUNT_HOT = 0,          /**< the account that sends more than its limit */
	ACCOUNTS_HOT_CALLERS = 3, /**< one in so many callers uses it */
	ACCOUNTS_HOT_RATE = 15,   /**< requests per second */
	ACCOUNTS_HOT_BURST = 15,
	ACCOUNTS_LOWERED_RATE = 5, /**< of the hot account after its quota has been lowered */
	ACCOUNTS_LOWERED_BURST = 5,
	ACCOUNTS_VERSIONS_MAX = 1024,
	ACCOUNTS_KEY_SIZE = 48,
	ACCOUNTS_APPLY_US = 4000000,  /**< bounds.config_apply_ms */
	ACCOUNTS_WINDOW_US = 5000000, /**< bounds.quota_window_s */
};

/** Versions with the times at which they were sent or accepted. */
struct account_versions {
	pthread_mutex_t lock;
	struct {
		int64_t at_us;
		long version;
		bool accepted;
	} items[ACCOUNTS_VERSIONS_MAX];
	int count;
	long last;    /**< version that was drawn last */
	long lowered; /**< the first version with the lowered quota; 0: none */
};

/** What the answer to a request with some key may be. */
enum key_verdict {
	KEY_VALID,   /**< not 401 */
	KEY_INVALID, /**< 401, or 503 */
	KEY_EITHER,  /**< a version that changes the key may be in force or not */
};

/** The newest generation of an account's key in a version. */
long
accounts_generation (long version, int account);
void
accounts_key (char key[ACCOUNTS_KEY_SIZE], int account, long generation);
/** Appends the field of the manifest, with a leading comma; lowered is whether its quota is. */
void
accounts_write (struct buf *out, long version, bool lowered);

void
account_versions_init (struct account_versions *versions);
void
account_versions_add (
	struct account_versions *versions, int64_t at_us, long version, bool accepted);
/** Draws the next version; it and all later ones have the lowered quota if lower is set. */
long
account_versions_next (struct account_versions *versions, bool lower);
bool
account_versions_is_lowered (struct account_versions *versions, long version);
/** When a version with the lowered quota was first accepted; INT64_MAX if none was. */
int64_t
account_versions_lowered_us (struct account_versions *versions);
/** The highest version that was accepted, or sent, until a time; 0 if none was. */
long
account_versions_at (struct account_versions *versions, int64_t at_us, bool accepted);

/** What a request may be answered that was sent and ended at these times. */
enum key_verdict
accounts_verdict (struct account_versions *versions, int account, long generation, int64_t sent_us,
	int64_t end_us);

/** A request that ran. */
struct account_run {
	int64_t sent_us;
	int64_t end_us;
};

/**
 * The largest number of requests that ran completely within one window, of those sent at from_us or
 * later. Sorts the runs.
 */
int
accounts_most_in_window (struct account_run *runs, int count, int64_t from_us);
/** The largest number of requests of the hot account that may run in a window. */
int
accounts_bound (bool lowered);
