#include "daemon/control.h"

#include "core/metrics.h"
#include "daemon/front.h"
#include "daemon/platform.h"
#include "daemon/worker.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>

enum control_mail {
	CONTROL_WIRE,
	CONTROL_PROPOSE,
	CONTROL_CHANGE,
	CONTROL_READ,
	CONTROL_ROSTER,
	CONTROL_CALL
};

enum { ELECTION_US = 300000, HEARTBEAT_US = 75000, STORE_EXIT = 3 };

struct wire_mail {
	struct mail mail;
	struct route from;
	struct wire wire;
};

struct propose_mail {
	struct mail mail;
	uint64_t request;
	enum command_kind kind;
	void *data;
	size_t len;
};

struct roster_mail {
	struct mail mail;
	void *data;
	size_t len;
};

struct call_mail {
	struct mail mail;
	void (*run) (struct control *control, void *arg);
	void *arg;
	bool done;
	pthread_mutex_t lock;
	pthread_cond_t cond;
};

static int64_t
now (const struct control *control)
{
	return clock_now_us (&control->node->clock);
}

static bool
leads (const struct control *control)
{
	return control->has_voter && control->voter.raft.role == RAFT_LEADER;
}

static void
send_proposal (struct control *control, struct proposal *proposal)
{
	struct follower *follower = &control->follower;
	const char *address = control->leader;
	proposal->sent_us = now (control);
	if (leads (control))
		address = control->node->options.node_peer_address;
	if (address[0] == '\0') {
		if (follower->voter_count == 0)
			return;
		address = follower->voters[control->next_voter++ % follower->voter_count];
	}
	struct route route = route_to_address (address);
	struct wire wire = {.kind = WIRE_PROPOSE};
	wire.u.propose.id = proposal->id;
	wire.u.propose.data = xmemdup (proposal->data, proposal->len);
	wire.u.propose.len = proposal->len;
	outbox_add (&follower->outbox, &route, &wire);
}

static void
finish_change (struct control_change *change, bool answered, struct propose_reply *reply)
{
	pthread_mutex_lock (&change->lock);
	change->answered = answered;
	if (reply) {
		change->reply = *reply;
		reply->body = NULL;
	}
	change->done = true;
	pthread_cond_signal (&change->cond);
	pthread_mutex_unlock (&change->lock);
}

static void
free_proposal (struct proposal *proposal)
{
	cds_list_del (&proposal->node);
	free (proposal->data);
	free (proposal);
}

static void
finish_proposal (struct control *control, struct proposal *proposal, struct propose_reply *reply)
{
	if (proposal->waiter) {
		finish_change (proposal->waiter, true, reply);
	} else {
		struct worker *worker = node_worker_of_request (control->node, proposal->request);
		struct claimed_mail *mail = xcalloc (1, sizeof (*mail));
		mail->mail.kind = WORKER_CLAIMED;
		mail->request = proposal->request;
		mail->reply = *reply;
		reply->body = NULL;
		mailbox_post (&worker->mailbox, &mail->mail);
	}
	free_proposal (proposal);
}

static void
receive_propose_reply (struct control *control, struct propose_reply *reply)
{
	struct proposal *proposal;
	struct proposal *next;
	cds_list_for_each_entry_safe (proposal, next, &control->proposals, node) {
		if (proposal->id != reply->id)
			continue;
		if (reply->status != PROPOSE_NOT_LEADER) {
			finish_proposal (control, proposal, reply);
			return;
		}
		bool news = strcmp (control->leader, reply->leader) != 0;
		str_copy (control->leader, sizeof (control->leader), reply->leader);
		if (news && reply->leader[0] != '\0')
			send_proposal (control, proposal);
		return;
	}
}

static void
retry_proposals (struct control *control)
{
	struct proposal *proposal;
	struct proposal *next;
	int64_t now_us = now (control);
	cds_list_for_each_entry_safe (proposal, next, &control->proposals, node) {
		if (proposal->until_us <= now_us) {
			if (proposal->waiter)
				finish_change (proposal->waiter, false, NULL);
			free_proposal (proposal);
		} else if (proposal->sent_us + CONTROL_PROPOSE_RETRY_US <= now_us) {
			control->leader[0] = '\0';
			send_proposal (control, proposal);
		}
	}
}

