#include "store_keys.h"

#include <stdio.h>
#include <string.h>

enum {
    BUFFER_COUNT = 8,
    KEY_SIZE = 256 /* bytes; the store accepts keys of up to 200 bytes */
};

static char buffers[BUFFER_COUNT][KEY_SIZE];
static unsigned next_buffer;

static char *
take_buffer(void)
{
    return buffers[next_buffer++ % BUFFER_COUNT];
}

const char *
key_of(KeyKind kind, const char *name)
{
    static const char *const formats[] = {
        [KEY_MEMBER] = "aq/node/member/%s",
        [KEY_OWNER] = "aq/node/owner/%s",
        [KEY_WRITE_STAMP] = "aq/lane/%s",
        [KEY_TERM] = "aq/term/%s",
        [KEY_USED_VMS] = "aq/roster/%s",
        [KEY_REPORT] = "aq/report/%s",
        [KEY_MACHINE] = "aq/machine/%s",
        [KEY_MACHINE_REQUESTS] = "aq/ask/%s",
        [KEY_MACHINE_RESPONSES] = "aq/answer/%s",
        [KEY_WAVE] = "aq/wave/%s",
        [KEY_CAPS] = "aq/caps/%s",
        [KEY_JOB_POOL] = "aq/pool-of/%s",
        [KEY_JOBS] = "aq/job/%s/",
        [KEY_PROGRESS] = "aq/progress/%s/",
    };
    char *buffer = take_buffer();
    snprintf(buffer, KEY_SIZE, formats[kind], name);
    return buffer;
}

const char *
key_of_job(const char *pool, const char *id)
{
    char *buffer = take_buffer();
    snprintf(buffer, KEY_SIZE, "aq/job/%s/%s", pool, id);
    return buffer;
}

const char *
key_of_cancel(const char *pool, const char *id)
{
    char *buffer = take_buffer();
    snprintf(buffer, KEY_SIZE, "aq/job/%s/%s.c", pool, id);
    return buffer;
}

const char *
key_of_progress(const char *pool, const char *id)
{
    char *buffer = take_buffer();
    snprintf(buffer, KEY_SIZE, "aq/progress/%s/%s", pool, id);
    return buffer;
}

void
key_text(const AqStoreItem *item, char *out, size_t size)
{
    size_t length = item->size < size - 1 ? item->size : size - 1;
    memcpy(out, item->value, length);
    out[length] = '\0';
}
