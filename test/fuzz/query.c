/**
 * @file query.c
 * Fuzzes queries with reordered, late, duplicate, mismatched and lost replies. Each row of the
 * simulated targets names its query, shard and snapshot, so that every answer can be checked.
 */
#include "query/query.h"
#include "control/members.h"
#include "core/buf.h"
#include "query/merge.h"
#include "test/fixture.h"
#include "test/fuzz/input.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { SHARDS = 4, REPLICAS = 3, NODES = 3, QUERIES = 3, EXTRA_PERCENT = 20 };

static const snapshot_t snapshots[] = {
	1ULL << 32 | 1, 1ULL << 32 | 2, 1ULL << 32 | 3, 2ULL << 32 | 4};

struct run {
	struct query query;
	struct query_actions actions;
	bool active;
	int primaries;
	int hedges;
};

struct model {
	struct hint_table hints;
	struct view *view;
	struct query_policy policy;
	struct run runs[QUERIES];
	int64_t now_us;
};

/* Layout 1 has four shards, layout 2 only the first three of them. */
static struct view *
make_view (struct hint_table *hints, unsigned leaving_mask)
{
	struct resources resources;
	struct members members;
	char name[32];
	char spec[256];
	resources_init (&resources);
	members_init (&members);
	for (int i = 0; i < NODES; i++) {
		struct member member = {.incarnation = (uint64_t)i + 1};
		snprintf (member.name, sizeof (member.name), "n%d", i);
		members_put (&members, &member, 1);
	}
	for (int i = 0; i < SHARDS * REPLICAS; i++) {
		snprintf (name, sizeof (name), "t%02d", i);
		snprintf (spec, sizeof (spec),
			"{\"service\":\"s%d\",\"address\":\"127.0.0.1:1\",\"data_centre\":\"a\","
			"\"slots\":2,\"leaving\":%s}",
			i / REPLICAS, leaving_mask >> i & 1 ? "true" : "false");
		fixture_put (&resources, RESOURCE_TARGET, name, spec);
	}
	for (int i = 0; i < SHARDS; i++) {
		snprintf (name, sizeof (name), "s%d", i);
		fixture_put (&resources, RESOURCE_SERVICE, name, "{\"mode\":\"query\"}");
	}
	fixture_put (&resources, RESOURCE_COLLECTION, "c",
		"{\"deadline_ms\":500,\"layouts\":[{\"id\":1,\"shards\":[\"s0\",\"s1\",\"s2\","
		"\"s3\"]},{\"id\":2,\"shards\":[\"s0\",\"s1\",\"s2\"]}]}");
	struct view *view = view_new (&resources, &members, 1, 1, hints);
	members_finish (&members);
	resources_finish (&resources);
	return view;
}

static void
fail (const char *what)
{
	fprintf (stderr, "oracle: %s\n", what);
	abort ();
}

/* Checks a finished answer row by row. */
static void
check_answer (const struct run *run, int number)
{
	struct buf out;
	char text[24];
	const struct query *query = &run->query;
	buf_init (&out);
	merge_answer (query, &out);
	json_t *answer = json_loadb (out.data, out.len, 0, NULL);
	if (!answer)
		fail ("the answer is not JSON");
	const json_t *coverage = json_object_get (answer, "coverage");
	const json_t *rows = json_object_get (answer, "rows");
	size_t answered = (size_t)json_integer_value (json_object_get (coverage, "answered"));
	size_t missing = json_array_size (json_object_get (coverage, "missing"));
	size_t shards = (size_t)json_integer_value (json_object_get (coverage, "shards"));
	if (answered + missing != shards || json_array_size (rows) != answered)
		fail ("coverage does not add up");
	if (query->snapshot) {
		const struct view_layout *layout =
			view_find_layout (query->collection, snapshot_layout (query->snapshot));
		if ((int)shards != layout->shard_count)
			fail ("the shard count differs from the layout");
	}
	bool seen[SHARDS] = {false};
	for (size_t i = 0; i < json_array_size (rows); i++) {
		const json_t *row = json_array_get (rows, i);
		const char *snapshot = json_string_value (json_object_get (row, "snapshot"));
		json_int_t shard = json_integer_value (json_object_get (row, "shard"));
		json_int_t query_number = json_integer_value (json_object_get (row, "query"));
		if (query_number != number)
			fail ("a row belongs to another query");
		if (strcmp (snapshot, snapshot_format (query->snapshot, text)) != 0)
			fail ("a row belongs to another snapshot");
		if (shard < 0 || shard >= SHARDS || seen[shard])
			fail ("a shard is out of range or counted twice");
		seen[shard] = true;
	}
	json_decref (answer);
	buf_finish (&out);
}

