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
roster_apply (struct roster *roster, const struct roster_update *news, int64_t now_us)
{
	if (news->stamp == 0 || news->stamp < roster->stamp ||
		(news->stamp > roster->stamp && !news->data))
		return false;
	int64_t read_us = now_us - news->age_us;
	if (news->stamp == roster->stamp) {
		if (read_us > roster->read_us)
			roster->read_us = read_us;
		return false;
	}
	roster->read_us = read_us;
	set_data (roster, news->stamp, news->data, news->len);
	return true;
}

struct roster_update
roster_make_update (const struct roster *roster, uint64_t held, int64_t now_us)
{
	struct roster_update news = {.stamp = roster->stamp, .age_us = now_us - roster->read_us};
	if (roster->stamp > held) {
		news.data = xmemdup (roster->data, roster->len);
		news.len = roster->len;
	}
	return news;
}

void
roster_update_write (const struct roster_update *news, struct pack_writer *writer)
{
	pack_array (writer, 4);
	pack_u64 (writer, news->stamp);
	pack_i64 (writer, news->age_us);
	pack_bool (writer, news->data != NULL);
	pack_bytes (writer, news->data ? news->data : "", news->len);
}

void
roster_update_read (struct roster_update *news, struct pack_node node)
{
	size_t len = 0;
	news->stamp = pack_get_u64 (pack_at (node, 0));
	news->age_us = pack_get_i64 (pack_at (node, 1));
	bool has_data = pack_get_bool (pack_at (node, 2));
	const char *bytes = pack_get_bytes (pack_at (node, 3), &len);
	if (!has_data)
		return;
	news->data = xmemdup (bytes, len);
	news->len = len;
}
