#include <CUnit/Basic.h>
#include <malloc.h>
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "samples.h"

/* Returns new zeroed memory for "count" elements of "size" bytes. */
static void *
new_bytes(size_t count, size_t size)
{
    void *bytes = calloc(count + (count == 0), size);
    if (bytes == NULL) {
        abort();
    }
    return bytes;
}

/* Guards, for every message type, against fields that are lost, swapped or
 * truncated by encoding and decoding. */
static void
test_round_trip(void)
{
    bool seen[AQ_MSG_BURN + 1] = {false};
    for (int i = 0; i < SAMPLE_COUNT; i++) {
        AqMsg msg, back;
        AqBuffer first, second;
        size_t used = 0;
        AqError error;
        sample_fill(i, &msg);
        seen[msg.type] = true;
        AqBuffer_Init(&first);
        AqBuffer_Init(&second);
        AqWire_Encode(&msg, &first);
        CU_ASSERT_EQUAL_FATAL(
            AqWire_Decode(first.bytes, first.size, &back, &used, &error),
            AQ_WIRE_MSG);
        CU_ASSERT_EQUAL(used, first.size);
        CU_ASSERT_EQUAL(back.type, msg.type);
        AqWire_Encode(&back, &second);
        CU_ASSERT_EQUAL_FATAL(first.size, second.size);
        CU_ASSERT_EQUAL(memcmp(first.bytes, second.bytes, first.size), 0);
        AqMsg_Clear(&msg);
        AqMsg_Clear(&back);
        AqBuffer_Clear(&first);
        AqBuffer_Clear(&second);
    }
    for (int type = AQ_MSG_HELLO; type <= AQ_MSG_BURN; type++) {
        CU_ASSERT_TRUE(seen[type]);
    }
}

/* Guards against an encoder and a decoder that both swap the same two fields,
 * which a round trip does not detect. */
static void
test_fields(void)
{
    AqMsg msg, back;
    AqBuffer frame;
    size_t used;
    AqError error;
    sample_fill(2, &msg);
    AqBuffer_Init(&frame);
    AqWire_Encode(&msg, &frame);
    AqMsg_Clear(&msg);
    CU_ASSERT_EQUAL_FATAL(
        AqWire_Decode(frame.bytes, frame.size, &back, &used, &error),
        AQ_WIRE_MSG);
    const AqMsgHeartbeat *beat = &back.as.heartbeat;
    CU_ASSERT_EQUAL(beat->seq, 1001);
    CU_ASSERT_EQUAL(beat->instance, UINT64_MAX - 1);
    CU_ASSERT_EQUAL(beat->epoch, 7);
    CU_ASSERT_EQUAL(beat->version, INT64_MAX);
    CU_ASSERT_EQUAL(beat->store_age_ms, AQ_WIRE_MAX_AGE_MS);
    CU_ASSERT_TRUE(beat->stopping);
    CU_ASSERT_FALSE(beat->joining);
    CU_ASSERT_TRUE(beat->slots_known);
    CU_ASSERT_STRING_EQUAL(beat->peer_ages[0].name, "vm-0");
    CU_ASSERT_STRING_EQUAL(beat->leaving[0].name, "worker-0");
    CU_ASSERT_STRING_EQUAL(beat->over[0].name, "endpoint-0");
    CU_ASSERT_STRING_EQUAL(beat->slot_leases[0].lessor, "vm-0");
    CU_ASSERT_STRING_EQUAL(beat->slot_leases[0].endpoint, "endpoint-0");
    CU_ASSERT_STRING_EQUAL(beat->services[0].name, "service-0");
    CU_ASSERT_EQUAL(beat->services[0].queued, 0);
    CU_ASSERT_EQUAL(beat->services[0].idle, 3);
    AqMsg_Clear(&back);
    AqBuffer_Clear(&frame);
}

/* Guards against a decoder that accepts an incomplete frame, reads beyond the
 * end of its input, or treats the bytes of a following frame as part of the
 * first. */
static void
test_incomplete(void)
{
    AqMsg msg, back;
    AqBuffer frame;
    size_t used;
    AqError error;
    AqBuffer_Init(&frame);
    sample_fill(3, &msg);
    AqWire_Encode(&msg, &frame);
    AqMsg_Clear(&msg);
    for (size_t n = 0; n < frame.size; n++) {
        char *part = new_bytes(n, 1);
        memcpy(part, frame.bytes, n);
        CU_ASSERT_EQUAL(AqWire_Decode(part, n, &back, &used, &error),
                        AQ_WIRE_NEED_MORE);
        free(part);
    }
    size_t size = frame.size;
    AqBuffer_Append(&frame, "\x00\x00", 2);
    CU_ASSERT_EQUAL(
        AqWire_Decode(frame.bytes, frame.size, &back, &used, &error),
        AQ_WIRE_MSG);
    CU_ASSERT_EQUAL(used, size);
    AqMsg_Clear(&back);
    AqBuffer_Clear(&frame);
}

