#include "query/quota.h"

#include "core/buf.h"
#include "core/clock.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* The holder's part of the tolerance; reserves have the rest. */
static const double QUOTA_HOLDER_TOLERANCE = 0.5;

enum {
	DEPARTED_MIN = 16,
	/* Added to the age of a returned token, for its way here: more than any delay. */
	RETURN_TRANSIT_US = 50000,
};

static const struct accounts no_accounts;

static uint64_t
hash_of (const char *name)
{
	return XXH64 (name, strlen (name), 0);
}

/* A node's place in the order for an account, as in shares_rank(). */
static uint64_t
place_of (const struct quota_entry *entry, uint64_t node)
{
	return XXH64 (&node, sizeof (node), entry->hash);
}

void
quota_init (struct quota *quota, uint64_t own_hash, const struct quota_bound *bound)
{
	memset (quota, 0, sizeof (*quota));
	quota->bound = *bound;
	quota->own_hash = own_hash;
	quota->accounts = &no_accounts;
	quota->generation = 1;
	CDS_INIT_LIST_HEAD (&quota->entries);
	CDS_INIT_LIST_HEAD (&quota->returning);
	CDS_INIT_LIST_HEAD (&quota->nodes);
	shares_init (&quota->eligible, own_hash);
}

static void
free_entry (struct quota_entry *entry)
{
	cds_list_del (&entry->node);
	if (entry->returns.count > 0)
		cds_list_del (&entry->returns_node);
	free (entry->reserve);
	free (entry->name);
	free (entry);
}

void
quota_finish (struct quota *quota)
{
	struct quota_entry *entry;
	struct quota_entry *next_entry;
	struct quota_node *node;
	struct quota_node *next_node;
	cds_list_for_each_entry_safe (entry, next_entry, &quota->entries, node)
		free_entry (entry);
	cds_list_for_each_entry_safe (node, next_node, &quota->nodes, node) {
		cds_list_del (&node->node);
		free (node);
	}
	name_table_finish (&quota->names);
	shares_finish (&quota->eligible);
	free (quota->by_account);
	free (quota->departed);
}

int
quota_find_account (const struct quota *quota, const char *name)
{
	struct name_table_search search = name_table_find (&quota->names, hash_of (name));
	int at = name_table_next (&search);
	while (at >= 0 && strcmp (quota->accounts->items[at].name, name) != 0)
		at = name_table_next (&search);
	return at;
}

/* An account that is removed and declared again soon must not start with a full bucket. */
static void
bind_entries (struct quota *quota, int64_t now_us)
{
	struct quota_entry *entry;
	struct quota_entry *next;
	cds_list_for_each_entry_safe (entry, next, &quota->entries, node) {
		entry->account = quota_find_account (quota, entry->name);
		entry->refused_until_us = 0;
		if (entry->account >= 0)
			quota->by_account[entry->account] = entry;
		else if (entry->pins == 0 && entry->used_us + QUOTA_DEPARTED_US < now_us)
			free_entry (entry);
	}
}

void
quota_set_accounts (struct quota *quota, const struct accounts *accounts, int64_t now_us)
{
	quota->accounts = accounts ? accounts : &no_accounts;
	size_t count = (size_t)quota->accounts->count;
	name_table_finish (&quota->names);
	name_table_init (&quota->names, count);
	free (quota->by_account);
	quota->by_account = xcalloc (count + 1, sizeof (struct quota_entry *));
	quota->has_limits = false;
	for (size_t i = 0; i < count; i++) {
		const struct account *account = &quota->accounts->items[i];
		name_table_add (&quota->names, hash_of (account->name), (int)i);
		quota->has_limits = quota->has_limits || account->rate_per_s > 0;
	}
	bind_entries (quota, now_us);
}

bool
quota_is_limited (const struct quota *quota, int account)
{
	return account >= 0 && account < quota->accounts->count &&
	       quota->accounts->items[account].rate_per_s > 0;
}

