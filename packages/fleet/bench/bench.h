#ifndef FLEET_BENCH_H
#define FLEET_BENCH_H

/* Prints the rates per second of accepted and refused intents for 2, 4 and 8
 * concurrent operators: once with daemons that evaluate an intent again after
 * a conflict, and once with daemons that refuse the intent after a
 * conflict. */
void measure_operators(void);

#endif
