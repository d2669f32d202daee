/**
 * @file explain.h
 * Prints the trace of one request: its lines in the log files of several nodes, together with
 * events that may explain its outcome. Reads these files and writes to standard output.
 */
#pragma once

/**
 * Prints the log lines of a request in time order, with the events of the node that logged the last
 * of them, from 5 s before the request to 1 s after it. State and silence of a target are included
 * only if the lines name the target; its last state before the request is printed at any age.
 * @return 0, or an exit code of ctl/main.c
 */
int
explain_request (const char *id, const char *const *files, int count);
