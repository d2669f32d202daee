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

static struct world world;

static int
count_down (void)
{
	int down = 0;
	for (int i = 0; i < world.node_count; i++)
		down += !world.nodes[i].up;
	return down;
}

/* An emptied disk loses acknowledged entries only with a majority of emptied disks. */
static bool
may_empty (int node)
{
	int leader = world_leader (&world);
	if (leader < 0 || leader == node)
		return false;
	const struct raft *raft = &world.nodes[leader].voter.raft;
	if (raft_voter_count (&raft->config) < 3 || !raft_commit_is_current (raft))
		return false;
	/* The others have to hold everything that is committed. */
	int holders = 0;
	for (int i = 0; i < raft->config.count; i++) {
		const struct raft_node *member = &raft->config.nodes[i];
		if (!member->voter || member->id == world.nodes[node].disk.id)
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
		world.loss_per_mille = (int)input_below (input, 300);
		break;
	case 1:
		world.double_per_mille = (int)input_below (input, 300);
		break;
	case 2:
		world.delay_us = (int64_t)input_below (input, 200) * 1000;
		break;
	default: {
		int from = (int)input_below (input, (unsigned)world.node_count);
		int to = (int)input_below (input, (unsigned)world.node_count);
		world.cut[from][to] = from != to && input_below (input, 2);
		break;
	}
	}
}

static void
operate (struct input *input)
{
	static const char *const names[] = {"s", "t0", "t1", "t2", "t3"};
	char id[16];
	int node = (int)input_below (input, (unsigned)world.node_count);
	unsigned number = input_below (input, 64);
	const char *name = names[number % 5];
	uint64_t expect = 0;
	for (int i = 0; i < world.node_count && expect == 0; i++) {
		const struct resource *resource =
			resources_find (&world.nodes[node].follower.state.resources,
				name[0] == 't' ? RESOURCE_TARGET : RESOURCE_SERVICE, name);
		expect = resource ? resource->version : 0;
	}
	snprintf (id, sizeof (id), "c%u", number);
	if (world.nodes[node].up)
		world_change (&world, node, id, name, expect, 9000 + (int)number);
}

static void
claim (struct input *input)
{
	int node = (int)input_below (input, (unsigned)world.node_count);
	uint64_t nonce = 1 + input_below (input, 4);
	if (!world.nodes[node].up)
		return;
	if (input_below (input, 3))
		world_claim (&world, node, "key", nonce);
	else
		world_outcome (&world, node, "key", nonce,
			(enum claim_status) (1 + input_below (input, 3)));
}

static void
step (struct input *input)
{
	int node = (int)input_below (input, (unsigned)world.node_count);
	switch (input_below (input, 10)) {
	case 0:
	case 1:
		world_run (&world, 10000 * (1 + (int64_t)input_below (input, 200)));
		break;
	case 2:
		change_network (input);
		break;
	case 3:
		if (count_down () < MOST_DOWN)
			world_crash (&world, node);
		break;
	case 4:
		if (!world.nodes[node].up && input_below (input, 4) == 0 && may_empty (node))
			world_empty_disk (&world, node);
		world_restart (&world, node);
		break;
	case 5:
		world.nodes[node].paused_until_us =
			world.now_us + (int64_t)input_below (input, 10000) * 1000;
		break;
	case 6:
		if (count_down () < MOST_DOWN)
			world.nodes[node].lose_save = true;
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
	world.loss_per_mille = world.double_per_mille = 0;
	world.delay_us = 2000;
	for (int i = 0; i < world.node_count; i++) {
		for (int j = 0; j < world.node_count; j++)
			world.cut[i][j] = false;
		world.nodes[i].lose_save = false;
		world.nodes[i].paused_until_us = 0;
		world_restart (&world, i);
	}
}

static void
check (const char *when)
{
	if (!world.fault)
		return;
	fprintf (stderr, "oracle, %s: %s (world.c line %d)\n", when, world.fault_text, world.fault);
	abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct input input = {data, size};
	int voters = 3 + (int)input_below (&input, 3);
	world_init (&world, voters + 1 + (int)input_below (&input, 2), voters,
		input_below (&input, 65536));
	world_run (&world, 8000000);
	for (int i = 0; i < STEPS && input.left > 0; i++)
		step (&input);
	check ("during faults");
	/* After the faults the system comes back by itself. */
	heal ();
	bool settled = world_until (&world, world_settled, 40000000);
	check ("after healing");
	if (!settled) {
		fprintf (stderr, "oracle: the system did not come back\n");
		abort ();
	}
	world_finish (&world);
	return 0;
}
