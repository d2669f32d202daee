#include "query/routing.h"

#include "core/buf.h"

#include <ctype.h>
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

bool
routing_is_shared (struct routing *routing)
{
	return atomic_load (&routing->refs) > 1;
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
	name_table_finish (&routing->service_names);
	name_table_finish (&routing->rule_names);
	name_table_finish (&routing->rule_matches);
	accounts_finish (&routing->accounts);
	free (routing->prefix_lens);
	free (routing->rules);
	free (routing->services);
	free (routing);
}

static uint64_t
name_hash (const char *name)
{
	return XXH64 (name, strlen (name), 0);
}

/* Hosts are compared without regard to case. */
static uint64_t
host_hash (const char *host, size_t len)
{
	char lower[ROUTING_NAME_MAX + 1];
	len = len < sizeof (lower) ? len : sizeof (lower);
	for (size_t i = 0; i < len; i++)
		lower[i] = (char)tolower ((unsigned char)host[i]);
	return XXH64 (lower, len, 0);
}

void
routing_reserve (struct routing *routing, size_t rules, size_t services)
{
	routing->services = xcalloc (services + 1, sizeof (*routing->services));
	routing->rules = xcalloc (rules + 1, sizeof (*routing->rules));
	routing->prefix_lens = xcalloc (rules + 1, sizeof (*routing->prefix_lens));
	name_table_init (&routing->service_names, services);
	name_table_init (&routing->rule_names, rules);
	name_table_init (&routing->rule_matches, rules);
}

struct routing_service *
routing_add_service (struct routing *routing, const char *name)
{
	struct routing_service *service = &routing->services[routing->service_count];
	service->name = xstrdup (name);
	name_table_add (&routing->service_names, name_hash (name), routing->service_count++);
	return service;
}

static void
add_prefix_len (struct routing *routing, size_t len)
{
	size_t at = 0;
	while (at < routing->prefix_len_count && routing->prefix_lens[at] > len)
		at++;
	if (at < routing->prefix_len_count && routing->prefix_lens[at] == len)
		return;
	memmove (&routing->prefix_lens[at + 1], &routing->prefix_lens[at],
		(routing->prefix_len_count - at) * sizeof (routing->prefix_lens[0]));
	routing->prefix_lens[at] = len;
	routing->prefix_len_count++;
}

/* The route with this host and prefix; the hash is that of the host. */
static struct routing_rule *
find_match (const struct routing *routing, uint64_t hash, const char *host, size_t host_len,
	const char *prefix, size_t prefix_len)
{
	struct name_table_search search =
		name_table_find (&routing->rule_matches, XXH64 (prefix, prefix_len, hash));
	for (int at = name_table_next (&search); at >= 0; at = name_table_next (&search)) {
		struct routing_rule *rule = &routing->rules[at];
		if (strlen (rule->prefix) == prefix_len &&
			memcmp (rule->prefix, prefix, prefix_len) == 0 &&
			strlen (rule->host) == host_len &&
			strncasecmp (rule->host, host, host_len) == 0)
			return rule;
	}
	return NULL;
}

struct routing_rule *
routing_add_rule (struct routing *routing, const char *name, const char *host, const char *prefix)
{
	size_t prefix_len = strlen (prefix);
	size_t host_len = strlen (host);
	uint64_t hash = host_hash (host, host_len);
	if (find_match (routing, hash, host, host_len, prefix, prefix_len))
		return NULL;
	struct routing_rule *rule = &routing->rules[routing->rule_count];
	rule->name = xstrdup (name);
	rule->host = xstrdup (host);
	rule->prefix = xstrdup (prefix);
	name_table_add (&routing->rule_names, name_hash (name), routing->rule_count);
	name_table_add (
		&routing->rule_matches, XXH64 (prefix, prefix_len, hash), routing->rule_count);
	add_prefix_len (routing, prefix_len);
	routing->rule_count++;
	return rule;
}

int
routing_find_service (const struct routing *routing, const char *name)
{
	struct name_table_search search =
		name_table_find (&routing->service_names, name_hash (name));
	int at = name_table_next (&search);
	while (at >= 0 && strcmp (routing->services[at].name, name) != 0)
		at = name_table_next (&search);
	return at;
}

struct routing_rule *
routing_find_rule (const struct routing *routing, const char *name)
{
	struct name_table_search search = name_table_find (&routing->rule_names, name_hash (name));
	int at = name_table_next (&search);
	while (at >= 0 && strcmp (routing->rules[at].name, name) != 0)
		at = name_table_next (&search);
	return at >= 0 ? &routing->rules[at] : NULL;
}

struct routing_rule *
routing_match (const struct routing *routing, const char *host, const char *path)
{
	size_t host_len = strcspn (host, ":");
	size_t path_len = strcspn (path, "?");
	uint64_t hash = host_hash (host, host_len);
	for (size_t i = 0; i < routing->prefix_len_count; i++) {
		size_t len = routing->prefix_lens[i];
		struct routing_rule *rule =
			len <= path_len ? find_match (routing, hash, host, host_len, path, len)
					: NULL;
		if (rule)
			return rule;
	}
	return NULL;
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

bool
routing_same_services (const struct routing *routing, const struct routing_rule *rule,
	const struct routing *other, const struct routing_rule *other_rule)
{
	if (rule->part_count != other_rule->part_count)
		return false;
	for (int i = 0; i < rule->part_count; i++) {
		const char *name = routing->services[rule->parts[i].service].name;
		if (strcmp (name, other->services[other_rule->parts[i].service].name) != 0)
			return false;
	}
	return true;
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
