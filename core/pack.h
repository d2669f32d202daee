/**
 * @file pack.h
 * Encoding and decoding of nested arrays of numbers, flags and bytes over libmpack's tokens.
 *
 * The reader accepts any bytes: what is malformed, too deep or of the wrong type marks the tree
 * as failed and reads as zero, so that callers check once at the end.
 */
#pragma once

#include "core/buf.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { PACK_MAX_DEPTH = 12 };

/** Writes into a growing buffer. */
struct pack_writer {
	struct buf out;
};

void
pack_start (struct pack_writer *writer);

/** Hands the bytes over; the caller frees them. */
void *
pack_end (struct pack_writer *writer, size_t *len);

/** Announces an array; its items follow. */
void
pack_array (struct pack_writer *writer, size_t count);
void
pack_u64 (struct pack_writer *writer, uint64_t value);
void
pack_i64 (struct pack_writer *writer, int64_t value);
void
pack_bool (struct pack_writer *writer, bool value);
void
pack_nil (struct pack_writer *writer);
void
pack_str (struct pack_writer *writer, const char *text);
void
pack_bytes (struct pack_writer *writer, const void *data, size_t len);

struct pack_item;

/** Decoded items; points into the bytes it was made from. */
struct pack_tree {
	struct pack_item *items;
	uint32_t count;
	uint32_t cap;
	bool failed;
};

/** One item of a tree. */
struct pack_node {
	struct pack_tree *tree;
	uint32_t at;
};

/** Decodes bytes; always call pack_free afterwards. */
struct pack_node
pack_parse (struct pack_tree *tree, const void *data, size_t len);

/** Frees the tree; true when nothing in it was malformed or read as the wrong type. */
bool
pack_free (struct pack_tree *tree);

bool
pack_ok (struct pack_node node);

/** Marks the tree as failed, for a value that its reader refuses. */
void
pack_fail (struct pack_node node);

size_t
pack_length (struct pack_node array);
struct pack_node
pack_at (struct pack_node array, size_t index);
uint64_t
pack_get_u64 (struct pack_node node);
int64_t
pack_get_i64 (struct pack_node node);
bool
pack_get_bool (struct pack_node node);

/** A number below @p bound; anything else fails the tree and reads as 0. */
unsigned
pack_get_below (struct pack_node node, unsigned bound);

/** The bytes of a text or binary item, inside the decoded data. */
const char *
pack_get_bytes (struct pack_node node, size_t *len);

/** A copy of a text without NUL bytes, which the caller frees; empty when the tree fails. */
char *
pack_dup_str (struct pack_node node);

/** Copies a text without NUL bytes; one that does not fit fails the tree. */
void
pack_copy_str (struct pack_node node, char *to, size_t size);
