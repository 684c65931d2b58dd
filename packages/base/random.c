#include "aq_random.h"

#include <math.h>

static uint64_t
rotate_left(uint64_t x, int k)
{
    return (x << k) | (x >> (64 - k));
}

/* Returns the next number of SplitMix64 (Steele, Lea and Flood 2014) and
 * advances its state *x.  The numbers initialise the xoshiro256** state from a
 * 64-bit seed. */
static uint64_t
split_mix(uint64_t *x)
{
    uint64_t z = (*x += 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31);
}

void
AqRandom_Seed(AqRandom *random, uint64_t seed)
{
    for (int i = 0; i < 4; i++) {
        random->state[i] = split_mix(&seed);
    }
}

uint64_t
AqRandom_Next(AqRandom *random)
{
    uint64_t *s = random->state;
    uint64_t result = rotate_left(s[1] * 5, 7) * 9;
    uint64_t t = s[1] << 17;
    s[2] ^= s[0];
    s[3] ^= s[1];
    s[1] ^= s[2];
    s[0] ^= s[3];
    s[2] ^= t;
    s[3] = rotate_left(s[3], 45);
    return result;
}

uint64_t
AqRandom_Below(AqRandom *random, uint64_t bound)
{
    if (bound == 0) {
        return 0;
    }
    /* Multiplication and shift instead of a modulo; the relative bias of a
     * result's probability is below bound / 2^64. */
    return (uint64_t)(((unsigned __int128)AqRandom_Next(random) * bound) >>
                      64);
}

double
AqRandom_Unit(AqRandom *random)
{
    return (double)(AqRandom_Next(random) >> 11) * 0x1.0p-53;
}

double
AqRandom_Exponential(AqRandom *random, double mean)
{
    return -mean * log(1.0 - AqRandom_Unit(random));
}
