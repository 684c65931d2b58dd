#ifndef SITE_SIM_H
#define SITE_SIM_H

#include <glib.h>

#include "aq_list.h"
#include "aq_node.h"
#include "aq_random.h"
#include "aq_store.h"
#include "aq_worker_client.h"

/* Simulation of a site on a virtual clock: several real nodes (AqNode) in one
 * process, the platform's store that they share, and VMs that run tasks.  The
 * seed determines the whole simulation.  Only the nodes' clock and their
 * clients of the store and of the VMs are replaced, by symbols that the linker
 * wraps (see CMakeLists.txt).
 *
 * site_sim.c        the clock, events, nodes, checks
 * site_sim_store.c  the store
 * site_sim_vms.c    the VMs
 * site_faults.c     random jobs and faults
 *
 * Times are ms of the virtual clock. */

enum {
    SIM_NODES = 3,
    SIM_POOLS = 2,
    /* a VM shortens a longer lease to this one */
    SIM_LONGEST_LEASE_MS = 10000,
    SIM_VMS = 6, /* VM i is in pool i % SIM_POOLS */
    SIM_STEP_MS = 10
};

typedef struct Sim Sim;
typedef struct SimNode SimNode;
typedef struct SimCall SimCall;
typedef struct SimStore SimStore;
typedef struct SimVm SimVm;

typedef void (*SimEventFn)(Sim *sim, void *context);

/* A call of a node to the store or to a VM; freed with the simulation, since
 * it may be carried out long after it has ended for the node. */
struct SimCall {
    AqLink link; /* in the node's list of calls until the call has ended */
    Sim *sim;
    SimNode *node;
    bool has_ended; /* its node has got a reply or a failure, or is gone */
    AqTime ends_by; /* when the call ends without a reply */
    /* Calls the "done" function, with a reply or as a call without one. */
    void (*end)(SimCall *call, bool is_answered);
    void (*free)(SimCall *call);
};

typedef enum {
    SIM_CUT_REFUSED, /* 503 at once: nothing was done */
    SIM_CUT_SILENT,  /* not carried out, no reply */
    SIM_CUT_ANSWERS, /* carried out, the answer is lost */
    SIM_CUT_MODES
} SimCutMode;

/* Kinds of calls to the store, as bits. */
enum {
    SIM_CALL_GET = 1,
    SIM_CALL_LIST = 2,
    SIM_CALL_CHANGES = 4,
    SIM_CALL_COMMIT = 8,
    SIM_CALL_GRANT = 16,
    SIM_CALL_KEEP = 32,
    SIM_CALL_END = 64,
    SIM_CALL_ANY = 127
};

struct SimNode {
    Sim *sim;
    unsigned number;
    AqSettings settings;
    char id[16];
    AqNode *node; /* NULL while the node is down */
    AqLink calls; /* of SimCall */
    /* Of SimCall: replies and timeouts that have arrived and are not yet
     * processed, oldest first. */
    GQueue inbox;
    AqTimer inbox_timer;
    AqTime frozen_until;
    /* The node freezes for this long when it next sends an order; 0: not. */
    AqTime freezes_sending_ms;
    /* After a freeze, replies count although their call's time has passed, as
     * when the host was suspended. */
    bool was_suspended;
    AqTime starts_at; /* of a node that is down */
    AqTime ends_at;   /* of a node that stops; AQ_TIME_NEVER: it does not */
    /* Faults of the path to the store. */
    AqTime store_cut_until;
    unsigned store_cut_calls; /* bits of the kinds of calls that fail */
    SimCutMode store_cut_mode;
    AqTime vm_cut_until[SIM_VMS];
    AqStore store;
    AqWorkerClient workers;
};

typedef enum {
    SIM_FAULT_KILL,
    SIM_FAULT_STOP,
    SIM_FAULT_FREEZE,
    SIM_FAULT_FREEZE_SENDING,
    SIM_FAULT_REVOKE, /* a node's keys go while its lease goes on */
    SIM_FAULT_CUT_STORE,
    SIM_FAULT_CUT_VMS, /* a node does not reach some VMs */
    SIM_FAULT_STORE_SLOW,
    SIM_FAULT_STORE_LOSE,
    SIM_FAULT_STORE_DELAY,
    SIM_FAULT_COMPACT,
    SIM_FAULT_STORE_DOWN,
    SIM_FAULT_VM_CRASH,
    SIM_FAULT_VM_SILENT,
    SIM_FAULT_VM_UNLISTED,
    SIM_FAULT_VM_REFUSES,
    SIM_FAULT_VM_LOSES,
    SIM_FAULT_VM_DELAYS,
    SIM_FAULT_VM_STALLS,
    SIM_FAULT_KINDS
} SimFault;