struct quota_entry *
quota_get_entry (struct quota *quota, int account, int64_t now_us)
{
	struct quota_entry *entry = quota->by_account[account];
	if (!entry) {
		entry = xcalloc (1, sizeof (*entry));
		entry->name = xstrdup (quota->accounts->items[account].name);
		entry->hash = hash_of (entry->name);
		entry->account = account;
		cds_list_add (&entry->node, &quota->entries);
		quota->by_account[account] = entry;
	}
	entry->used_us = now_us;
	return entry;
}

static struct quota_node *
find_node (const struct quota *quota, const struct entry_node *entry)
{
	struct quota_node *node;
	cds_list_for_each_entry (node, &quota->nodes, node) {
		if (node->entry.hash == entry->hash &&
			strcmp (node->entry.address, entry->address) == 0)
			return node;
	}
	return NULL;
}

static void
forget_departed (struct quota *quota, int at)
{
	quota->departed[at] = quota->departed[--quota->departed_count];
}

static void
add_departed (struct quota *quota, uint64_t hash, int64_t now_us)
{
	if (quota->departed_count == quota->departed_cap) {
		quota->departed_cap = quota->departed_cap ? quota->departed_cap * 2 : DEPARTED_MIN;
		quota->departed = xrealloc (
			quota->departed, (size_t)quota->departed_cap * sizeof (*quota->departed));
	}
	quota->departed[quota->departed_count++] = (struct quota_departed){hash, now_us, INT64_MAX};
}

/* A node that is eligible again counts as that from now on. */
static void
remove_returned (struct quota *quota, const uint64_t *hashes, size_t count)
{
	for (int i = quota->departed_count - 1; i >= 0; i--) {
		for (size_t j = 0; j < count; j++) {
			if (hashes[j] == quota->departed[i].hash) {
				forget_departed (quota, i);
				break;
			}
		}
	}
}

static bool
contains (const uint64_t *hashes, size_t count, uint64_t hash)
{
	for (size_t i = 0; i < count; i++) {
		if (hashes[i] == hash)
			return true;
	}
	return false;
}

static void
mark_eligible (struct quota *quota, const struct entry_node *entry)
{
	struct quota_node *node = find_node (quota, entry);
	if (!node) {
		node = xcalloc (1, sizeof (*node));
		cds_list_add (&node->node, &quota->nodes);
	}
	node->entry = *entry;
	node->eligible = true;
}

void
quota_update_nodes (struct quota *quota, const struct entry_node *entries, size_t count,
	bool is_member, uint64_t epoch, const struct quota_standing *standing)
{
	uint64_t *hashes = xcalloc (count + 1, sizeof (*hashes));
	struct quota_node *node;
	size_t eligible = 0;
	bool own = false;
	for (size_t i = 0; i < count; i++) {
		if (!entries[i].leaving)
			hashes[eligible++] = entries[i].hash;
		own = own || (!entries[i].leaving && entries[i].hash == quota->own_hash);
	}
	cds_list_for_each_entry (node, &quota->nodes, node) {
		if (node->eligible && !contains (hashes, eligible, node->entry.hash))
			add_departed (quota, node->entry.hash, standing->now_us);
		node->eligible = false;
	}
	remove_returned (quota, hashes, eligible);
	for (size_t i = 0; i < count; i++) {
		if (!entries[i].leaving)
			mark_eligible (quota, &entries[i]);
	}
	own = own && is_member;
	if (!own)
		quota->joined_us = 0;
	else if (quota->joined_us == 0)
		quota->joined_us = standing->now_us;
	shares_update (&quota->eligible, hashes, eligible, own, epoch, standing->lease_generation);
	free (hashes);
	quota->generation++;
	quota_refresh (quota, standing);
}

struct quota_node *
quota_remove_unused (struct quota *quota)
{
	struct quota_node *node;
	cds_list_for_each_entry (node, &quota->nodes, node) {
		if (node->eligible || node->in_flight > 0)
			continue;
		cds_list_del (&node->node);
		return node;
	}
	return NULL;
}

