/**
 * @file control.c
 * Fuzzes the simulated control plane: lost, delayed and duplicated messages, broken links, crashes
 * that lose unsynced data, emptied disks, pauses, concurrent operators and resent changes. Nodes
 * start again at once, with messages of the earlier process that arrive seconds later. Some
 * runs begin with the first start of the whole system, with a node away and faults from the first
 * step on. The simulation in sim.c checks the invariants.
 */
#include "test/fuzz/input.h"
#include "test/sim.h"

#include <stdio.h>
#include <stdlib.h>

enum { MAX_NODES_DOWN = 2, VERSIONS = 8, MAX_STEPS = 120 };

static struct sim sim;

static int
count_down (void)
{
	int down = 0;
	for (int i = 0; i < sim.node_count; i++)
		down += !sim.nodes[i].up;
	return down;
}

/* The leader still counts a disk that was emptied, until it replaces the voter. */
static bool
has_disk (uint64_t id)
{
	for (int i = 0; i < sim.node_count; i++) {
		if (sim.nodes[i].disk.id == id)
			return true;
	}
	return false;
}

/* Acknowledged entries may be lost only when a majority of the disks is emptied. */
static bool
may_empty_disk (int node)
{
	int leader = sim_leader (&sim);
	if (leader < 0 || leader == node)
		return false;
	const struct raft *raft = &sim.nodes[leader].voter.raft;
	if (raft_voter_count (&raft->config) < 3 || !raft_commit_is_current (raft))
		return false;
	/* The other voters must have all committed entries. */
	bool holders[RAFT_MAX_NODES] = {false};
	for (int i = 0; i < raft->config.count; i++) {
		const struct raft_node *member = &raft->config.nodes[i];
		uint64_t match =
			member->id == raft->id ? raft->saved_index : raft->progress[i].match;
		holders[i] = member->id != sim.nodes[node].disk.id && match >= raft->commit &&
			     has_disk (member->id);
	}
	return raft_is_quorum (&raft->config, holders);
}

static void
change_network (struct input *input)
{
	switch (input_below (input, 4)) {
	case 0:
		sim.loss_per_mille = (int)input_below (input, 300);
		break;
	case 1:
		sim.duplicate_per_mille = (int)input_below (input, 300);
		break;
	case 2:
		sim.delay_us = (int64_t)input_below (input, 200) * 1000;
		break;
	default: {
		int from = (int)input_below (input, (unsigned)sim.node_count);
		int to = (int)input_below (input, (unsigned)sim.node_count);
		sim.link_down[from][to] = from != to && input_below (input, 2);
		break;
	}
	}
}

static void
send_change (struct input *input)
{
	static const char *const names[] = {"s", "t0", "t1", "t2", "t3"};
	char id[16];
	int node = (int)input_below (input, (unsigned)sim.node_count);
	unsigned number = input_below (input, 64);
	const char *name = names[number % 5];
	uint64_t expected_version = 0;
	for (int i = 0; i < sim.node_count && expected_version == 0; i++) {
		const struct resource *resource =
			resources_find (&sim.nodes[node].follower.state.resources,
				name[0] == 't' ? RESOURCE_TARGET : RESOURCE_SERVICE, name);
		expected_version = resource ? resource->version : 0;
	}
	snprintf (id, sizeof (id), "c%u", number);
	if (sim.nodes[node].up)
		sim_change (&sim, node, id, name, expected_version, 9000 + (int)number);
}

static void
send_claim (struct input *input)
{
	int node = (int)input_below (input, (unsigned)sim.node_count);
	uint64_t nonce = 1 + input_below (input, 4);
	if (!sim.nodes[node].up)
		return;
	if (input_below (input, 3))
		sim_claim (&sim, node, "key", nonce);
	else
		sim_outcome (
			&sim, node, "key", nonce, (enum claim_status) (1 + input_below (input, 3)));
}

