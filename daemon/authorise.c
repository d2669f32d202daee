#include "daemon/authorise.h"

#include <stdlib.h>
#include <string.h>

/* Whether control may have confirmed a newer state than the one in use. */
static bool
is_view_outdated (const struct front *front)
{
	return front_view_is_stale (front) ||
	       atomic_load (&front->posted_revision) != atomic_load (&front->reconciled);
}

static bool
has_just_resumed (const struct front *front)
{
	return front_now_us (front) < front->resumed_us + AUTHORISE_RESUME_US;
}

static void
remove_credentials (struct forward *forward)
{
	int kept = 0;
	for (int i = 0; i < forward->line_count; i++) {
		char *line = forward->lines[i];
		if (credentials_is_line (line)) {
			explicit_bzero (line, strlen (line));
			free (line);
		} else {
			forward->lines[kept++] = line;
		}
	}
	forward->line_count = kept;
}

static void
add_account_line (struct forward *forward, const struct account *account)
{
	struct buf line;
	buf_init (&line);
	credentials_account_line (account->name, &line);
	forward_add_line (forward, line.data);
}

enum authorisation
authorise (struct forward *forward, const struct routing_rule *rule)
{
	const struct front *front = forward->front;
	const struct accounts *accounts = &front->state->routing->accounts;
	const char *key = forward->head.credentials.key;
	int at = -1;
	forward->account = -1;
	if (accounts->count == 0)
		return AUTHORISED;
	if (!accounts_authorise (accounts, rule->needs_key, key, key ? strlen (key) : 0, &at))
		return is_view_outdated (front) ? UNAUTHORISED_STALE : UNAUTHORISED;
	if (at >= 0 && rule->needs_key && has_just_resumed (front) && is_view_outdated (front))
		return AUTHORISED_LATER;
	remove_credentials (forward);
	forward->account = at;
	if (at >= 0)
		add_account_line (forward, &accounts->items[at]);
	return AUTHORISED;
}

/* The counts of a request's account; NULL if it has none. */
static struct account_stats *
stats_of (const struct forward *forward, const struct routing *routing)
{
	int at = forward->account;
	if (at < 0 || at >= routing->accounts.count)
		return NULL;
	return account_table_get (&forward->front->accounts, &routing->accounts.items[at]);
}

void
authorise_scatter (struct forward *forward)
{
	struct scatter *scatter = &forward->scatter;
	struct account_stats *stats = stats_of (forward, scatter->routing);
	credentials_finish (&forward->head.credentials);
	if (!stats)
		return;
	const struct account *account = &scatter->routing->accounts.items[forward->account];
	stats->requests++;
	scatter_set_account (scatter, account->id,
		account->priority == ACCOUNT_PRIORITY_OF_ROUTE ? scatter->rule->priority
							       : account->priority);
}

void
authorise_count_refusal (const struct forward *forward, enum account_refusal reason)
{
	const struct front_state *state = forward->front->state;
	struct account_stats *stats =
		state && state->routing ? stats_of (forward, state->routing) : NULL;
	if (!stats)
		return;
	stats->requests++;
	stats->refused[reason]++;
}

void
authorise_count_end (const struct forward *forward)
{
	const struct scatter *scatter = &forward->scatter;
	struct account_stats *stats = stats_of (forward, scatter->routing);
	if (stats && scatter->result == SCATTER_REFUSED)
		stats->refused[account_refusal_of (scatter_refusal (scatter))]++;
}
