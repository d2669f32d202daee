#include "daemon/front.h"

#include "core/packed.h"
#include "daemon/batch_send.h"
#include "daemon/batch_serve.h"
#include "daemon/forward.h"
#include "daemon/forward_keep.h"
#include "daemon/forward_log.h"
#include "daemon/front_dump.h"
#include "daemon/quota.h"
#include "daemon/target_watch.h"
#include "platform/manifest.h"
#include "query/batch.h"

#include <jansson.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <urcu.h>
#include <xxhash.h>

enum {
	EVENTS_PER_WAIT = 128,
	IDLE_WAIT_MS = 200,
	SETS_MIN = 64,
	DRAIN_WAIT_MS = 5,
	DRAIN_FLUSH_TURNS = 3, /* to accept, to read and to answer */
	READINESS_MAX_CONNECTIONS = 16,
	BATCH_MAX_CONNECTIONS = 1000,
	BATCH_HEADER_MAX_BYTES = 4096,
	/* A node asks each of dozens of others for tokens about once a minute. */
	BATCH_IDLE_TIMEOUT_US = 300000000,
	HEADER_MAX_BYTES = 32768,   /* until a routing sets the limit */
	BODY_MAX_BYTES = 262144,    /* likewise */
	IDLE_MARGIN_US = 2000000,   /* lets callers reuse a connection until its idle time ends */
	IDLE_TIMEOUT_US = 20000000, /* longer than callers keep an idle connection for reuse */
	MEGABYTE = 1024 * 1024,
	/* Together with the reserves 64 MB, so that the smallest VMs bear it. */
	SHARED_MEMORY_BYTES = 35 * MEGABYTE,
	CALLERS_RESERVE_BYTES = 4 * MEGABYTE, /* of heads, of bodies and of answers */
	BATCHES_RESERVE_BYTES = MEGABYTE,     /* likewise */
	FETCH_RESERVE_BYTES = 8 * MEGABYTE,   /* of bodies */
	FETCH_HEADS_RESERVE_BYTES = 4 * MEGABYTE,
};

/** An order to the front's thread to serve; the sender waits for its completion. */
struct front_serve {
	struct mail mail;
	struct error *error;
	bool started;
	struct completion completion;
};

int64_t
front_now_us (const struct front *front)
{
	return clock_now_us (&front->node->clock);
}

static struct stop_plan
stop_plan (const struct front *front)
{
	return stop_plan_make (atomic_load (&front->stop_began_us),
		front->node->options.front_stop_ms * US_PER_MS);
}

struct drain
front_drain (const struct front *front)
{
	struct stop_plan plan = stop_plan (front);
	return (struct drain){.began_us = plan.began_us,
		.refusing = front->phase >= STOP_REFUSING,
		.stop_us = plan.answer_us};
}

static enum stop_phase
due_phase (const struct front *front)
{
	struct stop_plan plan = stop_plan (front);
	enum stop_phase due = stop_plan_phase (&plan, front_now_us (front));
	enum stop_phase asked = (enum stop_phase)atomic_load (&front->asked_phase);
	return asked > due ? asked : due;
}

/* Changes of routing and targets only matter while requests are accepted. */
static bool
needs_changes (const struct front *front)
{
	return front->phase < STOP_REFUSING && due_phase (front) < STOP_REFUSING;
}

bool
front_has_view (const struct front *front)
{
	return front->state && front->state->routing && front->discovery.read_us != 0;
}

bool
front_view_is_stale (const struct front *front)
{
	return atomic_load (&front->view_confirmed_us) + FRONT_VIEW_STALE_US < front_now_us (front);
}

bool
front_is_leaving (const struct front *front, const char *data_centre)
{
	for (int i = 0; front->state && i < front->state->leaving_count; i++) {
		if (strcmp (front->state->leaving[i], data_centre) == 0)
			return true;
	}
	return false;
}

static uint64_t
name_hash (const char *name)
{
	return XXH64 (name, strlen (name), 0);
}

void
front_update_cold_interval (struct front *front, struct replica *replica)
{
	replica->cold_interval_us = replica_cold_interval_us (replica->set->cold_rate_per_s,
		shares_count (&front->shares),
		shares_rank (&front->shares, name_hash (replica->id)));
}

static void
update_cold_intervals (struct front *front, struct replica_set *set)
{
	struct replica *replica;
	cds_list_for_each_entry (replica, &set->replicas, node) {
		if (replica_is_cold (replica, front_now_us (front)))
			front_update_cold_interval (front, replica);
	}
}

