#ifndef AQ_WORKER_CLIENT_H
#define AQ_WORKER_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_job_spec.h"

/* Orders to the process on a VM that runs tasks, and what it answers.  The
 * scheduler decides them; an adapter carries them. */

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

/* What the VM's process says of itself in the store. */
typedef struct {
    char id[AQ_VM_ID_SIZE]; /* of this incarnation of the VM */
    char address[32];       /* "IP:port" */
    char pool[64];
    char zone[64];
    char machine[AQ_VM_ID_SIZE]; /* the VM; one in all incarnations, or "" */
    char kind[64];
    char rack[64];
    int64_t cpu_millis;
    int64_t memory_mb;
    int64_t gpus;
    int64_t leaves_ms; /* least time left while draining; -1: not said */
    bool is_draining;
} AqVmReport;

typedef enum {
    AQ_ORDER_DONE,
    AQ_ORDER_FENCED,  /* a later owner has given orders */
    AQ_ORDER_OLD_RUN, /* a higher run was stopped or ended there */
    AQ_ORDER_LATE,    /* the deadline has passed on the VM's clock */
    AQ_ORDER_NO_ROOM,
    AQ_ORDER_NO_TICKET,
    AQ_ORDER_OTHER_LIFE, /* another incarnation of the VM answered */
    AQ_ORDER_UNHEALTHY,  /* refused by an unhealthy VM; nothing was done */
    AQ_ORDER_INVALID,    /* refused as malformed; nothing was done */
    AQ_ORDER_NOT_SENT,   /* nothing left this process */
    AQ_ORDER_UNKNOWN     /* no answer; it may be carried out later */
} AqOrderResult;

const char *AqOrderResult_Name(AqOrderResult result);

typedef struct {
    AqTaskName task;
    int64_t run;
    const char *checkpoint; /* borrowed; "" for none */
    int64_t percent;        /* of its work; 100 for serving: at work */
    /* Serving: tail latency, ms; otherwise: thousandths of a core in use. */
    int64_t usage;
} AqRunningTask;

typedef enum {
    AQ_END_DONE,
    AQ_END_FAILED,
    AQ_END_STOPPED,
    AQ_END_LAPSED,
    AQ_END_BROKEN, /* another member of the gang ended */
    AQ_END_ALONE,  /* the other members of the gang did not come */
    AQ_END_OTHER
} AqEndKind;

typedef struct {
    int64_t number; /* rises within an incarnation of the VM */
    AqTaskName task;
    int64_t run;
    AqEndKind kind;
    const char *checkpoint; /* borrowed; "" for none */
} AqEndedTask;

typedef struct {
    AqOrderResult result;
    AqTime clock_ms; /* steady clock of the VM; -1: not said */
    /* Only of a hold that was done; borrowed. */
    const AqRunningTask *running;
    size_t running_count;
    const AqEndedTask *ended;
    size_t ended_count;
} AqOrderReply;

typedef void (*AqOrderDone)(void *context, const AqOrderReply *reply);

typedef struct {
    const char *address;
    const char *vm; /* id of the incarnation that is meant */
} AqOrderTarget;

typedef struct {
    AqTaskName task;
    int64_t run;
    const char *text;
    const char *checkpoint; /* "" for none */
    const char *ticket;     /* "" for none */
    AqTime deadline_ms;     /* on the VM's clock */
    uint64_t fence;
} AqStartOrder;

typedef struct {
    AqTime deadline_ms; /* on the VM's clock; -1: leave it */
    uint64_t fence;
    int64_t acked_end; /* highest end that may be forgotten */
    AqTime wait_ms;    /* the answer waits for an end */
} AqHoldOrder;

typedef struct AqWorkerClient AqWorkerClient;

/* Every call ends with one call of "done" from the event loop. */
typedef struct {
    void (*start)(AqWorkerClient *calls, const AqOrderTarget *target,
                  const AqStartOrder *order, AqOrderDone done, void *context);
    void (*stop)(AqWorkerClient *calls, const AqOrderTarget *target,
                 const AqTaskName *task, int64_t run, uint64_t fence,
                 AqOrderDone done, void *context);
    void (*hold)(AqWorkerClient *calls, const AqOrderTarget *target,
                 const AqHoldOrder *order, AqOrderDone done, void *context);
    void (*pace)(AqWorkerClient *calls, const AqOrderTarget *target,
                 const AqTaskName *task, int64_t run, int percent,
                 uint64_t fence, AqOrderDone done, void *context);
    void (*destroy)(AqWorkerClient *calls);
} AqWorkerClientOps;

struct AqWorkerClient {
    const AqWorkerClientOps *ops;
};

#endif
