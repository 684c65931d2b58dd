#ifndef OWNER_WRITER_H
#define OWNER_WRITER_H

#include "node.h"

/* Carries out the writes of one ownership, one at a time, in the order of the
 * calls.
 *
 * A write without a reply may be carried out seconds later, even after newer
 * writes of the same owner, because the owner key is unchanged.  So each write
 * also requires the owner's write stamp to be unchanged and replaces it: a
 * late write finds a changed stamp and has no effect.  After a write without a
 * reply, the write stamp is read to determine whether it took effect before
 * the next write is sent, so each write ends with a definite result. */

typedef struct OwnerWriter OwnerWriter;

/* Result of a write: AQ_STORE_OK; AQ_STORE_CONFLICT: the write's own
 * conditions did not hold; AQ_STORE_ABSENT: the ownership has ended;
 * AQ_STORE_UNAVAILABLE: nothing was written.  Called once, from the loop,
 * also after the writer was dropped. */
typedef void (*OwnerWriteDone)(void *context, AqStoreStatus status);

OwnerWriter *owner_writer_create(NodeContext *node, const char *pool,
                                 uint64_t fence);
/* Starts no further writes; queued ones end with AQ_STORE_UNAVAILABLE.  The
 * writer is freed when the write in flight has ended. */
void owner_writer_drop(OwnerWriter *writer);

/* Queues a write.  At most AQ_STORE_COMMIT_ENTRIES - 3 conditions and
 * writes together; everything is copied. */
void owner_writer_commit(OwnerWriter *writer, const AqStoreExpect *expects,
                         size_t expect_count, const AqStorePut *puts,
                         size_t put_count, OwnerWriteDone done, void *context);

#endif
