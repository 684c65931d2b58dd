#include "aq_waves.h"

#include <glib.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "record_codec.h"

enum {
    /* Estimate, used to plan a wave, of the time from the cordon of one VM
     * until the VM is back from its maintenance and listed in its pool again.
     * It includes the time that the VM's tasks take to end. */
    VM_MAINTENANCE_MS = 5000,
    /* How long the pool's owner waits, from the cordon of a VM of a wave, for
     * the VM's tasks to end; then it stops the remaining tasks, except
     * perpetual ones. */
    TASK_END_WAIT_MS = 5000,
    /* wait for the VM's tasks to end, in place of TASK_END_WAIT_MS, when the
     * wave may miss its deadline */
    LATE_TASK_END_WAIT_MS = 1200,
    /* For a wave, a pool may drain its number of VMs divided by
     * MAX_POOL_DIVISOR at the same time, and always at least one VM. */
    MAX_POOL_DIVISOR = 3
};

typedef struct {
    char machine[AQ_VM_ID_SIZE];
    AqWaveState state;
} Entry;

struct AqWave {
    int64_t number;
    uint32_t cap;
    /* when the wave's last VM must be back from its maintenance */
    AqTime deadline;
    Entry *entries;
    size_t count;
    /* machine name -> position in "entries", plus 1; keys borrowed from
     * "entries" */
    GHashTable *positions;
};

AqWave *
AqWave_Create(const AqWaveSpec *spec, AqTime now)
{
    AqWave *wave = calloc(1, sizeof(*wave));
    wave->number = spec->number;
    wave->cap = spec->cap;
    wave->deadline = now + spec->within_ms;
    wave->entries = calloc(spec->machine_count + 1, sizeof(*wave->entries));
    wave->positions = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < spec->machine_count; i++) {
        Entry *entry = &wave->entries[i];
        memcpy(entry->machine, spec->machines[i], AQ_VM_ID_SIZE);
        if (!g_hash_table_contains(wave->positions, entry->machine)) {
            g_hash_table_insert(wave->positions, entry->machine,
                                GSIZE_TO_POINTER(i + 1));
        }
    }
    wave->count = spec->machine_count;
    return wave;
}

void
AqWave_Destroy(AqWave *wave)
{
    if (wave != NULL) {
        g_hash_table_destroy(wave->positions);
        free(wave->entries);
        free(wave);
    }
}

int64_t
AqWave_Number(const AqWave *wave)
{
    return wave->number;
}

size_t
AqWave_Count(const AqWave *wave)
{
    return wave->count;
}

const char *
AqWave_Machine(const AqWave *wave, size_t at)
{
    return wave->entries[at].machine;
}

AqWaveState
AqWave_State(const AqWave *wave, size_t at)
{
    return wave->entries[at].state;
}

int
AqWave_Find(const AqWave *wave, const char *machine)
{
    gsize position =
        GPOINTER_TO_SIZE(g_hash_table_lookup(wave->positions, machine));
    return (int)position - 1;
}

void
AqWave_Set(AqWave *wave, size_t at, AqWaveState state)
{
    wave->entries[at].state = state;
}

/* ---- Record ------------------------------------------------------------- */

void
AqWave_Encode(const AqWave *wave, AqBuffer *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, record_write);
    msgpack_pack_array(&packer, wave->count);
    for (size_t i = 0; i < wave->count; i++) {
        msgpack_pack_array(&packer, 2);
        record_pack_text(&packer, wave->entries[i].machine);
        msgpack_pack_int(&packer, (int)wave->entries[i].state);
    }
}

static bool
decode_entry(AqWave *wave, const msgpack_object *row)
{
    char *machine = NULL;
    int64_t state;
    bool ok = row->type == MSGPACK_OBJECT_ARRAY && row->via.array.size >= 2 &&
              record_text(&row->via.array.ptr[0], &machine) &&
              machine != NULL &&
              record_int(&row->via.array.ptr[1], AQ_WAVE_WAITING, AQ_WAVE_GONE,
                         &state);
    if (ok) {
        int at = AqWave_Find(wave, machine);
        if (at >= 0) {
            wave->entries[at].state = (AqWaveState)state;
        }
    }
    free(machine);
    return ok;
}

bool
AqWave_Decode(AqWave *wave, const char *bytes, size_t size)
{
    msgpack_unpacked unpacked;
    size_t space = (wave->count + 1) * sizeof(Entry);
    Entry *before = malloc(space);
    memcpy(before, wave->entries, space);
    bool ok = record_unpack(&unpacked, bytes, size) &&
              unpacked.data.type == MSGPACK_OBJECT_ARRAY;
    for (uint32_t i = 0; ok && i < unpacked.data.via.array.size; i++) {
        ok = decode_entry(wave, &unpacked.data.via.array.ptr[i]);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (!ok) {
        memcpy(wave->entries, before, space);
    }
    free(before);
    return ok;
}

/* ---- Decisions ---------------------------------------------------------- */

static size_t
count_state(const AqWave *wave, AqWaveState state)
{
    size_t count = 0;
    for (size_t i = 0; i < wave->count; i++) {
        count += wave->entries[i].state == state;
    }
    return count;
}

bool
AqWave_HasSlot(const AqWave *wave)
{
    return count_state(wave, AQ_WAVE_BEGUN) < wave->cap;
}

bool
AqWave_IsCompleted(const AqWave *wave)
{
    return count_state(wave, AQ_WAVE_WAITING) == 0;
}

bool
AqWave_IsOver(const AqWave *wave)
{
    return AqWave_IsCompleted(wave) && count_state(wave, AQ_WAVE_BEGUN) == 0;
}

size_t
AqWave_MaxDrains(const AqWave *wave, size_t waiting, size_t pool_size,
                 AqTime now)
{
    AqTime left = wave->deadline - now;
    size_t most = pool_size / MAX_POOL_DIVISOR;
    /* How many VMs can have their maintenance one after another before the
     * wave's deadline, less one kept in reserve. */
    AqTime rounds = left / VM_MAINTENANCE_MS - 1;
    size_t parallel =
        rounds > 0 ? (waiting + (size_t)rounds - 1) / (size_t)rounds : waiting;
    most = most > 0 ? most : 1;
    if (parallel > wave->cap) {
        parallel = wave->cap;
    }
    return parallel < most ? parallel : most;
}

bool
AqWave_MustStopTasks(const AqWave *wave, size_t waiting, AqTime cordoned_at,
                     AqTime now)
{
    bool is_late =
        wave->deadline - now < (AqTime)waiting * VM_MAINTENANCE_MS / 2;
    AqTime patience = is_late ? LATE_TASK_END_WAIT_MS : TASK_END_WAIT_MS;
    return now - cordoned_at > patience;
}
