#ifndef CORPUS_H
#define CORPUS_H

#include <stddef.h>

#include "aq_random.h"

/* Generates fuzz inputs by mutating the files of a seed corpus; equal random
 * seeds give equal inputs. */

enum {
    CORPUS_MAX_FILES = 64,
    CORPUS_MAX_BYTES = 8192
};

typedef struct {
    size_t size;
    char bytes[CORPUS_MAX_BYTES + 1];
} CorpusInput;

typedef struct {
    CorpusInput files[CORPUS_MAX_FILES];
    size_t count;
    AqRandom random;
} Corpus;

/* Reads all files of a directory except hidden ones.  Ends the program when a
 * file cannot be read, or when the directory has no files or too many. */
void corpus_load(Corpus *corpus, const char *directory, uint64_t seed);
/* Sets "input" to a random corpus file with a few bytes changed, cut, repeated
 * or copied from another file.  A NUL follows the last byte. */
void corpus_next(Corpus *corpus, CorpusInput *input);

#endif
