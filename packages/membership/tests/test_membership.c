#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_membership.h"
#include "aq_slices.h"

enum {
    PEERS = 5
};

/* Five daemons; "self" is vm-0.  The others' heartbeats are written by hand,
 * acknowledging the last heartbeat of vm-0 unless told otherwise. */
typedef struct {
    AqMembership *m;
    uint64_t seq; /* of the last heartbeat of vm-0 */
} Fixture;

static const char *const ids[PEERS] = {"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"};

static void
beat_self(Fixture *f, AqTime now)
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
    beat_self(&f, now);
    return f;
}

typedef struct {
    int64_t version;
    int64_t store_age;
    bool joining;
    bool deaf; /* does not hear vm-0 */
    int64_t silence_of_4;
} Said;

static void
hear(Fixture *f, AqTime now, int from, uint64_t instance, const Said *said)
{
    AqWireCount peer_ages[2] = {{"vm-0", 0}, {"vm-4", said->silence_of_4}};
    uint64_t seqs[2] = {said->deaf ? 0 : f->seq, 1};
    AqWireCount leaving[1] = {{"w-1", from}};
    AqMsgHeartbeat beat = {.seq = (uint64_t)now,
                           .instance = instance,
                           .epoch = 3,
                           .version = said->version,
                           .store_age_ms = said->store_age,
                           .joining = said->joining,
                           .peer_ages = peer_ages,
                           .peer_age_count = 2,
                           .acked_seq = seqs,
                           .leaving = leaving,
                           .leaving_count = 1};
    AqMembership_Heartbeat(f->m, now, ids[from], &beat);
}

static const int64_t NEVER = AQ_WIRE_MAX_AGE_MS;

/* Guards against each way in which a daemon could call itself fresh without
 * having the newest accepted version, or refuse requests without need. */
static void
test_freshness(void)
{
    static const struct {
        const char *what;
        AqTime own_contact; /* age; 0 for none */
        Said said[4];       /* of vm-1 ..; version 0: silent */
        bool fresh;
    } cases[] = {
        {"own contact of 3 s", 3000, {{0}}, true},
        {"own contact too old", 3001, {{0}}, false},
        {"nothing heard", 0, {{0}}, false},
        {"a peer's contact", 0, {{10, 2900, 0, 0, 0}}, true},
        {"a peer's contact too old", 0, {{10, 2999, 0, 0, 0}}, false},
        {"a peer's contact, newer version", 0, {{11, 0, 0, 0, 0}}, false},
        {"a peer's contact, older version", 0, {{9, 0, 0, 0, 0}}, true},
        {"a peer's contact, not acknowledged", 0, {{10, 0, 0, 1, 0}}, false},
        {"minority without the store", 0, {{10, NEVER, 0, 0, 0}}, false},
        /* vm-0 has just started; it counts once others have settled it. */
        {"own start, two others",
         0,
         {{10, NEVER, 0, 0, 0}, {10, NEVER, 0, 0, 0}},
         false},
        {"majority of others",
         0,
         {{10, NEVER, 0, 0, 0}, {10, NEVER, 0, 0, 0}, {9, NEVER, 0, 0, 0}},
         true},
        {"majority with a joining member",
         0,
         {{10, NEVER, 0, 0, 0}, {10, NEVER, 0, 0, 0}, {10, NEVER, 1, 0, 0}},
         false},
        {"majority with a newer version",
         0,
         {{10, NEVER, 0, 0, 0}, {10, NEVER, 0, 0, 0}, {11, NEVER, 0, 0, 0}},
         false},
        {"settled, two others",
         4000,
         {{10, NEVER, 0, 0, 0}, {10, NEVER, 0, 0, 0}},
         true},
        {"settled, one of three reaches the store with a newer version",
         4000,
         {{10, NEVER, 0, 0, 0}, {10, NEVER, 0, 0, 0}, {11, 0, 0, 0, 0}},
         false},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture f = set_up(10000);
        if (cases[i].own_contact > 0) {
            AqMembership_StoreContact(f.m, 10100 - cases[i].own_contact);
        }
        for (int p = 0; p < 4; p++) {
            if (cases[i].said[p].version > 0) {
                hear(&f, 10050, p + 1, 7, &cases[i].said[p]);
            }
        }
        bool fresh = AqMembership_IsFresh(f.m, 10100);
        if (fresh != cases[i].fresh) {
            printf("case: %s\n", cases[i].what);
        }
        CU_ASSERT_EQUAL(fresh, cases[i].fresh);
        AqMembership_Destroy(f.m);
    }
}

/* Guards against a heartbeat that waited in a buffer during a pause and makes
 * the daemon fresh on resume. */
static void
test_held_up_heartbeat(void)
{
    Fixture f = set_up(10000);
    hear(&f, 70000, 1, 7, &(Said){10, 0, false, false, 0});
    CU_ASSERT_FALSE(AqMembership_IsFresh(f.m, 70000));
    CU_ASSERT_FALSE(AqMembership_IsLive(f.m, 70000, "vm-1"));
    beat_self(&f, 70001);
    hear(&f, 70010, 1, 7, &(Said){10, 0, false, false, 0});
    CU_ASSERT_TRUE(AqMembership_IsFresh(f.m, 70020));
    CU_ASSERT_TRUE(AqMembership_IsLive(f.m, 70020, "vm-1"));
    AqMembership_Destroy(f.m);
}

