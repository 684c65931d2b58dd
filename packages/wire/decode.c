#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "wire_internal.h"

/* Reads the fields of one msgpack array in order. */
typedef struct {
    const char *message; /* name of the message type, for error messages */
    const msgpack_object *items; /* elements of the array */
    uint32_t at; /* array position in "items" of the next element to read */
    AqError *error;
} Reader;

const char *
wire_type_name(int type)
{
    static const char *const names[] = {
        "",       "HELLO", "HEARTBEAT", "CLAIM",     "CLAIM_RESULT", "RELEASE",
        "BORROW", "LEND",  "RETURN",    "GET_FLEET", "FLEET",        "BURN"};
    if (type < AQ_MSG_HELLO || type > AQ_MSG_BURN) {
        return "unknown";
    }
    return names[type];
}

static bool
set_field_error(const Reader *r, const char *field, const char *expected)
{
    AqError_Set(r->error, AQ_ERR_PROTOCOL,
                "%s: field \"%s\" must be %s; the peer runs another program "
                "or its message was damaged",
                r->message, field, expected);
    return false;
}

/* Returns the next element of the array.  begin_array has checked that the
 * array has as many elements as the caller reads. */
static const msgpack_object *
next_field(Reader *r)
{
    return &r->items[r->at++];
}

/* Initialises *r to read the elements of "object".  Returns false and fills
 * *error if "object" is not an array of "count" elements. */
static bool
begin_array(Reader *r, const char *message, const msgpack_object *object,
            uint32_t count, AqError *error)
{
    r->message = message;
    r->at = 0;
    r->error = error;
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size != count) {
        AqError_Set(error, AQ_ERR_PROTOCOL,
                    "%s: expected an array of %u fields; the peer runs "
                    "another program or its message was damaged",
                    message, (unsigned)count);
        return false;
    }
    r->items = object->via.array.ptr;
    return true;
}

static bool
read_uint(Reader *r, const char *field, uint64_t *value)
{
    const msgpack_object *o = next_field(r);
    if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return set_field_error(r, field, "an integer of at least 0");
    }
    *value = o->via.u64;
    return true;
}

static bool
read_int(Reader *r, const char *field, int64_t high, int64_t *value)
{
    const msgpack_object *o = next_field(r);
    if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        o->via.u64 > (uint64_t)high) {
        AqError_Set(r->error, AQ_ERR_PROTOCOL,
                    "%s: field \"%s\" must be an integer between 0 and "
                    "%lld; the peer runs another program or its "
                    "message was damaged",
                    r->message, field, (long long)high);
        return false;
    }
    *value = (int64_t)o->via.u64;
    return true;
}

static bool
read_bool(Reader *r, const char *field, bool *value)
{
    const msgpack_object *o = next_field(r);
    if (o->type != MSGPACK_OBJECT_BOOLEAN) {
        return set_field_error(r, field, "a boolean");
    }
    *value = o->via.boolean;
    return true;
}

/* Returns whether the text has no control characters.  Names with control
 * characters are rejected because names are written into log lines. */
static bool
has_no_control_chars(const char *text, uint32_t size)
{
    for (uint32_t i = 0; i < size; i++) {
        unsigned char c = (unsigned char)text[i];
        if (c < 0x20 || c == 0x7f) {
            return false;
        }
    }
    return true;
}

static bool
read_text(Reader *r, const char *field, uint32_t min_size,
          char name[AQ_WIRE_MAX_NAME])
{
    const msgpack_object *o = next_field(r);
    if (o->type != MSGPACK_OBJECT_STR || o->via.str.size < min_size ||
        o->via.str.size >= AQ_WIRE_MAX_NAME ||
        !has_no_control_chars(o->via.str.ptr, o->via.str.size)) {
        return set_field_error(r, field,
                               "a string of at most 63 bytes without control "
                               "characters");
    }
    memcpy(name, o->via.str.ptr, o->via.str.size);
    name[o->via.str.size] = '\0';
    return true;
}

static bool
read_name(Reader *r, const char *field, char name[AQ_WIRE_MAX_NAME])
{
    return read_text(r, field, 1, name);
}

/* Reads the next field, which must be a list.  Sets *elements to the list's
 * msgpack elements, *count to their number, and *items to a new zeroed array
 * of "*count" entries of "item_size" bytes, or NULL if the list is empty.
 * Returns false and sets the error if the field is not a list of at most
 * AQ_WIRE_MAX_ITEMS elements. */
