#ifndef FAKE_DAEMON_H
#define FAKE_DAEMON_H

#include "aq_random.h"
#include "fleet_internal.h"

/* Stand-ins for the store's head key, for the platform's VMs and for the
 * commit procedure of a daemon (section 4.1), one store call per step, so
 * that a test can interleave and crash them anywhere. */

/* ---- Store ------------------------------------------------------------ */

typedef enum {
    REPLY_OK,
    REPLY_LOST_BEFORE, /* the write never arrives */
    REPLY_LOST_AFTER,  /* the write took effect */
    REPLY_LATE         /* the write arrives after later calls */
} FakeReply;

typedef enum {
    CAS_DONE,
    CAS_CONFLICT,
    CAS_UNKNOWN
} FakeCas;

typedef struct {
    char *head; /* NULL while absent */
    int64_t index;
    json_t *snapshots; /* key -> text */
    char *delayed_head;
    int64_t delayed_index;
    bool no_cas;     /* test switch: writes ignore the index */
    bool check;      /* check every version that is written */
    AqFleet *oracle; /* the document as written, with "check" */
    GHashTable *ops; /* every operation ever written, with "check" */
    char fault[600]; /* the first broken rule; "" when none */
    int64_t writes;
    int64_t reads;
} FakeStore;

void fake_store_init(FakeStore *store, bool check);
void fake_store_clear(FakeStore *store);
FakeCas fake_store_cas(FakeStore *store, const char *text, int64_t index,
                       FakeReply reply);
/* Lets a late write arrive. */
void fake_store_deliver(FakeStore *store);

/* ---- Platform --------------------------------------------------------- */

typedef struct {
    bool up;
    bool leaving;
    bool never_returns;  /* does not come back from a reboot */
    bool unhealthy;      /* up, but fails its health checks */
    int64_t up_at_ms;    /* when a VM that is down comes up; 0: never */
    int64_t up_since_ms; /* start of the present healthy time */
    int64_t last_reboot_since_ms; /* "since" of the last reboot order */
    const char *listed;
} FakeVm;

typedef struct {
    GHashTable *vms; /* id -> FakeVm */
    int64_t now_ms;
    int64_t listed_at_ms; /* when the list was last made */
    int64_t list_lag_ms;
    int64_t reboot_ms;    /* mean */
    int64_t in_flight_ms; /* requests in flight end this long after a drain */
    AqRandom random;
    const AqFleet *fleet; /* of the planner that asks */
} FakePlatform;

void fake_platform_init(FakePlatform *platform, uint64_t seed);
void fake_platform_clear(FakePlatform *platform);
FakeVm *fake_platform_vm(FakePlatform *platform, const char *id);
void fake_platform_advance(FakePlatform *platform, int64_t ms);
void fake_platform_fail(FakeVm *vm, int64_t up_at_ms);
void fake_platform_reboot(FakePlatform *platform, const AqFleet *fleet,
                          const json_t *reboots);
extern const AqPlannerView fake_platform_view;

/* ---- Daemon ----------------------------------------------------------- */

typedef enum {
    PHASE_IDLE,
    PHASE_READ,
    PHASE_EVALUATE,
    PHASE_SNAPSHOT,
    PHASE_CAS
} FakePhase;

typedef enum {
    OUTCOME_NONE,
    OUTCOME_ACCEPTED,
    OUTCOME_REFUSED
} FakeOutcome;

typedef struct {
    FakeStore *store;
    FakePlatform *platform;
    AqFleet *fleet;
    int64_t index; /* of the head that "fleet" was read from */
    AqFleet *next; /* evaluated, not yet committed */
    /* Of the head that "next" was evaluated on.  A watch may bring a newer
     * head before the compare-and-swap. */
    int64_t next_index;
    AqPlanner *planner;
    json_t *intent; /* NULL: planner step */
    json_t *set;
    char op[64];
    int serial;
    FakePhase phase;
    FakeOutcome outcome;
    bool is_head_read;  /* head was read since the intent came */
    bool no_read_back;  /* test switch: does not look for the operation */
    bool no_reevaluate; /* test switch: refuses on a conflict */
    bool
        is_needless_refusal; /* refused though the newest document allows it */
    AqError error;
} FakeDaemon;

void fake_daemon_init(FakeDaemon *daemon, FakeStore *store,
                      FakePlatform *platform);
void fake_daemon_clear(FakeDaemon *daemon);
/* Starts an intent (stolen) or, with NULL, a planner step. */
void fake_daemon_begin(FakeDaemon *daemon, json_t *intent, const char *op);
/* Makes one step; "reply" is what happens to a write in it. */
void fake_daemon_step(FakeDaemon *daemon, FakeReply reply);
/* Runs the work to its end without faults. */
void fake_daemon_finish(FakeDaemon *daemon);
/* Loses all memory.  An operator's client sends its intent again. */
void fake_daemon_crash(FakeDaemon *daemon);
/* Reads head, as a watch does. */
void fake_daemon_read(FakeDaemon *daemon);

/* A new intent from format arguments of json_pack for "args". */
json_t *fake_intent(const char *op, const char *kind, json_t *args);

#endif
