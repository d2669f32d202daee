#include "net/fetch.h"

#include "core/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <unistd.h>

void
fetch_loop_init (struct fetch_loop *loop, int epoll_fd, struct timers *timers,
	void (*set_timer) (struct fetch_loop *, struct timer *, int64_t))
{
	memset (loop, 0, sizeof (*loop));
	loop->epoll_fd = epoll_fd;
	loop->timers = timers;
	loop->set_timer = set_timer;
	CDS_INIT_LIST_HEAD (&loop->pools);
	CDS_INIT_LIST_HEAD (&loop->retired);
}

static void
destroy_pool (struct fetch_pool *pool)
{
	cds_list_del (&pool->node);
	timers_clear (pool->loop->timers, &pool->timer);
	pool->dead = true;
	curl_multi_cleanup (pool->multi);
	free (pool);
}

static void
destroy_pools (struct cds_list_head *head)
{
	struct fetch_pool *pool;
	struct fetch_pool *next;
	cds_list_for_each_entry_safe (pool, next, head, node) {
		if (cds_list_empty (&pool->running))
			destroy_pool (pool);
	}
}

void
fetch_loop_clean (struct fetch_loop *loop)
{
	destroy_pools (&loop->retired);
}

void
fetch_loop_finish (struct fetch_loop *loop)
{
	destroy_pools (&loop->pools);
	destroy_pools (&loop->retired);
	for (int i = 0; i < loop->spare_count; i++)
		curl_easy_cleanup (loop->spare[i]);
	free (loop->by_fd);
}

static void
set_fd_pool (struct fetch_loop *loop, int fd, struct fetch_pool *pool)
{
	if (fd >= loop->fd_count) {
		int count = fd + 64;
		loop->by_fd = xrealloc (loop->by_fd, (size_t)count * sizeof (*loop->by_fd));
		memset (loop->by_fd + loop->fd_count, 0,
			(size_t)(count - loop->fd_count) * sizeof (*loop->by_fd));
		loop->fd_count = count;
	}
	loop->by_fd[fd] = pool;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *user, void *known)
{
	struct fetch_pool *pool = user;
	struct epoll_event event = {.data.fd = fd};
	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl (pool->loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		set_fd_pool (pool->loop, fd, NULL);
		return 0;
	}
	event.events =
		(what & CURL_POLL_IN ? EPOLLIN : 0U) | (what & CURL_POLL_OUT ? EPOLLOUT : 0U);
	if (epoll_ctl (pool->loop->epoll_fd, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event) !=
		0)
		epoll_ctl (pool->loop->epoll_fd, known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event);
	set_fd_pool (pool->loop, fd, pool);
	curl_multi_assign (pool->multi, fd, pool);
	return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *user)
{
	struct fetch_pool *pool = user;
	(void)multi;
	if (timeout_ms < 0)
		timers_clear (pool->loop->timers, &pool->timer);
	else
		pool->loop->set_timer (pool->loop, &pool->timer, timeout_ms * 1000);
	return 0;
}

