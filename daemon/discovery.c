#include "daemon/discovery.h"

#include "daemon/forward.h"
#include "daemon/front.h"

#include <stdlib.h>
#include <string.h>

enum { LIST_MAX_BYTES = 4 * 1024 * 1024, LIST_MAX_PAGES = 1000 };

static void
read_page (struct discovery *discovery);

static int64_t
period_us (const struct discovery *discovery)
{
	const struct front *front = discovery->front;
	int nodes = front->state && front->state->nodes > 0 ? front->state->nodes : 1;
	double rate = front->node->options.front_list_rate / DISCOVERY_RATE_SHARE;
	int pages = discovery->pages > 0 ? discovery->pages : 1;
	int64_t fair_us = rate > 0 ? (int64_t)(pages * nodes / rate * US_PER_S) : 0;
	int64_t us = fair_us > DISCOVERY_PERIOD_US ? fair_us : DISCOVERY_PERIOD_US;
	/* Spread by a tenth, so that nodes which started together do not ask together. */
	return us - us / 20 + (int64_t)rng_below (&discovery->front->rng, (uint64_t)us / 10);
}

static struct replica *
find_replica (struct replica_set *set, const struct listed_target *target)
{
	struct replica *replica;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (strcmp (replica->id, target->id) == 0 &&
			strcmp (replica->address, target->address) == 0 &&
			replica->born == target->born)
			return replica;
	}
	return NULL;
}

static void
apply_target (struct discovery *discovery, const struct listed_target *target, int64_t now_us)
{
	struct front *front = discovery->front;
	struct replica_set *set = front_set (front, target->service);
	struct replica *replica = find_replica (set, target);
	if (!replica) {
		replica = xcalloc (1, sizeof (*replica));
		replica->set = set;
		str_copy (replica->id, sizeof (replica->id), target->id);
		str_copy (replica->address, sizeof (replica->address), target->address);
		str_copy (replica->data_centre, sizeof (replica->data_centre), target->data_centre);
		replica->born = target->born;
		CDS_INIT_LIST_HEAD (&replica->running);
		cds_list_add_tail (&replica->node, &set->replicas);
	}
	replica->slots = target->slots;
	replica->state = target->state;
	replica->listed = true;
	replica->evacuated = front_is_leaving (front, target->data_centre);
	if (target->cold_left_us > 0)
		replica->cold_until_us = now_us + target->cold_left_us;
}

static void
drop_unlisted (struct replica_set *set)
{
	struct replica *replica;
	struct replica *next;
	cds_list_for_each_entry_safe (replica, next, &set->replicas, node) {
		if (replica->listed || replica->in_flight > 0)
			continue;
		forward_drop_connections (replica);
		cds_list_del (&replica->node);
		free (replica);
	}
}

/* A whole list replaces what was known; work on targets that vanished may end. */
static void
apply_list (struct discovery *discovery)
{
	struct front *front = discovery->front;
	struct replica_set *set;
	struct replica *replica;
	int64_t now_us = front_now_us (front);
	cds_list_for_each_entry (set, &front->sets, node) {
		cds_list_for_each_entry (replica, &set->replicas, node)
			replica->listed = false;
	}
	for (int i = 0; i < discovery->list.count; i++)
		apply_target (discovery, &discovery->list.items[i], now_us);
	cds_list_for_each_entry (set, &front->sets, node) {
		drop_unlisted (set);
		scatter_serve_waiting (set, now_us);
	}
}

static void
end_read (struct discovery *discovery, bool ok)
{
	struct front *front = discovery->front;
	discovery->reading = false;
	if (ok) {
		apply_list (discovery);
		if (discovery->failures > 0 || discovery->read_us == 0)
			log_event (&front->log, EVENT_LIST_READ,
				"%d targets on %d pages, %d unreadable", discovery->list.count,
				discovery->pages, discovery->list.unreadable);
		discovery->failures = 0;
		discovery->read_us = front_now_us (front);
	} else if (discovery->failures++ == 0) {
		log_event (&front->log, EVENT_LIST_LOST, "status %ld; the last one is %lld ms old",
			discovery->fetch.status,
			(long long)(discovery->read_us
					    ? (front_now_us (front) - discovery->read_us) /
						      US_PER_MS
					    : -1));
	}
	listed_targets_finish (&discovery->list);
	timers_set (
		&front->timers, &discovery->timer, front_now_us (front) + period_us (discovery));
}

static void
on_page (struct fetch *fetch, enum fetch_end how)
{
	struct discovery *discovery = caa_container_of (fetch, struct discovery, fetch);
	bool ok = how == FETCH_OK && fetch->status == 200 &&
		  list_decode_page (&discovery->list, fetch->body.data, fetch->body.len,
			  discovery->path, sizeof (discovery->path));
	fetch_finish (fetch);
	if (how == FETCH_SILENT) {
		fetch_pool_retire (discovery->pool);
		discovery->pool = NULL;
	}
	if (ok && discovery->path[0] && ++discovery->pages < LIST_MAX_PAGES)
		read_page (discovery);
	else
		end_read (discovery, ok);
}

static void
on_lost (void *user)
{
	(void)user;
}

static bool
may_open (void *user)
{
	(void)user;
	return true;
}

static void
read_page (struct discovery *discovery)
{
	struct front *front = discovery->front;
	static const char *const headers[] = {NULL};
	struct fetch_hooks pool_hooks = {on_lost, may_open, discovery};
	struct fetch_request request = {
		.path = discovery->path,
		.headers = headers,
		.timeout_us = DISCOVERY_TIMEOUT_US,
	};
	if (!discovery->pool)
		discovery->pool = fetch_pool_new (
			&front->fetches, front->node->options.front_list_address, 1, &pool_hooks);
	discovery->fetch.body_max = LIST_MAX_BYTES;
	fetch_start (&discovery->fetch, discovery->pool, &request, on_page);
}

void
discovery_timer_due (struct discovery *discovery)
{
	if (discovery->reading)
		return;
	discovery->reading = true;
	discovery->pages = 1;
	listed_targets_init (&discovery->list);
	str_copy (discovery->path, sizeof (discovery->path), list_first_path ());
	read_page (discovery);
}

void
discovery_start (struct discovery *discovery, struct front *front)
{
	memset (discovery, 0, sizeof (*discovery));
	discovery->front = front;
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
}
