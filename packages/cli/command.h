#ifndef COMMAND_H
#define COMMAND_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "aq_buffer.h"
#include "aq_error.h"

/* The table of commands, and the parsing of command-line words into a command
 * and its arguments. */

typedef enum {
    COMMAND_INTENT, /* sends an intent to a server */
    COMMAND_STATE,  /* shows all records of one kind */
    COMMAND_STATUS, /* shows the status of one daemon */
    COMMAND_BURN,   /* shows the service-level burn report */
    COMMAND_EXPLAIN /* reads log files; contacts no server */
} CommandType;

typedef struct {
    const char *group;
    const char *verb; /* second word; NULL: the group alone is the command */
    CommandType type;
    const char *kind; /* kind of the intent or of the records shown, or NULL */
    const char *positional; /* blank-separated names of the required words */
    const char *fields;     /* blank-separated names allowed as NAME=VALUE */
    const char *help;
} Command;

/* All commands, ended by an entry whose group is NULL. */
extern const Command commands[];

/* Returns the command that the words begin with and sets *used to the number
 * of words in the command's name.  Returns NULL with AQ_ERR_INVALID when the
 * words name no command. */
const Command *command_find(char **words, size_t count, size_t *used,
                            AqError *error);

/* Appends the help text of a command.  All lines are under 80 columns, because
 * argp breaks longer lines without an indent. */
void command_describe(const Command *command, AqBuffer *out);

/* Returns the command's arguments as an object, a new reference, built from
 * the words after the command's name.  Returns NULL with AQ_ERR_INVALID when a
 * word is missing or invalid. */
json_t *command_args(const Command *command, char **words, size_t count,
                     AqError *error);

#endif
