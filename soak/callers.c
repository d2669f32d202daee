#include "soak/callers.h"

#include "core/buf.h"

#include <arpa/inet.h>
#include <math.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	GIVE_UP_SLACK_US = 1500000, /* callers wait for longer than their deadline */
	LARGE_BODY_MAX_BYTES = 200000,
	SMALL_BODY_BYTES = 400,
	SLOW_RECEIVE_BUFFER = 4096,
	SLOW_READ_PAUSE_US = 3000,
	SLOW_SEND_PAUSE_MAX_MS = 400,
	TEXT_MAX_BYTES = LARGE_BODY_MAX_BYTES + 1024,
	LONG_PERCENT = 3,
	LONGEST_PERCENT = 2,
	LONG_WORK_MS = 700,
	LONGEST_WORK_MS = 1500,
	USUAL_WORK_MAX_MS = 60,
	WORK_MAX_FACTOR = 6,
	LAGGING_ONE_IN = 8,
	INVALID_KEY_ONE_IN = 16,
	NO_GENERATION = 1000000,  /* no version has a key of so high a generation */
	IDLE_PAUSE_MAX_MS = 6000, /* longer than a planned stop takes */
	/* The users' rule: planned work lasts until so long after SIGTERM, and a request is not
	 * counted if it was sent early in the grace period and its target worked until late in it.
	 */
	RULE_END_US = CLUSTER_GRACE_US + 1000000,
	RULE_EARLY_US = 3000000,
	RULE_LATE_US = CLUSTER_GRACE_US - CLUSTER_GRACE_US / 6,
};

static const char *const kind_names[] = {
	"kept", "idle", "new", "slow-sender", "slow-reader", "pipeline"};
static const struct site_route *
site_route (const struct caller *caller, enum caller_route route)
{
	return &caller->callers->cluster->site->routes[route];
}

/* An exponential distribution with a bound, or a mixture of short and long work. */
static int
work_ms (struct rng *rng, int mean_ms)
{
	if (mean_ms > 0) {
		double uniform = (double)(1 + rng_below (rng, 1000000)) / 1000000;
		double ms = -log (uniform) * mean_ms;
		return (int)fmin (ms, (double)WORK_MAX_FACTOR * mean_ms);
	}
	uint64_t percent = rng_below (rng, 100);
	if (percent < LONG_PERCENT)
		return LONG_WORK_MS;
	if (percent < LONG_PERCENT + LONGEST_PERCENT)
		return LONGEST_WORK_MS;
	return 2 + (int)rng_below (rng, USUAL_WORK_MAX_MS);
}

/* The load balancer's choice for a new connection; it may lag, or have no node in rotation. */
static int
choose_node (struct caller *caller)
{
	struct cluster *cluster = caller->callers->cluster;
	int first = (int)rng_below (&caller->rng, (uint64_t)cluster->entry_count);
	if (rng_below (&caller->rng, LAGGING_ONE_IN) == 0)
		return first;
	for (int i = 0; i < cluster->entry_count; i++) {
		int index = (first + i) % cluster->entry_count;
		if (cluster_entry (cluster, index)->in_rotation)
			return index;
	}
	return first;
}

static bool
connect_caller (struct caller *caller)
{
	int buffer = caller->kind == CALLER_SLOW_READER ? SLOW_RECEIVE_BUFFER : 0;
	if (caller->fd >= 0)
		return true;
	caller->node = choose_node (caller);
	caller->fd =
		http_connect (cluster_caller_port (caller->callers->cluster, caller->node), buffer);
	struct sockaddr_in self = {0};
	socklen_t size = sizeof (self);
	if (caller->fd >= 0 && getsockname (caller->fd, (struct sockaddr *)&self, &size) == 0)
		caller->port = ntohs (self.sin_port);
	return caller->fd >= 0;
}

static void
disconnect (struct caller *caller)
{
	if (caller->fd >= 0)
		close (caller->fd);
	caller->fd = -1;
}

static enum caller_route
choose_route (struct caller *caller)
{
	int weights = 0;
	int at = 0;
	if (caller->kind == CALLER_SLOW_SENDER || caller->kind == CALLER_SLOW_READER)
		return ROUTE_FILE;
	for (int i = 0; i < SITE_ROUTES; i++)
		weights += site_route (caller, (enum caller_route)i)->weight;
	int left = (int)rng_below (&caller->rng, (uint64_t)weights);
	while (left >= site_route (caller, (enum caller_route)at)->weight)
		left -= site_route (caller, (enum caller_route)at++)->weight;
	return (enum caller_route)at;
}

