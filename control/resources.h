/**
 * @file resources.h
 * Declared resources: one JSON document each, versioned, changed by compare-and-set.
 *
 * A store of documents that is the same on every node that applied the same log entries.
 */
#pragma once

#include "core/buf.h"
#include "core/error.h"

#include "core/pack.h"

#include <jansson.h>
#include <stdint.h>

enum { RESOURCE_NAME_MAX = 63, CHANGE_ID_MAX = 63, CHANGES_REMEMBERED = 65536 };

/** The kinds of resource. */
enum resource_kind {
	RESOURCE_DATA_CENTRE,
	RESOURCE_VM,
	RESOURCE_COLLECTION,
	RESOURCE_SERVICE,
	RESOURCE_TARGET,
	RESOURCE_KINDS,
};

/** A declared document. */
struct resource {
	enum resource_kind kind;
	char name[RESOURCE_NAME_MAX + 1];
	uint64_t version; /**< log index of the change that wrote it */
	char *spec;       /**< compact JSON text, owned */
};

/** How a change ended; remembered by change id so that a resend gets the same result. */
struct change_result {
	char id[CHANGE_ID_MAX + 1];
	enum error_kind kind; /**< ERROR_NONE, ERROR_CONFLICT or ERROR_NOT_FOUND */
	uint64_t version;     /**< the new version, or the current one on a conflict */
	uint64_t digest; /**< of the request, to refuse an id that comes back with another change */
};

/** What an operator asks for. */
struct change {
	char id[CHANGE_ID_MAX + 1];
	enum resource_kind kind;
	char name[RESOURCE_NAME_MAX + 1];
	uint64_t expected_version; /**< version that must be current; 0: must not exist */
	bool remove;
	const char *spec; /**< compact JSON text; not owned */
};

/** All documents and the remembered results. */
struct resources {
	struct resource **items; /**< sorted by kind, then name */
	size_t count;
	size_t cap;
	struct change_result *results; /**< ring of CHANGES_REMEMBERED, by order of application */
	uint32_t *result_slots;        /**< open-addressing index by id over the ring */
	uint64_t results_written;
	uint64_t revision; /**< log index of the newest applied change */
};

const char *
resource_kind_name (enum resource_kind kind);

/** Parses a kind name such as "DataCentre"; returns -1 when unknown. */
int
resource_kind_parse (const char *name);

/** Checks a document of a kind against its fields; unknown fields are refused. */
bool
resource_validate (enum resource_kind kind, const json_t *spec, struct error *error);

/** True when a name has 1 to 63 characters of [A-Za-z0-9._-]. */
bool
resource_name_valid (const char *name);

void
resources_init (struct resources *resources);
void
resources_finish (struct resources *resources);

const struct resource *
resources_find (const struct resources *resources, enum resource_kind kind, const char *name);

/** The remembered result of a change id, or NULL. */
const struct change_result *
resources_result (const struct resources *resources, const char *id);

/**
 * Applies a change at a log index: compare-and-set, idempotent by change id.
 * @return the result, valid until the next call.
 */
const struct change_result *
resources_apply (struct resources *resources, const struct change *change, uint64_t index);

/**
 * Marks a document as leaving or returned at a log index, whatever its version; a document that
 * does not exist yet is written.
 * @return false when it says so already.
 */
bool
resources_set_leaving (struct resources *resources, enum resource_kind kind, const char *name,
	bool leaving, uint64_t index);

/** Writes all documents, and with @p results the remembered results, as one map. */
void
resources_write (const struct resources *resources, bool results, struct pack_writer *writer);

/** Replaces the content by a written map; false when it is malformed. */
bool
resources_read (struct resources *resources, struct pack_node node);