static void
apply_group_slack (const struct front *front, struct replica_set *set)
{
	const struct options *options = &front->node->options;
	/* The rank takes a hash of each node; only nodes outside the group need it. */
	int rank =
		set->group.own_rank < 0 ? shares_rank (&front->shares, name_hash (set->name)) : 0;
	struct budget_limits limits = budget_group_limits (options->front_extra_slack,
		shares_count (&front->shares), rank, set->group.nodes, set->group.own_rank);
	budget_set_burst (&set->extra, limits.burst);
	budget_set_refill (
		&set->extra, limits.refill, (int64_t)(options->front_extra_window_s * US_PER_S));
	budget_refill (&set->extra, front_now_us (front));
}

/* Sets this node's share of the slack and of the connections. */
static void
apply_shares (struct front *front, struct replica_set *set, const struct routing_service *service)
{
	double slack = front->node->options.front_extra_slack;
	int nodes = shares_count (&front->shares);
	set->connections = replica_connections (service->max_connections, nodes);
	if (set->group.groups > 0) {
		int connections = replica_connections (service->max_connections, set->group.users);
		if (connections > set->connections)
			set->connections = connections;
		apply_group_slack (front, set);
		return;
	}
	/* The rank takes a hash of each node; it matters when there is less than one for each. */
	int rank = slack < nodes + 1 ? shares_rank (&front->shares, name_hash (set->name)) : 0;
	budget_set_burst (&set->extra, budget_share (slack, nodes, rank));
	budget_set_refill (&set->extra, 0, 0);
}

void
front_configure_set (struct front *front, struct replica_set *set)
{
	const struct options *options = &front->node->options;
	const struct routing *routing = front->state ? front->state->routing : NULL;
	int at = routing ? routing_find_service (routing, set->name) : -1;
	if (at < 0)
		return;
	struct routing_service *service = &routing->services[at];
	service->set = set;
	apply_shares (front, set, service);
	set->cold_rate_per_s =
		service->cold_rate_per_s * options->front_cold_factor + options->front_cold_slack;
	set->share_until_us = front->share_until_us;
	set->drain_us = options->front_drain_ms * US_PER_MS;
	set->list_lag_us = options->front_list_lag_ms * US_PER_MS;
	update_cold_intervals (front, set);
}

/* Adds the data centres in which at least half of a fan-out's shards have a usable target. */
static void
update_homes (const struct routing *routing, struct routing_rule *rule)
{
	struct aggregator_homes seen = {0};
	int counts[AGGREGATOR_HOMES_MAX] = {0};
	for (int i = 0; i < rule->part_count; i++) {
		const struct replica_set *set = routing->services[rule->parts[i].service].set;
		const struct replica *replica;
		cds_list_for_each_entry (replica, &set->replicas, node) {
			if (!replica_usable (replica))
				continue;
			aggregator_homes_add (&seen, replica->data_centre);
			for (int j = 0; j < seen.count; j++)
				counts[j] += strcmp (seen.names[j], replica->data_centre) == 0;
		}
	}
	rule->homes.count = 0;
	for (int i = 0; i < seen.count; i++) {
		if (counts[i] * 2 >= rule->part_count)
			aggregator_homes_add (&rule->homes, seen.names[i]);
	}
}

/* Notes which entry nodes send to the targets of each shard. */
static void
update_groups (
	const struct front *front, const struct routing *routing, const struct routing_rule *rule)
{
	int groups = aggregator_groups (&front->aggregators, rule->part_count);
	for (int at = 0; at < groups; at++) {
		struct aggregator_group group =
			aggregator_group_get (&front->aggregators, groups, at);
		for (int i = at; i < rule->part_count; i += groups) {
			struct replica_set *set = routing->services[rule->parts[i].service].set;
			set->group = aggregator_group_merge (set->group, group);
		}
	}
}

void
front_update_fan_outs (struct front *front)
{
	struct routing *routing = front->state ? front->state->routing : NULL;
	if (!routing)
		return;
	int *previous = xcalloc ((size_t)routing->service_count + 1, sizeof (*previous));
	for (int i = 0; i < routing->service_count; i++) {
		struct replica_set *set = routing->services[i].set;
		previous[i] = set->group.groups;
		set->group = (struct aggregator_group){.own_rank = -1};
	}
	for (int i = 0; i < routing->rule_count; i++) {
		if (routing->rules[i].shape != ROUTE_FAN_OUT)
			continue;
		update_homes (routing, &routing->rules[i]);
		update_groups (front, routing, &routing->rules[i]);
	}
	for (int i = 0; i < routing->service_count; i++) {
		struct replica_set *set = routing->services[i].set;
		/* Other nodes may still use shares of the previous groups. */
		if (set->group.groups != previous[i])
			budget_empty (&set->extra);
		apply_shares (front, set, &routing->services[i]);
	}
	free (previous);
}

