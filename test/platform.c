/**
 * @file platform.c
 * A mock of the users' platform on loopback: its target list, and targets that implement its
 * protocol. Faults are injected over HTTP, and each run of a request at a target is recorded.
 *
 * The list is at 127.0.0.1:PORT, replica R of service S at PORT + 1 + S * REPLICAS + R. TARGET is a
 * target's offset from PORT + 1, ON is 0 or 1.
 *
 *   GET  /instances             the list in pages, each with an entry that cannot be decoded
 *   POST /set/FAULT/TARGET/ON   FAULT: draining unlisted shed fail slow silent mismatch cold
 *                               stuck announce restarted busy endless
 *                               busy: refuses and asks for no requests for BUSY_MS
 *                               endless: the body of its answers does not end
 *                               paceslow, pacezero, pacejump: its answers report a pace of
 *                               PACE_LIE, of 0, or one of load_reports in turn
 *                               close, reset: works and ends the connection without an answer
 *                               down: it ends, and starts again under its id when the
 *                               fault is taken back; it is cold for COLD_MS then, which the
 *                               list shows lag_ms later
 *                               status: its answers have the status code 999; liststatus of
 *                               target 0: so has the list
 *                               announce: its answers say that it leaves, the list does not
 *                               cut: ends its connections but goes on
 *   GET  /coldest/TARGET        most requests in a second while a target was cold after a
 *                               start under its id
 *   GET  /worked/ID             longest time in ms that a target worked on the request with this id
 *   GET  /runs/ID               how often the request with this id ran, over all targets
 *   GET  /account/ID            the account that the first run of this request was for, "none"
 * without one, and " with credentials" if any of its headers contained some GET  /progress/ID how
 * often it ran, how many of these targets broke off, and when the last of them ended, in ms of the
 * monotonic clock GET  /repeated/TEXT         how many ids that contain TEXT ran more than once GET
 * /arrivals/TARGET       how many requests reached a target GET  /late/all              how many
 * reached a target that had been draining for over drain_ms GET  /early/TARGET          how many
 * reached it at most between half a second after one such refusal and the end of its time
 *
 * A request with the header X-Work-Ms takes that time, unless a fault of the target sets it. The
 * answer to a GET with X-Answer-Bytes is so long and repeats the request's id.
 *
 * Options are NAME=NUMBER after the arguments:
 *
 *   plain           1: the list has no entries that cannot be decoded
 *   last            targets of the last service, instead of REPLICAS
 *   zones           zones of the targets; REPLICAS if not given
 *   slots           slots of a target
 *   last_slots      slots of a target of the last service
 *   new             the last so many targets of each service have version v2, the others v1
 *   lag_ms          how late the list shows that a target was started again
 *   drain_ms        how long a draining target may be used
 *   pause_ms        each target pauses for so long
 *   pause_every_ms  in each such time, at a phase of its own
 */
#include "core/buf.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

enum {
	MAX_TARGETS = 128,
	MAX_RUNS = 524288,
	MAX_ANSWER_BYTES = 262144,
	RUN_ID_SIZE = 512,
	ACCOUNT_SIZE = 64,
	PAGE_ENTRIES = 5,
	SLOW_MS = 400,
	SILENT_MS = 3000, /* longer than any caller waits */
	STUCK_MS = 20000, /* longer than a planned stop takes */
	WORK_STEP_MS = 20,
	INVALID_STATUS = 999,
	BUSY_MS = 2000,
	BUSY_SLACK_MS = 500, /* a request on its way may still arrive for so long */
	MAX_SPANS = 4096,
	ENDLESS_BLOCK_BYTES = 65536,
	PACE_LIE = 900,
	COLD_MS = 3000,
	FAULTS_CHECK_MS = 10,
	CONNECTION_BYTES = 1048576,
	MAX_COLD_ARRIVALS = 4096,
};

enum fault {
	FAULT_DRAINING,
	FAULT_UNLISTED,
	FAULT_SHED,
	FAULT_FAIL,
	FAULT_SLOW,
	FAULT_SILENT,
	FAULT_MISMATCH, /* the reply carries the id of another request */
	FAULT_COLD,
	FAULT_STUCK,
	FAULT_ANNOUNCE,
	FAULT_BUSY,
	FAULT_ENDLESS,
	FAULT_CLOSE,
	FAULT_RESET,
	FAULT_STATUS,      /* its replies have the status code 999 */
	FAULT_LIST_STATUS, /* so has the list of targets; of target 0 */
	FAULT_RESTARTED,   /* another incarnation runs at its address */
	FAULT_PACE_SLOW,
	FAULT_PACE_ZERO,
	FAULT_PACE_JUMP,
	FAULT_DOWN,
	FAULT_CUT,
	FAULT_COUNT,
};

