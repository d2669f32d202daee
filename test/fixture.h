/**
 * @file fixture.h
 * What tests, fuzz targets and measurements share to make documents.
 */
#pragma once

#include "control/resources.h"

#include <stdio.h>

/** Declares a new document under the next index and a change id of its own. */
static inline void
fixture_put (
	struct resources *resources, enum resource_kind kind, const char *name, const char *spec)
{
	static uint64_t index;
	struct change change = {.kind = kind, .spec = spec};
	index++;
	snprintf (change.id, sizeof (change.id), "c%llu", (unsigned long long)index);
	str_copy (change.name, sizeof (change.name), name);
	resources_apply (resources, &change, index);
}
