#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "aq_carrier.h"
#include "aq_hash.h"
#include "aq_log.h"
#include "aq_peer_socket.h"
#include "carrier_call.h"
#include "carrier_link.h"

enum {
    /* Time for an order and its reply besides what the VM may wait: the
     * carrier waits up to 600 ms for a VM, so a later reply is the carrier's
     * fault. */
    ORDER_TIMEOUT_MS = 900,
    CHECK_INTERVAL_MS = 100,
    /* A carrier that has failed gets no orders for this long. */
    FAILURE_PAUSE_MS = 3000
};

typedef struct {
    AqLink link;
    AqCarrierClient *client;
    char id[AQ_CARRIER_ID_SIZE];
    char address[AQ_CARRIER_ADDRESS_SIZE];
    uint64_t hash;
    CarrierLink *connection; /* NULL: none; tried again from retry_at on */
    AqTime retry_at;
    GHashTable *pending; /* order id -> Pending; owns them */
    /* Ids of the jobs whose text was sent on the connection. */
    GHashTable *texts;
    /* The carrier is no longer chosen: it ends with its last order. */
    bool is_leaving;
} Carrier;

/* An order that was passed to a carrier. */
typedef struct {
    int64_t id;
    AqOrderDone done;
    void *context;
    AqTime timeout_at;
} Pending;

struct AqCarrierClient {
    AqWorkerClient base; /* must be first, since pointers are cast */
    AqLoop *loop;
    AqWorkerClient *direct;
    char node[AQ_CARRIER_ID_SIZE];
    char incarnation[40];
    AqLink carriers;
    AqTimer check_timer;
    int64_t last_id;
};

static AqTime
now_of(const AqCarrierClient *client)
{
    return AqLoop_Now(client->loop);
}

/* ---- Ends of orders ----------------------------------------------------- */

static void
end_unanswered(Pending *pending)
{
    AqOrderReply reply = {.result = AQ_ORDER_UNKNOWN, .clock_ms = -1};
    pending->done(pending->context, &reply);
    free(pending);
}

/* Closes the connection to the carrier and ends its orders, which may have
 * been carried out, as orders without a reply. */
static void
fail_carrier(Carrier *carrier, const char *reason)
{
    GHashTable *pending = carrier->pending;
    GHashTableIter iter;
    gpointer value;
    AqLog_Event(AQ_LOG_WARNING, "carrier_lost",
                "node=%s address=%s pending=%u reason=%s", carrier->id,
                carrier->address, g_hash_table_size(pending),
                AqLog_Quote(reason));
    carrier_link_destroy(carrier->connection);
    carrier->connection = NULL;
    g_hash_table_remove_all(carrier->texts);
    carrier->retry_at = now_of(carrier->client) + FAILURE_PAUSE_MS;
    /* A callback may send further orders. */
    carrier->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_hash_table_iter_init(&iter, pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        end_unanswered(value);
    }
    g_hash_table_destroy(pending);
}

static void
free_carrier(Carrier *carrier)
{
    AqList_Remove(&carrier->link);
    carrier_link_destroy(carrier->connection);
    g_hash_table_destroy(carrier->pending);
    g_hash_table_destroy(carrier->texts);
    free(carrier);
}

/* ---- Connections -------------------------------------------------------- */

static void
on_message(void *context, const CarrierMessage *message)
{
    Carrier *carrier = context;
    if (message->kind != CARRIER_REPLY) {
        fail_carrier(carrier, "unexpected message");
        return;
    }
    const CarrierReply *reply = &message->as.reply;
    Pending *pending = g_hash_table_lookup(carrier->pending, &reply->id);
    if (pending != NULL) {
        g_hash_table_remove(carrier->pending, &reply->id);
        pending->done(pending->context, &reply->reply);
        free(pending);
    }
}

static void
on_connected(void *context)
{
    Carrier *carrier = context;
    const AqCarrierClient *client = carrier->client;
    CarrierHello hello = {.version = CARRIER_VERSION,
                          .node = client->node,
                          .incarnation = client->incarnation};
    AqLog_Event(AQ_LOG_INFO, "carrier_connected", "node=%s address=%s",
                carrier->id, carrier->address);
    carrier_encode_hello(&hello, carrier_link_output(carrier->connection));
}

static void
on_closed(void *context, const char *reason)
{
    fail_carrier(context, reason);
}

