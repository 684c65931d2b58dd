#include <stdlib.h>
#include <string.h>

#include "explain_internal.h"

/* What the log lines of the request show; a Line pointer is NULL when the logs
 * have no such line. */
typedef struct {
    const Line *first;
    /* Line of the first response that accepted the job's submission. */
    const Line *accepted;
    /* Line of the last response that refused the job's submission. */
    const Line *last_refusal;
    /* Line of the last response that left open whether the job's submission
     * was stored. */
    const Line *last_unknown;
    const Line *cancelled;
    /* Line of the first order to a VM to run a task of the job. */
    const Line *first_order;
    /* Line of the order to run the task that had waited longest, from the time
     * when the task became ready to run until this order. */
    const Line *longest_wait;
    /* Line logged when the job's final state was stored. */
    const Line *finished;
    /* Line that reports the end or loss of the last task run of the job that
     * did not end as done. */
    const Line *last_unsuccessful;
    /* Line that reports that the job failed since too many VMs crashed under
     * one of its tasks. */
    const Line *given_up;
    unsigned refusal_count; /* responses that refused the job's submission */
    unsigned done_count;    /* task runs of the job that ended as done */
    unsigned failed_count;  /* task runs of the job that ended as failed */
    /* Task runs of the job that ended in another way than done, failed or
     * stopped, with those that a run_lost, run_vanished or run_stalled line
     * reports. */
    unsigned lost_count;
    const char *pool; /* name of the job's pool; "" when not in the logs */
} Facts;

static void
add_response(Facts *facts, const Line *line)
{
    gint64 status = line_number(line, "status");
    const char *method = line_get(line, "method");
    bool is_submission = strcmp(method, "POST") == 0;
    if (is_submission && status == 200 && facts->accepted == NULL) {
        facts->accepted = line;
    }
    else if (is_submission && status == 504) {
        facts->last_unknown = line;
    }
    else if (is_submission && status >= 400) {
        facts->last_refusal = line;
        facts->refusal_count++;
    }
    else if (strcmp(method, "DELETE") == 0 && status < 300) {
        facts->cancelled = line;
    }
}

static void
add_order(Facts *facts, const Line *line)
{
    if (facts->first_order == NULL) {
        facts->first_order = line;
    }
    if (facts->longest_wait == NULL ||
        line_number(line, "waited_ms") >
            line_number(facts->longest_wait, "waited_ms")) {
        facts->longest_wait = line;
    }
}

static void
add_end(Facts *facts, const Line *line)
{
    const char *outcome = line_get(line, "outcome");
    if (strcmp(outcome, "done") == 0) {
        facts->done_count++;
        return;
    }
    facts->last_unsuccessful = line;
    if (strcmp(outcome, "failed") == 0) {
        facts->failed_count++;
    }
    else if (strcmp(outcome, "stopped") != 0) {
        facts->lost_count++;
    }
}

/* Returns the name of the job's pool: from the line of the job's end, or else
 * from the "pool_gained" line that has the same fence (number of an ownership
 * of a pool) as the first run order.  Returns "" when the logs show
 * neither. */
static const char *
find_pool(const AqExplain *explain, const Facts *facts)
{
    if (facts->finished != NULL) {
        return line_get(facts->finished, "pool");
    }
    for (guint i = 0; i < explain->context->len && facts->first_order != NULL;
         i++) {
        const Line *line = g_ptr_array_index(explain->context, i);
        if (line_is(line, "pool_gained") &&
            strcmp(line_get(line, "fence"),
                   line_get(facts->first_order, "fence")) == 0) {
            return line_get(line, "pool");
        }
    }
    return "";
}

static void
collect_facts(const AqExplain *explain, Facts *facts)
{
    memset(facts, 0, sizeof(*facts));
    for (guint i = 0; i < explain->timeline->len; i++) {
        const Line *line = g_ptr_array_index(explain->timeline, i);
        facts->first = i == 0 ? line : facts->first;
        if (line_is(line, "answered")) {
            add_response(facts, line);
        }
        else if (line_is(line, "run_ordered")) {
            add_order(facts, line);
        }
        else if (line_is(line, "run_ended")) {
            add_end(facts, line);
        }
        else if (line_is(line, "run_lost") || line_is(line, "run_vanished") ||
                 line_is(line, "run_stalled")) {
            facts->last_unsuccessful = line;
            facts->lost_count++;
        }
        else if (line_is(line, "run_crashed") &&
                 strcmp(line_get(line, "outcome"), "given_up") == 0) {
            facts->given_up = line;
        }
        else if (line_is(line, "job_finished")) {
            facts->finished = line;
        }
        else if (line_is(line, "cancel_seen") && facts->cancelled == NULL) {
            facts->cancelled = line;
        }
    }
    facts->pool = find_pool(explain, facts);
}

