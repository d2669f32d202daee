#include "daemon/front_dump.h"

#include "daemon/quota.h"

#include <inttypes.h>

enum replica_standing {
	STANDING_READY,
	STANDING_AVOIDED,
	STANDING_COLD,
	STANDING_SUSPECTED,
	STANDING_UNREACHABLE,
	STANDING_LEAVING,
	STANDING_BUSY,
	STANDING_COUNT
};

static const char *const standing_names[STANDING_COUNT] = {
	"ready", "avoided", "cold", "suspected", "unreachable", "leaving", "busy"};

static enum replica_standing
standing_of (const struct replica *replica, int64_t now_us)
{
	if (!replica_usable (replica))
		return STANDING_LEAVING;
	if (replica->busy_until_us > now_us)
		return STANDING_BUSY;
	if (replica->restart.suspected)
		return replica->restart.unreachable ? STANDING_UNREACHABLE : STANDING_SUSPECTED;
	if (replica->cold_until_us > now_us)
		return STANDING_COLD;
	return replica->avoid_until_us > now_us ? STANDING_AVOIDED : STANDING_READY;
}

static int64_t
remaining_ms (int64_t until_us, int64_t now_us)
{
	return until_us > now_us ? (until_us - now_us) / US_PER_MS : 0;
}

static void
write_exposure (const struct replica_set *set, struct buf *out)
{
	static const char *const phases[] = {
		[EXPOSURE_OFF] = "off",
		[EXPOSURE_CANARY] = "canary",
		[EXPOSURE_SHIFTING] = "shifting",
		[EXPOSURE_COMPLETED] = "completed",
	};
	const struct exposure *exposure = set->exposure;
	if (!exposure)
		return;
	buf_addf (out,
		"\"rollout\":{\"number\":%" PRIu64 ",\"phase\":\"%s\",\"exposure_left\":%.2f},",
		exposure->rollout, phases[exposure->phase],
		(double)atomic_load (&exposure->tokens.tokens) / BUDGET_TOKENS_PER_EXTRA);
}

static void
write_replica (const struct replica *replica, int64_t now_us, struct buf *out)
{
	char id[TEXT_ESCAPED_SIZE];
	char data_centre[TEXT_ESCAPED_SIZE];
	char version[TEXT_ESCAPED_SIZE];
	static const char *const releases[] = {
		[REPLICA_OLD_RELEASE] = "old",
		[REPLICA_NEW_RELEASE] = "new",
		[REPLICA_REJECTED_RELEASE] = "rejected",
		[REPLICA_HELD_RELEASE] = "held",
	};
	buf_addf (out,
		"{\"target\":\"%s\",\"address\":\"%s\",\"data_centre\":\"%s\",\"standing\":\"%s\","
		"\"slots\":%d,\"in_flight\":%d,\"told_load\":%d,\"pace\":%d,\"work_us\":%" PRId64
		",\"report_ms\":%" PRId64 ",\"usual_us\":%" PRId64
		",\"failures\":%d,\"refusals\":%d,\"avoided_ms\":%" PRId64 ",\"cold_ms\":%" PRId64
		",\"busy_ms\":%" PRId64
		",\"announced_leaving\":%s,\"version\":\"%s\",\"release\":\"%s\"}",
		text_escape (replica->id, id), replica->address,
		text_escape (replica->data_centre, data_centre),
		standing_names[standing_of (replica, now_us)], replica->slots, replica->in_flight,
		replica->reported_load, target_load_pace (&replica->load, now_us),
		target_load_work_us (&replica->load, replica->slots, now_us),
		replica->load.reported_us ? (now_us - replica->load.reported_us) / US_PER_MS : -1,
		replica->latency_us, replica->failures, replica->refusals,
		remaining_ms (replica->avoid_until_us, now_us),
		remaining_ms (replica->cold_until_us, now_us),
		remaining_ms (replica->busy_until_us, now_us),
		replica->leaving_since_us != 0 ? "true" : "false",
		text_escape (replica->version, version), releases[replica->release]);
}

static void
write_set (const struct replica_set *set, int64_t now_us, struct buf *out)
{
	const struct replica *replica;
	char name[TEXT_ESCAPED_SIZE];
	int count = 0;
	buf_addf (out, "{\"service\":\"%s\",\"connections\":%d,\"waiting\":%d,\"extra_left\":%.2f,",
		text_escape (set->name, name), set->connections, set->waiting_count,
		(double)atomic_load (&set->extra.tokens) / BUDGET_TOKENS_PER_EXTRA);
	write_exposure (set, out);
	buf_addf (out, "\"targets\":[");
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (count++)
			buf_add (out, ",", 1);
		write_replica (replica, now_us, out);
	}
	buf_addf (out, "]}");
}

