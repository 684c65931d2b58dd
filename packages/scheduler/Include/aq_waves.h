#ifndef AQ_WAVES_H
#define AQ_WAVES_H

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_machines.h"

/* Waves of maintenance.  The owners of several pools work on one wave and
 * share its record in the store.  Each owner changes the record only by a
 * write that is conditional on the version it has read, so at most "cap" VMs
 * of a wave are down at a time, whichever owners order them down. */

typedef enum {
    AQ_WAVE_WAITING,
    AQ_WAVE_BEGUN, /* the VM's maintenance is ordered, or about to be */
    AQ_WAVE_DONE,  /* the VM is back from its maintenance */
    AQ_WAVE_GONE   /* the VM no longer exists */
} AqWaveState;

typedef struct AqWave AqWave;

/* Creates a wave with all VMs waiting; its deadline is now plus the spec's
 * "within_ms".  "spec" is copied.  AqWave_Destroy frees the wave. */
AqWave *AqWave_Create(const AqWaveSpec *spec, AqTime now);
void AqWave_Destroy(AqWave *wave);

int64_t AqWave_Number(const AqWave *wave);
/* Number of VMs in the wave; positions go from 0 to below it. */
size_t AqWave_Count(const AqWave *wave);
/* Machine name at a position; borrowed. */
const char *AqWave_Machine(const AqWave *wave, size_t at);
AqWaveState AqWave_State(const AqWave *wave, size_t at);
/* Position of a VM, or -1 when it is not in the wave. */
int AqWave_Find(const AqWave *wave, const char *machine);
void AqWave_Set(AqWave *wave, size_t at, AqWaveState state);

/* Sets the states from the record; VMs that are not in it keep theirs.  False
 * when the record is damaged; then no state has changed. */
bool AqWave_Decode(AqWave *wave, const char *bytes, size_t size);
/* Appends the record. */
void AqWave_Encode(const AqWave *wave, AqBuffer *out);

/* Whether one more VM may go down now. */
bool AqWave_HasSlot(const AqWave *wave);
/* Whether all VMs have begun their maintenance or are gone. */
bool AqWave_IsCompleted(const AqWave *wave);
/* Whether all VMs are back or gone: nothing is left to do. */
bool AqWave_IsOver(const AqWave *wave);

/* Most VMs of a pool to drain at a time.  It rises as the deadline comes
 * closer to the time that the waiting VMs need. */
size_t AqWave_MaxDrains(const AqWave *wave, size_t waiting_in_pool,
                        size_t pool_size, AqTime now);
/* Whether the remaining tasks on a VM that was cordoned at "cordoned_at"
 * should be stopped, rather than waiting for their end. */
bool AqWave_MustStopTasks(const AqWave *wave, size_t waiting_in_pool,
                          AqTime cordoned_at, AqTime now);

#endif
