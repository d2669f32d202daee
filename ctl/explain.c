#include "ctl/explain.h"

#include "core/buf.h"
#include "core/log.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	EXPLAIN_NOT_FOUND = 5, /* as in ctl/main.c */
	EXPLAIN_NO_FILE = 2,
	MAX_NAMES = 64,
	NAME_SIZE = 64,
	LINE_BYTES = 4096,
};

static const double BEFORE_S = 5; /* what a node went through earlier has no bearing any more */
static const double AFTER_S = 1;

/** One line of a log. */
struct line {
	double time;
	int file;
	int event;
	const char *name;   /* owned by json */
	const char *detail; /* owned by json */
	json_t *json;
	bool of_request;
};

struct story {
	const char *id;
	const char *const *files;
	int file_count;
	struct line *lines;
	size_t count;
	size_t cap;
	char names[MAX_NAMES][NAME_SIZE]; /* targets and services that the request's lines name */
	int name_count;
};

static bool
is_of_request (const char *detail, const char *id)
{
	size_t len = strlen (id);
	return strncmp (detail, id, len) == 0 && detail[len] == ':';
}

static void
add_line (struct story *story, int file, const char *text)
{
	json_t *json = json_loads (text, 0, NULL);
	const char *name = json_string_value (json_object_get (json, "name"));
	const char *detail = json_string_value (json_object_get (json, "detail"));
	if (!name || !detail) {
		json_decref (json);
		return;
	}
	if (story->count == story->cap) {
		story->cap = story->cap ? story->cap * 2 : 256;
		story->lines = xrealloc (story->lines, story->cap * sizeof (*story->lines));
	}
	story->lines[story->count++] = (struct line){
		.time = json_number_value (json_object_get (json, "time")),
		.file = file,
		.event = (int)json_integer_value (json_object_get (json, "event")),
		.name = name,
		.detail = detail,
		.json = json,
		.of_request = is_of_request (detail, story->id),
	};
}

/* Lines of requests other than this one are not part of the story. */
static bool
is_context (int event)
{
	switch ((enum log_event)event) {
	case EVENT_REQUEST_FAILED:
	case EVENT_REQUEST_DEGRADED:
	case EVENT_REQUEST_REFUSED:
	case EVENT_REQUEST_ANSWERED:
	case EVENT_SUB_REQUEST_FAILED:
	case EVENT_SUB_REQUEST_EXTRA:
	case EVENT_LIST_TAKEN:
		return false;
	default:
		return true;
	}
}

static bool
read_file (struct story *story, int at)
{
	char text[LINE_BYTES];
	FILE *file = fopen (story->files[at], "r");
	if (!file) {
		fprintf (stderr, "oleanderctl: %s: cannot be read; correct the path\n",
			story->files[at]);
		return false;
	}
	while (fgets (text, sizeof (text), file)) {
		char *start = strchr (text, '{');
		if (start)
			add_line (story, at, start);
	}
	fclose (file);
	return true;
}

/*
 * Sub-request lines say "ID: TARGET of SERVICE ..." or "ID: hedge N of SERVICE to TARGET ...",
 * those of the whole request "...; shard SERVICE tried N ...".
 */
static void
note_name (struct story *story, const struct line *line)
{
	char name[NAME_SIZE] = "";
	const char *rest = line->detail + strlen (story->id) + 1;
	const char *shard = strstr (rest, "; shard ");
	if (line->event == EVENT_SUB_REQUEST_FAILED)
		sscanf (rest, " %63s", name);
	else if (line->event == EVENT_SUB_REQUEST_EXTRA)
		sscanf (rest, " %*s %*d of %*s to %63s", name);
	else if (shard)
		sscanf (shard, "; shard %63s", name);
	for (int i = 0; i < story->name_count; i++) {
		if (strcmp (story->names[i], name) == 0)
			return;
	}
	if (name[0] && story->name_count < MAX_NAMES)
		str_copy (story->names[story->name_count++], NAME_SIZE, name);
}

/* Lines of targets begin with "TARGET of SERVICE at" or "TARGET at". */
static bool
is_named (const struct story *story, const char *detail)
{
	char target[NAME_SIZE] = "";
	char service[NAME_SIZE] = "";
	sscanf (detail, "%63s of %63s", target, service);
	for (int i = 0; i < story->name_count; i++) {
		if (strcmp (story->names[i], target) == 0 || strcmp (story->names[i], service) == 0)
			return true;
	}
	return false;
}

/* The newest state of a target before the request counts, however old it is. */
static bool
is_overtaken (const struct story *story, size_t at, double before)
{
	const struct line *line = &story->lines[at];
	size_t len = strcspn (line->detail, " ");
	for (size_t i = at + 1; i < story->count && story->lines[i].time <= before; i++) {
		const struct line *later = &story->lines[i];
		if (later->event == EVENT_TARGET_STATE && later->file == line->file &&
			strncmp (later->detail, line->detail, len + 1) == 0)
			return true;
	}
	return false;
}

static int
compare_lines (const void *a, const void *b)
{
	const struct line *left = a;
	const struct line *right = b;
	if (left->time != right->time)
		return left->time < right->time ? -1 : 1;
	return left->file - right->file;
}

/* When the request's own lines came, and the log of the node that wrote the last of them. */
struct span {
	double first;
	double last;
	int file;
};

static bool
belongs (const struct story *story, size_t at, const struct span *span)
{
	const struct line *line = &story->lines[at];
	if (line->of_request)
		return true;
	if (!is_context (line->event) || line->file != span->file ||
		line->time > span->last + AFTER_S)
		return false;
	bool old = line->time < span->first - BEFORE_S;
	if (line->event == EVENT_TARGET_STATE)
		return is_named (story, line->detail) &&
		       !(old && is_overtaken (story, at, span->first));
	if (line->event == EVENT_TARGET_SUSPECT)
		return !old && is_named (story, line->detail);
	return !old;
}

static void
print_story (struct story *story)
{
	struct span span = {0};
	bool found = false;
	for (size_t i = 0; i < story->count; i++) {
		const struct line *line = &story->lines[i];
		if (!line->of_request)
			continue;
		note_name (story, line);
		if (!found)
			span.first = line->time;
		found = true;
		span.last = line->time;
		span.file = line->file;
	}
	for (size_t i = 0; i < story->count; i++) {
		const struct line *line = &story->lines[i];
		if (belongs (story, i, &span))
			printf ("%+10.3f s  %c %-22s %s: %s\n", line->time - span.first,
				line->of_request ? '*' : ' ', line->name, story->files[line->file],
				line->detail);
	}
}

int
explain_request (const char *id, const char *const *files, int count)
{
	struct story story = {.id = id, .files = files, .file_count = count};
	int result = EXIT_SUCCESS;
	size_t own = 0;
	for (int i = 0; i < count && result == EXIT_SUCCESS; i++)
		result = read_file (&story, i) ? EXIT_SUCCESS : EXPLAIN_NO_FILE;
	for (size_t i = 0; i < story.count; i++)
		own += story.lines[i].of_request;
	if (result == EXIT_SUCCESS && own == 0) {
		printf ("%s: no line in these logs: it was answered whole within its aim, came to "
			"another node, or its lines were left out (see left_out)\n",
			id);
		result = EXPLAIN_NOT_FOUND;
	} else if (result == EXIT_SUCCESS) {
		qsort (story.lines, story.count, sizeof (*story.lines), compare_lines);
		print_story (&story);
	}
	for (size_t i = 0; i < story.count; i++)
		json_decref (story.lines[i].json);
	free (story.lines);
	return result;
}
