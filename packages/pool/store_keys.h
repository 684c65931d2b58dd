#ifndef STORE_KEYS_H
#define STORE_KEYS_H

#include <stddef.h>

#include "aq_store.h"

/* Keys in the platform's store, one entry each: key, writer, contents.  "The
 * owner" is the node that owns POOL; "under its lease": the store removes the
 * key when the writing node's lease ends.
 *
 * aq/node/member/NODE  the node, under its lease: the node's incarnation,
 *                      address for callers and CPU share
 * aq/node/owner/POOL   the owner, under its lease: the owner's node id and
 *                      incarnation; the store revision (modify index) of
 *                      the key is the fence of the pool's orders
 * aq/term/POOL         the owner: number of the pool's ownerships so far, the
 *                      last owner's node id and incarnation, whether that
 *                      owner released the pool, whether no owner before it
 *                      can be active (absent in records of earlier versions)
 * aq/lane/POOL         the owner: write stamp of the owner's last write
 *                      (owner_writer.h)
 * aq/roster/POOL       the owner: used VMs, those that may have got orders
 * aq/job/POOL/ID       the node that accepted the job: the job (AqJobSpec)
 * aq/job/POOL/ID.c     any node: mark that the job is cancelled, possibly
 *                      written before the job
 * aq/progress/POOL/ID  the owner: the job's stage, done tasks and failures
 * aq/pool-of/ID        the node that accepted the job or its cancellation,
 *                      with the job or the mark: the name of POOL, in which
 *                      the job stays when a later configuration sends its
 *                      queue to another pool
 * aq/report/POOL       the owner, under its lease: waiting jobs of each queue
 *                      that has some in the pool, and the load
 * aq/ask/POOL          the owner: machine requests of the pool, which are
 *                      requests for orders for VMs
 * aq/answer/POOL       the machine coordinator: machine requests of the pool
 *                      that ended
 * aq/machine/MACHINE   the machine coordinator: its last claim of the VM
 *                      (fenced_order.h): node id and wall clock in ms
 * aq/wave/N            the owner of any pool: VMs of wave N whose
 *                      maintenance is in progress or done
 * aq/caps/parts        the owner of any pool, which changes only the parts of
 *                      its pool: the part of each workspace's cap that each
 *                      pool holds (aq_cap_shares.h) */

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
    KEY_CAPS,     /* name: "parts"; "": prefix */
    KEY_JOB_POOL, /* name: id of the job */
    /* Prefix of the keys of a pool's jobs and of their cancellation marks. */
    KEY_JOBS,
    /* Prefix of the keys of the progress records of a pool's jobs. */
    KEY_PROGRESS
} KeyKind;

/* Returns a store key of the given kind; "name" is the name of the pool, the
 * id of the node, VM or job, or the number of the wave.  The result points
 * into one of eight static buffers, which are reused in turn. */
const char *key_of(KeyKind kind, const char *name);
/* These return the store keys of a job, of its cancellation mark and of its
 * progress record.  Each result points into one of the eight static buffers of
 * key_of(), which are reused in turn. */
const char *key_of_job(const char *pool, const char *id);
const char *key_of_cancel(const char *pool, const char *id);
const char *key_of_progress(const char *pool, const char *id);

/* Copies the value of an item to "out" as NUL-terminated text, truncated to
 * "size" - 1 bytes. */
void key_text(const AqStoreItem *item, char *out, size_t size);

#endif
