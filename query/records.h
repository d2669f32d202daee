/**
 * @file records.h
 * The greatest records of a part of a fan-out. No I/O.
 *
 * For targets that answer with far more records than the route asks for: only the greatest of each
 * part can be in the merged answer, so that the others need no memory and are not sorted again.
 */
#pragma once

#include <stddef.h>

enum { RECORD_BYTES = 16 };

/**
 * Moves the greatest records to the front, in no particular order. Equal records all count, and
 * bytes behind the last whole record are dropped.
 * @param keep number of records
 * @return the length in bytes of those kept
 */
size_t
records_keep_greatest (char *records, size_t len, size_t keep);
