#ifndef EXPLAIN_COMMAND_H
#define EXPLAIN_COMMAND_H

#include <stdbool.h>
#include <stddef.h>

/* Runs the command "explain ID [FILE...]".  "words" holds the id of the
 * request and the names of the log files; without files, the log is read from
 * standard input.  Returns the exit status of the process, AQ_EXIT_USAGE when
 * no log line names the id. */
int explain_run(char **words, size_t count, bool json);

#endif
