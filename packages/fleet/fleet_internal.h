#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include <glib.h>

#include "aq_fleet.h"
#include "aq_list.h"

#define SPARE_POOL "spare"
#define WEIGHTS_NAME "weights"
#define VM_STATE_COUNT 7
/* Operation ids that a document remembers; AqFleet_Apply refuses these. */
#define OPERATION_IDS_MAX 256
/* A snapshot is due at this many tail entries, or above this many bytes. */
#define TAIL_MAX_ENTRIES 16
/* Each daemon reads head once a second: 4 KB are 5.5 KB/s in base64. */
#define TAIL_MAX_BYTES 4096

/* Limit for a reboot and the health checks after it together, after which
 * the VM counts as failed; section 7.1. */
#define WAVE_RETURN_LIMIT_MS (10 * 60 * 1000)
/* Delay before a VM that is listed live but failed its health checks is
 * checked again, so that a broken VM costs two commits an hour. */
#define VM_RETRY_MS (60 * 60 * 1000)

typedef struct PoolEntry PoolEntry;

/* Index entries cache the record fields that are read often.  Strings and
 * JSON values are borrowed from the record; id and name are owned. */
typedef struct {
    char *id;
    const json_t *record;
    PoolEntry *pool;
    PoolEntry *target_pool; /* pool it moves to; NULL when it does not move */
    AqLink link;            /* in pool->vms */
    int number;             /* position in AqFleet.vm_order */
    int rack;               /* number of the interned rack name */
    int zone;               /* number of the interned data centre name */
    AqVmState state;
    bool is_reboot_planned; /* reboot once drained, outside of a wave */
    bool matches_selector;  /* labels match the selector of its pool */
    int64_t since_ms;       /* wall time of the last change of state */
    int64_t moved_at_ms;    /* wall time of the last move; 0: never */
    int64_t drain_version;  /* document version that began its drain */
    int64_t last_wave_id;   /* id of the last wave that finished on it */
    int64_t deadline_ms;    /* wall time when rebooting or checking fails */
    int64_t retry_at_ms;    /* wall time before which it stays failed */
    const char *wave;       /* name of the wave that stopped it, or "" */
} VmEntry;

struct PoolEntry {
    char *name;
    const json_t *record;
    AqLink vms;                   /* members, linked by VmEntry.link */
    int number;                   /* position in AqFleet.pool_order */
    int vm_count;                 /* members of the pool */
    int by_state[VM_STATE_COUNT]; /* members per AqVmState */
    int incoming; /* VMs of other pools whose target is this pool */
    int min_serving;
    int max_unavailable; /* -1: unlimited */
    int slots;
    int connections;
    const char *service;
    const json_t *selector;
    int buffer_target; /* cached buffer target in VMs; -1: not computed */
};

struct AqFleet {
    int64_t version;
    int64_t epoch; /* version of the last change of entry VM members */
    int64_t snapshot_version; /* version of the last snapshot */
    bool snapshot_stored;     /* that snapshot is known to be in the store */
    unsigned disabled;        /* FLEET_DISABLE_* flags */
    json_t *records[AQ_REC_KINDS]; /* objects from name to record */
    json_t *ops;                   /* [[op, version]...], oldest first */
    json_t *tail;               /* one entry per version after the snapshot */
    size_t tail_bytes;          /* length of the tail as JSON text */
    GHashTable *vms;            /* id -> VmEntry */
    GHashTable *pools;          /* name -> PoolEntry */
    GPtrArray *vm_order;        /* VmEntry, by VmEntry.number */
    GPtrArray *pool_order;      /* PoolEntry, by PoolEntry.number */
    GHashTable *interned_names; /* rack or zone name -> number */
};

/* Mechanisms that a test disables to show that its checks detect their
 * absence.  Never set outside of tests and benchmarks. */
enum {
    FLEET_DISABLE_BUDGET = 1 << 0, /* planned stops ignore budgets */
    FLEET_DISABLE_DRAIN = 1 << 1,  /* moves change the pool of a serving VM */
    FLEET_DISABLE_WAVE_STOP = 1 << 2,  /* waves go on after failed VMs */
    FLEET_DISABLE_HYSTERESIS = 1 << 3, /* every surplus moves at once */
    FLEET_DISABLE_PLACEMENT = 1 << 4   /* the planner moves no VMs */
};
void fleet_disable(AqFleet *fleet, unsigned disabled);

/* record.c: names of kinds and states, validation of fields and records.
 * Functions that return bool and take an error return false and fill it when
 * the value is not valid; the message names field, value and valid range. */
