#include "fleet_sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_buffer.h"
#include "aq_list.h"
#include "aq_log.h"
#include "peers.h"
#include "snapshots.h"

enum {
    /* Longest time that a watch of the store entry "head" waits for a change
     * before the store replies, and so the longest time between two replies
     * that show that the store can be reached. */
    WATCH_WAIT_MS = 1000,
    RETRY_MS = 300,
    /* After this time without a store reply the fleet document is requested
     * from a peer. */
    STORE_SILENT_MS = 1500,
    /* Least time between two requests to peers for the fleet document. */
    PEER_REQUEST_PERIOD_MS = 500,
    MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
};

/* One read of the store entry "head", which describes the newest fleet
 * document, and of the snapshot that the entry names, if that is needed too.
 */
typedef struct {
    /* In FleetSync.reads while this read from the store is in progress. */
    AqLink link;
    FleetSync *sync;
    /* When this read from the store began, on the loop's clock. */
    AqTime started;
    /* Whether this read waits for a change of the store entry "head" (a
     * watch); false for the read of a FleetSync_Refresh. */
    bool is_watch;
    /* Function that the caller of FleetSync_Refresh passed, called when this
     * read ends; NULL for a watch, which has no caller. */
    FleetSyncDone done;
    void *context;
    /* Copy of the value of the store entry "head"; NULL before the store has
     * replied. */
    char *head;
    size_t head_size; /* bytes in "head" */
    /* Store revision at which the entry "head" was last written; 0 if the
     * store has no such entry. */
    uint64_t index;
} HeadRead;

struct FleetSync {
    Daemon *daemon;
    AqFleet *fleet;
    /* List of the HeadReads (reads from the store) in progress;
     * FleetSync_Destroy frees them. */
    AqLink reads;
    /* Store revision of the entry "head" that the last watch returned; the
     * next watch waits for a later one.  0 before the first watch and after a
     * failed watch. */
    uint64_t watch_index;
    AqTimer retry;
    /* Time at which the last successful HeadRead (read from the store)
     * started. */
    AqTime last_contact;
    /* Whether a HeadRead (read from the store) has succeeded since this daemon
     * started. */
    bool had_contact;
    /* Time of the last request to a peer for the fleet document. */
    AqTime peer_requested_at;
    int64_t chunk_version; /* version of the fleet document in "chunks" */
    /* Bytes of the fleet document that this daemon has received so far from a
     * peer, which sends the document in several messages. */
    AqBuffer chunks;
};

static void start_watch(FleetSync *sync);

static void
on_retry(void *context)
{
    start_watch(context);
}

FleetSync *
FleetSync_Create(Daemon *daemon)
{
    FleetSync *sync = calloc(1, sizeof(*sync));
    sync->daemon = daemon;
    sync->fleet = AqFleet_Create();
    AqList_Init(&sync->reads);
    AqBuffer_Init(&sync->chunks);
    AqTimer_Init(&sync->retry, on_retry, sync);
    AqTimer_Start(daemon->loop, &sync->retry, AqLoop_Now(daemon->loop));
    return sync;
}

void
FleetSync_Destroy(FleetSync *sync)
{
    if (sync == NULL) {
        return;
    }
    AqTimer_Stop(&sync->retry);
    AqLink *at;
    while ((at = AqList_PopFirst(&sync->reads)) != NULL) {
        HeadRead *read = AqList_Entry(at, HeadRead, link);
        free(read->head);
        free(read);
    }
    AqFleet_Destroy(sync->fleet);
    AqBuffer_Clear(&sync->chunks);
    free(sync);
}

AqFleet *
FleetSync_Fleet(const FleetSync *sync)
{
    return sync->fleet;
}

static void
notify_changed(FleetSync *sync)
{
    Daemon_FleetChanged(sync->daemon);
}

