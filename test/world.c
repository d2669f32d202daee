#include "test/world.h"

#include "core/buf.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static const struct raft_times times = {.election_us = 300000, .heartbeat_us = 75000};

#define BREAK(world, text)                                                                         \
	do {                                                                                       \
		if (!(world)->fault) {                                                             \
			(world)->fault = __LINE__;                                                 \
			(world)->fault_text = (text);                                              \
		}                                                                                  \
	} while (0)

static int64_t
node_now (const struct world *world, const struct world_node *node)
{
	return world->now_us + node->clock_skew_us;
}

static int
find_address (const struct world *world, const char *address)
{
	for (int i = 0; i < world->node_count; i++) {
		if (strcmp (world->nodes[i].address, address) == 0)
			return i;
	}
	return -1;
}

static void
send_copy (struct world *world, int from, int to, const void *data, size_t len)
{
	struct world_message *message = xcalloc (1, sizeof (*message));
	message->from = from;
	message->to = to;
	message->data = xmemdup (data, len);
	message->len = len;
	message->due_us = world->now_us + 500 +
			  (int64_t)rng_below (&world->rng, (uint64_t)world->delay_us + 1);
	cds_list_add_tail (&message->node, &world->network);
}

static bool
chance (struct world *world, int per_mille)
{
	return (int)rng_below (&world->rng, 1000) < per_mille;
}

static void
send_outbox (struct world *world, int from, struct cds_list_head *outbox)
{
	struct outgoing_message *outgoing;
	while ((outgoing = outbox_take (outbox))) {
		size_t len = 0;
		void *data = wire_encode (&outgoing->wire, &len);
		int to = find_address (world, outgoing->route.id);
		bool lost = to < 0 || world->cut[from][to] ||
			    (to != from && chance (world, world->loss_per_mille));
		if (!lost)
			send_copy (world, from, to, data, len);
		if (!lost && to != from && chance (world, world->double_per_mille))
			send_copy (world, from, to, data, len);
		free (data);
		wire_finish (&outgoing->wire);
		free (outgoing);
	}
}

static void
free_disk (struct world_disk *disk)
{
	for (size_t i = 0; i < disk->entry_count; i++)
		free (disk->entries[i].data);
	free (disk->entries);
	free (disk->snapshot);
	memset (disk, 0, sizeof (*disk));
}

static void
save (struct world_node *node)
{
	const struct raft *raft = &node->voter.raft;
	uint64_t id = node->disk.id;
	free_disk (&node->disk);
	struct world_disk *disk = &node->disk;
	disk->id = id;
	disk->term = raft->term;
	disk->voted_for = raft->voted_for;
	disk->snapshot_index = raft->snapshot_index;
	disk->snapshot_term = raft->snapshot_term;
	disk->snapshot_config = raft->snapshot_config;
	disk->snapshot = xmemdup (raft->snapshot, raft->snapshot_len);
	disk->snapshot_len = raft->snapshot_len;
	disk->entry_count = raft->entry_count;
	disk->entries = xcalloc (raft->entry_count, sizeof (*disk->entries));
	for (size_t i = 0; i < raft->entry_count; i++) {
		disk->entries[i] = raft->entries[i];
		disk->entries[i].data = xmemdup (raft->entries[i].data, raft->entries[i].len);
	}
}

static void
load (struct world_node *node)
{
	struct raft *raft = &node->voter.raft;
	const struct world_disk *disk = &node->disk;
	raft_restore_hard_state (raft, disk->term, disk->voted_for);
	if (disk->snapshot_index > 0)
		raft_restore_snapshot (raft, disk->snapshot_index, disk->snapshot_term,
			&disk->snapshot_config, xmemdup (disk->snapshot, disk->snapshot_len),
			disk->snapshot_len);
	for (size_t i = 0; i < disk->entry_count; i++) {
		struct raft_entry entry = disk->entries[i];
		entry.data = xmemdup (entry.data, entry.len);
		raft_restore_entry (raft, disk->snapshot_index + 1 + i, entry);
	}
	voter_restore_state (&node->voter);
}

