#include "start_window.h"

enum {
    INITIAL_SIZE = 64,
    MIN_SIZE = 8,
    MAX_SIZE = 4096,
    /* Replies that take longer have waited for a link or a processor: a VM
     * replies within some ms, and an order times out after 600 ms. */
    SLOW_REPLY_MS = 200,
    QUICK_REPLY_MS = 100,
    /* Growth by so many orders with each window of quick replies. */
    GROWTH_PER_ROUND = 8
};

static const double shrink_factor = 0.7;

void
start_window_init(StartWindow *window)
{
    *window = (StartWindow){.size = INITIAL_SIZE,
                            .is_doubling = true,
                            .closed_since = AQ_TIME_NEVER};
}

bool
start_window_is_open(const StartWindow *window)
{
    return window->in_flight < (unsigned)window->size;
}

static void
note_closed(StartWindow *window, AqTime now)
{
    if (start_window_is_open(window)) {
        window->closed_since = AQ_TIME_NEVER;
    }
    else if (window->closed_since == AQ_TIME_NEVER) {
        window->closed_since = now;
    }
}

void
start_window_sent(StartWindow *window, AqTime now)
{
    window->in_flight++;
    note_closed(window, now);
}

static void
resize(StartWindow *window, AqTime latency_ms, AqTime now)
{
    if (latency_ms > SLOW_REPLY_MS) {
        /* The replies to orders that were sent before the window shrank still
         * take long. */
        if (now - window->shrunk_at > latency_ms) {
            window->size *= shrink_factor;
            window->size = window->size > MIN_SIZE ? window->size : MIN_SIZE;
            window->shrunk_at = now;
            window->is_doubling = false;
        }
    }
    else if (latency_ms < QUICK_REPLY_MS) {
        window->size +=
            window->is_doubling ? 1.0 : GROWTH_PER_ROUND / window->size;
        window->size = window->size < MAX_SIZE ? window->size : MAX_SIZE;
    }
}

void
start_window_ended(StartWindow *window, AqTime latency_ms, AqTime now)
{
    /* A window that is not in use says nothing about a larger one. */
    bool is_used = 2 * window->in_flight >= (unsigned)window->size;
    if (window->in_flight > 0) {
        window->in_flight--;
    }
    if (latency_ms >= 0 && is_used) {
        resize(window, latency_ms, now);
    }
    note_closed(window, now);
}
