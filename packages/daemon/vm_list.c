#include "vm_list.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "planner_runner.h"

enum {
    LIST_WAIT_S = 30,
    LIST_TIMEOUT_MARGIN_MS = 2000,
    RETRY_MS = 1000,
    MAX_LIST_BYTES = 8 * 1024 * 1024
};

struct VmList {
    Daemon *daemon;
    GHashTable *states; /* VM id -> state; the table owns both strings */
    int64_t index;      /* platform's change counter at the latest VM list */
    bool is_known;      /* at least one VM list has arrived */
    /* Long poll for the platform's VM list: an HTTP call to which the platform
     * replies after a change of the list, at the latest after LIST_WAIT_S.
     * NULL if no call is in progress. */
    AqHttpCall *call;
    AqTimer retry;
};

static bool
read_list(VmList *list, const json_t *root)
{
    const json_t *vms = json_object_get(root, "vms");
    int64_t index;
    if (!json_is_array(vms) ||
        !AqJson_GetInt(root, "index", 0, INT64_MAX, &index, NULL)) {
        return false;
    }
    GHashTable *states =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    size_t i;
    json_t *vm;
    json_array_foreach((json_t *)vms, i, vm)
    {
        const char *id;
        const char *state;
        if (AqJson_GetString(vm, "id", &id, NULL) &&
            AqJson_GetString(vm, "state", &state, NULL)) {
            g_hash_table_insert(states, g_strdup(id), g_strdup(state));
        }
    }
    g_hash_table_destroy(list->states);
    list->states = states;
    list->index = index;
    list->is_known = true;
    return true;
}

static void
on_list(void *context, const AqHttpReply *reply)
{
    VmList *list = context;
    AqTime now = AqLoop_Now(list->daemon->loop);
    json_t *root = NULL;
    bool ok = false;
    list->call = NULL;
    if (reply->result == AQ_HTTP_DONE && reply->status == 200) {
        root = AqJson_Parse(reply->body, reply->size, NULL);
        int64_t before = list->index;
        ok = root != NULL && read_list(list, root);
        if (ok && list->index != before) {
            PlannerRunner_ListChanged(list->daemon->planner);
        }
    }
    json_decref(root);
    AqTimer_Start(list->daemon->loop, &list->retry, ok ? now : now + RETRY_MS);
}

static void
request_list(void *context)
{
    VmList *list = context;
    char url[512];
    snprintf(url, sizeof(url), "%s/v1/vms?index=%lld&wait=%ds",
             list->daemon->settings->store_url, (long long)list->index,
             LIST_WAIT_S);
    AqHttpRequest request = {
        .method = "GET",
        .url = url,
        .may_repeat = true,
        .timeout_ms = LIST_WAIT_S * 1000 + LIST_TIMEOUT_MARGIN_MS,
        .connect_timeout_ms = list->daemon->settings->store_timeout_ms,
        .max_response_bytes = MAX_LIST_BYTES,
    };
    list->call =
        AqHttpClient_Start(list->daemon->http, &request, on_list, list);
}

VmList *
VmList_Create(Daemon *daemon)
{
    VmList *list = calloc(1, sizeof(*list));
    list->daemon = daemon;
    list->states =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    AqTimer_Init(&list->retry, request_list, list);
    AqTimer_Start(daemon->loop, &list->retry, AqLoop_Now(daemon->loop));
    return list;
}

void
VmList_Destroy(VmList *list)
{
    if (list == NULL) {
        return;
    }
    AqTimer_Stop(&list->retry);
    if (list->call != NULL) {
        AqHttpClient_Cancel(list->call);
    }
    g_hash_table_destroy(list->states);
    free(list);
}

const char *
VmList_State(const VmList *list, const char *id)
{
    return list != NULL ? g_hash_table_lookup(list->states, id) : NULL;
}

bool
VmList_IsKnown(const VmList *list)
{
    return list->is_known;
}
