#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "aq_store.h"

/* An in-memory store for tests.  Each call is queued until the test replies to
 * it, refuses it, or loses its reply; a lost call can be executed later. */

typedef struct FakeStore FakeStore;

FakeStore *fake_store_create(void);
void fake_store_destroy(FakeStore *fake);
AqStore *fake_store_interface(FakeStore *fake);

/* Returns the number of queued calls, those that have not ended yet. */
size_t fake_store_pending_count(const FakeStore *fake);
/* Executes the oldest queued call and replies to it. */
void fake_store_reply(FakeStore *fake);
/* Executes the newest queued call that is no watch and replies to it; no
 * effect if there is none. */
void fake_store_reply_newest(FakeStore *fake);
/* Executes all queued calls and those that their replies cause, but for
 * watches without a change, which stay queued.  Stops after 100 calls, of
 * which each watch left queued counts as one; the others stay queued. */
void fake_store_reply_all(FakeStore *fake);
/* Like fake_store_reply_all, but stops before a commit that writes the key.
 * Returns whether such a commit is the oldest queued call. */
bool fake_store_reply_until_put(FakeStore *fake, const char *key);
/* Ends the oldest queued call without a reply: a commit with AQ_STORE_UNKNOWN,
 * other calls with AQ_STORE_UNAVAILABLE.  The call is not executed, unless
 * fake_store_execute_lost() does so later. */
void fake_store_lose_call(FakeStore *fake);
/* Executes the oldest call that fake_store_lose_call() ended and that was not
 * executed since, if the call's conditions still hold. */
void fake_store_execute_lost(FakeStore *fake);
/* Ends the oldest queued call with AQ_STORE_UNAVAILABLE; the call is never
 * executed. */
void fake_store_refuse_call(FakeStore *fake);
/* Ends the oldest queued call with "status"; the call is not executed, unless
 * fake_store_execute_lost() does so later. */
void fake_store_end_call(FakeStore *fake, AqStoreStatus status);
/* Executes the oldest queued call, a commit or a get, and holds its reply
 * until fake_store_release_reply(): replies on different connections may
 * overtake each other.  One reply is held at a time. */
void fake_store_hold_reply(FakeStore *fake);
void fake_store_release_reply(FakeStore *fake);
/* Drops the history of changes, so that the next watch ends with
 * AQ_STORE_COMPACTED. */
void fake_store_compact(FakeStore *fake);

/* Writes a key at once, as another process would; returns the store revision
 * of this write. */
uint64_t fake_store_put(FakeStore *fake, const char *key, const char *value);
/* The same for a value of any bytes. */
uint64_t fake_store_put_bytes(FakeStore *fake, const char *key,
                              const char *bytes, size_t size);
void fake_store_remove(FakeStore *fake, const char *key);
/* Ends the lease that was granted last, and removes the keys that were written
 * under this lease. */
void fake_store_end_lease(FakeStore *fake);
/* Returns the value of a key, which is text, or NULL if there is no such key;
 * valid until the key's next write. */
const char *fake_store_value(const FakeStore *fake, const char *key);
/* Returns the value of a key, which may be any bytes, and its size; NULL and 0
 * if there is no such key.  Valid until the key's next write. */
const char *fake_store_bytes(const FakeStore *fake, const char *key,
                             size_t *size);
/* Returns whether the oldest queued call is a commit that writes the key. */
bool fake_store_is_next_write(const FakeStore *fake, const char *key);
/* Returns whether the key exists and was last written under the lease that was
 * granted last. */
bool fake_store_has_last_lease(const FakeStore *fake, const char *key);
/* Returns the number of get calls that the store has received so far. */
unsigned fake_store_get_count(const FakeStore *fake);
/* Returns the wait that the last watch has requested, ms. */
int64_t fake_store_last_wait_ms(const FakeStore *fake);
/* Returns the longest wait that a watch has requested, ms. */
int64_t fake_store_max_wait_ms(const FakeStore *fake);

#endif
