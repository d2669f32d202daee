/**
 * @file posted_routings.h
 * The routings that control posted to the front and that may still be in use there. Control decodes
 * and frees them, so that the front never waits for memory that control is allocating or freeing,
 * which it does for long after a large manifest. Control thread only.
 */
#pragma once

#include "query/routing.h"

struct posted_routings {
	struct routing **items; /**< owned references, the newest last */
	int count;
};

/** The newest one; NULL: none was posted. */
struct routing *
posted_routings_newest (const struct posted_routings *posted);

/** Takes over a reference to a routing and makes it the newest. */
void
posted_routings_add (struct posted_routings *posted, struct routing *routing);

/** Frees those that are neither in use elsewhere nor the newest. */
void
posted_routings_clean (struct posted_routings *posted);
