#include "test/sim.h"

#include "core/buf.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static const struct raft_times times = {
	.election_timeout_us = 300000, .heartbeat_interval_us = 75000};

#define REPORT_VIOLATION(sim, text)                                                                \
	do {                                                                                       \
		if (!(sim)->violation_line) {                                                      \
			(sim)->violation_line = __LINE__;                                          \
			(sim)->violation = (text);                                                 \
		}                                                                                  \
	} while (0)

static int64_t
node_now (const struct sim *sim, const struct sim_node *node)
{
	return sim->now_us + node->clock_skew_us;
}

static int
find_node_by_address (const struct sim *sim, const char *address)
{
	for (int i = 0; i < sim->node_count; i++) {
		if (strcmp (sim->nodes[i].address, address) == 0)
			return i;
	}
	return -1;
}

static void
send_copy (struct sim *sim, int from, int to, const void *data, size_t len)
{
	struct sim_message *message = xcalloc (1, sizeof (*message));
	message->from = from;
	message->to = to;
	message->data = xmemdup (data, len);
	message->len = len;
	message->due_us =
		sim->now_us + 500 + (int64_t)rng_below (&sim->rng, (uint64_t)sim->delay_us + 1);
	cds_list_add_tail (&message->node, &sim->network);
}

static bool
happens (struct sim *sim, int per_mille)
{
	return (int)rng_below (&sim->rng, 1000) < per_mille;
}

static void
send_outbox (struct sim *sim, int from, struct cds_list_head *outbox)
{
	struct outgoing_message *outgoing;
	while ((outgoing = outbox_take (outbox))) {
		size_t len = 0;
		void *data = control_message_encode (&outgoing->message, &len);
		int to = find_node_by_address (sim, outgoing->route.id);
		bool lost = to < 0 || sim->link_down[from][to] ||
			    (to != from && happens (sim, sim->loss_per_mille));
		if (!lost)
			send_copy (sim, from, to, data, len);
		if (!lost && to != from && happens (sim, sim->duplicate_per_mille))
			send_copy (sim, from, to, data, len);
		free (data);
		control_message_finish (&outgoing->message);
		free (outgoing);
	}
}

static void
free_disk (struct sim_disk *disk)
{
	for (size_t i = 0; i < disk->entry_count; i++)
		free (disk->entries[i].data);
	free (disk->entries);
	free (disk->snapshot);
	memset (disk, 0, sizeof (*disk));
}

