#ifndef COMMAND_H
#define COMMAND_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "aq_buffer.h"
#include "aq_error.h"

/* The commands, from words to intents or reads. */

typedef enum {
    COMMAND_INTENT, /* sends an intent */
    COMMAND_STATE,  /* shows records of a kind */
    COMMAND_STATUS, /* shows one daemon */
    COMMAND_BURN,   /* shows the burn report */
    COMMAND_EXPLAIN /* reads logs; asks no server */
} CommandType;

typedef struct {
    const char *group;
    const char *verb; /* NULL: the group alone is the command */
    CommandType type;
    const char *kind;       /* of the intent or of the records */
    const char *positional; /* names of required words, blank-separated */
    const char *fields;     /* names allowed as NAME=VALUE, blank-separated */
    const char *help;
} Command;

/* The table, ended by an entry without a group. */
extern const Command commands[];

/* Finds the command that the words begin with; *used is set to the number of
 * words that name it.  NULL with AQ_ERR_INVALID. */
const Command *command_find(char **words, size_t count, size_t *used,
                            AqError *error);

/* Appends the lines of the help text about a command, each under 80 columns:
 * argp breaks longer ones without an indent. */
void command_describe(const Command *command, AqBuffer *out);

/* Builds the arguments of an intent from the words after the name; a new
 * reference, or NULL with AQ_ERR_INVALID. */
json_t *command_args(const Command *command, char **words, size_t count,
                     AqError *error);

#endif
