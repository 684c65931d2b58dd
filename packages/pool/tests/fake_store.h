#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "aq_store.h"

/* A store in memory whose answers the test gives out one by one: a call waits
 * until it is answered, lost, or carried out late. */

typedef struct FakeStore FakeStore;

FakeStore *fake_store_create(void);
void fake_store_destroy(FakeStore *fake);
AqStore *fake_store_interface(FakeStore *fake);

/* Calls that have not been answered. */
size_t fake_store_waiting(const FakeStore *fake);
/* Carries the oldest waiting call out and answers it. */
void fake_store_answer(FakeStore *fake);
/* Answers all that wait, and what follows from it. */
void fake_store_answer_all(FakeStore *fake);
/* The oldest waiting call gets no answer; it is not carried out yet. */
void fake_store_lose(FakeStore *fake);
/* Carries the oldest lost call out, if its conditions still hold. */
void fake_store_carry_out_late(FakeStore *fake);
/* The oldest waiting call is refused; nothing is done. */
void fake_store_refuse(FakeStore *fake);
/* The next watch is told that the history is gone. */
void fake_store_forget(FakeStore *fake);

/* Writes as another process would. */
uint64_t fake_store_put(FakeStore *fake, const char *key, const char *value);
void fake_store_remove(FakeStore *fake, const char *key);
/* Ends the lease that was granted last; its keys go with it. */
void fake_store_end_lease(FakeStore *fake);
/* The value of a key, or NULL. */
const char *fake_store_value(const FakeStore *fake, const char *key);
const char *fake_store_bytes(const FakeStore *fake, const char *key,
                             size_t *size);
/* Looks at single keys that were asked for so far. */
unsigned fake_store_reads(const FakeStore *fake);
/* The longest wait that a watch has asked for, ms. */
int64_t fake_store_longest_wait(const FakeStore *fake);

#endif
