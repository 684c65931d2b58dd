#include <stdlib.h>
#include <string.h>

#include "slices_internal.h"

void
loans_clear(Loans *loans)
{
    free(loans->items);
    memset(loans, 0, sizeof(*loans));
}

static Loan *
find_loan(const Loans *loans, const char *peer, const Endpoint *e)
{
    for (size_t i = 0; i < loans->count; i++) {
        Loan *loan = &loans->items[i];
        if (loan->endpoint == e && strcmp(loan->peer, peer) == 0) {
            return loan;
        }
    }
    return NULL;
}

/* Adds a loan of 0 slots; NULL when there are too many. */
static Loan *
add_loan(Loans *loans, const char *peer, Endpoint *e)
{
    if (loans->count >= LOANS_MAX) {
        return NULL;
    }
    if (loans->count == loans->capacity) {
        size_t capacity = loans->capacity > 0 ? loans->capacity * 2 : 8;
        Loan *items = realloc(loans->items, capacity * sizeof(*items));
        if (items == NULL) {
            abort();
        }
        loans->items = items;
        loans->capacity = capacity;
    }
    Loan *loan = &loans->items[loans->count++];
    memset(loan, 0, sizeof(*loan));
    strncpy(loan->peer, peer, sizeof(loan->peer) - 1);
    loan->endpoint = e;
    loan->reclaim_at = TIME_UNKNOWN;
    return loan;
}

/* Removes loan "i"; the last one takes its place. */
static void
remove_loan(Loans *loans, size_t i)
{
    loans->items[i] = loans->items[--loans->count];
}

static void
set_lent(AqSlices *slices, Loan *loan, int count)
{
    loan->endpoint->lent += count - loan->count;
    loan->count = count;
    if (count == 0) {
        remove_loan(&slices->lent, (size_t)(loan - slices->lent.items));
    }
}

static void
set_borrowed(AqSlices *slices, Loan *loan, int count)
{
    loan->endpoint->borrowed += count - loan->count;
    loan->count = count;
    if (count == 0) {
        remove_loan(&slices->borrowed,
                    (size_t)(loan - slices->borrowed.items));
    }
}

/* ---- Lender ------------------------------------------------------------- */

int
AqSlices_Lend(AqSlices *slices, AqTime now, const char *borrower,
              const char *endpoint, int idle, int count)
{
    Endpoint *e = slices_find(slices, endpoint);
    if (e == NULL || e->removed || !slices->is_member ||
        strcmp(borrower, slices->self) == 0 ||
        !AqMembership_IsMember(slices->membership, borrower) ||
        !AqMembership_IsFresh(slices->membership, now)) {
        return 0;
    }
    slices_advance(slices, now);
    /* Only own slots: a borrowed slot is not lent on. */
    int most = e->held - e->lent;
    most = idle < most ? idle : most;
    most = count < most ? count : most;
    if (most <= 0) {
        return 0;
    }
    uint64_t instance = AqMembership_Instance(slices->membership, borrower);
    Loan *loan = find_loan(&slices->lent, borrower, e);
    if (loan != NULL && (loan->gone || loan->instance != instance)) {
        return 0;
    }
    if (loan == NULL) {
        loan = add_loan(&slices->lent, borrower, e);
    }
    if (loan == NULL) {
        return 0;
    }
    loan->instance = instance;
    loan->since = now;
    set_lent(slices, loan, loan->count + most);
    return most;
}

void
AqSlices_Returned(AqSlices *slices, const char *borrower, const char *endpoint,
                  int count)
{
    Endpoint *e = slices_find(slices, endpoint);
    Loan *loan = e != NULL ? find_loan(&slices->lent, borrower, e) : NULL;
    if (loan != NULL && count > 0) {
        set_lent(slices, loan, count < loan->count ? loan->count - count : 0);
    }
}

void
loans_advance(AqSlices *slices, AqTime now)
{
    unsigned faults = AqMembership_Faults(slices->membership);
    for (size_t i = slices->lent.count; i-- > 0;) {
        Loan *loan = &slices->lent.items[i];
        if (!loan->gone) {
            continue;
        }
        if (loan->reclaim_at == TIME_UNKNOWN &&
            AqMembership_IsAccepted(slices->membership, now, slices->epoch)) {
            loan->reclaim_at = now + AQ_GUARD_MS;
        }
        if ((faults & AQ_FAULT_NO_GUARD) ||
            (loan->reclaim_at != TIME_UNKNOWN && now >= loan->reclaim_at)) {
            set_lent(slices, loan, 0);
        }
    }
}

