/**
 * @file merge.h
 * Merges the rows of all shards into the answer of a query. No I/O.
 */
#pragma once

#include "core/buf.h"
#include "query/query.h"

/** Number of rows in a body; -1 when it is not a JSON array. */
int
merge_count_rows (const char *body, size_t len);

/**
 * Appends the answer document: snapshot, coverage with the missing shards, and rows merged by
 * the collection's rule. Shards that have not answered are missing. The rows of the others must
 * have passed merge_count_rows().
 */
void
merge_answer (const struct query *query, struct buf *out);