static void
start_node (struct world *world, int index, bool bootstrap)
{
	struct world_node *node = &world->nodes[index];
	int64_t now_us = node_now (world, node);
	node->up = true;
	node->lose_save = false;
	node->incarnation = rng_next (&world->rng) | 1;
	node->lease_generation = 0;
	node->lease_until_us = 0;
	memset (node->ownerships, 0, sizeof (node->ownerships));
	shares_init (&node->shares, (uint64_t)index + 1);
	if (node->has_disk) {
		if (node->disk.id == 0)
			node->disk.id = rng_next (&world->rng) | 1;
		struct voter_settings settings = {.lease_us = WORLD_LEASE_US,
			.desired_voters = voters_for_disk_losses (world->losses),
			.formation_timeout_us = 8000000,
			.replace_voter_after_us = 300000000,
			.compact_entries = 100,
			.disk_id = node->disk.id};
		str_copy (settings.name, sizeof (settings.name), node->name);
		str_copy (settings.address, sizeof (settings.address), node->address);
		voter_init (&node->voter, &settings, &times, rng_next (&world->rng), now_us);
		load (node);
		if (bootstrap)
			raft_bootstrap (&node->voter.raft, node->name, node->address);
	}
	struct follower_settings settings = {
		.lease_us = WORLD_LEASE_US, .poll_us = 500000, .seeds = world->seeds};
	str_copy (settings.self.name, sizeof (settings.self.name), node->name);
	str_copy (settings.self.address, sizeof (settings.self.address), node->address);
	str_copy (settings.self.data_centre, sizeof (settings.self.data_centre), node->data_centre);
	settings.self.incarnation = node->incarnation;
	settings.self.disk_id = node->has_disk ? node->disk.id : 0;
	follower_init (&node->follower, &settings, now_us);
}

void
world_init (struct world *world, int nodes, int voters, uint64_t seed)
{
	world_init_losses (world, nodes, voters, 1, seed);
}

void
world_init_losses (struct world *world, int nodes, int voters, int losses, uint64_t seed)
{
	memset (world, 0, sizeof (*world));
	world->losses = losses;
	world->rng.state = seed;
	world->now_us = 1000000;
	world->delay_us = 2000;
	world->node_count = nodes;
	CDS_INIT_LIST_HEAD (&world->network);
	for (int i = 0; i < voters; i++)
		snprintf (world->seeds + strlen (world->seeds),
			sizeof (world->seeds) - strlen (world->seeds), "v%d,", i);
	for (int i = 0; i < nodes; i++) {
		struct world_node *node = &world->nodes[i];
		snprintf (node->name, sizeof (node->name), "node%d", i);
		snprintf (node->address, sizeof (node->address), "v%d", i);
		snprintf (node->data_centre, sizeof (node->data_centre), "dc%d", i % 3);
		node->has_disk = i < voters;
		node->clock_skew_us = (int64_t)rng_below (&world->rng, 1000000000);
		hint_table_init (&node->hints);
		start_node (world, i, i == 0);
	}
}

void
world_crash (struct world *world, int index)
{
	struct world_node *node = &world->nodes[index];
	if (!node->up)
		return;
	node->up = false;
	if (node->has_disk)
		voter_finish (&node->voter);
	follower_finish (&node->follower);
	shares_finish (&node->shares);
	view_put (node->view);
	node->view = NULL;
}

void
world_restart (struct world *world, int index)
{
	if (!world->nodes[index].up)
		start_node (world, index, false);
}

void
world_empty_disk (struct world *world, int index)
{
	if (!world->nodes[index].up)
		free_disk (&world->nodes[index].disk);
}

void
world_finish (struct world *world)
{
	struct world_message *message;
	struct world_message *next;
	for (int i = 0; i < world->node_count; i++) {
		world_crash (world, i);
		free_disk (&world->nodes[i].disk);
		hint_table_finish (&world->nodes[i].hints);
	}
	cds_list_for_each_entry_safe (message, next, &world->network, node) {
		free (message->data);
		free (message);
	}
	free (world->answer.body);
	free (world->committed);
}

