#include "corpus.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    MAX_MUTATIONS = 6
};

static int
compare_names(const struct dirent **a, const struct dirent **b)
{
    return strcmp((*a)->d_name, (*b)->d_name);
}

static void
load_file(Corpus *corpus, const char *directory, const char *name)
{
    char path[512];
    snprintf(path, sizeof(path), "%s/%s", directory, name);
    FILE *file = fopen(path, "rb");
    if (file == NULL || corpus->count == CORPUS_MAX_FILES) {
        fprintf(stderr, "corpus: %s cannot be read\n", path);
        exit(2);
    }
    CorpusInput *input = &corpus->files[corpus->count++];
    input->size = fread(input->bytes, 1, CORPUS_MAX_BYTES, file);
    fclose(file);
}

void
corpus_load(Corpus *corpus, const char *directory, uint64_t seed)
{
    struct dirent **entries;
    /* The files are sorted by name, so that a random seed always gives the
     * same inputs. */
    int n = scandir(directory, &entries, NULL, compare_names);
    memset(corpus, 0, sizeof(*corpus));
    AqRandom_Seed(&corpus->random, seed);
    for (int i = 0; i < n; i++) {
        if (entries[i]->d_name[0] != '.') {
            load_file(corpus, directory, entries[i]->d_name);
        }
        free(entries[i]);
    }
    free(entries);
    if (corpus->count == 0) {
        fprintf(stderr, "corpus: no files in %s\n", directory);
        exit(2);
    }
}

static size_t
random_below(Corpus *corpus, size_t bound)
{
    return (size_t)AqRandom_Below(&corpus->random, bound);
}

/* Overwrites a random place of the input with a piece of a random corpus file;
 * the input grows when the piece reaches beyond the input's end. */
static void
splice(Corpus *corpus, CorpusInput *input)
{
    const CorpusInput *other =
        &corpus->files[random_below(corpus, corpus->count)];
    size_t from = random_below(corpus, other->size);
    size_t to = random_below(corpus, input->size + 1);
    size_t size = random_below(corpus, other->size - from) + 1;
    if (to + size > CORPUS_MAX_BYTES) {
        size = CORPUS_MAX_BYTES - to;
    }
    memcpy(input->bytes + to, other->bytes + from, size);
    if (to + size > input->size) {
        input->size = to + size;
    }
}

static void
repeat_byte(Corpus *corpus, CorpusInput *input)
{
    size_t at = random_below(corpus, input->size);
    size_t room = CORPUS_MAX_BYTES - input->size;
    size_t count = random_below(corpus, room < 2000 ? room : 2000);
    memmove(input->bytes + at + count, input->bytes + at, input->size - at);
    memset(input->bytes + at, input->bytes[at + count], count);
    input->size += count;
}

static void
mutate(Corpus *corpus, CorpusInput *input)
{
    static const char special[] = "\0\r\n\"\\{}[]:,%/ \xff\x7f-0";
    size_t at = random_below(corpus, input->size);
    switch (random_below(corpus, 6)) {
    case 0:
        input->bytes[at] ^= (char)(1 << random_below(corpus, 8));
        break;
    case 1:
        input->bytes[at] = special[random_below(corpus, sizeof(special) - 1)];
        break;
    case 2:
        input->size = at + 1;
        break;
    case 3:
        memmove(input->bytes + at, input->bytes + at + 1,
                input->size - at - 1);
        input->size -= input->size > 1;
        break;
    case 4:
        splice(corpus, input);
        break;
    default:
        repeat_byte(corpus, input);
        break;
    }
}

void
corpus_next(Corpus *corpus, CorpusInput *input)
{
    *input = corpus->files[random_below(corpus, corpus->count)];
    size_t count = 1 + random_below(corpus, MAX_MUTATIONS);
    for (size_t i = 0; i < count; i++) {
        mutate(corpus, input);
    }
    input->bytes[input->size] = '\0';
}
