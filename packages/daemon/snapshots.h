#ifndef SNAPSHOTS_H
#define SNAPSHOTS_H

#include "daemon.h"

/* Snapshots of the fleet document in the store: head names one, and lists the
 * changes after it (the tail). */

enum {
    SNAPSHOT_KEY_SIZE = 64
};

/* Writes the store key of the snapshot of a document version to "key". */
void Snapshots_Key(int64_t version, char key[SNAPSHOT_KEY_SIZE]);

/* Deletes a snapshot that head no longer names.  A daemon that still tries to
 * read the snapshot reads head again.  Without the deletion the store would
 * grow by 170 KB each time the tail of head is full, at the design size. */
void Snapshots_Remove(Daemon *daemon, int64_t version);

#endif
