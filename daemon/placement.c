#include "daemon/placement.h"

#include "core/metrics.h"

#include <inttypes.h>

enum {
	ESTIMATE_FACTOR = 2, /* an answer is as expected within half and twice the estimate */
};

void
placement_note_report (struct replica *replica, const struct reply_head *head, int64_t now_us)
{
	struct load_report report = head->load;
	if (head->reported_load < 0)
		return;
	/* The load that the target reports still includes the request of this reply. */
	if (report.running > 0)
		report.running--;
	replica->reported_load = head->reported_load > 0 ? head->reported_load - 1 : 0;
	replica->reported_us = now_us;
	replica_note_report (replica, &report, now_us);
}

static void
update_connections (const struct replica_set *set)
{
	struct replica *replica;
	cds_list_for_each_entry (replica, &set->replicas, node)
		replica->connections_open =
			replica->pool ? fetch_pool_connections (replica->pool) : 0;
}

static void
count_estimate (const struct replica_use *use, int64_t now_us)
{
	int64_t took_us = now_us - use->sent_us;
	int64_t expected_us = placement_expected_us (&use->estimate);
	if (use->estimate.mean_us == 0)
		return;
	if (took_us > expected_us * ESTIMATE_FACTOR)
		metric_add (METRIC_ESTIMATE_LATE, 1);
	else if (took_us * ESTIMATE_FACTOR < expected_us)
		metric_add (METRIC_ESTIMATE_EARLY, 1);
	else
		metric_add (METRIC_ESTIMATE_MET, 1);
}

void
placement_note_answer (const struct front *front, const struct replica_use *use,
	struct routing_rule *rule, const struct reply_head *head, bool connected)
{
	int64_t now_us = front_now_us (front);
	if (head->reported_load < 0)
		return;
	replica_observe_cost (
		use, &rule->cost, &head->load, front->policy.data_centre, connected, now_us);
	update_connections (use->replica->set);
	count_estimate (use, now_us);
}

void
placement_count (const struct replica_use *use)
{
	static const enum metric metrics[] = {
		[PLACED_BY_COUNT] = METRIC_PLACED_BY_COUNT,
		[PLACED_ONLY] = METRIC_PLACED_ONLY,
		[PLACED_BY_LOT] = METRIC_PLACED_BY_LOT,
		[PLACED_BY_PACE] = METRIC_PLACED_BY_PACE,
		[PLACED_BY_WORK] = METRIC_PLACED_BY_WORK,
		[PLACED_BY_DISTANCE] = METRIC_PLACED_BY_DISTANCE,
		[PLACED_BY_HEALTH] = METRIC_PLACED_BY_HEALTH,
	};
	metric_add (metrics[use->estimate.reason], 1);
}

void
placement_describe (const struct replica *replica, int64_t now_us, struct buf *out)
{
	const struct placement_estimate *estimate = &replica->estimate;
	buf_addf (out, "by %s", placement_reason_name (estimate->reason));
	if (estimate->mean_us == 0)
		return;
	buf_addf (out, ", expected %" PRId64 " ms (work %" PRId64 ", wait %" PRId64 "), pace %d",
		placement_expected_us (estimate) / US_PER_MS, estimate->work_us / US_PER_MS,
		estimate->wait_us / US_PER_MS, estimate->pace);
	if (replica->load.reported_us > 0)
		buf_addf (out, ", report %" PRId64 " ms old",
			(now_us - replica->load.reported_us) / US_PER_MS);
}