static void
save_disk (struct sim_node *node)
{
	const struct raft *raft = &node->voter.raft;
	uint64_t id = node->disk.id;
	free_disk (&node->disk);
	struct sim_disk *disk = &node->disk;
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
load_disk (struct sim_node *node)
{
	struct raft *raft = &node->voter.raft;
	const struct sim_disk *disk = &node->disk;
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

/* As the daemon starts when the whole system starts for the first time. */
static void
start_as_seed (struct sim *sim, struct sim_node *node)
{
	struct raft_config config;
	struct raft *raft = &node->voter.raft;
	if (raft_last_index (raft) > 0 || raft->term > 0)
		return;
	voter_first_config (sim->seeds, node->voter.settings.desired_voters, &config);
	if (voter_first_id (node->address) == raft->id)
		raft_bootstrap_config (raft, &config);
}

static void
start_node (struct sim *sim, int index, bool bootstrap)
{
	struct sim_node *node = &sim->nodes[index];
	bool is_seed = sim->first_start && !node->disk_replaced;
	int64_t now_us = node_now (sim, node);
	node->up = true;
	node->crash_before_save = false;
	node->incarnation = rng_next (&sim->rng) | 1;
	node->lease_generation = 0;
	node->lease_until_us = 0;
	memset (node->ownerships, 0, sizeof (node->ownerships));
	shares_init (&node->shares, (uint64_t)index + 1);
	if (node->has_disk) {
		if (node->disk.id == 0)
			node->disk.id =
				is_seed ? voter_first_id (node->address) : rng_next (&sim->rng) | 1;
		struct voter_settings settings = {.lease_us = SIM_LEASE_US,
			.desired_voters = voters_for_disk_losses (sim->losses),
			.formation_timeout_us = 8000000,
			.replace_voter_after_us = sim->replace_voter_after_us,
			.exclusive_names = sim->exclusive_names,
			.compact_entries = 100,
			.disk_id = node->disk.id};
		str_copy (settings.name, sizeof (settings.name), node->name);
		str_copy (settings.address, sizeof (settings.address), node->address);
		voter_init (&node->voter, &settings, &times, rng_next (&sim->rng), now_us);
		load_disk (node);
		if (bootstrap)
			raft_bootstrap (&node->voter.raft, node->name, node->address);
		if (is_seed)
			start_as_seed (sim, node);
	}
	struct follower_settings settings = {
		.lease_us = SIM_LEASE_US, .poll_us = 500000, .seeds = sim->seeds};
	str_copy (settings.self.name, sizeof (settings.self.name), node->name);
	str_copy (settings.self.address, sizeof (settings.self.address), node->address);
	str_copy (settings.self.data_centre, sizeof (settings.self.data_centre), node->data_centre);
	settings.self.incarnation = node->incarnation;
	settings.self.disk_id = node->has_disk ? node->disk.id : 0;
	follower_init (&node->follower, &settings, now_us);
}

void
sim_init (struct sim *sim, int nodes, int voters, uint64_t seed)
{
	sim_init_losses (sim, nodes, voters, 1, seed);
}

static void
init_nodes (struct sim *sim, int nodes, int voters, int losses, uint64_t seed)
{
	memset (sim, 0, sizeof (*sim));
	sim->losses = losses;
	sim->replace_voter_after_us = 300000000;
	sim->rng.state = seed;
	sim->now_us = 1000000;
	sim->delay_us = 2000;
	sim->node_count = nodes;
	CDS_INIT_LIST_HEAD (&sim->network);
	for (int i = 0; i < voters; i++)
		snprintf (sim->seeds + strlen (sim->seeds),
			sizeof (sim->seeds) - strlen (sim->seeds), "v%d,", i);
	for (int i = 0; i < nodes; i++) {
		struct sim_node *node = &sim->nodes[i];
		snprintf (node->name, sizeof (node->name), "node%d", i);
		snprintf (node->address, sizeof (node->address), "v%d", i);
		snprintf (node->data_centre, sizeof (node->data_centre), "dc%d", i % 3);
		node->has_disk = i < voters;
		node->clock_skew_us = (int64_t)rng_below (&sim->rng, 1000000000);
		hint_table_init (&node->hints);
	}
}

void
sim_init_losses (struct sim *sim, int nodes, int voters, int losses, uint64_t seed)
{
	init_nodes (sim, nodes, voters, losses, seed);
	for (int i = 0; i < nodes; i++)
		start_node (sim, i, i == 0);
}

void
sim_init_first_start (struct sim *sim, int nodes, int voters, int absent, uint64_t seed)
{
	init_nodes (sim, nodes, voters, 1, seed);
	sim->first_start = true;
	for (int i = 0; i < nodes; i++) {
		if (i != absent)
			start_node (sim, i, false);
	}
}

void
sim_crash (struct sim *sim, int index)
{
	struct sim_node *node = &sim->nodes[index];
	if (!node->up)
		return;
	node->up = false;
	if (node->has_disk)
		voter_finish (&node->voter);
	follower_finish (&node->follower);
	shares_finish (&node->shares);
	view_unref (node->view);
	node->view = NULL;
}

void
sim_restart (struct sim *sim, int index)
{
	if (!sim->nodes[index].up)
		start_node (sim, index, false);
}

void
sim_empty_disk (struct sim *sim, int index)
{
	if (sim->nodes[index].up)
		return;
	free_disk (&sim->nodes[index].disk);
	sim->nodes[index].disk_replaced = true;
}

void
sim_finish (struct sim *sim)
{
	struct sim_message *message;
	struct sim_message *next;
	for (int i = 0; i < sim->node_count; i++) {
		sim_crash (sim, i);
		free_disk (&sim->nodes[i].disk);
		hint_table_finish (&sim->nodes[i].hints);
	}
	cds_list_for_each_entry_safe (message, next, &sim->network, node) {
		free (message->data);
		free (message);
	}
	free (sim->answer.body);
	free (sim->committed);
}

/* An index commits one entry, which never changes and is the same on every voter. */
static void
check_commit (struct sim *sim, const struct raft *raft)
{
	for (uint64_t index = raft->snapshot_index + 1; index <= raft->commit; index++) {
		const struct raft_entry *entry = raft_entry_at (raft, index);
		uint64_t digest =
			XXH64 (entry->data, entry->len, entry->term * 4 + entry->type) | 1;
		if (index >= sim->committed_cap) {
			size_t cap = index * 2 + 64;
			sim->committed = xrealloc (sim->committed, cap * sizeof (*sim->committed));
			memset (sim->committed + sim->committed_cap, 0,
				(cap - sim->committed_cap) * sizeof (*sim->committed));
			sim->committed_cap = cap;
		}
		if (sim->committed[index] && sim->committed[index] != digest)
			REPORT_VIOLATION (sim, "a committed entry changed");
		sim->committed[index] = digest;
	}
}

static uint64_t *
model_version (struct sim_model *model, enum resource_kind kind, const char *name)
{
	for (int i = 0; i < model->document_count; i++) {
		if (model->documents[i].kind == kind &&
			strcmp (model->documents[i].name, name) == 0)
			return &model->documents[i].version;
	}
	if (model->document_count == SIM_DOCUMENTS)
		return NULL;
	int at = model->document_count++;
	model->documents[at].kind = kind;
	str_copy (model->documents[at].name, sizeof (model->documents[at].name), name);
	return &model->documents[at].version;
}

static bool
model_knows (struct sim_model *model, const char *id)
{
	for (int i = 0; i < model->id_count; i++) {
		if (strcmp (model->ids[i], id) == 0)
			return true;
	}
	if (model->id_count < SIM_IDS)
		str_copy (model->ids[model->id_count++], CHANGE_ID_MAX + 1, id);
	return false;
}

static void
model_apply (struct sim_model *model, const struct raft_entry *entry)
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

/* Of changes that expect the same version, only the first in the log succeeds, on every voter. */
static void
check_documents (struct sim *sim, const struct voter *voter)
{
	struct sim_model *model = &sim->model;
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
			REPORT_VIOLATION (
				sim, "a document differs from the result of its accepted changes");
	}
}

static void
check_leader (struct sim *sim, const struct raft *raft)
{
	if (raft->role != RAFT_LEADER)
		return;
	uint64_t *leader = &sim->leader_of_term[raft->term % 65536];
	if (*leader && *leader != raft->id)
		REPORT_VIOLATION (sim, "two leaders in one term");
	*leader = raft->id;
}

static bool
holds_lease (const struct sim *sim, const struct sim_node *node)
{
	return node->up && node_now (sim, node) < node->lease_until_us;
}

int
sim_owner (const struct sim *sim, int target)
{
	for (int i = 0; i < sim->node_count; i++) {
		const struct sim_node *node = &sim->nodes[i];
		if (node->up && ownership_is_active (&node->ownerships[target],
					holds_lease (sim, node), node->follower.settled))
			return i;
	}
	return -1;
}

static void
check_owners (struct sim *sim)
{
	for (int target = 0; target < SIM_TARGETS; target++) {
		int owners = 0;
		for (int i = 0; i < sim->node_count; i++) {
			const struct sim_node *node = &sim->nodes[i];
			owners += node->up &&
				  ownership_is_active (&node->ownerships[target],
					  holds_lease (sim, node), node->follower.settled);
		}
		if (owners > 1)
			REPORT_VIOLATION (sim, "a target has two owners");
	}
}

/* The shares that the nodes may use never add up to more than the bound. */
static void
check_shares (struct sim *sim)
{
	double used = 0;
	for (int i = 0; i < sim->node_count; i++) {
		struct sim_node *node = &sim->nodes[i];
		if (node->up && share_is_usable (&node->shares, holds_lease (sim, node),
					node->lease_generation, node->follower.settled))
			used += 1.0 / shares_count (&node->shares);
	}
	if (used > 1.0001)
		REPORT_VIOLATION (sim, "the shares in use exceed the bound");
}

/* A node with a lease has every change accepted at least SIM_IN_FORCE_LIMIT_US ago. */
static void
check_in_force (struct sim *sim)
{
	uint64_t due = 0;
	for (int i = 0; i < sim->accepted_count; i++) {
		const struct sim_accepted *accepted = &sim->accepted[i];
		if (accepted->at_us + SIM_IN_FORCE_LIMIT_US <= sim->now_us && accepted->index > due)
			due = accepted->index;
	}
	for (int i = 0; i < sim->node_count; i++) {
		const struct sim_node *node = &sim->nodes[i];
		if (holds_lease (sim, node) && node->follower.state.applied < due)
			REPORT_VIOLATION (sim, "an accepted change was not in force in time");
	}
}

/* What any node was told to be in force is followed by every process that holds a lease. */
static void
check_reported_in_force (struct sim *sim)
{
	uint64_t reported = 0;
	for (int i = 0; i < sim->node_count; i++) {
		const struct sim_node *node = &sim->nodes[i];
		if (node->up && node->follower.in_force > reported)
			reported = node->follower.in_force;
	}
	for (int i = 0; i < sim->node_count; i++) {
		const struct sim_node *node = &sim->nodes[i];
		if (holds_lease (sim, node) && node->follower.reconciled < reported)
			REPORT_VIOLATION (
				sim, "reported as in force before a node with a lease follows");
	}
}

static void
note_ended (struct sim *sim, const struct rollout *rollout)
{
	for (int i = 0; i < sim->ended_count; i++) {
		if (sim->ended[i].started != rollout->started)
			continue;
		if (sim->ended[i].phase != rollout->phase)
			REPORT_VIOLATION (sim, "a roll-out ended in two ways");
		return;
	}
	if (sim->ended_count < SIM_ROLLOUTS)
		sim->ended[sim->ended_count++] =
			(struct sim_ended_rollout){rollout->started, rollout->phase, sim->now_us};
}

/* Whether the end of a roll-out has been known to some node for so long that all follow it. */
static bool
has_long_ended (const struct sim *sim, uint64_t started)
{
	for (int i = 0; i < sim->ended_count; i++) {
		if (sim->ended[i].started == started)
			return sim->ended[i].at_us + SIM_IN_FORCE_LIMIT_US <= sim->now_us;
	}
	return false;
}

/* A service has one active roll-out; once that ends, no node with a lease goes on with it. */
static void
check_rollouts (struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++) {
		const struct rollouts *rollouts = &sim->nodes[i].follower.state.rollouts;
		int active = 0;
		for (int j = 0; sim->nodes[i].up && j < rollouts->count; j++) {
			const struct rollout *rollout = &rollouts->items[j];
			active += rollout_is_active (rollout);
			if (!rollout_is_active (rollout))
				note_ended (sim, rollout);
			else if (has_long_ended (sim, rollout->started) &&
				 holds_lease (sim, &sim->nodes[i]))
				REPORT_VIOLATION (sim, "a node follows a roll-out that has ended");
		}
		if (active > 1)
			REPORT_VIOLATION (sim, "a service has two active roll-outs");
	}
}

