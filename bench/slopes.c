/**
 * @file slopes.c
 * Measures operations whose cost grows with the number of targets, nodes, shards or log entries,
 * each at several sizes. Only the measurement of commits writes to disk, in a temporary folder.
 */
#include "control/members.h"
#include "control/view.h"
#include "control/voter.h"
#include "core/buf.h"
#include "core/clock.h"
#include "query/merge.h"
#include "query/query.h"
#include "query/subwire.h"
#include "store/store.h"
#include "targets/gate.h"
#include "test/fixture.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static struct hint_table hints;

static int64_t
cpu_us (void)
{
	struct timespec ts;
	clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

static size_t
heap_bytes (void)
{
	return mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
}

static void
populate (struct resources *resources, struct members *members, int targets, int nodes)
{
	char name[64];
	char spec[256];
	for (int i = 0; i < nodes; i++) {
		struct member member = {.incarnation = (uint64_t)i + 1};
		snprintf (member.name, sizeof (member.name), "node%04d", i);
		snprintf (member.data_centre, sizeof (member.data_centre), "dc%02d", i % 16);
		snprintf (member.address, sizeof (member.address), "10.0.%d.%d:8082", i / 250,
			i % 250);
		members_put (members, &member, 1);
	}
	for (int i = 0; i < targets; i++) {
		snprintf (name, sizeof (name), "target%05d", i);
		snprintf (spec, sizeof (spec),
			"{\"address\":\"10.1.%d.%d:80\",\"cold_limit\":1,\"data_centre\":\"dc%"
			"02d\","
			"\"max_connections\":30,\"service\":\"service%05d\",\"slots\":3}",
			i / 250, i % 250, i % 16, i / 3);
		fixture_put (resources, RESOURCE_TARGET, name, spec);
		if (i % 3)
			continue;
		snprintf (name, sizeof (name), "service%05d", i / 3);
		fixture_put (resources, RESOURCE_SERVICE, name, "{\"mode\":\"query\"}");
	}
}

static void
measure_view (int targets, int nodes)
{
	struct resources resources;
	struct members members;
	size_t before_bytes = heap_bytes ();
	resources_init (&resources);
	members_init (&members);
	populate (&resources, &members, targets, nodes);
	size_t state_bytes = heap_bytes () - before_bytes;
	before_bytes = heap_bytes ();
	int64_t start_us = cpu_us ();
	struct view *view = view_new (&resources, &members, 1, 1, &hints);
	int64_t build_us = cpu_us () - start_us;
	printf ("view: %d targets, %d nodes: build %lld us, view and hints %zu KB, state %zu KB\n",
		targets, nodes, (long long)build_us, (heap_bytes () - before_bytes) / 1024,
		state_bytes / 1024);
	view_unref (view);
	members_finish (&members);
	resources_finish (&resources);
}

static void
measure_snapshot (int targets)
{
	struct state state;
	size_t len = 0;
	state_init (&state);
	populate (&state.resources, &state.members, targets, 1000);
	int64_t start_us = cpu_us ();
	void *data = state_encode (&state, false, &len);
	int64_t encoded_us = cpu_us ();
	state_decode (&state, data, len);
	printf ("snapshot for a follower: %d targets: %zu KB, encode %lld us, decode %lld us\n",
		targets, len / 1024, (long long)(encoded_us - start_us),
		(long long)(cpu_us () - encoded_us));
	free (data);
	state_finish (&state);
}

/* Processor time of a leader without other voters while each node polls it twice per second. */
static void
measure_leader (int nodes)
{
	struct voter voter;
	struct voter_settings settings = {.lease_us = 3000000,
		.desired_voters = 1,
		.replace_voter_after_us = 300000000,
		.compact_entries = 100000,
		.disk_id = 7,
		.name = "v",
		.address = "v"};
	struct raft_times times = {300000, 75000};
	int64_t now_us = 1000000;
	size_t reply_bytes = 0;
	voter_init (&voter, &settings, &times, 1, now_us);
	raft_bootstrap (&voter.raft, "v", "v");
	for (int i = 0; i < 200; i++) {
		now_us += 10000;
		voter_tick (&voter, now_us, now_us / 1000);
		voter_step (&voter, now_us);
		voter_mark_saved (&voter, now_us);
	}
	struct peer_route route = peer_route_to_address ("n");
	int64_t start_us = 0;
	/* An iteration simulates 0.5 s; the first 10 are not measured. */
	for (int iteration = 0; iteration < 20; iteration++) {
		if (iteration == 10)
			start_us = cpu_us ();
		reply_bytes = 0;
		for (int i = 0; i < nodes; i++) {
			struct control_message message = {.kind = CONTROL_MESSAGE_POLL};
			struct poll *poll = &message.u.poll.poll;
			snprintf (poll->name, sizeof (poll->name), "node%04d", i);
			str_copy (poll->address, sizeof (poll->address), "10.0.0.1:8082");
			poll->incarnation = (uint64_t)i + 1;
			poll->applied = poll->released = poll->reconciled = voter.state.applied;
			size_t len = 0;
			void *data = control_message_encode (&message, &len);
			struct control_message received;
			control_message_decode (&received, data, len);
			voter_receive (&voter, &route, &received, now_us);
			control_message_finish (&received);
			free (data);
		}
		for (int i = 0; i < 50; i++) {
			now_us += 10000;
			voter_tick (&voter, now_us, now_us / 1000);
			voter_step (&voter, now_us);
			voter_mark_saved (&voter, now_us);
		}
		struct outgoing_message *outgoing;
		while ((outgoing = outbox_take (&voter.outbox))) {
			size_t len = 0;
			free (control_message_encode (&outgoing->message, &len));
			reply_bytes += len;
			control_message_finish (&outgoing->message);
			free (outgoing);
		}
	}
	printf ("leader: %d nodes polling twice per second: %lld us of processor time per second, "
		"%zu reply bytes per poll\n",
		nodes, (long long)(cpu_us () - start_us) / 5,
		nodes ? reply_bytes / (size_t)nodes : 0);
	voter_finish (&voter);
}

static void
measure_query (int fan_out)
{
	struct resources resources;
	struct members members;
	struct buf spec;
	struct query_policy policy = {.hedge = true,
		.hedge_percentile = 95,
		.extra_percent = 5,
		.hedge_default_us = 50000,
		.silence_us = 100000};
	resources_init (&resources);
	members_init (&members);
	populate (&resources, &members, fan_out * 3, 100);
	buf_init (&spec);
	buf_addf (&spec, "{\"layouts\":[{\"id\":1,\"shards\":[");
	for (int i = 0; i < fan_out; i++)
		buf_addf (&spec, "%s\"service%05d\"", i ? "," : "", i);
	buf_addf (&spec, "]}]}");
	fixture_put (&resources, RESOURCE_COLLECTION, "c", spec.data);
	struct view *view = view_new (&resources, &members, 1, 1, &hints);
	const snapshot_t held = 1ULL << 32 | 1;
	for (int i = 0; i < view->target_count; i++)
		target_hint_set_held (view->targets[i].hint, &held, 1, 1);
	int64_t start_us = cpu_us ();
	enum { ROUNDS = 200 };
	for (int round = 0; round < ROUNDS; round++) {
		struct query query;
		struct query_actions actions;
		struct buf answer;
		buf_init (&answer);
		query_actions_init (&actions);
		query_init (&query, view, view_find_collection (view, "c"), NULL, &policy, 1000,
			1000000, (uint64_t)round);
		query_start (&query, 1000, &actions);
		for (int i = 0; i < fan_out; i++) {
			struct sub_result result = {.snapshot = held,
				.shard = (uint32_t)i,
				.held = {held},
				.held_count = 1,
				.body = "[{\"key\":\"k\"},{\"key\":\"l\"}]"};
			result.body_len = strlen (result.body);
			merge_count_rows (result.body, result.body_len);
			query_reply (&query, (uint32_t)i, &result, 4000, &actions);
		}
		merge_answer (&query, &answer);
		buf_finish (&answer);
		query_finish (&query);
		query_actions_finish (&actions);
	}
	printf ("query decisions: fan-out %d: %lld ns per sub-request\n", fan_out,
		(long long)(cpu_us () - start_us) * 1000 / ROUNDS / fan_out);
	view_unref (view);
	buf_finish (&spec);
	members_finish (&members);
	resources_finish (&resources);
}

/* Commit rate of a single voter that writes batches of entries to disk, with one sync per batch. */
static void
measure_commits (int batch)
{
	char dir[] = "/tmp/slopes-XXXXXX";
	char path[64];
	struct error error = {0};
	struct store store;
	struct raft raft;
	struct raft_times times = {300000, 75000};
	struct clock clock;
	clock_init_system (&clock);
	if (!mkdtemp (dir) || !store_open (&store, dir, &error))
		return;
	raft_init (&raft, store.disk_id, &times, 1, 0);
	store_load (&store, &raft, &error);
	raft_bootstrap (&raft, "v", "v");
	raft_tick (&raft, 10000000);
	int64_t start_us = clock_now_us (&clock);
	enum { SYNCS = 100 };
	char data[200] = {0};
	for (int i = 0; i < SYNCS; i++) {
		for (int j = 0; j < batch; j++)
			raft_propose (&raft, RAFT_COMMAND, data, sizeof (data), 10000000);
		store_save (&store, &raft, &error);
		raft_mark_saved (&raft, 10000000);
	}
	int64_t elapsed_us = clock_now_us (&clock) - start_us;
	printf ("commits: batches of %d: %lld per second, %lld us per sync\n", batch,
		(long long)SYNCS * batch * US_PER_S / (elapsed_us ? elapsed_us : 1),
		(long long)elapsed_us / SYNCS);
	raft_finish (&raft);
	store_close (&store);
	snprintf (path, sizeof (path), "%s/log", dir);
	unlink (path);
	snprintf (path, sizeof (path), "%s/identity", dir);
	unlink (path);
	rmdir (dir);
}

int
main (void)
{
	static const int targets[] = {1000, 2000, 4000, 7700};
	static const int nodes[] = {100, 250, 500, 1000};
	static const int fan_outs[] = {10, 25, 50, 91, 182};
	static const int batches[] = {1, 8, 64, 512};
	hint_table_init (&hints);
	for (int i = 0; i < 4; i++)
		measure_view (targets[i], 1000);
	for (int i = 0; i < 4; i++)
		measure_view (7700, nodes[i]);
	for (int i = 0; i < 4; i++)
		measure_snapshot (targets[i]);
	for (int i = 0; i < 4; i++)
		measure_leader (nodes[i]);
	for (int i = 0; i < 5; i++)
		measure_query (fan_outs[i]);
	for (int i = 0; i < 4; i++)
		measure_commits (batches[i]);
	hint_table_finish (&hints);
	return EXIT_SUCCESS;
}