static size_t
body_bytes (const struct caller *caller)
{
	return caller->kind == CALLER_SLOW_READER
		       ? (size_t)caller->callers->cluster->site->large_body_bytes
		       : SMALL_BODY_BYTES;
}

/*
 * Every third caller is one of the hot account. Some requests have a key that was removed, or that
 * never existed.
 */
static void
choose_key (struct caller *caller, struct caller_case *item)
{
	struct cluster *cluster = caller->callers->cluster;
	item->account = -1;
	if (!cluster->accounts)
		return;
	long version = account_versions_at (&cluster->versions, http_now_us (), true);
	item->account = caller->number % ACCOUNTS_HOT_CALLERS == 0
				? ACCOUNT_HOT
				: 1 + caller->number % (ACCOUNTS - 1);
	item->generation = accounts_generation (version, item->account);
	if (rng_below (&caller->rng, INVALID_KEY_ONE_IN) == 0)
		item->generation += rng_below (&caller->rng, 2) ? NO_GENERATION : -2;
}

/* Writes a request; returns the length of its head. */
static size_t
write_request (struct caller *caller, struct caller_case *item, size_t *len)
{
	const struct site_route *route = site_route (caller, item->route);
	size_t body_len = item->route == ROUTE_FILE ? body_bytes (caller) : 0;
	item->body_len = body_len;
	if (route->answer_max_bytes)
		item->body_len = 1 + rng_below (&caller->rng, (uint64_t)route->answer_max_bytes);
	snprintf (item->id, sizeof (item->id), "%s-%s-%d-%ld", caller->callers->run, route->name,
		caller->number, caller->count++);
	int head = snprintf (caller->text, TEXT_MAX_BYTES,
		"%s /%s/x HTTP/1.1\r\nHost: site.example\r\nOleanderstile-Attempt-Id: %s\r\n"
		"Oleanderstile-Deadline-Ms: %d\r\nX-Work-Ms: %d\r\n",
		body_len ? "POST" : "GET", route->name, item->id, route->deadline_ms,
		work_ms (&caller->rng, route->work_ms));
	if (route->answer_max_bytes)
		head += snprintf (caller->text + head, TEXT_MAX_BYTES - (size_t)head,
			"X-Answer-Bytes: %zu\r\n", item->body_len);
	if (item->account >= 0) {
		char key[ACCOUNTS_KEY_SIZE];
		accounts_key (key, item->account, item->generation);
		head += snprintf (caller->text + head, TEXT_MAX_BYTES - (size_t)head,
			"Authorization: Bearer %s\r\n", key);
	}
	if (body_len)
		head += snprintf (caller->text + head, TEXT_MAX_BYTES - (size_t)head,
			"Content-Length: %zu\r\n", body_len);
	head += snprintf (caller->text + head, TEXT_MAX_BYTES - (size_t)head, "\r\n");
	for (size_t i = 0; i < body_len; i++)
		caller->text[(size_t)head + i] = (char)('a' + (i + (size_t)caller->number) % 26);
	*len = (size_t)head + body_len;
	return (size_t)head;
}

static void
send_request (struct caller *caller, struct caller_case *item)
{
	size_t len = 0;
	size_t head = write_request (caller, item, &len);
	size_t first = len;
	if (caller->kind == CALLER_SLOW_SENDER)
		first = head / 2 + rng_below (&caller->rng, len - head / 2);
	item->whole_sent = http_send (caller->fd, caller->text, first);
	if (!item->whole_sent || first == len)
		return;
	http_sleep_us (1000 * (int64_t)rng_below (&caller->rng, SLOW_SEND_PAUSE_MAX_MS));
	item->whole_sent = http_send (caller->fd, caller->text + first, len - first);
}

static bool
has_own_body (const struct caller *caller, const struct caller_case *item)
{
	const struct http_answer *answer = caller->answer;
	if (item->body_len == 0 || answer->status != 200)
		return true;
	size_t id_len = strlen (item->id);
	for (size_t i = 0; i < answer->body_len; i++) {
		char expected = item->route == ROUTE_FILE
					? (char)('a' + (i + (size_t)caller->number) % 26)
					: item->id[i % id_len];
		if (answer->body[i] != expected)
			return false;
	}
	return answer->body_len == item->body_len;
}

/* Whether the end of a request can only be judged at the targets. */
static bool
is_in_question (const struct caller_case *item)
{
	return item->end != HTTP_ANSWERED || item->status == 503 || item->status == 429 ||
	       item->status == 401 || item->mixed;
}

