#include "operators.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "aq_log.h"
#include "burn_sync.h"
#include "commits.h"
#include "jobs_runner.h"
#include "status.h"

enum {
    MAX_BODY_BYTES = 1024 * 1024,
    MAX_CONNECTIONS = 64,
    IDLE_TIMEOUT_S = 30,
    /* Longest operation id of an intent, as in package fleet. */
    MAX_OP_BYTES = 128
};

struct Operators {
    Daemon *daemon;
    AqHttpServer *server;
};

/* ---- Responses ---------------------------------------------------------- */

void
Operators_Respond(AqExchange *exchange, int status, json_t *root)
{
    AqHttpHeader header = {"Content-Type", "application/json"};
    char *text = AqJson_Dump(root);
    AqExchange_Respond(exchange, status, &header, 1, text, strlen(text));
    free(text);
    json_decref(root);
}

void
Operators_RespondRefused(AqExchange *exchange, int status, const char *outcome,
                         const char *reason)
{
    Operators_Respond(
        exchange, status,
        json_pack("{s:s,s:s}", "outcome", outcome, "reason", reason));
}

/* Compares all bytes, so that the time taken does not reveal how many bytes of
 * "text" match the token. */
static bool
is_token(const char *text, const char *token)
{
    size_t length = strlen(token);
    size_t given = strlen(text);
    unsigned char difference = given != length;
    for (size_t i = 0; i < length; i++) {
        difference |= (unsigned char)(token[i] ^ text[i < given ? i : given]);
    }
    return difference == 0;
}

static bool
is_authorized(const Operators *operators, AqExchange *exchange)
{
    static const char scheme[] = "Bearer ";
    const char *text = AqExchange_Header(exchange, "Authorization");
    return text != NULL && strncmp(text, scheme, sizeof(scheme) - 1) == 0 &&
           is_token(text + sizeof(scheme) - 1,
                    operators->daemon->settings->operators_token);
}

/* ---- Intents ------------------------------------------------------------ */

static void
on_committed(void *context, CommitStatus status, int64_t version,
             const AqError *error)
{
    AqExchange *exchange = context;
    switch (status) {
    case COMMIT_ACCEPTED:
        Operators_Respond(exchange, 200,
                          json_pack("{s:s,s:I}", "outcome", "accepted",
                                    "version", (json_int_t)version));
        break;
    case COMMIT_STORED:
        Operators_Respond(
            exchange, 202,
            json_pack("{s:s,s:I,s:s}", "outcome", "stored", "version",
                      (json_int_t)version, "remedy",
                      "a majority of the entry VMs has not confirmed it "
                      "yet; send the same op again to ask"));
        break;
    case COMMIT_REFUSED:
        Operators_RespondRefused(
            exchange, error->kind == AQ_ERR_INVALID ? 400 : 409,
            error->kind == AQ_ERR_INVALID ? "invalid" : "refused",
            error->message);
        break;
    case COMMIT_UNAVAILABLE:
        Operators_RespondRefused(
            exchange, 503, "unavailable",
            "the store cannot be reached and nothing was stored; "
            "try again later");
        break;
    default:
        Operators_RespondRefused(
            exchange, 504, "unknown",
            "the store's reply was lost; send the same op again "
            "to learn whether it was stored");
        break;
    }
}

static bool
check_intent(const json_t *intent, AqError *error)
{
    static const char *const fields[] = {"op", "kind", "args", NULL};
    const char *op;
    const char *kind;
    if (!json_is_object(intent)) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "the body is not a JSON object; send {\"op\", "
                           "\"kind\", \"args\"}");
    }
    if (!AqJson_CheckFields(intent, fields, error) ||
        !AqJson_GetString(intent, "op", &op, error) ||
        !AqJson_GetString(intent, "kind", &kind, error)) {
        return false;
    }
    if (op[0] == '\0' || strlen(op) > MAX_OP_BYTES) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "op has %zu bytes; send a unique id of 1 to %d",
                           strlen(op), MAX_OP_BYTES);
    }
    if (strncmp(kind, "member.", 7) == 0) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "kind \"%s\" is not for operators; entry VMs join "
                           "and leave by themselves",
                           kind);
    }
    return true;
}

