#ifndef AQ_WORKER_CLIENT_H
#define AQ_WORKER_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_job_spec.h"

/* Orders to the worker process on a VM, which runs the tasks, and its replies.
 * The scheduler decides on the orders; an AqWorkerClient sends them. */

/* One task of one occurrence of a job. */
typedef struct {
    char job[AQ_JOB_ID_SIZE];
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
} AqTaskName;

enum {
    AQ_VM_ID_SIZE = 64,      /* bytes, with the NUL */
    AQ_CHECKPOINT_SIZE = 128 /* bytes, with the NUL; a longer one is dropped */
};

/* A VM's entry in the store, as reported by its worker process. */
typedef struct {
    char id[AQ_VM_ID_SIZE]; /* of this incarnation of the VM */
    char address[32];       /* "IP:port" */
    char pool[64];
    char zone[64];
    char machine[AQ_VM_ID_SIZE]; /* id that all incarnations share, or "" */
    char kind[64];
    char rack[64];
    int64_t cpu_millis;
    int64_t memory_mb;
    int64_t gpus;
    int64_t leaves_ms; /* least time left while draining; -1: not reported */
    bool is_draining;
} AqVmReport;

typedef enum {
    AQ_ORDER_DONE,
    AQ_ORDER_FENCED,     /* an owner with a higher fence has sent orders */
    AQ_ORDER_OLD_RUN,    /* a run of this or a higher number was stopped or has
                          * ended there */
    AQ_ORDER_LATE,       /* the deadline has passed on the VM's clock */
    AQ_ORDER_NO_ROOM,    /* the VM lacks the resources */
    AQ_ORDER_NO_TICKET,  /* the start had no valid ticket */
    AQ_ORDER_OTHER_LIFE, /* another incarnation of the VM replied */
    AQ_ORDER_UNHEALTHY,  /* refused by an unhealthy VM; no effect */
    AQ_ORDER_INVALID,    /* refused as malformed; no effect */
    AQ_ORDER_NOT_SENT,   /* nothing was sent */
    AQ_ORDER_UNKNOWN     /* no reply; the VM may carry it out later */
} AqOrderResult;

/* Static storage. */
const char *AqOrderResult_Name(AqOrderResult result);

/* A run that is alive on the VM. */
typedef struct {
    AqTaskName task;
    int64_t run;
    const char *checkpoint; /* borrowed; "" for none */
    int64_t percent;        /* progress; a perpetual task is at work at 100 */
    /* Tail latency in ms of a serving task; otherwise thousandths of a core in
     * use. */
    int64_t usage;
} AqRunningTask;

typedef enum {
    AQ_END_DONE,
    AQ_END_FAILED,
    AQ_END_STOPPED, /* by an order */
    AQ_END_LAPSED,  /* the lease expired */
    AQ_END_BROKEN,  /* another member of the gang ended */
    AQ_END_ALONE,   /* the other members of the gang did not start */
    AQ_END_OTHER
} AqEndKind;

typedef struct {
    int64_t number; /* increases within an incarnation of the VM */
    AqTaskName task;
    int64_t run;
    AqEndKind kind;
    const char *checkpoint; /* borrowed; "" for none */
} AqEndedTask;

typedef struct {
    AqOrderResult result;
    AqTime clock_ms; /* monotonic clock of the VM; -1: not reported */
    /* Only with AQ_ORDER_DONE of a renewal; borrowed. */
    const AqRunningTask *running;
    size_t running_count;
    const AqEndedTask *ended;
    size_t ended_count;
} AqOrderReply;

typedef void (*AqOrderDone)(void *context, const AqOrderReply *reply);

typedef struct {
    const char *address;
    const char *vm; /* id of the incarnation that the order is for */
} AqOrderTarget;

typedef struct {
    AqTaskName task;
    int64_t run;
    const char *text;       /* of the job */
    const char *checkpoint; /* where to continue; "" for none */
    const char *ticket;     /* "" for none */
    AqTime deadline_ms;     /* end of the VM's lease, on the VM's clock */
    uint64_t fence;
} AqStartOrder;

/* Order that extends the lease of a VM and acknowledges ends of runs.  The VM
 * replies with its running and ended tasks when a run ends, at the latest
 * after wait_ms (long poll). */
typedef struct {
    AqTime deadline_ms; /* end of the VM's lease, on the VM's clock; -1: the
                         * lease stays unchanged */
    uint64_t fence;
    int64_t acked_end; /* highest end that the VM may forget */
    AqTime wait_ms;    /* longest time that the VM may delay its reply until a
                        * run ends */
} AqRenewalOrder;

typedef struct AqWorkerClient AqWorkerClient;

/* Every order ends with one call of "done" from the event loop.  "start"
 * starts a run of a task and "stop" ends it.  "renew" sends an AqRenewalOrder.
 * "pace" limits the run of a filler, which uses only idle CPU, to a percentage
 * of its full speed. */
typedef struct {
    void (*start)(AqWorkerClient *calls, const AqOrderTarget *target,
                  const AqStartOrder *order, AqOrderDone done, void *context);
    void (*stop)(AqWorkerClient *calls, const AqOrderTarget *target,
                 const AqTaskName *task, int64_t run, uint64_t fence,
                 AqOrderDone done, void *context);
    void (*renew)(AqWorkerClient *calls, const AqOrderTarget *target,
                  const AqRenewalOrder *order, AqOrderDone done,
                  void *context);
    void (*pace)(AqWorkerClient *calls, const AqOrderTarget *target,
                 const AqTaskName *task, int64_t run, int percent,
                 uint64_t fence, AqOrderDone done, void *context);
    void (*destroy)(AqWorkerClient *calls);
} AqWorkerClientOps;

struct AqWorkerClient {
    const AqWorkerClientOps *ops;
};

#endif
