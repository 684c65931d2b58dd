#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_membership.h"
#include "aq_slices.h"

enum {
    PEERS = 5 /* number of members of the epoch, vm-0 included */
};

/* The daemon under test, vm-0, one of five members.  The tests build the
 * heartbeats of the other members; each acknowledges the last heartbeat of
 * vm-0 unless omits_ack of its PeerReport is set. */
typedef struct {
    AqMembership *m;
    uint64_t seq; /* sequence number of vm-0's last heartbeat */
} Fixture;

static const char *const ids[PEERS] = {"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"};

/* Fills a heartbeat of vm-0 as if vm-0 sent it at "now", and stores its
 * sequence number in f->seq. */
static void
send_heartbeat(Fixture *f, AqTime now)
{
    AqMsg msg = {.type = AQ_MSG_HEARTBEAT};
    AqMembership_FillHeartbeat(f->m, now, &msg.as.heartbeat);
    f->seq = msg.as.heartbeat.seq;
    AqMsg_Clear(&msg);
}

static Fixture
set_up(AqTime now)
{
    Fixture f = {AqMembership_Create("vm-0", 100, now), 0};
    AqMembership_SetEpoch(f.m, now, 3, ids, PEERS);
    AqMembership_SetVersion(f.m, 10);
    send_heartbeat(&f, now);
    return f;
}

/* Fields of a peer's heartbeat that the test cases vary. */
typedef struct {
    int64_t version;
    int64_t store_age_ms;
    bool joining;
    bool omits_ack; /* the heartbeat acknowledges no heartbeat of vm-0 */
    int64_t vm4_silence_ms;
} PeerReport;

/* Passes a heartbeat of the peer ids[from] to vm-0. */
static void
receive_heartbeat(Fixture *f, AqTime now, int from, uint64_t instance,
                  const PeerReport *report)
{
    AqWireCount peer_ages[2] = {{"vm-0", 0}, {"vm-4", report->vm4_silence_ms}};
    uint64_t seqs[2] = {report->omits_ack ? 0 : f->seq, 1};
    AqWireCount leaving[1] = {{"w-1", from}};
    AqMsgHeartbeat beat = {.seq = (uint64_t)now,
                           .instance = instance,
                           .epoch = 3,
                           .version = report->version,
                           .store_age_ms = report->store_age_ms,
                           .joining = report->joining,
                           .peer_ages = peer_ages,
                           .peer_age_count = 2,
                           .acked_seq = seqs,
                           .leaving = leaving,
                           .leaving_count = 1};
    AqMembership_Heartbeat(f->m, now, ids[from], &beat);
}

static const int64_t NO_CONTACT = AQ_WIRE_MAX_AGE_MS;

/* Guards against a daemon that relies on its version of the fleet document
 * (counts as fresh) although a newer version may have been accepted, and
 * against a daemon that counts as stale without need and therefore refuses
 * requests. */
static void
test_freshness(void)
{
    static const struct {
        const char *name;
        /* Age of vm-0's last store contact in the test case; 0: vm-0 has had
         * no store contact. */
        AqTime own_contact_age_ms;
        /* Heartbeats of vm-1 to vm-4, in this order; a report with version 0
         * stands for a peer that has sent no heartbeat. */
        PeerReport reports[4];
        bool fresh;
    } cases[] = {
        {"own contact of 3 s", 3000, {{0}}, true},
        {"own contact too old", 3001, {{0}}, false},
        {"no contact and no heartbeat", 0, {{0}}, false},
        {"a peer's contact", 0, {{10, 2900, 0, 0, 0}}, true},
        {"a peer's contact too old", 0, {{10, 2999, 0, 0, 0}}, false},
        {"a peer's contact, newer version", 0, {{11, 0, 0, 0, 0}}, false},
        {"a peer's contact, older version", 0, {{9, 0, 0, 0, 0}}, true},
        {"a peer's contact, heartbeat without an acknowledgement",
         0,
         {{10, 0, 0, 1, 0}},
         false},
        {"minority, none reaches the store",
         0,
         {{10, NO_CONTACT, 0, 0, 0}},
         false},
        /* vm-0 has just started: it does not count towards a majority of the
         * members until it reaches the store or receives heartbeats from other
         * members that are a majority by themselves. */
        {"just started, two others",
         0,
         {{10, NO_CONTACT, 0, 0, 0}, {10, NO_CONTACT, 0, 0, 0}},
         false},
        {"majority of others",
         0,
         {{10, NO_CONTACT, 0, 0, 0},
          {10, NO_CONTACT, 0, 0, 0},
          {9, NO_CONTACT, 0, 0, 0}},
         true},
        {"majority with a joining member",
         0,
         {{10, NO_CONTACT, 0, 0, 0},
          {10, NO_CONTACT, 0, 0, 0},
          {10, NO_CONTACT, 1, 0, 0}},
         false},
        {"majority with a newer version",
         0,
         {{10, NO_CONTACT, 0, 0, 0},
          {10, NO_CONTACT, 0, 0, 0},
          {11, NO_CONTACT, 0, 0, 0}},
         false},
        {"counted itself, two others",
         4000,
         {{10, NO_CONTACT, 0, 0, 0}, {10, NO_CONTACT, 0, 0, 0}},
         true},
        {"counted itself, one of three reaches the store with a newer version",
         4000,
         {{10, NO_CONTACT, 0, 0, 0},
          {10, NO_CONTACT, 0, 0, 0},
          {11, 0, 0, 0, 0}},
         false},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture f = set_up(10000);
        if (cases[i].own_contact_age_ms > 0) {
            AqMembership_StoreContact(f.m,
                                      10100 - cases[i].own_contact_age_ms);
        }
        for (int p = 0; p < 4; p++) {
            if (cases[i].reports[p].version > 0) {
                receive_heartbeat(&f, 10050, p + 1, 7, &cases[i].reports[p]);
            }
        }
        bool fresh = AqMembership_IsFresh(f.m, 10100);
        if (fresh != cases[i].fresh) {
            printf("case: %s\n", cases[i].name);
        }
        CU_ASSERT_EQUAL(fresh, cases[i].fresh);
        AqMembership_Destroy(f.m);
    }
}

