#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include <glib.h>

#include "aq_fleet.h"
#include "aq_list.h"

#define SPARE_POOL "spare"
#define WEIGHTS_NAME "weights"
#define VM_STATES 7
#define OPS_KEPT 256
#define TAIL_ENTRIES 16
/* Each daemon reads head once a second: 4 KB are 5.5 KB/s in base64. */
#define TAIL_BYTES 4096

/* A wave's reboot and the checks after it together take at most this long;
 * section 7.1. */
#define WAVE_RETURN_LIMIT_MS (10 * 60 * 1000)
/* A VM that is listed live but did not pass its checks is tried again after
 * this time, so that a broken VM costs two commits an hour. */
#define VM_RETRY_MS (60 * 60 * 1000)

typedef struct PoolEntry PoolEntry;

/* Index entries repeat the fields that are read often.  Strings and JSON
 * values are borrowed from the record, id and name are owned. */
typedef struct {
    char *id;
    const json_t *record;
    PoolEntry *pool;
    PoolEntry *target; /* pool it moves to; NULL when it does not move */
    AqLink link;       /* in pool->vms */
    int number;        /* position in AqFleet.vm_order */
    int rack;          /* interned names; equal names, equal numbers */
    int zone;
    AqVmState state;
    bool reboot;   /* reboot once drained, outside of a wave */
    bool matches;  /* labels match the selector of its pool */
    int64_t since; /* wall ms */
    int64_t moved; /* wall ms of the last move; 0: never */
    int64_t drain; /* version that drains it */
    int64_t done;  /* id of the last wave that finished on it */
    int64_t due;   /* wall ms when rebooting or checking has failed */
    int64_t retry; /* wall ms before which a failed VM stays failed */
    const char *wave;
} VmEntry;

struct PoolEntry {
    char *name;
    const json_t *record;
    AqLink vms;
    int number; /* position in AqFleet.pool_order */
    int members;
    int by_state[VM_STATES];
    int incoming; /* VMs of other pools that move here */
    int min_serving;
    int max_unavailable; /* -1: unlimited */
    int slots;
    int connections;
    const char *service;
    const json_t *selector;
    int target; /* cached buffer target; -1: compute again */
};

struct AqFleet {
    int64_t version;
    int64_t epoch;
    int64_t snapshot;
    bool snapshot_stored; /* snapshot's text is known to be in the store */
    unsigned switches;
    json_t *records[AQ_REC_KINDS];
    json_t *ops;       /* [[op, version]...], oldest first */
    json_t *tail;      /* entries after "snapshot" */
    size_t tail_bytes; /* size of the tail's text */
    GHashTable *vms;   /* id -> VmEntry */
    GHashTable *pools; /* name -> PoolEntry */
    GPtrArray *vm_order;
    GPtrArray *pool_order;
    GHashTable *names; /* interned rack and zone names */
};

/* Mechanisms that a test leaves out to show that its check sees the loss.
 * Never set outside of tests and measurements. */
enum {
    FLEET_DISABLE_BUDGET = 1 << 0, /* planned stops ignore budgets */
    FLEET_DISABLE_DRAIN = 1 << 1,  /* moves change the pool of a serving VM */
    FLEET_DISABLE_WAVE_STOP = 1 << 2,  /* waves go on after failed VMs */
    FLEET_DISABLE_HYSTERESIS = 1 << 3, /* every surplus moves at once */
    FLEET_DISABLE_PLACEMENT = 1 << 4   /* the planner moves no VMs */
};
void fleet_disable(AqFleet *fleet, unsigned switches);

/* record.c: kinds, typed fields with errors, checks of whole records. */
const char *record_kind_name(AqRecordKind kind);
bool record_kind_parse(const char *name, AqRecordKind *kind);
bool vm_state_parse(const char *name, AqVmState *state);
bool record_check(AqRecordKind kind, const char *name, const json_t *record,
                  AqError *error);
bool name_ok(const char *name);
bool field_bad(const json_t *object, const char *field, const char *wanted,
               AqError *error);
bool field_name(const json_t *object, const char *field, const char **value,
                AqError *error);