/* Rechecks whether this node may use its share; that depends on lease and settled epoch. */
static void
update_share (struct front *front)
{
	struct node *node = front->node;
	struct replica_set *set;
	uint64_t settled = atomic_load (&node->settled_revision);
	/* Read before the generation, since control stores a new lease after its generation. */
	int64_t lease_us = atomic_load (&node->lease_until_us);
	bool has_lease = front_now_us (front) < lease_us;
	bool is_usable = share_is_usable (
		&front->shares, has_lease, atomic_load (&node->lease_generation), settled);
	front->share_until_us = is_usable ? lease_us : 0;
	bool changed = shares_settle (&front->shares, settled);
	front_quota_refresh (front);
	cds_list_for_each_entry (set, &front->sets, node) {
		set->share_until_us = front->share_until_us;
		if (changed)
			front_configure_set (front, set);
	}
	if (changed)
		front_update_fan_outs (front);
	front_rollouts_share (front);
}

static struct replica_set *
find_set (const struct front *front, const char *service)
{
	struct name_table_search search = name_table_find (&front->set_names, name_hash (service));
	int at = name_table_next (&search);
	while (at >= 0 && strcmp (front->set_items[at]->name, service) != 0)
		at = name_table_next (&search);
	return at >= 0 ? front->set_items[at] : NULL;
}

static void
grow_sets (struct front *front)
{
	front->set_cap = front->set_cap ? front->set_cap * 2 : SETS_MIN;
	front->set_items =
		xrealloc (front->set_items, (size_t)front->set_cap * sizeof (struct replica_set *));
	name_table_finish (&front->set_names);
	name_table_init (&front->set_names, (size_t)front->set_cap);
	for (int i = 0; i < front->set_count; i++)
		name_table_add (&front->set_names, name_hash (front->set_items[i]->name), i);
}

static void
add_set (struct front *front, struct replica_set *set)
{
	if (front->set_count == front->set_cap)
		grow_sets (front);
	name_table_add (&front->set_names, name_hash (set->name), front->set_count);
	front->set_items[front->set_count++] = set;
	cds_list_add (&set->node, &front->sets);
}

struct replica_set *
front_replica_set (struct front *front, const char *service)
{
	struct replica_set *set = find_set (front, service);
	if (set)
		return set;
	set = xcalloc (1, sizeof (*set));
	replica_set_init (set, service);
	set->rng.state = rng_next (&front->rng);
	/*
	 * Starts with the smallest burst: the number of nodes that divide the slack is not known
	 * yet, and a restart must not grant the whole slack again.
	 */
	budget_init_burst (&set->extra, 1);
	add_set (front, set);
	front_configure_set (front, set);
	front_rollouts_bind (front, set);
	return set;
}

/* Copies statistics and measured latencies of each route to its new version. */
static void
inherit_route_state (struct front *front, struct routing *routing, const struct routing *old)
{
	for (int i = 0; i < routing->rule_count; i++) {
		struct routing_rule *rule = &routing->rules[i];
		const struct routing_rule *previous =
			old ? routing_find_rule (old, rule->name) : NULL;
		rule->stats =
			previous ? previous->stats : route_table_get (&front->routes, rule->name);
		if (previous)
			rule->latency = previous->latency;
		if (previous && routing_same_services (routing, rule, old, previous))
			rule->cost = previous->cost;
		for (int j = 0; rule->shape == ROUTE_SPLIT && j < rule->part_count; j++)
			rule->parts[j].current_weight = rule->parts[j].weight *
							(double)rng_below (&front->rng, 1000) /
							1000;
	}
}

static void
update_evacuation (struct front *front)
{
	struct replica_set *set;
	struct replica *replica;
	cds_list_for_each_entry (set, &front->sets, node) {
		cds_list_for_each_entry (replica, &set->replicas, node) {
			if (front_is_leaving (front, replica->data_centre)) {
				replica->evacuated = true;
				replica->returned_us = 0;
			} else if (replica->evacuated && replica->returned_us == 0) {
				replica->returned_us = front_now_us (front);
			}
		}
	}
}

void
front_readmit (struct front *front, int64_t read_us)
{
	struct replica_set *set;
	struct replica *replica;
	cds_list_for_each_entry (set, &front->sets, node) {
		cds_list_for_each_entry (replica, &set->replicas, node) {
			if (replica->evacuated && replica->returned_us != 0 &&
				read_us >= replica->returned_us + FRONT_READMIT_DELAY_US)
				replica->evacuated = false;
		}
		scatter_serve_waiting (set, front_now_us (front));
	}
}

static void
free_state (struct front_state *state)
{
	for (int i = 0; i < state->leaving_count; i++)
		free (state->leaving[i]);
	rollouts_finish (&state->rollouts);
	free (state->leaving);
	free (state->entry_nodes);
	routing_unref (state->routing);
	free (state);
}

