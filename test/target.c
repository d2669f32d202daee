/**
 * @file target.c
 * Mock targets on loopback, for tests and benchmarks. They implement the targets' protocol, enforce
 * their concurrency limits and inject faults.
 *
 * One process serves many targets on one thread, each on its own port. POST /control changes the
 * behaviour of a target; GET /counters returns its counters.
 *
 * With --replicas they are targets of declared routes instead: they speak the platform's protocol,
 * each of them serves the list of all of them at /instances, and they announce in their answers
 * that they leave ("announce") or refuse with a time to return ("busy_ms", "busy_every_ms",
 * "busy_offset_ms", "busy_value").
 */
#include "core/buf.h"
#include "core/clock.h"
#include "core/rng.h"
#include "targets/hint.h"

#include <argp.h>
#include <errno.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

enum {
	LEAVING_GRACE_US = 3000000,
	OVERLOAD_DOWN_US = 500000, /* how long an overloaded cold target refuses requests */
	PENDING_CHECK_US = 200,    /* interval of checks for due requests */
	CLOSE_CHECK_US = 2000,     /* interval of checks for connections closed by the caller */
	ONCE_ID_SLOTS = 1 << 16,
	BUSY_SLACK_US = 500000, /* a request on its way may still arrive for so long */
	MAX_SPANS = 4096,
};

struct settings {
	int first_port;
	int count;
	long service_us; /* time that a request takes */
	long straggle_per_mille;
	long straggle_ms; /* additional time of a straggler */
	long slots;
	long cold_limit;
	long cold_ms;
	long connect_us; /* additional time of the first request of a connection */
	long rows;
	long max_connections;
	const char *held_snapshots;
	long replicas; /* > 0: targets of declared routes, so many of each service */
};

struct counters {
	long requests;
	long overloads;      /* requests beyond the slots of a warm target */
	long cold_overloads; /* requests beyond the cold limit after the cold start was reported */
	long unreported_cold_overloads; /* the same before any reply reported the cold start */
	long sheds;                     /* requests refused because no slot was free */
	long snapshot_misses;           /* requests for a snapshot that the target does not hold */
	long cancelled;
	long once;
	long duplicates;    /* at-most-once requests with a body that already ran */
	long after_leaving; /* requests later than LEAVING_GRACE_US after leaving began */
	long silenced;      /* requests left without a reply */
	long max_running;
	long after_announce; /* requests later than LEAVING_GRACE_US after the first announcement */
	long busy;           /* requests refused with a time to return */
	long early;          /* requests in one time for which none was asked for, at most */
};

/* A time for which a target asked for no requests. */
struct span {
	int64_t refused_us;
	int64_t until_us;
	long early; /* requests that arrived in it, after BUSY_SLACK_US */
};

/* When a target refuses with a time to return. */
struct busy {
	int64_t from_us;  /* 0: never */
	int64_t long_us;  /* duration */
	int64_t every_us; /* repeats after; 0: does not */
	char value[32];   /* Retry-After in each refusal; empty: what is left of the duration */
};

struct target {
	int port;
	struct MHD_Daemon *daemon;
	long running;
	uint64_t boot_id;
	int64_t cold_until_us;
	int64_t down_until_us;
	int64_t leaving_us;       /* 0: not leaving */
	int64_t silent_before_us; /* connections opened before this get no reply */
	long service_us;
	long straggle_per_mille;
	bool cold_reported; /* a reply to the tier has carried the boot id of this cold start */
	bool malformed;     /* replies are not valid JSON */
	bool wrong_shard;   /* replies name another shard */
	char held_snapshots[128];
	bool foreign;         /* its answers carry the id of another request */
	bool unlisted;        /* left out of the list */
	bool announces;       /* its answers say that it leaves */
	int64_t announced_us; /* when one first did; 0: none has */
	struct busy busy;
	struct span spans[MAX_SPANS];
	int span_count;
	struct counters counters;
};

