#ifndef AQ_MACHINE_REQUESTS_H
#define AQ_MACHINE_REQUESTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_machines.h"

/* What the owner of a pool requests of the one node that orders VMs about, and
 * its responses: the requests that have ended.  Each list is stored whole
 * under one key and written anew at each change; a request that is not in it
 * any more is dropped. */

enum {
    AQ_MACHINE_REQUESTS_MAX = 256 /* of one pool */
};

typedef struct {
    int64_t number; /* of this owner; never used twice */
    char machine[AQ_VM_ID_SIZE];
    char to_pool[64]; /* a move; "": maintenance */
    int64_t wave;     /* of maintenance */
    bool is_refused;  /* responses only: it can't be done */
} AqMachineRequest;

typedef struct {
    uint64_t fence;       /* of the owner that requests */
    size_t requested_vms; /* VMs it would take beside those that it names */
    AqMachineRequest *requests; /* owned */
    size_t count;
} AqMachineRequestList;

void AqMachineRequestList_Clear(AqMachineRequestList *list);
void AqMachineRequestList_Encode(const AqMachineRequestList *list,
                                 AqBuffer *out);
/* *list is new; false when the bytes are damaged. */
bool AqMachineRequestList_Decode(const char *bytes, size_t size,
                                 AqMachineRequestList *list);

#endif
