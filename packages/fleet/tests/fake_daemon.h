#ifndef FAKE_DAEMON_H
#define FAKE_DAEMON_H

#include "aq_random.h"
#include "fleet_internal.h"

/* Stand-ins for the store's head key, the platform's VMs and the commit
 * procedure of a daemon (design page, section 4.1).  fake_daemon_step runs
 * one part of the procedure, with at most one write to the store, so that a
 * test can interleave daemons and crash a daemon between any two parts. */

/* ---- Store ------------------------------------------------------------ */

/* What happens to a daemon's write of head and to the store's reply; the
 * daemon gets the reply only with REPLY_OK. */
typedef enum {
    REPLY_OK,
    /* the write of head does not reach the store */
    REPLY_LOST_BEFORE,
    /* the write of head reaches the store, but the store's reply is lost */
    REPLY_LOST_AFTER,
    /* the write of head is delayed until fake_store_deliver applies it */
    REPLY_LATE
} FakeReply;

/* Result of a compare-and-swap on head as the daemon sees it. */
typedef enum {
    CAS_DONE,
    CAS_CONFLICT,
    CAS_UNKNOWN /* no reply: the write may have taken effect or not */
} FakeCas;

typedef struct {
    char *head;        /* value of the head key; NULL before the first write */
    int64_t index;     /* store revision of head */
    json_t *snapshots; /* store key -> text of the snapshot */
    /* value of head in the write delayed by REPLY_LATE; NULL: no such write */
    char *delayed_head;
    /* store revision of head that the delayed write expects */
    int64_t delayed_index;
    /* test switch: writes of head succeed at any store revision */
    bool no_cas;
    /* the store checks the invariants of every document version written to
     * head */
    bool check;
    /* document that the store read from head after the last write of head;
     * NULL unless "check" is set */
    AqFleet *oracle;
    /* ids of all operations that writes of head have committed; empty unless
     * "check" is set */
    GHashTable *ops;
    /* message about the first violated invariant; "" when no invariant was
     * violated */
    char fault[600];
    int64_t writes;
    int64_t reads;
} FakeStore;

void fake_store_init(FakeStore *store, bool check);
void fake_store_clear(FakeStore *store);
/* Writes "text" to head if the store revision of head is "index"; "reply" says
 * what happens to the write and to the store's reply. */
FakeCas fake_store_cas(FakeStore *store, const char *text, int64_t index,
                       FakeReply reply);
/* Applies the write of head that REPLY_LATE has delayed, if there is one. */
void fake_store_deliver(FakeStore *store);

/* ---- Platform --------------------------------------------------------- */

typedef struct {
    bool up;
    bool leaving;
    bool never_returns; /* the VM stays down after a reboot */
    bool unhealthy; /* the VM fails its health checks also while it is up */
    /* virtual time at which the VM, if down, comes up; 0: never */
    int64_t up_at_ms;
    int64_t up_since_ms; /* virtual time since which the VM has been up */
    /* AqVmView.since of the VM, in ms, at the last reboot order that the
     * platform carried out for the VM; a further order at the same "since"
     * repeats that order and has no effect */
    int64_t last_reboot_since_ms;
    /* state of the VM in the platform's VM list; NULL: not listed */
    const char *listed;
} FakeVm;

typedef struct {
    GHashTable *vms; /* VM id -> FakeVm */
    int64_t now_ms;
    int64_t listed_at_ms; /* virtual time of the last update of the VM list */
    int64_t list_lag_ms;  /* virtual time between updates of the VM list */
    int64_t reboot_ms;    /* mean duration of a reboot */
    /* Virtual time from the beginning of a VM's drain until no request is in
     * flight on the VM. */
    int64_t in_flight_ms;
    AqRandom random;
    const AqFleet *fleet; /* fleet document of the planner step in progress */
} FakePlatform;

void fake_platform_init(FakePlatform *platform, uint64_t seed);
void fake_platform_clear(FakePlatform *platform);
/* Returns the VM of that id.  If the platform has no such VM, adds one that is
 * up and listed live. */
FakeVm *fake_platform_vm(FakePlatform *platform, const char *id);
/* Advances virtual time by "ms", brings up the VMs whose up_at_ms has come,
 * and updates the VM list if its last update was list_lag_ms ago. */
void fake_platform_advance(FakePlatform *platform, int64_t ms);
/* Takes a VM down until the virtual time "up_at_ms"; 0: for good. */
void fake_platform_fail(FakeVm *vm, int64_t up_at_ms);
/* Reboots the VMs whose ids a planner step has put into "reboots"; when later
 * steps repeat the order for a VM, the VM is rebooted only once. */
void fake_platform_reboot(FakePlatform *platform, const AqFleet *fleet,
                          const json_t *reboots);
extern const AqPlannerView fake_platform_view;

/* ---- Daemon ----------------------------------------------------------- */

/* Part of a daemon's commit procedure that fake_daemon_step runs next. */
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
    int64_t index; /* store revision of the head from which "fleet" was read */
    /* clone of "fleet" that the daemon's next write of head commits; NULL: the
     * daemon has no write in preparation */
    AqFleet *next;
    /* Store revision of the head on which the intent or planner step in
     * progress was evaluated.  The compare-and-swap expects this revision,
     * since a watch may have delivered a newer head after the evaluation. */
    int64_t next_index;
    AqPlanner *planner;
    /* intent that the daemon carries out; NULL: a planner step */
    json_t *intent;
    /* upserts that the intent or planner step in progress has made */
    json_t *set;
    char op[64]; /* operation id of the intent or planner step in progress */
    int serial;
    FakePhase phase;
    FakeOutcome outcome;
    bool is_head_read; /* the daemon has read head since the intent arrived */
    /* Test switch: after a lost reply the daemon does not look for its
     * operation id in the document. */
    bool no_read_back;
    /* Test switch: when another commit makes the daemon's write of head fail,
     * the daemon refuses the intent instead of evaluating it again. */
    bool no_reevaluate;
    /* The daemon refused the intent although the document in the store allows
     * the intent. */
    bool is_needless_refusal;
    AqError error;
} FakeDaemon;

void fake_daemon_init(FakeDaemon *daemon, FakeStore *store,
                      FakePlatform *platform);
void fake_daemon_clear(FakeDaemon *daemon);
/* Begins an intent or, if "intent" is NULL, a planner step, under the
 * operation id "op".  Takes over the caller's reference to the intent. */
void fake_daemon_begin(FakeDaemon *daemon, json_t *intent, const char *op);
/* Runs the part of the daemon's commit procedure that daemon->phase names.  If
 * this part writes head, "reply" says what happens to the write and to the
 * store's reply. */
void fake_daemon_step(FakeDaemon *daemon, FakeReply reply);
/* Runs the daemon's commit procedure until the intent or planner step in
 * progress has ended.  The store replies to each write of head on the way
 * (REPLY_OK). */
void fake_daemon_finish(FakeDaemon *daemon);
/* Crashes and restarts the daemon, which loses its document and planner.  The
 * daemon begins an intent in progress again, as if the operator's client had
 * sent the intent once more; a planner step in progress is lost. */
void fake_daemon_crash(FakeDaemon *daemon);
/* Reads head from the store into the daemon's document, as a watch does. */
void fake_daemon_read(FakeDaemon *daemon);

/* Returns a new intent; takes over the caller's reference to "args". */
json_t *fake_intent(const char *op, const char *kind, json_t *args);

#endif