/* Two voters at the same index have the same state. */
static void
check_states (struct sim *sim)
{
	for (int i = 0; i + 1 < sim->node_count; i++) {
		const struct sim_node *a = &sim->nodes[i];
		const struct sim_node *b = &sim->nodes[i + 1];
		if (!a->up || !b->up || !a->has_disk || !b->has_disk ||
			a->voter.state.applied != b->voter.state.applied)
			continue;
		size_t len_a = 0;
		size_t len_b = 0;
		void *data_a = state_encode (&a->voter.state, true, &len_a);
		void *data_b = state_encode (&b->voter.state, true, &len_b);
		if (len_a != len_b || memcmp (data_a, data_b, len_a) != 0)
			REPORT_VIOLATION (sim, "two voters differ at the same index");
		free (data_a);
		free (data_b);
	}
}

/* A follower has the same documents as a voter at the same index. */
static void
check_follower (struct sim *sim, const struct sim_node *node)
{
	for (int i = 0; i < sim->node_count; i++) {
		const struct sim_node *voter = &sim->nodes[i];
		if (!voter->up || !voter->has_disk ||
			voter->voter.state.applied != node->follower.state.applied)
			continue;
		const struct resources *a = &voter->voter.state.resources;
		const struct resources *b = &node->follower.state.resources;
		bool is_same = a->count == b->count;
		for (size_t j = 0; is_same && j < a->count; j++)
			is_same = a->items[j]->version == b->items[j]->version &&
				  strcmp (a->items[j]->spec, b->items[j]->spec) == 0;
		if (!is_same)
			REPORT_VIOLATION (sim, "a follower differs from a voter at the same index");
		return;
	}
}