/* One proposal at a time stands for a once-only request; a repeat of it changes nothing. */
static bool
is_proposed (const struct control *control, uint64_t request, enum command_kind kind)
{
	const struct proposal *proposal;
	cds_list_for_each_entry (proposal, &control->proposals, node) {
		if (request != 0 && proposal->request == request && proposal->kind == kind)
			return true;
	}
	return false;
}

static struct proposal *
add_proposal (
	struct control *control, uint64_t request, enum command_kind kind, void *data, size_t len)
{
	struct proposal *proposal = xcalloc (1, sizeof (*proposal));
	proposal->id = ++control->proposal_id;
	proposal->request = request;
	proposal->kind = kind;
	proposal->data = data;
	proposal->len = len;
	proposal->until_us = now (control) + CONTROL_PROPOSE_KEEP_US;
	cds_list_add_tail (&proposal->node, &control->proposals);
	return proposal;
}

static void
publish (struct control *control)
{
	struct node *node = control->node;
	const struct state *state = &control->follower.state;
	struct view *view = view_new (
		&state->resources, &state->members, state->applied, state->epoch, &node->hints);
	for (int i = 0; i < node->worker_count; i++) {
		struct view_mail *mail = xcalloc (1, sizeof (*mail));
		mail->mail.kind = WORKER_VIEW;
		mail->view = view;
		view_ref (view);
		mailbox_post (&node->workers[i].mailbox, &mail->mail);
	}
	node_view_publish (node, view);
	if (node->options.front_address[0])
		front_post_state (node->front, state);
	log_event (&control->log, EVENT_RESOURCE_CHANGED, "revision %llu, epoch %llu, %d members",
		(unsigned long long)state->applied, (unsigned long long)state->epoch,
		view->member_count);
}

static void
finish_read (struct control_read *read, const struct state_routing *routing)
{
	cds_list_del (&read->node);
	pthread_mutex_lock (&read->lock);
	if (routing) {
		read->confirmed = true;
		read->routing = *routing;
		if (routing->document)
			read->routing.document = xstrdup (routing->document);
	}
	read->done = true;
	pthread_cond_signal (&read->cond);
	pthread_mutex_unlock (&read->lock);
}

/* A reply to a poll that began after the question carries all that was accepted before it. */
static void
answer_reads (struct control *control, const struct poll_reply *reply)
{
	struct control_read *read;
	struct control_read *next;
	const struct state *state = &control->follower.state;
	if (!reply->granted || state->applied != reply->revision)
		return;
	cds_list_for_each_entry_safe (read, next, &control->reads, node) {
		if (reply->seq >= read->need_seq)
			finish_read (read, &state->routing);
	}
}

static void
expire_reads (struct control *control)
{
	struct control_read *read;
	struct control_read *next;
	int64_t now_us = now (control);
	cds_list_for_each_entry_safe (read, next, &control->reads, node) {
		if (read->until_us <= now_us)
			finish_read (read, NULL);
	}
}

static void
receive_poll_reply (struct control *control, const struct poll_reply *reply)
{
	struct follower *follower = &control->follower;
	int64_t now_us = now (control);
	bool changed = follower_receive (follower, reply, now_us);
	if (changed) {
		publish (control);
		follower_poll_soon (follower, now_us);
	}
	answer_reads (control, reply);
	if (control->node->options.front_address[0] && follower->roster.stamp != 0)
		front_post_roster (control->node->front, &follower->roster);
	atomic_store (&control->node->settled, follower->settled);
	control->granted_us = follower->lease_until_us;
	control->granted_revision = control->node->view ? control->node->view->revision : 0;
}

