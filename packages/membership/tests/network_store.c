#include "network.h"

enum {
    /* Time for which a read of the store waits for a version of the fleet
     * document newer than the reading daemon's before the store responds. */
    HEAD_READ_WAIT_MS = 1000,
    /* A heartbeat received less than this time ago shows that its sender has
     * not been silent for AQ_REMOVE_MS. */
    RECENT_HEARTBEAT_MS = 2500,
    /* A member's report that another member is silent does not count if the
     * report was sent more than this time ago. */
    MAX_REPORT_AGE_MS = 4000
};

/* Whether the daemon can reach the store now. */
static bool
reaches_store(const Network *net, const Node *node)
{
    return net->now >= net->store_down_until &&
           net->now >= node->store_unreachable_until;
}

static void
commit(Network *net, unsigned members)
{
    if (net->head + 1 >= NET_VERSIONS) {
        return;
    }
    int64_t v = ++net->head;
    net->members_of[v] = members;
    net->epoch_of[v] = net->epoch_of[v - 1];
    if (members != net->members_of[v - 1]) {
        net->epoch_of[v] = v;
        net->stats.epochs++;
    }
    net->head_changed = net->now;
}

void
network_commit(Network *net)
{
    commit(net, net->members_of[net->head]);
}

void
network_install(Network *net, Node *node, int64_t version)
{
    if (version <= node->version) {
        return;
    }
    node->version = version;
    const char *ids[NET_NODES];
    size_t count = 0;
    for (int i = 0; i < net->nodes; i++) {
        if (net->members_of[version] >> i & 1) {
            ids[count++] = net->node[i].id;
        }
    }
    AqMembership_SetEpoch(node->m, net->now, net->epoch_of[version], ids,
                          count);
    AqMembership_SetVersion(node->m, version);
    AqSlices_EpochChanged(node->s, net->now);
}

/* Advances the daemon's read of the newest version of the fleet document in
 * the store: starts a read, lets the store respond, or processes the response
 * when it arrives. */
void
network_step_store(Network *net, Node *node)
{
    if (node->response_version != 0 && net->now >= node->response_arrives_at) {
        if (reaches_store(net, node)) {
            network_install(net, node, node->response_version);
            AqMembership_StoreContact(node->m, node->read_started);
        }
        node->response_version = 0;
        node->reading = false;
    }
    if (!node->reading) {
        node->reading = true;
        node->read_started = net->now;
        node->response_due = net->now + HEAD_READ_WAIT_MS;
    }
    else if (node->response_version == 0 &&
             (net->now >= node->response_due || net->head > node->version)) {
        if (!reaches_store(net, node)) {
            node->reading = false;
            return;
        }
        node->response_version = net->head;
        node->response_arrives_at = net->now + network_random_ms(net, 2, 10);
        if (net->now < net->store_slow_until) {
            node->response_arrives_at += network_random_ms(net, 0, 1500);
        }
    }
}

/* Counts the removal of the member "removed" in net->stats.wrong_removals if a
 * majority of the members receives that member's heartbeats and has done so
 * for longer than MAX_REPORT_AGE_MS. */
static void
check_removal(Network *net, int removed)
{
    unsigned members = net->members_of[net->head];
    int receiving = 0;
    int count = 0;
    for (int i = 0; i < net->nodes; i++) {
        if (!(members >> i & 1)) {
            continue;
        }
        const Link *link = &net->link[removed][i];
        count++;
        receiving +=
            i == removed ||
            (network_is_running(net, &net->node[i]) &&
             link->last_heartbeat_at != 0 &&
             net->now - link->last_heartbeat_at < RECENT_HEARTBEAT_MS &&
             net->now - link->received_since > MAX_REPORT_AGE_MS);
    }
    net->stats.wrong_removals += receiving * 2 > count;
}

/* Lets the daemon "node" commit a change of the members, as the real daemon
 * does: "node" becomes a member, or the member that AqMembership_ToRemove
 * names is removed.  Each commit adds or removes one member.  The commit is
 * made only if "node" already has the store's newest version of the fleet
 * document in force. */
void
network_step_members(Network *net, Node *node)
{
    if (!reaches_store(net, node) || net->head != node->version) {
        return;
    }
    unsigned members = net->members_of[net->head];
    unsigned self = 1U << node->index;
    const char *silent = AqMembership_ToRemove(node->m, net->now);
    if (!(members & self)) {
        if (!AqMembership_MayChangeMembers(node->m, net->now)) {
            return;
        }
        members |= self;
    }
    else if (silent != NULL) {
        int removed = network_node_of(net, silent);
        check_removal(net, removed);
        members &= ~(1U << removed);
        net->node[removed].removed_at = net->now;
    }
    else {
        return;
    }
    commit(net, members);
    /* The store's response to one commit in ten is lost; the daemon then gets
     * the committed version of the fleet document with its next read of the
     * store. */
    if (AqRandom_Below(&net->random, 10) != 0) {
        network_install(net, node, net->head);
    }
}
