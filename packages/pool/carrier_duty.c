#include "carrier_duty.h"

#include <stdlib.h>
#include <string.h>

#include "aq_log.h"

enum {
    CHOICE_INTERVAL_MS = 1000
};

struct CarrierDuty {
    NodeContext *node;
    Member *member;
    AqCarrierClient *client;
    AqCarrierServer *server; /* NULL: this node is no carrier */
    AqTime choice_due;
    size_t chosen_count;
    size_t site_peak; /* the most VMs at once that the directory has listed */
};

static bool
is_member(void *context, const char *node, const char *incarnation)
{
    const CarrierDuty *duty = context;
    return duty->member != NULL &&
           member_is_registered(duty->member, node, incarnation);
}

CarrierDuty *
carrier_duty_create(NodeContext *node, AqWorkerClient *direct, AqError *error)
{
    static const AqCarrierServerOps ops = {is_member};
    const AqSettings *settings = node->settings;
    CarrierDuty *duty = calloc(1, sizeof(*duty));
    duty->node = node;
    duty->client = AqCarrierClient_Create(
        node->loop, direct, settings->node_id, node->incarnation);
    if (settings->carriers_listen[0] != '\0') {
        duty->server = AqCarrierServer_Create(
            node->loop, settings->carriers_listen, direct, &ops, duty, error);
        if (duty->server == NULL) {
            carrier_duty_destroy(duty);
            return NULL;
        }
    }
    return duty;
}

void
carrier_duty_destroy(CarrierDuty *duty)
{
    if (duty != NULL) {
        AqCarrierServer_Destroy(duty->server);
        AqCarrierClient_Destroy(duty->client);
        free(duty);
    }
}

AqWorkerClient *
carrier_duty_workers(CarrierDuty *duty)
{
    return AqCarrierClient_Workers(duty->client);
}

void
carrier_duty_set_member(CarrierDuty *duty, Member *member)
{
    duty->member = member;
}

size_t
carrier_duty_connected(const CarrierDuty *duty)
{
    return AqCarrierClient_Connected(duty->client);
}

/* ---- Choice ------------------------------------------------------------- */

typedef struct {
    bool (*owns_pool)(void *context, const char *pool);
    void *context;
    size_t own;  /* VMs in pools that this node owns */
    size_t site; /* VMs in all pools */
} VmCount;

static void
count_vm(void *context, const AqVmReport *report)
{
    VmCount *vms = context;
    vms->own += vms->owns_pool(vms->context, report->pool);
    vms->site++;
}

static size_t
count_needed(CarrierDuty *duty, const VmCount *vms)
{
    if (vms->site > duty->site_peak) {
        duty->site_peak = vms->site;
    }
    const AqSiteConfig *site = &duty->node->site;
    size_t pools = 0;
    size_t own_pools = 0;
    for (size_t i = 0; i < site->pool_count; i++) {
        if (!site->pools[i].is_spare) {
            pools++;
            own_pools += vms->owns_pool(vms->context, site->pools[i].name);
        }
    }
    return AqCarrier_VmsNeeded(vms->own, own_pools, pools, duty->site_peak);
}

static void
add_candidate(void *context, const MemberView *view)
{
    GArray *candidates = context;
    AqCarrierCandidate candidate = {.id = view->node,
                                    .zone = view->zone,
                                    .address = view->carrier_address,
                                    .capacity = view->capacity,
                                    .owns_pool = view->owns_pool,
                                    .is_busy = view->is_coordinator};
    g_array_append_val(candidates, candidate);
}

static void
choose(CarrierDuty *duty, size_t vms)
{
    const AqSettings *settings = duty->node->settings;
    size_t chosen[AQ_CARRIER_MAX];
    AqCarrierName names[AQ_CARRIER_MAX];
    AqCarrierNeed need = {.owner = settings->node_id,
                          .capacity = member_own_capacity(duty->member),
                          .vms = vms};
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(AqCarrierCandidate));
    member_each(duty->member, add_candidate, candidates);
    const AqCarrierCandidate *items =
        (const AqCarrierCandidate *)(const void *)candidates->data;
    size_t count = AqCarrier_Choose(&need, items, candidates->len, chosen);
    for (size_t i = 0; i < count; i++) {
        names[i].id = items[chosen[i]].id;
        names[i].address = items[chosen[i]].address;
    }
    if (count != duty->chosen_count) {
        AqLog_Event(AQ_LOG_INFO, "carriers_chosen",
                    "carriers=%zu before=%zu candidates=%u vms=%zu", count,
                    duty->chosen_count, candidates->len, vms);
        duty->chosen_count = count;
    }
    AqCarrierClient_SetCarriers(duty->client, names, count);
    g_array_free(candidates, TRUE);
}

void
carrier_duty_round(CarrierDuty *duty, const VmDirectory *vms,
                   bool (*owns_pool)(void *context, const char *pool),
                   void *context)
{
    VmCount counts = {.owns_pool = owns_pool, .context = context};
    AqTime now = AqLoop_Now(duty->node->loop);
    if (now < duty->choice_due) {
        return;
    }
    duty->choice_due = now + CHOICE_INTERVAL_MS;
    if (vms != NULL) {
        vm_directory_each(vms, count_vm, &counts);
    }
    size_t needed = count_needed(duty, &counts);
    if (needed > 0 || duty->chosen_count > 0) {
        choose(duty, needed);
    }
}
