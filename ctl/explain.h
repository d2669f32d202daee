/**
 * @file explain.h
 * The story of one request, told from the logs of several processes.
 */
#pragma once

/**
 * Prints all that the logs say of a request in time order, with what happened to the targets it
 * names and to the nodes that wrote of it shortly before.
 * @return the exit code: 0, or one of those in ctl/main.c
 */
int
explain_request (const char *id, const char *const *files, int count);
