#include "router_private.h"

/* AqRouter.timers is a binary heap of requests, the earliest timer_at at the
 * root.  Requests are created with the timer_index SIZE_MAX, which marks a
 * request that is not in the heap. */

static AqRouterRequest *
at(const AqRouter *router, size_t i)
{
    return g_ptr_array_index(router->timers, i);
}

/* Stores the request at array index i of the timer heap. */
static void
place(AqRouter *router, AqRouterRequest *r, size_t i)
{
    router->timers->pdata[i] = r;
    r->timer_index = i;
}

/* Moves the request towards the root of the timer heap until the timer of its
 * parent is not due later. */
static void
sift_up(AqRouter *router, AqRouterRequest *r)
{
    size_t i = r->timer_index;
    while (i > 0 && at(router, (i - 1) / 2)->timer_at > r->timer_at) {
        place(router, at(router, (i - 1) / 2), i);
        i = (i - 1) / 2;
    }
    place(router, r, i);
}

/* Moves the request away from the root of the timer heap until no timer of its
 * children is due earlier. */
static void
sift_down(AqRouter *router, AqRouterRequest *r)
{
    size_t n = router->timers->len;
    size_t i = r->timer_index;
    for (size_t child = 2 * i + 1; child < n; child = 2 * i + 1) {
        if (child + 1 < n &&
            at(router, child + 1)->timer_at < at(router, child)->timer_at) {
            child++;
        }
        if (at(router, child)->timer_at >= r->timer_at) {
            break;
        }
        place(router, at(router, child), i);
        i = child;
    }
    place(router, r, i);
}

void
AqRouterTimers_Set(AqRouter *router, AqRouterRequest *r, AqTime timer_at)
{
    r->timer_at = timer_at;
    if (r->timer_index == SIZE_MAX) {
        r->timer_index = router->timers->len;
        g_ptr_array_add(router->timers, r);
    }
    sift_up(router, r);
    sift_down(router, r);
}

void
AqRouterTimers_Remove(AqRouter *router, AqRouterRequest *r)
{
    if (r->timer_index == SIZE_MAX) {
        return;
    }
    size_t last = router->timers->len - 1;
    AqRouterRequest *moved = at(router, last);
    if (moved != r) {
        place(router, moved, r->timer_index);
    }
    g_ptr_array_set_size(router->timers, (gint)last);
    r->timer_index = SIZE_MAX;
    if (moved != r) {
        sift_up(router, moved);
        sift_down(router, moved);
    }
}

AqRouterRequest *
AqRouterTimers_First(const AqRouter *router)
{
    return router->timers->len == 0 ? NULL : at(router, 0);
}
