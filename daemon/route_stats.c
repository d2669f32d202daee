#include "daemon/route_stats.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>
#include <urcu/rculist.h>
#include <xxhash.h>

static const char *const outcome_names[ROUTE_OUTCOME_COUNT] = {
	"whole", "late", "partial", "refused", "failed", "caller_left"};

void
route_table_init (struct route_table *table)
{
	CDS_INIT_LIST_HEAD (&table->routes);
	table->count = 0;
	name_table_init (&table->names, ROUTE_STATS_MAX + 1);
}

static uint64_t
name_hash (const char *name)
{
	return XXH64 (name, strlen (name), 0);
}

static struct route_stats *
find_stats (const struct route_table *table, const char *name)
{
	struct name_table_search search = name_table_find (&table->names, name_hash (name));
	int at = name_table_next (&search);
	while (at >= 0 && strcmp (table->entries[at]->name, name) != 0)
		at = name_table_next (&search);
	return at >= 0 ? table->entries[at] : NULL;
}

struct route_stats *
route_table_get (struct route_table *table, const char *name)
{
	const char *entry_name = table->count < ROUTE_STATS_MAX ? name : "other";
	struct route_stats *stats = find_stats (table, name);
	if (!stats)
		stats = find_stats (table, entry_name);
	if (stats)
		return stats;
	stats = xcalloc (1, sizeof (*stats));
	str_copy (stats->name, sizeof (stats->name), entry_name);
	/* The exposition format quotes the name, so characters that need an escape are replaced. */
	for (char *c = stats->name; *c; c++) {
		if (*c == '"' || *c == '\\' || *c == '\n')
			*c = '_';
	}
	cds_list_add_tail_rcu (&stats->node, &table->routes);
	name_table_add (&table->names, name_hash (stats->name), table->count);
	table->entries[table->count++] = stats;
	return stats;
}

static enum route_outcome
request_outcome (const struct scatter *scatter, int64_t took_us)
{
	switch (scatter->result) {
	case SCATTER_MERGED:
	case SCATTER_REPLY:
		if (scatter->answered < scatter->shard_count)
			return ROUTE_PARTIAL;
		return took_us > scatter->rule->objective_us ? ROUTE_LATE : ROUTE_COMPLETE;
	case SCATTER_REFUSED:
		return ROUTE_REFUSED;
	case SCATTER_FAILED:
	case SCATTER_TIMEOUT:
		return ROUTE_FAILED;
	}
	return ROUTE_FAILED;
}

void
route_stats_record (struct route_stats *stats, const struct scatter *scatter, int64_t took_us)
{
	bool caller_left = scatter->phase != SCATTER_DONE;
	enum route_outcome outcome =
		caller_left ? ROUTE_CALLER_LEFT : request_outcome (scatter, took_us);
	atomic_fetch_add_explicit (&stats->outcomes[outcome], 1, memory_order_relaxed);
	if (outcome == ROUTE_COMPLETE || outcome == ROUTE_LATE || outcome == ROUTE_PARTIAL)
		histogram_observe (&stats->answers, took_us);
}

void
route_table_export (struct route_table *table, struct buf *out)
{
	const struct route_stats *stats;
	char labels[REPLICA_NAME_SIZE + 16];
	buf_addf (out, "# HELP oleanderstile_route_requests_total Requests on declared routes by "
		       "outcome\n# TYPE oleanderstile_route_requests_total counter\n");
	rcu_read_lock ();
	cds_list_for_each_entry_rcu (stats, &table->routes, node)
	{
		for (int i = 0; i < ROUTE_OUTCOME_COUNT; i++)
			buf_addf (out,
				"oleanderstile_route_requests_total{route=\"%s\",outcome=\"%s\"} "
				"%llu\n",
				stats->name, outcome_names[i],
				(unsigned long long)atomic_load_explicit (
					&stats->outcomes[i], memory_order_relaxed));
	}
	histogram_export_head (
		out, "route_answer_seconds", "Successful answers, from the arrival of the request");
	cds_list_for_each_entry_rcu (stats, &table->routes, node)
	{
		snprintf (labels, sizeof (labels), "route=\"%s\"", stats->name);
		histogram_export (&stats->answers, out, "route_answer_seconds", labels);
	}
	rcu_read_unlock ();
}
