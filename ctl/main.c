/**
 * @file main.c
 * oleanderctl, the operators' command-line client of the resource API. It also explains requests
 * from log files and checks settings files, both without a node.
 */
#include "control/resources.h"
#include "ctl/accounts.h"
#include "ctl/check.h"
#include "ctl/client.h"
#include "ctl/explain.h"
#include "ctl/rollout.h"
#include "ctl/table.h"
#include "options/options.h"

#include <argp.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "oleanderctl 0.1.0";

/** Exit codes, listed in --help; scripts rely on them. */
enum {
	EXIT_USAGE = 2,
	EXIT_CONFLICT = 3,
	EXIT_UNAVAILABLE = 4,
	EXIT_NOT_FOUND = 5,
	EXIT_REFUSED = 6,
	EXIT_WARNINGS = CHECK_EXIT_WARNINGS,
};

enum {
	MAX_ARGUMENTS = 256,
	WATCH_WAIT_MS = 20000,
	LEAVE_MAX_ATTEMPTS = 5,
	OPTION_COUNT = 256, /* keys of options without a short form */
	OPTION_AGAINST,
	OPTION_FORMAT,
};

struct arguments {
	const char *nodes;
	const char *key;
	const char *file;
	const char *against;
	bool json;
	long count;                       /* 0: unlimited */
	const char *words[MAX_ARGUMENTS]; /* the command and its arguments */
	int word_count;
};

static const struct argp_option options_table[] = {
	{"nodes", 'n', "ADDRESS,...", 0,
		"Operator addresses of the nodes (or set OLEANDERSTILE_NODES)", 0},
	{"key", 'k', "KEY", 0, "Shared key (or set OLEANDERSTILE_KEY)", 0},
	{"file", 'f', "FILE", 0, "Resource documents for apply: one JSON object or an array", 0},
	{"json", 'j', NULL, 0, "Print JSON instead of a table", 0},
	{"against", OPTION_AGAINST, "FILE", 0, "Manifest to compare with in check", 0},
	{"format", OPTION_FORMAT, "FORMAT", 0, "text or json; json is the same as --json", 0},
	{"count", OPTION_COUNT, "N", 0, "End watch after N changes", 0},
	{0},
};

