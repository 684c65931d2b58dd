#ifndef AQ_MACHINES_H
#define AQ_MACHINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_worker_client.h"

/* Client of the platform's machine service, which lists VMs, moves VMs between
 * pools and takes VMs down for maintenance; client of the platform's advice
 * service; and the operator's maintenance waves. */

typedef enum {
    AQ_MACHINE_UP,
    AQ_MACHINE_MOVING,
    AQ_MACHINE_MAINTENANCE,
    AQ_MACHINE_DOWN
} AqMachineState;

typedef struct {
    char machine[AQ_VM_ID_SIZE];
    char pool[64];
    /* id of the VM's current incarnation; "": not reported */
    char vm[AQ_VM_ID_SIZE];
    char zone[64];
    char rack[64];
    AqMachineState state;
    int64_t cpu_millis;
    int64_t memory_mb;
} AqMachine;

typedef enum {
    /* the platform accepted the order, or had already carried out the same
     * order */
    AQ_MACHINE_ORDER_DONE,
    /* refused: a node with a higher fencing number has sent orders to the
     * platform */
    AQ_MACHINE_ORDER_FENCED,
    /* refused by the platform as busy: the VM that the order names is not up,
     * or is leaving */
    AQ_MACHINE_ORDER_BUSY,
    /* refused: the platform has no such VM, pool or wave */
    AQ_MACHINE_ORDER_REFUSED,
    /* the platform does not carry out the order, which exceeds the platform's
     * rate limit or did not reach the platform */
    AQ_MACHINE_ORDER_LATER,
    /* no response, or one that does not show the outcome; the platform may
     * have carried out the order or may do so later */
    AQ_MACHINE_ORDER_UNKNOWN
} AqMachineResult;

/* Returns the name of the result; static storage. */
const char *AqMachineResult_Name(AqMachineResult result);

typedef struct {
    /* all pages of the platform's list of VMs were read */
    bool is_whole;
    const AqMachine *machines; /* array of "count" VMs; borrowed */
    size_t count;
} AqMachineList;

typedef struct AqMachineClient AqMachineClient;

typedef void (*AqMachineListDone)(void *context, const AqMachineList *list);
typedef void (*AqMachineOrderDone)(void *context, AqMachineResult result);

/* "holder" and "fence" are the id and the fencing number of the node that
 * sends the order.  Each call of "list", "move" or "maintenance" ends with one
 * call of "done". */
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

/* A maintenance wave of the operator: each of its VMs has its maintenance
 * within "within_ms" of the wave's creation, at most "cap" VMs at a time. */
typedef struct {
    int64_t number;
    /* machine names of the wave's VMs; owned */
    char (*machines)[AQ_VM_ID_SIZE];
    size_t machine_count;
    AqTime within_ms;
    uint32_t cap;
} AqWaveSpec;

/* Frees what *wave owns and zeroes *wave. */
void AqWaveSpec_Clear(AqWaveSpec *wave);

/* A ticket: the advice service's permission to start tasks of one step on one
 * VM until the ticket expires.  Tasks of a queue with needs_tickets may not
 * start on the VM without a ticket. */
typedef struct {
    const char *vm;
    const char *ticket;
} AqTicket;

typedef struct {
    /* AQ_ORDER_DONE: the advice service answered the request for tickets, and
     * "tickets" has those that it gave; AQ_ORDER_UNHEALTHY: the service
     * refused that request, for example because it had too many requests;
     * AQ_ORDER_UNKNOWN: no valid response. */
    AqOrderResult result;
    /* array of "count" tickets (permissions to start tasks on one VM each);
     * borrowed */
    const AqTicket *tickets;
    size_t count;
    /* how long after the arrival of the advice service's response the tickets
     * still permit the start of tasks */
    AqTime valid_ms;
} AqAdviceReply;

typedef void (*AqAdviceDone)(void *context, const AqAdviceReply *reply);

typedef struct AqAdviceClient AqAdviceClient;

/* "request_tickets" asks the advice service for one ticket for each of the
 * given VMs: the permission to start the step's tasks on that VM until the
 * ticket expires.  The call ends with one call of "done". */
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