static bool
may_still_hold (const struct shares *shares, uint64_t hash)
{
	for (int i = 0; i < shares->count; i++) {
		if (shares->holders[i].node == hash)
			return true;
	}
	return false;
}

static void
settle_departed (struct quota *quota, int64_t now_us)
{
	for (int i = quota->departed_count - 1; i >= 0; i--) {
		struct quota_departed *departed = &quota->departed[i];
		if (departed->settled_us == INT64_MAX) {
			if (!may_still_hold (&quota->eligible, departed->hash))
				departed->settled_us = now_us;
		} else if (departed->settled_us + QUOTA_DEPARTED_US < now_us) {
			if (departed->settled_us > quota->forgotten_us)
				quota->forgotten_us = departed->settled_us;
			forget_departed (quota, i);
		}
	}
}

/* As long as it has been a member with one lease since then. */
static bool
is_first_holder (const struct quota *quota, const struct quota_standing *standing)
{
	const struct ownership *ownership = &quota->eligible.ownership;
	return quota->is_first_use && standing->now_us < standing->lease_until_us &&
	       standing->lease_generation == quota->begun_lease && ownership->mine &&
	       ownership->since_epoch == quota->begun_epoch;
}

void
quota_begin (struct quota *quota, const struct quota_standing *standing)
{
	quota->is_first_use = true;
	quota->begun_us = standing->now_us;
	quota->begun_lease = standing->lease_generation;
	quota->begun_epoch = quota->eligible.ownership.since_epoch;
	quota_refresh (quota, standing);
}

void
quota_refresh (struct quota *quota, const struct quota_standing *standing)
{
	bool has_lease = standing->now_us < standing->lease_until_us;
	bool usable = share_is_usable (
		&quota->eligible, has_lease, standing->lease_generation, standing->settled);
	usable = usable || is_first_holder (quota, standing);
	uint64_t since_epoch = quota->eligible.ownership.since_epoch;
	if (shares_settle (&quota->eligible, standing->settled))
		quota->generation++;
	if (quota->departed_count > 0)
		settle_departed (quota, standing->now_us);
	if (!usable) {
		quota->usable_since_us = 0;
	} else if (quota->usable_since_us == 0 ||
		   quota->usable_lease != standing->lease_generation ||
		   quota->usable_epoch != since_epoch) {
		quota->usable_since_us = standing->now_us;
		quota->usable_lease = standing->lease_generation;
		quota->usable_epoch = since_epoch;
	}
}

/* Finds the first two nodes of an account, and the place of this node. */
static void
resolve (struct quota *quota, struct quota_entry *entry)
{
	struct quota_node *node;
	uint64_t first = UINT64_MAX;
	uint64_t second = UINT64_MAX;
	if (entry->generation == quota->generation)
		return;
	entry->generation = quota->generation;
	entry->holder = entry->substitute = NULL;
	entry->own_place = place_of (entry, quota->own_hash);
	entry->better = 0;
	cds_list_for_each_entry (node, &quota->nodes, node) {
		if (!node->eligible)
			continue;
		uint64_t place = place_of (entry, node->entry.hash);
		entry->better += place < entry->own_place;
		if (!entry->holder || place < first) {
			entry->substitute = entry->holder;
			entry->holder = node;
			second = first;
			first = place;
		} else if (!entry->substitute || place < second) {
			entry->substitute = node;
			second = place;
		}
	}
	entry->is_first = quota->eligible.ownership.mine && entry->better == 0 &&
			  shares_rank (&quota->eligible, entry->hash) == 0;
}

struct quota_node *
quota_holder (struct quota *quota, struct quota_entry *entry)
{
	resolve (quota, entry);
	return entry->holder;
}

static bool
is_active (struct quota *quota, struct quota_entry *entry, const struct quota_standing *standing)
{
	resolve (quota, entry);
	return entry->is_first && quota->usable_since_us != 0 &&
	       standing->now_us < standing->lease_until_us;
}