static void
dial(Carrier *carrier)
{
    static const CarrierLinkOps ops = {on_message, on_connected, on_closed};
    char ip[16];
    uint16_t port;
    carrier->retry_at = now_of(carrier->client) + FAILURE_PAUSE_MS;
    int fd = AqPeerSocket_Parse(carrier->address, ip, &port)
                 ? AqPeerSocket_Connect(ip, port)
                 : -1;
    if (fd >= 0) {
        carrier->connection = carrier_link_create(carrier->client->loop, fd,
                                                  false, &ops, carrier);
    }
}

/* Closes a connection that is not established in time, and one to a carrier
 * that keeps an order too long: the carrier is frozen or cut off. */
static void
check_carrier(Carrier *carrier)
{
    AqTime now = now_of(carrier->client);
    GHashTableIter iter;
    gpointer value;
    if (carrier->connection == NULL) {
        if (carrier->retry_at <= now && !carrier->is_leaving) {
            dial(carrier);
        }
        return;
    }
    if (!carrier_link_is_connected(carrier->connection)) {
        if (carrier->retry_at <= now) {
            fail_carrier(carrier, "connect timeout");
        }
        return;
    }
    g_hash_table_iter_init(&iter, carrier->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((const Pending *)value)->timeout_at <= now) {
            fail_carrier(carrier, "order timeout");
            return;
        }
    }
}

static void
on_check_due(void *context)
{
    AqCarrierClient *client = context;
    AqList_ForEachSafe(at, after, &client->carriers)
    {
        Carrier *carrier = AqList_Entry(at, Carrier, link);
        check_carrier(carrier);
        if (carrier->is_leaving && g_hash_table_size(carrier->pending) == 0) {
            free_carrier(carrier);
        }
    }
    if (!AqList_IsEmpty(&client->carriers)) {
        AqTimer_Start(client->loop, &client->check_timer,
                      now_of(client) + CHECK_INTERVAL_MS);
    }
}

/* ---- Orders ------------------------------------------------------------- */

/* Returns the connected carrier with the highest weight for the VM, so that
 * each VM keeps its carrier while that one lasts; NULL: none. */
static Carrier *
find_carrier(const AqCarrierClient *client, const char *vm)
{
    Carrier *best = NULL;
    uint64_t best_weight = 0;
    uint64_t key = AqHash_String(vm);
    AqList_ForEach(at, &client->carriers)
    {
        Carrier *carrier = AqList_Entry(at, Carrier, link);
        if (carrier->is_leaving || carrier->connection == NULL ||
            !carrier_link_is_connected(carrier->connection)) {
            continue;
        }
        uint64_t weight = AqHash_Rendezvous(key, carrier->hash);
        if (best == NULL || weight > best_weight) {
            best = carrier;
            best_weight = weight;
        }
    }
    return best;
}

/* Sends the text of the job unless it was sent on this connection. */
static void
send_text(Carrier *carrier, const char *job, const char *text)
{
    CarrierText message = {.job = job, .text = text};
    if (g_hash_table_contains(carrier->texts, job)) {
        return;
    }
    if (g_hash_table_size(carrier->texts) == CARRIER_MAX_TEXTS) {
        g_hash_table_remove_all(carrier->texts);
        message.is_first = true;
    }
    g_hash_table_add(carrier->texts, g_strdup(job));
    carrier_encode_text(&message, carrier_link_output(carrier->connection));
}

/* Passes the order on to the VM's carrier, or calls the VM if it has none. */
static void
send_order(AqCarrierClient *client, CarrierKind kind, CarrierOrder *order,
           AqTime wait_ms, AqOrderDone done, void *context)
{
    Carrier *carrier = find_carrier(client, order->vm);
    if (carrier == NULL) {
        carrier_call(client->direct, kind, order, done, context);
        return;
    }
    if (kind == CARRIER_START) {
        send_text(carrier, order->start.task.job, order->start.text);
    }
    Pending *pending = malloc(sizeof(*pending));
    *pending =
        (Pending){.id = ++client->last_id,
                  .done = done,
                  .context = context,
                  .timeout_at = now_of(client) + ORDER_TIMEOUT_MS + wait_ms};
    order->id = pending->id;
    g_hash_table_insert(carrier->pending, &pending->id, pending);
    carrier_encode_order(kind, order,
                         carrier_link_output(carrier->connection));
}

static void
start(AqWorkerClient *base, const AqOrderTarget *target,
      const AqStartOrder *order, AqOrderDone done, void *context)
{
    CarrierOrder message = {
        .address = target->address, .vm = target->vm, .start = *order};
    send_order((AqCarrierClient *)base, CARRIER_START, &message, 0, done,
               context);
}

