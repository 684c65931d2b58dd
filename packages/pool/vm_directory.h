#ifndef VM_DIRECTORY_H
#define VM_DIRECTORY_H

#include "aq_loop.h"
#include "aq_scheduler.h"
#include "aq_store.h"

/* The VMs that are listed on the platform, followed from the store. An entry
 * that is missing or unreadable lists no VM; the other entries stay. */

typedef struct VmDirectory VmDirectory;

typedef struct {
    /* A VM was listed, or its entry has changed; "report" is borrowed for
     * the call. */
    void (*listed)(void *context, const AqVmReport *report);
    void (*unlisted)(void *context, const char *vm);
} VmDirectoryOps;

/* "loop" and "store" are borrowed.  No call comes from inside. */
VmDirectory *vm_directory_create(AqLoop *loop, AqStore *store,
                                 const VmDirectoryOps *ops, void *context);
/* NULL is allowed. */
void vm_directory_destroy(VmDirectory *directory);

void vm_directory_each(const VmDirectory *directory,
                       void (*visit)(void *context, const AqVmReport *report),
                       void *context);

#endif
