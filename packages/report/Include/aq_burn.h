#ifndef AQ_BURN_H
#define AQ_BURN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_error.h"

/* Burn of the services' error budgets: counts requests per service and minute,
 * and reports on the counts of all entry VMs.  Times are Unix ms. */

enum {
    /* Limits of memory use.  The design size is 53 pools, and 9 entry VMs that
     * may each be replaced several times within the 24 h. */
    AQ_BURN_MAX_SERVICES = 256,
    /* Other entry VMs whose counters are held; the counters of a further entry
     * VM replace the oldest ones. */
    AQ_BURN_MAX_HOLDERS = 64,
    AQ_BURN_MAX_NAME = 64 /* bytes, including the terminating NUL */
};

typedef enum {
    AQ_BURN_ON_TIME,
    AQ_BURN_LATE,     /* request completed after its deadline */
    AQ_BURN_OVERLOAD, /* request not run: queue full or deadline passed */
    AQ_BURN_FAILURE,  /* endpoint failed, or request has unknown outcome */
    AQ_BURN_DRAIN,    /* request not run because endpoints were leaving */
    AQ_BURN_KINDS
} AqBurnKind;

typedef struct AqBurn AqBurn;

AqBurn *AqBurn_Create(void);
void AqBurn_Destroy(AqBurn *burn);

/* Sets the name of the entry VM whose requests are counted in "burn".  To be
 * called before the first AqBurn_Encode and AqBurn_Merge. */
void AqBurn_SetHolder(AqBurn *burn, const char *holder);

/* Counts one request in the minute of wall_ms.  Requests to services beyond
 * AQ_BURN_MAX_SERVICES are counted together as service "(other)". */
void AqBurn_Count(AqBurn *burn, int64_t wall_ms, const char *service,
                  AqBurnKind kind);
/* Returns this entry VM's counters of the last 24 h as JSON, a new reference,
 * per minute for the last hour or two and per hour before that:
 * {holder, at, services: {NAME: [[minute, on time, late, overload, failure,
 * drain]...]}}.  "minute" counts from the Unix epoch. */
json_t *AqBurn_Encode(const AqBurn *burn, int64_t wall_ms);
/* Replaces the counters that another entry VM sent earlier, so that merging
 * the same counters twice counts them once; counters older than those held are
 * ignored.  Counters of this entry VM itself, read back after a restart, fill
 * the minutes before the first minute counted since the restart, but only when
 * merged for the first time.  Returns false with AQ_ERR_INVALID, and changes
 * nothing, when the counters are invalid. */
bool AqBurn_Merge(AqBurn *burn, const json_t *counters, AqError *error);

/* Sets the objective of a service: the share of requests that must be on time,
 * in per mille.  Values are clamped to 1..999, as an objective of 1000 leaves
 * no budget to burn.  Objectives of services beyond AQ_BURN_MAX_SERVICES are
 * ignored. */
void AqBurn_SetObjective(AqBurn *burn, const char *service, int per_mille);

/* Returns the report as JSON, a new reference: {at, holders, services:
 * [{service, objective, on_time, late, overload, failure, drain, burn_5m,
 * burn_1h, budget_left, exhausted_at, hourly: [[requests, missed]...]}...]}.
 * "on_time" to "drain" are request counts of the last 24 h.  A burn rate of 1
 * uses up the budget in exactly 24 h.  "budget_left" is a share of the 24 h
 * budget, negative when overspent.  "exhausted_at" (Unix ms) is when the
 * budget is used up if the burn rate of the last hour goes on, null when that
 * rate is not above 1.  "hourly" has an entry for each of the last 24 periods
 * of 60 minutes, the latest one last. */
json_t *AqBurn_Report(const AqBurn *burn, int64_t wall_ms);
/* Append a report of AqBurn_Report to "out" as a text table or a
 * self-contained SVG plot.  Both functions return false with AQ_ERR_INVALID,
 * and append nothing, when the report is incomplete. */
bool AqBurn_WriteTable(const json_t *report, AqBuffer *out, AqError *error);
bool AqBurn_WriteSvg(const json_t *report, AqBuffer *out, AqError *error);

#endif
