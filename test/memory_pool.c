/**
 * @file memory_pool.c
 * Unit tests of memory pools, shared payloads and the heap.
 */
#include "core/memory_pool.h"
#include "core/heap.h"
#include "core/payload.h"
#include "test/suite.h"

#include <malloc.h>

/* Guards against a kind of data that takes the room of all others. */
static void
test_reserve_is_left_by_others (void)
{
	struct memory_pool pool = {.shared_max = 100};
	struct memory_account first = {.max = 200};
	struct memory_account second = {.max = 60};
	memory_account_join (&first, &pool, 10);
	memory_account_join (&second, &pool, 20);
	CU_ASSERT_TRUE (memory_account_fits (&first, 110));
	CU_ASSERT_FALSE (memory_account_fits (&first, 111));
	memory_account_add (&first, 110);
	CU_ASSERT_TRUE (memory_account_fits (&second, 20));
	CU_ASSERT_FALSE (memory_account_fits (&second, 21));
	memory_account_remove (&first, 50);
	CU_ASSERT_TRUE (memory_account_fits (&second, 60));
	CU_ASSERT_FALSE (memory_account_fits (&second, 61));
}

/* Guards against limits that hold one by one while their sum exceeds the memory of the machine. */
static void
test_all_accounts_together_have_a_limit (void)
{
	enum { ACCOUNTS = 5, RESERVE = 4, MAX = 50, SHARED = 60 };
	struct memory_pool pool = {.shared_max = SHARED};
	struct memory_account accounts[ACCOUNTS] = {{0}};
	size_t total = 0;
	for (int i = 0; i < ACCOUNTS; i++) {
		accounts[i].max = MAX;
		memory_account_join (&accounts[i], &pool, RESERVE);
	}
	for (int i = 0; i < ACCOUNTS; i++) {
		while (memory_account_fits (&accounts[i], 1))
			memory_account_add (&accounts[i], 1);
		total += accounts[i].used;
	}
	CU_ASSERT_EQUAL (total, SHARED + ACCOUNTS * RESERVE);
}

static void
test_account_within_its_reserve_releases_nothing (void)
{
	struct memory_pool pool = {.shared_max = 10};
	struct memory_account first = {.max = 100};
	struct memory_account second = {.max = 100};
	memory_account_join (&first, &pool, 10);
	memory_account_join (&second, &pool, 10);
	memory_account_add (&first, 30);
	memory_account_add (&second, 10);
	CU_ASSERT_TRUE (memory_account_is_exceeded (&first));
	CU_ASSERT_FALSE (memory_account_is_exceeded (&second));
	memory_account_remove (&first, 10);
	CU_ASSERT_FALSE (memory_account_is_exceeded (&first));
	CU_ASSERT_EQUAL (pool.shared_used, 10);
}

static void
test_limit_of_the_pool_holds_beyond_that_of_an_account (void)
{
	struct memory_pool pool = {.shared_max = 100};
	struct memory_account account = {.max = 50};
	memory_account_join (&account, &pool, 10);
	memory_account_add (&account, 50);
	CU_ASSERT_FALSE (memory_account_fits (&account, 1));
	CU_ASSERT_TRUE (memory_account_fits_pool (&account, 60));
	CU_ASSERT_FALSE (memory_account_fits_pool (&account, 61));
}

static void
test_account_without_a_pool_has_its_own_limit (void)
{
	struct memory_account account = {.max = 10};
	CU_ASSERT_TRUE (memory_account_fits (&account, 10));
	memory_account_add (&account, 11);
	CU_ASSERT_TRUE (memory_account_is_exceeded (&account));
}

/* Guards against memory of a body that stays counted, or is freed while it is still being sent. */
static void
test_last_reference_releases_a_payload (void)
{
	struct memory_account account = {.max = 1000};
	struct buf bytes;
	buf_init (&bytes);
	buf_add (&bytes, "body", 4);
	memory_account_add (&account, bytes.cap);
	struct payload *payload = payload_new (&bytes, &account);
	CU_ASSERT_PTR_NULL (bytes.data);
	payload_ref (payload);
	payload_unref (payload);
	CU_ASSERT_STRING_EQUAL (payload->bytes.data, "body");
	CU_ASSERT_EQUAL (account.used, payload->bytes.cap);
	payload_unref (payload);
	CU_ASSERT_EQUAL (account.used, 0);
	payload_unref (NULL);
}

/* Guards against bodies that were freed, but whose memory the heap keeps between small objects. */
static void
test_freed_bodies_leave_the_heap (void)
{
	enum { BODIES = 500, BODY_BYTES = 131072, LARGEST_BYTES = 16777216, OBJECT_BYTES = 200 };
	struct buf bodies[BODIES];
	char *objects[BODIES];
	free (xmalloc (LARGEST_BYTES));
	for (int i = 0; i < BODIES; i++) {
		buf_init (&bodies[i]);
		while (bodies[i].len < BODY_BYTES / 2)
			buf_add (&bodies[i], "0123456789abcdef", 16);
		objects[i] = xmalloc (OBJECT_BYTES);
	}
	for (int i = 0; i < BODIES; i++)
		buf_finish (&bodies[i]);
	CU_ASSERT_TRUE (mallinfo2 ().fordblks < BODIES * BODY_BYTES / 10);
	for (int i = 0; i < BODIES; i++)
		free (objects[i]);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (reserve_is_left_by_others),
		TEST (all_accounts_together_have_a_limit),
		TEST (account_within_its_reserve_releases_nothing),
		TEST (limit_of_the_pool_holds_beyond_that_of_an_account),
		TEST (account_without_a_pool_has_its_own_limit),
		TEST (last_reference_releases_a_payload),
		TEST (freed_bodies_leave_the_heap),
	};
	heap_init ();
	return suite_run ("memory pool", tests, sizeof (tests) / sizeof (tests[0]));
}