static void
run_actions (struct model *model, int number)
{
	struct run *run = &model->runs[number];
	struct query *query = &run->query;
	for (int i = 0; i < run->actions.count; i++) {
		const struct query_action *action = &run->actions.items[i];
		if (action->kind != QUERY_SEND)
			continue;
		const struct attempt *attempt = &query->attempts[action->attempt];
		if (!view_target_usable (&model->view->targets[attempt->target]))
			fail ("a sub-request was sent to a target that is leaving");
		run->hedges += attempt->hedge;
	}
	run->actions.count = 0;
	if (query->phase != QUERY_DONE) {
		if (model->now_us > query->deadline_us)
			fail ("a query is still running after its deadline");
		return;
	}
	check_answer (run, number);
	query_finish (query);
	run->active = false;
}

static void
start (struct model *model, int number)
{
	struct run *run = &model->runs[number];
	if (run->active)
		return;
	run->active = true;
	run->hedges = 0;
	query_init (&run->query, model->view, view_find_collection (model->view, "c"), NULL,
		&model->policy, model->now_us, model->now_us + 500000, (uint64_t)number);
	query_start (&run->query, model->now_us, &run->actions);
	run_actions (model, number);
}

/* Replies to any attempt, even an ended one: late and duplicate replies must change nothing. */
static void
reply (struct model *model, struct input *input)
{
	int number = (int)input_below (input, QUERIES);
	struct run *run = &model->runs[number];
	if (!run->active || run->query.attempt_count == 0)
		return;
	uint32_t id = input_below (input, (unsigned)run->query.attempt_count + 2);
	struct sub_result result = {0};
	char body[128];
	char text[24];
	result.status = (enum sub_status)input_below (input, SUB_SILENT + 1);
	unsigned label = input_below (input, 8);
	result.snapshot = label == 0 ? snapshots[input_below (input, 4)] : run->query.snapshot;
	result.shard = label == 1 ? input_below (input, SHARDS) : 0;
	if (label != 1 && id < (uint32_t)run->query.attempt_count)
		result.shard = (uint32_t)run->query.attempts[id].shard;
	unsigned held = input_below (input, 16);
	for (int i = 0; i < 4; i++) {
		if (held >> i & 1)
			result.held[result.held_count++] = snapshots[i];
	}
	snprintf (body, sizeof (body), "[{\"query\":%d,\"shard\":%u,\"snapshot\":\"%s\"}]", number,
		result.shard, snapshot_format (result.snapshot, text));
	result.body = body;
	result.body_len = strlen (body);
	bool in_flight = id < (uint32_t)run->query.attempt_count &&
			 run->query.attempts[id].state == ATTEMPT_IN_FLIGHT &&
			 run->query.attempts[id].generation == run->query.generation;
	int answered_before = run->query.answered;
	bool accepted = query_reply (&run->query, id, &result, model->now_us, &run->actions);
	if (accepted != in_flight)
		fail ("query_reply accepted an ended attempt, or ignored one in flight");
	if (!accepted && run->query.answered != answered_before)
		fail ("an ignored reply was counted");
	run_actions (model, number);
}

static void
tick (struct model *model, struct input *input)
{
	model->now_us += (int64_t)input_below (input, 65536);
	for (int i = 0; i < QUERIES; i++) {
		struct run *run = &model->runs[i];
		if (!run->active)
			continue;
		/* A tick that comes long after the deadline must still end the query. */
		query_tick (&run->query, model->now_us, &run->actions);
		run_actions (model, i);
	}
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
	struct input input = {data, size};
	struct model *model = calloc (1, sizeof (*model));
	hint_table_init (&model->hints);
	model->now_us = 1;
	model->policy = (struct query_policy){.hedge = true,
		.hedge_percentile = 95,
		.extra_percent = EXTRA_PERCENT,
		.hedge_default_us = 10000,
		.silence_us = 50000};
	model->view = make_view (&model->hints, input_below (&input, 4096));
	while (input.left > 0) {
		switch (input_below (&input, 6)) {
		case 0:
			start (model, (int)input_below (&input, QUERIES));
			break;
		case 1:
			tick (model, &input);
			break;
		default:
			reply (model, &input);
			break;
		}
	}
	model->now_us += 1000000;
	for (int i = 0; i < QUERIES; i++) {
		if (!model->runs[i].active)
			continue;
		query_tick (&model->runs[i].query, model->now_us, &model->runs[i].actions);
		if (model->runs[i].query.phase == QUERY_DISCOVERING)
			fail ("discovery is still running after the deadline");
		query_tick (&model->runs[i].query, model->now_us, &model->runs[i].actions);
		run_actions (model, i);
		if (model->runs[i].active)
			fail ("a query did not end after its deadline");
	}
	for (int i = 0; i < QUERIES; i++)
		query_actions_finish (&model->runs[i].actions);
	view_unref (model->view);
	hint_table_finish (&model->hints);
	free (model);
	return 0;
}
