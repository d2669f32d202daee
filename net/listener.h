/**
 * @file listener.h
 * TCP addresses at which a process serves. Each belongs to one process: a second one cannot bind or
 * open it. An address that is bound but not open accepts nothing, so that a process can check its
 * addresses when it starts and open them when nothing else can fail.
 */
#pragma once

#include "core/error.h"

#include <stdbool.h>

enum { LISTENER_ADDRESS_SIZE = 96 };

struct listener {
	const char *setting; /**< where the address comes from; named in errors */
	char address[LISTENER_ADDRESS_SIZE];
	int fd; /**< -1: not bound, or taken over by a server */
};

/**
 * Binds an IP:port. Connections of an earlier process on the same address do not prevent it.
 * @param setting is not copied
 */
bool
listener_bind (
	struct listener *listener, const char *setting, const char *address, struct error *error);

/** Lets the kernel accept connections; fails if another process has opened the address first. */
bool
listener_open (const struct listener *listener, struct error *error);

/** Gives up the address; nothing happens if it is not bound. */
void
listener_close (struct listener *listener);

/** Sets the error of an address that cannot be bound or opened, from errno; returns false. */
bool
listener_error (const char *setting, const char *address, int code, struct error *error);

/** Whether this process could bind an address that a library binds and opens by itself. */
bool
listener_check (const char *setting, const char *address, struct error *error);
