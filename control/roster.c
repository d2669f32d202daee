#include "control/roster.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>

enum { TERM_SHIFT = 32 };

void
roster_finish (struct roster *roster)
{
	free (roster->data);
	memset (roster, 0, sizeof (*roster));
}

static void
set_data (struct roster *roster, uint64_t stamp, const void *data, size_t len)
{
	free (roster->data);
	roster->data = xmemdup (data, len);
	roster->len = len;
	roster->stamp = stamp;
}

void
roster_set (struct roster *roster, uint64_t term, const void *data, size_t len, int64_t now_us)
{
	roster->read_us = now_us;
	if (roster->stamp != 0 && roster->len == len && memcmp (roster->data, data, len) == 0)
		return;
	uint64_t count = roster->stamp >> TERM_SHIFT == term ? roster->stamp & UINT32_MAX : 0;
	set_data (roster, term << TERM_SHIFT | (count + 1), data, len);
}

bool
roster_apply (struct roster *roster, const struct roster_update *update, int64_t now_us)
{
	if (update->stamp == 0 || update->stamp < roster->stamp ||
		(update->stamp > roster->stamp && !update->data))
		return false;
	int64_t read_us = now_us - update->age_us;
	if (update->stamp == roster->stamp) {
		if (read_us > roster->read_us)
			roster->read_us = read_us;
		return false;
	}
	roster->read_us = read_us;
	set_data (roster, update->stamp, update->data, update->len);
	return true;
}

struct roster_update
roster_make_update (const struct roster *roster, uint64_t held_stamp, int64_t now_us)
{
	struct roster_update update = {.stamp = roster->stamp, .age_us = now_us - roster->read_us};
	if (roster->stamp > held_stamp) {
		update.data = xmemdup (roster->data, roster->len);
		update.len = roster->len;
	}
	return update;
}

void
roster_update_write (const struct roster_update *update, struct pack_writer *writer)
{
	pack_array (writer, 4);
	pack_u64 (writer, update->stamp);
	pack_i64 (writer, update->age_us);
	pack_bool (writer, update->data != NULL);
	pack_bytes (writer, update->data ? update->data : "", update->len);
}

void
roster_update_read (struct roster_update *update, struct pack_node node)
{
	size_t len = 0;
	update->stamp = pack_get_u64 (pack_at (node, 0));
	update->age_us = pack_get_i64 (pack_at (node, 1));
	bool has_data = pack_get_bool (pack_at (node, 2));
	const char *bytes = pack_get_bytes (pack_at (node, 3), &len);
	if (!has_data)
		return;
	update->data = xmemdup (bytes, len);
	update->len = len;
}
