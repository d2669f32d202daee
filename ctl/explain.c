#include "ctl/explain.h"

#include "core/buf.h"
#include "core/log.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* EXIT_NOT_FOUND and EXIT_USAGE of ctl/main.c */
	EXPLAIN_NOT_FOUND = 5,
	EXPLAIN_NO_FILE = 2,

	MAX_NAMES = 64,
	NAME_BYTES = 64,
	LINE_BYTES = 4096,
};

static const double CONTEXT_BEFORE_S = 5; /* earlier events of a node do not affect the request */
static const double CONTEXT_AFTER_S = 1;

/** A log line. */
struct line {
	double time_s;
	int file; /* index in trace.files */
	int event;
	const char *name;   /* owned by json */
	const char *detail; /* owned by json */
	json_t *json;
	bool of_request; /* the detail begins with the request's id */
};

struct trace {
	const char *id;
	const char *const *files;
	int file_count;
	struct line *lines;
	size_t count;
	size_t cap;
	char names[MAX_NAMES][NAME_BYTES]; /* targets and services that the request's lines name */
	int name_count;
};

static bool
has_request_id (const char *detail, const char *id)
{
	size_t len = strlen (id);
	return strncmp (detail, id, len) == 0 && detail[len] == ':';
}

static void
add_line (struct trace *trace, int file, const char *text)
{
	json_t *json = json_loads (text, 0, NULL);
	const char *name = json_string_value (json_object_get (json, "name"));
	const char *detail = json_string_value (json_object_get (json, "detail"));
	if (!name || !detail) {
		json_decref (json);
		return;
	}
	if (trace->count == trace->cap) {
		trace->cap = trace->cap ? trace->cap * 2 : 256;
		trace->lines = xrealloc (trace->lines, trace->cap * sizeof (*trace->lines));
	}
	trace->lines[trace->count++] = (struct line){
		.time_s = json_number_value (json_object_get (json, "time")),
		.file = file,
		.event = (int)json_integer_value (json_object_get (json, "event")),
		.name = name,
		.detail = detail,
		.json = json,
		.of_request = has_request_id (detail, trace->id),
	};
}

/* Events of single requests and of new target lists are left out of the context. */
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
	case EVENT_SUB_REQUEST_EXPOSED:
	case EVENT_LIST_TAKEN:
		return false;
	default:
		return true;
	}
}

static bool
read_file (struct trace *trace, int index)
{
	char text[LINE_BYTES];
	FILE *file = fopen (trace->files[index], "r");
	if (!file) {
		fprintf (stderr, "oleanderctl: %s: cannot be read; correct the path\n",
			trace->files[index]);
		return false;
	}
	while (fgets (text, sizeof (text), file)) {
		char *start = strchr (text, '{');
		if (start)
			add_line (trace, index, start);
	}
	fclose (file);
	return true;
}

/*
 * Records the target or service that a line of the request names. Lines of a sub-request have the
 * form "ID: TARGET of SERVICE ..." or "ID: hedge N of SERVICE to TARGET ..."; lines of the request
 * as a whole contain "; shard SERVICE tried N ...".
 */
static void
record_name (struct trace *trace, const struct line *line)
{
	char name[NAME_BYTES] = "";
	const char *rest = line->detail + strlen (trace->id) + 1;
	const char *shard = strstr (rest, "; shard ");
	if (line->event == EVENT_SUB_REQUEST_FAILED || line->event == EVENT_SUB_REQUEST_EXPOSED)
		sscanf (rest, " %63s", name);
	else if (line->event == EVENT_SUB_REQUEST_EXTRA)
		sscanf (rest, " %*s %*d of %*s to %63s", name);
	else if (shard)
		sscanf (shard, "; shard %63s", name);
	for (int i = 0; i < trace->name_count; i++) {
		if (strcmp (trace->names[i], name) == 0)
			return;
	}
	if (name[0] && trace->name_count < MAX_NAMES)
		str_copy (trace->names[trace->name_count++], NAME_BYTES, name);
}

/* Whether an answer to another request showed this event of a target. */
static bool
is_announcement (const struct line *line)
{
	return line->event == EVENT_TARGET_BUSY || line->event == EVENT_TARGET_LEAVES;
}

/*
 * Events of targets begin with "TARGET of SERVICE at" or "TARGET at"; in announcements, the id of a
 * request and a colon precede it.
 */
