#include "soak/cluster.h"

#include "core/buf.h"
#include "soak/http.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	OPERATOR_OFFSET = 100,
	PEER_OFFSET = 200,
	METRICS_OFFSET = 300,
	PLATFORM_OFFSET = 400,
	PROXY_OFFSET = 600,
	READY_OFFSET = 50,
	BATCH_STEP = 700,
	START_TIMEOUT_US = 20000000,
	VIEW_TIMEOUT_US = 1500000,
	ROTATION_MISSES = 2,
	TEXT_SIZE = 512,
};

static const char key[] = "loopback-only-shared-key";

struct cluster_node *
cluster_entry (struct cluster *cluster, int index)
{
	return &cluster->nodes[cluster->site->control_nodes + index];
}

int
cluster_entry_port (const struct cluster *cluster, int index)
{
	return cluster->base_port + cluster->site->control_nodes + 1 + index;
}

int
cluster_caller_port (const struct cluster *cluster, int index)
{
	return cluster->base_port + cluster->site->control_nodes + 1 + index +
	       (cluster->proxied ? PROXY_OFFSET : 0);
}

int
cluster_platform_port (const struct cluster *cluster)
{
	return cluster->base_port + PLATFORM_OFFSET;
}

static void
write_settings (const struct cluster *cluster, const struct cluster_node *node)
{
	char path[TEXT_SIZE];
	const struct site *site = cluster->site;
	int base = cluster->base_port;
	int n = node->number;
	snprintf (path, sizeof (path), "%s/n%d.ini", cluster->folder, n);
	FILE *out = fopen (path, "w");
	if (!out)
		abort ();
	fprintf (out,
		"[node]\nname = n%d\ndata_center = z%d\ncaller_address =\n"
		"operator_address = 127.0.0.1:%d\npeer_address = 127.0.0.1:%d\n"
		"metrics_address = 127.0.0.1:%d\nworkers = 1\n[control]\nkey = %s\npeers = ",
		n, n % site->zones, base + OPERATOR_OFFSET + n, base + PEER_OFFSET + n,
		base + METRICS_OFFSET + n, key);
	for (int i = 1; i <= site->control_nodes; i++)
		fprintf (out, "%s127.0.0.1:%d", i > 1 ? "," : "", base + PEER_OFFSET + i);
	fprintf (out, "\nreplace_ms = 2000\n");
	if (n <= site->control_nodes)
		fprintf (out,
			"bootstrap = true\norders_address = 127.0.0.1:%d\ndata_dir = %s/data%d\n",
			base + n, cluster->folder, n);
	if (n <= site->control_nodes && site->losses)
		fprintf (out, "losses = %d\ncompact_entries = 256\n", site->losses);
	fprintf (out, "[front]\nlist_address = 127.0.0.1:%d\nlist_rate = 50\n",
		base + PLATFORM_OFFSET);
	if (n > site->control_nodes)
		fprintf (out,
			"address = 127.0.0.1:%d\nready_address = 127.0.0.1:%d\ngroup_nodes = %d\n"
			"batch_port_step = %d\nextra_ratio = 0.2\nextra_slack = 60\n"
			"cold_factor = 1\ncold_slack = 4\n",
			base + n, base + READY_OFFSET + n, site->group_nodes, BATCH_STEP);
	fclose (out);
}

/* Returns once the process executes the program; until then a signal would end a copy of the soak.
 */
static pid_t
start_process (const struct cluster *cluster, const char *log_name, char *const *arguments)
{
	char path[TEXT_SIZE];
	snprintf (path, sizeof (path), "%s/%s.log", cluster->folder, log_name);
	int log = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	int executed[2];
	char byte;
	/* The end for writing closes when the program is executed. */
	if (log < 0 || pipe2 (executed, O_CLOEXEC) != 0)
		abort ();
	pid_t pid = fork ();
	if (pid == 0) {
		prctl (PR_SET_PDEATHSIG, SIGKILL);
		dup2 (log, STDOUT_FILENO);
		dup2 (log, STDERR_FILENO);
		execv (arguments[0], arguments);
		_exit (127);
	}
	close (log);
	close (executed[1]);
	while (read (executed[0], &byte, 1) < 0 && errno == EINTR)
		;
	close (executed[0]);
	return pid;
}

void
cluster_start_node (struct cluster *cluster, struct cluster_node *node)
{
	char settings[TEXT_SIZE];
	char name[16];
	snprintf (settings, sizeof (settings), "%s/n%d.ini", cluster->folder, node->number);
	snprintf (name, sizeof (name), "n%d", node->number);
	char *arguments[] = {(char *)cluster->daemon, "--config", settings, NULL};
	node->pid = start_process (cluster, name, arguments);
	node->executed_us = http_now_us ();
}

