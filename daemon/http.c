#include "daemon/http.h"

#include "core/metrics.h"
#include "net/listener.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

static void *
on_thread_start (const struct mg_context *context, int type)
{
	(void)context;
	(void)type;
	rcu_register_thread ();
	return NULL;
}

static void
on_thread_end (const struct mg_context *context, int type, void *thread)
{
	(void)context;
	(void)type;
	(void)thread;
	rcu_unregister_thread ();
}

/* Discards the messages of CivetWeb. */
static int
on_log (const struct mg_connection *connection, const char *message)
{
	(void)connection;
	(void)message;
	return 1;
}

struct mg_context *
http_start (
	struct node *node, const char *address, int threads, bool keep_alive, struct error *error)
{
	char count[16];
	struct mg_callbacks callbacks;
	snprintf (count, sizeof (count), "%d", threads);
	const char *options[] = {"listening_ports", address, "num_threads", count,
		"enable_keep_alive", keep_alive ? "yes" : "no", "keep_alive_timeout_ms", "60000",
		"tcp_nodelay", "1", "request_timeout_ms", "30000", "connection_queue", "1024",
		"listen_backlog", "1024", NULL};
	memset (&callbacks, 0, sizeof (callbacks));
	callbacks.init_thread = on_thread_start;
	callbacks.exit_thread = on_thread_end;
	callbacks.log_message = on_log;
	struct mg_context *context = mg_start (&callbacks, node, options);
	/* CivetWeb does not tell the cause. */
	if (!context && listener_check ("the server's address", address, error))
		error_set (error, ERROR_IO,
			"cannot listen on %s; correct the address or free the port", address);
	return context;
}

static const char *
reason_phrase (int status)
{
	return mg_get_response_code_text (NULL, status);
}

void
http_send_json (struct mg_connection *connection, int status, const char *text, size_t len)
{
	char head[256];
	int head_len = snprintf (head, sizeof (head),
		"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		status, reason_phrase (status), len);
	struct buf out;
	buf_init (&out);
	buf_add (&out, head, (size_t)head_len);
	buf_add (&out, text, len);
	mg_write (connection, out.data, out.len);
	buf_finish (&out);
}

char *
http_error_text (const struct error *error)
{
	json_t *body =
		json_pack ("{s:{s:s,s:s},s:s}", "error", "kind", error_kind_name (error->kind),
			"message", error->message, "ran", error_request_ran (error->kind));
	char *text = json_dumps (body, JSON_COMPACT);
	json_decref (body);
	return text;
}

void
http_send_error (struct mg_connection *connection, const struct error *error)
{
	int status = error_http_status (error->kind);
	char *text = http_error_text (error);
	const char *retry = status == 503 ? "Retry-After: " HTTP_RETRY_AFTER_S "\r\n" : "";
	const char *close = error->kind == ERROR_STOPPING ? "Connection: close\r\n" : "";
	mg_printf (connection,
		"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s%sContent-Length: "
		"%zu\r\n\r\n%s",
		status, reason_phrase (status), retry, close, strlen (text), text);
	free (text);
}

bool
http_read_body (
	struct mg_connection *connection, int64_t max_bytes, struct buf *body, struct error *error)
{
	char chunk[16384];
	int read_len = 0;
	long long declared_len = mg_get_request_info (connection)->content_length;
	if (declared_len > max_bytes)
		return error_set (error, ERROR_TOO_LARGE,
			"the body is larger than %lld bytes; send less, or raise query.max_body",
			(long long)max_bytes);
	buf_add (body, "", 0);
	while ((read_len = mg_read (connection, chunk, sizeof (chunk))) > 0) {
		buf_add (body, chunk, (size_t)read_len);
		if ((int64_t)body->len > max_bytes)
			return error_set (error, ERROR_TOO_LARGE,
				"the body is larger than %lld bytes; send less, or raise "
				"query.max_body",
				(long long)max_bytes);
	}
	if (declared_len >= 0 && (long long)body->len != declared_len)
		return error_set (error, ERROR_INVALID,
			"the body ended before its Content-Length; send all of it");
	return true;
}

int
http_split_path (const struct mg_connection *connection, char segments[][64], int max)
{
	const char *path = mg_get_request_info (connection)->local_uri;
	int count = 0;
	while (*path == '/') {
		path++;
		size_t len = strcspn (path, "/");
		if (len == 0 && *path == '\0')
			break;
		if (count == max || len >= 64)
			return -1;
		memcpy (segments[count], path, len);
		segments[count][len] = '\0';
		count++;
		path += len;
	}
	return count;
}

bool
http_authorised (const struct mg_connection *connection, const char *key)
{
	const char *header = mg_get_header (connection, "Authorization");
	return header && strncmp (header, "Bearer ", 7) == 0 &&
	       secret_equal (header + 7, key, strlen (key));
}
