#ifndef BURN_SYNC_H
#define BURN_SYNC_H

#include <jansson.h>

#include "daemon.h"

/* Creates the object that counts requests for the error-budget burn rates of
 * services.  It copies this daemon's counters to the store and to peers, and
 * merges those of the other entry VMs. */

BurnSync *BurnSync_Create(Daemon *daemon);
void BurnSync_Destroy(BurnSync *burn);

/* Counts a caller's finished request to a service for the service's
 * error-budget burn rate; "in_time": the request finished by its deadline. */
void BurnSync_Count(BurnSync *burn, const char *service,
                    const AqOutcome *outcome, bool in_time);
/* Sets each service's objective, the share of its requests that must finish in
 * time, to the one of its pool in the fleet document in force. */
void BurnSync_Refresh(BurnSync *burn);
/* Merges a peer's counters of requests into the burn report of this daemon. */
void BurnSync_OnPeerCounters(BurnSync *burn, const AqMsgBurn *msg);
/* Returns the burn report, with the error-budget burn rate of each service
 * over all entry VMs.  The caller owns the reference. */
json_t *BurnSync_Report(BurnSync *burn);

#endif
