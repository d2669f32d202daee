/**
 * @file replies.c
 * Fuzz target for replies of targets: a reply is accepted only if its headers match the request,
 * and rows that are accepted always merge into valid JSON.
 */
#include "control/view.h"
#include "core/buf.h"
#include "query/merge.h"
#include "targets/reply.h"
#include "test/fuzz/input.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum { SHARD = 3 };

static const snapshot_t snapshot = 1ULL << 32 | 7;

static void
check_headers (struct input *input)
{
	struct reply_headers headers = {0};
	struct reply_labels labels = {.request_id = "ab-1-2", .shard = SHARD, .snapshot = snapshot};
	enum gate_outcome outcome = GATE_OK;
	snapshot_t held[MAX_HELD_SNAPSHOTS];
	long http_status = (long)input_below (input, 600);
	labels.once = input_below (input, 2);
	while (input->left > 0) {
		const uint8_t *end = memchr (input->data, '\n', input->left);
		size_t len = end ? (size_t)(end - input->data) + 1 : input->left;
		reply_parse_header_line (&headers, (const char *)input->data, len);
		input->data += len;
		input->left -= len;
	}
	if (reply_held_snapshots (&headers, held) > MAX_HELD_SNAPSHOTS)
		abort ();
	reply_boot_hash (&headers);
	enum sub_status status = reply_classify (&headers, http_status, &labels, &outcome);
	if (status == SUB_OK && strcmp (headers.request_id, "ab-1-2") != 0)
		abort ();
	if (status == SUB_OK && !labels.once &&
		(snapshot_parse (headers.snapshot) != snapshot || atoi (headers.shard) != SHARD))
		abort ();
	if ((status == SUB_REFUSED || status == SUB_SNAPSHOT_MISSING) &&
		strcmp (headers.ran, "no") != 0)
		abort ();
}

static void
check_rows (const struct input *input, enum merge_rule merge, int limit)
{
	struct view_collection collection = {.merge = merge, .sort_key = "k", .limit = limit};
	struct shard shards[2] = {{.answered = true}, {.answered = true}};
	struct query query = {.collection = &collection, .shards = shards, .shard_count = 2};
	struct buf out;
	if (merge_count_rows ((const char *)input->data, input->left) < 0)
		return;
	for (int i = 0; i < 2; i++) {
		shards[i].rows = xmemdup (input->data, input->left);
		shards[i].rows_len = input->left;
	}
	buf_init (&out);
	merge_answer (&query, &out);
	json_t *answer = json_loadb (out.data, out.len, 0, NULL);
	if (!answer)
		abort ();
	json_decref (answer);
	buf_finish (&out);
	free (shards[0].rows);
	free (shards[1].rows);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct input input = {data, size};
	switch (input_below (&input, 4)) {
	case 0:
		check_headers (&input);
		break;
	case 1:
		check_rows (&input, MERGE_CONCAT, 0);
		break;
	case 2:
		check_rows (&input, MERGE_CONCAT, 1);
		break;
	default:
		check_rows (&input, MERGE_SORTED, 3);
		break;
	}
	return 0;
}
