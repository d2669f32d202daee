#include "daemon/operators.h"

#include "core/metrics.h"
#include "daemon/control.h"
#include "daemon/front_dump.h"
#include "daemon/monitoring.h"
#include "daemon/worker.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	OPERATOR_THREADS = 8,
	MAX_SEGMENTS = 5,
	DOCUMENT_MAX_BYTES = 1048576,
	WATCH_MAX_MS = 30000,
	POLL_INTERVAL_MS = 20,
	APPLY_TIMEOUT_MS = 1000,
};

/** Parameters and result of a read that runs on the control thread. */
struct read_call {
	enum resource_kind kind;
	const char *name;       /**< NULL lists the kind */
	uint64_t from_revision; /**< watch: changes after this revision */
	struct buf out;
	bool found; /**< the resource, or at least one change */
	bool stale; /**< watch: the changes asked for are no longer kept */
};

static void
write_resource (struct buf *out, const struct resource *item, const struct follower *follower)
{
	char name[TEXT_ESCAPED_SIZE];
	bool in_force = follower->in_force >= item->version;
	buf_addf (out,
		"{\"kind\":\"%s\",\"name\":\"%s\",\"version\":%" PRIu64
		",\"spec\":%s,\"status\":{\"in_force\":%s",
		resource_kind_name (item->kind), text_escape (item->name, name), item->version,
		item->spec, in_force ? "true" : "false");
	if (strstr (item->spec, "\"leaving\":true"))
		buf_addf (out, ",\"leaving_work\":%u,\"empty\":%s", follower->total_leaving_work,
			in_force && follower->total_leaving_work == 0 ? "true" : "false");
	buf_addf (out, ",\"nodes\":%d}}", follower->node_count);
}

static void
read_resources (struct control *control, void *arg)
{
	struct read_call *call = arg;
	const struct resources *resources = &control->follower.state.resources;
	if (call->name) {
		const struct resource *item = resources_find (resources, call->kind, call->name);
		call->found = item != NULL;
		if (item)
			write_resource (&call->out, item, &control->follower);
		return;
	}
	call->found = true;
	buf_addf (&call->out, "{\"revision\":%" PRIu64 ",\"items\":[",
		control->follower.state.applied);
	int count = 0;
	for (size_t i = 0; i < resources->count; i++) {
		if (resources->items[i]->kind != call->kind)
			continue;
		buf_addf (&call->out, "%s", count++ ? "," : "");
		write_resource (&call->out, resources->items[i], &control->follower);
	}
	buf_addf (&call->out, "]}");
}

static void
write_change (struct read_call *call, const struct resources *resources, uint64_t index,
	const struct change *change)
{
	const struct resource *item = resources_find (resources, change->kind, change->name);
	char name[TEXT_ESCAPED_SIZE];
	buf_addf (&call->out,
		"%s{\"revision\":%" PRIu64 ",\"kind\":\"%s\",\"name\":\"%s\",\"removed\":%s"
		",\"spec\":%s}",
		call->found ? "," : "", index, resource_kind_name (change->kind),
		text_escape (change->name, name), change->remove ? "true" : "false",
		item && !change->remove ? item->spec : "null");
	call->found = true;
}

static void
read_changes (struct control *control, void *arg)
{
	struct read_call *call = arg;
	const struct follower *follower = &control->follower;
	const struct history_command *item = NULL;
	int64_t position = history_first (&follower->history, call->from_revision);
	call->stale = position < 0;
	buf_reset (&call->out);
	buf_addf (&call->out, "{\"changes\":[");
	while (position >= 0 && (item = history_at (&follower->history, position++))) {
		struct command command;
		if (item->len == 0)
			continue;
		void *storage = command_decode (&command, item->data, item->len);
		if (storage && command.kind == COMMAND_CHANGE)
			write_change (
				call, &follower->state.resources, item->index, &command.u.change);
		command_decode_finish (storage);
	}
	buf_addf (&call->out, "],\"revision\":%" PRIu64 "}", follower->state.applied);
}

static void
send_error (struct mg_connection *connection, enum error_kind kind, const char *message)
{
	struct error error = {0};
	error_set (&error, kind, "%s", message);
	http_send_error (connection, &error);
}

static void
get_resource (struct node *node, struct mg_connection *connection, enum resource_kind kind,
	const char *name)
{
	struct read_call call = {.kind = kind, .name = name};
	buf_init (&call.out);
	control_call (node->control, read_resources, &call);
	if (call.found)
		http_send_json (connection, 200, call.out.data, call.out.len);
	else
		send_error (connection, ERROR_NOT_FOUND,
			"no such resource; list them with oleanderctl list KIND");
	buf_finish (&call.out);
}

