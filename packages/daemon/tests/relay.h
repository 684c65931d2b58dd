#ifndef RELAY_H
#define RELAY_H

#include <stdbool.h>

/* Relay on loopback in front of a daemon's listener for peers, with a thread
 * of its own.  The daemon id in the HELLO frame identifies the sender of a
 * connection. */
typedef struct Relay Relay;

typedef enum {
    RELAY_PASS,
    /* Bytes wait in the relay until RELAY_PASS is set, as on a cut link. */
    RELAY_HOLD,
    /* The relay discards all further bytes of connections that are open now;
     * new connections pass. */
    RELAY_DISCARD_OPEN
} RelayMode;

/* Returns a new relay that listens on a free port; NULL on failure. */
Relay *relay_create(void);
void relay_destroy(Relay *relay);
/* Returns the address of the relay's listener, "127.0.0.1:port". */
const char *relay_address(const Relay *relay);
/* Sets the address of the listener that the relay connects to,
 * "127.0.0.1:port"; connections to the relay wait until then. */
void relay_set_target(Relay *relay, const char *address);
/* Sets what the relay does with bytes from the daemon with id "from"; NULL:
 * from all daemons. */
void relay_set(Relay *relay, const char *from, RelayMode mode);
/* Delays all bytes that the relay receives from now on by "ms"
 * milliseconds. */
void relay_set_delay(Relay *relay, int ms);

#endif
