#include "explain_command.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_cli.h"
#include "aq_explain.h"
#include "aq_json.h"

/* Adds all lines of a log file to the explanation; returns false on a read
 * error. */
static bool
read_log(FILE *file, AqExplain *explain, AqExplainPass pass)
{
    char *line = NULL;
    size_t capacity = 0;
    ssize_t size;
    rewind(file);
    while ((size = getline(&line, &capacity, file)) >= 0) {
        while (size > 0 &&
               (line[size - 1] == '\n' || line[size - 1] == '\r')) {
            size--;
        }
        AqExplain_AddLine(explain, pass, line, (size_t)size);
    }
    free(line);
    return ferror(file) == 0;
}

static void
read_files(char **names, size_t count, AqExplain *explain, AqExplainPass pass)
{
    for (size_t i = 0; i < count; i++) {
        FILE *file = fopen(names[i], "r");
        bool ok = file != NULL && read_log(file, explain, pass);
        if (!ok && pass == AQ_EXPLAIN_REQUEST) {
            AqExplain_AddMissing(explain, names[i], strerror(errno));
        }
        if (file != NULL) {
            fclose(file);
        }
    }
}

/* Adds the lines of standard input to the explanation.  Both passes over the
 * lines read a temporary copy, as standard input can be read only once.
 * Returns false on an I/O error. */
static bool
read_input(AqExplain *explain)
{
    char block[65536];
    size_t size;
    FILE *copy = tmpfile();
    if (copy == NULL) {
        return false;
    }
    while ((size = fread(block, 1, sizeof(block), stdin)) > 0) {
        if (fwrite(block, 1, size, copy) != size) {
            fclose(copy);
            return false;
        }
    }
    bool ok = read_log(copy, explain, AQ_EXPLAIN_REQUEST) &&
              read_log(copy, explain, AQ_EXPLAIN_CONTEXT);
    fclose(copy);
    return ok;
}

static void
print_report(AqExplain *explain, bool json)
{
    json_t *report = AqExplain_Report(explain);
    if (json) {
        char *text = AqJson_Dump(report);
        printf("%s\n", text);
        free(text);
    }
    else {
        AqBuffer out;
        AqBuffer_Init(&out);
        AqExplain_Write(report, &out);
        fputs(AqBuffer_Text(&out), stdout);
        AqBuffer_Clear(&out);
    }
    json_decref(report);
}

int
explain_run(char **words, size_t count, bool json)
{
    if (count == 0 || words[0][0] == '\0' || words[0][0] == '-') {
        fprintf(stderr, "amaranthquay: explain needs the id of a request: "
                        "amaranthquay [--json] explain ID [FILE...]\n");
        return AQ_EXIT_USAGE;
    }
    AqExplain *explain = AqExplain_Create(words[0]);
    if (count > 1) {
        read_files(words + 1, count - 1, explain, AQ_EXPLAIN_REQUEST);
        read_files(words + 1, count - 1, explain, AQ_EXPLAIN_CONTEXT);
    }
    else if (!read_input(explain)) {
        AqExplain_AddMissing(explain, "standard input", strerror(errno));
    }
    int code =
        AqExplain_LineCount(explain) > 0 ? AQ_EXIT_ACCEPTED : AQ_EXIT_USAGE;
    print_report(explain, json);
    AqExplain_Destroy(explain);
    return code;
}
