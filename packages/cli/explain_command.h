#ifndef EXPLAIN_COMMAND_H
#define EXPLAIN_COMMAND_H

#include <stdbool.h>
#include <stddef.h>

/* "explain ID [FILE...]": the first word is the id; without files, standard
 * input is read.  Returns the exit status; usage when no line names the id. */
int explain_run(char **words, size_t count, bool json);

#endif
