#include "store/store.h"

#include "core/buf.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

/*
 * Files: identity (16 bytes: id, checksum), snapshot (one record), log (records). A record is a
 * header of 16 bytes (length, type, checksum over type and body) and a body.
 */

enum record_type {
	RECORD_HARD_STATE = 1,
	RECORD_ENTRY = 2,
	RECORD_TRUNCATE = 3,
	RECORD_SNAPSHOT = 4
};

enum { HEADER_BYTES = 16, RECORD_MAX_BYTES = 1 << 30 };

struct header {
	uint32_t len;
	uint32_t type;
	uint64_t checksum;
};

struct reader {
	const char *data;
	size_t len;
	size_t offset;
};

enum read_result { READ_OK, READ_END, READ_INVALID };

static bool
set_io_error (struct error *error, const struct store *store, const char *file, const char *action)
{
	if (errno == ENOSPC || errno == EDQUOT)
		return error_set (error, ERROR_DISK_FULL,
			"%.180s/%s: cannot %s: the disk is full; free space", store->dir, file,
			action);
	return error_set (error, ERROR_IO,
		"%.180s/%s: cannot %s (%s); check the disk, then restart", store->dir, file, action,
		strerror (errno));
}

static bool
set_damaged_error (struct error *error, const struct store *store, const char *file)
{
	return error_set (error, ERROR_DAMAGED,
		"%.160s/%s: damaged; move the whole folder away and restart; this VM then rejoins "
		"as a new learner",
		store->dir, file);
}

static bool
write_all (int fd, const void *data, size_t len)
{
	const char *next = data;
	while (len > 0) {
		ssize_t n = write (fd, next, len);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		next += n;
		len -= (size_t)n;
	}
	return true;
}

static uint64_t
checksum (uint32_t type, const void *body, size_t len)
{
	return XXH64 (body, len, type);
}

static void
add_record (struct buf *out, uint32_t type, const struct buf *body)
{
	struct header header = {(uint32_t)body->len, type, checksum (type, body->data, body->len)};
	buf_add (out, &header, sizeof (header));
	buf_add (out, body->data, body->len);
}

static enum read_result
read_record (struct reader *reader, struct header *header, const char **body)
{
	size_t remaining = reader->len - reader->offset;
	if (remaining == 0)
		return READ_END;
	if (remaining < HEADER_BYTES)
		return READ_INVALID;
	memcpy (header, reader->data + reader->offset, HEADER_BYTES);
	if (header->len > RECORD_MAX_BYTES || header->len > remaining - HEADER_BYTES)
		return READ_INVALID;
	*body = reader->data + reader->offset + HEADER_BYTES;
	if (checksum (header->type, *body, header->len) != header->checksum)
		return READ_INVALID;
	reader->offset += HEADER_BYTES + header->len;
	return READ_OK;
}

static bool
read_file (const struct store *store, const char *name, struct buf *out, bool *exists,
	struct error *error)
{
	char chunk[65536];
	int fd = openat (store->dir_fd, name, O_RDONLY | O_CLOEXEC);
	*exists = fd >= 0;
	buf_add (out, "", 0);
	if (fd < 0)
		return errno == ENOENT || set_io_error (error, store, name, "open it");
	ssize_t n = 0;
	while ((n = read (fd, chunk, sizeof (chunk))) > 0)
		buf_add (out, chunk, (size_t)n);
	close (fd);
	return n == 0 || set_io_error (error, store, name, "read it");
}

