#include "core/heap.h"

#include <malloc.h>

enum {
	/*
	 * Set, because the allocator otherwise raises it to the largest buffer that was freed.
	 * Bodies then lie among small objects, which keep the memory around them in the heap.
	 */
	MAPPED_BUFFER_BYTES = 65536,
	RETAINED_TOP_BYTES = 1048576,
};

void
heap_init (void)
{
	mallopt (M_MMAP_THRESHOLD, MAPPED_BUFFER_BYTES);
	mallopt (M_TRIM_THRESHOLD, RETAINED_TOP_BYTES);
}