/* Slots of "e" that a heartbeat says were borrowed from "lender". */
static int
reported_count(const AqMsgHeartbeat *beat, const char *lender,
               const Endpoint *e)
{
    int64_t sum = 0;
    for (size_t i = 0; i < beat->loan_count; i++) {
        const AqWireLoan *loan = &beat->loans[i];
        if (strcmp(loan->lender, lender) == 0 &&
            strcmp(loan->endpoint, e->name) == 0) {
            sum += loan->count;
        }
    }
    return sum < SLOTS_MAX ? (int)sum : SLOTS_MAX;
}

/* Lowers loans of which the borrower holds less than this lender counts: its
 * heartbeat answers one that was sent after the LEND, so the LEND or a RETURN
 * was lost. */
static void
lower_loans(AqSlices *slices, AqTime now, const char *from,
            const AqMsgHeartbeat *beat)
{
    AqTime sent_after = TIME_UNKNOWN;
    AqMembership_SentAfter(slices->membership, from, &sent_after);
    for (size_t i = slices->lent.count; i-- > 0;) {
        Loan *loan = &slices->lent.items[i];
        if (strcmp(loan->peer, from) != 0) {
            continue;
        }
        if (loan->instance != beat->instance) {
            /* The borrower restarted; its requests may still run. */
            if (!loan->gone) {
                loan->gone = true;
                loan->reclaim_at = now + AQ_GUARD_MS;
            }
            continue;
        }
        int reported = reported_count(beat, slices->self, loan->endpoint);
        if (sent_after > loan->since && reported < loan->count) {
            set_lent(slices, loan, reported);
        }
    }
}

/* Learns of loans that an earlier instance of this daemon made. */
static void
raise_loans(AqSlices *slices, AqTime now, const char *from,
            const AqMsgHeartbeat *beat)
{
    for (size_t i = 0; i < beat->loan_count; i++) {
        if (strcmp(beat->loans[i].lender, slices->self) != 0) {
            continue;
        }
        Endpoint *e = slices_find(slices, beat->loans[i].endpoint);
        if (e == NULL) {
            continue;
        }
        int reported = reported_count(beat, slices->self, e);
        Loan *loan = find_loan(&slices->lent, from, e);
        if (loan == NULL && reported > 0) {
            loan = add_loan(&slices->lent, from, e);
            if (loan != NULL) {
                loan->instance = beat->instance;
                loan->since = now;
            }
        }
        if (loan != NULL && reported > loan->count) {
            set_lent(slices, loan, reported);
        }
    }
}

/* ---- Borrower ----------------------------------------------------------- */

void
AqSlices_Borrowed(AqSlices *slices, AqTime now, const char *lender,
                  const char *endpoint, int count, AqTime term_ms)
{
    Endpoint *e = slices_find(slices, endpoint);
    /* A lender that is not in this epoch has lost its slots already. */
    if (e == NULL || e->removed || count <= 0 || count > SLOTS_MAX ||
        !slices->is_member ||
        !AqMembership_IsMember(slices->membership, lender)) {
        return;
    }
    /* LEND was sent after the lender's last heartbeat that came before it.  A
     * LEND that was held up for longer may be one that the lender reclaimed
     * after the guard. */
    AqTime sent_after;
    if (!AqMembership_SentAfter(slices->membership, lender, &sent_after) ||
        now - sent_after > AQ_FRESH_MS) {
        return;
    }
    Loan *loan = find_loan(&slices->borrowed, lender, e);
    if (loan == NULL) {
        loan = add_loan(&slices->borrowed, lender, e);
    }
    if (loan == NULL || loan->gone) {
        return;
    }
    loan->instance = AqMembership_Instance(slices->membership, lender);
    loan->since = now;
    loan->until = now + term_ms;
    set_borrowed(slices, loan, loan->count + count);
}

