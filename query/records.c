#include "query/records.h"

#include <string.h>

static char *
record_at (char *records, size_t at)
{
	return records + at * RECORD_BYTES;
}

static int
compare (char *records, size_t a, size_t b)
{
	return memcmp (record_at (records, a), record_at (records, b), RECORD_BYTES);
}

static void
swap (char *records, size_t a, size_t b)
{
	char copy[RECORD_BYTES];
	memcpy (copy, record_at (records, a), RECORD_BYTES);
	memcpy (record_at (records, a), record_at (records, b), RECORD_BYTES);
	memcpy (record_at (records, b), copy, RECORD_BYTES);
}

/* Restores the heap of the first count records, of which the least is at the root. */
static void
sift_down (char *records, size_t count, size_t at)
{
	for (;;) {
		size_t least = at;
		for (size_t child = 2 * at + 1; child <= 2 * at + 2 && child < count; child++) {
			if (compare (records, child, least) < 0)
				least = child;
		}
		if (least == at)
			return;
		swap (records, at, least);
		at = least;
	}
}

size_t
records_keep_greatest (char *records, size_t len, size_t keep)
{
	size_t count = len / RECORD_BYTES;
	if (count <= keep)
		return count * RECORD_BYTES;
	if (keep == 0)
		return 0;
	for (size_t i = keep / 2; i > 0; i--)
		sift_down (records, keep, i - 1);
	for (size_t i = keep; i < count; i++) {
		if (compare (records, i, 0) > 0) {
			swap (records, i, 0);
			sift_down (records, keep, 0);
		}
	}
	return keep * RECORD_BYTES;
}
