#ifndef AQ_WAVES_H
#define AQ_WAVES_H

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_machines.h"

/* Waves of maintenance.  The owners of several pools work on one wave and
 * share its record in the store.  Each owner changes the record only by a
 * write that is conditional on the version that the owner has read, so at most
 * "cap" VMs of a wave are in maintenance at a time, whichever owners order the
 * maintenance. */

typedef enum {
    AQ_WAVE_WAITING,
    /* the pool's owner has ordered the VM's maintenance, or is about to order
     * it */
    AQ_WAVE_BEGUN,
    AQ_WAVE_DONE, /* the VM is back from its maintenance */
    AQ_WAVE_GONE  /* the VM no longer exists */
} AqWaveState;

typedef struct AqWave AqWave;

/* Creates a wave with all its VMs in AQ_WAVE_WAITING; the wave's deadline is
 * "now" plus the "within_ms" of *spec, which is copied.  AqWave_Destroy()
 * frees the wave. */
AqWave *AqWave_Create(const AqWaveSpec *spec, AqTime now);
void AqWave_Destroy(AqWave *wave);

int64_t AqWave_Number(const AqWave *wave);
/* Number of VMs in the wave; the VMs have the positions from 0 to below that
 * number. */
size_t AqWave_Count(const AqWave *wave);
/* Machine name of the VM at position "at" in the wave; borrowed. */
const char *AqWave_Machine(const AqWave *wave, size_t at);
AqWaveState AqWave_State(const AqWave *wave, size_t at);
/* Position in the wave of the VM with this machine name, or -1 when the wave
 * does not have the VM. */
int AqWave_Find(const AqWave *wave, const char *machine);
void AqWave_Set(AqWave *wave, size_t at, AqWaveState state);

/* Sets the states of the wave's VMs from the stored record "bytes"; VMs that
 * the record does not list keep their states.  False when the record is
 * damaged; then no state has changed. */
bool AqWave_Decode(AqWave *wave, const char *bytes, size_t size);
/* Appends the wave's record for the store to "out".  The record lists the
 * state of each VM of the wave. */
void AqWave_Encode(const AqWave *wave, AqBuffer *out);

/* Whether the maintenance of one more VM of the wave may begin now, within the
 * wave's cap on VMs in maintenance at a time. */
bool AqWave_HasSlot(const AqWave *wave);
/* Whether all VMs of the wave have begun their maintenance, have had it or no
 * longer exist. */
bool AqWave_IsCompleted(const AqWave *wave);
/* Whether each VM of the wave is back from maintenance or no longer exists, so
 * that the wave needs no more orders. */
bool AqWave_IsOver(const AqWave *wave);

/* Returns how many VMs of one pool may drain for the wave at the same time.
 * The number rises as the time left before the wave's deadline falls towards
 * the time that the maintenance of the pool's "waiting_in_pool" VMs takes. */
size_t AqWave_MaxDrains(const AqWave *wave, size_t waiting_in_pool,
                        size_t pool_size, AqTime now);
/* Whether the pool's owner should stop the tasks on a VM of the wave rather
 * than wait for them to end.  "cordoned_at" is when that VM was cordoned. */
bool AqWave_MustStopTasks(const AqWave *wave, size_t waiting_in_pool,
                          AqTime cordoned_at, AqTime now);

#endif