/* Orders of few versions, so that they repeat and conflict, and counts of what is active. */
static void
send_rollout (struct input *input)
{
	static const char *const versions[] = {"1", "2", "3", "4"};
	int node = (int)input_below (input, (unsigned)sim.node_count);
	struct follower *follower = &sim.nodes[node].follower;
	const struct rollout *rollout = rollouts_newest (&follower->state.rollouts, "s");
	struct command command = {.kind = COMMAND_ROLLOUT_START};
	struct rollout_order *order = &command.u.rollout;
	if (!sim.nodes[node].up)
		return;
	follower->old_work = input_below (input, 2);
	if (rollout && input_below (input, 2)) {
		struct rollout_report *report = &follower->rollouts.items[0];
		follower->rollouts.count = 1;
		if (report->rollout != rollout->started)
			*report = (struct rollout_report){.rollout = rollout->started};
		report->seen += 200;
		report->sides[ROLLOUT_OLD].answers += 200;
		report->sides[ROLLOUT_NEW].answers += 50;
		report->sides[ROLLOUT_NEW].bad += input_below (input, 51);
		return;
	}
	str_copy (order->service, sizeof (order->service), "s");
	str_copy (order->version, sizeof (order->version), versions[input_below (input, 4)]);
	order->duration_ms = 1 + (int64_t)input_below (input, 4000);
	order->revision = input_below (input, 2) ? follower->state.applied : 0;
	sim_propose (&sim, node, &command);
}

/* The last poll of a planned stop, without a lease. */
static void
send_last_poll (struct sim_node *node)
{
	node->lease_until_us = node->follower.lease_until_us = 0;
	node->follower.sent_us = 0;
	node->follower.exiting = true;
	node->follower.next_poll_us = 0;
	sim_run (&sim, SIM_STEP_US);
}

static void
start_again (struct input *input, int index)
{
	struct sim_message *message;
	int64_t delay_us = (int64_t)input_below (input, 6000) * 1000;
	if (!sim.nodes[index].up)
		return;
	if (input_below (input, 2))
		send_last_poll (&sim.nodes[index]);
	cds_list_for_each_entry (message, &sim.network, node) {
		if (message->from == index)
			message->due_us += delay_us;
	}
	sim_crash (&sim, index);
	sim_restart (&sim, index);
}

static void
step (struct input *input)
{
	int node = (int)input_below (input, (unsigned)sim.node_count);
	switch (input_below (input, 12)) {
	case 0:
	case 1:
		sim_run (&sim, 10000 * (1 + (int64_t)input_below (input, 200)));
		break;
	case 2:
		change_network (input);
		break;
	case 3:
		if (count_down () < MAX_NODES_DOWN)
			sim_crash (&sim, node);
		break;
	case 4:
		if (!sim.nodes[node].up && input_below (input, 4) == 0 && may_empty_disk (node))
			sim_empty_disk (&sim, node);
		sim_restart (&sim, node);
		break;
	case 5:
		sim.nodes[node].paused_until_us =
			sim.now_us + (int64_t)input_below (input, 10000) * 1000;
		break;
	case 6:
		if (count_down () < MAX_NODES_DOWN)
			sim.nodes[node].crash_before_save = true;
		break;
	case 7:
		send_claim (input);
		break;
	case 8:
		send_rollout (input);
		break;
	case 9:
		start_again (input, node);
		break;
	default:
		send_change (input);
		break;
	}
}

static void
stop_faults (void)
{
	sim.loss_per_mille = sim.duplicate_per_mille = 0;
	sim.delay_us = 2000;
	for (int i = 0; i < sim.node_count; i++) {
		for (int j = 0; j < sim.node_count; j++)
			sim.link_down[i][j] = false;
		sim.nodes[i].crash_before_save = false;
		sim.nodes[i].paused_until_us = 0;
		sim_restart (&sim, i);
	}
}

static void
check_invariants (const char *when)
{
	if (!sim.violation_line)
		return;
	fprintf (stderr, "invariant violated %s: %s (sim.c line %d)\n", when, sim.violation,
		sim.violation_line);
	abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct input input = {data, size};
	int voters = 3 + (int)input_below (&input, 3);
	int nodes = voters + 1 + (int)input_below (&input, 2);
	uint64_t seed = input_below (&input, 65536);
	/* Of nodes that start later; the first ones start alike. */
	bool exclusive_names = seed % 3 != 0;
	if (seed % 2 == 0) {
		sim_init (&sim, nodes, voters, seed);
		sim_run (&sim, 8000000);
	} else {
		/* The last one is no voter, so that all start. */
		sim_init_first_start (&sim, nodes, voters, (int)(seed / 2 % 4), seed);
	}
	sim.exclusive_names = exclusive_names;
	for (int i = 0; i < MAX_STEPS && input.left > 0; i++)
		step (&input);
	check_invariants ("during faults");
	/* The cluster recovers without help once the faults have stopped. */
	stop_faults ();
	bool settled = sim_run_until (&sim, sim_is_settled, 40000000);
	check_invariants ("after the faults");
	if (!settled) {
		fprintf (stderr, "the cluster did not recover after the faults\n");
		abort ();
	}
	sim_finish (&sim);
	return 0;
}
