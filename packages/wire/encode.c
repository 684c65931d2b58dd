#include <msgpack.h>
#include <string.h>

#include "wire_internal.h"

static void
pack_name(msgpack_packer *pk, const char *name)
{
    size_t n = strnlen(name, AQ_WIRE_MAX_NAME - 1);
    msgpack_pack_str(pk, n);
    msgpack_pack_str_body(pk, name, n);
}

static void
pack_bool(msgpack_packer *pk, bool value)
{
    if (value) {
        msgpack_pack_true(pk);
    }
    else {
        msgpack_pack_false(pk);
    }
}

/* Packs "value", clamped to the range 0 .. high. */
static void
pack_int(msgpack_packer *pk, int64_t value, int64_t high)
{
    if (value < 0) {
        value = 0;
    }
    msgpack_pack_int64(pk, value < high ? value : high);
}

static size_t
pack_list_header(msgpack_packer *pk, size_t count)
{
    if (count > AQ_WIRE_MAX_ITEMS) {
        count = AQ_WIRE_MAX_ITEMS;
    }
    msgpack_pack_array(pk, count);
    return count;
}

static void
pack_counts(msgpack_packer *pk, const AqWireCount *items, size_t count)
{
    count = pack_list_header(pk, count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(pk, 2);
        pack_name(pk, items[i].name);
        pack_int(pk, items[i].value, INT64_MAX);
    }
}

static void
pack_peer_ages(msgpack_packer *pk, const AqMsgHeartbeat *beat)
{
    size_t count = pack_list_header(pk, beat->peer_age_count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(pk, 3);
        pack_name(pk, beat->peer_ages[i].name);
        pack_int(pk, beat->peer_ages[i].value, AQ_WIRE_MAX_AGE_MS);
        msgpack_pack_uint64(pk, beat->acked_seq ? beat->acked_seq[i] : 0);
    }
}

static void
pack_slot_leases(msgpack_packer *pk, const AqWireSlotLease *slot_leases,
                 size_t count)
{
    count = pack_list_header(pk, count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(pk, 3);
        pack_name(pk, slot_leases[i].lessor);
        pack_name(pk, slot_leases[i].endpoint);
        pack_int(pk, slot_leases[i].count, WIRE_MAX_SLOTS);
    }
}

static void
pack_services(msgpack_packer *pk, const AqWireService *items, size_t count)
{
    count = pack_list_header(pk, count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(pk, 3);
        pack_name(pk, items[i].name);
        pack_int(pk, items[i].queued, INT64_MAX);
        pack_int(pk, items[i].idle, INT64_MAX);
    }
}

static void
pack_heartbeat(msgpack_packer *pk, const AqMsgHeartbeat *beat)
{
    msgpack_pack_array(pk, 14);
    msgpack_pack_int(pk, AQ_MSG_HEARTBEAT);
    msgpack_pack_uint64(pk, beat->seq);
    msgpack_pack_uint64(pk, beat->instance);
    pack_int(pk, beat->epoch, INT64_MAX);
    pack_int(pk, beat->version, INT64_MAX);
    pack_int(pk, beat->store_age_ms, AQ_WIRE_MAX_AGE_MS);
    pack_bool(pk, beat->stopping);
    pack_bool(pk, beat->joining);
    pack_bool(pk, beat->slots_known);
    pack_peer_ages(pk, beat);
    pack_counts(pk, beat->leaving, beat->leaving_count);
    pack_counts(pk, beat->over, beat->over_count);
    pack_slot_leases(pk, beat->slot_leases, beat->slot_lease_count);
    pack_services(pk, beat->services, beat->service_count);
}

static void
pack_hello(msgpack_packer *pk, const AqMsgHello *hello)
{
    msgpack_pack_array(pk, 6);
    msgpack_pack_int(pk, AQ_MSG_HELLO);
    pack_name(pk, hello->id);
    pack_name(pk, hello->secret);
    pack_name(pk, hello->address);
    msgpack_pack_uint64(pk, hello->instance);
    pack_int(pk, hello->epoch, INT64_MAX);
}

static void
pack_claim(msgpack_packer *pk, AqMsgType type, const AqMsgClaim *claim)
{
    msgpack_pack_array(pk, 5);
    msgpack_pack_int(pk, type);
    msgpack_pack_uint64(pk, claim->request);
    msgpack_pack_bin(pk, WIRE_HASH_SIZE);
    msgpack_pack_bin_body(pk, claim->hash, WIRE_HASH_SIZE);
    msgpack_pack_uint64(pk, claim->nonce);
    pack_name(pk, claim->holder);
}

