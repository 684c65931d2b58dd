#ifndef AQ_TEST_NETWORK_H
#define AQ_TEST_NETWORK_H

#include "aq_membership.h"
#include "aq_random.h"
#include "aq_slices.h"

/* This file declares a small simulated cluster that runs in virtual time:
 * daemons with their membership and slices, a store that keeps the versions of
 * the fleet document, links that can fail in one direction, and endpoints that
 * count the requests running on them. */

enum {
    NET_NODES = 9, /* most daemons in a Network */
    NET_ENDPOINTS = 4,
    /* Number of versions of the fleet document, version 0 included, that the
     * store can keep; further commits do nothing. */
    NET_VERSIONS = 4096,
    NET_STEP_MS = 25 /* virtual time of one step of network_run */
};

typedef enum {
    LINK_OPEN,
    LINK_DROPPING, /* messages on the link are lost */
    /* Messages on the link are held back, and arrive in order when the link
     * opens. */
    LINK_STALLED
} LinkMode;

/* A message on its way over a link. */
typedef struct Packet {
    /* Next message on the same link, sent after this one; NULL for the
     * last. */
    struct Packet *next;
    AqTime due; /* virtual time at which the message arrives */
    /* Instance number of the receiving daemon when the message was sent; a
     * later instance of that daemon discards the message. */
    uint64_t to_instance;
    /* number of elements of "bytes" */
    size_t size;
    /* the encoded message */
    char bytes[];
} Packet;

/* One direction of the connection between two daemons. */
typedef struct {
    LinkMode mode;
    /* Virtual time at which "mode" becomes LINK_OPEN again. */
    AqTime until;
    /* Oldest message still on its way over the link; NULL if there is none. */
    Packet *first;
    /* Newest message still on its way over the link; NULL if there is none. */
    Packet *last;
    /* Virtual time at which the link last delivered a heartbeat; 0 if it has
     * delivered none. */
    AqTime last_heartbeat_at;
    /* Virtual time of the first heartbeat that the link delivered after it had
     * last delivered no heartbeat for AQ_REMOVE_MS or more; 0 if it has
     * delivered none. */
    AqTime received_since;
} Link;

/* A request that a daemon runs on an endpoint from "start" until "end". */
typedef struct {
    /* number of the endpoint, from 0 to NET_ENDPOINTS - 1 */
    int endpoint;
    /* position in net->node of the daemon that runs the request */
    int node;
    /* Instance number of the daemon when it started the request. */
    uint64_t instance;
    /* virtual time at which the daemon started the request */
    AqTime start;
    /* Virtual time at which the request ends; an earlier time is set if the
     * daemon stops meanwhile. */
    AqTime end;
} Request;

typedef struct Network Network;

/* One daemon of the simulated cluster, over all of its instances. */
typedef struct {
    Network *net;
    /* position of this daemon in net->node */
    int index;
    char id[AQ_WIRE_MAX_NAME];
    /* Whether an instance of this daemon runs or is paused; false while the
     * daemon is stopped. */
    bool up;
    /* Virtual time at which the next instance of this daemon starts, while the
     * daemon is stopped ("up" is false). */
    AqTime restart_at;
    /* Virtual time at which the daemon's pause ends; 0: no pause. */
    AqTime paused_until;
    /* Instance number of the daemon, drawn at each start; never 0. */
    uint64_t instance;
    /* Membership of the daemon's current instance; NULL while it is
     * stopped. */
    AqMembership *m;
    /* Slices of the daemon's current instance; NULL while it is stopped. */
    AqSlices *s;
    /* Version of the fleet document that this daemon has in force; 0 after
     * each start. */
    int64_t version;
    /* virtual time at which this daemon next sends heartbeats */
    AqTime next_heartbeat_at;
    /* Whether this daemon has begun a read of the newest version of the fleet
     * document in the store that has not ended yet. */
    bool reading;
    /* Virtual time at which this daemon began the read, if "reading". */
    AqTime read_started;
    /* If "reading": virtual time at which the store responds to this daemon's
     * read even if the store has no version of the fleet document newer than
     * the daemon's. */
    AqTime response_due;
    /* Version of the fleet document in a response of the store that is on its
     * way to this daemon; 0: no response is on its way. */
    int64_t response_version;
    /* Virtual time at which the store's response reaches this daemon, if
     * response_version is not 0. */
    AqTime response_arrives_at;
    /* Virtual time before which this daemon alone cannot reach the store; 0 if
     * no such fault was injected. */
    AqTime store_unreachable_until;
    /* Virtual time at which a member last committed this daemon's removal from
     * the members; 0: never. */
    AqTime removed_at;
    /* Probability, per endpoint and per NET_STEP_MS, that this daemon starts
     * requests on all of its free slots. */
    double demand;
    /* Result of AqSlices_IsSteady for this daemon (true if no slot of this
     * daemon was pending, leased out or leased in) when check_steady last
     * checked this daemon. */
    bool was_steady;
    /* Result of AqMembership_IsFresh for this daemon when check_steady last
     * checked this daemon. */
    bool was_fresh;
    /* Number of this daemon's epoch when check_steady last checked this
     * daemon. */
    int64_t steady_epoch;
    /* For each endpoint, by its number from 0: the number of slots that this
     * daemon could use when check_steady last checked this daemon. */
    int usable[NET_ENDPOINTS];
} Node;