static void
send_conflict (struct node *node, struct mg_connection *connection, const struct change *change,
	uint64_t version)
{
	struct read_call call = {.kind = change->kind, .name = change->name};
	buf_init (&call.out);
	control_call (node->control, read_resources, &call);
	struct buf out;
	buf_init (&out);
	buf_addf (&out,
		"{\"error\":{\"kind\":\"conflict\",\"message\":\"the resource has version %" PRIu64
		"; read it again and apply the change to "
		"that\"},\"ran\":\"no\",\"version\":%" PRIu64 ",\"current\":%s}",
		version, version, call.found ? call.out.data : "null");
	http_send_json (connection, 409, out.data, out.len);
	buf_finish (&out);
	buf_finish (&call.out);
}

static void
send_change_result (struct node *node, struct mg_connection *connection,
	const struct change *change, const struct change_result *result)
{
	struct buf out;
	switch (result->kind) {
	case ERROR_NONE:
		buf_init (&out);
		buf_addf (&out, "{\"accepted\":true,\"version\":%" PRIu64 "}", result->version);
		http_send_json (connection, 200, out.data, out.len);
		buf_finish (&out);
		return;
	case ERROR_CONFLICT:
		send_conflict (node, connection, change, result->version);
		return;
	case ERROR_KEY_REUSED:
		send_error (connection, ERROR_KEY_REUSED,
			"the change id was used for another change; use a new one");
		return;
	default:
		send_error (connection, ERROR_NOT_FOUND, "no such resource; nothing was removed");
		return;
	}
}

struct applied_call {
	uint64_t version;
	bool applied;
};

static void
read_applied (struct control *control, void *arg)
{
	struct applied_call *call = arg;
	call->applied = control->follower.state.applied >= call->version;
	if (!call->applied)
		follower_poll_soon (&control->follower, clock_now_us (&control->node->clock));
}

/* Waits until this node has applied a change, so that the operator's next read here shows it. */
static void
wait_until_applied (struct node *node, uint64_t version)
{
	struct timespec interval = {.tv_nsec = POLL_INTERVAL_MS * 1000000L};
	struct applied_call call = {.version = version};
	for (int waited_ms = 0; waited_ms < APPLY_TIMEOUT_MS; waited_ms += POLL_INTERVAL_MS) {
		control_call (node->control, read_applied, &call);
		if (call.applied)
			return;
		nanosleep (&interval, NULL);
	}
}

static bool
parse_change (const json_t *body, struct change *change, struct error *error)
{
	const char *id = json_string_value (json_object_get (body, "change_id"));
	const json_t *version = json_object_get (body, "version");
	if (!id || !resource_name_valid (id))
		return error_set (error, ERROR_INVALID,
			"change_id is missing or malformed; give 1 to 63 of [A-Za-z0-9._-]");
	if (!json_is_integer (version) || json_integer_value (version) < 0)
		return error_set (error, ERROR_INVALID,
			"version is missing; give the version read before, or 0 for a new "
			"resource");
	str_copy (change->id, sizeof (change->id), id);
	change->expected_version = (uint64_t)json_integer_value (version);
	if (change->remove)
		return true;
	return resource_validate (change->kind, json_object_get (body, "spec"), error);
}

static void
put_resource (struct node *node, struct mg_connection *connection, enum resource_kind kind,
	const char *name, bool remove)
{
	struct error error = {0};
	struct command command = {.kind = COMMAND_CHANGE};
	struct change *change = &command.u.change;
	struct propose_reply reply = {0};
	struct buf body;
	change->kind = kind;
	change->remove = remove;
	str_copy (change->name, sizeof (change->name), name);
	buf_init (&body);
	bool ok = http_read_body (connection, DOCUMENT_MAX_BYTES, &body, &error);
	json_t *document = ok ? json_loadb (body.data, body.len, 0, NULL) : NULL;
	if (ok && !document)
		ok = error_set (&error, ERROR_INVALID, "the body is not JSON; correct it");
	ok = ok && parse_change (document, change, &error);
	char *spec = ok && !remove ? json_dumps (json_object_get (document, "spec"),
					     JSON_COMPACT | JSON_SORT_KEYS)
				   : NULL;
	change->spec = spec;
	ok = ok && control_change (node->control, &command, &reply, &error);
	if (ok && reply.result.change.kind == ERROR_NONE)
		wait_until_applied (node, reply.result.change.version);
	if (ok)
		send_change_result (node, connection, change, &reply.result.change);
	else
		http_send_error (connection, &error);
	free (spec);
	json_decref (document);
	buf_finish (&body);
}