static void
update_entry_nodes (struct front *front, const struct front_state *state)
{
	const struct options *options = &front->node->options;
	struct aggregator *aggregator;
	size_t count = state->entry_node_count;
	uint64_t *hashes = xcalloc (count + 1, sizeof (*hashes));
	for (size_t i = 0; i < count; i++)
		hashes[i] = state->entry_nodes[i].hash;
	shares_update (&front->shares, hashes, count, state->is_member, state->epoch,
		atomic_load (&front->node->lease_generation));
	free (hashes);
	aggregators_update (&front->aggregators, state->entry_nodes, count,
		options->front_batch_port_step > 0 ? (int)options->front_group_nodes : 0);
	while ((aggregator = aggregators_remove_unused (&front->aggregators))) {
		if (aggregator->pool)
			fetch_pool_retire (aggregator->pool);
		free (aggregator);
	}
}

static void
apply_caller_limits (struct front *front)
{
	const struct routing *routing = front->state ? front->state->routing : NULL;
	if (!routing)
		return;
	front->callers.limits.header_bytes = routing->limits.header_bytes;
	front->callers.limits.body_bytes = routing->limits.body_bytes;
	front->callers.limits.idle_timeout_us = routing->limits.idle_timeout_us + IDLE_MARGIN_US;
}

static void
apply_state (struct front *front, struct front_state *state)
{
	struct front_state *old = front->state;
	const struct routing *old_routing = old ? old->routing : NULL;
	struct replica_set *set;
	front->state = state;
	update_entry_nodes (front, state);
	front_quota_apply (front, state, old);
	if (state->routing && state->routing != old_routing)
		inherit_route_state (front, state->routing, old_routing);
	for (int i = 0; state->routing && i < state->routing->service_count; i++)
		front_replica_set (front, state->routing->services[i].name);
	/* Binds all sets to the new routing, which what follows relies on. */
	cds_list_for_each_entry (set, &front->sets, node)
		front_configure_set (front, set);
	front_rollouts_apply (front, old == NULL);
	update_share (front);
	update_evacuation (front);
	front_update_fan_outs (front);
	apply_caller_limits (front);
	if (state->routing && state->routing != old_routing)
		log_event (&front->log, EVENT_ROUTING_IN_FORCE,
			"version %llu at revision %llu: %d routes, %d services",
			(unsigned long long)state->routing->version,
			(unsigned long long)state->revision, state->routing->rule_count,
			state->routing->service_count);
	if (old)
		free_state (old);
	atomic_store (&front->reconciled, state->revision);
	forward_release_held (front);
}

static void
add_if_leaving (struct front_state *state, const struct resource *item)
{
	json_t *spec = json_loads (item->spec, 0, NULL);
	if (json_is_true (json_object_get (spec, "leaving")))
		state->leaving[state->leaving_count++] = xstrdup (item->name);
	json_decref (spec);
}

static struct routing *
decode_routing (const struct state_routing *accepted, struct error *error)
{
	size_t len = 0;
	char *document = packed_open (accepted->document, accepted->len, &len);
	if (!document) {
		error_set (
			error, ERROR_DAMAGED, "the document cannot be decompressed; send it again");
		return NULL;
	}
	struct routing *routing = manifest_decode (document, len, error);
	free (document);
	return routing;
}

void
front_post_state (struct front *front, const struct state *declared)
{
	struct front_state *state = xcalloc (1, sizeof (*state));
	state->mail.kind = FRONT_STATE;
	if (declared->routing.version > front->posted_version) {
		struct error error = {0};
		struct routing *routing = decode_routing (&declared->routing, &error);
		front->posted_version = declared->routing.version;
		if (routing)
			posted_routings_add (&front->posted_routings, routing);
		else
			log_event (&front->log, EVENT_ORDER_REFUSED, "accepted routing: %s",
				error.message);
	}
	posted_routings_clean (&front->posted_routings);
	struct routing *newest = posted_routings_newest (&front->posted_routings);
	state->revision = declared->applied;
	state->routing = newest ? routing_ref (newest) : NULL;
	state->leaving = xcalloc (declared->resources.count + 1, sizeof (*state->leaving));
	for (size_t i = 0; i < declared->resources.count; i++) {
		if (declared->resources.items[i]->kind == RESOURCE_DATA_CENTRE)
			add_if_leaving (state, declared->resources.items[i]);
	}
	state->entry_nodes = xcalloc (declared->members.count + 1, sizeof (*state->entry_nodes));
	state->epoch = declared->epoch;
	rollouts_copy (&state->rollouts, &declared->rollouts);
	for (size_t i = 0; i < declared->members.count; i++) {
		const struct member *member = &declared->members.items[i];
		if (!member->is_entry_node)
			continue;
		struct entry_node *entry = &state->entry_nodes[state->entry_node_count++];
		entry->hash = name_hash (member->name);
		entry->leaving = member->leaving;
		batch_address (member->address, front->node->options.front_batch_port_step,
			entry->address, sizeof (entry->address));
		str_copy (entry->data_centre, sizeof (entry->data_centre), member->data_centre);
		state->is_member =
			state->is_member || member->incarnation == front->node->incarnation;
	}
	atomic_store (&front->posted_revision, state->revision);
	mailbox_post (&front->mailbox, &state->mail);
}

