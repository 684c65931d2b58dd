#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "record_codec.h"
#include "scheduler_internal.h"

/* The stored list of used VMs: those to which an owner of the pool may have
 * sent orders.  The next pool owner reads the list.  In a hand-over the list
 * also has the runs on each VM. */

enum {
    /* number of array elements that describe one run of a task in the stored
     * list of used VMs */
    TASK_FIELDS = 5,
    /* number of array elements that describe one VM in the stored list of used
     * VMs */
    VM_FIELDS = 4
};

uint64_t
AqScheduler_UsedVmsVersion(const AqScheduler *s)
{
    return s->used_vms_version;
}

/* Whether the list of used VMs hands the pool over: the next owner then relies
 * on the runs in the list and on the stored records.  With an end that is not
 * stored, or a run of a task that is not known, it would find neither the run
 * nor its end, and start the task again. */
static bool
is_hand_over(const AqScheduler *s)
{
    return s->is_closed && s->is_recovered && !AqScheduler_HasUnsaved(s) &&
           s->unknown_runs->len == 0;
}

/* Whether the VM belongs in the list of used VMs, to which a pool owner may
 * have sent orders, so that a later pool owner waits for the VM's reply.  In a
 * hand-over only VMs that have runs, or that come from an earlier pool owner's
 * list, belong in the list. */
static bool
is_in_used_vms(const AqScheduler *s, const Vm *vm)
{
    return !vm->has_ended &&
           (!is_hand_over(s) || vm->task_count > 0 || vm->foreign_cpu > 0 ||
            vm->used_by_earlier_owner);
}

void
AqScheduler_Close(AqScheduler *s)
{
    s->is_closed = true;
    s->used_vms_version++;
}

static void
pack_tasks(msgpack_packer *pk, const Vm *vm)
{
    msgpack_pack_array(pk, vm->task_count);
    AqList_ForEach(at, &vm->tasks)
    {
        const Task *task = AqList_Entry(at, Task, link);
        AqTaskName name;
        scheduler_name_task(task, &name);
        msgpack_pack_array(pk, TASK_FIELDS);
        record_pack_text(pk, name.job);
        msgpack_pack_uint32(pk, name.occurrence);
        msgpack_pack_uint32(pk, name.step);
        msgpack_pack_uint32(pk, name.index);
        msgpack_pack_int64(pk, task->run);
    }
}

/* The stored form of the list of used VMs, to which a pool owner may have sent
 * orders: [is_handed_over, [[VM id, address, [[job, occurrence, step, task
 * index, run number] ...], machine] ...]].  A VM's list of runs is empty
 * except in a hand-over. */
void
AqScheduler_EncodeUsedVms(const AqScheduler *s, AqBuffer *out)
{
    msgpack_packer packer;
    size_t count = 0;
    msgpack_packer_init(&packer, out, record_write);
    AqList_ForEach(at, &s->vms)
    {
        count += is_in_used_vms(s, AqList_Entry(at, Vm, link));
    }
    msgpack_pack_array(&packer, 2);
    msgpack_pack_int(&packer, is_hand_over(s));
    msgpack_pack_array(&packer, count);
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (!is_in_used_vms(s, vm)) {
            continue;
        }
        msgpack_pack_array(&packer, VM_FIELDS);
        record_pack_text(&packer, vm->report.id);
        record_pack_text(&packer, vm->report.address);
        if (s->is_closed) {
            pack_tasks(&packer, vm);
        }
        else {
            msgpack_pack_array(&packer, 0);
        }
        record_pack_text(&packer, vm->report.machine);
    }
}

void
AqScheduler_UsedVmsSaved(AqScheduler *s, uint64_t version)
{
    AqList_ForEach(at, &s->vms)
    {
        Vm *vm = AqList_Entry(at, Vm, link);
        if (!vm->is_use_recorded && vm->used_since_version <= version) {
            vm->is_use_recorded = true;
            s->placement_due = true;
        }
    }
}

static bool
add_inherited_run(AqScheduler *s, const Vm *vm, const msgpack_object *row)
{
    NamedRun inherited = {0};
    char *job = NULL;
    int64_t numbers[TASK_FIELDS];
    bool ok = row->type == MSGPACK_OBJECT_ARRAY &&
              row->via.array.size >= TASK_FIELDS &&
              record_text(&row->via.array.ptr[0], &job) && job != NULL;
    for (int i = 1; ok && i < TASK_FIELDS; i++) {
        ok = record_int(&row->via.array.ptr[i], 0, INT64_MAX, &numbers[i]);
    }
    if (ok) {
        g_strlcpy(inherited.vm, vm->report.id, sizeof(inherited.vm));
        g_strlcpy(inherited.task.job, job, sizeof(inherited.task.job));
        inherited.task.occurrence = (uint32_t)numbers[1];
        inherited.task.step = (uint32_t)numbers[2];
        inherited.task.index = (uint32_t)numbers[3];
        inherited.run = numbers[4];
        g_array_append_val(s->inherited_runs, inherited);
    }
    free(job);
    return ok;
}

