#include "query/batch.h"

#include "core/pack.h"

#include <stdlib.h>
#include <string.h>

enum { REQUEST_FIELDS = 15, REST_FIELDS = 4, RESULT_FIELDS = 9, PART_FIELDS = 6, LOAD_FIELDS = 7 };

static void
write_head (struct pack_writer *writer, size_t fields, const char *key, const struct batch_id *id)
{
	pack_array (writer, fields);
	pack_u64 (writer, BATCH_VERSION);
	pack_str (writer, key);
	pack_u64 (writer, id->sender);
	pack_u64 (writer, id->number);
}

static void
read_head (struct pack_node root, size_t fields, const char *key, struct batch_id *id)
{
	char given[BATCH_NAME_SIZE];
	if (pack_length (root) != fields || pack_get_u64 (pack_at (root, 0)) != BATCH_VERSION) {
		pack_fail (root);
		return;
	}
	memset (given, 0, sizeof (given));
	pack_copy_str (pack_at (root, 1), given, sizeof (given));
	if (!secret_equal (given, key, strlen (key)))
		pack_fail (root);
	id->sender = pack_get_u64 (pack_at (root, 2));
	id->number = pack_get_u64 (pack_at (root, 3));
}

bool
batch_fits (const struct batch_request *request)
{
	enum { HEAD_BYTES = 1024, ITEM_BYTES = 16 };
	size_t uri_len = strlen (request->uri);
	size_t id_len = strlen (request->attempt_id);
	size_t bytes = HEAD_BYTES + uri_len + id_len + (size_t)request->shard_count * ITEM_BYTES;
	if (request->shard_count > BATCH_MAX_SHARDS || request->line_count > BATCH_MAX_LINES ||
		uri_len > BATCH_TEXT_MAX_BYTES || id_len > BATCH_TEXT_MAX_BYTES)
		return false;
	for (int i = 0; i < request->line_count; i++) {
		size_t len = strlen (request->lines[i]);
		if (len > BATCH_TEXT_MAX_BYTES)
			return false;
		bytes += len + ITEM_BYTES;
	}
	return bytes <= BATCH_MAX_BYTES;
}

void *
batch_encode_request (const struct batch_request *request, const char *key, size_t *len)
{
	struct pack_writer writer;
	pack_start (&writer);
	write_head (&writer, REQUEST_FIELDS, key, &request->id);
	pack_u64 (&writer, request->routing_version);
	pack_u64 (&writer, request->digest);
	pack_str (&writer, request->route);
	pack_str (&writer, request->attempt_id);
	pack_str (&writer, request->method);
	pack_str (&writer, request->uri);
	pack_i64 (&writer, request->remaining_us);
	pack_i64 (&writer, request->attempts_used);
	pack_i64 (&writer, request->priority);
	pack_u64 (&writer, request->account);
	pack_array (&writer, (size_t)request->shard_count + (size_t)request->line_count + 1);
	pack_u64 (&writer, (uint64_t)request->shard_count);
	for (int i = 0; i < request->shard_count; i++)
		pack_i64 (&writer, request->shards[i]);
	for (int i = 0; i < request->line_count; i++)
		pack_str (&writer, request->lines[i]);
	return pack_end (&writer, len);
}

/* Shards are in rising order, so that none is in a batch twice. */
static void
read_shards (struct pack_node list, size_t count, struct batch_request *request)
{
	request->shards = xcalloc (count + 1, sizeof (*request->shards));
	for (size_t i = 0; i < count; i++) {
		int shard = (int)pack_get_below (pack_at (list, i + 1), BATCH_MAX_SHARDS);
		if (i > 0 && shard <= request->shards[i - 1])
			pack_fail (list);
		request->shards[request->shard_count++] = shard;
	}
}

static void
read_lines (struct pack_node list, size_t first, size_t count, struct batch_request *request)
{
	request->lines = xcalloc (count + 1, sizeof (*request->lines));
	for (size_t i = 0; i < count; i++) {
		size_t len = 0;
		pack_get_bytes (pack_at (list, first + i), &len);
		if (len > BATCH_TEXT_MAX_BYTES)
			pack_fail (list);
		request->lines[request->line_count++] = pack_dup_str (pack_at (list, first + i));
	}
}

