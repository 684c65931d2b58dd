#ifndef AQ_NODE_H
#define AQ_NODE_H

#include "aq_error.h"
#include "aq_loop.h"
#include "aq_settings.h"

/* The daemon of an entry VM on the platform: takes jobs from callers, stores
 * them, and runs the pools that it owns.  Everything that must last is in
 * the platform's store; a node keeps nothing. */

typedef struct AqNode AqNode;

AqNode *AqNode_Create(const AqSettings *settings, AqError *error);
void AqNode_Destroy(AqNode *node);
AqLoop *AqNode_Loop(AqNode *node);
/* Runs until a stop has ended. */
void AqNode_Run(AqNode *node);
/* Begins a graceful stop; a second call ends it at once. */
void AqNode_Stop(AqNode *node);

#endif
