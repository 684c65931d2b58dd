#include "peers.h"

#include <stdlib.h>
#include <string.h>

#include "aq_hash.h"

/* Position in peers->items of the first peer whose id does not sort before
 * "id"; peers->count if there is none. */
static size_t
lower_bound(const Peers *peers, const char *id)
{
    size_t low = 0;
    size_t high = peers->count;
    while (low < high) {
        size_t mid = low + (high - low) / 2;
        if (strcmp(peers->items[mid].id, id) < 0) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

Peer *
peers_find(const Peers *peers, const char *id)
{
    size_t i = lower_bound(peers, id);
    if (i < peers->count && strcmp(peers->items[i].id, id) == 0) {
        return &peers->items[i];
    }
    return NULL;
}

static void
grow(Peers *peers)
{
    size_t capacity = peers->capacity > 0 ? peers->capacity * 2 : 8;
    Peer *items = realloc(peers->items, capacity * sizeof(*items));
    if (items == NULL) {
        abort();
    }
    peers->items = items;
    peers->capacity = capacity;
}

Peer *
peers_add(Peers *peers, const char *id)
{
    Peer *found = peers_find(peers, id);
    if (found != NULL || peers->count >= PEERS_MAX) {
        return found;
    }
    size_t i = lower_bound(peers, id);
    if (peers->count == peers->capacity) {
        grow(peers);
    }
    Peer *peer = &peers->items[i];
    memmove(peer + 1, peer, (peers->count - i) * sizeof(*peer));
    peers->count++;
    memset(peer, 0, sizeof(*peer));
    strncpy(peer->id, id, sizeof(peer->id) - 1);
    peer->hash = AqHash_String(peer->id);
    peer->last_heartbeat_at = TIME_UNKNOWN;
    peer_reset(peer, 0);
    return peer;
}

static void
free_lists(Peer *peer)
{
    free(peer->peer_ages);
    free(peer->leaving);
    peer->peer_ages = NULL;
    peer->peer_age_count = 0;
    peer->leaving = NULL;
    peer->leaving_count = 0;
}

/* Removes the peer that has been silent the longest among those for which
 * "keep" returns false. */
static void
remove_most_silent(Peers *peers,
                   bool (*keep)(const void *context, const char *id),
                   const void *context)
{
    Peer *found = NULL;
    for (size_t i = 0; i < peers->count; i++) {
        Peer *peer = &peers->items[i];
        if (!keep(context, peer->id) &&
            (found == NULL ||
             peer->last_heartbeat_at < found->last_heartbeat_at)) {
            found = peer;
        }
    }
    if (found != NULL) {
        free_lists(found);
        peers->count--;
        size_t behind = peers->count - (size_t)(found - peers->items);
        memmove(found, found + 1, behind * sizeof(*found));
    }
}

Peer *
peers_add_replacing(Peers *peers, const char *id,
                    bool (*keep)(const void *context, const char *id),
                    const void *context)
{
    if (peers->count >= PEERS_MAX && peers_find(peers, id) == NULL) {
        remove_most_silent(peers, keep, context);
    }
    return peers_add(peers, id);
}

void
peers_prune(Peers *peers, AqTime limit,
            bool (*keep)(const void *context, const char *id),
            const void *context)
{
    size_t kept = 0;
    for (size_t i = 0; i < peers->count; i++) {
        Peer *peer = &peers->items[i];
        if (peer->last_heartbeat_at < limit && !keep(context, peer->id)) {
            free_lists(peer);
            continue;
        }
        peers->items[kept++] = *peer;
    }
    peers->count = kept;
}

void
peers_clear(Peers *peers)
{
    for (size_t i = 0; i < peers->count; i++) {
        free_lists(&peers->items[i]);
    }
    free(peers->items);
    memset(peers, 0, sizeof(*peers));
}

void
peer_reset(Peer *peer, uint64_t instance)
{
    free_lists(peer);
    peer->instance = instance;
    peer->seq = 0;
    peer->epoch = 0;
    peer->version = 0;
    peer->joining = true;
    peer->sent_after = TIME_UNKNOWN;
    peer->contact = TIME_UNKNOWN;
}

static AqWireCount *
copy_counts(AqWireCount *old, const AqWireCount *items, size_t count)
{
    if (count == 0) {
        free(old);
        return NULL;
    }
    AqWireCount *copy = realloc(old, count * sizeof(*copy));
    if (copy == NULL) {
        abort();
    }
    memcpy(copy, items, count * sizeof(*copy));
    return copy;
}

void
peer_store(Peer *peer, AqTime now, const AqMsgHeartbeat *beat)
{
    peer->seq = beat->seq;
    peer->epoch = beat->epoch;
    peer->version = beat->version;
    peer->joining = beat->joining;
    peer->last_heartbeat_at = now;
    peer->peer_ages =
        copy_counts(peer->peer_ages, beat->peer_ages, beat->peer_age_count);
    peer->peer_age_count = beat->peer_age_count;
    peer->leaving =
        copy_counts(peer->leaving, beat->leaving, beat->leaving_count);
    peer->leaving_count = beat->leaving_count;
}

int64_t
count_value(const AqWireCount *items, size_t count, const char *name,
            int64_t absent)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(items[i].name, name) == 0) {
            return items[i].value;
        }
    }
    return absent;
}