bool field_int(const json_t *object, const char *field, int64_t low,
               int64_t high, AqError *error);
bool field_address(const json_t *object, const char *field, AqError *error);
bool field_labels(const json_t *object, const char *field, AqError *error);
bool field_choice(const json_t *object, const char *field,
                  const char *const *choices, AqError *error);
/* Fails with the first field that is not in the NULL-terminated list. */
bool fields_known(const json_t *object, const char *const *allowed,
                  AqError *error);
const char *string_or(const json_t *object, const char *field,
                      const char *absent);
int64_t int_or(const json_t *object, const char *field, int64_t absent);
/* Whether every label of the selector is among the labels. */
bool selector_matches(const json_t *selector, const json_t *labels);

/* index.c */
void index_create(AqFleet *fleet);
void index_destroy(AqFleet *fleet);
/* Takes over a record that was just set (or NULL: deleted). */
void index_update(AqFleet *fleet, AqRecordKind kind, const char *name,
                  const json_t *record);
VmEntry *index_vm(const AqFleet *fleet, const char *id);
PoolEntry *index_pool(const AqFleet *fleet, const char *name);

/* document.c */
bool document_check_set(const AqFleet *fleet, const json_t *set,
                        AqError *error);
/* Sets records without a version change; "undo" (may be NULL) gets the
 * upserts that restore them, in order of application. */
void document_put(AqFleet *fleet, const json_t *set, json_t *undo);
/* One version: records, epoch; no tail and no operation id. */
bool document_advance(AqFleet *fleet, const json_t *set, json_t *undo,
                      AqError *error);
void document_note_op(AqFleet *fleet, const char *op, int64_t version);
/* Appends [kind, name, record] to a set; steals the record (NULL: delete). */
void set_put(json_t *set, AqRecordKind kind, const char *name, json_t *record);

/* budget.c */
int pool_serving(const PoolEntry *pool);
int pool_unavailable(const PoolEntry *pool);
/* Planned stops that the numbers allow, never negative. */
int budget_headroom(int serving, int unavailable, int min_serving,
                    int max_unavailable);
/* Whether one more serving VM of the pool may be stopped; the refusal names
 * pool, numbers and remedy. */
bool budget_allow_stop(const AqFleet *fleet, const PoolEntry *pool,
                       const char *vm, AqError *error);
int buffer_target(const AqFleet *fleet, PoolEntry *pool);
void buffer_weights(const AqFleet *fleet, int *buffer, int *moves, int *time);

/* vm_record.c: new VM records from old ones; each returns a new reference. */
json_t *vm_in_state(const json_t *record, AqVmState state, int64_t wall_ms);
json_t *vm_draining(const AqFleet *fleet, const VmEntry *vm, int64_t wall_ms);
json_t *vm_serving(const VmEntry *vm, int64_t wall_ms);
json_t *vm_checking(const VmEntry *vm, int64_t wall_ms);
json_t *vm_in_pool(const VmEntry *vm, const char *pool, int64_t wall_ms);
/* Removes what is planned for the VM: wave, move, reboot. */
void vm_clear_plan(json_t *record);

/* Intent handlers by area. */
typedef struct {
    const AqFleet *fleet;
    const json_t *args;
    int64_t wall_ms;
    json_t *set;
} Intent;

typedef bool (*IntentHandler)(const Intent *intent, AqError *error);

bool intent_vm_set(const Intent *intent, AqError *error);
bool intent_vm_remove(const Intent *intent, AqError *error);
bool intent_vm_drain(const Intent *intent, AqError *error);
bool intent_vm_undrain(const Intent *intent, AqError *error);
bool intent_vm_move(const Intent *intent, AqError *error);
bool intent_vm_reboot(const Intent *intent, AqError *error);
bool intent_wave_start(const Intent *intent, AqError *error);
bool intent_wave_pause(const Intent *intent, AqError *error);
bool intent_wave_resume(const Intent *intent, AqError *error);
bool intent_wave_abort(const Intent *intent, AqError *error);
/* Puts the VMs that a wave has drained but not rebooted back in service. */
void wave_release_vms(const AqFleet *fleet, const char *wave, int64_t wall_ms,
                      json_t *set);

#endif
