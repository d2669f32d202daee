/**
 * @file control.c
 * Focused tests of control: each causes one of the faults that the brief lists, or two of them.
 */
#include "test/suite.h"
#include "test/world.h"

#include <stdio.h>
#include <stdlib.h>

static struct sim sim;

enum { SECOND = 1000000 };

static void
begin (int nodes, int voters)
{
	sim_init (&sim, nodes, voters, 42);
	CU_ASSERT_TRUE_FATAL (sim_until (&sim, sim_settled, 30LL * SECOND));
}

static void
end (void)
{
	if (sim.fault)
		printf ("\nbroken: %s (line %d)\n", sim.fault_text, sim.fault);
	CU_ASSERT_EQUAL (sim.fault, 0);
	sim_finish (&sim);
}

static bool
is_answered (struct sim *w)
{
	return w->answered;
}

static int desired_voters;

static bool
has_voters (struct sim *w)
{
	int leader = sim_leader (w);
	return leader >= 0 &&
	       raft_voter_count (&w->nodes[leader].voter.raft.config) == desired_voters;
}

/* Sends a change and waits for its result. */
static enum error_kind
change (int node, const char *id, const char *name, uint64_t expect, int value)
{
	for (int i = 0; i < 40; i++) {
		sim_change (&sim, node, id, name, expect, value);
		if (sim_until (&sim, is_answered, SECOND / 4))
			return sim.answer.result.change.kind;
	}
	return ERROR_UNAVAILABLE;
}

static void
three_voters (void)
{
	desired_voters = 3;
	CU_ASSERT_TRUE_FATAL (sim_until (&sim, has_voters, 30LL * SECOND));
}

static int
other_than (int a, int b)
{
	for (int i = 0; i < 3; i++) {
		if (i != a && i != b)
			return i;
	}
	return -1;
}

static void
test_racing_operators (void)
{
	begin (5, 3);
	CU_ASSERT_EQUAL (change (3, "c1", "s", 0, 100), ERROR_NONE);
	uint64_t version = sim.answer.result.change.version;
	CU_ASSERT_EQUAL (change (3, "c2", "s", version, 200), ERROR_NONE);
	CU_ASSERT_EQUAL (change (4, "c3", "s", version, 300), ERROR_CONFLICT);
	CU_ASSERT_EQUAL (sim.answer.result.change.version, version + 1);
	end ();
}

static void
test_resend_survives_leader_and_snapshot (void)
{
	char id[16];
	begin (5, 3);
	three_voters ();
	CU_ASSERT_EQUAL (change (3, "first", "s", 0, 1), ERROR_NONE);
	uint64_t version = sim.answer.result.change.version;
	uint64_t newest = version;
	for (int i = 0; i < 130; i++) {
		snprintf (id, sizeof (id), "c%d", i);
		CU_ASSERT_EQUAL (change (3, id, "s", newest, i), ERROR_NONE);
		newest = sim.answer.result.change.version;
	}
	int leader = sim_leader (&sim);
	CU_ASSERT_TRUE (sim.nodes[leader].voter.raft.snapshot_index > 0);
	sim_crash (&sim, leader);
	CU_ASSERT_EQUAL (change (4, "first", "s", 0, 1), ERROR_NONE);
	CU_ASSERT_EQUAL (sim.answer.result.change.version, version);
	sim_restart (&sim, leader);
	CU_ASSERT_TRUE (sim_until (&sim, sim_settled, 30LL * SECOND));
	end ();
}