/* The number in a node's name identifies it among the holders of shares. */
static void
update_shares (struct sim_node *node)
{
	uint64_t members[SIM_NODES];
	const struct state *state = &node->follower.state;
	size_t count = 0;
	bool listed = false;
	for (size_t i = 0; i < state->members.count && count < SIM_NODES; i++) {
		members[count++] =
			strtoull (state->members.items[i].name + strlen ("node"), NULL, 10) + 1;
		listed = listed || state->members.items[i].incarnation == node->incarnation;
	}
	shares_update (&node->shares, members, count, listed, state->epoch, node->lease_generation);
}

static void
apply_view (struct sim *sim, struct sim_node *node)
{
	const struct state *state = &node->follower.state;
	(void)sim;
	view_unref (node->view);
	node->view = view_new (
		&state->resources, &state->members, state->applied, state->epoch, &node->hints);
	for (int i = 0; i < SIM_TARGETS; i++) {
		char name[16];
		snprintf (name, sizeof (name), "t%d", i);
		int at = view_find_target (node->view, name);
		int owner = at < 0 ? -1 : node->view->targets[at].owner;
		bool mine =
			owner >= 0 && node->view->members[owner].incarnation == node->incarnation;
		ownership_update (
			&node->ownerships[i], mine, node->view->epoch, node->lease_generation);
	}
	update_shares (node);
	node->follower.reconciled = state->applied;
	node->follower.released = state->applied;
	follower_poll_soon (&node->follower, node_now (sim, node));
	check_follower (sim, node);
}

