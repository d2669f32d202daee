#include "query/budget.h"

int
budget_share (double slack, int nodes, int rank)
{
	int share = (int)(slack / (nodes + 1));
	if (share > 0)
		return share;
	return rank < (int)slack - 1 ? 1 : 0;
}

struct budget_limits
budget_group_limits (double slack, int nodes, int rank, int group_nodes, int group_rank)
{
	double outside = slack * BUDGET_OUTSIDE_PERCENT / 100;
	struct budget_limits limits;
	if (group_rank < 0) {
		limits.burst = limits.refill = budget_share (outside / 2, nodes, rank);
		return limits;
	}
	int share = budget_share (slack - outside, group_nodes, group_rank);
	limits.refill = share / 2;
	limits.burst = share - limits.refill;
	return limits;
}

void
budget_init (struct budget *budget)
{
	budget_init_burst (budget, BUDGET_DEFAULT_BURST);
}

void
budget_init_burst (struct budget *budget, int burst)
{
	budget->max_tokens = (int64_t)BUDGET_TOKENS_PER_EXTRA * burst;
	atomic_init (&budget->tokens, budget->max_tokens);
	budget->refill_tokens = budget->window_us = budget->refilled_us = 0;
}

void
budget_set_refill (struct budget *budget, int refill, int64_t window_us)
{
	budget->refill_tokens = (int64_t)BUDGET_TOKENS_PER_EXTRA * refill;
	budget->window_us = window_us;
}

void
budget_refill (struct budget *budget, int64_t now_us)
{
	if (budget->refill_tokens == 0 || budget->window_us <= 0)
		return;
	if (budget->refilled_us == 0)
		budget->refilled_us = now_us;
	int64_t tokens = budget->refill_tokens * (now_us - budget->refilled_us) / budget->window_us;
	if (tokens <= 0)
		return;
	/* Counts only whole tokens as added, so that frequent calls lose nothing. */
	budget->refilled_us += tokens * budget->window_us / budget->refill_tokens;
	budget_earn (budget, tokens < budget->max_tokens ? (int)tokens : (int)budget->max_tokens);
}

void
budget_empty (struct budget *budget)
{
	atomic_store (&budget->tokens, 0);
}

void
budget_set_burst (struct budget *budget, int burst)
{
	budget->max_tokens = (int64_t)BUDGET_TOKENS_PER_EXTRA * burst;
	int64_t tokens = atomic_load (&budget->tokens);
	while (tokens > budget->max_tokens &&
		!atomic_compare_exchange_weak (&budget->tokens, &tokens, budget->max_tokens))
		;
}

void
budget_earn (struct budget *budget, int percent)
{
	const int64_t max_tokens = budget->max_tokens;
	int64_t tokens = atomic_load_explicit (&budget->tokens, memory_order_relaxed);
	int64_t filled = 0;
	do {
		filled = tokens + percent > max_tokens ? max_tokens : tokens + percent;
	} while (!atomic_compare_exchange_weak_explicit (
		&budget->tokens, &tokens, filled, memory_order_relaxed, memory_order_relaxed));
}

bool
budget_has_extra (const struct budget *budget)
{
	return atomic_load_explicit (&budget->tokens, memory_order_relaxed) >=
	       BUDGET_TOKENS_PER_EXTRA;
}

bool
budget_spend (struct budget *budget)
{
	return budget_spend_above (budget, 0);
}

bool
budget_spend_above (struct budget *budget, int reserve)
{
	int64_t min_tokens = (int64_t)BUDGET_TOKENS_PER_EXTRA * (reserve + 1);
	int64_t tokens = atomic_load_explicit (&budget->tokens, memory_order_relaxed);
	do {
		if (tokens < min_tokens)
			return false;
	} while (!atomic_compare_exchange_weak_explicit (&budget->tokens, &tokens,
		tokens - BUDGET_TOKENS_PER_EXTRA, memory_order_relaxed, memory_order_relaxed));
	return true;
}
