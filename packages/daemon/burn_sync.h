#ifndef BURN_SYNC_H
#define BURN_SYNC_H

#include <jansson.h>

#include "daemon.h"

/* Burn counters of this daemon, their copies in the store and at peers, and
 * the report over all entry VMs. */

BurnSync *BurnSync_Create(Daemon *daemon);
void BurnSync_Destroy(BurnSync *burn);

/* Counts a finished request; "in_time": before its deadline. */
void BurnSync_Count(BurnSync *burn, const char *service,
                    const AqOutcome *outcome, bool in_time);
/* Takes over the objectives of the pools in the fleet document. */
void BurnSync_Refresh(BurnSync *burn);
/* Counters of a peer. */
void BurnSync_OnPeerCounters(BurnSync *burn, const AqMsgBurn *msg);
/* A new reference. */
json_t *BurnSync_Report(BurnSync *burn);

#endif