/* An index commits one entry only, for good, on every voter. */
static void
check_commit (struct world *world, const struct raft *raft)
{
	for (uint64_t index = raft->snapshot_index + 1; index <= raft->commit; index++) {
		const struct raft_entry *entry = raft_entry_at (raft, index);
		uint64_t digest =
			XXH64 (entry->data, entry->len, entry->term * 4 + entry->type) | 1;
		if (index >= world->committed_cap) {
			size_t cap = index * 2 + 64;
			world->committed =
				xrealloc (world->committed, cap * sizeof (*world->committed));
			memset (world->committed + world->committed_cap, 0,
				(cap - world->committed_cap) * sizeof (*world->committed));
			world->committed_cap = cap;
		}
		if (world->committed[index] && world->committed[index] != digest)
			BREAK (world, "a committed entry changed");
		world->committed[index] = digest;
	}
}

static uint64_t *
model_version (struct world_model *model, enum resource_kind kind, const char *name)
{
	for (int i = 0; i < model->document_count; i++) {
		if (model->documents[i].kind == kind &&
			strcmp (model->documents[i].name, name) == 0)
			return &model->documents[i].version;
	}
	if (model->document_count == WORLD_DOCUMENTS)
		return NULL;
	int at = model->document_count++;
	model->documents[at].kind = kind;
	str_copy (model->documents[at].name, sizeof (model->documents[at].name), name);
	return &model->documents[at].version;
}

static bool
model_knows (struct world_model *model, const char *id)
{
	for (int i = 0; i < model->id_count; i++) {
		if (strcmp (model->ids[i], id) == 0)
			return true;
	}
	if (model->id_count < WORLD_IDS)
		str_copy (model->ids[model->id_count++], CHANGE_ID_MAX + 1, id);
	return false;
}

static void
model_apply (struct world_model *model, const struct raft_entry *entry)
{
	struct command command;
	model->index++;
	void *storage = entry->type == RAFT_COMMAND
				? command_decode (&command, entry->data, entry->len)
				: NULL;
	if (storage && command.kind == COMMAND_CHANGE) {
		const struct change *change = &command.u.change;
		uint64_t *version = model_version (model, change->kind, change->name);
		if (!model_knows (model, change->id) && version &&
			*version == change->expected_version)
			*version = model->index;
	}
	command_decode_finish (storage);
}

/* Operators that race with equal versions: exactly the first in the log wins, on every voter. */
static void
check_documents (struct world *world, const struct voter *voter)
{
	struct world_model *model = &world->model;
	const struct raft_entry *entry = NULL;
	while (model->index < voter->raft.commit &&
		(entry = raft_entry_at (&voter->raft, model->index + 1)))
		model_apply (model, entry);
	if (voter->state.applied != model->index)
		return;
	for (int i = 0; i < model->document_count; i++) {
		const struct resource *resource = resources_find (&voter->state.resources,
			model->documents[i].kind, model->documents[i].name);
		if (model->documents[i].version != (resource ? resource->version : 0))
			BREAK (world, "a document is not what its accepted changes make it");
	}
}

static void
check_leader (struct world *world, const struct raft *raft)
{
	if (raft->role != RAFT_LEADER)
		return;
	uint64_t *leader = &world->leader_of_term[raft->term % 65536];
	if (*leader && *leader != raft->id)
		BREAK (world, "two leaders in one term");
	*leader = raft->id;
}

static bool
holds_lease (const struct world *world, const struct world_node *node)
{
	return node->up && node_now (world, node) < node->lease_until_us;
}

int
world_owner (const struct world *world, int target)
{
	for (int i = 0; i < world->node_count; i++) {
		const struct world_node *node = &world->nodes[i];
		if (node->up && ownership_is_active (&node->ownerships[target],
					holds_lease (world, node), node->follower.settled))
			return i;
	}
	return -1;
}

