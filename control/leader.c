#include "control/leader.h"

#include "control/membership.h"
#include "core/buf.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	CONTROLLER_INTERVAL_US = 50000,   /* how often members and voters are checked */
	LEAVE_CHECK_INTERVAL_US = 500000, /* how often leave_by times are checked */
	GRANT_RETENTION_US = 10000000,    /* how long a silent process is kept in the table */
};

static void
propose_as_controller (struct voter *voter, struct command *command, int64_t now_us)
{
	uint64_t index = voter_propose (voter, command, NULL, 0, now_us);
	if (index > voter->own_proposal_index)
		voter->own_proposal_index = index;
}

static void
add_members (struct voter *voter, int64_t now_us)
{
	for (int i = 0; i < voter->grants.count; i++) {
		const struct grant *grant = &voter->grants.items[i];
		const struct poll *poll = &grant->poll;
		if (grant->superseded || poll->exiting || poll->name[0] == '\0' ||
			grant->last_heard_us + VOTER_MEMBER_TIMEOUT_US < now_us)
			continue;
		const struct member *known = members_find (&voter->state.members, poll->name);
		if (known && known->incarnation == poll->incarnation &&
			known->leaving == poll->leaving &&
			known->is_entry_node == poll->is_entry_node &&
			strcmp (known->address, poll->address) == 0)
			continue;
		struct command command = {.kind = COMMAND_MEMBER_PUT};
		struct member *member = &command.u.member;
		str_copy (member->name, sizeof (member->name), poll->name);
		str_copy (member->data_centre, sizeof (member->data_centre), poll->data_centre);
		str_copy (member->address, sizeof (member->address), poll->address);
		member->incarnation = poll->incarnation;
		member->leaving = poll->leaving;
		member->is_entry_node = poll->is_entry_node;
		propose_as_controller (voter, &command, now_us);
	}
}

static bool
may_hold_lease (const struct voter *voter, const struct member *member, int64_t now_us)
{
	const struct grant *grant = grants_find_incarnation (&voter->grants, member->incarnation);
	if (!grant || grant->poll.exiting)
		return false;
	return grant->granted_until_us > now_us ||
	       grant->last_heard_us + VOTER_MEMBER_TIMEOUT_US > now_us;
}

static void
remove_members (struct voter *voter, int64_t now_us)
{
	if (!voter_old_leases_expired (voter, now_us))
		return;
	for (size_t i = 0; i < voter->state.members.count; i++) {
		const struct member *member = &voter->state.members.items[i];
		if (may_hold_lease (voter, member, now_us))
			continue;
		struct command command = {.kind = COMMAND_MEMBER_REMOVE, .u.member = *member};
		propose_as_controller (voter, &command, now_us);
	}
}

/* Proposes one configuration change at a time; the log refuses a second one. */
static void
manage_voters (struct voter *voter, int64_t now_us)
{
	struct raft_config config = voter->raft.config;
	if (membership_find_change (voter, &config, now_us))
		raft_propose_config (&voter->raft, &config, now_us);
}

static void
propose_leaving (struct voter *voter, const struct resource *resource, json_t *spec,
	const char *cause, int64_t now_us)
{
	struct command command = {.kind = COMMAND_CHANGE};
	struct change *change = &command.u.change;
	json_object_set_new (spec, "leaving", json_true ());
	char *text = json_dumps (spec, JSON_COMPACT | JSON_SORT_KEYS);
	snprintf (change->id, sizeof (change->id), "%s.%d.%.30s.%" PRIu64, cause,
		(int)resource->kind, resource->name, resource->version);
	change->kind = resource->kind;
	str_copy (change->name, sizeof (change->name), resource->name);
	change->expected_version = resource->version;
	change->spec = text;
	propose_as_controller (voter, &command, now_us);
	free (text);
}

static void
check_leave_by (struct voter *voter, const struct resource *resource, int64_t now_us)
{
	if (!strstr (resource->spec, "\"leave_by\""))
		return;
	json_t *spec = json_loads (resource->spec, 0, NULL);
	json_int_t leave_by = json_integer_value (json_object_get (spec, "leave_by"));
	bool leaving = json_is_true (json_object_get (spec, "leaving"));
	if (spec && !leaving && leave_by > 0 && leave_by * 1000 <= voter->wall_ms)
		propose_leaving (voter, resource, spec, "leave-by", now_us);
	json_decref (spec);
}

static void
check_all_leave_by (struct voter *voter, int64_t now_us)
{
	if (voter->next_leave_check_us > now_us)
		return;
	voter->next_leave_check_us = now_us + LEAVE_CHECK_INTERVAL_US;
	for (size_t i = 0; i < voter->state.resources.count; i++)
		check_leave_by (voter, voter->state.resources.items[i], now_us);
}

void
voter_propose_vm_leaving (struct voter *voter, const char *vm, int64_t now_us)
{
	if (voter->raft.role != RAFT_LEADER || voter->state.applied < voter->own_proposal_index)
		return;
	const struct resource *resource = resources_find (&voter->state.resources, RESOURCE_VM, vm);
	json_t *spec = resource ? json_loads (resource->spec, 0, NULL) : NULL;
	if (spec && !json_is_true (json_object_get (spec, "leaving")))
		propose_leaving (voter, resource, spec, "platform", now_us);
	json_decref (spec);
}

