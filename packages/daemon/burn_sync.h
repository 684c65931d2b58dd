#ifndef BURN_SYNC_H
#define BURN_SYNC_H

#include <jansson.h>

#include "daemon.h"

/* Counters of the error budget burn of this daemon, their copies in the store
 * and at peers, and the burn report over all entry VMs. */

BurnSync *BurnSync_Create(Daemon *daemon);
void BurnSync_Destroy(BurnSync *burn);

/* Counts a finished request of a service; "in_time": the request finished
 * before its deadline. */
void BurnSync_Count(BurnSync *burn, const char *service,
                    const AqOutcome *outcome, bool in_time);
/* Sets the objectives of services to those of their pools in the fleet
 * document in force. */
void BurnSync_Refresh(BurnSync *burn);
/* Merges the counters that a peer has sent. */
void BurnSync_OnPeerCounters(BurnSync *burn, const AqMsgBurn *msg);
/* Returns the burn report over all entry VMs.  The caller owns the reference.
 */
json_t *BurnSync_Report(BurnSync *burn);

#endif
