/**
 * @file settings.c
 * Fills in the templates of deploy/ with each form of value that a deployment may declare.
 */
#include "options/options.h"
#include "test/suite.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const templates[] = {"deploy/entry.ini", "deploy/control.ini"};

/* Integers, fractions and booleans; empty where the deployment declares none. */
static const char *const numbers[] = {"", "0", "1", "2", "3000", "2147483648", "1e12", "-1", "0.0",
	"0.25", "0.001", "2.5", "3000.0", "3000.5", "3e3", "true", "false"};

struct value {
	const char *name;     /**< of the placeholder, or what it begins with */
	const char *usual;    /**< while another one is tried; none is declared of a number */
	const char *forms[4]; /**< others that it may have */
	bool number;          /**< it may have all forms of numbers */
};

static const struct value values[] = {
	{"node_name", "edge-milano-a-1", {NULL}, false},
	{"zone", "milano-a", {NULL}, false},
	{"ip", "10.1.0.4", {NULL}, false},
	{"internal_port_range.", "7740", {"1", "65535"}, false},
	{"seeds", "10.1.0.7:8224,10.2.0.12:8224,10.3.0.38:8224", {"", "10.1.0.7:8224"}, false},
	{"bootstrap", "true", {"false", "", "0", "1"}, false},
	{"listen.", "10.1.0.4:8226", {NULL}, false},
	{"data_dir", "/data", {""}, false},
	{"cloud_api.address", "10.200.0.64:8229", {""}, false},
	{"cloud_api.rate_per_s", "", {"55.0"}, true},
	{"cloud_api.max_lag_ms", "", {"800"}, true},
	{"fault_tolerance.", "", {"1"}, true},
	{"bounds.", "", {NULL}, true},
};

static const struct value *
find_value (const char *name)
{
	for (size_t i = 0; i < sizeof (values) / sizeof (values[0]); i++) {
		if (strncmp (name, values[i].name, strlen (values[i].name)) == 0)
			return &values[i];
	}
	return NULL;
}

static void
read_template (const char *path, struct buf *text)
{
	char chunk[1024];
	size_t len = 0;
	FILE *file = fopen (path, "re");
	CU_ASSERT_PTR_NOT_NULL_FATAL (file);
	buf_init (text);
	while ((len = fread (chunk, 1, sizeof (chunk), file)) > 0)
		buf_add (text, chunk, len);
	fclose (file);
	buf_add (text, "", 1);
}

/* The placeholder at or after a place, with its name; NULL when there is none. */
static const char *
next_placeholder (const char *from, char *name, size_t size)
{
	const char *open = strstr (from, "{{");
	const char *close = open ? strstr (open, "}}") : NULL;
	if (!close)
		return NULL;
	snprintf (name, size, "%.*s", (int)(close - open - 2), open + 2);
	return open;
}

/* Fills in a template: the placeholder @p chosen with @p form, the others as usual. */
static void
fill_in (const char *template, const char *chosen, const char *form, struct buf *out)
{
	char name[64];
	const char *at = template;
	const char *open = NULL;
	buf_init (out);
	while ((open = next_placeholder (at, name, sizeof (name)))) {
		const struct value *value = find_value (name);
		const char *usual = value ? value->usual : "";
		const char *used = strcmp (name, chosen) == 0 ? form : usual;
		buf_add (out, at, (size_t)(open - at));
		buf_add (out, used, strlen (used));
		at = open + strlen (name) + 4;
	}
	buf_add (out, at, strlen (at) + 1);
}

static void
check_form (const char *path, const char *template, const char *name, const char *form)
{
	struct options options;
	struct error error = {0};
	struct buf text;
	fill_in (template, name, form, &text);
	bool ok = options_parse (&options, text.data, path, &error);
	if (!ok)
		printf ("\n%s = \"%s\": %s", name, form, error.message);
	CU_ASSERT_TRUE (ok);
	buf_finish (&text);
}

/* Guards against a form of a declared value with which a process ends at its start, for each
 * placeholder of the templates (review/14). A value without forms above fails too. */
static void
test_each_declared_value_in_each_form (void)
{
	for (size_t i = 0; i < sizeof (templates) / sizeof (templates[0]); i++) {
		struct buf template;
		char name[64];
		read_template (templates[i], &template);
		const char *at = template.data;
		while ((at = next_placeholder (at, name, sizeof (name)))) {
			const struct value *value = find_value (name);
			CU_ASSERT_PTR_NOT_NULL_FATAL (value);
			assert (value);
			check_form (templates[i], template.data, name, value->usual);
			for (int j = 0; j < 4 && value->forms[j]; j++)
				check_form (templates[i], template.data, name, value->forms[j]);
			for (size_t j = 0;
				value->number && j < sizeof (numbers) / sizeof (numbers[0]); j++)
				check_form (templates[i], template.data, name, numbers[j]);
			at += 2;
		}
		buf_finish (&template);
	}
}

/* Guards against a bound that is exceeded because its fraction is rounded up. */
static void
test_fractions_of_bounds_are_rounded_down (void)
{
	struct options options;
	struct error error = {0};
	struct buf template;
	struct buf text;
	read_template ("deploy/entry.ini", &template);
	fill_in (template.data, "bounds.drain_ms", "3000.9", &text);
	CU_ASSERT_TRUE (options_parse (&options, text.data, "entry.ini", &error));
	CU_ASSERT_EQUAL (options.front_drain_ms, 3000);
	CU_ASSERT_PTR_NULL (strstr (options.replaced, "drain_ms"));
	buf_finish (&text);
	fill_in (template.data, "bounds.rollback_ms", "5000.9", &text);
	CU_ASSERT_TRUE (options_parse (&options, text.data, "entry.ini", &error));
	CU_ASSERT_EQUAL (options.control_rollback_ms, 5000);
	buf_finish (&text);
	buf_finish (&template);
}

int
main (void)
{
	static const struct suite_test tests[] = {
		TEST (each_declared_value_in_each_form),
		TEST (fractions_of_bounds_are_rounded_down),
	};
	return suite_run ("settings", tests, sizeof (tests) / sizeof (tests[0]));
}
