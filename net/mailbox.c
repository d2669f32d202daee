#include "net/mailbox.h"

#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

int
mailbox_init (struct mailbox *mailbox)
{
	cds_wfcq_init (&mailbox->head, &mailbox->tail);
	mailbox->event_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
	return mailbox->event_fd >= 0;
}

void
mailbox_finish (struct mailbox *mailbox)
{
	close (mailbox->event_fd);
	cds_wfcq_destroy (&mailbox->head, &mailbox->tail);
}

void
mailbox_wake (struct mailbox *mailbox)
{
	uint64_t one = 1;
	if (write (mailbox->event_fd, &one, sizeof (one)) < 0)
		return;
}

void
mailbox_post (struct mailbox *mailbox, struct mail *mail)
{
	cds_wfcq_node_init (&mail->node);
	bool was_nonempty = cds_wfcq_enqueue (&mailbox->head, &mailbox->tail, &mail->node);
	/* The receiver empties the queue after each wake-up, so only the first post wakes it. */
	if (!was_nonempty)
		mailbox_wake (mailbox);
}

void
mailbox_clear (struct mailbox *mailbox)
{
	uint64_t count = 0;
	if (read (mailbox->event_fd, &count, sizeof (count)) < 0)
		return;
}

struct mail *
mailbox_take (struct mailbox *mailbox)
{
	struct cds_wfcq_node *node = __cds_wfcq_dequeue_blocking (&mailbox->head, &mailbox->tail);
	return node ? caa_container_of (node, struct mail, node) : NULL;
}
