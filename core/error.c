#include "core/error.h"

#include <stdarg.h>
#include <stdio.h>

struct kind_info {
	const char *name;
	int http_status;
	const char *request_ran;
};

static const struct kind_info kinds[ERROR_KIND_COUNT] = {
	[ERROR_NONE] = {"none", 200, "yes"},
	[ERROR_INVALID] = {"invalid", 400, "no"},
	[ERROR_CONFIG] = {"config", 500, "no"},
	[ERROR_UNAUTHORISED] = {"unauthorised", 401, "no"},
	[ERROR_NOT_FOUND] = {"not_found", 404, "no"},
	[ERROR_CONFLICT] = {"conflict", 409, "no"},
	[ERROR_KEY_REUSED] = {"key_reused", 422, "no"},
	[ERROR_TOO_LARGE] = {"too_large", 413, "no"},
	[ERROR_OVERLOADED] = {"overloaded", 503, "no"},
	[ERROR_NO_LEASE] = {"no_lease", 503, "no"},
	[ERROR_UNAVAILABLE] = {"unavailable", 503, "no"},
	[ERROR_TIMEOUT] = {"timeout", 504, "unknown"},
	[ERROR_OUTCOME_UNKNOWN] = {"outcome_unknown", 504, "unknown"},
	[ERROR_STOPPING] = {"stopping", 503, "no"},
	[ERROR_IO] = {"io", 500, "unknown"},
	[ERROR_DISK_FULL] = {"disk_full", 500, "no"},
	[ERROR_DAMAGED] = {"damaged", 500, "no"},
};

bool
error_set (struct error *error, enum error_kind kind, const char *format, ...)
{
	if (!error)
		return false;
	error->kind = kind;
	va_list args;
	va_start (args, format);
	vsnprintf (error->message, sizeof (error->message), format, args);
	va_end (args);
	return false;
}

const char *
error_kind_name (enum error_kind kind)
{
	return kind < ERROR_KIND_COUNT ? kinds[kind].name : "invalid";
}

int
error_http_status (enum error_kind kind)
{
	return kind < ERROR_KIND_COUNT ? kinds[kind].http_status : 500;
}

const char *
error_request_ran (enum error_kind kind)
{
	return kind < ERROR_KIND_COUNT ? kinds[kind].request_ran : "unknown";
}
