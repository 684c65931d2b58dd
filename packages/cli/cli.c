#include "aq_cli.h"

#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "aq_buffer.h"
#include "aq_burn.h"
#include "aq_json.h"
#include "client.h"
#include "command.h"
#include "explain_command.h"
#include "table.h"

enum {
    MAX_SERVERS = 16,
    MAX_TOKEN_BYTES = 256
};

static const char default_server[] = "http://127.0.0.1:8081";

typedef struct {
    const char *servers[MAX_SERVERS];
    size_t server_count;
    const char *token_file;
    const char *op;
    bool json;
    char **words;
    size_t word_count;
    char token[MAX_TOKEN_BYTES];
} Arguments;

const char *argp_program_version = "amaranthquay " AQ_VERSION;

static const struct argp_option options[] = {
    {"server", 's', "URL", 0,
     "Operators' listener of an entry VM (http://127.0.0.1:8081); repeat it "
     "for several regions",
     0},
    {"token-file", 't', "FILE", 0,
     "File with the operators' token (else $AMARANTHQUAY_TOKEN)", 0},
    {"op", 'o', "ID", 0,
     "Operation id; use the same one to ask again after an unknown outcome",
     0},
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {0},
};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    Arguments *arguments = state->input;
    switch (key) {
    case 's':
        if (arguments->server_count == MAX_SERVERS) {
            argp_error(state, "more than %d servers", MAX_SERVERS);
        }
        arguments->servers[arguments->server_count++] = text;
        return 0;
    case 't':
        arguments->token_file = text;
        return 0;
    case 'o':
        arguments->op = text;
        return 0;
    case 'j':
        arguments->json = true;
        return 0;
    case ARGP_KEY_ARGS:
        arguments->words = state->argv + state->next;
        arguments->word_count = (size_t)(state->argc - state->next);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Called by argp for each part of its help text: returns the part unchanged
 * or, in place of the part after the options, the lists of commands and of
 * exit statuses. */
static char *
help_filter(int key, const char *text, void *input)
{
    (void)input;
    if (key != ARGP_KEY_HELP_POST_DOC) {
        return (char *)text;
    }
    AqBuffer out;
    AqBuffer_Init(&out);
    AqBuffer_AppendText(&out, "Commands:\n");
    for (const Command *c = commands; c->group != NULL; c++) {
        command_describe(c, &out);
    }
    AqBuffer_AppendText(
        &out, "\nExit status: 0 accepted, 1 internal error, 2 usage, 3 "
              "refused, 4 unavailable, 5 unknown, 6 unauthorized, 7 stored "
              "but not confirmed.\n");
    return AqBuffer_Detach(&out, NULL);
}

static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .args_doc = "COMMAND [ARGUMENT...]",
    .doc = "Manage an amaranthquay fleet.\v",
    .help_filter = help_filter,
};

/* ---- Token -------------------------------------------------------------- */

static bool
read_token(Arguments *arguments, AqError *error)
{
    const char *text = getenv("AMARANTHQUAY_TOKEN");
    if (arguments->token_file == NULL) {
        if (text == NULL || strlen(text) >= MAX_TOKEN_BYTES) {
            return AqError_Set(error, AQ_ERR_INVALID,
                               "no token; give --token-file FILE or set "
                               "AMARANTHQUAY_TOKEN");
        }
        snprintf(arguments->token, MAX_TOKEN_BYTES, "%s", text);
        return true;
    }
    FILE *file = fopen(arguments->token_file, "r");
    if (file == NULL) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "the token file %s cannot be opened; check its "
                           "path and rights",
                           arguments->token_file);
    }
    if (fgets(arguments->token, MAX_TOKEN_BYTES, file) == NULL) {
        arguments->token[0] = '\0';
    }
    fclose(file);
    arguments->token[strcspn(arguments->token, "\r\n")] = '\0';
    return true;
}

/* ---- Results ------------------------------------------------------------ */

