#ifndef POOL_MACHINES_PRIVATE_H
#define POOL_MACHINES_PRIVATE_H

#include "aq_machine_requests.h"
#include "store_keys.h"
#include "pool_machines.h"
#include "prefix_view.h"

/* Shared by the files that implement PoolMachines:
 * pool_machines.c          VMs of the pool, plans, the platform's list, rounds
 * pool_machine_requests.c  requests to the machine coordinator, its responses
 * pool_maintenance.c       maintenance waves
 * pool_sizing.c            VMs acquired from the spare pool and released */

enum {
    MACHINES_RETRY_MS = 150 /* after a write or a listing that failed */
};

typedef enum {
    VM_CORDONED,  /* gets no new tasks; waits until its tasks have ended */
    VM_CLAIMING,  /* a slot is being claimed by a write of the wave's record */
    VM_REQUESTED, /* the order is requested from the machine coordinator */
    VM_RETURNED   /* serves again; the wave's record is to show it as done */
} VmPhase;

typedef enum {
    PLAN_MAINTENANCE,
    PLAN_RELEASE, /* to the spare pool */
    PLAN_ACQUIRE  /* from the spare pool */
} PlanKind;

/* What this owner is doing with one VM, and how far it has come. */
typedef struct {
    char machine[AQ_VM_ID_SIZE]; /* VM id */
    char vm[AQ_VM_ID_SIZE]; /* its incarnation when the plan began, or "" */
    PlanKind kind;
    VmPhase phase;
    int64_t wave;           /* number of the wave; PLAN_MAINTENANCE only */
    int64_t request_number; /* 0: no order is requested */
    bool is_ordered;        /* the response says that the order was accepted */
    AqTime ordered_at;      /* when that response was received */
    AqTime started_at;      /* when the plan began; later, its request */
    AqTime retry_at; /* earliest time of the next write of the wave's record */
} Plan;

struct PoolMachines {
    NodeContext *node;
    WaveTable *waves;
    PoolOwner *owner;
    char pool[64];
    uint64_t fence;  /* of the pool's ownership */
    bool is_dropped; /* freed as soon as "calls" is 0 */
    int calls;       /* to the store or the platform, in progress */
    AqTime next_round_at;
    AqTime next_log_at;          /* of the pool_load event */
    int64_t last_request_number; /* highest request number used so far */
    bool are_requests_changed;   /* since the last write of the requests */
    size_t requested_vms; /* VMs needed beyond those of the spare pool */
    bool is_writing_requests;
    AqTime requests_due;   /* earliest time of the next write of requests */
    PrefixView *responses; /* of the machine coordinator to this pool */
    bool is_writing_wave;
    GArray *wave_changes; /* of WaveChange: of this round, not written yet */
    GHashTable *plans;    /* VM id -> Plan */
    GArray *vms; /* of VmCopy: as of this round, in the order of their load */
    /* The platform's list of VMs. */
    GArray *list; /* of AqMachine */
    /* When it was received; a failed attempt adds MACHINES_RETRY_MS. */
    AqTime listed_at;
    AqTime list_requested_at; /* when this list was requested */
    AqTime listing_since;     /* when the list in progress was requested */
    bool is_listing;
};

/* Copy of an AqScheduledVm, whose fields aq_scheduler.h describes. */
typedef struct {
    char vm[AQ_VM_ID_SIZE];      /* id of the incarnation */
    char machine[AQ_VM_ID_SIZE]; /* VM id */
    bool is_usable;
    bool is_answering;
    size_t tasks;
    size_t perpetual; /* of "tasks" */
    int64_t cpu_millis;
    AqTime idle_since;
    AqTime silent_since;
} VmCopy;

AqTime machines_now(const PoolMachines *self);
/* Ends a call.  Returns false if "self" was dropped; it may be freed then. */
bool machines_end_call(PoolMachines *self);

/* ---- pool_machines.c */
/* Returns the incarnation of a VM that answers, or else any; NULL when there
 * is none.  Valid until the next round. */
const VmCopy *machines_find_vm(const PoolMachines *self, const char *machine);
/* Whether an incarnation doesn't answer, or the scheduler doesn't have it. */
bool machines_is_incarnation_over(const PoolMachines *self,
                                  const char *incarnation);
/* Returns the plan for a VM, or NULL; "self" owns it. */
Plan *machines_find_plan(const PoolMachines *self, const char *machine);
/* Adds a plan in phase VM_CORDONED, instead of any other for the VM.  "vm" is
 * its incarnation, or "". */
Plan *machines_add_plan(PoolMachines *self, const char *machine,
                        const char *vm, PlanKind kind);
/* Frees the plan and withdraws its request; the VM is no longer cordoned. */
void machines_remove_plan(PoolMachines *self, const Plan *plan);
/* Cordons the VM and adds a plan for it; "reason" is logged. */
Plan *machines_cordon(PoolMachines *self, const VmCopy *vm, PlanKind kind,
                      const char *reason);
size_t machines_count_plans(const PoolMachines *self, PlanKind kind);
/* Returns the name of the spare pool; NULL when the configuration has none. */
const char *machines_spare_pool(const PoolMachines *self);
/* Whether the platform's list is at most this old, ms; requests a new one if
 * not. */
bool machines_ensure_list(PoolMachines *self, AqTime max_age_ms);
/* Returns the list's entry of a VM, or NULL; valid until the next list. */
const AqMachine *machines_find_listed(const PoolMachines *self,
                                      const char *machine);

/* ---- pool_machine_requests.c */
/* Requests the order of a plan, with the next write of requests. */
void machines_add_request(PoolMachines *self, Plan *plan);
/* Writes the requests if they have changed and no write is in progress. */
void machines_write_requests(PoolMachines *self);
/* Starts to watch the responses of the machine coordinator. */
void machines_watch_responses(PoolMachines *self);

/* ---- pool_maintenance.c */
/* Advances the maintenance of the pool's VMs in all waves. */
void machines_maintenance_round(PoolMachines *self);
/* Returns an empty array of WaveChange, which the caller frees. */
GArray *machines_new_wave_changes(void);

/* ---- pool_sizing.c */
/* Acquires or releases VMs according to the load of the pool's scheduler. */
void machines_sizing_round(PoolMachines *self, AqScheduler *s);

#endif
