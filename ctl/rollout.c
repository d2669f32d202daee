#include "ctl/rollout.h"

#include "platform/orders.h"

#include <stdio.h>
#include <stdlib.h>

enum { START_ATTEMPTS = 5 };

/* The error of a node states its remedy. */
static void
set_error (struct error *error, const struct buf *reply)
{
	json_t *root = json_loadb (reply->len ? reply->data : "", reply->len, 0, NULL);
	const json_t *fields = json_object_get (root, "error");
	const char *message = json_string_value (json_object_get (fields, "message"));
	error_set (error, ERROR_INVALID, "%s", message ? message : "the order was refused");
	json_decref (root);
}

long
rollout_start (struct client *client, const char *service, const char *version, long duration_s,
	struct error *error)
{
	char *body = order_encode_rollout (service, version, duration_s);
	struct buf reply;
	long status = 0;
	/* An order that was carried out, but not confirmed, is confirmed when it is repeated. */
	for (int i = 0; i < START_ATTEMPTS && (status == 0 || status == 503); i++) {
		buf_init (&reply);
		status = client_call (
			client, "POST", order_rollout_start_path (), body, &reply, error);
		if (status == 200)
			printf ("%s: %s is being rolled out\n", service, version);
		else if (status != 0)
			set_error (error, &reply);
		buf_finish (&reply);
	}
	free (body);
	return status;
}

long
rollout_show (struct client *client, const char *service, struct error *error)
{
	struct buf path;
	struct buf reply;
	buf_init (&path);
	buf_init (&reply);
	order_add_rollout_path (&path, service);
	long status = client_call (client, "GET", path.data, NULL, &reply, error);
	if (status == 200)
		printf ("%.*s\n", (int)reply.len, reply.data);
	else if (status != 0)
		set_error (error, &reply);
	buf_finish (&reply);
	buf_finish (&path);
	return status;
}
