#ifndef CARRIER_WIRE_H
#define CARRIER_WIRE_H

#include "aq_buffer.h"
#include "aq_error.h"
#include "aq_worker_client.h"

/* Messages between an owner and its carriers.  A frame is a length of four
 * bytes, big-endian, and a msgpack array of that length. */

enum {
    CARRIER_VERSION = 2,
    /* A renewal reply lists at most 500 ends and the runs of one VM. */
    CARRIER_MAX_FRAME = 256 * 1024,
    CARRIER_MAX_TASKS = 4096,
    /* Most texts of jobs that are used on a connection.  A text has up to
     * 4,000 bytes. */
    CARRIER_MAX_TEXTS = 1024
};

typedef enum {
    CARRIER_HELLO,
    CARRIER_START,
    CARRIER_STOP,
    CARRIER_RENEW,
    CARRIER_PACE,
    CARRIER_TEXT,
    CARRIER_REPLY
} CarrierKind;

/* First message of an owner. */
typedef struct {
    int64_t version;
    const char *node;
    const char *incarnation;
} CarrierHello;

/* The text of a job, which the job's starts on the same connection use: each
 * start of a job carries the same text, and it is most of a start's bytes. */
typedef struct {
    const char *job;
    const char *text;
    bool is_first; /* the texts sent before are no longer used */
} CarrierText;

/* An order; which fields hold depends on the kind.  The text of a start is
 * sent before it, as a CARRIER_TEXT. */
typedef struct {
    int64_t id; /* that the reply repeats */
    const char *address;
    const char *vm;
    AqStartOrder start; /* CARRIER_START; stop and pace use task, run, fence */
    AqRenewalOrder renewal;
    int percent; /* CARRIER_PACE */
} CarrierOrder;

typedef struct {
    int64_t id;
    AqOrderReply reply;
} CarrierReply;

/* A decoded message.  Its strings and lists belong to it until
 * carrier_message_clear(). */
typedef struct {
    CarrierKind kind;
    union {
        CarrierHello hello;
        CarrierOrder order;
        CarrierText text;
        CarrierReply reply;
    } as;
    void *strings; /* GStringChunk */
    AqRunningTask *running;
    AqEndedTask *ended;
} CarrierMessage;

/* Append a frame to "out". */
void carrier_encode_hello(const CarrierHello *hello, AqBuffer *out);
void carrier_encode_order(CarrierKind kind, const CarrierOrder *order,
                          AqBuffer *out);
void carrier_encode_text(const CarrierText *text, AqBuffer *out);
void carrier_encode_reply(const CarrierReply *reply, AqBuffer *out);

typedef enum {
    CARRIER_COMPLETE,
    CARRIER_INCOMPLETE, /* more bytes are needed */
    CARRIER_MALFORMED   /* the error is set; the connection must be closed */
} CarrierDecode;

/* Decodes the first frame of "bytes" and sets *used to its size. */
CarrierDecode carrier_decode(const char *bytes, size_t size, size_t *used,
                             CarrierMessage *message, AqError *error);
void carrier_message_clear(CarrierMessage *message);

#endif