static void
submit(const Daemon *daemon, json_t *intent, AqExchange *exchange)
{
    const char *kind = json_string_value(json_object_get(intent, "kind"));
    if (strncmp(kind, "job.", 4) == 0) {
        JobsRunner_Submit(daemon->jobs, intent, exchange);
    }
    else {
        Commits_SubmitIntent(daemon->commits, intent, on_committed, exchange);
    }
}

static void
handle_intent(Operators *operators, AqExchange *exchange)
{
    size_t size;
    AqError error;
    const char *text = AqExchange_Body(exchange, &size);
    json_t *intent = AqJson_Parse(text, size, &error);
    if (intent == NULL || !check_intent(intent, &error)) {
        Operators_RespondRefused(exchange, 400, "invalid", error.message);
    }
    else {
        AqLog_Event(
            AQ_LOG_INFO, "intent", "op=%s kind=%s",
            AqLog_Quote(json_string_value(json_object_get(intent, "op"))),
            AqLog_Quote(json_string_value(json_object_get(intent, "kind"))));
        submit(operators->daemon, intent, exchange);
    }
    json_decref(intent);
}

/* ---- Queries ------------------------------------------------------------ */

static void
respond_state(Operators *operators, AqExchange *exchange)
{
    const char *kind = AqExchange_Argument(exchange, "kind");
    if (kind != NULL && strcmp(kind, "jobs") == 0) {
        JobsRunner_List(operators->daemon->jobs, exchange);
        return;
    }
    json_t *state =
        kind != NULL ? Status_State(operators->daemon, kind) : NULL;
    if (state == NULL) {
        Operators_RespondRefused(
            exchange, 400, "invalid",
            "kind is missing or unknown; use pools, vms, waves, "
            "teams, weights, members or jobs");
        return;
    }
    Operators_Respond(exchange, 200, state);
}

static void
on_request(void *context, AqExchange *exchange)
{
    Operators *operators = context;
    const char *path = AqExchange_Path(exchange);
    bool is_get = strcmp(AqExchange_Method(exchange), "GET") == 0;
    if (!is_authorized(operators, exchange)) {
        Operators_RespondRefused(exchange, 401, "unauthorized",
                                 "send \"Authorization: Bearer TOKEN\" with "
                                 "operators.token of the settings");
    }
    else if (strcmp(path, "/admin/v1/intents") == 0 && !is_get) {
        handle_intent(operators, exchange);
    }
    else if (strcmp(path, "/admin/v1/state") == 0 && is_get) {
        respond_state(operators, exchange);
    }
    else if (strcmp(path, "/admin/v1/status") == 0 && is_get) {
        Operators_Respond(exchange, 200, Status_Status(operators->daemon));
    }
    else if (strcmp(path, "/admin/v1/burn") == 0 && is_get) {
        Operators_Respond(exchange, 200,
                          BurnSync_Report(operators->daemon->burn));
    }
    else {
        Operators_RespondRefused(
            exchange, 404, "invalid",
            "there is no such call; use POST /admin/v1/intents or "
            "GET /admin/v1/state, /status or /burn");
    }
}

Operators *
Operators_Create(Daemon *daemon, AqError *error)
{
    const AqSettings *settings = daemon->settings;
    Operators *operators = calloc(1, sizeof(*operators));
    AqHttpServerConfig config = {
        .address = settings->operators_address,
        .port = (uint16_t)settings->operators_port,
        .max_body = MAX_BODY_BYTES,
        .max_connections = MAX_CONNECTIONS,
        .idle_timeout_s = IDLE_TIMEOUT_S,
    };
    operators->daemon = daemon;
    operators->server = AqHttpServer_Create(daemon->loop, &config, on_request,
                                            operators, error);
    if (operators->server == NULL) {
        Operators_Destroy(operators);
        return NULL;
    }
    return operators;
}

void
Operators_Destroy(Operators *operators)
{
    if (operators == NULL) {
        return;
    }
    AqHttpServer_Destroy(operators->server);
    free(operators);
}

uint16_t
Operators_Port(const Operators *operators)
{
    return AqHttpServer_Port(operators->server);
}
