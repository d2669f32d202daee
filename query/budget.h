/**
 * @file budget.h
 * Limits hedges and retries (extra sub-requests) to a share of the first sub-requests. No I/O.
 *
 * A token bucket that first sub-requests refill, so that neither a retry storm nor a hedge storm
 * can start. Where few nodes send to a service, time refills it too, by a part of a bound per
 * window.
 */
#pragma once

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	BUDGET_TOKENS_PER_EXTRA = 100, /**< tokens that one extra sub-request costs */
	BUDGET_OUTSIDE_PERCENT = 25,   /**< of a slack, for nodes outside the group of a service */
	BUDGET_DEFAULT_BURST = 10,     /**< extra sub-requests that a full budget allows */
};

struct budget {
	_Atomic int64_t tokens;
	int64_t max_tokens;
	int64_t refill_tokens; /**< added over each window in any case; 0: none */
	int64_t window_us;
	int64_t refilled_us; /**< when tokens were last added; 0: never */
};

/**
 * One node's part of a number of extra sub-requests that all nodes share, rounded down. One part is
 * left over for a node that joins. Where there is less than one for each node, the first nodes by
 * rank get one and the others none.
 * @param rank of this node among all @p nodes
 */
int
budget_share (double slack, int nodes, int rank);

/** What one node may send in extra sub-requests to a service, beyond those that it earns. */
struct budget_limits {
	int burst;  /**< saved up at most */
	int refill; /**< that come with time in each window */
};

/**
 * One node's part of a slack that only the nodes of one group usually use. A quarter is left to the
 * other nodes, which send themselves when aggregators fail.
 * @param nodes all entry nodes
 * @param rank of this node among them
 * @param group_nodes nodes of the group
 * @param group_rank of this node among them; -1: it is not one of them
 */
struct budget_limits
budget_group_limits (double slack, int nodes, int rank, int group_nodes, int group_rank);

/** Starts full, with BUDGET_DEFAULT_BURST extra sub-requests. */
void
budget_init (struct budget *budget);

/** Changes the maximum number of extra sub-requests; tokens above it are dropped. */
void
budget_set_burst (struct budget *budget, int burst);

/**
 * Sets the extra sub-requests that time alone brings in a window. Together with the burst they are
 * the most that a node sends in a window beyond what it earns.
 */
void
budget_set_refill (struct budget *budget, int refill, int64_t window_us);

/** Adds what has come in since the last call. For budgets of one thread. */
void
budget_refill (struct budget *budget, int64_t now_us);

/** Drops all tokens. */
void
budget_empty (struct budget *budget);

/** Starts full, with @p burst extra sub-requests, which is also the maximum. */
void
budget_init_burst (struct budget *budget, int burst);

/** Records one first sub-request, which earns @p percent hundredths of an extra one. */
void
budget_earn (struct budget *budget, int percent);

/** Takes one extra sub-request; false when fewer than @p reserve would be left. */
bool
budget_spend_above (struct budget *budget, int reserve);

/** True when an extra sub-request could be sent now. */
bool
budget_has_extra (const struct budget *budget);

/** Takes one extra sub-request; false when none is left. */
bool
budget_spend (struct budget *budget);
