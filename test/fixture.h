/**
 * @file fixture.h
 * Creates resource documents for tests, fuzz targets and benchmarks.
 */
#pragma once

#include "control/resources.h"

#include <stdio.h>

/** Applies a change with a new id, under the next log index, that declares a new document. */
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
