/**
 * @file proposals.h
 * What waits for the log: proposals on their way to the leader, and reads that a majority confirms.
 * Control thread only.
 */
#pragma once

#include "daemon/control.h"

/** True when this node leads the control log. */
bool
control_is_leader (const struct control *control);

/** Time as the control thread's decisions see it. */
int64_t
control_now_us (const struct control *control);

/** Keeps a proposal until it is answered; takes the data over. */
struct proposal *
proposal_add (
	struct control *control, uint64_t request, enum command_kind kind, void *data, size_t len);

/** Sends a proposal to the leader, or to a voter that may know it. */
void
proposal_send (struct control *control, struct proposal *proposal);

/**
 * True when a proposal of this kind stands for a once-only request already; a repeat of it would
 * change nothing.
 */
bool
proposal_exists (const struct control *control, uint64_t request, enum command_kind kind);

/** An answer came in. */
void
proposals_answer (struct control *control, struct propose_reply *reply);

/** Sends again what was not answered, and gives up what waited too long. */
void
proposals_retry (struct control *control);

/** Answers the reads whose question came before the poll that is answered here. */
void
reads_answer (struct control *control, const struct poll_reply *reply);

/** Gives up the reads that no majority confirmed in time. */
void
reads_expire (struct control *control);
