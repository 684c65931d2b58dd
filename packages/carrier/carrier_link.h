#ifndef CARRIER_LINK_H
#define CARRIER_LINK_H

#include "aq_buffer.h"
#include "aq_loop.h"
#include "carrier_wire.h"

/* One TCP connection between an owner and a carrier, at either end: frames
 * that are sent within a round of the loop go out together. */

typedef struct CarrierLink CarrierLink;

typedef struct {
    /* A message has arrived; may close the link. */
    void (*message)(void *context, const CarrierMessage *message);
    /* The connection is established; NULL for an accepted one. */
    void (*connected)(void *context);
    /* The connection has failed or was closed by the other end; "reason" is
     * for the log.  The link must be destroyed. */
    void (*closed)(void *context, const char *reason);
} CarrierLinkOps;

/* Takes over the socket "fd"; "is_connected" tells whether it is connected or
 * still connecting.  Returns NULL and closes the socket on failure. */
CarrierLink *carrier_link_create(AqLoop *loop, int fd, bool is_connected,
                                 const CarrierLinkOps *ops, void *context);
/* Closes the connection.  May be called from the link's callbacks. */
void carrier_link_destroy(CarrierLink *link);

/* Returns the buffer to which a frame may be appended, borrowed; it is sent at
 * the end of the round. */
AqBuffer *carrier_link_output(CarrierLink *link);
bool carrier_link_is_connected(const CarrierLink *link);

#endif