#define BODY(text) (text), sizeof(text) - 1

/* Guards against malformed frames that are accepted, and against error
 * messages that do not state the fault. */
static void
test_bad_frames(void)
{
    static const struct {
        const char *body; /* bytes of the frame after the version byte */
        size_t size;
        const char *in_message;
    } cases[] = {
        {BODY("\xc0"), "type byte 0xc0"},
        {BODY("\x81\x01\x02"), "type byte 0x81"},
        {BODY("\xcb\0\0\0\0\0\0\0\0"), "type byte 0xcb"},
        {BODY("\x05"), "must be an array"},
        {BODY("\x90"), "must be an array"},
        {BODY("\x91\xa1x"), "must be an array"},
        {BODY("\x91\x00"), "type 0 is unknown"},
        {BODY("\x91\x0c"), "type 12 is unknown"},
        {BODY("\x91\xcf\xff\xff\xff\xff\xff\xff\xff\xff"), "is unknown"},
        {BODY("\x92\x09"), "array of 2 elements, but only 1"},
        {BODY("\x91\xcd\x01"), "string or binary of 2 bytes"},
        {BODY("\x91\xd9"), "ends early"},
        {BODY("\x91\x09\x09"), "1 bytes follow"},
        {BODY("\x92\x09\x00"), "GET_FLEET: expected an array of 1"},
        {BODY("\xdd\xff\xff\xff\xff\x01"), "array of 4294967295 elements"},
        {BODY("\x92\x01\xdd\x7f\xff\xff\xff"), "array of 2147483647"},
        {BODY("\x92\x01\xdb\xff\xff\xff\xff"), "string or binary of 42949"},
        {BODY("\x92\x01\x91\x91\x91\x01"), "nested more than 3"},
        {BODY("\x93\x04\x01\x00"), "\"verdict\" must be 1, 2 or 3"},
        {BODY("\x93\x04\x01\x04"), "\"verdict\" must be an integer between"},
        {BODY("\x93\x04\xff\x01"), "\"request\" must be an integer"},
        {BODY("\x94\x06\xa0\x01\x01"), "BORROW: field \"name\""},
        {BODY("\x94\x06\xa2"
              "a\n\x01\x01"),
         "without control characters"},
        {BODY("\x94\x06\xa1"
              "a\xcd\x27\x11\x01"),
         "\"count\" must be an integer between 0 and 10000"},
        {BODY("\x95\x03\x01\xc4\x01z\x01\xa1v"), "binary of 16 bytes"},
        {BODY("\x95\x0a\x01\x02\x01\xc4\x02zz"), "within \"total\""},
        {BODY("\x95\x0a\x01\xce\xff\xff\xff\xff\x01\xc4\x00"),
         "\"total\" must be"},
        {BODY("\x93\x0b\xa1v\xa2z\x00"), "without NUL bytes"},
        {BODY("\x96\x01\xa1v\xa1s\xa1:\xff\x01"), "\"instance\" must be"},
        {BODY("\x96\x01\xa1v\xa1s\x07\x01\x01"), "\"address\" must be"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        unsigned char frame[128] = {0, 0, 0, 0, AQ_WIRE_VERSION};
        frame[3] = (unsigned char)(cases[i].size + 1);
        memcpy(frame + 5, cases[i].body, cases[i].size);
        AqMsg msg;
        size_t used;
        AqError error;
        AqError_Clear(&error);
        AqWireResult result = AqWire_Decode(
            (const char *)frame, cases[i].size + 5, &msg, &used, &error);
        CU_ASSERT_EQUAL(result, AQ_WIRE_BAD);
        CU_ASSERT_EQUAL(error.kind, AQ_ERR_PROTOCOL);
        if (strstr(error.message, cases[i].in_message) == NULL) {
            printf("case %zu: %s\n", i, error.message);
        }
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, cases[i].in_message));
    }
}

/* Guards against a decoder that waits for more bytes of a frame whose header
 * is already invalid, so that a connection hangs or an oversized frame is
 * buffered in full before its rejection. */
