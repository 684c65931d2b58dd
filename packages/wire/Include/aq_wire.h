#ifndef AQ_WIRE_H
#define AQ_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_error.h"

/* Encoding and decoding of the messages between the daemons of the entry VMs.
 * A message is sent as a frame: a 4-byte big-endian length, a version byte and
 * one msgpack array [type, ...].  Decoding checks every length and type, and
 * never allocates more memory than the frame's size times a constant. */

enum {
    AQ_WIRE_VERSION = 1,
    /* Most bytes of a frame after its length field. */
    AQ_WIRE_MAX_FRAME = 256 * 1024,
    AQ_WIRE_MAX_NAME = 64, /* most bytes of an id or name, with the NUL */
    /* Most bytes of the fleet document that one FLEET message carries. */
    AQ_WIRE_FLEET_CHUNK = 64 * 1024,
    AQ_WIRE_MAX_ITEMS = 4096, /* most elements of one list in a message */
    /* Longest age or lease term in a message, in ms; an age of this value also
     * stands for "never". */
    AQ_WIRE_MAX_AGE_MS = 1000000000
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
    char id[AQ_WIRE_MAX_NAME];     /* id of the sending entry VM */
    char secret[AQ_WIRE_MAX_NAME]; /* value of the setting peers.secret */
    /* "IP:port" at which the sender accepts connections of its peers. */
    char address[AQ_WIRE_MAX_NAME];
    /* Number that the sending daemon picks anew at each of its starts. */
    uint64_t instance;
    /* Number of the epoch (set of member daemons) that the sender has adopted.
     */
    int64_t epoch;
} AqMsgHello;

/* A name with a number.  In a heartbeat's list "peer_ages": a peer and the
 * time in ms for which the sender has received no heartbeat from that peer.
 * In "leaving": a VM and the number of the sender's requests in flight on that
 * VM.  In "over": an endpoint and the number of slots that the sender lacks on
 * that endpoint. */
typedef struct {
    char name[AQ_WIRE_MAX_NAME];
    int64_t value;
} AqWireCount;

typedef struct {
    char name[AQ_WIRE_MAX_NAME]; /* name of the service */
    /* Number of requests that wait in the sender's queue of the service. */
    int64_t queued;
    /* Number of the sender's slots on endpoints of the service that run no
     * request. */
    int64_t idle;
} AqWireService;

/* Number of slots of one endpoint that the sending daemon has leased from the
 * daemon "lessor".  A slot permits one request in flight on its endpoint. */
typedef struct {
    char lessor[AQ_WIRE_MAX_NAME];
    char endpoint[AQ_WIRE_MAX_NAME];
    int64_t count;
} AqWireSlotLease;

typedef struct {
    /* Number of the heartbeat; never decreases between two starts of the
     * sending daemon. */
    uint64_t seq;
    uint64_t instance; /* number that the sender picked at its last start */
    /* Number of the epoch (set of member daemons) that the sender has adopted.
     * 0: the heartbeat does not state the epoch, and peers must not conclude
     * from it that the sender has released slots. */
    int64_t epoch;
    int64_t version; /* version of the fleet document that the sender uses */
    /* Time since the sender's last confirmed contact with the store, in ms;
     * AQ_WIRE_MAX_AGE_MS if there was none. */
    int64_t store_age_ms;
    bool stopping; /* whether the sender has begun its graceful stop */
    /* Whether peers must not count the sender in a majority of the members
     * yet. */
    bool joining;
    /* Whether the sender has filled in the lists "over" and "slot_leases"; if
     * false, peers must ignore both lists. */
    bool slots_known;
    /* Peers, each with the time in ms for which the sender has received no
     * heartbeat from the peer.  The message owns this list and the lists in
     * the fields below. */
    AqWireCount *peer_ages;
    size_t peer_age_count;
    /* Array of peer_age_count elements: the field "seq" of the last
     * heartbeat that the sender received from the peer at the same position in
     * peer_ages, or 0 for none.  NULL stands for zeros only. */
    uint64_t *acked_seq;
    /* VMs that are going out of service, each with the number of the sender's
     * requests in flight on the VM.  The number is 0 for a VM that is not
     * listed. */
    AqWireCount *leaving;
    size_t leaving_count;
    /* Endpoints on which the sender has more requests in flight than slots,
     * each with the number of slots that the sender lacks there. */
    AqWireCount *over;
    size_t over_count;
    AqWireSlotLease *slot_leases;
    size_t slot_lease_count;
    AqWireService *services;
    size_t service_count;
} AqMsgHeartbeat;