static const char *const fault_names[FAULT_COUNT] = {"draining", "unlisted", "shed", "fail", "slow",
	"silent", "mismatch", "cold", "stuck", "announce", "busy", "endless", "close", "reset",
	"status", "liststatus", "restarted", "paceslow", "pacezero", "pacejump", "down", "cut"};

/* What a target with the fault pacejump reports, one after another. */
static const char *const load_reports[] = {"1,0,4,100", "1,0,4,5000", "1,0,4,1", "0,0,4,0",
	"900,900,4,100", "1,0,4", "1,0,0,100", "1,0,4,-300", "1,0,4,99999999999999999999",
	"1,0,4,fast", "", "4,60,4,300"};

struct target {
	int number;
	int service;
	int arrivals;
	int64_t refused_ms[MAX_SPANS]; /* when it asked for no requests for BUSY_MS */
	int early[MAX_SPANS];          /* requests that arrived in that time */
	int span_count;
	int64_t draining_ms; /* since when */
	int late;            /* arrivals after drain_ms of it */
	bool faults[FAULT_COUNT];
	struct MHD_Daemon *daemon; /* NULL: down */
	int64_t started_ms;        /* when it was last started again; 0: never */
	int64_t previous_ms;       /* the start before that */
	int64_t cold_arrivals_ms[MAX_COLD_ARRIVALS];
	int cold_arrivals;
};

static struct {
	int plain;
	int last;
	int zones;
	int slots;
	int last_slots;
	int new;
	int drain_ms;
	int lag_ms;
	int pause_ms;
	int pause_every_ms;
} settings = {.slots = 4, .last_slots = 4, .drain_ms = 3000, .pause_every_ms = 1000};

static const struct {
	const char *name;
	int *value;
} options[] = {{"plain", &settings.plain}, {"last", &settings.last}, {"zones", &settings.zones},
	{"slots", &settings.slots}, {"last_slots", &settings.last_slots}, {"new", &settings.new},
	{"drain_ms", &settings.drain_ms}, {"lag_ms", &settings.lag_ms},
	{"pause_ms", &settings.pause_ms}, {"pause_every_ms", &settings.pause_every_ms}};

static struct target targets[MAX_TARGETS];
static int target_count;
static int base_port;
static int service_count;
static int replicas_per_service;
static int work_ms;
static char run_ids[MAX_RUNS][RUN_ID_SIZE];
static int worked_ms[MAX_RUNS]; /* until the run ended or its connection was closed */
static int64_t ended_ms[MAX_RUNS];
static bool broke_off[MAX_RUNS];
static char accounts[MAX_RUNS][ACCOUNT_SIZE];
static bool has_credentials[MAX_RUNS];
static int run_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* A request while it is being received. */
struct incoming {
	struct buf body;
};

static enum MHD_Result
answer (struct MHD_Connection *connection, unsigned status, const struct buf *lines,
	const char *body, size_t len)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer (len, (void *)body, MHD_RESPMEM_MUST_COPY);
	char *save = NULL;
	char *copy = xstrdup (lines && lines->len ? lines->data : "");
	for (char *line = strtok_r (copy, "\n", &save); line; line = strtok_r (NULL, "\n", &save)) {
		char *colon = strstr (line, ": ");
		*colon = '\0';
		MHD_add_response_header (response, line, colon + 2);
	}
	free (copy);
	enum MHD_Result result = MHD_queue_response (connection, status, response);
	MHD_destroy_response (response);
	return result;
}

static ssize_t
supply_bytes (void *user, uint64_t position, char *data, size_t max)
{
	(void)user;
	(void)position;
	memset (data, 'e', max);
	return (ssize_t)max;
}

