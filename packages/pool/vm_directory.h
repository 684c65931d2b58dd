#ifndef VM_DIRECTORY_H
#define VM_DIRECTORY_H

#include "aq_loop.h"
#include "aq_scheduler.h"
#include "aq_store.h"

/* The VMs that are listed in the platform's store.  A VM whose entry is
 * missing or can't be decoded counts as unlisted; this doesn't affect other
 * VMs. */

typedef struct VmDirectory VmDirectory;

typedef struct {
    /* A VM was listed, or its entry in the store was written again; "report"
     * is borrowed for the call. */
    void (*listed)(void *context, const AqVmReport *report);
    void (*unlisted)(void *context, const char *vm);
} VmDirectoryOps;

/* "loop" and "store" are borrowed.  Callbacks are called from the event
 * loop only, not from inside this call. */
VmDirectory *vm_directory_create(AqLoop *loop, AqStore *store,
                                 const VmDirectoryOps *ops, void *context);
/* "directory" may be NULL. */
void vm_directory_destroy(VmDirectory *directory);

/* Calls "visit" for each listed VM. */
void vm_directory_each(const VmDirectory *directory,
                       void (*visit)(void *context, const AqVmReport *report),
                       void *context);

#endif
