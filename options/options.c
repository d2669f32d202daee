#include "options/options.h"

#include <errno.h>
#include <ini.h>
#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum option_type {
	OPTION_INT,
	OPTION_INT_ROUNDED_UP,
	OPTION_INT_ROUNDED_DOWN,
	OPTION_REAL,
	OPTION_FLAG,
	OPTION_TEXT,
	OPTION_ADDRESS
};

/* Who writes a number or flag: this project's own settings, or a deployment that declares it. */
enum origin { ORIGIN_OWN, ORIGIN_DEPLOYMENT };

struct option {
	const char *section;
	const char *name;
	enum option_type type;
	size_t offset;
	size_t size;
	enum origin origin;
	int64_t min; /* of text: minimum length; of an address: 0 when it may be empty */
	int64_t max; /* of text: maximum length */
	const char *default_value;
	const char *help;
};

#define PLACE(member) offsetof (struct options, member), sizeof (((struct options *)0)->member)
#define FIELD(member) PLACE (member), ORIGIN_OWN
/*
 * A field that a deployment's template fills in. Any number or boolean is accepted, so that no
 * declared value keeps a node from starting.
 */
#define TEMPLATE_FIELD(member) PLACE (member), ORIGIN_DEPLOYMENT

static const struct option table[] = {
	{"node", "name", OPTION_TEXT, FIELD (node_name), 1, 63, "",
		"Name of this node, unique among all nodes"},
	{"node", "data_center", OPTION_TEXT, FIELD (node_data_center), 1, 255, "",
		"Data centre of this VM"},
	{"node", "caller_address", OPTION_ADDRESS, FIELD (node_caller_address), 0, 0,
		"127.0.0.1:8080", "IP:port that serves callers of collections; empty: disabled"},
	{"node", "operator_address", OPTION_ADDRESS, FIELD (node_operator_address), 1, 0,
		"127.0.0.1:8081", "IP:port that serves operators, metrics and dumps"},
	{"node", "peer_address", OPTION_ADDRESS, FIELD (node_peer_address), 1, 0, "127.0.0.1:8082",
		"IP:port on which other nodes reach this node"},
	{"node", "metrics_address", OPTION_ADDRESS, FIELD (node_metrics_address), 0, 0, "",
		"IP:port that serves metrics without a key; empty: metrics only on "
		"node.operator_address"},
	{"node", "workers", OPTION_INT, FIELD (node_workers), 1, 64, "2",
		"Worker threads that process requests and call targets"},
	{"node", "http_threads", OPTION_INT, FIELD (node_http_threads), 4, 4096, "64",
		"Callers served concurrently on node.caller_address"},
	{"node", "stop_wait_ms", OPTION_INT, FIELD (node_stop_wait_ms), 0, 600000, "1000",
		"Time on a planned stop from failing readiness to closing node.caller_address"},
	{"control", "peers", OPTION_TEXT, FIELD (control_peers), 0, 1023, "",
		"Initial peer addresses (IP:port, comma separated)"},
	{"control", "peer_port", OPTION_INT, FIELD (control_peer_port), 0, 65535, "0",
		"Port of all peers, overrides the ports in control.peers; 0: no override"},
	{"control", "bootstrap", OPTION_FLAG, TEMPLATE_FIELD (control_bootstrap), 0, 1, "0",
		"true on the first start of the whole system, with empty folders: control.peers "
		"are "
		"the first voters"},
	{"control", "exclusive_names", OPTION_FLAG, TEMPLATE_FIELD (control_exclusive_names), 0, 1,
		"0",
		"true if a node with the name of another is only started once that one has ended; "
		"what waits for leases then goes on sooner after a restart"},
	{"control", "orders_address", OPTION_ADDRESS, FIELD (control_orders_address), 0, 0, "",
		"IP:port that accepts operators' orders on routes and data centres; empty: "
		"disabled"},
	{"control", "replace_ms", OPTION_INT, FIELD (control_replace_ms), 1000, 3600000, "300000",
		"Time of silence after which a voter is replaced by a caught-up learner"},
	{"control", "key", OPTION_TEXT, FIELD (control_key), 16, 255, "",
		"Shared key of peers and operators, at least 16 characters"},
	{"control", "data_dir", OPTION_TEXT, FIELD (control_data_dir), 0, 255, "",
		"Data folder; a node that has one is a voter or learner of the control log"},
	{"control", "voters", OPTION_INT, FIELD (control_voters), 1, 5, "3",
		"Desired number of voters; use an odd number"},
	{"control", "losses", OPTION_INT_ROUNDED_UP, TEMPLATE_FIELD (control_losses), 0, 2, "0",
		"Data folders that may be lost at the same time; determines the number of "
		"voters; a fraction is rounded up; 0: use control.voters"},
	{"control", "lease_ms", OPTION_INT, FIELD (control_lease_ms), 500, 10000, "3000",
		"Duration of a lease; must be the same on all nodes"},
	{"control", "poll_ms", OPTION_INT, FIELD (control_poll_ms), 50, 5000, "500",
		"Interval between polls for changes and a lease"},
	{"control", "rollback_ms", OPTION_INT_ROUNDED_DOWN, TEMPLATE_FIELD (control_rollback_ms),
		500, 600000, "5000",
		"Time in which a bad version is rolled back after its fiftieth bad answer; nodes "
		"poll ten times in it during a roll-out; a fraction is rounded down"},
	{"control", "compact_entries", OPTION_INT, FIELD (control_compact_entries), 100, 1000000,
		"8192", "Number of log entries after which the log is compacted into a snapshot"},
	{"query", "max_body", OPTION_INT, FIELD (query_max_body), 1024, 67108864, "1048576",
		"Largest body accepted from a caller or target, in bytes"},
	{"query", "max_in_flight", OPTION_INT, FIELD (query_max_in_flight), 1, 100000, "512",
		"Requests in flight on this node above which new ones are refused"},
	{"query", "hedge", OPTION_INT, FIELD (query_hedge), 0, 1, "1",
		"1 sends hedged sub-requests, 0 does not"},
	{"query", "hedge_percent", OPTION_INT, FIELD (query_hedge_percent), 0, 100, "5",
		"Hedges and retries allowed per 100 first sub-requests of a service"},
	{"query", "hedge_quantile", OPTION_INT, FIELD (query_hedge_quantile), 50, 99, "95",
		"Percentile of the service's latency after which a sub-request is hedged"},
	{"query", "silence_ms", OPTION_INT, FIELD (query_silence_ms), 5, 60000, "100",
		"Minimum time after which a sub-request without a reply counts as silent"},
	{"query", "baseline", OPTION_INT, FIELD (query_baseline), 0, 1, "0",
		"1 replaces the choice of replicas by plain round robin, as a baseline for "
		"measurements"},
	{"target", "queue", OPTION_INT, FIELD (target_queue), 0, 10000, "64",
		"Sub-requests that may wait for one target"},
	{"target", "cold_limit", OPTION_INT, FIELD (target_cold_limit), 1, 1000, "1",
		"Concurrent sub-requests to a target in a cold start, unless it declares "
		"cold_limit"},
	{"target", "probe_ms", OPTION_INT, FIELD (target_probe_ms), 50, 60000, "1000",
		"Interval between reads of a target's load endpoint"},
	{"front", "address", OPTION_ADDRESS, FIELD (front_address), 0, 0, "",
		"IP:port that serves callers of declared routes; empty: disabled"},
	{"front", "ready_address", OPTION_ADDRESS, FIELD (front_ready_address), 0, 0, "",
		"IP:port of the readiness check for the load balancer"},
	{"front", "margin_ms", OPTION_INT, FIELD (front_margin_ms), 0, 1000, "10",
		"Time reserved for an answer to reach its caller, subtracted from deadline and "
		"latency objective"},
	{"front", "stop_ms", OPTION_INT, FIELD (front_stop_ms), 100, 600000, "5000",
		"Maximum duration of a planned stop; set it below the platform's grace period"},
	{"front", "drain_ms", OPTION_INT_ROUNDED_DOWN, TEMPLATE_FIELD (front_drain_ms), 0, 600000,
		"0",
		"How long a target that leaves may still be used if no other is expected to answer "
		"soon; not above the platform's bound; a fraction is rounded down; 0: not at all"},
	{"front", "extra_ratio", OPTION_REAL, TEMPLATE_FIELD (front_extra_ratio), 0, 10, "0.1",
		"Hedges and retries allowed per request to a service, over all nodes"},
	{"front", "extra_slack", OPTION_REAL, TEMPLATE_FIELD (front_extra_slack), 0, 1000000, "10",
		"Hedges and retries allowed beyond front.extra_ratio, divided among all nodes, "
		"rounded down"},
	{"front", "extra_window_s", OPTION_REAL, TEMPLATE_FIELD (front_extra_window_s), 0, 3600,
		"10",
		"Window over which front.extra_slack applies, in seconds; 0: it does not refill"},
	{"front", "quota_window_s", OPTION_REAL, TEMPLATE_FIELD (front_quota_window_s), 1, 3600,
		"5", "Window over which the limits of accounts apply, in seconds"},
	{"front", "quota_excess", OPTION_REAL, TEMPLATE_FIELD (front_quota_excess), 0, 10, "0.1",
		"Share of an account's limit by which its requests in a window may exceed it"},
	{"front", "quota_slack", OPTION_REAL, TEMPLATE_FIELD (front_quota_slack), 0, 1000000, "20",
		"Requests of an account in a window allowed beyond front.quota_excess, over all "
		"nodes; they are granted while an account has no active holder"},
	{"front", "cold_factor", OPTION_REAL, TEMPLATE_FIELD (front_cold_factor), 0, 100, "1",
		"Multiple of a service's cold rate that a cold target can handle"},
	{"front", "cold_slack", OPTION_REAL, TEMPLATE_FIELD (front_cold_slack), 0, 1000000, "1",
		"Requests per second that a cold target can handle beyond the rate that "
		"front.cold_factor allows; the sum is rounded down"},
	{"front", "exposure_share", OPTION_REAL, TEMPLATE_FIELD (front_exposure_share), 0, 1, "0.1",
		"Share of a service's requests that a version gets until its roll-out has proved "
		"it, "
		"over all nodes"},
	{"front", "exposure_slack", OPTION_REAL, TEMPLATE_FIELD (front_exposure_slack), 0, 1000000,
		"50", "Requests that it gets beyond front.exposure_share, over all nodes"},
	{"front", "group_nodes", OPTION_INT, FIELD (front_group_nodes), 0, 1000000, "0",
		"Minimum average number of entry nodes in a group; each group sends the "
		"sub-requests for a part of the shards; 0: each node sends all of its own"},
	{"front", "batch_port_step", OPTION_INT, FIELD (front_batch_port_step), 0, 65535, "0",
		"Added to the port of node.peer_address, gives the port for batches of other "
		"nodes; must be the same on all nodes; 0: none, as front.group_nodes 0"},
	{"front", "connections", OPTION_INT, FIELD (front_connections), 16, 1000000, "3000",
		"Maximum number of caller connections on this node"},
	{"front", "list_address", OPTION_ADDRESS, FIELD (front_list_address), 0, 0, "",
		"IP:port of the platform's list of targets"},
	{"front", "list_rate", OPTION_REAL, TEMPLATE_FIELD (front_list_rate), 0, 1000000, "10",
		"Requests per second that the list accepts from all nodes together; 0: no limit"},
	{"front", "list_lag_ms", OPTION_INT_ROUNDED_UP, TEMPLATE_FIELD (front_list_lag_ms), 0,
		3600000, "0",
		"Time by which the platform's list of targets may lag; a list that does not change "
		"is read less often; a fraction is rounded up"},
	{"front", "placement", OPTION_TEXT, FIELD (front_placement), 4, 5, "cost",
		"How targets that report their load are selected: cost, by expected completion "
		"time; work, by measured latency and outstanding work; count, by measured latency "
		"and number of requests"},
	{"log", "level", OPTION_TEXT, FIELD (log_level), 4, 7, "info",
		"error, warning, info or debug"},
	{"platform", "list", OPTION_TEXT, FIELD (platform_list), 0, 255, "",
		"File with the platform's list of live and leaving VMs"},
};