/* Replaces a file atomically: writes and syncs a temporary file, renames it, syncs the folder. */
static bool
replace_file (
	const struct store *store, const char *name, const struct buf *content, struct error *error)
{
	char temp_name[64];
	snprintf (temp_name, sizeof (temp_name), "%s.new", name);
	int fd = openat (store->dir_fd, temp_name, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	if (fd < 0)
		return set_io_error (error, store, temp_name, "create it");
	bool ok = write_all (fd, content->data, content->len) && fsync (fd) == 0;
	int saved_errno = errno;
	close (fd);
	if (!ok)
		unlinkat (store->dir_fd, temp_name, 0); /* frees its space on a full disk */
	errno = saved_errno;
	if (!ok)
		return set_io_error (error, store, temp_name, "write it");
	if (renameat (store->dir_fd, temp_name, store->dir_fd, name) != 0 ||
		fsync (store->dir_fd) != 0)
		return set_io_error (error, store, name, "replace it");
	return true;
}

bool
store_set_identity (struct store *store, uint64_t id, struct error *error)
{
	uint64_t record[2] = {id, checksum (0, &id, sizeof (id))};
	struct buf content = {.data = (char *)record, .len = sizeof (record)};
	store->disk_id = id;
	return replace_file (store, "identity", &content, error);
}

static bool
create_identity (struct store *store, struct error *error)
{
	struct stat st;
	if (fstatat (store->dir_fd, "log", &st, 0) == 0 ||
		fstatat (store->dir_fd, "snapshot", &st, 0) == 0)
		return set_damaged_error (error, store, "identity");
	uint64_t record[2] = {0, 0};
	while (record[0] == 0) {
		if (getrandom (&record[0], sizeof (record[0]), 0) != sizeof (record[0]))
			return set_io_error (
				error, store, "identity", "generate a random id for it");
	}
	return store_set_identity (store, record[0], error);
}

static bool
read_identity (struct store *store, struct error *error)
{
	struct buf content;
	bool exists = false;
	uint64_t record[2] = {0, 0};
	buf_init (&content);
	bool ok = read_file (store, "identity", &content, &exists, error);
	size_t len = content.len;
	if (len == sizeof (record))
		memcpy (record, content.data, sizeof (record));
	buf_finish (&content);
	if (!ok)
		return false;
	if (!exists)
		return create_identity (store, error);
	if (len != sizeof (record) || record[1] != checksum (0, &record[0], sizeof (record[0])))
		return set_damaged_error (error, store, "identity");
	store->disk_id = record[0];
	return true;
}

bool
store_open (struct store *store, const char *dir, struct error *error)
{
	memset (store, 0, sizeof (*store));
	store->log_fd = -1;
	str_copy (store->dir, sizeof (store->dir), dir);
	if (mkdir (dir, 0700) != 0 && errno != EEXIST)
		return error_set (error, ERROR_IO,
			"%.200s: cannot be created (%s); create it or correct control.data_dir",
			dir, strerror (errno));
	store->dir_fd = open (dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (store->dir_fd < 0)
		return error_set (error, ERROR_IO,
			"%.200s: cannot be opened (%s); check control.data_dir", dir,
			strerror (errno));
	if (flock (store->dir_fd, LOCK_EX | LOCK_NB) != 0) {
		close (store->dir_fd);
		return error_set (error, ERROR_IO,
			"%.200s: in use by another process; give each process its own "
			"control.data_dir",
			dir);
	}
	if (read_identity (store, error))
		return true;
	close (store->dir_fd);
	return false;
}

void
store_close (struct store *store)
{
	if (store->log_fd >= 0)
		close (store->log_fd);
	close (store->dir_fd);
	store->log_fd = -1;
}

static void
encode_snapshot (struct buf *out, const struct raft *raft)
{
	uint64_t fields[3] = {raft->snapshot_index, raft->snapshot_term, 0};
	size_t len = 0;
	void *config = raft_config_encode (&raft->snapshot_config, &len);
	fields[2] = len;
	buf_add (out, fields, sizeof (fields));
	buf_add (out, config, len);
	buf_add (out, raft->snapshot, raft->snapshot_len);
	free (config);
}

static bool
load_snapshot (struct store *store, struct raft *raft, struct error *error)
{
	struct buf content;
	struct header header = {0};
	struct raft_config config = {0};
	uint64_t fields[3] = {0};
	const char *body = NULL;
	bool exists = false;
	buf_init (&content);
	bool ok = read_file (store, "snapshot", &content, &exists, error);
	if (!ok || !exists) {
		buf_finish (&content);
		return ok;
	}
	struct reader reader = {content.data, content.len, 0};
	ok = read_record (&reader, &header, &body) == READ_OK && reader.offset == content.len &&
	     header.type == RECORD_SNAPSHOT && header.len >= sizeof (fields);
	if (ok)
		memcpy (fields, body, sizeof (fields));
	ok = ok && fields[2] <= header.len - sizeof (fields) &&
	     raft_config_decode (&config, body + sizeof (fields), fields[2]);
	if (ok) {
		size_t prefix_len = sizeof (fields) + fields[2];
		raft_restore_snapshot (raft, fields[0], fields[1], &config,
			xmemdup (body + prefix_len, header.len - prefix_len),
			header.len - prefix_len);
	}
	buf_finish (&content);
	return ok || set_damaged_error (error, store, "snapshot");
}

static bool
load_record (struct raft *raft, const struct header *header, const char *body)
{
	uint64_t fields[3] = {0};
	size_t len = header->len < sizeof (fields) ? header->len : sizeof (fields);
	memcpy (fields, body, len);
	switch ((enum record_type)header->type) {
	case RECORD_HARD_STATE:
		raft_restore_hard_state (raft, fields[0], fields[1]);
		return len >= 16;
	case RECORD_TRUNCATE:
		while (raft_last_index (raft) >= fields[0] &&
			raft_last_index (raft) > raft->snapshot_index)
			raft_restore_truncation (raft);
		return len >= 8;
	case RECORD_ENTRY: {
		if (len < sizeof (fields) || fields[2] > RAFT_CONFIG)
			return false;
		/* From before the snapshot: the process ended before it rewrote the log. */
		if (fields[0] <= raft->snapshot_index || fields[1] < raft->snapshot_term)
			return true;
		if (fields[0] != raft_last_index (raft) + 1)
			return false;
		struct raft_entry entry = {
			.term = fields[1], .type = (enum raft_entry_type)fields[2]};
		entry.len = header->len - sizeof (fields);
		entry.data = xmemdup (body + sizeof (fields), entry.len);
		raft_restore_entry (raft, fields[0], entry);
		return true;
	}
	case RECORD_SNAPSHOT:
		return false;
	}
	return false;
}

/* An invalid record followed by a valid one is damage: a torn write affects only the tail. */
static bool
valid_record_follows (const struct reader *reader)
{
	struct header header;
	const char *body = NULL;
	if (reader->len - reader->offset < HEADER_BYTES)
		return false;
	for (size_t offset = reader->offset + 1; offset + HEADER_BYTES <= reader->len; offset++) {
		struct reader probe = {reader->data, reader->len, offset};
		memcpy (&header, reader->data + offset, HEADER_BYTES);
		if (header.type < RECORD_HARD_STATE || header.type > RECORD_TRUNCATE)
			continue;
		if (read_record (&probe, &header, &body) == READ_OK)
			return true;
	}
	return false;
}

static bool
load_log (struct store *store, struct raft *raft, struct error *error)
{
	struct buf content;
	bool exists = false;
	buf_init (&content);
	bool ok = read_file (store, "log", &content, &exists, error);
	struct reader reader = {content.data, content.len, 0};
	struct header header;
	const char *body = NULL;
	enum read_result result = READ_END;
	while (ok && (result = read_record (&reader, &header, &body)) == READ_OK)
		ok = load_record (raft, &header, body) || set_damaged_error (error, store, "log");
	if (ok && result == READ_INVALID && valid_record_follows (&reader))
		ok = set_damaged_error (error, store, "log");
	store->log_tail_truncated = ok && result == READ_INVALID;
	store->log_size = reader.offset;
	buf_finish (&content);
	return ok;
}

bool
store_load (struct store *store, struct raft *raft, struct error *error)
{
	if (!load_snapshot (store, raft, error) || !load_log (store, raft, error))
		return false;
	store->log_fd =
		openat (store->dir_fd, "log", O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	if (store->log_fd < 0)
		return set_io_error (error, store, "log", "open it");
	if (ftruncate (store->log_fd, (off_t)store->log_size) != 0 || fsync (store->log_fd) != 0 ||
		fsync (store->dir_fd) != 0)
		return set_io_error (error, store, "log", "truncate its torn tail");
	return true;
}

static void
add_hard_state (struct buf *out, const struct raft *raft)
{
	uint64_t fields[2] = {raft->term, raft->voted_for};
	struct buf body = {.data = (char *)fields, .len = sizeof (fields)};
	add_record (out, RECORD_HARD_STATE, &body);
}

static void
add_entries (struct buf *out, const struct raft *raft, uint64_t from)
{
	struct buf body;
	buf_init (&body);
	for (uint64_t index = from; index <= raft_last_index (raft); index++) {
		const struct raft_entry *entry = raft_entry_at (raft, index);
		uint64_t fields[3] = {index, entry->term, entry->type};
		buf_reset (&body);
		buf_add (&body, fields, sizeof (fields));
		buf_add (&body, entry->data, entry->len);
		add_record (out, RECORD_ENTRY, &body);
	}
	buf_finish (&body);
}

/* The snapshot is complete on disk before the log entries that it covers are removed. */
static bool
save_snapshot (struct store *store, const struct raft *raft, struct error *error)
{
	struct buf body;
	struct buf content;
	buf_init (&body);
	buf_init (&content);
	encode_snapshot (&body, raft);
	add_record (&content, RECORD_SNAPSHOT, &body);
	bool ok = replace_file (store, "snapshot", &content, error);
	buf_reset (&content);
	add_hard_state (&content, raft);
	add_entries (&content, raft, raft->snapshot_index + 1);
	ok = ok && replace_file (store, "log", &content, error);
	if (ok)
		store->log_size = content.len;
	buf_finish (&body);
	buf_finish (&content);
	if (!ok)
		return false;
	close (store->log_fd);
	store->partial_write = false;
	store->log_fd = openat (store->dir_fd, "log", O_RDWR | O_APPEND | O_CLOEXEC);
	return store->log_fd >= 0 || set_io_error (error, store, "log", "open it");
}

/*
 * Only a write that failed because the disk is full may be repeated. After a failed sync the
 * content of the file is unknown, so any sync error is reported as EIO, which is final.
 */
static bool
append (struct store *store, const struct buf *content)
{
	if (content->len == 0)
		return true;
	if (store->partial_write && ftruncate (store->log_fd, (off_t)store->log_size) != 0)
		return false;
	store->partial_write = !write_all (store->log_fd, content->data, content->len);
	if (store->partial_write)
		return false;
	if (fdatasync (store->log_fd) != 0) {
		errno = EIO;
		return false;
	}
	store->log_size += content->len;
	return true;
}

bool
store_save (struct store *store, const struct raft *raft, struct error *error)
{
	if (raft->snapshot_changed)
		return save_snapshot (store, raft, error);
	struct buf content;
	buf_init (&content);
	if (raft->truncated_from != 0) {
		uint64_t from = raft->truncated_from;
		struct buf body = {.data = (char *)&from, .len = sizeof (from)};
		add_record (&content, RECORD_TRUNCATE, &body);
	}
	if (raft->hard_state_changed)
		add_hard_state (&content, raft);
	add_entries (&content, raft, raft->saved_index + 1);
	bool ok = append (store, &content);
	int saved_errno = errno;
	buf_finish (&content);
	errno = saved_errno;
	return ok || set_io_error (error, store, "log", "write it");
}
