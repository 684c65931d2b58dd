#ifndef SNAPSHOTS_H
#define SNAPSHOTS_H

#include "daemon.h"

/* Snapshots of the fleet document in the store.  Head, the store's record of
 * the newest document, names one snapshot and contains the later changes (the
 * tail). */

enum {
    SNAPSHOT_KEY_SIZE = 64
};

/* Writes the store key of the snapshot of a document version to "key". */
void Snapshots_Key(int64_t version, char key[SNAPSHOT_KEY_SIZE]);

/* Deletes a snapshot that head no longer names.  A daemon that still tries to
 * read the snapshot reads head again.  Without the deletion the store would
 * grow by 170 KB, at the design size, each time the tail of changes in head is
 * full and a new snapshot is written. */
void Snapshots_Remove(Daemon *daemon, int64_t version);

#endif
