/**
 * @file ports.h
 * The addresses of this process. They are bound first, so that a process whose address is wrong or
 * in use ends before it reads its data folder or joins the cluster, and opened last, so that a
 * process that cannot start accepts no connection.
 */
#pragma once

#include "net/listener.h"
#include "options/options.h"

/** Addresses that this process opens by itself, in the order in which it does. */
enum port { PORT_BATCHES, PORT_READINESS, PORT_ORDERS, PORT_CALLERS, PORT_COUNT };

struct ports {
	struct listener listeners[PORT_COUNT]; /**< those that the settings leave out have no fd */
};

/** Binds all addresses of the settings, and checks those that libraries bind. */
bool
ports_bind (struct ports *ports, const struct options *options, struct error *error);

/** Opens the addresses that are bound; all of them or, with an error, not all. */
bool
ports_open (const struct ports *ports, struct error *error);
