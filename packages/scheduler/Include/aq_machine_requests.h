#ifndef AQ_ASKS_H
#define AQ_ASKS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_machines.h"

/* What the owner of a pool asks the one node that orders VMs about to do, and
 * its answers: the asks that have ended.  Each list is stored whole under one
 * key and written anew at each change; an ask that is not in it any more is
 * dropped. */

enum {
    AQ_ASKS_MAX = 256 /* of one pool */
};

typedef struct {
    int64_t number; /* of this owner; never used twice */
    char machine[AQ_VM_ID_SIZE];
    char to_pool[64]; /* a move; "": upkeep */
    int64_t wave;     /* of an upkeep */
    bool is_refused;  /* answers only: it can't be done */
} AqAsk;

typedef struct {
    uint64_t fence; /* of the owner that asks */
    size_t wanted;  /* VMs it would take beside those that it names */
    AqAsk *asks;    /* owned */
    size_t count;
} AqAskList;

void AqAskList_Clear(AqAskList *list);
void AqAskList_Encode(const AqAskList *list, AqBuffer *out);
/* *list is new; false when the bytes are damaged. */
bool AqAskList_Decode(const char *bytes, size_t size, AqAskList *list);

#endif
