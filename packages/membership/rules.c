#include <string.h>

#include "aq_hash.h"
#include "membership_internal.h"

/* This file derives decisions from the heartbeats and store contacts that
 * membership.c has recorded: which peers are live, whether this daemon may
 * rely on its version of the fleet document (is fresh), whether a majority of
 * the members has accepted a version, which member to remove, and which member
 * owns a role. */

bool
membership_is_majority(const AqMembership *m, size_t count)
{
    return count * 2 > m->count;
}

bool
membership_is_self(const AqMembership *m, const char *id)
{
    return strcmp(id, m->self) == 0;
}

bool
membership_has_recent_heartbeat(const Peer *peer, AqTime now)
{
    return peer->sent_after != TIME_UNKNOWN &&
           now - peer->sent_after <= AQ_FRESH_MS;
}

bool
AqMembership_IsLive(const AqMembership *m, AqTime now, const char *id)
{
    if (membership_is_self(m, id)) {
        return true;
    }
    const Peer *peer = peers_find(&m->peers, id);
    return peer != NULL && peer->last_heartbeat_at != TIME_UNKNOWN &&
           now - peer->last_heartbeat_at <= AQ_SUSPECT_MS &&
           membership_has_recent_heartbeat(peer, now);
}

static bool
is_recent(AqTime contact, AqTime now)
{
    return contact != TIME_UNKNOWN && now - contact <= AQ_FRESH_MS;
}

/* Whether a majority of the members reported, in heartbeats sent at most
 * AQ_FRESH_MS ago, versions of the fleet document that are not above this
 * daemon's, and no member with a newer version reached the store in that
 * time. */
static bool
is_fresh_by_majority(const AqMembership *m, AqTime now)
{
    size_t not_newer = 0;
    for (size_t i = 0; i < m->count; i++) {
        if (membership_is_self(m, m->members[i].id)) {
            not_newer += m->counts_for_majority;
            continue;
        }
        const Peer *peer = peers_find(&m->peers, m->members[i].id);
        if (peer == NULL || !membership_has_recent_heartbeat(peer, now)) {
            continue;
        }
        if (peer->version > m->version) {
            if (is_recent(peer->contact, now)) {
                return false;
            }
            continue;
        }
        not_newer += !peer->joining;
    }
    return m->count > 0 && membership_is_majority(m, not_newer);
}

bool
AqMembership_IsFresh(const AqMembership *m, AqTime now)
{
    if (m->faults & AQ_FAULT_ALWAYS_FRESH) {
        return true;
    }
    if (is_recent(m->contact, now) || is_recent(m->relayed_contact, now)) {
        return true;
    }
    /* relayed_contact does not count the store contact of a peer whose version
     * of the fleet document was above this daemon's when the peer's heartbeat
     * was received.  This daemon may have installed that version since. */
    for (size_t i = 0; i < m->peers.count; i++) {
        const Peer *peer = &m->peers.items[i];
        if (peer->version <= m->version && is_recent(peer->contact, now)) {
            return true;
        }
    }
    return is_fresh_by_majority(m, now);
}

/* Number of members, this daemon included, that have "version" or a later
 * version of the fleet document in force, by the last heartbeat received from
 * each. */
static size_t
count_reported(const AqMembership *m, int64_t version)
{
    size_t n = 0;
    for (size_t i = 0; i < m->count; i++) {
        if (membership_is_self(m, m->members[i].id)) {
            n += m->version >= version;
            continue;
        }
        const Peer *peer = peers_find(&m->peers, m->members[i].id);
        n += peer != NULL && peer->instance != 0 && peer->version >= version;
    }
    return n;
}

bool
AqMembership_IsAccepted(const AqMembership *m, AqTime now, int64_t version)
{
    /* An instance of a daemon never lowers its version of the fleet document,
     * so what a member reported is valid however old its heartbeat is.  A
     * version above this daemon's own does not count as accepted, because this
     * daemon's list of members may be out of date for it. */
    (void)now;
    return m->version >= version && m->count > 0 &&
           membership_is_majority(m, count_reported(m, version));
}

bool
AqMembership_IsAppliedByAll(const AqMembership *m, int64_t version)
{
    return m->version >= version && count_reported(m, version) == m->count;
}

