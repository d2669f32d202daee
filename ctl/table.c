#include "ctl/table.h"

#include "core/buf.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
table_init (struct table *table, int columns)
{
	memset (table, 0, sizeof (*table));
	table->columns = columns;
}

void
table_finish (struct table *table)
{
	free (table->rows);
}

void
table_add_row (struct table *table)
{
	if (table->row_count == table->row_cap) {
		table->row_cap = table->row_cap ? table->row_cap * 2 : 16;
		table->rows =
			xrealloc (table->rows, (size_t)table->row_cap * sizeof (*table->rows));
	}
	memset (table->rows[table->row_count++], 0, sizeof (*table->rows));
}

void
table_set_cell (struct table *table, int column, const char *format, ...)
{
	va_list args;
	va_start (args, format);
	vsnprintf (table->rows[table->row_count - 1][column], TABLE_CELL_BYTES, format, args);
	va_end (args);
}

static int
column_width (const struct table *table, int column)
{
	size_t width = 0;
	for (int i = 0; i < table->row_count; i++) {
		size_t len = strlen (table->rows[i][column]);
		width = len > width ? len : width;
	}
	return (int)width;
}

void
table_print (const struct table *table)
{
	for (int i = 0; i < table->row_count; i++) {
		for (int j = 0; j < table->columns; j++) {
			bool last = j == table->columns - 1;
			printf ("%-*s%s", last ? 0 : column_width (table, j), table->rows[i][j],
				last ? "\n" : "  ");
		}
	}
}