struct Sim {
    AqRandom random;
    /* Of the choice of jobs and faults, so that it does not depend on what
     * nodes do. */
    AqRandom fault_random;
    unsigned without; /* bits of the kinds of faults that are left out */
    uint64_t skipped; /* bits of the numbers of faults left out */
    unsigned fault_count;
    AqTime now;
    uint64_t sequence;
    GSequence *events;
    GPtrArray *calls; /* of SimCall: all calls so far; owned */
    SimNode nodes[SIM_NODES];
    SimStore *store;
    SimVm *vms[SIM_VMS];
    unsigned incarnation_count; /* of all VMs */
    GHashTable *task_states;    /* name of a task -> state */
    unsigned job_count;
    unsigned start_count;
    unsigned done_count;
    char violation[300]; /* the first one; "": none */
};

/* ---- site_sim.c */

/* Log lines and a line for each event of the simulation go to stderr. */
void sim_set_trace(bool is_traced);
void sim_trace(const Sim *sim, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void sim_violation(Sim *sim, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

Sim *sim_create(uint64_t seed);
void sim_destroy(Sim *sim);
/* Advances the simulation by "ms", or to the first violation. */
void sim_run(Sim *sim, AqTime ms);
bool sim_draw(Sim *sim, unsigned permille);
AqTime sim_between(Sim *sim, AqTime least, AqTime most);
void sim_at(Sim *sim, AqTime time, SimEventFn fn, void *context);

/* Registers a call of the node that ends without a reply after timeout_ms. */
void sim_begin_call(SimNode *node, SimCall *call, AqTime timeout_ms);
/* When a call that the node makes now leaves it. */
AqTime sim_departure(const SimNode *node);
/* Lets the call's reply arrive at its node, or its failure. */
void sim_reply(SimCall *call, AqTime at);
void sim_fail(SimCall *call, AqTime at);

void sim_kill_node(Sim *sim, unsigned node, AqTime down_ms);
void sim_stop_node(Sim *sim, unsigned number, AqTime down_ms);
void sim_freeze_node(Sim *sim, unsigned number, AqTime ms, bool is_suspended);
/* Number of the node that owns the pool by the store; -1: none. */
int sim_owner(const Sim *sim, unsigned pool);
/* The kinds of calls to the store in the bits of "calls" fail for the node. */
void sim_cut_store(Sim *sim, unsigned number, AqTime ms, SimCutMode mode,
                   unsigned calls);
/* The node does not reach the VMs in the bits of "vms". */
void sim_cut_vms(Sim *sim, unsigned node, AqTime ms, unsigned vms);

/* ---- site_sim_store.c */
SimStore *sim_store_create(Sim *sim);
void sim_store_destroy(SimStore *store);
const AqStoreOps *sim_store_ops(void);
void sim_store_step(Sim *sim);
void sim_store_put(Sim *sim, const char *key, const char *value, size_t size);
void sim_store_remove(Sim *sim, const char *key);
/* Value of the key as text; NULL: none.  Borrowed. */
const char *sim_store_value(const Sim *sim, const char *key);
/* Removes the keys that the node's leases hold; the leases go on. */
void sim_store_revoke(Sim *sim, unsigned node);
void sim_store_compact(Sim *sim);
typedef enum {
    SIM_STORE_IS_SLOW,
    SIM_STORE_LOSES,  /* answers */
    SIM_STORE_DELAYS, /* carries writes out 1 to 6 s later */
    SIM_STORE_TROUBLES
} SimStoreTrouble;
void sim_store_trouble(Sim *sim, SimStoreTrouble trouble, AqTime ms,
                       unsigned permille);
/* Turns all nodes away; leases pause or run on meanwhile. */
void sim_store_down(Sim *sim, AqTime ms, bool do_leases_pause);

/* ---- site_sim_vms.c */
SimVm *sim_vm_create(Sim *sim, unsigned number);
void sim_vm_destroy(SimVm *vm);
const AqWorkerClientOps *sim_worker_ops(void);
void sim_vms_step(Sim *sim);
/* Number of a VM that has a run of the pool; -1: none. */
int sim_find_run(const Sim *sim, unsigned pool);
void sim_crash_vm(Sim *sim, unsigned number, AqTime down_ms);
typedef enum {
    SIM_VM_IS_SILENT,
    SIM_VM_IS_UNLISTED,
    SIM_VM_REFUSES, /* orders, with 503 */
    SIM_VM_LOSES,   /* replies */
    SIM_VM_DELAYS,  /* carries orders out 2 to 12 s later, without a reply */
    SIM_VM_STALLS,  /* its runs report no progress */
    SIM_VM_TROUBLES
} SimVmTrouble;
void sim_vm_trouble(Sim *sim, unsigned number, SimVmTrouble trouble, AqTime ms,
                    unsigned permille);

/* ---- site_faults.c */
void sim_add_job(Sim *sim);
/* Adds a job of one task to pool 0. */
void sim_add_task(Sim *sim, AqTime duration_ms);
/* Adds random jobs and injects random faults until "end"; 20 s later the
 * simulation ends. */
void sim_play(Sim *sim);

#endif