/* Whether a key was accepted or refused as the versions that may be in force demand. */
static void
judge_key (struct callers *callers, const struct caller_case *item)
{
	struct cluster *cluster = callers->cluster;
	const struct cluster_node *node = cluster_entry (cluster, item->node);
	enum key_verdict verdict = accounts_verdict (
		&cluster->versions, item->account, item->generation, item->begun_us, item->end_us);
	if (cluster_impairments (node, item->begun_us - ACCOUNTS_APPLY_US, item->end_us))
		verdict = KEY_EITHER;
	callers->report.false_401 += verdict == KEY_VALID && item->status == 401;
	callers->report.missed_401 +=
		verdict == KEY_INVALID && item->status != 401 && item->status != 503;
	bool ran = item->status != 401 && item->status != 429 && item->status != 503;
	if (ran && item->account == ACCOUNT_HOT && callers->run_count < CALLERS_RUNS_MAX)
		callers->runs[callers->run_count++] =
			(struct account_run){item->begun_us, item->end_us};
}

static void
record (struct caller *caller, struct caller_case *item)
{
	struct callers *callers = caller->callers;
	struct callers_report *report = &callers->report;
	const struct http_answer *answer = caller->answer;
	bool own = answer->id[0] == '\0' || strcmp (answer->id, item->id) == 0;
	pthread_mutex_lock (&callers->lock);
	if (item->end == HTTP_ANSWERED) {
		report->answered += item->status < 500;
		report->refused += item->status == 503;
		report->failed += item->status >= 500 && item->status != 503;
		item->mixed = !own || !has_own_body (caller, item);
		item->got_len = answer->body_len;
		memcpy (item->got, answer->id, sizeof (item->got));
		report->mixed += item->mixed;
	}
	if (item->end == HTTP_ANSWERED && item->account >= 0)
		judge_key (callers, item);
	if (is_in_question (item) && callers->case_count < CALLERS_CASES_MAX)
		callers->cases[callers->case_count++] = *item;
	pthread_mutex_unlock (&callers->lock);
}

/*
 * Reads the answer to a request. The answer to the request before it on the same connection may
 * come late, after its caller has given up; it belongs to that request.
 */
static void
receive_answer (struct caller *caller, struct caller_case *item, const struct caller_case *before,
	int64_t sent_us)
{
	const struct cluster_node *node = cluster_entry (caller->callers->cluster, item->node);
	struct http_answer *answer = caller->answer;
	int64_t pause_us = caller->kind == CALLER_SLOW_READER ? SLOW_READ_PAUSE_US : 0;
	int64_t deadline_us = 1000 * (int64_t)site_route (caller, item->route)->deadline_ms;
	int64_t until_us = sent_us + deadline_us + GIVE_UP_SLACK_US;
	http_read (caller->fd, pause_us, until_us, answer);
	if (before && before->end == HTTP_TIMED_OUT && before->received == 0 &&
		answer->end == HTTP_ANSWERED && strcmp (answer->id, before->id) == 0)
		http_read (caller->fd, pause_us, until_us, answer);
	item->end = answer->end;
	item->status = answer->status;
	item->received = answer->received;
	item->sent_us = sent_us;
	item->end_us = http_now_us ();
	item->stop_us = node->last_stop_us;
	record (caller, item);
}

static struct caller_case
new_case (const struct caller *caller, enum caller_route route)
{
	return (struct caller_case){
		.kind = caller->kind, .route = route, .node = caller->node, .port = caller->port};
}

/* Sends one request, or two at once, and reads what comes. */
static void
exchange (struct caller *caller)
{
	struct caller_case items[2];
	int count = caller->kind == CALLER_PIPELINE ? 2 : 1;
	int sent = 0;
	for (; sent < count; sent++) {
		items[sent] = new_case (caller, choose_route (caller));
		items[sent].begun_us = http_now_us ();
		choose_key (caller, &items[sent]);
		send_request (caller, &items[sent]);
		if (!items[sent].whole_sent)
			count = sent + 1;
	}
	int64_t sent_us = http_now_us ();
	bool close = false;
	for (int i = 0; i < count; i++) {
		items[i].excused = close;
		receive_answer (caller, &items[i], i > 0 ? &items[i - 1] : NULL, sent_us);
		close = close || caller->answer->end != HTTP_ANSWERED || caller->answer->close;
	}
	if (close || caller->kind == CALLER_NEW)
		disconnect (caller);
}

