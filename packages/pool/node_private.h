#ifndef NODE_PRIVATE_H
#define NODE_PRIVATE_H

#include "aq_http_server.h"
#include "carrier_duty.h"
#include "forwarder.h"
#include "job_api.h"
#include "machine_coordinator.h"
#include "member.h"
#include "node.h"
#include "pool_machines.h"
#include "pool_owner.h"
#include "prefix_view.h"
#include "vm_directory.h"
#include "wave_table.h"

/* Shared by the files that implement AqNode:
 * node.c          creation, configuration, pools, stopping
 * node_servers.c  listeners for callers, readiness and metrics */

struct AqNode {
    NodeContext context;
    AqHttpServer *callers;
    AqHttpServer *readiness;
    /* Serves this node's metrics; NULL: no metrics address. */
    AqHttpServer *metrics;
    JobApi *job_api;
    Forwarder *forwarder;
    Member *member;
    PrefixView *operator_view;
    /* AqLoop_ResumedAt() when the view was last asked to refresh */
    AqTime refreshed_at;
    VmDirectory *vms;               /* NULL until this node owns a pool */
    AqWorkerClient *direct_workers; /* calls VMs without a carrier */
    CarrierDuty *carriers;
    WaveTable *waves;
    /* NULL unless this node is the machine coordinator. */
    MachineCoordinator *coordinator;
    GHashTable *owners; /* pool name -> OwnedPool */
    AqTimer stop_timer;
    AqTime stop_began;
    int unfinished_handover_count;
    bool was_ready;
};

/* A pool that this node owns. */
typedef struct {
    PoolOwner *owner;
    PoolMachines *machines;
} OwnedPool;

/* Returns whether the node's copy of the configuration is current; the context
 * is the AqNode. */
bool node_is_current(void *context);
/* Opens the listeners that the settings name. */
bool node_open_servers(AqNode *node, AqError *error);

#endif
