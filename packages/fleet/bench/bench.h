#ifndef FLEET_BENCH_H
#define FLEET_BENCH_H

/* Prints the rates per second of accepted and refused intents for 2, 4 and 8
 * concurrent operators: once when a daemon evaluates an intent again after a
 * conflict, and once when the daemon refuses the intent then. */
void measure_operators(void);

#endif
