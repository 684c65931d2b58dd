#include <stdlib.h>

#include "endpoint.h"

void
RunRecord_Init(RunRecord *record)
{
    record->counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    record->total = 0;
}

void
RunRecord_Clear(RunRecord *record)
{
    g_hash_table_destroy(record->counts);
}

void
RunRecord_Add(RunRecord *record, const char *id)
{
    gpointer found = g_hash_table_lookup(record->counts, id);
    g_hash_table_insert(record->counts, g_strdup(id),
                        GINT_TO_POINTER(GPOINTER_TO_INT(found) + 1));
    record->total++;
}

json_t *
RunRecord_Describe(const RunRecord *record, bool all)
{
    json_t *more_than_once = json_object();
    json_t *counts = json_object();
    GHashTableIter at;
    gpointer id;
    gpointer runs;
    g_hash_table_iter_init(&at, record->counts);
    while (g_hash_table_iter_next(&at, &id, &runs)) {
        int n = GPOINTER_TO_INT(runs);
        if (n > 1) {
            json_object_set_new(more_than_once, id, json_integer(n));
        }
        if (all) {
            json_object_set_new(counts, id, json_integer(n));
        }
    }
    json_t *result =
        json_pack("{s:I s:I s:o}", "total", (json_int_t)record->total, "ids",
                  (json_int_t)g_hash_table_size(record->counts),
                  "more_than_once", more_than_once);
    if (all) {
        json_object_set(result, "counts", counts);
    }
    json_decref(counts);
    return result;
}