static error_t
parse_argument (int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;
	switch (key) {
	case 'n':
		arguments->nodes = arg;
		return 0;
	case 'k':
		arguments->key = arg;
		return 0;
	case 'f':
		arguments->file = arg;
		return 0;
	case 'j':
		arguments->json = true;
		return 0;
	case OPTION_AGAINST:
		arguments->against = arg;
		return 0;
	case OPTION_FORMAT:
		arguments->json = strcmp (arg, "json") == 0;
		if (!arguments->json && strcmp (arg, "text") != 0)
			argp_error (state, "--format is text or json");
		return 0;
	case OPTION_COUNT:
		arguments->count = strtol (arg, NULL, 10);
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->word_count == MAX_ARGUMENTS)
			argp_usage (state);
		arguments->words[arguments->word_count++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (arguments->word_count == 0)
			argp_usage (state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {options_table, parse_argument,
	"apply -f FILE\nget KIND NAME\nlist KIND\ndelete KIND NAME\nwatch [REVISION]\n"
	"leave KIND NAME [UNIX-TIME]\nreturn KIND NAME\nstatus\ndump\naccounts\n"
	"rollout start SERVICE VERSION SECONDS\nrollout show SERVICE\nexplain ID LOGFILE...\n"
	"check FILE [--against FILE]\ncheck-config FILE\nversion",
	"Declares resources and shows their state and changes.\v"
	"Exit codes: 0 success, 2 usage error, 3 conflict, 4 not confirmed by any node, 5 not "
	"found, 6 refused, 7 accepted with warnings (check).",
	NULL, NULL, NULL};

static int
print_error (const struct error *error, long status)
{
	fprintf (stderr, "oleanderctl: %s\n", error->message);
	if (status == 409)
		return EXIT_CONFLICT;
	if (status == 0 || status == 503)
		return EXIT_UNAVAILABLE;
	if (status == 404 || error->kind == ERROR_NOT_FOUND)
		return EXIT_NOT_FOUND;
	return EXIT_REFUSED;
}

static int
print_get_error (const struct error *error)
{
	switch (error->kind) {
	case ERROR_UNAVAILABLE:
		return print_error (error, 0);
	case ERROR_NOT_FOUND:
		return print_error (error, 404);
	default:
		return print_error (error, 400);
	}
}

static void
print_json (const json_t *document)
{
	char *text = json_dumps (document, JSON_INDENT (2) | JSON_SORT_KEYS);
	printf ("%s\n", text);
	free (text);
}

static json_t *
get_resource (struct client *client, const char *kind, const char *name, struct error *error)
{
	char path[256];
	snprintf (path, sizeof (path), "/v1/resources/%s/%s", kind, name);
	return client_get (client, path, error);
}

static json_int_t
version_of (const json_t *resource)
{
	return json_integer_value (json_object_get (resource, "version"));
}

/* Sends a change and prints the result. */
static int
send_change (
	struct client *client, const char *method, const char *kind, const char *name, json_t *body)
{
	struct error error = {0};
	struct buf reply;
	buf_init (&reply);
	long status = client_change (client, method, kind, name, body, &reply, &error);
	int result = EXIT_SUCCESS;
	if (status == 200)
		printf ("%s/%s %s\n", kind, name, reply.data);
	else
		result = print_error (&error, status);
	buf_finish (&reply);
	return result;
}

/* A document without a version applies to the current version; one with a version must match it. */
static int
apply_document (struct client *client, const json_t *document)
{
	const char *kind = json_string_value (json_object_get (document, "kind"));
	const char *name = json_string_value (json_object_get (document, "name"));
	json_t *spec = json_object_get (document, "spec");
	const json_t *version = json_object_get (document, "version");
	struct error error = {0};
	if (!kind || !name || !spec || resource_kind_parse (kind) < 0) {
		fprintf (stderr, "oleanderctl: each document needs kind, name and spec\n");
		return EXIT_USAGE;
	}
	if (!resource_validate ((enum resource_kind)resource_kind_parse (kind), spec, &error)) {
		fprintf (stderr, "oleanderctl: %s/%s: %s\n", kind, name, error.message);
		return EXIT_REFUSED;
	}
	json_t *current = version ? NULL : get_resource (client, kind, name, &error);
	if (!version && !current && error.kind != ERROR_NOT_FOUND)
		return print_get_error (&error);
	json_int_t expected_version = version ? json_integer_value (version) : version_of (current);
	bool unchanged = current && json_equal (json_object_get (current, "spec"), spec);
	json_decref (current);
	if (unchanged) {
		printf ("%s/%s unchanged\n", kind, name);
		return EXIT_SUCCESS;
	}
	json_t *body = json_pack ("{s:I,s:O}", "version", expected_version, "spec", spec);
	int result = send_change (client, "PUT", kind, name, body);
	json_decref (body);
	return result;
}

static int
run_apply (struct client *client, const struct arguments *arguments)
{
	json_error_t parse_error;
	int result = EXIT_SUCCESS;
	if (!arguments->file) {
		fprintf (stderr, "oleanderctl: apply needs -f FILE\n");
		return EXIT_USAGE;
	}
	json_t *documents = json_load_file (arguments->file, 0, &parse_error);
	if (!documents) {
		fprintf (stderr, "oleanderctl: %s:%d: %s; correct the JSON\n", arguments->file,
			parse_error.line, parse_error.text);
		return EXIT_USAGE;
	}
	if (!json_is_array (documents))
		return apply_document (client, documents);
	for (size_t i = 0; i < json_array_size (documents) && result == EXIT_SUCCESS; i++)
		result = apply_document (client, json_array_get (documents, i));
	json_decref (documents);
	return result;
}

static int
run_get (struct client *client, const struct arguments *arguments)
{
	struct error error = {0};
	json_t *resource = get_resource (client, arguments->words[1], arguments->words[2], &error);
	if (!resource)
		return print_get_error (&error);
	print_json (resource);
	json_decref (resource);
	return EXIT_SUCCESS;
}

static void
print_list (const json_t *items)
{
	struct table table;
	table_init (&table, 5);
	table_add_row (&table);
	table_set_cell (&table, 0, "NAME");
	table_set_cell (&table, 1, "VERSION");
	table_set_cell (&table, 2, "LEAVING");
	table_set_cell (&table, 3, "IN FORCE");
	table_set_cell (&table, 4, "WORK LEFT");
	for (size_t i = 0; i < json_array_size (items); i++) {
		const json_t *item = json_array_get (items, i);
		const json_t *spec = json_object_get (item, "spec");
		const json_t *status = json_object_get (item, "status");
		const json_t *work = json_object_get (status, "leaving_work");
		table_add_row (&table);
		table_set_cell (
			&table, 0, "%s", json_string_value (json_object_get (item, "name")));
		table_set_cell (&table, 1, "%" JSON_INTEGER_FORMAT, version_of (item));
		table_set_cell (&table, 2, "%s",
			json_is_true (json_object_get (spec, "leaving")) ? "yes" : "no");
		table_set_cell (&table, 3, "%s",
			json_is_true (json_object_get (status, "in_force")) ? "yes" : "not yet");
		if (work)
			table_set_cell (
				&table, 4, "%" JSON_INTEGER_FORMAT, json_integer_value (work));
	}
	table_print (&table);
	table_finish (&table);
}

static int
run_list (struct client *client, const struct arguments *arguments)
{
	struct error error = {0};
	char path[128];
	snprintf (path, sizeof (path), "/v1/resources/%s", arguments->words[1]);
	json_t *list = client_get (client, path, &error);
	if (!list)
		return print_get_error (&error);
	if (arguments->json)
		print_json (list);
	else
		print_list (json_object_get (list, "items"));
	json_decref (list);
	return EXIT_SUCCESS;
}

static int
run_delete (struct client *client, const struct arguments *arguments)
{
	struct error error = {0};
	const char *kind = arguments->words[1];
	const char *name = arguments->words[2];
	json_t *current = get_resource (client, kind, name, &error);
	if (!current)
		return print_get_error (&error);
	json_t *body = json_pack ("{s:I}", "version", version_of (current));
	int result = send_change (client, "DELETE", kind, name, body);
	json_decref (body);
	json_decref (current);
	return result;
}

/* Marks a resource as leaving, at once or by the given time, or clears the mark. */
static int
set_leaving (struct client *client, const struct arguments *arguments, bool leaving)
{
	struct error error = {0};
	const char *kind = arguments->words[1];
	const char *name = arguments->words[2];
	json_t *current = get_resource (client, kind, name, &error);
	if (!current)
		return print_get_error (&error);
	json_t *spec = json_object_get (current, "spec");
	json_object_del (spec, "leave_by");
	json_object_del (spec, "leaving");
	if (leaving && arguments->word_count > 3)
		json_object_set_new (
			spec, "leave_by", json_integer (strtoll (arguments->words[3], NULL, 10)));
	else if (leaving)
		json_object_set_new (spec, "leaving", json_true ());
	json_t *body = json_pack ("{s:I,s:O}", "version", version_of (current), "spec", spec);
	int result = send_change (client, "PUT", kind, name, body);
	json_decref (body);
	json_decref (current);
	return result;
}

/*
 * The change does not depend on the current version, so after a version conflict the resource is
 * read again and the change is retried.
 */
static int
run_leave (struct client *client, const struct arguments *arguments, bool leaving)
{
	int result = EXIT_CONFLICT;
	for (int i = 0; i < LEAVE_MAX_ATTEMPTS && result == EXIT_CONFLICT; i++)
		result = set_leaving (client, arguments, leaving);
	return result;
}

static void
print_list_age (const json_t *list)
{
	json_int_t age_ms = json_integer_value (json_object_get (list, "age_ms"));
	if (!list)
		return;
	if (age_ms < 0)
		printf ("target list: none");
	else
		printf ("target list: read %" JSON_INTEGER_FORMAT " ms ago", age_ms);
	printf (", failed reads: %" JSON_INTEGER_FORMAT "\n",
		json_integer_value (json_object_get (list, "failed_reads")));
}

static void
print_status (const json_t *status)
{
	const json_t *members = json_object_get (status, "members");
	struct table table;
	printf ("node %s: lease %" JSON_INTEGER_FORMAT " ms, revision %" JSON_INTEGER_FORMAT
		", in force on all nodes up to revision %" JSON_INTEGER_FORMAT
		", nodes with a lease: %" JSON_INTEGER_FORMAT
		", sub-requests in flight at leaving targets: %" JSON_INTEGER_FORMAT "\n",
		json_string_value (json_object_get (status, "node")),
		json_integer_value (json_object_get (status, "lease_ms")),
		json_integer_value (json_object_get (status, "revision")),
		json_integer_value (json_object_get (status, "in_force")),
		json_integer_value (json_object_get (status, "nodes")),
		json_integer_value (json_object_get (status, "leaving_work")));
	print_list_age (json_object_get (status, "list"));
	table_init (&table, 4);
	table_add_row (&table);
	table_set_cell (&table, 0, "MEMBER");
	table_set_cell (&table, 1, "DATA CENTRE");
	table_set_cell (&table, 2, "ADDRESS");
	table_set_cell (&table, 3, "LEAVING");
	for (size_t i = 0; i < json_array_size (members); i++) {
		const json_t *member = json_array_get (members, i);
		static const char *const fields[] = {"name", "data_centre", "address"};
		table_add_row (&table);
		for (int j = 0; j < 3; j++)
			table_set_cell (&table, j, "%s",
				json_string_value (json_object_get (member, fields[j])));
		table_set_cell (&table, 3, "%s",
			json_is_true (json_object_get (member, "leaving")) ? "yes" : "no");
	}
	table_print (&table);
	table_finish (&table);
}

static int
run_print_document (struct client *client, const struct arguments *arguments, const char *path)
{
	struct error error = {0};
	json_t *document = client_get (client, path, &error);
	if (!document)
		return print_get_error (&error);
	if (strcmp (path, "/v1/status") != 0 || arguments->json) {
		print_json (document);
	} else {
		print_status (document);
		const struct arguments list = {.words = {"list", "DataCentre"}, .word_count = 2};
		run_list (client, &list);
	}
	json_decref (document);
	return EXIT_SUCCESS;
}

static int
run_accounts (struct client *client, const struct arguments *arguments)
{
	struct error error = {0};
	json_t *dump = client_get (client, "/v1/dump", &error);
	if (!dump)
		return print_get_error (&error);
	bool found = accounts_print (dump, arguments->json);
	json_decref (dump);
	if (found)
		return EXIT_SUCCESS;
	fprintf (stderr, "oleanderctl: the node serves no declared routes; ask an entry node\n");
	return EXIT_NOT_FOUND;
}

static int
run_watch (struct client *client, const struct arguments *arguments)
{
	struct error error = {0};
	char path[128];
	long printed = 0;
	json_int_t from_revision =
		arguments->word_count > 1 ? strtoll (arguments->words[1], NULL, 10) : 0;
	while (arguments->count == 0 || printed < arguments->count) {
		snprintf (path, sizeof (path), "/v1/watch?from=%" JSON_INTEGER_FORMAT "&wait_ms=%d",
			from_revision, WATCH_WAIT_MS);
		json_t *reply = client_get (client, path, &error);
		if (!reply)
			return print_get_error (&error);
		const json_t *changes = json_object_get (reply, "changes");
		for (size_t i = 0; i < json_array_size (changes); i++) {
			char *text = json_dumps (json_array_get (changes, i), JSON_COMPACT);
			printf ("%s\n", text);
			free (text);
			printed++;
		}
		fflush (stdout);
		from_revision = json_integer_value (json_object_get (reply, "revision"));
		json_decref (reply);
	}
	return EXIT_SUCCESS;
}

static int
run_check_config (const struct arguments *arguments)
{
	struct options options;
	struct error error = {0};
	if (options_load (&options, arguments->words[1], &error)) {
		printf ("%s: no errors\n", arguments->words[1]);
		if (!options.replaced[0])
			return EXIT_SUCCESS;
		printf ("replaced, since out of range: %s\n", options.replaced);
		return EXIT_WARNINGS;
	}
	fprintf (stderr, "%s\n", error.message);
	return EXIT_REFUSED;
}

static int
run_rollout (struct client *client, const struct arguments *arguments)
{
	struct error error = {0};
	bool starts = strcmp (arguments->words[1], "start") == 0 && arguments->word_count == 5;
	bool shows = strcmp (arguments->words[1], "show") == 0 && arguments->word_count == 3;
	long duration_s = starts ? strtol (arguments->words[4], NULL, 10) : 1;
	if ((!starts && !shows) || duration_s <= 0) {
		fprintf (stderr, "oleanderctl: rollout start SERVICE VERSION SECONDS, or rollout "
				 "show SERVICE\n");
		return EXIT_USAGE;
	}
	long status = starts ? rollout_start (client, arguments->words[2], arguments->words[3],
				       duration_s, &error)
			     : rollout_show (client, arguments->words[2], &error);
	return status == 200 ? EXIT_SUCCESS : print_error (&error, status);
}

static int
run_command (struct client *client, const struct arguments *arguments)
{
	const char *command = arguments->words[0];
	int count = arguments->word_count;
	if (strcmp (command, "apply") == 0)
		return run_apply (client, arguments);
	if (strcmp (command, "get") == 0 && count == 3)
		return run_get (client, arguments);
	if (strcmp (command, "list") == 0 && count == 2)
		return run_list (client, arguments);
	if (strcmp (command, "delete") == 0 && count == 3)
		return run_delete (client, arguments);
	if (strcmp (command, "leave") == 0 && (count == 3 || count == 4))
		return run_leave (client, arguments, true);
	if (strcmp (command, "return") == 0 && count == 3)
		return run_leave (client, arguments, false);
	if (strcmp (command, "watch") == 0)
		return run_watch (client, arguments);
	if (strcmp (command, "rollout") == 0 && count > 2)
		return run_rollout (client, arguments);
	if (strcmp (command, "status") == 0)
		return run_print_document (client, arguments, "/v1/status");
	if (strcmp (command, "dump") == 0)
		return run_print_document (client, arguments, "/v1/dump");
	if (strcmp (command, "accounts") == 0 && count == 1)
		return run_accounts (client, arguments);
	fprintf (stderr, "oleanderctl: unknown command, or wrong argument count; see --help\n");
	return EXIT_USAGE;
}

int
main (int argc, char **argv)
{
	struct arguments arguments = {
		.nodes = getenv ("OLEANDERSTILE_NODES"), .key = getenv ("OLEANDERSTILE_KEY")};
	struct client client;
	struct error error = {0};
	argp_parse (&argp, argc, argv, 0, NULL, &arguments);
	if (strcmp (arguments.words[0], "version") == 0) {
		printf ("%s\n", argp_program_version);
		return EXIT_SUCCESS;
	}
	if (strcmp (arguments.words[0], "check-config") == 0 && arguments.word_count == 2)
		return run_check_config (&arguments);
	if (strcmp (arguments.words[0], "check") == 0 && arguments.word_count == 2)
		return check_file (arguments.words[1], arguments.against, arguments.json);
	if (strcmp (arguments.words[0], "explain") == 0 && arguments.word_count > 2)
		return explain_request (
			arguments.words[1], &arguments.words[2], arguments.word_count - 2);
	if (!client_init (&client, arguments.nodes ? arguments.nodes : "",
		    arguments.key ? arguments.key : "", &error)) {
		fprintf (stderr, "oleanderctl: %s\n", error.message);
		return EXIT_USAGE;
	}
	curl_global_init (CURL_GLOBAL_DEFAULT);
	int result = run_command (&client, &arguments);
	curl_global_cleanup ();
	return result;
}
