#include "core/pack.h"

#include <mpack.h>
#include <stdlib.h>
#include <string.h>

enum item_type { ITEM_NIL, ITEM_BOOL, ITEM_UNSIGNED, ITEM_SIGNED, ITEM_BYTES, ITEM_ARRAY };

struct pack_item {
	enum item_type type;
	uint32_t count; /* items of an array */
	uint32_t first; /* position of the first item of an array; the others follow it */
	size_t len;
	union {
		uint64_t number;
		int64_t negative;
		const char *bytes;
	} u;
};

struct cursor {
	struct pack_tree *tree;
	mpack_tokbuf_t tokens;
	const char *data;
	size_t left;
};

void
pack_start (struct pack_writer *writer)
{
	buf_init (&writer->out);
}

void *
pack_end (struct pack_writer *writer, size_t *len)
{
	buf_add (&writer->out, "", 0);
	*len = writer->out.len;
	return writer->out.data;
}

static void
put_token (struct pack_writer *writer, mpack_token_t token)
{
	char bytes[MPACK_MAX_TOKEN_LEN];
	char *at = bytes;
	size_t left = sizeof (bytes);
	mpack_tokbuf_t tokens = MPACK_TOKBUF_INITIAL_VALUE;
	mpack_write (&tokens, &at, &left, &token);
	buf_add (&writer->out, bytes, sizeof (bytes) - left);
}

void
pack_array (struct pack_writer *writer, size_t count)
{
	put_token (writer, mpack_pack_array ((mpack_uint32_t)count));
}

void
pack_u64 (struct pack_writer *writer, uint64_t value)
{
	put_token (writer, mpack_pack_uint (value));
}

void
pack_i64 (struct pack_writer *writer, int64_t value)
{
	put_token (writer, mpack_pack_sint (value));
}

void
pack_bool (struct pack_writer *writer, bool value)
{
	put_token (writer, mpack_pack_boolean (value));
}

void
pack_nil (struct pack_writer *writer)
{
	put_token (writer, mpack_pack_nil ());
}

void
pack_str (struct pack_writer *writer, const char *text)
{
	size_t len = strlen (text);
	put_token (writer, mpack_pack_str ((mpack_uint32_t)len));
	buf_add (&writer->out, text, len);
}

void
pack_bytes (struct pack_writer *writer, const void *data, size_t len)
{
	put_token (writer, mpack_pack_bin ((mpack_uint32_t)len));
	buf_add (&writer->out, data, len);
}

/* Appends consecutive zeroed items; returns the position of the first. */
static uint32_t
append_items (struct pack_tree *tree, uint32_t count)
{
	uint32_t first = tree->count;
	if (tree->count + count > tree->cap) {
		uint32_t cap = tree->cap ? tree->cap : 32;
		while (cap < tree->count + count)
			cap *= 2;
		tree->items = xrealloc (tree->items, cap * sizeof (*tree->items));
		tree->cap = cap;
	}
	memset (&tree->items[first], 0, count * sizeof (*tree->items));
	tree->count += count;
	return first;
}

static bool
next_token (struct cursor *cursor, mpack_token_t *token)
{
	return cursor->left > 0 &&
	       mpack_read (&cursor->tokens, &cursor->data, &cursor->left, token) == MPACK_OK;
}

static bool
read_bytes (struct cursor *cursor, uint32_t index, size_t len)
{
	mpack_token_t chunk = {0};
	struct pack_item *item = &cursor->tree->items[index];
	item->type = ITEM_BYTES;
	item->len = len;
	item->u.bytes = cursor->data;
	if (len == 0)
		return true;
	return len <= cursor->left && next_token (cursor, &chunk) && chunk.length == len;
}

static bool
read_item (struct cursor *cursor, uint32_t index, int depth);

static bool
read_array (struct cursor *cursor, uint32_t index, uint32_t count, int depth)
{
	/* Each item takes at least one byte; this limits what a forged count can allocate. */
	if (count > cursor->left || depth >= PACK_MAX_DEPTH ||
		count > cursor->tree->max_items - cursor->tree->count)
		return false;
	uint32_t first = append_items (cursor->tree, count);
	cursor->tree->items[index].type = ITEM_ARRAY;
	cursor->tree->items[index].count = count;
	cursor->tree->items[index].first = first;
	for (uint32_t i = 0; i < count; i++) {
		if (!read_item (cursor, first + i, depth + 1))
			return false;
	}
	return true;
}