struct request {
	struct cds_list_head node; /* in the list of pending requests */
	struct target *target;
	struct MHD_Connection *connection;
	struct buf body;
	bool started;
	bool from_tier; /* not sent by a test script */
	bool holds_slot;
	bool is_pending;
	bool silent;  /* gets no reply because its connection was silenced */
	bool dropped; /* gets no reply because the caller left or the target restarted */
	int64_t due_us;
};

static struct settings settings = {.first_port = 9001,
	.count = 1,
	.service_us = 1000,
	.slots = 3,
	.cold_limit = 1,
	.rows = 2,
	.straggle_ms = 100,
	.max_connections = 100,
	.held_snapshots = "1.1"};
static struct target *targets;
static struct cds_list_head pending;
static struct clock system_clock;
static struct rng rng;
static uint64_t once_ids[ONCE_ID_SLOTS]; /* hash table of the bodies that ran */
static volatile sig_atomic_t stop;

static int64_t
now (void)
{
	return clock_now_us (&system_clock);
}

static bool
is_cold (const struct target *target)
{
	return now () < target->cold_until_us;
}

static void
restart (struct target *target, int64_t down_us)
{
	target->boot_id = rng_next (&rng) | 1;
	target->cold_reported = false;
	target->down_until_us = now () + down_us;
	target->cold_until_us = target->down_until_us + settings.cold_ms * US_PER_MS;
	target->announces = false;
	target->announced_us = 0;
	target->busy.from_us = 0;
	target->span_count = 0;
}

static const char *
header (struct MHD_Connection *connection, const char *name)
{
	const char *value = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
	return value ? value : "";
}

/* How long the target still refuses requests; 0: it takes them. */
static int64_t
busy_left_us (const struct target *target)
{
	const struct busy *busy = &target->busy;
	int64_t since_us = now () - busy->from_us;
	if (busy->from_us == 0 || since_us < 0)
		return 0;
	if (busy->every_us > 0)
		since_us %= busy->every_us;
	return since_us < busy->long_us ? busy->long_us - since_us : 0;
}

static void
count_early (struct target *target)
{
	for (int i = 0; i < target->span_count; i++) {
		struct span *span = &target->spans[i];
		if (now () <= span->refused_us + BUSY_SLACK_US || now () >= span->until_us)
			continue;
		span->early++;
		if (span->early > target->counters.early)
			target->counters.early = span->early;
	}
}

/* Writes the Retry-After of a refusal and remembers what it asks for. */
static void
ask_for_no_requests (struct target *target, int64_t left_us, char *value, size_t size)
{
	snprintf (value, size, "%.3f", (double)left_us / US_PER_S);
	if (target->busy.value[0])
		str_copy (value, size, target->busy.value);
	target->counters.busy++;
	if (target->span_count == MAX_SPANS)
		target->span_count = 0;
	target->spans[target->span_count++] = (struct span){
		.refused_us = now (),
		.until_us = now () + (int64_t)(strtod (value, NULL) * US_PER_S),
	};
}

static void
name_of (const struct target *target, char *name, size_t size)
{
	snprintf (name, size, "i-%td-%04x", target - targets, (unsigned)(target->boot_id >> 48));
}

