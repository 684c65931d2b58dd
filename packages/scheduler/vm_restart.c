#include "aq_log.h"
#include "scheduler_internal.h"

/* VMs that start again under their id.
 *
 * The next incarnation of a VM has a later born_ms.  It holds and knows
 * nothing of the one before: its runs are gone, it has seen no fence, and its
 * clock and the numbers of its ends begin anew.  All that the scheduler knows
 * of the VM from orders and replies therefore belongs to one incarnation, and
 * what comes from an earlier one is not used.
 *
 * The new incarnation carries out orders that were meant for the earlier one.
 * Its runs count as gone only once a list of the new one shows that they are
 * not there, and a start order without a reply is closed by a stop. */

static void
reset_knowledge(AqScheduler *s, Vm *vm)
{
    vm->has_replied = false;
    vm->has_seen_fence = false;
    vm->clock_ms = -1;
    vm->clock_at = s->now;
    vm->deadline_ms = 0;
    vm->lapsed_at = AQ_TIME_NEVER;
    vm->blocked_until = 0;
    vm->quarantined_until = 0;
    vm->consecutive_failures = 0;
    vm->foreign_cpu = 0;
    vm->foreign_memory = 0;
    vm->foreign_since = 0;
    vm->last_end_number = 0;
    vm->confirmed_end_number = 0;
    vm->lists_ends = false;
    g_array_set_size(vm->pending_ends, 0);
    unknown_runs_clear(s, vm->report.id);
    vm->renewal_due = s->now;
}

/* Orders the stop of each run that a start order without a reply may still
 * begin on the new incarnation; stops that the earlier one has confirmed are
 * ordered again. */
static void
close_late_starts(AqScheduler *s, Vm *vm)
{
    AqList_ForEachSafe(at, after, &vm->tasks)
    {
        Task *task = AqList_Entry(at, Task, link);
        if (task->state == TASK_STOPPING) {
            task->is_stop_acked = false;
            task->resend_at = s->now;
        }
        else if (!task->is_start_ordered) {
            scheduler_requeue_task(s, task);
        }
        else if (task->state == TASK_STARTING || task->has_unanswered_start) {
            replies_order_stop(s, task);
        }
    }
    superseded_stop_again(s, vm);
}

static void
restart(AqScheduler *s, Vm *vm, int64_t born_ms)
{
    AqLog_Event(AQ_LOG_WARNING, "vm_restarted",
                "vm=%s born=%lld before=%lld tasks=%zu last_end=%lld "
                "heard_ms_ago=%lld",
                vm->report.id, (long long)born_ms, (long long)vm->born_ms,
                vm->task_count, (long long)vm->last_end_number,
                (long long)(s->now - vm->clock_at));
    open_runs_stop(s, vm);
    crashes_record_vm(s, vm);
    vm->born_ms = born_ms;
    vm->restarted_at = s->now;
    reset_knowledge(s, vm);
    close_late_starts(s, vm);
    vm->is_use_recorded = vm->is_use_recorded && !vm->has_ended;
    s->used_vms_version++;
    s->placement_due = true;
}

bool
vm_restart_note_born(AqScheduler *s, Vm *vm, int64_t born_ms)
{
    if (born_ms == 0 || born_ms == vm->born_ms) {
        return true;
    }
    if (born_ms < vm->born_ms) {
        return false;
    }
    if (vm->born_ms == 0) {
        vm->born_ms = born_ms;
        return true;
    }
    restart(s, vm, born_ms);
    return true;
}

AqOrderReply
vm_restart_filter_reply(AqScheduler *s, Vm *vm, const AqOrderReply *reply,
                        bool is_list)
{
    AqOrderReply current = *reply;
    bool is_dated = reply->born_ms > 0 || vm->born_ms == 0 || !is_list ||
                    reply->result != AQ_ORDER_DONE;
    if (!is_dated || !vm_restart_note_born(s, vm, reply->born_ms)) {
        AqLog_Event(AQ_LOG_WARNING, "reply_of_earlier_life",
                    "vm=%s born=%lld now=%lld result=%s", vm->report.id,
                    (long long)reply->born_ms, (long long)vm->born_ms,
                    AqOrderResult_Name(reply->result));
        current = (AqOrderReply){.result = AQ_ORDER_UNKNOWN, .clock_ms = -1};
    }
    return current;
}
