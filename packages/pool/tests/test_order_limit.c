#include <CUnit/Basic.h>

#include "order_limit.h"

enum {
    CALL_MS = 36, /* of one order, its claim included */
    SECONDS = 5
};

/* Counts of orders at a machine service that accepts a number a second. */
typedef struct {
    unsigned accepted;
    unsigned put_off;
} OrderCounts;

/* Sends orders as fast as the limit allows. */
static OrderCounts
run_orders(unsigned accepted_per_s)
{
    OrderCounts counts = {0};
    OrderLimit limit;
    unsigned ends[CALL_MS] = {0}; /* orders that end at each ms */
    int calls = 0;
    double room = 0;
    order_limit_init(&limit);
    for (unsigned ms = 0; ms < SECONDS * 1000; ms++) {
        room += accepted_per_s / 1000.0;
        room = room < accepted_per_s / 10.0 ? room : accepted_per_s / 10.0;
        unsigned *ended = &ends[ms % CALL_MS];
        calls -= (int)*ended;
        for (; *ended > 0; (*ended)--) {
            if (room >= 1) {
                room -= 1;
                counts.accepted++;
                order_limit_accepted(&limit);
            }
            else {
                counts.put_off++;
                order_limit_put_off(&limit);
            }
        }
        for (; order_limit_is_open(&limit, calls); calls++) {
            (*ended)++;
        }
    }
    return counts;
}

/* Guards against a burst on a large site that waits for its VMs because orders
 * for them go out a dozen at a time, and against more refused orders on a
 * small site than with a dozen: it accepts 64 a second. */
static void
test_rates(void)
{
    OrderCounts large = run_orders(2000);
    OrderCounts small = run_orders(64);
    CU_ASSERT_TRUE(large.accepted > SECONDS * 1000);
    CU_ASSERT_EQUAL(large.put_off, 0);
    CU_ASSERT_TRUE(small.accepted >= SECONDS * 60);
    CU_ASSERT_TRUE(small.put_off <= SECONDS * 12 * 1000 / CALL_MS);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("order_limit", NULL, NULL);
    CU_ADD_TEST(suite, test_rates);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
