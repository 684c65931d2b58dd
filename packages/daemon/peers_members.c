#include "peers_private.h"

#include <stdlib.h>
#include <string.h>

/* Marks the connection to a peer as required.  If the list of dialled
 * connections has none to the peer at "address", adds one and dials the peer.
 */
static void
require_peer(Peers *peers, const char *id, const char *address)
{
    AqList_ForEach(at, &peers->outgoing)
    {
        Outgoing *out = AqList_Entry(at, Outgoing, link);
        if (strcmp(out->id, id) == 0 && strcmp(out->address, address) == 0) {
            out->is_required = true;
            return;
        }
    }
    Outgoing *out = calloc(1, sizeof(*out));
    out->peers = peers;
    out->fd = -1;
    out->is_required = true;
    strncpy(out->id, id, sizeof(out->id) - 1);
    strncpy(out->address, address, sizeof(out->address) - 1);
    AqBuffer_Init(&out->out);
    AqList_Append(&peers->outgoing, &out->link);
    peers_dial(out, AqLoop_Now(peers->daemon->loop));
}

static void
require_members(Peers *peers, const json_t *members)
{
    const char *id;
    json_t *record;
    json_object_foreach((json_t *)members, id, record)
    {
        const char *address =
            json_string_value(json_object_get(record, "address"));
        const Incoming *in = peers_find_incoming(peers, id);
        if (address != NULL &&
            strcmp(id, peers->daemon->settings->node_id) != 0) {
            /* A member that restarts at another address can correct its record
             * in the fleet document only if the other members dial the new
             * address, which its HELLO message contains. */
            require_peer(peers, id, in != NULL ? in->address : address);
        }
    }
}

static void
require_seeds(Peers *peers)
{
    char *text = strdup(peers->daemon->settings->peers_seeds);
    char *rest = text;
    char *seed;
    while ((seed = strsep(&rest, ", ")) != NULL) {
        if (seed[0] != '\0') {
            require_peer(peers, "", seed);
        }
    }
    free(text);
}

/* Dials the peers that have dialled this daemon but are not members yet: such
 * a peer must receive messages from members before it can join. */
static void
require_joining_peers(Peers *peers)
{
    AqList_ForEach(at, &peers->incoming)
    {
        const Incoming *in = AqList_Entry(at, Incoming, link);
        const Outgoing *out =
            in->id[0] != '\0' ? peers_find_outgoing(peers, in->id) : NULL;
        if (in->id[0] != '\0' && (out == NULL || !out->is_required)) {
            require_peer(peers, in->id, in->address);
        }
    }
}

void
peers_free_outgoing(Outgoing *out)
{
    peers_disconnect(out, 0);
    AqList_Remove(&out->link);
    free(out);
}

void
Peers_Refresh(Peers *peers)
{
    const AqFleet *fleet = Daemon_Fleet(peers->daemon);
    AqList_ForEach(at, &peers->outgoing)
    {
        AqList_Entry(at, Outgoing, link)->is_required = false;
    }
    if (AqFleet_Version(fleet) > 0) {
        require_members(peers, AqFleet_All(fleet, AQ_REC_MEMBER));
    }
    else {
        require_seeds(peers);
    }
    require_joining_peers(peers);
    AqList_ForEachSafe(at, after, &peers->outgoing)
    {
        Outgoing *out = AqList_Entry(at, Outgoing, link);
        if (!out->is_required) {
            peers_free_outgoing(out);
        }
    }
}
