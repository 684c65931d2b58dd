#ifndef AQ_RANDOM_H
#define AQ_RANDOM_H

#include <stdint.h>

/* Pseudo-random number generator (xoshiro256**, Blackman and Vigna 2018).  The
 * seed determines the sequence, so that a test run can be repeated.  Not
 * suitable for secrets. */
typedef struct {
    uint64_t state[4];
} AqRandom;

void AqRandom_Seed(AqRandom *random, uint64_t seed);
uint64_t AqRandom_Next(AqRandom *random);
/* Returns a random integer, uniformly distributed in 0 .. bound - 1, or 0 if
 * "bound" is 0. */
uint64_t AqRandom_Below(AqRandom *random, uint64_t bound);
/* Returns a random number, uniformly distributed in [0, 1). */
double AqRandom_Unit(AqRandom *random);
/* Returns an exponentially distributed random number with the given mean. */
double AqRandom_Exponential(AqRandom *random, double mean);

#endif
