#ifndef PEER_CHOICE_H
#define PEER_CHOICE_H

#include <stdbool.h>

#include "aq_clock.h"

/* Decides to which other nodes, the peers, requests may be forwarded while the
 * store does not serve this node.
 *
 * The store may turn away some nodes and serve the others, or none: a peer
 * that fails to serve a request is left out for some time and the request goes
 * to another one; when several peers have failed in a row and none has served
 * a request lately, the store is taken to be away for all, and only a probe
 * now and then is forwarded, so that an outage does not multiply the requests.
 */

typedef struct PeerChoice PeerChoice;

PeerChoice *peer_choice_create(void);
void peer_choice_destroy(PeerChoice *choice);

/* Returns whether a request may be forwarded to any peer now.  After several
 * failures in a row, returns true once for each probe interval. */
bool peer_choice_may_forward(PeerChoice *choice, AqTime now);
/* Returns whether the peer may be chosen: it has not failed lately. */
bool peer_choice_may_use(const PeerChoice *choice, const char *peer,
                         AqTime now);

/* Record whether a peer has served a forwarded request. */
void peer_choice_served(PeerChoice *choice, const char *peer, AqTime now);
void peer_choice_failed(PeerChoice *choice, const char *peer, AqTime now);

#endif
