#ifndef AQ_STORE_HTTP_H
#define AQ_STORE_HTTP_H

#include "aq_http_client.h"
#include "aq_store.h"

/* Returns a new store that accesses the platform's key-value service over its
 * published format (Consul KV HTTP).  "url" is like http://127.0.0.1:8500.
 * "client" stays owned by the caller, who destroys the client before the
 * store.  A call without a reply within timeout_ms ends with AQ_STORE_UNKNOWN
 * (writes) or AQ_STORE_UNAVAILABLE (reads).  The caller frees the store with
 * its "destroy" operation. */
AqStore *AqStoreHttp_Create(AqHttpClient *client, const char *url,
                            AqTime timeout_ms);

/* Number of calls that a store has made to the key-value service since the
 * store was created, by the kinds that the platform counts. */
typedef struct {
    uint64_t reads;
    uint64_t writes;
    uint64_t watches;
} AqStoreCalls;

void AqStoreHttp_GetCalls(const AqStore *store, AqStoreCalls *calls);

#endif
