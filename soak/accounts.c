#include "soak/accounts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { OTHER_RATE = 400, QUOTA_SLACK = 20, QUOTA_EXCESS_PERCENT = 10 };

long
accounts_generation (long version, int account)
{
	return (version + ACCOUNTS - 1 - account) / ACCOUNTS;
}

void
accounts_key (char key[ACCOUNTS_KEY_SIZE], int account, long generation)
{
	snprintf (key, ACCOUNTS_KEY_SIZE, "soak-key-%d-%ld", account, generation);
}

void
accounts_write (struct buf *out, long version, bool lowered)
{
	char key[ACCOUNTS_KEY_SIZE];
	char before[ACCOUNTS_KEY_SIZE];
	int hot_rate = lowered ? ACCOUNTS_LOWERED_RATE : ACCOUNTS_HOT_RATE;
	int hot_burst = lowered ? ACCOUNTS_LOWERED_BURST : ACCOUNTS_HOT_BURST;
	buf_addf (out, ",\"tenants\":[");
	for (int i = 0; i < ACCOUNTS; i++) {
		long generation = accounts_generation (version, i);
		accounts_key (key, i, generation);
		accounts_key (before, i, generation - 1);
		buf_addf (out,
			"%s{\"name\":\"account-%d\",\"api_keys\":[\"%s\",\"%s\"],\"priority\":%d,"
			"\"rate_per_s\":%d,\"burst\":%d}",
			i ? "," : "", i, key, before, i % 3,
			i == ACCOUNT_HOT ? hot_rate : OTHER_RATE,
			i == ACCOUNT_HOT ? hot_burst : OTHER_RATE);
	}
	buf_addf (out, "]");
}

void
account_versions_init (struct account_versions *versions)
{
	memset (versions, 0, sizeof (*versions));
	pthread_mutex_init (&versions->lock, NULL);
}

void
account_versions_add (struct account_versions *versions, int64_t at_us, long version, bool accepted)
{
	pthread_mutex_lock (&versions->lock);
	if (versions->count < ACCOUNTS_VERSIONS_MAX) {
		versions->items[versions->count].at_us = at_us;
		versions->items[versions->count].version = version;
		versions->items[versions->count++].accepted = accepted;
	}
	pthread_mutex_unlock (&versions->lock);
}

long
account_versions_next (struct account_versions *versions, bool lower)
{
	pthread_mutex_lock (&versions->lock);
	long version = ++versions->last;
	if (lower && versions->lowered == 0)
		versions->lowered = version;
	pthread_mutex_unlock (&versions->lock);
	return version;
}

bool
account_versions_is_lowered (struct account_versions *versions, long version)
{
	pthread_mutex_lock (&versions->lock);
	bool lowered = versions->lowered != 0 && version >= versions->lowered;
	pthread_mutex_unlock (&versions->lock);
	return lowered;
}

int64_t
account_versions_lowered_us (struct account_versions *versions)
{
	int64_t first_us = INT64_MAX;
	pthread_mutex_lock (&versions->lock);
	for (int i = 0; versions->lowered && i < versions->count; i++) {
		if (versions->items[i].accepted &&
			versions->items[i].version >= versions->lowered &&
			versions->items[i].at_us < first_us)
			first_us = versions->items[i].at_us;
	}
	pthread_mutex_unlock (&versions->lock);
	return first_us;
}

long
account_versions_at (struct account_versions *versions, int64_t at_us, bool accepted)
{
	long version = 0;
	pthread_mutex_lock (&versions->lock);
	for (int i = 0; i < versions->count; i++) {
		if (versions->items[i].accepted == accepted && versions->items[i].at_us <= at_us &&
			versions->items[i].version > version)
			version = versions->items[i].version;
	}
	pthread_mutex_unlock (&versions->lock);
	return version;
}

static bool
is_valid (long version, int account, long generation)
{
	long newest = accounts_generation (version, account);
	return generation == newest || generation == newest - 1;
}

enum key_verdict
accounts_verdict (struct account_versions *versions, int account, long generation, int64_t sent_us,
	int64_t end_us)
{
	/* Each node has at least the first of these versions, and at most the last one. */
	long first = account_versions_at (versions, sent_us - ACCOUNTS_APPLY_US, true);
	long last = account_versions_at (versions, end_us, false);
	bool valid = is_valid (first, account, generation);
	if (first == 0)
		return KEY_EITHER;
	for (long version = first + 1; version <= last; version++) {
		if (is_valid (version, account, generation) != valid)
			return KEY_EITHER;
	}
	return valid ? KEY_VALID : KEY_INVALID;
}

static int
compare_ends (const void *a, const void *b)
{
	const struct account_run *first = a;
	const struct account_run *second = b;
	return (first->end_us > second->end_us) - (first->end_us < second->end_us);
}

int
accounts_most_in_window (struct account_run *runs, int count, int64_t from_us)
{
	int most = 0;
	qsort (runs, (size_t)count, sizeof (*runs), compare_ends);
	for (int i = 0; i < count; i++) {
		int within = 0;
		for (int j = i; j >= 0 && runs[j].end_us >= runs[i].end_us - ACCOUNTS_WINDOW_US;
			j--)
			within += runs[j].sent_us >= runs[i].end_us - ACCOUNTS_WINDOW_US &&
				  runs[j].sent_us >= from_us;
		most = within > most ? within : most;
	}
	return most;
}

int
accounts_bound (bool lowered)
{
	int rate = lowered ? ACCOUNTS_LOWERED_RATE : ACCOUNTS_HOT_RATE;
	int burst = lowered ? ACCOUNTS_LOWERED_BURST : ACCOUNTS_HOT_BURST;
	int usual = rate * (ACCOUNTS_WINDOW_US / 1000000) + burst;
	return usual + usual * QUOTA_EXCESS_PERCENT / 100 + QUOTA_SLACK;
}
