#include "control/members.h"

#include <stdlib.h>
#include <string.h>

void
members_init (struct members *members)
{
	memset (members, 0, sizeof (*members));
}

void
members_finish (struct members *members)
{
	free (members->items);
	members_init (members);
}

static size_t
lower_bound (const struct members *members, const char *name)
{
	size_t low = 0;
	size_t high = members->count;
	while (low < high) {
		size_t mid = (low + high) / 2;
		if (strcmp (members->items[mid].name, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

const struct member *
members_find (const struct members *members, const char *name)
{
	size_t at = lower_bound (members, name);
	if (at < members->count && strcmp (members->items[at].name, name) == 0)
		return &members->items[at];
	return NULL;
}

static bool
is_same (const struct member *a, const struct member *b)
{
	return a->incarnation == b->incarnation && a->leaving == b->leaving &&
	       a->is_entry_node == b->is_entry_node && strcmp (a->address, b->address) == 0 &&
	       strcmp (a->data_centre, b->data_centre) == 0;
}

bool
members_put (struct members *members, const struct member *member, uint64_t index)
{
	size_t at = lower_bound (members, member->name);
	bool found = at < members->count && strcmp (members->items[at].name, member->name) == 0;
	if (found && is_same (&members->items[at], member))
		return false;
	if (!found) {
		if (members->count == members->cap) {
			members->cap = members->cap ? members->cap * 2 : 16;
			members->items =
				xrealloc (members->items, members->cap * sizeof (*members->items));
		}
		memmove (&members->items[at + 1], &members->items[at],
			(members->count - at) * sizeof (*members->items));
		members->count++;
	}
	members->items[at] = *member;
	members->revision = index;
	return true;
}

bool
members_remove (struct members *members, const char *name, uint64_t incarnation, uint64_t index)
{
	size_t at = lower_bound (members, name);
	if (at >= members->count || strcmp (members->items[at].name, name) != 0 ||
		members->items[at].incarnation != incarnation)
		return false;
	members->count--;
	memmove (&members->items[at], &members->items[at + 1],
		(members->count - at) * sizeof (*members->items));
	members->revision = index;
	return true;
}

void
members_write (const struct members *members, struct pack_writer *writer)
{
	pack_array (writer, 2);
	pack_u64 (writer, members->revision);
	pack_array (writer, (size_t)members->count);
	for (size_t i = 0; i < members->count; i++) {
		const struct member *item = &members->items[i];
		pack_array (writer, 6);
		pack_str (writer, item->name);
		pack_str (writer, item->data_centre);
		pack_str (writer, item->address);
		pack_u64 (writer, item->incarnation);
		pack_bool (writer, item->leaving);
		pack_bool (writer, item->is_entry_node);
	}
}

bool
members_read (struct members *members, struct pack_node node)
{
	uint64_t revision = pack_get_u64 (pack_at (node, 0));
	struct pack_node items = pack_at (node, 1);
	members->count = 0;
	for (size_t i = 0; i < pack_length (items); i++) {
		struct pack_node item = pack_at (items, i);
		struct member member = {0};
		pack_copy_str (pack_at (item, 0), member.name, sizeof (member.name));
		pack_copy_str (pack_at (item, 1), member.data_centre, sizeof (member.data_centre));
		pack_copy_str (pack_at (item, 2), member.address, sizeof (member.address));
		member.incarnation = pack_get_u64 (pack_at (item, 3));
		member.leaving = pack_get_bool (pack_at (item, 4));
		member.is_entry_node = pack_get_bool (pack_at (item, 5));
		if (!pack_ok (node))
			return false;
		members_put (members, &member, revision);
	}
	members->revision = revision;
	return pack_ok (node);
}
