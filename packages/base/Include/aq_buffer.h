#ifndef AQ_BUFFER_H
#define AQ_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

/* Byte buffer that grows as needed.  The content is always followed by a NUL
 * that "size" does not include, so that text can be used as a C string. */
typedef struct {
    char *bytes;     /* content, owned by the buffer; NULL until first write */
    size_t size;     /* bytes of content, without the final NUL */
    size_t capacity; /* bytes allocated at "bytes" */
} AqBuffer;

void AqBuffer_Init(AqBuffer *buffer);
/* Frees the buffer's content and initialises the buffer again. */
void AqBuffer_Clear(AqBuffer *buffer);
void AqBuffer_Append(AqBuffer *buffer, const void *bytes, size_t size);
void AqBuffer_AppendText(AqBuffer *buffer, const char *text);
void AqBuffer_Printf(AqBuffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Removes the first "size" bytes of the content, or all of the content if it
 * is shorter. */
void AqBuffer_Consume(AqBuffer *buffer, size_t size);
/* Returns the content as a C string, "" if it is empty.  The buffer owns the
 * result, which is valid until the buffer is changed. */
const char *AqBuffer_Text(const AqBuffer *buffer);
/* Returns the content, followed by a NUL, and initialises the buffer again.
 * The caller owns the result and releases it with free().  Unless "size" is
 * NULL, *size is set to the number of bytes without the NUL. */
char *AqBuffer_Detach(AqBuffer *buffer, size_t *size);

#endif