static void
receive_poll_reply (struct sim *sim, struct sim_node *node, const struct poll_reply *reply)
{
	int64_t now_us = node_now (sim, node);
	if (follower_receive (&node->follower, reply, now_us))
		apply_view (sim, node);
	node->follower.reconciled = node->follower.released = node->follower.state.applied;
	if (node->follower.lease_until_us > node->lease_until_us) {
		if (node->lease_until_us <= now_us)
			node->lease_generation++;
		node->lease_until_us = node->follower.lease_until_us;
	}
	for (int i = 0; node->view && i < SIM_TARGETS; i++)
		ownership_check_lease (
			&node->ownerships[i], node->view->epoch, node->lease_generation);
	shares_settle (&node->shares, node->follower.settled);
}

static void
receive_propose_reply (struct sim *sim, struct propose_reply *reply)
{
	if (reply->id != sim->proposal_id || reply->status != PROPOSE_APPLIED || sim->answered)
		return;
	sim->answered = true;
	free (sim->answer.body);
	sim->answer = *reply;
	reply->body = NULL;
	const struct change_result *change = &reply->result.change;
	if (reply->result.kind != COMMAND_CHANGE || change->kind != ERROR_NONE ||
		sim->accepted_count == SIM_CHANGES)
		return;
	sim->accepted[sim->accepted_count++] = (struct sim_accepted){change->version, sim->now_us};
	if (change->version > sim->newest_accepted)
		sim->newest_accepted = change->version;
}

static void
deliver (struct sim *sim, const struct sim_message *message)
{
	struct sim_node *node = &sim->nodes[message->to];
	struct control_message decoded;
	if (!node->up || !control_message_decode (&decoded, message->data, message->len)) {
		if (node->up)
			REPORT_VIOLATION (sim, "a message cannot be decoded");
		return;
	}
	struct peer_route from = peer_route_to_address (sim->nodes[message->from].address);
	switch (decoded.kind) {
	case CONTROL_MESSAGE_POLL_REPLY:
		receive_poll_reply (sim, node, &decoded.u.poll_reply);
		break;
	case CONTROL_MESSAGE_PROPOSE_REPLY:
		receive_propose_reply (sim, &decoded.u.propose_reply);
		break;
	default:
		if (node->has_disk)
			voter_receive (&node->voter, &from, &decoded, node_now (sim, node));
		break;
	}
	control_message_finish (&decoded);
}

/* False when the node has crashed or been paused, so that its step ends there. */
static bool
call_hook (struct sim *sim, int index, bool saved)
{
	if (sim->on_step)
		sim->on_step (sim, index, saved);
	return sim->nodes[index].up && sim->nodes[index].paused_until_us <= sim->now_us;
}

static void
step_node (struct sim *sim, int index)
{
	struct sim_node *node = &sim->nodes[index];
	int64_t now_us = node_now (sim, node);
	follower_tick (&node->follower, now_us);
	send_outbox (sim, index, &node->follower.outbox);
	if (!node->has_disk)
		return;
	struct voter *voter = &node->voter;
	voter_tick (voter, now_us, sim->now_us / 1000);
	voter_step (voter, now_us);
	if (!call_hook (sim, index, false))
		return;
	while (raft_needs_save (&voter->raft)) {
		if (node->crash_before_save) {
			sim_crash (sim, index);
			return;
		}
		save_disk (node);
		voter_mark_saved (voter, now_us);
	}
	if (voter_compact (voter)) {
		save_disk (node);
		voter_mark_saved (voter, now_us);
	}
	if (!call_hook (sim, index, true))
		return;
	send_outbox (sim, index, &voter->outbox);
	check_leader (sim, &voter->raft);
	check_commit (sim, &voter->raft);
	check_documents (sim, voter);
}