static void
check_owners (struct world *world)
{
	for (int target = 0; target < WORLD_TARGETS; target++) {
		int owners = 0;
		for (int i = 0; i < world->node_count; i++) {
			const struct world_node *node = &world->nodes[i];
			owners += node->up &&
				  ownership_is_active (&node->ownerships[target],
					  holds_lease (world, node), node->follower.settled);
		}
		if (owners > 1)
			BREAK (world, "a target has two owners");
	}
}

/* What the nodes may use of a bound that they share never adds up to more than the bound. */
static void
check_parts (struct world *world)
{
	double used = 0;
	for (int i = 0; i < world->node_count; i++) {
		struct world_node *node = &world->nodes[i];
		if (node->up && share_is_usable (&node->shares, holds_lease (world, node),
					node->lease_generation, node->follower.settled))
			used += 1.0 / shares_count (&node->shares);
	}
	if (used > 1.0001)
		BREAK (world, "the parts of a bound add up to more");
}

/* Nobody acts on a revision without a change that was accepted longer ago than the bound. */
static void
check_in_force (struct world *world)
{
	uint64_t due = 0;
	for (int i = 0; i < world->accepted_count; i++) {
		const struct world_accepted *accepted = &world->accepted[i];
		if (accepted->at_us + WORLD_IN_FORCE_US <= world->now_us && accepted->index > due)
			due = accepted->index;
	}
	for (int i = 0; i < world->node_count; i++) {
		const struct world_node *node = &world->nodes[i];
		if (holds_lease (world, node) && node->follower.state.applied < due)
			BREAK (world, "an accepted change is not in force in time");
	}
}

/* Two voters at the same index have the same state. */
static void
check_states (struct world *world)
{
	for (int i = 0; i + 1 < world->node_count; i++) {
		const struct world_node *a = &world->nodes[i];
		const struct world_node *b = &world->nodes[i + 1];
		if (!a->up || !b->up || !a->has_disk || !b->has_disk ||
			a->voter.state.applied != b->voter.state.applied)
			continue;
		size_t len_a = 0;
		size_t len_b = 0;
		void *data_a = state_encode (&a->voter.state, true, &len_a);
		void *data_b = state_encode (&b->voter.state, true, &len_b);
		if (len_a != len_b || memcmp (data_a, data_b, len_a) != 0)
			BREAK (world, "two voters differ at the same index");
		free (data_a);
		free (data_b);
	}
}

/* A follower's documents are those of a voter at the same index. */
static void
check_follower (struct world *world, const struct world_node *node)
{
	for (int i = 0; i < world->node_count; i++) {
		const struct world_node *voter = &world->nodes[i];
		if (!voter->up || !voter->has_disk ||
			voter->voter.state.applied != node->follower.state.applied)
			continue;
		const struct resources *a = &voter->voter.state.resources;
		const struct resources *b = &node->follower.state.resources;
		bool same = a->count == b->count;
		for (size_t j = 0; same && j < a->count; j++)
			same = a->items[j]->version == b->items[j]->version &&
			       strcmp (a->items[j]->spec, b->items[j]->spec) == 0;
		if (!same)
			BREAK (world, "a follower differs from a voter at the same index");
		return;
	}
}

/* The nodes of this world are told apart by the number in their names */
static void
follow_parts (struct world_node *node)
{
	uint64_t members[WORLD_NODES];
	const struct state *state = &node->follower.state;
	size_t count = 0;
	bool listed = false;
	for (size_t i = 0; i < state->members.count && count < WORLD_NODES; i++) {
		members[count++] =
			strtoull (state->members.items[i].name + strlen ("node"), NULL, 10) + 1;
		listed = listed || state->members.items[i].incarnation == node->incarnation;
	}
	shares_update (&node->shares, members, count, listed, state->epoch, node->lease_generation);
}