static enum MHD_Result
answer_without_end (struct MHD_Connection *connection, const char *id)
{
	struct MHD_Response *response = MHD_create_response_from_callback (
		MHD_SIZE_UNKNOWN, ENDLESS_BLOCK_BYTES, supply_bytes, NULL, NULL);
	MHD_add_response_header (response, "Oleanderstile-Attempt-Id", id);
	MHD_add_response_header (response, "Oleanderstile-Server-Stamp", id);
	enum MHD_Result result = MHD_queue_response (connection, MHD_HTTP_OK, response);
	MHD_destroy_response (response);
	return result;
}

static const char *
name_of (const struct target *target)
{
	return target->faults[FAULT_RESTARTED] ? "j" : "i";
}

static int64_t
now_ms (void)
{
	struct timespec ts;
	clock_gettime (CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

/* How long a target stays cold after it was started again. */
static int
cold_left_ms (const struct target *target)
{
	int64_t left_ms = target->started_ms + COLD_MS - now_ms ();
	return target->started_ms != 0 && left_ms > 0 ? (int)left_ms : 0;
}

/* The start that the list shows, in ms of the monotonic clock; 0: the first one. */
static int64_t
listed_start_ms (const struct target *target)
{
	return now_ms () >= target->started_ms + settings.lag_ms ? target->started_ms
								 : target->previous_ms;
}

static void
note_cold_arrival (struct target *target)
{
	if (cold_left_ms (target) > 0 && target->cold_arrivals < MAX_COLD_ARRIVALS)
		target->cold_arrivals_ms[target->cold_arrivals++] = now_ms ();
}

static int
most_cold_arrivals (const struct target *target)
{
	int most = 0;
	for (int first = 0, last = 0; last < target->cold_arrivals; last++) {
		while (target->cold_arrivals_ms[first] + 1000 <= target->cold_arrivals_ms[last])
			first++;
		most = last - first + 1 > most ? last - first + 1 : most;
	}
	return most;
}

static void
write_list (struct buf *out, int first)
{
	int written = 0;
	int i = first;
	buf_addf (out, "{\"instances\":[%s",
		settings.plain ? "" : "{\"id\":\"broken\",\"service\":\"\xff\"}");
	for (; i < target_count && written < PAGE_ENTRIES; i++, written++) {
		const struct target *target = &targets[i];
		bool last = target->service == service_count - 1;
		if (target->faults[FAULT_UNLISTED])
			continue;
		buf_addf (out,
			"%s{\"id\":\"%s-%d\",\"service\":\"s%d\",\"address\":\"127.0.0.1:%d\","
			"\"zone\":\"z%d\",\"version\":\"v%d\",\"slots\":%d,\"state\":\"%s\","
			"\"warmup_left_ms\":%d,\"born\":%lld}",
			out->data[out->len - 1] == '[' ? "" : ",", name_of (target), i,
			target->service, base_port + 1 + i,
			i % (settings.zones ? settings.zones : replicas_per_service),
			i % replicas_per_service >= replicas_per_service - settings.new ? 2 : 1,
			last ? settings.last_slots : settings.slots,
			target->faults[FAULT_DRAINING] ? "draining" : "ready",
			target->faults[FAULT_COLD]                       ? 2000
			: listed_start_ms (target) == target->started_ms ? cold_left_ms (target)
									 : 0,
			1700000000000 + (long long)listed_start_ms (target));
	}
	/* Entries of another writer: nested, a port out of range, and a broken one. */
	if (!settings.plain)
		buf_addf (out,
			",[[{\"id\":\"]\"}]],{\"id\":\"port\",\"service\":\"s0\",\"address\":\"127."
			"0.0.1:%"
			"d\","
			"\"zone\":\"z0\",\"slots\":4,\"state\":\"ready\"},{\"id\":\"open}",
			65536 + base_port);
	if (i < target_count)
		buf_addf (out, "],\"next_page_token\":\"%d\"}", i);
	else
		buf_addf (out, "],\"next_page_token\":null}");
}

static int
count_runs (const char *id)
{
	int count = 0;
	for (int i = 0; i < run_count; i++)
		count += strcmp (run_ids[i], id) == 0;
	return count;
}

static void
write_account (const char *id, struct buf *out)
{
	for (int i = 0; i < run_count; i++) {
		if (strcmp (run_ids[i], id) != 0)
			continue;
		buf_addf (out, "%s%s", accounts[i][0] ? accounts[i] : "none",
			has_credentials[i] ? " with credentials" : "");
		return;
	}
}

static int
compare_ids (const void *a, const void *b)
{
	return strcmp (a, b);
}

static int
count_repeated (const char *text)
{
	int count = 0;
	char (*ids)[RUN_ID_SIZE] = xmemdup (run_ids, (size_t)run_count * sizeof (run_ids[0]));
	qsort (ids, (size_t)run_count, sizeof (ids[0]), compare_ids);
	for (int i = 1; i < run_count; i++)
		count += strcmp (ids[i], ids[i - 1]) == 0 && strstr (ids[i], text);
	free (ids);
	return count;
}

static int
longest_work_ms (const char *id)
{
	int longest_ms = 0;
	for (int i = 0; i < run_count; i++) {
		if (strcmp (run_ids[i], id) == 0 && worked_ms[i] > longest_ms)
			longest_ms = worked_ms[i];
	}
	return longest_ms;
}

/* Runs of a request, targets that broke off, and the end of the last one. */
static void
write_work (const char *id, struct buf *out)
{
	int runs = 0;
	int broken = 0;
	int64_t last_ms = 0;
	for (int i = 0; i < run_count; i++) {
		if (strcmp (run_ids[i], id) != 0)
			continue;
		runs++;
		broken += broke_off[i];
		last_ms = ended_ms[i] > last_ms ? ended_ms[i] : last_ms;
	}
	buf_addf (out, "%d %d %lld", runs, broken, (long long)last_ms);
}

static void
count_early (struct target *target)
{
	int64_t at_ms = now_ms ();
	for (int i = 0; i < target->span_count; i++)
		target->early[i] += at_ms > target->refused_ms[i] + BUSY_SLACK_MS &&
				    at_ms < target->refused_ms[i] + BUSY_MS;
}

static void
count_late (struct target *target)
{
	target->late += target->faults[FAULT_DRAINING] &&
			now_ms () > target->draining_ms + settings.drain_ms;
}

static int
all_late (void)
{
	int late = 0;
	for (int i = 0; i < target_count; i++)
		late += targets[i].late;
	return late;
}

static int
most_early (const struct target *target)
{
	int most = 0;
	for (int i = 0; i < target->span_count; i++)
		most = target->early[i] > most ? target->early[i] : most;
	return most;
}

static void
set_fault (const char *text)
{
	char name[16];
	int number = 0;
	int on = 0;
	if (sscanf (text, "%15[a-z]/%d/%d", name, &number, &on) != 3 || number >= target_count)
		return;
	for (int i = 0; i < FAULT_COUNT; i++) {
		if (strcmp (name, fault_names[i]) == 0)
			targets[number].faults[i] = on != 0;
	}
	if (strcmp (name, fault_names[FAULT_DRAINING]) == 0)
		targets[number].draining_ms = now_ms ();
}

static enum MHD_Result
serve_platform (struct MHD_Connection *connection, const char *url)
{
	struct buf out;
	buf_init (&out);
	buf_addf (&out, "%s", "");
	pthread_mutex_lock (&lock);
	unsigned status = 200;
	if (strcmp (url, "/instances") == 0) {
		status = targets[0].faults[FAULT_LIST_STATUS] ? INVALID_STATUS : 200;
		const char *token = MHD_lookup_connection_value (
			connection, MHD_GET_ARGUMENT_KIND, "page_token");
		write_list (&out, token ? atoi (token) : 0);
	} else if (strncmp (url, "/set/", 5) == 0) {
		set_fault (url + 5);
	} else if (strncmp (url, "/runs/", 6) == 0) {
		buf_addf (&out, "%d", count_runs (url + 6));
	} else if (strncmp (url, "/account/", 9) == 0) {
		write_account (url + 9, &out);
	} else if (strncmp (url, "/progress/", 10) == 0) {
		write_work (url + 10, &out);
	} else if (strncmp (url, "/repeated/", 10) == 0) {
		buf_addf (&out, "%d", count_repeated (url + 10));
	} else if (strncmp (url, "/worked/", 8) == 0) {
		buf_addf (&out, "%d", longest_work_ms (url + 8));
	} else if (strncmp (url, "/coldest/", 9) == 0) {
		buf_addf (&out, "%d", most_cold_arrivals (&targets[atoi (url + 9) % MAX_TARGETS]));
	} else if (strncmp (url, "/early/", 7) == 0) {
		buf_addf (&out, "%d", most_early (&targets[atoi (url + 7) % MAX_TARGETS]));
	} else if (strcmp (url, "/late/all") == 0) {
		buf_addf (&out, "%d", all_late ());
	} else if (strncmp (url, "/arrivals/", 10) == 0) {
		buf_addf (&out, "%d", targets[atoi (url + 10) % MAX_TARGETS].arrivals);
	}
	pthread_mutex_unlock (&lock);
	enum MHD_Result result = answer (connection, status, NULL, out.data, out.len);
	buf_finish (&out);
	return result;
}

static void
sleep_ms (int ms)
{
	struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000L};
	nanosleep (&ts, NULL);
}

static const char *
header (struct MHD_Connection *connection, const char *name)
{
	const char *value = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
	return value ? value : "";
}

/* A header of any name counts, so that a key under a misspelt one is seen. */
static enum MHD_Result
find_credentials (void *found, enum MHD_ValueKind kind, const char *name, const char *value)
{
	(void)kind;
	(void)name;
	*(bool *)found = *(bool *)found || (value && strcasestr (value, "bearer "));
	return MHD_YES;
}

static int
record_run (struct MHD_Connection *connection, const char *id)
{
	if (run_count == MAX_RUNS)
		return -1;
	str_copy (accounts[run_count], ACCOUNT_SIZE, header (connection, "Oleanderstile-Tenant"));
	MHD_get_connection_values (
		connection, MHD_HEADER_KIND, find_credentials, &has_credentials[run_count]);
	str_copy (run_ids[run_count], sizeof (run_ids[0]), id);
	return run_count++;
}

/* Simulates work for some time, or until the peer closes the connection. */
static void
simulate_work (struct MHD_Connection *connection, int run, int duration_ms)
{
	int fd =
		MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
	int elapsed_ms = 0;
	char byte;
	while (elapsed_ms < duration_ms) {
		int step_ms = duration_ms - elapsed_ms < WORK_STEP_MS ? duration_ms - elapsed_ms
								      : WORK_STEP_MS;
		sleep_ms (step_ms);
		elapsed_ms += step_ms;
		if (recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
			break;
	}
	pthread_mutex_lock (&lock);
	if (run >= 0) {
		worked_ms[run] = elapsed_ms;
		ended_ms[run] = now_ms ();
	}
	pthread_mutex_unlock (&lock);
}

/* A target pauses at times, each at its own. */
static void
wait_for_pause (const struct target *target)
{
	int64_t phase_ms = (int64_t)target->number * settings.pause_every_ms / target_count;
	int64_t position_ms = (now_ms () + phase_ms) % settings.pause_every_ms;
	if (position_ms < settings.pause_ms)
		sleep_ms ((int)(settings.pause_ms - position_ms));
}

static enum MHD_Result
break_off (struct MHD_Connection *connection, int run, bool reset)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	int fd =
		MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
	if (reset)
		setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof (linger));
	pthread_mutex_lock (&lock);
	if (run >= 0)
		broke_off[run] = true;
	pthread_mutex_unlock (&lock);
	return MHD_NO;
}