static void
deliver_due (struct sim *sim)
{
	struct sim_message *message;
	struct sim_message *next;
	cds_list_for_each_entry_safe (message, next, &sim->network, node) {
		const struct sim_node *to = &sim->nodes[message->to];
		if (message->due_us > sim->now_us || to->paused_until_us > sim->now_us)
			continue;
		cds_list_del (&message->node);
		deliver (sim, message);
		free (message->data);
		free (message);
	}
}

void
sim_run (struct sim *sim, int64_t for_us)
{
	int64_t until_us = sim->now_us + for_us;
	while (sim->now_us < until_us && !sim->violation_line) {
		sim->now_us += SIM_STEP_US;
		deliver_due (sim);
		for (int i = 0; i < sim->node_count; i++) {
			if (sim->nodes[i].up && sim->nodes[i].paused_until_us <= sim->now_us)
				step_node (sim, i);
		}
		check_owners (sim);
		check_shares (sim);
		check_in_force (sim);
		check_reported_in_force (sim);
		check_rollouts (sim);
		if (sim->now_us / SIM_STEP_US % 20 == 0)
			check_states (sim);
	}
}

bool
sim_run_until (struct sim *sim, bool (*condition) (struct sim *), int64_t max_us)
{
	int64_t until_us = sim->now_us + max_us;
	while (!condition (sim)) {
		if (sim->now_us >= until_us || sim->violation_line)
			return false;
		sim_run (sim, SIM_STEP_US);
	}
	return true;
}

static void
propose (struct sim *sim, int node, const struct command *command)
{
	struct control_message message = {.kind = CONTROL_MESSAGE_PROPOSE};
	int leader = sim_leader (sim);
	int to = leader >= 0 ? leader : node;
	sim->proposal_id = ++sim->next_id;
	sim->answered = false;
	if (!sim->nodes[node].up)
		return;
	message.u.propose.id = sim->proposal_id;
	message.u.propose.data = command_encode (command, &message.u.propose.len);
	struct peer_route route = peer_route_to_address (sim->nodes[to].address);
	outbox_add (&sim->nodes[node].follower.outbox, &route, &message);
}

void
sim_change (struct sim *sim, int node, const char *change_id, const char *name,
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
	propose (sim, node, &command);
}

void
sim_claim (struct sim *sim, int node, const char *key, uint64_t nonce)
{
	struct command command = {.kind = COMMAND_CLAIM};
	str_copy (command.u.claim.key, sizeof (command.u.claim.key), key);
	command.u.claim.digest = 7;
	command.u.claim.nonce = nonce;
	command.u.claim.retention_ms = 3600000;
	propose (sim, node, &command);
}

void
sim_outcome (struct sim *sim, int node, const char *key, uint64_t nonce, enum claim_status status)
{
	struct command command = {.kind = COMMAND_OUTCOME};
	str_copy (command.u.outcome.key, sizeof (command.u.outcome.key), key);
	command.u.outcome.nonce = nonce;
	command.u.outcome.status = status;
	command.u.outcome.http_status = 200;
	command.u.outcome.body = "{}";
	propose (sim, node, &command);
}

int
sim_leader (const struct sim *sim)
{
	int leader = -1;
	for (int i = 0; i < sim->node_count; i++) {
		const struct sim_node *node = &sim->nodes[i];
		if (!node->up || !node->has_disk || node->voter.raft.role != RAFT_LEADER)
			continue;
		if (leader >= 0)
			return -1;
		leader = i;
	}
	return leader;
}

bool
sim_is_settled (struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++) {
		const struct sim_node *node = &sim->nodes[i];
		if (!node->up)
			continue;
		if (!holds_lease (sim, node) ||
			node->follower.state.applied < sim->newest_accepted ||
			node->follower.settled < node->follower.state.epoch)
			return false;
	}
	return sim_leader (sim) >= 0;
}

void
sim_propose (struct sim *sim, int node, const struct command *command)
{
	propose (sim, node, command);
}
