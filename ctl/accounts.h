/**
 * @file accounts.h
 * Prints the requests and refusals of client accounts, as one entry node has counted them.
 */
#pragma once

#include <jansson.h>
#include <stdbool.h>

/**
 * Prints the accounts in a node's dump on standard output.
 * @param json print JSON instead of a table
 * @return false if the node serves no declared routes
 */
bool
accounts_print (const json_t *dump, bool json);
