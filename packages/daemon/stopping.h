#ifndef STOPPING_H
#define STOPPING_H

#include "daemon.h"

/* Graceful stop of the daemon: readiness becomes false, the balancer gets time
 * to notice, the listener for callers closes, requests in flight finish, and
 * the daemon leaves the epoch. */

typedef struct Stopping Stopping;

Stopping *Stopping_Create(Daemon *daemon);
void Stopping_Destroy(Stopping *stopping);

/* Begins a graceful stop; a second call ends the event loop at once. */
void Stopping_Begin(Stopping *stopping);

#endif
