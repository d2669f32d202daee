/**
 * @file memory_pool.h
 * Memory that several kinds of data share. Each kind has an account with a reserve that no other
 * can use and a limit of its own; what they use beyond their reserves has a limit for all together.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

struct memory_pool {
	size_t shared_max; /**< bytes that all accounts together may use beyond their reserves */
	size_t shared_used;
};

struct memory_account {
	struct memory_pool *pool; /**< NULL: only @p max applies */
	size_t reserve;
	size_t max;
	size_t used;
};

/** Adds an account whose bytes are all counted as yet unused to a pool; its limit stays. */
void
memory_account_join (struct memory_account *account, struct memory_pool *pool, size_t reserve);

/** Whether @p bytes more are within the limits. */
bool
memory_account_fits (const struct memory_account *account, size_t bytes);

/** Whether @p bytes more are within the reserve or the limit of the pool, whatever @c max is. */
bool
memory_account_fits_pool (const struct memory_account *account, size_t bytes);

/** Counts bytes, also beyond the limits. */
void
memory_account_add (struct memory_account *account, size_t bytes);
void
memory_account_remove (struct memory_account *account, size_t bytes);

/** Whether this account must release bytes; one within its reserve never must. */
bool
memory_account_is_exceeded (const struct memory_account *account);
