#ifndef AQ_NODE_H
#define AQ_NODE_H

#include "aq_error.h"
#include "aq_loop.h"
#include "aq_settings.h"

/* The daemon of an entry VM: receives jobs from callers, stores them, and
 * schedules the pools that it owns.  All persistent state is in the
 * platform's store; a node keeps none of its own. */

typedef struct AqNode AqNode;

AqNode *AqNode_Create(const AqSettings *settings, AqError *error);
void AqNode_Destroy(AqNode *node);
AqLoop *AqNode_Loop(AqNode *node);
/* Runs the event loop until a stop has ended. */
void AqNode_Run(AqNode *node);
/* Begins a graceful stop; a second call ends the loop at once. */
void AqNode_Stop(AqNode *node);

#endif
