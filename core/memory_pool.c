#include "core/memory_pool.h"

#include <assert.h>

static size_t
shared_part (const struct memory_account *account, size_t used)
{
	return used > account->reserve ? used - account->reserve : 0;
}

static void
set_used (struct memory_account *account, size_t used)
{
	if (account->pool) {
		account->pool->shared_used -= shared_part (account, account->used);
		account->pool->shared_used += shared_part (account, used);
	}
	account->used = used;
}

void
memory_account_join (struct memory_account *account, struct memory_pool *pool, size_t reserve)
{
	assert (account->used == 0);
	account->pool = pool;
	account->reserve = reserve;
}

bool
memory_account_fits_pool (const struct memory_account *account, size_t bytes)
{
	size_t used = account->used + bytes;
	if (!account->pool || used <= account->reserve)
		return true;
	return account->pool->shared_used - shared_part (account, account->used) +
		       shared_part (account, used) <=
	       account->pool->shared_max;
}

bool
memory_account_fits (const struct memory_account *account, size_t bytes)
{
	return account->used + bytes <= account->max && memory_account_fits_pool (account, bytes);
}

void
memory_account_add (struct memory_account *account, size_t bytes)
{
	set_used (account, account->used + bytes);
}

void
memory_account_remove (struct memory_account *account, size_t bytes)
{
	assert (bytes <= account->used);
	set_used (account, account->used - bytes);
}

bool
memory_account_is_exceeded (const struct memory_account *account)
{
	return account->used > 0 && !memory_account_fits (account, 0);
}
