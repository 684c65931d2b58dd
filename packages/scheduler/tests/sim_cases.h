#ifndef SIM_CASES_H
#define SIM_CASES_H

#include "sim.h"

/* What the tests of single sequences in the simulated pool share. */

/* Asserts that the simulation has seen no violation; prints it with the
 * seed. */
void sim_expect_no_violation(const Sim *sim, uint64_t seed);
/* Returns a VM that runs a task of the job; the last VM if none does. */
unsigned sim_find_run(const Sim *sim, const char *job);

typedef struct {
    const char *name;
    void (*run)(void);
} SimCase;

/* Runs the case that argv[1] names, or all cases, as a suite of that name.
 * Returns the exit status of the test program. */
int sim_run_cases(const char *suite, const SimCase *cases, size_t count,
                  int argc, char **argv);

#endif
