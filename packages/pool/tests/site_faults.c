#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_job_spec.h"
#include "site_sim.h"
#include "store_keys.h"

enum {
    FIRST_FAULT_MS = 2500,
    LAST_FAULT_MS = 40000,
    END_MS = 55000
};

static unsigned
pick(Sim *sim, unsigned count)
{
    return (unsigned)AqRandom_Below(&sim->fault_random, count);
}

static bool
chance(Sim *sim, unsigned permille)
{
    return pick(sim, 1000) < permille;
}

static AqTime
between(Sim *sim, AqTime least, AqTime most)
{
    return least + (AqTime)pick(sim, (unsigned)(most - least + 1));
}

/* ---- Jobs --------------------------------------------------------------- */

static void
add_job(Sim *sim, unsigned number, unsigned steps, unsigned tasks,
        AqTime duration, unsigned failing)
{
    char pool[8];
    char queue[8];
    char text[40];
    AqJobSpec spec = {.step_count = steps};
    snprintf(pool, sizeof(pool), "p%u", number);
    snprintf(queue, sizeof(queue), "q%u", number);
    snprintf(text, sizeof(text), "%lld 0 %u", (long long)duration, failing);
    snprintf(spec.id, sizeof(spec.id), "j%u", sim->job_count++);
    spec.queue = strdup(queue);
    spec.text = strdup(text);
    spec.submitted_ms = sim->now;
    spec.steps = calloc(spec.step_count, sizeof(*spec.steps));
    for (size_t i = 0; i < spec.step_count; i++) {
        AqStepSpec *step = &spec.steps[i];
        step->task_count = tasks;
        step->cpu_millis = 500;
        step->memory_mb = 100;
        step->estimate_ms = duration;
        if (i > 0) {
            step->after = calloc(1, sizeof(*step->after));
            step->after_count = 1;
        }
    }
    AqBuffer bytes;
    AqBuffer_Init(&bytes);
    AqJobSpec_Encode(&spec, &bytes);
    sim_trace(sim, "job %s of pool %u: %u steps of %u tasks, %lld ms", spec.id,
              number, steps, tasks, (long long)duration);
    sim_store_put(sim, key_of_job(pool, spec.id), AqBuffer_Text(&bytes),
                  bytes.size);
    AqBuffer_Clear(&bytes);
    AqJobSpec_Clear(&spec);
}

void
sim_add_job(Sim *sim)
{
    unsigned pool = pick(sim, SIM_POOLS);
    unsigned steps = 1 + pick(sim, 2);
    unsigned tasks = 1 + pick(sim, 3);
    AqTime duration =
        chance(sim, 400) ? between(sim, 6000, 30000) : between(sim, 100, 3000);
    add_job(sim, pool, steps, tasks, duration, chance(sim, 300) ? 100 : 0);
}

void
sim_add_task(Sim *sim, AqTime duration_ms)
{
    add_job(sim, 0, 1, 1, duration_ms, 0);
}

/* ---- Faults ------------------------------------------------------------- */

/* Injects a fault of the given kind into a node or VM.  All random numbers
 * are drawn also if the fault is left out. */