static bool
is_target_of_request (const struct trace *trace, const struct line *line)
{
	const char *detail = line->detail;
	if (is_announcement (line) && strchr (detail, ':'))
		detail = strchr (detail, ':') + 1;
	char target[NAME_BYTES] = "";
	char service[NAME_BYTES] = "";
	sscanf (detail, " %63s of %63s", target, service);
	for (int i = 0; i < trace->name_count; i++) {
		if (strcmp (trace->names[i], target) == 0 || strcmp (trace->names[i], service) == 0)
			return true;
	}
	return false;
}

/*
 * Whether the state of a target in this line was replaced by a later one before the request. The
 * last state before the request is printed at any age.
 */
static bool
is_superseded (const struct trace *trace, size_t index, double before_s)
{
	const struct line *line = &trace->lines[index];
	size_t len = strcspn (line->detail, " ");
	for (size_t i = index + 1; i < trace->count && trace->lines[i].time_s <= before_s; i++) {
		const struct line *later = &trace->lines[i];
		if (later->event == EVENT_TARGET_STATE && later->file == line->file &&
			strncmp (later->detail, line->detail, len + 1) == 0)
			return true;
	}
	return false;
}

/* Whether an announcement still keeps requests away from its target at this time. */
static bool
is_in_force (const struct line *line, double at_s)
{
	static const char before_time[] = "no requests for ";
	if (line->event != EVENT_TARGET_BUSY)
		return true;
	const char *asked = strstr (line->detail, before_time);
	return asked &&
	       line->time_s + strtod (asked + sizeof (before_time) - 1, NULL) / 1000 >= at_s;
}

static int
compare_lines (const void *a, const void *b)
{
	const struct line *left = a;
	const struct line *right = b;
	if (left->time_s != right->time_s)
		return left->time_s < right->time_s ? -1 : 1;
	return left->file - right->file;
}

/** The time range of the request's own lines. */
struct span {
	double first_s;
	double last_s;
	int file; /* the log file with the last of these lines */
};

static bool
is_relevant (const struct trace *trace, size_t index, const struct span *span)
{
	const struct line *line = &trace->lines[index];
	if (line->of_request)
		return true;
	if (!is_context (line->event) || line->file != span->file ||
		line->time_s > span->last_s + CONTEXT_AFTER_S)
		return false;
	bool old = line->time_s < span->first_s - CONTEXT_BEFORE_S;
	if (line->event == EVENT_TARGET_STATE)
		return is_target_of_request (trace, line) &&
		       !(old && is_superseded (trace, index, span->first_s));
	if (line->event == EVENT_TARGET_SUSPECT)
		return !old && is_target_of_request (trace, line);
	if (is_announcement (line))
		return is_target_of_request (trace, line) &&
		       (!old || is_in_force (line, span->first_s));
	return !old;
}

static void
print_trace (struct trace *trace)
{
	struct span span = {0};
	bool found = false;
	for (size_t i = 0; i < trace->count; i++) {
		const struct line *line = &trace->lines[i];
		if (!line->of_request)
			continue;
		record_name (trace, line);
		if (!found)
			span.first_s = line->time_s;
		found = true;
		span.last_s = line->time_s;
		span.file = line->file;
	}
	for (size_t i = 0; i < trace->count; i++) {
		const struct line *line = &trace->lines[i];
		if (is_relevant (trace, i, &span))
			printf ("%+10.3f s  %c %-22s %s: %s\n", line->time_s - span.first_s,
				line->of_request ? '*' : ' ', line->name, trace->files[line->file],
				line->detail);
	}
}

int
explain_request (const char *id, const char *const *files, int count)
{
	struct trace trace = {.id = id, .files = files, .file_count = count};
	int result = EXIT_SUCCESS;
	size_t own_lines = 0;
	for (int i = 0; i < count && result == EXIT_SUCCESS; i++)
		result = read_file (&trace, i) ? EXIT_SUCCESS : EXPLAIN_NO_FILE;
	for (size_t i = 0; i < trace.count; i++)
		own_lines += trace.lines[i].of_request;
	if (result == EXIT_SUCCESS && own_lines == 0) {
		printf ("%s: no line in these logs: the request was answered in full within its "
			"latency objective, was received by another node, or its lines were "
			"suppressed (see left_out)\n",
			id);
		result = EXPLAIN_NOT_FOUND;
	} else if (result == EXIT_SUCCESS) {
		qsort (trace.lines, trace.count, sizeof (*trace.lines), compare_lines);
		print_trace (&trace);
	}
	for (size_t i = 0; i < trace.count; i++)
		json_decref (trace.lines[i].json);
	free (trace.lines);
	return result;
}
