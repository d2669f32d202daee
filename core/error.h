/**
 * @file error.h
 * Typed errors. The caller passes a struct error, which the callee fills in on failure.
 *
 * Callers and operators see messages verbatim, so each message says how to fix the problem.
 */
#pragma once

#include <stdbool.h>

/** Kinds of errors; each maps to one HTTP status. */
enum error_kind {
	ERROR_NONE = 0,
	ERROR_INVALID,         /**< the input is malformed; correct it */
	ERROR_CONFIG,          /**< the settings are wrong */
	ERROR_UNAUTHORISED,    /**< the shared key is missing or wrong */
	ERROR_NOT_FOUND,       /**< no resource of that name */
	ERROR_CONFLICT,        /**< the resource has another version */
	ERROR_KEY_REUSED,      /**< an idempotency key was used again with another body */
	ERROR_TOO_LARGE,       /**< a body or queue would exceed its limit */
	ERROR_OVERLOADED,      /**< refused by admission control; nothing ran */
	ERROR_NO_LEASE,        /**< this node has no lease to issue work; nothing ran */
	ERROR_UNAVAILABLE,     /**< no target or leader can be reached; nothing ran */
	ERROR_TIMEOUT,         /**< the deadline passed */
	ERROR_OUTCOME_UNKNOWN, /**< an at-most-once request may or may not have run */
	ERROR_STOPPING,        /**< the node is stopping; nothing ran */
	ERROR_IO,              /**< a system call failed */
	ERROR_DISK_FULL,       /**< no space left for the data folder */
	ERROR_DAMAGED,         /**< a file in the data folder is corrupt */
	ERROR_KIND_COUNT,
};

enum { ERROR_MESSAGE_SIZE = 320 };

/** An error; zero-initialised means no error. */
struct error {
	enum error_kind kind;
	char message[ERROR_MESSAGE_SIZE];
};

/** Sets @p error (which may be NULL) and returns false, so that callers can return it. */
bool
error_set (struct error *error, enum error_kind kind, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

/** The stable name of a kind as it appears in JSON. */
const char *
error_kind_name (enum error_kind kind);

/** The HTTP status that reports a kind. */
int
error_http_status (enum error_kind kind);

/** Whether a request with this kind of error ran: "yes", "no" or "unknown". */
const char *
error_request_ran (enum error_kind kind);
