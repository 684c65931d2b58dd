#ifndef POOL_MACHINES_PRIVATE_H
#define POOL_MACHINES_PRIVATE_H

#include "aq_machine_requests.h"
#include "store_keys.h"
#include "pool_machines.h"
#include "prefix_view.h"

/* Shared by the files of a pool's machines:
 * pool_machines.c          what is there, plans, the platform's list, rounds
 * pool_machine_requests.c  requests to the machine coordinator, its responses
 * pool_maintenance.c       waves
 * pool_sizing.c            VMs given to other pools and taken */

enum {
    MACHINES_RETRY_MS = 150 /* of a write that was not accepted */
};

typedef enum {
    VM_CORDONED,  /* being made empty */
    VM_CLAIMING,  /* the wave's record is being written */
    VM_REQUESTED, /* the order is requested */
    VM_RETURNED   /* it serves again; the wave's record is to say so */
} VmPhase;

typedef enum {
    PLAN_MAINTENANCE,
    PLAN_RELEASE, /* to the spare pool */
    PLAN_ACQUIRE  /* from the spare pool */
} PlanKind;

/* What this owner is doing with one VM. */
typedef struct {
    char machine[AQ_VM_ID_SIZE];
    char vm[AQ_VM_ID_SIZE]; /* its incarnation when we began, or "" */
    PlanKind kind;
    VmPhase phase;
    int64_t wave;
    int64_t request_number; /* 0: nothing is requested */
    bool is_ordered;        /* the response says that the order was accepted */
    AqTime ordered_at;
    AqTime since;
    AqTime retry_at;
} Plan;

struct PoolMachines {
    NodeContext *node;
    WaveTable *waves;
    PoolOwner *owner;
    char pool[64];
    uint64_t fence;
    bool is_dropped;
    int calls;
    AqTime due;
    AqTime log_due;
    int64_t last_request_number;
    bool are_requests_changed;
    size_t requested_vms; /* VMs that the spare pool does not have */
    bool is_writing_requests;
    AqTime requests_due;
    PrefixView *responses;
    bool is_writing_wave;
    GArray *wave_changes; /* of this round, not written yet */
    GHashTable *plans;    /* machine -> Plan */
    GArray *vms;          /* of VmCopy, of this round */
    /* The platform's list of VMs. */
    GArray *list; /* of AqMachine */
    AqTime listed_at;
    AqTime list_requested_at; /* of this list */
    AqTime listing_since;     /* of the one under way */
    bool is_listing;
};

typedef struct {
    char vm[AQ_VM_ID_SIZE];
    char machine[AQ_VM_ID_SIZE];
    bool is_usable;
    bool is_answering;
    size_t tasks;
    size_t perpetual;
    int64_t cpu;
    AqTime idle_since;
    AqTime silent_since;
} VmCopy;

AqTime machines_now(const PoolMachines *self);
/* Ends a call; false when the machines were dropped, which may free them. */
bool machines_end_call(PoolMachines *self);

/* ---- pool_machines.c */
/* The incarnation of a VM that answers, or else any; NULL when there is
 * none. */
const VmCopy *machines_find_vm(const PoolMachines *self, const char *machine);
bool machines_is_incarnation_over(const PoolMachines *self,
                                  const char *incarnation);
Plan *machines_find_plan(const PoolMachines *self, const char *machine);
Plan *machines_add_plan(PoolMachines *self, const char *machine,
                        const char *vm, PlanKind kind);
/* Frees the plan; its VM serves on. */
void machines_remove_plan(PoolMachines *self, const Plan *plan);
Plan *machines_cordon(PoolMachines *self, const VmCopy *vm, PlanKind kind,
                      const char *reason);
size_t machines_count_plans(const PoolMachines *self, PlanKind kind);
/* NULL when the configuration has none. */
const char *machines_spare_pool(const PoolMachines *self);
/* Whether the platform's list is at most so old; reads it again if not. */
bool machines_need_list(PoolMachines *self, AqTime age);
const AqMachine *machines_find_listed(const PoolMachines *self,
                                      const char *machine);

/* ---- pool_machine_requests.c */
void machines_add_request(PoolMachines *self, Plan *plan);
void machines_write_requests(PoolMachines *self);
void machines_watch_responses(PoolMachines *self);

/* ---- pool_maintenance.c */
void machines_maintenance_round(PoolMachines *self);
GArray *machines_new_wave_changes(void);

/* ---- pool_sizing.c */
void machines_sizing_round(PoolMachines *self, AqScheduler *s);

#endif