/* Guards against a daemon that, after a pause of its own, trusts a peer's
 * heartbeat that was buffered during the pause.  Until the peer acknowledges a
 * heartbeat sent after the pause, the daemon must not rely on its version of
 * the fleet document (count as fresh) and must not count the peer as live. */
static void
test_delayed_heartbeat(void)
{
    Fixture f = set_up(10000);
    receive_heartbeat(&f, 70000, 1, 7, &(PeerReport){10, 0, false, false, 0});
    CU_ASSERT_FALSE(AqMembership_IsFresh(f.m, 70000));
    CU_ASSERT_FALSE(AqMembership_IsLive(f.m, 70000, "vm-1"));
    send_heartbeat(&f, 70001);
    receive_heartbeat(&f, 70010, 1, 7, &(PeerReport){10, 0, false, false, 0});
    CU_ASSERT_TRUE(AqMembership_IsFresh(f.m, 70020));
    CU_ASSERT_TRUE(AqMembership_IsLive(f.m, 70020, "vm-1"));
    AqMembership_Destroy(f.m);
}

/* Guards against a daemon that ignores a peer's store contact because the
 * peer's version of the fleet document was newer than the daemon's, although
 * the daemon has installed that version since. */
static void
test_contact_after_install(void)
{
    Fixture f = set_up(10000);
    receive_heartbeat(&f, 10010, 1, 7, &(PeerReport){11, 0, false, false, 0});
    const char *peer;
    CU_ASSERT_EQUAL(AqMembership_HighestVersion(f.m, &peer), 11);
    CU_ASSERT_STRING_EQUAL(peer, "vm-1");
    CU_ASSERT_FALSE(AqMembership_IsFresh(f.m, 10020));
    AqMembership_SetVersion(f.m, 11);
    CU_ASSERT_TRUE(AqMembership_IsFresh(f.m, 10020));
    AqMembership_Destroy(f.m);
}

/* Guards against a daemon that counts a version of the fleet document as
 * accepted although less than a majority of the members reported it, or
 * although only a peer's previous instance did.  Also guards against a number
 * of requests in flight (AqMembership_LeavingInFlight) that leaves out members
 * from which no heartbeat has come. */
