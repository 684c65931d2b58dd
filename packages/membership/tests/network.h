#ifndef AQ_TEST_NETWORK_H
#define AQ_TEST_NETWORK_H

#include "aq_membership.h"
#include "aq_random.h"
#include "aq_slices.h"

/* A small cluster in virtual time: daemons with their membership and slices, a
 * store with one versioned document, links that can be cut one way, and
 * endpoints that count the requests running on them. */

enum {
    NET_NODES = 9, /* most */
    NET_ENDPOINTS = 4,
    NET_VERSIONS = 4096,
    NET_STEP_MS = 25
};

typedef enum {
    LINK_OPEN,
    LINK_LOST,   /* what is sent is lost */
    LINK_STALLED /* what is sent arrives, in order, when the cut ends */
} LinkMode;

typedef struct Packet {
    struct Packet *next;
    AqTime due;
    uint64_t to_instance;
    size_t size;
    char bytes[];
} Packet;

typedef struct {
    LinkMode mode;
    AqTime until; /* end of the cut */
    Packet *first;
    Packet *last;
    AqTime heard;    /* last delivery of a heartbeat; 0 for none */
    AqTime unbroken; /* since when without a gap of AQ_REMOVE_MS */
} Link;

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
    AqTime back_at;      /* start of the next instance while not up */
    AqTime paused_until; /* 0 when running */
    uint64_t instance;
    AqMembership *m;
    AqSlices *s;
    int64_t version; /* document in force */
    AqTime next_beat;
    bool reading; /* a store read is running */
    AqTime read_started;
    AqTime read_due;      /* when the store answers */
    int64_t read_version; /* answered, on its way back; 0 for none */
    AqTime read_arrives;
    AqTime store_cut_until;
    AqTime removed_at; /* last removal from the document; 0 for none */
    double demand;     /* chance per step to start a request per free slot */
    /* At the last check, while AqSlices_IsSteady: what may be used. */
    bool was_steady;
    bool was_fresh;
    int64_t steady_epoch;
    int usable[NET_ENDPOINTS];
} Node;

/* What went wrong, by kind. */
typedef struct {
    int over_limit;     /* more requests on an endpoint than slots */
    int stale_fresh;    /* fresh 4 s after a newer version was accepted */
    int wrong_removals; /* of a member that a majority hears */
    int not_returned;   /* slots still leased after the quiet end */
    int not_usable;     /* slots that nobody can use after the quiet end */
    int inconsistent;   /* AqSlices_CheckConsistency */
    int not_steady;     /* usable slots changed although AqSlices_IsSteady */
    /* How much the run exercised. */
    int epochs;
    int accepted;
    int requests;
    int slot_leases;
    int most_on_endpoint;
} Verdict;

struct Network {
    AqRandom random;
    AqTime now;
    int nodes;
    unsigned faults;
    Node node[NET_NODES];
    Link link[NET_NODES][NET_NODES]; /* [from][to] */
    Request *requests;
    size_t request_count;
    size_t request_capacity;
    int slots[NET_ENDPOINTS];
    int64_t head;
    int64_t epoch_of[NET_VERSIONS];
    unsigned members_of[NET_VERSIONS]; /* bit mask of nodes */
    AqTime accepted_at[NET_VERSIONS];  /* 0: not yet */
    int64_t highest_accepted;
    AqTime head_changed;
    AqTime store_down_until;
    AqTime store_slow_until;
    bool quiet; /* no faults, no load */
    AqTime longest_request;
    bool forgive_removed; /* see is_forgiven */
    Verdict verdict;
};

void network_init(Network *net, uint64_t seed, int nodes, unsigned faults);
void network_clear(Network *net);
/* Runs for ms. */
void network_run(Network *net, AqTime ms);
/* Ends every cut, pause and outage, and stops new requests. */
void network_heal(Network *net);
/* Counts what the quiet end must have restored. */
void network_check_end(Network *net);

void network_cut(Network *net, int from, int to, LinkMode mode, AqTime ms);
void network_pause(Network *net, int node, AqTime ms);
void network_restart(Network *net, int index, AqTime down_ms);
/* Commits a change that does not touch the members. */
void network_commit(Network *net);
/* One random fault of a random kind. */
void network_disturb(Network *net, AqTime longest_pause);

int network_in_use(const Network *net, int endpoint);

/* ---- Between the files of the network ----------------------------------- */

/* Uniform in low .. high. */
AqTime network_pick(Network *net, AqTime low, AqTime high);
bool network_is_running(const Network *net, const Node *node);
int network_node_of(const Network *net, const char *id);
const char *network_endpoint(int endpoint);
/* Counts faults seen at one daemon, and at the endpoints. */
void network_check_node(Network *net, Node *node);
void network_check_endpoints(Network *net);
/* Puts a version of the document in force at a daemon. */
void network_install(Network *net, Node *node, int64_t version);
/* The watch on head, and the changes of members that a daemon commits. */
void network_step_store(Network *net, Node *node);
void network_step_members(Network *net, Node *node);

#endif
