#include "core/log.h"

#include "core/metrics.h"

#include <fcntl.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct event_info {
	enum log_event number;
	const char *name;
	enum log_level level;
	const char *meaning;
};

static const struct event_info events[] = {
#define EVENT(number, name, level, meaning) {EVENT_##name, #name, level, meaning},
#include "core/events.def"
#undef EVENT
};

static const char *const level_names[] = {"error", "warning", "info", "debug"};

static const struct event_info *
find_event (enum log_event number)
{
	for (size_t i = 0; i < sizeof (events) / sizeof (events[0]); i++) {
		if (events[i].number == number)
			return &events[i];
	}
	return &events[0];
}

/* Rate limit of one event. */
struct event_rate {
	_Atomic int64_t second; /* the second that lines counts in */
	_Atomic int lines;
	_Atomic int suppressed; /* lines since the last one that was written */
};

static struct event_rate rates[sizeof (events) / sizeof (events[0])];
static _Atomic int output = STDOUT_FILENO;

void
log_set_output (int fd)
{
	int flags = fcntl (fd, F_GETFL);
	if (flags >= 0)
		fcntl (fd, F_SETFL, flags | O_NONBLOCK);
	atomic_store (&output, fd);
}

/* Returns how many lines were suppressed before this one, or -1 to suppress this one as well. */
static int
apply_rate_limit (struct event_rate *rate, int64_t second)
{
	if (atomic_exchange (&rate->second, second) != second)
		atomic_store (&rate->lines, 0);
	if (atomic_fetch_add (&rate->lines, 1) < LOG_LINES_PER_S)
		return atomic_exchange (&rate->suppressed, 0);
	atomic_fetch_add (&rate->suppressed, 1);
	return -1;
}

int
log_level_parse (const char *name)
{
	for (int i = 0; i < 4; i++) {
		if (strcmp (level_names[i], name) == 0)
			return i;
	}
	return -1;
}

void
log_event (const struct log *log, enum log_event event, const char *format, ...)
{
	const struct event_info *info = find_event (event);
	if (info->level > log->level)
		return;
	struct timespec ts;
	clock_gettime (CLOCK_REALTIME, &ts);
	int suppressed = apply_rate_limit (&rates[info - events], ts.tv_sec);
	if (suppressed < 0) {
		metric_add (METRIC_LOG_SUPPRESSED, 1);
		return;
	}
	char detail[512];
	va_list args;
	va_start (args, format);
	vsnprintf (detail, sizeof (detail), format, args);
	va_end (args);
	json_t *line = json_pack ("{s:f, s:s, s:i, s:s, s:s, s:s+}", "time",
		(double)ts.tv_sec + (double)(ts.tv_nsec / 1000000) / 1e3, "level",
		level_names[info->level], "event", (int)event, "name", info->name, "module",
		log->module, "detail", detail, "");
	if (line && suppressed > 0)
		json_object_set_new (line, "left_out", json_integer (suppressed));
	char *text = line ? json_dumps (line, JSON_COMPACT | JSON_REAL_PRECISION (14)) : NULL;
	if (text) {
		/* One system call a line, so that lines of several threads do not interleave. */
		struct iovec parts[] = {{text, strlen (text)}, {(void *)"\n", 1}};
		if (writev (atomic_load (&output), parts, 2) < 0)
			metric_add (METRIC_LOG_LOST, 1);
	}
	free (text);
	json_decref (line);
}

void
log_print_catalogue (void)
{
	printf ("| number | name | level | meaning and remedy |\n|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof (events) / sizeof (events[0]); i++) {
		printf ("| %d | %s | %s | %s |\n", (int)events[i].number, events[i].name,
			level_names[events[i].level], events[i].meaning);
	}
}
