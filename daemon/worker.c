#include "daemon/worker.h"

#include "daemon/entry.h"
#include "daemon/owned.h"
#include "net/join.h"

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <urcu.h>

enum { EVENTS_PER_WAIT = 128, MAX_WAIT_MS = 100 };

struct blob *
blob_new (const char *data, size_t len)
{
	struct blob *blob = xmalloc (sizeof (*blob) + len + 1);
	atomic_init (&blob->refs, 1);
	blob->len = len;
	if (len)
		memcpy (blob->data, data, len);
	blob->data[len] = '\0';
	return blob;
}

void
blob_ref (struct blob *blob)
{
	atomic_fetch_add (&blob->refs, 1);
}

void
blob_unref (struct blob *blob)
{
	if (blob && atomic_fetch_sub (&blob->refs, 1) == 1)
		free (blob);
}

int64_t
worker_now_us (const struct worker *worker)
{
	return clock_now_us (&worker->node->clock);
}

void
worker_post_work (struct node *node, struct work_item *work)
{
	work->mail.kind = WORKER_WORK_ITEM;
	mailbox_post (&node_worker_for_target (node, work->target)->mailbox, &work->mail);
}

void
worker_post_reply (struct node *node, const struct sub_reply *reply)
{
	struct worker *worker = node_worker_for_request (node, reply->request);
	if (!worker)
		return;
	size_t len = reply->result.body_len;
	struct reply_mail *mail = xmalloc (sizeof (*mail) + len + 1);
	mail->mail.kind = WORKER_REPLY;
	mail->reply = *reply;
	if (len)
		memcpy (mail->data, reply->result.body, len);
	mail->data[len] = '\0';
	mail->reply.result.body = mail->data;
	mailbox_post (&worker->mailbox, &mail->mail);
}

void
worker_post_cancel (struct node *node, uint64_t origin_hash, uint64_t request,
	const uint32_t *attempts, int count)
{
	size_t size = (size_t)count * sizeof (uint32_t);
	for (int i = 0; i < node->worker_count; i++) {
		struct cancel_mail *mail = xmalloc (sizeof (*mail) + size);
		mail->mail.kind = WORKER_CANCEL;
		mail->origin_hash = origin_hash;
		mail->request = request;
		mail->count = count;
		memcpy (mail->attempts, attempts, size);
		mailbox_post (&node->workers[i].mailbox, &mail->mail);
	}
}

void
worker_run_request (struct node *node, struct request *request)
{
	static _Atomic unsigned request_count;
	unsigned worker = atomic_fetch_add (&request_count, 1) % (unsigned)node->worker_count;
	completion_init (&request->completion);
	request->mail.kind = WORKER_REQUEST;
	mailbox_post (&node->workers[worker].mailbox, &request->mail);
	completion_wait (&request->completion);
}

static void
handle_dump (struct worker *worker, struct dump_mail *mail)
{
	owned_dump (worker, mail->out);
	completion_signal (&mail->completion);
}

static void
handle_cancel (struct worker *worker, const struct cancel_mail *mail)
{
	for (int i = 0; i < mail->count; i++)
		owned_cancel (worker, mail->origin_hash, mail->request, mail->attempts[i]);
}

static void
handle_mail (struct worker *worker, struct mail *mail)
{
	switch ((enum worker_mail)mail->kind) {
	case WORKER_REQUEST:
		entry_start (worker, caa_container_of (mail, struct request, mail));
		return;
	case WORKER_WORK_ITEM:
		owned_submit (worker, caa_container_of (mail, struct work_item, mail));
		return;
	case WORKER_REPLY:
		entry_reply (worker, &caa_container_of (mail, struct reply_mail, mail)->reply);
		free (mail);
		return;
	case WORKER_CANCEL:
		handle_cancel (worker, caa_container_of (mail, struct cancel_mail, mail));
		free (mail);
		return;
	case WORKER_VIEW:
		owned_reconcile (worker, caa_container_of (mail, struct view_mail, mail)->view);
		free (mail);
		return;
	case WORKER_PROPOSE_REPLY: {
		struct propose_reply_mail *result =
			caa_container_of (mail, struct propose_reply_mail, mail);
		entry_propose_reply (worker, result);
		free (result->reply.body);
		free (result);
		return;
	}
	case WORKER_DUMP:
		handle_dump (worker, caa_container_of (mail, struct dump_mail, mail));
		return;
	case WORKER_STOP:
		worker->stop = true;
		free (mail);
		return;
	}
}

