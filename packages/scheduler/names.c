#include <stdlib.h>
#include <string.h>

#include "aq_machines.h"
#include "aq_scheduler.h"
#include "aq_worker_client.h"

const char *
AqOrderResult_Name(AqOrderResult result)
{
    static const char *const names[] = {
        [AQ_ORDER_DONE] = "done",
        [AQ_ORDER_FENCED] = "fenced",
        [AQ_ORDER_OLD_RUN] = "old_run",
        [AQ_ORDER_LATE] = "late",
        [AQ_ORDER_NO_ROOM] = "no_room",
        [AQ_ORDER_NO_TICKET] = "no_ticket",
        [AQ_ORDER_OTHER_LIFE] = "other_life",
        [AQ_ORDER_UNHEALTHY] = "unhealthy",
        [AQ_ORDER_INVALID] = "invalid",
        [AQ_ORDER_NOT_SENT] = "not_sent",
        [AQ_ORDER_UNKNOWN] = "unknown",
    };
    return names[result];
}

const char *
AqJobStage_Name(AqJobStage stage)
{
    static const char *const names[] = {
        [AQ_STAGE_WAITING] = "waiting",     [AQ_STAGE_RUNNING] = "running",
        [AQ_STAGE_COMPLETED] = "completed", [AQ_STAGE_FAILED] = "failed",
        [AQ_STAGE_CANCELLED] = "cancelled",
    };
    return names[stage];
}

const char *
AqMachineResult_Name(AqMachineResult result)
{
    static const char *const names[] = {
        [AQ_MACHINE_ORDER_DONE] = "done",
        [AQ_MACHINE_ORDER_FENCED] = "fenced",
        [AQ_MACHINE_ORDER_BUSY] = "busy",
        [AQ_MACHINE_ORDER_REFUSED] = "refused",
        [AQ_MACHINE_ORDER_LATER] = "later",
        [AQ_MACHINE_ORDER_UNKNOWN] = "unknown",
    };
    return names[result];
}

void
AqWaveSpec_Clear(AqWaveSpec *wave)
{
    free(wave->machines);
    memset(wave, 0, sizeof(*wave));
}
