/**
 * @file error.h
 * Typed errors that are passed down and filled in by the callee.
 *
 * Every message names the remedy, because it is shown to callers and operators as it is.
 */
#pragma once

#include <stdbool.h>

/** What kind of failure an error is; each kind maps to one HTTP status. */
enum error_kind {
	ERROR_NONE = 0,
	ERROR_INVALID,         /**< the input is malformed; correct it */
	ERROR_CONFIG,          /**< the settings are wrong */
	ERROR_UNAUTHORISED,    /**< the shared key is missing or wrong */
	ERROR_NOT_FOUND,       /**< no resource of that name */
	ERROR_CONFLICT,        /**< the resource has another version */
	ERROR_KEY_REUSED,      /**< an idempotency key came back with another body */
	ERROR_TOO_LARGE,       /**< a bounded body or queue would overflow */
	ERROR_OVERLOADED,      /**< admission refused; nothing ran */
	ERROR_NO_LEASE,        /**< this node may not issue work now; nothing ran */
	ERROR_UNAVAILABLE,     /**< no target or leader can be reached; nothing ran */
	ERROR_TIMEOUT,         /**< the deadline passed */
	ERROR_OUTCOME_UNKNOWN, /**< a once-only request may or may not have run */
	ERROR_STOPPING,        /**< the node is stopping; nothing ran */
	ERROR_IO,              /**< a system call failed */
	ERROR_DISK_FULL,       /**< no space in the data folder */
	ERROR_DAMAGED,         /**< a file in the data folder fails its checks */
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

/** What the kind says about whether the request ran: "yes", "no" or "unknown". */
const char *
error_request_ran (enum error_kind kind);
