/**
 * @file merge.h
 * Joins the rows of all shards into the answer of a query.
 */
#pragma once

#include "core/buf.h"
#include "query/query.h"

/**
 * Checks that a body is a JSON array of rows and returns how many it has; -1 when it is not.
 */
int
merge_count_rows (const char *body, size_t len);

/**
 * Appends the answer document: snapshot, coverage with the missing shards, and rows merged by
 * the collection's rule. Shards whose rows cannot be read count as missing.
 */
void
merge_answer (const struct query *query, struct buf *out);