static void
follow_view (struct world *world, struct world_node *node)
{
	const struct state *state = &node->follower.state;
	(void)world;
	view_put (node->view);
	node->view = view_new (
		&state->resources, &state->members, state->applied, state->epoch, &node->hints);
	for (int i = 0; i < WORLD_TARGETS; i++) {
		char name[16];
		snprintf (name, sizeof (name), "t%d", i);
		int at = view_find_target (node->view, name);
		int owner = at < 0 ? -1 : node->view->targets[at].owner;
		bool mine =
			owner >= 0 && node->view->members[owner].incarnation == node->incarnation;
		ownership_update (
			&node->ownerships[i], mine, node->view->epoch, node->lease_generation);
	}
	follow_parts (node);
	node->follower.reconciled = state->applied;
	node->follower.released = state->applied;
	follower_poll_soon (&node->follower, node_now (world, node));
	check_follower (world, node);
}

static void
receive_poll_reply (struct world *world, struct world_node *node, const struct poll_reply *reply)
{
	int64_t now_us = node_now (world, node);
	if (follower_receive (&node->follower, reply, now_us))
		follow_view (world, node);
	node->follower.reconciled = node->follower.released = node->follower.state.applied;
	if (node->follower.lease_until_us > node->lease_until_us) {
		if (node->lease_until_us <= now_us)
			node->lease_generation++;
		node->lease_until_us = node->follower.lease_until_us;
	}
	for (int i = 0; node->view && i < WORLD_TARGETS; i++)
		ownership_check_lease (
			&node->ownerships[i], node->view->epoch, node->lease_generation);
	shares_settle (&node->shares, node->follower.settled);
}

static void
receive_propose_reply (struct world *world, struct propose_reply *reply)
{
	if (reply->id != world->asked_id || reply->status != PROPOSE_APPLIED || world->answered)
		return;
	world->answered = true;
	free (world->answer.body);
	world->answer = *reply;
	reply->body = NULL;
	const struct change_result *change = &reply->result.change;
	if (reply->result.kind != COMMAND_CHANGE || change->kind != ERROR_NONE ||
		world->accepted_count == WORLD_CHANGES)
		return;
	world->accepted[world->accepted_count++] =
		(struct world_accepted){change->version, world->now_us};
	if (change->version > world->newest_accepted)
		world->newest_accepted = change->version;
}

static void
deliver (struct world *world, const struct world_message *message)
{
	struct world_node *node = &world->nodes[message->to];
	struct wire wire;
	if (!node->up || !wire_decode (&wire, message->data, message->len)) {
		if (node->up)
			BREAK (world, "a message cannot be decoded");
		return;
	}
	struct peer_route from = peer_route_to_address (world->nodes[message->from].address);
	switch (wire.kind) {
	case WIRE_POLL_REPLY:
		receive_poll_reply (world, node, &wire.u.poll_reply);
		break;
	case WIRE_PROPOSE_REPLY:
		receive_propose_reply (world, &wire.u.propose_reply);
		break;
	default:
		if (node->has_disk)
			voter_receive (&node->voter, &from, &wire, node_now (world, node));
		break;
	}
	wire_finish (&wire);
}

static void
step_node (struct world *world, int index)
{
	struct world_node *node = &world->nodes[index];
	int64_t now_us = node_now (world, node);
	follower_tick (&node->follower, now_us);
	send_outbox (world, index, &node->follower.outbox);
	if (!node->has_disk)
		return;
	struct voter *voter = &node->voter;
	voter_tick (voter, now_us, world->now_us / 1000);
	voter_step (voter, now_us);
	while (raft_needs_save (&voter->raft)) {
		if (node->lose_save) {
			world_crash (world, index);
			return;
		}
		save (node);
		voter_mark_saved (voter, now_us);
	}
	if (voter_compact (voter)) {
		save (node);
		voter_mark_saved (voter, now_us);
	}
	send_outbox (world, index, &voter->outbox);
	check_leader (world, &voter->raft);
	check_commit (world, &voter->raft);
	check_documents (world, voter);
}

static void
deliver_due (struct world *world)
{
	struct world_message *message;
	struct world_message *next;
	cds_list_for_each_entry_safe (message, next, &world->network, node) {
		const struct world_node *to = &world->nodes[message->to];
		if (message->due_us > world->now_us || to->paused_until_us > world->now_us)
			continue;
		cds_list_del (&message->node);
		deliver (world, message);
		free (message->data);
		free (message);
	}
}

