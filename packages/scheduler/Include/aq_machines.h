#ifndef AQ_MACHINES_H
#define AQ_MACHINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_worker_client.h"

/* Clients of the platform's VM list, of its orders that move VMs between pools
 * or take them down for maintenance, and of its advice service; and the
 * operator's maintenance waves. */

typedef enum {
    AQ_MACHINE_UP,
    AQ_MACHINE_MOVING,
    AQ_MACHINE_MAINTENANCE,
    AQ_MACHINE_DOWN
} AqMachineState;

typedef struct {
    char machine[AQ_VM_ID_SIZE];
    char pool[64];
    char vm[AQ_VM_ID_SIZE]; /* id of the current incarnation, or "" */
    char zone[64];
    char rack[64];
    AqMachineState state;
    int64_t cpu_millis;
    int64_t memory_mb;
} AqMachine;

typedef enum {
    AQ_MACHINE_ORDER_DONE,    /* accepted, or carried out before */
    AQ_MACHINE_ORDER_FENCED,  /* a holder with a higher fence sent orders */
    AQ_MACHINE_ORDER_BUSY,    /* the VM is not up, or is leaving */
    AQ_MACHINE_ORDER_REFUSED, /* no such VM, pool or wave */
    AQ_MACHINE_ORDER_LATER,   /* not carried out: over the rate limit, or the
                               * platform was not reached */
    AQ_MACHINE_ORDER_UNKNOWN  /* no response; it may be carried out later */
} AqMachineResult;

/* Static storage. */
const char *AqMachineResult_Name(AqMachineResult result);

typedef struct {
    bool is_whole;             /* all pages of the list were read */
    const AqMachine *machines; /* borrowed */
    size_t count;
} AqMachineList;

typedef struct AqMachineClient AqMachineClient;

typedef void (*AqMachineListDone)(void *context, const AqMachineList *list);
typedef void (*AqMachineOrderDone)(void *context, AqMachineResult result);

/* "holder" and "fence" are the id and the fencing number of the node that
 * orders.  Each call of "list", "move" or "maintenance" ends with one call of
 * "done". */
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

/* A maintenance wave: every VM in it has its maintenance within "within_ms",
 * at most "cap" of them at a time. */
typedef struct {
    int64_t number;
    char (*machines)[AQ_VM_ID_SIZE]; /* owned */
    size_t machine_count;
    AqTime within_ms;
    uint32_t cap;
} AqWaveSpec;

/* Frees what the wave owns and zeroes it. */
void AqWaveSpec_Clear(AqWaveSpec *wave);

/* A ticket of the advice service, without which a task of a queue with tickets
 * may not start on the VM. */
typedef struct {
    const char *vm;
    const char *ticket;
} AqTicket;

typedef struct {
    /* AQ_ORDER_DONE, AQ_ORDER_UNHEALTHY (too many calls) or
     * AQ_ORDER_UNKNOWN. */
    AqOrderResult result;
    const AqTicket *tickets; /* borrowed */
    size_t count;
    AqTime valid_ms; /* validity of the tickets from the reply on */
} AqAdviceReply;

typedef void (*AqAdviceDone)(void *context, const AqAdviceReply *reply);

typedef struct AqAdviceClient AqAdviceClient;

/* Requests tickets for a step on the given VMs; ends with one call of "done".
 */
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