/* A lease takes effect only once every worker follows the view that it was given with. */
static void
update_lease (struct control *control)
{
	struct node *node = control->node;
	struct follower *follower = &control->follower;
	uint64_t acting = UINT64_MAX;
	uint64_t released = UINT64_MAX;
	uint32_t leaving_work = 0;
	for (int i = 0; i < node->worker_count; i++) {
		uint64_t one = atomic_load (&node->workers[i].reconciled);
		acting = one < acting ? one : acting;
		one = atomic_load (&node->workers[i].released);
		released = one < released ? one : released;
		leaving_work += atomic_load (&node->workers[i].leaving_work);
	}
	int64_t now_us = now (control);
	bool moved = follower->acting != acting || follower->released != released;
	follower->acting = acting;
	follower->released = released;
	follower->leaving_work = leaving_work;
	if (moved)
		follower_poll_soon (follower, now_us);
	int64_t until_us = atomic_load (&node->lease_until_us);
	if (control->granted_us > until_us && acting >= control->granted_revision) {
		if (until_us <= now_us)
			atomic_fetch_add (&node->lease_generation, 1);
		atomic_store (&node->lease_until_us, control->granted_us);
	}
	bool has_lease = node_has_lease (node);
	if (has_lease != control->had_lease)
		log_event (&control->log, has_lease ? EVENT_LEASE_GAINED : EVENT_LEASE_LOST,
			"revision %llu", (unsigned long long)follower->state.applied);
	control->had_lease = has_lease;
}

static void
handle_wire (struct control *control, struct wire_mail *mail)
{
	switch (mail->wire.kind) {
	case WIRE_POLL_REPLY:
		receive_poll_reply (control, &mail->wire.u.poll_reply);
		break;
	case WIRE_PROPOSE_REPLY:
		receive_propose_reply (control, &mail->wire.u.propose_reply);
		break;
	case WIRE_RAFT:
	case WIRE_POLL:
	case WIRE_RELAY:
	case WIRE_RELAY_REPLY:
	case WIRE_PROPOSE:
		if (control->has_voter)
			voter_receive (&control->voter, &mail->from, &mail->wire, now (control));
		break;
	case WIRE_KINDS:
		break;
	}
	wire_finish (&mail->wire);
	free (mail);
}

static void
handle_propose (struct control *control, struct propose_mail *mail)
{
	if (is_proposed (control, mail->request, mail->kind))
		free (mail->data);
	else
		send_proposal (control,
			add_proposal (control, mail->request, mail->kind, mail->data, mail->len));
	free (mail);
}

static void
handle_change (struct control *control, struct control_change *change)
{
	size_t len = 0;
	void *data = command_encode (change->command, &len);
	struct proposal *proposal = add_proposal (control, 0, COMMAND_CHANGE, data, len);
	proposal->waiter = change;
	proposal->until_us = now (control) + change->wait_us;
	send_proposal (control, proposal);
}

static void
handle_read (struct control *control, struct control_read *read)
{
	read->need_seq = control->follower.seq + 1;
	read->until_us = now (control) + CONTROL_ORDER_US;
	cds_list_add_tail (&read->node, &control->reads);
	follower_poll_soon (&control->follower, now (control));
}

static void
handle_roster (struct control *control, struct roster_mail *mail)
{
	if (control->has_voter)
		voter_roster_read (&control->voter, mail->data, mail->len, now (control));
	free (mail->data);
	free (mail);
}

static void
handle_call (struct control *control, struct call_mail *call)
{
	call->run (control, call->arg);
	pthread_mutex_lock (&call->lock);
	call->done = true;
	pthread_cond_signal (&call->cond);
	pthread_mutex_unlock (&call->lock);
}

static void
handle_mail (struct control *control, struct mail *mail)
{
	switch ((enum control_mail)mail->kind) {
	case CONTROL_WIRE:
		handle_wire (control, caa_container_of (mail, struct wire_mail, mail));
		return;
	case CONTROL_PROPOSE:
		handle_propose (control, caa_container_of (mail, struct propose_mail, mail));
		return;
	case CONTROL_CHANGE:
		handle_change (control, caa_container_of (mail, struct control_change, mail));
		return;
	case CONTROL_READ:
		handle_read (control, caa_container_of (mail, struct control_read, mail));
		return;
	case CONTROL_ROSTER:
		handle_roster (control, caa_container_of (mail, struct roster_mail, mail));
		return;
	case CONTROL_CALL:
		handle_call (control, caa_container_of (mail, struct call_mail, mail));
		return;
	}
}

/* What a failed sync left on the disk is not known, so the process ends rather than go on. */
static void
save_or_die (struct control *control)
{
	struct error error = {0};
	metric_add (METRIC_CONTROL_SYNCS, 1);
	if (store_save (&control->store, &control->voter.raft, &error))
		return;
	log_event (&control->log, EVENT_STORE_FAILED, "%s", error.message);
	_exit (STORE_EXIT);
}