static int
handle_resources (struct mg_connection *connection, void *user)
{
	struct node *node = user;
	char segments[MAX_SEGMENTS][64];
	const char *method = mg_get_request_info (connection)->request_method;
	int count = http_split_path (connection, segments, MAX_SEGMENTS);
	int kind = count >= 3 ? resource_kind_parse (segments[2]) : -1;
	if (kind < 0 || count > 4 || (count == 4 && !resource_name_valid (segments[3]))) {
		send_error (connection, ERROR_NOT_FOUND,
			"no such kind or name; kinds are DataCentre, VM, Collection, Service, "
			"Target");
		return 1;
	}
	const char *name = count == 4 ? segments[3] : NULL;
	if (strcmp (method, "GET") == 0)
		get_resource (node, connection, (enum resource_kind)kind, name);
	else if (name && strcmp (method, "PUT") == 0)
		put_resource (node, connection, (enum resource_kind)kind, name, false);
	else if (name && strcmp (method, "DELETE") == 0)
		put_resource (node, connection, (enum resource_kind)kind, name, true);
	else
		send_error (connection, ERROR_INVALID, "use GET, PUT or DELETE");
	return 1;
}

static long
query_number (const struct mg_connection *connection, const char *name, long default_value)
{
	char text[32];
	const char *query = mg_get_request_info (connection)->query_string;
	if (!query || mg_get_var (query, strlen (query), name, text, sizeof (text)) <= 0)
		return default_value;
	return strtol (text, NULL, 10);
}

static int
handle_watch (struct mg_connection *connection, void *user)
{
	struct node *node = user;
	struct read_call call = {.from_revision = (uint64_t)query_number (connection, "from", 0)};
	long left_ms = query_number (connection, "wait_ms", 0);
	struct timespec interval = {.tv_nsec = POLL_INTERVAL_MS * 1000000L};
	buf_init (&call.out);
	if (left_ms > WATCH_MAX_MS)
		left_ms = WATCH_MAX_MS;
	for (;;) {
		control_call (node->control, read_changes, &call);
		if (call.found || call.stale || left_ms <= 0 || atomic_load (&node->stopping))
			break;
		nanosleep (&interval, NULL);
		left_ms -= POLL_INTERVAL_MS;
	}
	if (call.stale)
		send_error (connection, ERROR_CONFLICT,
			"changes since that revision are no longer kept; list the resources and "
			"watch from the list's revision");
	else
		http_send_json (connection, 200, call.out.data, call.out.len);
	buf_finish (&call.out);
	return 1;
}

static void
write_voter (struct buf *out, const struct voter *voter)
{
	const struct raft *raft = &voter->raft;
	static const char *const roles[] = {"follower", "candidate", "leader"};
	buf_addf (out,
		",\"voter\":{\"role\":\"%s\",\"voting\":%s,\"term\":%" PRIu64 ",\"commit\":%" PRIu64
		",\"last\":%" PRIu64 ",\"base\":%" PRIu64 ",\"claims\":%" PRIu64 ",\"voters\":[",
		roles[raft->role], raft_is_voter (raft) ? "true" : "false", raft->term,
		raft->commit, raft_last_index (raft), raft->snapshot_index,
		voter->state.ledger.count);
	char name[TEXT_ESCAPED_SIZE];
	for (int i = 0; i < raft->config.count; i++)
		buf_addf (out, "%s{\"name\":\"%s\",\"address\":\"%s\",\"voter\":%s}", i ? "," : "",
			text_escape (raft->config.nodes[i].name, name),
			raft->config.nodes[i].address,
			raft->config.nodes[i].voter ? "true" : "false");
	buf_addf (out, "]}");
}

static void
write_members (struct buf *out, const struct members *members)
{
	char name[TEXT_ESCAPED_SIZE];
	char data_centre[TEXT_ESCAPED_SIZE];
	buf_addf (out, ",\"members\":[");
	for (size_t i = 0; i < members->count; i++)
		buf_addf (out,
			"%s{\"name\":\"%s\",\"data_centre\":\"%s\",\"address\":\"%s\",\"leaving\":%"
			"s}",
			i ? "," : "", text_escape (members->items[i].name, name),
			text_escape (members->items[i].data_centre, data_centre),
			members->items[i].address, members->items[i].leaving ? "true" : "false");
	buf_addf (out, "]");
}

/* The list in use stays while the platform's cannot be read. */
static void
write_list (struct buf *out, struct node *node)
{
	if (!node->front)
		return;
	int64_t read_us = atomic_load (&node->front->list_read_us);
	int64_t age_us = clock_now_us (&node->clock) - read_us;
	buf_addf (out, ",\"list\":{\"age_ms\":%" PRId64 ",\"failed_reads\":%" PRIu64 "}",
		read_us ? age_us / US_PER_MS : -1, metric_get (METRIC_LIST_FAILURES));
}

