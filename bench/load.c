/**
 * @file load.c
 * Load generator. It sends requests to callers' addresses and checks every answer to a query, or
 * calls the targets directly to measure the same fan-out without the tier.
 *
 * With --route it sends to a declared route instead. A caller that is refused waits as Retry-After
 * says, for a third of its remaining time at most, and tries again, a few times in all. Its latency
 * includes these waits.
 *
 * Prints one JSON line: the numbers of requests by outcome (complete, partial, refused, unknown,
 * failed), of wrong and of mixed answers, and quantiles of the latency in microseconds.
 */
#include "core/buf.h"
#include "core/clock.h"
#include "core/rng.h"

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

enum {
	MAX_ADDRESSES = 64,
	MAX_SAMPLES = 1 << 20,
	ROUTE_ATTEMPTS = 4,
	ROUTE_WAIT_PART = 3, /* a caller waits for this part of its remaining time at most */
};

struct settings {
	char addresses[MAX_ADDRESSES][64];
	int address_count;
	const char *collection;
	long threads;
	long seconds;
	long rate_per_s; /* requests per second over all threads; 0: unlimited */
	long first_port;
	long fan_out;      /* > 0: call this number of targets directly, one connection each */
	long stride;       /* distance between the ports of two shards */
	bool once;         /* send at-most-once requests */
	const char *route; /* "HOST/PATH": send to this declared route */
	long deadline_ms;  /* of requests to a declared route */
};

struct result {
	_Atomic long answers;
	_Atomic long complete;
	_Atomic long partial;
	_Atomic long missing; /* shards that did not answer, over all answers */
	_Atomic long refused;
	_Atomic long wrong; /* malformed, or the rows do not match the coverage */
	_Atomic long mixed; /* a row is not of the answer's snapshot */
	_Atomic long failed;
	_Atomic long unknown; /* status 504 */
	_Atomic long repeats; /* attempts of callers that were refused before */
	_Atomic long samples;
	int64_t *latency_us;
};

static struct settings settings = {
	.collection = "register", .threads = 8, .seconds = 5, .stride = 3, .deadline_ms = 1000};
static struct result result;
static struct clock system_clock;
static _Atomic long scheduled; /* requests scheduled so far, with settings.rate_per_s */
static int64_t start_us;
static int64_t end_us;

static size_t
append_body (char *data, size_t size, size_t count, void *user)
{
	buf_add (user, data, size * count);
	return size * count;
}

/* libcurl prescribes the signature. */
static size_t
discard_body (char *data, // NOLINT(readability-non-const-parameter)
	size_t size, size_t count, void *user)
{
	(void)data;
	(void)user;
	return size * count;
}

/*
 * Every row must be of the answer's snapshot, and every shard must have rows or be listed as
 * missing.
 */
static void
check_answer (const struct buf *body)
{
	json_t *answer = json_loadb (body->data, body->len, 0, NULL);
	const json_t *coverage = json_object_get (answer, "coverage");
	const json_t *rows = json_object_get (answer, "rows");
	const json_t *missing = json_object_get (coverage, "missing");
	const char *snapshot = json_string_value (json_object_get (answer, "snapshot"));
	json_int_t shards = json_integer_value (json_object_get (coverage, "shards"));
	json_int_t answered = json_integer_value (json_object_get (coverage, "answered"));
	bool seen[4096] = {false};
	json_int_t distinct = 0;
	bool mixed = false;
	for (size_t i = 0; i < json_array_size (rows); i++) {
		const json_t *row = json_array_get (rows, i);
		const char *row_snapshot = json_string_value (json_object_get (row, "snapshot"));
		json_int_t shard = json_integer_value (json_object_get (row, "shard"));
		if (!row_snapshot || !snapshot || strcmp (row_snapshot, snapshot) != 0)
			mixed = true;
		if (shard >= 0 && shard < 4096 && !seen[shard]) {
			seen[shard] = true;
			distinct++;
		}
	}
	if (mixed)
		atomic_fetch_add (&result.mixed, 1);
	if (!answer || distinct != answered ||
		answered + (json_int_t)json_array_size (missing) != shards)
		atomic_fetch_add (&result.wrong, 1);
	atomic_fetch_add (answered == shards ? &result.complete : &result.partial, 1);
	atomic_fetch_add (&result.missing, (long)(shards - answered));
	json_decref (answer);
}

static void
record_latency (int64_t latency_us)
{
	long index = atomic_fetch_add (&result.samples, 1);
	if (index < MAX_SAMPLES)
		result.latency_us[index] = latency_us;
}

