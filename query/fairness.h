/**
 * @file fairness.h
 * Fair shares of a service among client accounts: what each has had served recently, who is next,
 * and whose request is displaced when a queue is full. No I/O.
 *
 * Made for a few large accounts among many small ones, any of which may send several times its
 * usual rate. Small accounts are served before large ones have used up the service. Where that
 * would leave an account with less than half of the share that all get, it goes first instead.
 * Without accounts nothing is recorded and all ranks are equal.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** After this time, what was served or refused counts half. */
	FAIRNESS_HALF_LIFE_US = 5000000,
	/** Accounts that are tracked for one service; beyond, those seen longest ago are dropped.
	 */
	FAIRNESS_ACCOUNTS_MAX = 1024,
};

/** What happened to an account's requests recently; each value decays. */
struct fair_account {
	uint64_t id;    /**< see struct account; 0: free entry */
	double work_us; /**< expected work of what was served */
	double served;  /**< requests */
	double refused; /**< requests of which nothing was sent */
	int64_t updated_us;
};

/** The accounts that use a service; all zero at first. */
struct fairness {
	struct fair_account *items; /**< hash table by id */
	size_t size;                /**< a power of two, or 0 */
	size_t count;
	struct fair_account all; /**< of all accounts together */
};

void
fairness_finish (struct fairness *fairness);

/** Whether anything has to be recorded for an account: never without accounts. */
static inline bool
fairness_is_recorded (const struct fairness *fairness, uint64_t account)
{
	return account != 0 || fairness->count > 0;
}

/**
 * Records a sub-request that is sent.
 * @param account id; 0: none
 * @param work_us expected work at the target
 * @param is_first false for hedges and repeats, which cost work but are no further request
 */
void
fairness_note_served (struct fairness *fairness, uint64_t account, int64_t work_us, bool is_first,
	int64_t now_us);

/** Records a request of which nothing was sent. */
void
fairness_note_refused (struct fairness *fairness, uint64_t account, int64_t now_us);

/** The rank of an account: the lowest is served first. */
double
fairness_rank (const struct fairness *fairness, uint64_t account, int64_t now_us);

/** A request that waits, or that arrives at a full queue. */
struct fair_request {
	uint64_t account;
	int priority;          /**< 0 is the most urgent */
	uint64_t arrival;      /**< later ones are greater */
	bool may_be_displaced; /**< nothing of it was sent, so that it can be refused */
};

/**
 * Chooses which request leaves a full queue: one that is not more urgent than the last one; of
 * these one of the least urgent; of these one of the account with the most requests in the queue;
 * of these the newest.
 * @param requests the last one is the one that arrives, and may be chosen too
 * @return its index
 */
int
fairness_choose_displaced (const struct fair_request *requests, int count);
