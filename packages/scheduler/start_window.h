#ifndef START_WINDOW_H
#define START_WINDOW_H

#include <stdbool.h>

#include "aq_clock.h"

/* Limits how many start orders are in flight, so that a burst does not fill
 * the links on the way to the VMs.  On a full link an order waits longer than
 * its VM has to reply, ends without a reply and is sent again, and the
 * renewals of leases wait behind the starts.
 *
 * The window grows with each quick reply, and shrinks when replies take long
 * while it is in use (additive increase, multiplicative decrease).  An order
 * without a reply tells nothing about the link: its VM may be silent. */

typedef struct {
    double size; /* most start orders in flight */
    unsigned in_flight;
    /* The window has not shrunk yet, and doubles with each round of replies.
     */
    bool is_doubling;
    AqTime shrunk_at;
    /* since when the window is closed; AQ_TIME_NEVER while it is open */
    AqTime closed_since;
} StartWindow;

void start_window_init(StartWindow *window);
bool start_window_is_open(const StartWindow *window);
/* Counts an order as sent, also when the window is not open. */
void start_window_sent(StartWindow *window, AqTime now);
/* Counts an order as ended, latency_ms after it was sent; -1: without a reply
 * or of unknown latency. */
void start_window_ended(StartWindow *window, AqTime latency_ms, AqTime now);

#endif
