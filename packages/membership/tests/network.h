#ifndef AQ_TEST_NETWORK_H
#define AQ_TEST_NETWORK_H

#include "aq_membership.h"
#include "aq_random.h"
#include "aq_slices.h"

/* Simulates a small cluster in virtual time: daemons with their membership and
 * slices, a store with one versioned document, links that can fail in one
 * direction, and endpoints that count the requests running on them. */

enum {
    NET_NODES = 9, /* largest number of daemons */
    NET_ENDPOINTS = 4,
    NET_VERSIONS = 4096, /* largest number of document versions */
    NET_STEP_MS = 25     /* virtual time per step */
};

typedef enum {
    LINK_OPEN,
    LINK_DROPPING, /* messages are dropped */
    LINK_STALLED   /* messages arrive, in order, when the fault ends */
} LinkMode;

/* A message on its way over a link. */
typedef struct Packet {
    struct Packet *next;
    AqTime due;           /* arrival time */
    uint64_t to_instance; /* other instances discard the message */
    size_t size;
    char bytes[];
} Packet;

/* One direction of the connection between two daemons. */
typedef struct {
    LinkMode mode;
    AqTime until;  /* end of the fault; then the link is open */
    Packet *first; /* first message of the queue, in order of sending */
    Packet *last;
    AqTime last_heartbeat_at; /* delivery of the last heartbeat; 0 for none */
    /* First heartbeat since the last gap of AQ_REMOVE_MS or more. */
    AqTime received_since;
} Link;

/* A request that a daemon runs on an endpoint until "end". */
typedef struct {
    int endpoint;
    int node;
    uint64_t instance;
    AqTime start;
    AqTime end;
} Request;

typedef struct Network Network;

typedef struct {
    Network *net;
    int index;
    char id[AQ_WIRE_MAX_NAME];
    bool up;
    AqTime restart_at;   /* start of the next instance while not "up" */
    AqTime paused_until; /* 0 if not paused */
    uint64_t instance;
    AqMembership *m;
    AqSlices *s;
    int64_t version; /* version of the document in force */
    AqTime next_heartbeat_at;
    /* Whether a read of the store's newest version is in flight. */
    bool reading;
    AqTime read_started;
    AqTime response_due; /* time by which the store responds */
    /* Version in the store's response while it is in flight; 0: none. */
    int64_t response_version;
    AqTime response_arrives_at;
    AqTime store_unreachable_until;
    AqTime removed_at; /* last removal of this daemon as a member; 0: none */
    double demand;     /* probability per step and endpoint that requests are
                          started on all free slots */
    /* Values at the last check that steady slots do not change. */
    bool was_steady;
    bool was_fresh;
    int64_t steady_epoch;
    int usable[NET_ENDPOINTS]; /* results of AqSlices_Usable */
} Node;

/* Violations found in a run, by kind, and the amount of work done in it. */
typedef struct {
    int over_limit;  /* checks with more requests on an endpoint than slots */
    int stale_fresh; /* daemon fresh 4 s after a newer version was accepted */
    int wrong_removals; /* removed members whose heartbeats reach a majority */
    int not_returned;   /* slots still leased after the final quiet phase */
    int not_usable;     /* missing or surplus usable slots after that phase */
    int inconsistent;   /* AqSlices_CheckConsistency failed */
    int not_steady;     /* usable slots changed despite AqSlices_IsSteady */
    /* Events that show that the run exercised the rules. */
    int epochs;
    int accepted; /* accepted versions */
    int requests;
    int slot_leases;
    int max_on_endpoint; /* most requests on one endpoint at once */
} RunStats;

struct Network {
    AqRandom random;
    AqTime now;
    int nodes;
    unsigned faults;
    Node node[NET_NODES];
    Link link[NET_NODES][NET_NODES]; /* by sender and receiver */
    Request *requests;
    size_t request_count;
    size_t request_capacity;
    int slots[NET_ENDPOINTS];
    int64_t head; /* newest version in the store */
    int64_t epoch_of[NET_VERSIONS];
    unsigned members_of[NET_VERSIONS]; /* bit masks of nodes */
    AqTime accepted_at[NET_VERSIONS];  /* 0: not accepted yet */
    int64_t highest_accepted;
    AqTime head_changed;
    AqTime store_down_until;
    AqTime store_slow_until;
    bool quiet; /* no faults and no new requests */
    AqTime longest_request;
    /* Whether requests of removed daemons are exempt from the limit; see
     * is_exempt. */
    bool exempt_removed;
    RunStats stats;
};

/* Starts "nodes" daemons at once; "faults" are AQ_FAULT_* bits. */
void network_init(Network *net, uint64_t seed, int nodes, unsigned faults);
void network_clear(Network *net);
/* Runs the cluster for "ms" of virtual time. */
void network_run(Network *net, AqTime ms);
/* Ends every link fault, pause and outage, and starts no more requests. */
void network_end_faults(Network *net);
/* Counts, after the quiet phase, the slots that are still leased or not usable
 * by exactly one daemon. */
void network_check_end(Network *net);

/* Sets the mode of a link for "ms"; LINK_DROPPING also drops the messages on
 * their way. */
void network_set_link(Network *net, int from, int to, LinkMode mode,
                      AqTime ms);
/* Pauses a daemon for "ms": it neither sends nor receives. */
void network_pause(Network *net, int node, AqTime ms);
/* Stops a daemon and starts a new instance of it after "down_ms". */
void network_restart(Network *net, int index, AqTime down_ms);
/* Commits a version of the document with the same members. */
void network_commit(Network *net);
/* Starts a fault of random kind, place and length. */
void network_inject_fault(Network *net, AqTime longest_pause);

/* Number of requests that all daemons run on an endpoint. */
int network_in_use(const Network *net, int endpoint);

/* ---- Internal to the network*.c files ----------------------------------- */

/* Uniformly distributed time from "low" to "high", inclusive. */
AqTime network_random_ms(Network *net, AqTime low, AqTime high);
bool network_is_running(const Network *net, const Node *node);
/* Index of the daemon with this id, which must exist. */
int network_node_of(const Network *net, const char *id);
const char *network_endpoint(int endpoint);
/* Count the violations at one daemon and at the endpoints. */
void network_check_node(Network *net, Node *node);
void network_check_endpoints(Network *net);
/* Puts a version of the document in force at a daemon. */
void network_install(Network *net, Node *node, int64_t version);
/* Runs a step of the daemon's watch on the store's newest version. */
void network_step_store(Network *net, Node *node);
/* Commits the change of members that the daemon may make now, if any. */
void network_step_members(Network *net, Node *node);

#endif
