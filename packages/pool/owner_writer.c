#include "owner_writer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "store_keys.h"

enum {
    /* Delay from a write without a reply, or from a failed read, to the next
     * read of the write stamp: a key that every write of the owner requires to
     * be unchanged and replaces. */
    STAMP_READ_RETRY_MS = 150,
    /* Size of the value of a write stamp, with its NUL: an incarnation and two
     * numbers. */
    STAMP_SIZE = 100
};

typedef struct {
    /* Copies of the keys and values to which "expects" and "puts" point;
     * owned. */
    GPtrArray *allocations;
    AqStoreExpect expects[AQ_STORE_COMMIT_ENTRIES];
    size_t expect_count;
    AqStorePut puts[AQ_STORE_COMMIT_ENTRIES];
    size_t put_count;
    /* Number in the write stamp that the first copy of this write sets; later
     * copies set higher ones.  0: the write was not sent yet.  The write
     * stamp, the key that every write of the owner replaces, is read back
     * after a lost reply to see whether a copy took effect. */
    uint64_t first_stamp_number;
    OwnerWriteDone done;
    void *context;
} Write;

struct OwnerWriter {
    NodeContext *node;
    char pool[64];
    uint64_t fence;
    GQueue *writes; /* of Write: writes that have not ended, oldest first */
    /* Store revision, as last read or written, of the write stamp, the key
     * that every write of the owner requires to be unchanged and replaces; 0:
     * there is no such key. */
    uint64_t write_stamp_index;
    bool is_write_stamp_known;
    uint64_t last_stamp_number;
    bool is_write_in_progress;
    bool is_dropped;
    /* A write's "done" callback, which may drop the writer, is being
     * called: start_next returns without effect, so the writer isn't freed
     * meanwhile. */
    bool is_in_callback;
    AqTimer retry_timer;
};

static void start_next(OwnerWriter *writer);

static void
free_write(Write *write)
{
    g_ptr_array_free(write->allocations, TRUE);
    free(write);
}

static void
free_writer(OwnerWriter *writer)
{
    AqTimer_Stop(&writer->retry_timer);
    g_queue_free(writer->writes);
    free(writer);
}

/* Removes the first write of the queue, calls its "done" callback, and starts
 * the next write.  May free the writer. */
static void
finish_first(OwnerWriter *writer, AqStoreStatus status)
{
    Write *write = g_queue_pop_head(writer->writes);
    OwnerWriteDone done = write->done;
    void *context = write->context;
    free_write(write);
    writer->is_write_in_progress = false;
    writer->is_in_callback = true;
    done(context, status);
    writer->is_in_callback = false;
    start_next(writer);
}

static void
schedule_stamp_read(OwnerWriter *writer)
{
    AqTimer_Start(writer->node->loop, &writer->retry_timer,
                  AqLoop_Now(writer->node->loop) + STAMP_READ_RETRY_MS);
}

/* ---- Outcomes ----------------------------------------------------------- */

static const AqStoreItem *
find_item(const AqStoreReply *reply, const char *key)
{
    for (size_t i = 0; i < reply->count; i++) {
        if (strcmp(reply->items[i].key, key) == 0) {
            return &reply->items[i];
        }
    }
    return NULL;
}

/* Writes what the stamps of all writes of this ownership begin with.  The
 * fence tells them from those of an earlier ownership of the same process. */
static int
print_stamp_prefix(const OwnerWriter *writer, char *out, size_t size)
{
    return snprintf(out, size, "%s %" PRIu64 " ", writer->node->incarnation,
                    writer->fence);
}

/* Whether a copy of the write has set the write stamp, and so took effect. */
static bool
is_stamped(const OwnerWriter *writer, const AqStoreItem *write_stamp,
           const Write *write)
{
    char text[STAMP_SIZE];
    char prefix[STAMP_SIZE];
    if (write_stamp == NULL || write_stamp->value == NULL ||
        write->first_stamp_number == 0) {
        return false;
    }
    key_text(write_stamp, text, sizeof(text));
    print_stamp_prefix(writer, prefix, sizeof(prefix));
    return g_str_has_prefix(text, prefix) &&
           strtoull(text + strlen(prefix), NULL, 10) >=
               write->first_stamp_number;
}

