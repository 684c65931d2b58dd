#ifndef AQ_WIRE_SAMPLES_H
#define AQ_WIRE_SAMPLES_H

#include "aq_wire.h"

enum {
    SAMPLE_COUNT = 14
};

/* Sets *msg to sample message number "i" (0 .. SAMPLE_COUNT - 1) and returns
 * the sample's name for files.  The samples include every message type, lists
 * of several lengths, and extreme values.  The caller clears the message with
 * AqMsg_Clear. */
const char *sample_fill(int i, AqMsg *msg);

#endif
