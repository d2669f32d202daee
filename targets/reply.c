#include "targets/reply.h"

#include "core/buf.h"
#include "core/http_status.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

struct header_field {
	const char *name;
	size_t offset;
	size_t size;
};

#define HEADER_FIELD(member)                                                                       \
	offsetof (struct reply_headers, member), sizeof (((struct reply_headers *)0)->member)

static const struct header_field header_fields[] = {
	{"X-Request-Id:", HEADER_FIELD (request_id)},
	{"X-Shard:", HEADER_FIELD (shard)},
	{"X-Snapshot:", HEADER_FIELD (snapshot)},
	{"X-Snapshots-Held:", HEADER_FIELD (held)},
	{"X-Boot-Id:", HEADER_FIELD (boot)},
	{"X-Load:", HEADER_FIELD (load)},
	{"X-Cold:", HEADER_FIELD (cold)},
	{"X-Ran:", HEADER_FIELD (ran)},
};

static void
store_value (char *to, size_t size, const char *value, size_t len)
{
	while (len > 0 && (*value == ' ' || *value == '\t')) {
		value++;
		len--;
	}
	while (len > 0 && strchr (" \t\r\n", value[len - 1]))
		len--;
	if (len >= size)
		len = size - 1;
	memcpy (to, value, len);
	to[len] = '\0';
}

void
reply_parse_header_line (struct reply_headers *headers, const char *line, size_t len)
{
	if (len < 2 || (line[0] != 'X' && line[0] != 'x'))
		return;
	for (size_t i = 0; i < sizeof (header_fields) / sizeof (header_fields[0]); i++) {
		const struct header_field *field = &header_fields[i];
		size_t name_len = strlen (field->name);
		if (len >= name_len && strncasecmp (line, field->name, name_len) == 0)
			store_value ((char *)headers + field->offset, field->size, line + name_len,
				len - name_len);
	}
}

static bool
labels_match (const struct reply_headers *headers, const struct reply_labels *labels)
{
	char *end = NULL;
	if (strcmp (headers->request_id, labels->request_id) != 0)
		return false;
	if (labels->once)
		return true;
	unsigned long shard = strtoul (headers->shard, &end, 10);
	return headers->shard[0] && *end == '\0' && shard == labels->shard &&
	       snapshot_parse (headers->snapshot) == labels->snapshot;
}

enum sub_status
reply_classify (const struct reply_headers *headers, long http_status,
	const struct reply_labels *labels, enum gate_outcome *outcome)
{
	bool may_have_run = strcmp (headers->ran, "no") != 0;
	*outcome = GATE_OK;
	if (!http_status_is_final (http_status))
		return SUB_FAILED;
	if (!may_have_run && http_status == 409 && !labels->once) {
		*outcome = GATE_NOT_SENT;
		return SUB_SNAPSHOT_MISSING;
	}
	if (!may_have_run && http_status == 503) {
		*outcome = GATE_SHED;
		return SUB_REFUSED;
	}
	if (!labels_match (headers, labels))
		return SUB_FAILED;
	if (labels->once)
		return SUB_OK;
	return http_status == 200 ? SUB_OK : SUB_FAILED;
}

int
reply_held_snapshots (const struct reply_headers *headers, snapshot_t held[MAX_HELD_SNAPSHOTS])
{
	char text[sizeof (headers->held)];
	char *save = NULL;
	int count = 0;
	str_copy (text, sizeof (text), headers->held);
	for (char *token = strtok_r (text, ", ", &save); token;
		token = strtok_r (NULL, ", ", &save)) {
		snapshot_t snapshot = snapshot_parse (token);
		if (snapshot && count < MAX_HELD_SNAPSHOTS)
			held[count++] = snapshot;
	}
	return count;
}

uint64_t
reply_boot_hash (const struct reply_headers *headers)
{
	if (!headers->boot[0])
		return 0;
	uint64_t hash = XXH64 (headers->boot, strlen (headers->boot), 1);
	return hash ? hash : 1;
}