static void
call_tier (CURL *easy, struct rng *rng, struct buf *body, struct curl_slist *headers)
{
	char url[256];
	char text[96] = "{\"status\":\"accredited\"}";
	const char *address = settings.addresses[rng_below (rng, (uint64_t)settings.address_count)];
	if (settings.once) {
		snprintf (text, sizeof (text), "{\"renewal\":\"%016llx\"}",
			(unsigned long long)rng_next (rng));
		snprintf (url, sizeof (url), "http://%s/v1/services/%s/once", address,
			settings.collection);
	} else {
		snprintf (url, sizeof (url), "http://%s/v1/collections/%s/query", address,
			settings.collection);
	}
	long status = 0;
	buf_reset (body);
	curl_easy_setopt (easy, CURLOPT_URL, url);
	curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, text);
	curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
	int64_t before_us = clock_now_us (&system_clock);
	CURLcode code = curl_easy_perform (easy);
	int64_t took_us = clock_now_us (&system_clock) - before_us;
	curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK) {
		atomic_fetch_add (&result.failed, 1);
		return;
	}
	if (status == 503)
		atomic_fetch_add (&result.refused, 1);
	else if (status == 504)
		atomic_fetch_add (&result.unknown, 1);
	else if (status != 200)
		atomic_fetch_add (&result.failed, 1);
	if (status != 200)
		return;
	atomic_fetch_add (&result.answers, 1);
	record_latency (took_us);
	if (!settings.once)
		check_answer (body);
}

/* What a caller reads in the headers of an answer on a declared route. */
struct route_answer {
	long status; /* 0: none */
	long missing;
	int64_t retry_after_us;
};

static size_t
read_route_header (char *data, size_t size, size_t count, void *user)
{
	struct route_answer *answer = user;
	char line[128];
	size_t len = size * count < sizeof (line) - 1 ? size * count : sizeof (line) - 1;
	memcpy (line, data, len);
	line[len] = '\0';
	if (strncasecmp (line, "Retry-After:", 12) == 0)
		answer->retry_after_us = (int64_t)(strtod (line + 12, NULL) * US_PER_S);
	if (strncasecmp (line, "Oleanderstile-Missing-Parts:", 28) == 0)
		answer->missing = strtol (line + 28, NULL, 10);
	return size * count;
}

static struct route_answer
try_route (CURL *easy, struct rng *rng, int64_t remaining_us)
{
	struct route_answer answer = {0};
	char text[256];
	const char *path = strchr (settings.route, '/');
	struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
	snprintf (text, sizeof (text), "Host: %.*s", (int)(path - settings.route), settings.route);
	headers = curl_slist_append (headers, text);
	snprintf (text, sizeof (text), "Oleanderstile-Attempt-Id: %016llx",
		(unsigned long long)rng_next (rng));
	headers = curl_slist_append (headers, text);
	snprintf (text, sizeof (text), "Oleanderstile-Deadline-Ms: %lld",
		(long long)(remaining_us / US_PER_MS));
	headers = curl_slist_append (headers, text);
	snprintf (text, sizeof (text), "http://%s%s",
		settings.addresses[rng_below (rng, (uint64_t)settings.address_count)], path);
	curl_easy_setopt (easy, CURLOPT_URL, text);
	curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, read_route_header);
	curl_easy_setopt (easy, CURLOPT_HEADERDATA, &answer);
	curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)(remaining_us / US_PER_MS) + 1);
	if (curl_easy_perform (easy) == CURLE_OK)
		curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &answer.status);
	curl_slist_free_all (headers);
	return answer;
}

static void
count_route_answer (const struct route_answer *answer, int64_t took_us)
{
	switch (answer->status) {
	case 200:
		atomic_fetch_add (&result.answers, 1);
		atomic_fetch_add (answer->missing > 0 ? &result.partial : &result.complete, 1);
		atomic_fetch_add (&result.missing, answer->missing);
		record_latency (took_us);
		return;
	case 503:
		atomic_fetch_add (&result.refused, 1);
		return;
	case 504:
		atomic_fetch_add (&result.unknown, 1);
		return;
	default:
		atomic_fetch_add (&result.failed, 1);
	}
}

