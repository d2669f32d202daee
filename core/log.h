/**
 * @file log.h
 * Numbered, structured log events, one line each, through a context with a module prefix.
 */
#pragma once

enum log_level { LOG_ERROR, LOG_WARNING, LOG_INFO, LOG_DEBUG };

/** All events; the catalogue is core/events.def and docs/events.md. */
enum log_event {
#define EVENT(number, name, level, meaning) EVENT_##name = (number),
#include "core/events.def"
#undef EVENT
};

/** Where a subsystem logs to. */
struct log {
	const char *module;   /**< prefix of each line */
	enum log_level level; /**< events above this level are dropped */
};

/** Lines of one event a second; beyond that they are counted instead of written. */
enum { LOG_LINES_PER_S = 40 };

/**
 * Sets where lines go; standard output until then. A reader that stops never makes a thread wait:
 * lines that the descriptor does not take are counted as lost.
 */
void
log_set_output (int fd);

/** Writes one line to the output: time, level, number, name, module, detail. */
void
log_event (const struct log *log, enum log_event event, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

/** Parses "error", "warning", "info" or "debug"; returns -1 for anything else. */
int
log_level_parse (const char *name);

/** Prints the catalogue of events as the table of docs/events.md. */
void
log_print_catalogue (void);
