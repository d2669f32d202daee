/**
 * @file mailbox.h
 * A wait-free queue into a thread that waits on a file descriptor.
 */
#pragma once

#include <urcu/wfcqueue.h>

/** Embedded first in whatever is posted. */
struct mail {
	struct cds_wfcq_node node;
	int kind; /**< the receiving thread's own enumeration */
};

struct mailbox {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int event_fd; /**< readable while mail waits */
};

/** @return false when no file descriptor can be had. */
int
mailbox_init (struct mailbox *mailbox);
void
mailbox_finish (struct mailbox *mailbox);

/** Posts mail from any thread; the receiver then owns it. */
void
mailbox_post (struct mailbox *mailbox, struct mail *mail);

/** Clears the descriptor; call before taking the mail. */
void
mailbox_clear (struct mailbox *mailbox);

/** Takes the oldest mail; NULL when none waits. Receiving thread only. */
struct mail *
mailbox_take (struct mailbox *mailbox);