static bool
read_list_header(Reader *r, const char *field, size_t item_size, void **items,
                 const msgpack_object **elements, size_t *count)
{
    const msgpack_object *o = next_field(r);
    if (o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size > AQ_WIRE_MAX_ITEMS) {
        return set_field_error(r, field, "a list of at most 4096 elements");
    }
    *elements = o->via.array.ptr;
    *count = o->via.array.size;
    *items = *count > 0 ? calloc(*count, item_size) : NULL;
    if (*count > 0 && *items == NULL) {
        abort();
    }
    return true;
}

static bool
read_counts(Reader *r, const char *field, AqWireCount **items, size_t *count)
{
    const msgpack_object *elements;
    if (!read_list_header(r, field, sizeof(**items), (void **)items, &elements,
                          count)) {
        return false;
    }
    for (size_t i = 0; i < *count; i++) {
        Reader e;
        if (!begin_array(&e, r->message, &elements[i], 2, r->error) ||
            !read_name(&e, field, (*items)[i].name) ||
            !read_int(&e, field, INT64_MAX, &(*items)[i].value)) {
            return false;
        }
    }
    return true;
}

static bool
read_peer_ages(Reader *r, AqMsgHeartbeat *beat)
{
    const msgpack_object *elements;
    if (!read_list_header(r, "heard", sizeof(*beat->peer_ages),
                          (void **)&beat->peer_ages, &elements,
                          &beat->peer_age_count)) {
        return false;
    }
    if (beat->peer_age_count > 0) {
        beat->acked_seq = calloc(beat->peer_age_count, sizeof(uint64_t));
        if (beat->acked_seq == NULL) {
            abort();
        }
    }
    for (size_t i = 0; i < beat->peer_age_count; i++) {
        Reader e;
        if (!begin_array(&e, r->message, &elements[i], 3, r->error) ||
            !read_name(&e, "heard", beat->peer_ages[i].name) ||
            !read_int(&e, "heard", AQ_WIRE_MAX_AGE_MS,
                      &beat->peer_ages[i].value) ||
            !read_uint(&e, "heard", &beat->acked_seq[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_slot_leases(Reader *r, AqMsgHeartbeat *beat)
{
    const msgpack_object *elements;
    if (!read_list_header(r, "loans", sizeof(*beat->slot_leases),
                          (void **)&beat->slot_leases, &elements,
                          &beat->slot_lease_count)) {
        return false;
    }
    for (size_t i = 0; i < beat->slot_lease_count; i++) {
        Reader e;
        AqWireSlotLease *lease = &beat->slot_leases[i];
        if (!begin_array(&e, r->message, &elements[i], 3, r->error) ||
            !read_name(&e, "loans", lease->lessor) ||
            !read_name(&e, "loans", lease->endpoint) ||
            !read_int(&e, "loans", WIRE_MAX_SLOTS, &lease->count)) {
            return false;
        }
    }
    return true;
}

static bool
read_services(Reader *r, AqMsgHeartbeat *beat)
{
    const msgpack_object *elements;
    if (!read_list_header(r, "services", sizeof(*beat->services),
                          (void **)&beat->services, &elements,
                          &beat->service_count)) {
        return false;
    }
    for (size_t i = 0; i < beat->service_count; i++) {
        Reader e;
        AqWireService *service = &beat->services[i];
        if (!begin_array(&e, r->message, &elements[i], 3, r->error) ||
            !read_name(&e, "services", service->name) ||
            !read_int(&e, "services", INT64_MAX, &service->queued) ||
            !read_int(&e, "services", INT64_MAX, &service->idle)) {
            return false;
        }
    }
    return true;
}

static bool
read_heartbeat(Reader *r, AqMsgHeartbeat *beat)
{
    return read_uint(r, "seq", &beat->seq) &&
           read_uint(r, "instance", &beat->instance) &&
           read_int(r, "epoch", INT64_MAX, &beat->epoch) &&
           read_int(r, "version", INT64_MAX, &beat->version) &&
           read_int(r, "store_age_ms", AQ_WIRE_MAX_AGE_MS,
                    &beat->store_age_ms) &&
           read_bool(r, "stopping", &beat->stopping) &&
           read_bool(r, "joining", &beat->joining) &&
           read_bool(r, "slots_known", &beat->slots_known) &&
           read_peer_ages(r, beat) &&
           read_counts(r, "leaving", &beat->leaving, &beat->leaving_count) &&
           read_counts(r, "over", &beat->over, &beat->over_count) &&
           read_slot_leases(r, beat) && read_services(r, beat);
}

static bool
read_hello(Reader *r, AqMsgHello *hello)
{
    return read_name(r, "id", hello->id) &&
           read_text(r, "secret", 0, hello->secret) &&
           read_text(r, "address", 0, hello->address) &&
           read_uint(r, "instance", &hello->instance) &&
           read_int(r, "epoch", INT64_MAX, &hello->epoch);
}

static bool
read_claim(Reader *r, AqMsgClaim *claim)
{
    if (!read_uint(r, "request", &claim->request)) {
        return false;
    }
    const msgpack_object *o = next_field(r);
    if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size != WIRE_HASH_SIZE) {
        return set_field_error(r, "hash", "a binary of 16 bytes");
    }
    memcpy(claim->hash, o->via.bin.ptr, WIRE_HASH_SIZE);
    return read_uint(r, "nonce", &claim->nonce) &&
           read_name(r, "holder", claim->holder);
}

static bool
read_claim_result(Reader *r, AqMsgClaimResult *result)
{
    int64_t verdict = 0;
    if (!read_uint(r, "request", &result->request) ||
        !read_int(r, "verdict", AQ_CLAIM_UNAVAILABLE, &verdict)) {
        return false;
    }
    if (verdict < AQ_CLAIM_GRANTED) {
        return set_field_error(r, "verdict", "1, 2 or 3");
    }
    result->verdict = (AqClaimVerdict)verdict;
    return true;
}

static bool
read_slots(Reader *r, AqMsgSlots *slots)
{
    return read_name(r, "name", slots->name) &&
           read_int(r, "count", WIRE_MAX_SLOTS, &slots->count) &&
           read_int(r, "term_ms", AQ_WIRE_MAX_AGE_MS, &slots->term_ms);
}

static bool
read_fleet(Reader *r, AqMsgFleet *fleet)
{
    if (!read_int(r, "version", INT64_MAX, &fleet->version) ||
        !read_int(r, "total", WIRE_MAX_DOCUMENT_BYTES, &fleet->total) ||
        !read_int(r, "offset", WIRE_MAX_DOCUMENT_BYTES, &fleet->offset)) {
        return false;
    }
    const msgpack_object *o = next_field(r);
    if (o->type != MSGPACK_OBJECT_BIN ||
        o->via.bin.size > AQ_WIRE_FLEET_CHUNK ||
        fleet->offset + (int64_t)o->via.bin.size > fleet->total) {
        return set_field_error(
            r, "bytes",
            "a binary of at most 65536 bytes that ends within "
            "\"total\"");
    }
    fleet->bytes = malloc(o->via.bin.size + 1);
    if (fleet->bytes == NULL) {
        abort();
    }
    if (o->via.bin.size > 0) {
        memcpy(fleet->bytes, o->via.bin.ptr, o->via.bin.size);
    }
    fleet->bytes[o->via.bin.size] = '\0';
    fleet->size = o->via.bin.size;
    return true;
}

static bool
read_burn(Reader *r, AqMsgBurn *burn)
{
    if (!read_name(r, "holder", burn->holder)) {
        return false;
    }
    const msgpack_object *o = next_field(r);
    if (o->type != MSGPACK_OBJECT_STR ||
        (o->via.str.size > 0 &&
         memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL)) {
        return set_field_error(r, "text", "a string without NUL bytes");
    }
    burn->text =
        strndup(o->via.str.size > 0 ? o->via.str.ptr : "", o->via.str.size);
    if (burn->text == NULL) {
        abort();
    }
    return true;
}

static bool
read_fields(Reader *r, AqMsg *msg)
{
    switch (msg->type) {
    case AQ_MSG_HELLO:
        return read_hello(r, &msg->as.hello);
    case AQ_MSG_HEARTBEAT:
        return read_heartbeat(r, &msg->as.heartbeat);
    case AQ_MSG_CLAIM:
    case AQ_MSG_RELEASE:
        return read_claim(r, &msg->as.claim);
    case AQ_MSG_CLAIM_RESULT:
        return read_claim_result(r, &msg->as.claim_result);
    case AQ_MSG_BORROW:
    case AQ_MSG_LEND:
    case AQ_MSG_RETURN:
        return read_slots(r, &msg->as.slots);
    case AQ_MSG_GET_FLEET:
        return true;
    case AQ_MSG_FLEET:
        return read_fleet(r, &msg->as.fleet);
    case AQ_MSG_BURN:
        return read_burn(r, &msg->as.burn);
    }
    return false;
}

/* Sets *msg from an unpacked msgpack array.  Returns false and fills *error if
 * the type or a field is invalid. */
static bool
read_message(const msgpack_object *object, AqMsg *msg, AqError *error)
{
    /* Number of elements of the msgpack array of each message type, indexed by
     * the type number.  The type number is itself one of the elements. */
    static const uint32_t fields[] = {0, 6, 14, 5, 3, 5, 4, 4, 4, 1, 5, 3};
    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size == 0 ||
        object->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        AqError_Set(error, AQ_ERR_PROTOCOL,
                    "a message must be an array that starts with its "
                    "type number");
        return false;
    }
    uint64_t type = object->via.array.ptr[0].via.u64;
    if (type < AQ_MSG_HELLO || type > AQ_MSG_BURN) {
        AqError_Set(error, AQ_ERR_PROTOCOL,
                    "message type %llu is unknown; run the same "
                    "release on all entry VMs",
                    (unsigned long long)type);
        return false;
    }
    msg->type = (AqMsgType)type;
    Reader r;
    if (!begin_array(&r, wire_type_name((int)type), object, fields[type],
                     error)) {
        return false;
    }
    r.at = 1;
    return read_fields(&r, msg);
}

static bool
unpack(const char *bytes, size_t size, AqMsg *msg, AqError *error)
{
    if (!AqWire_CheckShape(bytes, size, error)) {
        return false;
    }
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset = 0;
    bool ok = false;
    if (msgpack_unpack_next(&unpacked, bytes, size, &offset) !=
        MSGPACK_UNPACK_SUCCESS) {
        AqError_Set(error, AQ_ERR_PROTOCOL,
                    "message is not valid msgpack; the peer runs another "
                    "program or its message was damaged");
    }
    else {
        ok = read_message(&unpacked.data, msg, error);
    }
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}

AqWireResult
AqWire_Decode(const char *bytes, size_t size, AqMsg *msg, size_t *used,
              AqError *error)
{
    const unsigned char *head = (const unsigned char *)bytes;
    if (size < WIRE_LENGTH_SIZE) {
        return AQ_WIRE_NEED_MORE;
    }
    size_t length = (size_t)head[0] << 24 | (size_t)head[1] << 16 |
                    (size_t)head[2] << 8 | head[3];
    if (length < 2 || length > AQ_WIRE_MAX_FRAME) {
        AqError_Set(error, AQ_ERR_PROTOCOL,
                    "frame length %zu is outside 2..%d; the peer runs another "
                    "program",
                    length, AQ_WIRE_MAX_FRAME);
        return AQ_WIRE_BAD;
    }
    if (size > WIRE_LENGTH_SIZE && head[WIRE_LENGTH_SIZE] != AQ_WIRE_VERSION) {
        AqError_Set(error, AQ_ERR_PROTOCOL,
                    "frame version %u, but this daemon speaks version %d; run "
                    "the same release on all entry VMs",
                    head[WIRE_LENGTH_SIZE], AQ_WIRE_VERSION);
        return AQ_WIRE_BAD;
    }
    if (size - WIRE_LENGTH_SIZE < length) {
        return AQ_WIRE_NEED_MORE;
    }
    memset(msg, 0, sizeof(*msg));
    if (!unpack(bytes + WIRE_HEADER_SIZE, length - 1, msg, error)) {
        AqMsg_Clear(msg);
        return AQ_WIRE_BAD;
    }
    *used = WIRE_LENGTH_SIZE + length;
    return AQ_WIRE_MSG;
}

void
AqMsg_Clear(AqMsg *msg)
{
    if (msg->type == AQ_MSG_HEARTBEAT) {
        free(msg->as.heartbeat.peer_ages);
        free(msg->as.heartbeat.acked_seq);
        free(msg->as.heartbeat.leaving);
        free(msg->as.heartbeat.over);
        free(msg->as.heartbeat.slot_leases);
        free(msg->as.heartbeat.services);
    }
    else if (msg->type == AQ_MSG_FLEET) {
        free(msg->as.fleet.bytes);
    }
    else if (msg->type == AQ_MSG_BURN) {
        free(msg->as.burn.text);
    }
    memset(msg, 0, sizeof(*msg));
}
