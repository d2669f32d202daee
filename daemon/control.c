#include "daemon/control.h"

#include "core/histogram.h"
#include "core/metrics.h"
#include "daemon/front.h"
#include "daemon/platform.h"
#include "daemon/proposals.h"
#include "daemon/worker.h"
#include "net/join.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>

enum control_mail {
	CONTROL_MESSAGE,
	CONTROL_PROPOSE,
	CONTROL_CHANGE,
	CONTROL_READ,
	CONTROL_ROSTER,
	CONTROL_CALL
};

/* Exit status after a failed write to the data folder. */
enum { EXIT_STORE_FAILED = 3 };

struct message_mail {
	struct mail mail;
	struct peer_route from;
	struct control_message message;
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
	int64_t read_us;
};

struct call_mail {
	struct mail mail;
	void (*run) (struct control *control, void *arg);
	void *arg;
	bool is_posted; /* nobody waits */
	struct completion completion;
};

static void
publish_view (struct control *control)
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
receive_poll_reply (struct control *control, const struct poll_reply *reply)
{
	struct follower *follower = &control->follower;
	int64_t now_us = control_now_us (control);
	if (reply->seq == follower->seq && follower->sent_us != 0)
		latency_observe (LATENCY_POLL, now_us - follower->sent_us);
	bool changed = follower_receive (follower, reply, now_us);
	atomic_store (&control->exit_acknowledged, follower->exit_acknowledged_seq > 0);
	if (changed) {
		publish_view (control);
		follower_poll_soon (follower, now_us);
	}
	reads_complete (control, reply);
	if (control->node->options.front_address[0] && reply->lease_granted)
		atomic_store (&control->node->front->view_confirmed_us, now_us);
	if (control->node->options.front_address[0] && follower->roster.stamp != 0)
		front_post_roster (control->node->front, &follower->roster);
	atomic_store (&control->node->settled_revision, follower->settled);
	control->pending_lease_until_us = follower->lease_until_us;
	control->pending_lease_revision = control->node->view ? control->node->view->revision : 0;
}

/*
 * Puts a granted lease into effect once the workers and the front follow the view that it was
 * granted with, and updates the revisions that the follower reports for them.
 */
static void
update_lease (struct control *control)
{
	struct node *node = control->node;
	struct follower *follower = &control->follower;
	uint64_t reconciled = UINT64_MAX;
	uint64_t released = UINT64_MAX;
	uint32_t leaving_work = 0;
	for (int i = 0; i < node->worker_count; i++) {
		uint64_t revision = atomic_load (&node->workers[i].reconciled);
		reconciled = revision < reconciled ? revision : reconciled;
		revision = atomic_load (&node->workers[i].released);
		released = revision < released ? revision : released;
		leaving_work += atomic_load (&node->workers[i].leaving_work);
	}
	if (node->options.front_address[0]) {
		uint64_t revision = atomic_load (&node->front->reconciled);
		reconciled = revision < reconciled ? revision : reconciled;
		follower->old_work = atomic_load (&node->front->rollouts.old_work);
		front_rollouts_report (&node->front->rollouts, &follower->rollouts, follower->seq);
		released = revision < released ? revision : released;
	}
	int64_t now_us = control_now_us (control);
	bool changed = follower->reconciled != reconciled || follower->released != released;
	follower->reconciled = reconciled;
	follower->released = released;
	follower->leaving_work = leaving_work;
	if (changed)
		follower_poll_soon (follower, now_us);
	int64_t until_us = atomic_load (&node->lease_until_us);
	if (control->pending_lease_until_us > until_us &&
		reconciled >= control->pending_lease_revision) {
		if (until_us <= now_us)
			atomic_fetch_add (&node->lease_generation, 1);
		atomic_store (&node->lease_until_us, control->pending_lease_until_us);
	}
	bool has_lease = node_has_lease (node);
	if (has_lease != control->had_lease)
		log_event (&control->log, has_lease ? EVENT_LEASE_GAINED : EVENT_LEASE_LOST,
			"revision %llu", (unsigned long long)follower->state.applied);
	control->had_lease = has_lease;
}

static void
handle_message (struct control *control, struct message_mail *mail)
{
	switch (mail->message.kind) {
	case CONTROL_MESSAGE_POLL_REPLY:
		receive_poll_reply (control, &mail->message.u.poll_reply);
		break;
	case CONTROL_MESSAGE_PROPOSE_REPLY:
		proposals_handle_reply (control, &mail->message.u.propose_reply);
		break;
	case CONTROL_MESSAGE_RAFT:
	case CONTROL_MESSAGE_POLL:
	case CONTROL_MESSAGE_RELAY:
	case CONTROL_MESSAGE_RELAY_REPLY:
	case CONTROL_MESSAGE_PROPOSE:
		if (control->has_voter && control->save_retry_us == 0)
			voter_receive (&control->voter, &mail->from, &mail->message,
				control_now_us (control));
		break;
	case CONTROL_MESSAGE_KIND_COUNT:
		break;
	}
	control_message_finish (&mail->message);
	free (mail);
}

