#ifndef STOPPING_H
#define STOPPING_H

#include "daemon.h"

/* A graceful stop of the daemon: it reports not ready, waits until the
 * platform's balancer can have stopped sending requests, closes the listener
 * for callers, waits for the requests in flight, up to a limit, and leaves the
 * epoch (set of members). */

typedef struct Stopping Stopping;

Stopping *Stopping_Create(Daemon *daemon);
void Stopping_Destroy(Stopping *stopping);

/* Begins a graceful stop of the daemon; a second call ends the event loop at
 * once. */
void Stopping_Begin(Stopping *stopping);

#endif
