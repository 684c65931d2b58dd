#include "claim_client.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_random.h"
#include "peers.h"

enum {
    /* Longest wait for the verdict of the daemon that owns a claim's
     * partition; after that this daemon writes the claim to the store itself.
     * The time covers a round trip between data centres, the owner's batch
     * period and a slow store. */
    OWNER_TIMEOUT_MS = 500,
    /* Greatest number of claims of request ids that peers have sent and that
     * have no verdict yet.  A claim beyond that number is dropped without a
     * reply. */
    MAX_PEER_CLAIMS = 100000
};

/* The claim of the id of a request that a caller sent to this daemon. */
typedef struct {
    /* In "sent_to_owner" until the owner of the claim's partition replies. */
    AqLink link;
    uint64_t request; /* number that the router assigned to the request */
    AqMsgClaim claim;
    /* Time until which this daemon waits for the verdict on the claim from the
     * daemon that owns the claim's partition; 0 if the claim was not sent to
     * another daemon. */
    AqTime requested_until;
    bool decided; /* the claim's verdict was passed to the router */
} OwnClaim;

/* A claim of a request id that this daemon writes to the store for a peer. */
typedef struct {
    char from[AQ_WIRE_MAX_NAME]; /* id of the peer that sent the claim */
    /* Number that the peer's router assigned to the request. */
    uint64_t request;
} PeerClaim;

typedef struct {
    ClaimClient *client;
    uint64_t token;
    AqClaimsStoreCall call;
    bool is_prefix;
    char key[64];
} StoreCall;

struct ClaimClient {
    Daemon *daemon;
    AqClaims *claims;
    /* Router's request number -> OwnClaim, owned by the table. */
    GHashTable *own;
    /* Number with PEER_BIT, assigned by this daemon to a peer's claim ->
     * PeerClaim, owned by the table. */
    GHashTable *peers;
    /* Last number that this daemon assigned to a peer's claim, without
     * PEER_BIT. */
    uint64_t last_peer_number;
    /* List of the OwnClaims (claims of requests that callers sent to this
     * daemon) for which the daemon that owns their partition has not replied
     * yet, oldest first. */
    AqLink sent_to_owner;
    AqRandom random;
    AqTimer timer;
};

/* Bit set in the numbers that this daemon assigns to peers' claims, so that
 * they differ from the router's numbers of this daemon's own requests. */
#define PEER_BIT (UINT64_C(1) << 63)

static void start_timer(ClaimClient *client);

/* ---- Store -------------------------------------------------------------- */

static AqClaimsStoreResult
to_result(const StoreCall *call, AqStoreStatus status)
{
    switch (status) {
    case AQ_STORE_OK:
        return AQ_CLAIMS_STORE_OK;
    case AQ_STORE_ABSENT:
        return AQ_CLAIMS_STORE_ABSENT;
    case AQ_STORE_CONFLICT:
        return AQ_CLAIMS_STORE_EXISTS;
    case AQ_STORE_UNAVAILABLE:
        return AQ_CLAIMS_STORE_UNAVAILABLE;
    default:
        return call->call == AQ_CLAIMS_READ ? AQ_CLAIMS_STORE_UNAVAILABLE
                                            : AQ_CLAIMS_STORE_UNKNOWN;
    }
}

static void
on_store(void *context, const AqStoreReply *reply)
{
    StoreCall *call = context;
    ClaimClient *client = call->client;
    AqClaimsItem *items = calloc(reply->count + 1, sizeof(*items));
    for (size_t i = 0; i < reply->count; i++) {
        items[i].key = reply->items[i].key;
        items[i].value = reply->items[i].value;
        items[i].size = reply->items[i].size;
    }
    AqClaims_StoreDone(client->claims, AqLoop_Now(client->daemon->loop),
                       AqClock_ReadWall(), call->token,
                       to_result(call, reply->status), items, reply->count);
    free(items);
    free(call);
    start_timer(client);
}

/* Handles the reply to a read of the store key of a batch of claims: deletes
 * the batch, unless it was written again after that read. */
static void
on_key_read(void *context, const AqStoreReply *reply)
{
    StoreCall *call = context;
    AqStore *store = call->client->daemon->store;
    if (reply->status != AQ_STORE_OK) {
        on_store(call, reply);
        return;
    }
    store->ops->remove(store, call->key, reply->items[0].index, on_store,
                       call);
}

static void
remove_batches(AqStore *store, StoreCall *call)
{
    if (call->is_prefix) {
        store->ops->remove_all(store, call->key, on_store, call);
    }
    else {
        store->ops->get(store, call->key, on_key_read, call);
    }
}