void
front_post_roster (struct front *front, const struct roster *roster)
{
	bool is_new = roster->stamp != atomic_load (&front->posted_roster_stamp);
	size_t len = is_new ? roster->len : 0;
	struct front_roster *mail = xmalloc (sizeof (*mail) + len);
	atomic_store (&front->posted_roster_stamp, roster->stamp);
	mail->mail.kind = FRONT_ROSTER;
	mail->read_us = roster->read_us;
	mail->len = len;
	if (len)
		memcpy (mail->data, roster->data, len);
	mailbox_post (&front->mailbox, &mail->mail);
}

static void
apply_roster (struct front *front, struct front_roster *roster)
{
	update_share (front);
	discovery_apply_roster (
		&front->discovery, roster->len ? roster->data : NULL, roster->len, roster->read_us);
	free (roster);
}

/* Each state is applied, since shares depend on every epoch in between. */
static void
take_state (struct front *front, struct front_state *state)
{
	if (needs_changes (front))
		apply_state (front, state);
	else
		free_state (state);
}

static void
take_roster (struct front *front, struct front_roster *roster)
{
	if (needs_changes (front))
		apply_roster (front, roster);
	else
		free (roster);
}

static void
answer_readiness (struct ingress_request *request, void *user)
{
	const struct front *front = user;
	bool ready = front_has_view (front) && atomic_load (&front->stop_began_us) == 0;
	ingress_answer (request, ready ? 200 : 503, NULL, NULL, 0, false);
}

static void
ignore_caller_left (struct ingress_request *request, void *user)
{
	(void)request;
	(void)user;
}

static bool
start_batches (struct front *front, struct error *error)
{
	struct listener *listener = &front->node->ports.listeners[PORT_BATCHES];
	struct ingress_limits limits = {
		BATCH_HEADER_MAX_BYTES, BATCH_MAX_BYTES, BATCH_IDLE_TIMEOUT_US};
	struct ingress_hooks hooks = {batch_serve_request, forward_caller_left, front};
	return listener->fd < 0 ||
	       ingress_start (&front->batches, &front->node->clock, listener, front->epoll_fd,
		       BATCH_MAX_CONNECTIONS, &limits, &hooks, error);
}

static bool
start_ingresses (struct front *front, struct error *error)
{
	struct node *node = front->node;
	struct listener *listeners = node->ports.listeners;
	struct ingress_limits limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES, IDLE_TIMEOUT_US};
	struct ingress_hooks callers = {forward_request, forward_caller_left, front};
	struct ingress_hooks balancer = {answer_readiness, ignore_caller_left, front};
	bool started =
		start_batches (front, error) &&
		ingress_start (&front->balancer, &node->clock, &listeners[PORT_READINESS],
			front->epoll_fd, READINESS_MAX_CONNECTIONS, &limits, &balancer, error) &&
		ingress_start (&front->callers, &node->clock, &listeners[PORT_CALLERS],
			front->epoll_fd, (int)node->options.front_connections, &limits, &callers,
			error);
	ingress_join_memory (&front->callers, &front->memory, CALLERS_RESERVE_BYTES);
	ingress_join_memory (&front->batches, &front->memory, BATCHES_RESERVE_BYTES);
	ingress_watch_unanswered (&front->callers, forward_log_unanswered);
	ingress_watch_unanswered (&front->batches, forward_log_unanswered);
	/* A routing may have been received before. */
	apply_caller_limits (front);
	return started;
}

static void
serve (struct front *front, struct front_serve *call)
{
	call->started = start_ingresses (front, call->error);
	completion_signal (&call->completion);
}

static void
handle_mail (struct front *front, struct mail *mail)
{
	switch ((enum front_mail)mail->kind) {
	case FRONT_STATE:
		take_state (front, caa_container_of (mail, struct front_state, mail));
		return;
	case FRONT_ROSTER:
		take_roster (front, caa_container_of (mail, struct front_roster, mail));
		return;
	case FRONT_DUMP:
		front_write_dump (front, caa_container_of (mail, struct front_dump, mail));
		return;
	case FRONT_SERVE:
		serve (front, caa_container_of (mail, struct front_serve, mail));
		return;
	}
}

