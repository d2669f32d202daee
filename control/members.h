/**
 * @file members.h
 * The nodes of the cluster, as replicated by the control log. No I/O.
 */
#pragma once

#include "control/resources.h"

/** A member; the newest incarnation of a name replaces older ones. */
struct member {
	char name[RESOURCE_NAME_MAX + 1];
	char data_centre[DATA_CENTRE_NAME_MAX + 1];
	char address[64];
	uint64_t incarnation;
	bool is_entry_node; /**< serves callers of declared routes */
	bool leaving;       /**< announced a planned stop; still polls but owns no targets */
};

struct members {
	struct member *items; /**< sorted by name */
	size_t count;
	size_t cap;
	uint64_t revision; /**< log index of the newest change */
};

void
members_init (struct members *members);
void
members_finish (struct members *members);

/** Adds or replaces a member; false when nothing changed. */
bool
members_put (struct members *members, const struct member *member, uint64_t index);

/** Removes the member with this name and incarnation; false when there is none. */
bool
members_remove (struct members *members, const char *name, uint64_t incarnation, uint64_t index);

const struct member *
members_find (const struct members *members, const char *name);

void
members_write (const struct members *members, struct pack_writer *writer);
bool
members_read (struct members *members, struct pack_node node);