/* A node that missed many changes needs one exchange: deltas, or the state where they are gone. */
static void
restart_behind (int changes)
{
	char id[16];
	begin (4, 3);
	three_voters ();
	sim_crash (&sim, 3);
	uint64_t version = 0;
	for (int i = 0; i < changes; i++) {
		snprintf (id, sizeof (id), "c%d", i);
		CU_ASSERT_EQUAL (change (0, id, "s", version, i), ERROR_NONE);
		version = sim.answer.result.change.version;
	}
	sim_restart (&sim, 3);
	int64_t start_us = sim.now_us;
	const struct follower *follower = &sim.nodes[3].follower;
	while (follower->state.applied < version && sim.now_us < start_us + 5LL * SECOND)
		sim_run (&sim, SIM_STEP_US);
	CU_ASSERT_TRUE (sim.now_us - start_us < SECOND);
	CU_ASSERT_TRUE (follower->seq - (follower->settings.self.incarnation >> 1) <= 3);
	printf (" [%d behind: %lld ms]", changes, (long long)(sim.now_us - start_us) / 1000);
	CU_ASSERT_TRUE (sim_until (&sim, sim_settled, 20LL * SECOND));
	end ();
}

static void
test_restart_far_behind (void)
{
	restart_behind (500);
	restart_behind (5000);
}

static bool
without_lease (struct sim *w)
{
	return w->nodes[4].lease_until_us <= w->now_us + w->nodes[4].clock_skew_us;
}

static void
cut_off (int node, bool cut)
{
	for (int i = 0; i < sim.node_count; i++) {
		if (i != node)
			sim.cut[i][node] = sim.cut[node][i] = cut;
	}
}

static void
test_silent_partition_of_a_node (void)
{
	begin (5, 3);
	three_voters ();
	CU_ASSERT_EQUAL (change (3, "c1", "s", 0, 1), ERROR_NONE);
	cut_off (4, true);
	CU_ASSERT_EQUAL (change (3, "c2", "s", sim.newest_accepted, 2), ERROR_NONE);
	int64_t accepted_us = sim.now_us;
	CU_ASSERT_TRUE (sim_until (&sim, without_lease, 10LL * SECOND));
	CU_ASSERT_TRUE (sim.now_us - accepted_us < 3200000);
	sim_run (&sim, 60LL * SECOND);
	cut_off (4, false);
	CU_ASSERT_TRUE (sim_until (&sim, sim_settled, 20LL * SECOND));
	end ();
}

static void
test_cut_off_leader_with_one_way_link (void)
{
	begin (5, 3);
	three_voters ();
	int leader = sim_leader (&sim);
	/* The old leader still sends, but hears nothing. */
	for (int i = 0; i < sim.node_count; i++)
		sim.cut[i][leader] = i != leader;
	sim_run (&sim, 5LL * SECOND);
	CU_ASSERT_EQUAL (change (other_than (leader, -1), "c1", "s", 0, 1), ERROR_NONE);
	cut_off (leader, false);
	CU_ASSERT_TRUE (sim_until (&sim, sim_settled, 30LL * SECOND));
	end ();
}

static void
test_emptied_disk_never_votes_as_before (void)
{
	begin (5, 3);
	three_voters ();
	CU_ASSERT_EQUAL (change (3, "c1", "s", 0, 1), ERROR_NONE);
	int lost = other_than (sim_leader (&sim), -1);
	uint64_t old_id = sim.nodes[lost].disk.id;
	sim_crash (&sim, lost);
	sim_empty_disk (&sim, lost);
	sim_restart (&sim, lost);
	sim_run (&sim, 20LL * SECOND);
	const struct raft *raft = &sim.nodes[sim_leader (&sim)].voter.raft;
	CU_ASSERT_PTR_NULL (raft_find_node (raft, old_id));
	const struct raft_node *fresh = raft_find_node (raft, sim.nodes[lost].disk.id);
	CU_ASSERT_TRUE (fresh && fresh->voter);
	end ();
}

/* The platform counts a VM as back a few seconds after its restart; another may be lost then. */
static void
test_emptied_disk_is_replaced_in_time (void)
{
	begin (5, 3);
	three_voters ();
	CU_ASSERT_EQUAL (change (3, "c1", "s", 0, 1), ERROR_NONE);
	int lost = other_than (sim_leader (&sim), -1);
	uint64_t old_id = sim.nodes[lost].disk.id;
	sim_crash (&sim, lost);
	sim_empty_disk (&sim, lost);
	sim_run (&sim, SECOND);
	sim_restart (&sim, lost);
	sim_run (&sim, 4LL * SECOND);
	const struct raft *raft = &sim.nodes[sim_leader (&sim)].voter.raft;
	const struct raft_node *fresh = raft_find_node (raft, sim.nodes[lost].disk.id);
	CU_ASSERT_PTR_NULL (raft_find_node (raft, old_id));
	CU_ASSERT_TRUE (fresh && fresh->voter);
	end ();
}