static int
exit_code(const ClientReply *reply, bool is_intent)
{
    switch (reply->status) {
    case 200:
        return AQ_EXIT_ACCEPTED;
    case 202:
        return AQ_EXIT_STORED;
    case 400:
    case 404:
        return AQ_EXIT_USAGE;
    case 401:
        return AQ_EXIT_UNAUTHORIZED;
    case 409:
        return AQ_EXIT_REFUSED;
    case 503:
        return AQ_EXIT_UNAVAILABLE;
    case 504:
        return AQ_EXIT_UNKNOWN;
    default:
        /* A server that received the intent may have carried it out even
         * though no response arrived. */
        return is_intent && reply->may_have_arrived ? AQ_EXIT_UNKNOWN
                                                    : AQ_EXIT_UNAVAILABLE;
    }
}

static const char *
get_text(const json_t *body, const char *field)
{
    const char *text = json_string_value(json_object_get(body, field));
    return text != NULL ? text : "";
}

static void
print_json(const json_t *value)
{
    char *text = AqJson_Dump(value);
    printf("%s\n", text);
    free(text);
}

/* Prints that an intent was accepted, with the version of the fleet document
 * that the response holds.  That version is 0, and not printed, for intents on
 * jobs, which are stored outside the fleet document. */
static void
print_accepted(const json_t *body)
{
    json_int_t version = json_integer_value(json_object_get(body, "version"));
    if (version > 0) {
        printf("accepted, version %lld\n", (long long)version);
    }
    else {
        printf("accepted\n");
    }
}

static void
print_problem(const char *server, const ClientReply *reply, const char *op)
{
    if (reply->status == 0) {
        fprintf(stderr, "amaranthquay: %s: no answer: %s%s%s\n", server,
                reply->message,
                op != NULL && reply->may_have_arrived
                    ? "; ask again with --op "
                    : "",
                op != NULL && reply->may_have_arrived ? op : "");
        return;
    }
    fprintf(stderr, "amaranthquay: %s: %s: %s%s%s%s\n", server,
            get_text(reply->body, "outcome"), get_text(reply->body, "reason"),
            get_text(reply->body, "remedy"),
            op != NULL && (reply->status == 504 || reply->status == 202)
                ? "; --op "
                : "",
            op != NULL && (reply->status == 504 || reply->status == 202) ? op
                                                                         : "");
}

/* ---- Commands ----------------------------------------------------------- */

static int
run_intent(const Arguments *arguments, const char *server,
           const Command *command, json_t *args)
{
    char op[40];
    uint64_t number = 0;
    ClientReply reply;
    if (getrandom(&number, sizeof(number), 0) < 0) {
        return AQ_EXIT_INTERNAL;
    }
    snprintf(op, sizeof(op), "cli-%016llx", (unsigned long long)number);
    const char *id = arguments->op != NULL ? arguments->op : op;
    json_t *intent = json_pack("{s:s,s:s,s:O}", "op", id, "kind",
                               command->kind, "args", args);
    client_call(server, arguments->token, "/admin/v1/intents", intent, &reply);
    int code = exit_code(&reply, true);
    if (arguments->json && reply.body != NULL) {
        print_json(reply.body);
    }
    else if (code == AQ_EXIT_ACCEPTED) {
        print_accepted(reply.body);
    }
    if (code != AQ_EXIT_ACCEPTED) {
        print_problem(server, &reply, id);
    }
    client_clear(&reply);
    json_decref(intent);
    return code;
}

static int
write_svg(const json_t *report, const char *path)
{
    AqBuffer out;
    AqError error;
    AqBuffer_Init(&out);
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        fprintf(stderr, "amaranthquay: %s cannot be written\n", path);
        return AQ_EXIT_USAGE;
    }
    int code = AQ_EXIT_ACCEPTED;
    if (AqBurn_WriteSvg(report, &out, &error)) {
        fwrite(AqBuffer_Text(&out), 1, out.size, file);
    }
    else {
        fprintf(stderr, "amaranthquay: %s\n", error.message);
        code = AQ_EXIT_INTERNAL;
    }
    fclose(file);
    AqBuffer_Clear(&out);
    return code;
}