/* A reply in the platform's protocol; one that did not run has a status other than 200. */
static enum MHD_Result
reply_to_route (struct request *request, unsigned status, const char *text)
{
	struct MHD_Connection *connection = request->connection;
	struct target *target = request->target;
	char value[64];
	int64_t left_us = status == 503 ? busy_left_us (target) : 0;
	struct MHD_Response *response = MHD_create_response_from_buffer (
		strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
	const char *id = header (connection, "Oleanderstile-Attempt-Id");
	MHD_add_response_header (
		response, "Oleanderstile-Attempt-Id", target->foreign ? "another" : id);
	name_of (target, value, sizeof (value));
	MHD_add_response_header (response, "Oleanderstile-Instance-Id", value);
	if (status == 200)
		MHD_add_response_header (response, "Oleanderstile-Server-Stamp", id);
	else
		MHD_add_response_header (response, "Oleanderstile-Not-Executed", "1");
	if (target->announces) {
		MHD_add_response_header (response, "Server-Leaving", "1");
		target->announced_us = target->announced_us ? target->announced_us : now ();
	}
	if (left_us > 0) {
		ask_for_no_requests (target, left_us, value, sizeof (value));
		MHD_add_response_header (response, "Retry-After", value);
	}
	enum MHD_Result result = MHD_queue_response (connection, status, response);
	MHD_destroy_response (response);
	return result;
}

static enum MHD_Result
reply (struct request *request, unsigned status, const char *text, const char *snapshot, bool ran)
{
	struct MHD_Connection *connection = request->connection;
	struct target *target = request->target;
	char number[32];
	struct MHD_Response *response = MHD_create_response_from_buffer (
		strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
	const char *id = header (connection, "X-Request-Id");
	const char *shard = header (connection, "X-Shard");
	MHD_add_response_header (response, "Content-Type", "application/json");
	if (id[0])
		MHD_add_response_header (response, "X-Request-Id", id);
	if (shard[0])
		MHD_add_response_header (response, "X-Shard", target->wrong_shard ? "999" : shard);
	if (snapshot[0])
		MHD_add_response_header (response, "X-Snapshot", snapshot);
	MHD_add_response_header (response, "X-Snapshots-Held", target->held_snapshots);
	snprintf (number, sizeof (number), "%016llx", (unsigned long long)target->boot_id);
	MHD_add_response_header (response, "X-Boot-Id", number);
	snprintf (number, sizeof (number), "%ld", target->running);
	MHD_add_response_header (response, "X-Load", number);
	if (is_cold (target))
		MHD_add_response_header (response, "X-Cold", "1");
	if (!ran)
		MHD_add_response_header (response, "X-Ran", "no");
	enum MHD_Result result = MHD_queue_response (connection, status, response);
	MHD_destroy_response (response);
	/* Replies to test scripts do not report the cold start to the tier. */
	target->cold_reported = target->cold_reported || request->from_tier;
	return result;
}

static void
release (struct request *request)
{
	if (request->holds_slot)
		request->target->running--;
	request->holds_slot = false;
	if (request->is_pending)
		cds_list_del (&request->node);
	request->is_pending = false;
}

static enum MHD_Result
reply_counters (struct request *request)
{
	const struct counters *c = &request->target->counters;
	char text[1024];
	snprintf (text, sizeof (text),
		"{\"port\":%d,\"requests\":%ld,\"overloads\":%ld,\"cold_overloads\":%ld,"
		"\"unreported_cold_overloads\":%ld,\"sheds\":%ld,\"snapshot_misses\":%ld,"
		"\"cancelled\":%ld,\"once\":%ld,\"duplicates\":%ld,"
		"\"after_leaving\":%ld,\"silenced\":%ld,\"max_running\":%ld,"
		"\"after_announce\":%ld,\"busy\":%ld,\"early\":%ld}",
		request->target->port, c->requests, c->overloads, c->cold_overloads,
		c->unreported_cold_overloads, c->sheds, c->snapshot_misses, c->cancelled, c->once,
		c->duplicates, c->after_leaving, c->silenced, c->max_running, c->after_announce,
		c->busy, c->early);
	return reply (request, 200, text, "", true);
}

/* The list of all targets, each of which is ready, whatever it announces in its answers. */
static enum MHD_Result
reply_list (struct request *request)
{
	struct buf list;
	char name[64];
	int written = 0;
	buf_init (&list);
	buf_addf (&list, "{\"instances\":[");
	for (int i = 0; i < settings.count; i++) {
		if (targets[i].unlisted)
			continue;
		name_of (&targets[i], name, sizeof (name));
		buf_addf (&list,
			"%s{\"id\":\"%s\",\"service\":\"s%ld\",\"address\":\"127.0.0.1:%d\","
			"\"zone\":\"z%ld\",\"version\":\"v1\",\"slots\":%ld,\"state\":\"ready\","
			"\"warmup_left_ms\":0,\"born\":1700000000000}",
			written++ ? "," : "", name, i / settings.replicas, targets[i].port,
			i % settings.replicas, settings.slots);
	}
	buf_addf (&list, "],\"next_page_token\":null}");
	enum MHD_Result result = reply (request, 200, list.data, "", true);
	buf_finish (&list);
	return result;
}

/* Closes the connections of the pending requests, as the end of a process does. */
static void
drop_pending (struct target *target)
{
	struct request *request;
	cds_list_for_each_entry (request, &pending, node) {
		if (request->target == target)
			request->dropped = true;
	}
}

static void
set_busy (struct busy *busy, const json_t *body)
{
	const char *value = json_string_value (json_object_get (body, "busy_value"));
	busy->from_us =
		now () + json_integer_value (json_object_get (body, "busy_offset_ms")) * US_PER_MS;
	busy->long_us = json_integer_value (json_object_get (body, "busy_ms")) * US_PER_MS;
	busy->every_us = json_integer_value (json_object_get (body, "busy_every_ms")) * US_PER_MS;
	str_copy (busy->value, sizeof (busy->value), value ? value : "");
}

static enum MHD_Result
apply_control (struct request *request)
{
	struct target *target = request->target;
	json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
	const json_t *value = NULL;
	if (json_is_true (json_object_get (body, "silence")))
		target->silent_before_us = now ();
	if (json_is_true (json_object_get (body, "cold")))
		restart (target, 0);
	if (json_is_true (json_object_get (body, "restart"))) {
		drop_pending (target);
		restart (target, 0);
	}
	if ((value = json_object_get (body, "leaving")))
		target->leaving_us = json_is_true (value) ? now () : 0;
	if ((value = json_object_get (body, "malformed")))
		target->malformed = json_is_true (value);
	if ((value = json_object_get (body, "wrong_shard")))
		target->wrong_shard = json_is_true (value);
	if ((value = json_object_get (body, "service_us")))
		target->service_us = (long)json_integer_value (value);
	if ((value = json_object_get (body, "straggle_per_mille")))
		target->straggle_per_mille = (long)json_integer_value (value);
	if ((value = json_object_get (body, "hold")))
		str_copy (target->held_snapshots, sizeof (target->held_snapshots),
			json_string_value (value));
	if ((value = json_object_get (body, "foreign")))
		target->foreign = json_is_true (value);
	if ((value = json_object_get (body, "unlisted")))
		target->unlisted = json_is_true (value);
	if ((value = json_object_get (body, "announce")))
		target->announces = json_is_true (value);
	if (json_object_get (body, "busy_ms"))
		set_busy (&target->busy, body);
	if (json_is_true (json_object_get (body, "clear")))
		memset (&target->counters, 0, sizeof (target->counters));
	json_decref (body);
	return reply (request, 200, "{}", "", true);
}

static bool
holds_snapshot (const struct target *target, const char *snapshot)
{
	size_t len = strlen (snapshot);
	for (const char *match = target->held_snapshots; len && (match = strstr (match, snapshot));
		match += len) {
		bool at_start = match == target->held_snapshots || match[-1] == ',';
		if (at_start && (match[len] == ',' || match[len] == '\0'))
			return true;
	}
	return false;
}

/* Records the body of an at-most-once request and counts it if it already ran. */
static void
record_once (struct request *request)
{
	uint64_t id = XXH64 (request->body.data, request->body.len, 0) | 1;
	uint64_t slot = id % ONCE_ID_SLOTS;
	request->target->counters.once++;
	while (once_ids[slot] && once_ids[slot] != id)
		slot = (slot + 1) % ONCE_ID_SLOTS;
	if (once_ids[slot] == id)
		request->target->counters.duplicates++;
	once_ids[slot] = id;
}

static enum MHD_Result
reply_rows (struct request *request, const char *url)
{
	struct MHD_Connection *connection = request->connection;
	const char *snapshot = header (connection, "X-Snapshot");
	struct buf rows;
	bool lookup = strncmp (url, "/entries/", 9) == 0;
	buf_init (&rows);
	buf_addf (&rows, "[");
	for (long i = 0; i < (lookup ? 1 : settings.rows); i++)
		buf_addf (&rows,
			"%s{\"key\":\"%s-%ld\",\"shard\":%s,\"snapshot\":\"%s\",\"port\":%d}",
			i ? "," : "", lookup ? url + 9 : header (connection, "X-Shard"), i,
			header (connection, "X-Shard"), snapshot, request->target->port);
	buf_addf (&rows, request->target->malformed ? "" : "]");
	enum MHD_Result result = reply (request, 200, rows.data, snapshot, true);
	buf_finish (&rows);
	return result;
}

static enum MHD_Result
answer (struct request *request, const char *url)
{
	release (request);
	if (request->silent || request->dropped)
		return MHD_NO;
	if (settings.replicas > 0)
		return reply_to_route (request, 200, "0123456789abcdef");
	if (strcmp (url, "/once") == 0)
		return reply (request, 200, "{\"filed\":true}", "", true);
	return reply_rows (request, url);
}

/*
 * The time that a request takes. Marks the request as silent if its connection was silenced. The
 * context of a connection is the time it was opened, negated after the first request.
 */
static int64_t
service_time_us (struct request *request)
{
	struct target *target = request->target;
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	int64_t *opened_us = info ? info->socket_context : NULL;
	int64_t time_us = target->service_us;
	if (opened_us && *opened_us > 0) {
		request->silent = *opened_us < target->silent_before_us;
		time_us += settings.connect_us;
		*opened_us = -*opened_us;
	} else if (opened_us) {
		request->silent = -*opened_us < target->silent_before_us;
	}
	if ((long)rng_below (&rng, 1000) < target->straggle_per_mille)
		time_us += settings.straggle_ms * US_PER_MS;
	return time_us;
}

/*
 * Returns whether a further request exceeds the limit. If so, counts the overload, and restarts the
 * target if it is cold.
 */
static bool
check_overload (struct target *target)
{
	long limit = is_cold (target) ? settings.cold_limit : settings.slots;
	if (target->running < limit)
		return false;
	target->counters.sheds++;
	if (!is_cold (target)) {
		target->counters.overloads++;
		return true;
	}
	if (target->cold_reported)
		target->counters.cold_overloads++;
	else
		target->counters.unreported_cold_overloads++;
	restart (target, OVERLOAD_DOWN_US);
	return true;
}

static enum MHD_Result
wait_until_due (struct request *request, int64_t time_us)
{
	request->due_us = request->silent ? INT64_MAX : now () + time_us;
	request->is_pending = true;
	cds_list_add (&request->node, &pending);
	MHD_suspend_connection (request->connection);
	return MHD_YES;
}

static void
take_slot (struct request *request)
{
	struct target *target = request->target;
	request->holds_slot = true;
	target->running++;
	if (target->running > target->counters.max_running)
		target->counters.max_running = target->running;
}

static enum MHD_Result
start_for_route (struct request *request)
{
	struct target *target = request->target;
	const char *intended = header (request->connection, "Oleanderstile-Target-Instance");
	char name[64];
	request->started = true;
	int64_t time_us = service_time_us (request);
	name_of (target, name, sizeof (name));
	if (strcmp (intended, name) != 0)
		return reply_to_route (request, 421, "");
	target->counters.requests++;
	count_early (target);
	if (target->announced_us && now () > target->announced_us + LEAVING_GRACE_US)
		target->counters.after_announce++;
	if (busy_left_us (target) > 0)
		return reply_to_route (request, 503, "");
	if (target->running >= settings.slots) {
		target->counters.sheds++;
		return reply_to_route (request, 503, "");
	}
	take_slot (request);
	return wait_until_due (request, time_us);
}

static enum MHD_Result
start (struct request *request, const char *url)
{
	struct target *target = request->target;
	int64_t now_us = now ();
	const char *snapshot = header (request->connection, "X-Snapshot");
	bool once = strcmp (url, "/once") == 0;
	request->started = true;
	request->from_tier = true;
	int64_t time_us = service_time_us (request);
	target->counters.requests++;
	if (target->leaving_us && now_us > target->leaving_us + LEAVING_GRACE_US)
		target->counters.after_leaving++;
	if (request->silent)
		target->counters.silenced++;
	else if (now_us < target->down_until_us || check_overload (target))
		return reply (request, 503, "{}", "", false);
	else if (!once && !holds_snapshot (target, snapshot)) {
		target->counters.snapshot_misses++;
		return reply (request, 409, "{}", "", false);
	}
	if (!request->silent) {
		take_slot (request);
		if (once)
			record_once (request);
	}
	if (time_us == 0 && !request->silent)
		return answer (request, url);
	return wait_until_due (request, time_us);
}

static enum MHD_Result
handle (void *user, struct MHD_Connection *connection, const char *url, const char *method,
	const char *version, const char *data, size_t *len, void **context)
{
	struct request *request = *context;
	(void)version;
	if (!request) {
		request = xcalloc (1, sizeof (*request));
		request->target = user;
		request->connection = connection;
		buf_init (&request->body);
		*context = request;
		return MHD_YES;
	}
	if (*len > 0) {
		buf_add (&request->body, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (request->started)
		return answer (request, url);
	if (strcmp (url, "/control") == 0)
		return apply_control (request);
	if (strcmp (url, "/counters") == 0)
		return reply_counters (request);
	if (settings.replicas > 0 && strcmp (url, "/health") == 0)
		return reply_to_route (request, busy_left_us (request->target) > 0 ? 503 : 200, "");
	if (settings.replicas > 0)
		return strncmp (url, "/instances", 10) == 0 ? reply_list (request)
							    : start_for_route (request);
	request->from_tier = true;
	if (strcmp (url, "/load") == 0 || strcmp (url, "/health") == 0)
		return reply (request, 200, "{}", "", true);
	(void)method;
	return start (request, url);
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **context,
	enum MHD_RequestTerminationCode code)
{
	struct request *request = *context;
	(void)user;
	(void)connection;
	(void)code;
	if (!request)
		return;
	release (request);
	buf_finish (&request->body);
	free (request);
	*context = NULL;
}

static void
on_connection (void *user, struct MHD_Connection *connection, void **context,
	enum MHD_ConnectionNotificationCode code)
{
	(void)user;
	(void)connection;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		int64_t *opened_us = xmalloc (sizeof (*opened_us));
		*opened_us = now ();
		*context = opened_us;
	} else {
		free (*context);
	}
}

static bool
is_closed_by_peer (struct MHD_Connection *connection)
{
	char byte;
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	return recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
resume_due (bool check_closed)
{
	struct request *request;
	struct request *next;
	int64_t now_us = now ();
	cds_list_for_each_entry_safe (request, next, &pending, node) {
		if (check_closed && is_closed_by_peer (request->connection)) {
			request->dropped = true;
			request->target->counters.cancelled++;
		}
		if (!request->dropped && request->due_us > now_us)
			continue;
		release (request);
		MHD_resume_connection (request->connection);
	}
}

static void
on_signal (int number)
{
	(void)number;
	stop = 1;
}

static error_t
parse_argument (int key, char *arg, struct argp_state *state)
{
	long number = arg ? strtol (arg, NULL, 10) : 0;
	(void)state;
	switch (key) {
	case 'p':
		settings.first_port = (int)number;
		return 0;
	case 'n':
		settings.count = (int)number;
		return 0;
	case 's':
		settings.service_us = number;
		return 0;
	case 'S':
		settings.straggle_per_mille = number;
		return 0;
	case 'M':
		settings.straggle_ms = number;
		return 0;
	case 'l':
		settings.slots = number;
		return 0;
	case 'c':
		settings.cold_limit = number;
		return 0;
	case 'C':
		settings.cold_ms = number;
		return 0;
	case 'x':
		settings.connect_us = number;
		return 0;
	case 'r':
		settings.rows = number;
		return 0;
	case 'm':
		settings.max_connections = number;
		return 0;
	case 'H':
		settings.held_snapshots = arg;
		return 0;
	case 'R':
		settings.replicas = number;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options_table[] = {
	{"port", 'p', "PORT", 0, "First port on 127.0.0.1", 0},
	{"targets", 'n', "N", 0, "Number of targets, each on its own port", 0},
	{"service-us", 's', "US", 0, "Time that a request takes", 0},
	{"straggle-per-mille", 'S', "N", 0, "Stragglers in a thousand requests", 0},
	{"straggle-ms", 'M', "MS", 0, "Additional time of a straggler", 0},
	{"slots", 'l', "N", 0, "Concurrent requests", 0},
	{"cold-limit", 'c', "N", 0, "Concurrent requests during a cold start", 0},
	{"cold-ms", 'C', "MS", 0, "Duration of a cold start; 0: none", 0},
	{"connect-us", 'x', "US", 0, "Additional time of the first request of a connection", 0},
	{"rows", 'r', "N", 0, "Rows in each reply", 0},
	{"max-connections", 'm', "N", 0, "Concurrent connections", 0},
	{"replicas", 'R', "N", 0, "Be targets of declared routes, N of each service", 0},
	{"hold", 'H', "LIST", 0, "Snapshots held, such as 1.1,1.2", 0},
	{0},
};

static const struct argp argp = {options_table, parse_argument, NULL,
	"Mock targets for tests and benchmarks.", NULL, NULL, NULL};

static bool
start_target (struct target *target, int index, int epoll_fd)
{
	target->port = settings.first_port + index;
	target->service_us = settings.service_us;
	target->straggle_per_mille = settings.straggle_per_mille;
	str_copy (target->held_snapshots, sizeof (target->held_snapshots), settings.held_snapshots);
	restart (target, 0);
	struct sockaddr_in address = {.sin_family = AF_INET,
		.sin_port = htons ((uint16_t)target->port),
		.sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
	target->daemon = MHD_start_daemon (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		handle, target, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)settings.max_connections, MHD_OPTION_END);
	if (!target->daemon)
		return false;
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info (target->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	struct epoll_event event = {.events = EPOLLIN, .data.ptr = target};
	return epoll_ctl (epoll_fd, EPOLL_CTL_ADD, info->epoll_fd, &event) == 0;
}

/* A daemon may have read more than it has processed, which no event reports. */
static bool
has_work (struct MHD_Daemon *daemon)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
	return MHD_get_timeout (daemon, &timeout_ms) == MHD_YES && timeout_ms == 0;
}

/* Returns whether a daemon has more work at once. */
static bool
run_daemons (void)
{
	bool work = false;
	for (int i = 0; i < settings.count; i++) {
		MHD_run (targets[i].daemon);
		work = has_work (targets[i].daemon) || work;
	}
	return work;
}

static void
run (int epoll_fd)
{
	struct epoll_event events[64];
	const struct timespec no_timeout = {0};
	const struct timespec busy_timeout = {.tv_nsec = PENDING_CHECK_US * 1000L};
	const struct timespec idle_timeout = {.tv_nsec = 20 * 1000000L};
	int64_t next_check_us = 0;
	bool work = false;
	while (!stop) {
		const struct timespec *timeout = work                        ? &no_timeout
						 : cds_list_empty (&pending) ? &idle_timeout
									     : &busy_timeout;
		int count = epoll_pwait2 (epoll_fd, events, 64, timeout, NULL);
		for (int i = 0; i < count; i++)
			MHD_run (((struct target *)events[i].data.ptr)->daemon);
		bool check_closed = now () >= next_check_us;
		if (check_closed)
			next_check_us = now () + CLOSE_CHECK_US;
		bool may_resume = !cds_list_empty (&pending);
		resume_due (check_closed);
		work = (count > 0 || may_resume || work) && run_daemons ();
	}
}

int
main (int argc, char **argv)
{
	argp_parse (&argp, argc, argv, 0, NULL, NULL);
	clock_init_system (&system_clock);
	rng.state = (uint64_t)settings.first_port;
	CDS_INIT_LIST_HEAD (&pending);
	signal (SIGTERM, on_signal);
	signal (SIGINT, on_signal);
	signal (SIGPIPE, SIG_IGN);
	targets = xcalloc ((size_t)settings.count, sizeof (*targets));
	int epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
	for (int i = 0; i < settings.count; i++) {
		if (!start_target (&targets[i], i, epoll_fd)) {
			fprintf (stderr, "cannot listen on port %d: %s\n", settings.first_port + i,
				strerror (errno));
			return EXIT_FAILURE;
		}
	}
	run (epoll_fd);
	return EXIT_SUCCESS;
}