static void
follow_stop (struct front *front)
{
	enum stop_phase due = due_phase (front);
	bool refuses = due >= STOP_REFUSING && front->phase < STOP_REFUSING;
	front->phase = due > front->phase ? due : front->phase;
	if (refuses)
		forward_refuse_unsent (front);
}

static void
handle_timed_mail (struct front *front, struct mail *mail)
{
	static const enum front_part parts[] = {
		[FRONT_STATE] = FRONT_PART_STATE,
		[FRONT_ROSTER] = FRONT_PART_ROSTER,
		[FRONT_DUMP] = FRONT_PART_DUMP,
		[FRONT_SERVE] = FRONT_PART_CALLERS,
	};
	enum front_part part = parts[mail->kind];
	handle_mail (front, mail);
	turn_mark (&front->turn, (int)part, front_now_us (front));
}

/* Callers get a turn after each state, however fast states arrive. */
static void
handle_mails (struct front *front)
{
	struct mail *mail;
	front->mail_left = false;
	while (!front->mail_left && (mail = mailbox_take (&front->mailbox))) {
		front->mail_left = mail->kind == FRONT_STATE;
		handle_timed_mail (front, mail);
	}
}

static void
end_turn (struct front *front)
{
	static const char *const names[] = {
		[FRONT_PART_SOCKETS] = "events of sockets",
		[FRONT_PART_STATE] = "a declared state",
		[FRONT_PART_ROSTER] = "a target list",
		[FRONT_PART_DUMP] = "a dump",
		[FRONT_PART_END] = "ending requests",
		[FRONT_PART_TARGETS] = "replies of targets",
		[FRONT_PART_TIMERS] = "timers",
		[FRONT_PART_CALLERS] = "callers",
	};
	const struct turn *turn = &front->turn;
	latency_observe (LATENCY_LOOP_ITERATION, turn_total_us (turn));
	if (!turn_is_slow (turn))
		return;
	int longest = turn_longest (turn);
	log_event (&front->log, EVENT_FRONT_PAUSED, "%lld ms, of which %lld ms for %s",
		(long long)(turn_total_us (turn) / US_PER_MS),
		(long long)(turn->parts_us[longest] / US_PER_MS), names[longest]);
}

static void
run_timers (struct front *front)
{
	struct timer *timer;
	while ((timer = timers_pop_due (&front->timers, front_now_us (front)))) {
		if (timer->kind < FETCH_TIMER_KIND_END)
			fetch_timer_due (timer);
		else if (timer->kind == FORWARD_TIMER)
			forward_timer_due (timer);
		else if (timer->kind == QUOTA_TIMER)
			front_quota_timer_due (front);
		else if (timer->kind == TARGET_WATCH_TIMER)
			target_watch_timer_due (timer);
		else
			discovery_timer_due (&front->discovery);
	}
}

static int
shorter_wait_ms (int wait_ms, int other_ms)
{
	return other_ms >= 0 && other_ms < wait_ms ? other_ms : wait_ms;
}

/* The front of a control node only reads the target list. */
static bool
serves_callers (const struct front *front)
{
	return ingress_is_started (&front->callers);
}

static bool
serves_batches (const struct front *front)
{
	return ingress_is_started (&front->batches);
}

static int
wait_ms (const struct front *front, int max_ms)
{
	int wait = max_ms;
	int64_t next_us = timers_next_us (&front->timers);
	int64_t now_us = front_now_us (front);
	if (next_us <= now_us || front->mail_left || fetch_loop_has_unread (&front->fetches))
		return 0;
	if (next_us != INT64_MAX && (next_us - now_us) / US_PER_MS < wait)
		wait = (int)((next_us - now_us + US_PER_MS - 1) / US_PER_MS);
	if (!serves_callers (front))
		return wait;
	wait = shorter_wait_ms (wait, ingress_timeout_ms (&front->callers));
	if (serves_batches (front))
		wait = shorter_wait_ms (wait, ingress_timeout_ms (&front->batches));
	return shorter_wait_ms (wait, ingress_timeout_ms (&front->balancer));
}

/* What one iteration of the loop has to serve besides the sockets of targets. */
struct pending {
	bool mail;
	bool callers;
	bool balancer;
	bool batches;
};

/*
 * Callers' sockets are checked first, because the HTTP server may close one and its descriptor may
 * then be reused. Most iterations only bring replies from targets; checking mailbox and callers
 * each time would cost more than handling the reply, so the result says which of them to serve.
 */
