#include "command.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Columns before a command's description in the help text. */
    HELP_INDENT = 29,
    HELP_WIDTH = 79
};

#define POOL_FIELDS                                                           \
    "service selector min_serving max_unavailable slots connections "         \
    "objective"
#define VM_FIELDS "address rack zone pool labels cores memory_mb accelerators"
#define JOB_FIELDS                                                            \
    "team urgent idempotent selector cores memory_mb accelerators run_ms"

const Command commands[] = {
    {"pool", "set", COMMAND_INTENT, "pool.set", "name", POOL_FIELDS,
     "create or change a pool"},
    {"pool", "delete", COMMAND_INTENT, "pool.delete", "name", "",
     "delete an empty pool"},
    {"pool", "list", COMMAND_STATE, "pools", "", "", "show pools and budgets"},
    {"vm", "set", COMMAND_INTENT, "vm.set", "id", VM_FIELDS,
     "describe a VM or change its description"},
    {"vm", "remove", COMMAND_INTENT, "vm.remove", "id", "",
     "remove a VM that does not serve"},
    {"vm", "reboot", COMMAND_INTENT, "vm.reboot", "id", "",
     "drain, reboot and bring back a VM"},
    {"vm", "list", COMMAND_STATE, "vms", "", "", "show VMs"},
    {"budget", "set", COMMAND_INTENT, "budget.set", "pool",
     "min_serving max_unavailable", "change the budget of a pool"},
    {"drain", "start", COMMAND_INTENT, "vm.drain", "id", "",
     "let a VM finish its requests and take no new ones"},
    {"drain", "cancel", COMMAND_INTENT, "vm.undrain", "id", "",
     "let a VM serve again"},
    {"move", NULL, COMMAND_INTENT, "vm.move", "id pool", "",
     "move a VM to another pool"},
    {"wave", "start", COMMAND_INTENT, "wave.start", "name",
     "selector kind max_parallel release", "start a maintenance wave"},
    {"wave", "pause", COMMAND_INTENT, "wave.pause", "name", "",
     "start no further VM of a wave"},
    {"wave", "resume", COMMAND_INTENT, "wave.resume", "name", "",
     "continue a paused or stopped wave"},
    {"wave", "abort", COMMAND_INTENT, "wave.abort", "name", "", "end a wave"},
    {"wave", "list", COMMAND_STATE, "waves", "", "", "show waves"},
    {"job", "submit", COMMAND_INTENT, "job.submit", "id", JOB_FIELDS,
     "submit a job"},
    {"job", "cancel", COMMAND_INTENT, "job.cancel", "id", "team",
     "cancel a job"},
    {"job", "list", COMMAND_STATE, "jobs", "", "", "show jobs and tasks"},
    {"team", "set", COMMAND_INTENT, "team.set", "name",
     "cores memory_mb accelerators", "set the quota of a team"},
    {"team", "list", COMMAND_STATE, "teams", "", "", "show teams and quotas"},
    {"config", "weights", COMMAND_INTENT, "weights.set", "",
     "buffer moves time", "weigh buffer cost, moves and roll-out time"},
    {"config", "show", COMMAND_STATE, "weights", "", "", "show the weights"},
    {"member", "list", COMMAND_STATE, "members", "", "", "show entry VMs"},
    {"explain", NULL, COMMAND_EXPLAIN, NULL, "id", "",
     "explain a request from the nodes' logs, FILE..."},
    {"status", NULL, COMMAND_STATUS, NULL, "", "", "show one daemon"},
    {"report", "burn", COMMAND_BURN, NULL, "", "svg",
     "show service-level burn; svg=FILE writes a plot"},
    {NULL, NULL, COMMAND_STATUS, NULL, NULL, NULL, NULL},
};

const Command *
command_find(char **words, size_t count, size_t *used, AqError *error)
{
    if (count == 0) {
        AqError_Set(error, AQ_ERR_INVALID,
                    "no command; see amaranthquay --help");
        return NULL;
    }
    for (const Command *c = commands; c->group != NULL; c++) {
        if (strcmp(c->group, words[0]) != 0) {
            continue;
        }
        if (c->verb == NULL) {
            *used = 1;
            return c;
        }
        if (count > 1 && strcmp(c->verb, words[1]) == 0) {
            *used = 2;
            return c;
        }
    }
    AqError_Set(error, AQ_ERR_INVALID,
                "\"%s%s%s\" is no command; see amaranthquay --help", words[0],
                count > 1 ? " " : "", count > 1 ? words[1] : "");
    return NULL;
}

/* Appends a command's optional arguments to its help text, each as
 * "[name=...]", broken into lines of at most HELP_WIDTH columns. */
static void
append_fields(const char *fields, AqBuffer *out)
{
    size_t column = HELP_WIDTH;
    while (*fields != '\0') {
        size_t length = strcspn(fields, " ");
        size_t size = length + strlen(" [=...]");
        if (column + size > HELP_WIDTH) {
            AqBuffer_Printf(out, "%s%*s", column < HELP_WIDTH ? "\n" : "",
                            HELP_INDENT, "");
            column = HELP_INDENT;
        }
        AqBuffer_Printf(out, " [%.*s=...]", (int)length, fields);
        column += size;
        fields += length;
        fields += strspn(fields, " ");
    }
    AqBuffer_AppendText(out, "\n");
}