static void
on_conflict(OwnerWriter *writer, const AqStoreReply *reply)
{
    const Write *write = g_queue_peek_head(writer->writes);
    const AqStoreItem *write_stamp =
        find_item(reply, key_of(KEY_WRITE_STAMP, writer->pool));
    const AqStoreItem *owner =
        find_item(reply, key_of(KEY_OWNER, writer->pool));
    uint64_t write_stamp_index = write_stamp != NULL ? write_stamp->index : 0;
    if (is_stamped(writer, write_stamp, write)) {
        /* An earlier copy of the write, which had no reply, took effect after
         * the write stamp was read, and this copy conflicts with it. */
        writer->write_stamp_index = write_stamp_index;
        finish_first(writer, AQ_STORE_OK);
    }
    else if (owner == NULL || owner->index != writer->fence) {
        finish_first(writer, AQ_STORE_ABSENT);
    }
    else if (write_stamp_index != writer->write_stamp_index) {
        /* An earlier write that had been given up took effect meanwhile and
         * changed the write stamp, the key that every write requires to be
         * unchanged.  The first write of the queue is sent again, with the
         * changed stamp as its condition. */
        writer->write_stamp_index = write_stamp_index;
        writer->is_write_in_progress = false;
        start_next(writer);
    }
    else {
        finish_first(writer, AQ_STORE_CONFLICT);
    }
}

static void
on_committed(void *context, const AqStoreReply *reply)
{
    OwnerWriter *writer = context;
    switch (reply->status) {
    case AQ_STORE_OK:
        writer->write_stamp_index = reply->index;
        finish_first(writer, AQ_STORE_OK);
        break;
    case AQ_STORE_CONFLICT:
        on_conflict(writer, reply);
        break;
    case AQ_STORE_UNKNOWN:
        AqLog_Event(AQ_LOG_INFO, "write_unanswered", "pool=%s fence=%" PRIu64,
                    writer->pool, writer->fence);
        writer->is_write_stamp_known = false;
        schedule_stamp_read(writer);
        break;
    default:
        finish_first(writer, AQ_STORE_UNAVAILABLE);
        break;
    }
}

static void
on_write_stamp(void *context, const AqStoreReply *reply)
{
    OwnerWriter *writer = context;
    const Write *write = g_queue_peek_head(writer->writes);
    bool is_present = reply->status == AQ_STORE_OK && reply->count == 1;
    if (!is_present && reply->status != AQ_STORE_ABSENT) {
        if (writer->is_dropped) {
            finish_first(writer, AQ_STORE_UNAVAILABLE);
        }
        else {
            schedule_stamp_read(writer);
        }
        return;
    }
    writer->write_stamp_index = is_present ? reply->items[0].index : 0;
    writer->is_write_stamp_known = true;
    if (is_present && is_stamped(writer, &reply->items[0], write)) {
        finish_first(writer, AQ_STORE_OK);
        return;
    }
    /* The first write of the queue has not taken effect, so it is sent again
     * with a new value for the write stamp, the key that every write requires
     * to be unchanged.  Once this key has changed, a copy sent before can't
     * take effect any more. */
    writer->is_write_in_progress = false;
    start_next(writer);
}

/* ---- Sending ------------------------------------------------------------ */

static void
read_write_stamp(OwnerWriter *writer)
{
    AqStore *store = writer->node->store;
    store->ops->get(store, key_of(KEY_WRITE_STAMP, writer->pool),
                    on_write_stamp, writer);
}

static void
on_retry(void *context)
{
    read_write_stamp(context);
}

