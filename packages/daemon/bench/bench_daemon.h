#ifndef BENCH_DAEMON_H
#define BENCH_DAEMON_H

#include "bench_site.h"

/* Parts of bench_daemon; each prints a table of its measurements. */

/* Measures requests per second and latency of requests sent directly to the
 * endpoints, and of requests sent through "daemons" daemons. */
void bench_requests(int daemons);
/* Measures how many callers' requests take more than 1 s, are not run or end
 * with an unknown outcome when open connections of endpoints become silent,
 * that is, stay open but carry no more bytes. */
void bench_silent(void);
/* Prints the header of the table to which bench_idle() adds rows: CPU time,
 * memory and network bytes of daemons without requests of callers. */
void bench_idle_header(void);
void bench_idle(const BenchPlan *plan);
/* Measures the time from an operator's change of the fleet document until the
 * change is in force at all daemons. */
void bench_changes(const BenchPlan *plan);

/* Returns the monotonic time in microseconds. */
double bench_now_us(void);
/* Sorts "values" and returns their percentile "percent", from 0 to 100;
 * returns 0 when "count" is 0. */
double bench_percentile(double *values, size_t count, double percent);

#endif