static void
store_call(void *context, uint64_t token, AqClaimsStoreCall kind,
           bool is_prefix, const char *key, const void *value, size_t size)
{
    ClaimClient *client = context;
    AqStore *store = client->daemon->store;
    StoreCall *call = calloc(1, sizeof(*call));
    call->client = client;
    call->token = token;
    call->call = kind;
    call->is_prefix = is_prefix;
    strncpy(call->key, key, sizeof(call->key) - 1);
    if (kind == AQ_CLAIMS_CREATE) {
        store->ops->put(store, key, value, size, 0, on_store, call);
    }
    else if (kind == AQ_CLAIMS_REMOVE) {
        remove_batches(store, call);
    }
    else if (is_prefix) {
        store->ops->list(store, key, on_store, call);
    }
    else {
        store->ops->get(store, key, on_store, call);
    }
}

static const char *
owner_of(ClaimClient *client, const uint8_t hash[16])
{
    char role[32];
    snprintf(role, sizeof(role), "claims/%d", AqClaims_Partition(hash));
    return AqMembership_Owner(client->daemon->membership,
                              AqLoop_Now(client->daemon->loop), role);
}

static void
send_release(ClaimClient *client, const OwnClaim *own)
{
    const char *owner = owner_of(client, own->claim.hash);
    AqMsg msg = {.type = AQ_MSG_RELEASE};
    msg.as.claim = own->claim;
    if (strcmp(owner, client->daemon->settings->node_id) == 0 ||
        !Peers_Send(client->daemon->peers, owner, &msg)) {
        AqClaims_Release(client->claims, AqLoop_Now(client->daemon->loop),
                         AqClock_ReadWall(), &own->claim);
    }
}

/* ---- Verdicts ----------------------------------------------------------- */

static AqRouterClaim
to_router(AqClaimVerdict verdict)
{
    switch (verdict) {
    case AQ_CLAIM_GRANTED:
        return AQ_ROUTER_CLAIM_GRANTED;
    case AQ_CLAIM_DUPLICATE:
        return AQ_ROUTER_CLAIM_DUPLICATE;
    default:
        return AQ_ROUTER_CLAIM_UNAVAILABLE;
    }
}

static void
respond_to_peer(ClaimClient *client, uint64_t number, AqClaimVerdict verdict)
{
    PeerClaim *peer = g_hash_table_lookup(client->peers, &number);
    if (peer == NULL) {
        return;
    }
    AqMsg msg = {.type = AQ_MSG_CLAIM_RESULT};
    msg.as.claim_result.request = peer->request;
    msg.as.claim_result.verdict = verdict;
    Peers_Send(client->daemon->peers, peer->from, &msg);
    g_hash_table_remove(client->peers, &number);
}

static void
decide(ClaimClient *client, uint64_t request, AqClaimVerdict verdict)
{
    OwnClaim *own = g_hash_table_lookup(client->own, &request);
    if (own == NULL || own->decided) {
        return;
    }
    AqList_Remove(&own->link);
    own->decided = true;
    if (verdict == AQ_CLAIM_UNAVAILABLE && own->requested_until != 0) {
        /* This daemon sent the claim to the daemon that owns the claim's
         * partition, and that daemon might store the claim later.  The request
         * is refused as not run; the release lets a repeat of the request
         * claim the id. */
        send_release(client, own);
    }
    AqRouter_ClaimDone(client->daemon->router,
                       AqLoop_Now(client->daemon->loop), request,
                       to_router(verdict));
}

static void
on_decided(void *context, uint64_t request, AqClaimVerdict verdict)
{
    ClaimClient *client = context;
    if (request & PEER_BIT) {
        respond_to_peer(client, request, verdict);
    }
    else {
        decide(client, request, verdict);
    }
}

static const AqClaimsOps claims_ops = {
    .store_call = store_call,
    .decided = on_decided,
};

/* ---- Own claims --------------------------------------------------------- */

static void
submit_locally(ClaimClient *client, OwnClaim *own)
{
    AqList_Remove(&own->link);
    AqClaims_Submit(client->claims, AqLoop_Now(client->daemon->loop),
                    AqClock_ReadWall(), own->request, &own->claim);
    start_timer(client);
}

static void
free_own(gpointer data)
{
    OwnClaim *own = data;
    AqList_Remove(&own->link);
    free(own);
}

void
ClaimClient_Claim(ClaimClient *client, uint64_t request, const char *service,
                  const char *request_id)
{
    const char *self = client->daemon->settings->node_id;
    OwnClaim *own = calloc(1, sizeof(*own));
    AqList_Init(&own->link);
    own->request = request;
    own->claim.request = request;
    own->claim.nonce = AqRandom_Next(&client->random);
    AqClaims_Hash(service, request_id, own->claim.hash);
    strncpy(own->claim.holder, self, sizeof(own->claim.holder) - 1);
    g_hash_table_replace(client->own, &own->request, own);

    const char *owner = owner_of(client, own->claim.hash);
    if (strcmp(owner, self) != 0) {
        AqMsg msg = {.type = AQ_MSG_CLAIM};
        msg.as.claim = own->claim;
        if (Peers_Send(client->daemon->peers, owner, &msg)) {
            own->requested_until =
                AqLoop_Now(client->daemon->loop) + OWNER_TIMEOUT_MS;
            AqList_Append(&client->sent_to_owner, &own->link);
            start_timer(client);
            return;
        }
    }
    submit_locally(client, own);
}

