#include <stdio.h>

#include "samples.h"

/* Writes the frame of each sample message to DIRECTORY/NAME.frame; DIRECTORY
 * is the program's argument and NAME the name of the sample. */
int
main(int argc, char **argv)
{
    if (argc != 2) {
        fprintf(stderr, "usage: make_corpus DIRECTORY\n");
        return 2;
    }
    for (int i = 0; i < SAMPLE_COUNT; i++) {
        AqMsg msg;
        char path[512];
        snprintf(path, sizeof(path), "%s/%s.frame", argv[1],
                 sample_fill(i, &msg));
        AqBuffer frame;
        AqBuffer_Init(&frame);
        AqWire_Encode(&msg, &frame);
        AqMsg_Clear(&msg);
        FILE *file = fopen(path, "wb");
        if (file == NULL) {
            perror(path);
            AqBuffer_Clear(&frame);
            return 1;
        }
        fwrite(frame.bytes, 1, frame.size, file);
        fclose(file);
        AqBuffer_Clear(&frame);
    }
    return 0;
}