static void
write_bytes (const char *id, size_t len, struct buf *out)
{
	size_t id_len = strlen (id);
	for (size_t i = 0; i < len && i < MAX_ANSWER_BYTES; i++)
		buf_add (out, &id[i % id_len], 1);
}

/* Four records a shard, greatest for the last shard, and a tail shorter than a record. */
static void
write_records (const struct target *target, struct buf *out)
{
	for (int i = 0; i < 4; i++)
		buf_addf (out, "%c-%02d-record-%04d", 'a' + i, target->service, target->service);
	buf_addf (out, "tail");
}

/* Called with the lock held. */
static void
write_load (const struct target *target, struct buf *lines)
{
	enum { REPORTS = sizeof (load_reports) / sizeof (load_reports[0]) };
	if (target->faults[FAULT_PACE_JUMP])
		buf_addf (lines, "Oleanderstile-Server-Load: %s\n",
			load_reports[target->arrivals % REPORTS]);
	else if (target->faults[FAULT_PACE_SLOW] || target->faults[FAULT_PACE_ZERO])
		buf_addf (lines, "Oleanderstile-Server-Load: 1,0,4,%d\n",
			target->faults[FAULT_PACE_SLOW] ? PACE_LIE : 0);
	else
		buf_addf (lines, "Oleanderstile-Server-Load: 1,0,4\n");
}

