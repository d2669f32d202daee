#include "ctl/accounts.h"

#include "core/buf.h"
#include "ctl/table.h"

#include <stdio.h>
#include <stdlib.h>

static void
add_row (struct table *table, const char *name, const json_t *counts)
{
	struct buf reasons;
	const char *reason;
	const json_t *value;
	json_int_t refused = 0;
	buf_init (&reasons);
	json_object_foreach ((json_t *)json_object_get (counts, "refused"), reason, value)
	{
		buf_addf (&reasons, "%s%s %" JSON_INTEGER_FORMAT, reasons.len ? ", " : "", reason,
			json_integer_value (value));
		refused += json_integer_value (value);
	}
	table_add_row (table);
	table_set_cell (table, 0, "%s", name);
	table_set_cell (table, 1, "%" JSON_INTEGER_FORMAT,
		json_integer_value (json_object_get (counts, "requests")));
	table_set_cell (table, 2, "%" JSON_INTEGER_FORMAT, refused);
	table_set_cell (table, 3, "%s", reasons.len ? reasons.data : "");
	buf_finish (&reasons);
}

static void
print_table (const json_t *accounts)
{
	const json_t *busiest = json_object_get (accounts, "busiest");
	const json_t *rest = json_object_get (accounts, "rest");
	char name[64];
	struct table table;
	table_init (&table, 4);
	table_add_row (&table);
	table_set_cell (&table, 0, "ACCOUNT");
	table_set_cell (&table, 1, "REQUESTS");
	table_set_cell (&table, 2, "REFUSED");
	table_set_cell (&table, 3, "BY REASON");
	for (size_t i = 0; i < json_array_size (busiest); i++) {
		const json_t *account = json_array_get (busiest, i);
		add_row (&table, json_string_value (json_object_get (account, "name")), account);
	}
	snprintf (name, sizeof (name), "(%" JSON_INTEGER_FORMAT " others)",
		json_integer_value (json_object_get (rest, "accounts")));
	add_row (&table, name, rest);
	table_print (&table);
	table_finish (&table);
}

bool
accounts_print (const json_t *dump, bool json)
{
	const json_t *accounts = json_object_get (json_object_get (dump, "front"), "accounts");
	if (!accounts)
		return false;
	if (!json) {
		print_table (accounts);
		return true;
	}
	char *text = json_dumps (accounts, JSON_INDENT (2) | JSON_SORT_KEYS);
	printf ("%s\n", text);
	free (text);
	return true;
}
