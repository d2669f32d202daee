/**
 * @file orders.h
 * The HTTP server for operators' orders: to declare or read the routing, and to take data centres
 * out of service and back.
 */
#pragma once

#include "daemon/http.h"

/** Starts the server; returns NULL with an error if the address cannot be bound. */
struct mg_context *
orders_start (struct node *node, struct error *error);