void
ClaimClient_Forget(ClaimClient *client, uint64_t request)
{
    OwnClaim *own = g_hash_table_lookup(client->own, &request);
    if (own == NULL) {
        return;
    }
    if (AqList_IsLinked(&own->link)) {
        /* The daemon that owns the claim's partition may have written the
         * claim to the store already, or may still do so.  The release is sent
         * on the same connection after the claim, so that the owner handles
         * the release second. */
        AqMsg msg = {.type = AQ_MSG_RELEASE};
        msg.as.claim = own->claim;
        Peers_Send(client->daemon->peers, owner_of(client, own->claim.hash),
                   &msg);
    }
    else {
        AqClaims_Cancel(client->claims, AqLoop_Now(client->daemon->loop),
                        AqClock_ReadWall(), request);
    }
    g_hash_table_remove(client->own, &request);
    start_timer(client);
}

void
ClaimClient_Release(ClaimClient *client, uint64_t request)
{
    OwnClaim *own = g_hash_table_lookup(client->own, &request);
    if (own == NULL) {
        return;
    }
    send_release(client, own);
    g_hash_table_remove(client->own, &request);
    start_timer(client);
}

void
ClaimClient_End(ClaimClient *client, uint64_t request)
{
    g_hash_table_remove(client->own, &request);
}

/* ---- Peers -------------------------------------------------------------- */

void
ClaimClient_OnPeerClaim(ClaimClient *client, const char *from,
                        const AqMsgClaim *claim)
{
    if (g_hash_table_size(client->peers) >= MAX_PEER_CLAIMS) {
        return;
    }
    PeerClaim *peer = calloc(1, sizeof(*peer));
    uint64_t *number = g_new(uint64_t, 1);
    *number = PEER_BIT | ++client->last_peer_number;
    strncpy(peer->from, from, sizeof(peer->from) - 1);
    peer->request = claim->request;
    g_hash_table_replace(client->peers, number, peer);
    AqClaims_Submit(client->claims, AqLoop_Now(client->daemon->loop),
                    AqClock_ReadWall(), *number, claim);
    start_timer(client);
}

void
ClaimClient_OnPeerRelease(ClaimClient *client, const AqMsgClaim *claim)
{
    AqClaims_Release(client->claims, AqLoop_Now(client->daemon->loop),
                     AqClock_ReadWall(), claim);
    start_timer(client);
}

void
ClaimClient_OnPeerResult(ClaimClient *client, const AqMsgClaimResult *result)
{
    decide(client, result->request, result->verdict);
}

/* ---- Timer -------------------------------------------------------------- */

static void
on_timer(void *context)
{
    ClaimClient *client = context;
    AqTime now = AqLoop_Now(client->daemon->loop);
    AqList_ForEachSafe(at, after, &client->sent_to_owner)
    {
        OwnClaim *own = AqList_Entry(at, OwnClaim, link);
        if (own->requested_until <= now) {
            /* The claim keeps its nonce (random number), so that a claim that
             * the owner of the partition has already written to the store is
             * recognised as the same claim. */
            submit_locally(client, own);
        }
    }
    AqClaims_Tick(client->claims, now, AqClock_ReadWall());
    start_timer(client);
}

static void
start_timer(ClaimClient *client)
{
    AqTime due = AqClaims_NextTick(client->claims);
    if (!AqList_IsEmpty(&client->sent_to_owner)) {
        /* All claims sent to an owner have the same time limit for the reply,
         * so the oldest claim is due first. */
        AqTime first = AqList_Entry(client->sent_to_owner.next, OwnClaim, link)
                           ->requested_until;
        due = first < due ? first : due;
    }
    if (due != AQ_TIME_NEVER) {
        AqTimer_Start(client->daemon->loop, &client->timer, due);
    }
}

ClaimClient *
ClaimClient_Create(Daemon *daemon)
{
    ClaimClient *client = calloc(1, sizeof(*client));
    AqClaimsConfig config = {
        .retention_ms = daemon->settings->claims_retention_ms,
        .batch_ms = daemon->settings->claims_batch_ms,
        .store_timeout_ms = daemon->settings->store_timeout_ms,
        .prefix_removal = true,
    };
    client->daemon = daemon;
    client->claims = AqClaims_Create(daemon->settings->node_id, &config,
                                     &claims_ops, client, daemon->instance);
    client->own =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_own);
    client->peers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free);
    AqList_Init(&client->sent_to_owner);
    AqRandom_Seed(&client->random, daemon->instance ^ UINT64_C(0x9e3779b9));
    AqTimer_Init(&client->timer, on_timer, client);
    return client;
}

void
ClaimClient_Destroy(ClaimClient *client)
{
    if (client == NULL) {
        return;
    }
    AqTimer_Stop(&client->timer);
    g_hash_table_destroy(client->own);
    g_hash_table_destroy(client->peers);
    AqClaims_Destroy(client->claims);
    free(client);
}
