#ifndef AQ_STORE_H
#define AQ_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Asynchronous access to the platform's key-value service.  Every call ends
 * with exactly one call of its "done" function, from the event loop and never
 * from inside the call itself. */

typedef enum {
    AQ_STORE_OK,          /* read: the key exists; write: it took effect */
    AQ_STORE_ABSENT,      /* read: there is no such key */
    AQ_STORE_CONFLICT,    /* write: the index did not match; no effect */
    AQ_STORE_UNAVAILABLE, /* the service was not reached; no effect */
    AQ_STORE_UNKNOWN,     /* no reply: a write may or may not have effect */
    AQ_STORE_COMPACTED    /* watch: the history after "index" is gone */
} AqStoreStatus;

typedef struct {
    const char *key;   /* borrowed for the time of the call */
    const char *value; /* borrowed; "size" bytes, not NUL-terminated */
    size_t size;       /* bytes */
    uint64_t index;    /* the key's modify index */
    bool removed;      /* changes only: the key was removed at "index" */
} AqStoreItem;

typedef struct {
    AqStoreStatus status;
    /* Reads: the items; changes: in order of index; commits that conflict:
     * the expected keys that exist.  Borrowed for the call. */
    const AqStoreItem *items;
    size_t count;
    /* Reads and changes: index to watch from; commits: index of the change. */
    uint64_t index;
    uint64_t lease;   /* lease_grant only */
    int64_t ttl_ms;   /* lease_grant and lease_keep: the term that applies */
    bool is_complete; /* list_after: there are no more pages */
} AqStoreReply;

/* A condition of a commit: the key's index is still "index"; 0: absent. */
typedef struct {
    const char *key;
    uint64_t index;
} AqStoreExpect;

/* A write of a commit; "lease" 0: the key lasts. */
typedef struct {
    const char *key;
    const void *value;
    size_t size; /* bytes */
    uint64_t lease;
} AqStorePut;

/* Most conditions, writes and deletions of one commit together. */
#define AQ_STORE_COMMIT_ENTRIES 32

/* All or nothing.  Everything is copied by the call. */
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
    /* Reads one key. */
    void (*get)(AqStore *store, const char *key, AqStoreDone done,
                void *context);
    /* Reads all keys under a prefix, in order of key. */
    void (*list)(AqStore *store, const char *prefix, AqStoreDone done,
                 void *context);
    /* Writes when the key's index is still "index"; 0: when it is absent. */
    void (*put)(AqStore *store, const char *key, const void *value,
                size_t size, uint64_t index, AqStoreDone done, void *context);
    /* Deletes one key when its index is still "index". */
    void (*remove)(AqStore *store, const char *key, uint64_t index,
                   AqStoreDone done, void *context);
    /* Deletes all keys that start with "prefix", in one call. */
    void (*remove_all)(AqStore *store, const char *prefix, AqStoreDone done,
                       void *context);
    /* Waits until the key's index is above "index" or wait_ms are over, then
     * replies like get. */
    void (*watch)(AqStore *store, const char *key, uint64_t index,
                  int64_t wait_ms, AqStoreDone done, void *context);
    void (*destroy)(AqStore *store);

    /* The following are NULL in a store that has only single keys. */

    /* Reads one page of the keys under a prefix that come after the key
     * "after" ("": from the first).  "stale" accepts a copy that may be
     * seconds old and costs a tenth. */
    void (*list_after)(AqStore *store, const char *prefix, const char *after,
                       bool stale, AqStoreDone done, void *context);
    /* Waits until a key under the prefix changes after "index" or wait_ms
     * are over; replies with the changes. */
    void (*changes)(AqStore *store, const char *prefix, uint64_t index,
                    int64_t wait_ms, AqStoreDone done, void *context);
    void (*commit)(AqStore *store, const AqStoreCommit *commit,
                   AqStoreDone done, void *context);
    /* A lease runs from the arrival of the call; its keys go with it. */
    void (*lease_grant)(AqStore *store, int64_t ttl_ms, AqStoreDone done,
                        void *context);
    void (*lease_keep)(AqStore *store, uint64_t lease, AqStoreDone done,
                       void *context);
    void (*lease_end)(AqStore *store, uint64_t lease, AqStoreDone done,
                      void *context);
} AqStoreOps;

/* An implementation embeds this as its first field. */
struct AqStore {
    const AqStoreOps *ops;
};

#endif
