#include "control/command.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>

bool
command_applies_to_all_nodes (enum command_kind kind)
{
	return kind != COMMAND_CLAIM && kind != COMMAND_OUTCOME && kind != COMMAND_KIND_COUNT;
}

static void
write_change (struct pack_writer *writer, const struct change *change)
{
	pack_array (writer, 6);
	pack_str (writer, change->id);
	pack_u64 (writer, change->kind);
	pack_str (writer, change->name);
	pack_u64 (writer, change->expected_version);
	pack_bool (writer, change->remove);
	pack_str (writer, change->spec ? change->spec : "");
}

static void
write_member (struct pack_writer *writer, const struct member *member)
{
	pack_array (writer, 6);
	pack_str (writer, member->name);
	pack_str (writer, member->data_centre);
	pack_str (writer, member->address);
	pack_u64 (writer, member->incarnation);
	pack_bool (writer, member->leaving);
	pack_bool (writer, member->is_entry_node);
}

static void
write_claim (struct pack_writer *writer, const struct command_claim *claim)
{
	pack_array (writer, 4);
	pack_str (writer, claim->key);
	pack_u64 (writer, claim->digest);
	pack_u64 (writer, claim->nonce);
	pack_i64 (writer, claim->retention_ms);
}

static void
write_outcome (struct pack_writer *writer, const struct command_outcome *outcome)
{
	pack_array (writer, 5);
	pack_str (writer, outcome->key);
	pack_u64 (writer, outcome->nonce);
	pack_u64 (writer, outcome->status);
	pack_i64 (writer, outcome->http_status);
	pack_str (writer, outcome->body ? outcome->body : "");
}

static void
write_routing (struct pack_writer *writer, const struct command_routing *routing)
{
	pack_array (writer, 2);
	pack_u64 (writer, routing->version);
	pack_bytes (writer, routing->document, routing->len);
}

static void
write_leaving (struct pack_writer *writer, const struct command_data_centre_leaving *leaving)
{
	pack_array (writer, 3);
	pack_str (writer, leaving->data_centre);
	pack_bool (writer, leaving->leaving);
	pack_u64 (writer, leaving->revision);
}

static void
write_rollout_order (struct pack_writer *writer, const struct rollout_order *order)
{
	pack_array (writer, 4);
	pack_str (writer, order->service);
	pack_str (writer, order->version);
	pack_i64 (writer, order->duration_ms);
	pack_u64 (writer, order->revision);
}

static void
write_rollout_phase (struct pack_writer *writer, const struct command_rollout_phase *phase)
{
	pack_array (writer, 2);
	pack_u64 (writer, phase->started);
	pack_u64 (writer, phase->phase);
}

void *
command_encode (const struct command *command, size_t *len)
{
	struct pack_writer writer;
	pack_start (&writer);
	pack_array (&writer, 3);
	pack_u64 (&writer, command->kind);
	pack_i64 (&writer, command->log_time_ms);
	switch (command->kind) {
	case COMMAND_CHANGE:
		write_change (&writer, &command->u.change);
		break;
	case COMMAND_MEMBER_PUT:
	case COMMAND_MEMBER_REMOVE:
		write_member (&writer, &command->u.member);
		break;
	case COMMAND_CLAIM:
		write_claim (&writer, &command->u.claim);
		break;
	case COMMAND_OUTCOME:
		write_outcome (&writer, &command->u.outcome);
		break;
	case COMMAND_ROUTING:
		write_routing (&writer, &command->u.routing);
		break;
	case COMMAND_DATA_CENTRE_LEAVING:
		write_leaving (&writer, &command->u.leaving);
		break;
	case COMMAND_ROLLOUT_START:
		write_rollout_order (&writer, &command->u.rollout);
		break;
	case COMMAND_ROLLOUT_PHASE:
		write_rollout_phase (&writer, &command->u.rollout_phase);
		break;
	case COMMAND_KIND_COUNT:
		pack_nil (&writer);
		break;
	}
	return pack_end (&writer, len);
}

static void
read_string (struct pack_node array, size_t index, char *out, size_t size)
{
	pack_copy_str (pack_at (array, index), out, size);
}

static char *
read_change (struct pack_node node, struct change *change)
{
	read_string (node, 0, change->id, sizeof (change->id));
	unsigned kind = pack_get_u64 (pack_at (node, 1));
	read_string (node, 2, change->name, sizeof (change->name));
	change->expected_version = pack_get_u64 (pack_at (node, 3));
	change->remove = pack_get_bool (pack_at (node, 4));
	char *spec = pack_dup_str (pack_at (node, 5));
	if (kind >= RESOURCE_KIND_COUNT)
		pack_fail (node);
	else
		change->kind = (enum resource_kind)kind;
	change->spec = spec;
	return spec;
}