static enum MHD_Result
answer_health (struct MHD_Connection *connection, const struct target *target)
{
	struct buf lines;
	buf_init (&lines);
	buf_addf (&lines, "Oleanderstile-Instance-Id: %s-%d\n", name_of (target), target->number);
	pthread_mutex_lock (&lock);
	if (cold_left_ms (target) > 0)
		buf_addf (&lines, "Oleanderstile-Warmup-Ms: %d\n", cold_left_ms (target));
	pthread_mutex_unlock (&lock);
	enum MHD_Result result = answer (connection, 200, &lines, "", 0);
	buf_finish (&lines);
	return result;
}

static enum MHD_Result
serve_target (struct MHD_Connection *connection, struct target *target, const char *method,
	const struct buf *body)
{
	const char *id = header (connection, "Oleanderstile-Attempt-Id");
	const char *intended_id = header (connection, "Oleanderstile-Target-Instance");
	char own_id[16];
	struct buf lines;
	struct buf out;
	buf_init (&lines);
	buf_init (&out);
	snprintf (own_id, sizeof (own_id), "%s-%d", name_of (target), target->number);
	buf_addf (&lines, "Oleanderstile-Instance-Id: %s\n", own_id);
	unsigned status = 200;
	int run = -1;
	pthread_mutex_lock (&lock);
	target->arrivals++;
	note_cold_arrival (target);
	count_early (target);
	write_load (target, &lines);
	bool busy = target->faults[FAULT_BUSY];
	bool announce = target->faults[FAULT_ANNOUNCE];
	bool fail = target->faults[FAULT_FAIL];
	bool endless = target->faults[FAULT_ENDLESS];
	bool mismatch = target->faults[FAULT_MISMATCH];
	bool invalid = target->faults[FAULT_STATUS];
	bool reset = target->faults[FAULT_RESET];
	bool close = target->faults[FAULT_CLOSE] || reset;
	size_t answer_bytes = strtoul (header (connection, "X-Answer-Bytes"), NULL, 10);
	const char *asked_ms = header (connection, "X-Work-Ms");
	int usual_ms = asked_ms[0] ? (int)strtol (asked_ms, NULL, 10) : work_ms;
	int duration_ms = target->faults[FAULT_SLOW]     ? SLOW_MS
			  : target->faults[FAULT_SILENT] ? SILENT_MS
			  : target->faults[FAULT_STUCK]  ? STUCK_MS
							 : usual_ms;
	if (id[0] == '\0' || header (connection, "Oleanderstile-Deadline-Ms")[0] == '\0')
		status = 400;
	else if (intended_id[0] && strcmp (intended_id, own_id) != 0)
		status = 421;
	else if (target->faults[FAULT_SHED] || busy)
		status = 503;
	else
		run = record_run (connection, id);
	if (status != 421)
		count_late (target);
	if (status == 503 && busy && target->span_count < MAX_SPANS)
		target->refused_ms[target->span_count++] = now_ms ();
	pthread_mutex_unlock (&lock);
	if (status == 200 && endless) {
		buf_finish (&lines);
		return answer_without_end (connection, id);
	}
	if (status == 200) {
		wait_for_pause (target);
		simulate_work (connection, run, duration_ms);
		if (close) {
			buf_finish (&lines);
			return break_off (connection, run, reset);
		}
		buf_addf (&lines,
			"Oleanderstile-Attempt-Id: %s\nOleanderstile-Server-Stamp: s%d.%s\n",
			mismatch ? "another" : id, target->service, id);
		if (fail)
			status = 500;
		else if (invalid)
			status = INVALID_STATUS;
		else if (strcmp (method, "GET") == 0 && answer_bytes)
			write_bytes (mismatch ? "another" : id, answer_bytes, &out);
		else if (strcmp (method, "GET") == 0)
			write_records (target, &out);
		else
			buf_add (&out, body->len ? body->data : "", body->len);
	} else if (status != 421) {
		buf_addf (&lines, "Oleanderstile-Not-Executed: 1\n");
		if (busy)
			buf_addf (&lines, "Retry-After: %.1f\n", BUSY_MS / 1000.0);
	}
	if (announce)
		buf_addf (&lines, "Server-Leaving: 1\n");
	enum MHD_Result result =
		answer (connection, status, &lines, out.len ? out.data : "", out.len);
	buf_finish (&lines);
	buf_finish (&out);
	return result;
}

