#ifndef AQ_WORKER_CLIENT_H
#define AQ_WORKER_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_job_spec.h"

/* Orders to the worker process on a VM, which runs the tasks, and the replies
 * of that process.  The scheduler decides on the orders; an AqWorkerClient
 * sends them. */

/* One task of one occurrence of a job. */
typedef struct {
    char job[AQ_JOB_ID_SIZE];
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
} AqTaskName;

enum {
    /* size of the buffer for a VM's id, in bytes with the NUL */
    AQ_VM_ID_SIZE = 64,
    /* size of the buffer for a checkpoint, in bytes with the NUL; a longer
     * checkpoint is dropped */
    AQ_CHECKPOINT_SIZE = 128
};

/* What a VM's worker process reports about the VM in the VM's entry in the
 * store. */
typedef struct {
    /* id of this incarnation of the VM; the next one may have the same id and
     * a later born_ms */
    char id[AQ_VM_ID_SIZE];
    /* when this incarnation started, Unix ms on the VM's wall clock; 0: not
     * reported, and the next incarnation has another id */
    int64_t born_ms;
    char address[32]; /* "IP:port" */
    char pool[64];
    char zone[64];
    /* id that all incarnations of the VM share; "": not reported */
    char machine[AQ_VM_ID_SIZE];
    char kind[64];
    char rack[64];
    int64_t cpu_millis;
    int64_t memory_mb;
    int64_t gpus;
    /* shortest time, from the report, for which the draining VM stays up; -1:
     * not reported */
    int64_t leaves_ms;
    bool is_draining;
} AqVmReport;

typedef enum {
    AQ_ORDER_DONE,
    /* refused: an owner of the pool with a higher fence has sent orders to the
     * VM */
    AQ_ORDER_FENCED,
    /* refused: a run of the task with this or a higher number was stopped or
     * has ended on the VM */
    AQ_ORDER_OLD_RUN,
    /* refused: the end of the lease that the order grants to the VM has passed
     * on the VM's clock */
    AQ_ORDER_LATE,
    /* refused: the VM lacks free resources for the task */
    AQ_ORDER_NO_ROOM,
    /* refused: the start order had no valid ticket (permission of the advice
     * service to start the task on this VM) */
    AQ_ORDER_NO_TICKET,
    /* the reply came from another incarnation of the VM than the one that the
     * order names */
    AQ_ORDER_OTHER_LIFE,
    /* refused by an unhealthy VM; the order has no effect */
    AQ_ORDER_UNHEALTHY,
    /* refused as malformed; the order has no effect */
    AQ_ORDER_INVALID,
    AQ_ORDER_NOT_SENT, /* no byte of the order was sent */
    /* no reply, or one that does not show the outcome; the VM may have
     * executed the order or may do so later */
    AQ_ORDER_UNKNOWN
} AqOrderResult;

/* Returns the name of the result; static storage. */
const char *AqOrderResult_Name(AqOrderResult result);

/* A run (one execution of a task) that is alive on the VM. */
typedef struct {
    AqTaskName task;
    int64_t run;
    /* last checkpoint that the run reported, from which a later run of the
     * task can continue; "": none; borrowed */
    const char *checkpoint;
    /* percent of the task's work that the run has done; a perpetual task
     * reports 100 once it has started up and is at work */
    int64_t percent;
    /* Tail latency in ms, for a task that serves requests; for other tasks the
     * CPU in use, in thousandths of a core. */
    int64_t usage;
} AqRunningTask;

typedef enum {
    AQ_END_DONE,
    AQ_END_FAILED,
    AQ_END_STOPPED, /* the run was stopped by an order */
    AQ_END_LAPSED,  /* the lease of the run's VM expired */
    /* another task of the run's gang (step whose tasks run together) ended */
    AQ_END_BROKEN,
    /* the other tasks of the run's gang (step whose tasks run together) did
     * not start */
    AQ_END_ALONE,
    AQ_END_OTHER
} AqEndKind;

typedef struct {
    /* sequence number of the end of the run; rises with each end of a run in
     * one incarnation of the VM, from 1 on */
    int64_t number;
    AqTaskName task;
    int64_t run;
    AqEndKind kind;
    /* last checkpoint that the run reported, from which a later run of the
     * task can continue; "": none; borrowed */
    const char *checkpoint;
} AqEndedTask;

typedef struct {
    AqOrderResult result;
    /* time on the VM's monotonic clock when the VM replied; -1: not
     * reported */
    AqTime clock_ms;
    /* AqVmReport.born_ms of the incarnation that replied; 0: not reported */
    int64_t born_ms;
    /* The live runs and the ended runs on the VM, only in a reply
     * AQ_ORDER_DONE to a renewal order (extension of the VM's lease);
     * borrowed. */
    const AqRunningTask *running;
    size_t running_count;
    const AqEndedTask *ended;
    size_t ended_count;
} AqOrderReply;

typedef void (*AqOrderDone)(void *context, const AqOrderReply *reply);

typedef struct {
    const char *address;
    /* id of the VM's incarnation to which the order is addressed */
    const char *vm;
} AqOrderTarget;

typedef struct {
    AqTaskName task;
    int64_t run;
    /* text of the job, as the caller submitted it */
    const char *text;
    /* checkpoint from which the run continues; "": none */
    const char *checkpoint;
    /* the advice service's permission (ticket) to start the task on this VM;
     * "": the order has none */
    const char *ticket;
    AqTime deadline_ms; /* end of the VM's lease, on the VM's clock */
    uint64_t fence;
} AqStartOrder;

/* Order that extends the lease of a VM and acknowledges ends of runs.  The VM
 * replies with its running and ended tasks when a run ends, at the latest
 * after wait_ms (long poll). */
typedef struct {
    AqTime deadline_ms; /* end of the VM's lease, on the VM's clock; -1: the
                         * lease stays unchanged */
    uint64_t fence;
    /* the VM need no longer list ends of runs with an AqEndedTask.number up to
     * this one in its replies */
    int64_t acked_end;
    /* longest time for which the VM may delay its reply to wait for the end of
     * a run */
    AqTime wait_ms;
} AqRenewalOrder;

typedef struct AqWorkerClient AqWorkerClient;

/* Every order ends with one call of "done" from the event loop.  "start"
 * starts a run (one execution of a task on a VM) and "stop" ends it.  "renew"
 * sends an AqRenewalOrder, which extends the VM's lease.  "pace" limits the
 * run of a filler, a task that uses only CPU that others leave, to a
 * percentage of its full speed. */
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
