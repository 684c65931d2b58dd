#ifndef AQ_BURN_H
#define AQ_BURN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_error.h"

/* This package counts an entry VM's requests per service and minute, merges
 * the counts of all entry VMs, and reports how fast the services burn (use up)
 * their error budgets (the share of requests that need not be on time).  Times
 * are Unix ms. */

enum {
    /* This limit and the next one bound the memory for counters.  The design
     * size of a fleet is 53 pools, each for one service, and 9 entry VMs that
     * may each be replaced several times within the 24 h that a report
     * covers. */
    AQ_BURN_MAX_SERVICES = 256,
    /* Number of other entry VMs whose counters are kept; the counters of a
     * further entry VM replace those that were encoded earliest. */
    AQ_BURN_MAX_HOLDERS = 64,
    /* Size in bytes of the name of a service or entry VM, with the NUL byte at
     * its end. */
    AQ_BURN_MAX_NAME = 64
};

typedef enum {
    AQ_BURN_ON_TIME,
    AQ_BURN_LATE,     /* request completed after its deadline */
    AQ_BURN_OVERLOAD, /* request not run: queue full or deadline passed */
    AQ_BURN_FAILURE,  /* endpoint failed, or request has unknown outcome */
    /* Request not run because no endpoint took it, as happens while endpoints
     * leave or the entry VM stops. */
    AQ_BURN_DRAIN,
    AQ_BURN_KINDS
} AqBurnKind;

typedef struct AqBurn AqBurn;

AqBurn *AqBurn_Create(void);
void AqBurn_Destroy(AqBurn *burn);

/* Sets the name of this entry VM, whose requests are counted in "burn".  To be
 * called before the first AqBurn_Encode and AqBurn_Merge. */
void AqBurn_SetHolder(AqBurn *burn, const char *holder);

/* Counts one request in the minute of wall_ms.  When AQ_BURN_MAX_SERVICES - 1
 * services have counters, requests to further services are counted together as
 * service "(other)". */
void AqBurn_Count(AqBurn *burn, int64_t wall_ms, const char *service,
                  AqBurnKind kind);
/* Returns this entry VM's counters of the last 24 h as JSON, a new reference,
 * per minute for the last hour or two and per hour before that: {holder, at,
 * services: {NAME: [[minute, on time, late, overload, failure, drain]...]}}.
 * "holder" is the name of this entry VM, "at" is wall_ms, "minute" counts from
 * the Unix epoch, and "on time" to "drain" are request counts. */
json_t *AqBurn_Encode(const AqBurn *burn, int64_t wall_ms);
/* Replaces the counters of another entry VM that were merged earlier, so that
 * merging the same counters twice counts them once; counters encoded before
 * those kept are ignored.  Counters of this entry VM itself, read back after a
 * restart, fill the minutes before the first minute counted since the restart,
 * but only when merged for the first time.  Returns false with AQ_ERR_INVALID,
 * and changes nothing, when the counters are invalid. */
bool AqBurn_Merge(AqBurn *burn, const json_t *counters, AqError *error);

/* Sets the objective of a service: the share of requests that must be on time,
 * in per mille.  Values are clamped to 1..999, as an objective of 1000 leaves
 * no budget to burn.  When AQ_BURN_MAX_SERVICES services have an objective,
 * those of further services are ignored. */
void AqBurn_SetObjective(AqBurn *burn, const char *service, int per_mille);

/* Returns the report as JSON, a new reference: {at, holders, services:
 * [{service, objective, on_time, late, overload, failure, drain, burn_5m,
 * burn_1h, budget_left, exhausted_at, hourly: [[requests, missed]...]}...]}.
 * "at" is wall_ms, "holders" the number of entry VMs whose counters are in the
 * report, "service" a name and "objective" the share of requests that must be
 * on time, in per mille.  "on_time" to "drain" are request counts of the last
 * 24 h.  "burn_5m" and "burn_1h" are the burn rates of the last 5 minutes and
 * the last hour; a burn rate of 1 uses up the budget in exactly 24 h.
 * "budget_left" is a share of the 24 h budget, negative when overspent.
 * "exhausted_at" (Unix ms) is when the budget is used up if the burn rate of
 * the last hour goes on: wall_ms when no budget is left, else null when that
 * rate is not above 1.  "hourly" has an entry for each of the last 24 periods
 * of 60 minutes, the latest one last, with the number of requests and of those
 * that were not on time. */
json_t *AqBurn_Report(const AqBurn *burn, int64_t wall_ms);
/* AqBurn_WriteTable and AqBurn_WriteSvg append a report that AqBurn_Report
 * returned to "out", as a text table and as a self-contained SVG plot.  Both
 * return false with AQ_ERR_INVALID, and append nothing, when the report is
 * incomplete. */
bool AqBurn_WriteTable(const json_t *report, AqBuffer *out, AqError *error);
bool AqBurn_WriteSvg(const json_t *report, AqBuffer *out, AqError *error);

#endif
