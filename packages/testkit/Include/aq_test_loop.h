#ifndef AQ_TEST_LOOP_H
#define AQ_TEST_LOOP_H

#include <poll.h>
#include <stdbool.h>

#include "aq_clock.h"
#include "aq_list.h"

/* Single-threaded event loop that watches file descriptors and timers.  The
 * stand-ins, the load generator, the demo and tests run on such a loop. */
typedef struct AqTestLoop AqTestLoop;

/* Event source that an event loop watches and runs.  The structure is embedded
 * in the object that uses the source, and linked to the loop. */
typedef struct AqLoopSource {
    AqLink link;
    int fd; /* descriptor that the event loop polls for input; -1: none */
    /* Called in every iteration of the event loop, whether or not fd is
     * readable. */
    void (*run)(struct AqLoopSource *source);
    /* Returns the time in ms after which run must be called, or -1 when run
     * is needed only after fd becomes readable.  A NULL pointer means -1. */
    int (*timeout)(struct AqLoopSource *source);
} AqLoopSource;

/* One-shot timer of an event loop; the structure is embedded in the object
 * that uses the timer. */
typedef struct {
    AqLink link;
    AqTime due; /* monotonic time at which the function fire is called */
    void (*fire)(void *context);
    /* Argument of the function fire; borrowed from the owner of the timer. */
    void *context;
} AqLoopTimer;

/* Function that an event loop calls in place of poll(): waits until a
 * descriptor in fds is readable or timeout ms have passed (-1: no limit).  A
 * program that uses libcurl waits for libcurl's descriptors in the same
 * call. */
typedef void (*AqLoopWait)(void *context, struct pollfd *fds, unsigned count,
                           int timeout);

/* Creates an event loop that ends when SIGTERM or SIGINT arrives.  For the
 * whole process, SIGPIPE is ignored and the soft limit of open descriptors is
 * raised to the hard limit. */
AqTestLoop *AqTestLoop_Create(void);
void AqTestLoop_Destroy(AqTestLoop *loop);

/* Returns the monotonic time at which the current iteration of the loop
 * began. */
AqTime AqTestLoop_Now(const AqTestLoop *loop);
void AqTestLoop_AddSource(AqTestLoop *loop, AqLoopSource *source);
void AqTestLoop_RemoveSource(AqLoopSource *source);
/* Makes the loop call wait, with context as its first argument, in place of
 * poll().  context is borrowed. */
void AqTestLoop_SetWait(AqTestLoop *loop, AqLoopWait wait, void *context);

void AqLoopTimer_Init(AqLoopTimer *timer, void (*fire)(void *context),
                      void *context);
/* Starts the timer to fire after ms milliseconds; a timer that is already
 * running is rescheduled. */
void AqTestLoop_StartTimer(AqTestLoop *loop, AqLoopTimer *timer, AqTime ms);
void AqLoopTimer_Stop(AqLoopTimer *timer);

/* Runs the loop until AqTestLoop_Stop is called or SIGTERM or SIGINT
 * arrives. */
void AqTestLoop_Run(AqTestLoop *loop);
/* Runs the loop until *done is true, ms milliseconds have passed or the loop
 * is stopped, and returns *done.  Returns at once when the loop was stopped
 * before. */
bool AqTestLoop_RunUntil(AqTestLoop *loop, const bool *done, AqTime ms);
void AqTestLoop_Stop(AqTestLoop *loop);

#endif
