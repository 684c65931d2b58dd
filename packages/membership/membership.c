#include "aq_membership.h"

#include <stdlib.h>
#include <string.h>

#include "aq_hash.h"
#include "membership_internal.h"

enum {
    /* A longer time between two heartbeats that this daemon sends counts as a
     * pause of this daemon. */
    PAUSE_THRESHOLD_MS = 3 * AQ_HEARTBEAT_MS,
    /* A peer that is not a member is removed from the table of peers after
     * this time without a heartbeat. */
    NONMEMBER_RETENTION_MS = 60000,
    /* Limits seq_base to 31 bits, so that the sequence number (seq) of
     * heartbeats, which grows by one per millisecond, stays below 2^32 (five
     * bytes in msgpack) for 24 days after a start. */
    SEQ_BASE_MASK = 0x7fffffff
};

AqMembership *
AqMembership_Create(const char *self, uint64_t instance, AqTime now)
{
    AqMembership *m = calloc(1, sizeof(*m));
    if (m == NULL) {
        abort();
    }
    strncpy(m->self, self, sizeof(m->self) - 1);
    m->instance = instance;
    m->created = now;
    /* The seq_base of each instance of the daemon is almost certainly
     * different, so that sending_time rejects a peer's acknowledgement of a
     * heartbeat of an earlier instance: its sequence number is not above this
     * seq_base, or stands for a time after this instance's last heartbeat. */
    m->seq_base = AqHash_Bytes(&instance, sizeof(instance)) & SEQ_BASE_MASK;
    m->last_fill = now;
    m->listening_since = now;
    m->contact = TIME_UNKNOWN;
    m->relayed_contact = TIME_UNKNOWN;
    return m;
}

void
AqMembership_Destroy(AqMembership *m)
{
    if (m == NULL) {
        return;
    }
    peers_clear(&m->peers);
    free(m->members);
    free(m);
}

void
AqMembership_SetFaults(AqMembership *m, unsigned faults)
{
    m->faults = faults;
}

unsigned
AqMembership_Faults(const AqMembership *m)
{
    return m->faults;
}

/* ---- Epoch -------------------------------------------------------------- */

static int
compare_members(const void *a, const void *b)
{
    return strcmp(((const Member *)a)->id, ((const Member *)b)->id);
}

