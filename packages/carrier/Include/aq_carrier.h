#ifndef AQ_CARRIER_H
#define AQ_CARRIER_H

#include <stdbool.h>
#include <stddef.h>

#include "aq_loop.h"
#include "aq_worker_client.h"

/* Carriers: entry VMs that pass orders of a pool's owner on to VMs.
 *
 * An owner decides alone about the starts, stops and leases of its pool, but
 * at the height of a burst the calls to the pool's VMs take most of the
 * processor time of the owner's entry VM, while most entry VMs idle.  An owner
 * of many VMs therefore sends its orders in batches to some idle entry VMs,
 * its carriers, which make the calls and return the replies.
 *
 * Carriers decide nothing and keep nothing.  An order that a carrier loses
 * ends as one without a reply from its VM, and is sent again through another
 * carrier or directly; an order that a carrier delays is one that arrives
 * late. The owner's fence is in each order, and a VM refuses the orders of
 * earlier owners whichever way they come. */

/* ---- Choice ------------------------------------------------------------- */

enum {
    /* sizes of the buffers for a node's id and an "IP:port", in bytes with the
     * NUL */
    AQ_CARRIER_ID_SIZE = 64,
    AQ_CARRIER_ADDRESS_SIZE = 32,
    /* most carriers of one owner */
    AQ_CARRIER_MAX = 32
};

/* Returns for how many VMs an entry VM can make the calls of a burst with half
 * of its processor share (thousandths of a core) and link (Mbit/s; 0: not
 * known). */
size_t AqCarrier_Capacity(int64_t cpu_millis, int64_t link_mbps);

/* Returns for how many VMs an owner needs carriers: the "own" VMs that its
 * "own_pools" of the site's "pools" pools have now, and at least their part of
 * "site_peak", the most VMs that the site has had.  A pool that has few VMs
 * now has many within two seconds of a burst, and an owner that calls these
 * itself until then opens thousands of connections. */
size_t AqCarrier_VmsNeeded(size_t own, size_t own_pools, size_t pools,
                           size_t site_peak);

/* An entry VM that owns pools or may become a carrier. */
typedef struct {
    const char *id;      /* borrowed */
    const char *zone;    /* borrowed */
    const char *address; /* on which it takes orders; "": none; borrowed */
    size_t capacity;     /* AqCarrier_Capacity */
    bool owns_pool;
    bool is_busy; /* it has another duty and becomes no carrier */
} AqCarrierCandidate;

typedef struct {
    const char *owner; /* id of the owner's entry VM; borrowed */
    size_t capacity;   /* of the owner's entry VM */
    size_t vms;        /* VMs of the pools that it owns */
} AqCarrierNeed;

/* Writes the indexes of the candidates that become carriers of the owner to
 * "chosen", which has AQ_CARRIER_MAX elements, and returns their number; 0 if
 * the owner needs none or too few are free.  Each candidate is a carrier of
 * one owner only, if possible of one in its zone, and all entry VMs that see
 * the same candidates agree on it.  A candidate that joins or leaves changes
 * the carriers of an owner by at most one. */
size_t AqCarrier_Choose(const AqCarrierNeed *need,
                        const AqCarrierCandidate *candidates, size_t count,
                        size_t *chosen);

/* ---- Owner -------------------------------------------------------------- */

typedef struct AqCarrierClient AqCarrierClient;

/* Names a carrier; the strings are copied. */
typedef struct {
    const char *id;
    const char *address;
} AqCarrierName;

/* Creates a client that sends orders through carriers, and through "direct",
 * borrowed, while it has no carrier for a VM.  node and incarnation name this
 * process to the carriers; copied. */
AqCarrierClient *AqCarrierClient_Create(AqLoop *loop, AqWorkerClient *direct,
                                        const char *node,
                                        const char *incarnation);
/* Ends all orders that wait for a carrier as orders without a reply. */
void AqCarrierClient_Destroy(AqCarrierClient *client);
/* Returns the interface for orders, borrowed; its "destroy" does nothing. */
AqWorkerClient *AqCarrierClient_Workers(AqCarrierClient *client);
/* Replaces the set of carriers.  Orders in progress go on. */
void AqCarrierClient_SetCarriers(AqCarrierClient *client,
                                 const AqCarrierName *carriers, size_t count);
/* Returns the number of carriers that are connected. */
size_t AqCarrierClient_Connected(const AqCarrierClient *client);

/* ---- Carrier ------------------------------------------------------------ */

typedef struct AqCarrierServer AqCarrierServer;

typedef struct {
    /* Returns whether a process with this incarnation is a member now; orders
     * of others are not taken. */
    bool (*is_member)(void *context, const char *node,
                      const char *incarnation);
} AqCarrierServerOps;

/* Listens on "IP:port" and makes the calls through "workers", borrowed.
 * Returns NULL and fills *error (AQ_ERR_INVALID, AQ_ERR_SYSTEM) on failure. */
AqCarrierServer *AqCarrierServer_Create(AqLoop *loop, const char *listen,
                                        AqWorkerClient *workers,
                                        const AqCarrierServerOps *ops,
                                        void *context, AqError *error);
void AqCarrierServer_Destroy(AqCarrierServer *server);
/* Returns the port on which the server listens. */
uint16_t AqCarrierServer_Port(const AqCarrierServer *server);

#endif
