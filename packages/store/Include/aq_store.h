#ifndef AQ_STORE_H
#define AQ_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Asynchronous access to the platform's key-value service.  For every call the
 * event loop calls the "done" function exactly once, never from within the
 * call itself.  An index is a revision number that the service assigns to each
 * change of its data, in increasing order. */

typedef enum {
    AQ_STORE_OK, /* a read found the key, or a write took effect */
    /* A read found no such key, or the lease that a write names has ended and
     * the write had no effect. */
    AQ_STORE_ABSENT,
    /* A write had no effect, because the index of a key did not match. */
    AQ_STORE_CONFLICT,
    /* The service was not reached or a read failed; the call had no effect. */
    AQ_STORE_UNAVAILABLE,
    AQ_STORE_UNKNOWN, /* no clear reply; a write may have taken effect */
    /* The service no longer has the changes after the watched index. */
    AQ_STORE_COMPACTED
} AqStoreStatus;

typedef struct {
    const char *key; /* key text; valid only during the "done" callback */
    /* Array of "size" bytes, not NUL-terminated; valid only during the "done"
     * callback. */
    const char *value;
    size_t size;    /* length of the value, bytes */
    uint64_t index; /* store index of the key's last change */
    bool removed;   /* in replies of "changes": whether the key was removed */
} AqStoreItem;

typedef struct {
    AqStoreStatus status;
    /* For a read: the keys found; for "changes": the changes in order of
     * index; for a commit with AQ_STORE_CONFLICT: those keys of its conditions
     * that exist.  Valid only during the "done" callback. */
    const AqStoreItem *items;
    size_t count; /* number of items */
    /* For a read or "changes": the store index after which to watch for
     * further changes; for a commit: the store index of its change. */
    uint64_t index;
    uint64_t lease;   /* lease_grant: id of the new lease */
    int64_t ttl_ms;   /* lease_grant, lease_keep: term that the service set */
    bool is_complete; /* list_after: whether this is the last page */
} AqStoreReply;

/* A condition of a commit: the last change of the key has the store index
 * "index", or the key does not exist if "index" is 0. */
typedef struct {
    const char *key;
    uint64_t index;
} AqStoreExpect;

/* A write of a commit.  The key is deleted when the lease with id "lease"
 * ends, or is kept without a lease if "lease" is 0. */
typedef struct {
    const char *key;
    const void *value;
    size_t size; /* length of the value, bytes */
    uint64_t lease;
} AqStorePut;

/* Largest number of conditions, writes and deletions in one commit, taken
 * together. */
#define AQ_STORE_COMMIT_ENTRIES 32

/* A transaction: if all conditions hold, all writes and deletions take effect,
 * otherwise none does.  The "commit" operation copies the arrays, keys and
 * values. */
typedef struct {
    const AqStoreExpect *expects;
    size_t expect_count;
    const AqStorePut *puts;
    size_t put_count;
    const char *const *deletes;
    size_t delete_count;
} AqStoreCommit;

typedef void (*AqStoreDone)(void *context, const AqStoreReply *reply);

typedef struct AqStore AqStore;

typedef struct {
    /* Reads the key "key". */
    void (*get)(AqStore *store, const char *key, AqStoreDone done,
                void *context);
    /* Reads all keys that start with "prefix", in order of key. */
    void (*list)(AqStore *store, const char *prefix, AqStoreDone done,
                 void *context);
    /* Writes the key if its last change has the store index "index", or, if
     * "index" is 0, if the key does not exist. */
    void (*put)(AqStore *store, const char *key, const void *value,
                size_t size, uint64_t index, AqStoreDone done, void *context);
    /* Deletes the key if its last change has the store index "index". */
    void (*remove)(AqStore *store, const char *key, uint64_t index,
                   AqStoreDone done, void *context);
    /* Deletes all keys that start with "prefix", in one request to the
     * service. */
    void (*remove_all)(AqStore *store, const char *prefix, AqStoreDone done,
                       void *context);
    /* Waits until the last change of the key has a store index above "index",
     * for at most wait_ms, then replies like "get". */
    void (*watch)(AqStore *store, const char *key, uint64_t index,
                  int64_t wait_ms, AqStoreDone done, void *context);
    void (*destroy)(AqStore *store);

    /* The following operations are NULL in a store that supports only
     * operations on single keys and prefixes. */

    /* Reads one page of the keys that start with "prefix" and come after the
     * key "after" ("" for the first page).  "stale" allows a reply from a copy
     * of the data that may be seconds old; the service counts such a read as a
     * tenth of a read of the current data. */
    void (*list_after)(AqStore *store, const char *prefix, const char *after,
                       bool stale, AqStoreDone done, void *context);
    /* Waits until a key that starts with "prefix" changes after the store
     * index "index", for at most wait_ms, then replies with the changes. */
    void (*changes)(AqStore *store, const char *prefix, uint64_t index,
                    int64_t wait_ms, AqStoreDone done, void *context);
    void (*commit)(AqStore *store, const AqStoreCommit *commit,
                   AqStoreDone done, void *context);
    /* Creates a lease of ttl_ms.  The term of a lease runs from the arrival of
     * its last lease_grant or lease_keep request at the service.  When a lease
     * ends, the service deletes the keys that were written with that lease. */
    void (*lease_grant)(AqStore *store, int64_t ttl_ms, AqStoreDone done,
                        void *context);
    void (*lease_keep)(AqStore *store, uint64_t lease, AqStoreDone done,
                       void *context);
    void (*lease_end)(AqStore *store, uint64_t lease, AqStoreDone done,
                      void *context);
} AqStoreOps;

/* Base type of all stores; an implementation has an AqStore as its first
 * field. */
struct AqStore {
    const AqStoreOps *ops;
};

#endif
