/**
 * @file table.h
 * Prints text tables on standard output. Each column is as wide as its widest cell.
 */
#pragma once

enum { TABLE_MAX_COLUMNS = 8, TABLE_CELL_BYTES = 80 };

struct table {
	char (*rows)[TABLE_MAX_COLUMNS][TABLE_CELL_BYTES];
	int row_count;
	int row_cap;
	int columns;
};

void
table_init (struct table *table, int columns);
void
table_finish (struct table *table);

/** Appends a row of empty cells. */
void
table_add_row (struct table *table);

/** Sets a cell of the last row. Truncates text that is longer than TABLE_CELL_BYTES - 1 bytes. */
void
table_set_cell (struct table *table, int column, const char *format, ...)
	__attribute__ ((format (printf, 3, 4)));

void
table_print (const struct table *table);