static void
call_route (CURL *easy, struct rng *rng, struct buf *body)
{
	int64_t before_us = clock_now_us (&system_clock);
	int64_t deadline_us = before_us + settings.deadline_ms * US_PER_MS;
	struct route_answer answer = {0};
	for (int i = 0; i < ROUTE_ATTEMPTS; i++) {
		int64_t remaining_us = deadline_us - clock_now_us (&system_clock);
		if (remaining_us <= US_PER_MS)
			break;
		if (i > 0)
			atomic_fetch_add (&result.repeats, 1);
		buf_reset (body);
		answer = try_route (easy, rng, remaining_us);
		if (answer.status != 503)
			break;
		remaining_us = deadline_us - clock_now_us (&system_clock);
		int64_t wait_us = remaining_us / ROUTE_WAIT_PART;
		if (answer.retry_after_us < wait_us)
			wait_us = answer.retry_after_us;
		struct timespec wait = {
			.tv_sec = wait_us / US_PER_S, .tv_nsec = wait_us % US_PER_S * 1000};
		nanosleep (&wait, NULL);
	}
	count_route_answer (&answer, clock_now_us (&system_clock) - before_us);
}

/* Delays a thread until the next request is due at the given rate; false once the run is over. */
static bool
wait_until_due (void)
{
	int64_t now_us = clock_now_us (&system_clock);
	if (settings.rate_per_s > 0) {
		long number = atomic_fetch_add (&scheduled, 1);
		int64_t due_us = start_us + number * US_PER_S / settings.rate_per_s;
		while (now_us < due_us && now_us < end_us) {
			int64_t remaining_us = due_us - now_us < 20000 ? due_us - now_us : 20000;
			struct timespec wait = {.tv_nsec = remaining_us * 1000};
			nanosleep (&wait, NULL);
			now_us = clock_now_us (&system_clock);
		}
	}
	return now_us < end_us;
}

static void *
run_tier (void *arg)
{
	struct rng rng = {.state = 17 + (uintptr_t)arg};
	struct buf body;
	CURL *easy = curl_easy_init ();
	struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
	buf_init (&body);
	curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt (easy, CURLOPT_PROXY, "");
	curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 10000L);
	curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt (easy, CURLOPT_WRITEDATA, &body);
	while (wait_until_due ()) {
		if (settings.route)
			call_route (easy, &rng, &body);
		else
			call_tier (easy, &rng, &body, headers);
	}
	curl_easy_cleanup (easy);
	curl_slist_free_all (headers);
	buf_finish (&body);
	return NULL;
}

static CURL *
direct_handle (long shard)
{
	char url[128];
	char header[64];
	CURL *easy = curl_easy_init ();
	snprintf (url, sizeof (url), "http://127.0.0.1:%ld/query",
		settings.first_port + shard * settings.stride);
	snprintf (header, sizeof (header), "X-Shard: %ld", shard);
	struct curl_slist *headers = curl_slist_append (NULL, header);
	headers = curl_slist_append (headers, "X-Snapshot: 1.1");
	headers = curl_slist_append (headers, "Expect:");
	curl_easy_setopt (easy, CURLOPT_URL, url);
	curl_easy_setopt (easy, CURLOPT_PROXY, "");
	curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "{\"status\":\"accredited\"}");
	curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_body);
	return easy;
}

/* Performs the fan-out in the client, over persistent connections and without the tier. */
static void *
run_direct (void *arg)
{
	(void)arg;
	CURLM *multi = curl_multi_init ();
	CURL **handles = xcalloc ((size_t)settings.fan_out, sizeof (*handles));
	for (long i = 0; i < settings.fan_out; i++)
		handles[i] = direct_handle (i);
	curl_multi_setopt (multi, CURLMOPT_MAXCONNECTS, settings.fan_out * 2);
	while (wait_until_due ()) {
		int running = 0;
		int64_t before_us = clock_now_us (&system_clock);
		for (long i = 0; i < settings.fan_out; i++)
			curl_multi_add_handle (multi, handles[i]);
		do {
			curl_multi_perform (multi, &running);
			if (running)
				curl_multi_poll (multi, NULL, 0, 1000, NULL);
		} while (running);
		record_latency (clock_now_us (&system_clock) - before_us);
		atomic_fetch_add (&result.answers, 1);
		for (long i = 0; i < settings.fan_out; i++)
			curl_multi_remove_handle (multi, handles[i]);
	}
	return NULL;
}

static int
compare_latencies (const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;
	return x < y ? -1 : x > y;
}

static long long
quantile (long count, double fraction)
{
	if (count == 0)
		return 0;
	long index = (long)((double)count * fraction);
	return (long long)result.latency_us[index < count ? index : count - 1];
}

