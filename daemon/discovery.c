#include "daemon/discovery.h"

#include "core/metrics.h"
#include "core/packed.h"
#include "daemon/control.h"
#include "daemon/forward.h"
#include "daemon/front.h"
#include "daemon/rollouts.h"
#include "daemon/target_watch.h"

#include <stdlib.h>
#include <string.h>

enum { LIST_PAGE_MAX_BYTES = 4 * 1024 * 1024, LIST_MAX_PAGES = 1000 };

static void
read_page (struct discovery *discovery);

static int64_t
read_interval_us (const struct discovery *discovery)
{
	const struct front *front = discovery->front;
	const struct options *options = &front->node->options;
	struct refresh_load load = {
		.nodes = options->front_address[0] == '\0' ? 1 : shares_count (&front->shares),
		.pages = discovery->pages,
		.rate_per_s = options->front_list_rate,
		.lag_us = options->front_list_lag_ms * US_PER_MS,
	};
	int64_t interval_us =
		refresh_interval_us (&discovery->refresh, &load, front_now_us (front));
	/* Jitter of 5 percent either way, so that nodes started together do not read together. */
	return interval_us - interval_us / 20 +
	       (int64_t)rng_below (&discovery->front->rng, (uint64_t)interval_us / 10);
}

static struct replica *
find_replica (struct replica_set *set, const struct listed_target *target)
{
	struct replica *replica;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (strcmp (replica->id, target->id) == 0 &&
			strcmp (replica->address, target->address) == 0 &&
			replica->start_unix_ms == target->start_unix_ms)
			return replica;
	}
	return NULL;
}

/*
 * Takes over from an earlier start of the target what the list may not know yet, and when this node
 * last used its share of the cold rate.
 */
static void
inherit_start (struct front *front, struct replica *replica, int64_t read_us)
{
	const struct replica *other;
	cds_list_for_each_entry (other, &replica->set->replicas, node) {
		if (other == replica || strcmp (other->id, replica->id) != 0 ||
			strcmp (other->address, replica->address) != 0)
			continue;
		if (other->cold_next_us > replica->cold_next_us)
			replica->cold_next_us = other->cold_next_us;
		if (!restart_is_list_outdated (&other->restart, read_us, replica->set->list_lag_us))
			continue;
		if (other->restart.suspected)
			target_watch_suspect (front, replica, other->restart.sign);
		else if (other->cold_until_us > replica->cold_until_us)
			replica->cold_until_us = other->cold_until_us;
	}
}

static void
apply_target (struct discovery *discovery, const struct listed_target *target, int64_t read_us)
{
	struct front *front = discovery->front;
	struct replica_set *set = front_replica_set (front, target->service);
	struct replica *replica = find_replica (set, target);
	bool is_new = replica == NULL;
	if (!replica) {
		replica = xcalloc (1, sizeof (*replica));
		replica->set = set;
		str_copy (replica->id, sizeof (replica->id), target->id);
		str_copy (replica->address, sizeof (replica->address), target->address);
		str_copy (replica->data_centre, sizeof (replica->data_centre), target->data_centre);
		replica->start_unix_ms = target->start_unix_ms;
		replica->evacuated = front_is_leaving (front, target->data_centre);
		CDS_INIT_LIST_HEAD (&replica->running);
		inherit_start (front, replica, read_us);
		cds_list_add_tail (&replica->node, &set->replicas);
	}
	if (is_new || replica->state != target->state)
		log_event (&front->log, EVENT_TARGET_STATE, "%s of %s at %s: %s, cold for %lld ms",
			replica->id, set->name, replica->address,
			target->state == REPLICA_LEAVING ? "leaving" : "ready",
			(long long)(target->cold_remaining_us / US_PER_MS));
	str_copy (replica->version, sizeof (replica->version), target->version);
	front_rollouts_classify (front, replica, is_new);
	replica->slots = target->slots;
	/* Before the first list, nothing is known of when it began to leave. */
	replica_note_listed (replica, target->state, is_new ? 0 : discovery->read_us);
	replica->listed = true;
	if (target->cold_remaining_us <= 0)
		return;
	front_update_cold_interval (front, replica);
	if (restart_is_list_outdated (&replica->restart, read_us, set->list_lag_us))
		return;
	replica_note_cold (replica, read_us + target->cold_remaining_us, front_now_us (front));
}

static void
remove_unlisted (struct front *front, struct replica_set *set)
{
	struct replica *replica;
	struct replica *next;
	cds_list_for_each_entry_safe (replica, next, &set->replicas, node) {
		if (replica->listed || replica_is_kept (replica, front_now_us (front)))
			continue;
		log_event (&front->log, EVENT_TARGET_STATE, "%s of %s at %s: no longer listed",
			replica->id, set->name, replica->address);
		target_watch_end (replica);
		forward_drop_connections (replica);
		cds_list_del (&replica->node);
		free (replica);
	}
}

