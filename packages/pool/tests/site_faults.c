#include <stdio.h>
#include <string.h>

#include "aq_job_spec.h"
#include "site_sim.h"
#include "store_keys.h"

static unsigned
pick(Sim *sim, unsigned count)
{
    return (unsigned)AqRandom_Below(&sim->random, count);
}

/* ---- Jobs --------------------------------------------------------------- */

void
sim_add_job(Sim *sim)
{
    char pool[8];
    char queue[8];
    char text[40];
    unsigned number = pick(sim, SIM_POOLS);
    AqJobSpec spec = {.step_count = 1 + pick(sim, 2)};
    AqTime duration = sim_draw(sim, 400) ? sim_between(sim, 6000, 30000)
                                         : sim_between(sim, 100, 3000);
    snprintf(pool, sizeof(pool), "p%u", number);
    snprintf(queue, sizeof(queue), "q%u", number);
    snprintf(text, sizeof(text), "%lld 0 %u", (long long)duration,
             sim_draw(sim, 300) ? 100U : 0U);
    snprintf(spec.id, sizeof(spec.id), "j%u", sim->job_count++);
    spec.queue = strdup(queue);
    spec.text = strdup(text);
    spec.submitted_ms = sim->now;
    spec.steps = calloc(spec.step_count, sizeof(*spec.steps));
    for (size_t i = 0; i < spec.step_count; i++) {
        AqStepSpec *step = &spec.steps[i];
        step->task_count = 1 + pick(sim, 3);
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
    sim_store_put(sim, key_of_job(pool, spec.id), AqBuffer_Text(&bytes),
                  bytes.size);
    AqBuffer_Clear(&bytes);
    AqJobSpec_Clear(&spec);
}

/* ---- Faults ------------------------------------------------------------- */

static void
cut_store(Sim *sim, unsigned node, AqTime until)
{
    SimNode *cut = &sim->nodes[node];
    cut->store_cut_until = until;
    cut->store_cut_mode = (int)pick(sim, SIM_CUT_MODES);
    /* All calls, or watches alone, or some kinds. */
    cut->store_cut_calls = sim_draw(sim, 500)   ? 127U
                           : sim_draw(sim, 500) ? 4U
                                                : 1 + pick(sim, 126);
    sim_trace(sim, "%s loses store calls %u, mode %d, until %lld", cut->id,
              cut->store_cut_calls, cut->store_cut_mode,
              (long long)(until - 1000000));
}

static void
cut_vms(Sim *sim, unsigned node, AqTime until)
{
    unsigned permille = sim_draw(sim, 300) ? 1000 : 400;
    for (unsigned i = 0; i < SIM_VMS; i++) {
        if (sim_draw(sim, permille)) {
            sim_trace(sim, "n-%u does not reach vm-%u until %lld", node, i,
                      (long long)(until - 1000000));
            sim->nodes[node].vm_cut_until[i] = until;
        }
    }
}

static void
node_fault(Sim *sim, unsigned node)
{
    AqTime soon = sim->now + sim_between(sim, 200, 6000);
    switch (pick(sim, 9)) {
    case 0:
        sim_kill_node(sim, node, sim_between(sim, 0, 3000));
        break;
    case 1:
        sim_stop_node(sim, node, sim_between(sim, 0, 2000));
        break;
    case 2:
    case 3:
        sim_freeze_node(sim, node, sim_between(sim, 100, 6000),
                        sim_draw(sim, 500));
        break;
    case 4:
    case 5:
        sim_store_revoke(sim, node);
        break;
    case 6:
        cut_store(sim, node, soon);
        break;
    default:
        cut_vms(sim, node, sim->now + sim_between(sim, 500, 12000));
        break;
    }
}

static void
store_fault(Sim *sim)
{
    AqTime until = sim->now + sim_between(sim, 200, 4000);
    switch (pick(sim, 5)) {
    case 0:
        sim_store_slow(sim, until);
        break;
    case 1:
        sim_store_lose(sim, until, 50 + pick(sim, 500));
        break;
    case 2:
        sim_store_delay(sim, until, 50 + pick(sim, 500));
        break;
    case 3:
        sim_store_compact(sim);
        break;
    default:
        sim_store_down(sim, sim->now + sim_between(sim, 200, 4000),
                       sim_draw(sim, 500));
        break;
    }
}

static void
vm_fault(Sim *sim)
{
    unsigned vm = pick(sim, SIM_VMS);
    AqTime until = sim->now + sim_between(sim, 200, 8000);
    switch (pick(sim, 6)) {
    case 0:
        sim_crash_vm(sim, vm, sim_between(sim, 0, 3000));
        break;
    case 1:
        sim_silence_vm(sim, vm, until);
        break;
    case 2:
        sim_unlist_vm(sim, vm, until);
        break;
    case 3:
        sim_vm_refuse(sim, vm, until, 100 + pick(sim, 900));
        break;
    case 4:
        sim_vm_lose(sim, vm, until, 50 + pick(sim, 500));
        break;
    default:
        sim_vm_delay(sim, vm, until, 50 + pick(sim, 500));
        break;
    }
}

/* A pool's owner loses its pool, or may do so, and so may its next owners
 * within 2 s each, while VMs are reachable from one of them alone. */
static void
on_next_takeover(Sim *sim, void *context)
{
    unsigned pool = GPOINTER_TO_UINT(context);
    int owner = sim_owner(sim, pool);
    if (owner >= 0) {
        node_fault(sim, (unsigned)owner);
    }
}

static void
takeovers(Sim *sim)
{
    unsigned pool = pick(sim, SIM_POOLS);
    AqTime at = sim->now;
    unsigned count = 1 + pick(sim, 4);
    for (unsigned i = 0; i < SIM_NODES; i++) {
        if (sim_draw(sim, 400)) {
            cut_vms(sim, i, sim->now + sim_between(sim, 2000, 15000));
        }
    }
    for (unsigned i = 0; i < count; i++) {
        sim_at(sim, at, on_next_takeover, GUINT_TO_POINTER(pool));
        at += sim_between(sim, 50, 2500);
    }
}

void
sim_random_fault(Sim *sim)
{
    switch (pick(sim, 6)) {
    case 0:
        store_fault(sim);
        break;
    case 1:
    case 2:
        vm_fault(sim);
        break;
    case 3:
        node_fault(sim, pick(sim, SIM_NODES));
        break;
    default:
        takeovers(sim);
        break;
    }
}