static void
test_acceptance(void)
{
    Fixture f = set_up(10000);
    AqMembership_SetVersion(f.m, 11);
    PeerReport old = {10, 0, false, false, 0};
    PeerReport new = {11, 0, false, false, 0};
    receive_heartbeat(&f, 10010, 1, 7, &new);
    receive_heartbeat(&f, 10010, 2, 7, &old);
    CU_ASSERT_FALSE(AqMembership_IsAccepted(f.m, 10020, 11));
    CU_ASSERT_TRUE(AqMembership_IsAccepted(f.m, 10020, 10));
    receive_heartbeat(&f, 10510, 2, 7, &new);
    CU_ASSERT_TRUE(AqMembership_IsAccepted(f.m, 10520, 11));
    CU_ASSERT_FALSE(AqMembership_IsAccepted(f.m, 10520, 12));
    receive_heartbeat(&f, 10530, 2, 8, &old);
    CU_ASSERT_FALSE(AqMembership_IsAccepted(f.m, 10540, 11));
    CU_ASSERT_EQUAL(AqMembership_LeavingInFlight(f.m, "w-1", 10), -1);
    receive_heartbeat(&f, 10530, 3, 7, &new);
    receive_heartbeat(&f, 10530, 4, 7, &new);
    CU_ASSERT_TRUE(AqMembership_IsAppliedByAll(f.m, 10));
    CU_ASSERT_FALSE(AqMembership_IsAppliedByAll(f.m, 11));
    CU_ASSERT_EQUAL(AqMembership_LeavingInFlight(f.m, "w-1", 10), 10);
    CU_ASSERT_EQUAL(AqMembership_LeavingInFlight(f.m, "w-2", 10), 0);
    AqMembership_Destroy(f.m);
}

/* Guards against a daemon that removes a member although less than a majority
 * of the members have reported recently that the member is silent, and against
 * a daemon that, after its own pause, counts all others as silent. */
static void
test_removal(void)
{
    Fixture f = set_up(10000);
    PeerReport silent = {10, 0, false, false, 5000};
    PeerReport not_silent = {10, 0, false, false, 4999};
    for (AqTime t = 10500; t <= 15500; t += 500) {
        send_heartbeat(&f, t);
        for (int p = 1; p <= 3; p++) {
            receive_heartbeat(&f, t, p, 7, p == 1 ? &silent : &not_silent);
        }
    }
    CU_ASSERT_PTR_NULL(AqMembership_ToRemove(f.m, 15600));
    receive_heartbeat(&f, 15500, 2, 7, &silent);
    const char *id = AqMembership_ToRemove(f.m, 15600);
    CU_ASSERT_PTR_NOT_NULL_FATAL(id);
    CU_ASSERT_STRING_EQUAL(id, "vm-4");
    send_heartbeat(&f, 90000);
    CU_ASSERT_PTR_NULL(AqMembership_ToRemove(f.m, 90000));
    AqMembership_Destroy(f.m);
}

/* Guards against a peer that counts as live although it does not receive this
 * daemon's heartbeats, and against two owners of one role among daemons that
 * count the same members as live. */
static void
test_one_way_fault_and_owner(void)
{
    Fixture f = set_up(10000);
    receive_heartbeat(&f, 10010, 1, 7, &(PeerReport){10, 0, false, true, 0});
    receive_heartbeat(&f, 10010, 2, 7, &(PeerReport){10, 0, false, false, 0});
    CU_ASSERT_FALSE(AqMembership_IsLive(f.m, 10020, "vm-1"));
    CU_ASSERT_TRUE(AqMembership_IsLive(f.m, 10020, "vm-2"));
    CU_ASSERT_FALSE(AqMembership_IsLive(f.m, 12011, "vm-2"));
    CU_ASSERT_TRUE(AqMembership_IsLive(f.m, 12011, "vm-0"));
    int owned = 0;
    for (int i = 0; i < 100; i++) {
        char role[32];
        snprintf(role, sizeof(role), "claims/%d", i);
        const char *owner = AqMembership_Owner(f.m, 10020, role);
        bool mine = strcmp(owner, "vm-0") == 0;
        CU_ASSERT_TRUE(mine || strcmp(owner, "vm-2") == 0);
        CU_ASSERT_EQUAL(mine, AqMembership_IsOwner(f.m, 10020, role));
        owned += mine;
    }
    CU_ASSERT_TRUE(owned > 25 && owned < 75);
    AqMembership_Destroy(f.m);
}

/* Guards against an older epoch that replaces a newer one, and against memory
 * that grows without limit with the number of peers that are not members. */