void
cluster_signal (struct cluster_node *node, int signal)
{
	if (node->pid <= 0)
		return;
	if (signal == SIGTERM && node->stop_us == 0)
		node->last_stop_us = node->stop_us = http_now_us ();
	kill (node->pid, signal);
}

void
cluster_impair (struct cluster_node *node, enum cluster_impairment_kind kind)
{
	if (node->impairment_count < CLUSTER_IMPAIRMENTS_MAX)
		node->impairments[node->impairment_count++] =
			(struct cluster_impairment){kind, http_now_us (), INT64_MAX};
}

void
cluster_recover (struct cluster_node *node, enum cluster_impairment_kind kind)
{
	for (int i = 0; i < node->impairment_count; i++) {
		if (node->impairments[i].kind == kind && node->impairments[i].to_us == INT64_MAX)
			node->impairments[i].to_us = http_now_us ();
	}
}

unsigned
cluster_impairments (const struct cluster_node *node, int64_t from_us, int64_t to_us)
{
	unsigned kinds = 0;
	for (int i = 0; i < node->impairment_count; i++) {
		const struct cluster_impairment *time = &node->impairments[i];
		if (time->from_us <= to_us && time->to_us >= from_us)
			kinds |= time->kind;
	}
	return kinds;
}

/* The end of the last time in which a node was frozen or killed in the span; 0 if it was not. */
static int64_t
disturbed_until_us (const struct cluster_node *node, int64_t from_us, int64_t to_us)
{
	int64_t until_us = 0;
	for (int i = 0; i < node->impairment_count; i++) {
		const struct cluster_impairment *time = &node->impairments[i];
		bool disturbs = time->kind == IMPAIRED_FROZEN || time->kind == IMPAIRED_KILLED;
		if (disturbs && time->from_us <= to_us && time->to_us >= from_us &&
			time->to_us > until_us)
			until_us = time->to_us;
	}
	return until_us;
}

int64_t
cluster_undisturbed_us (const struct cluster *cluster, int64_t from_us, int64_t duration_us)
{
	for (int i = 0; from_us < INT64_MAX && i < CLUSTER_NODES_MAX; i++) {
		int64_t until_us =
			disturbed_until_us (&cluster->nodes[i], from_us, from_us + duration_us);
		if (until_us == 0)
			continue;
		from_us = until_us == INT64_MAX ? INT64_MAX : until_us + 1;
		i = -1;
	}
	return from_us == INT64_MAX ? INT64_MAX : from_us + duration_us;
}

bool
cluster_reap (struct cluster_node *node, int *status)
{
	if (node->pid > 0 && waitpid (node->pid, status, WNOHANG) != node->pid)
		return false;
	node->pid = 0;
	return true;
}

static void
write_shards (const struct cluster *cluster, struct buf *out)
{
	const struct site *site = cluster->site;
	int first = cluster->moved ? site->shards : 0;
	int end = cluster->moved ? site->shards + site->later_shards : site->shards;
	for (int i = first; i < end; i++)
		buf_addf (out, "%s\"s%d\"", i > first ? "," : "", i);
}

static void
write_route (const struct cluster *cluster, const struct site_route *route, struct buf *out)
{
	buf_addf (out,
		"{\"name\":\"%s\",\"host\":\"site.example\",\"path_prefix\":\"/%s/\","
		"\"route_type\":\"%s\",\"timeout_ms\":%d,\"target_latency_ms\":%d,"
		"\"priority\":%d,\"max_attempts\":2,",
		route->name, route->name, route->type, route->timeout_ms, route->target_latency_ms,
		route->priority);
	if (!route->fanout) {
		buf_addf (out, "\"service\":\"s%d\"},", site_services (cluster->site) - 1);
		return;
	}
	buf_addf (out, "\"top_k\":%d,\"min_shard_ratio\":%.2f,\"fanout\":[", route->top_k,
		route->min_shard_ratio);
	write_shards (cluster, out);
	buf_addf (out, "]},");
}