static void
read_request (struct batch_request *request, struct pack_node root)
{
	size_t id_len = 0;
	size_t uri_len = 0;
	request->routing_version = pack_get_u64 (pack_at (root, 4));
	request->digest = pack_get_u64 (pack_at (root, 5));
	pack_copy_str (pack_at (root, 6), request->route, sizeof (request->route));
	pack_get_bytes (pack_at (root, 7), &id_len);
	request->attempt_id = pack_dup_str (pack_at (root, 7));
	pack_copy_str (pack_at (root, 8), request->method, sizeof (request->method));
	pack_get_bytes (pack_at (root, 9), &uri_len);
	request->uri = pack_dup_str (pack_at (root, 9));
	request->remaining_us = pack_get_i64 (pack_at (root, 10));
	request->attempts_used = (int)pack_get_below (pack_at (root, 11), INT32_MAX);
	request->priority = (int)pack_get_below (pack_at (root, 12), BATCH_MAX_PRIORITY + 1);
	request->account = pack_get_u64 (pack_at (root, 13));
	struct pack_node list = pack_at (root, 14);
	size_t shards = pack_get_below (pack_at (list, 0), BATCH_MAX_SHARDS + 1);
	size_t items = pack_length (list);
	if (id_len > BATCH_TEXT_MAX_BYTES || uri_len > BATCH_TEXT_MAX_BYTES || shards == 0 ||
		items < shards + 1 || items - shards - 1 > BATCH_MAX_LINES ||
		request->remaining_us < 0) {
		pack_fail (root);
		return;
	}
	read_shards (list, shards, request);
	read_lines (list, shards + 1, items - shards - 1, request);
}

bool
batch_decode_request (struct batch_request *request, const char *key, const void *data, size_t len)
{
	struct pack_tree tree;
	memset (request, 0, sizeof (*request));
	struct pack_node root = pack_parse (&tree, data, len);
	read_head (root, REQUEST_FIELDS, key, &request->id);
	if (pack_ok (root))
		read_request (request, root);
	return pack_free (&tree);
}

void
batch_request_finish (struct batch_request *request)
{
	for (int i = 0; i < request->line_count; i++)
		free (request->lines[i]);
	free (request->lines);
	free (request->shards);
	free (request->attempt_id);
	free (request->uri);
	memset (request, 0, sizeof (*request));
}

void *
batch_encode_rest (const struct batch_id *id, const char *key, size_t *len)
{
	struct pack_writer writer;
	pack_start (&writer);
	write_head (&writer, REST_FIELDS, key, id);
	return pack_end (&writer, len);
}

bool
batch_decode_rest (struct batch_id *id, const char *key, const void *data, size_t len)
{
	struct pack_tree tree;
	memset (id, 0, sizeof (*id));
	struct pack_node root = pack_parse (&tree, data, len);
	read_head (root, REST_FIELDS, key, id);
	return pack_free (&tree);
}

static void
write_loads (struct pack_writer *writer, const struct batch_result *result)
{
	pack_array (writer, (size_t)result->load_count);
	for (int i = 0; i < result->load_count; i++) {
		const struct batch_load *load = &result->loads[i];
		pack_array (writer, LOAD_FIELDS);
		pack_u64 (writer, load->service);
		pack_u64 (writer, load->target);
		pack_i64 (writer, load->report.running);
		pack_i64 (writer, load->report.waiting);
		pack_i64 (writer, load->report.slots);
		pack_i64 (writer, load->report.pace);
		pack_i64 (writer, load->age_us);
	}
}

