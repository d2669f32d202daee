/**
 * @file mailbox.h
 * A wait-free queue from any number of threads to one thread, which polls a file descriptor.
 */
#pragma once

#include <urcu/wfcqueue.h>

/** The header of a message; the first member of each posted struct. */
struct mail {
	struct cds_wfcq_node node;
	int kind; /**< type of the message, defined by the receiving thread */
};

struct mailbox {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int event_fd; /**< readable while the queue has mail */
};

/** @return false if no file descriptor is available. */
int
mailbox_init (struct mailbox *mailbox);
void
mailbox_finish (struct mailbox *mailbox);

/** Posts mail from any thread and transfers its ownership to the receiver. */
void
mailbox_post (struct mailbox *mailbox, struct mail *mail);

/** Wakes the receiving thread without mail, so that it sees a flag. */
void
mailbox_wake (struct mailbox *mailbox);

/** Resets the descriptor. Call it before mailbox_take; otherwise a wake-up may be lost. */
void
mailbox_clear (struct mailbox *mailbox);

/** Removes the oldest mail; returns NULL if there is none. Only for the receiving thread. */
struct mail *
mailbox_take (struct mailbox *mailbox);
