#ifndef AQ_MACHINE_REQUESTS_H
#define AQ_MACHINE_REQUESTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_machines.h"

/* Machine requests of a pool's owner to the machine coordinator, the one node
 * that orders moves and maintenance of VMs, and its responses: the requests
 * that have ended.  Each list is stored whole under one key and rewritten at
 * each change.  A request that is no longer in the list is withdrawn. */

enum {
    AQ_MACHINE_REQUESTS_MAX = 256 /* in the list of one pool */
};

typedef struct {
    int64_t number; /* unique among the requests of this owner */
    char machine[AQ_VM_ID_SIZE];
    char to_pool[64]; /* target pool of a move; "": maintenance */
    int64_t wave;     /* wave of the maintenance */
    bool is_refused;  /* responses only: the order cannot be carried out */
} AqMachineRequest;

typedef struct {
    uint64_t fence;             /* fencing number of the requesting owner */
    size_t requested_vms;       /* VMs needed beside the moves in the list */
    AqMachineRequest *requests; /* owned */
    size_t count;
} AqMachineRequestList;

/* Frees what the list owns and zeroes it. */
void AqMachineRequestList_Clear(AqMachineRequestList *list);
/* Appends the stored form. */
void AqMachineRequestList_Encode(const AqMachineRequestList *list,
                                 AqBuffer *out);
/* Reads the stored form; false when the bytes are damaged.  The caller clears
 * *list on success. */
bool AqMachineRequestList_Decode(const char *bytes, size_t size,
                                 AqMachineRequestList *list);

#endif
