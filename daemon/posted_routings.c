#include "daemon/posted_routings.h"

#include "core/buf.h"

struct routing *
posted_routings_newest (const struct posted_routings *posted)
{
	return posted->count > 0 ? posted->items[posted->count - 1] : NULL;
}

void
posted_routings_add (struct posted_routings *posted, struct routing *routing)
{
	posted->items =
		xrealloc (posted->items, ((size_t)posted->count + 1) * sizeof (struct routing *));
	posted->items[posted->count++] = routing;
}

void
posted_routings_clean (struct posted_routings *posted)
{
	int kept = 0;
	for (int i = 0; i < posted->count; i++) {
		struct routing *routing = posted->items[i];
		/* Only the newest gets new references from here. */
		if (i < posted->count - 1 && !routing_is_shared (routing))
			routing_unref (routing);
		else
			posted->items[kept++] = routing;
	}
	posted->count = kept;
}
