#ifndef OPERATORS_H
#define OPERATORS_H

#include "daemon.h"

/* The HTTP server for operators: accepts intents and serves state, status and
 * the burn report.  Every request needs the bearer token of the settings. */

Operators *Operators_Create(Daemon *daemon, AqError *error);
void Operators_Destroy(Operators *operators);

uint16_t Operators_Port(const Operators *operators);

/* Responds to an operator's request with the JSON value "root".  Takes the
 * caller's reference to "root". */
void Operators_Respond(AqExchange *exchange, int status, json_t *root);
/* Responds to an operator's request that was not carried out. */
void Operators_RespondRefused(AqExchange *exchange, int status,
                              const char *outcome, const char *reason);

#endif
