#include "daemon/target_watch.h"

#include "core/metrics.h"
#include "daemon/forward.h"
#include "platform/health.h"

#include <stdlib.h>
#include <string.h>

/** Of one target; created when its first connection is opened. */
struct target_watch {
	struct front *front;
	struct replica *replica;
	struct timer timer; /**< for the next health check */
	struct fetch fetch; /**< the check in progress */
	struct health_head head;
	bool checking;
};

static struct target_watch *
get_watch (struct front *front, struct replica *replica)
{
	struct target_watch *watch = replica->watch;
	if (watch)
		return watch;
	watch = xcalloc (1, sizeof (*watch));
	watch->front = front;
	watch->replica = replica;
	timer_init (&watch->timer, TARGET_WATCH_TIMER);
	replica->watch = watch;
	return watch;
}

static void
set_timer (struct target_watch *watch)
{
	const struct restart_watch *restart = &watch->replica->restart;
	if (restart->suspected && !watch->checking)
		timers_set (&watch->front->timers, &watch->timer, restart->check_us);
	else
		timers_clear (&watch->front->timers, &watch->timer);
}

static void
end_suspicion (struct target_watch *watch, const char *reason)
{
	struct front *front = watch->front;
	struct replica *replica = watch->replica;
	set_timer (watch);
	if (replica->restart.sign == RESTART_UNWATCHED && replica->cold_until_us == 0)
		return;
	metric_add (METRIC_TARGETS_CLEARED, 1);
	log_event (&front->log, EVENT_TARGET_CLEARED,
		"%s of %s at %s: %s, %lld ms after the last sign, cold for %lld ms", replica->id,
		replica->set->name, replica->address, reason,
		(long long)((front_now_us (front) - replica->restart.sign_us) / US_PER_MS),
		(long long)(replica->cold_until_us > front_now_us (front)
				    ? (replica->cold_until_us - front_now_us (front)) / US_PER_MS
				    : 0));
}

static void
note_sign (struct front *front, struct replica *replica, enum restart_sign sign, int64_t idle_us)
{
	struct target_watch *watch = get_watch (front, replica);
	struct replica_set *set = replica->set;
	bool was_suspected = replica->restart.suspected;
	int64_t now_us = front_now_us (front);
	if (!restart_note_sign (&replica->restart, sign, idle_us, set->idle_close_us, now_us))
		return;
	if (!was_suspected)
		front_update_cold_interval (front, replica);
	if (!was_suspected && sign != RESTART_UNWATCHED) {
		metric_add (METRIC_TARGETS_SUSPECTED, 1);
		log_event (&front->log, EVENT_TARGET_SUSPECTED,
			"%s of %s at %s: %s, %d in flight, list %lld ms old", replica->id,
			set->name, replica->address, restart_sign_name (sign), replica->in_flight,
			(long long)((now_us - front->discovery.read_us) / US_PER_MS));
	}
	/* They were admitted at the usual rate. */
	if (replica->pool)
		fetch_pool_end_waiting (replica->pool);
	set_timer (watch);
}

static void
note_idle_end (void *user, enum fetch_idle_end end, int64_t idle_us)
{
	struct target_watch *watch = user;
	switch (end) {
	case FETCH_IDLE_DATA:
		return;
	case FETCH_IDLE_CLOSED:
		note_sign (watch->front, watch->replica, RESTART_IDLE_CLOSED, idle_us);
		return;
	case FETCH_IDLE_RESET:
		note_sign (watch->front, watch->replica, RESTART_IDLE_RESET, idle_us);
		return;
	}
}

struct fetch_hooks
target_watch_hooks (struct front *front, struct replica *replica)
{
	return (struct fetch_hooks){
		.idle_closed = note_idle_end, .user = get_watch (front, replica)};
}

void
target_watch_suspect (struct front *front, struct replica *replica, enum restart_sign sign)
{
	note_sign (front, replica, sign, 0);
}

/* A new connection that is reset at once exceeded the connection limit of the target. */
static bool
is_limit_reset (const struct fetch *fetch, int64_t now_us)
{
	return fetch->opened_connection && !fetch->received &&
	       now_us < fetch->written_us + TARGET_WATCH_LIMIT_RESET_US;
}

/* Returns false if the end of a request shows no sign. */
static bool
find_sign (const struct replica *replica, const struct fetch *fetch, int64_t now_us,
	enum restart_sign *sign)
{
	bool connected = replica->pool && fetch_pool_is_connected (replica->pool);
	bool no_connection = fetch->connect_refused || fetch->connect_timed_out;
	*sign = no_connection && !connected ? RESTART_REFUSED : RESTART_LOST;
	return (fetch->conn_lost && !is_limit_reset (fetch, now_us)) || fetch->connect_refused ||
	       *sign == RESTART_REFUSED;
}

static void
note_end (
	struct front *front, struct replica *replica, const struct fetch *fetch, enum fetch_end end)
{
	enum restart_sign sign = RESTART_LOST;
	int64_t now_us = front_now_us (front);
	if (find_sign (replica, fetch, now_us, &sign)) {
		note_sign (front, replica, sign, 0);
		return;
	}
	if (end != FETCH_OK || !replica->restart.suspected)
		return;
	struct restart_watch before = replica->restart;
	struct replica_set *set = replica->set;
	if (!restart_note_answer (
		    &replica->restart, fetch->connected_us, fetch->written_us, now_us))
		return;
	set->idle_close_us = restart_idle_close_us (&before, set->idle_close_us);
	end_suspicion (replica->watch, "an older connection still works");
}