static bool
apply_routing (struct state *state, uint64_t index, uint64_t version, const char *document)
{
	struct command command = {.kind = COMMAND_ROUTING};
	struct state_result result;
	size_t len = 0;
	command.u.routing.version = version;
	command.u.routing.document = document;
	command.u.routing.len = strlen (document);
	void *data = command_encode (&command, &len);
	state_apply (state, index, data, len, &result);
	free (data);
	return result.ok;
}

static void
test_highest_routing_holds (void)
{
	struct state state;
	struct state copy;
	size_t len = 0;
	state_init (&state);
	state_init (&copy);
	CU_ASSERT_TRUE (apply_routing (&state, 1, 7, "seven"));
	CU_ASSERT_EQUAL (state.epoch, 1);
	/* Overtaken and equal versions are accepted and change nothing. */
	CU_ASSERT_TRUE (apply_routing (&state, 2, 6, "six"));
	CU_ASSERT_TRUE (apply_routing (&state, 3, 7, "other"));
	CU_ASSERT_EQUAL (state.epoch, 1);
	CU_ASSERT_STRING_EQUAL (state.routing.document, "seven");
	CU_ASSERT_TRUE (apply_routing (&state, 4, 12, "twelve"));
	void *data = state_encode (&state, false, &len);
	CU_ASSERT_TRUE (state_decode (&copy, data, len));
	CU_ASSERT_EQUAL (copy.routing.version, 12);
	CU_ASSERT_STRING_EQUAL (copy.routing.document, "twelve");
	free (data);
	state_finish (&state);
	state_finish (&copy);
}

static void
test_overtaken_routings_are_dropped (void)
{
	struct history history;
	history_init (&history);
	history_add (&history, 1, "first", 5, true);
	history_add (&history, 2, "change", 6, false);
	history_add (&history, 3, "second", 6, true);
	history_add (&history, 4, "third", 5, true);
	static const size_t lengths[] = {0, 6, 0, 5};
	for (int i = 0; i < 4; i++)
		CU_ASSERT_EQUAL (history_at (&history, i)->len, lengths[i]);
	/* The ring goes round without losing the newest one. */
	for (uint64_t i = 5; i < HISTORY_COMMANDS + 10; i++)
		history_add (&history, i, "change", 6, false);
	history_add (&history, HISTORY_COMMANDS + 10, "fourth", 6, true);
	CU_ASSERT_EQUAL (history_at (&history, (int64_t)history.count - 1)->len, 6);
	CU_ASSERT_EQUAL (history_at (&history, (int64_t)history.count - 2)->len, 6);
	history_finish (&history);
}

static void
test_roster_update (void)
{
	struct roster leader = {0};
	struct roster other = {0};
	roster_set (&leader, 4, "ab", 2, 100);
	struct roster_update news = roster_make_update (&leader, other.stamp, 150);
	CU_ASSERT_TRUE (roster_apply (&other, &news, 200));
	free (news.data);
	CU_ASSERT_EQUAL (other.read_us, 150);
	/* The same list again is only confirmed. */
	roster_set (&leader, 4, "ab", 2, 300);
	news = roster_make_update (&leader, other.stamp, 310);
	CU_ASSERT_PTR_NULL (news.data);
	CU_ASSERT_FALSE (roster_apply (&other, &news, 320));
	CU_ASSERT_EQUAL (other.read_us, 310);
	/* What a former leader still holds is older than any list of a later term. */
	struct roster later = {0};
	roster_set (&later, 5, "c", 1, 400);
	news = roster_make_update (&later, other.stamp, 400);
	CU_ASSERT_TRUE (roster_apply (&other, &news, 400));
	free (news.data);
	roster_set (&leader, 4, "xyz", 3, 500);
	news = roster_make_update (&leader, 0, 500);
	CU_ASSERT_FALSE (roster_apply (&other, &news, 500));
	free (news.data);
	CU_ASSERT_EQUAL (other.len, 1);
	roster_finish (&leader);
	roster_finish (&later);
	roster_finish (&other);
}