static void
test_bad_header(void)
{
    static const struct {
        const char *bytes;
        size_t size;
        const char *in_message;
    } cases[] = {
        {BODY("\0\0\0\0"), "frame length 0"},
        {BODY("\0\0\0\x01"), "frame length 1"},
        {BODY("\0\x04\0\x01"), "frame length 262145"},
        {BODY("GET "), "frame length"},
        {BODY("\0\0\0\x09\x02"), "frame version 2"},
        {BODY("\0\0\0\x09\0"), "frame version 0"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqMsg msg;
        size_t used;
        AqError error;
        CU_ASSERT_EQUAL(
            AqWire_Decode(cases[i].bytes, cases[i].size, &msg, &used, &error),
            AQ_WIRE_BAD);
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, cases[i].in_message));
    }
}

/* Appends the frame of a heartbeat whose "over" list has "count" elements. */
static void
encode_list(size_t count, AqBuffer *out)
{
    AqMsg msg = {.type = AQ_MSG_HEARTBEAT};
    msg.as.heartbeat.epoch = 5;
    msg.as.heartbeat.version = 6;
    msg.as.heartbeat.over = new_bytes(count, sizeof(AqWireCount));
    msg.as.heartbeat.over_count = count;
    for (size_t i = 0; i < count; i++) {
        memset(msg.as.heartbeat.over[i].name, 'n', AQ_WIRE_MAX_NAME - 1);
    }
    AqWire_Encode(&msg, out);
    AqMsg_Clear(&msg);
}

/* Guards against an encoder whose oversized frames peers reject, and against a
 * truncated "over" list, from which peers would conclude that the sender has
 * released its slots of the omitted endpoints. */
static void
test_large_messages(void)
{
    AqBuffer out;
    AqMsg back;
    size_t used;
    AqError error;
    AqBuffer_Init(&out);
    encode_list(AQ_WIRE_MAX_ITEMS, &out);
    CU_ASSERT_EQUAL_FATAL(
        AqWire_Decode(out.bytes, out.size, &back, &used, &error), AQ_WIRE_MSG);
    CU_ASSERT_EQUAL(back.as.heartbeat.epoch, 0);
    CU_ASSERT_EQUAL(back.as.heartbeat.version, 0);
    CU_ASSERT_EQUAL(back.as.heartbeat.over_count, 0);
    AqMsg_Clear(&back);
    AqBuffer_Clear(&out);
    AqMsg burn = {.type = AQ_MSG_BURN, .as.burn = {.holder = "v"}};
    burn.as.burn.text = new_bytes(AQ_WIRE_MAX_FRAME + 1, 1);
    memset(burn.as.burn.text, 'x', AQ_WIRE_MAX_FRAME);
    AqWire_Encode(&burn, &out);
    CU_ASSERT_EQUAL(out.size, 0);
    AqMsg_Clear(&burn);
    AqBuffer_Clear(&out);
}

/* Guards against a frame whose decoding allocates too much memory.  The limit
 * is 40 bytes of heap per byte of the frame; the worst case is an array of
 * one-byte elements, each of which msgpack-c stores in 24 bytes. */
static void
test_bounded_memory(void)
{
    size_t n = AQ_WIRE_MAX_FRAME - 6;
    char *frame = new_bytes(AQ_WIRE_MAX_FRAME + 4, 1);
    static const unsigned char head[6] = {0, 4, 0, 0, 1, 0xdd};
    memcpy(frame, head, sizeof(head));
    for (int i = 0; i < 4; i++) {
        frame[6 + i] = (char)(n >> (24 - 8 * i));
    }
    AqMsg msg;
    size_t used;
    AqError error;
    /* With these options freed memory stays in the heap's arena, so that the
     * growth of the arena is the peak of the memory use. */
    mallopt(M_MMAP_MAX, 0);
    mallopt(M_TRIM_THRESHOLD, 1 << 30);
    struct mallinfo2 before = mallinfo2();
    CU_ASSERT_EQUAL(
        AqWire_Decode(frame, AQ_WIRE_MAX_FRAME + 4, &msg, &used, &error),
        AQ_WIRE_BAD);
    struct mallinfo2 after = mallinfo2();
    printf("heap grew by %zu bytes ", after.arena - before.arena);
    CU_ASSERT_TRUE(after.arena - before.arena <
                   40 * (size_t)AQ_WIRE_MAX_FRAME);
    CU_ASSERT_TRUE(after.uordblks <= before.uordblks + 4096);
    free(frame);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("wire", NULL, NULL);
    CU_ADD_TEST(suite, test_round_trip);
    CU_ADD_TEST(suite, test_fields);
    CU_ADD_TEST(suite, test_incomplete);
    CU_ADD_TEST(suite, test_bad_frames);
    CU_ADD_TEST(suite, test_bad_header);
    CU_ADD_TEST(suite, test_large_messages);
    CU_ADD_TEST(suite, test_bounded_memory);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
