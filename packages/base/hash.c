#include "aq_hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t
AqHash_Bytes(const void *bytes, size_t size)
{
    return XXH3_64bits(bytes, size);
}

uint64_t
AqHash_String(const char *text)
{
    return XXH3_64bits(text, strlen(text));
}

void
AqHash_Bytes128(const void *bytes, size_t size, uint8_t out[16])
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(bytes, size));
    memcpy(out, canonical.digest, sizeof(canonical.digest));
}

uint64_t
AqHash_Rendezvous(uint64_t key, uint64_t candidate)
{
    uint64_t pair[2] = {key, candidate};
    return XXH3_64bits(pair, sizeof(pair));
}