static void
apply_leaving (struct state *state, uint64_t index, bool leaving)
{
	struct command command = {.kind = COMMAND_LEAVING, .u.leaving = {"west", leaving}};
	struct state_result result;
	size_t len = 0;
	void *data = command_encode (&command, &len);
	state_apply (state, index, data, len, &result);
	CU_ASSERT_TRUE (result.ok);
	free (data);
}

static void
test_data_centre_leaves_and_returns (void)
{
	struct state state;
	state_init (&state);
	apply_leaving (&state, 1, true);
	const struct resource *west =
		resources_find (&state.resources, RESOURCE_DATA_CENTRE, "west");
	if (!west)
		abort ();
	CU_ASSERT_STRING_EQUAL (west->spec, "{\"leaving\":true}");
	apply_leaving (&state, 2, true);
	CU_ASSERT_EQUAL (state.epoch, 1);
	apply_leaving (&state, 3, false);
	CU_ASSERT_EQUAL (state.epoch, 3);
	CU_ASSERT_STRING_EQUAL (west->spec, "{\"leaving\":false}");
	state_finish (&state);
}

static void
test_second_loss_right_after_a_repair (void)
{
	begin (6, 4);
	three_voters ();
	CU_ASSERT_EQUAL (change (5, "c1", "s", 0, 1), ERROR_NONE);
	int first = other_than (sim_leader (&sim), -1);
	sim_crash (&sim, first);
	sim_empty_disk (&sim, first);
	sim_restart (&sim, first);
	sim_run (&sim, 15LL * SECOND);
	three_voters ();
	int second = other_than (sim_leader (&sim), first);
	sim_crash (&sim, second);
	sim_empty_disk (&sim, second);
	CU_ASSERT_EQUAL (change (5, "c2", "s", sim.newest_accepted, 2), ERROR_NONE);
	sim_restart (&sim, second);
	sim_run (&sim, 15LL * SECOND);
	CU_ASSERT_TRUE (sim_until (&sim, sim_settled, 30LL * SECOND));
	end ();
}

static bool
holds_change (struct sim *w)
{
	int leader = sim_leader (w);
	return leader >= 0 && resources_find (&w->nodes[leader].voter.state.resources,
				      RESOURCE_SERVICE, "s") != NULL;
}

/* The answer to a first poll comes after the second one was sent, as when all nodes start at once.
 */
static void
test_late_answer_brings_the_state (void)
{
	struct follower follower;
	struct state state;
	struct poll_reply reply = {.seq = 1, .lease_granted = true};
	struct follower_settings settings = {
		.lease_us = 3LL * SECOND, .poll_us = SECOND, .seeds = "a"};
	state_init (&state);
	state.applied = state.epoch = 7;
	int64_t at_us = SECOND;
	follower_init (&follower, &settings, at_us);
	follower_tick (&follower, at_us);
	at_us += FOLLOWER_FIRST_RETRY_US;
	follower_tick (&follower, at_us);
	CU_ASSERT_EQUAL (follower.seq, 2);
	/* Each further poll without an answer waits twice as long. */
	at_us += FOLLOWER_FIRST_RETRY_US;
	follower_tick (&follower, at_us);
	CU_ASSERT_EQUAL (follower.seq, 2);
	reply.revision = 7;
	reply.snapshot = state_encode (&state, false, &reply.snapshot_len);
	CU_ASSERT_TRUE (follower_receive (&follower, &reply, at_us));
	CU_ASSERT_EQUAL (follower.state.applied, 7);
	CU_ASSERT_FALSE (follower_has_lease (&follower, at_us));
	/* Changes that begin after what this process has were meant for one before it. */
	struct poll_reply other = {.seq = 1, .revision = 20, .since_revision = 15};
	CU_ASSERT_FALSE (follower_receive (&follower, &other, at_us));
	CU_ASSERT_EQUAL (follower.state.applied, 7);
	free (reply.snapshot);
	follower_finish (&follower);
	state_finish (&state);
}

