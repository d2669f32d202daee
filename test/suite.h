/**
 * @file suite.h
 * Runs one CUnit suite as a program.
 */
#pragma once

#include <CUnit/Basic.h>
#include <stdlib.h>

struct suite_test {
	const char *name;
	CU_TestFunc run;
};

#define TEST(function)                                                                             \
	{                                                                                          \
#function, test_##function                                                         \
	}

/** Runs all tests and returns the exit status of the program. */
static inline int
suite_run (const char *name, const struct suite_test *tests, size_t count)
{
	CU_initialize_registry ();
	CU_pSuite suite = CU_add_suite (name, NULL, NULL);
	for (size_t i = 0; i < count; i++)
		CU_add_test (suite, tests[i].name, tests[i].run);
	CU_basic_set_mode (CU_BRM_VERBOSE);
	CU_basic_run_tests ();
	unsigned failures = CU_get_number_of_failures ();
	CU_cleanup_registry ();
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
