#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_random.h"
#include "aq_wire.h"

/* The test program "fuzz_wire CORPUS SEED RUNS" decodes the frame files of the
 * directory CORPUS, then RUNS randomly changed copies of them; SEED is the
 * seed of the random numbers.  The program guards against crashes, reads
 * outside the frame (detected by the sanitizers), decoding that reports more
 * bytes as used than it was given, errors without a message, and decoded
 * messages that change when they are encoded and decoded again. */

enum {
    MAX_FILES = 64,
    MAX_FRAME_BYTES = 16 * 1024
};

typedef struct {
    size_t size;
    unsigned char bytes[MAX_FRAME_BYTES];
} Frame;

static Frame corpus[MAX_FILES];
static size_t corpus_count;
static AqRandom rng;

static size_t
random_below(size_t bound)
{
    return (size_t)AqRandom_Below(&rng, bound);
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
load_file(const char *directory, const char *file_name)
{
    char path[1024];
    snprintf(path, sizeof(path), "%s/%s", directory, file_name);
    FILE *file = fopen(path, "rb");
    if (file == NULL) {
        perror(path);
        exit(1);
    }
    Frame *frame = &corpus[corpus_count++];
    frame->size = fread(frame->bytes, 1, sizeof(frame->bytes), file);
    fclose(file);
}

/* Loads the corpus files in order of name, so that a run with the same seed
 * decodes the same frames. */
static void
load_corpus(const char *directory)
{
    DIR *dir = opendir(directory);
    if (dir == NULL) {
        perror(directory);
        exit(1);
    }
    char *names[MAX_FILES];
    size_t n = 0;
    struct dirent *entry;
    while ((entry = readdir(dir)) != NULL && n < MAX_FILES) {
        if (entry->d_name[0] != '.') {
            names[n++] = strdup(entry->d_name);
        }
    }
    closedir(dir);
    qsort(names, n, sizeof(char *), compare_names);
    for (size_t i = 0; i < n; i++) {
        load_file(directory, names[i]);
        free(names[i]);
    }
}

/* Changes one randomly chosen place of the frame: flips a bit, overwrites,
 * inserts or removes a byte, or copies in the end of another corpus frame. */
static void
mutate(Frame *frame)
{
    static const unsigned char special_bytes[] = {
        0x00, 0x7f, 0x80, 0x90, 0x9f, 0xa0, 0xc0, 0xc1, 0xc4, 0xc6,
        0xcb, 0xcf, 0xd3, 0xd9, 0xdb, 0xdc, 0xdd, 0xde, 0xdf, 0xff};
    size_t at = random_below(frame->size);
    switch (random_below(6)) {
    case 0:
        frame->bytes[at] ^= (unsigned char)(1U << random_below(8));
        break;
    case 1:
        frame->bytes[at] = special_bytes[random_below(sizeof(special_bytes))];
        break;
    case 2:
        frame->bytes[at] = (unsigned char)random_below(256);
        break;
    case 3:
        memmove(frame->bytes + at, frame->bytes + at + 1,
                frame->size - at - 1);
        frame->size -= frame->size > 1;
        break;
    case 4:
        if (frame->size < MAX_FRAME_BYTES) {
            memmove(frame->bytes + at + 1, frame->bytes + at,
                    frame->size - at);
            frame->bytes[at] =
                special_bytes[random_below(sizeof(special_bytes))];
            frame->size++;
        }
        break;
    default: {
        const Frame *other = &corpus[random_below(corpus_count)];
        size_t from = random_below(other->size);
        size_t n = other->size - from;
        n = n < frame->size - at ? n : frame->size - at;
        memcpy(frame->bytes + at, other->bytes + from, n);
        break;
    }
    }
}

/* Sets the frame's length field to the number of bytes after the field, so
 * that the frame passes the length check and its content is decoded. */
static void
set_length_field(Frame *frame)
{
    size_t length = frame->size >= 4 ? frame->size - 4 : 0;
    for (int i = 0; i < 4 && frame->size >= 4; i++) {
        frame->bytes[i] = (unsigned char)(length >> (24 - 8 * i));
    }
}

static void
fail(const char *what, const Frame *frame)
{
    fprintf(stderr, "fuzz_wire: %s; frame:", what);
    for (size_t i = 0; i < frame->size; i++) {
        fprintf(stderr, " %02x", frame->bytes[i]);
    }
    fprintf(stderr, "\n");
    exit(1);
}

/* Ends the program with status 1 unless the decoded message encodes to a frame
 * that decodes to a message with the same encoding.  "frame", from which the
 * message was decoded, is printed on failure. */
static void
check_round_trip(const Frame *frame, const AqMsg *msg)
{
    AqBuffer first, second;
    AqBuffer_Init(&first);
    AqBuffer_Init(&second);
    AqWire_Encode(msg, &first);
    AqMsg again;
    size_t used;
    AqError error;
    if (AqWire_Decode(first.bytes, first.size, &again, &used, &error) !=
            AQ_WIRE_MSG ||
        used != first.size) {
        fail("a decoded message does not encode to a good frame", frame);
    }
    AqWire_Encode(&again, &second);
    if (first.size != second.size ||
        memcmp(first.bytes, second.bytes, first.size) != 0) {
        fail("a message changes when encoded and decoded", frame);
    }
    AqMsg_Clear(&again);
    AqBuffer_Clear(&first);
    AqBuffer_Clear(&second);
}

static AqWireResult
decode_frame(Frame *frame)
{
    /* The buffer has exactly the frame's size (1 byte for an empty frame), so
     * that the sanitizer detects every read beyond the end of the frame. */
    char *bytes = malloc(frame->size + (frame->size == 0));
    AqMsg msg;
    size_t used = 0;
    AqError error;
    if (bytes == NULL) {
        abort();
    }
    memcpy(bytes, frame->bytes, frame->size);
    AqError_Clear(&error);
    AqWireResult result =
        AqWire_Decode(bytes, frame->size, &msg, &used, &error);
    if (result == AQ_WIRE_MSG) {
        if (used > frame->size) {
            fail("more bytes used than given", frame);
        }
        check_round_trip(frame, &msg);
        AqMsg_Clear(&msg);
    }
    else if (result == AQ_WIRE_BAD &&
             (error.kind != AQ_ERR_PROTOCOL || error.message[0] == '\0')) {
        fail("a bad frame without a message", frame);
    }
    free(bytes);
    return result;
}

int
main(int argc, char **argv)
{
    if (argc != 4) {
        fprintf(stderr, "usage: fuzz_wire CORPUS SEED RUNS\n");
        return 2;
    }
    load_corpus(argv[1]);
    AqRandom_Seed(&rng, strtoull(argv[2], NULL, 10));
    unsigned long runs = strtoul(argv[3], NULL, 10);
    unsigned long results[3] = {0};
    static Frame frame;
    for (size_t i = 0; i < corpus_count; i++) {
        frame = corpus[i];
        if (decode_frame(&frame) != AQ_WIRE_MSG) {
            fail("a corpus frame does not decode; run make_corpus", &frame);
        }
    }
    for (unsigned long run = 0; run < runs; run++) {
        const Frame *source = &corpus[random_below(corpus_count)];
        frame.size = source->size;
        memcpy(frame.bytes, source->bytes, source->size);
        for (size_t n = 1 + random_below(4); n > 0; n--) {
            mutate(&frame);
        }
        if (random_below(8) != 0) {
            set_length_field(&frame);
        }
        results[decode_frame(&frame)]++;
    }
    printf("%lu decodes of %zu frames: %lu good, %lu incomplete, %lu bad\n",
           runs, corpus_count, results[AQ_WIRE_MSG],
           results[AQ_WIRE_NEED_MORE], results[AQ_WIRE_BAD]);
    /* Most mutated frames must get past the frame header, and some must decode
     * to a message.  So at least a quarter of the decodes must return
     * AQ_WIRE_BAD (a rough check, because an invalid length or version in the
     * header also returns it), and at least a hundredth AQ_WIRE_MSG.  With
     * fewer than 10 corpus files, message types are missing. */
    return corpus_count < 10 || results[AQ_WIRE_BAD] < runs / 4 ||
           results[AQ_WIRE_MSG] < runs / 100;
}