/* Violations that the checks found in one run of the simulated cluster, by
 * kind, and counts of what happened in the run. */
typedef struct {
    /* Number of checks of one endpoint that found more requests on the
     * endpoint, started by all daemons together, than the endpoint has
     * slots. */
    int over_limit;
    /* Number of checks that found AqMembership_IsFresh true at a daemon more
     * than 4 s after a majority of the members accepted a version of the fleet
     * document newer than the daemon's. */
    int stale_fresh;
    /* Number of commits that removed a member although that member's
     * heartbeats reached a majority of the members. */
    int wrong_removals;
    /* Number of slots still leased at the end of the run, after a phase
     * without faults and new requests: the slots that each daemon counts as
     * leased out plus those that it counts as leased in, added up over all
     * daemons. */
    int not_returned;
    /* Number of slots missing or in excess at the end of the run, after a
     * phase without faults and new requests: for each endpoint, the difference
     * between its slots and the sum of the slots usable by each daemon; added
     * up over all endpoints. */
    int not_usable;
    /* Number of checks in which AqSlices_CheckConsistency returned false for a
     * daemon: one of its counters of held, pending, leased-out or leased-in
     * slots was not the number of such slots in the daemon's own tables. */
    int inconsistent;
    /* Number of times that a daemon's usable slots of an endpoint changed
     * between two checks although the daemon's epoch and AqMembership_IsFresh
     * stayed the same and AqSlices_IsSteady was true at both checks. */
    int not_steady;
    /* Number of commits that changed the members.  Like accepted, requests,
     * slot_leases and max_on_endpoint, it shows how much of the tested
     * behaviour occurred in the run. */
    int epochs;
    /* Number of versions of the fleet document that a majority of the members
     * accepted. */
    int accepted;
    /* number of requests that the daemons started in the run */
    int requests;
    /* number of times that a daemon granted leased slots to another */
    int slot_leases;
    /* Largest number of requests that a check found on one endpoint, without
     * the requests that the check leaves out if exempt_removed is set. */
    int max_on_endpoint;
} RunStats;

struct Network {
    AqRandom random;
    AqTime now;
    /* number of daemons, at most NET_NODES */
    int nodes;
    /* AQ_FAULT_* bits that are set in each daemon */
    unsigned faults;
    Node node[NET_NODES];
    /* [i][k]: link from daemon i to daemon k */
    Link link[NET_NODES][NET_NODES];
    /* Requests of all daemons that had not ended at the last check of the
     * endpoints, and those started since; request_count elements. */
    Request *requests;
    size_t request_count;
    size_t request_capacity;
    /* For each endpoint, by its number from 0: the number of its slots, summed
     * over all members. */
    int slots[NET_ENDPOINTS];
    int64_t head; /* newest version of the fleet document in the store */
    /* For each version of the fleet document, by its number: the number of its
     * epoch, which is the latest version up to it that changed the members. */
    int64_t epoch_of[NET_VERSIONS];
    /* For each version of the fleet document, by its number: the members in
     * it.  Bit i is set if node[i] is a member. */
    unsigned members_of[NET_VERSIONS];
    /* For each version of the fleet document, by its number: virtual time at
     * which the first daemon saw that a majority of the members had accepted
     * this version (put it in force); 0 if no daemon has seen that yet. */
    AqTime accepted_at[NET_VERSIONS];
    /* Highest version of the fleet document whose accepted_at is set; 0 if
     * there is none. */
    int64_t highest_accepted;
    /* Virtual time of the last commit to the store; 0 before the first. */
    AqTime head_changed;
    /* Virtual time before which no daemon can reach the store; 0 if no such
     * fault was injected. */
    AqTime store_down_until;
    /* Virtual time before which the store's responses take up to 1.5 s longer
     * to reach a daemon; 0 if no such fault was injected. */
    AqTime store_slow_until;
    /* Whether faults have ended and no daemon starts requests any more. */
    bool quiet;
    /* Longest virtual time, in milliseconds, for which a request runs. */
    AqTime longest_request;
    /* Whether the check of endpoints for more requests than slots leaves out
     * some requests: those that a daemon started before its removal from the
     * members or at most AQ_GUARD_MS after the removal. */
    bool exempt_removed;
    RunStats stats;
};