enum { OPTION_COUNT = sizeof (table) / sizeof (table[0]) };

struct parse {
	struct options *options;
	const char *file;
	struct error *error;
	bool seen[OPTION_COUNT];
};

static bool
is_address (const char *text)
{
	const char *colon = strrchr (text, ':');
	if (!colon || colon == text)
		return false;
	char *end = NULL;
	long port = strtol (colon + 1, &end, 10);
	if (*end != '\0' || port < 1 || port > 65535)
		return false;
	size_t host = (size_t)(colon - text);
	return strspn (text, "0123456789.") == host || text[0] == '[';
}

static bool
set_int (void *field, const struct option *option, const char *value)
{
	char *end = NULL;
	errno = 0;
	long long number = strtoll (value, &end, 10);
	if (errno || end == value || *end != '\0' || number < option->min || number > option->max)
		return false;
	*(int64_t *)field = number;
	return true;
}

static bool
parse_real (const char *value, double *number)
{
	char *end = NULL;
	*number = strtod (value, &end);
	return end != value && *end == '\0' && isfinite (*number);
}

static void
store_number (void *field, const struct option *option, double number)
{
	if (option->type == OPTION_REAL)
		*(double *)field = number;
	else
		*(int64_t *)field = (int64_t)number;
}

static double
round_number (const struct option *option, double number)
{
	if (option->type == OPTION_INT_ROUNDED_UP)
		return ceil (number);
	return option->type == OPTION_INT_ROUNDED_DOWN ? floor (number) : number;
}

