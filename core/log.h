/**
 * @file log.h
 * Structured logging: numbered events, written as one JSON line each with the name of the module.
 *
 * Writes never block, and each event has a rate limit, so neither a reader that stopped nor a
 * repeated event delays the daemon. Lines that are not written are counted.
 */
#pragma once

enum log_level { LOG_ERROR, LOG_WARNING, LOG_INFO, LOG_DEBUG };

/** All events, from core/events.def; docs/events.md lists them for operators. */
enum log_event {
#define EVENT(number, name, level, meaning) EVENT_##name = (number),
#include "core/events.def"
#undef EVENT
};

/** The logging context of a module. */
struct log {
	const char *module;   /**< name of the module in each line */
	enum log_level level; /**< less severe events are dropped */
};

/** Maximum lines of one event per second; further lines are counted instead of written. */
enum { LOG_LINES_PER_S = 40 };

/**
 * Sets the output descriptor, standard output by default, and makes it non-blocking, so that a
 * reader that stopped cannot block a thread. Lines that cannot be written are counted as lost.
 */
void
log_set_output (int fd);

/** Writes one line with time, level, event number, name, module and detail. */
void
log_event (const struct log *log, enum log_event event, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

/** Parses "error", "warning", "info" or "debug"; returns -1 for any other name. */
int
log_level_parse (const char *name);

/** Prints the table of events that docs/events.md contains. */
void
log_print_catalogue (void);
