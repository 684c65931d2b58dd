#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include <glib.h>

#include "aq_fleet.h"
#include "aq_list.h"

#define SPARE_POOL "spare"
#define WEIGHTS_NAME "weights"
#define VM_STATE_COUNT 7
/* A document keeps the ids of this many last operations; AqFleet_Apply refuses
 * an operation whose id is among them. */
#define OPERATION_IDS_MAX 256
/* The tail in head (AQ_FLEET_HEAD_KEY) has one entry per commit after the last
 * snapshot.  At this many entries the next commit, before it writes head,
 * stores a snapshot and clears the tail. */
#define TAIL_MAX_ENTRIES 16
/* When the tail in head (AQ_FLEET_HEAD_KEY), the commits after the last
 * snapshot, has more bytes of JSON text than this, the next commit stores a
 * snapshot and clears the tail before it writes head.  Each daemon reads head
 * once a second: 4 KB in base64 are 5.5 KB/s for each daemon. */
#define TAIL_MAX_BYTES 4096

/* Time limit for the reboot of a VM and the health checks after the reboot
 * together, after which the VM counts as failed; design page, section 7.1. */
#define WAVE_RETURN_LIMIT_MS (10 * 60 * 1000)
/* Time for which a VM that failed while it was listed live gets no new health
 * checks, so that a broken VM costs only two commits of the fleet document an
 * hour. */
#define VM_RETRY_MS (60 * 60 * 1000)

typedef struct PoolEntry PoolEntry;

/* Entries of the VM and pool index (VmEntry, PoolEntry) cache the record
 * fields that are read often.  Strings and JSON values are owned by the
 * record; only the id of a VM and the name of a pool are owned by the
 * entry. */
typedef struct {
    char *id;
    const json_t *record;
    PoolEntry *pool;
    PoolEntry *target_pool; /* pool to which the VM is being moved, or NULL */
    AqLink link;            /* links the VM in the list pool->vms */
    int number;             /* position of this VM in AqFleet.vm_order */
    /* number of the VM's rack in AqFleet.interned_names */
    int rack;
    /* number of the VM's data centre in AqFleet.interned_names */
    int zone;
    AqVmState state;
    /* the planner reboots the VM once it is drained; set by the intent
     * vm.reboot, not by waves */
    bool is_reboot_planned;
    bool matches_selector; /* the VM's labels match its pool's selector */
    int64_t since_ms;      /* wall time of the VM's last change of state */
    /* wall time of the VM's last change of pool; 0: never moved */
    int64_t moved_at_ms;
    /* document version in which the VM last began to drain */
    int64_t drain_version;
    /* id of the last wave that finished its work on the VM; 0: none */
    int64_t last_wave_id;
    /* wall time from which the VM counts as failed if it is still rebooting or
     * checking */
    int64_t deadline_ms;
    /* wall time before which a failed VM gets no new health checks */
    int64_t retry_at_ms;
    /* name of the wave that keeps the VM out of service, or "" */
    const char *wave;
} VmEntry;

struct PoolEntry {
    char *name;
    const json_t *record;
    AqLink vms;   /* VMs of the pool, linked by VmEntry.link */
    int number;   /* position of this pool in AqFleet.pool_order */
    int vm_count; /* VMs in the pool */
    int by_state[VM_STATE_COUNT]; /* VMs in the pool, per AqVmState */
    int incoming; /* VMs of other pools that are being moved to this pool */
    int min_serving;
    /* no drain of a VM may put more VMs of the pool than this out of service;
     * -1: unlimited */
    int max_unavailable;
    int slots;
    int connections;
    const char *service;
    const json_t *selector;
    /* number of VMs that the pool should have above min_serving for failures
     * and waves, as the function buffer_target computed it; -1: to be computed
     * again, since a record that enters into the number has changed */
    int buffer_target;
};

