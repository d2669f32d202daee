/**
 * @file proposals.h
 * Proposals that wait for an answer of the leader, and reads that wait for a majority to confirm
 * them. Messages go to the follower's outbox. Control thread only.
 */
#pragma once

#include "daemon/control.h"

/** True when this node is the leader of the control log. */
bool
control_is_leader (const struct control *control);

/** The current time of the node's clock. */
int64_t
control_now_us (const struct control *control);

/** Adds a proposal, which is kept until it is answered or expires; takes over the data. */
struct proposal *
proposal_add (
	struct control *control, uint64_t request, enum command_kind kind, void *data, size_t len);

/** Sends a proposal to the leader, or to some voter while the leader is unknown. */
void
proposal_send (struct control *control, struct proposal *proposal);

/** True when a proposal of this kind is already waiting for an at-most-once request. */
bool
proposal_exists (const struct control *control, uint64_t request, enum command_kind kind);

/** Handles a reply to a proposal: its result, or the address of another leader. */
void
proposals_handle_reply (struct control *control, struct propose_reply *reply);

/** Resends proposals without an answer and drops those that have expired. */
void
proposals_retry (struct control *control);

/** Completes the reads that began before the poll which this reply answers. */
void
reads_complete (struct control *control, const struct poll_reply *reply);

/** Ends the reads that no majority confirmed in time. */
void
reads_expire (struct control *control);