/* A complete list replaces the known targets; requests in flight at unlisted ones may finish. */
static void
apply_list (struct discovery *discovery, const struct listed_targets *list, int64_t read_us)
{
	struct front *front = discovery->front;
	struct replica_set *set;
	struct replica *replica;
	int64_t now_us = front_now_us (front);
	cds_list_for_each_entry (set, &front->sets, node) {
		cds_list_for_each_entry (replica, &set->replicas, node)
			replica->listed = false;
	}
	for (int i = 0; i < list->count; i++)
		apply_target (discovery, &list->items[i], read_us);
	cds_list_for_each_entry (set, &front->sets, node) {
		remove_unlisted (front, set);
		scatter_serve_waiting (set, now_us);
	}
	front_update_fan_outs (front);
}

static bool
decode_list (struct listed_targets *list, const void *packed, size_t packed_len)
{
	size_t len = 0;
	char *data = packed_open (packed, packed_len, &len);
	bool ok = data && listed_targets_decode (list, data, len);
	free (data);
	return ok;
}

void
discovery_apply_roster (struct discovery *discovery, const void *data, size_t len, int64_t read_us)
{
	struct listed_targets list;
	listed_targets_init (&list);
	if (data && read_us < discovery->read_us) {
		/* This node has read a newer list; the leader's next one must be complete. */
		atomic_store (&discovery->front->posted_roster_stamp, 0);
		data = NULL;
	}
	if (data && decode_list (&list, data, len)) {
		apply_list (discovery, &list, read_us);
		if (discovery->read_us == 0)
			target_watch_note_gap (discovery->front);
		log_event (&discovery->front->log, EVENT_LIST_TAKEN, "%d targets, read %lld ms ago",
			list.count,
			(long long)((front_now_us (discovery->front) - read_us) / US_PER_MS));
	}
	if (read_us > discovery->read_us)
		discovery->read_us = read_us;
	target_watch_note_list (discovery->front, discovery->read_us);
	front_readmit (discovery->front, discovery->read_us);
	forward_release_held (discovery->front);
	listed_targets_finish (&list);
}

/* A control node reads the list for the other nodes, an entry node for itself. */
static void
use_list (struct discovery *discovery)
{
	struct front *front = discovery->front;
	size_t len = 0;
	if (front->node->options.front_address[0]) {
		apply_list (discovery, &discovery->list, front_now_us (front));
		if (discovery->read_us == 0)
			target_watch_note_gap (front);
		/* The leader's next list is applied even if its stamp was seen before. */
		atomic_store (&front->posted_roster_stamp, 0);
		target_watch_note_list (front, front_now_us (front));
		front_readmit (front, front_now_us (front));
		return;
	}
	size_t packed_len = 0;
	void *data = listed_targets_encode (&discovery->list, &len);
	refresh_observe (&discovery->refresh, data, len, front_now_us (front));
	void *packed = packed_make (data, len, &packed_len);
	free (data);
	if (atomic_load (&front->is_leader)) {
		control_post_roster (
			front->node->control, packed, packed_len, front_now_us (front));
		return;
	}
	free (discovery->early_list);
	discovery->early_list = packed;
	discovery->early_len = packed_len;
}

static void
finish_read (struct discovery *discovery, bool ok, const char *reason)
{
	struct front *front = discovery->front;
	discovery->reading = false;
	if (ok) {
		metric_add (METRIC_LIST_ENTRIES_REPLACED,
			(uint64_t)listed_targets_remove_replaced (&discovery->list));
		use_list (discovery);
		if (discovery->failures > 0 || discovery->read_us == 0)
			log_event (&front->log, EVENT_LIST_READ,
				"%d targets on %d pages, %d unreadable", discovery->list.count,
				discovery->pages, discovery->list.malformed);
		else if (discovery->list.malformed != discovery->malformed)
			log_event (&front->log, EVENT_LIST_ENTRIES_UNREADABLE,
				"%d of %d entries, %d before", discovery->list.malformed,
				discovery->list.malformed + discovery->list.count,
				discovery->malformed);
		discovery->malformed = discovery->list.malformed;
		discovery->failures = 0;
		metric_add (METRIC_LIST_READS, 1);
		metric_add (METRIC_LIST_ENTRIES_UNREADABLE, (uint64_t)discovery->list.malformed);
		discovery->read_us = front_now_us (front);
		forward_release_held (front);
	} else {
		metric_add (METRIC_LIST_FAILURES, 1);
	}
	if (!ok && discovery->failures++ == 0)
		log_event (&front->log, EVENT_LIST_LOST,
			"page %d: %s, status %ld; the list in use is %lld ms old", discovery->pages,
			reason, discovery->fetch.status,
			(long long)(discovery->read_us
					    ? (front_now_us (front) - discovery->read_us) /
						      US_PER_MS
					    : -1));
	listed_targets_finish (&discovery->list);
	/* A control node that has read the list at its start waits for its election. */
	bool is_waiting = ok && front->node->options.front_address[0] == '\0' &&
			  !atomic_load (&front->is_leader);
	timers_set (&front->timers, &discovery->timer,
		front_now_us (front) +
			(is_waiting ? DISCOVERY_CHECK_US : read_interval_us (discovery)));
}