void
FleetSync_Install(FleetSync *sync, AqFleet *fleet)
{
    if (AqFleet_Version(fleet) <= AqFleet_Version(sync->fleet)) {
        AqFleet_Destroy(fleet);
        return;
    }
    AqFleet_Destroy(sync->fleet);
    sync->fleet = fleet;
    notify_changed(sync);
}

/* ---- Reading from the store --------------------------------------------- */

static void
end_read(HeadRead *read, bool ok)
{
    FleetSync *sync = read->sync;
    if (ok) {
        sync->last_contact = read->started;
        sync->had_contact = true;
        AqMembership_StoreContact(sync->daemon->membership, read->started);
    }
    if (read->is_watch) {
        sync->watch_index = ok ? read->index : 0;
        AqTime now = AqLoop_Now(sync->daemon->loop);
        AqTimer_Start(sync->daemon->loop, &sync->retry,
                      ok ? now : now + RETRY_MS);
    }
    else {
        read->done(read->context, ok, read->index);
    }
    AqList_Remove(&read->link);
    free(read->head);
    free(read);
}

static void load_head(HeadRead *read, bool may_request_snapshot);

static void
on_snapshot(void *context, const AqStoreReply *reply)
{
    HeadRead *read = context;
    FleetSync *sync = read->sync;
    AqError error;
    if (reply->status != AQ_STORE_OK) {
        end_read(read, false);
        return;
    }
    if (AqFleet_LoadSnapshot(sync->fleet, reply->items[0].value,
                             reply->items[0].size, &error) == AQ_LOAD_BAD) {
        AqLog_Event(AQ_LOG_ERROR, "snapshot_bad", "error=%s",
                    AqLog_Quote(error.message));
        end_read(read, false);
        return;
    }
    load_head(read, false);
}

static void
request_snapshot(HeadRead *read, int64_t version)
{
    AqStore *store = read->sync->daemon->store;
    char key[SNAPSHOT_KEY_SIZE];
    Snapshots_Key(version, key);
    store->ops->get(store, key, on_snapshot, read);
}

static void
load_head(HeadRead *read, bool may_request_snapshot)
{
    FleetSync *sync = read->sync;
    int64_t before = AqFleet_Version(sync->fleet);
    int64_t snapshot = 0;
    AqError error;
    AqLoadResult result = AqFleet_LoadHead(sync->fleet, read->head,
                                           read->head_size, &snapshot, &error);
    if (result == AQ_LOAD_SNAPSHOT && may_request_snapshot) {
        request_snapshot(read, snapshot);
        return;
    }
    if (result == AQ_LOAD_BAD) {
        AqLog_Event(AQ_LOG_ERROR, "head_bad", "error=%s",
                    AqLog_Quote(error.message));
    }
    if (AqFleet_Version(sync->fleet) > before) {
        notify_changed(sync);
    }
    end_read(read, result == AQ_LOAD_OK || result == AQ_LOAD_OLDER);
}

static void
on_head(void *context, const AqStoreReply *reply)
{
    HeadRead *read = context;
    if (reply->status == AQ_STORE_ABSENT) {
        read->index = 0;
        /* The store has no entry "head".  If this daemon has a fleet document,
         * the store has lost that entry, and this read must not count as
         * successful. */
        end_read(read, AqFleet_Version(read->sync->fleet) == 0);
        return;
    }
    if (reply->status != AQ_STORE_OK) {
        end_read(read, false);
        return;
    }
    read->index = reply->items[0].index;
    read->head_size = reply->items[0].size;
    read->head = malloc(read->head_size + 1);
    memcpy(read->head, reply->items[0].value, read->head_size);
    load_head(read, true);
}

static HeadRead *
create_read(FleetSync *sync)
{
    HeadRead *read = calloc(1, sizeof(*read));
    read->sync = sync;
    AqList_Append(&sync->reads, &read->link);
    /* The reply may show the store as it was when this read began, so a reply
     * counts as contact with the store at this time and not at its arrival. */
    read->started = AqLoop_Now(sync->daemon->loop);
    return read;
}

