#ifndef FLEET_BENCH_H
#define FLEET_BENCH_H

/* Prints the rates of accepted and refused intents for 2, 4 and 8 concurrent
 * operators, when a conflict makes a daemon evaluate the intent again and when
 * it makes the daemon refuse the intent. */
void measure_operators(void);

#endif