/* The route "extra" has changing names; others that nobody uses make the document large. */
static char *
routes_document (struct cluster *cluster, long version)
{
	const struct site *site = cluster->site;
	int services = site_services (site);
	struct buf out;
	buf_init (&out);
	buf_addf (&out, "{\"version\":%ld,\"routes\":[", version);
	for (int i = 0; i < SITE_ROUTES && site->routes[i].name; i++)
		write_route (cluster, &site->routes[i], &out);
	for (int i = 0; i < cluster->extra_routes; i++)
		buf_addf (&out,
			"{\"name\":\"more-%d\",\"host\":\"site.example\",\"path_prefix\":\"/"
			"more-%d/\","
			"\"route_type\":\"idempotent\",\"timeout_ms\":900,\"max_attempts\":2,"
			"\"service\":\"s%d\"},",
			i, i, i % services);
	buf_addf (&out,
		"{\"name\":\"extra-%ld\",\"host\":\"site.example\",\"path_prefix\":\"/extra-%ld/\","
		"\"route_type\":\"idempotent\",\"timeout_ms\":900,\"max_attempts\":2,"
		"\"service\":\"s0\"}],\"services\":[",
		version, version);
	for (int i = 0; i < services; i++)
		buf_addf (&out, "%s{\"name\":\"s%d\",\"max_connections\":%d}", i ? "," : "", i,
			i == services - 1 ? site->single_connections : site->connections);
	buf_addf (&out, "]");
	if (cluster->accounts)
		accounts_write (
			&out, version, account_versions_is_lowered (&cluster->versions, version));
	buf_addf (&out, "}");
	return out.data;
}

bool
cluster_replace_routes (struct cluster *cluster, int control, bool lower)
{
	static _Thread_local struct http_answer answer;
	long version = account_versions_next (&cluster->versions, lower);
	char *document = routes_document (cluster, version);
	account_versions_add (&cluster->versions, http_now_us (), version, false);
	int status = http_call (
		cluster->base_port + 1 + control, "POST", "/config/replace", document, &answer);
	if (status == 200)
		account_versions_add (&cluster->versions, http_now_us (), version, true);
	free (document);
	long accepted = cluster->accepted_version;
	while (status == 200 && version > accepted &&
		!atomic_compare_exchange_weak (&cluster->accepted_version, &accepted, version))
		continue;
	return status == 200;
}

long
cluster_read_version (const struct cluster *cluster)
{
	static _Thread_local struct http_answer answer;
	static const char field[] = "\"version\":";
	for (int i = 0; i < cluster->site->control_nodes; i++) {
		if (http_call (cluster->base_port + 1 + i, "GET", "/config/get", "", &answer) !=
			200)
			continue;
		answer.body[answer.body_len < sizeof (answer.body) ? answer.body_len
								   : sizeof (answer.body) - 1] =
			'\0';
		const char *at = strstr (answer.body, field);
		return at ? strtol (at + strlen (field), NULL, 10) : -1;
	}
	return -1;
}

void
cluster_set_fault (const struct cluster *cluster, const char *fault, int target, bool on)
{
	static _Thread_local struct http_answer answer;
	char path[64];
	snprintf (path, sizeof (path), "/set/%s/%d/%d", fault, target, on);
	http_call (cluster_platform_port (cluster), "POST", path, "", &answer);
}

/* Asks the mock of the platform for a number; -1 if it does not answer. */
static int
ask_platform (const struct cluster *cluster, const char *call, const char *argument)
{
	static _Thread_local struct http_answer answer;
	char path[96];
	snprintf (path, sizeof (path), "/%s/%s", call, argument);
	if (http_call (cluster_platform_port (cluster), "GET", path, "", &answer) != 200)
		return -1;
	answer.body[answer.body_len] = '\0';
	return (int)strtol (answer.body, NULL, 10);
}

struct cluster_work
cluster_work (const struct cluster *cluster, const char *id)
{
	static _Thread_local struct http_answer answer;
	struct cluster_work work = {.runs = -1};
	char path[96];
	char *end;
	snprintf (path, sizeof (path), "/progress/%s", id);
	if (http_call (cluster_platform_port (cluster), "GET", path, "", &answer) != 200)
		return work;
	answer.body[answer.body_len] = '\0';
	work.runs = (int)strtol (answer.body, &end, 10);
	work.broke_off = (int)strtol (end, &end, 10);
	work.last_us = 1000 * strtoll (end, NULL, 10);
	return work;
}

int
cluster_repeated (const struct cluster *cluster, const char *text)
{
	return ask_platform (cluster, "repeated", text);
}

int
cluster_late_arrivals (const struct cluster *cluster)
{
	return ask_platform (cluster, "late", "all");
}

