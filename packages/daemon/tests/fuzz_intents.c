#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_fleet.h"
#include "aq_jobs.h"
#include "aq_json.h"
#include "corpus.h"

/* Fuzz test of operators' intents: fuzz_intents CORPUS SEED RUNS evaluates
 * mutated intents.  Guards against an intent that crashes the daemon, changes
 * the fleet document although the intent is refused, or makes the document
 * inconsistent. */

static void
fail(const char *what, const CorpusInput *input, const AqError *error)
{
    fprintf(stderr, "fuzz_intents: %s: %s\n%s\n", what,
            error != NULL ? error->message : "", input->bytes);
    exit(1);
}

static bool
apply(AqFleet *fleet, const json_t *intent, const CorpusInput *input, int run)
{
    char op[32];
    AqError error;
    json_t *set = json_array();
    AqError_Clear(&error);
    bool ok = AqFleet_Evaluate(fleet, intent, 1000 + run, set, &error);
    if (!ok && (error.kind == AQ_OK || error.message[0] == '\0')) {
        fail("refused without a message", input, &error);
    }
    if (ok && json_array_size(set) > 0) {
        snprintf(op, sizeof(op), "fuzz-%d", run);
        if (!AqFleet_Apply(fleet, op, set, &error) ||
            !AqFleet_CheckConsistency(fleet, &error)) {
            fail("an accepted intent makes the document inconsistent", input,
                 &error);
        }
    }
    json_decref(set);
    return ok;
}

int
main(int argc, char **argv)
{
    static Corpus corpus;
    static CorpusInput input;
    int parsed = 0;
    int accepted = 0;
    if (argc != 4) {
        fprintf(stderr, "usage: fuzz_intents CORPUS SEED RUNS\n");
        return 2;
    }
    corpus_load(&corpus, argv[1], strtoull(argv[2], NULL, 10));
    int runs = atoi(argv[3]);
    AqFleet *fleet = AqFleet_Create();
    AqJobs *jobs = AqJobs_Create();
    for (int i = 0; i < runs; i++) {
        AqError error;
        corpus_next(&corpus, &input);
        json_t *intent = AqJson_Parse(input.bytes, input.size, &error);
        if (intent == NULL) {
            continue;
        }
        parsed++;
        accepted += apply(fleet, intent, &input, i);
        AqJobs_Evaluate(jobs, fleet, intent, i, &error);
        if (!AqJobs_CheckConsistency(jobs, &error)) {
            fail("the job documents are inconsistent", &input, &error);
        }
        json_decref(intent);
    }
    printf("%d runs, %d parsed, %d accepted\n", runs, parsed, accepted);
    AqJobs_Destroy(jobs);
    AqFleet_Destroy(fleet);
    return parsed < 100 || accepted < 10;
}
