/**
 * @file programs.h
 * /v1/programs: creation, state, history and end of programs; /v1/models. A
 * program is a numbered sequence of chat calls with a stored history and a token
 * budget; it may have sub-programs.
 */
#ifndef BANKBANK_DAEMON_PROGRAMS_H
#define BANKBANK_DAEMON_PROGRAMS_H

#include "daemon/gateway.h"

/** CivetWeb request handler of /v1/programs and all paths below it; `context` is the struct gateway. */
int programs_handle(struct mg_connection *connection, void *context);

/** CivetWeb request handler of /v1/models; `context` is not used. */
int models_handle(struct mg_connection *connection, void *context);

#endif
