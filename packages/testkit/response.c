#include "aq_test_response.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "aq_hash.h"

/* Size in bytes of the last line of a response: "sum=", 16 hexadecimal digits
 * and a newline. */
#define SUM_SIZE 21

static void
format_sum(char out[SUM_SIZE + 1], const char *bytes, size_t size)
{
    snprintf(out, SUM_SIZE + 1, "sum=%016" PRIx64 "\n",
             AqHash_Bytes(bytes, size));
}

/* Appends the part of a response that identifies its request: the request id
 * and the hash of the request body of "size" bytes. */
static void
append_head(AqBuffer *out, const char *id, const void *body, size_t size)
{
    AqBuffer_Printf(out, "id=%s\nbody=%016" PRIx64 "\n", id,
                    AqHash_Bytes(size > 0 ? body : "", size));
}

void
AqTestResponse_Build(AqBuffer *out, const char *id, const void *body,
                     size_t size, size_t bytes)
{
    char sum[SUM_SIZE + 1];
    size_t start = out->size;
    append_head(out, id, body, size);
    AqBuffer_AppendText(out, "pad=");
    while (out->size - start + SUM_SIZE + 1 < bytes) {
        AqBuffer_AppendText(out, "x");
    }
    AqBuffer_AppendText(out, "\n");
    format_sum(sum, out->bytes + start, out->size - start);
    AqBuffer_AppendText(out, sum);
}

AqTestResponseCheck
AqTestResponse_Check(const char *response, size_t response_size,
                     const char *id, const void *body, size_t size)
{
    char sum[SUM_SIZE + 1];
    AqBuffer head;
    if (response_size <= SUM_SIZE) {
        return AQ_RESPONSE_DAMAGED;
    }
    size_t summed = response_size - SUM_SIZE;
    format_sum(sum, response, summed);
    if (memcmp(sum, response + summed, SUM_SIZE) != 0) {
        return AQ_RESPONSE_DAMAGED;
    }
    AqBuffer_Init(&head);
    append_head(&head, id, body, size);
    bool own =
        head.size <= summed && memcmp(head.bytes, response, head.size) == 0;
    AqBuffer_Clear(&head);
    return own ? AQ_RESPONSE_OWN : AQ_RESPONSE_FOREIGN;
}
