#include "control/raft_log.h"
#include "control/raft.h"
#include "core/buf.h"
#include "core/pack.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

uint64_t
raft_last_index (const struct raft *raft)
{
	return raft->snapshot_index + raft->entry_count;
}

const struct raft_entry *
raft_entry_at (const struct raft *raft, uint64_t index)
{
	if (index <= raft->snapshot_index || index > raft_last_index (raft))
		return NULL;
	return &raft->entries[index - raft->snapshot_index - 1];
}

uint64_t
raft_term_at (const struct raft *raft, uint64_t index)
{
	if (index == raft->snapshot_index)
		return raft->snapshot_term;
	const struct raft_entry *entry = raft_entry_at (raft, index);
	return entry ? entry->term : 0;
}

/* Uses the newest configuration in the log: one takes effect as soon as it is appended. */
static void
load_newest_config (struct raft *raft)
{
	raft->config = raft->snapshot_config;
	raft->config_index = raft->snapshot_index;
	for (size_t i = raft->entry_count; i > 0; i--) {
		const struct raft_entry *entry = &raft->entries[i - 1];
		if (entry->type != RAFT_CONFIG)
			continue;
		raft_config_decode (&raft->config, entry->data, entry->len);
		raft->config_index = raft->snapshot_index + i;
		return;
	}
}

/* Keeps the progress records of nodes that are in both configurations. */
static void
apply_config (struct raft *raft, const struct raft_config *config, uint64_t index)
{
	struct raft_config old = raft->config;
	struct raft_progress old_progress[RAFT_MAX_NODES];
	memcpy (old_progress, raft->progress, sizeof (old_progress));
	raft->config = *config;
	raft->config_index = index;
	for (int i = 0; i < config->count; i++) {
		raft->progress[i] = (struct raft_progress){.next = raft_last_index (raft) + 1};
		for (int j = 0; j < old.count; j++) {
			if (old.nodes[j].id == config->nodes[i].id)
				raft->progress[i] = old_progress[j];
		}
	}
}

void
raft_log_append (struct raft *raft, struct raft_entry entry)
{
	if (raft->entry_count == raft->entry_cap) {
		raft->entry_cap = raft->entry_cap ? raft->entry_cap * 2 : 256;
		raft->entries = xrealloc (raft->entries, raft->entry_cap * sizeof (*raft->entries));
	}
	raft->entries[raft->entry_count++] = entry;
	struct raft_config config;
	if (entry.type == RAFT_CONFIG && raft_config_decode (&config, entry.data, entry.len))
		apply_config (raft, &config, raft_last_index (raft));
}

void
raft_log_truncate (struct raft *raft, uint64_t from)
{
	assert (from > raft->commit);
	for (uint64_t i = from; i <= raft_last_index (raft); i++)
		free (raft->entries[i - raft->snapshot_index - 1].data);
	raft->entry_count = from - raft->snapshot_index - 1;
	if (raft->saved_index >= from)
		raft->saved_index = from - 1;
	if (raft->truncated_from == 0 || from < raft->truncated_from)
		raft->truncated_from = from;
	if (raft->config_index >= from)
		load_newest_config (raft);
}

/* Drops the entries up to an index, or all of them when the log ends before it. */
static void
drop_prefix (struct raft *raft, uint64_t index)
{
	uint64_t last = raft_last_index (raft);
	size_t dropped = index < last ? index - raft->snapshot_index : raft->entry_count;
	for (size_t i = 0; i < dropped; i++)
		free (raft->entries[i].data);
	raft->entry_count -= dropped;
	memmove (raft->entries, raft->entries + dropped,
		raft->entry_count * sizeof (*raft->entries));
}

static void
get_config_at (const struct raft *raft, uint64_t index, struct raft_config *config)
{
	*config = raft->snapshot_config;
	for (uint64_t i = index; i > raft->snapshot_index; i--) {
		const struct raft_entry *entry = raft_entry_at (raft, i);
		if (entry && entry->type == RAFT_CONFIG) {
			raft_config_decode (config, entry->data, entry->len);
			return;
		}
	}
}

