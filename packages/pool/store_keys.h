#ifndef STORE_KEYS_H
#define STORE_KEYS_H

#include <stddef.h>

#include "aq_store.h"

/* Keys in the platform's store, one line each: key, writer, contents.
 *
 * aq/node/member/NODE  the node, under its lease: its incarnation, its
 *                      address for callers, its CPU share
 * aq/node/owner/POOL   the owner, under its lease: node and incarnation; the
 *                      key's modify index is the fence of the pool's orders
 * aq/term/POOL         the owner: generation, node, incarnation, whether the
 *                      pool was released
 * aq/lane/POOL         the owner: write stamp of its last write
 *                      (owner_writer.h)
 * aq/roster/POOL       the owner: used VMs, to which orders may have gone
 * aq/job/POOL/ID       the node that accepted it: the job (AqJobSpec)
 * aq/job/POOL/ID.c     any node: mark that the job is cancelled, possibly
 *                      written before the job
 * aq/progress/POOL/ID  the owner: stage, done tasks, failures
 * aq/report/POOL       the owner, under its lease: waiting jobs of each queue
 * aq/ask/POOL          the owner: its machine requests
 * aq/answer/POOL       the machine coordinator: machine requests that ended
 * aq/machine/MACHINE   the machine coordinator: time of the VM's last order
 *                      and who gave it
 * aq/wave/N            an owner: the wave's VMs that are in progress and
 *                      done */

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
    KEY_JOBS,    /* prefix of a pool's job keys */
    KEY_PROGRESS /* prefix of a pool's progress keys */
} KeyKind;

/* Returns the key of one object.  The result points into one of eight
 * static buffers, which are reused in turn. */
const char *key_of(KeyKind kind, const char *name);
/* Return the key of a job, of its cancellation mark and of its progress
 * record, in the same buffers. */
const char *key_of_job(const char *pool, const char *id);
const char *key_of_cancel(const char *pool, const char *id);
const char *key_of_progress(const char *pool, const char *id);

/* Copies the value of an item to "out" as NUL-terminated text, truncated to
 * "size" - 1 bytes. */
void key_text(const AqStoreItem *item, char *out, size_t size);

#endif