void
target_watch_note_end (
	struct front *front, struct replica_use *use, const struct fetch *fetch, enum fetch_end end)
{
	note_end (front, use->replica, fetch, end);
}

static void
finish_check (struct target_watch *watch, enum restart_health health)
{
	struct replica *replica = watch->replica;
	struct replica_set *set = replica->set;
	struct restart_watch before = replica->restart;
	int64_t now_us = front_now_us (watch->front);
	if (!restart_note_health (&replica->restart, health, now_us)) {
		set_timer (watch);
		return;
	}
	if (health == RESTART_HEALTH_COLD)
		replica->cold_until_us = now_us + watch->head.cold_us;
	else
		set->idle_close_us = restart_idle_close_us (&before, set->idle_close_us);
	end_suspicion (watch, health == RESTART_HEALTH_COLD ? "restarted" : "not restarted");
}

static void
on_checked (struct fetch *fetch, enum fetch_end end)
{
	struct target_watch *watch = caa_container_of (fetch, struct target_watch, fetch);
	struct replica *replica = watch->replica;
	struct front *front = watch->front;
	enum restart_health health = RESTART_HEALTH_NONE;
	watch->checking = false;
	note_end (front, replica, fetch, end);
	if (end == FETCH_OK)
		health = health_head_classify (&watch->head, (int)fetch->status, replica->id);
	fetch_finish (fetch);
	/* The answer may have come on a connection that rules a restart out by itself. */
	finish_check (watch, health);
	/* Also if it is unreachable, so that what waits for it ends. */
	scatter_serve_waiting (replica->set, front_now_us (front));
}

static bool
on_health_line (struct fetch *fetch, const char *line, size_t len)
{
	struct target_watch *watch = caa_container_of (fetch, struct target_watch, fetch);
	health_head_add_line (&watch->head, line, len);
	return true;
}

static const char *
health_path (const struct front *front, const struct replica_set *set)
{
	const struct routing *routing = front->state ? front->state->routing : NULL;
	int at = routing ? routing_find_service (routing, set->name) : -1;
	return at >= 0 ? routing->services[at].health_path : NULL;
}

static void
start_check (struct target_watch *watch, const char *path)
{
	static const char *const headers[] = {NULL};
	struct fetch_request request = {
		.path = path,
		.headers = headers,
		.timeout_us = TARGET_WATCH_TIMEOUT_US,
		.connect_timeout_us = TARGET_WATCH_CONNECT_US,
		.on_header_line = on_health_line,
	};
	health_head_init (&watch->head);
	watch->checking = true;
	watch->fetch.body_max_bytes = TARGET_WATCH_BODY_MAX_BYTES;
	metric_add (METRIC_HEALTH_CHECKS, 1);
	fetch_start (
		&watch->fetch, forward_pool (watch->front, watch->replica), &request, on_checked);
}

void
target_watch_timer_due (struct timer *timer)
{
	struct target_watch *watch = caa_container_of (timer, struct target_watch, timer);
	struct replica *replica = watch->replica;
	struct front *front = watch->front;
	const char *path = health_path (front, replica->set);
	if (!replica->restart.suspected)
		return;
	/* A target that gets no requests, or whose service is not asked for, can wait. */
	bool is_wanted =
		replica_usable (replica) && path &&
		replica->set->last_request_us + TARGET_WATCH_WANTED_US > front_now_us (front);
	if (is_wanted) {
		start_check (watch, path);
		return;
	}
	replica->restart.check_us = front_now_us (front) + RESTART_CHECK_MIN_US;
	set_timer (watch);
}

void
target_watch_note_gap (struct front *front)
{
	struct replica_set *set;
	struct replica *replica;
	cds_list_for_each_entry (set, &front->sets, node) {
		cds_list_for_each_entry (replica, &set->replicas, node) {
			if (!replica->listed || replica->restart.suspected ||
				(replica->pool && fetch_pool_is_connected (replica->pool)))
				continue;
			note_sign (front, replica, RESTART_UNWATCHED, 0);
		}
	}
}

void
target_watch_note_list (struct front *front, int64_t read_us)
{
	struct replica_set *set;
	struct replica *replica;
	cds_list_for_each_entry (set, &front->sets, node) {
		cds_list_for_each_entry (replica, &set->replicas, node) {
			if (replica->listed &&
				restart_note_listed (&replica->restart, read_us, set->list_lag_us))
				end_suspicion (replica->watch, "listed with the same start");
		}
	}
}

void
target_watch_end (struct replica *replica)
{
	struct target_watch *watch = replica->watch;
	if (!watch)
		return;
	timers_clear (&watch->front->timers, &watch->timer);
	if (watch->checking) {
		fetch_cancel (&watch->fetch);
		fetch_finish (&watch->fetch);
	}
	free (watch);
	replica->watch = NULL;
}