void
raft_compact (struct raft *raft, uint64_t index, void *data, size_t len)
{
	assert (index > raft->snapshot_index && index <= raft->commit);
	uint64_t term = raft_term_at (raft, index);
	get_config_at (raft, index, &raft->snapshot_config);
	drop_prefix (raft, index);
	raft->snapshot_index = index;
	raft->snapshot_term = term;
	free (raft->snapshot);
	raft->snapshot = data;
	raft->snapshot_len = len;
	raft->snapshot_changed = true;
	if (raft->config_index < index)
		raft->config_index = index;
	for (int i = 0; i < RAFT_MAX_NODES; i++)
		raft->progress[i].snapshot_offset = 0;
}

/* Keeps the entries after the snapshot when the log has the snapshot's last entry. */
void
raft_log_install (struct raft *raft, uint64_t index, uint64_t term,
	const struct raft_config *config, void *data, size_t len)
{
	bool keep = raft_term_at (raft, index) == term && raft_last_index (raft) > index;
	if (keep) {
		drop_prefix (raft, index);
	} else {
		for (size_t i = 0; i < raft->entry_count; i++)
			free (raft->entries[i].data);
		raft->entry_count = 0;
	}
	free (raft->snapshot);
	raft->snapshot = data;
	raft->snapshot_len = len;
	raft->snapshot_index = index;
	raft->snapshot_term = term;
	raft->snapshot_config = *config;
	if (raft->commit < index)
		raft->commit = index;
	if (raft->saved_index < index || !keep)
		raft->saved_index = index;
	raft->truncated_from = 0;
	load_newest_config (raft);
}

void
raft_restore_hard_state (struct raft *raft, uint64_t term, uint64_t voted_for)
{
	raft->term = term;
	raft->voted_for = voted_for;
}

void
raft_restore_snapshot (struct raft *raft, uint64_t index, uint64_t term,
	const struct raft_config *config, void *data, size_t len)
{
	raft_log_install (raft, index, term, config, data, len);
}

void
raft_restore_entry (struct raft *raft, uint64_t index, struct raft_entry entry)
{
	assert (index == raft_last_index (raft) + 1);
	raft_log_append (raft, entry);
	raft->saved_index = index;
}

void
raft_restore_truncation (struct raft *raft)
{
	raft_log_truncate (raft, raft_last_index (raft));
	raft->truncated_from = 0;
}

bool
raft_needs_save (const struct raft *raft)
{
	return raft->hard_state_changed || raft->snapshot_changed || raft->truncated_from != 0 ||
	       raft->saved_index < raft_last_index (raft);
}

void *
raft_config_encode (const struct raft_config *config, size_t *len)
{
	struct pack_writer writer;
	pack_start (&writer);
	pack_array (&writer, (size_t)config->count);
	for (int i = 0; i < config->count; i++) {
		bool changes = config->nodes[i].change != RAFT_STAYS;
		pack_array (&writer, changes ? 5 : 4);
		pack_u64 (&writer, config->nodes[i].id);
		pack_str (&writer, config->nodes[i].name);
		pack_str (&writer, config->nodes[i].address);
		pack_bool (&writer, config->nodes[i].voter);
		if (changes)
			pack_u64 (&writer, (uint64_t)config->nodes[i].change);
	}
	return pack_end (&writer, len);
}

bool
raft_config_decode (struct raft_config *config, const void *data, size_t len)
{
	struct pack_tree tree;
	struct raft_config decoded = {0};
	struct pack_node root = pack_parse (&tree, data, len);
	size_t count = pack_length (root);
	bool known_changes = true;
	for (size_t i = 0; i < count && i < RAFT_MAX_NODES; i++) {
		struct pack_node item = pack_at (root, i);
		struct raft_node *node = &decoded.nodes[decoded.count++];
		node->id = pack_get_u64 (pack_at (item, 0));
		pack_copy_str (pack_at (item, 1), node->name, sizeof (node->name));
		pack_copy_str (pack_at (item, 2), node->address, sizeof (node->address));
		node->voter = pack_get_bool (pack_at (item, 3));
		uint64_t change = pack_length (item) > 4 ? pack_get_u64 (pack_at (item, 4)) : 0;
		known_changes = known_changes && change <= RAFT_LEAVES;
		node->change = (enum raft_change)change;
	}
	bool ok = pack_free (&tree) && count <= RAFT_MAX_NODES && known_changes;
	if (ok)
		*config = decoded;
	return ok;
}
