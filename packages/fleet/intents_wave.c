#include "fleet_internal.h"

#include <string.h>

/* Most finished waves that stay in the document for operators to list; if
 * there are more, wave.start deletes the oldest one. */
#define WAVES_KEPT 16

static bool
is_finished(const json_t *wave)
{
    const char *state = string_or(wave, "state", "");
    return strcmp(state, "done") == 0 || strcmp(state, "aborted") == 0;
}

/* Appends to the intent's set an upsert that deletes the oldest finished wave,
 * if the document has more than WAVES_KEPT finished waves. */
static void
prune_waves(const Intent *intent)
{
    const json_t *waves = AqFleet_All(intent->fleet, AQ_REC_WAVE);
    size_t finished = 0;
    const char *name;
    const char *oldest = NULL;
    int64_t id = INT64_MAX;
    json_t *wave;
    json_object_foreach((json_t *)waves, name, wave)
    {
        if (is_finished(wave)) {
            finished++;
            if (int_or(wave, "id", 0) < id) {
                id = int_or(wave, "id", 0);
                oldest = name;
            }
        }
    }
    if (finished > WAVES_KEPT) {
        set_put(intent->set, AQ_REC_WAVE, oldest, NULL);
    }
}

static bool
check_release(const Intent *intent, AqError *error)
{
    const json_t *release = json_object_get(intent->args, "release");
    bool rollout =
        strcmp(string_or(intent->args, "kind", "reboot"), "rollout") == 0;
    if (rollout) {
        return field_name(intent->args, "release", NULL, error);
    }
    if (release != NULL) {
        return field_error(intent->args, "release",
                           "absent unless \"kind\" is \"rollout\"", error);
    }
    return true;
}

static bool
matches_any_vm(const AqFleet *fleet, const json_t *selector)
{
    for (guint i = 0; i < fleet->vm_order->len; i++) {
        const VmEntry *vm = fleet->vm_order->pdata[i];
        if (selector_matches(selector,
                             json_object_get(vm->record, "labels"))) {
            return true;
        }
    }
    return false;
}

bool
intent_wave_start(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"name",         "selector", "kind",
                                          "max_parallel", "release",  NULL};
    const char *name;
    if (!check_known_fields(intent->args, allowed, error) ||
        !field_name(intent->args, "name", &name, error)) {
        return false;
    }
    /* The wave's id is the document version of the commit that starts the
     * wave, so that a wave started later has a higher id whatever the clocks
     * show.  The record of a VM keeps the id of the last wave that finished on
     * the VM. */
    json_t *record = json_pack(
        "{s:{}, s:s, s:s, s:i, s:I, s:I, s:i, s:i, s:s}", "selector", "kind",
        "reboot", "state", "running", "max_parallel", 1, "id",
        (json_int_t)intent->fleet->version + 1, "started",
        (json_int_t)intent->wall_ms, "done", 0, "failed", 0, "recent", "");
    json_object_update(record, (json_t *)intent->args);
    json_object_del(record, "name");
    bool ok = record_check(AQ_REC_WAVE, name, record, error) &&
              check_release(intent, error);
    if (ok && AqFleet_Get(intent->fleet, AQ_REC_WAVE, name) != NULL) {
        ok = AqError_Set(error, AQ_ERR_REFUSED,
                         "field \"name\" is \"%s\", and that wave exists; "
                         "choose a new name, or use wave.resume",
                         name);
    }
    if (ok &&
        !matches_any_vm(intent->fleet, json_object_get(record, "selector"))) {
        ok = AqError_Set(error, AQ_ERR_REFUSED,
                         "field \"selector\" of wave \"%s\" matches no VM; "
                         "compare it with the labels in the list of VMs",
                         name);
    }
    if (ok) {
        set_put(intent->set, AQ_REC_WAVE, name, json_incref(record));
        prune_waves(intent);
    }
    json_decref(record);
    return ok;
}

void
wave_release_vms(const AqFleet *fleet, const char *wave, int64_t wall_ms,
                 json_t *set)
{
    for (guint i = 0; i < fleet->vm_order->len; i++) {
        const VmEntry *vm = fleet->vm_order->pdata[i];
        if ((vm->state == AQ_VM_DRAINING || vm->state == AQ_VM_DRAINED) &&
            strcmp(vm->wave, wave) == 0) {
            set_put(set, AQ_REC_VM, vm->id, vm_serving(vm, wall_ms));
        }
    }
}

/* Changes the state of the wave named in the intent to "to" if its present
 * state is one of "from"; succeeds without upserts when the wave has state
 * "to" already. */
static bool
change_state(const Intent *intent, const char *const *from, const char *to,
             AqError *error)
{
    static const char *const allowed[] = {"name", NULL};
    const char *name;
    if (!check_known_fields(intent->args, allowed, error) ||
        !field_name(intent->args, "name", &name, error)) {
        return false;
    }
    const json_t *wave = AqFleet_Get(intent->fleet, AQ_REC_WAVE, name);
    if (wave == NULL) {
        return AqError_Set(error, AQ_ERR_NOT_FOUND,
                           "field \"name\" is \"%s\", which is no wave; list "
                           "the waves or start it with wave.start",
                           name);
    }
    const char *state = string_or(wave, "state", "");
    if (strcmp(state, to) == 0) {
        return true;
    }
    if (!g_strv_contains(from, state)) {
        return AqError_Set(error, AQ_ERR_REFUSED,
                           "wave \"%s\" is %s (%lld VMs done, %lld failed) "
                           "and cannot become %s; start a new wave",
                           name, state, (long long)int_or(wave, "done", 0),
                           (long long)int_or(wave, "failed", 0), to);
    }
    json_t *next = json_copy((json_t *)wave);
    json_object_set_new(next, "state", json_string(to));
    if (strcmp(to, "running") == 0) {
        /* "recent" has the wave's latest results for VMs.  Resuming the wave
         * clears them, so that only VMs that fail from now on count towards
         * stopping the wave. */
        json_object_set_new(next, "recent", json_string(""));
        json_object_del(next, "reason");
    }
    set_put(intent->set, AQ_REC_WAVE, name, next);
    if (strcmp(to, "running") != 0) {
        wave_release_vms(intent->fleet, name, intent->wall_ms, intent->set);
    }
    return true;
}

bool
intent_wave_pause(const Intent *intent, AqError *error)
{
    static const char *const from[] = {"running", NULL};
    return change_state(intent, from, "paused", error);
}

bool
intent_wave_resume(const Intent *intent, AqError *error)
{
    static const char *const from[] = {"paused", "stopped", NULL};
    return change_state(intent, from, "running", error);
}

bool
intent_wave_abort(const Intent *intent, AqError *error)
{
    static const char *const from[] = {"running", "paused", "stopped", NULL};
    return change_state(intent, from, "aborted", error);
}
