#include <stdlib.h>

#include "network.h"

void
network_end_faults(Network *net)
{
    net->quiet = true;
    net->store_down_until = 0;
    net->store_slow_until = 0;
    for (int i = 0; i < net->nodes; i++) {
        net->node[i].paused_until = 0;
        net->node[i].store_unreachable_until = 0;
        net->node[i].restart_at = 0;
        for (int k = 0; k < net->nodes; k++) {
            net->link[i][k].until = 0;
        }
    }
}

static LinkMode
random_link_mode(Network *net)
{
    return AqRandom_Below(&net->random, 2) == 0 ? LINK_DROPPING : LINK_STALLED;
}

/* Lets all links between the daemons of "group" and the other daemons drop or
 * hold back all messages for "ms" of virtual time: in both directions, or only
 * from the group to the others if "one_way".  "group" is a bit mask of
 * positions in net->node. */
static void
partition_group(Network *net, unsigned group, bool one_way, AqTime ms)
{
    LinkMode mode = random_link_mode(net);
    for (int i = 0; i < net->nodes; i++) {
        for (int k = 0; k < net->nodes; k++) {
            bool leaves = (group >> i & 1) && !(group >> k & 1);
            bool enters = !(group >> i & 1) && (group >> k & 1);
            if (leaves || (enters && !one_way)) {
                network_set_link(net, i, k, mode, ms);
            }
        }
    }
}

void
network_inject_fault(Network *net, AqTime longest_pause)
{
    int i = (int)AqRandom_Below(&net->random, (uint64_t)net->nodes);
    int k = (int)AqRandom_Below(&net->random, (uint64_t)net->nodes);
    unsigned group = (unsigned)AqRandom_Below(&net->random, 1U << net->nodes);
    bool one_way = AqRandom_Below(&net->random, 2) == 0;
    switch (AqRandom_Below(&net->random, 9)) {
    case 0:
        network_set_link(net, i, k, random_link_mode(net),
                         network_random_ms(net, 500, 30000));
        break;
    case 1:
        partition_group(net, 1U << i, one_way,
                        network_random_ms(net, 1000, 30000));
        break;
    case 2:
        partition_group(net, group, one_way,
                        network_random_ms(net, 1000, 30000));
        break;
    case 3:
        network_pause(net, i, network_random_ms(net, 200, 12000));
        break;
    case 4:
        network_pause(net, i, network_random_ms(net, 1000, longest_pause));
        break;
    case 5:
        network_restart(net, i, network_random_ms(net, 50, 12000));
        break;
    case 6:
        net->node[i].store_unreachable_until =
            net->now + network_random_ms(net, 500, 20000);
        break;
    case 7:
        net->store_down_until = net->now + network_random_ms(net, 500, 20000);
        break;
    default:
        net->store_slow_until = net->now + network_random_ms(net, 500, 20000);
        break;
    }
}