static void
test_epoch_and_nonmember_peers(void)
{
    Fixture f = set_up(10000);
    AqMembership_SetEpoch(f.m, 10010, 2, ids, 1);
    CU_ASSERT_EQUAL(AqMembership_Epoch(f.m), 3);
    CU_ASSERT_EQUAL(AqMembership_Count(f.m), PEERS);
    CU_ASSERT_FALSE(AqMembership_IsMember(f.m, "vm-9"));
    AqMsgHeartbeat beat = {.seq = 1, .instance = 1, .version = 1};
    for (int i = 0; i < 5000; i++) {
        char id[32];
        snprintf(id, sizeof(id), "stranger-%d", i);
        AqMembership_Heartbeat(f.m, 10020, id, &beat);
    }
    AqMsg msg = {.type = AQ_MSG_HEARTBEAT};
    AqMembership_FillHeartbeat(f.m, 10030, &msg.as.heartbeat);
    CU_ASSERT_TRUE(msg.as.heartbeat.peer_age_count <= 512);
    AqMsg_Clear(&msg);
    AqMembership_FillHeartbeat(f.m, 90000, &msg.as.heartbeat);
    CU_ASSERT_EQUAL(msg.as.heartbeat.peer_age_count, PEERS - 1);
    msg.type = AQ_MSG_HEARTBEAT;
    AqMsg_Clear(&msg);
    AqMembership_Destroy(f.m);
}

/* Guards against a new member without an entry in the table of peers, and thus
 * never live, because unknown daemons with the secret have filled the
 * table. */
static void
test_new_member_beside_strangers(void)
{
    static const char *const next_ids[] = {"vm-0", "vm-1", "vm-2",
                                           "vm-3", "vm-4", "vm-5"};
    Fixture f = set_up(10000);
    AqMsgHeartbeat beat = {.seq = 1, .instance = 1, .version = 1};
    for (int i = 0; i < 5000; i++) {
        char id[32];
        snprintf(id, sizeof(id), "stranger-%d", i);
        AqMembership_Heartbeat(f.m, 10010, id, &beat);
    }
    AqMembership_SetEpoch(f.m, 10020, 4, next_ids, 6);
    AqWireCount peer_ages[] = {{"vm-0", 0}};
    uint64_t acked = f.seq;
    AqMsgHeartbeat member_beat = {.seq = 1,
                                  .instance = 1,
                                  .epoch = 4,
                                  .version = 10,
                                  .peer_ages = peer_ages,
                                  .peer_age_count = 1,
                                  .acked_seq = &acked};
    AqMembership_Heartbeat(f.m, 10030, "vm-5", &member_beat);
    CU_ASSERT_TRUE(AqMembership_IsLive(f.m, 10040, "vm-5"));
    AqMembership_Destroy(f.m);
}

static int
no_use(void *context, const char *endpoint)
{
    (void)context;
    (void)endpoint;
    return 0;
}

/* Guards against a daemon that, as the only member, never gets usable slots,
 * and against one that uses slots within AQ_GUARD_MS of installing its first
 * epoch. */
static void
test_single_member(void)
{
    AqMembership *m = AqMembership_Create("vm-0", 100, 0);
    AqSlices *s = AqSlices_Create("vm-0", m, 0);
    AqSlices_SetEndpoint(s, 0, "e", 8);
    AqMembership_SetEpoch(m, 10, 1, ids, 1);
    AqMembership_SetVersion(m, 1);
    AqSlices_EpochChanged(s, 10);
    AqMembership_StoreContact(m, 3900);
    CU_ASSERT_EQUAL(AqSlices_Assigned(s, "e"), 8);
    CU_ASSERT_EQUAL(AqSlices_Usable(s, 4009, "e"), 0);
    CU_ASSERT_EQUAL(AqSlices_Usable(s, 4010, "e"), 8);
    /* More than AQ_FRESH_MS after its last store contact, vm-0 may still use
     * its slots, because it is the only member of its epoch, and thus a
     * majority of the members. */
    CU_ASSERT_EQUAL(AqSlices_Usable(s, 6901, "e"), 8);
    AqSlices_RemoveEndpoint(s, "e");
    AqMsg msg = {.type = AQ_MSG_HEARTBEAT};
    AqSlices_FillHeartbeat(s, 6901, no_use, NULL, &msg.as.heartbeat);
    CU_ASSERT_TRUE(msg.as.heartbeat.slots_known);
    AqMsg_Clear(&msg);
    CU_ASSERT_EQUAL(AqSlices_Assigned(s, "e"), 0);
    AqSlices_Destroy(s);
    AqMembership_Destroy(m);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("membership", NULL, NULL);
    CU_ADD_TEST(suite, test_freshness);
    CU_ADD_TEST(suite, test_delayed_heartbeat);
    CU_ADD_TEST(suite, test_contact_after_install);
    CU_ADD_TEST(suite, test_acceptance);
    CU_ADD_TEST(suite, test_removal);
    CU_ADD_TEST(suite, test_one_way_fault_and_owner);
    CU_ADD_TEST(suite, test_epoch_and_nonmember_peers);
    CU_ADD_TEST(suite, test_new_member_beside_strangers);
    CU_ADD_TEST(suite, test_single_member);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
