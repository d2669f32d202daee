#include "query/merge.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

int
merge_count_rows (const char *body, size_t len)
{
	json_t *rows = json_loadb (body, len, 0, NULL);
	int count = json_is_array (rows) ? (int)json_array_size (rows) : -1;
	json_decref (rows);
	return count;
}

static void
begin_answer (const struct query *query, struct buf *out)
{
	char text[24];
	int missing = 0;
	buf_addf (out,
		"{\"snapshot\":\"%s\",\"coverage\":{\"shards\":%d,\"answered\":%d,\"missing\":[",
		query->snapshot ? snapshot_format (query->snapshot, text) : "", query->shard_count,
		query->answered);
	for (int i = 0; i < query->shard_count; i++) {
		if (!query->shards[i].answered)
			buf_addf (out, "%s%u", missing++ ? "," : "",
				query->first_shard + (uint32_t)i);
	}
	buf_addf (out, "]},\"rows\":[");
}

/* Bodies are checked to be JSON arrays on arrival, so their contents can be joined as text. */
static void
add_concatenated_rows (const struct query *query, struct buf *out)
{
	int segments = 0;
	for (int i = 0; i < query->shard_count; i++) {
		const struct shard *shard = &query->shards[i];
		if (!shard->answered)
			continue;
		const char *start = memchr (shard->rows, '[', shard->rows_len);
		const char *end = memrchr (shard->rows, ']', shard->rows_len);
		start++;
		while (start < end && strchr (" \t\r\n", *start))
			start++;
		if (start == end)
			continue;
		if (segments++)
			buf_add (out, ",", 1);
		buf_add (out, start, (size_t)(end - start));
	}
}

struct sort_row {
	json_t *row;
	const json_t *key;
	size_t position; /* in shard order; keeps the sort stable */
};

static int
compare_keys (const json_t *a, const json_t *b)
{
	if (json_is_number (a) && json_is_number (b)) {
		double x = json_number_value (a);
		double y = json_number_value (b);
		return x < y ? -1 : x > y;
	}
	if (json_is_string (a) && json_is_string (b))
		return strcmp (json_string_value (a), json_string_value (b));
	/* Numbers sort before strings; rows whose key is neither, or missing, come last. */
	int rank_a = json_is_number (a) ? 0 : json_is_string (a) ? 1 : 2;
	int rank_b = json_is_number (b) ? 0 : json_is_string (b) ? 1 : 2;
	return rank_a - rank_b;
}

static int
compare_rows (const void *a, const void *b)
{
	const struct sort_row *x = a;
	const struct sort_row *y = b;
	int order = compare_keys (x->key, y->key);
	if (order != 0)
		return order;
	return x->position < y->position ? -1 : x->position > y->position;
}

static json_t *
load_all_rows (const struct query *query)
{
	json_t *all_rows = json_array ();
	for (int i = 0; i < query->shard_count; i++) {
		const struct shard *shard = &query->shards[i];
		if (!shard->answered)
			continue;
		json_t *rows = json_loadb (shard->rows, shard->rows_len, 0, NULL);
		json_array_extend (all_rows, rows);
		json_decref (rows);
	}
	return all_rows;
}

static void
add_sorted_rows (const struct query *query, struct buf *out)
{
	json_t *all_rows = load_all_rows (query);
	size_t count = json_array_size (all_rows);
	struct sort_row *rows = xcalloc (count, sizeof (*rows));
	for (size_t i = 0; i < count; i++) {
		rows[i].row = json_array_get (all_rows, i);
		rows[i].key = json_object_get (rows[i].row, query->collection->sort_key);
		rows[i].position = i;
	}
	qsort (rows, count, sizeof (*rows), compare_rows);
	size_t limit = query->collection->limit ? (size_t)query->collection->limit : count;
	for (size_t i = 0; i < count && i < limit; i++) {
		char *text = json_dumps (rows[i].row, JSON_COMPACT | JSON_ENCODE_ANY);
		buf_addf (out, "%s%s", i ? "," : "", text);
		free (text);
	}
	free (rows);
	json_decref (all_rows);
}

/* Without a sort key, a limit keeps the first rows in shard order. */
static void
add_limited_rows (const struct query *query, struct buf *out)
{
	json_t *all_rows = load_all_rows (query);
	for (size_t i = 0; i < json_array_size (all_rows) && i < (size_t)query->collection->limit;
		i++) {
		char *text =
			json_dumps (json_array_get (all_rows, i), JSON_COMPACT | JSON_ENCODE_ANY);
		buf_addf (out, "%s%s", i ? "," : "", text);
		free (text);
	}
	json_decref (all_rows);
}

void
merge_answer (const struct query *query, struct buf *out)
{
	begin_answer (query, out);
	if (query->collection->merge == MERGE_SORTED)
		add_sorted_rows (query, out);
	else if (query->collection->limit > 0)
		add_limited_rows (query, out);
	else
		add_concatenated_rows (query, out);
	buf_addf (out, "]}");
}
