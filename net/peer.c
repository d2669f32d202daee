#include "net/peer.h"

#include "core/buf.h"
#include "core/metrics.h"
#include "net/join.h"
#include "net/listener.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include <zmq.h>

enum { SWEEP_INTERVAL_US = 1000000, POLL_MS = 200, LINGER_MS = 500, RECEIVE_MAX = 256 };

/* Prefix: version, class, length of the key (1 byte each), incarnation (8); the key follows. */
enum { PREFIX_BYTES = 11 };

struct outgoing_mail {
	struct mail mail;
	struct peer_route route;
	size_t len;
	char data[];
};

static struct peer_link *
find_or_add_link (struct peer *peer, const char *address)
{
	struct cds_list_head *head =
		&peer->links[XXH64 (address, strlen (address), 0) % PEER_LINK_BUCKETS];
	struct peer_link *link;
	cds_list_for_each_entry (link, head, node) {
		if (strcmp (link->address, address) == 0)
			return link;
	}
	link = xcalloc (1, sizeof (*link));
	str_copy (link->address, sizeof (link->address), address);
	cds_list_add (&link->node, head);
	return link;
}

static int
format_routing_id (const struct peer_link *link, char *out, size_t size)
{
	return snprintf (out, size, "%s#%u", link->address, link->generation);
}

static void
format_endpoint (const char *address, char out[96])
{
	snprintf (out, 96, "tcp://%s", address);
}

static bool
open_link (struct peer *peer, struct peer_link *link)
{
	char id[PEER_ROUTE_ID_SIZE];
	char endpoint[96];
	link->generation = ++peer->generation;
	int len = format_routing_id (link, id, sizeof (id));
	format_endpoint (link->address, endpoint);
	zmq_setsockopt (peer->socket, ZMQ_CONNECT_ROUTING_ID, id, (size_t)len);
	return zmq_connect (peer->socket, endpoint) == 0;
}

