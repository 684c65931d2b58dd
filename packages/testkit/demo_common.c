#include "demo.h"

#include <stdarg.h>
#include <stdio.h>

const char *
Demo_PoolName(int pool)
{
    static const char *const names[DEMO_POOLS] = {"track", "road"};
    return names[pool];
}

const char *
Demo_ZoneName(int zone)
{
    static const char *const names[DEMO_ZONES] = {"hal-a", "hal-b", "hal-c"};
    return names[zone];
}

int
Demo_PoolOf(int vm)
{
    return vm % DEMO_POOLS;
}

int
Demo_ZoneOf(int vm)
{
    return vm / DEMO_POOLS % DEMO_ZONES;
}

void
Demo_VmName(int vm, char out[16])
{
    snprintf(out, 16, "vm-%02d", vm + 1);
}

void
Demo_Log(const Demo *demo, const char *format, ...)
{
    char text[512];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    AqTime ms = AqClock_ReadMonotonic() - demo->started;
    printf("%5.1f s  %s\n", (double)ms / 1000, text);
    fflush(stdout);
}
