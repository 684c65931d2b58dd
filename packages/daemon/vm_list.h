#ifndef VM_LIST_H
#define VM_LIST_H

#include "daemon.h"

/* Creates the object that keeps a copy of the platform's list of VMs and their
 * states.  The list lags behind the actual states of the VMs. */

VmList *VmList_Create(Daemon *daemon);
void VmList_Destroy(VmList *list);

/* Returns the state of a VM in the platform's VM list: "live", "leaving" or
 * "down"; NULL if the VM is not listed or no list has arrived yet.  The string
 * is owned by "list" and valid until the next VM list arrives. */
const char *VmList_State(const VmList *list, const char *id);
/* Whether at least one VM list has arrived from the platform. */
bool VmList_IsKnown(const VmList *list);

#endif