/* A change is accepted, all lose power, and two come back without their disks. */
static void
test_two_disks_lost_with_all_power (void)
{
	sim_init_losses (&sim, 7, 5, 2, 42);
	desired_voters = 5;
	CU_ASSERT_TRUE_FATAL (sim_until (&sim, has_voters, 30LL * SECOND));
	CU_ASSERT_EQUAL (change (5, "c1", "s", 0, 1), ERROR_NONE);
	int leader = sim_leader (&sim);
	int other = other_than (leader, -1);
	for (int i = 0; i < sim.node_count; i++)
		sim_crash (&sim, i);
	sim_empty_disk (&sim, leader);
	sim_empty_disk (&sim, other);
	for (int i = 0; i < sim.node_count; i++)
		sim_restart (&sim, i);
	CU_ASSERT_TRUE (sim_until (&sim, holds_change, 10LL * SECOND));
	CU_ASSERT_TRUE (sim_until (&sim, has_voters, 30LL * SECOND));
	end ();
}

static void
test_crash_before_sync (void)
{
	begin (5, 3);
	three_voters ();
	int leader = sim_leader (&sim);
	sim.nodes[leader].lose_save = true;
	sim_change (&sim, 3, "c1", "s", 0, 1);
	sim_run (&sim, 2LL * SECOND);
	CU_ASSERT_FALSE (sim.nodes[leader].up);
	CU_ASSERT_EQUAL (change (3, "c1", "s", 0, 1), ERROR_NONE);
	sim_restart (&sim, leader);
	CU_ASSERT_TRUE (sim_until (&sim, sim_settled, 30LL * SECOND));
	end ();
}

static bool
targets_owned (struct sim *w)
{
	for (int i = 0; i < SIM_TARGETS; i++) {
		if (sim_owner (w, i) < 0)
			return false;
	}
	return true;
}

static void
declare_targets (void)
{
	char name[8];
	char id[16];
	CU_ASSERT_EQUAL (change (0, "svc", "s", 0, 100), ERROR_NONE);
	for (int i = 0; i < SIM_TARGETS; i++) {
		snprintf (name, sizeof (name), "t%d", i);
		snprintf (id, sizeof (id), "target%d", i);
		CU_ASSERT_EQUAL (change (0, id, name, 0, 9000 + i), ERROR_NONE);
	}
	CU_ASSERT_TRUE_FATAL (sim_until (&sim, targets_owned, 30LL * SECOND));
}

static void
test_owner_crash_hands_targets_over (void)
{
	begin (6, 3);
	three_voters ();
	declare_targets ();
	int owner = sim_owner (&sim, 0);
	sim_crash (&sim, owner);
	int64_t start_us = sim.now_us;
	CU_ASSERT_TRUE (sim_until (&sim, targets_owned, 20LL * SECOND));
	CU_ASSERT_TRUE (sim.now_us - start_us < 10LL * SECOND);
	printf (" [no owner for %lld ms after a crash]", (long long)(sim.now_us - start_us) / 1000);
	end ();
}

static void
test_paused_owner_and_leader_crash (void)
{
	begin (6, 3);
	three_voters ();
	declare_targets ();
	int owner = sim_owner (&sim, 0);
	sim.nodes[owner].paused_until_us = sim.now_us + 20LL * SECOND;
	int leader = sim_leader (&sim);
	if (leader != owner && leader >= 0)
		sim_crash (&sim, leader);
	sim_run (&sim, 30LL * SECOND);
	if (leader >= 0)
		sim_restart (&sim, leader);
	CU_ASSERT_TRUE (sim_until (&sim, targets_owned, 30LL * SECOND));
	end ();
}

