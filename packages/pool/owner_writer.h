#ifndef OWNER_WRITER_H
#define OWNER_WRITER_H

#include "node.h"

/* The writes of one ownership, one after the other.
 *
 * A write without an answer may be carried out seconds later, also after
 * newer ones of the same owner, whose key is unchanged.  So each write also
 * requires and renews the owner's write stamp: a late one finds it changed and
 * does nothing.  Whether a write without an answer took effect is read from
 * the write stamp before the next one goes out, so each ends with a definite
 * result. */

typedef struct OwnerWriter OwnerWriter;

/* AQ_STORE_OK; AQ_STORE_CONFLICT: the write's own conditions did not hold;
 * AQ_STORE_ABSENT: the ownership has ended; AQ_STORE_UNAVAILABLE: nothing was
 * done.  Called once, from the loop, also after a drop. */
typedef void (*OwnerWriteDone)(void *context, AqStoreStatus status);

OwnerWriter *owner_writer_create(NodeContext *node, const char *pool,
                                 uint64_t fence);
/* Begins no further writes; frees the writer when its calls have ended. */
void owner_writer_drop(OwnerWriter *writer);

/* At most AQ_STORE_COMMIT_ENTRIES - 3 conditions and writes together; all is
 * copied. */
void owner_writer_commit(OwnerWriter *writer, const AqStoreExpect *expects,
                         size_t expect_count, const AqStorePut *puts,
                         size_t put_count, OwnerWriteDone done, void *context);

#endif