static void
on_page (struct fetch *fetch, enum fetch_end result)
{
	struct discovery *discovery = caa_container_of (fetch, struct discovery, fetch);
	char path[sizeof (discovery->path)];
	const char *reason = "no answer";
	bool ok = false;
	str_copy (path, sizeof (path), discovery->path);
	if (result == FETCH_OK && fetch->status == 200) {
		reason = "malformed";
		ok = target_list_decode_page (&discovery->list,
			fetch->body.len ? fetch->body.data : "", fetch->body.len, discovery->path,
			sizeof (discovery->path));
	}
	fetch_finish (fetch);
	/* A part of the list must not look like all of it. */
	if (ok && discovery->path[0] &&
		(strcmp (path, discovery->path) == 0 || discovery->pages == LIST_MAX_PAGES)) {
		reason = "too many pages follow";
		ok = false;
	}
	if (result == FETCH_SILENT) {
		fetch_pool_retire (discovery->pool);
		discovery->pool = NULL;
	}
	if (ok && discovery->path[0]) {
		discovery->pages++;
		read_page (discovery);
		return;
	}
	finish_read (discovery, ok, reason);
}

static void
read_page (struct discovery *discovery)
{
	struct front *front = discovery->front;
	static const char *const headers[] = {NULL};
	struct fetch_hooks pool_hooks = {0};
	struct fetch_request request = {
		.path = discovery->path,
		.headers = headers,
		.timeout_us = DISCOVERY_TIMEOUT_US,
	};
	if (!discovery->pool)
		discovery->pool = fetch_pool_new (
			&front->fetches, front->node->options.front_list_address, 1, &pool_hooks);
	discovery->fetch.body_max_bytes = LIST_PAGE_MAX_BYTES;
	fetch_start (&discovery->fetch, discovery->pool, &request, on_page);
}

/*
 * Posts the list that this node read at its start, if it was elected soon after. When all nodes
 * start together, those that serve callers wait for the list no longer than for the election.
 */
static void
post_early_list (struct discovery *discovery)
{
	struct front *front = discovery->front;
	if (!discovery->early_list || !atomic_load (&front->is_leader))
		return;
	if (discovery->read_us + REFRESH_STALE_US >= front_now_us (front))
		control_post_roster (front->node->control, discovery->early_list,
			discovery->early_len, discovery->read_us);
	else
		free (discovery->early_list);
	discovery->early_list = NULL;
}

/* The leader reads for all nodes; an entry node only when its list is too old. */
static bool
should_read (const struct discovery *discovery)
{
	const struct front *front = discovery->front;
	if (!front->node->options.front_address[0])
		return atomic_load (&front->is_leader) || discovery->read_us == 0;
	return refresh_is_due_without_control (discovery->read_us, front->started_us,
		discovery->start_jitter_us, front_now_us (front));
}

void
discovery_timer_due (struct discovery *discovery)
{
	if (discovery->reading)
		return;
	post_early_list (discovery);
	if (!should_read (discovery)) {
		timers_set (&discovery->front->timers, &discovery->timer,
			front_now_us (discovery->front) + DISCOVERY_CHECK_US);
		return;
	}
	discovery->reading = true;
	discovery->pages = 1;
	listed_targets_init (&discovery->list);
	str_copy (discovery->path, sizeof (discovery->path), target_list_first_path ());
	read_page (discovery);
}

void
discovery_start (struct discovery *discovery, struct front *front)
{
	memset (discovery, 0, sizeof (*discovery));
	discovery->front = front;
	discovery->start_jitter_us = (int64_t)rng_below (&front->rng, REFRESH_START_WAIT_US);
	refresh_init (&discovery->refresh, front_now_us (front));
	timer_init (&discovery->timer, DISCOVERY_TIMER);
	timers_set (&front->timers, &discovery->timer, front_now_us (front));
}

void
discovery_finish (struct discovery *discovery)
{
	if (discovery->reading) {
		fetch_cancel (&discovery->fetch);
		fetch_finish (&discovery->fetch);
	}
	listed_targets_finish (&discovery->list);
	free (discovery->early_list);
}