/* When this node became the active holder, as far as is remembered. */
static int64_t
active_since_us (const struct quota *quota, const struct quota_entry *entry)
{
	int64_t since_us = quota->usable_since_us;
	for (int i = 0; i < quota->departed_count; i++) {
		const struct quota_departed *departed = &quota->departed[i];
		if (departed->settled_us > since_us &&
			place_of (entry, departed->hash) < entry->own_place)
			since_us = departed->settled_us;
	}
	return since_us;
}

/* What the bound allows beyond the declared limit, in a window. */
static double
tolerance (const struct quota_bound *bound, const struct account *account)
{
	double limit =
		account->rate_per_s * (double)bound->window_us / (double)US_PER_S + account->burst;
	return limit * bound->excess + bound->slack;
}

/* Tokens per second; the excess that is tolerated is part of it as far as the tolerance goes. */
static double
fill_rate (const struct quota_bound *bound, const struct account *account)
{
	double extra = tolerance (bound, account) * QUOTA_HOLDER_TOLERANCE * (double)US_PER_S /
		       (double)bound->window_us;
	double excess = account->rate_per_s * bound->excess;
	return account->rate_per_s + (excess < extra ? excess : extra);
}

/*
 * Callers are told their limit with a tolerance, so a request within it is not refused: the holder
 * has half of the tolerance, less what its rate uses of it, in addition to the burst.
 */
static double
bucket_size (const struct quota_bound *bound, const struct account *account)
{
	double used = (fill_rate (bound, account) - account->rate_per_s) *
		      (double)bound->window_us / (double)US_PER_S;
	double size = account->burst + tolerance (bound, account) * QUOTA_HOLDER_TOLERANCE - used;
	return size > 1 ? size : 1;
}

/* Adds what has come in; a bucket that was not used before has filled since it became active. */
static void
fill (struct quota *quota, struct quota_entry *entry, int64_t now_us)
{
	const struct account *account = &quota->accounts->items[entry->account];
	double size = bucket_size (&quota->bound, account);
	int64_t since_us = active_since_us (quota, entry);
	/* Another node may have been the holder meanwhile, which is no longer remembered. */
	if (entry->filled_us < quota->forgotten_us && since_us < quota->forgotten_us)
		since_us = quota->forgotten_us;
	if (entry->since_us == 0 || since_us > entry->since_us) {
		bool is_unused =
			entry->since_us == 0 && quota->is_first_use && since_us == quota->begun_us;
		entry->since_us = entry->filled_us = entry->full_us = since_us;
		entry->tokens = is_unused ? size : 0;
	}
	if (now_us > entry->filled_us)
		entry->tokens += fill_rate (&quota->bound, account) *
				 (double)(now_us - entry->filled_us) / (double)US_PER_S;
	entry->filled_us = now_us;
	if (entry->tokens >= size) {
		entry->tokens = size;
		entry->full_us = now_us;
	}
}

double
quota_window_max (const struct quota_bound *bound, const struct account *account)
{
	return account->rate_per_s * (double)bound->window_us / (double)US_PER_S + account->burst +
	       tolerance (bound, account);
}

int
quota_reserve_size (const struct quota_bound *bound, const struct account *account)
{
	double size =
		floor (tolerance (bound, account) * (1 - QUOTA_HOLDER_TOLERANCE) / QUOTA_RESERVES);
	return size < QUOTA_RESERVE_MAX ? (int)size : QUOTA_RESERVE_MAX;
}

/* Whether another node may have the place of this one in a view that is newer. */
static bool
is_superseded (const struct quota *quota, const struct quota_entry *entry)
{
	return quota->newest_epoch > quota->eligible.epoch &&
	       quota->newest_epoch > entry->confirmed_epoch;
}

