/**
 * @file platform.c
 * Fuzzes the decoders of the platform's formats: manifest, page of the target list, reply headers
 * and path of an operator's order. No input may crash them, and accepted input must satisfy the
 * invariants on which the rest of the program relies.
 */
#include "core/buf.h"
#include "core/json_scan.h"
#include "platform/list.h"
#include "platform/manifest.h"
#include "platform/orders.h"
#include "platform/replies.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* A bit of the first byte, which selects what the other bytes are. */
enum { ODD_ENTRY = 0x80 };

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check (bool holds)
{
	if (!holds)
		abort ();
}

static void
try_manifest (const char *text, size_t len)
{
	struct error error = {0};
	struct routing *routing = manifest_decode (text, len, &error);
	check ((routing != NULL) != (error.kind == ERROR_INVALID));
	for (int i = 0; routing && i < routing->rule_count; i++) {
		struct routing_rule *rule = &routing->rules[i];
		check (rule->timeout_us > 0 && rule->max_attempts > 0 && rule->part_count > 0);
		for (int j = 0; j < rule->part_count; j++)
			check (rule->parts[j].service < routing->service_count);
		int part = routing_next_part (rule);
		check (part >= 0 && part < rule->part_count);
		check (routing_match (routing, rule->host, rule->prefix) != NULL);
	}
	routing_unref (routing);
}

static void
try_list (const char *text, size_t len)
{
	struct listed_targets list;
	char next_path[TARGET_LIST_TOKEN_MAX_BYTES * 3 + 64];
	listed_targets_init (&list);
	if (target_list_decode_page (&list, text, len, next_path, sizeof (next_path)))
		check (strlen (next_path) < sizeof (next_path) && !strpbrk (next_path, " \r\n"));
	for (int i = 0; i < list.count; i++)
		check (list.items[i].slots > 0 && strchr (list.items[i].address, ':'));
	listed_targets_finish (&list);
}

static const char sound_entry[] =
	"{\"id\":\"i-%d\",\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":1,"
	"\"state\":\"ready\"}";

/* An element between two sound entries: both are used, whatever it is. */
static void
try_odd_entry (const char *odd, size_t len)
{
	struct listed_targets list;
	struct buf page;
	char next[TARGET_LIST_TOKEN_MAX_BYTES * 3 + 64];
	int sound = 0;
	buf_init (&page);
	listed_targets_init (&list);
	buf_addf (&page, "{\"instances\":[");
	buf_addf (&page, sound_entry, 1);
	buf_addf (&page, ",");
	buf_add (&page, odd, len);
	buf_addf (&page, ",");
	buf_addf (&page, sound_entry, 2);
	buf_addf (&page, "]}");
	const char *end = json_skip_value (odd, odd + len);
	bool is_value = end && json_skip_space (end, odd + len) == odd + len;
	bool ok = target_list_decode_page (&list, page.data, page.len, next, sizeof (next));
	for (int i = 0; i < list.count; i++)
		sound += strcmp (list.items[i].id, "i-1") == 0 ||
			 strcmp (list.items[i].id, "i-2") == 0;
	if (is_value)
		check (ok && sound >= 2 && list.count <= 3);
	listed_targets_finish (&list);
	buf_finish (&page);
}

static void
try_reply (const char *text, size_t len)
{
	struct reply_head head;
	reply_head_init (&head);
	const char *end = text + len;
	while (text < end) {
		const char *newline = memchr (text, '\n', (size_t)(end - text));
		size_t line_len = newline ? (size_t)(newline - text) + 1 : (size_t)(end - text);
		reply_head_add_line (&head, text, line_len);
		text += line_len;
	}
	/* A reply without the request's id must not count as its answer. */
	if (!head.attempt_id || strcmp (head.attempt_id, "id") != 0)
		check (reply_head_classify (&head, "id", 200, true) != SUB_END_ANSWERED);
	reply_head_finish (&head);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	if (size == 0)
		return 0;
	char *text = xmemdup (data + 1, size - 1);
	struct order order;
	if (data[0] & ODD_ENTRY) {
		try_odd_entry (text, size - 1);
		free (text);
		return 0;
	}
	switch (data[0] % 4) {
	case 0:
		try_manifest (text, size - 1);
		break;
	case 1:
		try_list (text, size - 1);
		break;
	case 2:
		try_reply (text, size - 1);
		break;
	default:
		order_decode (&order, "POST", text);
		break;
	}
	free (text);
	return 0;
}