static void
send_outbox (struct control *control, struct cds_list_head *outbox)
{
	struct outgoing *outgoing;
	while ((outgoing = outbox_take (outbox))) {
		size_t len = 0;
		void *data = wire_encode (&outgoing->wire, &len);
		metric_add (METRIC_CONTROL_SENT_BYTES, len);
		peer_send (&control->node->peer, &outgoing->route, PEER_CONTROL, data, len);
		free (data);
		wire_finish (&outgoing->wire);
		free (outgoing);
	}
}

static void
note_voter_changes (struct control *control)
{
	const struct raft *raft = &control->voter.raft;
	int voters = raft_voter_count (&raft->config);
	if (leads (control) != control->was_leader)
		log_event (&control->log,
			leads (control) ? EVENT_LEADER_ELECTED : EVENT_LEADER_LOST, "term %llu",
			(unsigned long long)raft->term);
	if (voters != control->last_voters)
		log_event (&control->log,
			voters > control->last_voters ? EVENT_VOTER_ADDED : EVENT_VOTER_REMOVED,
			"%d voters", voters);
	control->was_leader = leads (control);
	if (control->node->front)
		atomic_store (&control->node->front->leads, leads (control));
	control->last_voters = voters;
}

static void
step_voter (struct control *control)
{
	struct voter *voter = &control->voter;
	int64_t now_us = now (control);
	voter_tick (voter, now_us, clock_wall_ms (&control->node->clock));
	voter_step (voter, now_us);
	while (raft_unsaved (&voter->raft)) {
		save_or_die (control);
		voter_saved (voter, now_us);
	}
	if (voter_compact (voter)) {
		save_or_die (control);
		voter_saved (voter, now_us);
		log_event (&control->log, EVENT_SNAPSHOT_SAVED, "index %llu",
			(unsigned long long)voter->raft.base);
	}
	send_outbox (control, &voter->outbox);
	note_voter_changes (control);
}

