#include "snapshots.h"

#include <stdio.h>
#include <stdlib.h>

#include "aq_log.h"

typedef struct {
    Daemon *daemon;
    char key[SNAPSHOT_KEY_SIZE];
} Removal;

void
Snapshots_Key(int64_t version, char key[SNAPSHOT_KEY_SIZE])
{
    snprintf(key, SNAPSHOT_KEY_SIZE, "%s%lld", AQ_FLEET_SNAPSHOT_PREFIX,
             (long long)version);
}

static void
on_removed(void *context, const AqStoreReply *reply)
{
    Removal *removal = context;
    if (reply->status != AQ_STORE_OK) {
        AqLog_Event(AQ_LOG_INFO, "snapshot_not_removed", "key=%s",
                    removal->key);
    }
    free(removal);
}

/* Handles the reply to a read of a snapshot's store key: deletes the snapshot,
 * unless it was written again after that read. */
static void
on_key_read(void *context, const AqStoreReply *reply)
{
    Removal *removal = context;
    AqStore *store = removal->daemon->store;
    if (reply->status != AQ_STORE_OK) {
        on_removed(removal, reply);
        return;
    }
    store->ops->remove(store, removal->key, reply->items[0].index, on_removed,
                       removal);
}

void
Snapshots_Remove(Daemon *daemon, int64_t version)
{
    AqStore *store = daemon->store;
    Removal *removal = calloc(1, sizeof(*removal));
    removal->daemon = daemon;
    Snapshots_Key(version, removal->key);
    store->ops->get(store, removal->key, on_key_read, removal);
}