static void
pack_slots(msgpack_packer *pk, AqMsgType type, const AqMsgSlots *slots)
{
    msgpack_pack_array(pk, 4);
    msgpack_pack_int(pk, type);
    pack_name(pk, slots->name);
    pack_int(pk, slots->count, WIRE_MAX_SLOTS);
    pack_int(pk, slots->term_ms, AQ_WIRE_MAX_AGE_MS);
}

static void
pack_fleet(msgpack_packer *pk, const AqMsgFleet *fleet)
{
    msgpack_pack_array(pk, 5);
    msgpack_pack_int(pk, AQ_MSG_FLEET);
    pack_int(pk, fleet->version, INT64_MAX);
    pack_int(pk, fleet->total, WIRE_MAX_DOCUMENT_BYTES);
    pack_int(pk, fleet->offset, WIRE_MAX_DOCUMENT_BYTES);
    msgpack_pack_bin(pk, fleet->size);
    msgpack_pack_bin_body(pk, fleet->bytes, fleet->size);
}

static void
pack_burn(msgpack_packer *pk, const AqMsgBurn *burn)
{
    size_t n = burn->text != NULL ? strlen(burn->text) : 0;
    msgpack_pack_array(pk, 3);
    msgpack_pack_int(pk, AQ_MSG_BURN);
    pack_name(pk, burn->holder);
    msgpack_pack_str(pk, n);
    msgpack_pack_str_body(pk, burn->text, n);
}

/* Packs the message.  Returns false if decoding would reject the message,
 * because a required name is empty or a fleet chunk is too large. */
static bool
pack_message(msgpack_packer *pk, const AqMsg *msg)
{
    switch (msg->type) {
    case AQ_MSG_HELLO:
        pack_hello(pk, &msg->as.hello);
        return msg->as.hello.id[0] != '\0';
    case AQ_MSG_HEARTBEAT:
        pack_heartbeat(pk, &msg->as.heartbeat);
        return true;
    case AQ_MSG_CLAIM:
    case AQ_MSG_RELEASE:
        pack_claim(pk, msg->type, &msg->as.claim);
        return msg->as.claim.holder[0] != '\0';
    case AQ_MSG_CLAIM_RESULT:
        msgpack_pack_array(pk, 3);
        msgpack_pack_int(pk, AQ_MSG_CLAIM_RESULT);
        msgpack_pack_uint64(pk, msg->as.claim_result.request);
        msgpack_pack_int(pk, msg->as.claim_result.verdict);
        return true;
    case AQ_MSG_BORROW:
    case AQ_MSG_LEND:
    case AQ_MSG_RETURN:
        pack_slots(pk, msg->type, &msg->as.slots);
        return msg->as.slots.name[0] != '\0';
    case AQ_MSG_GET_FLEET:
        msgpack_pack_array(pk, 1);
        msgpack_pack_int(pk, AQ_MSG_GET_FLEET);
        return true;
    case AQ_MSG_FLEET:
        pack_fleet(pk, &msg->as.fleet);
        return msg->as.fleet.size <= AQ_WIRE_FLEET_CHUNK;
    case AQ_MSG_BURN:
        pack_burn(pk, &msg->as.burn);
        return msg->as.burn.holder[0] != '\0';
    }
    return false;
}

static void
append_frame(const msgpack_sbuffer *body, AqBuffer *out)
{
    size_t length = body->size + 1;
    unsigned char head[WIRE_HEADER_SIZE] = {
        (unsigned char)(length >> 24), (unsigned char)(length >> 16),
        (unsigned char)(length >> 8), (unsigned char)length, AQ_WIRE_VERSION};
    AqBuffer_Append(out, head, sizeof(head));
    AqBuffer_Append(out, body->data, body->size);
}

void
AqWire_Encode(const AqMsg *msg, AqBuffer *out)
{
    msgpack_sbuffer body;
    msgpack_packer pk;
    msgpack_sbuffer_init(&body);
    msgpack_packer_init(&pk, &body, msgpack_sbuffer_write);
    bool ok = pack_message(&pk, msg);
    if (ok && body.size >= AQ_WIRE_MAX_FRAME &&
        msg->type == AQ_MSG_HEARTBEAT) {
        AqMsgHeartbeat reduced = msg->as.heartbeat;
        reduced.epoch = 0;
        reduced.version = 0;
        reduced.slots_known = false;
        reduced.peer_age_count = 0;
        reduced.leaving_count = 0;
        reduced.over_count = 0;
        reduced.slot_lease_count = 0;
        reduced.service_count = 0;
        msgpack_sbuffer_clear(&body);
        pack_heartbeat(&pk, &reduced);
    }
    if (ok && body.size < AQ_WIRE_MAX_FRAME) {
        append_frame(&body, out);
    }
    msgpack_sbuffer_destroy(&body);
}