static int64_t
thread_cpu_us (void)
{
	struct timespec ts;
	clock_gettime (CLOCK_THREAD_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

static void *
run (void *arg)
{
	struct control *control = arg;
	int64_t cpu_us = 0;
	rcu_register_thread ();
	while (!atomic_load (&control->stop)) {
		struct pollfd fd = {.fd = control->mailbox.event_fd, .events = POLLIN};
		struct mail *mail;
		poll (&fd, 1, CONTROL_TICK_MS);
		mailbox_clear (&control->mailbox);
		while ((mail = mailbox_take (&control->mailbox)))
			handle_mail (control, mail);
		retry_proposals (control);
		expire_reads (control);
		update_lease (control);
		follower_tick (&control->follower, now (control));
		send_outbox (control, &control->follower.outbox);
		if (control->has_voter) {
			platform_check (control);
			step_voter (control);
		}
		int64_t spent_us = thread_cpu_us ();
		metric_add (METRIC_CONTROL_CPU_US, (uint64_t)(spent_us - cpu_us));
		cpu_us = spent_us;
	}
	rcu_unregister_thread ();
	return NULL;
}

void
control_post_wire (struct control *control, const struct route *from, struct wire *wire)
{
	struct wire_mail *mail = xcalloc (1, sizeof (*mail));
	mail->mail.kind = CONTROL_WIRE;
	mail->from = *from;
	mail->wire = *wire;
	mailbox_post (&control->mailbox, &mail->mail);
}

void
control_post_roster (struct control *control, void *data, size_t len)
{
	struct roster_mail *mail = xcalloc (1, sizeof (*mail));
	mail->mail.kind = CONTROL_ROSTER;
	mail->data = data;
	mail->len = len;
	mailbox_post (&control->mailbox, &mail->mail);
}

void
control_propose (struct control *control, const struct command *command, uint64_t request)
{
	struct propose_mail *mail = xcalloc (1, sizeof (*mail));
	mail->mail.kind = CONTROL_PROPOSE;
	mail->request = request;
	mail->kind = command->kind;
	mail->data = command_encode (command, &mail->len);
	mailbox_post (&control->mailbox, &mail->mail);
}

static bool
wait_for_change (struct control *control, struct command *command, int64_t wait_us,
	struct propose_reply *reply)
{
	struct control_change change = {.command = command, .wait_us = wait_us};
	change.mail.kind = CONTROL_CHANGE;
	pthread_mutex_init (&change.lock, NULL);
	pthread_cond_init (&change.cond, NULL);
	mailbox_post (&control->mailbox, &change.mail);
	pthread_mutex_lock (&change.lock);
	while (!change.done)
		pthread_cond_wait (&change.cond, &change.lock);
	pthread_mutex_unlock (&change.lock);
	pthread_cond_destroy (&change.cond);
	pthread_mutex_destroy (&change.lock);
	*reply = change.reply;
	return change.answered && reply->status == PROPOSE_APPLIED;
}

bool
control_change (struct control *control, struct command *command, struct propose_reply *reply,
	struct error *error)
{
	if (wait_for_change (control, command, CONTROL_PROPOSE_KEEP_US, reply))
		return true;
	return error_set (error, ERROR_UNAVAILABLE,
		"no leader confirmed the change in time; it may have been accepted: resend it with "
		"the same change id");
}

bool
control_order (struct control *control, struct command *command, struct error *error)
{
	struct propose_reply reply = {0};
	bool accepted = wait_for_change (control, command, CONTROL_ORDER_US, &reply);
	free (reply.body);
	if (accepted)
		return true;
	return error_set (error, ERROR_UNAVAILABLE,
		"no majority confirmed the order in time; it may have been accepted: send it "
		"again, to any node");
}

bool
control_read_routing (struct control *control, struct state_routing *routing, struct error *error)
{
	struct control_read read = {0};
	read.mail.kind = CONTROL_READ;
	pthread_mutex_init (&read.lock, NULL);
	pthread_cond_init (&read.cond, NULL);
	mailbox_post (&control->mailbox, &read.mail);
	pthread_mutex_lock (&read.lock);
	while (!read.done)
		pthread_cond_wait (&read.cond, &read.lock);
	pthread_mutex_unlock (&read.lock);
	pthread_cond_destroy (&read.cond);
	pthread_mutex_destroy (&read.lock);
	*routing = read.routing;
	if (read.confirmed)
		return true;
	return error_set (error, ERROR_UNAVAILABLE,
		"no majority confirmed which routing is the newest; ask another node");
}

void
control_call (struct control *control, void (*run_call) (struct control *, void *), void *arg)
{
	struct call_mail call = {.run = run_call, .arg = arg};
	call.mail.kind = CONTROL_CALL;
	pthread_mutex_init (&call.lock, NULL);
	pthread_cond_init (&call.cond, NULL);
	mailbox_post (&control->mailbox, &call.mail);
	pthread_mutex_lock (&call.lock);
	while (!call.done)
		pthread_cond_wait (&call.cond, &call.lock);
	pthread_mutex_unlock (&call.lock);
	pthread_cond_destroy (&call.cond);
	pthread_mutex_destroy (&call.lock);
}

static void
set_leaving (struct control *control, void *arg)
{
	const bool *gone = arg;
	control->follower.leaving = true;
	control->follower.gone = *gone;
	follower_poll_soon (&control->follower, now (control));
}

void
control_set_leaving (struct control *control, bool gone)
{
	control_call (control, set_leaving, &gone);
}

/* Appends a peer address as it is reached: with control.peer_port where one is set. */
static void
add_seed (struct buf *out, const struct options *options, const char *at, size_t len)
{
	size_t host = strcspn (at, ":, ");
	if (options->control_peer_port > 0)
		buf_addf (out, "%.*s:%d", (int)host, at, (int)options->control_peer_port);
	else
		buf_addf (out, "%.*s", (int)len, at);
}

/* On the first start of the whole system its first seed starts the log; the others join it. */
static bool
is_first_seed (const struct options *options)
{
	struct buf first;
	const char *at = options->control_peers + strspn (options->control_peers, ", ");
	buf_init (&first);
	add_seed (&first, options, at, strcspn (at, ", "));
	bool own = options->control_bootstrap != 0 &&
		   strcmp (first.data, options->node_peer_address) == 0;
	buf_finish (&first);
	return own;
}

/* The addresses to poll at first: this node's own, when it votes, and the seeds. */
static void
set_seeds (struct control *control, const struct options *options)
{
	struct buf out;
	buf_init (&out);
	buf_addf (&out, "%s,", control->has_voter ? options->node_peer_address : "");
	const char *at = options->control_peers;
	while (*at) {
		at += strspn (at, ", ");
		size_t len = strcspn (at, ", ");
		if (len > 0) {
			add_seed (&out, options, at, len);
			buf_addf (&out, ",");
		}
		at += len;
	}
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
	struct raft_times times = {.election_us = ELECTION_US, .heartbeat_us = HEARTBEAT_US};
	struct voter_settings settings = {
		.lease_us = options->control_lease_ms * US_PER_MS,
		.voters_wanted = (int)options->control_voters,
		.compact_entries = (uint64_t)options->control_compact_entries,
		.replace_us = options->control_replace_ms * US_PER_MS,
	};
	settings.voters_least = seed_count (options);
	if (settings.voters_least > settings.voters_wanted)
		settings.voters_least = settings.voters_wanted;
	if (!store_open (&control->store, options->control_data_dir, error))
		return false;
	str_copy (settings.name, sizeof (settings.name), options->node_name);
	str_copy (settings.address, sizeof (settings.address), options->node_peer_address);
	settings.disk_id = control->store.disk_id;
	voter_init (&control->voter, &settings, &times, node->incarnation, now (control));
	if (!store_load (&control->store, &control->voter.raft, error))
		return false;
	if (control->store.torn)
		log_event (&control->log, EVENT_LOG_TAIL_CUT, "%s", options->control_data_dir);
	if (!voter_restore_state (&control->voter))
		return error_set (error, ERROR_DAMAGED,
			"%.160s/snapshot: cannot be read; move the folder away and restart",
			options->control_data_dir);
	bool empty = raft_last_index (&control->voter.raft) == 0 && control->voter.raft.term == 0;
	if (bootstrap && !empty)
		return error_set (error, ERROR_CONFIG,
			"--bootstrap: the data folder %.120s is in use already; start without it",
			options->control_data_dir);
	if (bootstrap || (empty && is_first_seed (options)))
		raft_bootstrap (
			&control->voter.raft, options->node_name, options->node_peer_address);
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
		.seeds = control->seeds,
	};
	set_seeds (control, options);
	struct poll *self = &settings.self;
	str_copy (self->name, sizeof (self->name), options->node_name);
	str_copy (self->data_centre, sizeof (self->data_centre), options->node_data_center);
	str_copy (self->address, sizeof (self->address), options->node_peer_address);
	self->incarnation = control->node->incarnation;
	self->entry = options->front_address[0] != '\0';
	self->disk_id = control->has_voter ? control->store.disk_id : 0;
	follower_init (&control->follower, &settings, now (control));
}

struct peers_call {
	const struct options *options;
};

static void
change_peers (struct control *control, void *arg)
{
	const struct peers_call *call = arg;
	set_seeds (control, call->options);
	follower_seeds_changed (&control->follower);
}

void
control_set_peers (struct control *control, const struct options *options)
{
	struct peers_call call = {options};
	control_call (control, change_peers, &call);
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
		return error_set (error, ERROR_IO, "no file descriptor is left; raise the limit");
	if (node->options.control_data_dir[0] && !start_voter (control, bootstrap, error))
		return false;
	if (bootstrap && !control->has_voter)
		return error_set (
			error, ERROR_CONFIG, "--bootstrap needs control.data_dir; set it");
	start_follower (control);
	return true;
}

bool
control_run (struct control *control, struct error *error)
{
	if (pthread_create (&control->thread, NULL, run, control) != 0)
		return error_set (error, ERROR_IO, "no thread can be started; raise the limit");
	return true;
}

void
control_stop (struct control *control)
{
	atomic_store (&control->stop, true);
	pthread_join (control->thread, NULL);
	follower_finish (&control->follower);
	if (control->has_voter) {
		voter_finish (&control->voter);
		store_close (&control->store);
	}
	mailbox_finish (&control->mailbox);
}
