#include "query/subwire.h"

#include "core/http_status.h"

#include <stdlib.h>
#include <string.h>

void *
subwire_encode_batch (const struct sub_batch *batch, size_t *len)
{
	struct pack_writer w;
	pack_start (&w);
	pack_array (&w, 4);
	pack_u64 (&w, batch->request);
	pack_u64 (&w, batch->kind);
	pack_bytes (&w, batch->text_len ? batch->text : "", batch->text_len);
	pack_array (&w, (size_t)batch->count);
	for (int i = 0; i < batch->count; i++) {
		const struct sub_item *item = &batch->items[i];
		pack_array (&w, 5);
		pack_u64 (&w, item->attempt);
		pack_str (&w, item->target);
		pack_u64 (&w, item->snapshot);
		pack_u64 (&w, item->shard);
		pack_i64 (&w, item->remaining_us);
	}
	return pack_end (&w, len);
}

void *
subwire_encode_reply (const struct sub_reply *reply, size_t *len)
{
	const struct sub_result *result = &reply->result;
	struct pack_writer w;
	pack_start (&w);
	pack_array (&w, 10);
	pack_u64 (&w, reply->request);
	pack_u64 (&w, reply->attempt);
	pack_i64 (&w, reply->http_status);
	pack_u64 (&w, result->status);
	pack_u64 (&w, result->snapshot);
	pack_u64 (&w, result->shard);
	pack_array (&w, (size_t)result->held_count);
	for (int i = 0; i < result->held_count; i++)
		pack_u64 (&w, result->held[i]);
	pack_bool (&w, result->cold);
	pack_i64 (&w, result->latency_us);
	pack_bytes (&w, result->body_len ? result->body : "", result->body_len);
	return pack_end (&w, len);
}

void *
subwire_encode_cancel (const struct sub_cancel *cancel, size_t *len)
{
	struct pack_writer w;
	pack_start (&w);
	pack_array (&w, 2);
	pack_u64 (&w, cancel->request);
	pack_array (&w, (size_t)cancel->count);
	for (int i = 0; i < cancel->count; i++)
		pack_u64 (&w, cancel->attempts[i]);
	return pack_end (&w, len);
}

static void
read_item (struct pack_node node, struct sub_item *item)
{
	item->attempt = pack_get_u64 (pack_at (node, 0));
	pack_copy_str (pack_at (node, 1), item->target, sizeof (item->target));
	item->snapshot = pack_get_u64 (pack_at (node, 2));
	item->shard = pack_get_u64 (pack_at (node, 3));
	item->remaining_us = pack_get_i64 (pack_at (node, 4));
}

bool
subwire_decode_batch (struct sub_batch *batch, const void *data, size_t len)
{
	struct pack_tree tree;
	memset (batch, 0, sizeof (*batch));
	struct pack_node root = pack_parse (&tree, data, len);
	batch->request = pack_get_u64 (pack_at (root, 0));
	unsigned kind = pack_get_u64 (pack_at (root, 1));
	batch->kind = kind < SUB_KIND_COUNT ? (enum sub_kind)kind : SUB_DISCOVER;
	batch->text = pack_get_bytes (pack_at (root, 2), &batch->text_len);
	struct pack_node items = pack_at (root, 3);
	size_t count = pack_length (items);
	if (kind >= SUB_KIND_COUNT || count > SUBWIRE_MAX_ITEMS)
		pack_fail (root);
	batch->items = xcalloc (count <= SUBWIRE_MAX_ITEMS ? count : 0, sizeof (*batch->items));
	for (size_t i = 0; i < count && pack_ok (root); i++)
		read_item (pack_at (items, i), &batch->items[batch->count++]);
	return pack_free (&tree);
}

bool
subwire_decode_reply (struct sub_reply *reply, const void *data, size_t len)
{
	struct pack_tree tree;
	struct sub_result *result = &reply->result;
	memset (reply, 0, sizeof (*reply));
	struct pack_node root = pack_parse (&tree, data, len);
	reply->request = pack_get_u64 (pack_at (root, 0));
	reply->attempt = pack_get_u64 (pack_at (root, 1));
	int64_t http_status = pack_get_i64 (pack_at (root, 2));
	unsigned status = pack_get_u64 (pack_at (root, 3));
	/* Replies that no target sent have the status 0. */
	if (status > SUB_SILENT || (http_status != 0 && !http_status_is_final (http_status)))
		pack_fail (root);
	else
		result->status = (enum sub_status)status;
	reply->http_status = (int)http_status;
	result->snapshot = pack_get_u64 (pack_at (root, 4));
	result->shard = pack_get_u64 (pack_at (root, 5));
	struct pack_node held = pack_at (root, 6);
	size_t count = pack_length (held);
	for (size_t i = 0; i < count && i < MAX_HELD_SNAPSHOTS; i++)
		result->held[result->held_count++] = pack_get_u64 (pack_at (held, i));
	result->cold = pack_get_bool (pack_at (root, 7));
	result->latency_us = pack_get_i64 (pack_at (root, 8));
	result->body = pack_get_bytes (pack_at (root, 9), &result->body_len);
	return pack_free (&tree);
}

bool
subwire_decode_cancel (struct sub_cancel *cancel, const void *data, size_t len)
{
	struct pack_tree tree;
	memset (cancel, 0, sizeof (*cancel));
	struct pack_node root = pack_parse (&tree, data, len);
	cancel->request = pack_get_u64 (pack_at (root, 0));
	struct pack_node attempts = pack_at (root, 1);
	size_t count = pack_length (attempts);
	cancel->attempts = xcalloc (count, sizeof (uint32_t));
	for (size_t i = 0; i < count && pack_ok (root); i++)
		cancel->attempts[cancel->count++] = pack_get_u64 (pack_at (attempts, i));
	return pack_free (&tree);
}
