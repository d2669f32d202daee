/**
 * @file placement.h
 * Feeds the choice of targets with what their answers report, on the front's thread, and counts why
 * targets were chosen and how well completion times were estimated. See query/replica.h.
 */
#pragma once

#include "daemon/front.h"
#include "platform/replies.h"

/** Records the load that a reply reports. */
void
placement_note_report (struct replica *replica, const struct reply_head *head, int64_t now_us);

/** Records what an answered sub-request, which is about to end, has cost at its target. */
void
placement_note_answer (const struct front *front, const struct replica_use *use,
	struct routing_rule *rule, const struct reply_head *head, bool connected);

/** Counts why the target of a sub-request was selected. */
void
placement_count (const struct replica_use *use);

/** Appends the pace and work of a target and the reason for its selection, for a log line. */
void
placement_describe (const struct replica *replica, int64_t now_us, struct buf *out);
