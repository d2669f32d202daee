#include "query/fairness.h"

#include "core/buf.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	ITEMS_MIN = 16,
	/** Stands for requests without an account, which share one entry. */
	NO_ACCOUNT = 1,
};

/* Accounts below this part of the share of all go first; the bound is a half. */
static const double SHARE_FLOOR = 0.6;

/* Values below this have decayed for longer than they matter. */
static const double NEGLIGIBLE_REQUESTS = 0.01;

void
fairness_finish (struct fairness *fairness)
{
	free (fairness->items);
	memset (fairness, 0, sizeof (*fairness));
}

static struct fair_account *
find_slot (const struct fairness *fairness, uint64_t id)
{
	size_t at = id & (fairness->size - 1);
	while (fairness->items[at].id != 0 && fairness->items[at].id != id)
		at = (at + 1) & (fairness->size - 1);
	return &fairness->items[at];
}

static struct fair_account
decayed (const struct fair_account *account, int64_t now_us)
{
	struct fair_account now = *account;
	double factor = exp2 (-(double)(now_us - account->updated_us) / FAIRNESS_HALF_LIFE_US);
	now.work_us *= factor;
	now.served *= factor;
	now.refused *= factor;
	now.updated_us = now_us;
	return now;
}

/* Copies the accounts that were updated since a time to a table of another size. */
static void
rebuild (struct fairness *fairness, size_t size, int64_t since_us)
{
	struct fairness old = *fairness;
	fairness->items = xcalloc (size, sizeof (*fairness->items));
	fairness->size = size;
	fairness->count = 0;
	for (size_t i = 0; i < old.size; i++) {
		const struct fair_account *item = &old.items[i];
		if (item->id == 0 || item->updated_us <= since_us)
			continue;
		*find_slot (fairness, item->id) = *item;
		fairness->count++;
	}
	free (old.items);
}

/* Drops accounts that have not been seen for long; for less long while the table is too large. */
static void
make_room (struct fairness *fairness, int64_t now_us)
{
	int64_t age_us = FAIRNESS_HALF_LIFE_US * 8;
	size_t size = fairness->size ? fairness->size : ITEMS_MIN;
	if (fairness->size && (fairness->count + 1) * 2 <= fairness->size)
		return;
	rebuild (fairness, size, now_us - age_us);
	while (fairness->count > FAIRNESS_ACCOUNTS_MAX / 2) {
		age_us /= 2;
		rebuild (fairness, size, now_us - age_us);
	}
	if (fairness->count * 3 > size)
		rebuild (fairness, size * 2, now_us - age_us);
}

static struct fair_account *
get_account (struct fairness *fairness, uint64_t account, int64_t now_us)
{
	uint64_t id = account ? account : NO_ACCOUNT;
	make_room (fairness, now_us);
	struct fair_account *item = find_slot (fairness, id);
	if (item->id == 0) {
		item->id = id;
		fairness->count++;
	}
	*item = decayed (item, now_us);
	return item;
}

void
fairness_note_served (
	struct fairness *fairness, uint64_t account, int64_t work_us, bool is_first, int64_t now_us)
{
	if (!fairness_is_recorded (fairness, account))
		return;
	struct fair_account *item = get_account (fairness, account, now_us);
	fairness->all = decayed (&fairness->all, now_us);
	item->work_us += (double)work_us;
	item->served += is_first;
	fairness->all.served += is_first;
}

void
fairness_note_refused (struct fairness *fairness, uint64_t account, int64_t now_us)
{
	if (!fairness_is_recorded (fairness, account))
		return;
	get_account (fairness, account, now_us)->refused += 1;
	fairness->all = decayed (&fairness->all, now_us);
	fairness->all.refused += 1;
}

/* Which part of its recent requests an account was served; 1 if too few are known. */
static double
served_share (const struct fair_account *account)
{
	double requests = account->served + account->refused;
	return requests > NEGLIGIBLE_REQUESTS ? account->served / requests : 1;
}

double
fairness_rank (const struct fairness *fairness, uint64_t account, int64_t now_us)
{
	if (fairness->count == 0)
		return 0;
	const struct fair_account *item = find_slot (fairness, account ? account : NO_ACCOUNT);
	if (item->id == 0)
		return 0;
	struct fair_account now = decayed (item, now_us);
	double share = served_share (&now);
	double share_of_all = served_share (&fairness->all);
	if (share < SHARE_FLOOR * share_of_all)
		return share / share_of_all - 1;
	return now.work_us;
}

static int
compare_ids (const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;
	return (left > right) - (left < right);
}

/* Position of the first id that is not below this one. */
static int
lower_bound (const uint64_t *ids, int count, uint64_t id)
{
	int low = 0;
	while (count > 0) {
		int half = count / 2;
		bool is_below = ids[low + half] < id;
		low = is_below ? low + half + 1 : low;
		count = is_below ? count - half - 1 : half;
	}
	return low;
}

static int
requests_of (const uint64_t *sorted, int count, uint64_t account)
{
	int end = account == UINT64_MAX ? count : lower_bound (sorted, count, account + 1);
	return end - lower_bound (sorted, count, account);
}

static bool
is_candidate (const struct fair_request *request, const struct fair_request *last)
{
	return request == last ||
	       (request->may_be_displaced && request->priority >= last->priority);
}

static int
least_urgent (const struct fair_request *requests, int count)
{
	const struct fair_request *last = &requests[count - 1];
	int priority = last->priority;
	for (int i = 0; i < count; i++) {
		if (is_candidate (&requests[i], last) && requests[i].priority > priority)
			priority = requests[i].priority;
	}
	return priority;
}

int
fairness_choose_displaced (const struct fair_request *requests, int count)
{
	uint64_t *sorted = xcalloc ((size_t)count, sizeof (*sorted));
	int priority = least_urgent (requests, count);
	int chosen = -1;
	int chosen_requests = 0;
	for (int i = 0; i < count; i++)
		sorted[i] = requests[i].account;
	qsort (sorted, (size_t)count, sizeof (*sorted), compare_ids);
	/* From the last one, so that it is chosen if its account has as many requests as another.
	 */
	for (int i = count - 1; i >= 0; i--) {
		const struct fair_request *request = &requests[i];
		if (!is_candidate (request, &requests[count - 1]) || request->priority != priority)
			continue;
		int own = requests_of (sorted, count, request->account);
		bool is_newer = chosen >= 0 && request->account == requests[chosen].account &&
				request->arrival > requests[chosen].arrival;
		if (own > chosen_requests || is_newer) {
			chosen = i;
			chosen_requests = own;
		}
	}
	free (sorted);
	return chosen;
}
