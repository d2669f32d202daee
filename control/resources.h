/**
 * @file resources.h
 * Declared resources: versioned JSON documents that are changed by compare-and-set. No I/O.
 *
 * The content depends only on the applied log entries, so nodes that applied the same entries
 * hold the same documents. The results of recent changes are kept, so that a change that is sent
 * again is applied once.
 */
#pragma once

#include "core/buf.h"
#include "core/error.h"

#include "core/pack.h"

#include <jansson.h>
#include <stdint.h>

enum {
	RESOURCE_NAME_MAX = 63,     /**< characters, in this interface */
	DATA_CENTRE_NAME_MAX = 255, /**< bytes; the platform names data centres */
	CHANGE_ID_MAX = 63,         /**< characters */
	CHANGE_RESULTS_MAX = 65536, /**< results kept; the oldest is replaced first */
};

/** The kinds of resource. */
enum resource_kind {
	RESOURCE_DATA_CENTRE,
	RESOURCE_VM,
	RESOURCE_COLLECTION,
	RESOURCE_SERVICE,
	RESOURCE_TARGET,
	RESOURCE_KIND_COUNT,
};

/** A declared document. */
struct resource {
	enum resource_kind kind;
	char name[DATA_CENTRE_NAME_MAX + 1];
	uint64_t version; /**< log index of the change that wrote the document */
	char *spec;       /**< compact JSON text, owned */
};

/** The result of a change, kept by change id so that a resend gets the same result. */
struct change_result {
	char id[CHANGE_ID_MAX + 1];
	enum error_kind kind; /**< ERROR_NONE, ERROR_CONFLICT or ERROR_NOT_FOUND */
	uint64_t version;     /**< the new version, or the current one on a conflict */
	uint64_t digest;      /**< of the change, to refuse the same id with another change */
};

/** A change that an operator requests. */
struct change {
	char id[CHANGE_ID_MAX + 1];
	enum resource_kind kind;
	char name[RESOURCE_NAME_MAX + 1];
	uint64_t expected_version; /**< version that must be current; 0: must not exist */
	bool remove;               /**< deletes the document instead of writing @c spec */
	const char *spec;          /**< compact JSON text; not owned */
};

/** All documents and the results of recent changes. */
struct resources {
	struct resource **items; /**< sorted by kind, then name */
	size_t count;
	size_t cap;
	struct change_result *results; /**< ring of CHANGE_RESULTS_MAX, in order of application */
	uint32_t *result_slots;        /**< open-addressing hash index of the ring by change id */
	uint64_t results_written;      /**< total, including replaced ones */
	uint64_t revision;             /**< log index of the newest change that succeeded */
};

const char *
resource_kind_name (enum resource_kind kind);

/** Parses a kind name such as "DataCentre"; returns -1 when unknown. */
int
resource_kind_parse (const char *name);

/** Checks a document against the schema of its kind; unknown fields are refused. */
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

/** The kept result of a change id, or NULL. */
const struct change_result *
resources_result (const struct resources *resources, const char *id);

/**
 * Applies a change at a log index: compare-and-set, idempotent by change id.
 * @return the result, valid until the next call.
 */
const struct change_result *
resources_apply (struct resources *resources, const struct change *change, uint64_t index);

/** True when the document exists and its field "leaving" is set. */
bool
resources_is_leaving (const struct resources *resources, enum resource_kind kind, const char *name);

/**
 * Sets the field "leaving" of a document at a log index, without a check of its version. Creates
 * the document if it does not exist.
 * @return false when the field already has this value.
 */
bool
resources_set_leaving (struct resources *resources, enum resource_kind kind, const char *name,
	bool leaving, uint64_t index);

/** Encodes all documents, and the kept change results if @p with_results is set. */
void
resources_write (const struct resources *resources, bool with_results, struct pack_writer *writer);

/** Replaces the content by what resources_write encoded; false when it is malformed. */
bool
resources_read (struct resources *resources, struct pack_node node);