static void
handle_propose (struct control *control, struct propose_mail *mail)
{
	if (proposal_exists (control, mail->request, mail->kind))
		free (mail->data);
	else
		proposal_send (control,
			proposal_add (control, mail->request, mail->kind, mail->data, mail->len));
	free (mail);
}

static void
handle_change (struct control *control, struct control_change *change)
{
	size_t len = 0;
	void *data = command_encode (change->command, &len);
	struct proposal *proposal = proposal_add (control, 0, COMMAND_CHANGE, data, len);
	proposal->waiter = change;
	proposal->expires_us = control_now_us (control) + change->timeout_us;
	proposal_send (control, proposal);
}

static void
handle_read (struct control *control, struct control_read *read)
{
	read->min_poll_seq = control->follower.seq + 1;
	read->expires_us = control_now_us (control) + CONTROL_ORDER_TIMEOUT_US;
	cds_list_add_tail (&read->node, &control->reads);
	follower_poll_soon (&control->follower, control_now_us (control));
}

static void
handle_roster (struct control *control, struct roster_mail *mail)
{
	if (control->has_voter)
		voter_set_roster (&control->voter, mail->data, mail->len, mail->read_us);
	free (mail->data);
	free (mail);
}

static void
handle_call (struct control *control, struct call_mail *call)
{
	call->run (control, call->arg);
	if (!call->is_posted) {
		completion_signal (&call->completion);
		return;
	}
	free (call->arg);
	free (call);
}