/* Creates a cluster of "nodes" daemons, all of which start at the same virtual
 * time; "faults" are the AQ_FAULT_* bits that are set in each daemon. */
void network_init(Network *net, uint64_t seed, int nodes, unsigned faults);
void network_clear(Network *net);
/* Runs the cluster for "ms" of virtual time. */
void network_run(Network *net, AqTime ms);
/* Ends every link fault, pause and store outage, lets every stopped daemon
 * start in the next step of network_run, and lets no daemon start requests any
 * more. */
void network_end_faults(Network *net);
/* For the end of a run, after a phase without faults and new requests: adds
 * the slots that are still leased to net->stats.not_returned, and the missing
 * or surplus usable slots of each endpoint to net->stats.not_usable. */
void network_check_end(Network *net);

/* Sets the mode of the link from daemon "from" to daemon "to" for "ms" of
 * virtual time; LINK_DROPPING also drops the messages that are on their way
 * over the link. */
void network_set_link(Network *net, int from, int to, LinkMode mode,
                      AqTime ms);
/* Pauses a daemon: for "ms" of virtual time the daemon neither sends nor
 * receives messages. */
void network_pause(Network *net, int node, AqTime ms);
/* Stops a daemon and starts a new instance of it after "down_ms" of virtual
 * time. */
void network_restart(Network *net, int index, AqTime down_ms);
/* Commits to the store a new version of the fleet document with the same
 * members. */
void network_commit(Network *net);
/* Starts one fault of random kind and length at a random daemon or link, or at
 * the store.  Pauses last 12 s or "longest_pause" at most, whichever is
 * more. */
void network_inject_fault(Network *net, AqTime longest_pause);

/* Number of requests that run on an endpoint now, summed over all daemons. */
int network_in_use(const Network *net, int endpoint);

/* ---- Internal to the network*.c files ----------------------------------- */

/* Random time from "low" to "high" milliseconds, inclusive, uniformly
 * distributed. */
AqTime network_random_ms(Network *net, AqTime low, AqTime high);
bool network_is_running(const Network *net, const Node *node);
/* Position in net->node of the daemon with this id, which must exist. */
int network_node_of(const Network *net, const char *id);
const char *network_endpoint(int endpoint);
/* Checks one daemon for three violations and counts them in net->stats:
 * stale_fresh (AqMembership_IsFresh is true more than 4 s after a majority of
 * the members accepted a version of the fleet document newer than the
 * daemon's), "inconsistent" (a slot counter of the daemon differs from the
 * number of such slots in its own tables) and not_steady (usable slots changed
 * while AqSlices_IsSteady stayed true).  Also records in net->accepted_at the
 * versions that a majority of the members has newly accepted. */
void network_check_node(Network *net, Node *node);
/* Removes ended requests, counts in net->stats.over_limit each endpoint that
 * runs more requests than it has slots, and updates
 * net->stats.max_on_endpoint. */
void network_check_endpoints(Network *net);
/* Puts a version of the fleet document in force at a daemon, unless the daemon
 * already has this or a newer version. */
void network_install(Network *net, Node *node, int64_t version);
/* Advances the daemon's read of the newest version of the fleet document in
 * the store: starts a read, lets the store respond, or processes the
 * response. */
void network_step_store(Network *net, Node *node);
/* If a change of the members is due, lets the daemon "node" commit it to the
 * store: "node" becomes a member, or the member that AqMembership_ToRemove
 * names is removed. */
void network_step_members(Network *net, Node *node);

#endif
