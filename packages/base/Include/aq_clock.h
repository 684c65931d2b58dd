#ifndef AQ_CLOCK_H
#define AQ_CLOCK_H

#include <stdint.h>

/* A point in time or a duration, in milliseconds.  Core packages never read a
 * clock: callers pass the current time as an argument, so that tests can use
 * virtual time. */
typedef int64_t AqTime;

/* A time that no clock reaches; stands for "no deadline". */
#define AQ_TIME_NEVER INT64_MAX

typedef struct {
    /* Current time of a virtual clock, ms; starts at any value and never
     * decreases. */
    AqTime now;
} AqClock;

/* Returns the time of CLOCK_BOOTTIME in ms.  Unlike CLOCK_MONOTONIC, this
 * clock also advances while the host is suspended, so that after a resume the
 * process sees how much time has passed. */
AqTime AqClock_ReadMonotonic(void);

/* Returns the wall clock time in ms since the Unix epoch. */
AqTime AqClock_ReadWall(void);

/* Advances a virtual clock by "ms", which must not be negative. */
void AqClock_Advance(AqClock *clock, AqTime ms);

#endif
