#include "control/resources.h"

#include <stdio.h>
#include <string.h>

enum field_type { FIELD_TEXT, FIELD_NUMBER, FIELD_FLAG, FIELD_NAMES, FIELD_LAYOUTS, FIELD_CHOICE };

struct field {
	const char *name;
	enum field_type type;
	bool required;
	int64_t min;
	int64_t max;
	const char *choices; /* comma separated, with a comma at each end */
};

enum { LEAVE_BY_MAX_S = 253402300799 }; /* Unix time of the end of 9999-12-31 */

static const struct field data_centre_fields[] = {
	{"region", FIELD_TEXT, false, 0, 63, NULL},
	{"leaving", FIELD_FLAG, false, 0, 0, NULL},
	{"leave_by", FIELD_NUMBER, false, 0, LEAVE_BY_MAX_S, NULL},
	{NULL, FIELD_TEXT, false, 0, 0, NULL},
};

static const struct field vm_fields[] = {
	{"data_centre", FIELD_TEXT, true, 1, 63, NULL},
	{"addresses", FIELD_NAMES, false, 0, 16, NULL},
	{"role", FIELD_CHOICE, false, 0, 0, ",entry,voter,relay,target,"},
	{"leaving", FIELD_FLAG, false, 0, 0, NULL},
	{"leave_by", FIELD_NUMBER, false, 0, LEAVE_BY_MAX_S, NULL},
	{NULL, FIELD_TEXT, false, 0, 0, NULL},
};

static const struct field collection_fields[] = {
	{"layouts", FIELD_LAYOUTS, true, 1, 8, NULL},
	{"merge", FIELD_CHOICE, false, 0, 0, ",concat,sorted,"},
	{"sort_key", FIELD_TEXT, false, 0, 63, NULL},
	{"limit", FIELD_NUMBER, false, 0, 1000000, NULL},
	{"deadline_ms", FIELD_NUMBER, false, 1, 600000, NULL},
	{NULL, FIELD_TEXT, false, 0, 0, NULL},
};

static const struct field service_fields[] = {
	{"mode", FIELD_CHOICE, true, 0, 0, ",query,once,"},
	{"retention_s", FIELD_NUMBER, false, 60, 31536000, NULL},
	{"deadline_ms", FIELD_NUMBER, false, 1, 600000, NULL},
	{NULL, FIELD_TEXT, false, 0, 0, NULL},
};

static const struct field target_fields[] = {
	{"service", FIELD_TEXT, true, 1, 63, NULL},
	{"address", FIELD_TEXT, true, 3, 63, NULL},
	{"data_centre", FIELD_TEXT, true, 1, 63, NULL},
	{"vm", FIELD_TEXT, false, 0, 63, NULL},
	{"slots", FIELD_NUMBER, true, 1, 10000, NULL},
	{"max_connections", FIELD_NUMBER, false, 1, 100000, NULL},
	{"connect_cost_ms", FIELD_NUMBER, false, 0, 10000, NULL},
	{"cold_limit", FIELD_NUMBER, false, 1, 10000, NULL},
	{"leaving", FIELD_FLAG, false, 0, 0, NULL},
	{"leave_by", FIELD_NUMBER, false, 0, LEAVE_BY_MAX_S, NULL},
	{NULL, FIELD_TEXT, false, 0, 0, NULL},
};

static const struct field *const schemas[RESOURCE_KIND_COUNT] = {
	data_centre_fields, vm_fields, collection_fields, service_fields, target_fields};

static bool
check_names (const json_t *value, int64_t max)
{
	if (!json_is_array (value) || (int64_t)json_array_size (value) > max)
		return false;
	for (size_t i = 0; i < json_array_size (value); i++) {
		const char *text = json_string_value (json_array_get (value, i));
		if (!text || strlen (text) > RESOURCE_NAME_MAX)
			return false;
	}
	return true;
}

/* Layouts are [{"id": 1, "shards": ["service", ...]}, ...]; ids start at 1 and are unique. */
static bool
check_layouts (const json_t *value, int64_t max)
{
	size_t count = json_array_size (value);
	if (!json_is_array (value) || count < 1 || (int64_t)count > max)
		return false;
	for (size_t i = 0; i < count; i++) {
		const json_t *layout = json_array_get (value, i);
		json_int_t id = json_integer_value (json_object_get (layout, "id"));
		const json_t *shards = json_object_get (layout, "shards");
		if (json_object_size (layout) != 2 || id < 1 || id > INT32_MAX)
			return false;
		if (json_array_size (shards) < 1 || !check_names (shards, 65536))
			return false;
		for (size_t j = 0; j < i; j++) {
			const json_t *other = json_array_get (value, j);
			if (json_integer_value (json_object_get (other, "id")) == id)
				return false;
		}
	}
	return true;
}

static bool
check_choice (const struct field *field, const char *text)
{
	char wrapped[RESOURCE_NAME_MAX + 3];
	if (!text || !text[0] || strchr (text, ',') || strlen (text) > RESOURCE_NAME_MAX)
		return false;
	snprintf (wrapped, sizeof (wrapped), ",%s,", text);
	return strstr (field->choices, wrapped) != NULL;
}

static bool
check_value (const struct field *field, const json_t *value)
{
	switch (field->type) {
	case FIELD_TEXT:
		return json_is_string (value) &&
		       (int64_t)json_string_length (value) >= field->min &&
		       (int64_t)json_string_length (value) <= field->max;
	case FIELD_NUMBER:
		return json_is_integer (value) && json_integer_value (value) >= field->min &&
		       json_integer_value (value) <= field->max;
	case FIELD_FLAG:
		return json_is_boolean (value);
	case FIELD_NAMES:
		return check_names (value, field->max);
	case FIELD_LAYOUTS:
		return check_layouts (value, field->max);
	case FIELD_CHOICE:
		return check_choice (field, json_string_value (value));
	}
	return false;
}

static const struct field *
find_field (const struct field *fields, const char *name)
{
	for (; fields->name; fields++) {
		if (strcmp (fields->name, name) == 0)
			return fields;
	}
	return NULL;
}

bool
resource_validate (enum resource_kind kind, const json_t *spec, struct error *error)
{
	const struct field *fields = schemas[kind];
	const char *name = NULL;
	json_t *value = NULL;
	if (!json_is_object (spec))
		return error_set (error, ERROR_INVALID,
			"the document of a %s must be a JSON object; see docs/interface.md",
			resource_kind_name (kind));
	json_object_foreach ((json_t *)spec, name, value)
	{
		const struct field *field = find_field (fields, name);
		if (!field)
			return error_set (error, ERROR_INVALID,
				"%s has no field '%.40s'; remove it or correct its name",
				resource_kind_name (kind), name);
		if (!check_value (field, value))
			return error_set (error, ERROR_INVALID,
				"%s field '%s' has a bad value; see its type and range in "
				"docs/interface.md",
				resource_kind_name (kind), name);
	}
	for (const struct field *field = fields; field->name; field++) {
		if (field->required && !json_object_get (spec, field->name))
			return error_set (error, ERROR_INVALID, "%s needs the field '%s'; add it",
				resource_kind_name (kind), field->name);
	}
	return true;
}