static void
test_planned_stop_hands_targets_over (void)
{
	begin (6, 3);
	three_voters ();
	declare_targets ();
	int owner = sim_owner (&sim, 0);
	sim.nodes[owner].follower.leaving = true;
	follower_poll_soon (&sim.nodes[owner].follower, 0);
	int64_t start_us = sim.now_us;
	while (sim_owner (&sim, 0) == owner && sim.now_us < start_us + 10LL * SECOND)
		sim_run (&sim, 5000);
	int64_t left_us = sim.now_us;
	CU_ASSERT_TRUE (sim_until (&sim, targets_owned, 10LL * SECOND));
	CU_ASSERT_TRUE (sim.now_us - start_us < 5LL * SECOND);
	printf (" [no owner for %lld ms at a planned stop]",
		(long long)(sim.now_us - left_us) / 1000);
	end ();
}

/*
 * A node that jumps over epochs reports its release only once nobody acts on an epoch between:
 * the lease model found two owners without that.
 */
static void
test_jump_holds_the_release_back (void)
{
	char id[16];
	bool held = false;
	begin (5, 3);
	three_voters ();
	declare_targets ();
	struct follower *follower = &sim.nodes[4].follower;
	sim.nodes[4].paused_until_us = sim.now_us + SECOND;
	for (int i = 0; i < 4; i++) {
		snprintf (id, sizeof (id), "service%d", i);
		CU_ASSERT_EQUAL (change (3, id, id, 0, i), ERROR_NONE);
	}
	for (int i = 0; i < 400 && !held; i++) {
		sim_run (&sim, SIM_STEP_US);
		held = follower->withheld_count > 0;
	}
	CU_ASSERT_TRUE_FATAL (held);
	CU_ASSERT_TRUE (follower->withheld[0].reported_revision < follower->state.epoch);
	CU_ASSERT_TRUE (sim_until (&sim, sim_settled, 10LL * SECOND));
	sim_run (&sim, SECOND);
	CU_ASSERT_EQUAL (follower->withheld_count, 0);
	end ();
}

static bool
claimed (struct sim *w, int node, uint64_t nonce, enum claim_verdict *verdict)
{
	for (int i = 0; i < 40; i++) {
		sim_claim (w, node, "renewal", nonce);
		if (sim_until (w, is_answered, SECOND / 4)) {
			*verdict = w->answer.result.verdict;
			return true;
		}
	}
	return false;
}

/* A node comes while another is cut off with an old view, and one goes before that is known. */
static void
test_parts_never_add_up_to_more (void)
{
	struct shares old;
	struct shares fresh;
	const uint64_t two[] = {1, 2};
	const uint64_t three[] = {1, 2, 3};
	shares_init (&old, 1);
	shares_init (&fresh, 3);
	shares_update (&old, two, 2, true, 1, 1);
	CU_ASSERT_TRUE (share_is_usable (&old, true, 1, 1));
	CU_ASSERT_EQUAL (shares_count (&old), 2);
	/* The newcomer waits until all count it. */
	shares_update (&fresh, three, 3, true, 2, 1);
	CU_ASSERT_FALSE (share_is_usable (&fresh, true, 1, 1));
	CU_ASSERT_TRUE (share_is_usable (&fresh, true, 1, 2));
	/* One that goes is counted until all know it. */
	shares_update (&old, three, 3, true, 2, 1);
	shares_update (&old, two, 2, true, 3, 1);
	CU_ASSERT_FALSE (shares_settle (&old, 2));
	CU_ASSERT_EQUAL (shares_count (&old), 3);
	CU_ASSERT_TRUE (shares_settle (&old, 3));
	CU_ASSERT_EQUAL (shares_count (&old), 2);
	/* A lapsed lease takes the part along, and a new one starts it anew. */
	CU_ASSERT_FALSE (share_is_usable (&old, false, 1, 3));
	shares_update (&old, two, 2, true, 4, 2);
	CU_ASSERT_FALSE (share_is_usable (&old, true, 2, 3));
	CU_ASSERT_TRUE (share_is_usable (&old, true, 2, 4));
	/* Another process of the same name is not this one. */
	shares_update (&fresh, three, 3, false, 5, 1);
	CU_ASSERT_FALSE (share_is_usable (&fresh, true, 1, 5));
	shares_finish (&old);
	shares_finish (&fresh);
}

