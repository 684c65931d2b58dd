#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "pool_machines_private.h"

void
machines_add_request(PoolMachines *self, Plan *plan)
{
    plan->phase = VM_REQUESTED;
    plan->started_at = machines_now(self);
    plan->request_number = ++self->last_request_number;
    plan->is_ordered = false;
    self->are_requests_changed = true;
}

/* Applies a response of the machine coordinator to the plan whose request the
 * response ends; a response to a withdrawn request is ignored. */
static void
apply_response(PoolMachines *self, const AqMachineRequest *response)
{
    Plan *plan = machines_find_plan(self, response->machine);
    AqScheduler *s = pool_owner_scheduler(self->owner);
    if (plan == NULL || plan->request_number != response->number ||
        plan->is_ordered) {
        return;
    }
    if (response->is_refused) {
        AqLog_Event(AQ_LOG_WARNING, "ask_refused",
                    "machine=%s pool=%s wave=%lld", response->machine,
                    self->pool, (long long)response->wave);
        machines_remove_plan(self, plan);
        return;
    }
    plan->is_ordered = true;
    plan->ordered_at = machines_now(self);
    if (s != NULL && plan->vm[0] != '\0') {
        AqScheduler_VmEnded(s, plan->vm, AQ_VM_ENDED_BY_ORDER,
                            machines_now(self));
    }
}

static void
on_responses_put(void *context, const AqStoreItem *item)
{
    PoolMachines *self = context;
    AqMachineRequestList list;
    if (strcmp(item->key, key_of(KEY_MACHINE_RESPONSES, self->pool)) != 0) {
        /* The responses are for a pool whose name only begins with this pool's
         * name. */
        return;
    }
    if (!AqMachineRequestList_Decode(item->value, item->size, &list)) {
        AqLog_Event(AQ_LOG_ERROR, "answers_unreadable", "pool=%s index=%llu",
                    self->pool, (unsigned long long)item->index);
        return;
    }
    for (size_t i = 0; i < list.count && list.fence == self->fence; i++) {
        apply_response(self, &list.requests[i]);
    }
    AqMachineRequestList_Clear(&list);
}

static void
on_requests_written(void *context, AqStoreStatus status)
{
    PoolMachines *self = context;
    if (!machines_end_call(self)) {
        return;
    }
    self->is_writing_requests = false;
    if (status != AQ_STORE_OK) {
        self->are_requests_changed = true;
        self->requests_due = machines_now(self) + MACHINES_RETRY_MS;
    }
}

static void
fill_requests(const PoolMachines *self, AqMachineRequestList *list)
{
    GHashTableIter iter;
    gpointer value;
    const char *spare = machines_spare_pool(self);
    list->fence = self->fence;
    list->requested_vms = self->requested_vms;
    list->count = 0;
    g_hash_table_iter_init(&iter, self->plans);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Plan *plan = value;
        if (plan->request_number == 0 ||
            list->count == AQ_MACHINE_REQUESTS_MAX) {
            continue;
        }
        AqMachineRequest *entry = &list->requests[list->count++];
        memset(entry, 0, sizeof(*entry));
        entry->number = plan->request_number;
        entry->wave = plan->wave;
        g_strlcpy(entry->machine, plan->machine, sizeof(entry->machine));
        if (plan->kind == PLAN_ACQUIRE) {
            g_strlcpy(entry->to_pool, self->pool, sizeof(entry->to_pool));
        }
        else if (plan->kind == PLAN_RELEASE && spare != NULL) {
            g_strlcpy(entry->to_pool, spare, sizeof(entry->to_pool));
        }
    }
}

void
machines_write_requests(PoolMachines *self)
{
    AqBuffer bytes;
    if (!self->are_requests_changed || self->is_writing_requests ||
        self->requests_due > machines_now(self)) {
        return;
    }
    AqMachineRequestList list = {
        .requests = calloc(AQ_MACHINE_REQUESTS_MAX, sizeof(AqMachineRequest))};
    fill_requests(self, &list);
    AqBuffer_Init(&bytes);
    AqMachineRequestList_Encode(&list, &bytes);
    AqStorePut put = {key_of(KEY_MACHINE_REQUESTS, self->pool),
                      AqBuffer_Text(&bytes), bytes.size, 0};
    self->are_requests_changed = false;
    self->is_writing_requests = true;
    self->calls++;
    owner_writer_commit(pool_owner_writer(self->owner), NULL, 0, &put, 1,
                        on_requests_written, self);
    AqBuffer_Clear(&bytes);
    AqMachineRequestList_Clear(&list);
}

void
machines_watch_responses(PoolMachines *self)
{
    static const PrefixViewOps ops = {on_responses_put, NULL, NULL, 0, true};
    self->responses = prefix_view_create(
        self->node->loop, self->node->store,
        key_of(KEY_MACHINE_RESPONSES, self->pool), &ops, self);
}
