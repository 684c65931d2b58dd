#include "fair_order.h"

#include <math.h>
#include <stdlib.h>

/* Dominant resource fairness (Ghodsi et al., NSDI 2011): a workspace's share
 * is the largest part that it has of the pool's CPU, memory or GPUs. */

/* A workspace with ready jobs of the present priority. */
struct FairGroup {
    Workspace *workspace; /* borrowed */
    double weight;
    /* what the workspace's tasks use and its ready tasks of the present
     * priority need, except those of very late jobs */
    AqResources wanted;
    double wanted_share;   /* dominant share of "wanted" */
    double entitled_share; /* dominant share that it is entitled to */
    /* indices of its first and last deferred job; no_job: none */
    size_t first_job;
    size_t last_job;
    double level; /* dominant share divided by weight */
};

typedef struct FairGroup Group;

static const size_t no_job = (size_t)-1;

/* Above the rounding error of an entitled share; see HALVINGS. */
static const double share_tolerance = 1e-4;

struct FairOrder {
    Job *const *jobs; /* borrowed */
    size_t count;
    bool is_contended;
    AqResources total;
    AqResources used;     /* by all tasks when the order was created */
    AqResources *demands; /* what the ready tasks of each job need */
    size_t at;            /* index of the next job to look at */
    /* index after the last job of the present priority */
    size_t priority_end;
    Group *groups; /* of the present priority */
    size_t group_count;
    /* the group of each job */
    Group **group_of;
    /* for each deferred job of the present bucket, the index of the next one
     * of its group */
    size_t *following;
    /* binary heap of the groups with deferred jobs, the one to serve next
     * first; its first group had the last turn if "must_update" */
    Group **heap;
    size_t heap_size;
    bool must_update;
    bool is_heap_built;
};

static double
part(int64_t used, int64_t total)
{
    if (used <= 0) {
        return 0.0;
    }
    return total > 0 ? (double)used / (double)total : 1.0;
}

double
fair_order_dominant_share(const AqResources *used, const AqResources *total)
{
    double share = part(used->cpu_millis, total->cpu_millis);
    share = fmax(share, part(used->memory_mb, total->memory_mb));
    return fmax(share, part(used->gpus, total->gpus));
}

/* ---- Room and demand ---------------------------------------------------- */

static void
add(AqResources *sum, const AqResources *amount, int64_t times)
{
    sum->cpu_millis += amount->cpu_millis * times;
    sum->memory_mb += amount->memory_mb * times;
    sum->gpus += amount->gpus * times;
}

static bool
fits(const AqResources *amount, const AqResources *room)
{
    return amount->cpu_millis <= room->cpu_millis &&
           amount->memory_mb <= room->memory_mb && amount->gpus <= room->gpus;
}

/* Adds what the job's ready tasks need, and raises "widest" to what each of
 * them needs.  Returns the number of the ready tasks. */
static int64_t
add_demand(const Job *job, AqResources *demand, AqResources *widest)
{
    int64_t tasks = 0;
    AqList_ForEach(at, &job->occurrences)
    {
        const Occurrence *occurrence = AqList_Entry(at, Occurrence, link);
        for (size_t i = 0; i < job->spec.step_count; i++) {
            const Step *step = &occurrence->steps[i];
            const AqStepSpec *spec = step->spec;
            if (step->ready == 0) {
                continue;
            }
            AqResources task = {spec->is_filler ? 0 : spec->cpu_millis,
                                spec->memory_mb, spec->gpus};
            add(demand, &task, step->ready);
            tasks += step->ready;
            widest->cpu_millis = MAX(widest->cpu_millis, task.cpu_millis);
            widest->memory_mb = MAX(widest->memory_mb, task.memory_mb);
            widest->gpus = MAX(widest->gpus, task.gpus);
        }
    }
    return tasks;
}

AqResources
fair_order_total(const AqScheduler *s)
{
    AqResources total = {0, 0, 0};
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (vms_is_usable(s, vm)) {
            total.cpu_millis += vm->report.cpu_millis;
            total.memory_mb += vm->report.memory_mb;
            total.gpus += vm->report.gpus;
        }
    }
    return total;
}

/* Sums up the VMs on which tasks may start, and sets "room" to what is free on
 * those that have room for a task which needs "widest": parts of a VM's room
 * are of no use to a task. */