/* Returns the time of the request's acceptance or, when the logs do not show
 * the acceptance, of the request's first line; Unix ms. */
static gint64
accepted_at(const Facts *facts)
{
    return facts->accepted != NULL ? facts->accepted->time_ms
                                   : facts->first->time_ms;
}

/* ---- Evidence ----------------------------------------------------------- */

static void
add_evidence(json_t *report, const Line *line, gint64 begin)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text,
                    "%+.3f s %s:", (double)(line->time_ms - begin) / 1000,
                    line_get(line, "process"));
    for (guint i = 0; i < line->fields->len; i++) {
        const Field *field = &g_array_index(line->fields, Field, i);
        if (field_is_detail(field)) {
            g_string_append_printf(text, " %s=%s", field->key, field->value);
        }
    }
    json_array_append_new(json_object_get(report, "evidence"),
                          json_string(text->str));
    g_string_free(text, TRUE);
}

static void
set_cause(json_t *report, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    json_object_set_new(report, "cause", json_string(text));
    g_free(text);
}

/* Returns the last line in explain->context that has this event and a time of
 * at most time_ms and was logged by "node", or by any node when "node" is
 * NULL.  Returns NULL when there is no such line. */
static const Line *
find_before(const AqExplain *explain, const char *event, const char *node,
            gint64 time_ms)
{
    const Line *found = NULL;
    for (guint i = 0; i < explain->context->len; i++) {
        const Line *line = g_ptr_array_index(explain->context, i);
        if (line_is(line, event) && line->time_ms <= time_ms &&
            (node == NULL || strcmp(line_get(line, "process"), node) == 0)) {
            found = line;
        }
    }
    return found;
}

/* ---- Causes: each check returns true when it has set the cause ---------- */

typedef bool (*CauseCheck)(const AqExplain *explain, const Facts *facts,
                           json_t *report);

static bool
was_refused(const AqExplain *explain, const Facts *facts, json_t *report)
{
    if (facts->accepted != NULL || facts->last_refusal == NULL ||
        facts->first_order != NULL) {
        return false;
    }
    const char *node = line_get(facts->last_refusal, "process");
    const char *reason = line_get(facts->last_refusal, "reason");
    const Line *lost =
        find_before(explain, "store_lost", node, facts->last_refusal->time_ms);
    json_object_set_new(report, "outcome", json_string("refused"));
    add_evidence(report, facts->last_refusal, facts->first->time_ms);
    if (strcmp(reason, "store_unavailable") == 0) {
        set_cause(report, "the store did not serve node %s%s", node,
                  lost != NULL ? "" : "; these logs do not show since when");
    }
    else {
        set_cause(report, "refused by node %s: %s", node, reason);
    }
    if (lost != NULL) {
        add_evidence(report, lost, facts->first->time_ms);
    }
    return true;
}

static bool
is_unknown(const AqExplain *explain, const Facts *facts, json_t *report)
{
    (void)explain;
    if (facts->accepted != NULL || facts->last_unknown == NULL ||
        facts->first_order != NULL) {
        return false;
    }
    json_object_set_new(report, "outcome", json_string("not known"));
    set_cause(report, "the store gave node %s no answer to the write (%s)",
              line_get(facts->last_unknown, "process"),
              line_get(facts->last_unknown, "reason"));
    add_evidence(report, facts->last_unknown, facts->first->time_ms);
    return true;
}

static bool
was_cancelled(const AqExplain *explain, const Facts *facts, json_t *report)
{
    (void)explain;
    if (facts->cancelled == NULL ||
        (facts->finished != NULL &&
         strcmp(line_get(facts->finished, "stage"), "cancelled") != 0)) {
        return false;
    }
    json_object_set_new(report, "outcome", json_string("cancelled"));
    set_cause(report, "cancelled by a caller at node %s",
              line_get(facts->cancelled, "process"));
    add_evidence(report, facts->cancelled, facts->first->time_ms);
    return true;
}

