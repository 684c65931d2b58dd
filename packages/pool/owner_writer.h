#ifndef OWNER_WRITER_H
#define OWNER_WRITER_H

#include "node.h"

/* Carries out a pool owner's writes to the store during one ownership, one at
 * a time, in the order of the calls of owner_writer_commit().
 *
 * The store may carry out a write without a reply seconds later, even after
 * newer writes of the same owner, because the owner key is unchanged.  So each
 * write also requires that the owner's write stamp, a key of the pool, is
 * unchanged, and replaces it: a late write finds a changed stamp and has no
 * effect.  After a write without a reply, the write stamp is read before the
 * next write is sent, to determine whether the write took effect, so each
 * write ends with a definite result. */

typedef struct OwnerWriter OwnerWriter;

/* Result of a write: AQ_STORE_OK; AQ_STORE_CONFLICT: the conditions given to
 * owner_writer_commit() did not hold; AQ_STORE_ABSENT: the ownership has
 * ended; AQ_STORE_UNAVAILABLE: nothing was written, or the writer was dropped
 * before the outcome was known.  Called once for each write, from the loop or
 * from owner_writer_drop(), also after the writer was dropped. */
typedef void (*OwnerWriteDone)(void *context, AqStoreStatus status);

OwnerWriter *owner_writer_create(NodeContext *node, const char *pool,
                                 uint64_t fence);
/* Starts no further writes; queued writes end with AQ_STORE_UNAVAILABLE.  The
 * writer is freed when the write in flight has ended. */
void owner_writer_drop(OwnerWriter *writer);

/* Queues a write, copied with its keys and values.  The caller passes at most
 * AQ_STORE_COMMIT_ENTRIES - 3 conditions and puts together, which is not
 * checked. */
void owner_writer_commit(OwnerWriter *writer, const AqStoreExpect *expects,
                         size_t expect_count, const AqStorePut *puts,
                         size_t put_count, OwnerWriteDone done, void *context);

#endif
