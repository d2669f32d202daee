#include "control/leader.h"

#include "core/buf.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	CONTROLLERS_US = 50000,     /* how often members and voters are looked through */
	LEAVE_CHECK_US = 500000,    /* how often dates are compared with the time */
	GRANT_KEEP_US = 10000000,   /* how long a silent process is remembered */
	MEMBER_SILENT_US = 2000000, /* a process that was heard this recently still joins */
};

static void
propose_own (struct voter *voter, struct command *command, int64_t now_us)
{
	uint64_t index = voter_propose (voter, command, NULL, 0, now_us);
	if (index > voter->own_index)
		voter->own_index = index;
}

static void
join_members (struct voter *voter, int64_t now_us)
{
	for (int i = 0; i < voter->grants.count; i++) {
		const struct grant *grant = &voter->grants.items[i];
		const struct poll *poll = &grant->poll;
		if (grant->superseded || poll->gone || poll->name[0] == '\0' ||
			grant->heard_us + MEMBER_SILENT_US < now_us)
			continue;
		const struct member *known = members_find (&voter->state.members, poll->name);
		if (known && known->incarnation == poll->incarnation &&
			known->leaving == poll->leaving && known->entry == poll->entry &&
			strcmp (known->address, poll->address) == 0)
			continue;
		struct command command = {.kind = COMMAND_MEMBER_PUT};
		struct member *member = &command.u.member;
		str_copy (member->name, sizeof (member->name), poll->name);
		str_copy (member->data_centre, sizeof (member->data_centre), poll->data_centre);
		str_copy (member->address, sizeof (member->address), poll->address);
		member->incarnation = poll->incarnation;
		member->leaving = poll->leaving;
		member->entry = poll->entry;
		propose_own (voter, &command, now_us);
	}
}

static bool
may_hold_lease (const struct voter *voter, const struct member *member, int64_t now_us)
{
	const struct grant *grant = grants_get (&voter->grants, member->incarnation);
	if (!grant || grant->poll.gone)
		return false;
	return grant->granted_until_us > now_us || grant->heard_us + MEMBER_SILENT_US > now_us;
}

static void
remove_members (struct voter *voter, int64_t now_us)
{
	if (!voter_knows_grants (voter, now_us))
		return;
	for (size_t i = 0; i < voter->state.members.count; i++) {
		const struct member *member = &voter->state.members.items[i];
		if (may_hold_lease (voter, member, now_us))
			continue;
		struct command command = {.kind = COMMAND_MEMBER_REMOVE, .u.member = *member};
		propose_own (voter, &command, now_us);
	}
}

static int64_t
heard_voter_us (const struct voter *voter, int at, int64_t now_us)
{
	if (voter->raft.config.nodes[at].id == voter->raft.id)
		return now_us;
	return voter->raft.progress[at].heard_us;
}

static void
remove_node (struct raft_config *config, int at)
{
	for (int i = at; i + 1 < config->count; i++)
		config->nodes[i] = config->nodes[i + 1];
	config->count--;
}

/* A voter whose VM came back with another disk cannot vote again under its old identity. */
static bool
remove_replaced (struct voter *voter, struct raft_config *config, int64_t now_us)
{
	for (int i = 0; i < config->count; i++) {
		const struct grant *grant = grants_find (&voter->grants, config->nodes[i].name);
		bool other_disk = grant && grant->poll.disk_id != 0 &&
				  grant->poll.disk_id != config->nodes[i].id;
		if (!other_disk || heard_voter_us (voter, i, now_us) + VOTER_REPLACED_US > now_us)
			continue;
		remove_node (config, i);
		return true;
	}
	return false;
}

static bool
caught_up (const struct voter *voter, int at)
{
	return voter->raft.progress[at].match + RAFT_CATCH_UP_ENTRIES >=
	       raft_last_index (&voter->raft);
}

static bool
promote_learner (const struct voter *voter, struct raft_config *config, int64_t now_us)
{
	if (raft_voter_count (config) >= voter->settings.voters_wanted)
		return false;
	for (int i = 0; i < config->count; i++) {
		if (config->nodes[i].voter || !caught_up (voter, i) ||
			voter->raft.progress[i].heard_us + VOTER_DEAD_US < now_us)
			continue;
		config->nodes[i].voter = true;
		return true;
	}
	return false;
}

