#include "control/membership.h"

#include "core/buf.h"

#include <string.h>

static int64_t
last_heard_us (const struct voter *voter, int at, int64_t now_us)
{
	if (voter->raft.config.nodes[at].id == voter->raft.id)
		return now_us;
	return voter->raft.progress[at].last_heard_us;
}

static bool
is_silent (const struct voter *voter, int at, int64_t for_us, int64_t now_us)
{
	return last_heard_us (voter, at, now_us) + for_us <= now_us;
}

/* The grant of a voter's node, whichever data folder it has now. */
static const struct grant *
find_node_grant (const struct voter *voter, const struct raft_node *node)
{
	return node->name[0] ? grants_find_name (&voter->grants, node->name)
			     : grants_find_address (&voter->grants, node->address);
}

/* Whether the VM of a voter or learner has returned with another disk; its old identity cannot. */
static bool
has_lost_disk (const struct voter *voter, int at, int64_t now_us)
{
	const struct raft_node *node = &voter->raft.config.nodes[at];
	const struct grant *grant = find_node_grant (voter, node);
	return grant && grant->poll.disk_id != 0 && grant->poll.disk_id != node->id &&
	       is_silent (voter, at, VOTER_OLD_DISK_TIMEOUT_US, now_us);
}

static bool
has_caught_up (const struct voter *voter, int at)
{
	return voter->raft.progress[at].match + RAFT_CATCH_UP_ENTRIES >=
	       raft_last_index (&voter->raft);
}

/* Position of a learner that may become a voter, or -1. */
static int
find_spare (const struct voter *voter, int64_t now_us)
{
	for (int i = 0; i < voter->raft.config.count; i++) {
		if (!voter->raft.config.nodes[i].voter && has_caught_up (voter, i) &&
			!is_silent (voter, i, voter->raft.times.election_timeout_us, now_us))
			return i;
	}
	return -1;
}

/* Position of a voter to replace, or -1: first one whose disk is lost, then a silent one. */
static int
find_failed_voter (const struct voter *voter, int64_t now_us)
{
	const struct raft_config *config = &voter->raft.config;
	for (int i = 0; i < config->count; i++) {
		if (config->nodes[i].voter && has_lost_disk (voter, i, now_us))
			return i;
	}
	for (int i = 0; i < config->count; i++) {
		if (config->nodes[i].voter &&
			is_silent (voter, i, voter->settings.replace_voter_after_us, now_us))
			return i;
	}
	return -1;
}

/* A voter that failed counts until its successor does. */
static bool
replace_voter (const struct voter *voter, struct raft_config *config, int64_t now_us)
{
	int failed = find_failed_voter (voter, now_us);
	int spare = find_spare (voter, now_us);
	if (failed < 0 || spare < 0)
		return false;
	raft_config_replace (config, failed, spare);
	return true;
}

static bool
promote_learner (const struct voter *voter, struct raft_config *config, int64_t now_us)
{
	int spare = find_spare (voter, now_us);
	if (spare < 0 || raft_voter_count (config) >= voter->settings.desired_voters)
		return false;
	config->nodes[spare].voter = true;
	return true;
}

static void
remove_node (struct raft_config *config, int at)
{
	for (int i = at; i + 1 < config->count; i++)
		config->nodes[i] = config->nodes[i + 1];
	config->count--;
}

/* Removes a learner that is silent or has lost its disk, so that another node can be added. */
static bool
remove_failed_learner (const struct voter *voter, struct raft_config *config, int64_t now_us)
{
	for (int i = 0; i < config->count; i++) {
		const struct grant *grant =
			grants_find_name (&voter->grants, config->nodes[i].name);
		bool silent = !grant || grant->last_heard_us + VOTER_LEARNER_TIMEOUT_US <= now_us;
		if (config->nodes[i].voter || !(silent || has_lost_disk (voter, i, now_us)))
			continue;
		remove_node (config, i);
		return true;
	}
	return false;
}

/* Voters and learners without those that are about to be replaced or removed. */
static int
count_usable (const struct voter *voter, int64_t now_us)
{
	const struct raft_config *config = &voter->raft.config;
	int count = 0;
	for (int i = 0; i < config->count; i++) {
		bool failed = has_lost_disk (voter, i, now_us) ||
			      (!config->nodes[i].voter &&
				      is_silent (voter, i, VOTER_MEMBER_TIMEOUT_US, now_us));
		count += !failed;
	}
	return count;
}

/* Keeps one node beyond the desired voters as a learner, to replace a lost voter. */
static bool
add_learner (const struct voter *voter, struct raft_config *config, int64_t now_us)
{
	if (count_usable (voter, now_us) > voter->settings.desired_voters ||
		config->count >= RAFT_MAX_NODES)
		return false;
	for (int i = 0; i < voter->grants.count; i++) {
		const struct grant *grant = &voter->grants.items[i];
		const struct poll *poll = &grant->poll;
		bool known = raft_find_node (&voter->raft, poll->disk_id) != NULL;
		if (grant->superseded || poll->disk_id == 0 || poll->leaving || known ||
			grant->last_heard_us + VOTER_MEMBER_TIMEOUT_US < now_us)
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

/* A voter of the first configuration gets its name once its node polls. */
static bool
name_voter (const struct voter *voter, struct raft_config *config)
{
	for (int i = 0; i < config->count; i++) {
		struct raft_node *node = &config->nodes[i];
		const struct grant *grant =
			node->name[0] ? NULL : grants_find_disk (&voter->grants, node->id);
		if (!grant || grant->poll.name[0] == '\0')
			continue;
		str_copy (node->name, sizeof (node->name), grant->poll.name);
		return true;
	}
	return false;
}

static bool
update_address (const struct voter *voter, struct raft_config *config)
{
	for (int i = 0; i < config->count; i++) {
		struct raft_node *node = &config->nodes[i];
		const struct grant *grant = grants_find_name (&voter->grants, node->name);
		if (!grant || grant->poll.disk_id != node->id ||
			strcmp (grant->poll.address, node->address) == 0)
			continue;
		str_copy (node->address, sizeof (node->address), grant->poll.address);
		return true;
	}
	return false;
}

bool
membership_find_change (const struct voter *voter, struct raft_config *config, int64_t now_us)
{
	if (raft_config_is_joint (config)) {
		raft_config_complete (config);
		return true;
	}
	return update_address (voter, config) || name_voter (voter, config) ||
	       promote_learner (voter, config, now_us) || replace_voter (voter, config, now_us) ||
	       remove_failed_learner (voter, config, now_us) || add_learner (voter, config, now_us);
}
