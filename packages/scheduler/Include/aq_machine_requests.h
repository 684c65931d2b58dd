#ifndef AQ_MACHINE_REQUESTS_H
#define AQ_MACHINE_REQUESTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_machines.h"

/* Machine requests, which the owner of a pool sends to the machine coordinator
 * (the one node that orders moves and maintenance of VMs), and the
 * coordinator's responses, which list the requests that have ended.  The store
 * has one list of requests and one list of responses for each pool, each list
 * under its own key; at each change the whole list is written again.  A
 * request that the pool owner removes from its list of requests is
 * withdrawn. */

enum {
    /* most requests in the list of one pool; further requests are added once
     * the list is shorter, and a longer stored list is refused as damaged */
    AQ_MACHINE_REQUESTS_MAX = 256
};

typedef struct {
    /* number of the request, unique among the machine requests of one owner of
     * a pool */
    int64_t number;
    char machine[AQ_VM_ID_SIZE];
    /* name of the pool to move the VM to; "": a request for maintenance */
    char to_pool[64];
    /* number of the maintenance wave; only in a request for maintenance */
    int64_t wave;
    /* only in responses: the order that the request asks the machine
     * coordinator to send cannot be carried out */
    bool is_refused;
} AqMachineRequest;

typedef struct {
    /* fencing number of the pool owner that sends the requests */
    uint64_t fence;
    /* number of VMs that the pool needs in addition to those that the moves
     * requested in this list bring to the pool */
    size_t requested_vms;
    AqMachineRequest *requests; /* array of "count" requests; owned */
    size_t count;
} AqMachineRequestList;

/* Frees what *list owns and zeroes *list. */
void AqMachineRequestList_Clear(AqMachineRequestList *list);
/* Appends the stored form of *list to "out". */
void AqMachineRequestList_Encode(const AqMachineRequestList *list,
                                 AqBuffer *out);
/* Reads the stored form of a list into *list, which the caller clears on
 * success; false when the bytes are damaged. */
bool AqMachineRequestList_Decode(const char *bytes, size_t size,
                                 AqMachineRequestList *list);

#endif