int64_t
AqMembership_HighestVersion(const AqMembership *m, const char **peer)
{
    const Peer *best = NULL;
    for (size_t i = 0; i < m->peers.count; i++) {
        const Peer *at = &m->peers.items[i];
        if (at->instance == 0) {
            continue;
        }
        if (best == NULL || at->version > best->version ||
            (at->version == best->version &&
             at->last_heartbeat_at > best->last_heartbeat_at)) {
            best = at;
        }
    }
    if (peer != NULL) {
        *peer = best != NULL ? best->id : NULL;
    }
    return best != NULL ? best->version : 0;
}

bool
AqMembership_MayChangeMembers(const AqMembership *m, AqTime now)
{
    return (m->faults & AQ_FAULT_CHANGE_UNACCEPTED) || m->count == 0 ||
           AqMembership_IsAccepted(m, now, m->epoch);
}

/* Number of members, this daemon included, that have received no heartbeat of
 * the member "id" in the last AQ_REMOVE_MS. */
static size_t
count_silent(const AqMembership *m, AqTime now, const char *id)
{
    size_t n = 0;
    for (size_t i = 0; i < m->count; i++) {
        const char *reporter = m->members[i].id;
        const Peer *peer = peers_find(&m->peers, reporter);
        if (membership_is_self(m, reporter)) {
            peer = peers_find(&m->peers, id);
            n += peer != NULL &&
                 membership_silence(m, now, peer) >= AQ_REMOVE_MS;
        }
        else if (peer != NULL && strcmp(reporter, id) != 0 &&
                 membership_has_recent_heartbeat(peer, now)) {
            n += count_value(peer->peer_ages, peer->peer_age_count, id, 0) >=
                 AQ_REMOVE_MS;
        }
    }
    return n;
}

const char *
AqMembership_ToRemove(const AqMembership *m, AqTime now)
{
    if (!AqMembership_MayChangeMembers(m, now)) {
        return NULL;
    }
    for (size_t i = 0; i < m->count; i++) {
        const char *id = m->members[i].id;
        if (membership_is_self(m, id)) {
            continue;
        }
        size_t reports = count_silent(m, now, id);
        if (membership_is_majority(m, reports) ||
            (reports > 0 && (m->faults & AQ_FAULT_REMOVE_ALONE))) {
            return id;
        }
    }
    return NULL;
}

const char *
AqMembership_Owner(const AqMembership *m, AqTime now, const char *role)
{
    uint64_t key = AqHash_String(role);
    uint64_t best = 0;
    const char *owner = m->self;
    bool found = false;
    for (size_t i = 0; i < m->count; i++) {
        if (!AqMembership_IsLive(m, now, m->members[i].id)) {
            continue;
        }
        uint64_t weight = AqHash_Rendezvous(key, m->members[i].hash);
        if (!found || weight > best) {
            best = weight;
            owner = m->members[i].id;
            found = true;
        }
    }
    return owner;
}

bool
AqMembership_IsOwner(const AqMembership *m, AqTime now, const char *role)
{
    return membership_is_self(m, AqMembership_Owner(m, now, role)) &&
           AqMembership_IsMember(m, m->self);
}

int64_t
AqMembership_LeavingInFlight(const AqMembership *m, const char *vm,
                             int64_t version)
{
    if (!AqMembership_IsAppliedByAll(m, version)) {
        return -1;
    }
    int64_t sum = 0;
    for (size_t i = 0; i < m->count; i++) {
        const Peer *peer = peers_find(&m->peers, m->members[i].id);
        if (peer != NULL) {
            sum += count_value(peer->leaving, peer->leaving_count, vm, 0);
        }
    }
    return sum;
}

uint64_t
AqMembership_Instance(const AqMembership *m, const char *id)
{
    const Peer *peer = peers_find(&m->peers, id);
    return peer != NULL ? peer->instance : 0;
}

bool
AqMembership_SentAfter(const AqMembership *m, const char *id, AqTime *at)
{
    const Peer *peer = peers_find(&m->peers, id);
    if (peer == NULL || peer->sent_after == TIME_UNKNOWN) {
        return false;
    }
    *at = peer->sent_after;
    return true;
}

bool
AqMembership_IsStarted(const AqMembership *m, AqTime now)
{
    return (m->faults & AQ_FAULT_NO_GUARD) || now - m->created >= AQ_GUARD_MS;
}
