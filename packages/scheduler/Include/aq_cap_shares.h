#ifndef AQ_CAP_SHARES_H
#define AQ_CAP_SHARES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_error.h"
#include "aq_site_config.h"

/* Division of the caps of workspaces among pools.  Each pool holds a part of
 * each workspace's cap and starts tasks only within that part.  The parts
 * stand in one stored record, in which the owner of a pool changes only the
 * parts of its pool.  Pure decisions, without I/O or a clock. */

enum {
    AQ_RESOURCE_KINDS = 3 /* CPU, memory, GPUs */
};

/* Returns the amount of the resource number "kind" in *resources. */
int64_t *AqResources_At(AqResources *resources, int kind);
int64_t AqResources_Get(const AqResources *resources, int kind);

/* What a pool holds of a workspace's cap.  Resources without a limit are 0. */
typedef struct {
    AqResources held;
    /* what the pool would use; above "held" only while the pool lacks a part
     * of the cap */
    AqResources want;
    /* need of the task or gang that waits, while the pool lacks a part */
    AqResources unit;
    /* since when the pool lacks a part and has started nothing, Unix ms; 0: it
     * lacks none */
    int64_t since_ms;
} AqCapPart;

typedef struct AqCapRecord AqCapRecord;

AqCapRecord *AqCapRecord_Create(void);
void AqCapRecord_Destroy(AqCapRecord *record);
AqCapRecord *AqCapRecord_Copy(const AqCapRecord *record);
/* Returns a new record; NULL with AQ_ERR_INVALID when the bytes are
 * damaged. */
AqCapRecord *AqCapRecord_Decode(const char *bytes, size_t size,
                                AqError *error);
void AqCapRecord_Encode(const AqCapRecord *record, AqBuffer *out);
/* Returns the pool's part, borrowed until the record changes; NULL: it has
 * none. */
const AqCapPart *AqCapRecord_Find(const AqCapRecord *record,
                                  const char *workspace, const char *pool);
/* Sets the pool's part; NULL removes it. */
void AqCapRecord_Set(AqCapRecord *record, const char *workspace,
                     const char *pool, const AqCapPart *part);
/* Calls "visit" for each part of the pool. */
void AqCapRecord_Each(const AqCapRecord *record, const char *pool,
                      void (*visit)(void *context, const char *workspace,
                                    const AqCapPart *part),
                      void *context);

/* What a workspace with a cap needs in a pool. */
typedef struct {
    const char *workspace; /* borrowed */
    AqResources cap;
    /* what may be running: also runs whose end is not known */
    AqResources used;
    /* Until all runs of earlier owners are known, else 0: the part of "used"
     * that tasks of jobs have that no earlier owner can have started, and the
     * most that runs which are not known yet can use. */
    AqResources used_by_new;
    AqResources unknown;
    /* "used" and what the tasks need that the cap holds back */
    AqResources want;
    AqResources unit; /* as in AqCapPart; 0: the cap holds nothing back */
    int64_t since_ms; /* as in AqCapPart */
} AqCapDemand;

/* Largest recent demand, so that the end of one task before the start of the
 * next gives nothing back.  Zeroed: none yet. */
typedef struct {
    AqResources most[2]; /* in the current span of time and the one before */
    AqTime began_at;     /* of the current span */
} AqCapPeak;

/* Notes what is wanted at "now", and raises *want to the largest amounts of
 * the last 500 to 1000 ms. */
void AqCapPeak_Note(AqCapPeak *peak, AqTime now, AqResources *want);

typedef enum {
    AQ_CAP_KEEP,  /* the part is to stay as it is */
    AQ_CAP_LATER, /* the change may wait; no task needs it now */
    AQ_CAP_NOW
} AqCapChange;

/* Decides the new part of the pool.  "pools" are the "pool_count" pools among
 * which the caps are divided.  No part is taken that would bring the sum over
 * all pools above the cap; a pool that uses more than its part holds what it
 * uses. */
AqCapChange AqCapShares_Decide(const AqCapRecord *record, const char *pool,
                               const char *const *pools, size_t pool_count,
                               const AqCapDemand *demand, AqCapPart *part,
                               AqResources *allowed);
/* Sets *limit to what the workspace may use in the pool: the part that the
 * pool holds, reduced in proportion where the pools hold more than the cap
 * together, as after the cap was lowered.  INT64_MAX: no limit. */
void AqCapShares_Limit(const AqCapRecord *record, const char *workspace,
                       const char *pool, const AqResources *cap,
                       AqResources *limit);

#endif