static bool
has_failed(const AqExplain *explain, const Facts *facts, json_t *report)
{
    (void)explain;
    if (facts->finished == NULL ||
        strcmp(line_get(facts->finished, "stage"), "failed") != 0) {
        return false;
    }
    json_object_set_new(report, "outcome", json_string("failed"));
    if (facts->given_up != NULL) {
        set_cause(report, "%s VMs crashed while they ran a task of the job",
                  line_get(facts->given_up, "crashes"));
        add_evidence(report, facts->given_up, facts->first->time_ms);
        return true;
    }
    set_cause(report,
              "a task used up its attempts: %u runs failed, %u were lost",
              facts->failed_count, facts->lost_count);
    if (facts->last_unsuccessful != NULL) {
        add_evidence(report, facts->last_unsuccessful, facts->first->time_ms);
    }
    return true;
}

/* Returns the line of the first change of the owner of the job's pool between
 * the acceptance and the end of the job; NULL when the owner did not
 * change. */
static const Line *
find_takeover(const AqExplain *explain, const Facts *facts)
{
    gint64 begin = accepted_at(facts);
    for (guint i = 0; i < explain->context->len; i++) {
        const Line *line = g_ptr_array_index(explain->context, i);
        if (line_is(line, "pool_gained") && line->time_ms > begin &&
            strcmp(line_get(line, "pool"), facts->pool) == 0 &&
            (facts->finished == NULL ||
             line->time_ms < facts->finished->time_ms)) {
            return line;
        }
    }
    return NULL;
}

static void
set_end(const Facts *facts, json_t *report)
{
    if (facts->finished == NULL) {
        json_object_set_new(
            report, "outcome",
            json_string(facts->accepted != NULL
                            ? "accepted; these logs show no end"
                            : "these logs show neither acceptance nor end"));
        return;
    }
    gint64 begin = accepted_at(facts);
    char *text = g_strdup_printf(
        "completed %.3f s after its acceptance, %u submissions refused",
        (double)(facts->finished->time_ms - begin) / 1000,
        facts->refusal_count);
    json_object_set_new(report, "outcome", json_string(text));
    g_free(text);
}

static bool
had_takeover(const AqExplain *explain, const Facts *facts, json_t *report)
{
    const Line *gained = find_takeover(explain, facts);
    if (gained == NULL) {
        return false;
    }
    gint64 begin = facts->first->time_ms;
    const Line *lost =
        find_before(explain, "pool_lost", NULL, gained->time_ms);
    set_end(facts, report);
    set_cause(report,
              "pool %s changed its owner: node %s gained it at %+.3f s",
              facts->pool, line_get(gained, "process"),
              (double)(gained->time_ms - begin) / 1000);
    add_evidence(report, gained, begin);
    if (lost != NULL && strcmp(line_get(lost, "pool"), facts->pool) == 0) {
        add_evidence(report, lost, begin);
    }
    return true;
}

static bool
had_repeated_runs(const AqExplain *explain, const Facts *facts, json_t *report)
{
    (void)explain;
    if (facts->failed_count + facts->lost_count == 0) {
        return false;
    }
    set_end(facts, report);
    set_cause(report,
              "runs were repeated: %u failed and %u were lost with their VM "
              "or lease",
              facts->failed_count, facts->lost_count);
    add_evidence(report, facts->last_unsuccessful, facts->first->time_ms);
    return true;
}

/* Returns the line with the highest "ready_cpu" (CPU needed by the tasks that
 * are ready to run, in thousandths of a core) of the "pool_load" lines that
 * the owner of the job's pool logged while the task of facts->longest_wait was
 * waiting.  Returns NULL when there is no such line. */
static const Line *
find_load(const AqExplain *explain, const Facts *facts)
{
    const Line *worst = NULL;
    gint64 until = facts->longest_wait->time_ms;
    gint64 since = until - line_number(facts->longest_wait, "waited_ms");
    for (guint i = 0; i < explain->context->len; i++) {
        const Line *line = g_ptr_array_index(explain->context, i);
        if (line_is(line, "pool_load") && line->time_ms <= until &&
            line->time_ms >= since &&
            strcmp(line_get(line, "pool"), facts->pool) == 0 &&
            (worst == NULL || line_number(line, "ready_cpu") >
                                  line_number(worst, "ready_cpu"))) {
            worst = line;
        }
    }
    return worst;
}

/* Returns the line that says that the cap of the workspace held tasks back in
 * the pool while the task waited; NULL: there is none. */