static void
stop(AqWorkerClient *base, const AqOrderTarget *target, const AqTaskName *task,
     int64_t run, uint64_t fence, AqOrderDone done, void *context)
{
    CarrierOrder message = {
        .address = target->address,
        .vm = target->vm,
        .start = {.task = *task, .run = run, .fence = fence}};
    send_order((AqCarrierClient *)base, CARRIER_STOP, &message, 0, done,
               context);
}

static void
renew(AqWorkerClient *base, const AqOrderTarget *target,
      const AqRenewalOrder *order, AqOrderDone done, void *context)
{
    CarrierOrder message = {
        .address = target->address, .vm = target->vm, .renewal = *order};
    send_order((AqCarrierClient *)base, CARRIER_RENEW, &message,
               order->wait_ms, done, context);
}

static void
pace(AqWorkerClient *base, const AqOrderTarget *target, const AqTaskName *task,
     int64_t run, int percent, uint64_t fence, AqOrderDone done, void *context)
{
    CarrierOrder message = {
        .address = target->address,
        .vm = target->vm,
        .start = {.task = *task, .run = run, .fence = fence},
        .percent = percent};
    send_order((AqCarrierClient *)base, CARRIER_PACE, &message, 0, done,
               context);
}

static void
ignore_destroy(AqWorkerClient *base)
{
    (void)base;
}

static const AqWorkerClientOps ops = {start, stop, renew, pace,
                                      ignore_destroy};

/* ---- Carriers ----------------------------------------------------------- */

static void
add_carrier(AqCarrierClient *client, const AqCarrierName *name)
{
    Carrier *carrier = calloc(1, sizeof(*carrier));
    AqList_Init(&carrier->link);
    carrier->client = client;
    g_strlcpy(carrier->id, name->id, sizeof(carrier->id));
    g_strlcpy(carrier->address, name->address, sizeof(carrier->address));
    carrier->hash = AqHash_String(carrier->id);
    carrier->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
    carrier->texts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    AqList_Append(&client->carriers, &carrier->link);
    dial(carrier);
}

static bool
is_named(const Carrier *carrier, const AqCarrierName *name)
{
    return strcmp(carrier->id, name->id) == 0 &&
           strcmp(carrier->address, name->address) == 0;
}

void
AqCarrierClient_SetCarriers(AqCarrierClient *client,
                            const AqCarrierName *carriers, size_t count)
{
    bool known[AQ_CARRIER_MAX] = {false};
    AqList_ForEach(at, &client->carriers)
    {
        Carrier *carrier = AqList_Entry(at, Carrier, link);
        carrier->is_leaving = true;
        for (size_t i = 0; i < count; i++) {
            if (!known[i] && is_named(carrier, &carriers[i])) {
                known[i] = true;
                carrier->is_leaving = false;
                break;
            }
        }
    }
    for (size_t i = 0; i < count && i < AQ_CARRIER_MAX; i++) {
        if (!known[i]) {
            add_carrier(client, &carriers[i]);
        }
    }
    if (!AqList_IsLinked(&client->check_timer.link)) {
        on_check_due(client);
    }
}

size_t
AqCarrierClient_Connected(const AqCarrierClient *client)
{
    size_t count = 0;
    AqList_ForEach(at, &client->carriers)
    {
        const Carrier *carrier = AqList_Entry(at, Carrier, link);
        count += carrier->connection != NULL &&
                 carrier_link_is_connected(carrier->connection);
    }
    return count;
}

AqWorkerClient *
AqCarrierClient_Workers(AqCarrierClient *client)
{
    return &client->base;
}

AqCarrierClient *
AqCarrierClient_Create(AqLoop *loop, AqWorkerClient *direct, const char *node,
                       const char *incarnation)
{
    AqCarrierClient *client = calloc(1, sizeof(*client));
    client->base.ops = &ops;
    client->loop = loop;
    client->direct = direct;
    g_strlcpy(client->node, node, sizeof(client->node));
    g_strlcpy(client->incarnation, incarnation, sizeof(client->incarnation));
    AqList_Init(&client->carriers);
    AqTimer_Init(&client->check_timer, on_check_due, client);
    return client;
}

void
AqCarrierClient_Destroy(AqCarrierClient *client)
{
    if (client == NULL) {
        return;
    }
    AqTimer_Stop(&client->check_timer);
    AqList_ForEachSafe(at, after, &client->carriers)
    {
        Carrier *carrier = AqList_Entry(at, Carrier, link);
        if (g_hash_table_size(carrier->pending) > 0) {
            fail_carrier(carrier, "stopping");
        }
        free_carrier(carrier);
    }
    free(client);
}