const char *record_kind_name(AqRecordKind kind);
bool record_kind_parse(const char *name, AqRecordKind *kind);
bool vm_state_parse(const char *name, AqVmState *state);
bool record_check(AqRecordKind kind, const char *name, const json_t *record,
                  AqError *error);
bool is_valid_name(const char *name);
bool field_error(const json_t *object, const char *field, const char *expected,
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
bool check_known_fields(const json_t *object, const char *const *allowed,
                        AqError *error);
/* Value of a string field, or the default when the field is absent or of
 * another type.  The string is borrowed from the object. */
const char *string_or(const json_t *object, const char *field,
                      const char *default_value);
/* The same for an integer field. */
int64_t int_or(const json_t *object, const char *field, int64_t default_value);
/* Whether the labels contain every label of the selector with its value. */
bool selector_matches(const json_t *selector, const json_t *labels);

/* index.c: entries of VMs and pools by name, kept in step with the records.
 * The lookups return NULL when there is no such VM or pool. */
void index_create(AqFleet *fleet);
void index_destroy(AqFleet *fleet);
/* Updates the index for a record that was just set, or deleted (NULL). */
void index_update(AqFleet *fleet, AqRecordKind kind, const char *name,
                  const json_t *record);
VmEntry *index_vm(const AqFleet *fleet, const char *id);
PoolEntry *index_pool(const AqFleet *fleet, const char *name);

/* document.c: validation and application of sets of upserts. */
/* Whether every upsert is well formed and the pools that VMs name exist once
 * all are applied; changes nothing. */
bool document_check_set(const AqFleet *fleet, const json_t *set,
                        AqError *error);
/* Applies checked upserts without changing the version.  Appends to "undo"
 * (may be NULL) the upserts that restore the old records, in the order of
 * application. */
void document_put(AqFleet *fleet, const json_t *set, json_t *undo);
/* Checks and applies upserts as the next version, with the epoch, but without
 * a tail entry or an operation id. */
bool document_advance(AqFleet *fleet, const json_t *set, json_t *undo,
                      AqError *error);
/* Appends an operation id and drops the oldest above OPERATION_IDS_MAX. */
void document_record_op(AqFleet *fleet, const char *op, int64_t version);
/* Appends the upsert [kind, name, record] to a set; steals the reference to
 * the record (NULL: delete). */
void set_put(json_t *set, AqRecordKind kind, const char *name, json_t *record);

/* budget.c: disruption budgets and buffer targets. */
int pool_serving(const PoolEntry *pool);
int pool_unavailable(const PoolEntry *pool);
/* Number of VMs that may be stopped as planned work before a budget of
 * min_serving and max_unavailable (-1: unlimited) is used up; >= 0. */
int budget_headroom(int serving, int unavailable, int min_serving,
                    int max_unavailable);
/* Whether the budget allows the planned stop of one more serving VM; the error
 * message names pool, numbers and remedy. */
bool budget_allow_stop(const AqFleet *fleet, const PoolEntry *pool,
                       const char *vm, AqError *error);
/* VMs that a pool should hold above min_serving; 0 for the spare pool.  Cached
 * in the pool until a record that it depends on changes. */
int buffer_target(const AqFleet *fleet, PoolEntry *pool);
/* Reads the three weights (1 to 10) of the document. */
void buffer_weights(const AqFleet *fleet, int *buffer, int *moves, int *time);

/* vm_record.c: new VM records made from old ones; each returns a new
 * reference.  "wall_ms" becomes the time of the change of state. */
json_t *vm_in_state(const json_t *record, AqVmState state, int64_t wall_ms);
/* Draining, beginning with the next version of the document. */
json_t *vm_draining(const AqFleet *fleet, const VmEntry *vm, int64_t wall_ms);
/* Serving, without a wave, move or reboot planned. */
json_t *vm_serving(const VmEntry *vm, int64_t wall_ms);
/* Health checks before service; a rebooted VM keeps its deadline. */
json_t *vm_checking(const VmEntry *vm, int64_t wall_ms);
/* Serving in another pool, as the end of a move. */
json_t *vm_in_pool(const VmEntry *vm, const char *pool, int64_t wall_ms);
/* Removes the wave, move and reboot that are planned for the VM. */
void vm_clear_plan(json_t *record);

/* Intent handlers (intents*.c): validate the arguments and the state, then
 * append upserts to Intent.set; false with an error otherwise. */
typedef struct {
    const AqFleet *fleet;
    const json_t *args; /* object "args" of the intent */
    int64_t wall_ms;
    json_t *set; /* receives the upserts */
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
/* Appends upserts that return the VMs which a wave has begun to drain or has
 * drained, but not rebooted, to service. */
void wave_release_vms(const AqFleet *fleet, const char *wave, int64_t wall_ms,
                      json_t *set);

#endif
