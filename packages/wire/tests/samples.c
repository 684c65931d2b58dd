#include "samples.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
name(char out[AQ_WIRE_MAX_NAME], const char *stem, size_t i)
{
    snprintf(out, AQ_WIRE_MAX_NAME, "%s-%zu", stem, i);
}

static AqWireCount *
make_counts(const char *stem, size_t n)
{
    AqWireCount *items = calloc(n + 1, sizeof(*items));
    for (size_t i = 0; items != NULL && i < n; i++) {
        name(items[i].name, stem, i);
        items[i].value = (int64_t)(i * 300);
    }
    return items;
}

static void
fill_heartbeat(AqMsgHeartbeat *beat, size_t n)
{
    beat->seq = 1000 + n;
    beat->instance = UINT64_MAX - n;
    beat->epoch = 7;
    beat->version = INT64_MAX;
    beat->store_age_ms = AQ_WIRE_MAX_AGE_MS;
    beat->stopping = n % 2 == 1;
    beat->joining = n % 2 == 0;
    beat->slots_known = true;
    beat->peer_ages = make_counts("vm", n);
    beat->peer_age_count = n;
    beat->acked_seq = calloc(n + 1, sizeof(*beat->acked_seq));
    beat->leaving = make_counts("worker", n);
    beat->leaving_count = n;
    beat->over = make_counts("endpoint", n);
    beat->over_count = n;
    beat->slot_leases = calloc(n + 1, sizeof(*beat->slot_leases));
    beat->slot_lease_count = n;
    beat->services = calloc(n + 1, sizeof(*beat->services));
    beat->service_count = n;
    for (size_t i = 0; i < n; i++) {
        beat->acked_seq[i] = i * 1000000007;
        name(beat->slot_leases[i].lessor, "vm", i);
        name(beat->slot_leases[i].endpoint, "endpoint", i);
        beat->slot_leases[i].count = (int64_t)i;
        name(beat->services[i].name, "service", i);
        beat->services[i].queued = (int64_t)i * 70000;
        beat->services[i].idle = 3;
    }
}

static void
fill_claim(AqMsgClaim *claim)
{
    claim->request = 1ULL << 40;
    for (size_t i = 0; i < sizeof(claim->hash); i++) {
        claim->hash[i] = (uint8_t)(250 + i);
    }
    claim->nonce = UINT64_MAX;
    name(claim->holder, "vm", 3);
}

static void
fill_fleet(AqMsgFleet *fleet, size_t size, int64_t offset)
{
    fleet->version = 12;
    fleet->total = offset + (int64_t)size;
    fleet->offset = offset;
    fleet->bytes = calloc(size + 1, 1);
    fleet->size = size;
    if (fleet->bytes != NULL) {
        memset(fleet->bytes, '{', size);
    }
}

static const char *
fill_hello(AqMsg *msg)
{
    msg->type = AQ_MSG_HELLO;
    memset(msg->as.hello.id, 'x', AQ_WIRE_MAX_NAME - 1);
    name(msg->as.hello.secret, "secret", 1);
    name(msg->as.hello.address, "address", 1);
    msg->as.hello.instance = 99;
    msg->as.hello.epoch = 4;
    return "hello";
}

static const char *
fill_slots(AqMsg *msg, AqMsgType type, const char *label)
{
    msg->type = type;
    name(msg->as.slots.name, "track", 1);
    msg->as.slots.count = 3;
    msg->as.slots.term_ms = 2000;
    return label;
}

const char *
sample_fill(int i, AqMsg *msg)
{
    static const size_t sizes[] = {0, 1, 30};
    static const char *const labels[] = {"heartbeat-empty", "heartbeat-small",
                                         "heartbeat-large"};
    memset(msg, 0, sizeof(*msg));
    switch (i) {
    case 0:
        return fill_hello(msg);
    case 1:
    case 2:
    case 3:
        msg->type = AQ_MSG_HEARTBEAT;
        fill_heartbeat(&msg->as.heartbeat, sizes[i - 1]);
        return labels[i - 1];
    case 4:
        msg->type = AQ_MSG_CLAIM;
        fill_claim(&msg->as.claim);
        return "claim";
    case 5:
        msg->type = AQ_MSG_CLAIM_RESULT;
        msg->as.claim_result.request = 5;
        msg->as.claim_result.verdict = AQ_CLAIM_UNAVAILABLE;
        return "claim-result";
    case 6:
        msg->type = AQ_MSG_RELEASE;
        fill_claim(&msg->as.claim);
        return "release";
    case 7:
        return fill_slots(msg, AQ_MSG_BORROW, "borrow");
    case 8:
        return fill_slots(msg, AQ_MSG_LEND, "lend");
    case 9:
        return fill_slots(msg, AQ_MSG_RETURN, "return");
    case 10:
        msg->type = AQ_MSG_GET_FLEET;
        return "get-fleet";
    case 11:
        msg->type = AQ_MSG_FLEET;
        fill_fleet(&msg->as.fleet, 0, 0);
        return "fleet-empty";
    case 12:
        msg->type = AQ_MSG_FLEET;
        fill_fleet(&msg->as.fleet, 600, AQ_WIRE_FLEET_CHUNK);
        return "fleet";
    default:
        msg->type = AQ_MSG_BURN;
        name(msg->as.burn.holder, "vm", 1);
        msg->as.burn.text = strdup("{\"track\":[1,2,3]}");
        return "burn";
    }
}
