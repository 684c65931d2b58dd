#ifndef ORDER_LIMIT_H
#define ORDER_LIMIT_H

#include <stdbool.h>

/* Limits how many orders for VMs are in flight at the platform's machine
 * service, whose rate is not known: a large site takes hundreds a second, a
 * small one 64, and each order beyond is refused, counted and repeated.  The
 * limit grows with orders that were accepted and is halved by one that was put
 * off (additive increase, multiplicative decrease). */

typedef struct {
    double size;
} OrderLimit;

void order_limit_init(OrderLimit *limit);
/* Returns whether another order may be sent beside "calls" in flight. */
bool order_limit_is_open(const OrderLimit *limit, int calls);
void order_limit_accepted(OrderLimit *limit);
void order_limit_put_off(OrderLimit *limit);

#endif