static enum MHD_Result
on_request (void *user, struct MHD_Connection *connection, const char *url, const char *method,
	const char *version, const char *data, size_t *len, void **context)
{
	struct target *target = user;
	struct incoming *incoming = *context;
	(void)version;
	if (!incoming) {
		incoming = xcalloc (1, sizeof (*incoming));
		buf_init (&incoming->body);
		*context = incoming;
		return MHD_YES;
	}
	if (*len > 0) {
		buf_add (&incoming->body, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (target && strcmp (url, "/health") == 0)
		return answer_health (connection, target);
	return target ? serve_target (connection, target, method, &incoming->body)
		      : serve_platform (connection, url);
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **context,
	enum MHD_RequestTerminationCode code)
{
	struct incoming *incoming = *context;
	(void)user;
	(void)connection;
	(void)code;
	if (!incoming)
		return;
	buf_finish (&incoming->body);
	free (incoming);
	*context = NULL;
}

static struct MHD_Daemon *
listen_at (int port, struct target *target)
{
	struct MHD_Daemon *daemon = MHD_start_daemon (
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		(uint16_t)port, NULL, NULL, on_request, target, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_CONNECTION_TIMEOUT, 20U,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_BYTES, MHD_OPTION_END);
	if (!daemon) {
		fprintf (stderr, "cannot listen on port %d; free it\n", port);
		exit (EXIT_FAILURE);
	}
	return daemon;
}

/* Ends or starts a target as its faults demand. */
static void
follow_faults (struct target *target)
{
	pthread_mutex_lock (&lock);
	bool down = target->faults[FAULT_DOWN];
	bool cut = target->faults[FAULT_CUT];
	target->faults[FAULT_CUT] = false;
	pthread_mutex_unlock (&lock);
	if (target->daemon && (down || cut)) {
		/* Waits for the connections' threads, which may wait for the lock. */
		MHD_stop_daemon (target->daemon);
		target->daemon = NULL;
	}
	if (target->daemon || down)
		return;
	pthread_mutex_lock (&lock);
	if (!cut) {
		target->previous_ms = target->started_ms;
		target->started_ms = now_ms ();
	}
	pthread_mutex_unlock (&lock);
	target->daemon = listen_at (base_port + 1 + target->number, target);
}

static bool
read_option (const char *text)
{
	const char *value = strchr (text, '=');
	for (size_t i = 0; value && i < sizeof (options) / sizeof (options[0]); i++) {
		if (strlen (options[i].name) == (size_t)(value - text) &&
			strncmp (options[i].name, text, (size_t)(value - text)) == 0) {
			*options[i].value = (int)strtol (value + 1, NULL, 10);
			return true;
		}
	}
	return false;
}

int
main (int argc, char **argv)
{
	bool valid = argc >= 5;
	for (int i = 5; i < argc; i++)
		valid = read_option (argv[i]) && valid;
	if (!valid || settings.pause_every_ms < 1) {
		fprintf (stderr, "usage: stand-in-platform PORT SERVICES REPLICAS WORK-MS "
				 "[NAME=NUMBER...]\n");
		return EXIT_FAILURE;
	}
	base_port = atoi (argv[1]);
	replicas_per_service = atoi (argv[3]);
	work_ms = atoi (argv[4]);
	service_count = atoi (argv[2]);
	target_count = service_count * replicas_per_service;
	if (settings.last)
		target_count += settings.last - replicas_per_service;
	if (target_count < 1 || target_count > MAX_TARGETS)
		return EXIT_FAILURE;
	listen_at (base_port, NULL);
	for (int i = 0; i < target_count; i++) {
		targets[i].number = i;
		targets[i].service = i / replicas_per_service < service_count
					     ? i / replicas_per_service
					     : service_count - 1;
		targets[i].daemon = listen_at (base_port + 1 + i, &targets[i]);
	}
	for (;;) {
		for (int i = 0; i < target_count; i++)
			follow_faults (&targets[i]);
		sleep_ms (FAULTS_CHECK_MS);
	}
}