static void
run_timers (struct worker *worker)
{
	struct timer *timer;
	while ((timer = timers_pop_due (&worker->timers, worker_now_us (worker)))) {
		if (timer->kind < FETCH_TIMER_KIND_END)
			fetch_timer_due (timer);
		else if (timer->kind == ENTRY_TIMER)
			entry_timer_due (worker, timer);
		else
			owned_timer_due (worker, timer);
	}
}

static int
wait_ms (const struct worker *worker)
{
	int64_t next_us = timers_next_us (&worker->timers);
	int64_t now_us = worker_now_us (worker);
	if (next_us <= now_us || fetch_loop_has_unread (&worker->fetches))
		return 0;
	int64_t ms = (next_us - now_us + US_PER_MS - 1) / US_PER_MS;
	return ms < MAX_WAIT_MS ? (int)ms : MAX_WAIT_MS;
}

static void *
run (void *arg)
{
	struct worker *worker = arg;
	struct epoll_event events[EVENTS_PER_WAIT];
	pthread_setname_np (pthread_self (), "worker");
	rcu_register_thread ();
	while (!worker->stop) {
		int count =
			epoll_wait (worker->epoll_fd, events, EVENTS_PER_WAIT, wait_ms (worker));
		for (int i = 0; i < count; i++) {
			if (events[i].data.fd == worker->mailbox.event_fd)
				mailbox_clear (&worker->mailbox);
			else
				fetch_socket_event (
					&worker->fetches, events[i].data.fd, events[i].events);
		}
		struct mail *mail;
		while ((mail = mailbox_take (&worker->mailbox)))
			handle_mail (worker, mail);
		fetch_loop_read (&worker->fetches);
		run_timers (worker);
		fetch_loop_clean (&worker->fetches);
		owned_update_released (worker);
	}
	owned_finish (worker);
	rcu_unregister_thread ();
	return NULL;
}

bool
worker_start (struct worker *worker, struct node *node, int index, struct error *error)
{
	memset (worker, 0, sizeof (*worker));
	worker->node = node;
	worker->index = index;
	worker->rng.state = node->incarnation + (uint64_t)index;
	worker->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
	timers_init (&worker->timers);
	for (int i = 0; i < WORKER_BUCKETS; i++) {
		CDS_INIT_LIST_HEAD (&worker->requests[i]);
		CDS_INIT_LIST_HEAD (&worker->work_items[i]);
	}
	CDS_INIT_LIST_HEAD (&worker->owned_targets);
	fetch_loop_init (&worker->fetches, worker->epoll_fd, &node->clock, &worker->timers);
	if (worker->epoll_fd < 0 || !mailbox_init (&worker->mailbox))
		return error_set (error, ERROR_IO, "no free file descriptor; raise the limit");
	struct epoll_event event = {.events = EPOLLIN, .data.fd = worker->mailbox.event_fd};
	epoll_ctl (worker->epoll_fd, EPOLL_CTL_ADD, worker->mailbox.event_fd, &event);
	if (pthread_create (&worker->thread, NULL, run, worker) != 0)
		return error_set (error, ERROR_IO, "cannot start a thread; raise the limit");
	return true;
}

bool
worker_stop (struct worker *worker, int64_t until_us)
{
	struct mail *stop = xcalloc (1, sizeof (*stop));
	stop->kind = WORKER_STOP;
	mailbox_post (&worker->mailbox, stop);
	if (!thread_join (worker->thread, &worker->node->clock, until_us))
		return false;
	fetch_loop_finish (&worker->fetches);
	timers_finish (&worker->timers);
	close (worker->epoll_fd);
	/* Other threads may still post to the mailbox, which is left to the exit. */
	return true;
}