static void
measure_room(FairOrder *self, const AqScheduler *s, const AqResources *widest,
             AqResources *room)
{
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (!vms_is_usable(s, vm)) {
            continue;
        }
        AqResources all = {vm->report.cpu_millis, vm->report.memory_mb,
                           vm->report.gpus};
        AqResources taken = {vm->used_cpu + vm->reserved_cpu + vm->foreign_cpu,
                             vm->used_memory + vm->reserved_memory +
                                 vm->foreign_memory,
                             vm->used_gpus + vm->reserved_gpus};
        add(&self->total, &all, 1);
        add(&self->used, &taken, 1);
        add(&all, &taken, -1);
        if (fits(widest, &all)) {
            add(room, &all, 1);
        }
    }
}

/* Whether the ready tasks may not all find room, or need more start orders
 * than may be in flight. */
static bool
measure_contention(FairOrder *self, const AqScheduler *s)
{
    AqResources demand = {0, 0, 0};
    AqResources widest = {0, 0, 0};
    AqResources room = {0, 0, 0};
    int64_t tasks = 0;
    for (size_t i = 0; i < self->count; i++) {
        tasks += add_demand(self->jobs[i], &self->demands[i], &widest);
        add(&demand, &self->demands[i], 1);
    }
    measure_room(self, s, &widest, &room);
    return !fits(&demand, &room) ||
           (double)(tasks + s->start_window.in_flight) > s->start_window.size;
}

/* ---- Entitlements ------------------------------------------------------- */

/* A workspace without a weight gets that of the lightest one beside it, so
 * that its jobs do not wait forever. */
static void
set_weights(FairOrder *self)
{
    double least = 0.0;
    for (size_t i = 0; i < self->group_count; i++) {
        double weight = self->groups[i].workspace->weight;
        if (weight > 0.0 && (least == 0.0 || weight < least)) {
            least = weight;
        }
    }
    for (size_t i = 0; i < self->group_count; i++) {
        double weight = self->groups[i].workspace->weight;
        self->groups[i].weight = weight > 0.0  ? weight
                                 : least > 0.0 ? least
                                               : 1.0;
    }
}

/* Whether the room suffices when each group gets what it wants, but at most
 * the dominant share level * weight. */
static bool
level_fits(const FairOrder *self, const AqResources *room, double level)
{
    double cpu = 0.0;
    double memory = 0.0;
    double gpus = 0.0;
    for (size_t i = 0; i < self->group_count; i++) {
        const Group *group = &self->groups[i];
        double granted = level * group->weight;
        double scale = granted < group->wanted_share
                           ? granted / group->wanted_share
                           : 1.0;
        cpu += scale * (double)group->wanted.cpu_millis;
        memory += scale * (double)group->wanted.memory_mb;
        gpus += scale * (double)group->wanted.gpus;
    }
    return cpu <= (double)room->cpu_millis &&
           memory <= (double)room->memory_mb && gpus <= (double)room->gpus;
}

/* Raises all groups to the highest level for which there is room beside what
 * other workspaces use. */