static void
send_write(OwnerWriter *writer, Write *write)
{
    AqStore *store = writer->node->store;
    AqStoreExpect expects[AQ_STORE_COMMIT_ENTRIES];
    AqStorePut puts[AQ_STORE_COMMIT_ENTRIES];
    const char *write_stamp = key_of(KEY_WRITE_STAMP, writer->pool);
    size_t expect_count = 0;
    size_t put_count = 0;
    char stamp[STAMP_SIZE];
    int length = print_stamp_prefix(writer, stamp, sizeof(stamp));
    snprintf(stamp + length, sizeof(stamp) - (size_t)length, "%" PRIu64,
             ++writer->last_stamp_number);
    if (write->first_stamp_number == 0) {
        write->first_stamp_number = writer->last_stamp_number;
    }
    expects[expect_count++] =
        (AqStoreExpect){key_of(KEY_OWNER, writer->pool), writer->fence};
    expects[expect_count++] =
        (AqStoreExpect){write_stamp, writer->write_stamp_index};
    puts[put_count++] = (AqStorePut){write_stamp, stamp, strlen(stamp), 0};
    for (size_t i = 0; i < write->expect_count; i++) {
        expects[expect_count++] = write->expects[i];
    }
    for (size_t i = 0; i < write->put_count; i++) {
        puts[put_count++] = write->puts[i];
    }
    AqStoreCommit commit = {.expects = expects,
                            .expect_count = expect_count,
                            .puts = puts,
                            .put_count = put_count};
    store->ops->commit(store, &commit, on_committed, writer);
}

static void
start_next(OwnerWriter *writer)
{
    Write *write = g_queue_peek_head(writer->writes);
    if (writer->is_write_in_progress || writer->is_in_callback) {
        return;
    }
    if (write == NULL) {
        if (writer->is_dropped) {
            free_writer(writer);
        }
        return;
    }
    writer->is_write_in_progress = true;
    if (writer->is_dropped) {
        finish_first(writer, AQ_STORE_UNAVAILABLE);
    }
    else if (!writer->is_write_stamp_known) {
        read_write_stamp(writer);
    }
    else {
        send_write(writer, write);
    }
}

/* ---- Interface ---------------------------------------------------------- */

static char *
copy_bytes(Write *write, const void *bytes, size_t size)
{
    char *copy = malloc(size + 1);
    memcpy(copy, bytes, size);
    copy[size] = '\0';
    g_ptr_array_add(write->allocations, copy);
    return copy;
}

void
owner_writer_commit(OwnerWriter *writer, const AqStoreExpect *expects,
                    size_t expect_count, const AqStorePut *puts,
                    size_t put_count, OwnerWriteDone done, void *context)
{
    Write *write = calloc(1, sizeof(*write));
    write->allocations = g_ptr_array_new_with_free_func(free);
    write->done = done;
    write->context = context;
    for (size_t i = 0; i < expect_count; i++) {
        AqStoreExpect *expect = &write->expects[write->expect_count++];
        expect->key =
            copy_bytes(write, expects[i].key, strlen(expects[i].key));
        expect->index = expects[i].index;
    }
    for (size_t i = 0; i < put_count; i++) {
        AqStorePut *put = &write->puts[write->put_count++];
        put->key = copy_bytes(write, puts[i].key, strlen(puts[i].key));
        put->value = copy_bytes(write, puts[i].value, puts[i].size);
        put->size = puts[i].size;
        put->lease = puts[i].lease;
    }
    g_queue_push_tail(writer->writes, write);
    start_next(writer);
}

OwnerWriter *
owner_writer_create(NodeContext *node, const char *pool, uint64_t fence)
{
    OwnerWriter *writer = calloc(1, sizeof(*writer));
    writer->node = node;
    writer->fence = fence;
    g_strlcpy(writer->pool, pool, sizeof(writer->pool));
    writer->writes = g_queue_new();
    AqTimer_Init(&writer->retry_timer, on_retry, writer);
    return writer;
}

void
owner_writer_drop(OwnerWriter *writer)
{
    writer->is_dropped = true;
    start_next(writer);
}
