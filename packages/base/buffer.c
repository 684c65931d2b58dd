#include "aq_buffer.h"

#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    INITIAL_CAPACITY_BYTES = 256
};

void
AqBuffer_Init(AqBuffer *buffer)
{
    buffer->bytes = NULL;
    buffer->size = 0;
    buffer->capacity = 0;
}

void
AqBuffer_Clear(AqBuffer *buffer)
{
    free(buffer->bytes);
    AqBuffer_Init(buffer);
}

/* Grows the buffer's memory as needed to append "more" bytes and the final
 * NUL. Aborts the process if memory is exhausted, as GLib does. */
static void
reserve(AqBuffer *buffer, size_t more)
{
    size_t need = buffer->size + more + 1;
    size_t capacity = buffer->capacity;
    if (need <= capacity) {
        return;
    }
    if (capacity == 0) {
        capacity = INITIAL_CAPACITY_BYTES;
    }
    while (capacity < need) {
        capacity *= 2;
    }
    char *bytes = realloc(buffer->bytes, capacity);
    if (bytes == NULL) {
        abort();
    }
    buffer->bytes = bytes;
    buffer->capacity = capacity;
}

void
AqBuffer_Append(AqBuffer *buffer, const void *bytes, size_t size)
{
    reserve(buffer, size);
    if (size > 0) {
        memcpy(buffer->bytes + buffer->size, bytes, size);
    }
    buffer->size += size;
    buffer->bytes[buffer->size] = '\0';
}

void
AqBuffer_AppendText(AqBuffer *buffer, const char *text)
{
    AqBuffer_Append(buffer, text, strlen(text));
}

void
AqBuffer_Printf(AqBuffer *buffer, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    int n = vsnprintf(NULL, 0, format, args);
    va_end(args);
    if (n < 0) {
        return;
    }
    reserve(buffer, (size_t)n);
    va_start(args, format);
    vsnprintf(buffer->bytes + buffer->size, (size_t)n + 1, format, args);
    va_end(args);
    buffer->size += (size_t)n;
}

void
AqBuffer_Consume(AqBuffer *buffer, size_t size)
{
    if (buffer->bytes == NULL) {
        return;
    }
    if (size > buffer->size) {
        size = buffer->size;
    }
    memmove(buffer->bytes, buffer->bytes + size, buffer->size - size);
    buffer->size -= size;
    buffer->bytes[buffer->size] = '\0';
}

const char *
AqBuffer_Text(const AqBuffer *buffer)
{
    return buffer->bytes != NULL ? buffer->bytes : "";
}

char *
AqBuffer_Detach(AqBuffer *buffer, size_t *size)
{
    reserve(buffer, 0);
    buffer->bytes[buffer->size] = '\0';
    char *bytes = buffer->bytes;
    if (size != NULL) {
        *size = buffer->size;
    }
    AqBuffer_Init(buffer);
    return bytes;
}