static void
test_claim_runs_once_across_crashes (void)
{
	enum claim_verdict verdict = VERDICT_REUSED;
	begin (5, 3);
	three_voters ();
	CU_ASSERT_TRUE (claimed (&sim, 3, 11, &verdict));
	CU_ASSERT_EQUAL (verdict, VERDICT_RUN);
	sim_crash (&sim, sim_leader (&sim));
	CU_ASSERT_TRUE (claimed (&sim, 4, 12, &verdict));
	CU_ASSERT_EQUAL (verdict, VERDICT_PENDING);
	for (int i = 0; i < 8 && !sim.answer.result.ok; i++) {
		sim_outcome (&sim, 3, "renewal", 11, CLAIM_DONE);
		sim_until (&sim, is_answered, SECOND);
	}
	CU_ASSERT_TRUE (claimed (&sim, 4, 13, &verdict));
	CU_ASSERT_EQUAL (verdict, VERDICT_STORED);
	CU_ASSERT_EQUAL (sim.answer.result.claim.status, CLAIM_DONE);
	end ();
}

static void
test_outcome_that_overtakes_its_claim (void)
{
	enum claim_verdict verdict = VERDICT_REUSED;
	begin (5, 3);
	three_voters ();
	sim_outcome (&sim, 3, "renewal", 21, CLAIM_NOT_RUN);
	CU_ASSERT_TRUE (sim_until (&sim, is_answered, SECOND));
	CU_ASSERT_TRUE (claimed (&sim, 3, 21, &verdict));
	CU_ASSERT_EQUAL (verdict, VERDICT_STORED);
	CU_ASSERT_EQUAL (sim.answer.result.claim.status, CLAIM_NOT_RUN);
	CU_ASSERT_TRUE (claimed (&sim, 3, 22, &verdict));
	CU_ASSERT_EQUAL (verdict, VERDICT_RUN);
	end ();
}

static void
test_lost_quorum_stops_new_work (void)
{
	begin (5, 3);
	three_voters ();
	sim_crash (&sim, 0);
	sim_crash (&sim, 1);
	sim_run (&sim, 4LL * SECOND);
	for (int i = 2; i < 5; i++)
		CU_ASSERT_TRUE (
			sim.nodes[i].lease_until_us <= sim.now_us + sim.nodes[i].clock_skew_us);
	sim_restart (&sim, 0);
	CU_ASSERT_TRUE (sim_until (&sim, sim_settled, 30LL * SECOND));
	end ();
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (racing_operators),
		TEST (resend_survives_leader_and_snapshot),
		TEST (restart_far_behind),
		TEST (silent_partition_of_a_node),
		TEST (cut_off_leader_with_one_way_link),
		TEST (emptied_disk_never_votes_as_before),
		TEST (emptied_disk_is_replaced_in_time),
		TEST (highest_routing_holds),
		TEST (overtaken_routings_are_dropped),
		TEST (roster_update),
		TEST (data_centre_leaves_and_returns),
		TEST (second_loss_right_after_a_repair),
		TEST (late_answer_brings_the_state),
		TEST (two_disks_lost_with_all_power),
		TEST (crash_before_sync),
		TEST (owner_crash_hands_targets_over),
		TEST (paused_owner_and_leader_crash),
		TEST (planned_stop_hands_targets_over),
		TEST (jump_holds_the_release_back),
		TEST (parts_never_add_up_to_more),
		TEST (claim_runs_once_across_crashes),
		TEST (outcome_that_overtakes_its_claim),
		TEST (lost_quorum_stops_new_work),
	};
	return suite_run ("control", tests, sizeof (tests) / sizeof (tests[0]));
}