struct fetch_pool *
fetch_pool_new (struct fetch_loop *loop, const char *address, int max_connections,
	const struct fetch_hooks *hooks)
{
	struct fetch_pool *pool = xcalloc (1, sizeof (*pool));
	pool->loop = loop;
	pool->hooks = *hooks;
	pool->max_connections = max_connections;
	str_copy (pool->address, sizeof (pool->address), address);
	timer_init (&pool->timer, FETCH_POOL_TIMER);
	CDS_INIT_LIST_HEAD (&pool->running);
	pool->multi = curl_multi_init ();
	if (!pool->multi)
		abort ();
	curl_multi_setopt (pool->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt (pool->multi, CURLMOPT_SOCKETDATA, pool);
	curl_multi_setopt (pool->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt (pool->multi, CURLMOPT_TIMERDATA, pool);
	curl_multi_setopt (pool->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)max_connections);
	curl_multi_setopt (pool->multi, CURLMOPT_MAXCONNECTS, (long)max_connections);
	cds_list_add (&pool->node, &loop->pools);
	return pool;
}

void
fetch_pool_retire (struct fetch_pool *pool)
{
	pool->dead = true;
	cds_list_del (&pool->node);
	cds_list_add (&pool->node, &pool->loop->retired);
}

static curl_socket_t
on_open (void *user, curlsocktype purpose, struct curl_sockaddr *address)
{
	struct fetch *fetch = user;
	struct fetch_pool *pool = fetch->pool;
	(void)purpose;
	if (fetch->may_wait && !pool->dead && !pool->hooks.may_open (pool->hooks.user)) {
		fetch->held_back = true;
		return CURL_SOCKET_BAD;
	}
	fetch->opened = true;
	return socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

/*
 * The library sends a request again by itself when a kept connection turns out to be dead, which
 * neither the caller's budget nor a request that must run once allows.
 */
static int
on_send (void *user, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct fetch *fetch = user;
	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (fetch->sent)
		return CURL_PREREQFUNC_ABORT;
	fetch->sent = true;
	return CURL_PREREQFUNC_OK;
}

static int
on_close (void *user, curl_socket_t fd)
{
	struct fetch_pool *pool = user;
	if (pool->expected_closes > 0)
		pool->expected_closes--;
	else if (!pool->dead)
		pool->hooks.lost (pool->hooks.user);
	return close (fd);
}

static size_t
on_body (char *data, size_t size, size_t count, void *user)
{
	struct fetch *fetch = user;
	size_t len = size * count;
	if (fetch->body.len + len > fetch->body_max)
		return 0;
	buf_add (&fetch->body, data, len);
	return len;
}

static size_t
on_header (char *line, size_t size, size_t count, void *user)
{
	struct fetch *fetch = user;
	size_t len = size * count;
	if (len > 17 && strncasecmp (line, "Connection: close", 17) == 0)
		fetch->pool->expected_closes++;
	if (fetch->on_line)
		return fetch->on_line (fetch, line, len) ? len : 0;
	reply_header_line (&fetch->headers, line, len);
	return len;
}

static CURL *
take_easy (struct fetch_loop *loop)
{
	if (loop->spare_count > 0)
		return loop->spare[--loop->spare_count];
	CURL *easy = curl_easy_init ();
	if (!easy)
		abort ();
	return easy;
}

static void
give_easy (struct fetch_loop *loop, CURL *easy)
{
	if (loop->spare_count == 64) {
		curl_easy_cleanup (easy);
		return;
	}
	curl_easy_reset (easy);
	loop->spare[loop->spare_count++] = easy;
}

static void
set_request (struct fetch *fetch, const struct fetch_request *request)
{
	char url[128];
	CURL *easy = fetch->easy;
	snprintf (url, sizeof (url), "http://%s/", fetch->pool->address);
	curl_easy_setopt (easy, CURLOPT_URL, url);
	curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, request->path);
	if (request->connect_us > 0)
		curl_easy_setopt (
			easy, CURLOPT_CONNECTTIMEOUT_MS, (long)(request->connect_us / US_PER_MS));
	if (request->body) {
		curl_easy_setopt (easy, CURLOPT_POST, 1L);
		curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_len);
		curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, request->body);
	}
	if (request->method && strcmp (request->method, "HEAD") == 0)
		curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
	else if (request->method)
		curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
	for (const char *const *header = request->headers; *header; header++)
		fetch->list = curl_slist_append (fetch->list, *header);
	fetch->list = curl_slist_append (fetch->list, "Expect:");
	curl_easy_setopt (easy, CURLOPT_HTTPHEADER, fetch->list);
	if (!request->fresh)
		return;
	/* On a reused connection that turns out dead, libcurl would send the request again. */
	curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
	fetch->pool->expected_closes++;
}

