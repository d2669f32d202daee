#include "query/fair_queue.h"

#include "core/buf.h"

#include <stdlib.h>

struct ranked_shard {
	struct scatter_shard *shard;
	double rank;
};

static int
compare_ranked (const void *a, const void *b)
{
	const struct ranked_shard *left = a;
	const struct ranked_shard *right = b;
	int by_priority = left->shard->scatter->priority - right->shard->scatter->priority;
	if (by_priority != 0)
		return by_priority;
	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	return left->shard->arrival < right->shard->arrival ? -1 : 1;
}

void
fair_queue_order (struct replica_set *set, int64_t now_us)
{
	struct scatter_shard *shard;
	size_t count = 0;
	if (set->fairness.count == 0 || set->waiting_count < 2)
		return;
	struct ranked_shard *ranked = xcalloc ((size_t)set->waiting_count, sizeof (*ranked));
	cds_list_for_each_entry (shard, &set->waiting, node) {
		ranked[count++] = (struct ranked_shard){
			shard, fairness_rank (&set->fairness, shard->scatter->account, now_us)};
	}
	qsort (ranked, count, sizeof (*ranked), compare_ranked);
	CDS_INIT_LIST_HEAD (&set->waiting);
	for (size_t i = 0; i < count; i++)
		cds_list_add_tail (&ranked[i].shard->node, &set->waiting);
	free (ranked);
}

static struct fair_request
request_of (const struct scatter_shard *shard)
{
	return (struct fair_request){.account = shard->scatter->account,
		.priority = shard->scatter->priority,
		.arrival = shard->arrival,
		.may_be_displaced =
			!shard->reached_target && !shard->may_have_run && shard->running == 0};
}

struct scatter_shard *
fair_queue_displaced (const struct scatter_shard *shard)
{
	const struct replica_set *set = shard->set;
	struct scatter_shard *other;
	int count = 0;
	if (shard->scatter->routing->accounts.count == 0 || set->waiting_count == 0)
		return NULL;
	size_t size = (size_t)set->waiting_count + 1;
	struct fair_request *requests = xcalloc (size, sizeof (*requests));
	struct scatter_shard **shards = xcalloc (size, sizeof (struct scatter_shard *));
	cds_list_for_each_entry (other, &set->waiting, node) {
		requests[count] = request_of (other);
		shards[count++] = other;
	}
	requests[count] = request_of (shard);
	requests[count].arrival = UINT64_MAX;
	int chosen = fairness_choose_displaced (requests, count + 1);
	struct scatter_shard *displaced = shards[chosen];
	free (requests);
	free (shards);
	return displaced;
}
