#include "sim_store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
SimStore_FreeCall(SimCall *call)
{
    free(call->value);
    free(call->items);
    free(call->keys);
    AqBuffer_Clear(&call->found);
    free(call);
}

/* Checks that a created batch can be decoded.  Sets in *slot the latest time
 * in the header, claims and releases of the batch, as sim time, and whether a
 * batch with a higher sequence number (SEQ) was created before.  Counts the
 * create, and sets the SEQ of the batch, in the SimRequest of each claim in
 * the batch. */
static void
record_batch(Sim *sim, const SimCall *call, SimBatch *slot)
{
    AqBatch batch;
    if (!AqBatch_Decode(call->value, call->size, &batch, NULL)) {
        Sim_Fail(sim, "a batch cannot be decoded", call->first);
        return;
    }
    slot->newest = batch.newest_wall_ms - SIM_WALL_START;
    slot->out_of_order = call->first < sim->newest[call->partition];
    for (size_t i = 0; i < batch.count; i++) {
        uint64_t nonce = batch.entries[i].nonce;
        if (batch.entries[i].op == AQ_BATCH_CLAIM && nonce > 0 &&
            nonce <= sim->request_count) {
            SimRequest *request = &sim->requests[nonce - 1];
            request->written++;
            request->seq = call->first;
            request->out_of_order = slot->out_of_order;
        }
    }
    AqBatch_Clear(&batch);
}

static void
create_batch(Sim *sim, SimCall *call)
{
    SimBatch *slot = &sim->batches[call->partition][call->first];
    if (call->first >= SIM_MAX_SEQ) {
        abort();
    }
    if (slot->bytes != NULL) {
        call->result = AQ_CLAIMS_STORE_EXISTS;
        return;
    }
    record_batch(sim, call, slot);
    slot->bytes = malloc(call->size);
    memcpy(slot->bytes, call->value, call->size);
    slot->size = call->size;
    if (call->first > sim->newest[call->partition]) {
        sim->newest[call->partition] = call->first;
    }
    call->result = AQ_CLAIMS_STORE_OK;
}

/* Removes the batches from call->first to call->last from the simulated
 * store.  Checks that the retention less sim->max_skew has passed since the
 * latest time in each batch, that older batches were removed before, and that
 * the newest batch is not removed.  A batch that was created below a later
 * sequence number (SEQ) is exempt from the checks of age and order: its claims
 * are never granted, which check_granted verifies, so any daemon may remove
 * this batch with its group. */
static void
remove_batches(Sim *sim, SimCall *call)
{
    SimBatch *slots = sim->batches[call->partition];
    for (uint64_t seq = 1; seq < call->first; seq++) {
        if (slots[seq].bytes != NULL && !slots[seq].out_of_order) {
            Sim_Fail(sim,
                     "batch is still stored at the removal of a later SEQ",
                     seq);
        }
    }
    for (uint64_t seq = call->first;
         seq <= call->last && seq <= sim->newest[call->partition]; seq++) {
        if (slots[seq].bytes == NULL) {
            continue;
        }
        bool young = slots[seq].newest + sim->config.retention_ms >
                     sim->now + sim->max_skew;
        if (seq == sim->newest[call->partition] ||
            (young && !slots[seq].out_of_order)) {
            Sim_Fail(sim, "batch was removed too early, SEQ", seq);
        }
        free(slots[seq].bytes);
        slots[seq] = (SimBatch){0};
        sim->removed++;
    }
    call->result = AQ_CLAIMS_STORE_OK;
}

static void
read_batches(Sim *sim, SimCall *call)
{
    const SimBatch *slots = sim->batches[call->partition];
    uint64_t last = sim->newest[call->partition];
    last = call->last < last ? call->last : last;
    size_t capacity = last >= call->first ? last - call->first + 1 : 1;
    call->items = calloc(capacity, sizeof(*call->items));
    call->keys = calloc(capacity, sizeof(*call->keys));
    for (uint64_t seq = call->first; seq <= last; seq++) {
        if (slots[seq].bytes != NULL) {
            snprintf(call->keys[call->count], sizeof(call->keys[0]),
                     "aq/claims/%d/%016" PRIx64, call->partition, seq);
            call->items[call->count++].size = slots[seq].size;
            AqBuffer_Append(&call->found, slots[seq].bytes, slots[seq].size);
        }
    }
    const char *at = call->found.bytes;
    for (size_t i = 0; i < call->count; i++) {
        call->items[i].key = call->keys[i];
        call->items[i].value = at;
        at += call->items[i].size;
    }
    call->result =
        call->count > 0 ? AQ_CLAIMS_STORE_OK : AQ_CLAIMS_STORE_ABSENT;
}

void
SimStore_Execute(Sim *sim, SimCall *call)
{
    if (call->plan.is_unavailable) {
        call->result = AQ_CLAIMS_STORE_UNAVAILABLE;
    }
    else if (call->plan.no_effect) {
        call->result = AQ_CLAIMS_STORE_UNKNOWN;
    }
    else if (call->call == AQ_CLAIMS_CREATE) {
        create_batch(sim, call);
    }
    else if (call->call == AQ_CLAIMS_REMOVE) {
        remove_batches(sim, call);
    }
    else {
        read_batches(sim, call);
    }
}
