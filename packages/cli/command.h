#ifndef COMMAND_H
#define COMMAND_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "aq_buffer.h"
#include "aq_error.h"

/* This header declares the table of commands, and the parsing of command-line
 * words into a command and its arguments. */

typedef enum {
    COMMAND_INTENT, /* sends an intent (a change to make) to a server */
    COMMAND_STATE,  /* shows all records of one kind, such as all pools */
    COMMAND_STATUS, /* shows the status of one entry VM's daemon */
    COMMAND_BURN, /* shows how far services have used up their error budgets */
    COMMAND_EXPLAIN /* explains a request from log files; contacts no server */
} CommandType;

typedef struct {
    const char *group;
    /* Second word of the command; NULL when the group is its only word. */
    const char *verb;
    CommandType type;
    /* Kind of the intent that is sent or of the records that are shown; NULL
     * for commands that are neither COMMAND_INTENT nor COMMAND_STATE. */
    const char *kind;
    /* Blank-separated names of the required arguments, in order. */
    const char *positional;
    /* Blank-separated names of the optional arguments, which are given as
     * NAME=VALUE. */
    const char *fields;
    const char *help;
} Command;

/* All commands, ended by an entry whose group is NULL. */
extern const Command commands[];

/* Returns the command that the words begin with and sets *used to the number
 * of words in the command's name.  Returns NULL with AQ_ERR_INVALID when the
 * words name no command. */
const Command *command_find(char **words, size_t count, size_t *used,
                            AqError *error);

/* Appends the help text of a command to "out".  All lines are under 80
 * columns, because argp breaks longer lines without an indent. */
void command_describe(const Command *command, AqBuffer *out);

/* Returns the command's arguments as an object, a new reference, built from
 * the words after the command's name.  Returns NULL with AQ_ERR_INVALID when a
 * word is missing or invalid. */
json_t *command_args(const Command *command, char **words, size_t count,
                     AqError *error);

#endif
