#ifndef TABLE_H
#define TABLE_H

#include <jansson.h>
#include <stdio.h>

/* Writes records, an object or an array of objects, as a text table with a
 * column for each field.  Wall-clock times are written in UTC, labels as
 * KEY=VALUE pairs with commas between them. */
void table_write(FILE *out, const json_t *records);

#endif
