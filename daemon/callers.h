/**
 * @file callers.h
 * The callers' HTTP server: a chain of filters from the parsed call to the answer.
 */
#pragma once

#include "daemon/http.h"

/** Starts the server; NULL with an error when the address cannot be had. */
struct mg_context *
callers_start (struct node *node, struct error *error);