static int
show_burn(const Arguments *arguments, const json_t *report, const json_t *args)
{
    const char *svg = json_string_value(json_object_get(args, "svg"));
    AqBuffer out;
    AqError error;
    if (svg != NULL) {
        return write_svg(report, svg);
    }
    if (arguments->json) {
        print_json(report);
        return AQ_EXIT_ACCEPTED;
    }
    AqBuffer_Init(&out);
    bool ok = AqBurn_WriteTable(report, &out, &error);
    if (ok) {
        fputs(AqBuffer_Text(&out), stdout);
    }
    else {
        fprintf(stderr, "amaranthquay: %s\n", error.message);
    }
    AqBuffer_Clear(&out);
    return ok ? AQ_EXIT_ACCEPTED : AQ_EXIT_INTERNAL;
}

static void
show_status(const json_t *status)
{
    const char *field;
    json_t *value;
    json_object_foreach((json_t *)status, field, value)
    {
        char *text = AqJson_Dump(value);
        printf("%-10s %s\n", field, text);
        free(text);
    }
}

static int
run_read(const Arguments *arguments, const char *server,
         const Command *command, const json_t *args)
{
    char path[128];
    ClientReply reply;
    if (command->type == COMMAND_STATE) {
        snprintf(path, sizeof(path), "/admin/v1/state?kind=%s", command->kind);
    }
    else {
        snprintf(path, sizeof(path), "/admin/v1/%s",
                 command->type == COMMAND_BURN ? "burn" : "status");
    }
    client_call(server, arguments->token, path, NULL, &reply);
    int code = exit_code(&reply, false);
    if (code != AQ_EXIT_ACCEPTED) {
        print_problem(server, &reply, NULL);
    }
    else if (command->type == COMMAND_BURN) {
        code = show_burn(arguments, reply.body, args);
    }
    else if (arguments->json) {
        print_json(reply.body);
    }
    else if (command->type == COMMAND_STATE) {
        table_write(stdout, reply.body);
    }
    else {
        show_status(reply.body);
    }
    client_clear(&reply);
    return code;
}

/* Returns the rank of an exit status.  A command that is sent to several
 * servers exits with the status of the highest rank.  An unknown outcome ranks
 * above a refusal. */
static int
severity(int code)
{
    static const int order[] = {AQ_EXIT_ACCEPTED,    AQ_EXIT_STORED,
                                AQ_EXIT_UNAVAILABLE, AQ_EXIT_REFUSED,
                                AQ_EXIT_USAGE,       AQ_EXIT_UNAUTHORIZED,
                                AQ_EXIT_UNKNOWN,     AQ_EXIT_INTERNAL};
    int at = 0;
    while (order[at] != code && order[at] != AQ_EXIT_INTERNAL) {
        at++;
    }
    return at;
}

static int
run_on_servers(const Arguments *arguments, const Command *command,
               json_t *args)
{
    int worst = AQ_EXIT_ACCEPTED;
    for (size_t i = 0; i < arguments->server_count; i++) {
        const char *server = arguments->servers[i];
        if (arguments->server_count > 1 && !arguments->json) {
            printf("%s:\n", server);
        }
        int code = command->type == COMMAND_INTENT
                       ? run_intent(arguments, server, command, args)
                       : run_read(arguments, server, command, args);
        if (severity(code) > severity(worst)) {
            worst = code;
        }
    }
    return worst;
}

int
AqCli_Main(int argc, char **argv)
{
    Arguments arguments = {0};
    AqError error;
    size_t used;
    json_t *args = NULL;
    argp_err_exit_status = AQ_EXIT_USAGE;
    argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &arguments);
    if (arguments.server_count == 0) {
        arguments.servers[arguments.server_count++] = default_server;
    }
    const Command *command =
        command_find(arguments.words, arguments.word_count, &used, &error);
    if (command == NULL) {
        goto error;
    }
    if (command->type == COMMAND_EXPLAIN) {
        return explain_run(arguments.words + used, arguments.word_count - used,
                           arguments.json);
    }
    args = command_args(command, arguments.words + used,
                        arguments.word_count - used, &error);
    if (args == NULL || !read_token(&arguments, &error)) {
        goto error;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int code = run_on_servers(&arguments, command, args);
    curl_global_cleanup();
    json_decref(args);
    return code;

error:
    fprintf(stderr, "amaranthquay: %s\n", error.message);
    json_decref(args);
    return AQ_EXIT_USAGE;
}