int
AqSlices_ToReturn(AqSlices *slices, AqTime now, const char *endpoint,
                  int in_use, const char **lender)
{
    Endpoint *e = slices_find(slices, endpoint);
    if (e == NULL) {
        return 0;
    }
    int own = e->held - e->lent;
    int unused = own + e->borrowed - in_use;
    for (size_t i = 0; i < slices->borrowed.count && unused > 0; i++) {
        Loan *loan = &slices->borrowed.items[i];
        if (loan->endpoint != e) {
            continue;
        }
        /* A loan just received may wait for its first request. */
        bool needless = in_use < own && now - loan->since >= AQ_HEARTBEAT_MS;
        if (now < loan->until && !needless) {
            continue;
        }
        int count = unused < loan->count ? unused : loan->count;
        memcpy(slices->lender, loan->peer, sizeof(slices->lender));
        *lender = slices->lender;
        set_borrowed(slices, loan, loan->count - count);
        return count;
    }
    return 0;
}

int
loans_valid(const AqSlices *slices, const Endpoint *e)
{
    int n = 0;
    for (size_t i = 0; e->borrowed > 0 && i < slices->borrowed.count; i++) {
        const Loan *loan = &slices->borrowed.items[i];
        n += loan->endpoint == e && !loan->gone ? loan->count : 0;
    }
    return n;
}

int
loans_in_term(const AqSlices *slices, const Endpoint *e, AqTime now)
{
    int n = 0;
    for (size_t i = 0; e->borrowed > 0 && i < slices->borrowed.count; i++) {
        const Loan *loan = &slices->borrowed.items[i];
        if (loan->endpoint == e && now < loan->until) {
            n += loan->count;
        }
    }
    return n;
}

/* ---- Both --------------------------------------------------------------- */

void
loans_epoch_changed(AqSlices *slices)
{
    for (size_t i = slices->borrowed.count; i-- > 0;) {
        Loan *loan = &slices->borrowed.items[i];
        /* Kept until its requests end, because the lender takes a loan that is
         * not reported for returned. */
        if (!AqMembership_IsMember(slices->membership, loan->peer)) {
            loan->gone = true;
        }
        if (loan->gone || !slices->is_member) {
            loan->until = TIME_UNKNOWN;
        }
    }
    for (size_t i = 0; i < slices->lent.count; i++) {
        Loan *loan = &slices->lent.items[i];
        bool gone = !AqMembership_IsMember(slices->membership, loan->peer) ||
                    AqMembership_Instance(slices->membership, loan->peer) !=
                        loan->instance;
        if (gone != loan->gone) {
            loan->gone = gone;
            loan->reclaim_at = TIME_UNKNOWN;
        }
    }
}

void
loans_heartbeat(AqSlices *slices, AqTime now, const char *from,
                const AqMsgHeartbeat *beat)
{
    lower_loans(slices, now, from, beat);
    raise_loans(slices, now, from, beat);
    for (size_t i = 0; i < slices->borrowed.count; i++) {
        Loan *loan = &slices->borrowed.items[i];
        if (strcmp(loan->peer, from) == 0 &&
            loan->instance != beat->instance) {
            /* The lender restarted; it wants its slots back. */
            loan->until = now;
        }
    }
}

void
loans_drop_endpoint(AqSlices *slices, Endpoint *e)
{
    for (size_t i = slices->borrowed.count; i-- > 0;) {
        if (slices->borrowed.items[i].endpoint == e) {
            set_borrowed(slices, &slices->borrowed.items[i], 0);
        }
    }
    for (size_t i = slices->lent.count; i-- > 0;) {
        if (slices->lent.items[i].endpoint == e) {
            set_lent(slices, &slices->lent.items[i], 0);
        }
    }
}

void
loans_fill(const AqSlices *slices, AqMsgHeartbeat *beat)
{
    size_t count = slices->borrowed.count;
    beat->loans = count > 0 ? calloc(count, sizeof(*beat->loans)) : NULL;
    beat->loan_count = count;
    for (size_t i = 0; i < count; i++) {
        const Loan *loan = &slices->borrowed.items[i];
        memcpy(beat->loans[i].lender, loan->peer, sizeof(loan->peer));
        memcpy(beat->loans[i].endpoint, loan->endpoint->name,
               sizeof(loan->endpoint->name));
        beat->loans[i].count = loan->count;
    }
}