/* The aggregators that this node uses or avoids; the others are as good as unknown to it. */
static void
write_aggregators (const struct front *front, int64_t now_us, struct buf *out)
{
	const struct aggregator *aggregator;
	const struct cds_list_head *served;
	char data_centre[TEXT_ESCAPED_SIZE];
	int served_count = 0;
	int count = 0;
	cds_list_for_each (served, &front->served) served_count++;
	buf_addf (out, "{\"max_groups\":%d,\"batches_served\":%d,\"nodes\":[",
		front->aggregators.max_groups, served_count);
	cds_list_for_each_entry (aggregator, &front->aggregators.nodes, node) {
		if (!aggregator->pool && aggregator->avoid_until_us <= now_us)
			continue;
		buf_addf (out,
			"%s{\"address\":\"%s\",\"data_centre\":\"%s\",\"leaving\":%s,"
			"\"in_flight\":%d,\"failures\":%d,\"avoided_ms\":%" PRId64 "}",
			count++ ? "," : "", aggregator->entry.address,
			text_escape (aggregator->entry.data_centre, data_centre),
			aggregator->entry.leaving ? "true" : "false", aggregator->in_flight,
			aggregator->failures, remaining_ms (aggregator->avoid_until_us, now_us));
	}
	buf_addf (out, "]}");
}

static void
write_json (struct front *front, struct buf *out)
{
	const struct replica_set *set;
	int64_t now_us = front_now_us (front);
	int count = 0;
	buf_addf (out,
		"{\"routing\":%" PRIu64 ",\"list_ms\":%" PRId64 ",\"sharers\":%d,"
		"\"parts_ms\":%" PRId64 ",\"services\":[",
		front->state && front->state->routing ? front->state->routing->version : 0,
		front->discovery.read_us ? (now_us - front->discovery.read_us) / US_PER_MS : -1,
		shares_count (&front->shares), remaining_ms (front->share_until_us, now_us));
	cds_list_for_each_entry (set, &front->sets, node) {
		if (count++)
			buf_add (out, ",", 1);
		write_set (set, now_us, out);
	}
	buf_addf (out, "],\"aggregators\":");
	write_aggregators (front, now_us, out);
	buf_addf (out, ",\"accounts\":");
	account_table_write_json (&front->accounts, out);
	buf_addf (out, ",\"quota\":");
	front_quota_write_dump (front, out);
	buf_add (out, "}", 1);
}

static void
write_family (struct buf *out, const char *name, const char *help)
{
	buf_addf (out, "# HELP oleanderstile_%s %s\n# TYPE oleanderstile_%s gauge\n", name, help,
		name);
}

static void
write_metrics (struct front *front, struct buf *out)
{
	const struct replica_set *set;
	char name[TEXT_ESCAPED_SIZE];
	int64_t now_us = front_now_us (front);
	write_family (out, "service_targets", "Targets of a service by standing");
	cds_list_for_each_entry (set, &front->sets, node) {
		const struct replica *replica;
		int counts[STANDING_COUNT] = {0};
		cds_list_for_each_entry (replica, &set->replicas, node)
			counts[standing_of (replica, now_us)]++;
		for (int i = 0; i < STANDING_COUNT; i++)
			buf_addf (out,
				"oleanderstile_service_targets{service=\"%s\",standing=\"%s\"} "
				"%d\n",
				text_escape (set->name, name), standing_names[i], counts[i]);
	}
	write_family (out, "service_waiting", "Sub-requests waiting for capacity at a service");
	cds_list_for_each_entry (set, &front->sets, node)
		buf_addf (out, "oleanderstile_service_waiting{service=\"%s\"} %d\n",
			text_escape (set->name, name), set->waiting_count);
	write_family (out, "service_extra_left",
		"Hedges and retries that this node may send to a service at once");
	cds_list_for_each_entry (set, &front->sets, node)
		buf_addf (out, "oleanderstile_service_extra_left{service=\"%s\"} %.2f\n",
			text_escape (set->name, name),
			(double)atomic_load (&set->extra.tokens) / BUDGET_TOKENS_PER_EXTRA);
	account_table_write_metrics (&front->accounts, out);
}

void
front_export_state (struct front *front, enum front_dump_format format, struct buf *out)
{
	struct front_dump dump = {.format = format, .out = out};
	dump.mail.kind = FRONT_DUMP;
	completion_init (&dump.completion);
	mailbox_post (&front->mailbox, &dump.mail);
	completion_wait (&dump.completion);
}

void
front_write_dump (struct front *front, struct front_dump *dump)
{
	switch (dump->format) {
	case FRONT_DUMP_JSON:
		write_json (front, dump->out);
		break;
	case FRONT_DUMP_METRICS:
		write_metrics (front, dump->out);
		break;
	}
	completion_signal (&dump->completion);
}