/*
 * A lease of the previous leader matters only to a member. One that has a lease of this leader
 * reports what it follows; an earlier process of its name has ended, if names are exclusive. So
 * after a restart of everything, nothing has to wait until those leases would have expired.
 *
 * Polls of a process may arrive late, when its successor has a lease of the previous leader. So a
 * lease counts once its process has reported this term, and the end of a process also if it is the
 * member: its successor has no lease before it is the member.
 */
static bool
old_leases_are_accounted_for (const struct voter *voter, int64_t now_us)
{
	bool knows_members = voter->state.applied >= voter->raft.term_start_index;
	if (!voter->settings.exclusive_names || !knows_members)
		return false;
	for (size_t i = 0; i < voter->state.members.count; i++) {
		const struct member *member = &voter->state.members.items[i];
		const struct grant *grant = grants_find_name (&voter->grants, member->name);
		if (!grant || (grant->granted_until_us <= now_us && !grant->poll.exiting))
			return false;
		bool is_ended_member =
			grant->poll.exiting && grant->poll.incarnation == member->incarnation;
		if (grant->poll.applied < voter->raft.term_start_index && !is_ended_member)
			return false;
	}
	return true;
}

static void
propose_phase (struct voter *voter, const struct rollout *rollout, enum rollout_phase phase,
	int64_t now_us)
{
	struct command command = {.kind = COMMAND_ROLLOUT_PHASE};
	command.u.rollout_phase.started = rollout->started;
	command.u.rollout_phase.phase = phase;
	propose_as_controller (voter, &command, now_us);
}

/*
 * The old targets stop without draining once the roll-out is reported as completed. The summary
 * counts all processes that may hold a lease, which after an election takes a lease's time.
 */
static bool
is_shifted (const struct voter *voter, const struct rollout *rollout, int64_t now_us)
{
	if (!rollout_may_complete (rollout, voter->wall_ms) ||
		!voter_old_leases_expired (voter, now_us))
		return false;
	struct grants_summary summary =
		grants_summarise (&voter->grants, voter->state.applied, now_us);
	return summary.node_count > 0 && summary.in_force >= rollout->changed &&
	       summary.old_work == 0;
}

static struct rollout_decision *
get_decision (struct voter *voter, uint64_t rollout)
{
	for (int i = 0; i < ROLLOUT_DECISIONS; i++) {
		if (voter->rollout_decisions[i].rollout == rollout)
			return &voter->rollout_decisions[i];
	}
	struct rollout_decision *decision = &voter->rollout_decisions[voter->next_decision];
	voter->next_decision = (voter->next_decision + 1) % ROLLOUT_DECISIONS;
	memset (decision, 0, sizeof (*decision));
	decision->rollout = rollout;
	decision->judgement = ROLLOUT_WAIT;
	return decision;
}

/* Notes a decision that differs from the one before, for the log. */
static void
note_decision (struct voter *voter, const struct rollout *rollout, enum rollout_judgement judgement,
	const struct rollout_evidence *evidence, bool completed)
{
	struct rollout_decision *decision = get_decision (voter, rollout->started);
	if (decision->judgement == judgement && decision->completed == completed)
		return;
	decision->judgement = judgement;
	decision->evidence = *evidence;
	decision->completed = completed;
	decision->logged = false;
}

static void
judge_rollouts (struct voter *voter, int64_t now_us)
{
	const struct rollouts *rollouts = &voter->state.rollouts;
	rollout_judge_expire (&voter->rollouts, rollouts);
	for (int i = 0; i < rollouts->count; i++) {
		const struct rollout *rollout = &rollouts->items[i];
		struct rollout_evidence evidence;
		if (!rollout_is_active (rollout))
			continue;
		enum rollout_judgement judgement = rollout_judge (
			&voter->rollouts, rollout, voter->wall_ms, now_us, &evidence);
		bool completed = judgement == ROLLOUT_WAIT && is_shifted (voter, rollout, now_us);
		if (judgement == ROLLOUT_ROLL_BACK)
			propose_phase (voter, rollout, ROLLOUT_ROLLED_BACK, now_us);
		else if (judgement == ROLLOUT_SHIFT)
			propose_phase (voter, rollout, ROLLOUT_SHIFTING, now_us);
		else if (completed)
			propose_phase (voter, rollout, ROLLOUT_COMPLETED, now_us);
		if (judgement != ROLLOUT_WAIT || completed)
			note_decision (voter, rollout, judgement, &evidence, completed);
	}
}

void
leader_tick (struct voter *voter, int64_t now_us)
{
	if (!raft_commit_is_current (&voter->raft) ||
		voter->state.applied < voter->own_proposal_index)
		return;
	if (voter->next_controllers_us > now_us)
		return;
	voter->next_controllers_us = now_us + CONTROLLER_INTERVAL_US;
	grants_expire (&voter->grants, now_us, GRANT_RETENTION_US);
	if (!voter_old_leases_expired (voter, now_us) &&
		old_leases_are_accounted_for (voter, now_us))
		voter->accounted_term = voter->raft.term;
	add_members (voter, now_us);
	remove_members (voter, now_us);
	manage_voters (voter, now_us);
	check_all_leave_by (voter, now_us);
	judge_rollouts (voter, now_us);
}
