#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_random.h"
#include "aq_site_config.h"

enum {
    MAX_QUEUES = 300,
    REQUESTS = 20000
};

/* Returns a text of up to three of the given parts, so that hosts and prefixes
 * repeat and extend one another. */
static char *
random_text(AqRandom *random, const char *const *parts, size_t count)
{
    GString *text = g_string_new(NULL);
    for (uint64_t i = AqRandom_Below(random, 4); i > 0; i--) {
        g_string_append(text, parts[AqRandom_Below(random, count)]);
    }
    return g_string_free(text, FALSE);
}

static const char *const host_parts[] = {"a", "B", "a.example", ":", ":80"};
static const char *const path_parts[] = {"/", "x", "/x/", "/xy", "/1234/"};

static void
make_config(AqSiteConfig *config, size_t count, AqRandom *random)
{
    memset(config, 0, sizeof(*config));
    config->queues = calloc(count + 1, sizeof(*config->queues));
    config->queue_count = count;
    for (size_t i = 0; i < count; i++) {
        AqQueueConfig *queue = &config->queues[i];
        char name[16];
        snprintf(name, sizeof(name), "q-%d", (int)AqRandom_Below(random, 400));
        queue->name = strdup(name);
        queue->host = random_text(random, host_parts, 5);
        queue->prefix = random_text(random, path_parts, 5);
        queue->pool = strdup("p");
    }
}

/* Guards against an index that finds another queue than the search one by one:
 * the longest prefix, with the host's case and port left out. */
static void
test_index_finds_the_same(void)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        AqRandom random;
        AqSiteConfig config;
        AqRandom_Seed(&random, seed);
        make_config(&config, MAX_QUEUES, &random);
        AqSiteConfig searched = config;
        AqSiteConfig_Index(&config);
        for (int i = 0; i < REQUESTS; i++) {
            char *host = random_text(&random, host_parts, 5);
            char *path = random_text(&random, path_parts, 5);
            char name[16];
            snprintf(name, sizeof(name), "q-%d",
                     (int)AqRandom_Below(&random, 400));
            CU_ASSERT_PTR_EQUAL(AqSiteConfig_Match(&config, host, path),
                                AqSiteConfig_Match(&searched, host, path));
            CU_ASSERT_PTR_EQUAL(AqSiteConfig_FindQueue(&config, name),
                                AqSiteConfig_FindQueue(&searched, name));
            free(host);
            free(path);
        }
        AqSiteConfig_Clear(&config);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("site_config", NULL, NULL);
    CU_ADD_TEST(suite, test_index_finds_the_same);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