static void
handle_events (
	struct front *front, const struct epoll_event *events, int count, struct pending *pending)
{
	for (int i = 0; i < count; i++) {
		int fd = events[i].data.fd;
		bool mail = fd == front->mailbox.event_fd;
		bool callers = serves_callers (front) && fd == ingress_fd (&front->callers);
		bool balancer = serves_callers (front) && fd == ingress_fd (&front->balancer);
		pending->mail = pending->mail || mail;
		pending->callers = pending->callers || callers;
		bool batches = serves_batches (front) && fd == ingress_fd (&front->batches);
		pending->balancer = pending->balancer || balancer;
		pending->batches = pending->batches || batches;
		if (mail || callers || balancer || batches)
			continue;
		if (!ingress_socket_event (&front->callers, fd, events[i].events) &&
			!ingress_socket_event (&front->batches, fd, events[i].events) &&
			!ingress_socket_event (&front->balancer, fd, events[i].events))
			fetch_socket_event (&front->fetches, fd, events[i].events);
	}
}

/* Waits for events for at most max_ms, and handles them. */
static void
iterate (struct front *front, int max_ms)
{
	struct epoll_event events[EVENTS_PER_WAIT];
	int count = epoll_wait (front->epoll_fd, events, EVENTS_PER_WAIT, wait_ms (front, max_ms));
	int64_t woken_us = front_now_us (front);
	bool resumed = front->woken_us != 0 && woken_us > front->woken_us + FRONT_SUSPENDED_US;
	if (resumed) {
		front->resumed_us = woken_us;
		front_rollouts_resumed (front);
	}
	front->woken_us = woken_us;
	turn_begin (&front->turn, woken_us);
	/* Without events, the wait may have ended for a timer of one of the HTTP servers. */
	struct pending pending = {count == 0, count == 0, count == 0, count == 0};
	handle_events (front, events, count, &pending);
	/* Connections that ended during a suspension are noted before new requests are read. */
	while (resumed && count == EVENTS_PER_WAIT) {
		count = epoll_wait (front->epoll_fd, events, EVENTS_PER_WAIT, 0);
		handle_events (front, events, count, &pending);
	}
	if (resumed)
		target_watch_note_gap (front);
	turn_mark (&front->turn, FRONT_PART_SOCKETS, front_now_us (front));
	if (pending.mail)
		mailbox_clear (&front->mailbox);
	if (pending.mail || front->mail_left)
		handle_mails (front);
	follow_stop (front);
	turn_mark (&front->turn, FRONT_PART_END, front_now_us (front));
	fetch_loop_read (&front->fetches);
	turn_mark (&front->turn, FRONT_PART_TARGETS, front_now_us (front));
	run_timers (front);
	turn_mark (&front->turn, FRONT_PART_TIMERS, front_now_us (front));
	if (serves_callers (front) && (pending.callers || ingress_has_work (&front->callers)))
		ingress_run (&front->callers);
	if (serves_batches (front) && (pending.batches || ingress_has_work (&front->batches)))
		ingress_run (&front->batches);
	if (serves_callers (front) && (pending.balancer || ingress_has_work (&front->balancer)))
		ingress_run (&front->balancer);
	fetch_loop_clean (&front->fetches);
	turn_mark (&front->turn, FRONT_PART_CALLERS, front_now_us (front));
	atomic_store (&front->connections, front->callers.connection_count);
	atomic_store (&front->list_read_us, front->discovery.read_us);
	atomic_store (&front->sharing_nodes, shares_count (&front->shares));
	end_turn (front);
}

static int
open_requests (const struct front *front)
{
	return front->callers.request_count + front->batches.request_count;
}

/* Whether there is something to write, or a caller that may be about to send the rest. */
static bool
is_flushing (const struct front *front, const struct stop_plan *plan, int64_t end_us)
{
	int64_t now_us = front_now_us (front);
	int unwritten = ingress_unwritten (&front->callers) + ingress_unwritten (&front->batches);
	return (open_requests (front) > 0 && now_us < end_us) ||
	       (unwritten > 0 && now_us < plan->write_us);
}

/*
 * Answers every request that was read, and waits until the answers are written. No connection is
 * accepted after that; those that were, and requests that have been received in part, are refused.
 */
static void
end_requests (struct front *front)
{
	struct stop_plan plan = stop_plan (front);
	int64_t end_us = front_now_us (front) + plan.flush_us;
	int ended = forward_end_all (front);
	log_event (&front->log, EVENT_REQUESTS_ENDED, "%d requests, %lld ms after the stop began",
		ended, (long long)((front_now_us (front) - plan.began_us) / US_PER_MS));
	ingress_stop_listening (&front->callers);
	ingress_stop_listening (&front->batches);
	/* Each socket gets a turn even if this thread did not run for a while. */
	for (int i = 0; i < DRAIN_FLUSH_TURNS || is_flushing (front, &plan, end_us); i++)
		iterate (front, DRAIN_WAIT_MS);
	ingress_shutdown (&front->callers);
	ingress_shutdown (&front->batches);
	end_us = front_now_us (front) + plan.linger_us;
	while (ingress_discard (&front->callers) + ingress_discard (&front->batches) > 0 &&
		front_now_us (front) < end_us)
		poll (NULL, 0, DRAIN_WAIT_MS);
	ingress_stop (&front->callers);
	ingress_stop (&front->batches);
	ingress_stop (&front->balancer);
}