static void
note_replaced (struct options *options, const struct option *option, const char *value)
{
	size_t len = strlen (options->replaced);
	snprintf (options->replaced + len, sizeof (options->replaced) - len, "%s%s.%s = %.32s",
		len ? ", " : "", option->section, option->name, value);
}

/*
 * A deployment's number beyond the range is replaced by the nearest one; a negative one, for which
 * the nearest one may mean that there is no limit, and a boolean by the default, which the field
 * holds from options_init().
 */
static bool
set_declared_number (
	struct options *options, void *field, const struct option *option, const char *value)
{
	double number = 0;
	bool is_boolean = strcmp (value, "true") == 0 || strcmp (value, "false") == 0;
	if (!is_boolean && !parse_real (value, &number))
		return false;
	double used = round_number (option, number);
	if (used < (double)option->min)
		used = (double)option->min;
	if (used > (double)option->max)
		used = (double)option->max;
	if (is_boolean || number < 0 || used != round_number (option, number))
		note_replaced (options, option, value);
	if (!is_boolean && number >= 0)
		store_number (field, option, used);
	return true;
}

static bool
set_number (struct options *options, void *field, const struct option *option, const char *value)
{
	double number = 0;
	if (option->origin == ORIGIN_DEPLOYMENT)
		return set_declared_number (options, field, option, value);
	if (!parse_real (value, &number) || number < (double)option->min ||
		number > (double)option->max)
		return false;
	store_number (field, option, round_number (option, number));
	return true;
}