/* A learner that went silent makes room for another one. */
static bool
remove_silent_learner (const struct voter *voter, struct raft_config *config, int64_t now_us)
{
	for (int i = 0; i < config->count; i++) {
		const struct grant *grant = grants_find (&voter->grants, config->nodes[i].name);
		if (config->nodes[i].voter || (grant && grant->heard_us + VOTER_DEAD_US > now_us))
			continue;
		remove_node (config, i);
		return true;
	}
	return false;
}

/* One node more than the voters wanted is kept as a learner, to replace a lost one. */
static bool
add_learner (const struct voter *voter, struct raft_config *config, int64_t now_us)
{
	if (config->count > voter->settings.voters_wanted || config->count >= RAFT_MAX_NODES)
		return false;
	for (int i = 0; i < voter->grants.count; i++) {
		const struct grant *grant = &voter->grants.items[i];
		const struct poll *poll = &grant->poll;
		bool known = raft_find_node (&voter->raft, poll->disk_id) != NULL;
		if (grant->superseded || poll->disk_id == 0 || poll->leaving || known ||
			grant->heard_us + MEMBER_SILENT_US < now_us)
			continue;
		struct raft_node *node = &config->nodes[config->count++];
		memset (node, 0, sizeof (*node));
		node->id = poll->disk_id;
		str_copy (node->name, sizeof (node->name), poll->name);
		str_copy (node->address, sizeof (node->address), poll->address);
		return true;
	}
	return false;
}

static bool
replace_silent_voter (const struct voter *voter, struct raft_config *config, int64_t now_us)
{
	bool spare = false;
	for (int i = 0; i < config->count; i++)
		spare = spare || (!config->nodes[i].voter && caught_up (voter, i));
	if (!spare || raft_voter_count (config) < voter->settings.voters_wanted)
		return false;
	for (int i = 0; i < config->count; i++) {
		if (!config->nodes[i].voter ||
			heard_voter_us (voter, i, now_us) + voter->settings.replace_us > now_us)
			continue;
		remove_node (config, i);
		return true;
	}
	return false;
}

static void
update_address (const struct voter *voter, struct raft_config *config, bool *changed)
{
	for (int i = 0; i < config->count; i++) {
		struct raft_node *node = &config->nodes[i];
		const struct grant *grant = grants_find (&voter->grants, node->name);
		if (!grant || grant->poll.disk_id != node->id ||
			strcmp (grant->poll.address, node->address) == 0)
			continue;
		str_copy (node->address, sizeof (node->address), grant->poll.address);
		*changed = true;
		return;
	}
}

/* One change of the configuration at a time; the log refuses a second one. */
static void
manage_voters (struct voter *voter, int64_t now_us)
{
	struct raft_config config = voter->raft.config;
	bool changed = false;
	update_address (voter, &config, &changed);
	if (changed || remove_replaced (voter, &config, now_us) ||
		promote_learner (voter, &config, now_us) ||
		remove_silent_learner (voter, &config, now_us) ||
		add_learner (voter, &config, now_us) ||
		replace_silent_voter (voter, &config, now_us))
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
	propose_own (voter, &command, now_us);
	free (text);
}

static void
check_date (struct voter *voter, const struct resource *resource, int64_t now_us)
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
check_dates (struct voter *voter, int64_t now_us)
{
	if (voter->leave_check_us > now_us)
		return;
	voter->leave_check_us = now_us + LEAVE_CHECK_US;
	for (size_t i = 0; i < voter->state.resources.count; i++)
		check_date (voter, voter->state.resources.items[i], now_us);
}

void
voter_platform_leaving (struct voter *voter, const char *vm, int64_t now_us)
{
	if (voter->raft.role != RAFT_LEADER || voter->state.applied < voter->own_index)
		return;
	const struct resource *resource = resources_find (&voter->state.resources, RESOURCE_VM, vm);
	json_t *spec = resource ? json_loads (resource->spec, 0, NULL) : NULL;
	if (spec && !json_is_true (json_object_get (spec, "leaving")))
		propose_leaving (voter, resource, spec, "platform", now_us);
	json_decref (spec);
}

void
leader_tick (struct voter *voter, int64_t now_us)
{
	if (!raft_commit_is_current (&voter->raft) || voter->state.applied < voter->own_index)
		return;
	if (voter->controllers_us > now_us)
		return;
	voter->controllers_us = now_us + CONTROLLERS_US;
	grants_expire (&voter->grants, now_us, GRANT_KEEP_US);
	join_members (voter, now_us);
	remove_members (voter, now_us);
	manage_voters (voter, now_us);
	check_dates (voter, now_us);
}