void
command_describe(const Command *command, AqBuffer *out)
{
    AqBuffer line;
    AqBuffer_Init(&line);
    AqBuffer_Printf(&line, "%s", command->group);
    if (command->verb != NULL) {
        AqBuffer_Printf(&line, " %s", command->verb);
    }
    if (command->positional[0] != '\0') {
        AqBuffer_AppendText(&line, " ");
    }
    for (const char *c = command->positional; *c != '\0'; c++) {
        AqBuffer_Printf(&line, "%c", toupper((unsigned char)*c));
    }
    AqBuffer_Printf(out, "  %-26s %s\n", AqBuffer_Text(&line), command->help);
    if (command->fields[0] != '\0') {
        append_fields(command->fields, out);
    }
    AqBuffer_Clear(&line);
}

/* Whether a blank-separated list contains the first "length" bytes of "name"
 * as an item. */
static bool
is_listed(const char *list, const char *name, size_t length)
{
    while (*list != '\0') {
        size_t n = strcspn(list, " ");
        if (n == length && strncmp(list, name, n) == 0) {
            return true;
        }
        list += n;
        list += strspn(list, " ");
    }
    return false;
}

/* Parses labels, given as "KEY=VALUE,KEY=VALUE", into an object of strings, a
 * new reference; returns NULL when a label has no key or no "=". */
static json_t *
parse_labels(const char *text)
{
    json_t *labels = json_object();
    while (*text != '\0') {
        size_t length = strcspn(text, ",");
        const char *sign = memchr(text, '=', length);
        if (sign == NULL || sign == text) {
            json_decref(labels);
            return NULL;
        }
        size_t key_length = (size_t)(sign - text);
        char *key = strndup(text, key_length);
        json_object_set_new(labels, key,
                            json_stringn(sign + 1, length - key_length - 1));
        free(key);
        text += length;
        text += *text == ',';
    }
    return labels;
}

static json_t *
parse_value(const char *field, const char *text, AqError *error)
{
    char *end;
    if (strcmp(text, "null") == 0) {
        return json_null();
    }
    if (is_listed("selector labels", field, strlen(field))) {
        json_t *labels = parse_labels(text);
        if (labels == NULL) {
            AqError_Set(error, AQ_ERR_INVALID,
                        "%s=%.80s is not a list of labels; write KEY=VALUE "
                        "pairs with commas between them",
                        field, text);
        }
        return labels;
    }
    if (is_listed("urgent idempotent", field, strlen(field))) {
        if (strcmp(text, "true") == 0 || strcmp(text, "false") == 0) {
            return json_boolean(text[0] == 't');
        }
        AqError_Set(error, AQ_ERR_INVALID,
                    "%s=%.80s is not a boolean; write true or false", field,
                    text);
        return NULL;
    }
    if (is_listed("service address rack zone pool kind release team svg",
                  field, strlen(field))) {
        return json_string(text);
    }
    long long number = strtoll(text, &end, 10);
    if (end == text || *end != '\0') {
        AqError_Set(error, AQ_ERR_INVALID,
                    "%s=%.80s is not a number; write a whole number", field,
                    text);
        return NULL;
    }
    return json_integer(number);
}

static bool
add_field(const Command *command, json_t *args, const char *word,
          AqError *error)
{
    const char *sign = strchr(word, '=');
    size_t length = sign != NULL ? (size_t)(sign - word) : strlen(word);
    if (sign == NULL || !is_listed(command->fields, word, length)) {
        return AqError_Set(
            error, AQ_ERR_INVALID,
            "\"%.80s\" is not a valid argument; allowed are "
            "NAME=VALUE with the names: %s",
            word, command->fields[0] != '\0' ? command->fields : "(none)");
    }
    char *field = strndup(word, length);
    json_t *value = parse_value(field, sign + 1, error);
    if (value != NULL) {
        json_object_set_new(args, field, value);
    }
    free(field);
    return value != NULL;
}

json_t *
command_args(const Command *command, char **words, size_t count,
             AqError *error)
{
    json_t *args = json_object();
    const char *names = command->positional;
    size_t at = 0;
    while (*names != '\0') {
        size_t length = strcspn(names, " ");
        if (at == count) {
            AqError_Set(error, AQ_ERR_INVALID, "the %.*s is missing",
                        (int)length, names);
            goto error;
        }
        char *name = strndup(names, length);
        json_object_set_new(args, name, json_string(words[at++]));
        free(name);
        names += length;
        names += strspn(names, " ");
    }
    for (; at < count; at++) {
        if (!add_field(command, args, words[at], error)) {
            goto error;
        }
    }
    return args;

error:
    json_decref(args);
    return NULL;
}