static void
write_status (struct control *control, void *arg)
{
	struct buf *out = arg;
	struct node *node = control->node;
	const struct follower *follower = &control->follower;
	int64_t remaining_us = atomic_load (&node->lease_until_us) - clock_now_us (&node->clock);
	buf_addf (out,
		"{\"node\":\"%s\",\"lease_ms\":%" PRId64 ",\"revision\":%" PRIu64
		",\"epoch\":%" PRIu64 ",\"settled\":%" PRIu64 ",\"in_force\":%" PRIu64
		",\"nodes\":%d,\"leaving_work\":%u,\"in_flight\":%d,\"admits\":%lld,\"stopping\":%"
		"s",
		node->options.node_name, remaining_us > 0 ? remaining_us / US_PER_MS : 0,
		follower->state.applied, follower->state.epoch, follower->settled,
		follower->in_force, follower->node_count, follower->total_leaving_work,
		atomic_load (&node->admission.in_flight),
		(long long)atomic_load (&node->admission.limit_milli) / 1000,
		atomic_load (&node->stopping) ? "true" : "false");
	write_members (out, &follower->state.members);
	write_list (out, node);
	if (control->has_voter)
		write_voter (out, &control->voter);
	buf_addf (out, "}");
}

static int
handle_status (struct mg_connection *connection, void *user)
{
	struct node *node = user;
	struct buf out;
	buf_init (&out);
	control_call (node->control, write_status, &out);
	http_send_json (connection, 200, out.data, out.len);
	buf_finish (&out);
	return 1;
}

void
operators_dump (struct node *node, struct buf *out)
{
	buf_addf (out, "{\"status\":");
	control_call (node->control, write_status, out);
	buf_addf (out, ",\"targets\":[");
	struct buf targets;
	buf_init (&targets);
	for (int i = 0; i < node->worker_count; i++) {
		struct dump_mail mail = {.out = &targets};
		mail.mail.kind = WORKER_DUMP;
		completion_init (&mail.completion);
		mailbox_post (&node->workers[i].mailbox, &mail.mail);
		completion_wait (&mail.completion);
	}
	buf_add (out, targets.data, targets.len);
	buf_finish (&targets);
	buf_addf (out, "],\"front\":");
	if (node->front && node->options.front_address[0])
		front_export_state (node->front, FRONT_DUMP_JSON, out);
	else
		buf_addf (out, "null");
	buf_addf (out, ",\"counters\":{");
	struct buf text;
	buf_init (&text);
	metrics_export (&text);
	/* Labels contain double quotes, which would end the JSON string. */
	for (char *c = text.data; *c; c++)
		*c = *c == '"' ? '\'' : *c;
	int count = 0;
	char *save = NULL;
	for (char *line = strtok_r (text.data, "\n", &save); line;
		line = strtok_r (NULL, "\n", &save)) {
		char *space = strchr (line, ' ');
		if (line[0] == '#' || !space)
			continue;
		buf_addf (out, "%s\"%.*s\":%s", count++ ? "," : "", (int)(space - line), line,
			space + 1);
	}
	buf_finish (&text);
	buf_addf (out, "}}");
}

static int
handle_dump (struct mg_connection *connection, void *user)
{
	struct buf out;
	buf_init (&out);
	operators_dump (user, &out);
	http_send_json (connection, 200, out.data, out.len);
	buf_finish (&out);
	return 1;
}

static int
check_key (struct mg_connection *connection, void *user)
{
	struct node *node = user;
	if (http_authorised (connection, node->options.control_key))
		return 1;
	metric_add (METRIC_UNAUTHORISED, 1);
	log_event (&node->log, EVENT_UNAUTHORISED, "from %s",
		mg_get_request_info (connection)->remote_addr);
	send_error (connection, ERROR_UNAUTHORISED,
		"the key is missing or wrong; send Authorization: Bearer with control.key");
	return 0;
}

struct mg_context *
operators_start (struct node *node, struct error *error)
{
	static const struct {
		const char *path;
		mg_request_handler handler;
	} routes[] = {
		{"/v1/resources/", handle_resources},
		{"/v1/watch", handle_watch},
		{"/v1/status", handle_status},
		{"/v1/dump", handle_dump},
		{"/metrics", monitoring_handle},
	};
	struct mg_context *context = http_start (
		node, node->options.node_operator_address, OPERATOR_THREADS, true, error);
	if (!context)
		return NULL;
	for (size_t i = 0; i < sizeof (routes) / sizeof (routes[0]); i++) {
		mg_set_auth_handler (context, routes[i].path, check_key, node);
		mg_set_request_handler (context, routes[i].path, routes[i].handler, node);
	}
	return context;
}
