#include "vm_directory.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "aq_platform.h"
#include "prefix_view.h"

enum {
    /* Delay from a change of VMs' entries to the next watch of the entries.
     * Each VM writes its entry about once a second, and each write would cause
     * a reply of the store to every node that owns a pool; the delay combines
     * these replies.  A new VM is listed this much later; the state of listed
     * VMs is known sooner from their replies to orders. */
    COALESCE_MS = 150
};

struct VmDirectory {
    PrefixView *view;
    GHashTable *vms; /* store key -> AqVmReport */
    VmDirectoryOps ops;
    void *context;
};

static void
on_removed(void *context, const char *key)
{
    VmDirectory *directory = context;
    const AqVmReport *report = g_hash_table_lookup(directory->vms, key);
    if (report == NULL) {
        return;
    }
    AqLog_Event(AQ_LOG_INFO, "vm_unlisted", "vm=%s pool=%s", report->id,
                report->pool);
    directory->ops.unlisted(directory->context, report->id);
    g_hash_table_remove(directory->vms, key);
}

/* Returns whether a VM's entry "report" is to be logged: "known" is NULL
 * because the VM had no entry, or the entry differs from "known" in a field
 * that decisions depend on.  Most writes of entries are not logged. */
static bool
is_changed(const AqVmReport *known, const AqVmReport *report)
{
    return known == NULL || strcmp(known->pool, report->pool) != 0 ||
           strcmp(known->machine, report->machine) != 0 ||
           strcmp(known->rack, report->rack) != 0 ||
           known->born_ms != report->born_ms ||
           known->is_draining != report->is_draining;
}

static void
on_put(void *context, const AqStoreItem *item)
{
    VmDirectory *directory = context;
    AqError error;
    AqVmReport *report = calloc(1, sizeof(*report));
    if (!AqPlatform_DecodeWorker(item->key, item->value, item->size, report,
                                 &error)) {
        AqLog_Event(AQ_LOG_WARNING, "vm_unreadable",
                    "key=%s index=%llu error=%s", item->key,
                    (unsigned long long)item->index,
                    AqLog_Quote(error.message));
        free(report);
        on_removed(directory, item->key);
        return;
    }
    if (is_changed(g_hash_table_lookup(directory->vms, item->key), report)) {
        AqLog_Event(AQ_LOG_INFO, "vm_listed",
                    "vm=%s pool=%s machine=%s rack=%s draining=%d born=%lld "
                    "index=%llu",
                    report->id, report->pool, report->machine, report->rack,
                    report->is_draining, (long long)report->born_ms,
                    (unsigned long long)item->index);
    }
    g_hash_table_replace(directory->vms, g_strdup(item->key), report);
    directory->ops.listed(directory->context, report);
}

VmDirectory *
vm_directory_create(AqLoop *loop, AqStore *store, const VmDirectoryOps *ops,
                    void *context)
{
    static const PrefixViewOps view_ops = {on_put, on_removed, NULL,
                                           COALESCE_MS, true};
    VmDirectory *directory = calloc(1, sizeof(*directory));
    directory->ops = *ops;
    directory->context = context;
    directory->vms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
    directory->view = prefix_view_create(loop, store, AqPlatform_WorkerPrefix,
                                         &view_ops, directory);
    return directory;
}

void
vm_directory_destroy(VmDirectory *directory)
{
    if (directory == NULL) {
        return;
    }
    prefix_view_destroy(directory->view);
    g_hash_table_destroy(directory->vms);
    free(directory);
}

void
vm_directory_each(const VmDirectory *directory,
                  void (*visit)(void *context, const AqVmReport *report),
                  void *context)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, directory->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(context, value);
    }
}
