#include "ctl/client.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

enum {
	CALL_TIMEOUT_MS = 40000,
	CONNECT_TIMEOUT_MS = 1000,
	CHANGE_MAX_ATTEMPTS = 6,
	CHANGE_RETRY_INTERVAL_MS = 300,
};

bool
client_init (struct client *client, const char *nodes, const char *key, struct error *error)
{
	memset (client, 0, sizeof (*client));
	for (const char *next = nodes; *next;) {
		next += strspn (next, ", ");
		size_t len = strcspn (next, ", ");
		if (len == 0)
			break;
		if (len >= sizeof (client->nodes[0]) || client->node_count == CLIENT_MAX_NODES)
			return error_set (error, ERROR_INVALID,
				"--nodes: an address is too long, or there are more than %d; "
				"correct the list",
				CLIENT_MAX_NODES);
		memcpy (client->nodes[client->node_count++], next, len);
		next += len;
	}
	if (client->node_count == 0)
		return error_set (error, ERROR_INVALID,
			"no node given; set --nodes or OLEANDERSTILE_NODES to operator addresses");
	str_copy (client->key, sizeof (client->key), key);
	return true;
}

static size_t
append_body (char *data, size_t size, size_t count, void *user)
{
	buf_add (user, data, size * count);
	return size * count;
}

static long
call_node (const struct client *client, int node, const char *method, const char *path,
	const char *body, struct buf *reply)
{
	char url[512];
	char authorization[300];
	long status = 0;
	CURL *easy = curl_easy_init ();
	snprintf (url, sizeof (url), "http://%s%s", client->nodes[node], path);
	snprintf (authorization, sizeof (authorization), "Authorization: Bearer %s", client->key);
	struct curl_slist *headers = curl_slist_append (NULL, authorization);
	headers = curl_slist_append (headers, "Content-Type: application/json");
	buf_reset (reply);
	curl_easy_setopt (easy, CURLOPT_URL, url);
	curl_easy_setopt (easy, CURLOPT_PROXY, "");
	curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt (easy, CURLOPT_WRITEDATA, reply);
	curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	if (body)
		curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform (easy) == CURLE_OK)
		curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all (headers);
	curl_easy_cleanup (easy);
	return status;
}

long
client_call (struct client *client, const char *method, const char *path, const char *body,
	struct buf *reply, struct error *error)
{
	for (int i = 0; i < client->node_count; i++) {
		int node = (client->next_node + i) % client->node_count;
		long status = call_node (client, node, method, path, body, reply);
		if (status != 0) {
			client->next_node = node;
			return status;
		}
		if (!client->quiet)
			fprintf (stderr, "oleanderctl: no reply from %s; trying the next node\n",
				client->nodes[node]);
	}
	error_set (error, ERROR_UNAVAILABLE,
		"no node replied; check --nodes and that the daemons are running");
	return 0;
}

static void
error_from_reply (const struct buf *reply, long status, struct error *error)
{
	json_t *body = reply->data ? json_loadb (reply->data, reply->len, 0, NULL) : NULL;
	const json_t *details = json_object_get (body, "error");
	const char *message = json_string_value (json_object_get (details, "message"));
	error_set (error, status == 404 ? ERROR_NOT_FOUND : ERROR_INVALID, "%s (HTTP %ld)",
		message ? message : "the node refused the request", status);
	json_decref (body);
}

json_t *
client_get (struct client *client, const char *path, struct error *error)
{
	struct buf reply;
	json_t *parsed = NULL;
	buf_init (&reply);
	long status = client_call (client, "GET", path, NULL, &reply, error);
	if (status == 200)
		parsed = json_loadb (reply.data, reply.len, 0, NULL);
	else if (status != 0)
		error_from_reply (&reply, status, error);
	if (status == 200 && !parsed)
		error_set (error, ERROR_INVALID, "the reply is not JSON; check the address");
	buf_finish (&reply);
	return parsed;
}

static void
set_change_id (json_t *body)
{
	uint64_t random[2] = {0};
	char id[40];
	if (json_object_get (body, "change_id"))
		return;
	if (getrandom (random, sizeof (random), 0) != sizeof (random))
		abort ();
	snprintf (id, sizeof (id), "ctl-%016" PRIx64 "%016" PRIx64, random[0], random[1]);
	json_object_set_new (body, "change_id", json_string (id));
}

long
client_change (struct client *client, const char *method, const char *kind, const char *name,
	json_t *body, struct buf *reply, struct error *error)
{
	char path[256];
	struct timespec interval = {.tv_nsec = CHANGE_RETRY_INTERVAL_MS * 1000000L};
	long status = 0;
	set_change_id (body);
	snprintf (path, sizeof (path), "/v1/resources/%s/%s", kind, name);
	char *text = json_dumps (body, JSON_COMPACT);
	for (int i = 0; i < CHANGE_MAX_ATTEMPTS; i++) {
		status = client_call (client, method, path, text, reply, error);
		if (status != 0 && status != 503)
			break;
		client->next_node = (client->next_node + 1) % client->node_count;
		nanosleep (&interval, NULL);
	}
	free (text);
	if (status != 0 && status != 200)
		error_from_reply (reply, status, error);
	return status;
}
