#include "aq_clock.h"

#include <time.h>

enum {
    MS_PER_SECOND = 1000,
    NS_PER_MS = 1000000
};

static AqTime
read_clock(clockid_t id)
{
    struct timespec ts;
    clock_gettime(id, &ts);
    return (AqTime)ts.tv_sec * MS_PER_SECOND + ts.tv_nsec / NS_PER_MS;
}

AqTime
AqClock_ReadMonotonic(void)
{
    return read_clock(CLOCK_BOOTTIME);
}

AqTime
AqClock_ReadWall(void)
{
    return read_clock(CLOCK_REALTIME);
}

void
AqClock_Advance(AqClock *clock, AqTime ms)
{
    clock->now += ms;
}
