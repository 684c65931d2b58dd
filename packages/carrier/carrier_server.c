#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "aq_carrier.h"
#include "aq_log.h"
#include "aq_peer_socket.h"
#include "carrier_call.h"
#include "carrier_link.h"

enum {
    /* Most connections of owners; the oldest is closed for another one. */
    MAX_LINKS = 64
};

struct AqCarrierServer {
    AqLoop *loop;
    AqWorkerClient *workers;
    AqCarrierServerOps ops;
    void *context;
    int fd;
    uint16_t port;
    AqWatch *watch;
    AqLink owners;
    size_t owner_count;
};

/* A connection of an owner.  It stays until its orders have ended, also after
 * the connection has. */
typedef struct {
    AqLink link;
    AqCarrierServer *server; /* NULL: the connection has ended */
    CarrierLink *connection;
    char node[AQ_CARRIER_ID_SIZE];
    bool is_known; /* its hello was accepted */
    unsigned orders;
    unsigned long carried;
    GHashTable *texts; /* job id -> text */
} Owner;

typedef struct {
    Owner *owner;
    int64_t id;
} Order;

static void
free_if_unused(Owner *owner)
{
    if (owner->server == NULL && owner->orders == 0) {
        g_hash_table_destroy(owner->texts);
        free(owner);
    }
}

static void
drop_owner(Owner *owner, const char *reason)
{
    AqLog_Event(AQ_LOG_INFO, "carrier_owner_left",
                "node=%s carried=%lu pending=%u reason=%s", owner->node,
                owner->carried, owner->orders, AqLog_Quote(reason));
    AqList_Remove(&owner->link);
    owner->server->owner_count--;
    carrier_link_destroy(owner->connection);
    owner->connection = NULL;
    owner->server = NULL;
    free_if_unused(owner);
}

/* ---- Orders ------------------------------------------------------------- */

static void
on_reply(void *context, const AqOrderReply *reply)
{
    Order *order = context;
    Owner *owner = order->owner;
    owner->orders--;
    if (owner->connection != NULL) {
        CarrierReply message = {.id = order->id, .reply = *reply};
        carrier_encode_reply(&message, carrier_link_output(owner->connection));
    }
    free(order);
    free_if_unused(owner);
}

static void
carry(Owner *owner, CarrierKind kind, const CarrierOrder *message)
{
    CarrierOrder call = *message;
    call.start.text = g_hash_table_lookup(owner->texts, call.start.task.job);
    if (kind == CARRIER_START && call.start.text == NULL) {
        drop_owner(owner, "start without its text");
        return;
    }
    Order *order = malloc(sizeof(*order));
    order->owner = owner;
    order->id = message->id;
    owner->orders++;
    owner->carried++;
    carrier_call(owner->server->workers, kind, &call, on_reply, order);
}

/* Returns false if the owner sends more texts than agreed. */
static bool
keep_text(Owner *owner, const CarrierText *text)
{
    if (text->is_first) {
        g_hash_table_remove_all(owner->texts);
    }
    g_hash_table_replace(owner->texts, g_strdup(text->job),
                         g_strdup(text->text));
    return g_hash_table_size(owner->texts) <= CARRIER_MAX_TEXTS;
}

static bool
accept_hello(Owner *owner, const CarrierHello *hello)
{
    const AqCarrierServer *server = owner->server;
    owner->is_known = hello->version == CARRIER_VERSION &&
                      server->ops.is_member(server->context, hello->node,
                                            hello->incarnation);
    memcpy(owner->node, hello->node, strlen(hello->node) + 1);
    AqLog_Event(owner->is_known ? AQ_LOG_INFO : AQ_LOG_WARNING,
                owner->is_known ? "carrier_owner_joined"
                                : "carrier_owner_refused",
                "node=%s incarnation=%s version=%lld", owner->node,
                hello->incarnation, (long long)hello->version);
    return owner->is_known;
}

static void
on_message(void *context, const CarrierMessage *message)
{
    Owner *owner = context;
    if (message->kind == CARRIER_HELLO) {
        if (!accept_hello(owner, &message->as.hello)) {
            drop_owner(owner, "not a member");
        }
    }
    else if (owner->is_known && message->kind == CARRIER_TEXT) {
        if (!keep_text(owner, &message->as.text)) {
            drop_owner(owner, "too many texts");
        }
    }
    else if (!owner->is_known || message->kind == CARRIER_REPLY) {
        drop_owner(owner, "unexpected message");
    }
    else {
        carry(owner, message->kind, &message->as.order);
    }
}

static void
on_closed(void *context, const char *reason)
{
    drop_owner(context, reason);
}

/* ---- Connections -------------------------------------------------------- */

static void
drop_oldest_excess(AqCarrierServer *server)
{
    AqList_ForEachSafe(at, after, &server->owners)
    {
        if (server->owner_count <= MAX_LINKS) {
            break;
        }
        drop_owner(AqList_Entry(at, Owner, link), "too many connections");
    }
}

static void
on_acceptable(void *context, int events)
{
    static const CarrierLinkOps ops = {on_message, NULL, on_closed};
    AqCarrierServer *server = context;
    int fd;
    (void)events;
    while ((fd = AqPeerSocket_Accept(server->fd)) >= 0) {
        Owner *owner = calloc(1, sizeof(*owner));
        owner->texts =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        AqList_Init(&owner->link);
        owner->connection =
            carrier_link_create(server->loop, fd, true, &ops, owner);
        if (owner->connection == NULL) {
            free_if_unused(owner);
            continue;
        }
        owner->server = server;
        AqList_Append(&server->owners, &owner->link);
        server->owner_count++;
    }
    drop_oldest_excess(server);
}

AqCarrierServer *
AqCarrierServer_Create(AqLoop *loop, const char *listen,
                       AqWorkerClient *workers, const AqCarrierServerOps *ops,
                       void *context, AqError *error)
{
    char ip[16];
    AqCarrierServer *server = calloc(1, sizeof(*server));
    server->loop = loop;
    server->workers = workers;
    server->ops = *ops;
    server->context = context;
    server->fd = -1;
    AqList_Init(&server->owners);
    if (!AqPeerSocket_Parse(listen, ip, &server->port)) {
        AqError_Set(error, AQ_ERR_INVALID,
                    "\"%s\" is not of the form \"IP:port\"; write one like "
                    "10.0.0.1:9465",
                    listen);
        goto error;
    }
    server->fd = AqPeerSocket_Listen(ip, &server->port, error);
    if (server->fd < 0) {
        goto error;
    }
    server->watch = AqLoop_Watch(loop, server->fd, AQ_READABLE, on_acceptable,
                                 server, error);
    if (server->watch == NULL) {
        goto error;
    }
    return server;

error:
    AqCarrierServer_Destroy(server);
    return NULL;
}

void
AqCarrierServer_Destroy(AqCarrierServer *server)
{
    if (server == NULL) {
        return;
    }
    AqList_ForEachSafe(at, after, &server->owners)
    {
        drop_owner(AqList_Entry(at, Owner, link), "stopping");
    }
    AqLoop_Unwatch(server->loop, server->watch);
    if (server->fd >= 0) {
        close(server->fd);
    }
    free(server);
}

uint16_t
AqCarrierServer_Port(const AqCarrierServer *server)
{
    return server->port;
}
