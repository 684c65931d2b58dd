#include "order_limit.h"

enum {
    /* What the smallest site's rate of 64 orders a second carries, at 30 to
     * 40 ms for the claim and the order. */
    MIN_CALLS = 12,
    /* The claims of so many orders are half of the writes that the store of
     * the largest site carries. */
    MAX_CALLS = 64,
    /* Accepted orders after which one more is in flight. */
    ORDERS_PER_STEP = 4
};

void
order_limit_init(OrderLimit *limit)
{
    limit->size = MIN_CALLS;
}

bool
order_limit_is_open(const OrderLimit *limit, int calls)
{
    return calls < (int)limit->size;
}

void
order_limit_accepted(OrderLimit *limit)
{
    limit->size += 1.0 / ORDERS_PER_STEP;
    limit->size = limit->size < MAX_CALLS ? limit->size : MAX_CALLS;
}

void
order_limit_put_off(OrderLimit *limit)
{
    limit->size /= 2;
    limit->size = limit->size > MIN_CALLS ? limit->size : MIN_CALLS;
}
