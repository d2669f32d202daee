#include "daemon/account_stats.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum { CAP_MIN = 128 };

static const char *const refusal_names[ACCOUNT_REFUSAL_COUNT] = {
	[ACCOUNT_REFUSED_NO_VIEW] = "no_view",
	[ACCOUNT_REFUSED_HEADERS] = "headers_too_large",
	[ACCOUNT_REFUSED_STOPPING] = "stopping",
	[ACCOUNT_REFUSED_QUOTA] = "quota",
	[ACCOUNT_REFUSED_NO_HOLDER] = "no_quota_holder",
	[ACCOUNT_REFUSED_NO_TARGET] = "no_target",
	[ACCOUNT_REFUSED_NO_ROOM] = "no_room",
	[ACCOUNT_REFUSED_DISPLACED] = "displaced",
	[ACCOUNT_REFUSED_NO_BUDGET] = "no_budget",
	[ACCOUNT_REFUSED_TARGETS_BUSY] = "targets_busy",
	[ACCOUNT_REFUSED_BY_TARGETS] = "targets_refused",
	[ACCOUNT_REFUSED_NO_TIME] = "no_time",
};

void
account_table_finish (struct account_table *table)
{
	for (int i = 0; i < table->count; i++)
		free (table->items[i].name);
	free (table->items);
	name_table_finish (&table->names);
	memset (table, 0, sizeof (*table));
}

static struct account_stats *
find (const struct account_table *table, const char *name, uint64_t id)
{
	struct name_table_search search = name_table_find (&table->names, id);
	int at = name_table_next (&search);
	while (at >= 0 && strcmp (table->items[at].name, name) != 0)
		at = name_table_next (&search);
	return at >= 0 ? &table->items[at] : NULL;
}

static void
grow (struct account_table *table)
{
	table->cap = table->cap ? table->cap * 2 : CAP_MIN;
	table->items = xrealloc (table->items, (size_t)table->cap * sizeof (*table->items));
	name_table_finish (&table->names);
	name_table_init (&table->names, (size_t)table->cap);
	for (int i = 0; i < table->count; i++)
		name_table_add (&table->names, table->items[i].id, i);
}

static struct account_stats *
add (struct account_table *table, const char *name, uint64_t id)
{
	if (table->count == table->cap)
		grow (table);
	struct account_stats *stats = &table->items[table->count];
	*stats = (struct account_stats){.name = xstrdup (name), .id = id};
	name_table_add (&table->names, id, table->count++);
	return stats;
}

struct account_stats *
account_table_get (struct account_table *table, const struct account *account)
{
	struct account_stats *stats = find (table, account->name, account->id);
	if (stats)
		return stats;
	if (table->count < ACCOUNT_STATS_MAX)
		return add (table, account->name, account->id);
	stats = find (table, "", 0);
	return stats ? stats : add (table, "", 0);
}

enum account_refusal
account_refusal_of (enum give_up reason)
{
	switch (reason) {
	case GIVE_UP_NO_TARGET:
		return ACCOUNT_REFUSED_NO_TARGET;
	case GIVE_UP_QUEUE_FULL:
		return ACCOUNT_REFUSED_NO_ROOM;
	case GIVE_UP_DISPLACED:
		return ACCOUNT_REFUSED_DISPLACED;
	case GIVE_UP_NO_BUDGET:
		return ACCOUNT_REFUSED_NO_BUDGET;
	case GIVE_UP_REFUSING:
		return ACCOUNT_REFUSED_TARGETS_BUSY;
	case GIVE_UP_ATTEMPTS:
		return ACCOUNT_REFUSED_BY_TARGETS;
	case GIVE_UP_NONE:
	case GIVE_UP_AGGREGATOR:
	case GIVE_UP_COUNT:
	case GIVE_UP_NO_TIME:
		return ACCOUNT_REFUSED_NO_TIME;
	}
	return ACCOUNT_REFUSED_NO_TIME;
}

static int
compare_requests (const void *a, const void *b)
{
	const struct account_stats *left = *(const struct account_stats *const *)a;
	const struct account_stats *right = *(const struct account_stats *const *)b;
	if (left->requests != right->requests)
		return left->requests > right->requests ? -1 : 1;
	return strcmp (left->name, right->name);
}