/*
 * Whether this node has a reserve of an account. All nodes that use one within a window must be
 * QUOTA_RESERVES at most, however often the membership changes:
 *
 * - The node, and no more than one other before it, have come first among all nodes that were
 *   members at any time during a window and the duration of a lease. Of the nodes with a lease,
 *   only those that were the first two at one certain time can use a reserve in a window: two.
 * - The time without a lease does not count, so that a node that is cut off has only what it had
 *   then. A process that has just started does not know what the one before it used.
 * - A node without a lease serves its own callers only if it has heard of another node whose view
 *   is not older. One that is cut off alone uses none.
 * - A node without a lease that knows of a newer view than its own, in which another node may have
 *   its place, uses none, unless a node with that view has asked it. So of nodes that are cut off
 *   one after another and reach each other, only the last ones use a reserve.
 *
 * That leaves two for nodes that are cut off. More are possible only if more than one part of the
 * nodes is cut off from control, at different times and from each other, with at least two of the
 * first nodes of the account in each.
 */
static bool
may_use_reserve (const struct quota *quota, const struct quota_entry *entry,
	const struct quota_standing *standing, bool for_peer)
{
	bool has_lease = standing->now_us < standing->lease_until_us;
	int64_t as_of_us = has_lease ? standing->now_us : standing->lease_until_us;
	int64_t from_us = as_of_us - quota->bound.window_us - quota->bound.lease_us;
	bool has_contact =
		quota->contact_us != 0 && standing->now_us < quota->contact_us + QUOTA_CONTACT_US;
	int better = entry->better;
	if (quota->joined_us == 0 || quota->joined_us > from_us)
		return false;
	if (!has_lease && (is_superseded (quota, entry) || !(for_peer || has_contact)))
		return false;
	for (int i = 0; i < quota->departed_count; i++) {
		const struct quota_departed *departed = &quota->departed[i];
		if (departed->left_us > from_us)
			better += place_of (entry, departed->hash) < entry->own_place;
	}
	return better < 2;
}

static void
expire_reserve (const struct quota *quota, struct quota_entry *entry, int64_t now_us)
{
	int expired = 0;
	while (expired < entry->reserve_count &&
		entry->reserve[expired] + quota->bound.window_us < now_us)
		expired++;
	entry->reserve_count -= expired;
	if (expired > 0)
		memmove (entry->reserve, entry->reserve + expired,
			(size_t)entry->reserve_count * sizeof (*entry->reserve));
}

static bool
spend_reserve (struct quota *quota, struct quota_entry *entry, int64_t now_us)
{
	int size = quota_reserve_size (&quota->bound, &quota->accounts->items[entry->account]);
	expire_reserve (quota, entry, now_us);
	if (entry->reserve_count >= size)
		return false;
	if (entry->reserve_count >= entry->reserve_cap) {
		entry->reserve_cap = size;
		entry->reserve = xrealloc (entry->reserve, (size_t)size * sizeof (*entry->reserve));
	}
	entry->reserve[entry->reserve_count++] = now_us;
	entry->granted_reserve++;
	return true;
}

static void
grant_reserve (
	struct quota *quota, struct quota_entry *entry, int64_t now_us, struct quota_answer *answer)
{
	answer->verdict = QUOTA_GRANTED_RESERVE;
	if (spend_reserve (quota, entry, now_us))
		return;
	entry->refused++;
	answer->verdict = QUOTA_REFUSED_RESERVE;
	answer->retry_us = quota->bound.window_us;
	if (entry->reserve_count > 0)
		answer->retry_us += entry->reserve[0] - now_us + US_PER_MS;
}

struct quota_answer
quota_grant (struct quota *quota, struct quota_entry *entry, const struct quota_standing *standing,
	uint64_t asker_epoch)
{
	bool for_peer = asker_epoch != QUOTA_OWN_CALLER;
	struct quota_answer answer = {QUOTA_UNABLE, QUOTA_RETRY_US, quota->eligible.epoch};
	int64_t now_us = standing->now_us;
	if (asker_epoch > entry->confirmed_epoch)
		entry->confirmed_epoch = asker_epoch;
	quota_refresh (quota, standing);
	resolve (quota, entry);
	if (!quota_is_limited (quota, entry->account))
		return answer;
	if (!is_active (quota, entry, standing)) {
		if (may_use_reserve (quota, entry, standing, for_peer))
			grant_reserve (quota, entry, now_us, &answer);
		return answer;
	}
	fill (quota, entry, now_us);
	/* A bucket starts empty; the reserve bridges the time until it would have filled. */
	bool is_new = now_us < entry->since_us + quota->bound.window_us;
	if (entry->tokens >= 1) {
		entry->tokens -= 1;
		entry->granted++;
		answer.verdict = QUOTA_GRANTED;
	} else if (is_new && may_use_reserve (quota, entry, standing, for_peer) &&
		   spend_reserve (quota, entry, now_us)) {
		answer.verdict = QUOTA_GRANTED_RESERVE;
	} else {
		double rate = fill_rate (&quota->bound, &quota->accounts->items[entry->account]);
		entry->refused++;
		answer.verdict = QUOTA_REFUSED;
		answer.retry_us = (int64_t)ceil ((1 - entry->tokens) / rate * (double)US_PER_S);
	}
	return answer;
}