static void *
run_caller (void *user)
{
	struct caller *caller = user;
	struct callers *callers = caller->callers;
	while (!callers->stop) {
		if (connect_caller (caller)) {
			exchange (caller);
		} else {
			pthread_mutex_lock (&callers->lock);
			callers->report.not_connected++;
			pthread_mutex_unlock (&callers->lock);
		}
		int64_t max_ms = caller->kind == CALLER_IDLE ? IDLE_PAUSE_MAX_MS
							     : callers->cluster->site->pause_max_ms;
		int64_t pause_ms = (int64_t)rng_below (&caller->rng, (uint64_t)max_ms);
		http_sleep_us (pause_ms * 1000);
	}
	disconnect (caller);
	return NULL;
}

void
callers_start (struct callers *callers, struct cluster *cluster, const char *run,
	const int counts[CALLER_KINDS], uint64_t seed)
{
	memset (callers, 0, sizeof (*callers));
	callers->cluster = cluster;
	callers->run = run;
	callers->cases = xcalloc (CALLERS_CASES_MAX, sizeof (*callers->cases));
	callers->runs = xcalloc (CALLERS_RUNS_MAX, sizeof (*callers->runs));
	pthread_mutex_init (&callers->lock, NULL);
	for (int kind = 0; kind < CALLER_KINDS; kind++) {
		for (int i = 0; i < counts[kind] && callers->count < CALLERS_MAX; i++) {
			struct caller *caller = &callers->items[callers->count];
			caller->callers = callers;
			caller->kind = (enum caller_kind)kind;
			caller->number = callers->count;
			caller->fd = -1;
			caller->rng.state = seed * 1000 + (uint64_t)callers->count;
			caller->answer = xcalloc (1, sizeof (*caller->answer));
			caller->text = xmalloc (TEXT_MAX_BYTES);
			pthread_create (&caller->thread, NULL, run_caller, caller);
			callers->count++;
		}
	}
}

void
callers_stop (struct callers *callers)
{
	callers->stop = true;
	for (int i = 0; i < callers->count; i++)
		pthread_join (callers->items[i].thread, NULL);
}

/* Whether the users' rule counts a request without a whole answer, or why not. */
static const char *
rule_verdict (
	const struct callers *callers, const struct caller_case *item, struct cluster_work work)
{
	const struct site_route *route = &callers->cluster->site->routes[item->route];
	int64_t waited_us = item->end_us - item->sent_us;
	int timeout_ms =
		route->timeout_ms < route->deadline_ms ? route->timeout_ms : route->deadline_ms;
	if (!item->whole_sent)
		return "not sent whole";
	if (item->stop_us == 0 || item->end_us < item->stop_us ||
		item->end_us > item->stop_us + RULE_END_US)
		return "no SIGTERM near";
	if (work.broke_off > 0)
		return "a target broke off";
	if (waited_us >= 1000 * (int64_t)timeout_ms)
		return "its time was up";
	if (item->sent_us <= item->stop_us + RULE_EARLY_US &&
		work.last_us >= item->stop_us + RULE_LATE_US)
		return "its target was at work late in the grace period";
	if (work.runs == 0 && waited_us <= CALLERS_LOSS_SLACK_US)
		return "not run, closed at once";
	return "counted";
}

/* From SIGTERM of the node; -1 if there was none. */
static long long
ms_since_stop (const struct caller_case *item, int64_t at_us)
{
	return item->stop_us ? (long long)(at_us - item->stop_us) / 1000 : -1;
}

static enum proxy_closer
closer_of (const struct callers *callers, const struct caller_case *item)
{
	if (!callers->cluster->proxied)
		return PROXY_CLOSED_UNKNOWN;
	return proxy_closer (
		&cluster_entry (callers->cluster, item->node)->proxy, item->port, item->begun_us);
}

/* The cases that the proxy ended are printed to the log of the plan only. */
static void
print_case (const struct callers *callers, FILE *out, const char *promise,
	const struct caller_case *item, struct cluster_work work)
{
	static const char *const ends[] = {"answered", "closed", "no answer"};
	static const char *const closers[] = {
		"", ", closed by the caller", ", closed by the node", ", reset by the proxy"};
	const struct site_route *route = &callers->cluster->site->routes[item->route];
	char text[512];
	snprintf (text, sizeof (text),
		"%s: %s at %.3f s, %s caller of entry node %d, route %s: %s%s, status %d, %zu "
		"bytes, %lld ms "
		"after it was sent; sent %lld ms and ended %lld ms after SIGTERM, ran %d times; "
		"rule: %s\n",
		promise, item->id, (double)(item->end_us - callers->cluster->start_us) / 1000000,
		kind_names[item->kind], item->node, route->name, ends[item->end],
		closers[closer_of (callers, item)], item->status, item->received,
		(long long)(item->end_us - item->sent_us) / 1000,
		ms_since_stop (item, item->sent_us), ms_since_stop (item, item->end_us), work.runs,
		item->end == HTTP_ANSWERED ? "answered" : rule_verdict (callers, item, work));
	fputs (text, out);
	if (strcmp (promise, "RESET") != 0)
		fputs (text, stdout);
}

