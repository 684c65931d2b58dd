#include "peer_choice.h"

#include <glib.h>
#include <stdlib.h>

enum {
    /* For this long after a peer has failed to serve a request, no request is
     * forwarded to it. */
    FAILED_PEER_PAUSE_MS = 2000,
    /* The store counts as away for all nodes after this number of failures in
     * a row, if no peer has served a request for ALL_AWAY_SILENCE_MS: while
     * some peers serve, runs of failures happen by chance. */
    ALL_AWAY_FAILURES = 4,
    ALL_AWAY_SILENCE_MS = 1000,
    /* Time between two requests that are forwarded to find out whether the
     * store serves a peer again. */
    PROBE_INTERVAL_MS = 500
};

struct PeerChoice {
    GHashTable *failed_at; /* address of a peer -> AqTime of its failure */
    unsigned failures_in_row;
    AqTime served_at; /* AQ_TIME_NEVER: no peer has served a request */
    AqTime next_probe_at;
};

PeerChoice *
peer_choice_create(void)
{
    PeerChoice *choice = calloc(1, sizeof(*choice));
    choice->served_at = AQ_TIME_NEVER;
    choice->failed_at =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return choice;
}

void
peer_choice_destroy(PeerChoice *choice)
{
    if (choice != NULL) {
        g_hash_table_destroy(choice->failed_at);
        free(choice);
    }
}

bool
peer_choice_may_forward(PeerChoice *choice, AqTime now)
{
    bool has_served_lately = choice->served_at != AQ_TIME_NEVER &&
                             now - choice->served_at < ALL_AWAY_SILENCE_MS;
    if (choice->failures_in_row < ALL_AWAY_FAILURES || has_served_lately) {
        return true;
    }
    if (now < choice->next_probe_at) {
        return false;
    }
    choice->next_probe_at = now + PROBE_INTERVAL_MS;
    return true;
}

bool
peer_choice_may_use(const PeerChoice *choice, const char *peer, AqTime now)
{
    const AqTime *failed_at = g_hash_table_lookup(choice->failed_at, peer);
    return failed_at == NULL || now - *failed_at >= FAILED_PEER_PAUSE_MS;
}

void
peer_choice_served(PeerChoice *choice, const char *peer, AqTime now)
{
    choice->failures_in_row = 0;
    choice->served_at = now;
    g_hash_table_remove(choice->failed_at, peer);
}

void
peer_choice_failed(PeerChoice *choice, const char *peer, AqTime now)
{
    choice->failures_in_row++;
    if (choice->failures_in_row == ALL_AWAY_FAILURES) {
        choice->next_probe_at = now + PROBE_INTERVAL_MS;
    }
    g_hash_table_replace(choice->failed_at, g_strdup(peer),
                         g_memdup2(&now, sizeof(now)));
}