static Vm *
add_used_vm(AqScheduler *s, const char *id, const char *address,
            const char *machine)
{
    AqVmReport report = {.leaves_ms = -1};
    g_strlcpy(report.id, id, sizeof(report.id));
    g_strlcpy(report.address, address, sizeof(report.address));
    g_strlcpy(report.machine, machine, sizeof(report.machine));
    Vm *vm = vms_find(s, id);
    if (vm == NULL) {
        vm = vms_add(s, &report);
        vm->unlisted_at = s->now;
    }
    vm->used_by_earlier_owner = true;
    return vm;
}

static bool
add_used_vm_entry(AqScheduler *s, const msgpack_object *row)
{
    char *id = NULL;
    char *address = NULL;
    char *machine = NULL;
    bool ok = row->type == MSGPACK_OBJECT_ARRAY &&
              row->via.array.size >= VM_FIELDS &&
              record_text(&row->via.array.ptr[0], &id) && id != NULL &&
              record_text(&row->via.array.ptr[1], &address) &&
              address != NULL && strlen(id) < AQ_VM_ID_SIZE &&
              row->via.array.ptr[2].type == MSGPACK_OBJECT_ARRAY &&
              record_text(&row->via.array.ptr[3], &machine) && machine != NULL;
    if (ok) {
        const Vm *vm = add_used_vm(s, id, address, machine);
        const msgpack_object_array *tasks = &row->via.array.ptr[2].via.array;
        for (uint32_t i = 0; ok && i < tasks->size; i++) {
            ok = add_inherited_run(s, vm, &tasks->ptr[i]);
        }
    }
    free(id);
    free(address);
    free(machine);
    return ok;
}

bool
AqScheduler_AddUsedVms(AqScheduler *s, const char *bytes, size_t size,
                       AqTime now)
{
    msgpack_unpacked unpacked;
    int64_t is_handed_over = 0;
    s->now = now;
    const msgpack_object *root = &unpacked.data;
    bool ok = record_unpack(&unpacked, bytes, size) &&
              root->type == MSGPACK_OBJECT_ARRAY &&
              root->via.array.size >= 2 &&
              record_int(&root->via.array.ptr[0], 0, 1, &is_handed_over) &&
              root->via.array.ptr[1].type == MSGPACK_OBJECT_ARRAY;
    if (ok) {
        const msgpack_object_array *rows = &root->via.array.ptr[1].via.array;
        for (uint32_t i = 0; ok && i < rows->size; i++) {
            ok = add_used_vm_entry(s, &rows->ptr[i]);
        }
        s->is_handed_over = ok && is_handed_over != 0;
    }
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}

/* After a hand-over, takes each run that the previous pool owner stored with
 * the list of used VMs as the current run of the run's task.  No other run of
 * that pool owner can be alive, so all other tasks may start immediately. */
static void
adopt_inherited_runs(AqScheduler *s)
{
    for (guint i = 0; i < s->inherited_runs->len && s->is_handed_over; i++) {
        const NamedRun *inherited =
            &g_array_index(s->inherited_runs, NamedRun, i);
        Task *task = scheduler_find_task(s, &inherited->task);
        Vm *vm = vms_find(s, inherited->vm);
        if (task != NULL && vm != NULL && task->state == TASK_READY) {
            task->step->ready--;
            vms_attach(s, vm, task);
            task->run = inherited->run;
            task->is_start_ordered = true;
            crashes_note_adopted(task);
            task->state = TASK_RUNNING;
            task->progress_at = s->now;
            if (scheduler_is_finished(task->step->occurrence->job)) {
                /* The job was cancelled during the hand-over. */
                replies_order_stop(s, task);
            }
        }
    }
    s->is_recovered = s->is_recovered || s->is_handed_over;
    g_array_set_size(s->inherited_runs, 0);
}

void
AqScheduler_SetLoaded(AqScheduler *s)
{
    s->is_loaded = true;
    adopt_inherited_runs(s);
}