/* How long the loop may wait: until the next step of a planned stop. */
static int
idle_wait_ms (const struct front *front)
{
	struct stop_plan plan = stop_plan (front);
	int64_t now_us = front_now_us (front);
	int64_t next_us = stop_plan_next_us (&plan, now_us);
	if (next_us == INT64_MAX || next_us - now_us > IDLE_WAIT_MS * US_PER_MS)
		return IDLE_WAIT_MS;
	return (int)((next_us - now_us + US_PER_MS - 1) / US_PER_MS);
}

static void *
run (void *arg)
{
	struct front *front = arg;
	pthread_setname_np (pthread_self (), "front");
	rcu_register_thread ();
	while (front->phase < STOP_ENDING)
		iterate (front, idle_wait_ms (front));
	if (serves_callers (front))
		end_requests (front);
	rcu_unregister_thread ();
	completion_signal (&front->ended);
	return NULL;
}

static void
set_policy (struct front *front)
{
	const struct options *options = &front->node->options;
	front->policy.data_centre = options->node_data_center;
	front->policy.extra_percent = (int)(options->front_extra_ratio * 100);
	front->policy.margin_us = options->front_margin_ms * US_PER_MS;
	placement_parse (options->front_placement, &front->policy.placement);
}

bool
front_start (struct front *front, struct node *node, struct error *error)
{
	memset (front, 0, sizeof (*front));
	front->node = node;
	front->started_us = clock_now_us (&node->clock);
	front->resumed_us = -FRONT_RESUME_GUARD_US;
	front->log = node->log;
	front->log.module = "front";
	front->rng.state = node->incarnation;
	CDS_INIT_LIST_HEAD (&front->sets);
	route_table_init (&front->routes);
	front_rollouts_init (&front->rollouts);
	CDS_INIT_LIST_HEAD (&front->forwards);
	CDS_INIT_LIST_HEAD (&front->served);
	aggregators_init (&front->aggregators, name_hash (node->options.node_name));
	front_quota_init (front);
	completion_init (&front->ended);
	timers_init (&front->timers);
	shares_init (&front->shares, name_hash (node->options.node_name));
	set_policy (front);
	front->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
	if (front->epoll_fd < 0 || !mailbox_init (&front->mailbox))
		return error_set (error, ERROR_IO, "no free file descriptor; raise the limit");
	struct epoll_event event = {.events = EPOLLIN, .data.fd = front->mailbox.event_fd};
	epoll_ctl (front->epoll_fd, EPOLL_CTL_ADD, front->mailbox.event_fd, &event);
	fetch_loop_init (&front->fetches, front->epoll_fd, &node->clock, &front->timers);
	front->memory.shared_max = SHARED_MEMORY_BYTES;
	memory_account_join (&front->fetches.bodies, &front->memory, FETCH_RESERVE_BYTES);
	memory_account_join (&front->fetches.heads, &front->memory, FETCH_HEADS_RESERVE_BYTES);
	forward_keep_init (front);
	discovery_start (&front->discovery, front);
	if (pthread_create (&front->thread, NULL, run, front) != 0)
		return error_set (error, ERROR_IO, "cannot start a thread; raise the limit");
	return true;
}

bool
front_serve (struct front *front, struct error *error)
{
	struct front_serve call = {.mail.kind = FRONT_SERVE, .error = error};
	completion_init (&call.completion);
	mailbox_post (&front->mailbox, &call.mail);
	completion_wait (&call.completion);
	return call.started;
}

void
front_begin_stop (struct front *front, const struct stop_plan *plan)
{
	atomic_store (&front->stop_began_us, plan->began_us);
	mailbox_wake (&front->mailbox);
}

void
front_refuse_unsent (struct front *front)
{
	atomic_store (&front->asked_phase, STOP_REFUSING);
	mailbox_wake (&front->mailbox);
}

void
front_end (struct front *front)
{
	atomic_store (&front->asked_phase, STOP_ENDING);
	mailbox_wake (&front->mailbox);
}

bool
front_join (struct front *front, int64_t until_us)
{
	return completion_wait_until (&front->ended, &front->node->clock, until_us);
}
