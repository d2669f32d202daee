/**
 * @file control.c
 * Voters and followers under lost, late, doubled messages, cuts, crashes that lose what was not
 * synced, emptied disks, pauses, racing operators and resent changes; the oracle is world.c's.
 */
#include "test/fuzz/input.h"
#include "test/world.h"

#include <stdio.h>
#include <stdlib.h>

enum { MOST_DOWN = 2, VERSIONS = 8, STEPS = 120 };

static struct sim sim;

static int
count_down (void)
{
	int down = 0;
	for (int i = 0; i < sim.node_count; i++)
		down += !sim.nodes[i].up;
	return down;
}

/* An emptied disk loses acknowledged entries only with a majority of emptied disks. */
static bool
may_empty (int node)
{
	int leader = sim_leader (&sim);
	if (leader < 0 || leader == node)
		return false;
	const struct raft *raft = &sim.nodes[leader].voter.raft;
	if (raft_voter_count (&raft->config) < 3 || !raft_commit_is_current (raft))
		return false;
	/* The others have to hold everything that is committed. */
	int holders = 0;
	for (int i = 0; i < raft->config.count; i++) {
		const struct raft_node *member = &raft->config.nodes[i];
		if (!member->voter || member->id == sim.nodes[node].disk.id)
			continue;
		uint64_t match =
			member->id == raft->id ? raft->saved_index : raft->progress[i].match;
		holders += match >= raft->commit;
	}
	return holders * 2 > raft_voter_count (&raft->config);
}

static void
change_network (struct input *input)
{
	switch (input_below (input, 4)) {
	case 0:
		sim.loss_per_mille = (int)input_below (input, 300);
		break;
	case 1:
		sim.double_per_mille = (int)input_below (input, 300);
		break;
	case 2:
		sim.delay_us = (int64_t)input_below (input, 200) * 1000;
		break;
	default: {
		int from = (int)input_below (input, (unsigned)sim.node_count);
		int to = (int)input_below (input, (unsigned)sim.node_count);
		sim.cut[from][to] = from != to && input_below (input, 2);
		break;
	}
	}
}

static void
operate (struct input *input)
{
	static const char *const names[] = {"s", "t0", "t1", "t2", "t3"};
	char id[16];
	int node = (int)input_below (input, (unsigned)sim.node_count);
	unsigned number = input_below (input, 64);
	const char *name = names[number % 5];
	uint64_t expect = 0;
	for (int i = 0; i < sim.node_count && expect == 0; i++) {
		const struct resource *resource =
			resources_find (&sim.nodes[node].follower.state.resources,
				name[0] == 't' ? RESOURCE_TARGET : RESOURCE_SERVICE, name);
		expect = resource ? resource->version : 0;
	}
	snprintf (id, sizeof (id), "c%u", number);
	if (sim.nodes[node].up)
		sim_change (&sim, node, id, name, expect, 9000 + (int)number);
}

static void
claim (struct input *input)
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

static void
step (struct input *input)
{
	int node = (int)input_below (input, (unsigned)sim.node_count);
	switch (input_below (input, 10)) {
	case 0:
	case 1:
		sim_run (&sim, 10000 * (1 + (int64_t)input_below (input, 200)));
		break;
	case 2:
		change_network (input);
		break;
	case 3:
		if (count_down () < MOST_DOWN)
			sim_crash (&sim, node);
		break;
	case 4:
		if (!sim.nodes[node].up && input_below (input, 4) == 0 && may_empty (node))
			sim_empty_disk (&sim, node);
		sim_restart (&sim, node);
		break;
	case 5:
		sim.nodes[node].paused_until_us =
			sim.now_us + (int64_t)input_below (input, 10000) * 1000;
		break;
	case 6:
		if (count_down () < MOST_DOWN)
			sim.nodes[node].lose_save = true;
		break;
	case 7:
		claim (input);
		break;
	default:
		operate (input);
		break;
	}
}

static void
heal (void)
{
	sim.loss_per_mille = sim.double_per_mille = 0;
	sim.delay_us = 2000;
	for (int i = 0; i < sim.node_count; i++) {
		for (int j = 0; j < sim.node_count; j++)
			sim.cut[i][j] = false;
		sim.nodes[i].lose_save = false;
		sim.nodes[i].paused_until_us = 0;
		sim_restart (&sim, i);
	}
}

static void
check (const char *when)
{
	if (!sim.fault)
		return;
	fprintf (stderr, "oracle, %s: %s (world.c line %d)\n", when, sim.fault_text, sim.fault);
	abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct input input = {data, size};
	int voters = 3 + (int)input_below (&input, 3);
	sim_init (&sim, voters + 1 + (int)input_below (&input, 2), voters,
		input_below (&input, 65536));
	sim_run (&sim, 8000000);
	for (int i = 0; i < STEPS && input.left > 0; i++)
		step (&input);
	check ("during faults");
	/* After the faults the system comes back by itself. */
	heal ();
	bool settled = sim_until (&sim, sim_settled, 40000000);
	check ("after healing");
	if (!settled) {
		fprintf (stderr, "oracle: the system did not come back\n");
		abort ();
	}
	sim_finish (&sim);
	return 0;
}