struct AqFleet {
    int64_t version;
    /* document version in which the set of entry VM members last changed */
    int64_t epoch;
    int64_t snapshot_version; /* document version of the last snapshot */
    /* the snapshot of version snapshot_version is known to be in the store */
    bool snapshot_stored;
    /* mechanisms that a test disables: FLEET_DISABLE_* flags */
    unsigned disabled;
    /* Per AqRecordKind: JSON object from name to record.  Records are
     * immutable: every change of a record puts a new JSON object in place of
     * the old.  Clones of a document and undo lists therefore share the
     * objects of records. */
    json_t *records[AQ_REC_KINDS];
    /* last OPERATION_IDS_MAX operations applied to the document, oldest first:
     * [[operation id, document version]...] */
    json_t *ops;
    /* commits after the last snapshot: one entry per document version */
    json_t *tail;
    /* bytes of JSON text in the tail; AqFleet_LoadHead sets this to the bytes
     * of the whole head, and each later commit adds the bytes of its tail
     * entry */
    size_t tail_bytes;
    GHashTable *vms;     /* VM id -> VmEntry */
    GHashTable *pools;   /* pool name -> PoolEntry */
    GPtrArray *vm_order; /* VmEntry of each VM, at position VmEntry.number */
    /* PoolEntry of each pool, at position PoolEntry.number */
    GPtrArray *pool_order;
    /* name of a rack or data centre -> number that stands for the name in
     * VmEntry.rack and VmEntry.zone */
    GHashTable *interned_names;
};

/* A test disables one of these mechanisms to show that the checks of the test
 * notice when the mechanism is missing.  Never set outside of tests and
 * benchmarks. */
enum {
    FLEET_DISABLE_BUDGET = 1 << 0, /* drains ignore the pools' budgets */
    /* a move changes the pool of a serving VM without a drain */
    FLEET_DISABLE_DRAIN = 1 << 1,
    FLEET_DISABLE_WAVE_STOP = 1 << 2, /* waves do not stop after failed VMs */
    /* the planner moves VMs as soon as a pool has a surplus or deficit of VMs,
     * however small and new the surplus or deficit is */
    FLEET_DISABLE_HYSTERESIS = 1 << 3,
    FLEET_DISABLE_PLACEMENT = 1 << 4 /* the planner begins no moves of VMs */
};
void fleet_disable(AqFleet *fleet, unsigned disabled);

/* record.c: names of record kinds and VM states, validation of fields and
 * records.  The functions that take an AqError return whether the value is
 * valid; if not, the error message names field, value and valid range. */
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
/* Whether every field of "object" is in the NULL-terminated list "allowed";
 * the error message names the first field that is not. */
bool check_known_fields(const json_t *object, const char *const *allowed,
                        AqError *error);
/* Returns the value of the string field "field" of a JSON object, or
 * default_value when the field is absent or of another type.  The object owns
 * the string. */
const char *string_or(const json_t *object, const char *field,
                      const char *default_value);
/* Returns the value of the integer field "field" of a JSON object, or
 * default_value when the field is absent or of another type. */
int64_t int_or(const json_t *object, const char *field, int64_t default_value);
/* Whether "labels" has every label that "selector" names, with the value that
 * "selector" gives for it. */
bool selector_matches(const json_t *selector, const json_t *labels);

/* index.c: VmEntry by VM id and PoolEntry by pool name, derived from the
 * records and updated with each change of a record, so that counts and views
 * do not scan all VMs.  index_vm and index_pool return NULL when there is no
 * such VM or pool. */
void index_create(AqFleet *fleet);
void index_destroy(AqFleet *fleet);
/* Updates the VM and pool index for a record that was just set, or deleted
 * ("record" NULL). */
void index_update(AqFleet *fleet, AqRecordKind kind, const char *name,
                  const json_t *record);
VmEntry *index_vm(const AqFleet *fleet, const char *id);
PoolEntry *index_pool(const AqFleet *fleet, const char *name);

/* document.c: validation and application of sets of upserts. */
/* Whether every upsert in "set" is well formed, and whether every pool named
 * in a VM record exists once all upserts are applied; does not change the
 * document. */
bool document_check_set(const AqFleet *fleet, const json_t *set,
                        AqError *error);
/* Applies upserts that document_check_set has accepted, without changing the
 * document's version.  For each applied upsert, in order, appends to "undo"
 * (may be NULL) an upsert that restores the old record. */
