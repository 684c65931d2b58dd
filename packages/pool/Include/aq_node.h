#ifndef AQ_NODE_H
#define AQ_NODE_H

#include "aq_error.h"
#include "aq_loop.h"
#include "aq_settings.h"

/* The daemon of an entry VM: receives jobs from callers, stores them, and
 * schedules the jobs of the pools that it owns.  All persistent state is in
 * the platform's store; a node has none of its own. */

typedef struct AqNode AqNode;

AqNode *AqNode_Create(const AqSettings *settings, AqError *error);
void AqNode_Destroy(AqNode *node);
AqLoop *AqNode_Loop(AqNode *node);
/* Runs the event loop until the stop that AqNode_Stop() begins has ended. */
void AqNode_Run(AqNode *node);
/* Begins a graceful stop of the node; a second call ends the event loop at
 * once. */
void AqNode_Stop(AqNode *node);

#endif