bool
cluster_has_version (struct cluster *cluster, int index, long version)
{
	static _Thread_local struct http_answer answer;
	char text[TEXT_SIZE];
	int fd = http_connect (cluster_entry_port (cluster, index), 0);
	if (fd < 0)
		return false;
	int len = snprintf (text, sizeof (text),
		"GET /extra-%ld/x HTTP/1.1\r\nHost: site.example\r\n"
		"Oleanderstile-Attempt-Id: view-%d-%ld\r\nOleanderstile-Deadline-Ms: 900\r\n\r\n",
		version, index, version);
	http_send (fd, text, (size_t)len);
	http_read (fd, 0, http_now_us () + VIEW_TIMEOUT_US, &answer);
	close (fd);
	return answer.end == HTTP_ANSWERED && answer.status != 404;
}

static bool
is_ready (const struct cluster *cluster, int index)
{
	static _Thread_local struct http_answer answer;
	return http_call (cluster_entry_port (cluster, index) + READY_OFFSET, "GET", "/readiness",
		       "", &answer) == 200;
}

void
cluster_probe (struct cluster *cluster)
{
	for (int i = 0; i < cluster->entry_count; i++) {
		struct cluster_node *node = cluster_entry (cluster, i);
		node->misses = is_ready (cluster, i) ? 0 : node->misses + 1;
		if (node->misses == 0)
			node->in_rotation = true;
		else if (node->misses >= ROTATION_MISSES)
			node->in_rotation = false;
	}
}

static bool
wait_until_ready (struct cluster *cluster)
{
	int64_t end_us = http_now_us () + START_TIMEOUT_US;
	while (!cluster_replace_routes (cluster, 0, false)) {
		if (http_now_us () > end_us)
			return false;
		http_sleep_us (100000);
	}
	for (int i = 0; i < cluster->entry_count; i++) {
		while (!is_ready (cluster, i)) {
			if (http_now_us () > end_us)
				return false;
			http_sleep_us (50000);
		}
	}
	cluster_probe (cluster);
	return true;
}

static void
start_platform (struct cluster *cluster)
{
	const struct site *site = cluster->site;
	const struct {
		const char *format;
		int value;
	} numbers[] = {{"%d", cluster_platform_port (cluster)}, {"%d", site_services (site)},
		{"%d", site->replicas}, {"%d", 2}, {"plain=%d", cluster->plain_list},
		{"drain_ms=%d", cluster->drain_ms}, {"last=%d", site->single_targets},
		{"zones=%d", site->zones}, {"slots=%d", site->slots},
		{"last_slots=%d", site->single_slots}, {"pause_ms=%d", site->pause_ms},
		{"pause_every_ms=%d", site->pause_every_ms ? site->pause_every_ms : 1}};
	enum { COUNT = sizeof (numbers) / sizeof (numbers[0]) };
	char texts[COUNT][32];
	char *arguments[COUNT + 2] = {(char *)cluster->platform};
	for (int i = 0; i < COUNT; i++) {
		snprintf (texts[i], sizeof (texts[i]), numbers[i].format, numbers[i].value);
		arguments[i + 1] = texts[i];
	}
	cluster->platform_pid = start_process (cluster, "platform", arguments);
}

static bool
start_proxies (struct cluster *cluster)
{
	for (int i = 0; cluster->proxied && i < cluster->entry_count; i++) {
		if (!proxy_start (&cluster_entry (cluster, i)->proxy,
			    cluster_caller_port (cluster, i), cluster_entry_port (cluster, i)))
			return false;
	}
	return true;
}

bool
cluster_start (struct cluster *cluster)
{
	char path[TEXT_SIZE];
	start_platform (cluster);
	if (!start_proxies (cluster)) {
		fprintf (stderr,
			"soak: a port of the proxies is not free; use another --base-port\n");
		return false;
	}
	for (int i = 0; i < cluster->site->control_nodes + cluster->entry_count; i++) {
		struct cluster_node *node = &cluster->nodes[i];
		node->number = i + 1;
		snprintf (path, sizeof (path), "%s/data%d", cluster->folder, node->number);
		if (i < cluster->site->control_nodes)
			mkdir (path, 0700);
		write_settings (cluster, node);
		cluster_start_node (cluster, node);
	}
	if (wait_until_ready (cluster))
		return true;
	fprintf (stderr, "soak: the nodes did not become ready; see the logs in %s\n",
		cluster->folder);
	return false;
}

static void
kill_process (pid_t pid)
{
	if (pid <= 0)
		return;
	kill (pid, SIGKILL);
	waitpid (pid, NULL, 0);
}

void
cluster_kill (struct cluster *cluster)
{
	for (int i = 0; i < CLUSTER_NODES_MAX; i++)
		kill_process (cluster->nodes[i].pid);
	kill_process (cluster->platform_pid);
	for (int i = 0; cluster->proxied && i < cluster->entry_count; i++)
		proxy_stop (&cluster_entry (cluster, i)->proxy);
}
