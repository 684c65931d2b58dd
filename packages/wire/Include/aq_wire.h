#ifndef AQ_WIRE_H
#define AQ_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_error.h"

/* Messages between daemons.  A frame is a 4-byte big-endian length, a version
 * byte and one msgpack array [type, ...].  Decoding checks every length and
 * type; it never allocates more than the frame's size times a constant. */

enum {
    AQ_WIRE_VERSION = 1,
    AQ_WIRE_MAX_FRAME = 256 * 1024,  /* bytes after the length field */
    AQ_WIRE_MAX_NAME = 64,           /* bytes of an id, NUL included */
    AQ_WIRE_FLEET_CHUNK = 64 * 1024, /* bytes of a document in one FLEET */
    AQ_WIRE_MAX_ITEMS = 4096,        /* elements of a list in a message */
    AQ_WIRE_MAX_AGE_MS = 1000000000  /* longest age; also stands for "never" */
};

typedef enum {
    AQ_MSG_HELLO = 1,
    AQ_MSG_HEARTBEAT = 2,
    AQ_MSG_CLAIM = 3,
    AQ_MSG_CLAIM_RESULT = 4,
    AQ_MSG_RELEASE = 5,
    AQ_MSG_BORROW = 6,
    AQ_MSG_LEND = 7,
    AQ_MSG_RETURN = 8,
    AQ_MSG_GET_FLEET = 9,
    AQ_MSG_FLEET = 10,
    AQ_MSG_BURN = 11
} AqMsgType;

typedef struct {
    char id[AQ_WIRE_MAX_NAME];      /* entry VM */
    char secret[AQ_WIRE_MAX_NAME];  /* peers.secret */
    char address[AQ_WIRE_MAX_NAME]; /* "IP:port" of its listener for peers,
                                       for the way back */
    uint64_t instance;              /* new at each start of the daemon */
    int64_t epoch;
} AqMsgHello;

/* A named number: heard peer and age in ms, leaving VM and its requests in
 * flight. */
typedef struct {
    char name[AQ_WIRE_MAX_NAME];
    int64_t value;
} AqWireCount;

typedef struct {
    char name[AQ_WIRE_MAX_NAME]; /* service */
    int64_t queued;              /* requests waiting */
    int64_t idle;                /* free slots of this member */
} AqWireService;

/* Slots of an endpoint that the sender has leased in. */
typedef struct {
    char lessor[AQ_WIRE_MAX_NAME];
    char endpoint[AQ_WIRE_MAX_NAME];
    int64_t count;
} AqWireSlotLease;

typedef struct {
    uint64_t seq; /* never falls in one instance */
    uint64_t instance;
    int64_t epoch;          /* adopted epoch; 0 while the start guard runs */
    int64_t version;        /* fleet document in force */
    int64_t store_age_ms;   /* since the last confirmed store contact */
    bool stopping;          /* graceful stop has begun */
    bool joining;           /* not counted in a majority yet */
    bool slots_known;       /* over and slot_leases have been filled in */
    AqWireCount *peer_ages; /* owned by the message, as the lists below */
    size_t peer_age_count;
    uint64_t *acked_seq; /* peer_age_count elements: the last seq received from
                            that peer, 0 for none; NULL stands for zeros */
    AqWireCount *leaving; /* VMs with requests in flight; not listed: 0 */
    size_t leaving_count;
    AqWireCount *over; /* endpoints with more in flight than the share */
    size_t over_count;
    AqWireSlotLease *slot_leases;
    size_t slot_lease_count;
    AqWireService *services;
    size_t service_count;
} AqMsgHeartbeat;

typedef struct {
    uint64_t request; /* number that the sender gave to the claim */
    uint8_t hash[16]; /* of service and request id */
    uint64_t nonce;
    char holder[AQ_WIRE_MAX_NAME];
} AqMsgClaim; /* also RELEASE */

typedef enum {
    AQ_CLAIM_GRANTED = 1,
    AQ_CLAIM_DUPLICATE = 2,
    AQ_CLAIM_UNAVAILABLE = 3
} AqClaimVerdict;

typedef struct {
    uint64_t request;
    AqClaimVerdict verdict;
} AqMsgClaimResult;

/* BORROW: up to "count" slots of any endpoint of "name" (a service).
 * LEND and RETURN: "count" slots of "name" (an endpoint). */
typedef struct {
    char name[AQ_WIRE_MAX_NAME];
    int64_t count;
    int64_t term_ms; /* LEND: how long new requests may start on them */
} AqMsgSlots;

/* One chunk of the fleet document of a version.  The first has offset 0. */
typedef struct {
    int64_t version;
    int64_t total; /* bytes of the whole document */
    int64_t offset;
    char *bytes; /* owned by the message */
    size_t size;
} AqMsgFleet;

/* Burn counters of one entry VM as JSON text. */
typedef struct {
    char holder[AQ_WIRE_MAX_NAME];
    char *text; /* owned by the message, NUL-terminated */
} AqMsgBurn;

typedef struct {
    AqMsgType type;
    union {
        AqMsgHello hello;
        AqMsgHeartbeat heartbeat;
        AqMsgClaim claim;
        AqMsgClaimResult claim_result;
        AqMsgSlots slots;
        AqMsgFleet fleet;
        AqMsgBurn burn;
    } as;
} AqMsg;

/* Appends one frame to *out.  Numbers are cut to the range that decoding
 * allows.  A heartbeat that would exceed AQ_WIRE_MAX_FRAME is sent without its
 * lists and with epoch and version 0, which claims nothing; any other message
 * that is too large, or that has an empty name, appends nothing. */
void AqWire_Encode(const AqMsg *msg, AqBuffer *out);

typedef enum {
    AQ_WIRE_MSG,
    AQ_WIRE_NEED_MORE,
    AQ_WIRE_BAD
} AqWireResult;

/* Decodes the frame at the start of "bytes".  AQ_WIRE_MSG: fills *msg, to be
 * cleared with AqMsg_Clear, and *used with the frame's size.
 * AQ_WIRE_NEED_MORE: the frame is not complete.  AQ_WIRE_BAD: fills *error
 * (AQ_ERR_PROTOCOL); the connection must be closed. */
AqWireResult AqWire_Decode(const char *bytes, size_t size, AqMsg *msg,
                           size_t *used, AqError *error);

/* Frees what the message owns. */
void AqMsg_Clear(AqMsg *msg);

#endif
