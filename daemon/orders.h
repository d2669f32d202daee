/**
 * @file orders.h
 * The HTTP server that takes operators' orders on routes and data centres.
 */
#pragma once

#include "daemon/http.h"

/** Starts the server; NULL with an error when the address cannot be had. */
struct mg_context *
orders_start (struct node *node, struct error *error);
