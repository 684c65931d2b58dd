#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "pool_machines_private.h"

void
machines_ask(PoolMachines *self, Plan *plan)
{
    plan->phase = VM_ASKED;
    plan->since = machines_now(self);
    plan->ask = ++self->last_ask;
    plan->is_ordered = false;
    self->are_asks_changed = true;
}

/* The machine duty has ended some of our asks. */
static void
take_answer(PoolMachines *self, const AqAsk *answer)
{
    Plan *plan = machines_find_plan(self, answer->machine);
    AqScheduler *s = pool_owner_scheduler(self->owner);
    if (plan == NULL || plan->ask != answer->number || plan->is_ordered) {
        return;
    }
    if (answer->is_refused) {
        AqLog_Event(AQ_LOG_WARNING, "ask_refused",
                    "machine=%s pool=%s wave=%lld", answer->machine,
                    self->pool, (long long)answer->wave);
        machines_remove_plan(self, plan);
        return;
    }
    plan->is_ordered = true;
    plan->ordered_at = machines_now(self);
    if (s != NULL && plan->vm[0] != '\0') {
        AqScheduler_VmEnded(s, plan->vm, machines_now(self));
    }
}

static void
on_answer(void *context, const AqStoreItem *item)
{
    PoolMachines *self = context;
    AqAskList list;
    if (strcmp(item->key, key_of(KEY_ANSWER, self->pool)) != 0) {
        return; /* of a pool whose name begins with ours */
    }
    if (!AqAskList_Decode(item->value, item->size, &list)) {
        AqLog_Event(AQ_LOG_ERROR, "answers_unreadable", "pool=%s index=%llu",
                    self->pool, (unsigned long long)item->index);
        return;
    }
    for (size_t i = 0; i < list.count && list.fence == self->fence; i++) {
        take_answer(self, &list.asks[i]);
    }
    AqAskList_Clear(&list);
}

static void
on_asks_written(void *context, AqStoreStatus status)
{
    PoolMachines *self = context;
    if (!machines_end_call(self)) {
        return;
    }
    self->is_writing_asks = false;
    if (status != AQ_STORE_OK) {
        self->are_asks_changed = true;
        self->asks_due = machines_now(self) + MACHINES_RETRY_MS;
    }
}

static void
fill_asks(const PoolMachines *self, AqAskList *list)
{
    GHashTableIter iter;
    gpointer value;
    const char *spare = machines_spare_pool(self);
    list->fence = self->fence;
    list->wanted = self->wanted;
    list->count = 0;
    g_hash_table_iter_init(&iter, self->plans);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Plan *plan = value;
        if (plan->ask == 0 || list->count == AQ_ASKS_MAX) {
            continue;
        }
        AqAsk *entry = &list->asks[list->count++];
        memset(entry, 0, sizeof(*entry));
        entry->number = plan->ask;
        entry->wave = plan->wave;
        g_strlcpy(entry->machine, plan->machine, sizeof(entry->machine));
        if (plan->kind == PLAN_TAKE) {
            g_strlcpy(entry->to_pool, self->pool, sizeof(entry->to_pool));
        }
        else if (plan->kind == PLAN_GIVE && spare != NULL) {
            g_strlcpy(entry->to_pool, spare, sizeof(entry->to_pool));
        }
    }
}

void
machines_write_asks(PoolMachines *self)
{
    AqBuffer bytes;
    if (!self->are_asks_changed || self->is_writing_asks ||
        self->asks_due > machines_now(self)) {
        return;
    }
    AqAskList list = {.asks = calloc(AQ_ASKS_MAX, sizeof(AqAsk))};
    fill_asks(self, &list);
    AqBuffer_Init(&bytes);
    AqAskList_Encode(&list, &bytes);
    AqStorePut put = {key_of(KEY_ASK, self->pool), AqBuffer_Text(&bytes),
                      bytes.size, 0};
    self->are_asks_changed = false;
    self->is_writing_asks = true;
    self->calls++;
    owner_writer_commit(pool_owner_writer(self->owner), NULL, 0, &put, 1,
                        on_asks_written, self);
    AqBuffer_Clear(&bytes);
    AqAskList_Clear(&list);
}

void
machines_watch_answers(PoolMachines *self)
{
    static const PrefixViewOps ops = {on_answer, NULL, NULL, 0, true};
    self->answers =
        prefix_view_create(self->node->loop, self->node->store,
                           key_of(KEY_ANSWER, self->pool), &ops, self);
}
