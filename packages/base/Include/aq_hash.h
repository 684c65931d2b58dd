#ifndef AQ_HASH_H
#define AQ_HASH_H

#include <stddef.h>
#include <stdint.h>

/* AqHash_Bytes and AqHash_String return the 64-bit XXH3 hash (xxHash) of
 * "size" bytes or of a C string.  AqHash_Bytes128 writes the 128-bit hash to
 * "out" in big-endian order. */
uint64_t AqHash_Bytes(const void *bytes, size_t size);
uint64_t AqHash_String(const char *text);
void AqHash_Bytes128(const void *bytes, size_t size, uint8_t out[16]);

/* Returns the weight of a candidate for a key in rendezvous hashing.  A key is
 * assigned to the candidate with the highest weight, so that the removal of a
 * candidate reassigns only the keys of that candidate. */
uint64_t AqHash_Rendezvous(uint64_t key, uint64_t candidate);

#endif