static bool
set_flag (void *field, const struct option *option, const char *value)
{
	if (strcmp (value, "true") != 0 && strcmp (value, "false") != 0)
		return set_int (field, option, value);
	*(int64_t *)field = value[0] == 't';
	return true;
}

/* Empty, or a placeholder that the platform does not know and has left in the template. */
static bool
is_unfilled (const char *value, size_t len)
{
	return len == 0 ||
	       (len > 4 && strncmp (value, "{{", 2) == 0 && strcmp (value + len - 2, "}}") == 0);
}

static bool
set_option (struct options *options, const struct option *option, const char *value)
{
	void *field = (char *)options + option->offset;
	size_t len = strlen (value);
	/* The field holds its default from options_init. */
	if (is_unfilled (value, len) && option->origin == ORIGIN_DEPLOYMENT)
		return true;
	switch (option->type) {
	case OPTION_INT:
		return set_int (field, option, value);
	case OPTION_INT_ROUNDED_UP:
	case OPTION_INT_ROUNDED_DOWN:
	case OPTION_REAL:
		return set_number (options, field, option, value);
	case OPTION_FLAG:
		return set_flag (field, option, value);
	case OPTION_TEXT:
		if ((int64_t)len < option->min || (int64_t)len > option->max)
			return false;
		break;
	case OPTION_ADDRESS:
		if (!is_address (value) && (value[0] != '\0' || option->min > 0))
			return false;
		break;
	}
	if (len >= option->size)
		return false;
	str_copy (field, option->size, value);
	return true;
}

static void
describe_remedy (const struct option *option, char *out, size_t size)
{
	switch (option->type) {
	case OPTION_INT:
		snprintf (out, size, "give a whole number from %lld to %lld",
			(long long)option->min, (long long)option->max);
		return;
	case OPTION_INT_ROUNDED_UP:
	case OPTION_INT_ROUNDED_DOWN:
	case OPTION_REAL:
		snprintf (out, size, "give a number from %lld to %lld", (long long)option->min,
			(long long)option->max);
		return;
	case OPTION_FLAG:
		snprintf (out, size, "give true or false");
		return;
	case OPTION_TEXT:
		snprintf (out, size, "give %lld to %lld characters", (long long)option->min,
			(long long)option->max);
		return;
	case OPTION_ADDRESS:
		snprintf (out, size, "give an IP address and a port, such as 127.0.0.1:8080");
		return;
	}
}

