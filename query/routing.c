#include "query/routing.h"

#include "core/buf.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

struct routing *
routing_new (void)
{
	struct routing *routing = xcalloc (1, sizeof (*routing));
	atomic_init (&routing->refs, 1);
	return routing;
}

struct routing *
routing_ref (struct routing *routing)
{
	atomic_fetch_add (&routing->refs, 1);
	return routing;
}

void
routing_unref (struct routing *routing)
{
	if (!routing || atomic_fetch_sub (&routing->refs, 1) != 1)
		return;
	for (int i = 0; i < routing->rule_count; i++) {
		free (routing->rules[i].name);
		free (routing->rules[i].host);
		free (routing->rules[i].prefix);
		free (routing->rules[i].parts);
	}
	for (int i = 0; i < routing->service_count; i++) {
		free (routing->services[i].name);
		free (routing->services[i].health_path);
	}
	free (routing->rules);
	free (routing->services);
	free (routing);
}

int
routing_find_service (const struct routing *routing, const char *name)
{
	for (int i = 0; i < routing->service_count; i++) {
		if (strcmp (routing->services[i].name, name) == 0)
			return i;
	}
	return -1;
}

struct routing_rule *
routing_find_rule (const struct routing *routing, const char *name)
{
	for (int i = 0; i < routing->rule_count; i++) {
		if (strcmp (routing->rules[i].name, name) == 0)
			return &routing->rules[i];
	}
	return NULL;
}

struct routing_rule *
routing_match (const struct routing *routing, const char *host, const char *path)
{
	size_t host_len = strcspn (host, ":");
	size_t path_len = strcspn (path, "?");
	struct routing_rule *best = NULL;
	size_t best_len = 0;
	for (int i = 0; i < routing->rule_count; i++) {
		struct routing_rule *rule = &routing->rules[i];
		size_t len = strlen (rule->prefix);
		if (len <= best_len || len > path_len || memcmp (rule->prefix, path, len) != 0 ||
			strlen (rule->host) != host_len ||
			strncasecmp (rule->host, host, host_len) != 0)
			continue;
		best = rule;
		best_len = len;
	}
	return best;
}

int
routing_next_part (struct routing_rule *rule)
{
	double total = 0;
	int best = 0;
	for (int i = 0; i < rule->part_count; i++) {
		struct routing_part *part = &rule->parts[i];
		total += part->weight;
		part->current_weight += part->weight;
		if (part->current_weight > rule->parts[best].current_weight)
			best = i;
	}
	rule->parts[best].current_weight -= total;
	return best;
}

int
routing_min_shards (const struct routing_rule *rule)
{
	/* 1e-4 absorbs the rounding of ratios such as 0.9, which have no exact binary form. */
	int min_shards = (int)ceil (rule->min_answered_ratio * rule->part_count - 1e-4);
	return min_shards < 1 ? 1 : min_shards;
}

uint64_t
routing_rule_digest (const struct routing *routing, const struct routing_rule *rule)
{
	uint64_t digest = XXH64 (&rule->top_k, sizeof (rule->top_k), (uint64_t)rule->part_count);
	for (int i = 0; i < rule->part_count; i++) {
		const char *name = routing->services[rule->parts[i].service].name;
		digest = XXH64 (name, strlen (name), digest);
	}
	return digest;
}
