#ifndef AQ_LOOP_H
#define AQ_LOOP_H

#include <stdbool.h>

#include "aq_clock.h"
#include "aq_error.h"
#include "aq_list.h"

/* Single-threaded event loop over an APR pollset, with timers.  One iteration
 * of the loop, from the wait to the last callback, is called a round. */

typedef struct AqLoop AqLoop;
typedef struct AqWatch AqWatch;

enum {
    AQ_READABLE = 1,
    AQ_WRITABLE = 2
};

typedef void (*AqWatchFn)(void *context, int events);
typedef void (*AqTimerFn)(void *context);

/* One-shot timer, usually a field of the object that uses the timer.  A timer
 * must be initialised with AqTimer_Init and stopped before its memory is
 * freed. */
typedef struct {
    AqLink link;
    AqTime due; /* loop time at which the timer fires */
    AqTimerFn fn;
    void *context;
} AqTimer;

AqLoop *AqLoop_Create(AqError *error);
void AqLoop_Destroy(AqLoop *loop);

/* For tests: makes the loop use a virtual clock, which the caller owns and
 * keeps until the loop is destroyed.  A round in which no descriptor is ready
 * does not wait, but advances the virtual clock by the length of the wait. */
void AqLoop_SetClock(AqLoop *loop, AqClock *clock);

/* Returns the loop's time, which is read once in each round after the wait, so
 * that all callbacks of a round see the same time. */
AqTime AqLoop_Now(const AqLoop *loop);

/* Calls "fn" from the loop whenever the descriptor is ready for one of the
 * events (AQ_READABLE, AQ_WRITABLE).  The caller still owns the descriptor.
 * Returns a watch that the loop owns and AqLoop_Unwatch ends, or NULL and
 * fills *error. */
AqWatch *AqLoop_Watch(AqLoop *loop, int fd, int events, AqWatchFn fn,
                      void *context, AqError *error);
void AqLoop_SetEvents(AqLoop *loop, AqWatch *watch, int events);
/* Stops watching a descriptor.  Must be called before the descriptor is
 * closed; may be called from any callback of the loop.  Does nothing if
 * "watch" is NULL. */
void AqLoop_Unwatch(AqLoop *loop, AqWatch *watch);

void AqTimer_Init(AqTimer *timer, AqTimerFn fn, void *context);
/* Starts the timer, which then fires once at loop time "due".  Changes the due
 * time if the timer is already running. */
void AqTimer_Start(AqLoop *loop, AqTimer *timer, AqTime due);
void AqTimer_Stop(AqTimer *timer);

/* Function that the loop calls before the wait of each round.  Returns the
 * latest loop time at which that wait must end.  AqLoop_OnRound registers such
 * a function; the ninth one of a loop aborts the process. */
typedef AqTime (*AqRoundFn)(void *context);
void AqLoop_OnRound(AqLoop *loop, AqRoundFn fn, void *context);
/* Ends the registration of "fn" with "context"; may be called from any
 * callback of the loop. */
void AqLoop_OffRound(AqLoop *loop, AqRoundFn fn, const void *context);

/* Returns the longest time, ms, that the callbacks of one round have taken;
 * the loop handles no other event meanwhile. */
AqTime AqLoop_LongestStall(const AqLoop *loop);
/* Returns the time, ms, that all rounds so far have spent in callbacks, with
 * the time in which the process had to wait for a processor. */
AqTime AqLoop_BusyTime(const AqLoop *loop);

/* Returns the loop time at which the loop last went on after it had handled no
 * event for longer than 1 s, for example since the process was suspended; 0:
 * never.  What was known before that may be out of date, also if it comes from
 * a message that is handled after it. */
AqTime AqLoop_ResumedAt(const AqLoop *loop);

/* Runs rounds until AqLoop_Stop is called. */
void AqLoop_Run(AqLoop *loop);
void AqLoop_Stop(AqLoop *loop);
/* Runs one round, which waits for at most wait_ms.  For tests and for programs
 * with a main loop of their own. */
void AqLoop_RunOnce(AqLoop *loop, AqTime wait_ms);

#endif