static void
start_watch(FleetSync *sync)
{
    AqStore *store = sync->daemon->store;
    HeadRead *read = create_read(sync);
    read->is_watch = true;
    store->ops->watch(store, AQ_FLEET_HEAD_KEY, sync->watch_index,
                      WATCH_WAIT_MS, on_head, read);
}

void
FleetSync_Refresh(FleetSync *sync, FleetSyncDone done, void *context)
{
    AqStore *store = sync->daemon->store;
    HeadRead *read = create_read(sync);
    read->done = done;
    read->context = context;
    store->ops->get(store, AQ_FLEET_HEAD_KEY, on_head, read);
}

/* ---- Reading from a peer ------------------------------------------------ */

static bool
is_store_silent(const FleetSync *sync)
{
    AqTime now = AqLoop_Now(sync->daemon->loop);
    return !sync->had_contact || now - sync->last_contact > STORE_SILENT_MS;
}

void
FleetSync_OnPeerVersion(FleetSync *sync, const char *from, int64_t version)
{
    AqTime now = AqLoop_Now(sync->daemon->loop);
    if (version <= AqFleet_Version(sync->fleet) || !is_store_silent(sync) ||
        now - sync->peer_requested_at < PEER_REQUEST_PERIOD_MS) {
        return;
    }
    sync->peer_requested_at = now;
    AqMsg msg = {.type = AQ_MSG_GET_FLEET};
    Peers_Send(sync->daemon->peers, from, &msg);
}

void
FleetSync_OnPeerRequest(FleetSync *sync, const char *from)
{
    char *text = AqFleet_EncodeSnapshot(sync->fleet);
    size_t total = strlen(text);
    for (size_t at = 0; at < total; at += AQ_WIRE_FLEET_CHUNK) {
        size_t size = total - at;
        AqMsg msg = {.type = AQ_MSG_FLEET};
        if (size > AQ_WIRE_FLEET_CHUNK) {
            size = AQ_WIRE_FLEET_CHUNK;
        }
        msg.as.fleet.version = AqFleet_Version(sync->fleet);
        msg.as.fleet.total = (int64_t)total;
        msg.as.fleet.offset = (int64_t)at;
        msg.as.fleet.bytes = text + at;
        msg.as.fleet.size = size;
        Peers_Send(sync->daemon->peers, from, &msg);
    }
    free(text);
}

static void
load_from_peer(FleetSync *sync, const char *from)
{
    AqError error;
    AqLoadResult result = AqFleet_LoadSnapshot(sync->fleet, sync->chunks.bytes,
                                               sync->chunks.size, &error);
    if (result == AQ_LOAD_BAD) {
        AqLog_Event(AQ_LOG_ERROR, "peer_document_bad", "peer=%s error=%s",
                    from, AqLog_Quote(error.message));
        return;
    }
    if (result == AQ_LOAD_OK) {
        AqLog_Event(AQ_LOG_INFO, "document_from_peer", "peer=%s version=%lld",
                    from, (long long)AqFleet_Version(sync->fleet));
        notify_changed(sync);
    }
}

void
FleetSync_OnPeerChunk(FleetSync *sync, const char *from,
                      const AqMsgFleet *chunk)
{
    if (chunk->offset == 0) {
        AqBuffer_Clear(&sync->chunks);
        sync->chunk_version = chunk->version;
    }
    if (chunk->version != sync->chunk_version ||
        chunk->version <= AqFleet_Version(sync->fleet) ||
        chunk->offset != (int64_t)sync->chunks.size ||
        chunk->total > MAX_DOCUMENT_BYTES) {
        return;
    }
    AqBuffer_Append(&sync->chunks, chunk->bytes, chunk->size);
    if ((int64_t)sync->chunks.size == chunk->total) {
        load_from_peer(sync, from);
        AqBuffer_Clear(&sync->chunks);
    }
}
