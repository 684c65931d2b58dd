#ifndef STATUS_H
#define STATUS_H

#include <jansson.h>

#include "daemon.h"

/* The records of the fleet document and the daemon's status, which operators
 * read as JSON values.  The caller owns the returned references. */

/* Returns the records of a kind ("pools", "vms", ...) in the fleet document,
 * or NULL for an unknown kind. */
json_t *Status_State(const Daemon *daemon, const char *kind);
/* Returns the status of this daemon, with the other members and whether this
 * daemon counts each of them as live. */
json_t *Status_Status(const Daemon *daemon);

#endif
