#ifndef SNAPSHOTS_H
#define SNAPSHOTS_H

#include "daemon.h"

/* A snapshot is a copy of one version of the fleet document in the store.  The
 * store entry "head" names one snapshot and contains the changes since that
 * snapshot (the tail). */

enum {
    SNAPSHOT_KEY_SIZE = 64 /* bytes for the store key of a snapshot */
};

/* Sets "key" to the store key of the snapshot of a fleet document version. */
void Snapshots_Key(int64_t version, char key[SNAPSHOT_KEY_SIZE]);

/* Deletes from the store the snapshot of document version "version", which the
 * store entry "head" no longer names.  A daemon that still tries to read the
 * snapshot reads "head" again.  Without the deletion the store would grow by
 * 170 KB, at the design size, each time the tail of changes in "head" is full
 * and a new snapshot is written. */
void Snapshots_Remove(Daemon *daemon, int64_t version);

#endif