static void
handle_mail (struct control *control, struct mail *mail)
{
	switch ((enum control_mail)mail->kind) {
	case CONTROL_MESSAGE:
		handle_message (control, caa_container_of (mail, struct message_mail, mail));
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

/*
 * While the disk is full, the voter neither sends nor receives messages, as if it had no network.
 * After any other failure it is unknown what the sync left on the disk, so the process exits.
 */
static bool
save_log (struct control *control)
{
	struct error error = {0};
	int64_t now_us = control_now_us (control);
	metric_add (METRIC_CONTROL_SYNCS, 1);
	bool saved = store_save (&control->store, &control->voter.raft, &error);
	latency_observe (LATENCY_LOG_SYNC, control_now_us (control) - now_us);
	if (saved) {
		if (control->save_retry_us != 0)
			log_event (&control->log, EVENT_STORE_REGAINED, "%s", control->store.dir);
		control->save_retry_us = 0;
		voter_mark_saved (&control->voter, now_us);
		return true;
	}
	if (error.kind != ERROR_DISK_FULL) {
		log_event (&control->log, EVENT_STORE_FAILED, "%s", error.message);
		_exit (EXIT_STORE_FAILED);
	}
	if (control->save_retry_us == 0)
		log_event (&control->log, EVENT_STORE_FULL, "%s", error.message);
	control->save_retry_us = now_us + CONTROL_SAVE_RETRY_US;
	if (control->node->front)
		atomic_store (&control->node->front->is_leader, false);
	return false;
}

static bool
save_until_current (struct control *control)
{
	while (raft_needs_save (&control->voter.raft)) {
		if (!save_log (control))
			return false;
	}
	return true;
}

static void
send_outbox (struct control *control, struct cds_list_head *outbox)
{
	struct outgoing_message *outgoing;
	while ((outgoing = outbox_take (outbox))) {
		size_t len = 0;
		void *data = control_message_encode (&outgoing->message, &len);
		metric_add (METRIC_CONTROL_SENT_BYTES, len);
		peer_send (&control->node->peer, &outgoing->route, PEER_CONTROL, data, len);
		free (data);
		control_message_finish (&outgoing->message);
		free (outgoing);
	}
}

static void
log_rollout_decision (const struct control *control, const struct rollout_decision *decision)
{
	static const char *const names[] = {
		[ROLLOUT_WAIT] = "completed",
		[ROLLOUT_TOO_LITTLE] = "too few answers to judge",
		[ROLLOUT_UNSETTLED] = "bad answers just now, waits",
		[ROLLOUT_SHIFT] = "all requests go to it",
		[ROLLOUT_ROLL_BACK] = "rolled back",
	};
	const struct rollout_evidence *evidence = &decision->evidence;
	const struct rollout *rollout =
		rollouts_find (&control->voter.state.rollouts, decision->rollout);
	log_event (&control->log, EVENT_ROLLOUT_JUDGED,
		"%s of %s: %s; %u of %u answers bad, of the old version %u of %u, excess %d, "
		"roll-out %llu",
		rollout ? rollout->version : "?", rollout ? rollout->service : "?",
		names[decision->judgement], evidence->bad, evidence->answers, evidence->old_bad,
		evidence->old_answers, evidence->excess, (unsigned long long)decision->rollout);
}

static void
log_rollout_decisions (struct control *control)
{
	for (int i = 0; i < ROLLOUT_DECISIONS; i++) {
		struct rollout_decision *decision = &control->voter.rollout_decisions[i];
		if (decision->rollout != 0 && !decision->logged)
			log_rollout_decision (control, decision);
		decision->logged = true;
	}
}

static void
update_voter_status (struct control *control)
{
	const struct raft *raft = &control->voter.raft;
	int voters = raft_voter_count (&raft->config);
	if (control_is_leader (control) != control->was_leader)
		log_event (&control->log,
			control_is_leader (control) ? EVENT_LEADER_ELECTED : EVENT_LEADER_LOST,
			"term %llu", (unsigned long long)raft->term);
	if (control_is_leader (control) && !control->was_leader)
		metric_add (METRIC_ELECTIONS, 1);
	if (voters != control->logged_voter_count)
		log_event (&control->log,
			voters > control->logged_voter_count ? EVENT_VOTER_ADDED
							     : EVENT_VOTER_REMOVED,
			"%d voters", voters);
	control->was_leader = control_is_leader (control);
	if (control->node->front)
		atomic_store (&control->node->front->is_leader, control_is_leader (control));
	control->logged_voter_count = voters;
	log_rollout_decisions (control);
}

static void
run_voter (struct control *control)
{
	struct voter *voter = &control->voter;
	int64_t now_us = control_now_us (control);
	if (control->save_retry_us > now_us || !save_until_current (control))
		return;
	voter_tick (voter, now_us, clock_wall_ms (&control->node->clock));
	voter_step (voter, now_us);
	if (!save_until_current (control))
		return;
	if (voter_compact (voter)) {
		if (!save_log (control))
			return;
		log_event (&control->log, EVENT_SNAPSHOT_SAVED, "index %llu",
			(unsigned long long)voter->raft.snapshot_index);
	}
	send_outbox (control, &voter->outbox);
	update_voter_status (control);
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
	pthread_setname_np (pthread_self (), "control");
	rcu_register_thread ();
	while (!atomic_load (&control->stop)) {
		struct pollfd mail_event = {.fd = control->mailbox.event_fd, .events = POLLIN};
		struct mail *mail;
		poll (&mail_event, 1, CONTROL_TICK_MS);
		mailbox_clear (&control->mailbox);
		while ((mail = mailbox_take (&control->mailbox)))
			handle_mail (control, mail);
		proposals_retry (control);
		reads_expire (control);
		update_lease (control);
		follower_tick (&control->follower, control_now_us (control));
		send_outbox (control, &control->follower.outbox);
		if (control->has_voter) {
			platform_poll_vms (control);
			run_voter (control);
		}
		int64_t spent_us = thread_cpu_us ();
		metric_add (METRIC_CONTROL_CPU_US, (uint64_t)(spent_us - cpu_us));
		cpu_us = spent_us;
	}
	rcu_unregister_thread ();
	return NULL;
}

void
control_post_message (
	struct control *control, const struct peer_route *from, struct control_message *message)
{
	struct message_mail *mail = xcalloc (1, sizeof (*mail));
	mail->mail.kind = CONTROL_MESSAGE;
	mail->from = *from;
	mail->message = *message;
	mailbox_post (&control->mailbox, &mail->mail);
}

void
control_post_roster (struct control *control, void *data, size_t len, int64_t read_us)
{
	struct roster_mail *mail = xcalloc (1, sizeof (*mail));
	mail->mail.kind = CONTROL_ROSTER;
	mail->data = data;
	mail->len = len;
	mail->read_us = read_us;
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
wait_for_change (struct control *control, struct command *command, int64_t timeout_us,
	struct propose_reply *reply)
{
	struct control_change change = {.command = command, .timeout_us = timeout_us};
	change.mail.kind = CONTROL_CHANGE;
	completion_init (&change.completion);
	mailbox_post (&control->mailbox, &change.mail);
	completion_wait (&change.completion);
	*reply = change.reply;
	return change.answered && reply->status == PROPOSE_APPLIED;
}

bool
control_change (struct control *control, struct command *command, struct propose_reply *reply,
	struct error *error)
{
	if (wait_for_change (control, command, CONTROL_PROPOSE_TIMEOUT_US, reply))
		return true;
	return error_set (error, ERROR_UNAVAILABLE,
		"no leader confirmed the change in time; it may have been accepted: resend it with "
		"the same change id");
}

enum control_order_end
control_order (
	struct control *control, struct command *command, int64_t timeout_us, struct error *error)
{
	struct propose_reply reply = {0};
	bool applied = wait_for_change (control, command, timeout_us, &reply);
	free (reply.body);
	if (applied && reply.result.ok)
		return CONTROL_ORDER_ACCEPTED;
	error_set (error, ERROR_UNAVAILABLE,
		"no majority confirmed the order in time; it may have been accepted: send it "
		"again, to any node");
	if (!applied)
		return CONTROL_ORDER_UNCONFIRMED;
	if (reply.result.change.kind == ERROR_CONFLICT)
		return CONTROL_ORDER_CONFLICT;
	if (command->kind == COMMAND_DATA_CENTRE_LEAVING)
		command->u.leaving.revision = reply.result.change.version - 1;
	else if (command->kind == COMMAND_ROLLOUT_START)
		command->u.rollout.revision = reply.result.change.version - 1;
	else
		return CONTROL_ORDER_UNCONFIRMED;
	return CONTROL_ORDER_SUPERSEDED;
}

static void
read_local_routing (struct control *control, void *arg)
{
	struct state_routing *routing = arg;
	*routing = control->follower.state.routing;
	if (routing->document)
		routing->document = xmemdup (routing->document, routing->len);
}

void
control_local_routing (struct control *control, struct state_routing *routing)
{
	control_call (control, read_local_routing, routing);
}

struct revision_call {
	uint64_t at_least;
	uint64_t applied;
};

static void
read_revision (struct control *control, void *arg)
{
	struct revision_call *call = arg;
	call->applied = control->follower.state.applied;
	if (call->applied < call->at_least)
		follower_poll_soon (&control->follower, control_now_us (control));
}

uint64_t
control_revision (struct control *control, uint64_t at_least)
{
	struct revision_call call = {.at_least = at_least};
	control_call (control, read_revision, &call);
	return call.applied;
}

static void
wait_for_read (struct control *control, struct control_read *read)
{
	read->mail.kind = CONTROL_READ;
	completion_init (&read->completion);
	mailbox_post (&control->mailbox, &read->mail);
	completion_wait (&read->completion);
}

bool
control_read_rollout (
	struct control *control, const char *service, struct rollout *rollout, struct error *error)
{
	struct control_read read = {.service = service, .rollout = rollout};
	wait_for_read (control, &read);
	if (!read.confirmed)
		return error_set (error, ERROR_UNAVAILABLE,
			"no majority confirmed the state of the roll-out; ask another node");
	if (read.found)
		return true;
	return error_set (error, ERROR_NOT_FOUND, "the service has no roll-out; start one");
}

bool
control_read_routing (struct control *control, struct state_routing *routing, struct error *error)
{
	struct control_read read = {0};
	wait_for_read (control, &read);
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
	completion_init (&call.completion);
	mailbox_post (&control->mailbox, &call.mail);
	completion_wait (&call.completion);
}

void
control_post_call (struct control *control, void (*run_call) (struct control *, void *), void *arg)
{
	struct call_mail *call = xcalloc (1, sizeof (*call));
	call->run = run_call;
	call->arg = arg;
	call->is_posted = true;
	call->mail.kind = CONTROL_CALL;
	mailbox_post (&control->mailbox, &call->mail);
}

static void
set_leaving (struct control *control, void *arg)
{
	const bool *exiting = arg;
	control->follower.leaving = true;
	control->follower.exiting = *exiting;
	follower_poll_soon (&control->follower, control_now_us (control));
}

void
control_set_leaving (struct control *control, bool exiting)
{
	control_post_call (control, set_leaving, xmemdup (&exiting, sizeof (exiting)));
}

bool
control_run (struct control *control, struct error *error)
{
	if (pthread_create (&control->thread, NULL, run, control) != 0)
		return error_set (error, ERROR_IO, "cannot start a thread; raise the limit");
	return true;
}

bool
control_stop (struct control *control, int64_t until_us)
{
	atomic_store (&control->stop, true);
	mailbox_wake (&control->mailbox);
	if (!thread_join (control->thread, &control->node->clock, until_us))
		return false;
	follower_finish (&control->follower);
	if (control->has_voter) {
		voter_finish (&control->voter);
		store_close (&control->store);
	}
	/* The thread of the peer links may still post to the mailbox, which is left to the exit. */
	return true;
}
