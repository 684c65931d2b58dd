#ifndef FAKE_DAEMON_H
#define FAKE_DAEMON_H

#include "aq_random.h"
#include "fleet_internal.h"

/* Stand-ins for the store's head key, the platform's VMs and the commit
 * procedure of a daemon (section 4.1).  A daemon makes one store call per
 * step, so that a test can interleave daemons and crash them between any two.
 */

/* ---- Store ------------------------------------------------------------ */

/* What happens to a write; without REPLY_OK the daemon gets no reply. */
typedef enum {
    REPLY_OK,
    REPLY_LOST_BEFORE, /* the write does not reach the store */
    REPLY_LOST_AFTER,  /* the write takes effect */
    REPLY_LATE         /* fake_store_deliver applies the write */
} FakeReply;

/* Result of a compare-and-swap as the daemon sees it. */
typedef enum {
    CAS_DONE,
    CAS_CONFLICT,
    CAS_UNKNOWN /* no reply */
} FakeCas;

typedef struct {
    char *head;            /* text of head; NULL before the first write */
    int64_t index;         /* store index of head */
    json_t *snapshots;     /* key -> text */
    char *delayed_head;    /* text of a delayed write, or NULL */
    int64_t delayed_index; /* index that this write compares */
    bool no_cas;           /* test switch: writes ignore the index */
    bool check;            /* check every version that is written */
    AqFleet *oracle;       /* with "check": the document as written */
    GHashTable *ops;       /* with "check": all operation ids written */
    char fault[600];       /* first violated invariant; "" when none */
    int64_t writes;
    int64_t reads;
} FakeStore;

void fake_store_init(FakeStore *store, bool check);
void fake_store_clear(FakeStore *store);
/* Writes head if "index" is its current index. */
FakeCas fake_store_cas(FakeStore *store, const char *text, int64_t index,
                       FakeReply reply);
/* Applies the delayed write, if there is one. */
void fake_store_deliver(FakeStore *store);

/* ---- Platform --------------------------------------------------------- */

typedef struct {
    bool up;
    bool leaving;
    bool never_returns; /* stays down after a reboot */
    bool unhealthy;     /* up, but fails its health checks */
    int64_t up_at_ms; /* time at which a VM that is down comes up; 0: never */
    int64_t up_since_ms;          /* time since which it has been up */
    int64_t last_reboot_since_ms; /* "since" of the last reboot order */
    const char *listed;           /* state in the VM list, or NULL */
} FakeVm;

typedef struct {
    GHashTable *vms; /* id -> FakeVm */
    int64_t now_ms;
    int64_t listed_at_ms; /* time of the last update of the VM list */
    int64_t list_lag_ms;  /* time between updates of the VM list */
    int64_t reboot_ms;    /* mean duration of a reboot */
    /* Time from the begin of a drain until no request is in flight. */
    int64_t in_flight_ms;
    AqRandom random;
    const AqFleet *fleet; /* document of the planner that makes a step */
} FakePlatform;

void fake_platform_init(FakePlatform *platform, uint64_t seed);
void fake_platform_clear(FakePlatform *platform);
/* Returns the VM of that id; adds it, up and listed live, if it is new. */
FakeVm *fake_platform_vm(FakePlatform *platform, const char *id);
/* Advances virtual time. */
void fake_platform_advance(FakePlatform *platform, int64_t ms);
/* Takes a VM down until "up_at_ms"; 0: for good. */
void fake_platform_fail(FakeVm *vm, int64_t up_at_ms);
/* Carries out the reboot orders of a planner step, each of them once. */
void fake_platform_reboot(FakePlatform *platform, const AqFleet *fleet,
                          const json_t *reboots);
extern const AqPlannerView fake_platform_view;

/* ---- Daemon ----------------------------------------------------------- */

/* Next step of a daemon's commit procedure. */
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
    int64_t index; /* store index of the head from which "fleet" was read */
    AqFleet *next; /* clone of "fleet" that the next write commits, or NULL */
    /* Store index of the head on which "next" was evaluated.  A watch may
     * deliver a newer head before the compare-and-swap. */
    int64_t next_index;
    AqPlanner *planner;
    json_t *intent; /* NULL: planner step */
    json_t *set;    /* upserts of the operation */
    char op[64];    /* id of the operation */
    int serial;
    FakePhase phase;
    FakeOutcome outcome;
    bool is_head_read; /* head was read since the intent arrived */
    /* Test switch: does not look for its operation id after a lost reply. */
    bool no_read_back;
    bool no_reevaluate; /* test switch: refuses an intent on a conflict */
    /* Refused although the document in the store allows the intent. */
    bool is_needless_refusal;
    AqError error;
} FakeDaemon;

void fake_daemon_init(FakeDaemon *daemon, FakeStore *store,
                      FakePlatform *platform);
void fake_daemon_clear(FakeDaemon *daemon);
/* Begins an intent (stolen) or, with NULL, a planner step. */
void fake_daemon_begin(FakeDaemon *daemon, json_t *intent, const char *op);
/* Makes one step of the commit procedure; "reply" is what happens to a
 * write of head in it. */
void fake_daemon_step(FakeDaemon *daemon, FakeReply reply);
/* Makes steps without faults until the operation has ended. */
void fake_daemon_finish(FakeDaemon *daemon);
/* Restarts the daemon without its memory.  A running intent is sent again by
 * the operator's client; a planner step is lost. */
void fake_daemon_crash(FakeDaemon *daemon);
/* Reads head, as a watch does. */
void fake_daemon_read(FakeDaemon *daemon);

/* Returns a new intent; "args" is stolen. */
json_t *fake_intent(const char *op, const char *kind, json_t *args);

#endif