static void
read_member (struct pack_node node, struct member *member)
{
	read_string (node, 0, member->name, sizeof (member->name));
	read_string (node, 1, member->data_centre, sizeof (member->data_centre));
	read_string (node, 2, member->address, sizeof (member->address));
	member->incarnation = pack_get_u64 (pack_at (node, 3));
	member->leaving = pack_get_bool (pack_at (node, 4));
	member->is_entry_node = pack_get_bool (pack_at (node, 5));
}

static void
read_claim (struct pack_node node, struct command_claim *claim)
{
	read_string (node, 0, claim->key, sizeof (claim->key));
	claim->digest = pack_get_u64 (pack_at (node, 1));
	claim->nonce = pack_get_u64 (pack_at (node, 2));
	claim->retention_ms = pack_get_i64 (pack_at (node, 3));
}

static char *
read_outcome (struct pack_node node, struct command_outcome *outcome)
{
	read_string (node, 0, outcome->key, sizeof (outcome->key));
	outcome->nonce = pack_get_u64 (pack_at (node, 1));
	unsigned status = pack_get_u64 (pack_at (node, 2));
	if (status > CLAIM_UNKNOWN)
		pack_fail (node);
	else
		outcome->status = (enum claim_status)status;
	outcome->http_status = pack_get_i64 (pack_at (node, 3));
	char *body = pack_dup_str (pack_at (node, 4));
	outcome->body = body;
	return body;
}

static char *
read_routing (struct pack_node node, struct command_routing *routing)
{
	routing->version = pack_get_u64 (pack_at (node, 0));
	const char *bytes = pack_get_bytes (pack_at (node, 1), &routing->len);
	char *document = xmalloc (routing->len + 1);
	if (routing->len)
		memcpy (document, bytes, routing->len);
	document[routing->len] = '\0';
	routing->document = document;
	return document;
}

static void
read_leaving (struct pack_node node, struct command_data_centre_leaving *leaving)
{
	read_string (node, 0, leaving->data_centre, sizeof (leaving->data_centre));
	leaving->leaving = pack_get_bool (pack_at (node, 1));
	/* Logs of earlier builds lack the revision. */
	leaving->revision = pack_length (node) > 2 ? pack_get_u64 (pack_at (node, 2)) : 0;
}

static void
read_rollout_order (struct pack_node node, struct rollout_order *order)
{
	read_string (node, 0, order->service, sizeof (order->service));
	read_string (node, 1, order->version, sizeof (order->version));
	order->duration_ms = pack_get_i64 (pack_at (node, 2));
	order->revision = pack_get_u64 (pack_at (node, 3));
}

static void
read_rollout_phase (struct pack_node node, struct command_rollout_phase *phase)
{
	phase->started = pack_get_u64 (pack_at (node, 0));
	phase->phase =
		(enum rollout_phase)pack_get_below (pack_at (node, 1), ROLLOUT_ROLLED_BACK + 1);
}

void *
command_decode (struct command *command, const void *data, size_t len)
{
	struct pack_tree tree;
	char *storage = NULL;
	memset (command, 0, sizeof (*command));
	struct pack_node root = pack_parse (&tree, data, len);
	unsigned kind = pack_get_u64 (pack_at (root, 0));
	command->log_time_ms = pack_get_i64 (pack_at (root, 1));
	struct pack_node body = pack_at (root, 2);
	command->kind = kind < COMMAND_KIND_COUNT ? (enum command_kind)kind : COMMAND_KIND_COUNT;
	switch (command->kind) {
	case COMMAND_CHANGE:
		storage = read_change (body, &command->u.change);
		break;
	case COMMAND_MEMBER_PUT:
	case COMMAND_MEMBER_REMOVE:
		read_member (body, &command->u.member);
		break;
	case COMMAND_CLAIM:
		read_claim (body, &command->u.claim);
		break;
	case COMMAND_OUTCOME:
		storage = read_outcome (body, &command->u.outcome);
		break;
	case COMMAND_ROUTING:
		storage = read_routing (body, &command->u.routing);
		break;
	case COMMAND_DATA_CENTRE_LEAVING:
		read_leaving (body, &command->u.leaving);
		break;
	case COMMAND_ROLLOUT_START:
		read_rollout_order (body, &command->u.rollout);
		break;
	case COMMAND_ROLLOUT_PHASE:
		read_rollout_phase (body, &command->u.rollout_phase);
		break;
	case COMMAND_KIND_COUNT:
		pack_fail (root);
		break;
	}
	if (!pack_free (&tree)) {
		free (storage);
		return NULL;
	}
	return storage ? storage : xstrdup ("");
}

void
command_decode_finish (void *storage)
{
	free (storage);
}