static void
send_frames (struct peer *peer, const char *id, size_t id_len, const void *data, size_t len)
{
	if (zmq_send (peer->socket, id, id_len, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return;
	if (zmq_send (peer->socket, data, len, ZMQ_DONTWAIT) < 0)
		return;
	metric_add (METRIC_PEER_SENT, 1);
	metric_add (METRIC_PEER_SENT_BYTES, len);
}

static void
send_mail (struct peer *peer, const struct outgoing_mail *mail)
{
	char id[PEER_ROUTE_ID_SIZE];
	if (mail->route.kind == PEER_ROUTE_REPLY) {
		send_frames (peer, mail->route.id, mail->route.len, mail->data, mail->len);
		return;
	}
	struct peer_link *link = find_or_add_link (peer, mail->route.id);
	if (link->last_used_us == 0 && !open_link (peer, link))
		return;
	link->last_used_us = clock_now_us (peer->clock);
	int id_len = format_routing_id (link, id, sizeof (id));
	send_frames (peer, id, (size_t)id_len, mail->data, mail->len);
}

static void
drop_message (struct peer *peer, const char *reason)
{
	metric_add (METRIC_PEER_DROPPED, 1);
	log_event (&peer->log, EVENT_PEER_MESSAGE_DROPPED, "%s", reason);
}

static void
handle_message (struct peer *peer, const struct peer_route *from, const char *data, size_t len)
{
	if (len < PREFIX_BYTES || data[0] != PEER_PROTOCOL_VERSION) {
		drop_message (peer, "different protocol version");
		return;
	}
	unsigned class = (unsigned char)data[1];
	size_t key_len = (unsigned char)data[2];
	if (class >= PEER_MESSAGE_CLASS_COUNT || len < PREFIX_BYTES + key_len) {
		drop_message (peer, "malformed prefix");
		return;
	}
	char key[UINT8_MAX + 1];
	memcpy (key, data + PREFIX_BYTES, key_len);
	key[key_len] = '\0';
	if (!secret_equal (key, peer->key, strlen (peer->key))) {
		drop_message (peer, "wrong cluster key");
		return;
	}
	metric_add (METRIC_PEER_RECEIVED, 1);
	peer->handler (peer->user, (enum peer_message_class) class, from,
		data + PREFIX_BYTES + key_len, len - PREFIX_BYTES - key_len);
}

static bool
receive_one (struct peer *peer)
{
	zmq_msg_t id;
	zmq_msg_t body;
	zmq_msg_init (&id);
	if (zmq_msg_recv (&id, peer->socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close (&id);
		return false;
	}
	zmq_msg_init (&body);
	bool complete = zmq_msg_more (&id) && zmq_msg_recv (&body, peer->socket, ZMQ_DONTWAIT) >= 0;
	bool has_more = complete && zmq_msg_more (&body);
	struct peer_route from = {.kind = PEER_ROUTE_REPLY};
	size_t id_len = zmq_msg_size (&id);
	if (complete && !has_more && id_len <= sizeof (from.id)) {
		memcpy (from.id, zmq_msg_data (&id), id_len);
		from.len = (uint8_t)id_len;
		handle_message (peer, &from, zmq_msg_data (&body), zmq_msg_size (&body));
	} else {
		drop_message (peer, "wrong number of frames");
	}
	while (has_more) {
		zmq_msg_recv (&body, peer->socket, ZMQ_DONTWAIT);
		has_more = zmq_msg_more (&body);
	}
	zmq_msg_close (&id);
	zmq_msg_close (&body);
	return true;
}

static void
close_idle_links (struct peer *peer, int64_t now_us)
{
	if (peer->next_sweep_us > now_us)
		return;
	peer->next_sweep_us = now_us + SWEEP_INTERVAL_US;
	for (int i = 0; i < PEER_LINK_BUCKETS; i++) {
		struct peer_link *link;
		struct peer_link *next;
		cds_list_for_each_entry_safe (link, next, &peer->links[i], node) {
			if (link->last_used_us + PEER_LINK_IDLE_TIMEOUT_US > now_us)
				continue;
			char endpoint[96];
			format_endpoint (link->address, endpoint);
			zmq_disconnect (peer->socket, endpoint);
			cds_list_del (&link->node);
			free (link);
		}
	}
}

static void
send_all (struct peer *peer)
{
	struct mail *mail;
	mailbox_clear (&peer->outgoing);
	while ((mail = mailbox_take (&peer->outgoing))) {
		struct outgoing_mail *outgoing =
			caa_container_of (mail, struct outgoing_mail, mail);
		send_mail (peer, outgoing);
		free (outgoing);
	}
}

static void *
run_thread (void *arg)
{
	struct peer *peer = arg;
	zmq_pollitem_t items[2] = {
		{.socket = peer->socket, .events = ZMQ_POLLIN},
		{.fd = peer->outgoing.event_fd, .events = ZMQ_POLLIN},
	};
	pthread_setname_np (pthread_self (), "peer");
	while (!atomic_load (&peer->stop)) {
		zmq_poll (items, 2, POLL_MS);
		send_all (peer);
		/* A peer that sends without a pause must not keep this node from sending. */
		for (int i = 0; i < RECEIVE_MAX && receive_one (peer); i++)
			;
		close_idle_links (peer, clock_now_us (peer->clock));
	}
	send_all (peer);
	return NULL;
}

static void
set_int_option (struct peer *peer, int option, int value)
{
	zmq_setsockopt (peer->socket, option, &value, sizeof (value));
}

bool
peer_start (struct peer *peer, const char *own_address, const char *key, uint64_t incarnation,
	struct clock *clock, const struct log *log, peer_handler handler, void *user,
	struct error *error)
{
	char endpoint[96];
	char id[32];
	memset (peer, 0, sizeof (*peer));
	peer->own_address = own_address;
	peer->key = key;
	peer->incarnation = incarnation;
	peer->clock = clock;
	peer->log = *log;
	peer->log.module = "peer";
	peer->handler = handler;
	peer->user = user;
	for (int i = 0; i < PEER_LINK_BUCKETS; i++)
		CDS_INIT_LIST_HEAD (&peer->links[i]);
	if (!mailbox_init (&peer->outgoing))
		return error_set (error, ERROR_IO, "no free file descriptor; raise the limit");
	peer->context = zmq_ctx_new ();
	zmq_ctx_set (peer->context, ZMQ_MAX_SOCKETS, 16);
	peer->socket = zmq_socket (peer->context, ZMQ_ROUTER);
	int id_len = snprintf (id, sizeof (id), "n%016llx", (unsigned long long)incarnation);
	zmq_setsockopt (peer->socket, ZMQ_ROUTING_ID, id, (size_t)id_len);
	set_int_option (peer, ZMQ_ROUTER_HANDOVER, 1);
	set_int_option (peer, ZMQ_SNDHWM, PEER_QUEUE_MAX_MESSAGES);
	set_int_option (peer, ZMQ_RCVHWM, PEER_QUEUE_MAX_MESSAGES);
	set_int_option (peer, ZMQ_LINGER, LINGER_MS);
	set_int_option (peer, ZMQ_HEARTBEAT_IVL, PEER_HEARTBEAT_INTERVAL_MS);
	set_int_option (peer, ZMQ_HEARTBEAT_TIMEOUT, PEER_HEARTBEAT_TIMEOUT_MS);
	set_int_option (peer, ZMQ_HEARTBEAT_TTL, PEER_HEARTBEAT_TIMEOUT_MS);
	set_int_option (peer, ZMQ_RECONNECT_IVL, 50);
	set_int_option (peer, ZMQ_RECONNECT_IVL_MAX, 1000);
	set_int_option (peer, ZMQ_CONNECT_TIMEOUT, PEER_HEARTBEAT_TIMEOUT_MS);
	int64_t max = PEER_MESSAGE_MAX_BYTES;
	zmq_setsockopt (peer->socket, ZMQ_MAXMSGSIZE, &max, sizeof (max));
	format_endpoint (own_address, endpoint);
	if (zmq_bind (peer->socket, endpoint) != 0)
		return listener_error ("node.peer_address", own_address, zmq_errno (), error);
	if (pthread_create (&peer->thread, NULL, run_thread, peer) != 0)
		return error_set (error, ERROR_IO, "cannot start a thread; raise the limit");
	return true;
}

static void
drop_oversized (struct peer *peer, const struct peer_route *route, enum peer_message_class class,
	size_t len)
{
	metric_add (METRIC_PEER_DROPPED, 1);
	log_event (&peer->log, EVENT_PEER_MESSAGE_DROPPED,
		"not sent to %s: class %d, %zu bytes, at most %d",
		route->kind == PEER_ROUTE_ADDRESS ? route->id : "a caller", (int)class, len,
		PEER_MESSAGE_MAX_BYTES);
}

void
peer_send (struct peer *peer, const struct peer_route *route, enum peer_message_class class,
	const void *data, size_t len)
{
	size_t key_len = strlen (peer->key);
	if (route->kind == PEER_ROUTE_ADDRESS && strcmp (route->id, peer->own_address) == 0) {
		struct peer_route own_route = {.kind = PEER_ROUTE_ADDRESS};
		str_copy (own_route.id, sizeof (own_route.id), peer->own_address);
		peer->handler (peer->user, class, &own_route, data, len);
		return;
	}
	if (PREFIX_BYTES + key_len + len > PEER_MESSAGE_MAX_BYTES) {
		drop_oversized (peer, route, class, len);
		return;
	}
	struct outgoing_mail *mail = xmalloc (sizeof (*mail) + PREFIX_BYTES + key_len + len);
	mail->mail.kind = 0;
	mail->route = *route;
	mail->len = PREFIX_BYTES + key_len + len;
	mail->data[0] = PEER_PROTOCOL_VERSION;
	mail->data[1] = (char)class;
	mail->data[2] = (char)key_len;
	memcpy (mail->data + 3, &peer->incarnation, sizeof (peer->incarnation));
	memcpy (mail->data + PREFIX_BYTES, peer->key, key_len);
	memcpy (mail->data + PREFIX_BYTES + key_len, data, len);
	mailbox_post (&peer->outgoing, &mail->mail);
}

static int
linger_ms (const struct peer *peer, int64_t until_us)
{
	int64_t left_ms = (until_us - clock_now_us (peer->clock)) / US_PER_MS;
	if (left_ms < 0)
		return 0;
	return left_ms < LINGER_MS ? (int)left_ms : LINGER_MS;
}

bool
peer_stop (struct peer *peer, int64_t until_us)
{
	atomic_store (&peer->stop, true);
	mailbox_wake (&peer->outgoing);
	if (!thread_join (peer->thread, peer->clock, until_us))
		return false;
	set_int_option (peer, ZMQ_LINGER, linger_ms (peer, until_us));
	zmq_close (peer->socket);
	zmq_ctx_term (peer->context);
	for (int i = 0; i < PEER_LINK_BUCKETS; i++) {
		struct peer_link *link;
		struct peer_link *next;
		cds_list_for_each_entry_safe (link, next, &peer->links[i], node)
			free (link);
	}
	mailbox_finish (&peer->outgoing);
	return true;
}
