#include "aq_load_view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

enum {
    /* version of the encoded view; readers pass over other ones */
    VIEW_VERSION = 1,
    VIEW_FIELDS = 7, /* numbers before the classes */
    /* Core-milliseconds of the first class's largest jobs. */
    SMALLEST_CLASS_WORK = 1000,
    /* An overload that has lasted for a shorter time says nothing of the
     * shortest job: see LASTING_FACTOR in admission.c. */
    MIN_LASTING_MS = 5000
};

/* Largest number in a view, which keeps sums of them in range. */
#define MAX_NUMBER 1e15

size_t
AqLoadView_Class(int64_t work)
{
    size_t number = 0;
    for (int64_t limit = SMALLEST_CLASS_WORK;
         work > limit && number < AQ_LOAD_CLASSES - 1; limit *= 2) {
        number++;
    }
    return number;
}

int64_t
AqLoadView_ClassStart(size_t class)
{
    return class > 0 ? (int64_t)SMALLEST_CLASS_WORK << (class - 1) : 0;
}

size_t
AqLoadView_Priority(int priority)
{
    if (priority < 0) {
        return 0;
    }
    return priority < AQ_LOAD_PRIORITIES ? (size_t)priority
                                         : AQ_LOAD_PRIORITIES - 1;
}

/* Returns the core-milliseconds of the job's tasks that are neither done nor
 * on a VM. */
static int64_t
waiting_work(const AqScheduler *s, const Job *job)
{
    int64_t sum = 0;
    AqList_ForEach(at, &job->occurrences)
    {
        const Occurrence *occurrence = AqList_Entry(at, Occurrence, link);
        for (size_t i = 0; i < job->spec.step_count; i++) {
            const Step *step = &occurrence->steps[i];
            const AqStepSpec *spec = step->spec;
            for (uint32_t j = 0; j < spec->task_count; j++) {
                TaskState state = step->tasks[j].state;
                if (!spec->is_perpetual && !spec->is_filler &&
                    (state == TASK_READY || state == TASK_BLOCKED)) {
                    sum +=
                        spec->cpu_millis * scheduler_estimate(s, spec) / 1000;
                }
            }
        }
    }
    return sum;
}

/* Whether the VM's CPU counts as capacity: tasks start on it now, or again
 * soon. */
static bool
has_capacity(const AqScheduler *s, const Vm *vm)
{
    VmState state = vms_state(s, vm);
    return state == VM_USABLE || state == VM_USE_UNRECORDED ||
           state == VM_QUARANTINED;
}

bool
AqScheduler_GetLoadView(AqScheduler *s, int64_t arriving_cpu_millis,
                        int64_t wall, AqLoadView *view)
{
    int64_t offered = 0;
    memset(view, 0, sizeof(*view));
    view->made_ms = wall;
    view->fence = s->config.fence;
    view->duration_permille =
        (int64_t)(1000.0 * s->mean_actual_ms / s->mean_declared_ms);
    view->capacity_cpu_millis = arriving_cpu_millis;
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (has_capacity(s, vm)) {
            view->capacity_cpu_millis +=
                vm->report.cpu_millis - vm->perpetual_cpu;
        }
    }
    load_decay(s);
    for (size_t i = 0; i < AQ_LOAD_PRIORITIES; i++) {
        for (size_t j = 0; j < AQ_LOAD_CLASSES; j++) {
            /* the time constant of the sums is 1 s */
            double sum = s->offered_by_class[i][j];
            view->offered[i][j] =
                (int64_t)(sum < MAX_NUMBER ? sum : MAX_NUMBER);
            offered += view->offered[i][j];
        }
    }
    /* A pool without VMs is in a fault, whose end does not depend on the
     * load. */
    if (!s->is_recovered || view->capacity_cpu_millis <= 0 ||
        offered <= view->capacity_cpu_millis) {
        s->sufficient_at = s->now;
    }
    view->lasting_ms = s->now - s->sufficient_at;
    if (view->lasting_ms < MIN_LASTING_MS) {
        return false;
    }
    AqList_ForEach(at, &s->active)
    {
        view->waiting_work += waiting_work(s, AqList_Entry(at, Job, link));
    }
    return true;
}

void
AqLoadView_Encode(const AqLoadView *view, AqBuffer *out)
{
    AqBuffer_Printf(
        out, "\tload %d %lld %llu %lld %lld %lld %lld", VIEW_VERSION,
        (long long)view->made_ms, (unsigned long long)view->fence,
        (long long)view->lasting_ms, (long long)view->duration_permille,
        (long long)view->capacity_cpu_millis, (long long)view->waiting_work);
    for (size_t i = 0; i < AQ_LOAD_PRIORITIES; i++) {
        for (size_t j = 0; j < AQ_LOAD_CLASSES; j++) {
            if (view->offered[i][j] > 0) {
                AqBuffer_Printf(out, " %zu.%zu:%lld", i, j,
                                (long long)view->offered[i][j]);
            }
        }
    }
    AqBuffer_AppendText(out, "\n");
}

/* Returns the start of the view's line; NULL if the report has none. */
static const char *
find_line(const char *report)
{
    for (const char *line = report; line != NULL && *line != '\0';) {
        if (strncmp(line, "\tload ", strlen("\tload ")) == 0) {
            return line + strlen("\tload ");
        }
        line = strchr(line, '\n');
        line = line != NULL ? line + 1 : NULL;
    }
    return NULL;
}

/* Reads a number from 0 to MAX_NUMBER and the separator that follows, if that
 * is not NUL; false if the text does not begin with them. */
static bool
read_number(const char **text, char separator, int64_t *number)
{
    char *end;
    if (**text < '0' || **text > '9') {
        return false;
    }
    *number = strtoll(*text, &end, 10);
    bool is_followed = separator == '\0' || *end == separator;
    *text = is_followed && separator != '\0' ? end + 1 : end;
    return is_followed && (double)*number <= MAX_NUMBER;
}

static bool
read_fields(const char **text, AqLoadView *view)
{
    int64_t fields[VIEW_FIELDS];
    for (size_t i = 0; i < VIEW_FIELDS; i++) {
        if (!read_number(text, '\0', &fields[i])) {
            return false;
        }
        if (i < VIEW_FIELDS - 1 && *(*text)++ != ' ') {
            return false;
        }
    }
    view->made_ms = fields[1];
    view->fence = (uint64_t)fields[2];
    view->lasting_ms = fields[3];
    view->duration_permille = fields[4];
    view->capacity_cpu_millis = fields[5];
    view->waiting_work = fields[6];
    return fields[0] == VIEW_VERSION;
}

bool
AqLoadView_Decode(const char *report, AqLoadView *view)
{
    const char *text = find_line(report);
    memset(view, 0, sizeof(*view));
    if (text == NULL || !read_fields(&text, view)) {
        return false;
    }
    while (*text == ' ') {
        int64_t priority;
        int64_t class;
        int64_t offered;
        text++;
        if (!read_number(&text, '.', &priority) ||
            !read_number(&text, ':', &class) ||
            !read_number(&text, '\0', &offered) ||
            priority >= AQ_LOAD_PRIORITIES || class >= AQ_LOAD_CLASSES) {
            return false;
        }
        view->offered[priority][class] = offered;
    }
    return *text == '\n' || *text == '\0';
}
