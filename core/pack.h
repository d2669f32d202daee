/**
 * @file pack.h
 * Encoding and decoding of MessagePack arrays of numbers, booleans and bytes, based on libmpack.
 *
 * The decoder is safe for arbitrary input. Data that is malformed, nested too deeply or of the
 * wrong type marks the tree as failed and reads as zero, so that callers check for errors once at
 * the end.
 */
#pragma once

#include "core/buf.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	PACK_MAX_DEPTH = 12,
	/** Items of a message: an item may stand in one byte, but takes far more once decoded. */
	PACK_MAX_ITEMS = 262144,
};

/** Encodes into a growing buffer. */
struct pack_writer {
	struct buf out;
};

void
pack_start (struct pack_writer *writer);

/** Returns the encoded bytes, which the caller frees. */
void *
pack_end (struct pack_writer *writer, size_t *len);

/** Starts an array; the caller then writes @p count items. */
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

/** Decoded items; they point into the decoded data. */
struct pack_tree {
	struct pack_item *items;
	uint32_t count;
	uint32_t cap;
	uint32_t max_items;
	bool failed;
};

/** A reference to one item of a tree. */
struct pack_node {
	struct pack_tree *tree;
	uint32_t index;
};

/** Decodes a message and returns the root. Always call pack_free afterwards. */
struct pack_node
pack_parse (struct pack_tree *tree, const void *data, size_t len);

/** As pack_parse, for a document of any number of items. */
struct pack_node
pack_parse_document (struct pack_tree *tree, const void *data, size_t len);

/** Frees the tree; returns false if it is marked as failed. */
bool
pack_free (struct pack_tree *tree);

bool
pack_ok (struct pack_node node);

/** Marks the tree as failed, for a value that the caller rejects. */
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

/** A number below @p bound; any other item marks the tree as failed and reads as 0. */
unsigned
pack_get_below (struct pack_node node, unsigned bound);

/** The bytes of a string or binary item; points into the decoded data. */
const char *
pack_get_bytes (struct pack_node node, size_t *len);

/**
 * Returns a copy of a string, which the caller frees. A string with NUL bytes marks the tree as
 * failed and reads as empty.
 */
char *
pack_dup_str (struct pack_node node);

/**
 * Copies a string to @p to. A string that does not fit or has NUL bytes marks the tree as failed
 * and reads as empty.
 */
void
pack_copy_str (struct pack_node node, char *to, size_t size);
