/**
 * @file check.h
 * Checks a manifest from a file without a node, and compares it with another. Reads these files and
 * writes to standard output.
 */
#pragma once

#include <stdbool.h>

/** Exit codes of the check besides 0 for a manifest without findings. */
enum {
	CHECK_EXIT_UNREADABLE = 2, /**< a file cannot be read, or --against is no manifest */
	CHECK_EXIT_REFUSED = 6,    /**< the server would refuse the manifest */
	CHECK_EXIT_WARNINGS = 7,   /**< it would accept it; there are warnings */
};

/**
 * Prints the findings in a manifest, and the differences from another one.
 * @param against the file of the version in force, or NULL
 * @return 0 or one of the exit codes above
 */
int
check_file (const char *path, const char *against, bool as_json);