void
world_run (struct world *world, int64_t for_us)
{
	int64_t until_us = world->now_us + for_us;
	while (world->now_us < until_us && !world->fault) {
		world->now_us += WORLD_STEP_US;
		deliver_due (world);
		for (int i = 0; i < world->node_count; i++) {
			if (world->nodes[i].up && world->nodes[i].paused_until_us <= world->now_us)
				step_node (world, i);
		}
		check_owners (world);
		check_parts (world);
		check_in_force (world);
		if (world->now_us / WORLD_STEP_US % 20 == 0)
			check_states (world);
	}
}

bool
world_until (struct world *world, bool (*holds) (struct world *), int64_t max_us)
{
	int64_t until_us = world->now_us + max_us;
	while (!holds (world)) {
		if (world->now_us >= until_us || world->fault)
			return false;
		world_run (world, WORLD_STEP_US);
	}
	return true;
}

static void
propose (struct world *world, int node, const struct command *command)
{
	struct wire wire = {.kind = WIRE_PROPOSE};
	int leader = world_leader (world);
	int to = leader >= 0 ? leader : node;
	world->asked_id = ++world->next_id;
	world->answered = false;
	if (!world->nodes[node].up)
		return;
	wire.u.propose.id = world->asked_id;
	wire.u.propose.data = command_encode (command, &wire.u.propose.len);
	struct peer_route route = peer_route_to_address (world->nodes[to].address);
	outbox_add (&world->nodes[node].follower.outbox, &route, &wire);
}

void
world_change (struct world *world, int node, const char *change_id, const char *name,
	uint64_t expected_version, int value)
{
	struct command command = {.kind = COMMAND_CHANGE};
	struct change *change = &command.u.change;
	char spec[128];
	bool target = name[0] == 't';
	if (target)
		snprintf (spec, sizeof (spec),
			"{\"address\":\"127.0.0.1:%d\",\"data_centre\":\"dc%d\",\"service\":\"s\","
			"\"slots\":2}",
			value, value % 3);
	else
		snprintf (spec, sizeof (spec), "{\"mode\":\"query\",\"deadline_ms\":%d}", value);
	str_copy (change->id, sizeof (change->id), change_id);
	str_copy (change->name, sizeof (change->name), name);
	change->kind = target ? RESOURCE_TARGET : RESOURCE_SERVICE;
	change->expected_version = expected_version;
	change->spec = spec;
	propose (world, node, &command);
}

void
world_claim (struct world *world, int node, const char *key, uint64_t nonce)
{
	struct command command = {.kind = COMMAND_CLAIM};
	str_copy (command.u.claim.key, sizeof (command.u.claim.key), key);
	command.u.claim.digest = 7;
	command.u.claim.nonce = nonce;
	command.u.claim.retention_ms = 3600000;
	propose (world, node, &command);
}

void
world_outcome (
	struct world *world, int node, const char *key, uint64_t nonce, enum claim_status status)
{
	struct command command = {.kind = COMMAND_OUTCOME};
	str_copy (command.u.outcome.key, sizeof (command.u.outcome.key), key);
	command.u.outcome.nonce = nonce;
	command.u.outcome.status = status;
	command.u.outcome.http_status = 200;
	command.u.outcome.body = "{}";
	propose (world, node, &command);
}

int
world_leader (const struct world *world)
{
	int leader = -1;
	for (int i = 0; i < world->node_count; i++) {
		const struct world_node *node = &world->nodes[i];
		if (!node->up || !node->has_disk || node->voter.raft.role != RAFT_LEADER)
			continue;
		if (leader >= 0)
			return -1;
		leader = i;
	}
	return leader;
}

bool
world_settled (struct world *world)
{
	for (int i = 0; i < world->node_count; i++) {
		const struct world_node *node = &world->nodes[i];
		if (!node->up)
			continue;
		if (!holds_lease (world, node) ||
			node->follower.state.applied < world->newest_accepted ||
			node->follower.settled < node->follower.state.epoch)
			return false;
	}
	return world_leader (world) >= 0;
}
