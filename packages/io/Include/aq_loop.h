#ifndef AQ_LOOP_H
#define AQ_LOOP_H

#include <stdbool.h>

#include "aq_clock.h"
#include "aq_error.h"
#include "aq_list.h"

/* Single-threaded event loop over an APR pollset, with timers. */

typedef struct AqLoop AqLoop;
typedef struct AqWatch AqWatch;

enum {
    AQ_READABLE = 1,
    AQ_WRITABLE = 2
};

typedef void (*AqWatchFn)(void *context, int events);
typedef void (*AqTimerFn)(void *context);

/* A timer is a field of the object that uses it.  It must be initialised with
 * AqTimer_Init and stopped before the object is freed. */
typedef struct {
    AqLink link;
    AqTime due; /* ms */
    AqTimerFn fn;
    void *context;
} AqTimer;

AqLoop *AqLoop_Create(AqError *error);
void AqLoop_Destroy(AqLoop *loop);

/* For tests: time is that of a virtual clock from now on (borrowed).  A round
 * without an event does not wait, but moves the clock on by its wait. */
void AqLoop_SetClock(AqLoop *loop, AqClock *clock);

/* Time of the current round, ms; the same for all callbacks of a round. */
AqTime AqLoop_Now(const AqLoop *loop);

/* Watches a descriptor, which stays owned by the caller.  The result is owned
 * by the loop until AqLoop_Unwatch. */
AqWatch *AqLoop_Watch(AqLoop *loop, int fd, int events, AqWatchFn fn,
                      void *context, AqError *error);
void AqLoop_SetEvents(AqLoop *loop, AqWatch *watch, int events);
/* Must come before the descriptor is closed; safe from any callback. */
void AqLoop_Unwatch(AqLoop *loop, AqWatch *watch);

void AqTimer_Init(AqTimer *timer, AqTimerFn fn, void *context);
/* Starts the timer, or moves it when it runs already. */
void AqTimer_Start(AqLoop *loop, AqTimer *timer, AqTime due);
void AqTimer_Stop(AqTimer *timer);

/* Called at the end of each round, before waiting; returns the time at which
 * the next round must begin at the latest.  At most eight. */
typedef AqTime (*AqRoundFn)(void *context);
void AqLoop_OnRound(AqLoop *loop, AqRoundFn fn, void *context);

/* Runs until AqLoop_Stop. */
void AqLoop_Run(AqLoop *loop);
void AqLoop_Stop(AqLoop *loop);
/* Runs one round that waits at most wait_ms; for tests and for programs with
 * a loop of their own. */
void AqLoop_RunOnce(AqLoop *loop, AqTime wait_ms);

#endif
