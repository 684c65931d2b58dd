#ifndef STATUS_H
#define STATUS_H

#include <jansson.h>

#include "daemon.h"

/* The state and status that operators read, as JSON values.  The caller owns
 * the returned references. */

/* Returns the records of a kind ("pools", "vms", ...) in the fleet document,
 * or NULL for an unknown kind. */
json_t *Status_State(const Daemon *daemon, const char *kind);
/* Returns the status of this daemon and its view of the other members. */
json_t *Status_Status(const Daemon *daemon);

#endif