void
quota_take_back (struct quota *quota, struct quota_entry *entry, int count, int64_t age_us,
	const struct quota_standing *standing)
{
	int64_t granted_us = standing->now_us - age_us - RETURN_TRANSIT_US;
	quota_refresh (quota, standing);
	if (!quota_is_limited (quota, entry->account) || !is_active (quota, entry, standing))
		return;
	fill (quota, entry, standing->now_us);
	/* Once the bucket has been full, it has lost nothing by that token. */
	if (granted_us <= entry->full_us || granted_us <= entry->since_us)
		return;
	double size = bucket_size (&quota->bound, &quota->accounts->items[entry->account]);
	entry->tokens = entry->tokens + count < size ? entry->tokens + count : size;
}

void
quota_heard (struct quota *quota, uint64_t epoch, int64_t now_us)
{
	if (epoch >= quota->eligible.epoch)
		quota->contact_us = now_us;
	if (epoch > quota->newest_epoch)
		quota->newest_epoch = epoch;
}

uint64_t
quota_epoch (const struct quota *quota)
{
	return quota->eligible.epoch;
}

void
quota_ask_init (struct quota_ask *ask, struct quota_entry *entry, int64_t now_us)
{
	*ask = (struct quota_ask){
		.entry = entry, .asked_us = now_us, .answer.verdict = QUOTA_UNABLE};
	entry->pins++;
	entry->own_requests++;
}

void
quota_ask_finish (struct quota_ask *ask)
{
	if (ask->entry)
		ask->entry->pins--;
	ask->entry = NULL;
}

/* True if the answer decides the request. */
static bool
apply_answer (struct quota_ask *ask, const struct quota_answer *answer)
{
	switch (answer->verdict) {
	case QUOTA_GRANTED:
	case QUOTA_GRANTED_RESERVE:
	case QUOTA_REFUSED:
		ask->answer = *answer;
		return true;
	case QUOTA_REFUSED_RESERVE:
		if (ask->retry_us == 0 || answer->retry_us < ask->retry_us)
			ask->retry_us = answer->retry_us;
		return false;
	case QUOTA_UNABLE:
	case QUOTA_VERDICT_COUNT:
		return false;
	}
	return false;
}

/* Neither node has granted a token. Asks again soon, since a holder may become active. */
static enum quota_step
give_up (struct quota_ask *ask, int64_t now_us)
{
	struct quota_entry *entry = ask->entry;
	ask->answer.verdict = ask->retry_us > 0 ? QUOTA_REFUSED_RESERVE : QUOTA_UNABLE;
	ask->answer.retry_us = ask->retry_us > 0 ? ask->retry_us : QUOTA_RETRY_US;
	entry->refusal = ask->answer;
	entry->refused_us = now_us;
	entry->refused_until_us =
		now_us + (ask->answer.retry_us < QUOTA_ASK_AGAIN_US ? ask->answer.retry_us
								    : QUOTA_ASK_AGAIN_US);
	return QUOTA_STEP_DECIDED;
}

/* Lets a node decide, if it is this one; true if that decided the request. */
static bool
decide_here (struct quota *quota, struct quota_ask *ask, const struct quota_standing *standing)
{
	struct quota_answer answer = quota_grant (quota, ask->entry, standing, QUOTA_OWN_CALLER);
	bool decided = apply_answer (ask, &answer);
	ask->local = decided;
	return decided;
}

