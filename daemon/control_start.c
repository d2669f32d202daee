#include "daemon/proposals.h"

#include <stdlib.h>
#include <string.h>

enum {
	ROLLBACK_POLLS = 10, /* polls of a node in the time in which a version is rolled back */
	ELECTION_TIMEOUT_US = 300000,
	HEARTBEAT_INTERVAL_US = 75000,
	/* Each voter joins within 1 s; operators resend the orders that are refused until then. */
	FORMATION_TIMEOUT_US = 8000000,
};

/* Appends the address of a seed, with control.peer_port as its port where one is set. */
static void
add_seed (struct buf *out, const struct options *options, const char *at, size_t len)
{
	size_t host = strcspn (at, ":, ");
	if (options->control_peer_port > 0)
		buf_addf (out, "%.*s:%d", (int)host, at, (int)options->control_peer_port);
	else
		buf_addf (out, "%.*s", (int)len, at);
}

static void
add_seeds (struct buf *out, const struct options *options)
{
	const char *at = options->control_peers;
	while (*at) {
		at += strspn (at, ", ");
		size_t len = strcspn (at, ", ");
		if (len > 0) {
			add_seed (out, options, at, len);
			buf_addf (out, ",");
		}
		at += len;
	}
}

/*
 * When the whole system starts for the first time, the seeds are the voters: any majority of them
 * elects a leader, and the others join it.
 */
static bool
start_as_seed (
	struct control *control, const struct options *options, int max_voters, struct error *error)
{
	struct buf seeds;
	struct raft_config config;
	struct raft *raft = &control->voter.raft;
	uint64_t id = voter_first_id (options->node_peer_address);
	bool is_seed = false;
	buf_init (&seeds);
	buf_add (&seeds, "", 0);
	add_seeds (&seeds, options);
	voter_first_config (seeds.data, max_voters, &config);
	buf_finish (&seeds);
	for (int i = 0; i < config.count; i++)
		is_seed = is_seed || config.nodes[i].id == id;
	if (!is_seed)
		return true;
	if (!store_set_identity (&control->store, id, error))
		return false;
	control->voter.settings.disk_id = id;
	raft->id = id;
	raft_bootstrap_config (raft, &config);
	return true;
}

/* Lists the addresses to poll first: this node's if it has a voter, and those of the seeds. */
static void
set_seeds (struct control *control, const struct options *options)
{
	struct buf out;
	buf_init (&out);
	buf_addf (&out, "%s,", control->has_voter ? options->node_peer_address : "");
	add_seeds (&out, options);
	str_copy (control->seeds, sizeof (control->seeds), out.data);
	buf_finish (&out);
}

static int
seed_count (const struct options *options)
{
	int count = options->control_peers[0] != '\0';
	for (const char *at = options->control_peers; *at; at++)
		count += *at == ',';
	return count;
}

static bool
start_voter (struct control *control, bool bootstrap, struct error *error)
{
	struct node *node = control->node;
	const struct options *options = &node->options;
	struct raft_times times = {.election_timeout_us = ELECTION_TIMEOUT_US,
		.heartbeat_interval_us = HEARTBEAT_INTERVAL_US};
	struct voter_settings settings = {
		.lease_us = options->control_lease_ms * US_PER_MS,
		.desired_voters = (int)options->control_voters,
		.compact_entries = (uint64_t)options->control_compact_entries,
		.exclusive_names = options->control_exclusive_names != 0,
		.replace_voter_after_us = options->control_replace_ms * US_PER_MS,
		.formation_timeout_us = FORMATION_TIMEOUT_US,
	};
	settings.min_voters = seed_count (options);
	if (options->control_losses > 0)
		settings.desired_voters = settings.formation_voters =
			voters_for_disk_losses ((int)options->control_losses);
	if (settings.min_voters > settings.desired_voters)
		settings.min_voters = settings.desired_voters;
	if (!store_open (&control->store, options->control_data_dir, error))
		return false;
	str_copy (settings.name, sizeof (settings.name), options->node_name);
	str_copy (settings.address, sizeof (settings.address), options->node_peer_address);
	settings.disk_id = control->store.disk_id;
	voter_init (
		&control->voter, &settings, &times, node->incarnation, control_now_us (control));
	if (!store_load (&control->store, &control->voter.raft, error))
		return false;
	if (control->store.log_tail_truncated)
		log_event (&control->log, EVENT_LOG_TAIL_CUT, "%s", options->control_data_dir);
	if (!voter_restore_state (&control->voter))
		return error_set (error, ERROR_DAMAGED,
			"%.160s/snapshot: cannot be read; move the folder away and restart",
			options->control_data_dir);
	bool empty = raft_last_index (&control->voter.raft) == 0 && control->voter.raft.term == 0;
	if (bootstrap && !empty)
		return error_set (error, ERROR_CONFIG,
			"--bootstrap: %.120s already contains a control log; start without it",
			options->control_data_dir);
	if (bootstrap)
		raft_bootstrap (
			&control->voter.raft, options->node_name, options->node_peer_address);
	else if (empty && options->control_bootstrap != 0 &&
		 !start_as_seed (control, options, settings.desired_voters, error))
		return false;
	control->has_voter = true;
	return true;
}

static void
start_follower (struct control *control)
{
	const struct options *options = &control->node->options;
	struct follower_settings settings = {
		.lease_us = options->control_lease_ms * US_PER_MS,
		.poll_us = options->control_poll_ms * US_PER_MS,
		.rollout_poll_us = options->control_rollback_ms * US_PER_MS / ROLLBACK_POLLS,
		.seeds = control->seeds,
	};
	set_seeds (control, options);
	struct poll *self = &settings.self;
	str_copy (self->name, sizeof (self->name), options->node_name);
	str_copy (self->data_centre, sizeof (self->data_centre), options->node_data_center);
	str_copy (self->address, sizeof (self->address), options->node_peer_address);
	self->incarnation = control->node->incarnation;
	self->is_entry_node = options->front_address[0] != '\0';
	self->disk_id = control->has_voter ? control->store.disk_id : 0;
	follower_init (&control->follower, &settings, control_now_us (control));
}

static void
change_peers (struct control *control, void *arg)
{
	const struct options *options = arg;
	set_seeds (control, options);
	follower_seeds_changed (&control->follower);
}

void
control_set_peers (struct control *control, const struct options *options)
{
	control_post_call (control, change_peers, xmemdup (options, sizeof (*options)));
}

bool
control_start (struct control *control, struct node *node, bool bootstrap, struct error *error)
{
	memset (control, 0, sizeof (*control));
	control->node = node;
	control->log = node->log;
	control->log.module = "control";
	CDS_INIT_LIST_HEAD (&control->proposals);
	CDS_INIT_LIST_HEAD (&control->reads);
	if (!mailbox_init (&control->mailbox))
		return error_set (error, ERROR_IO, "no free file descriptor; raise the limit");
	if (node->options.control_data_dir[0] && !start_voter (control, bootstrap, error))
		return false;
	if (bootstrap && !control->has_voter)
		return error_set (
			error, ERROR_CONFIG, "--bootstrap needs control.data_dir; set it");
	start_follower (control);
	return true;
}