void *
batch_encode_result (const struct batch_result *result, size_t *len)
{
	struct pack_writer writer;
	pack_start (&writer);
	pack_array (&writer, RESULT_FIELDS);
	pack_u64 (&writer, BATCH_VERSION);
	pack_u64 (&writer, result->id.sender);
	pack_u64 (&writer, result->id.number);
	pack_bool (&writer, result->done);
	pack_i64 (&writer, result->hedges);
	pack_i64 (&writer, result->retries);
	pack_array (&writer, (size_t)result->part_count);
	for (int i = 0; i < result->part_count; i++) {
		const struct batch_part *part = &result->parts[i];
		pack_array (&writer, PART_FIELDS);
		pack_i64 (&writer, part->shard);
		pack_bool (&writer, part->answered);
		pack_bool (&writer, part->may_have_run);
		pack_u64 (&writer, part->give_up);
		pack_str (&writer, part->stamp ? part->stamp : "");
		pack_str (&writer, part->leaving ? part->leaving : "");
	}
	pack_bytes (&writer, result->records ? result->records : "", result->records_len);
	write_loads (&writer, result);
	return pack_end (&writer, len);
}

static void
read_parts (struct batch_result *result, struct pack_node list)
{
	size_t count = pack_length (list);
	if (count > BATCH_MAX_SHARDS) {
		pack_fail (list);
		return;
	}
	result->parts = xcalloc (count + 1, sizeof (*result->parts));
	for (size_t i = 0; i < count; i++) {
		struct pack_node item = pack_at (list, i);
		struct batch_part *part = &result->parts[result->part_count++];
		part->shard = (int)pack_get_below (pack_at (item, 0), BATCH_MAX_SHARDS);
		part->answered = pack_get_bool (pack_at (item, 1));
		part->may_have_run = pack_get_bool (pack_at (item, 2));
		part->give_up = (enum give_up)pack_get_below (pack_at (item, 3), GIVE_UP_COUNT);
		part->stamp = pack_dup_str (pack_at (item, 4));
		part->leaving = pack_dup_str (pack_at (item, 5));
		if (part->answered && part->stamp[0] == '\0')
			pack_fail (item);
	}
}

static void
read_loads (struct batch_result *result, struct pack_node list)
{
	size_t count = pack_length (list);
	if (count > BATCH_MAX_LOADS) {
		pack_fail (list);
		return;
	}
	result->loads = xcalloc (count + 1, sizeof (*result->loads));
	for (size_t i = 0; i < count; i++) {
		struct pack_node item = pack_at (list, i);
		struct batch_load *load = &result->loads[result->load_count++];
		load->service = pack_get_u64 (pack_at (item, 0));
		load->target = pack_get_u64 (pack_at (item, 1));
		load->report = (struct load_report){
			.running = (int)pack_get_below (pack_at (item, 2), BATCH_MAX_REPORTED),
			.waiting = (int)pack_get_below (pack_at (item, 3), BATCH_MAX_REPORTED),
			.slots = (int)pack_get_below (pack_at (item, 4), BATCH_MAX_REPORTED),
			.pace = (int)pack_get_below (pack_at (item, 5), BATCH_MAX_REPORTED)};
		load->age_us = pack_get_below (pack_at (item, 6), BATCH_LOAD_MAX_AGE_US);
	}
}

bool
batch_decode_result (struct batch_result *result, const void *data, size_t len)
{
	struct pack_tree tree;
	memset (result, 0, sizeof (*result));
	struct pack_node root = pack_parse (&tree, data, len);
	if (pack_length (root) != RESULT_FIELDS ||
		pack_get_u64 (pack_at (root, 0)) != BATCH_VERSION) {
		pack_fail (root);
		return pack_free (&tree);
	}
	result->id.sender = pack_get_u64 (pack_at (root, 1));
	result->id.number = pack_get_u64 (pack_at (root, 2));
	result->done = pack_get_bool (pack_at (root, 3));
	result->hedges = (int)pack_get_below (pack_at (root, 4), BATCH_MAX_COUNT);
	result->retries = (int)pack_get_below (pack_at (root, 5), BATCH_MAX_COUNT);
	read_parts (result, pack_at (root, 6));
	const char *records = pack_get_bytes (pack_at (root, 7), &result->records_len);
	read_loads (result, pack_at (root, 8));
	if (pack_ok (root))
		result->records = xmemdup (records, result->records_len);
	return pack_free (&tree);
}

void
batch_result_finish (struct batch_result *result)
{
	for (int i = 0; i < result->part_count; i++) {
		free (result->parts[i].stamp);
		free (result->parts[i].leaving);
	}
	free (result->parts);
	free (result->records);
	free (result->loads);
	memset (result, 0, sizeof (*result));
}