static bool
is_own (const struct quota *quota, const struct quota_node *node)
{
	return node->entry.hash == quota->own_hash;
}

enum quota_step
quota_ask_next (struct quota *quota, struct quota_ask *ask, const struct quota_standing *standing,
	struct quota_node **node)
{
	struct quota_entry *entry = ask->entry;
	quota_refresh (quota, standing);
	resolve (quota, entry);
	struct quota_node *const nodes[] = {entry->holder, entry->substitute};
	bool *const tried[] = {&ask->tried_holder, &ask->tried_substitute};
	bool is_holder = entry->holder && is_own (quota, entry->holder);
	if (entry->refused_until_us > standing->now_us &&
		(!is_holder || entry->refusal.verdict != QUOTA_REFUSED)) {
		int64_t age_us = standing->now_us - entry->refused_us;
		ask->answer = entry->refusal;
		if (ask->answer.verdict != QUOTA_UNABLE)
			ask->answer.retry_us -= age_us;
		ask->from_memory = true;
		entry->unreported++;
		return QUOTA_STEP_DECIDED;
	}
	for (int i = 0; i < 2; i++) {
		bool skip = i == 0 && entry->substitute && nodes[i] &&
			    nodes[i]->silent_until_us > standing->now_us;
		if (!nodes[i] || *tried[i] || skip)
			continue;
		*tried[i] = true;
		*node = nodes[i];
		if (!is_own (quota, nodes[i]))
			return QUOTA_STEP_ASK;
		if (decide_here (quota, ask, standing))
			return QUOTA_STEP_DECIDED;
	}
	return give_up (ask, standing->now_us);
}

enum quota_step
quota_ask_answered (struct quota *quota, struct quota_ask *ask, struct quota_node **node,
	const struct quota_answer *answer, const struct quota_standing *standing)
{
	if (!answer) {
		(*node)->silent_until_us = standing->now_us + QUOTA_SILENT_US;
		return quota_ask_next (quota, ask, standing, node);
	}
	(*node)->silent_until_us = 0;
	quota_heard (quota, answer->epoch, standing->now_us);
	if (!apply_answer (ask, answer))
		return quota_ask_next (quota, ask, standing, node);
	if (answer->verdict == QUOTA_REFUSED) {
		ask->entry->refusal = *answer;
		ask->entry->refused_us = standing->now_us;
		ask->entry->refused_until_us = standing->now_us + answer->retry_us;
	}
	return QUOTA_STEP_DECIDED;
}

void
quota_ask_return (struct quota *quota, struct quota_ask *ask, const struct quota_standing *standing)
{
	struct quota_entry *entry = ask->entry;
	if (!entry || ask->answer.verdict != QUOTA_GRANTED)
		return;
	ask->answer.verdict = QUOTA_UNABLE;
	if (ask->local) {
		quota_take_back (quota, entry, 1, standing->now_us - ask->asked_us, standing);
		return;
	}
	if (entry->returns.count >= QUOTA_RETURNS_MAX)
		return;
	if (entry->returns.count++ == 0) {
		entry->returns.asked_us = ask->asked_us;
		cds_list_add_tail (&entry->returns_node, &quota->returning);
	} else if (ask->asked_us < entry->returns.asked_us) {
		entry->returns.asked_us = ask->asked_us;
	}
}

struct quota_returns
quota_take_returns (struct quota_entry *entry)
{
	struct quota_returns returns = entry->returns;
	if (returns.count > 0)
		cds_list_del (&entry->returns_node);
	entry->returns = (struct quota_returns){0};
	return returns;
}

double
quota_tokens (struct quota *quota, struct quota_entry *entry, const struct quota_standing *standing)
{
	quota_refresh (quota, standing);
	if (!quota_is_limited (quota, entry->account) || !is_active (quota, entry, standing))
		return -1;
	fill (quota, entry, standing->now_us);
	return entry->tokens;
}