void
fetch_start (struct fetch *fetch, struct fetch_pool *pool, const struct fetch_request *request,
	void (*done) (struct fetch *, enum fetch_end))
{
	fetch->pool = pool;
	fetch->easy = take_easy (pool->loop);
	fetch->list = NULL;
	fetch->status = 0;
	fetch->held_back = fetch->opened = fetch->sent = false;
	fetch->on_line = request->on_line;
	fetch->done = done;
	memset (&fetch->headers, 0, sizeof (fetch->headers));
	buf_init (&fetch->body);
	timer_init (&fetch->timer, FETCH_TIMER);
	CURL *easy = fetch->easy;
	curl_easy_setopt (easy, CURLOPT_PRIVATE, fetch);
	curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt (easy, CURLOPT_PROXY, "");
	curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, fetch);
	curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, pool);
	curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_send);
	curl_easy_setopt (easy, CURLOPT_PREREQDATA, fetch);
	curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt (easy, CURLOPT_WRITEDATA, fetch);
	curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt (easy, CURLOPT_HEADERDATA, fetch);
	set_request (fetch, request);
	cds_list_add (&fetch->node, &pool->running);
	pool->loop->set_timer (pool->loop, &fetch->timer, request->timeout_us);
	curl_multi_add_handle (pool->multi, easy);
}

/* Takes a fetch out of its pool; a transfer under way loses its connection. */
static void
detach (struct fetch *fetch)
{
	struct fetch_pool *pool = fetch->pool;
	timers_clear (pool->loop->timers, &fetch->timer);
	curl_multi_remove_handle (pool->multi, fetch->easy);
	give_easy (pool->loop, fetch->easy);
	fetch->easy = NULL;
	curl_slist_free_all (fetch->list);
	fetch->list = NULL;
	cds_list_del (&fetch->node);
}

/* What closes while this runs is closed on purpose. */
static void
detach_closing (struct fetch *fetch)
{
	struct fetch_pool *pool = fetch->pool;
	int before = pool->expected_closes;
	pool->expected_closes = before + 1;
	detach (fetch);
	pool->expected_closes = before;
}

void
fetch_cancel (struct fetch *fetch)
{
	if (fetch->easy)
		detach_closing (fetch);
}

void
fetch_finish (struct fetch *fetch)
{
	buf_finish (&fetch->body);
}

static enum fetch_end
classify (const struct fetch *fetch, CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return FETCH_OK;
	case CURLE_COULDNT_CONNECT:
	case CURLE_COULDNT_RESOLVE_HOST:
	case CURLE_URL_MALFORMAT:
		return fetch->sent ? FETCH_FAILED : FETCH_NOT_SENT;
	case CURLE_WRITE_ERROR:
		return FETCH_TOO_LARGE;
	default:
		return fetch->sent ? FETCH_FAILED : FETCH_NOT_SENT;
	}
}

static void
finish_done (struct fetch_pool *pool)
{
	CURLMsg *message = NULL;
	int left = 0;
	while ((message = curl_multi_info_read (pool->multi, &left))) {
		if (message->msg != CURLMSG_DONE)
			continue;
		struct fetch *fetch = NULL;
		CURLcode code = message->data.result;
		curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &fetch);
		curl_easy_getinfo (message->easy_handle, CURLINFO_RESPONSE_CODE, &fetch->status);
		detach (fetch);
		fetch->done (fetch, classify (fetch, code));
	}
}

void
fetch_socket_event (struct fetch_loop *loop, int fd, uint32_t events)
{
	struct fetch_pool *pool = fd < loop->fd_count ? loop->by_fd[fd] : NULL;
	int running = 0;
	int what = 0;
	if (!pool)
		return;
	if (events & EPOLLIN)
		what |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		what |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		what |= CURL_CSELECT_ERR;
	curl_multi_socket_action (pool->multi, fd, what, &running);
	finish_done (pool);
}

void
fetch_timer_due (struct timer *timer)
{
	if (timer->kind == FETCH_TIMER) {
		struct fetch *fetch = caa_container_of (timer, struct fetch, timer);
		detach_closing (fetch);
		/* A connection that was never established carried nothing. */
		fetch->done (fetch, fetch->sent ? FETCH_SILENT : FETCH_NOT_SENT);
		return;
	}
	struct fetch_pool *pool = caa_container_of (timer, struct fetch_pool, timer);
	int running = 0;
	curl_multi_socket_action (pool->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_done (pool);
}
