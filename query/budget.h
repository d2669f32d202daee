/**
 * @file budget.h
 * A budget for hedges and retries as a share of first sub-requests.
 *
 * A token bucket that primary work fills: it cannot fill without primary work, so neither a
 * retry storm nor a hedge storm can start.
 */
#pragma once

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	BUDGET_TOKENS_PER_EXTRA = 100, /**< tokens that one extra sub-request costs */
	BUDGET_DEFAULT_BURST = 10,     /**< extra sub-requests that may be saved up */
};

struct budget {
	_Atomic int64_t tokens;
	int64_t most; /**< tokens that may be saved up */
};

void
budget_init (struct budget *budget);

/** Changes how many extra sub-requests may be saved up; what is above is lost. */
void
budget_set_burst (struct budget *budget, int burst);

/** A budget that starts full with @p burst extra sub-requests and saves up no more. */
void
budget_init_burst (struct budget *budget, int burst);

/** Records one first sub-request, which earns @p percent hundredths of an extra one. */
void
budget_earn (struct budget *budget, int percent);

/** Takes one extra sub-request, leaving @p reserve of them; false when there are not so many. */
bool
budget_spend_above (struct budget *budget, int reserve);

/** Takes one extra sub-request from the budget; false when none is left. */
bool
budget_spend (struct budget *budget);
