#ifndef STORE_KEYS_H
#define STORE_KEYS_H

#include <stddef.h>

#include "aq_store.h"

/* The product's keys in the store.  One line each: writer, contents.
 *
 * aq/node/member/NODE  the node, under its lease: its incarnation
 * aq/node/owner/POOL   the owner, under its lease: node and incarnation; the
 *                      key's index is the fence of the pool's orders
 * aq/term/POOL         the owner: generation, node, incarnation, released
 * aq/lane/POOL         the owner: stamp of its last write (owner_writer.h)
 * aq/roster/POOL       the owner: VMs that orders may have gone to
 * aq/job/POOL/ID       the node that accepted it: the job (AqJobSpec)
 * aq/job/POOL/ID.c     any node: the job is cancelled, perhaps before it came
 * aq/progress/POOL/ID  the owner: stage, done tasks, failures
 * aq/report/POOL       the owner, under its lease: jobs waiting of each queue
 * aq/ask/POOL          the owner: orders for VMs that it requests
 * aq/answer/POOL       the machine coordinator: requests that have ended
 * aq/machine/MACHINE   the machine coordinator: who gave the VM its last
 *                      order, when
 * aq/wave/N            an owner: VMs of the wave that are begun and done */

#define KEYS_NODES "aq/node/"
#define KEYS_MEMBERS "aq/node/member/"
#define KEYS_OWNERS "aq/node/owner/"
#define KEYS_MACHINE_REQUESTS "aq/ask/"
#define KEYS_WAVES "aq/wave/"

typedef enum {
    KEY_MEMBER,
    KEY_OWNER,
    KEY_TERM,
    KEY_WRITE_STAMP,
    KEY_USED_VMS,
    KEY_REPORT,
    KEY_MACHINE_REQUESTS,
    KEY_MACHINE_RESPONSES,
    KEY_MACHINE,
    KEY_WAVE,
    KEY_JOBS,    /* prefix of a pool's jobs */
    KEY_PROGRESS /* prefix of a pool's progress records */
} KeyKind;

/* Returns the key of one object; points into one of eight static buffers used
 * in turn. */
const char *key_of(KeyKind kind, const char *name);
/* Key of a job, its cancelling or its progress; the same buffers. */
const char *key_of_job(const char *pool, const char *id);
const char *key_of_cancel(const char *pool, const char *id);
const char *key_of_progress(const char *pool, const char *id);

/* Copies a value that is text, cut to "size" - 1 bytes, with an end. */
void key_text(const AqStoreItem *item, char *out, size_t size);

#endif
