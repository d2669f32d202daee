#include "control/state.h"

#include "core/buf.h"

#include <stdlib.h>
#include <string.h>

void
state_init (struct state *state)
{
	memset (state, 0, sizeof (*state));
	resources_init (&state->resources);
	members_init (&state->members);
	ledger_init (&state->ledger);
	rollouts_init (&state->rollouts);
}

void
state_finish (struct state *state)
{
	resources_finish (&state->resources);
	members_finish (&state->members);
	ledger_finish (&state->ledger);
	rollouts_finish (&state->rollouts);
	free (state->routing.document);
}

static void
apply_claim (struct state *state, const struct command_claim *command, struct state_result *result)
{
	const struct claim *claim = NULL;
	result->verdict = ledger_claim (&state->ledger, command->key, command->digest,
		command->nonce, state->log_time_ms + command->retention_ms, &claim);
	if (claim)
		result->claim = *claim;
}

static bool
set_routing (struct state_routing *routing, uint64_t version, const char *document, size_t len)
{
	if (version <= routing->version)
		return false;
	char *copy = xmalloc (len + 1);
	if (len)
		memcpy (copy, document, len);
	copy[len] = '\0';
	free (routing->document);
	*routing = (struct state_routing){version, copy, len};
	return true;
}

/* An order that changes nothing is not refused, since its operator may have sent it twice. */
static void
apply_leaving (struct state *state, uint64_t index,
	const struct command_data_centre_leaving *command, struct state_result *result)
{
	bool is_late = command->revision != 0 && state->last_order > command->revision;
	if (is_late && resources_is_leaving (&state->resources, RESOURCE_DATA_CENTRE,
			       command->data_centre) != command->leaving) {
		result->change.version = state->last_order;
		return;
	}
	result->ok = true;
	if (is_late)
		return;
	state->last_order = index;
	if (resources_set_leaving (&state->resources, RESOURCE_DATA_CENTRE, command->data_centre,
		    command->leaving, index))
		state->epoch = index;
}

static void
apply_rollout_order (struct state *state, uint64_t index, const struct rollout_order *order,
	struct state_result *result)
{
	switch (rollouts_start (&state->rollouts, order, index, state->log_time_ms)) {
	case ROLLOUT_STARTED:
		state->epoch = index;
		result->ok = true;
		return;
	case ROLLOUT_REPEATED:
		result->ok = true;
		return;
	case ROLLOUT_CONFLICT:
		result->change.kind = ERROR_CONFLICT;
		return;
	case ROLLOUT_SUPERSEDED:
		result->change.version =
			rollouts_newest (&state->rollouts, order->service)->started;
		return;
	}
}

static void
apply_command (struct state *state, uint64_t index, const struct command *command,
	struct state_result *result)
{
	switch (command->kind) {
	case COMMAND_CHANGE:
		result->change = *resources_apply (&state->resources, &command->u.change, index);
		result->ok = result->change.kind == ERROR_NONE;
		if (result->ok && result->change.version == index)
			state->epoch = index;
		return;
	case COMMAND_MEMBER_PUT:
		result->ok = members_put (&state->members, &command->u.member, index);
		if (result->ok)
			state->epoch = index;
		return;
	case COMMAND_MEMBER_REMOVE:
		result->ok = members_remove (&state->members, command->u.member.name,
			command->u.member.incarnation, index);
		if (result->ok)
			state->epoch = index;
		return;
	case COMMAND_CLAIM:
		apply_claim (state, &command->u.claim, result);
		return;
	case COMMAND_OUTCOME:
		result->ok = ledger_outcome (&state->ledger, command->u.outcome.key,
			command->u.outcome.nonce, command->u.outcome.status,
			command->u.outcome.http_status, command->u.outcome.body,
			state->log_time_ms);
		return;
	case COMMAND_ROUTING:
		/* A superseded version is accepted, but changes nothing. */
		result->ok = true;
		if (set_routing (&state->routing, command->u.routing.version,
			    command->u.routing.document, command->u.routing.len))
			state->epoch = index;
		return;
	case COMMAND_DATA_CENTRE_LEAVING:
		apply_leaving (state, index, &command->u.leaving, result);
		return;
	case COMMAND_ROLLOUT_START:
		apply_rollout_order (state, index, &command->u.rollout, result);
		return;
	case COMMAND_ROLLOUT_PHASE:
		result->ok = rollouts_set_phase (&state->rollouts, command->u.rollout_phase.started,
			command->u.rollout_phase.phase, index, state->log_time_ms);
		if (result->ok)
			state->epoch = index;
		return;
	case COMMAND_KIND_COUNT:
		return;
	}
}

void
state_apply (struct state *state, uint64_t index, const void *data, size_t len,
	struct state_result *result)
{
	struct command command;
	memset (result, 0, sizeof (*result));
	result->kind = COMMAND_KIND_COUNT;
	state->applied = index;
	void *storage = command_decode (&command, data, len);
	if (!storage)
		return;
	result->kind = command.kind;
	if (command.log_time_ms > state->log_time_ms)
		state->log_time_ms = command.log_time_ms;
	ledger_expire (&state->ledger, state->log_time_ms);
	apply_command (state, index, &command, result);
	command_decode_finish (storage);
}

void *
state_encode (const struct state *state, bool full, size_t *len)
{
	struct pack_writer writer;
	pack_start (&writer);
	pack_array (&writer, 10);
	pack_u64 (&writer, state->applied);
	pack_u64 (&writer, state->epoch);
	pack_i64 (&writer, state->log_time_ms);
	resources_write (&state->resources, full, &writer);
	members_write (&state->members, &writer);
	if (full) {
		ledger_write (&state->ledger, &writer);
	} else {
		pack_array (&writer, 0);
	}
	pack_u64 (&writer, state->routing.version);
	pack_bytes (&writer, state->routing.document ? state->routing.document : "",
		state->routing.len);
	pack_u64 (&writer, state->last_order);
	rollouts_write (&state->rollouts, &writer);
	return pack_end (&writer, len);
}

bool
state_decode (struct state *state, const void *data, size_t len)
{
	struct pack_tree tree;
	struct pack_node root = pack_parse_document (&tree, data, len);
	state->applied = pack_get_u64 (pack_at (root, 0));
	state->epoch = pack_get_u64 (pack_at (root, 1));
	state->log_time_ms = pack_get_i64 (pack_at (root, 2));
	bool ok = pack_ok (root) && resources_read (&state->resources, pack_at (root, 3)) &&
		  members_read (&state->members, pack_at (root, 4)) &&
		  ledger_read (&state->ledger, pack_at (root, 5));
	size_t routing_len = 0;
	uint64_t version = pack_get_u64 (pack_at (root, 6));
	const char *document = pack_get_bytes (pack_at (root, 7), &routing_len);
	/* Snapshots of earlier builds lack the last items. */
	state->last_order = pack_length (root) > 8 ? pack_get_u64 (pack_at (root, 8)) : 0;
	state->rollouts.count = 0;
	if (pack_length (root) > 9)
		rollouts_read (&state->rollouts, pack_at (root, 9));
	state->routing.version = 0;
	if (ok && version > 0)
		set_routing (&state->routing, version, document, routing_len);
	return pack_free (&tree) && ok;
}