static int
handle_field (void *user, const char *section, const char *name, const char *value)
{
	struct parse *parse = user;
	if (parse->error->kind != ERROR_NONE)
		return 0;
	for (int i = 0; i < OPTION_COUNT; i++) {
		const struct option *option = &table[i];
		if (strcmp (option->section, section) != 0 || strcmp (option->name, name) != 0)
			continue;
		char remedy[128];
		describe_remedy (option, remedy, sizeof (remedy));
		if (parse->seen[i]) {
			error_set (parse->error, ERROR_CONFIG, "%s.%s: given twice; remove one",
				section, name);
			return 0;
		}
		parse->seen[i] = true;
		if (set_option (parse->options, option, value))
			return 1;
		error_set (
			parse->error, ERROR_CONFIG, "%s.%s: bad value; %s", section, name, remedy);
		return 0;
	}
	error_set (parse->error, ERROR_CONFIG,
		"%.40s.%.40s: unknown field; remove it or correct its name", section, name);
	return 0;
}

void
options_init (struct options *options)
{
	memset (options, 0, sizeof (*options));
	for (int i = 0; i < OPTION_COUNT; i++) {
		if (table[i].default_value[0])
			set_option (options, &table[i], table[i].default_value);
	}
}

static bool
check_required (struct parse *parse)
{
	for (int i = 0; i < OPTION_COUNT; i++) {
		if (table[i].type < OPTION_TEXT || table[i].min == 0 || table[i].default_value[0])
			continue;
		if (!parse->seen[i])
			return error_set (parse->error, ERROR_CONFIG,
				"%s: %s.%s: missing; add it: %s", parse->file, table[i].section,
				table[i].name, table[i].help);
	}
	const char *level = parse->options->log_level;
	if (strcmp (level, "error") != 0 && strcmp (level, "warning") != 0 &&
		strcmp (level, "info") != 0 && strcmp (level, "debug") != 0)
		return error_set (parse->error, ERROR_CONFIG,
			"%s: log.level: bad value; give error, warning, info or debug",
			parse->file);
	const char *placement = parse->options->front_placement;
	if (strcmp (placement, "cost") != 0 && strcmp (placement, "work") != 0 &&
		strcmp (placement, "count") != 0)
		return error_set (parse->error, ERROR_CONFIG,
			"%s: front.placement: bad value; give cost, work or count", parse->file);
	if (parse->options->control_poll_ms * 3 > parse->options->control_lease_ms)
		return error_set (parse->error, ERROR_CONFIG,
			"%s: control.poll_ms: too long for the lease; give at most a third of "
			"control.lease_ms",
			parse->file);
	return true;
}

bool
options_parse (struct options *options, const char *text, const char *name, struct error *error)
{
	struct error scratch = {0};
	struct parse parse = {.options = options, .file = name, .error = error ? error : &scratch};
	options_init (options);
	int line = ini_parse_string (text, handle_field, &parse);
	if (parse.error->kind != ERROR_NONE) {
		/* The handler gets no line number; the parser returns that of the first error. */
		char message[ERROR_MESSAGE_SIZE];
		str_copy (message, sizeof (message), parse.error->message);
		return error_set (
			parse.error, ERROR_CONFIG, "%.100s:%d: %.200s", name, line, message);
	}
	if (line != 0)
		return error_set (parse.error, ERROR_CONFIG,
			"%s:%d: not a [section] or name = value line; correct it", name, line);
	return check_required (&parse);
}

bool
options_load (struct options *options, const char *path, struct error *error)
{
	FILE *file = fopen (path, "re");
	if (!file)
		return error_set (error, ERROR_CONFIG, "%s: cannot be read (%s); check the path",
			path, strerror (errno));
	struct buf text;
	buf_init (&text);
	char chunk[4096];
	size_t len = 0;
	while ((len = fread (chunk, 1, sizeof (chunk), file)) > 0)
		buf_add (&text, chunk, len);
	fclose (file);
	buf_add (&text, "\n", 1);
	bool ok = options_parse (options, text.data, path, error);
	buf_finish (&text);
	return ok;
}

void
options_print_manual (void)
{
	printf ("| section | name | type | range | default | meaning "
		"|\n|---|---|---|---|---|---|\n");
	for (int i = 0; i < OPTION_COUNT; i++) {
		char remedy[128];
		describe_remedy (&table[i], remedy, sizeof (remedy));
		printf ("| %s | %s | %s | %s | %s | %s |\n", table[i].section, table[i].name,
			table[i].type < OPTION_TEXT ? "number" : "text", remedy,
			table[i].default_value, table[i].help);
	}
}
