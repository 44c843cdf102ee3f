/**
 * @file programs.h
 * /v1/programs: create, show, end, and read the history of programs.
 */
#ifndef BANKBANK_DAEMON_PROGRAMS_H
#define BANKBANK_DAEMON_PROGRAMS_H

#include "daemon/gateway.h"

/** CivetWeb handler of /v1/programs and what is below it. */
int programs_handle(struct mg_connection *connection, void *context);

/** CivetWeb handler of /v1/models. */
int models_handle(struct mg_connection *connection, void *context);

#endif