static void
set_entitlements(FairOrder *self)
{
    enum {
        HALVINGS = 20 /* to a millionth of the highest level */
    };
    AqResources room = self->total;
    double low = 0.0;
    double high = 0.0;
    add(&room, &self->used, -1);
    for (size_t i = 0; i < self->group_count; i++) {
        Group *group = &self->groups[i];
        add(&room, &group->workspace->used, 1);
        group->wanted_share =
            fair_order_dominant_share(&group->wanted, &self->total);
        high = fmax(high, group->wanted_share / group->weight);
    }
    if (level_fits(self, &room, high)) {
        low = high;
    }
    for (int i = 0; i < HALVINGS && low < high; i++) {
        double middle = (low + high) / 2;
        if (level_fits(self, &room, middle)) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    for (size_t i = 0; i < self->group_count; i++) {
        self->groups[i].entitled_share = low * self->groups[i].weight;
    }
}

static Group *
find_or_add_group(FairOrder *self, Workspace *workspace)
{
    if (workspace->group == NULL) {
        Group *group = &self->groups[self->group_count++];
        *group = (Group){.workspace = workspace,
                         .wanted = workspace->used,
                         .first_job = no_job,
                         .last_job = no_job};
        workspace->group = group;
    }
    return workspace->group;
}

static void
enter_next_priority(FairOrder *self)
{
    int priority = ranking_priority(self->jobs[self->at]);
    self->group_count = 0;
    for (self->priority_end = self->at;
         self->priority_end < self->count &&
         ranking_priority(self->jobs[self->priority_end]) == priority;
         self->priority_end++) {
        const Job *job = self->jobs[self->priority_end];
        Group *group = find_or_add_group(self, job->account);
        if (!ranking_is_very_late(job)) {
            add(&group->wanted, &self->demands[self->priority_end], 1);
        }
        self->group_of[self->priority_end] = group;
    }
    for (size_t i = 0; i < self->group_count; i++) {
        self->groups[i].workspace->group = NULL;
    }
    set_weights(self);
    set_entitlements(self);
}

/* ---- Turns -------------------------------------------------------------- */

static double
share_of(const FairOrder *self, const Group *group)
{
    return fair_order_dominant_share(&group->workspace->used, &self->total);
}

static bool
is_before(const Group *first, const Group *second)
{
    if (first->level != second->level) {
        return first->level < second->level;
    }
    return first->first_job < second->first_job;
}

static void
sift_down(FairOrder *self, size_t at)
{
    for (;;) {
        size_t least = at;
        for (size_t child = 2 * at + 1;
             child <= 2 * at + 2 && child < self->heap_size; child++) {
            if (is_before(self->heap[child], self->heap[least])) {
                least = child;
            }
        }
        if (least == at) {
            return;
        }
        Group *moved = self->heap[at];
        self->heap[at] = self->heap[least];
        self->heap[least] = moved;
        at = least;
    }
}

static void
defer(FairOrder *self, size_t job)
{
    Group *group = self->group_of[job];
    self->following[job] = no_job;
    if (group->first_job == no_job) {
        group->first_job = job;
        self->heap[self->heap_size++] = group;
    }
    else {
        self->following[group->last_job] = job;
    }
    group->last_job = job;
}

static void
build_heap(FairOrder *self)
{
    for (size_t i = 0; i < self->heap_size; i++) {
        Group *group = self->heap[i];
        group->level = share_of(self, group) / group->weight;
    }
    for (size_t i = self->heap_size / 2; i-- > 0;) {
        sift_down(self, i);
    }
    self->is_heap_built = true;
}

/* Returns the next deferred job; NULL: there is none. */
static Job *
next_deferred(FairOrder *self)
{
    if (!self->is_heap_built) {
        build_heap(self);
    }
    else if (self->must_update) {
        Group *last = self->heap[0];
        last->level = share_of(self, last) / last->weight;
        if (last->first_job == no_job) {
            self->heap[0] = self->heap[--self->heap_size];
        }
        sift_down(self, 0);
    }
    self->must_update = self->heap_size > 0;
    if (self->heap_size == 0) {
        self->is_heap_built = false;
        return NULL;
    }
    Group *group = self->heap[0];
    Job *job = self->jobs[group->first_job];
    group->first_job = self->following[group->first_job];
    return job;
}

/* Whether the job's ready tasks are within what its workspace is entitled
 * to. */
static bool
is_entitled(const FairOrder *self, size_t job)
{
    const Group *group = self->group_of[job];
    if (self->jobs[job]->has_started ||
        group->wanted_share <= group->entitled_share) {
        return true;
    }
    AqResources used = group->workspace->used;
    add(&used, &self->demands[job], 1);
    return fair_order_dominant_share(&used, &self->total) <=
           group->entitled_share + share_tolerance;
}

Job *
fair_order_next(FairOrder *self)
{
    if (!self->is_contended) {
        return self->at < self->count ? self->jobs[self->at++] : NULL;
    }
    for (;;) {
        if (self->is_heap_built || (self->at > 0 && self->heap_size > 0 &&
                                    (self->at == self->count ||
                                     self->jobs[self->at]->bucket !=
                                         self->jobs[self->at - 1]->bucket))) {
            Job *job = next_deferred(self);
            if (job != NULL) {
                return job;
            }
        }
        if (self->at == self->count) {
            return NULL;
        }
        if (self->at == self->priority_end) {
            enter_next_priority(self);
        }
        size_t job = self->at++;
        if (is_entitled(self, job)) {
            return self->jobs[job];
        }
        defer(self, job);
    }
}

bool
fair_order_is_contended(const FairOrder *self)
{
    return self->is_contended;
}

FairOrder *
fair_order_create(const AqScheduler *s, Job *const *jobs, size_t count)
{
    FairOrder *self = calloc(1, sizeof(*self));
    bool has_workspaces = false;
    self->jobs = jobs;
    self->count = count;
    for (size_t i = 0; i < count && !has_workspaces; i++) {
        has_workspaces = jobs[i]->workspace != NULL;
    }
    if (!has_workspaces || s->disables_shares) {
        return self;
    }
    self->demands = calloc(count, sizeof(*self->demands));
    self->is_contended = measure_contention(self, s);
    if (self->is_contended) {
        self->group_of = calloc(count, sizeof(Group *));
        self->following = calloc(count, sizeof(*self->following));
        self->groups = calloc(count, sizeof(*self->groups));
        self->heap = calloc(count, sizeof(Group *));
    }
    return self;
}

void
fair_order_destroy(FairOrder *self)
{
    free(self->demands);
    free(self->group_of);
    free(self->following);
    free(self->groups);
    free(self->heap);
    free(self);
}