static void
report (void)
{
	long count = atomic_load (&result.samples);
	count = count < MAX_SAMPLES ? count : MAX_SAMPLES;
	qsort (result.latency_us, (size_t)count, sizeof (int64_t), compare_latencies);
	printf ("{\"answers\":%ld,\"per_s\":%.0f,\"complete\":%ld,\"partial\":%ld,\"missing\":%ld,"
		"\"refused\":%ld,\"unknown\":%ld,\"failed\":%ld,\"wrong\":%ld,\"mixed\":%ld,"
		"\"repeats\":%ld,"
		"\"p50\":%lld,\"p90\":%lld,\"p99\":%lld,\"p999\":%lld}\n",
		atomic_load (&result.answers),
		(double)atomic_load (&result.answers) / (double)settings.seconds,
		atomic_load (&result.complete), atomic_load (&result.partial),
		atomic_load (&result.missing), atomic_load (&result.refused),
		atomic_load (&result.unknown), atomic_load (&result.failed),
		atomic_load (&result.wrong), atomic_load (&result.mixed),
		atomic_load (&result.repeats), quantile (count, 0.5), quantile (count, 0.9),
		quantile (count, 0.99), quantile (count, 0.999));
}

static void
parse_addresses (const char *list)
{
	while (*list && settings.address_count < MAX_ADDRESSES) {
		size_t len = strcspn (list, ",");
		if (len > 0 && len < 64)
			memcpy (settings.addresses[settings.address_count++], list, len);
		list += len + (list[len] == ',');
	}
}

static error_t
parse_argument (int key, char *arg, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 'a':
		parse_addresses (arg);
		return 0;
	case 'c':
		settings.collection = arg;
		return 0;
	case 't':
		settings.threads = strtol (arg, NULL, 10);
		return 0;
	case 's':
		settings.seconds = strtol (arg, NULL, 10);
		return 0;
	case 'r':
		settings.rate_per_s = strtol (arg, NULL, 10);
		return 0;
	case 'p':
		settings.first_port = strtol (arg, NULL, 10);
		return 0;
	case 'f':
		settings.fan_out = strtol (arg, NULL, 10);
		return 0;
	case 'd':
		settings.stride = strtol (arg, NULL, 10);
		return 0;
	case 'R':
		settings.route = arg;
		return strchr (arg, '/') ? 0 : ARGP_ERR_UNKNOWN;
	case 'D':
		settings.deadline_ms = strtol (arg, NULL, 10);
		return 0;
	case 'o':
		settings.once = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options_table[] = {
	{"addresses", 'a', "LIST", 0, "Callers' addresses of the nodes", 0},
	{"collection", 'c', "NAME", 0, "Collection; with --once, the service", 0},
	{"threads", 't', "N", 0, "Concurrent requests", 0},
	{"seconds", 's', "N", 0, "Duration of the run", 0},
	{"rate", 'r', "N", 0, "Requests per second over all threads; 0: unlimited", 0},
	{"direct-port", 'p', "PORT", 0, "Port of the first target for --fan-out", 0},
	{"fan-out", 'f', "N", 0, "Call N targets directly, without the tier", 0},
	{"stride", 'd', "N", 0, "Distance between the ports of two targets for --fan-out", 0},
	{"route", 'R', "HOST/PATH", 0, "Send to a declared route", 0},
	{"deadline-ms", 'D', "MS", 0, "Time that a caller has, for --route", 0},
	{"once", 'o', NULL, 0, "Send at-most-once requests", 0},
	{0},
};

static const struct argp argp = {options_table, parse_argument, NULL,
	"Generates load and checks every answer to a query.", NULL, NULL, NULL};

int
main (int argc, char **argv)
{
	argp_parse (&argp, argc, argv, 0, NULL, NULL);
	curl_global_init (CURL_GLOBAL_DEFAULT);
	clock_init_system (&system_clock);
	result.latency_us = xcalloc (MAX_SAMPLES, sizeof (int64_t));
	pthread_t *threads = xcalloc ((size_t)settings.threads, sizeof (*threads));
	start_us = clock_now_us (&system_clock);
	end_us = start_us + settings.seconds * US_PER_S;
	for (long i = 0; i < settings.threads; i++)
		pthread_create (&threads[i], NULL, settings.fan_out ? run_direct : run_tier,
			(void *)(uintptr_t)i);
	for (long i = 0; i < settings.threads; i++)
		pthread_join (threads[i], NULL);
	report ();
	return EXIT_SUCCESS;
}
