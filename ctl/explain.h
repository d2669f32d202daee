/**
 * @file explain.h
 * Prints the trace of one request: its lines in the log files of several nodes, between events that
 * may explain its outcome. Reads these files and writes to standard output.
 */
#pragma once

/**
 * Prints the log lines of a request in time order. Adds the state changes of the targets that
 * these lines name, and the events of the node that logged the last of them, from 5 s before the
 * request to 1 s after it.
 * @return 0, or an exit code of ctl/main.c
 */
int
explain_request (const char *id, const char *const *files, int count);
