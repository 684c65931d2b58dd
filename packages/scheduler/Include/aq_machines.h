#ifndef AQ_MACHINES_H
#define AQ_MACHINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_worker_client.h"

/* The platform's list of VMs and the orders that move them between pools or
 * take them down for maintenance, and the operator's waves of maintenance. */

typedef enum {
    AQ_MACHINE_UP,
    AQ_MACHINE_MOVING,
    AQ_MACHINE_MAINTENANCE,
    AQ_MACHINE_DOWN
} AqMachineState;

typedef struct {
    char machine[AQ_VM_ID_SIZE];
    char pool[64];
    char vm[AQ_VM_ID_SIZE]; /* id of its present incarnation, or "" */
    char zone[64];
    char rack[64];
    AqMachineState state;
    int64_t cpu_millis;
    int64_t memory_mb;
} AqMachine;

typedef enum {
    AQ_MACHINE_ORDER_DONE,    /* accepted, or done already */
    AQ_MACHINE_ORDER_FENCED,  /* a later holder has given orders */
    AQ_MACHINE_ORDER_BUSY,    /* not up, or leaving */
    AQ_MACHINE_ORDER_REFUSED, /* no such VM, pool or wave */
    AQ_MACHINE_ORDER_LATER,   /* over the rate, or not reached; not done */
    AQ_MACHINE_ORDER_UNKNOWN  /* no answer; it may be done later */
} AqMachineResult;

const char *AqMachineResult_Name(AqMachineResult result);

typedef struct {
    bool is_whole;             /* all pages were read */
    const AqMachine *machines; /* borrowed */
    size_t count;
} AqMachineList;

typedef struct AqMachineClient AqMachineClient;

typedef void (*AqMachineListDone)(void *context, const AqMachineList *list);
typedef void (*AqMachineOrderDone)(void *context, AqMachineResult result);

typedef struct {
    void (*list)(AqMachineClient *calls, AqMachineListDone done,
                 void *context);
    void (*move)(AqMachineClient *calls, const char *machine, const char *pool,
                 const char *holder, uint64_t fence, AqMachineOrderDone done,
                 void *context);
    void (*maintenance)(AqMachineClient *calls, const char *machine,
                        int64_t wave, const char *holder, uint64_t fence,
                        AqMachineOrderDone done, void *context);
    void (*destroy)(AqMachineClient *calls);
} AqMachineClientOps;

struct AqMachineClient {
    const AqMachineClientOps *ops;
};

/* A wave: each of the VMs has its maintenance within "within_ms", at most
 * "cap" at a time. */
typedef struct {
    int64_t number;
    char (*machines)[AQ_VM_ID_SIZE]; /* owned */
    size_t machine_count;
    AqTime within_ms;
    uint32_t cap;
} AqWaveSpec;

void AqWaveSpec_Clear(AqWaveSpec *wave);

/* Advice on which VMs may run a step of a queue with tickets. */
typedef struct {
    const char *vm;
    const char *ticket;
} AqTicket;

typedef struct {
    AqOrderResult result;    /* done, unhealthy (too many calls) or unknown */
    const AqTicket *tickets; /* borrowed */
    size_t count;
    AqTime valid_ms;
} AqAdviceReply;

typedef void (*AqAdviceDone)(void *context, const AqAdviceReply *reply);

typedef struct AqAdviceClient AqAdviceClient;

typedef struct {
    void (*request_tickets)(AqAdviceClient *calls, const AqTaskName *step,
                            const char *const *vms, size_t count,
                            AqAdviceDone done, void *context);
    void (*destroy)(AqAdviceClient *calls);
} AqAdviceClientOps;

struct AqAdviceClient {
    const AqAdviceClientOps *ops;
};

#endif
