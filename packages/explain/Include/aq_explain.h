#ifndef AQ_EXPLAIN_H
#define AQ_EXPLAIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "aq_buffer.h"

/* This package explains one request, the job submitted under an id, from the
 * logs of any number of platform nodes: it builds the timeline of the request
 * and finds why the request ended as it did.  It does no I/O.
 *
 * The caller adds all log lines twice: the first pass collects the lines of
 * the request, the second pass lines of other events that may have affected it
 * (changes of a pool's owner, store outages, a pool's load, nodes that start
 * or stop).  The timeline is ordered by the times in the lines, which are
 * those of the nodes' own clocks and may differ between nodes; lines of one
 * node stay in order.  Logs that are missing are named in the report; nothing
 * is guessed in their place. */

typedef struct AqExplain AqExplain;

typedef enum {
    /* First pass over the logs: collects the lines with the id of the
     * request. */
    AQ_EXPLAIN_REQUEST,
    /* Second pass over the logs: collects lines of other events that may have
     * affected the request. */
    AQ_EXPLAIN_CONTEXT
} AqExplainPass;

/* Creates the explanation of the request with this id; "id" is copied. */
AqExplain *AqExplain_Create(const char *id);
void AqExplain_Destroy(AqExplain *explain);

/* Adds one log line, given without its line end.  Text before the first
 * KEY=VALUE field, such as the prefix of a log shipper, is ignored; an
 * unreadable line that contains the id of the request is only counted, and
 * only in the first pass. */
void AqExplain_AddLine(AqExplain *explain, AqExplainPass pass,
                       const char *line, size_t size);
/* Adds "NAME: REASON" to the report's list of missing logs; both texts are
 * copied. */
void AqExplain_AddMissing(AqExplain *explain, const char *name,
                          const char *reason);

/* Returns the number of log lines of the request that were added so far. */
size_t AqExplain_LineCount(const AqExplain *explain);

/* Returns the report as a new reference: an object with the fields request
 * (its id), outcome, cause, evidence (log lines that show the cause), life
 * (the timeline of the request), missing (list of missing logs) and unreadable
 * (number of unreadable lines with the id).  To be called only once, because
 * each call adds entries to the list of missing logs. */
json_t *AqExplain_Report(AqExplain *explain);
/* Appends a report that AqExplain_Report returned to "out" as plain text. */
void AqExplain_Write(const json_t *report, AqBuffer *out);

#endif