int
AqMembership_Index(const AqMembership *m, const char *id)
{
    size_t low = 0;
    size_t high = m->count;
    while (low < high) {
        size_t mid = low + (high - low) / 2;
        int order = strcmp(m->members[mid].id, id);
        if (order == 0) {
            return (int)mid;
        }
        if (order < 0) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return -1;
}

static void
fill_member(const AqMembership *m, Member *member, const char *id, AqTime now)
{
    memset(member, 0, sizeof(*member));
    strncpy(member->id, id, sizeof(member->id) - 1);
    member->hash = AqHash_String(member->id);
    int old = AqMembership_Index(m, member->id);
    member->known_since = old >= 0 ? m->members[old].known_since : now;
}

static bool
keep_member(const void *context, const char *id)
{
    return AqMembership_IsMember(context, id);
}

void
AqMembership_SetEpoch(AqMembership *m, AqTime now, int64_t epoch,
                      const char *const *ids, size_t count)
{
    if (m->has_epoch && epoch <= m->epoch) {
        return;
    }
    if (count > AQ_MAX_MEMBERS) {
        count = AQ_MAX_MEMBERS;
    }
    Member *members = calloc(count + 1, sizeof(*members));
    if (members == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        fill_member(m, &members[i], ids[i], now);
    }
    qsort(members, count, sizeof(*members), compare_members);
    free(m->members);
    m->members = members;
    m->count = count;
    m->epoch = epoch;
    m->has_epoch = true;
    /* Daemons that are no members may have filled the table of peers. */
    for (size_t i = 0; i < count; i++) {
        if (strcmp(members[i].id, m->self) != 0) {
            peers_add_replacing(&m->peers, members[i].id, keep_member, m);
        }
    }
}

int64_t
AqMembership_Epoch(const AqMembership *m)
{
    return m->epoch;
}

size_t
AqMembership_Count(const AqMembership *m)
{
    return m->count;
}

const char *
AqMembership_Id(const AqMembership *m, size_t i)
{
    return m->members[i].id;
}

bool
AqMembership_IsMember(const AqMembership *m, const char *id)
{
    return AqMembership_Index(m, id) >= 0;
}

/* ---- Heartbeats and store contacts -------------------------------------- */

void
AqMembership_SetVersion(AqMembership *m, int64_t version)
{
    if (version > m->version) {
        m->version = version;
    }
}

void
AqMembership_StoreContact(AqMembership *m, AqTime started)
{
    if (started > m->contact) {
        m->contact = started;
    }
    m->counts_for_majority = true;
}

/* Sets *at to the time at which this daemon sent the heartbeat with the
 * sequence number "seq"; returns false if this daemon has sent no such
 * heartbeat since its start. */
static bool
sending_time(const AqMembership *m, uint64_t seq, AqTime *at)
{
    if (seq <= m->seq_base ||
        seq - m->seq_base - 1 > (uint64_t)(m->last_fill - m->created)) {
        return false;
    }
    *at = m->created + (AqTime)(seq - m->seq_base - 1);
    return true;
}

/* Sets *at to a time, on this daemon's clock, before which the peer cannot
 * have sent "beat": the time at which this daemon sent the heartbeat that
 * "beat" acknowledges.  This holds however long "beat" was delayed in
 * buffers.  Returns false if "beat" acknowledges no heartbeat of this
 * daemon. */
static bool
earliest_send_time(const AqMembership *m, AqTime now,
                   const AqMsgHeartbeat *beat, AqTime *at)
{
    if (m->faults & AQ_FAULT_RECEIPT_AGE) {
        *at = now;
        return true;
    }
    for (size_t i = 0; beat->acked_seq != NULL && i < beat->peer_age_count;
         i++) {
        if (membership_is_self(m, beat->peer_ages[i].name)) {
            return sending_time(m, beat->acked_seq[i], at);
        }
    }
    return false;
}

/* Updates three times from a heartbeat that the peer sent no earlier than
 * "sent_after"; a time changes only to a later one.  peer->sent_after: the
 * peer cannot have sent its last heartbeat before this time.  peer->contact:
 * the peer last reached the store at this time or later.  m->relayed_contact:
 * some peer last reached the store at this time or later; it is updated only
 * if the heartbeat reports a version of the fleet document that is not above
 * this daemon's. */
static void
record_send_time(AqMembership *m, Peer *peer, AqTime sent_after,
                 const AqMsgHeartbeat *beat)
{
    if (sent_after > peer->sent_after) {
        peer->sent_after = sent_after;
    }
    if (beat->store_age_ms >= AQ_WIRE_MAX_AGE_MS) {
        return;
    }
    AqTime contact = sent_after - beat->store_age_ms;
    if (contact > peer->contact) {
        peer->contact = contact;
    }
    if (beat->version <= m->version && contact > m->relayed_contact) {
        m->relayed_contact = contact;
    }
}

/* Sets counts_for_majority if a majority of the members has reported versions
 * of the fleet document not above this daemon's in heartbeats sent at most
 * AQ_FRESH_MS ago.  This daemon itself, and members that do not count towards
 * majorities themselves (joining), are left out.  This daemon then has every
 * version that a majority of the members accepted, although a restart may have
 * set it back to an older one. */
static void
update_counts_for_majority(AqMembership *m, AqTime now)
{
    size_t not_newer = 0;
    for (size_t i = 0; i < m->count; i++) {
        const Peer *peer = peers_find(&m->peers, m->members[i].id);
        if (peer != NULL && !membership_is_self(m, peer->id) &&
            !peer->joining && membership_has_recent_heartbeat(peer, now) &&
            peer->version <= m->version) {
            not_newer++;
        }
    }
    if (m->count > 0 && membership_is_majority(m, not_newer)) {
        m->counts_for_majority = true;
    }
}

void
AqMembership_Heartbeat(AqMembership *m, AqTime now, const char *from,
                       const AqMsgHeartbeat *beat)
{
    if (membership_is_self(m, from)) {
        return;
    }
    Peer *peer = peers_add(&m->peers, from);
    if (peer == NULL) {
        return;
    }
    if (peer->instance != beat->instance) {
        peer_reset(peer, beat->instance);
    }
    if (beat->seq < peer->seq) {
        return;
    }
    peer_store(peer, now, beat);
    AqTime sent_after;
    if (earliest_send_time(m, now, beat, &sent_after)) {
        record_send_time(m, peer, sent_after, beat);
    }
    if (!m->counts_for_majority) {
        update_counts_for_majority(m, now);
    }
}

void
AqMembership_Disconnected(AqMembership *m, AqTime now, const char *id)
{
    /* A closed connection does not show that the peer has failed: the peer may
     * reconnect at once, and its silence is measured by heartbeats alone. */
    (void)m;
    (void)now;
    (void)id;
}

AqTime
membership_silence(const AqMembership *m, AqTime now, const Peer *peer)
{
    AqTime from = m->listening_since;
    int i = AqMembership_Index(m, peer->id);
    if (i >= 0 && m->members[i].known_since > from) {
        from = m->members[i].known_since;
    }
    if (peer->last_heartbeat_at > from) {
        from = peer->last_heartbeat_at;
    }
    return now - from;
}

static void
fill_peer_ages(const AqMembership *m, AqTime now, AqMsgHeartbeat *beat)
{
    size_t peer_count = m->peers.count;
    beat->peer_ages = calloc(peer_count + 1, sizeof(*beat->peer_ages));
    beat->acked_seq = calloc(peer_count + 1, sizeof(*beat->acked_seq));
    if (beat->peer_ages == NULL || beat->acked_seq == NULL) {
        abort();
    }
    for (size_t i = 0; i < peer_count; i++) {
        const Peer *peer = &m->peers.items[i];
        bool recent = peer->last_heartbeat_at != TIME_UNKNOWN &&
                      now - peer->last_heartbeat_at < AQ_REMOVE_MS;
        if (!recent && !AqMembership_IsMember(m, peer->id)) {
            continue;
        }
        size_t n = beat->peer_age_count++;
        memcpy(beat->peer_ages[n].name, peer->id, sizeof(peer->id));
        beat->peer_ages[n].value = membership_silence(m, now, peer);
        beat->acked_seq[n] = peer->seq;
    }
}

void
AqMembership_FillHeartbeat(AqMembership *m, AqTime now, AqMsgHeartbeat *beat)
{
    if (now - m->last_fill > PAUSE_THRESHOLD_MS) {
        m->listening_since = now;
    }
    m->last_fill = now;
    peers_prune(&m->peers, now - NONMEMBER_RETENTION_MS, keep_member, m);
    beat->seq = m->seq_base + 1 + (uint64_t)(now - m->created);
    beat->instance = m->instance;
    beat->epoch = AqMembership_IsStarted(m, now) ? m->epoch : 0;
    beat->version = m->version;
    beat->store_age_ms = AQ_WIRE_MAX_AGE_MS;
    if (m->contact != TIME_UNKNOWN && now - m->contact < AQ_WIRE_MAX_AGE_MS) {
        beat->store_age_ms = now - m->contact;
    }
    beat->joining = !m->counts_for_majority;
    fill_peer_ages(m, now, beat);
}

size_t
AqMembership_MemoryBytes(const AqMembership *m)
{
    size_t n = sizeof(*m) + (m->count + 1) * sizeof(*m->members) +
               m->peers.capacity * sizeof(*m->peers.items);
    for (size_t i = 0; i < m->peers.count; i++) {
        const Peer *peer = &m->peers.items[i];
        n +=
            (peer->peer_age_count + peer->leaving_count) * sizeof(AqWireCount);
    }
    return n;
}