typedef struct {
    /* Number that the sender gave to its claim of a request id; the receiver's
     * CLAIM_RESULT message repeats the number. */
    uint64_t request;
    uint8_t hash[16]; /* XXH3-128 hash of the service name and request id */
    uint64_t nonce;
    char holder[AQ_WIRE_MAX_NAME]; /* id of the daemon to run the request */
} AqMsgClaim;                      /* fields of a CLAIM or RELEASE message */

typedef enum {
    AQ_CLAIM_GRANTED = 1,
    AQ_CLAIM_DUPLICATE = 2,
    AQ_CLAIM_UNAVAILABLE = 3
} AqClaimVerdict;

typedef struct {
    uint64_t request;
    AqClaimVerdict verdict;
} AqMsgClaimResult;

/* Fields of a message about slots, each of which permits one request in flight
 * on an endpoint.  BORROW requests the lease of up to "count" slots of any
 * endpoints of the service "name".  LEND grants the lease of "count" slots of
 * the endpoint "name", and RETURN gives them back. */
typedef struct {
    char name[AQ_WIRE_MAX_NAME];
    int64_t count;
    /* In LEND: time after the receipt of the message in which new requests may
     * start on the slots, in ms. */
    int64_t term_ms;
} AqMsgSlots;

/* One part of the fleet document that has the version "version". */
typedef struct {
    int64_t version;
    int64_t total;  /* size of the whole fleet document, in bytes */
    int64_t offset; /* byte offset of "bytes" in the fleet document */
    char *bytes;    /* part of the fleet document, owned by the message */
    size_t size;    /* size of the part in "bytes", in bytes */
} AqMsgFleet;

/* Fields of a BURN message: the burn counters of the entry VM "holder", which
 * count the requests of each service by outcome. */
typedef struct {
    char holder[AQ_WIRE_MAX_NAME];
    /* The sender's counts of requests by service and outcome (burn counters),
     * as NUL-terminated JSON text; owned by the message. */
    char *text;
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

/* Appends the frame of a message to *out.  Numbers are clamped to the range
 * that decoding accepts.  A heartbeat that would exceed AQ_WIRE_MAX_FRAME is
 * encoded without its lists, with epoch and version 0 and with slots_known
 * false, so that it states nothing about the sender's epoch, fleet document
 * and slots.  For any other message that is too large, or that has an empty
 * name where one is required, nothing is appended. */
void AqWire_Encode(const AqMsg *msg, AqBuffer *out);

typedef enum {
    AQ_WIRE_MSG,
    AQ_WIRE_NEED_MORE,
    AQ_WIRE_BAD
} AqWireResult;

/* Decodes the frame at the start of "bytes".  Returns AQ_WIRE_MSG and sets
 * *msg to the message, which the caller releases with AqMsg_Clear, and *used
 * to the size of the frame in bytes.  Returns AQ_WIRE_NEED_MORE if the frame
 * is not complete yet.  Returns AQ_WIRE_BAD and fills *error (AQ_ERR_PROTOCOL)
 * if the frame is invalid; the caller must then close the connection. */
AqWireResult AqWire_Decode(const char *bytes, size_t size, AqMsg *msg,
                           size_t *used, AqError *error);

/* Frees the memory that the message owns and zeroes the message. */
void AqMsg_Clear(AqMsg *msg);

/* Checks, without allocating memory, that "bytes" is exactly one msgpack
 * value, made of arrays, strings, binaries, booleans and integers, that no
 * element count or length exceeds the remaining bytes, and that arrays are
 * nested at most three levels deep.  Otherwise returns false and fills
 * *error (AQ_ERR_PROTOCOL). */
bool AqWire_CheckShape(const char *bytes, size_t size, AqError *error);

#endif
