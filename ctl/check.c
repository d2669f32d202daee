#include "ctl/check.h"

#include "core/buf.h"
#include "platform/check.h"
#include "platform/compare.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const level_names[] = {"error", "warning"};
static const char *const change_names[] = {"added", "removed", "changed"};
static const char change_signs[] = {'+', '-', '~'};

static bool
read_file (const char *path, struct buf *text)
{
	char part[65536];
	size_t n = 0;
	FILE *file = fopen (path, "re");
	buf_init (text);
	while (file && (n = fread (part, 1, sizeof (part), file)) > 0)
		buf_add (text, part, n);
	bool ok = file && !ferror (file);
	if (!ok)
		fprintf (stderr, "oleanderctl: %s: %s\n", path, strerror (errno));
	if (file)
		fclose (file);
	return ok;
}

static json_t *
findings_document (const struct findings *findings)
{
	json_t *array = json_array ();
	for (int i = 0; i < findings->count; i++) {
		const struct finding *item = &findings->items[i];
		json_array_append_new (array,
			json_pack ("{s:s,s:s,s:s,s:s}", "level", level_names[item->level], "place",
				item->place, "field", item->field, "text", item->text));
	}
	return array;
}

static json_t *
changes_document (const struct changes *changes)
{
	json_t *array = json_array ();
	for (int i = 0; i < changes->count; i++) {
		const struct change *item = &changes->items[i];
		json_array_append_new (
			array, json_pack ("{s:s,s:s,s:s,s:s,s:s}", "kind", change_names[item->kind],
				       "place", item->place, "field", item->field, "from",
				       item->from, "to", item->to));
	}
	return array;
}

static void
print_document (const char *path, const struct checked *checked, const struct findings *findings,
	const struct changes *changes)
{
	json_t *document = json_pack ("{s:s,s:b,s:o}", "file", path, "accepted",
		checked->routing != NULL, "findings", findings_document (findings));
	if (checked->routing)
		json_object_set_new (
			document, "version", json_integer ((json_int_t)checked->routing->version));
	if (changes)
		json_object_set_new (document, "changes", changes_document (changes));
	char *text = json_dumps (document, JSON_INDENT (2) | JSON_SORT_KEYS);
	printf ("%s\n", text);
	free (text);
	json_decref (document);
}

static void
print_change (const struct change *change)
{
	printf ("%c %s", change_signs[change->kind], change->place);
	if (change->field[0])
		printf (" %s", change->field);
	if (change->from[0] && change->to[0])
		printf (": %s -> %s", change->from, change->to);
	else if (change->from[0] || change->to[0])
		printf (": %s%s", change->from, change->to);
	printf ("\n");
}

static void
print_text (const char *path, const struct checked *checked, const struct findings *findings,
	const char *against, const struct changes *changes)
{
	for (int i = 0; i < findings->count; i++) {
		const struct finding *item = &findings->items[i];
		printf ("%s: %s%s%s: %s\n", level_names[item->level], item->place,
			item->field[0] ? ": " : "", item->field, item->text);
	}
	if (changes)
		printf ("%d differences from %s\n", changes->count, against);
	for (int i = 0; changes && i < changes->count; i++)
		print_change (&changes->items[i]);
	if (checked->routing)
		printf ("%s: version %" PRIu64 ", %d routes, %d services; ", path,
			checked->routing->version, checked->routing->rule_count,
			checked->routing->service_count);
	else
		printf ("%s: refused; ", path);
	printf ("%d errors, %d warnings\n", findings->errors, findings->count - findings->errors);
}

static uint64_t
version_of (const json_t *root)
{
	return (uint64_t)json_integer_value (json_object_get (root, "version"));
}

static int
exit_code (const struct findings *findings)
{
	if (findings->errors > 0)
		return CHECK_EXIT_REFUSED;
	return findings->count > 0 ? CHECK_EXIT_WARNINGS : 0;
}

static int
check_against (const char *path, const char *against, const struct checked *checked,
	struct findings *findings, bool as_json)
{
	struct buf text;
	struct changes changes = {0};
	bool is_read = read_file (against, &text);
	json_t *from = is_read ? json_loadb (text.len ? text.data : "", text.len, 0, NULL) : NULL;
	buf_finish (&text);
	if (is_read && !json_is_object (from))
		fprintf (stderr, "oleanderctl: %s is no manifest\n", against);
	if (!json_is_object (from)) {
		json_decref (from);
		return CHECK_EXIT_UNREADABLE;
	}
	changes_init (&changes, from, checked->root);
	if (changes.count > 0 && checked->routing &&
		version_of (checked->root) <= version_of (from))
		findings_add (findings, FINDING_WARNING, "manifest", "version",
			"is not above that of %s (%" PRIu64
			"): if that is in force, this manifest has no effect",
			against, version_of (from));
	if (as_json)
		print_document (path, checked, findings, &changes);
	else
		print_text (path, checked, findings, against, &changes);
	changes_finish (&changes);
	json_decref (from);
	return exit_code (findings);
}

int
check_file (const char *path, const char *against, bool as_json)
{
	struct buf text;
	struct findings findings;
	int result = CHECK_EXIT_UNREADABLE;
	if (!read_file (path, &text)) {
		buf_finish (&text);
		return result;
	}
	findings_init (&findings);
	struct checked checked = check_manifest (text.len ? text.data : "", text.len, &findings);
	if (against) {
		result = check_against (path, against, &checked, &findings, as_json);
	} else {
		if (as_json)
			print_document (path, &checked, &findings, NULL);
		else
			print_text (path, &checked, &findings, NULL, NULL);
		result = exit_code (&findings);
	}
	checked_finish (&checked);
	findings_finish (&findings);
	buf_finish (&text);
	return result;
}