static void
inject(Sim *sim, SimFault fault, unsigned target)
{
    AqTime least = fault == SIM_FAULT_KILL || fault == SIM_FAULT_STOP ||
                           fault == SIM_FAULT_VM_CRASH
                       ? 0
                       : 100;
    AqTime most = fault == SIM_FAULT_CUT_VMS || fault >= SIM_FAULT_VM_SILENT
                      ? 15000
                      : 6000;
    AqTime ms = between(sim, least, most);
    unsigned permille = 50 + pick(sim, 950);
    SimCutMode mode = pick(sim, SIM_CUT_MODES);
    unsigned some = 1 + pick(sim, 126);
    bool is_all = chance(sim, 400);
    bool is_watch = chance(sim, 400);
    unsigned number = sim->fault_count++;
    if ((sim->without & (1U << fault)) != 0 ||
        (number < 64 && (sim->skipped >> number & 1) != 0)) {
        return;
    }
    sim_trace(sim, "fault %u of kind %d", number, (int)fault);
    switch (fault) {
    case SIM_FAULT_KILL:
        sim_kill_node(sim, target, ms / 2);
        break;
    case SIM_FAULT_STOP:
        sim_stop_node(sim, target, ms / 3);
        break;
    case SIM_FAULT_FREEZE:
        sim_freeze_node(sim, target, ms, is_all);
        break;
    case SIM_FAULT_FREEZE_SENDING:
        sim->nodes[target].freezes_sending_ms = ms;
        break;
    case SIM_FAULT_REVOKE:
        sim_store_revoke(sim, target);
        break;
    case SIM_FAULT_CUT_STORE:
        sim_cut_store(sim, target, ms, mode,
                      is_all     ? SIM_CALL_ANY
                      : is_watch ? SIM_CALL_CHANGES
                                 : some);
        break;
    case SIM_FAULT_CUT_VMS:
        sim_cut_vms(sim, target, ms, is_all ? 63U : some);
        break;
    case SIM_FAULT_STORE_SLOW:
    case SIM_FAULT_STORE_LOSE:
    case SIM_FAULT_STORE_DELAY:
        sim_store_trouble(sim, (SimStoreTrouble)(fault - SIM_FAULT_STORE_SLOW),
                          ms, permille);
        break;
    case SIM_FAULT_COMPACT:
        sim_store_compact(sim);
        break;
    case SIM_FAULT_STORE_DOWN:
        sim_store_down(sim, ms, is_all);
        break;
    case SIM_FAULT_VM_CRASH:
        sim_crash_vm(sim, target, ms / 2);
        break;
    default:
        sim_vm_trouble(sim, target,
                       (SimVmTrouble)(fault - SIM_FAULT_VM_SILENT), ms,
                       permille);
        break;
    }
}

static SimFault
pick_node_fault(Sim *sim)
{
    static const SimFault faults[] = {
        SIM_FAULT_KILL,           SIM_FAULT_STOP,      SIM_FAULT_FREEZE,
        SIM_FAULT_FREEZE_SENDING, SIM_FAULT_REVOKE,    SIM_FAULT_REVOKE,
        SIM_FAULT_CUT_STORE,      SIM_FAULT_CUT_STORE,
    };
    return faults[pick(sim, G_N_ELEMENTS(faults))];
}

/* The owner of a pool loses the pool, or may do so. */
static void
on_takeover(Sim *sim, void *context)
{
    int owner = sim_owner(sim, GPOINTER_TO_UINT(context));
    SimFault fault = pick_node_fault(sim);
    inject(sim, fault, owner >= 0 ? (unsigned)owner : pick(sim, SIM_NODES));
}

/* Owners of a pool lose it within seconds of one another, while some VMs are
 * reachable only from some nodes. */
static void
follow_takeovers(Sim *sim)
{
    unsigned pool = pick(sim, SIM_POOLS);
    unsigned count = 1 + pick(sim, 4);
    AqTime at = sim->now;
    for (unsigned i = 0; i < SIM_NODES; i++) {
        if (chance(sim, 500)) {
            inject(sim, SIM_FAULT_CUT_VMS, i);
        }
    }
    /* Leases on VMs that the owner does not reach run out within this. */
    at += chance(sim, 400) ? between(sim, 0, 6000) : 0;
    for (unsigned i = 0; i < count; i++) {
        sim_at(sim, at, on_takeover, GUINT_TO_POINTER(pool));
        at += between(sim, 50, 2500);
    }
}

static void
on_next(Sim *sim, void *context)
{
    AqTime end = *(const AqTime *)context;
    for (unsigned i = pick(sim, 4); i > 0; i--) {
        sim_add_job(sim);
    }
    switch (pick(sim, 7)) {
    case 0:
        inject(sim, SIM_FAULT_STORE_SLOW + pick(sim, 5), 0);
        break;
    case 1:
    case 2:
        inject(sim, SIM_FAULT_VM_CRASH + pick(sim, 7), pick(sim, SIM_VMS));
        break;
    case 3:
        inject(sim, pick_node_fault(sim), pick(sim, SIM_NODES));
        break;
    case 4:
        inject(sim, SIM_FAULT_CUT_VMS, pick(sim, SIM_NODES));
        break;
    default:
        follow_takeovers(sim);
        break;
    }
    AqTime next = sim->now + between(sim, 50, 4000);
    if (next < end) {
        sim_at(sim, next, on_next, context);
    }
}

void
sim_play(Sim *sim)
{
    AqTime end = sim->now + LAST_FAULT_MS;
    sim_at(sim, sim->now + FIRST_FAULT_MS, on_next, &end);
    sim_run(sim, END_MS);
}
