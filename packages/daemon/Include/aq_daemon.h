#ifndef AQ_DAEMON_H
#define AQ_DAEMON_H

#include <stdio.h>

#include "aq_error.h"
#include "aq_loop.h"
#include "aq_settings.h"

/* The daemon that runs on each entry VM. */

typedef struct AqDaemon AqDaemon;

/* Creates the daemon of an entry VM and opens its TCP listeners for callers,
 * operators and peers.  "settings" stays owned by the caller and must outlive
 * the result, which the caller owns too.  Returns NULL and sets "error" on
 * failure. */
AqDaemon *AqDaemon_Create(const AqSettings *settings, AqError *error);
void AqDaemon_Destroy(AqDaemon *daemon);

/* Runs the daemon's event loop; returns when the daemon has stopped. */
void AqDaemon_Run(AqDaemon *daemon);
/* Begins a graceful stop of the daemon, which waits for callers' requests in
 * flight, at most for the settings' stop_limit_ms.  A second call ends the
 * event loop at once. */
void AqDaemon_Stop(AqDaemon *daemon);

/* Returns the event loop, which the daemon owns. */
AqLoop *AqDaemon_Loop(AqDaemon *daemon);

/* Writes the line "ready callers=IP:PORT operators=IP:PORT peers=IP:PORT",
 * with the addresses of the daemon's listeners, to "out". */
void AqDaemon_WriteReady(const AqDaemon *daemon, FILE *out);

#endif
