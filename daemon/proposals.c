#include "daemon/proposals.h"

#include "daemon/worker.h"

#include <stdlib.h>
#include <string.h>

int64_t
control_now_us (const struct control *control)
{
	return clock_now_us (&control->node->clock);
}

bool
control_is_leader (const struct control *control)
{
	return control->has_voter && control->voter.raft.role == RAFT_LEADER;
}

void
proposal_send (struct control *control, struct proposal *proposal)
{
	struct follower *follower = &control->follower;
	const char *address = control->leader;
	proposal->sent_us = control_now_us (control);
	if (control_is_leader (control))
		address = control->node->options.node_peer_address;
	if (address[0] == '\0') {
		if (follower->voter_count == 0)
			return;
		address = follower->voters[control->next_voter++ % follower->voter_count];
	}
	struct peer_route route = peer_route_to_address (address);
	struct control_message message = {.kind = CONTROL_MESSAGE_PROPOSE};
	message.u.propose.id = proposal->id;
	message.u.propose.data = xmemdup (proposal->data, proposal->len);
	message.u.propose.len = proposal->len;
	outbox_add (&follower->outbox, &route, &message);
}

static void
finish_change (struct control_change *change, bool answered, struct propose_reply *reply)
{
	change->answered = answered;
	if (reply) {
		change->reply = *reply;
		reply->body = NULL;
	}
	completion_signal (&change->completion);
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
		struct worker *worker = node_worker_for_request (control->node, proposal->request);
		struct propose_reply_mail *mail = xcalloc (1, sizeof (*mail));
		mail->mail.kind = WORKER_PROPOSE_REPLY;
		mail->request = proposal->request;
		mail->reply = *reply;
		reply->body = NULL;
		mailbox_post (&worker->mailbox, &mail->mail);
	}
	free_proposal (proposal);
}

void
proposals_handle_reply (struct control *control, struct propose_reply *reply)
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
		bool changed = strcmp (control->leader, reply->leader) != 0;
		str_copy (control->leader, sizeof (control->leader), reply->leader);
		if (changed && reply->leader[0] != '\0')
			proposal_send (control, proposal);
		return;
	}
}

void
proposals_retry (struct control *control)
{
	struct proposal *proposal;
	struct proposal *next;
	int64_t now_us = control_now_us (control);
	cds_list_for_each_entry_safe (proposal, next, &control->proposals, node) {
		if (proposal->expires_us <= now_us) {
			if (proposal->waiter)
				finish_change (proposal->waiter, false, NULL);
			free_proposal (proposal);
		} else if (proposal->sent_us + CONTROL_PROPOSE_RETRY_US <= now_us) {
			control->leader[0] = '\0';
			proposal_send (control, proposal);
		}
	}
}

/* The state machine of a request repeats its proposals. While one waits, a repeat is not sent. */
bool
proposal_exists (const struct control *control, uint64_t request, enum command_kind kind)
{
	const struct proposal *proposal;
	cds_list_for_each_entry (proposal, &control->proposals, node) {
		if (request != 0 && proposal->request == request && proposal->kind == kind)
			return true;
	}
	return false;
}

struct proposal *
proposal_add (
	struct control *control, uint64_t request, enum command_kind kind, void *data, size_t len)
{
	struct proposal *proposal = xcalloc (1, sizeof (*proposal));
	proposal->id = ++control->last_proposal_id;
	proposal->request = request;
	proposal->kind = kind;
	proposal->data = data;
	proposal->len = len;
	proposal->expires_us = control_now_us (control) + CONTROL_PROPOSE_TIMEOUT_US;
	cds_list_add_tail (&proposal->node, &control->proposals);
	return proposal;
}

static void
finish_read (struct control_read *read, const struct state *state)
{
	cds_list_del (&read->node);
	read->confirmed = state != NULL;
	if (state && read->service) {
		const struct rollout *rollout = rollouts_newest (&state->rollouts, read->service);
		read->found = rollout != NULL;
		if (rollout)
			*read->rollout = *rollout;
	} else if (state) {
		const struct state_routing *routing = &state->routing;
		read->routing = *routing;
		if (routing->document)
			read->routing.document = xmemdup (routing->document, routing->len);
	}
	completion_signal (&read->completion);
}

/* If a poll was sent after a read began, its reply covers all changes accepted before the read. */
void
reads_complete (struct control *control, const struct poll_reply *reply)
{
	struct control_read *read;
	struct control_read *next;
	const struct state *state = &control->follower.state;
	if (!reply->lease_granted || state->applied != reply->revision)
		return;
	cds_list_for_each_entry_safe (read, next, &control->reads, node) {
		if (reply->seq >= read->min_poll_seq)
			finish_read (read, state);
	}
}

void
reads_expire (struct control *control)
{
	struct control_read *read;
	struct control_read *next;
	int64_t now_us = control_now_us (control);
	cds_list_for_each_entry_safe (read, next, &control->reads, node) {
		if (read->expires_us <= now_us)
			finish_read (read, NULL);
	}
}
