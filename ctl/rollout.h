/**
 * @file rollout.h
 * The commands about roll-outs of a service. They speak to the nodes' addresses for operators'
 * orders, control.orders_address.
 */
#pragma once

#include "ctl/client.h"

/**
 * Starts a roll-out; a repeated order has no effect.
 * @return the HTTP status, or 0 with an error if no node confirmed it
 */
long
rollout_start (struct client *client, const char *service, const char *version, long duration_s,
	struct error *error);

/** Prints the state of a service's newest roll-out; the HTTP status as above. */
long
rollout_show (struct client *client, const char *service, struct error *error);