/** What is reported: the busiest accounts, and the sum of the others. */
struct report {
	const struct account_stats **busiest; /**< owned */
	int count;
	struct account_stats rest;
	int rest_accounts;
};

static void
report_init (struct report *report, const struct account_table *table)
{
	int named = 0;
	*report = (struct report){.rest.name = ""};
	report->busiest = xcalloc ((size_t)table->count + 1, sizeof (struct account_stats *));
	for (int i = 0; i < table->count; i++) {
		if (table->items[i].name[0])
			report->busiest[named++] = &table->items[i];
		else
			report->rest = table->items[i];
	}
	qsort ((void *)report->busiest, (size_t)named, sizeof (report->busiest[0]),
		compare_requests);
	report->count = named < ACCOUNT_STATS_REPORTED ? named : ACCOUNT_STATS_REPORTED;
	report->rest_accounts = named - report->count;
	for (int i = report->count; i < named; i++) {
		report->rest.requests += report->busiest[i]->requests;
		for (int j = 0; j < ACCOUNT_REFUSAL_COUNT; j++)
			report->rest.refused[j] += report->busiest[i]->refused[j];
	}
}

static void
write_counts (const struct account_stats *stats, struct buf *out)
{
	const char *separator = "";
	buf_addf (out, "\"requests\":%" PRIu64 ",\"refused\":{", stats->requests);
	for (int i = 0; i < ACCOUNT_REFUSAL_COUNT; i++) {
		if (stats->refused[i] == 0)
			continue;
		buf_addf (out, "%s\"%s\":%" PRIu64, separator, refusal_names[i], stats->refused[i]);
		separator = ",";
	}
	buf_addf (out, "}}");
}

void
account_table_write_json (const struct account_table *table, struct buf *out)
{
	struct report report;
	char name[TEXT_ESCAPED_SIZE];
	report_init (&report, table);
	buf_addf (out, "{\"busiest\":[");
	for (int i = 0; i < report.count; i++) {
		buf_addf (out, "%s{\"name\":\"%s\",", i ? "," : "",
			text_escape (report.busiest[i]->name, name));
		write_counts (report.busiest[i], out);
	}
	buf_addf (out, "],\"rest\":{\"accounts\":%d,", report.rest_accounts);
	write_counts (&report.rest, out);
	buf_addf (out, "}");
	free ((void *)report.busiest);
}

static void
write_requests (const struct account_stats *stats, struct buf *out)
{
	char name[TEXT_ESCAPED_SIZE];
	buf_addf (out, "oleanderstile_account_requests_total{account=\"%s\"} %" PRIu64 "\n",
		text_escape (stats->name, name), stats->requests);
}

static void
write_refusals (const struct account_stats *stats, struct buf *out)
{
	char name[TEXT_ESCAPED_SIZE];
	for (int i = 0; i < ACCOUNT_REFUSAL_COUNT; i++) {
		if (stats->refused[i] == 0)
			continue;
		buf_addf (out,
			"oleanderstile_account_refusals_total{account=\"%s\",reason=\"%s\"} "
			"%" PRIu64 "\n",
			text_escape (stats->name, name), refusal_names[i], stats->refused[i]);
	}
}

void
account_table_write_metrics (const struct account_table *table, struct buf *out)
{
	struct report report;
	if (table->count == 0)
		return;
	report_init (&report, table);
	buf_addf (out, "# HELP oleanderstile_account_requests_total Requests of the busiest "
		       "accounts, and of all others under an empty name\n"
		       "# TYPE oleanderstile_account_requests_total counter\n");
	for (int i = 0; i < report.count; i++)
		write_requests (report.busiest[i], out);
	write_requests (&report.rest, out);
	buf_addf (out, "# HELP oleanderstile_account_refusals_total Refused requests of these "
		       "accounts, by reason; nothing ran\n"
		       "# TYPE oleanderstile_account_refusals_total counter\n");
	for (int i = 0; i < report.count; i++)
		write_refusals (report.busiest[i], out);
	write_refusals (&report.rest, out);
	free ((void *)report.busiest);
}