static void
count_lost (struct callers *callers, const struct caller_case *item, struct cluster_work work,
	FILE *out)
{
	callers->report.lost++;
	if (strcmp (rule_verdict (callers, item, work), "counted") == 0)
		callers->report.lost_by_rule++;
	print_case (callers, out, "LOST", item, work);
}

static void
check_unanswered (struct callers *callers, const struct caller_case *item, FILE *out)
{
	struct callers_report *report = &callers->report;
	struct cluster_work work = cluster_work (callers->cluster, item->id);
	int64_t waited_us = item->end_us - item->sent_us;
	const struct cluster_node *node = cluster_entry (callers->cluster, item->node);
	unsigned kinds = cluster_impairments (node, item->sent_us, item->end_us);
	bool reset = kinds == IMPAIRED_RESET && closer_of (callers, item) == PROXY_CLOSED_BY_PROXY;
	if (reset || (kinds & ~(unsigned)IMPAIRED_RESET)) {
		report->impaired++;
		report->reset += reset;
		if (reset)
			print_case (callers, out, "RESET", item, work);
	} else if (item->end == HTTP_TIMED_OUT) {
		report->timed_out++;
		print_case (callers, out, "NO ANSWER", item, work);
	} else if (!item->whole_sent && work.runs == 0) {
		report->cut_sending++;
	} else if (item->received > 0 || work.runs != 0 ||
		   (waited_us > CALLERS_LOSS_SLACK_US && !item->excused)) {
		count_lost (callers, item, work, out);
	} else {
		report->crossed++;
	}
}

/* The lowered quota binds windows that begin when all nodes must have its version. */
static void
check_quota (struct callers *callers)
{
	struct callers_report *report = &callers->report;
	int64_t bound_us = cluster_undisturbed_us (callers->cluster,
		account_versions_lowered_us (&callers->cluster->versions), ACCOUNTS_APPLY_US);
	report->most_in_window = accounts_most_in_window (callers->runs, callers->run_count, 0);
	report->most_lowered =
		accounts_most_in_window (callers->runs, callers->run_count, bound_us);
	if (report->most_in_window > accounts_bound (false))
		report->over_quota += report->most_in_window - accounts_bound (false);
	if (report->most_lowered > accounts_bound (true))
		report->over_quota += report->most_lowered - accounts_bound (true);
}

void
callers_check (struct callers *callers, FILE *out)
{
	for (int i = 0; i < callers->case_count; i++) {
		const struct caller_case *item = &callers->cases[i];
		struct cluster_work work = {0};
		if (item->mixed) {
			work = cluster_work (callers->cluster, item->id);
			print_case (callers, out, "MIXED", item, work);
			fprintf (out,
				"       its answer has the id %s and %zu bytes, %zu expected\n",
				item->got, item->got_len, item->body_len);
		}
		if (item->end != HTTP_ANSWERED) {
			check_unanswered (callers, item, out);
			continue;
		}
		if (item->status != 503 && item->status != 429 && item->status != 401)
			continue;
		if (item->route == ROUTE_FILE)
			work = cluster_work (callers->cluster, item->id);
		if (work.runs == 0)
			continue;
		callers->report.false_refusal++;
		print_case (callers, out, "REFUSED", item, work);
	}
	check_quota (callers);
	callers->report.twice = cluster_repeated (callers->cluster, "-file-");
	if (callers->report.twice != 0)
		fprintf (out, "TWICE: %ld requests\n", callers->report.twice);
}

void
callers_finish (struct callers *callers)
{
	for (int i = 0; i < callers->count; i++) {
		free (callers->items[i].answer);
		free (callers->items[i].text);
	}
	free (callers->cases);
	free (callers->runs);
	pthread_mutex_destroy (&callers->lock);
}

bool
callers_report_is_clean (const struct callers_report *report)
{
	return report->lost + report->timed_out + report->mixed + report->false_refusal +
		       report->twice + report->false_401 + report->missed_401 +
		       report->over_quota ==
	       0;
}