/* Guards against a peer's contact that does not count although this daemon
 * has caught up with the peer's version since. */
static void
test_contact_after_catching_up(void)
{
    Fixture f = set_up(10000);
    hear(&f, 10010, 1, 7, &(Said){11, 0, false, false, 0});
    const char *peer;
    CU_ASSERT_EQUAL(AqMembership_HighestVersion(f.m, &peer), 11);
    CU_ASSERT_STRING_EQUAL(peer, "vm-1");
    CU_ASSERT_FALSE(AqMembership_IsFresh(f.m, 10020));
    AqMembership_SetVersion(f.m, 11);
    CU_ASSERT_TRUE(AqMembership_IsFresh(f.m, 10020));
    AqMembership_Destroy(f.m);
}

/* Guards against acceptance by less than a majority, against reports of an
 * instance that has gone, and against counts over members that did not
 * report. */
static void
test_acceptance(void)
{
    Fixture f = set_up(10000);
    AqMembership_SetVersion(f.m, 11);
    Said old = {10, 0, false, false, 0};
    Said new = {11, 0, false, false, 0};
    hear(&f, 10010, 1, 7, &new);
    hear(&f, 10010, 2, 7, &old);
    CU_ASSERT_FALSE(AqMembership_IsAccepted(f.m, 10020, 11));
    CU_ASSERT_TRUE(AqMembership_IsAccepted(f.m, 10020, 10));
    hear(&f, 10510, 2, 7, &new);
    CU_ASSERT_TRUE(AqMembership_IsAccepted(f.m, 10520, 11));
    CU_ASSERT_FALSE(AqMembership_IsAccepted(f.m, 10520, 12));
    hear(&f, 10530, 2, 8, &old);
    CU_ASSERT_FALSE(AqMembership_IsAccepted(f.m, 10540, 11));
    CU_ASSERT_EQUAL(AqMembership_LeavingInFlight(f.m, "w-1", 10), -1);
    hear(&f, 10530, 3, 7, &new);
    hear(&f, 10530, 4, 7, &new);
    CU_ASSERT_TRUE(AqMembership_IsAppliedByAll(f.m, 10));
    CU_ASSERT_FALSE(AqMembership_IsAppliedByAll(f.m, 11));
    CU_ASSERT_EQUAL(AqMembership_LeavingInFlight(f.m, "w-1", 10), 10);
    CU_ASSERT_EQUAL(AqMembership_LeavingInFlight(f.m, "w-2", 10), 0);
    AqMembership_Destroy(f.m);
}

/* Guards against a member that is removed on too few or too old reports, and
 * against a daemon that, back from a pause, takes all others for silent. */
static void
test_removal(void)
{
    Fixture f = set_up(10000);
    Said silent = {10, 0, false, false, 5000};
    Said hears = {10, 0, false, false, 4999};
    for (AqTime t = 10500; t <= 15500; t += 500) {
        beat_self(&f, t);
        for (int p = 1; p <= 3; p++) {
            hear(&f, t, p, 7, p == 1 ? &silent : &hears);
        }
    }
    CU_ASSERT_PTR_NULL(AqMembership_ToRemove(f.m, 15600));
    hear(&f, 15500, 2, 7, &silent);
    const char *id = AqMembership_ToRemove(f.m, 15600);
    CU_ASSERT_PTR_NOT_NULL_FATAL(id);
    CU_ASSERT_STRING_EQUAL(id, "vm-4");
    beat_self(&f, 90000);
    CU_ASSERT_PTR_NULL(AqMembership_ToRemove(f.m, 90000));
    AqMembership_Destroy(f.m);
}

/* Guards against a peer that is taken for live although it cannot hear this
 * daemon, and against two owners among daemons with the same view. */
static void
test_one_way_cut_and_owner(void)
{
    Fixture f = set_up(10000);
    hear(&f, 10010, 1, 7, &(Said){10, 0, false, true, 0});
    hear(&f, 10010, 2, 7, &(Said){10, 0, false, false, 0});
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

/* Guards against an older epoch that replaces a newer one, and against
 * unbounded memory for peers that are not members. */
static void
test_epoch_and_strangers(void)
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

static int
no_use(void *context, const char *endpoint)
{
    (void)context;
    (void)endpoint;
    return 0;
}

/* Guards against a lone daemon that never gets its slots, and against a new
 * instance that uses them before the guard. */
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
    /* Without the store it is a majority of its epoch by itself. */
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
    CU_ADD_TEST(suite, test_held_up_heartbeat);
    CU_ADD_TEST(suite, test_contact_after_catching_up);
    CU_ADD_TEST(suite, test_acceptance);
    CU_ADD_TEST(suite, test_removal);
    CU_ADD_TEST(suite, test_one_way_cut_and_owner);
    CU_ADD_TEST(suite, test_epoch_and_strangers);
    CU_ADD_TEST(suite, test_single_member);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
