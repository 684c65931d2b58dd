#ifndef OPERATORS_H
#define OPERATORS_H

#include "daemon.h"

/* Creates the HTTP server for operators.  It accepts intents (requested
 * changes) and serves the records of the fleet document, this daemon's status
 * and the burn report (error-budget burn rate per service).  Every request
 * needs the bearer token of the settings. */

Operators *Operators_Create(Daemon *daemon, AqError *error);
void Operators_Destroy(Operators *operators);

uint16_t Operators_Port(const Operators *operators);

/* Responds to an operator's request with the JSON value "root".  Takes over
 * the reference to "root". */
void Operators_Respond(AqExchange *exchange, int status, json_t *root);
/* Responds to an operator's request that was not carried out, with "outcome"
 * and "reason" as JSON. */
void Operators_RespondRefused(AqExchange *exchange, int status,
                              const char *outcome, const char *reason);

#endif
