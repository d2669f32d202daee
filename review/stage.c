#include "stage.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
	HEAD_MAX_BYTES = 32768,
	ORDER_WAIT_MS = 1000, /* an operator moves on after a second without an answer */
	ORDER_TRIES = 12,
	START_WAIT_MS = 15000,
	RUN_MAX_S = 116,
	LISTEN_BACKLOG = 512,
};

static struct stage_target targets[STAGE_TARGETS_MAX];
static int target_count;
static struct stage_node nodes[STAGE_NODES_MAX];
static int node_count;
static FILE *record;
static int64_t began_ms;
static char temp_dir[200];
static int network; /* second and third byte of the addresses of this run */
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
clock_ms (void)
{
	struct timespec ts;
	clock_gettime (CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
stage_now_ms (void)
{
	return clock_ms () - began_ms;
}

void
stage_sleep_ms (int64_t ms)
{
	struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
	if (ms > 0)
		nanosleep (&ts, NULL);
}

void
stage_sleep_until (int64_t at_ms)
{
	stage_sleep_ms (at_ms - stage_now_ms ());
}

void
stage_record (const char *format, ...)
{
	va_list arguments;
	pthread_mutex_lock (&record_lock);
	fprintf (record, "%8.3f ", (double)stage_now_ms () / 1000);
	va_start (arguments, format);
	vfprintf (record, format, arguments);
	va_end (arguments);
	fputc ('\n', record);
	fflush (record);
	pthread_mutex_unlock (&record_lock);
}

bool
stage_has_trouble (void)
{
	const char *value = getenv ("TROUBLE");
	return !value || strcmp (value, "0") != 0;
}

static void
kill_nodes (void)
{
	for (int i = 0; i < node_count; i++) {
		if (nodes[i].pid > 0)
			kill (nodes[i].pid, SIGKILL);
	}
	for (int i = 0; i < node_count; i++) {
		if (nodes[i].pid > 0)
			waitpid (nodes[i].pid, NULL, 0);
	}
}

_Noreturn void
stage_end (int status, const char *format, ...)
{
	char text[STAGE_TEXT_SIZE];
	static const char *const names[] = {"HELD", "BROKEN", "NOT RUN"};
	va_list arguments;
	va_start (arguments, format);
	vsnprintf (text, sizeof (text), format, arguments);
	va_end (arguments);
	stage_record ("%s: %s", names[status], text);
	printf ("%s: %s\n", names[status], text);
	fflush (stdout);
	kill_nodes ();
	_exit (status);
}

static void *
watch_time (void *user)
{
	(void)user;
	stage_sleep_ms ((int64_t)RUN_MAX_S * 1000);
	stage_end (CASE_NOT_RUN, "the case took too long");
}

void
stage_thread (void *(*run) (void *), void *user)
{
	pthread_t thread;
	pthread_attr_t attributes;
	pthread_attr_init (&attributes);
	pthread_attr_setstacksize (&attributes, 256 * 1024);
	pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create (&thread, &attributes, run, user) != 0)
		stage_end (CASE_NOT_RUN, "no thread can be started");
	pthread_attr_destroy (&attributes);
}

void
stage_begin (int argc, char **argv)
{
	char path[STAGE_TEXT_SIZE];
	if (argc != 3) {
		fprintf (stderr, "usage: %s CASE-FOLDER TEMPORARY-FOLDER\n", argv[0]);
		_exit (CASE_NOT_RUN);
	}
	began_ms = clock_ms ();
	signal (SIGPIPE, SIG_IGN);
	snprintf (path, sizeof (path), "%s/record.txt", argv[1]);
	snprintf (temp_dir, sizeof (temp_dir), "%s", argv[2]);
	record = fopen (path, "w");
	if (!record) {
		fprintf (stderr, "%s cannot be written\n", path);
		_exit (CASE_NOT_RUN);
	}
	network = 0x4000 + (int)(getpid () % 0x3fff);
	stage_record ("trouble: %s", stage_has_trouble () ? "yes" : "no");
	stage_thread (watch_time, NULL);
}

void
stage_address (int host, char out[32])
{
	snprintf (out, 32, "127.%d.%d.%d", network >> 8, network & 255, host);
}

static void
set_address (struct sockaddr_in *out, const char *address, int port)
{
	memset (out, 0, sizeof (*out));
	out->sin_family = AF_INET;
	out->sin_port = htons ((uint16_t)port);
	inet_pton (AF_INET, address, &out->sin_addr);
}

bool
stage_send (int fd, const void *data, size_t len)
{
	const char *at = data;
	while (len > 0) {
		ssize_t n = send (fd, at, len, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		len -= (size_t)n;
	}
	return true;
}

int
stage_connect (const char *address, int port)
{
	struct sockaddr_in peer;
	int one = 1;
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd event = {.fd = fd, .events = POLLOUT};
	int error = 0;
	socklen_t len = sizeof (error);
	set_address (&peer, address, port);
	if (fd < 0)
		return -1;
	if (connect (fd, (const struct sockaddr *)&peer, sizeof (peer)) != 0 &&
		(errno != EINPROGRESS || poll (&event, 1, 1000) != 1 ||
			getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 || error != 0)) {
		close (fd);
		return -1;
	}
	fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof (one));
	return fd;
}

/* Returns the value of a header in a head; NULL if it is not there. */
static const char *
find_header (const char *head, const char *name, char *out, size_t size)
{
	size_t name_len = strlen (name);
	for (const char *line = strstr (head, "\r\n"); line; line = strstr (line + 2, "\r\n")) {
		const char *at = line + 2;
		if (strncasecmp (at, name, name_len) != 0 || at[name_len] != ':')
			continue;
		at += name_len + 1;
		at += strspn (at, " ");
		size_t len = strcspn (at, "\r\n");
		if (len >= size)
			len = size - 1;
		memcpy (out, at, len);
		out[len] = '\0';
		return out;
	}
	return NULL;
}

/*
 * Reads until the end of a head, or until end_ms. Returns the number of bytes read, of which
 * *head_len belong to the head; 0 after a timeout, -1 if the connection ended before.
 */
static ssize_t
read_head (int fd, char *data, size_t size, size_t *head_len, int64_t end_ms)
{
	size_t len = 0;
	for (;;) {
		int64_t left_ms = end_ms - stage_now_ms ();
		struct pollfd event = {.fd = fd, .events = POLLIN};
		if (left_ms <= 0 || poll (&event, 1, (int)left_ms) == 0)
			return 0;
		ssize_t n = recv (fd, data + len, size - 1 - len, 0);
		if (n <= 0)
			return -1;
		len += (size_t)n;
		data[len] = '\0';
		const char *end = strstr (data, "\r\n\r\n");
		if (end) {
			*head_len = (size_t)(end - data) + 4;
			return (ssize_t)len;
		}
		if (len + 1 >= size)
			return -1;
	}
}

/* A server: an address that threads accept on. */
struct server {
	int fd;
	struct stage_target *target; /* NULL: the platform's list */
};

struct connection {
	int fd;
	struct stage_target *target;
};

static bool
serve_list (int fd)
{
	char body[STAGE_TARGETS_MAX * 400];
	char head[256];
	size_t at = (size_t)snprintf (body, sizeof (body), "{\"instances\":[");
	for (int i = 0; i < target_count; i++)
		at += (size_t)snprintf (body + at, sizeof (body) - at,
			"%s{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":"
			"\"v1\","
			"\"slots\":%d,\"state\":\"ready\",\"warmup_left_ms\":0,\"id\":\"%s\","
			"\"born\":1700000000000}",
			i ? "," : "", targets[i].service, targets[i].address, STAGE_TARGET_PORT,
			targets[i].zone, targets[i].slots, targets[i].id);
	at += (size_t)snprintf (body + at, sizeof (body) - at, "],\"next_page_token\":null}");
	int len = snprintf (head, sizeof (head),
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		at);
	return stage_send (fd, head, (size_t)len) && stage_send (fd, body, at);
}

static bool
read_request (int fd, struct stage_request *request)
{
	char head[HEAD_MAX_BYTES];
	char value[64];
	size_t head_len = 0;
	ssize_t len = read_head (fd, head, sizeof (head), &head_len, stage_now_ms () + 3600 * 1000);
	if (len <= 0)
		return false;
	memset (request, 0, sizeof (*request));
	request->fd = fd;
	request->arrived_ms = stage_now_ms ();
	if (sscanf (head, "%15s %511s", request->method, request->path) != 2)
		return false;
	find_header (head, "Oleanderstile-Attempt-Id", request->attempt_id,
		sizeof (request->attempt_id));
	if (find_header (head, "Oleanderstile-Deadline-Ms", value, sizeof (value)))
		request->deadline_ms = strtol (value, NULL, 10);
	if (find_header (head, "Content-Length", value, sizeof (value)))
		request->body_len = strtoul (value, NULL, 10);
	for (size_t got = (size_t)len - head_len; got < request->body_len;) {
		ssize_t n = recv (fd, head, sizeof (head), 0);
		if (n <= 0)
			return false;
		got += (size_t)n;
	}
	return true;
}

static void *
serve_connection (void *user)
{
	struct connection *connection = user;
	struct stage_request request;
	while (read_request (connection->fd, &request)) {
		if (connection->target)
			stage_record ("run: %s of %s received %s %s %s", connection->target->id,
				connection->target->zone, request.attempt_id, request.method,
				request.path);
		bool kept = connection->target
				    ? connection->target->handle (connection->target, &request)
				    : serve_list (connection->fd);
		if (!kept)
			break;
	}
	close (connection->fd);
	free (connection);
	return NULL;
}

static void *
accept_connections (void *user)
{
	struct server *server = user;
	for (;;) {
		int one = 1;
		int fd = accept4 (server->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof (one));
		struct connection *connection = calloc (1, sizeof (*connection));
		connection->fd = fd;
		connection->target = server->target;
		stage_thread (serve_connection, connection);
	}
	return NULL;
}

static void
listen_at (const char *address, int port, struct stage_target *target)
{
	struct sockaddr_in own;
	struct server *server = calloc (1, sizeof (*server));
	int one = 1;
	set_address (&own, address, port);
	server->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	server->target = target;
	setsockopt (server->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof (one));
	if (bind (server->fd, (const struct sockaddr *)&own, sizeof (own)) != 0 ||
		listen (server->fd, LISTEN_BACKLOG) != 0)
		stage_end (CASE_NOT_RUN, "%s:%d is in use", address, port);
	stage_thread (accept_connections, server);
}

struct stage_target *
stage_add_target (const char *id, const char *service, const char *zone,
	bool (*handle) (struct stage_target *, struct stage_request *))
{
	struct stage_target *target = &targets[target_count];
	snprintf (target->id, sizeof (target->id), "%s", id);
	snprintf (target->service, sizeof (target->service), "%s", service);
	snprintf (target->zone, sizeof (target->zone), "%s", zone);
	stage_address (101 + target_count, target->address);
	target->slots = 6;
	target->handle = handle;
	target_count++;
	listen_at (target->address, STAGE_TARGET_PORT, target);
	stage_record ("target %s of %s in %s at %s", id, service, zone, target->address);
	return target;
}

void
stage_start_list (void)
{
	char address[32];
	stage_address (2, address);
	listen_at (address, STAGE_LIST_PORT, NULL);
}

bool
stage_reply (const struct stage_target *target, const struct stage_request *request, int status,
	const char *body, size_t body_len)
{
	char head[STAGE_TEXT_SIZE];
	int len = snprintf (head, sizeof (head),
		"HTTP/1.1 %d Reply\r\nContent-Length: %zu\r\nOleanderstile-Attempt-Id: %s\r\n"
		"Oleanderstile-Server-Stamp: %s.%s\r\nOleanderstile-Server-Load: 1,0,%d\r\n\r\n",
		status, body_len, request->attempt_id, target->id, request->attempt_id,
		target->slots);
	return stage_send (request->fd, head, (size_t)len) &&
	       stage_send (request->fd, body, body_len);
}

/* Fills in the template of a role, as the platform does at the start of a process. */
static void
write_settings (struct stage_node *node, const char *template, const char *zone)
{
	char line[STAGE_TEXT_SIZE];
	char seeds[160];
	char address[32];
	char values[24][2][STAGE_TEXT_SIZE];
	int count = 0;
	size_t at = 0;
	seeds[0] = '\0';
	for (int i = 0; i < STAGE_CONTROL_NODES; i++) {
		stage_address (11 + i, address);
		at += (size_t)snprintf (seeds + at, sizeof (seeds) - at, "%s%s:%d", i ? "," : "",
			address, STAGE_CONTROL_PORT);
	}
	stage_address (2, address);
#define ADD_VALUE(name, ...)                                                                       \
	do {                                                                                       \
		snprintf (values[count][0], sizeof (values[count][0]), "{{%s}}", name);            \
		snprintf (values[count][1], sizeof (values[count][1]), __VA_ARGS__);               \
		count++;                                                                           \
	} while (0)
	ADD_VALUE ("node_name", "%s", node->name);
	ADD_VALUE ("zone", "%s", zone);
	ADD_VALUE ("ip", "%s", node->address);
	ADD_VALUE ("internal_port_range.0", "%d", STAGE_PEER_PORT);
	ADD_VALUE ("internal_port_range.1", "%d", STAGE_PEER_PORT + 15);
	ADD_VALUE ("seeds", "%s", seeds);
	ADD_VALUE ("bootstrap", "true");
	ADD_VALUE ("listen.control", "%s:%d", node->address, STAGE_CONTROL_PORT);
	ADD_VALUE ("listen.front", "%s:%d", node->address, STAGE_ENTRY_PORT);
	ADD_VALUE ("listen.readiness", "%s:%d", node->address, STAGE_READINESS_PORT);
	ADD_VALUE ("data_dir", "%s/data-%s", temp_dir, node->name);
	ADD_VALUE ("fault_tolerance.machines", "1");
	ADD_VALUE ("cloud_api.address", "%s:%d", address, STAGE_LIST_PORT);
	ADD_VALUE ("cloud_api.rate_per_s", "58.0");
	ADD_VALUE ("cloud_api.max_lag_ms", "800");
	ADD_VALUE ("bounds.retry_budget_ratio", "0.2");
	ADD_VALUE ("bounds.retry_budget_slack", "52");
	ADD_VALUE ("bounds.budget_window_s", "10");
	ADD_VALUE ("bounds.warmup_factor", "1.5");
	ADD_VALUE ("bounds.warmup_slack", "5");
#undef ADD_VALUE
	snprintf (node->settings, sizeof (node->settings), "%s/%s.ini", temp_dir, node->name);
	FILE *in = fopen (template, "r");
	FILE *out = fopen (node->settings, "w");
	if (!in || !out)
		stage_end (
			CASE_NOT_RUN, "%s cannot be read; run in the repository's root", template);
	while (fgets (line, sizeof (line), in)) {
		for (int i = 0; i < count; i++) {
			char *found = strstr (line, values[i][0]);
			if (!found)
				continue;
			char rest[STAGE_TEXT_SIZE];
			snprintf (rest, sizeof (rest), "%s", found + strlen (values[i][0]));
			snprintf (found, sizeof (line) - (size_t)(found - line), "%s%s",
				values[i][1], rest);
			i = -1;
		}
		fputs (line, out);
	}
	fclose (in);
	fclose (out);
}

void
stage_start_node (struct stage_node *node)
{
	char path[STAGE_TEXT_SIZE];
	snprintf (path, sizeof (path), "%s/%s.log", temp_dir, node->name);
	int log = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	pid_t pid = fork ();
	if (pid == 0) {
		prctl (PR_SET_PDEATHSIG, SIGKILL);
		dup2 (log, STDOUT_FILENO);
		dup2 (log, STDERR_FILENO);
		execl ("target/oleanderstiled", "target/oleanderstiled", "--config", node->settings,
			(char *)NULL);
		_exit (127);
	}
	close (log);
	node->pid = pid;
	stage_record ("started %s (process %d)", node->name, (int)pid);
}

static struct stage_node *
add_node (const char *name, int number, int host, const char *template)
{
	static const char *const zones[] = {"leixoes-a", "matosinhos-b", "maia-c"};
	struct stage_node *node = &nodes[node_count++];
	snprintf (node->name, sizeof (node->name), "%s-%d", name, number);
	stage_address (host, node->address);
	write_settings (node, template, zones[number % 3]);
	return node;
}

void
stage_start_nodes (int entry_nodes)
{
	for (int i = 0; i < STAGE_CONTROL_NODES; i++)
		add_node ("control", i, 11 + i, "deploy/control.ini");
	for (int i = 0; i < entry_nodes; i++)
		add_node ("entry", i, 21 + i, "deploy/entry.ini");
	for (int i = 0; i < node_count; i++)
		stage_start_node (&nodes[i]);
}

struct stage_node *
stage_control_node (int index)
{
	return &nodes[index];
}

struct stage_node *
stage_entry_node (int index)
{
	return &nodes[STAGE_CONTROL_NODES + index];
}

void
stage_signal (struct stage_node *node, int signal, const char *name)
{
	stage_record ("%s to %s", name, node->name);
	kill (node->pid, signal);
}

/* Reads the rest of a body whose length is known. */
static bool
read_body (int fd, struct stage_answer *answer, size_t declared_len, int64_t end_ms)
{
	while (answer->body_len < declared_len) {
		int64_t left_ms = end_ms - stage_now_ms ();
		struct pollfd event = {.fd = fd, .events = POLLIN};
		if (left_ms <= 0 || poll (&event, 1, (int)left_ms) == 0)
			return false;
		ssize_t n = recv (fd, answer->body + answer->body_len,
			sizeof (answer->body) - 1 - answer->body_len, 0);
		if (n <= 0)
			return false;
		answer->body_len += (size_t)n;
	}
	answer->body[answer->body_len] = '\0';
	return true;
}

static void
read_answer (int fd, int64_t end_ms, struct stage_answer *answer)
{
	char head[HEAD_MAX_BYTES];
	char value[256];
	size_t head_len = 0;
	ssize_t len = read_head (fd, head, sizeof (head), &head_len, end_ms);
	if (len <= 0) {
		answer->status = (int)len;
		return;
	}
	size_t declared_len = 0;
	if (find_header (head, "Content-Length", value, sizeof (value)))
		declared_len = strtoul (value, NULL, 10);
	answer->has_stamp =
		find_header (head, "Oleanderstile-Server-Stamp", value, sizeof (value)) != NULL;
	answer->close = find_header (head, "Connection", value, sizeof (value)) &&
			strcasecmp (value, "close") == 0;
	answer->body_len = (size_t)len - head_len;
	if (answer->body_len >= sizeof (answer->body) || declared_len >= sizeof (answer->body)) {
		answer->status = -1;
		return;
	}
	memcpy (answer->body, head + head_len, answer->body_len);
	answer->body[answer->body_len] = '\0';
	if (!read_body (fd, answer, declared_len, end_ms))
		answer->status = -1;
	else
		answer->status = (int)strtol (head + strlen ("HTTP/1.1 "), NULL, 10);
}

void
stage_call (int fd, const char *method, const char *host, const char *path, const char *id,
	int deadline_ms, const char *body, int wait_ms, struct stage_answer *answer)
{
	char head[1024];
	int64_t end_ms = stage_now_ms () + wait_ms;
	size_t body_len = body ? strlen (body) : 0;
	size_t at = (size_t)snprintf (
		head, sizeof (head), "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host);
	if (id)
		at += (size_t)snprintf (head + at, sizeof (head) - at,
			"Oleanderstile-Attempt-Id: %s\r\nOleanderstile-Deadline-Ms: %d\r\n", id,
			deadline_ms);
	if (body)
		at += (size_t)snprintf (head + at, sizeof (head) - at,
			"Content-Type: application/json\r\nContent-Length: %zu\r\n", body_len);
	at += (size_t)snprintf (head + at, sizeof (head) - at, "\r\n");
	memset (answer, 0, sizeof (*answer));
	if (id)
		stage_record ("sent: %s %s %s", id, method, path);
	if (stage_send (fd, head, at) && (!body || stage_send (fd, body, body_len)))
		read_answer (fd, end_ms, answer);
	else
		answer->status = -1;
	if (id)
		stage_record (
			"answered: %s, status %d, %zu bytes", id, answer->status, answer->body_len);
}

void
stage_request (const struct stage_node *node, const char *method, const char *path, const char *id,
	int deadline_ms, const char *body, int wait_ms, struct stage_answer *answer)
{
	int fd = stage_connect (node->address, STAGE_ENTRY_PORT);
	memset (answer, 0, sizeof (*answer));
	if (fd < 0) {
		answer->status = -1;
		return;
	}
	stage_call (fd, method, "site.example", path, id, deadline_ms, body, wait_ms, answer);
	close (fd);
}

int
stage_order (int first, const char *method, const char *path, const char *body)
{
	struct stage_answer answer = {0};
	for (int i = 0; i < ORDER_TRIES; i++) {
		const struct stage_node *node = &nodes[(first + i) % STAGE_CONTROL_NODES];
		int fd = stage_connect (node->address, STAGE_CONTROL_PORT);
		answer.status = -1;
		if (fd >= 0) {
			stage_call (fd, method, node->address, path, NULL, 0, body, ORDER_WAIT_MS,
				&answer);
			close (fd);
		}
		stage_record ("operator: %s %s to %s: %s (status %d)", method, path, node->name,
			answer.status == 200 ? "confirmed" : "no confirmation", answer.status);
		if (answer.status >= 200 && answer.status < 500)
			return answer.status;
		stage_sleep_ms (100 * (i + 1));
	}
	return answer.status;
}

static bool
is_ready (const struct stage_node *node)
{
	struct stage_answer answer;
	int fd = stage_connect (node->address, STAGE_READINESS_PORT);
	if (fd < 0)
		return false;
	stage_call (fd, "GET", node->address, "/readiness", NULL, 0, NULL, 1000, &answer);
	close (fd);
	return answer.status == 200;
}

void
stage_begin_service (const char *manifest, int entry_nodes)
{
	int64_t end_ms = stage_now_ms () + START_WAIT_MS;
	while (stage_order (0, "POST", "/config/replace", manifest) != 200) {
		if (stage_now_ms () > end_ms)
			stage_end (CASE_NOT_RUN, "the first manifest was not accepted");
	}
	for (int i = 0; i < entry_nodes; i++) {
		while (!is_ready (stage_entry_node (i))) {
			if (stage_now_ms () > end_ms)
				stage_end (CASE_NOT_RUN, "entry node %d is not ready", i);
			stage_sleep_ms (50);
		}
	}
	stage_sleep_ms (1500);
	stage_record ("all entry nodes are ready");
}