void document_put(AqFleet *fleet, const json_t *set, json_t *undo);
/* Checks and applies upserts as the next version of the document, and sets the
 * epoch to that version when the set of entry VM members changes; adds no tail
 * entry and no operation id.  Returns false, with nothing changed, when an
 * upsert is invalid. */
bool document_advance(AqFleet *fleet, const json_t *set, json_t *undo,
                      AqError *error);
/* Adds "op", applied at document version "version", to the operation ids that
 * the document keeps.  Drops the oldest ids when the document has more than
 * OPERATION_IDS_MAX. */
void document_record_op(AqFleet *fleet, const char *op, int64_t version);
/* Appends the upsert [kind, name, record] to the array "set"; with NULL as the
 * record, the upsert deletes the record of that kind and name.  Takes over the
 * caller's reference to the record. */
void set_put(json_t *set, AqRecordKind kind, const char *name, json_t *record);

/* budget.c: disruption budgets and buffer targets.  pool_serving counts the
 * VMs of a pool in state serving, pool_unavailable those in other states. */
int pool_serving(const PoolEntry *pool);
int pool_unavailable(const PoolEntry *pool);
/* Returns how many further VMs of a pool the pool's budget of min_serving and
 * max_unavailable (-1: unlimited) allows to be drained; >= 0. */
int budget_headroom(int serving, int unavailable, int min_serving,
                    int max_unavailable);
/* Whether the budget of "pool" allows the serving VM "vm" to be drained.  If
 * not, the error message names the pool, the VM, the pool's VM counts, the
 * limit in the budget and the remedy. */
bool budget_allow_stop(const AqFleet *fleet, const PoolEntry *pool,
                       const char *vm, AqError *error);
/* Number of VMs that a pool should have above min_serving; 0 for the spare
 * pool.  The number is cached in the pool until a record on which it depends
 * changes. */
int buffer_target(const AqFleet *fleet, PoolEntry *pool);
/* Sets *buffer, *moves and *time to the weights in the document, each 1 to 10
 * with default 5. */
void buffer_weights(const AqFleet *fleet, int *buffer, int *moves, int *time);

/* vm_record.c: each function with a json_t result returns a new VM record made
 * from the VM's present one, as a new reference.  "wall_ms" becomes the time
 * of the last change of state in the new record. */
json_t *vm_in_state(const json_t *record, AqVmState state, int64_t wall_ms);
/* Returns a new record of the VM in state draining; the drain begins with the
 * next version of the document. */
json_t *vm_draining(const AqFleet *fleet, const VmEntry *vm, int64_t wall_ms);
/* Returns a new record of the VM in state serving, for which no wave, move or
 * reboot is planned. */
json_t *vm_serving(const VmEntry *vm, int64_t wall_ms);
/* Returns a new record of the VM in state checking (health checks before
 * service).  A VM that was in state rebooting keeps its deadline; a VM that
 * was in another state gets a new deadline. */
json_t *vm_checking(const VmEntry *vm, int64_t wall_ms);
/* Returns a new record for the end of the VM's move to another pool: the VM
 * belongs to the pool "pool" and is in state serving. */
json_t *vm_in_pool(const VmEntry *vm, const char *pool, int64_t wall_ms);
/* Removes from a VM's record the wave, move and reboot planned for the VM. */
void vm_clear_plan(json_t *record);

/* Intent handlers (intents*.c) check the arguments of the intent, then the
 * state of its VM, pool or wave, then append upserts to Intent.set.  A handler
 * appends no upserts when the document already has the requested effect, and
 * returns false with an error when the intent is not allowed. */
typedef struct {
    const AqFleet *fleet;
    const json_t *args; /* object "args" of the intent */
    int64_t wall_ms;
    /* array to which the handler appends the upserts that carry out the
     * intent */
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
/* Returns to service, by upserts appended to "set", all VMs in state draining
 * or drained for the wave "wave".  VMs that the wave is rebooting stay out of
 * service. */
void wave_release_vms(const AqFleet *fleet, const char *wave, int64_t wall_ms,
                      json_t *set);

#endif
