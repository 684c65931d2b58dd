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
    /* Wait before a failed write to the store, or a failed request for the
     * platform's list of VMs, is repeated. */
    MACHINES_RETRY_MS = 150
};

typedef enum {
    /* The VM gets no new tasks; the plan's order is requested from the machine
     * coordinator when the VM's tasks have ended. */
    VM_CORDONED,
    /* The VM's maintenance is being written to the wave's record as begun.
     * The wave's cap limits how many VMs have begun maintenance at a time. */
    VM_CLAIMING,
    /* The plan's order was requested from the machine coordinator, whose
     * response is awaited or, once is_ordered is set, has arrived. */
    VM_REQUESTED,
    /* The VM serves again after its maintenance, which the wave's record does
     * not show as done yet. */
    VM_RETURNED
} VmPhase;

typedef enum {
    PLAN_MAINTENANCE,
    /* Move from this pool to the spare pool, or to another pool that requests
     * VMs. */
    PLAN_RELEASE,
    PLAN_ACQUIRE /* move from the spare pool to this one */
} PlanKind;

/* Maintenance or move of one VM that this pool's owner has planned, and its
 * progress. */
typedef struct {
    char machine[AQ_VM_ID_SIZE]; /* VM id */
    /* The VM's incarnation when the plan began; "": the pool's scheduler had
     * none. */
    char vm[AQ_VM_ID_SIZE];
    int64_t born_ms; /* of that incarnation, as AqVmReport.born_ms */
    PlanKind kind;
    VmPhase phase;
    int64_t wave; /* number of the maintenance wave; 0 for moves */
    /* Number of the request in which the plan's order is requested from the
     * machine coordinator; 0: not requested yet. */
    int64_t request_number;
    /* The machine coordinator responded that the platform accepted the plan's
     * order or had carried it out before. */
    bool is_ordered;
    /* When the machine coordinator's response that set is_ordered arrived. */
    AqTime ordered_at;
    /* When the plan began or, once the plan's order is requested, when that
     * request was made. */
    AqTime started_at;
    /* The VM's state is not written to the wave's record before this time; 0:
     * no write has been delayed. */
    AqTime retry_at;
} Plan;

struct PoolMachines {
    NodeContext *node;
    WaveTable *waves;
    PoolOwner *owner;
    char pool[64];
    uint64_t fence; /* store revision at which this node claimed "pool" */
    /* The PoolMachines was dropped (pool_machines_drop) and is freed once
     * "calls" is 0. */
    bool is_dropped;
    /* Number of calls to the store and the platform in progress. */
    int calls;
    AqTime next_round_at;
    AqTime next_log_at; /* earliest time of the next pool_load log event */
    /* of the last pool_load event: its time, and AqLoop_BusyTime() then */
    AqTime logged_at;
    AqTime logged_busy;
    /* Highest number that a request to the machine coordinator got so far. */
    int64_t last_request_number;
    /* This pool's requests to the machine coordinator have changed since they
     * were last written to the store. */
    bool are_requests_changed;
    /* Number of VMs that the pool needs beyond those that it acquires from the
     * spare pool. */
    size_t requested_vms;
    bool is_writing_requests;
    /* This pool's requests to the machine coordinator are not written to the
     * store before this time. */
    AqTime requests_due;
    /* View of the machine coordinator's responses to this pool's requests. */
    PrefixView *responses;
    bool is_writing_wave;
    /* Of WaveChange: new states of VMs set in the current round, written to
     * the wave's record at the end of the round. */
    GArray *wave_changes;
    GHashTable *plans; /* VM id -> Plan */
    /* Of VmCopy: the pool's VMs as of the last round, in the order of their
     * load, idle ones first. */
    GArray *vms;
    /* Of AqMachine: the platform's list of VMs as last received. */
    GArray *list;
    /* When "list" was received.  A failed request for a new list adds
     * MACHINES_RETRY_MS, which delays the next request by as much. */
    AqTime listed_at;
    /* When "list", as last received, was requested from the platform. */
    AqTime list_requested_at;
    /* When the platform's list of VMs was last requested; while is_listing is
     * set, the platform has not responded to this request. */
    AqTime listing_since;
    bool is_listing;
};

/* Copy of an AqScheduledVm: state of one incarnation of a VM in the pool's
 * scheduler. */
typedef struct {
    char vm[AQ_VM_ID_SIZE];      /* id of the VM's incarnation */
    char machine[AQ_VM_ID_SIZE]; /* VM id */
    int64_t born_ms;             /* as AqVmReport.born_ms */
    bool is_usable;
    bool is_answering;
    size_t tasks;
    size_t perpetual; /* number of perpetual tasks, included in "tasks" */
    int64_t cpu_millis;
    AqTime idle_since;
    AqTime silent_since;
} VmCopy;

AqTime machines_now(const PoolMachines *self);
/* Counts a call to the store or the platform as ended.  Returns false if
 * "self" was dropped, in which case it may have been freed. */
bool machines_end_call(PoolMachines *self);

/* ---- pool_machines.c */
/* Returns the incarnation of a VM that replies to orders, or else any of the
 * VM's incarnations; NULL if the pool's scheduler has none.  The result is
 * valid until the next round. */
const VmCopy *machines_find_vm(const PoolMachines *self, const char *machine);
/* Whether an incarnation of a VM doesn't reply to orders, or the pool's
 * scheduler doesn't have it. */
bool machines_is_incarnation_over(const PoolMachines *self,
                                  const char *incarnation);
/* Returns the plan for a VM, or NULL if there is none; "self" owns the
 * plan. */
Plan *machines_find_plan(const PoolMachines *self, const char *machine);
/* Adds a plan in phase VM_CORDONED for the VM with id "machine", and removes
 * any other plan for the VM.  "vm" is the VM's incarnation; "": the pool's
 * scheduler has none. */
Plan *machines_add_plan(PoolMachines *self, const char *machine,
                        const char *vm, PlanKind kind);
/* Frees the plan and withdraws the request for the plan's order; the plan's VM
 * is no longer cordoned. */
void machines_remove_plan(PoolMachines *self, const Plan *plan);
/* Cordons the VM and adds a plan for it; "reason" is logged. */
Plan *machines_cordon(PoolMachines *self, const VmCopy *vm, PlanKind kind,
                      const char *reason);
size_t machines_count_plans(const PoolMachines *self, PlanKind kind);
/* Returns the name of the spare pool; NULL when the configuration has none. */
const char *machines_spare_pool(const PoolMachines *self);
/* Returns whether the platform's list of VMs is at most "max_age_ms" old;
 * requests a new list if not. */
bool machines_ensure_list(PoolMachines *self, AqTime max_age_ms);
/* Returns the entry of a VM in the platform's list, or NULL if it has none;
 * valid until the next list is received. */
const AqMachine *machines_find_listed(const PoolMachines *self,
                                      const char *machine);

/* ---- pool_machine_requests.c */
/* Requests a plan's order from the machine coordinator; the next
 * machines_write_requests() writes the request to the store. */
void machines_add_request(PoolMachines *self, Plan *plan);
/* Writes to the store this pool's requests to the machine coordinator, if they
 * have changed, no write of them is in progress, and the wait after a failed
 * write has passed. */
void machines_write_requests(PoolMachines *self);
/* Starts to watch the machine coordinator's responses to this pool's
 * requests. */
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
