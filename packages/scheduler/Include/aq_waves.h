#ifndef AQ_WAVES_H
#define AQ_WAVES_H

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_machines.h"

/* Waves of maintenance.  Owners of several pools work on one wave; what they
 * share is its record in the store, which each changes only by a write that
 * requires the record it has read.  So never more than "cap" VMs of a wave
 * are down, whoever orders them. */

typedef enum {
    AQ_WAVE_WAITING,
    AQ_WAVE_BEGUN, /* its maintenance is ordered, or about to be */
    AQ_WAVE_DONE,  /* it is back */
    AQ_WAVE_GONE   /* there is no such VM any more */
} AqWaveState;

typedef struct AqWave AqWave;

/* "spec" is copied. */
AqWave *AqWave_Create(const AqWaveSpec *spec, AqTime now);
void AqWave_Destroy(AqWave *wave);

int64_t AqWave_Number(const AqWave *wave);
size_t AqWave_Count(const AqWave *wave);
const char *AqWave_Machine(const AqWave *wave, size_t at);
AqWaveState AqWave_State(const AqWave *wave, size_t at);
/* Position of a VM, or -1. */
int AqWave_Find(const AqWave *wave, const char *machine);
void AqWave_Set(AqWave *wave, size_t at, AqWaveState state);

/* Reads the record; a VM that it does not name is waiting.  False when it is
 * damaged, and nothing has changed then. */
bool AqWave_Decode(AqWave *wave, const char *bytes, size_t size);
void AqWave_Encode(const AqWave *wave, AqBuffer *out);

/* Whether one more VM may go down now. */
bool AqWave_HasSlot(const AqWave *wave);
/* Whether all VMs have begun their maintenance or are gone. */
bool AqWave_IsCompleted(const AqWave *wave);
/* Whether all VMs are back or gone: nothing is left to do. */
bool AqWave_IsOver(const AqWave *wave);

/* How many VMs of a pool should be made empty at a time: more when little
 * time is left for those that wait. */
size_t AqWave_MaxDrains(const AqWave *wave, size_t waiting_in_pool,
                        size_t pool_size, AqTime now);
/* Whether tasks should be stopped rather than waited for on a VM that has
 * been cordoned since then. */
bool AqWave_MustStopTasks(const AqWave *wave, size_t waiting_in_pool,
                          AqTime cordoned_at, AqTime now);

#endif