static bool
read_item (struct cursor *cursor, uint32_t index, int depth)
{
	mpack_token_t token = {0};
	if (!next_token (cursor, &token))
		return false;
	struct pack_item *item = &cursor->tree->items[index];
	switch (token.type) {
	case MPACK_TOKEN_NIL:
		item->type = ITEM_NIL;
		return true;
	case MPACK_TOKEN_BOOLEAN:
		item->type = ITEM_BOOL;
		item->u.number = mpack_unpack_boolean (token);
		return true;
	case MPACK_TOKEN_UINT:
		item->type = ITEM_UNSIGNED;
		item->u.number = mpack_unpack_uint (token);
		return true;
	case MPACK_TOKEN_SINT:
		item->type = ITEM_SIGNED;
		item->u.negative = mpack_unpack_sint (token);
		return true;
	case MPACK_TOKEN_STR:
	case MPACK_TOKEN_BIN:
		return read_bytes (cursor, index, token.length);
	case MPACK_TOKEN_ARRAY:
		return read_array (cursor, index, token.length, depth);
	default:
		return false;
	}
}

static struct pack_node
parse (struct pack_tree *tree, const void *data, size_t len, uint32_t max_items)
{
	memset (tree, 0, sizeof (*tree));
	tree->max_items = max_items;
	struct cursor cursor = {.tree = tree, .data = data, .left = len};
	mpack_tokbuf_init (&cursor.tokens);
	uint32_t root = append_items (tree, 1);
	tree->failed = !read_item (&cursor, root, 0);
	return (struct pack_node){tree, root};
}

struct pack_node
pack_parse (struct pack_tree *tree, const void *data, size_t len)
{
	return parse (tree, data, len, PACK_MAX_ITEMS);
}

struct pack_node
pack_parse_document (struct pack_tree *tree, const void *data, size_t len)
{
	return parse (tree, data, len, UINT32_MAX);
}

bool
pack_free (struct pack_tree *tree)
{
	free (tree->items);
	tree->items = NULL;
	return !tree->failed;
}

bool
pack_ok (struct pack_node node)
{
	return !node.tree->failed;
}

void
pack_fail (struct pack_node node)
{
	node.tree->failed = true;
}

static const struct pack_item *
item_of_type (struct pack_node node, enum item_type type)
{
	const struct pack_item *item = &node.tree->items[node.index];
	if (!node.tree->failed && item->type == type)
		return item;
	node.tree->failed = true;
	return NULL;
}

size_t
pack_length (struct pack_node array)
{
	const struct pack_item *item = item_of_type (array, ITEM_ARRAY);
	return item ? item->count : 0;
}

struct pack_node
pack_at (struct pack_node array, size_t index)
{
	const struct pack_item *item = item_of_type (array, ITEM_ARRAY);
	if (item && index < item->count)
		return (struct pack_node){array.tree, item->first + (uint32_t)index};
	array.tree->failed = true;
	return array;
}

uint64_t
pack_get_u64 (struct pack_node node)
{
	const struct pack_item *item = item_of_type (node, ITEM_UNSIGNED);
	return item ? item->u.number : 0;
}

int64_t
pack_get_i64 (struct pack_node node)
{
	const struct pack_item *item = &node.tree->items[node.index];
	if (!node.tree->failed && item->type == ITEM_SIGNED)
		return item->u.negative;
	uint64_t number = pack_get_u64 (node);
	if (number > INT64_MAX)
		pack_fail (node);
	return number > INT64_MAX ? 0 : (int64_t)number;
}

bool
pack_get_bool (struct pack_node node)
{
	const struct pack_item *item = item_of_type (node, ITEM_BOOL);
	return item && item->u.number;
}

unsigned
pack_get_below (struct pack_node node, unsigned bound)
{
	uint64_t value = pack_get_u64 (node);
	if (value < bound)
		return (unsigned)value;
	pack_fail (node);
	return 0;
}

const char *
pack_get_bytes (struct pack_node node, size_t *len)
{
	const struct pack_item *item = item_of_type (node, ITEM_BYTES);
	*len = item ? item->len : 0;
	return item && item->len ? item->u.bytes : "";
}

char *
pack_dup_str (struct pack_node node)
{
	size_t len = 0;
	const char *bytes = pack_get_bytes (node, &len);
	if (memchr (bytes, '\0', len)) {
		pack_fail (node);
		len = 0;
	}
	return xmemdup (bytes, len);
}

void
pack_copy_str (struct pack_node node, char *to, size_t size)
{
	size_t len = 0;
	const char *bytes = pack_get_bytes (node, &len);
	if (len >= size || memchr (bytes, '\0', len)) {
		pack_fail (node);
		len = 0;
	}
	memcpy (to, bytes, len);
	to[len] = '\0';
}