static const Line *
find_capped(const AqExplain *explain, const Facts *facts)
{
    enum {
        /* A scheduler logs a workspace's cap at most once in this time. */
        CAPPED_LOG_MS = 2000
    };
    const char *workspace = line_get(facts->longest_wait, "workspace");
    gint64 until = facts->longest_wait->time_ms;
    gint64 since = until - line_number(facts->longest_wait, "waited_ms");
    for (guint i = 0; i < explain->context->len; i++) {
        const Line *line = g_ptr_array_index(explain->context, i);
        if (line_is(line, "workspace_capped") && line->time_ms <= until &&
            line->time_ms >= since - CAPPED_LOG_MS &&
            strcmp(line_get(line, "pool"), facts->pool) == 0 &&
            strcmp(line_get(line, "workspace"), workspace) == 0) {
            return line;
        }
    }
    return NULL;
}

static bool
has_waited(const AqExplain *explain, const Facts *facts, json_t *report)
{
    enum {
        /* When a task waited for less than this from becoming ready to run
         * until the order to run it, the wait is message latency alone and not
         * reported as the cause. */
        IGNORED_WAIT_MS = 300
    };
    if (facts->longest_wait == NULL ||
        line_number(facts->longest_wait, "waited_ms") < IGNORED_WAIT_MS) {
        return false;
    }
    const Line *load = find_load(explain, facts);
    const Line *capped = find_capped(explain, facts);
    double waited_s =
        (double)line_number(facts->longest_wait, "waited_ms") / 1000;
    set_end(facts, report);
    if (capped != NULL) {
        set_cause(report,
                  "a task waited %.3f s in pool %s; the cap of workspace %s "
                  "held tasks back",
                  waited_s, facts->pool, line_get(capped, "workspace"));
        add_evidence(report, capped, facts->first->time_ms);
    }
    else {
        set_cause(report, "a task waited %.3f s for capacity in pool %s",
                  waited_s, facts->pool);
    }
    add_evidence(report, facts->longest_wait, facts->first->time_ms);
    if (load != NULL) {
        add_evidence(report, load, facts->first->time_ms);
    }
    return true;
}

static bool
is_open(const AqExplain *explain, const Facts *facts, json_t *report)
{
    (void)explain;
    if (facts->finished != NULL) {
        return false;
    }
    set_end(facts, report);
    set_cause(report, facts->first_order != NULL
                          ? "runs were ordered; their ends are not shown"
                          : "no run was ordered, as far as the logs show");
    return true;
}

static bool
had_no_problem(const AqExplain *explain, const Facts *facts, json_t *report)
{
    (void)explain;
    set_end(facts, report);
    set_cause(report,
              "nothing went wrong: it ran for as long as its %u runs "
              "took",
              facts->done_count);
    return true;
}

/* ---- Missing logs ------------------------------------------------------- */

static void
report_missing_logs(AqExplain *explain, const Facts *facts)
{
    bool has_owner = facts->first_order != NULL || facts->finished != NULL;
    if (explain->timeline->len == 0) {
        AqExplain_AddMissing(explain, "all lines of the request",
                             "give the logs of all nodes, starting before its "
                             "submission");
    }
    else if (has_owner && facts->accepted == NULL) {
        AqExplain_AddMissing(explain, "the submission",
                             "the log of the node that accepted it is not "
                             "among these");
    }
    else if (facts->accepted != NULL && !has_owner &&
             facts->cancelled == NULL) {
        AqExplain_AddMissing(explain, "the owner's lines",
                             "the log of the pool's owner is not among "
                             "these, or the job never started");
    }
    if (facts->first_order != NULL && facts->pool[0] == '\0') {
        AqExplain_AddMissing(
            explain, "the pool",
            "no log shows which node gained it with the fence "
            "of the orders");
    }
}

void
cause_find(AqExplain *explain, json_t *report)
{
    /* Checks are called in this order until one returns true, which has then
     * set the cause: first checks for what decided the outcome of the request,
     * then checks for what took the time. */
    static const CauseCheck checks[] = {
        was_refused, is_unknown,   was_cancelled,
        has_failed,  had_takeover, had_repeated_runs,
        has_waited,  is_open,      had_no_problem,
    };
    Facts facts;
    collect_facts(explain, &facts);
    json_object_set_new(report, "evidence", json_array());
    if (facts.first == NULL) {
        json_object_set_new(report, "outcome", json_string("not known"));
        set_cause(report, "no line names the request");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(checks) && facts.first != NULL; i++) {
        if (checks[i](explain, &facts, report)) {
            break;
        }
    }
    report_missing_logs(explain, &facts);
}
