#include "retry_after.h"

enum {
    MIN_WAIT_MS = 1000, /* the header counts whole seconds */
    /* An outage that is expected to end within this time is waited for in
     * steps of the shortest wait: with longer ones a caller misses the short
     * time between the outages of a store that flaps. */
    SOON_MS = 2000,
    /* A caller that waits longer has mostly given up. */
    MAX_WAIT_MS = 8000,
    /* Rate at which the refused callers of one node may come back after an
     * outage.  A submission is one write, and the store of the smallest site
     * carries 50 a second for each node. */
    RETURNS_PER_S = 50,
    SPREAD_STEPS = 1 << 16
};

void
outage_history_add(OutageHistory *history, AqTime length_ms)
{
    history->lengths_ms[history->count % OUTAGE_HISTORY_SIZE] = length_ms;
    history->count++;
}

/* Returns the median of the time that the remembered outages longer than
 * away_ms went on from then; -1 if none was longer. */
static AqTime
median_remaining(const OutageHistory *history, AqTime away_ms)
{
    AqTime sorted[OUTAGE_HISTORY_SIZE];
    size_t longer = 0;
    size_t known = history->count < OUTAGE_HISTORY_SIZE ? history->count
                                                        : OUTAGE_HISTORY_SIZE;
    for (size_t i = 0; i < known; i++) {
        AqTime remaining = history->lengths_ms[i] - away_ms;
        if (remaining <= 0) {
            continue;
        }
        size_t at = longer++;
        for (; at > 0 && sorted[at - 1] > remaining; at--) {
            sorted[at] = sorted[at - 1];
        }
        sorted[at] = remaining;
    }
    return longer > 0 ? sorted[longer / 2] : -1;
}

/* Returns the wait of a caller that must not spend its retries soon. */
static AqTime
long_wait_ms(const OutageHistory *history, AqTime away_ms)
{
    AqTime wait = away_ms > MIN_WAIT_MS ? away_ms : (AqTime)MIN_WAIT_MS;
    AqTime remaining = median_remaining(history, away_ms);
    if (remaining >= 0 && remaining <= SOON_MS) {
        wait = MIN_WAIT_MS;
    }
    else if (remaining >= 0 && remaining < wait) {
        wait = remaining;
    }
    return wait < MAX_WAIT_MS ? wait : (AqTime)MAX_WAIT_MS;
}

/* Returns the range over which the waits are spread: a second at least, since
 * the header has whole seconds only, so that a wait of 1.4 s becomes 2 s for
 * two in five. */
static AqTime
spread_ms(unsigned refused)
{
    AqTime spread = (AqTime)refused * 1000 / RETURNS_PER_S;
    spread = spread > 1000 ? spread : 1000;
    return spread < MAX_WAIT_MS ? spread : (AqTime)MAX_WAIT_MS;
}

int
retry_after_s(const OutageHistory *history, const RefusedCaller *caller)
{
    bool comes_soon = !caller->is_returning && caller->hash % 2 == 0;
    AqTime wait = comes_soon ? (AqTime)MIN_WAIT_MS
                             : long_wait_ms(history, caller->away_ms);
    AqTime share = (AqTime)(caller->hash / 2 % SPREAD_STEPS);
    AqTime at = wait + spread_ms(caller->refused) * share / SPREAD_STEPS;
    return at < MIN_WAIT_MS ? 1 : (int)(at / 1000);
}
