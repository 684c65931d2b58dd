#ifndef AQ_EXPLAIN_H
#define AQ_EXPLAIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "aq_buffer.h"

/* The timeline of one request, put together from the logs of any number of
 * nodes on the platform, and why it ended as it did.  No I/O.
 *
 * The lines are given twice: first those of the request are found, then what
 * happened around them (owners of the pool, the store, the pool's load).  The
 * order is that of the nodes' own clocks, which may differ; lines of one node
 * stay in order.  What the logs do not show is named, not guessed. */

typedef struct AqExplain AqExplain;

typedef enum {
    AQ_EXPLAIN_REQUEST, /* first pass */
    AQ_EXPLAIN_CONTEXT  /* second pass */
} AqExplainPass;

/* "id" is copied. */
AqExplain *AqExplain_Create(const char *id);
void AqExplain_Destroy(AqExplain *explain);

/* Takes one line without its end.  Text before the first key is passed over;
 * a line of the request that cannot be read is counted. */
void AqExplain_AddLine(AqExplain *explain, AqExplainPass pass,
                       const char *line, size_t size);
/* A log that could not be read. */
void AqExplain_AddMissing(AqExplain *explain, const char *name,
                          const char *reason);

/* Lines of the request so far. */
size_t AqExplain_Lines(const AqExplain *explain);

/* The report: request, outcome, cause, evidence, life, missing, unreadable; a
 * new reference. */
json_t *AqExplain_Report(AqExplain *explain);
/* The same for reading. */
void AqExplain_Write(const json_t *report, AqBuffer *out);

#endif
